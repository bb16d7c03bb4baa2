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
from passgate.jobs.ownership import NEVER_GIVEN_UP_S, Ownership
from passgate.jobs.records import ItemBodies, WriterStopped, decode_batch
from passgate.jobs.runner import JobRunner
from passgate.jobs.take_over import OwnerPeers, TakeOver
from passgate.sharedlog.log import LogPage, SharedLog
from passgate.sharedlog.tail import POLL_WAIT_S, FollowedTail, RecordTail, TailSettings

TICK_S = 0.1
"""Time between looks at ownership; a quarter of the shortest silence that is judged."""
GAP_S = 0.03
"""Pause between reads, so that small records arrive in batches."""
IDLE_WAIT_S = 3.0
"""Longest wait of a long poll while no job of the partition is open."""
LINGER_S = 4.0
"""Time for which a partition is followed after it was asked for."""
KEEP_S = 30.0
"""Time for which the state of a partition that is not followed is kept."""

RunnerFactory = Callable[[JobFold, Journal, JobState], JobRunner | None]


def partition_of(host: str, parts: int) -> int:
    """Return the partition of the jobs of a host."""
    return zlib.crc32(host.encode()) % parts


class ShardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What all shards of a daemon share."""

    topic: str
    parts: int
    writer: str
    record_bytes: int
    append_bytes: int
    retention_s: float
    """Time for which a job that is not open stays readable."""


class Shard:
    """One partition: its state as this daemon knows it, and this daemon's writer."""

    def __init__(
        self,
        part: int,
        log: SharedLog,
        settings: ShardSettings,
        make_runner: RunnerFactory,
        take_over: TakeOver,
        decisions: DecisionLog,
        bodies: BoundBodies | None = None,
    ) -> None:
        self.part = part
        self._bodies = bodies
        self._decisions = decisions
        self.fold = JobFold()
        self.bodies = BodiesReader(bodies, self._take_bodies) if bodies is not None else None
        """Reads the bodies of bound jobs; None where no job is bound."""
        self.journal = Journal(
            log,
            settings.topic,
            part,
            settings.writer,
            record_bytes=settings.record_bytes,
            append_bytes=settings.append_bytes,
        )
        tail_settings = TailSettings(topic=settings.topic, part=part, gap_s=GAP_S)
        self.followed = FollowedTail(RecordTail(log, tail_settings, self._apply))
        self.ownership = Ownership(
            self.fold,
            self.journal,
            self.tail.freshness,
            lambda job: make_runner(self.fold, self.journal, job),
            take_over,
            decisions,
            self.may_hold,
            self._time_to_live_s,
        )
        self.needed_until_s = monotonic_s()
        self._writing = asyncio.get_running_loop().create_task(self.journal.run())

    @property
    def tail(self) -> RecordTail:
        """Follower of the partition."""
        return self.followed.tail

    @property
    def current(self) -> bool:
        """Whether the state here is kept up to date."""
        return self.followed.current

    def may_hold(self, job: JobState) -> bool:
        """Whether this daemon may hold a job's bodies, by the configuration in force."""
        return self._bodies is None or self._bodies.may_hold(job.host, job.path, job.tenant, job.bodies_at)

    def _time_to_live_s(self, job: JobState) -> float:
        """Return after which time a job's items are given up; where no job is bound, runners alone do so."""
        if self._bodies is None:
            return NEVER_GIVEN_UP_S
        return self._bodies.time_to_live_s(job.host, job.path)

    def read_bodies(self) -> None:
        """Begin to read the bodies of open jobs that this daemon may hold, and drop those it may not."""
        if self.bodies is None:
            return
        for job in self.fold.jobs.values():
            if job.bodies is not None and not self.may_hold(job):
                job.bodies = None
            elif job.open and job.bound is not None:
                self.bodies.want(job.bound)
        self.bodies.forget_all_but(self.fold.jobs)

    def _take_bodies(self, job_id: str, bodies: Sequence[ItemBodies]) -> bool:
        """Take the bodies of a job and run it if it is this daemon's; return False when they don't fit."""
        fit = self.fold.take_bodies(job_id, bodies)
        if fit and self.current:
            self.ownership.start_runners()
        return fit

    def choose_wait(self) -> None:
        """Let long polls be short while a job is open, as its owner is judged by a fresh view only."""
        self.tail.wait_s = POLL_WAIT_S if self.fold.any_open() else IDLE_WAIT_S

    def need(self) -> None:
        """Follow the partition from now on, for some time."""
        self.needed_until_s = max(self.needed_until_s, monotonic_s() + LINGER_S)
        self.followed.set(True)

    def linger(self) -> None:
        """Follow the partition for some time after it passes on, while the next watcher reads it.

        Only a daemon that has read it can answer meanwhile.  When all daemons of a zone start at
        once, each holds many partitions for a moment; reading these on would take the log's
        bytes a second from the daemons that keep them.
        """
        if self.current:
            self.need()

    def close(self) -> None:
        """End all that runs for this partition."""
        self.followed.set(False)
        if self.bodies is not None:
            self.bodies.close()
        self.ownership.cancel_all()
        self._writing.cancel()

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
            self.fold.apply(page.start + index, batch, now_s, fresh=self.current)
            if batch.writer == self.journal.writer:
                self.journal.read_back(batch)
        self.choose_wait()
        self.read_bodies()
        if self.current:
            self.ownership.start_runners()


class JobShards:
    """All partitions that this daemon has to do with."""

    def __init__(
        self,
        log: SharedLog,
        settings: ShardSettings,
        held: Callable[[], frozenset[int]],
        make_runner: RunnerFactory,
        peers: OwnerPeers,
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
        self._held = held
        self._may_own_new = may_own_new
        self._make_runner = make_runner
        self._peers = peers
        self._log_answers = log_answers
        self.bodies = bodies
        self._decisions = decisions
        self._shards: dict[int, Shard] = {}
        self.stopping = False

    @property
    def running(self) -> int:
        """Number of jobs that this daemon runs."""
        return sum(shard.ownership.running for shard in self._shards.values())

    @property
    def writer(self) -> str:
        """Name of this daemon's present life."""
        return self._settings.writer

    @property
    def may_own_new(self) -> bool:
        """Whether this daemon owns a new job that no watcher takes."""
        return self._may_own_new() and not self.stopping

    def watches(self, part: int) -> bool:
        """Whether this daemon watches a partition for all."""
        return not self.stopping and part in self._held()

    def of(self, host: str) -> Shard:
        """Return the partition of a host's jobs."""
        return self._shard(partition_of(host, self._settings.parts))

    def _shard(self, part: int) -> Shard:
        shard = self._shards.get(part)
        if shard is None:
            take_over = TakeOver(part, self._peers, self._log_answers)
            shard = self._shards[part] = Shard(
                part, self._log, self._settings, self._make_runner, take_over, self._decisions, self.bodies
            )
        return shard

    def known(self, part: int) -> Shard | None:
        """Return a partition if this daemon has to do with it."""
        return self._shards.get(part)

    async def run(self) -> None:
        """Follow what is needed and run what is owned, until cancelled."""
        try:
            while True:
                self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for shard in self._shards.values():
                shard.close()

    def _tick(self) -> None:
        now_s = monotonic_s()
        held = self._held()
        for part in held:
            self._shard(part)
        for part, shard in list(self._shards.items()):
            shard.ownership.stopping = self.stopping
            needed = part in held or shard.ownership.owns_any() or now_s < shard.needed_until_s
            shard.followed.set(needed)
            shard.choose_wait()
            shard.read_bodies()
            if shard.current:
                shard.ownership.tick(watching=self.watches(part))
                shard.fold.prune(now_s, self._settings.retention_s)
            if part in held:
                shard.linger()
            elif needed:
                shard.needed_until_s = max(shard.needed_until_s, now_s)
            elif now_s - shard.needed_until_s > KEEP_S and shard.journal.idle:
                shard.close()
                del self._shards[part]

    def stop(self) -> list[asyncio.Future[int]]:
        """Hand all jobs over; the results are there once that stands on the log."""
        self.stopping = True
        stands = []
        for shard in self._shards.values():
            if shard.ownership.running or shard.ownership.owns_any():
                shard.ownership.stopping = True
                shard.ownership.save_all()
                stands.append(shard.journal.put(WriterStopped()))
        return stands
