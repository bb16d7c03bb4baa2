"""Decides the number of replicas of each pool and orders them, while this daemon is the leader.

A decision is committed to the control topic before its order is sent.  An order whose outcome is unknown is
sent again with the same fencing token; a later leader decides again instead.  After a refusal, normally
because no replica is available, missing replicas are ordered again after a pause, which grows with each
refusal.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Container, Iterable, Mapping

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ReplicaCountOrderSent
from passgate.duties.calls import CallRateLimiter, DutyClient, DutyOutcome, ReplicaOrder
from passgate.duties.scaling_policy import ZoneReplicas, replicas_needed, spread_replicas
from passgate.duties.scaling_projection import ReplicaPool, ScalingDecision, ScalingProjection
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder, ScalingRule, Service
from passgate.jobs.journal import Journal
from passgate.jobs.records import ReplicasDecided, ReplicasOrdered, WeightDemand
from passgate.versions.leadership import Leadership

DECISION_INTERVAL_S = 0.5
"""Pause between decisions; short compared with the boot time of a replica."""
FIRST_REFUSAL_PAUSE_S = 2.0
"""Pause of a pool after the first refusal of an order; doubles with each further one.  A platform that takes
a zone's replicas away has no more of them there for 8 to 11 s."""
MAX_REFUSAL_PAUSE_S = 10.0
"""Longest pause of a pool after refusals."""
BOOT_MARGIN_S = 3.0
"""Time beyond the boot time after which missing replicas are ordered again."""
RESEND_PAUSE_S = 0.5
"""Pause before an order whose outcome is unknown is sent again."""


class _PoolPacing(msgspec.Struct):
    """Earliest loop time of a pool's next decision or order, and its pause after the next refusal."""

    next_action_s: float = 0.0
    refusal_pause_s: float = FIRST_REFUSAL_PAUSE_S
    last_decision_s: float = float("-inf")


class Scaler:
    """Orders spot replicas for services with a scaling rule while this daemon is the leader."""

    def __init__(
        self,
        projection: ScalingProjection,
        journal: Journal,
        leadership: Leadership,
        client: DutyClient,
        rate_limiter: CallRateLimiter,
        config_holder: ConfigHolder,
        replicas: ReplicaTable,
        newest_demand_by_model: Mapping[str, WeightDemand],
        decisions: DecisionLog,
        *,
        evacuated_zones: Container[str],
        daemon_id: str,
    ) -> None:
        """Create the scaler.

        Args:
            projection: the decided numbers of replicas.
            journal: this daemon's writer of the control topic.
            leadership: states whether this daemon may send orders.
            client: client for the platform.
            rate_limiter: rate limit of the calls of all duties.
            config_holder: the active configuration, which contains the scaling rules.
            replicas: the replicas that discovery lists.
            newest_demand_by_model: what the newest job of each model requires, by model.
            decisions: decision log.
            evacuated_zones: zones in which replicas are neither counted nor ordered.
            daemon_id: this daemon's name in calls to the platform.
        """
        self._projection = projection
        self._journal = journal
        self._leadership = leadership
        self._client = client
        self._rate_limiter = rate_limiter
        self._config_holder = config_holder
        self._replicas = replicas
        self._newest_demand_by_model = newest_demand_by_model
        self._decisions = decisions
        self._evacuated_zones = evacuated_zones
        self._daemon_id = daemon_id
        self._pacing_by_pool: dict[ReplicaPool, _PoolPacing] = {}

    async def run(self) -> None:
        """Decide and send orders until cancelled."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_S)
            if self._leadership.may_order():
                self._decide_services()
                await self._send_unanswered_orders()

    def _decide_services(self) -> None:
        table = self._config_holder.table
        services = table.config.services if table is not None else ()
        for service in services:
            if service.scaling is not None:
                self._decide_service(service, service.scaling)

    def _decide_service(self, service: Service, rule: ScalingRule) -> None:
        states = [state for state in self._replicas.all() if state.info.service == service.name]
        if not states:
            return
        models = {model for state in states for model in state.info.model_versions}
        item_counts = [job.items for model, job in self._newest_demand_by_model.items() if model in models]
        total = replicas_needed(item_counts, max(state.info.slots for state in states))
        present = self._count_present_by_zone(states, rule.zone_prices)
        for zone, replicas in spread_replicas(rule, present, total).items():
            pool = ReplicaPool(service=service.name, zone=zone, spot=True)
            self._decide_pool(pool, replicas.spot, present[zone].spot, rule)

    def _decide_pool(self, pool: ReplicaPool, count: int, present: int, rule: ScalingRule) -> None:
        """Commit a pool's number if it grows; it never shrinks.

        Commit the same number once more if replicas are overdue, or if a former leader's order may not have
        been sent.
        """
        now_s = monotonic_s()
        pacing = self._pacing_by_pool.setdefault(pool, _PoolPacing())
        decision = self._projection.decision_by_pool.get(pool)
        decided_count = decision.count if decision is not None else 0
        overdue = present < decided_count and now_s - pacing.last_decision_s > rule.boot_s + BOOT_MARGIN_S
        grows = count > decided_count
        left_by_former_leader = (
            decision is not None
            and decision.writer != self._journal.writer
            and self._projection.is_unanswered(decision)
        )
        must_decide = grows or left_by_former_leader or (overdue and count > 0)
        if now_s < pacing.next_action_s or not must_decide:
            return
        pacing.last_decision_s = now_s
        pacing.next_action_s = now_s + DECISION_INTERVAL_S  # time to read the decision back
        self._journal.put(
            ReplicasDecided(
                service=pool.service, zone=pool.zone, spot=pool.spot, count=max(count, decided_count)
            )
        )

    async def _send_unanswered_orders(self) -> None:
        for decision in self._projection.unanswered_decisions(self._journal.writer):
            pacing = self._pacing_by_pool.setdefault(decision.pool, _PoolPacing())
            now_s = monotonic_s()
            if decision.pool.zone in self._evacuated_zones:
                continue  # the order is sent after the evacuation, unless a newer decision replaces it
            if (
                now_s < pacing.next_action_s
                or not self._rate_limiter.try_acquire(now_s)
                or not self._leadership.may_order()
            ):
                continue
            self._handle_outcome(decision, pacing, await self._send_order(decision))

    async def _send_order(self, decision: ScalingDecision) -> DutyOutcome:
        pool = decision.pool
        with self._leadership.sending_order() as terms:
            outcome = await self._client.order_replicas(
                ReplicaOrder(
                    service=pool.service,
                    zone=pool.zone,
                    spot=pool.spot,
                    count=decision.count,
                    holder=self._daemon_id,
                    fence=decision.fence,  # of the decision, which is newer than the claim of the leader
                    not_sent_after_s=terms.not_sent_after_s,
                )
            )
        self._decisions.write(
            ReplicaCountOrderSent(
                service=pool.service,
                zone=pool.zone,
                spot=pool.spot,
                count=decision.count,
                present=self._count_present(pool),
                fence=decision.fence,
                outcome=outcome.value,
            )
        )
        return outcome

    def _handle_outcome(self, decision: ScalingDecision, pacing: _PoolPacing, outcome: DutyOutcome) -> None:
        now_s = monotonic_s()
        if outcome is DutyOutcome.UNKNOWN:
            pacing.next_action_s = now_s + RESEND_PAUSE_S
            return
        pool = decision.pool
        self._journal.put(
            ReplicasOrdered(service=pool.service, zone=pool.zone, spot=pool.spot, decided=decision.fence)
        )
        if outcome is DutyOutcome.REFUSED:
            pacing.next_action_s = now_s + pacing.refusal_pause_s
            pacing.last_decision_s = float("-inf")
            pacing.refusal_pause_s = min(pacing.refusal_pause_s * 2.0, MAX_REFUSAL_PAUSE_S)
        else:
            pacing.next_action_s = now_s + DECISION_INTERVAL_S
            pacing.refusal_pause_s = FIRST_REFUSAL_PAUSE_S

    def _count_present(self, pool: ReplicaPool) -> int:
        return sum(
            1
            for state in self._replicas.all()
            if (state.info.service, state.info.zone, state.info.spot) == (pool.service, pool.zone, pool.spot)
            and not state.info.draining
        )

    def _count_present_by_zone(
        self, states: Iterable[ReplicaState], zones: Iterable[str]
    ) -> dict[str, ZoneReplicas]:
        """Count the replicas that are not draining, by kind, in each zone that is not evacuated.

        ``zones`` names zones that are included even without replicas.
        """
        counts = Counter((state.info.zone, state.info.spot) for state in states if not state.info.draining)
        zone_names = {*zones, *(zone for zone, _ in counts)}
        return {
            zone: ZoneReplicas(on_demand=counts[zone, False], spot=counts[zone, True])
            for zone in sorted(zone_names)
            if zone not in self._evacuated_zones
        }
