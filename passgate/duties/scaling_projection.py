"""Projection of the control topic that holds the decided numbers of replicas.

A projection is state built by applying the log's records in order.  The offset of a decision is the fencing
token of its order.  Every later decision, by any leader, has a higher token, so the platform refuses an
older order that arrives after a newer one.  Only the writer of a decision sends its order, as a token must
not have two senders; a later leader decides again.

>>> from passgate.jobs.records import ReplicasDecided, ReplicasOrdered
>>> projection = ScalingProjection()
>>> decided = ReplicasDecided(service="s", zone="z", spot=True, count=3)
>>> projection.apply(7, "d1.a", decided, by_leader=True)
>>> [(decision.count, decision.fence) for decision in projection.unanswered_decisions("d1.a")]
[(3, 7)]
>>> projection.unanswered_decisions("d2.a")
[]
>>> ordered = ReplicasOrdered(service="s", zone="z", spot=True, decided=7)
>>> projection.apply(8, "d1.a", ordered, by_leader=True)
>>> projection.unanswered_decisions("d1.a")
[]
"""

from __future__ import annotations

import msgspec

from passgate.jobs.records import ReplicasDecided, ReplicasOrdered


class ReplicaPool(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Replicas of one service and kind in one zone; each order is about one pool."""

    service: str
    zone: str
    spot: bool


class ScalingDecision(msgspec.Struct, frozen=True, kw_only=True):
    """The number of replicas that a pool should have."""

    pool: ReplicaPool
    count: int
    fence: int
    """Offset of the decision, used as the fencing token of its order."""
    writer: str
    """Leader that made the decision, and the only daemon that may send the order."""


class ScalingProjection:
    """The newest decision of each pool, and the newest order of each pool that the platform has answered."""

    def __init__(self) -> None:
        self.decision_by_pool: dict[ReplicaPool, ScalingDecision] = {}
        self._answered_fence_by_pool: dict[ReplicaPool, int] = {}
        """Fencing token of the newest order that the platform has answered, by pool."""

    def set_first_offset(self, first_offset: int) -> None:
        """Do nothing: a decision that was removed from the log is made again if it is still needed."""

    def apply(self, offset: int, writer: str, entry: object, *, by_leader: bool) -> None:
        """Apply an entry of the record at an offset; ``by_leader`` is whether its writer was leader then."""
        match entry:
            case ReplicasDecided() if by_leader:
                pool = _pool_of(entry)
                self.decision_by_pool[pool] = ScalingDecision(
                    pool=pool, count=entry.count, fence=offset, writer=writer
                )
            case ReplicasOrdered():
                pool = _pool_of(entry)
                self._answered_fence_by_pool[pool] = max(
                    self._answered_fence_by_pool.get(pool, -1), entry.decided
                )

    def is_unanswered(self, decision: ScalingDecision) -> bool:
        """Return whether no answer of the platform to the order of a decision is known."""
        return decision.fence > self._answered_fence_by_pool.get(decision.pool, -1)

    def unanswered_decisions(self, writer: str) -> list[ScalingDecision]:
        """Return the pools' newest decisions that a writer made and that are unanswered, oldest first."""
        unanswered = [
            decision
            for decision in self.decision_by_pool.values()
            if decision.writer == writer and self.is_unanswered(decision)
        ]
        return sorted(unanswered, key=lambda decision: decision.fence)


def _pool_of(entry: ReplicasDecided | ReplicasOrdered) -> ReplicaPool:
    return ReplicaPool(service=entry.service, zone=entry.zone, spot=entry.spot)
