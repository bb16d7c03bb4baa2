"""Order in which items that wait for a replica get one: least slack first.

A job is whole when its longest items are, so a short item may begin later by as much
as the job's longest takes longer.  Items of an older job come first among those with
equal slack.  Items of different models do not wait for each other, nor do those of one model
that are bound to different sets of regions: one whose regions have no replica left would else hold
up all others.

>>> line = WaitingLine()
>>> older, newer = Rank(start_s=1.0, fresh=True), Rank(start_s=2.0, fresh=False)
>>> line.enter("m", newer); line.enter("m", older); line.enter("other", newer)
>>> line.is_first("m", older), line.is_first("m", newer), line.is_first("other", newer)
(True, False, True)
>>> line.leave("m", older)
>>> line.is_first("m", newer)
True
"""

from __future__ import annotations

import bisect
import contextlib
from collections.abc import Hashable, Iterator

import msgspec


class Rank(msgspec.Struct, frozen=True, order=True, kw_only=True):
    """Place of a job's items among those that wait; less comes first."""

    start_s: float
    """Latest time at which the item may begin without delaying its job."""
    fresh: bool
    """Whether these items were not sent yet; begun ones come first."""
    number: int = 0
    """Tells entries apart."""


class LineName(msgspec.Struct, frozen=True, kw_only=True):
    """What the items of one line have in common."""

    model: str
    regions: frozenset[str] | None
    """Regions that may serve them; None where any may."""


class WaitingLine:
    """All items of one daemon that wait, by what they have in common."""

    def __init__(self) -> None:
        self._lines: dict[Hashable, list[Rank]] = {}

    def enter(self, name: Hashable, rank: Rank) -> None:
        """Begin to wait."""
        bisect.insort(self._lines.setdefault(name, []), rank)

    @contextlib.contextmanager
    def place(self, name: Hashable, rank: Rank) -> Iterator[None]:
        """Wait within a ``with`` block."""
        self.enter(name, rank)
        try:
            yield
        finally:
            self.leave(name, rank)

    def leave(self, name: Hashable, rank: Rank) -> None:
        """End waiting, with a replica or without."""
        line = self._lines[name]
        line.remove(rank)
        if not line:
            del self._lines[name]

    def is_first(self, name: Hashable, rank: Rank) -> bool:
        """Whether nobody of this line is before."""
        return self._lines[name][0] == rank
