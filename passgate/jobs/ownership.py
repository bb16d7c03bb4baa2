"""Decides which jobs of a partition this daemon runs and starts and stops their runners.

A job is born with an owner.  Any batch of a writer on the partition renews its
leases; of a writer that ended or is silent for too long the partition's watcher takes
the jobs over by a claim with the next epoch, and the first such claim on the log
counts.  Other daemons that follow the partition wait somewhat longer and do the same.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ItemListed, JobFreed, JobOwned
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import Sign
from passgate.jobs.records import ItemProgressed, ItemsDone, JobClaimed, Result, ResultState, daemon_of
from passgate.jobs.runner import GIVE_UP_MARGIN_S, JobRunner
from passgate.jobs.take_over import Handed, TakeOver
from passgate.sharedlog.tail import FRESH_S, Freshness

logger = logging.getLogger("passgate.jobs")

TAKEOVER_S = 1.5
"""Silence of an owner after which its jobs are taken over."""
ASK_S = 0.55
"""Silence of an owner after which it is asked whether it lives; it appends each 0.4 s."""
DEAD_S = 0.8
"""Silence after which an owner that does not answer either counts as dead."""
BYSTANDER_S = 2.0
"""Time that daemons which do not watch the partition leave to the one that does."""
CLAIMED_S = 2.0
"""Time after a hand-over within which the claim of whoever asked for it stands on the log."""
CLAIM_PAUSE_S = 0.5
"""Time after a claim stands on the log within which it must have been read."""
TAKEOVER_SPREAD_S = 0.3
"""Random part of the wait, so that few daemons claim at once."""

NEVER_S = float("-inf")
NEVER_GIVEN_UP_S = float("inf")
"""Time to live of a job that is listed by its runner only, however long that takes."""
NOBODY = ""
"""Owner of a job that any watcher may claim at once."""

RunnerFactory = Callable[[JobState], JobRunner | None]
"""Makes a job's runner; None while no route fits."""


class Ownership:
    """Keeps the runners of this daemon in step with the fold of one partition."""

    def __init__(
        self,
        fold: JobFold,
        journal: Journal,
        freshness: Freshness,
        make_runner: RunnerFactory,
        take_over: TakeOver,
        decisions: DecisionLog,
        may_own: Callable[[JobState], bool] = lambda job: True,
        time_to_live_s: Callable[[JobState], float] = lambda job: NEVER_GIVEN_UP_S,
    ) -> None:
        """Begin with no runner.

        ``may_own`` tells whether this daemon's region may hold a job's bodies, ``time_to_live_s``
        after which time its items may be given up.
        """
        self._may_own = may_own
        self._time_to_live_s = time_to_live_s
        self._given_up: set[str] = set()
        """Jobs whose items without a result were put on the log as dead."""
        self._fold = fold
        self._journal = journal
        self._freshness = freshness
        self._make_runner = make_runner
        self._take_over = take_over
        self._decisions = decisions
        self._runners: dict[str, tuple[JobRunner, asyncio.Task[None]]] = {}
        self._claiming: set[str] = set()
        self._handed_over_s: dict[str, float] = {}
        """Jobs whose runs were stopped for another daemon, with the time."""
        self.stopping = False

    @property
    def me(self) -> str:
        """Name of this daemon's present life."""
        return self._journal.writer

    @property
    def running(self) -> int:
        """Number of jobs that this daemon runs."""
        return len(self._runners)

    def owns_any(self) -> bool:
        """Whether an open job of the partition is this daemon's."""
        return any(job.open and job.owner == self.me for job in self._fold.jobs.values())

    def save_all(self) -> None:
        """Record the events of all running items, before others take the jobs over."""
        for runner, _ in self._runners.values():
            runner.save()

    def hand_over(self) -> Handed:
        """Stop all runs, as the log does not take what they make; return what does not stand there."""
        now_s = monotonic_s()
        self.save_all()
        for job_id in self._runners:
            self._handed_over_s[job_id] = now_s
        self.cancel_all()
        return [entry for entry in self._journal.pending() if isinstance(entry, ItemsDone | ItemProgressed)]

    def cancel_all(self) -> None:
        """End all runners."""
        for _, task in self._runners.values():
            task.cancel()
        self._runners.clear()

    def tick(self, *, watching: bool) -> None:
        """Start, stop and claim as the fold says.

        Args:
            watching: whether this daemon watches the partition for all.
        """
        now_s = monotonic_s()
        self.start_runners()
        for job in [job for job in self._fold.jobs.values() if job.open]:
            if job.owner == self.me:
                if self._only_to_give_up(job, now_s):
                    self._give_up(job, now_s)
                else:
                    self._free_if_barred(job)
            elif not self.stopping and self._may_claim(job, watching, now_s):
                self._claim(job, now_s)
        self._stop_runners()
        self._given_up.intersection_update(self._fold.jobs)
        if self._runners:
            self._journal.renew()

    def start_runners(self) -> None:
        """Run the open jobs that this daemon owns; called also as soon as records were read."""
        for job in [job for job in self._fold.jobs.values() if job.open and job.owner == self.me]:
            if not self._is_handed_over(job.job_id) and self._may_run(job):
                self._ensure_runner(job)

    def _may_run(self, job: JobState) -> bool:
        """Whether this daemon may own a job and has its bodies."""
        return self._may_own(job) and job.bound is None

    def _only_to_give_up(self, job: JobState, now_s: float) -> bool:
        """Whether a job that can't be run here is so old that its items are given up, without its bodies."""
        age_s = now_s - job.folded_s
        return not self._may_run(job) and age_s > self._time_to_live_s(job) + GIVE_UP_MARGIN_S

    def _give_up(self, job: JobState, now_s: float) -> None:
        """List what has no result as dead, once; whoever may run the job has not done so in time."""
        if job.job_id in self._given_up:
            return
        self._given_up.add(job.job_id)
        dead = tuple(
            Result(item_id=item_id, state=ResultState.DEAD)
            for item_id in sorted(job.item_ids - job.listed.keys())
        )
        elapsed_ms = round((now_s - job.folded_s) * 1000, 1)
        for result in dead:
            self._journal.put(ItemsDone(job_id=job.job_id, results=(result,)))
            self._decisions.write(
                ItemListed(
                    job_id=job.job_id,
                    item_id=result.item_id,
                    state=result.state.value,
                    versions=result.versions,
                    attempts=0,
                    elapsed_ms=elapsed_ms,
                    scored=False,
                )
            )

    def _is_handed_over(self, job_id: str) -> bool:
        """Whether another daemon may have claimed a job, which is not known while the log is away."""
        handed_over_s = self._handed_over_s.get(job_id)
        if handed_over_s is None:
            return False
        now_s = monotonic_s()
        if now_s - handed_over_s < CLAIMED_S or self._freshness.age_s(now_s) >= FRESH_S:
            return True
        del self._handed_over_s[job_id]
        return False

    def _may_claim(self, job: JobState, watching: bool, now_s: float) -> bool:
        if job.job_id in self._claiming or self._freshness.age_s(now_s) >= FRESH_S:
            return False
        if not self._may_run(job) and not self._only_to_give_up(job, now_s):
            return False
        patience_s = 0.0 if watching else BYSTANDER_S + random.random()
        if not job.owner:
            return now_s - job.freed_s >= patience_s
        if watching and self._is_dead(job, now_s):
            return True
        patience_s += TAKEOVER_S + random.random() * TAKEOVER_SPREAD_S
        return self._silent_s(job, now_s) > patience_s

    def _is_dead(self, job: JobState, now_s: float) -> bool:
        writer = job.owner
        if daemon_of(writer) == daemon_of(self.me):
            return True
        heard_s = self._fold.heard_s.get(writer, NEVER_S)
        silent_s = self._silent_s(job, now_s)
        if heard_s > NEVER_S and silent_s < ASK_S:
            return False
        sign = self._take_over.liveness.sign_of(writer, heard_s)
        if sign is Sign.CUT_OFF:
            return self._take_over.log_answers()
        return sign is Sign.REPLACED or (sign is Sign.SILENT and silent_s >= DEAD_S)

    def _silent_s(self, job: JobState, now_s: float) -> float:
        """Return for how long the owner has been silent about a job.

        One that had no job of the partition appended nothing there, so what came before it was
        given this one says nothing; counted in, other zones took 13 of 19 jobs from living owners.
        """
        heard_s = self._fold.heard_s.get(job.owner, NEVER_S)
        return self._freshness.silence_s(max(heard_s, job.freed_s), now_s)

    def _claim(self, job: JobState, now_s: float) -> None:
        self._claiming.add(job.job_id)
        silent_s = self._silent_s(job, now_s)
        task = asyncio.get_running_loop().create_task(self._put_claim(job, silent_s))
        task.add_done_callback(_log_failure)

    async def _put_claim(self, job: JobState, silent_s: float) -> None:
        """Claim a job; what its owner made and could not append goes before the claim."""
        previous, epoch = job.owner, job.epoch
        heard_s = self._fold.heard_s.get(previous, NEVER_S)
        if previous and self._take_over.liveness.sign_of(previous, heard_s) is Sign.CUT_OFF:
            for entry in await self._take_over.hand_over(previous):
                self._journal.put(entry)
        try:
            await self._journal.put(JobClaimed(job_id=job.job_id, owner=self.me, epoch=epoch + 1))
        finally:
            asyncio.get_running_loop().call_later(CLAIM_PAUSE_S, self._claiming.discard, job.job_id)
        self._decisions.write(
            JobOwned(
                job_id=job.job_id,
                epoch=epoch + 1,
                previous_owner=previous,
                silent_s=round(min(silent_s, 1e6), 3),
            )
        )

    def _free_if_barred(self, job: JobState) -> None:
        """Leave a job to others once a changed configuration keeps it from this daemon's region."""
        if self._may_own(job) or job.job_id in self._claiming:
            return
        self._claiming.add(job.job_id)
        freed = JobClaimed(job_id=job.job_id, owner=NOBODY, epoch=job.epoch + 1)
        stands = self._journal.put(freed)
        stands.add_done_callback(lambda _: self._claiming.discard(job.job_id))
        self._decisions.write(JobFreed(job_id=job.job_id, epoch=job.epoch + 1))

    def _ensure_runner(self, job: JobState) -> None:
        if job.job_id in self._runners:
            return
        runner = self._make_runner(job)
        if runner is None:
            return
        task = asyncio.get_running_loop().create_task(runner.run())
        task.add_done_callback(_log_failure)
        self._runners[job.job_id] = (runner, task)

    def _stop_runners(self) -> None:
        for job_id, (runner, task) in list(self._runners.items()):
            job = self._fold.jobs.get(job_id)
            if job is None or not job.open or job.owner != self.me or not self._may_own(job):
                runner.save()
                task.cancel()
                del self._runners[job_id]
            elif task.done() and task.exception() is not None:
                del self._runners[job_id]


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("job_runner_failed", exc_info=task.exception())
