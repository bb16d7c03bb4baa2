"""One partition of the batch jobs at this daemon: its state, its runs, and what is appended to it."""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import Callable, Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobHistoryLost, RecordUnreadable
from passgate.jobs.journal import Journal
from passgate.jobs.ownership import UNLIMITED_TIME_TO_LIVE_S, Ownership
from passgate.jobs.partition_owners import PartitionOwners
from passgate.jobs.projection import JobProjection, JobState
from passgate.jobs.records import ItemBodies, WriterStopped, decode_batch
from passgate.jobs.restricted_bodies import BodiesReader, RestrictedBodies
from passgate.jobs.runner import JobRunner
from passgate.jobs.send_permission import SendPermission
from passgate.sharedlog.freshness import MAX_CURRENT_AGE_S
from passgate.sharedlog.log import LogPage, SharedLog
from passgate.sharedlog.tail import POLL_WAIT_S, OnDemandTail, RecordTail, TailSettings

READ_PAUSE_S = 0.03
"""Pause between reads, so that small records arrive in batches."""
IDLE_POLL_WAIT_S = 3.0
"""Longest wait of a long poll while no job of the partition is open."""
MAX_AGE_WITH_OPEN_JOBS_S = MAX_CURRENT_AGE_S - 0.2
"""Age of the view at which a long poll ends while a job is open; leaves time for the response."""
FOLLOW_AFTER_USE_S = 4.0
"""Time for which a partition is followed after its last use by a request, or after this daemon watched it."""
CONFIRM_TIMEOUT_S = 0.5
"""Longest wait, before a takeover, until records up to the partition's present end are applied."""
RESPONSE_MARGIN_S = MAX_CURRENT_AGE_S - POLL_WAIT_S
"""Time beyond the wait of a long poll within which the log's answer has arrived."""
MAX_RECENT_WRITERS = 3
"""Maximum number of writers that are asked whether the log answers them."""

MakePartitionJobRunner = Callable[[JobProjection, Journal, JobState, SendPermission], JobRunner | None]
"""Makes a job's runner; returns None while the job matches no route."""


class JobPartitionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that all partitions of a daemon share."""

    topic: str
    partition_count: int
    """Number of partitions of the topic."""
    writer: str
    """Writer name of the daemon's present incarnation."""
    record_bytes: int
    """Maximum size of a log record."""
    append_bytes: int
    """Maximum size of an append."""
    retention_s: float
    """Time, since this daemon read the job, for which a job that is not open stays readable."""


class JobPartition:
    """One partition at this daemon: its state, its ownership, and the journal that appends to it."""

    def __init__(
        self,
        number: int,
        log: SharedLog,
        settings: JobPartitionSettings,
        make_runner: MakePartitionJobRunner,
        owners: PartitionOwners,
        decisions: DecisionLog,
        restricted_bodies: RestrictedBodies | None = None,
    ) -> None:
        self.number = number
        self._restricted_bodies = restricted_bodies
        self._decisions = decisions
        self.projection = JobProjection()
        self.bodies_reader = (
            BodiesReader(restricted_bodies, self._deliver_bodies) if restricted_bodies is not None else None
        )
        """Reads the bodies of region-restricted jobs; None where jobs can't be restricted."""
        self.journal = Journal(
            log,
            settings.topic,
            number,
            settings.writer,
            record_bytes=settings.record_bytes,
            append_bytes=settings.append_bytes,
        )
        tail_settings = TailSettings(topic=settings.topic, partition=number, gap_s=READ_PAUSE_S)
        self.followed_tail = OnDemandTail(
            RecordTail(
                log, tail_settings, self._apply, on_current=self._start_runners, on_gap=self._forget_jobs
            )
        )
        self.send_permission = SendPermission(
            number,
            self.tail,
            lambda: self.journal.last_append_sent_s,
            lambda: owners.find_log_access(self._recent_writers()),
            decisions,
        )
        """Permission of the runs of the partition's jobs to send to replicas."""
        self.ownership = Ownership(
            self.projection,
            self.journal,
            self.tail.freshness,
            self.send_permission,
            lambda job: make_runner(self.projection, self.journal, job, self.send_permission),
            owners,
            decisions,
            lambda: self.tail.read_to_current_end(CONFIRM_TIMEOUT_S),
            self.may_hold,
            self._time_to_live_s,
        )
        self.needed_until_s = monotonic_s()
        """Loop time until which requests need the partition; if past, when it was last needed."""
        self._append_task = asyncio.get_running_loop().create_task(self.journal.run())

    @property
    def tail(self) -> RecordTail:
        """Reads and applies the partition's records."""
        return self.followed_tail.tail

    @property
    def is_current(self) -> bool:
        """Whether the partition is followed, and was read to its end since this daemon began to follow it."""
        return self.followed_tail.current

    def _recent_writers(self) -> list[str]:
        """Return the writers, at most MAX_RECENT_WRITERS, of the newest records in the partition."""
        contact_s_by_writer = self.projection.last_contact_s_by_writer
        writers = sorted(contact_s_by_writer, key=contact_s_by_writer.__getitem__, reverse=True)
        return writers[:MAX_RECENT_WRITERS]

    def is_answered(self) -> bool | None:
        """Whether the log answers the reads of the partition, as far as its long polls can show.

        None if the partition is not followed, was not read to its end yet, or has known unread records.
        """
        if not self.is_current or self.tail.has_unread_records:
            return None
        return self.tail.freshness.age_s(monotonic_s()) < self.tail.wait_s + RESPONSE_MARGIN_S

    def may_hold(self, job: JobState) -> bool:
        """Whether the active configuration allows this daemon to hold a job's bodies."""
        return self._restricted_bodies is None or self._restricted_bodies.may_hold(
            job.host, job.path, job.tenant, job.bodies_at
        )

    def _time_to_live_s(self, job: JobState) -> float:
        """Return the time to live of a job's items; unlimited where jobs can't be region-restricted."""
        if self._restricted_bodies is None:
            return UNLIMITED_TIME_TO_LIVE_S
        return self._restricted_bodies.time_to_live_s(job.host, job.path)

    def read_bodies(self) -> None:
        """Start to read the missing bodies of open jobs, and discard bodies that may not be held any more."""
        if self.bodies_reader is None:
            return
        for job in self.projection.jobs.values():
            if job.bodies is not None and not self.may_hold(job):
                job.bodies = None
            elif job.is_open and job.bodies_to_read is not None:
                self.bodies_reader.start_reading(job.bodies_to_read)
        self.bodies_reader.forget_jobs_except(self.projection.jobs)

    def _deliver_bodies(self, job_id: str, bodies: Sequence[ItemBodies]) -> bool:
        """Set a job's bodies and start its runner if it is owned here; False if their number is wrong."""
        matches = self.projection.set_bodies(job_id, bodies)
        if matches and self.is_current:
            self.ownership.start_runners()
        return matches

    def choose_poll_wait(self) -> None:
        """While a job is open, poll so that the view stays fresh, as runs and takeovers require."""
        has_open_jobs = self.projection.has_open_jobs()
        self.tail.wait_s = POLL_WAIT_S if has_open_jobs else IDLE_POLL_WAIT_S
        self.tail.max_age_s = MAX_AGE_WITH_OPEN_JOBS_S if has_open_jobs else math.inf

    def keep_following(self) -> None:
        """Follow the partition for at least FOLLOW_AFTER_USE_S from now."""
        self.needed_until_s = max(self.needed_until_s, monotonic_s() + FOLLOW_AFTER_USE_S)
        self.followed_tail.set_following(True)

    def keep_following_if_current(self) -> None:
        """Follow the partition for some time from now if it was read to its end, else change nothing.

        If another daemon watches it next, only this one can answer requests until the other has read it.
        Unread partitions are not kept: when all daemons of a zone start, each watches many partitions for a
        moment, and reading them all would exceed the log's throughput.
        """
        if self.is_current:
            self.keep_following()

    def note_cancellation(self, job_id: str) -> None:
        """Stop the run of a job whose cancellation is on the log, also if it can't be read at present."""
        self.projection.cancel_job(job_id)
        self.ownership.stop_lost_runs()

    def release(self) -> asyncio.Future[int]:
        """Release this daemon's jobs; return a future that finishes once that is on the log.

        The runs go on until then, as no other daemon can claim the jobs before.
        """
        self.ownership.record_all_progress()
        released = self.journal.put(WriterStopped())
        released.add_done_callback(lambda _: self.ownership.end_runs())
        return released

    def close(self) -> None:
        """Stop following, and cancel all runners, reads and appends of this partition."""
        self.followed_tail.set_following(False)
        if self.bodies_reader is not None:
            self.bodies_reader.close()
        self.ownership.cancel_runners()
        self.send_permission.close()
        self._append_task.cancel()

    def _apply(self, page: LogPage) -> None:
        now_s = monotonic_s()
        for index, record in enumerate(page.records):
            try:
                batch = decode_batch(record)
            except (msgspec.DecodeError, zlib.error) as error:
                # For example a newer daemon's record; raising would block the partition for ever.
                offset = page.start + index
                self._decisions.write(RecordUnreadable(offset=offset, reason=str(error)))
                continue
            self.projection.apply(page.start + index, batch, now_s, appended_now=self.is_current)
            if batch.writer == self.journal.writer:
                self.journal.take_send_time_s(batch)
        self.choose_poll_wait()
        self.read_bodies()
        self.ownership.stop_lost_runs()

    def _forget_jobs(self, first: int) -> None:
        """Forget the state from before a gap: the log may have removed the end of a job, or a claim to it."""
        self._decisions.write(JobHistoryLost(part=self.number, first=first, jobs=len(self.projection.jobs)))
        self.projection.forget_jobs()
        self.ownership.stop_lost_runs()

    def _start_runners(self) -> None:
        self.ownership.start_runners()
