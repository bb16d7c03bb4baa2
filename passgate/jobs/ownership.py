"""Decides which jobs this daemon runs and starts and stops their runners.

The daemon that accepts a job owns it.  Any batch of a writer on the log renews
its leases; of a writer that is silent for too long another daemon takes the jobs
over by a claim with the next epoch, and the first such claim on the log counts.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobOwned
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.journal import Journal
from passgate.jobs.records import JobClaimed, WriterAlive
from passgate.jobs.runner import JobRunner
from passgate.sharedlog.tail import Freshness

logger = logging.getLogger("passgate.jobs")

TICK_S = 0.1
RENEW_S = 0.4
"""A daemon that owns or leads something appends at least this often."""
TAKEOVER_S = 1.5
"""Silence of an owner after which its jobs are taken over."""
TAKEOVER_SPREAD_S = 0.3
"""Random part of the wait, so that few daemons claim at once."""
FRESH_S = 1.6
"""Only a daemon that has read the whole log this recently judges others."""

RunnerFactory = Callable[[JobState], JobRunner | None]


def daemon_of(writer: str) -> str:
    """Return the daemon of a writer, whose name ends with what tells its lives apart.

    >>> daemon_of("front-1.5f3a")
    'front-1'
    """
    return writer.rpartition(".")[0]


class Ownership:
    """Keeps the runners of this daemon in step with the fold."""

    def __init__(
        self,
        fold: JobFold,
        journal: Journal,
        freshness: Freshness,
        make_runner: RunnerFactory,
        decisions: DecisionLog,
    ) -> None:
        self._fold = fold
        self._journal = journal
        self._freshness = freshness
        self._make_runner = make_runner
        self._decisions = decisions
        self._runners: dict[str, tuple[JobRunner, asyncio.Task[None]]] = {}
        self._claiming: set[str] = set()
        self._renewal: asyncio.Future[int] | None = None
        self._started_s = monotonic_s()
        self.stopping = False

    @property
    def me(self) -> str:
        """Name of this daemon's present life."""
        return self._journal.writer

    @property
    def running(self) -> int:
        """Number of jobs that this daemon runs."""
        return len(self._runners)

    async def run(self) -> None:
        """Tick until cancelled, then end all runners."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_S)
        finally:
            for _, task in self._runners.values():
                task.cancel()

    def save_all(self) -> None:
        """Record the events of all running items, before others take the jobs over."""
        for runner, _ in self._runners.values():
            runner.save()

    def tick(self) -> None:
        """Start, stop and claim as the fold says."""
        now_s = monotonic_s()
        for job in [job for job in self._fold.jobs.values() if job.open]:
            if job.owner == self.me:
                self._ensure_runner(job)
            elif not self.stopping and self._may_claim(job, now_s):
                self._claim(job, now_s)
        self._stop_runners()
        if self._runners:
            self.renew(now_s)

    def renew(self, now_s: float) -> None:
        """Append a renewal when nothing else was appended for some time."""
        waiting = self._renewal is not None and not self._renewal.done()
        if not waiting and now_s - self._journal.appended_s >= RENEW_S:
            fence = self._fold.leader_fence if self._fold.leader == self.me else -1
            self._renewal = self._journal.put(WriterAlive(fence=fence))

    def silent_s(self, writer: str, now_s: float) -> float:
        """Return for how long a writer has surely been silent while this daemon could read."""
        heard_s = self._fold.heard_s.get(writer, self._started_s)
        return now_s - max(heard_s, self._freshness.recovered_s)

    def reads_log(self, now_s: float) -> bool:
        """Whether this daemon's view of the log is recent enough to judge others."""
        return self._freshness.age_s(now_s) < FRESH_S

    def _may_claim(self, job: JobState, now_s: float) -> bool:
        if job.job_id in self._claiming or not self.reads_log(now_s):
            return False
        if not job.owner or daemon_of(job.owner) == daemon_of(self.me):
            return True
        patience_s = TAKEOVER_S + random.random() * TAKEOVER_SPREAD_S + 0.1 * len(self._runners)
        return self.silent_s(job.owner, now_s) > patience_s

    def _claim(self, job: JobState, now_s: float) -> None:
        self._claiming.add(job.job_id)
        claim = JobClaimed(job_id=job.job_id, owner=self.me, epoch=job.epoch + 1)
        previous, silent_s = job.owner, self.silent_s(job.owner, now_s)
        future = self._journal.put(claim)

        def done(_: asyncio.Future[int]) -> None:
            asyncio.get_running_loop().call_later(0.5, self._claiming.discard, job.job_id)
            self._decisions.write(
                JobOwned(
                    job_id=job.job_id,
                    epoch=claim.epoch,
                    previous_owner=previous,
                    silent_s=round(min(silent_s, 1e6), 3),
                )
            )

        future.add_done_callback(done)

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
            if job is None or not job.open or job.owner != self.me:
                runner.save()
                task.cancel()
                del self._runners[job_id]
            elif task.done() and task.exception() is not None:
                del self._runners[job_id]


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("job_runner_failed", exc_info=task.exception())
