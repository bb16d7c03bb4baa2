"""Decides and orders replicas, while this daemon leads.

A decision is committed to the control topic before its order is sent.  An order that is not
answered is sent again with the same fence; one that is refused, because none can be had there
now, is decided anew after a pause that grows for that zone and kind.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Container, Iterable, Mapping

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ReplicaOrderSent
from passgate.duties.calls import CallBudget, DutyCalls, DutyOutcome, ReplicaOrder
from passgate.duties.scaling_fold import Decision, ReplicaPool, ScalingFold
from passgate.duties.scaling_policy import ZoneReplicas, replicas_for, spread_replicas
from passgate.gateway.replicas import ReplicaState, ReplicaTable
from passgate.gateway.routes import ConfigHolder, ScalingRule, Service
from passgate.jobs.journal import Journal
from passgate.jobs.records import JobNoted, ReplicasDecided, ReplicasOrdered
from passgate.versions.leadership import Leadership

TICK_S = 0.5
"""Time between decisions; an eighth of the shortest boot time seen."""
FIRST_PAUSE_S = 2.0
"""Pause after the platform had no replica of a kind in a zone; a reclaim lasts 8 to 11 s."""
MAX_PAUSE_S = 10.0
"""Longest such pause."""
BOOT_MARGIN_S = 3.0
"""Time beyond the boot time after which replicas that did not come are ordered anew."""
UNKNOWN_PAUSE_S = 0.5
"""Pause before an unanswered order is sent again with the same fence."""


class _Pace(msgspec.Struct):
    """When the next decision or order of a pool may be made."""

    next_s: float = 0.0
    pause_s: float = FIRST_PAUSE_S
    decided_s: float = float("-inf")


class Scaler:
    """This daemon's part in the duty."""

    def __init__(
        self,
        fold: ScalingFold,
        journal: Journal,
        leadership: Leadership,
        calls: DutyCalls,
        budget: CallBudget,
        config: ConfigHolder,
        replicas: ReplicaTable,
        newest_jobs: Mapping[str, JobNoted],
        decisions: DecisionLog,
        *,
        evacuated: Container[str],
        holder: str,
    ) -> None:
        """Make the scaler.

        Args:
            fold: decided numbers of replicas.
            journal: this daemon's writer of the control topic.
            leadership: whether this daemon may order.
            calls: calls to the platform.
            budget: bounds the calls of all duties.
            config: the configuration in force, which names the bounds.
            replicas: the replicas that are there.
            newest_jobs: model to what its newest job asks for.
            decisions: where decisions are noted.
            evacuated: zones in which no replica counts and none is ordered.
            holder: name of this daemon as the platform sees it.
        """
        self._fold = fold
        self._journal = journal
        self._leadership = leadership
        self._calls = calls
        self._budget = budget
        self._config = config
        self._replicas = replicas
        self._newest_jobs = newest_jobs
        self._decisions = decisions
        self._evacuated = evacuated
        self._holder = holder
        self._paces: dict[ReplicaPool, _Pace] = {}

    async def run(self) -> None:
        """Decide and order until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._leadership.may_order():
                self._decide()
                await self._send()

    def _decide(self) -> None:
        table = self._config.table
        services = table.config.services if table is not None else ()
        for service in services:
            if service.scaling is not None:
                self._decide_service(service, service.scaling)

    def _decide_service(self, service: Service, rule: ScalingRule) -> None:
        states = [state for state in self._replicas.all() if state.info.service == service.name]
        if not states:
            return
        models = {model for state in states for model in state.info.model_versions}
        items = [job.items for model, job in self._newest_jobs.items() if model in models]
        wanted = replicas_for(items, max(state.info.slots for state in states))
        present = self._present_by_zone(states, rule.zone_prices)
        for zone, replicas in spread_replicas(rule, present, wanted).items():
            pool = ReplicaPool(service=service.name, zone=zone, spot=True)
            self._decide_pool(pool, replicas.spot, present[zone].spot, rule)

    def _decide_pool(self, pool: ReplicaPool, count: int, present: int, rule: ScalingRule) -> None:
        """Decide a pool's number anew when it changes, or when its replicas did not come."""
        now_s = monotonic_s()
        pace = self._paces.setdefault(pool, _Pace())
        decided = self._fold.decided.get(pool)
        known = decided.count if decided is not None else 0
        overdue = present < known and now_s - pace.decided_s > rule.boot_s + BOOT_MARGIN_S
        grows = count > known
        if now_s < pace.next_s or not (grows or (overdue and count > 0)):
            return
        pace.decided_s = now_s
        pace.next_s = now_s + TICK_S  # until the decision is read back
        self._journal.put(
            ReplicasDecided(service=pool.service, zone=pool.zone, spot=pool.spot, count=max(count, known))
        )

    async def _send(self) -> None:
        for decision in self._fold.unsent():
            pace = self._paces.setdefault(decision.pool, _Pace())
            now_s = monotonic_s()
            if decision.pool.zone in self._evacuated:
                continue  # sent when the evacuation has ended, unless it is decided anew
            if now_s < pace.next_s or not self._budget.take(now_s) or not self._leadership.may_order():
                continue
            self._take(decision, pace, await self._order(decision))

    async def _order(self, decision: Decision) -> DutyOutcome:
        pool = decision.pool
        outcome = await self._calls.order_replicas(
            ReplicaOrder(
                service=pool.service,
                zone=pool.zone,
                spot=pool.spot,
                count=decision.count,
                holder=self._holder,
                fence=decision.fence,
            )
        )
        self._decisions.write(
            ReplicaOrderSent(
                service=pool.service,
                zone=pool.zone,
                spot=pool.spot,
                count=decision.count,
                present=self._present(pool),
                fence=decision.fence,
                outcome=outcome.value,
            )
        )
        return outcome

    def _take(self, decision: Decision, pace: _Pace, outcome: DutyOutcome) -> None:
        now_s = monotonic_s()
        if outcome is DutyOutcome.UNKNOWN:
            pace.next_s = now_s + UNKNOWN_PAUSE_S
            return
        pool = decision.pool
        self._journal.put(
            ReplicasOrdered(service=pool.service, zone=pool.zone, spot=pool.spot, decided=decision.fence)
        )
        if outcome is DutyOutcome.REFUSED:
            pace.next_s = now_s + pace.pause_s
            pace.decided_s = float("-inf")
            pace.pause_s = min(pace.pause_s * 2.0, MAX_PAUSE_S)
        else:
            pace.next_s = now_s + TICK_S
            pace.pause_s = FIRST_PAUSE_S

    def _present(self, pool: ReplicaPool) -> int:
        return sum(
            1
            for state in self._replicas.all()
            if (state.info.service, state.info.zone, state.info.spot) == (pool.service, pool.zone, pool.spot)
            and not state.info.draining
        )

    def _present_by_zone(
        self, states: Iterable[ReplicaState], zones: Iterable[str]
    ) -> dict[str, ZoneReplicas]:
        """Return the replicas that stay, by kind, of each zone that is not evacuated."""
        counts = Counter((state.info.zone, state.info.spot) for state in states if not state.info.draining)
        names = {*zones, *(zone for zone, _ in counts)}
        return {
            zone: ZoneReplicas(ordinary=counts[zone, False], spot=counts[zone, True])
            for zone in sorted(names)
            if zone not in self._evacuated
        }
