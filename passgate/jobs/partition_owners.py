"""Contact with the owners of a partition's jobs and with other daemons, to decide on takeovers and sends."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from passgate.jobs.liveness import AliveResponse, LivenessProber
from passgate.jobs.log_access import LogAccess
from passgate.jobs.records import ItemProgressed, ItemsDone

UnappendedEntries = Sequence[ItemsDone | ItemProgressed]


class OwnerClient(Protocol):
    """Calls to the owners of jobs."""

    async def probe(self, writer: str, partition: int) -> AliveResponse | None:
        """Return the response of the daemon at a writer's address; None without a valid response."""
        ...

    async def find_log_access(self, partition: int, writers: Sequence[str]) -> LogAccess:
        """Ask other daemons, ``writers`` among them, whether the log answers them.

        Returns why it does not answer this one.
        """
        ...

    async def release_jobs(self, writer: str, partition: int) -> UnappendedEntries:
        """Make a writer that is cut off from the log stop its runs of the partition's jobs.

        Returns its results and events that the log has not acknowledged; none if the call fails.
        """
        ...


class PartitionOwners:
    """Contact with the owners of one partition's jobs."""

    def __init__(self, partition: int, peers: OwnerClient, log_answers: Callable[[], bool]) -> None:
        """Create the contact with one partition's owners.

        Args:
            partition: number of the partition.
            peers: calls owners.
            log_answers: returns whether the log has recently answered this daemon.
        """
        self._partition = partition
        self._peers = peers
        self.log_answers = log_answers
        self.liveness = LivenessProber(self._probe)

    async def _probe(self, writer: str) -> AliveResponse | None:
        return await self._peers.probe(writer, self._partition)

    async def find_log_access(self, writers: Sequence[str]) -> LogAccess:
        """Return why the log does not answer this daemon; see :meth:`OwnerClient.find_log_access`."""
        return await self._peers.find_log_access(self._partition, writers)

    async def release_jobs(self, writer: str) -> UnappendedEntries:
        """Make an owner that is cut off from the log stop its runs; see :meth:`OwnerClient.release_jobs`."""
        return await self._peers.release_jobs(writer, self._partition)
