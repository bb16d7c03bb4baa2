"""Send rule: a request to a cold replica needs a permit, which the leader of the control topic grants.

>>> from passgate.eligibility.cold_replicas import ColdLimit
>>> from passgate.eligibility.rules import ANY_REGION_REQUEST
>>> cold = ColdReplicas({"s": ColdLimit(max_duration_s=3.0, max_requests_per_s=29)}.get)
>>> permits = PermitPool()
>>> rule = ColdRule(cold, permits)
>>> info = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, cold_ms=2000)
>>> cold.apply_entry(info, now_s=0.0)
>>> rule.allows(info, ANY_REGION_REQUEST, now_s=0.1)
False
>>> permits.add({"r": 1}, requested_s=0.1, now_s=0.2)
>>> rule.allows(info, ANY_REGION_REQUEST, now_s=0.2)
True
>>> round(rule.record_send(info, ANY_REGION_REQUEST, now_s=0.2), 3)
0.5
>>> rule.allows(info, ANY_REGION_REQUEST, now_s=0.2), rule.allows(info, ANY_REGION_REQUEST, now_s=3.0)
(False, True)
"""

from __future__ import annotations

from passgate.eligibility.cold_replicas import ColdReplicas
from passgate.eligibility.permits import MAX_SEND_DELAY_S, PermitPool
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendContext, SendKind


class ColdRule:
    """Allows a request to a cold replica only with a permit; control messages need none."""

    name = "cold"

    def __init__(self, cold_replicas: ColdReplicas, permit_pool: PermitPool) -> None:
        self._cold_replicas = cold_replicas
        self._permit_pool = permit_pool

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether the send needs no permit or this daemon holds one for the replica."""
        return not self._needs_permit(replica, context, now_s) or self._permit_pool.has_permit(
            replica.replica_id, now_s
        )

    def record_send(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> float | None:
        """Use up a permit if the send needs one; :meth:`allows` must have returned true for the same send.

        Returns:
            Loop time until which the request may leave this daemon; None if it needs no permit.
        """
        if self._needs_permit(replica, context, now_s):
            return self._permit_pool.use_permit(replica.replica_id, now_s) + MAX_SEND_DELAY_S
        return None

    def may_claim_permit(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether the send needs no permit, or one is held that no recently chosen request has claimed."""
        if not self._needs_permit(replica, context, now_s):
            return True
        return self._permit_pool.has_unclaimed_permit(replica.replica_id, now_s)

    def claim_permit(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> None:
        """Claim a permit, if one is needed, for a request for which this replica was just chosen."""
        if self._needs_permit(replica, context, now_s):
            self._permit_pool.claim_permit(replica.replica_id, now_s)

    def _needs_permit(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        return context.kind is SendKind.REQUEST and self._cold_replicas.is_cold(replica, now_s)
