"""Order in which items that wait for a replica get one: least slack first.

A job is whole when its longest items are, so a short item may begin later by as much
as the job's longest takes longer.  Items of an older job come first among those with
equal slack.  Items of other models do not wait for each other.

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
from collections.abc import Iterator

import msgspec


class Rank(msgspec.Struct, frozen=True, order=True, kw_only=True):
    """Place of a job's items among those that wait; less comes first."""

    start_s: float
    """Latest time at which the item may begin without delaying its job."""
    fresh: bool
    """Whether these items were not sent yet; begun ones come first."""
    number: int = 0
    """Tells entries apart."""


class WaitingLine:
    """All items of one daemon that wait, by model."""

    def __init__(self) -> None:
        self._lines: dict[str, list[Rank]] = {}

    def enter(self, model: str, rank: Rank) -> None:
        """Begin to wait."""
        bisect.insort(self._lines.setdefault(model, []), rank)

    @contextlib.contextmanager
    def place(self, model: str, rank: Rank) -> Iterator[None]:
        """Wait within a ``with`` block."""
        self.enter(model, rank)
        try:
            yield
        finally:
            self.leave(model, rank)

    def leave(self, model: str, rank: Rank) -> None:
        """End waiting, with a replica or without."""
        line = self._lines[model]
        line.remove(rank)
        if not line:
            del self._lines[model]

    def is_first(self, model: str, rank: Rank) -> bool:
        """Whether nobody of this model is before."""
        return self._lines[model][0] == rank
