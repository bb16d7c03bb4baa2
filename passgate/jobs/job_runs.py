"""The runs of one partition's jobs at this daemon: starts and stops their runners, and logs both."""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobRunStarted, JobRunStopped
from passgate.decisions.job_events import MAX_LOGGED_AGE_S
from passgate.jobs.projection import JobState
from passgate.jobs.runner import JobRunner
from passgate.sharedlog.freshness import Freshness

logger = logging.getLogger("passgate.jobs")

MakeJobRunner = Callable[[JobState], JobRunner | None]
"""Makes a job's runner; returns None while the job matches no route."""


class StopReason(enum.StrEnum):
    """Why a job is not run by this daemon any more."""

    ENDED = "ended"
    """The job was cancelled, or all its items have results."""
    TAKEN_OVER = "taken_over"
    """Another writer owns the job, or none."""
    NOT_ALLOWED = "not_allowed"
    """The active configuration excludes this daemon's region."""
    UNKNOWN_JOB = "unknown_job"
    """The job is not known any more."""
    RELEASED = "released"
    """Another daemon can claim the job, or this one closes the partition."""


class _Run(msgspec.Struct):
    """The run of a job."""

    runner: JobRunner
    task: asyncio.Task[None]
    started_s: float


class JobRuns:
    """Runs by job; a run stays until it is stopped, also when its task has ended."""

    def __init__(self, make_runner: MakeJobRunner, freshness: Freshness, decisions: DecisionLog) -> None:
        self._make_runner = make_runner
        self._freshness = freshness
        self._decisions = decisions
        self._run_by_job: dict[str, _Run] = {}

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self._run_by_job)

    def job_ids(self) -> list[str]:
        """Return the identifiers of the jobs that are run."""
        return list(self._run_by_job)

    def ensure(self, job: JobState) -> None:
        """Start the run of a job if there is none and the job matches a route."""
        if job.job_id in self._run_by_job:
            return
        runner = self._make_runner(job)
        if runner is None:
            return
        task = asyncio.get_running_loop().create_task(runner.run())
        task.add_done_callback(log_task_failure)
        now_s = monotonic_s()
        self._run_by_job[job.job_id] = _Run(runner, task, now_s)
        self._decisions.write(
            JobRunStarted(
                job_id=job.job_id,
                epoch=job.epoch,
                open_items=job.item_count - len(job.results),
                view_age_s=self._logged_view_age_s(now_s),
            )
        )

    def stop(self, job_id: str, epoch: int, reason: StopReason) -> None:
        """Stop a run; progress that was not recorded is lost.

        Args:
            job_id: identifier of a job that is run.
            epoch: number of the job's present ownership; 0 if the job is unknown.
            reason: why the job is not run here any more.
        """
        run = self._run_by_job.pop(job_id)
        run.task.cancel()
        now_s = monotonic_s()
        self._decisions.write(
            JobRunStopped(
                job_id=job_id,
                epoch=epoch,
                reason=reason.value,
                running_s=round(now_s - run.started_s, 3),
                view_age_s=self._logged_view_age_s(now_s),
            )
        )

    def forget_failed(self) -> None:
        """Forget the runs whose task has failed, so that they can be started again."""
        for job_id, run in list(self._run_by_job.items()):
            if run.task.done() and run.task.exception() is not None:
                del self._run_by_job[job_id]

    def record_progress(self) -> None:
        """Queue the events of all running items for the log, so that other daemons can resume the items."""
        for job_id in self._run_by_job:
            self.record_progress_of(job_id)

    def record_progress_of(self, job_id: str) -> None:
        """Queue the events of the running items of one job for the log."""
        self._run_by_job[job_id].runner.record_progress()

    def _logged_view_age_s(self, now_s: float) -> float:
        return round(min(self._freshness.age_s(now_s), MAX_LOGGED_AGE_S), 3)


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Write the exception of a task that has ended, if there is one, to the log."""
    if not task.cancelled() and task.exception() is not None:
        logger.error("job_runner_failed", exc_info=task.exception())
