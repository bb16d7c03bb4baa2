"""Network between zones in virtual time: one-way delays, cuts, lost connections.

A message into a cut waits for the cut's end, as TCP would resend it, until its
sender gives up.  The empty zone name stands for "same process": no delay, no cut.

>>> network = Network(NetworkParameters(between_zones_s=0.0005), Random(1))
>>> network.delay_s("caruaru", "campina"), network.delay_s("caruaru", CLIENT_ZONE)
(0.0005, 0.003)
>>> network.cut("caruaru", "campina")
>>> network.is_cut("campina", "caruaru")
True
"""

from __future__ import annotations

import asyncio
from random import Random

from passgate.clock import monotonic_s
from passgate.emulator.parameters import NetworkParameters
from passgate.errors import BackendUnreachable, ExecutionStatus

SAME_PROCESS = ""
CLIENT_ZONE = "clients"
"""Pseudo zone of trainers, supervisors and franchisees."""
PLATFORM_ZONE = "platform"
"""Pseudo zone of the log, the machine list and the weight store."""
CLOCK_RESOLUTION_S = 1e-5
"""Shorter waits count as over: the virtual clock moves by whole microseconds."""


class Network:
    """Delays and faults of all links of one emulated world."""

    def __init__(self, parameters: NetworkParameters, random: Random) -> None:
        self.parameters = parameters
        self.connection_loss = 0.0
        """Probability that one delivery ends its connection instead."""
        self._random = random
        self._cuts: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._waiters: dict[asyncio.Future[None], None] = {}

    # --- state ---------------------------------------------------------------------

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay between two zones."""
        if SAME_PROCESS in (source, target):
            return 0.0
        if CLIENT_ZONE in (source, target):
            return self.parameters.to_clients_s
        if source == target:
            return self.parameters.within_zone_s
        return self.parameters.between_zones_s

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing passes between two zones now; the inside of a zone is never cut."""
        if source == target or SAME_PROCESS in (source, target):
            return False
        isolated = source in self._isolated or target in self._isolated
        return isolated or frozenset((source, target)) in self._cuts

    def cut(self, first: str, second: str) -> None:
        """Cut two zones off from each other."""
        self._cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """End a cut between two zones."""
        self._cuts.discard(frozenset((first, second)))
        self._wake()

    def isolate(self, zone: str) -> None:
        """Cut a zone off from everything outside of it."""
        self._isolated.add(zone)

    def rejoin(self, zone: str) -> None:
        """End the isolation of a zone."""
        self._isolated.discard(zone)
        self._wake()

    def loses_connection(self) -> bool:
        """Draw whether the present delivery ends its connection."""
        return self.connection_loss > 0 and self._random.random() < self.connection_loss

    # --- messages ---------------------------------------------------------------------

    async def connect(self, source: str, target: str) -> None:
        """Open a connection; raises BackendUnreachable (not run) across a lasting cut."""
        if not await self.wait_open(source, target, self.parameters.connect_timeout_s):
            raise BackendUnreachable("connection timed out", execution=ExecutionStatus.NOT_RUN)

    async def deliver(self, source: str, target: str, sent_s: float | None = None) -> None:
        """Return when a message sent at ``sent_s`` (default: now) arrives.

        Raises:
            BackendUnreachable: the cut outlasted the sender; ``execution`` is unknown.
        """
        if not await self.wait_open(source, target, self.parameters.stall_timeout_s):
            raise BackendUnreachable("connection stalled", execution=ExecutionStatus.UNKNOWN)
        start_s = monotonic_s() if sent_s is None else sent_s
        wait_s = start_s + self.delay_s(source, target) - monotonic_s()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def wait_open(self, source: str, target: str, timeout_s: float) -> bool:
        """Wait until two zones are connected; return False when time runs out."""
        deadline_s = monotonic_s() + timeout_s
        while self.is_cut(source, target):
            left_s = deadline_s - monotonic_s()
            if left_s < CLOCK_RESOLUTION_S:
                return False
            await self._changed(left_s)
        return True

    async def _changed(self, timeout_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            del self._waiters[waiter]

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
