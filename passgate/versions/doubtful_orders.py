"""Orders without an answer, which may be carried out later, also by the replica's next life.

An order names the number of orders that the replica has taken, and is carried out only at that number.
A replica that starts again counts from 0, so an order that its last life left without an answer fits
once more when the count gets there, and would then bring an older version back after a newer one.
The one order that would lead to such a count is put off until the old one can't arrive any more.

>>> doubtful = DoubtfulOrders()
>>> doubtful.note(ReplicaLife("r", 1), expected=2, now_s=0.0)
>>> next_life = ReplicaLife("r", 2)
>>> [doubtful.may_follow(next_life, orders_taken, now_s=1.0) for orders_taken in (0, 1, 2)]
[True, False, True]
"""

from __future__ import annotations

import msgspec

from passgate.eligibility.replica_info import ReplicaLife

DOUBT_S = 15.0
"""Time after which an order that got no answer can't arrive any more; calls are cut off far sooner, but a
replica that is held up carries out what waits at it seconds later."""


class _Doubt(msgspec.Struct, frozen=True, kw_only=True):
    life: ReplicaLife
    expected: int
    until_s: float


class DoubtfulOrders:
    """The orders that this daemon has no answer to."""

    def __init__(self) -> None:
        self._by_replica: dict[str, list[_Doubt]] = {}
        """By identifier, as they concern the lives that follow."""

    def note(self, life: ReplicaLife, expected: int, now_s: float) -> None:
        """Note an order that got no answer."""
        self._drop_old(now_s)
        doubt = _Doubt(life=life, expected=expected, until_s=now_s + DOUBT_S)
        self._by_replica.setdefault(life.replica_id, []).append(doubt)

    def may_follow(self, life: ReplicaLife, orders_taken: int, now_s: float) -> bool:
        """Whether a life that has taken so many orders may get the next one."""
        doubts = self._by_replica.get(life.replica_id, ())
        return not any(
            doubt.life != life and doubt.expected == orders_taken + 1 and now_s < doubt.until_s
            for doubt in doubts
        )

    def _drop_old(self, now_s: float) -> None:
        kept = {
            replica: [doubt for doubt in doubts if now_s < doubt.until_s]
            for replica, doubts in self._by_replica.items()
        }
        self._by_replica = {replica: doubts for replica, doubts in kept.items() if doubts}
