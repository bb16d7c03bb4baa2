"""When work goes to another region: only when the wait at home is longer than the way, and not all at once.

All daemons of a region see the same idle region at the same moment.  So each sends only a part of
its work there, the larger the more it gains, and not each to the same replica.

>>> share_spilled(gain_s=0.0, way_s=0.02), share_spilled(gain_s=0.06, way_s=0.02)
(0.0, 0.75)
>>> full = HomeFull()
>>> full.may_spill(("llm",), way_s=0.02, now_s=5.0), full.may_spill(("llm",), way_s=0.02, now_s=5.03)
(False, True)
>>> full.note_room(("llm",))
>>> full.may_spill(("llm",), way_s=0.02, now_s=5.04)
False
"""

from __future__ import annotations

from collections.abc import Hashable

LEAST_SHARE_WAY_S = 0.001
"""Way that counts at least, so that a share is defined where regions lie next to each other."""
AGE_OUT_S = 1.0
"""Time without a question after which a wait for room at home counts as over."""
MOST_WAITS = 256
"""Waits kept before those that are over are dropped; callers name the models, so there may be any number."""


def share_spilled(gain_s: float, way_s: float) -> float:
    """Return the share of requests that go to another region.

    Args:
        gain_s: by how much the wait at home is longer than the wait there and the way.
        way_s: cost of the way.
    """
    if gain_s <= 0.0:
        return 0.0
    return gain_s / (gain_s + max(way_s, LEAST_SHARE_WAY_S))


class HomeFull:
    """Since when no replica of the own region has had room, for each kind of request."""

    def __init__(self) -> None:
        self._since_s: dict[Hashable, tuple[float, float]] = {}
        """First and last look of a wait that goes on."""

    def note_room(self, kind: Hashable) -> None:
        """Note that a replica at home has room for a kind of request."""
        self._since_s.pop(kind, None)

    def may_spill(self, kind: Hashable, way_s: float, now_s: float) -> bool:
        """Note that none has, and return whether that has lasted for longer than the way takes."""
        since_s, looked_s = self._since_s.get(kind, (now_s, now_s))
        if now_s - looked_s > AGE_OUT_S:
            since_s = now_s
        self._since_s[kind] = (since_s, now_s)
        if len(self._since_s) > MOST_WAITS:
            self._drop_ended(now_s)
        return now_s - since_s >= way_s

    def _drop_ended(self, now_s: float) -> None:
        self._since_s = {kind: wait for kind, wait in self._since_s.items() if now_s - wait[1] <= AGE_OUT_S}
