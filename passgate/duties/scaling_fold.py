"""Decided numbers of replicas, folded from the control topic.

The offset of a decision is the fence of its order, so every later decision, whoever makes
it, has a higher fence, and an older order that is carried out late is refused.

>>> from passgate.jobs.records import ReplicasDecided, ReplicasOrdered
>>> fold = ScalingFold()
>>> fold.apply(7, "d1.a", ReplicasDecided(service="s", zone="z", spot=True, count=3), leads=True)
>>> fold.unsent()
[Decision(pool=ReplicaPool(service='s', zone='z', spot=True), count=3, fence=7)]
>>> fold.apply(8, "d1.a", ReplicasOrdered(service="s", zone="z", spot=True, decided=7), leads=True)
>>> fold.unsent()
[]
"""

from __future__ import annotations

import msgspec

from passgate.jobs.records import ReplicasDecided, ReplicasOrdered


class ReplicaPool(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Replicas of one service and kind in one zone; what one order is about."""

    service: str
    zone: str
    spot: bool


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """How many replicas a pool shall have."""

    pool: ReplicaPool
    count: int
    fence: int


class ScalingFold:
    """The newest decision of each pool, and which of them were sent."""

    def __init__(self) -> None:
        self.decided: dict[ReplicaPool, Decision] = {}
        self._sent: dict[ReplicaPool, int] = {}
        """Pool to the fence of the newest order that the platform has answered."""

    def begin(self, first_offset: int) -> None:
        """Nothing depends on older records: a decision that was removed is made again."""

    def apply(self, offset: int, writer: str, entry: object, *, leads: bool) -> None:
        """Take an entry of the record at an offset; ``leads`` tells whether its writer led there."""
        match entry:
            case ReplicasDecided() if leads:
                pool = _pool_of(entry)
                self.decided[pool] = Decision(pool=pool, count=entry.count, fence=offset)
            case ReplicasOrdered():
                pool = _pool_of(entry)
                self._sent[pool] = max(self._sent.get(pool, -1), entry.decided)

    def unsent(self) -> list[Decision]:
        """Return the newest decisions whose orders were not answered, the oldest first."""
        waiting = [
            decision for pool, decision in self.decided.items() if decision.fence > self._sent.get(pool, -1)
        ]
        return sorted(waiting, key=lambda decision: decision.fence)


def _pool_of(entry: ReplicasDecided | ReplicasOrdered) -> ReplicaPool:
    return ReplicaPool(service=entry.service, zone=entry.zone, spot=entry.spot)
