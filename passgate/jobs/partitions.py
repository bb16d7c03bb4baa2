"""Partitions of the batch jobs on the log, each followed only by the daemons that need its state.

All records of a job are in the partition of its host, except the bodies of region-restricted jobs, which may
be stored and served in some regions only.  In each zone, one daemon is the watcher of a partition; the zone's
group on the log assigns the partitions.  A daemon follows a partition while it is the watcher or
owns or runs open jobs there, and for some time after a request needed it.  Other daemons call the watcher.

>>> partition_of("h.example", 12) == partition_of("h.example", 12)
True
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.jobs.partition import JobPartition, JobPartitionSettings, MakePartitionJobRunner
from passgate.jobs.partition_owners import OwnerClient, PartitionOwners
from passgate.jobs.restricted_bodies import RestrictedBodies
from passgate.sharedlog.log import SharedLog

UPDATE_INTERVAL_S = 0.1
"""Time between updates of the ownership; short compared with the silences after which jobs are taken over."""
STATE_TTL_S = 30.0
"""Minimum time for which the state of a partition is kept after it was last needed."""


def partition_of(host: str, partition_count: int) -> int:
    """Return the number of the partition that holds the jobs of a host."""
    return zlib.crc32(host.encode()) % partition_count


class JobPartitions:
    """All partitions of which this daemon has a state."""

    def __init__(
        self,
        log: SharedLog,
        settings: JobPartitionSettings,
        watched_partitions: Callable[[], frozenset[int]],
        make_runner: MakePartitionJobRunner,
        peers: OwnerClient,
        decisions: DecisionLog,
        *,
        may_own_new: Callable[[], bool] = lambda: True,
        log_answers: Callable[[], bool] = lambda: True,
        restricted_bodies: RestrictedBodies | None = None,
    ) -> None:
        """Create the collection without partitions.

        Args:
            log: the log.
            settings: settings that all partitions share.
            watched_partitions: returns the partitions that this daemon watches for its zone.
            make_runner: makes the runner of a job.
            peers: calls the owners of jobs.
            decisions: decision log.
            may_own_new: returns whether this daemon's machine is large enough to own a job that no watcher
                takes.
            log_answers: returns whether the log has recently answered this daemon.
            restricted_bodies: stores the bodies of region-restricted jobs; None where jobs can't be
                restricted.
        """
        self._log = log
        self._settings = settings
        self._watched_partitions = watched_partitions
        self._may_own_new = may_own_new
        self._make_runner = make_runner
        self._peers = peers
        self._log_answers = log_answers
        self.restricted_bodies = restricted_bodies
        self._decisions = decisions
        self._partition_by_number: dict[int, JobPartition] = {}
        self.stopping = False

    @property
    def running_jobs(self) -> int:
        """Number of jobs that this daemon runs, over all partitions."""
        return sum(partition.ownership.running_jobs for partition in self._partition_by_number.values())

    def oldest_running_view_age_s(self) -> float:
        """Return the age of the oldest view of a partition whose jobs run here; 0 if none does."""
        return max(
            (
                partition.send_permission.view_age_s()
                for partition in self._partition_by_number.values()
                if partition.ownership.running_jobs
            ),
            default=0.0,
        )

    @property
    def writer(self) -> str:
        """Writer name of this daemon's present incarnation."""
        return self._settings.writer

    @property
    def may_own_new(self) -> bool:
        """Whether this daemon may own a new job that no watcher takes."""
        return self._may_own_new() and not self.stopping

    def is_watcher_of(self, number: int) -> bool:
        """Whether this daemon watches a partition for its zone; false during a graceful shutdown."""
        return not self.stopping and number in self._watched_partitions()

    def of_host(self, host: str) -> JobPartition:
        """Return the partition of a host's jobs; a new one is created, but not followed."""
        return self._get_or_create(partition_of(host, self._settings.partition_count))

    def _get_or_create(self, number: int) -> JobPartition:
        partition = self._partition_by_number.get(number)
        if partition is None:
            owners = PartitionOwners(number, self._peers, self._log_answers)
            partition = self._partition_by_number[number] = JobPartition(
                number,
                self._log,
                self._settings,
                self._make_runner,
                owners,
                self._decisions,
                self.restricted_bodies,
            )
        return partition

    def get(self, number: int) -> JobPartition | None:
        """Return a partition if this daemon has a state of it, else None."""
        return self._partition_by_number.get(number)

    async def run(self) -> None:
        """Update followed partitions and job ownership periodically until cancelled."""
        try:
            while True:
                self._update()
                await asyncio.sleep(UPDATE_INTERVAL_S)
        finally:
            for partition in self._partition_by_number.values():
                partition.close()

    def _update(self) -> None:
        now_s = monotonic_s()
        watched = self._watched_partitions()
        for number in watched:
            self._get_or_create(number)
        for number, partition in list(self._partition_by_number.items()):
            partition.ownership.stopping = self.stopping
            needed = (
                number in watched
                or partition.ownership.owns_open_job()
                or partition.ownership.running_jobs > 0
                or now_s < partition.needed_until_s
            )
            partition.followed_tail.set_following(needed)
            partition.choose_poll_wait()
            partition.read_bodies()
            if partition.is_current:
                partition.ownership.update(is_watcher=self.is_watcher_of(number))
                partition.projection.prune(now_s, self._settings.retention_s)
            if number in watched:
                partition.keep_following_if_current()
            elif needed:
                partition.needed_until_s = max(partition.needed_until_s, now_s)
            elif now_s - partition.needed_until_s > STATE_TTL_S and partition.journal.has_no_pending_entries:
                partition.close()
                del self._partition_by_number[number]

    def stop(self) -> list[asyncio.Future[int]]:
        """Release all jobs for a graceful shutdown; return futures that finish once that is on the log."""
        self.stopping = True
        appended = []
        for partition in self._partition_by_number.values():
            partition.ownership.stopping = True
            if (
                partition.ownership.running_jobs
                or partition.ownership.owns_open_job()
                or not partition.journal.has_no_pending_entries  # a claim may be among them
            ):
                appended.append(partition.release())
        return appended
