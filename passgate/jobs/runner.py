"""Runs the items of one job until a result of each is queued for the log.

Items are started in order: first those with progress from an earlier run or job, then those with the
longest expected output, as these determine when the job is complete.  Earlier progress on the log
is reused if its weight versions satisfy the job.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import ItemResultRecorded
from passgate.gateway.access import tenant_scoped_id
from passgate.jobs.item_run import ItemRun, ItemRunContext
from passgate.jobs.job_route import ServiceChoice
from passgate.jobs.job_timing import JobTiming
from passgate.jobs.journal import Journal
from passgate.jobs.projection import JobProjection, JobState
from passgate.jobs.records import ItemsDone, ItemSpec, JobSpec, Result, ResultState, RewardSpec
from passgate.jobs.reward_call import RewardCall
from passgate.jobs.wait_queues import Rank

logger = logging.getLogger("passgate.jobs")

CHECKPOINT_INTERVAL_S = 0.3
"""Time between two checks for new events of running items, which are then recorded on the log."""
EXPIRY_MARGIN_S = 5.0
"""Time added to the items' time to live before they expire, as daemons read a job at different times."""
MIN_CHECKPOINT_AGE_S = 0.4
"""Age of an item's run below which its events are not recorded periodically."""


class _PendingItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item that has not been started yet."""

    spec: ItemSpec
    rank: Rank
    service_choice: ServiceChoice


class JobRunner:
    """Runs one job; its task must be cancelled when this daemon no longer owns the job."""

    def __init__(
        self, job: JobState, projection: JobProjection, journal: Journal, context: ItemRunContext
    ) -> None:
        self._job = job
        self._projection = projection
        self._journal = journal
        self._context = context
        self._spec: JobSpec = job.spec()
        self._run_by_item: dict[str, ItemRun] = {}
        self._timing = JobTiming(self._spec, job.known_since_s)

    async def run(self) -> None:
        """Run all items without a result; return when all results are queued for the log.

        Items without a result EXPIRY_MARGIN_S after the end of their time to live get the result DEAD.
        """
        try:
            async with asyncio.timeout(self._time_left_s()) as expiry:
                await self._run_items(expiry)
        except TimeoutError:
            self._expire_items()

    def _time_left_s(self) -> float:
        age_s = monotonic_s() - self._job.known_since_s
        return max(self._context.route.item_time_to_live_s + EXPIRY_MARGIN_S - age_s, 0.0)

    async def _run_items(self, expiry: asyncio.Timeout) -> None:
        async with asyncio.TaskGroup() as tasks:
            checkpoints = tasks.create_task(self._record_progress_periodically(expiry))
            async with asyncio.TaskGroup() as items:
                for pending in self._pending_items_by_service().values():
                    items.create_task(self._start_in_order(pending, items))
            checkpoints.cancel()

    async def _start_in_order(self, pending: list[_PendingItem], task_group: asyncio.TaskGroup) -> None:
        """Start items one after the other, each once a slot is reserved for it."""
        for item in pending:
            await self._start_item(item, task_group)

    def _expire_items(self) -> None:
        """Queue the result DEAD for all items that have no result on the log."""
        for item in self._spec.items:
            if item.id not in self._job.position_by_item:
                dead = Result(item_id=item.id, state=ResultState.DEAD)
                self._append_result(item, dead, attempts=0, started_s=self._job.known_since_s)

    def record_progress(self, min_age_s: float = 0.0) -> None:
        """Queue the new events of all items that have run for at least ``min_age_s`` for the log."""
        now_s = monotonic_s()
        for run in self._run_by_item.values():
            if now_s - run.started_s >= min_age_s and (entry := run.checkpointer.take_entry()) is not None:
                self._journal.put(entry)

    def _ranked_items(self) -> list[tuple[Rank, ItemSpec]]:
        """Return the items without a result and their ranks: first those with progress, then the longest."""
        unfinished = [item for item in self._spec.items if item.id not in self._job.position_by_item]
        longest_s = max((self._expected_s(item) for item in unfinished), default=0.0)
        return [(self._rank(item, longest_s), item) for item in sorted(unfinished, key=self._sort_key)]

    def _pending_items_by_service(self) -> dict[str, list[_PendingItem]]:
        """Return the items without a result, in their order, by the service that is picked for each.

        So a service without a free slot does not delay the items of the others.
        """
        pending_by_service: dict[str, list[_PendingItem]] = {}
        for rank, item in self._ranked_items():
            choice = self._context.choose_service(waiting_since_s=monotonic_s())
            pending = _PendingItem(spec=item, rank=rank, service_choice=choice)
            pending_by_service.setdefault(choice.picked, []).append(pending)
        return pending_by_service

    def _sort_key(self, item: ItemSpec) -> tuple[bool, float]:
        return (not self._has_earlier_progress(item), -self._context.expected_tokens(item))

    def _has_earlier_progress(self, item: ItemSpec) -> bool:
        key = self._item_key(item.id)
        return (
            key in self._projection.recorded_events_by_item or key in self._projection.newest_result_by_item
        )

    def _item_key(self, item_id: str) -> str:
        """Return the key of an item in the projection's mappings: its tenant and its id."""
        return tenant_scoped_id(self._spec.tenant, item_id)

    def _expected_s(self, item: ItemSpec) -> float:
        return self._context.durations.expected_s(self._spec.model, self._context.expected_tokens(item))

    def _rank(self, item: ItemSpec, longest_s: float) -> Rank:
        """Return an item's rank; ``longest_s`` is the longest expected time of the job's unfinished items."""
        slack_s = 0.0 if self._has_earlier_progress(item) else longest_s - self._expected_s(item)
        return Rank(latest_start_s=self._job.known_since_s + slack_s, unsent=True, tie_breaker=id(item))

    async def _start_item(self, pending: _PendingItem, task_group: asyncio.TaskGroup) -> None:
        """Start a task that runs an item, or only scores it if an earlier complete text is usable.

        Waits first until a slot is reserved for the run, so that items start in order.
        """
        item = pending.spec
        earlier_result = self._earlier_result(item.id)
        if earlier_result is not None:
            task_group.create_task(self._list_earlier_result(pending, earlier_result))
            return
        run = self._make_run(pending)
        await run.wait_for_replica()
        task = task_group.create_task(self._run_item(run))
        task.add_done_callback(lambda _: run.release_slot())

    def _make_run(self, pending: _PendingItem) -> ItemRun:
        item = pending.spec
        return ItemRun(
            self._spec,
            item,
            self._context,
            self._projection.recorded_events_by_item.get(self._item_key(item.id)),
            pending.rank,
            self._timing,
            pending.service_choice,
        )

    async def _list_earlier_result(self, pending: _PendingItem, result: Result) -> None:
        """Score and list an earlier result, or run the item if the result is not allowed any more."""
        if not await self._score_and_append(pending.spec, result, attempts=0, started_s=monotonic_s()):
            run = self._make_run(pending)
            try:
                await self._run_item(run)
            finally:
                run.release_slot()

    def _earlier_result(self, item_id: str) -> Result | None:
        """Return an item's complete output from an earlier job or owner, if its versions satisfy the job."""
        earlier_result = self._projection.newest_result_by_item.get(self._item_key(item_id))
        if earlier_result is not None and self._is_usable(earlier_result):
            return earlier_result
        recorded_events = self._projection.recorded_events_by_item.get(self._item_key(item_id))
        if recorded_events is None or not recorded_events.complete:
            return None
        result = Result(
            item_id=item_id,
            state=ResultState.SUCCEEDED,
            text=recorded_events.text(),
            versions=recorded_events.distinct_versions(),
        )
        return result if self._is_usable(result) else None

    def _is_usable(self, result: Result) -> bool:
        """Whether the job accepts the weight versions of a successful result."""
        if result.state is not ResultState.SUCCEEDED or not result.versions:
            return False
        return self._context.version_rule(self._spec).allows(result.versions)

    async def _run_item(self, run: ItemRun) -> None:
        """Run an item until a result of it is queued for the log."""
        is_listed = False
        while not is_listed:
            self._run_by_item[run.item.id] = run
            try:
                result = await run.run()
            finally:
                del self._run_by_item[run.item.id]
            self._record_duration(run, result)
            if run.item.reward is not None and result.state is ResultState.SUCCEEDED:
                self._journal.put(run.checkpointer.take_final_entry())
            is_listed = await self._score_and_append(run.item, result, run.attempts, run.started_s)
            if not is_listed:
                run.start_over()

    def _record_duration(self, run: ItemRun, result: Result) -> None:
        """Record the duration of an output if a single attempt completed it."""
        if run.attempts == 1 and not run.resumed and result.state is ResultState.SUCCEEDED:
            tokens = self._context.expected_tokens(run.item)
            self._context.durations.record_output(
                self._spec.model, tokens, monotonic_s() - run.last_attempt_sent_s
            )

    async def _score_and_append(
        self, item: ItemSpec, result: Result, attempts: int, started_s: float
    ) -> bool:
        """Send the reward call of a succeeded item, if it has one, and queue the result for the log.

        Returns whether the result was queued; see :meth:`_append_result`.
        """
        if item.reward is not None and result.state is ResultState.SUCCEEDED:
            result = await self._score_result(item, item.reward, result)
        return self._append_result(item, result, attempts, started_s)

    async def _score_result(self, item: ItemSpec, reward: RewardSpec, result: Result) -> Result:
        if result.score is not None and result.score.call_id == reward.id:
            return result
        call = RewardCall(
            self._spec.job_id,
            item.id,
            reward,
            self._context.reward_context,
            self._context.send_permission,
            self._spec.tenant,
        )
        score = await call.request_score(self._context.route.max_attempts)
        if score is None:
            return Result(item_id=item.id, state=ResultState.DEAD)
        return msgspec.structs.replace(result, score=score)

    async def _record_progress_periodically(self, expiry: asyncio.Timeout) -> None:
        """Record progress, and adjust the expiry of the items to the active configuration."""
        while True:
            await asyncio.sleep(CHECKPOINT_INTERVAL_S)
            if not expiry.expired():
                expiry.reschedule(monotonic_s() + self._time_left_s())
            # A record would renew the lease, although no further item may be sent.
            if self._context.send_permission.is_granted():
                self.record_progress(MIN_CHECKPOINT_AGE_S)

    def _append_result(self, item: ItemSpec, result: Result, attempts: int, started_s: float) -> bool:
        """Queue a result for the log; return False, and do nothing, if its versions are not allowed.

        All results of runs pass this check.  The configuration may have changed since the last event.
        """
        violation = self._context.version_rule(self._spec).violation(result.versions)
        if result.state is ResultState.SUCCEEDED and violation is not None:
            logger.warning("result_discarded", extra={"item": item.id, "error": str(violation)})
            return False
        self._journal.put(ItemsDone(job_id=self._spec.job_id, results=(result,)))
        self._context.decisions.write(
            ItemResultRecorded(
                job_id=self._spec.job_id,
                item_id=result.item_id,
                state=result.state.value,
                versions=result.versions,
                attempts=attempts,
                elapsed_ms=round((monotonic_s() - started_s) * 1000, 1),
                scored=result.score is not None,
            )
        )
        timing_report = self._timing.record_result(item, monotonic_s(), self._job.position_by_item.keys())
        if timing_report is not None:
            self._context.decisions.write(timing_report)
        return True
