"""Decides which jobs of a partition this daemon runs, and starts and stops their runners.

A job's owner is a writer: one incarnation of a daemon.  Every batch that a writer appends to the partition
renews its leases on the jobs that it owns there.  The watcher, to which the zone's group assigns the
partition, takes over the jobs of a writer that has ended or is silent for too long.  It appends claims with
the next epoch (number of the ownership); the first one on the log is accepted.  Other daemons that follow the
partition do the same after a longer silence.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import random
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import (
    DecisionLog,
    ItemResultRecorded,
    JobOwnershipClaimed,
    JobOwnershipReleased,
    JobRunStarted,
    JobRunStopped,
)
from passgate.decisions.job_events import MAX_LOGGED_AGE_S
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import WriterStatus
from passgate.jobs.partition_owners import PartitionOwners, UnappendedEntries
from passgate.jobs.projection import JobProjection, JobState
from passgate.jobs.records import ItemProgressed, ItemsDone, JobClaimed, Result, ResultState, daemon_of
from passgate.jobs.runner import EXPIRY_MARGIN_S, JobRunner
from passgate.jobs.send_permission import SendPermission
from passgate.sharedlog.tail import MAX_CURRENT_AGE_S, Freshness

logger = logging.getLogger("passgate.jobs")

TAKEOVER_AFTER_S = 1.5
"""Silence of an owner after which the watcher takes over its jobs whatever a probe says; jitter is added."""
PROBE_AFTER_S = 0.55
"""Silence of an owner after which the watcher probes it; longer than the interval of renewals."""
DEAD_AFTER_S = 0.8
"""Silence after which an owner that does not respond to a probe counts as dead."""
NON_WATCHER_DELAY_S = 2.0
"""Additional time, plus a random one up to 1 s, before a daemon that is not the watcher claims a job."""
RELEASE_PAUSE_S = 2.0
"""Minimum time for which released jobs are not run here, so that another daemon can claim them."""
CLAIM_READ_TIME_S = 0.5
"""Time for an appended claim to be read; until then, the job is not claimed again."""
TAKEOVER_JITTER_S = 0.3
"""Upper bound of the random time added to TAKEOVER_AFTER_S, so that few daemons claim at once."""

NEVER_S = float("-inf")
"""Loop time of the last contact with a writer of which no record was read."""
UNLIMITED_TIME_TO_LIVE_S = float("inf")
"""Time to live of a job whose items expire only by its runner."""
NO_OWNER = ""
"""Owner of a job that has none; any watcher may claim the job at once."""


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
    """Another daemon was asked to claim the job, or this one closes the partition."""


class _Run(msgspec.Struct):
    """The run of a job by this daemon."""

    runner: JobRunner
    task: asyncio.Task[None]
    started_s: float


MakeJobRunner = Callable[[JobState], JobRunner | None]
"""Makes a job's runner; returns None while the job matches no route."""


class Ownership:
    """Keeps this daemon's runners in line with the state of one partition, and claims jobs there."""

    def __init__(
        self,
        projection: JobProjection,
        journal: Journal,
        freshness: Freshness,
        send_permission: SendPermission,
        make_runner: MakeJobRunner,
        owners: PartitionOwners,
        decisions: DecisionLog,
        confirm_view: Callable[[], Awaitable[bool]],
        may_own: Callable[[JobState], bool] = lambda job: True,
        time_to_live_s: Callable[[JobState], float] = lambda job: UNLIMITED_TIME_TO_LIVE_S,
    ) -> None:
        """Create the ownership without runners.

        Args:
            projection: state of the partition's jobs.
            journal: appends to the partition.
            freshness: age of this daemon's view of the partition.
            send_permission: whether runs may send, which depends on that age.
            make_runner: makes the runner of a job.
            owners: contact with the owners of jobs.
            decisions: decision log.
            confirm_view: reads the partition to its present end; returns False if that fails.
            may_own: returns whether a job's bodies may be held in this daemon's region.
            time_to_live_s: returns the time after which a job's items may be expired by a daemon that can't
                run the job.
        """
        self._may_own = may_own
        self._time_to_live_s = time_to_live_s
        self._expired_jobs: set[str] = set()
        """Jobs for whose items without a result this daemon has queued dead results."""
        self._projection = projection
        self._journal = journal
        self._freshness = freshness
        self._send_permission = send_permission
        self._make_runner = make_runner
        self._owners = owners
        self._decisions = decisions
        self._confirm_view = confirm_view
        self._run_by_job: dict[str, _Run] = {}
        self._status_by_owner: dict[str, WriterStatus] = {}
        """Outcome of the latest finished probe, by owner, until a claim takes it into account."""
        self._jobs_being_claimed: set[str] = set()
        """Jobs for which this daemon has queued a claim or a release that it may not have read yet."""
        self._released_since_s_by_job: dict[str, float] = {}
        """Loop time of the release, by job whose runs were stopped so that another daemon can claim it."""
        self.stopping = False
        """Whether the daemon shuts down; it claims no jobs then."""
        self._has_ended = False
        """Whether this daemon's release of its jobs is on the log, so that it runs none any more."""

    @property
    def writer(self) -> str:
        """Writer name of this daemon's present incarnation."""
        return self._journal.writer

    @property
    def running_jobs(self) -> int:
        """Number of this partition's jobs that this daemon runs."""
        return len(self._run_by_job)

    def owns_open_job(self) -> bool:
        """Whether this daemon owns an open job of the partition."""
        return any(job.is_open and job.owner == self.writer for job in self._projection.jobs.values())

    def record_all_progress(self) -> None:
        """Queue the events of all running items for the log, so that other daemons can resume the items."""
        for run in self._run_by_job.values():
            run.runner.record_progress()

    def release_jobs(self) -> UnappendedEntries:
        """Stop all runs of the partition, so that another daemon can claim the jobs.

        Called while this daemon is cut off from the log.  Returns the results and events that the log has not
        acknowledged; the other daemon appends them.
        """
        now_s = monotonic_s()
        self.record_all_progress()
        for job_id in self._run_by_job:
            self._released_since_s_by_job[job_id] = now_s
        self.cancel_runners()
        return [
            entry
            for entry in self._journal.unacknowledged_entries()
            if isinstance(entry, ItemsDone | ItemProgressed)
        ]

    def end_runs(self) -> None:
        """Stop all runs for good, as the log holds this daemon's release of its jobs."""
        self._has_ended = True
        self.cancel_runners()

    def cancel_runners(self) -> None:
        """Cancel all runners; progress that was not recorded is lost."""
        for job_id in list(self._run_by_job):
            self._stop_run(job_id, StopReason.RELEASED)

    def update(self, *, is_watcher: bool) -> None:
        """Start and stop runners; claim, release or expire jobs; renew the leases while any job runs here.

        Args:
            is_watcher: whether this daemon watches the partition for its zone.
        """
        now_s = monotonic_s()
        self.start_runners()
        for job in [job for job in self._projection.jobs.values() if job.is_open]:
            if job.owner == self.writer:
                if self._must_expire(job, now_s):
                    self._expire_items(job, now_s)
                else:
                    self._release_if_not_allowed(job)
            elif not self.stopping and self._may_claim(job, is_watcher, now_s):
                self._start_claim(job, now_s)
        self.stop_lost_runs()
        self._expired_jobs.intersection_update(self._projection.jobs)
        if not self._run_by_job and not self.owns_open_job():
            self._send_permission.end_pause()
            return
        self._send_permission.update()
        # Without the permission the jobs make no progress here, so others should claim them.
        if self._run_by_job and self._send_permission.is_granted():
            self._journal.renew_lease()

    def start_runners(self) -> None:
        """Start the missing runners of open jobs that this daemon owns and may run.

        Starts none without the permission to send, as the jobs may have ended or been taken over.
        """
        if self._has_ended or not self._send_permission.is_granted_to_start():
            return
        for job in [
            job for job in self._projection.jobs.values() if job.is_open and job.owner == self.writer
        ]:
            if not self._is_released(job.job_id) and self._may_run(job):
                self._ensure_runner(job)

    def _may_run(self, job: JobState) -> bool:
        """Whether this daemon may own a job and has its bodies."""
        return self._may_own(job) and job.bodies_to_read is None

    def _must_expire(self, job: JobState, now_s: float) -> bool:
        """Whether a job that can't be run here has expired; to append dead results, no bodies are needed."""
        age_s = now_s - job.known_since_s
        return not self._may_run(job) and age_s > self._time_to_live_s(job) + EXPIRY_MARGIN_S

    def _expire_items(self, job: JobState, now_s: float) -> None:
        """Queue dead results, once, for a job's items that no daemon has completed in time."""
        if job.job_id in self._expired_jobs:
            return
        self._expired_jobs.add(job.job_id)
        dead_results = tuple(
            Result(item_id=item_id, state=ResultState.DEAD)
            for item_id in sorted(job.item_ids - job.position_by_item.keys())
        )
        elapsed_ms = round((now_s - job.known_since_s) * 1000, 1)
        for result in dead_results:
            self._journal.put(ItemsDone(job_id=job.job_id, results=(result,)))
            self._decisions.write(
                ItemResultRecorded(
                    job_id=job.job_id,
                    item_id=result.item_id,
                    state=result.state.value,
                    versions=result.versions,
                    attempts=0,
                    elapsed_ms=elapsed_ms,
                    scored=False,
                )
            )

    def _is_released(self, job_id: str) -> bool:
        """Whether a job was released and may have been claimed by another daemon since.

        Assumed for RELEASE_PAUSE_S after the release, and for as long as the log can't be read.
        """
        released_since_s = self._released_since_s_by_job.get(job_id)
        if released_since_s is None:
            return False
        now_s = monotonic_s()
        if now_s - released_since_s < RELEASE_PAUSE_S or self._freshness.age_s(now_s) >= MAX_CURRENT_AGE_S:
            return True
        del self._released_since_s_by_job[job_id]
        return False

    def _may_claim(self, job: JobState, is_watcher: bool, now_s: float) -> bool:
        """Whether this daemon may claim a job that it does not own.

        Never while this daemon's view of the partition is old, as it may lack the owner's renewals.
        """
        if job.job_id in self._jobs_being_claimed or self._freshness.age_s(now_s) >= MAX_CURRENT_AGE_S:
            return False
        if not self._may_run(job) and not self._must_expire(job, now_s):
            return False
        required_silence_s = 0.0 if is_watcher else NON_WATCHER_DELAY_S + random.random()
        if not job.owner:
            return now_s - job.owner_since_s >= required_silence_s
        if is_watcher and self._is_owner_lost(job, now_s):
            return True
        required_silence_s += TAKEOVER_AFTER_S + random.random() * TAKEOVER_JITTER_S
        return self._owner_silence_s(job, now_s) > required_silence_s

    def _is_owner_lost(self, job: JobState, now_s: float) -> bool:
        """Whether a job's owner has ended, is presumably dead, or is cut off from a log that answers here.

        An earlier incarnation of this daemon has certainly ended.  The owner is probed as a side effect.
        """
        writer = job.owner
        if daemon_of(writer) == daemon_of(self.writer):
            return True
        last_contact_s = self._projection.last_contact_s_by_writer.get(writer, NEVER_S)
        silent_s = self._owner_silence_s(job, now_s)
        if last_contact_s > NEVER_S and silent_s < PROBE_AFTER_S:
            return False
        status = self._owners.liveness.status_of(writer, last_contact_s)
        if status is not None:
            self._status_by_owner[writer] = status
        if status is WriterStatus.CUT_OFF:
            return self._owners.log_answers()
        return status is WriterStatus.REPLACED or (status is WriterStatus.SILENT and silent_s >= DEAD_AFTER_S)

    def _owner_silence_s(self, job: JobState, now_s: float) -> float:
        """Return for how long a job's owner has certainly been silent, since it got the job at the earliest.

        An earlier silence does not count: a writer without jobs in the partition appends nothing there, so
        otherwise it would count as dead as soon as it gets a job.
        """
        last_contact_s = self._projection.last_contact_s_by_writer.get(job.owner, NEVER_S)
        return self._freshness.silence_s(max(last_contact_s, job.owner_since_s), now_s)

    def _start_claim(self, job: JobState, now_s: float) -> None:
        self._jobs_being_claimed.add(job.job_id)
        silent_s = self._owner_silence_s(job, now_s)
        task = asyncio.get_running_loop().create_task(self._append_claim(job, silent_s))
        task.add_done_callback(_log_task_failure)

    async def _append_claim(self, job: JobState, silent_s: float) -> None:
        """Claim a job; if its owner is cut off from the log, append the owner's released progress first.

        Does nothing if the owner's partition does not answer this daemon either.
        """
        previous, epoch = job.owner, job.epoch
        try:
            if self._status_by_owner.pop(previous, None) is WriterStatus.CUT_OFF:
                if not await self._confirm_view():
                    return
                for entry in await self._owners.release_jobs(previous):
                    self._journal.put(entry)
                if self.stopping:
                    return
            await self._journal.put(JobClaimed(job_id=job.job_id, owner=self.writer, epoch=epoch + 1))
        finally:
            asyncio.get_running_loop().call_later(
                CLAIM_READ_TIME_S, self._jobs_being_claimed.discard, job.job_id
            )
        self._decisions.write(
            JobOwnershipClaimed(
                job_id=job.job_id,
                epoch=epoch + 1,
                previous_owner=previous,
                silent_s=round(min(silent_s, 1e6), 3),
            )
        )

    def _release_if_not_allowed(self, job: JobState) -> None:
        """Give up the ownership of a job when the active configuration excludes this daemon's region."""
        if self._may_own(job) or job.job_id in self._jobs_being_claimed:
            return
        self._jobs_being_claimed.add(job.job_id)
        release = JobClaimed(job_id=job.job_id, owner=NO_OWNER, epoch=job.epoch + 1)
        appended = self._journal.put(release)
        appended.add_done_callback(lambda _: self._jobs_being_claimed.discard(job.job_id))
        self._decisions.write(JobOwnershipReleased(job_id=job.job_id, epoch=job.epoch + 1))

    def _ensure_runner(self, job: JobState) -> None:
        if job.job_id in self._run_by_job:
            return
        runner = self._make_runner(job)
        if runner is None:
            return
        task = asyncio.get_running_loop().create_task(runner.run())
        task.add_done_callback(_log_task_failure)
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

    def _logged_view_age_s(self, now_s: float) -> float:
        return round(min(self._freshness.age_s(now_s), MAX_LOGGED_AGE_S), 3)

    def stop_lost_runs(self) -> None:
        """Stop the runs of jobs that ended or that this daemon does not own any more, and forget failed runs.

        Called for each page of the log, whether or not it reaches the end: a record that ends a run is true
        at any age.
        """
        for job_id, run in list(self._run_by_job.items()):
            reason = self._reason_to_stop(job_id)
            if reason is not None:
                run.runner.record_progress()
                self._stop_run(job_id, reason)
            elif run.task.done() and run.task.exception() is not None:
                del self._run_by_job[job_id]

    def _reason_to_stop(self, job_id: str) -> StopReason | None:
        """Return why a job must not be run here any more; None if it may be."""
        job = self._projection.jobs.get(job_id)
        if job is None:
            return StopReason.UNKNOWN_JOB
        if not job.is_open:
            return StopReason.ENDED
        if job.owner != self.writer:
            return StopReason.TAKEN_OVER
        return None if self._may_own(job) else StopReason.NOT_ALLOWED

    def _stop_run(self, job_id: str, reason: StopReason) -> None:
        run = self._run_by_job.pop(job_id)
        run.task.cancel()
        now_s = monotonic_s()
        job = self._projection.jobs.get(job_id)
        self._decisions.write(
            JobRunStopped(
                job_id=job_id,
                epoch=job.epoch if job is not None else 0,
                reason=reason.value,
                running_s=round(now_s - run.started_s, 3),
                view_age_s=self._logged_view_age_s(now_s),
            )
        )


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("job_runner_failed", exc_info=task.exception())
