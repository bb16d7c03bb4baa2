"""Reads load reports, and cache events when wanted, within a bounded rate.

Only the replicas of the daemon's subsets are asked, one after the other, so the
cost does not grow with the number of replicas.  A replica that has not answered
yet is not asked again.  Engines are asked in every round; applications, whose
calls are over sooner than a report is read, in rounds some seconds apart, for
their word on leaving.  Each round also asks one replica that left by its own
word, which it may have taken back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.errors import ExecutionStatus, PassgateError
from passgate.routing.context import RoutingContext
from passgate.routing.replica_directory import ReplicaInfo
from passgate.schema import MachineRole
from passgate.state.specs import PoolSpec

REPORT_TIMEOUT_S = 2.0
CLEANING_INTERVAL_S = 10.0
IDLE_S = 1.0
"""Pause while there is no replica to ask."""

REPORTING = (MachineRole.ENGINE, MachineRole.APP)


class LoadPoller:
    """Background task that keeps load reports fresh."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context
        self._task: asyncio.Task[None] | None = None
        self._reads: dict[str, asyncio.Task[None]] = {}
        self._failures: dict[str, int] = {}
        self._cleaned_s = 0.0
        self._apps_read_s = float("-inf")
        self._rounds = 0

    def start(self) -> None:
        """Start reading; needs a running loop."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop reading."""
        tasks = [task for task in (self._task, *self._reads.values()) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._task = None

    async def _run(self) -> None:
        while True:
            replicas = self._next_round(monotonic_s())
            pause_s = self._pause_s(len(replicas))
            for replica in replicas:
                self._begin_read(replica)
                await asyncio.sleep(pause_s)
            if not replicas:
                await asyncio.sleep(IDLE_S)
            self._clean()

    def _pause_s(self, count: int) -> float:
        policy = self._context.policy
        return max(policy.report_interval_s / max(count, 1), 1.0 / policy.reports_per_s)

    def _next_round(self, now_s: float) -> list[ReplicaInfo]:
        chooser = self._context.gate.scheduler.chooser
        replicas = self._of_pools(MachineRole.ENGINE, chooser.subset)
        if now_s - self._apps_read_s >= self._context.policy.app_report_interval_s:
            self._apps_read_s = now_s
            replicas += self._of_pools(MachineRole.APP, chooser.subset)
        returning = [replica for role in REPORTING for replica in self._of_pools(role, chooser.returning)]
        self._rounds += 1
        if returning:
            replicas.append(returning[self._rounds % len(returning)])
        return replicas

    def _of_pools(
        self, role: MachineRole, replicas: Callable[[PoolSpec], list[ReplicaInfo]]
    ) -> list[ReplicaInfo]:
        found = {
            replica.replica_id: replica
            for pool in self._context.pools()
            if pool.role is role
            for replica in replicas(pool)
        }
        return list(found.values())

    def _begin_read(self, replica: ReplicaInfo) -> None:
        name = replica.replica_id
        if name not in self._reads:
            task = asyncio.create_task(self._read(replica))
            self._reads[name] = task
            task.add_done_callback(lambda _: self._reads.pop(name, None))

    async def _read(self, replica: ReplicaInfo) -> None:
        context = self._context
        client = context.app if replica.role is MachineRole.APP else context.engine
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await client.load_report(replica.address)
        except (PassgateError, TimeoutError) as error:
            context.counters.reports_failed += 1
            if replica.role is MachineRole.ENGINE or _shows_nobody(error):
                self._note_failure(replica.replica_id)
            return
        if report.replica_id != replica.replica_id:
            context.counters.reports_failed += 1
            return
        self._failures.pop(replica.replica_id, None)
        context.counters.reports_read += 1
        context.gate.apply_report(report)
        if context.policy.cache_events and replica.role is MachineRole.ENGINE:
            await self._read_cache_events(replica)

    async def _read_cache_events(self, replica: ReplicaInfo) -> None:
        prefixes = self._context.gate.scheduler.prefixes
        after = prefixes.last_sequence(replica.replica_id)
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                events = await self._context.engine.cache_events(replica.address, after)
        except (PassgateError, TimeoutError):
            return
        prefixes.apply(replica.replica_id, events)

    def _note_failure(self, replica_id: str) -> None:
        """Two unread reports in a row show that the replica can not be reached."""
        failures = self._failures.get(replica_id, 0) + 1
        self._failures[replica_id] = failures
        if failures >= 2:
            self._context.gate.scheduler.health.record_failure(replica_id, monotonic_s(), unreachable=True)

    def _clean(self) -> None:
        now_s = monotonic_s()
        if now_s - self._cleaned_s >= CLEANING_INTERVAL_S:
            self._cleaned_s = now_s
            self._context.gate.scheduler.clean(now_s)


def _shows_nobody(error: PassgateError | TimeoutError) -> bool:
    """Whether nobody answered; an application without reports answers, and may work well."""
    return isinstance(error, TimeoutError) or error.execution is ExecutionStatus.NOT_RUN
