"""Polls replicas for load reports at a limited rate.

If the policy says so, an engine's cache events are read after each of its reports.
Only the replicas of the daemon's subsets are polled, so the cost does not grow with the
number of replicas.  Engines are polled in every round.  Application replicas are polled
less often: their calls are short, so their reports serve mainly to learn that they leave.
Each round also polls one replica that has reported that it leaves, since it may return.
A replica whose last read has not ended is not read again.
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
"""Timeout of each read of a load report or of cache events."""
CLEANUP_INTERVAL_S = 10.0
IDLE_PAUSE_S = 1.0
"""Pause between rounds while there is no replica to poll."""

POLLED_ROLES = (MachineRole.ENGINE, MachineRole.APP)


class LoadPoller:
    """Background task that reads load reports and applies them."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context
        self._task: asyncio.Task[None] | None = None
        self._read_by_replica: dict[str, asyncio.Task[None]] = {}
        self._failure_count_by_replica: dict[str, int] = {}
        self._last_cleanup_s = 0.0
        self._last_app_round_s = float("-inf")
        self._round_count = 0

    def start(self) -> None:
        """Start polling; needs a running loop."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling and cancel the reads that are running."""
        tasks = [task for task in (self._task, *self._read_by_replica.values()) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._task = None

    async def _run(self) -> None:
        while True:
            replicas = self._select_replicas(monotonic_s())
            pause_s = self._pause_s(len(replicas))
            for replica in replicas:
                self._start_read(replica)
                await asyncio.sleep(pause_s)
            if not replicas:
                await asyncio.sleep(IDLE_PAUSE_S)
            self._clean_up()

    def _pause_s(self, count: int) -> float:
        policy = self._context.policy
        return max(policy.report_interval_s / max(count, 1), 1.0 / policy.max_reports_per_s)

    def _select_replicas(self, now_s: float) -> list[ReplicaInfo]:
        chooser = self._context.slots.scheduler.chooser
        replicas = self._replicas_of_role(MachineRole.ENGINE, chooser.subset)
        if now_s - self._last_app_round_s >= self._context.policy.app_report_interval_s:
            self._last_app_round_s = now_s
            replicas += self._replicas_of_role(MachineRole.APP, chooser.subset)
        leaving = [
            replica
            for role in POLLED_ROLES
            for replica in self._replicas_of_role(role, chooser.revocably_leaving)
        ]
        self._round_count += 1
        if leaving:
            replicas.append(leaving[self._round_count % len(leaving)])
        return replicas

    def _replicas_of_role(
        self, role: MachineRole, replicas_of_pool: Callable[[PoolSpec], list[ReplicaInfo]]
    ) -> list[ReplicaInfo]:
        replica_by_id = {
            replica.replica_id: replica
            for pool in self._context.pools()
            if pool.role is role
            for replica in replicas_of_pool(pool)
        }
        return list(replica_by_id.values())

    def _start_read(self, replica: ReplicaInfo) -> None:
        replica_id = replica.replica_id
        if replica_id not in self._read_by_replica:
            task = asyncio.create_task(self._read(replica))
            self._read_by_replica[replica_id] = task
            task.add_done_callback(lambda _: self._read_by_replica.pop(replica_id, None))

    async def _read(self, replica: ReplicaInfo) -> None:
        context = self._context
        client = context.app_client if replica.role is MachineRole.APP else context.engine_client
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await client.load_report(replica.address)
        except (PassgateError, TimeoutError) as error:
            context.counters.reports_failed += 1
            if replica.role is MachineRole.ENGINE or _is_unreachable(error):
                self._record_failure(replica.replica_id)
            return
        if report.replica_id != replica.replica_id:
            context.counters.reports_failed += 1
            return
        self._failure_count_by_replica.pop(replica.replica_id, None)
        context.counters.reports_read += 1
        context.slots.apply_report(report)
        if context.policy.read_cache_events and replica.role is MachineRole.ENGINE:
            await self._read_cache_events(replica)

    async def _read_cache_events(self, replica: ReplicaInfo) -> None:
        prefix_index = self._context.slots.scheduler.prefix_index
        after_sequence = prefix_index.last_sequence(replica.replica_id)
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                events = await self._context.engine_client.cache_events(replica.address, after_sequence)
        except (PassgateError, TimeoutError):
            return  # the events are read again after the next report
        prefix_index.apply_events(replica.replica_id, events)

    def _record_failure(self, replica_id: str) -> None:
        """Record a failed read; from the second in a row on, the replica counts as unreachable."""
        failures = self._failure_count_by_replica.get(replica_id, 0) + 1
        self._failure_count_by_replica[replica_id] = failures
        if failures >= 2:
            self._context.slots.scheduler.health.record_failure(replica_id, monotonic_s(), unreachable=True)

    def _clean_up(self) -> None:
        now_s = monotonic_s()
        if now_s - self._last_cleanup_s >= CLEANUP_INTERVAL_S:
            self._last_cleanup_s = now_s
            self._context.slots.scheduler.discard_stale_state(now_s)


def _is_unreachable(error: PassgateError | TimeoutError) -> bool:
    """Whether no back end answered; an application that answers may work although it has no reports."""
    return isinstance(error, TimeoutError) or error.execution is ExecutionStatus.NOT_RUN
