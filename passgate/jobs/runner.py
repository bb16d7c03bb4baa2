"""Runs the items of one job until each has a result on the log.

Items wait for a replica with a free slot: first those that an earlier job did not
finish, then the longest expected, as these decide when a step is whole.  What the
log keeps of an item from an earlier run or job is used where its versions fit.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import ItemListed
from passgate.gateway.access import scoped_id
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.item_run import ItemRun, ItemTools
from passgate.jobs.journal import Journal
from passgate.jobs.records import ItemsDone, ItemSpec, JobSpec, Result, ResultState, RewardSpec
from passgate.jobs.reward_call import RewardCall
from passgate.jobs.timing import JobTiming
from passgate.jobs.waiting import Rank

logger = logging.getLogger("passgate.jobs")

CHECKPOINT_S = 0.3
"""Time between the records of a running item's events."""
GIVE_UP_MARGIN_S = 5.0
"""Items are given up this much later than the route allows; clocks of daemons differ."""
CHECKPOINT_AGE_S = 0.4
"""Items that run for less than this are not recorded before their end."""


class JobRunner:
    """Runs one job; cancel its task when the job is not this daemon's any more."""

    def __init__(self, job: JobState, fold: JobFold, journal: Journal, tools: ItemTools) -> None:
        self._job = job
        self._fold = fold
        self._journal = journal
        self._tools = tools
        self._spec: JobSpec = job.spec()
        self._running: dict[str, ItemRun] = {}
        self._timing = JobTiming(self._spec, job.folded_s)

    async def run(self) -> None:
        """Run all items that have no result; return when nothing is left to do."""
        try:
            async with asyncio.timeout(self._time_left_s()):
                await self._run_items()
        except TimeoutError:
            self._give_up()

    def _time_left_s(self) -> float:
        age_s = monotonic_s() - self._job.folded_s
        return max(self._tools.route.item_time_to_live_s + GIVE_UP_MARGIN_S - age_s, 0.0)

    async def _run_items(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            checkpoints = tasks.create_task(self._checkpoint_often())
            async with asyncio.TaskGroup() as items:
                for rank, item in self._in_order():
                    await self._start(item, rank, items)
            checkpoints.cancel()

    def _give_up(self) -> None:
        """List what has no result after the time that the route allows."""
        for item in self._spec.items:
            if item.id not in self._job.listed:
                dead = Result(item_id=item.id, state=ResultState.DEAD)
                self._list(item, dead, attempts=0, began_s=self._job.folded_s)

    def save(self, min_age_s: float = 0.0) -> None:
        """Record the events of the items that run for at least ``min_age_s``."""
        now_s = monotonic_s()
        for run in self._running.values():
            if now_s - run.began_s >= min_age_s and (entry := run.checkpoint.entry()) is not None:
                self._journal.put(entry)

    def _in_order(self) -> list[tuple[Rank, ItemSpec]]:
        """Return the items without a result: those known from earlier jobs first, then the longest."""
        left = [item for item in self._spec.items if item.id not in self._job.listed]
        longest_s = max((self._expected_s(item) for item in left), default=0.0)
        return [(self._rank(item, longest_s), item) for item in sorted(left, key=self._order)]

    def _order(self, item: ItemSpec) -> tuple[bool, float]:
        return (not self._is_known(item), -self._tools.expected_tokens(item))

    def _is_known(self, item: ItemSpec) -> bool:
        key = self._key(item.id)
        return key in self._fold.kept or key in self._fold.finished

    def _key(self, item_id: str) -> str:
        """Return the name under which the fold keeps what was made of an item."""
        return scoped_id(self._spec.tenant, item_id)

    def _expected_s(self, item: ItemSpec) -> float:
        return self._tools.durations.expected_s(self._spec.model, self._tools.expected_tokens(item))

    def _rank(self, item: ItemSpec, longest_s: float) -> Rank:
        slack_s = 0.0 if self._is_known(item) else longest_s - self._expected_s(item)
        return Rank(start_s=self._job.folded_s + slack_s, fresh=True, number=id(item))

    async def _start(self, item: ItemSpec, rank: Rank, items: asyncio.TaskGroup) -> None:
        earlier = self._known_text(item.id)
        if earlier is not None:
            items.create_task(self._score(item, earlier, attempts=0, began_s=monotonic_s()))
            return
        kept = self._fold.kept.get(self._key(item.id))
        run = ItemRun(self._spec, item, self._tools, kept, rank, self._timing)
        if not run.waits_apart:
            await run.wait_for_replica()
        task = items.create_task(self._run_item(run))
        task.add_done_callback(lambda _: run.release())

    def _known_text(self, item_id: str) -> Result | None:
        """Return the whole text of an item from an earlier job or owner, if its versions fit."""
        earlier = self._fold.finished.get(self._key(item_id))
        if earlier is not None and self._fits(earlier):
            return earlier
        kept = self._fold.kept.get(self._key(item_id))
        if kept is None or not kept.whole:
            return None
        whole = Result(
            item_id=item_id,
            state=ResultState.SUCCEEDED,
            text=kept.text(),
            versions=kept.distinct_versions(),
        )
        return whole if self._fits(whole) else None

    def _fits(self, result: Result) -> bool:
        if result.state is not ResultState.SUCCEEDED or not result.versions:
            return False
        if self._tools.route.single_version and len(result.versions) > 1:
            return False
        return min(result.versions) >= self._spec.min_version

    async def _run_item(self, run: ItemRun) -> None:
        self._running[run.item.id] = run
        try:
            result = await run.result()
        finally:
            del self._running[run.item.id]
        self._learn(run, result)
        if run.item.reward is not None and result.state is ResultState.SUCCEEDED:
            self._journal.put(run.checkpoint.last_entry())
        await self._score(run.item, result, run.attempts, run.began_s)

    def _learn(self, run: ItemRun, result: Result) -> None:
        """Note how long a whole output took that was made in one piece."""
        if run.attempts == 1 and not run.resumed and result.state is ResultState.SUCCEEDED:
            tokens = self._tools.expected_tokens(run.item)
            self._tools.durations.observe(self._spec.model, tokens, monotonic_s() - run.sent_s)

    async def _score(self, item: ItemSpec, result: Result, attempts: int, began_s: float) -> None:
        """Have a whole text scored where the item asks for it, and list the result."""
        if item.reward is not None and result.state is ResultState.SUCCEEDED:
            result = await self._scored(item, item.reward, result)
        self._list(item, result, attempts, began_s)

    async def _scored(self, item: ItemSpec, reward: RewardSpec, result: Result) -> Result:
        if result.score is not None and result.score.call_id == reward.id:
            return result
        call = RewardCall(self._spec.job_id, item.id, reward, self._tools.rewards, self._spec.tenant)
        score = await call.score(self._tools.route.max_attempts)
        if score is None:
            return Result(item_id=item.id, state=ResultState.DEAD)
        return msgspec.structs.replace(result, score=score)

    async def _checkpoint_often(self) -> None:
        while True:
            await asyncio.sleep(CHECKPOINT_S)
            self.save(CHECKPOINT_AGE_S)

    def _list(self, item: ItemSpec, result: Result, attempts: int, began_s: float) -> None:
        self._journal.put(ItemsDone(job_id=self._spec.job_id, results=(result,)))
        self._tools.decisions.write(
            ItemListed(
                job_id=self._spec.job_id,
                item_id=result.item_id,
                state=result.state.value,
                versions=result.versions,
                attempts=attempts,
                elapsed_ms=round((monotonic_s() - began_s) * 1000, 1),
                scored=result.score is not None,
            )
        )
        whole = self._timing.listed(item, monotonic_s(), self._job.listed.keys())
        if whole is not None:
            self._tools.decisions.write(whole)
