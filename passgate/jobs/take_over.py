"""How a daemon learns of a partition's owners, and takes jobs from one that the log does not answer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from passgate.jobs.liveness import Alive, Liveness
from passgate.jobs.records import ItemProgressed, ItemsDone

Handed = Sequence[ItemsDone | ItemProgressed]


class OwnerPeers(Protocol):
    """Questions to the owners of jobs."""

    async def life_at(self, writer: str, part: int) -> Alive | None:
        """Return what is answered at a writer's address; None when nobody answers."""
        ...

    async def hand_over(self, writer: str, part: int) -> Handed:
        """Let a writer that is cut off from the log stop; return what does not stand on the log."""
        ...


class TakeOver:
    """What this daemon knows of the owners of one partition's jobs."""

    def __init__(self, part: int, peers: OwnerPeers, log_answers: Callable[[], bool]) -> None:
        """Begin to know nothing.

        Args:
            part: the partition.
            peers: asks owners.
            log_answers: whether the log has just answered this daemon.
        """
        self._part = part
        self._peers = peers
        self.log_answers = log_answers
        self.liveness = Liveness(self._life_at)

    async def _life_at(self, writer: str) -> Alive | None:
        return await self._peers.life_at(writer, self._part)

    async def hand_over(self, writer: str) -> Handed:
        """Let an owner stop its runs; return what they made that does not stand on the log."""
        return await self._peers.hand_over(writer, self._part)
