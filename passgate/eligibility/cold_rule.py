"""The rule that nothing goes to a cold replica without a permit.

>>> from passgate.eligibility.cold_replicas import ColdLimit
>>> from passgate.eligibility.rules import ANY_REQUEST
>>> cold = ColdReplicas({"s": ColdLimit(lasts_s=3.0, most_per_s=29)}.get)
>>> stock = PermitStock()
>>> rule = ColdRule(cold, stock)
>>> info = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, cold_ms=2000)
>>> cold.entry_read(info, now_s=0.0)
>>> rule.allows(info, ANY_REQUEST, now_s=0.1)
False
>>> stock.add({"r": 1}, asked_s=0.1, now_s=0.2)
>>> rule.allows(info, ANY_REQUEST, now_s=0.2)
True
>>> round(rule.sent(info, ANY_REQUEST, now_s=0.2), 3)
0.5
>>> rule.allows(info, ANY_REQUEST, now_s=0.2), rule.allows(info, ANY_REQUEST, now_s=3.0)
(False, True)
"""

from __future__ import annotations

from passgate.eligibility.cold_replicas import ColdReplicas
from passgate.eligibility.permits import SEND_MARGIN_S, PermitStock
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendKind, SendTerms


class ColdRule:
    """Lets requests to cold replicas pass for permits."""

    name = "cold"

    def __init__(self, cold: ColdReplicas, stock: PermitStock) -> None:
        self._cold = cold
        self._stock = stock

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether the replica is warm, or a permit is there."""
        return not self._limits(replica, terms, now_s) or self._stock.holds(replica.replica_id, now_s)

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> float | None:
        """Use up a permit; return until when the request may leave, None where no permit is asked."""
        if self._limits(replica, terms, now_s):
            return self._stock.use(replica.replica_id, now_s) + SEND_MARGIN_S
        return None

    def has_room(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether a request may be sent beside those for which the replica was just chosen."""
        if not self._limits(replica, terms, now_s):
            return True
        return self._stock.holds_unclaimed(replica.replica_id, now_s)

    def chosen(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Keep a permit for the request for which the replica was chosen."""
        if self._limits(replica, terms, now_s):
            self._stock.claim(replica.replica_id, now_s)

    def _limits(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        return terms.kind is SendKind.REQUEST and self._cold.is_cold(replica, now_s)
