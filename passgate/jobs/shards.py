"""Partitions of batch jobs, each followed only by the daemons that need it.

All records of a job stand in one partition, chosen by its route's host, so the jobs
of one trainer stand together.  In each zone one daemon watches a partition, as the
log's group of the zone deals them.  A daemon follows a partition while it watches it,
while it runs jobs there, and for some time after it was asked about them in vain.  All
others know nothing of the partition and ask the watcher in their zone.

>>> partition_of("h.example", 12) == partition_of("h.example", 12)
True
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, RecordUnreadable
from passgate.jobs.bound_bodies import BodiesReader, BoundBodies
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.journal import Journal
from passgate.jobs.ownership import UNLIMITED_TIME_TO_LIVE_S, Ownership
from passgate.jobs.records import ItemBodies, WriterStopped, decode_batch
from passgate.jobs.runner import JobRunner
from passgate.jobs.take_over import OwnerClient, PartitionOwners
from passgate.sharedlog.log import LogPage, SharedLog
from passgate.sharedlog.tail import POLL_WAIT_S, FollowedTail, RecordTail, TailSettings

UPDATE_INTERVAL_S = 0.1
"""Time between looks at ownership; a quarter of the shortest silence that is judged."""
READ_PAUSE_S = 0.03
"""Pause between reads, so that small records arrive in batches."""
IDLE_POLL_WAIT_S = 3.0
"""Longest wait of a long poll while no job of the partition is open."""
FOLLOW_AFTER_USE_S = 4.0
"""Time for which a partition is followed after it was asked for."""
STATE_TTL_S = 30.0
"""Time for which the state of a partition that is not followed is kept."""

JobRunnerFactory = Callable[[JobFold, Journal, JobState], JobRunner | None]


def partition_of(host: str, partition_count: int) -> int:
    """Return the partition of the jobs of a host."""
    return zlib.crc32(host.encode()) % partition_count


class ShardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What all shards of a daemon share."""

    topic: str
    parts: int
    writer: str
    record_bytes: int
    append_bytes: int
    retention_s: float
    """Time for which a job that is not open stays readable."""


class JobPartition:
    """One partition: its state as this daemon knows it, and this daemon's writer."""

    def __init__(
        self,
        number: int,
        log: SharedLog,
        settings: ShardSettings,
        make_runner: JobRunnerFactory,
        owners: PartitionOwners,
        decisions: DecisionLog,
        restricted_bodies: BoundBodies | None = None,
    ) -> None:
        self.number = number
        self._restricted_bodies = restricted_bodies
        self._decisions = decisions
        self.fold = JobFold()
        self.bodies_reader = (
            BodiesReader(restricted_bodies, self._deliver_bodies) if restricted_bodies is not None else None
        )
        """Reads the bodies of bound jobs; None where no job is bound."""
        self.journal = Journal(
            log,
            settings.topic,
            number,
            settings.writer,
            record_bytes=settings.record_bytes,
            append_bytes=settings.append_bytes,
        )
        tail_settings = TailSettings(topic=settings.topic, part=number, gap_s=READ_PAUSE_S)
        self.followed_tail = FollowedTail(RecordTail(log, tail_settings, self._apply))
        self.ownership = Ownership(
            self.fold,
            self.journal,
            self.tail.freshness,
            lambda job: make_runner(self.fold, self.journal, job),
            owners,
            decisions,
            self.may_hold,
            self._time_to_live_s,
        )
        self.needed_until_s = monotonic_s()
        self._append_task = asyncio.get_running_loop().create_task(self.journal.run())

    @property
    def tail(self) -> RecordTail:
        """Follower of the partition."""
        return self.followed_tail.tail

    @property
    def is_current(self) -> bool:
        """Whether the state here is kept up to date."""
        return self.followed_tail.current

    def may_hold(self, job: JobState) -> bool:
        """Whether this daemon may hold a job's bodies, by the configuration in force."""
        return self._restricted_bodies is None or self._restricted_bodies.may_hold(
            job.host, job.path, job.tenant, job.bodies_at
        )

    def _time_to_live_s(self, job: JobState) -> float:
        """Return after which time a job's items are given up; where no job is bound, runners alone do so."""
        if self._restricted_bodies is None:
            return UNLIMITED_TIME_TO_LIVE_S
        return self._restricted_bodies.time_to_live_s(job.host, job.path)

    def read_bodies(self) -> None:
        """Begin to read the bodies of open jobs that this daemon may hold, and drop those it may not."""
        if self.bodies_reader is None:
            return
        for job in self.fold.jobs.values():
            if job.bodies is not None and not self.may_hold(job):
                job.bodies = None
            elif job.open and job.bodies_to_read is not None:
                self.bodies_reader.start_reading(job.bodies_to_read)
        self.bodies_reader.forget_jobs_except(self.fold.jobs)

    def _deliver_bodies(self, job_id: str, bodies: Sequence[ItemBodies]) -> bool:
        """Take the bodies of a job and run it if it is this daemon's; return False when they don't fit."""
        fit = self.fold.set_bodies(job_id, bodies)
        if fit and self.is_current:
            self.ownership.start_runners()
        return fit

    def choose_poll_wait(self) -> None:
        """Let long polls be short while a job is open, as its owner is judged by a fresh view only."""
        self.tail.wait_s = POLL_WAIT_S if self.fold.has_open_jobs() else IDLE_POLL_WAIT_S

    def keep_following(self) -> None:
        """Follow the partition from now on, for some time."""
        self.needed_until_s = max(self.needed_until_s, monotonic_s() + FOLLOW_AFTER_USE_S)
        self.followed_tail.set(True)

    def keep_following_if_current(self) -> None:
        """Follow the partition for some time after it passes on, while the next watcher reads it.

        Only a daemon that has read it can answer meanwhile.  When all daemons of a zone start at
        once, each holds many partitions for a moment; reading these on would take the log's
        bytes a second from the daemons that keep them.
        """
        if self.is_current:
            self.keep_following()

    def close(self) -> None:
        """End all that runs for this partition."""
        self.followed_tail.set(False)
        if self.bodies_reader is not None:
            self.bodies_reader.close()
        self.ownership.cancel_runners()
        self._append_task.cancel()

    def _apply(self, page: LogPage) -> None:
        now_s = monotonic_s()
        for index, record in enumerate(page.records):
            try:
                batch = decode_batch(record)
            except (msgspec.DecodeError, zlib.error) as error:
                # A newer daemon's record, for example; a daemon that ended here would never get past it.
                offset = page.start + index
                self._decisions.write(RecordUnreadable(offset=offset, reason=str(error)))
                continue
            self.fold.apply(page.start + index, batch, now_s, appended_now=self.is_current)
            if batch.writer == self.journal.writer:
                self.journal.read_back(batch)
        self.choose_poll_wait()
        self.read_bodies()
        if self.is_current:
            self.ownership.start_runners()


class JobShards:
    """All partitions that this daemon has to do with."""

    def __init__(
        self,
        log: SharedLog,
        settings: ShardSettings,
        watched_partitions: Callable[[], frozenset[int]],
        make_runner: JobRunnerFactory,
        peers: OwnerClient,
        decisions: DecisionLog,
        *,
        may_own_new: Callable[[], bool] = lambda: True,
        log_answers: Callable[[], bool] = lambda: True,
        bodies: BoundBodies | None = None,
    ) -> None:
        """Begin with no partition.

        Args:
            log: the log.
            settings: what all shards share.
            held: the partitions that this daemon watches for its zone.
            make_runner: makes the runner of a job.
            peers: asks the owners of jobs.
            decisions: where decisions are noted.
            may_own_new: whether this daemon is large enough for a job that no watcher takes.
            log_answers: whether the log has just answered this daemon.
            bodies: keeps the bodies of bound jobs apart; None where no job is bound.
        """
        self._log = log
        self._settings = settings
        self._watched_partitions = watched_partitions
        self._may_own_new = may_own_new
        self._make_runner = make_runner
        self._peers = peers
        self._log_answers = log_answers
        self.restricted_bodies = bodies
        self._decisions = decisions
        self._partition_by_number: dict[int, JobPartition] = {}
        self.stopping = False

    @property
    def running(self) -> int:
        """Number of jobs that this daemon runs."""
        return sum(shard.ownership.running_jobs for shard in self._partition_by_number.values())

    @property
    def writer(self) -> str:
        """Name of this daemon's present life."""
        return self._settings.writer

    @property
    def may_own_new(self) -> bool:
        """Whether this daemon owns a new job that no watcher takes."""
        return self._may_own_new() and not self.stopping

    def watches(self, number: int) -> bool:
        """Whether this daemon watches a partition for all."""
        return not self.stopping and number in self._watched_partitions()

    def of(self, host: str) -> JobPartition:
        """Return the partition of a host's jobs."""
        return self._get_or_create(partition_of(host, self._settings.parts))

    def _get_or_create(self, number: int) -> JobPartition:
        shard = self._partition_by_number.get(number)
        if shard is None:
            take_over = PartitionOwners(number, self._peers, self._log_answers)
            shard = self._partition_by_number[number] = JobPartition(
                number,
                self._log,
                self._settings,
                self._make_runner,
                take_over,
                self._decisions,
                self.restricted_bodies,
            )
        return shard

    def get(self, number: int) -> JobPartition | None:
        """Return a partition if this daemon has to do with it."""
        return self._partition_by_number.get(number)

    async def run(self) -> None:
        """Follow what is needed and run what is owned, until cancelled."""
        try:
            while True:
                self._update()
                await asyncio.sleep(UPDATE_INTERVAL_S)
        finally:
            for shard in self._partition_by_number.values():
                shard.close()

    def _update(self) -> None:
        now_s = monotonic_s()
        held = self._watched_partitions()
        for part in held:
            self._get_or_create(part)
        for part, shard in list(self._partition_by_number.items()):
            shard.ownership.stopping = self.stopping
            needed = part in held or shard.ownership.owns_open_job() or now_s < shard.needed_until_s
            shard.followed_tail.set(needed)
            shard.choose_poll_wait()
            shard.read_bodies()
            if shard.is_current:
                shard.ownership.update(is_watcher=self.watches(part))
                shard.fold.prune(now_s, self._settings.retention_s)
            if part in held:
                shard.keep_following_if_current()
            elif needed:
                shard.needed_until_s = max(shard.needed_until_s, now_s)
            elif now_s - shard.needed_until_s > STATE_TTL_S and shard.journal.has_no_pending_entries:
                shard.close()
                del self._partition_by_number[part]

    def stop(self) -> list[asyncio.Future[int]]:
        """Hand all jobs over; the results are there once that stands on the log."""
        self.stopping = True
        appended = []
        for shard in self._partition_by_number.values():
            if shard.ownership.running_jobs or shard.ownership.owns_open_job():
                shard.ownership.stopping = True
                shard.ownership.record_all_progress()
                appended.append(shard.journal.put(WriterStopped()))
        return appended
