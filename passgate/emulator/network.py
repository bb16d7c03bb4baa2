"""Emulated network between zones: one-way delays, network partitions and lost connections.

A message sent during a partition arrives after its end, as with TCP retransmission, unless its sender gives
up first.  The empty zone name means "in the same process": no delay and no partition.

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
"""Pseudo zone of the callers."""
PLATFORM_ZONE = "platform"
"""Pseudo zone of the log, the machine list and the weight store."""
MIN_WAIT_S = 1e-5
"""Shorter waits count as over, since the virtual clock moves by whole microseconds."""


class Network:
    """Delays and partitions of all links between zones, and a rate of lost connections."""

    def __init__(self, parameters: NetworkParameters, random: Random) -> None:
        self.parameters = parameters
        self.connection_loss = 0.0
        """Probability that the connection breaks when an answer or a chunk of a stream arrives."""
        self._random = random
        self._cuts: set[frozenset[str]] = set()
        self._isolated_zones: set[str] = set()
        self._waiters: dict[asyncio.Future[None], None] = {}

    # --- state ---------------------------------------------------------------------

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay between two zones, the platform's pseudo zone included."""
        if SAME_PROCESS in (source, target):
            return 0.0
        if CLIENT_ZONE in (source, target):
            return self.parameters.to_clients_s
        if source == target:
            return self.parameters.within_zone_s
        return self.parameters.between_zones_s

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a partition separates two zones now; a zone is never separated from itself."""
        if source == target or SAME_PROCESS in (source, target):
            return False
        isolated = source in self._isolated_zones or target in self._isolated_zones
        return isolated or frozenset((source, target)) in self._cuts

    def cut(self, first: str, second: str) -> None:
        """Begin a partition between two zones."""
        self._cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """End the partition between two zones."""
        self._cuts.discard(frozenset((first, second)))
        self._wake_waiters()

    def isolate(self, zone: str) -> None:
        """Begin a partition between a zone and all others, pseudo zones included."""
        self._isolated_zones.add(zone)

    def rejoin(self, zone: str) -> None:
        """End the isolation of a zone; partitions between pairs of zones remain."""
        self._isolated_zones.discard(zone)
        self._wake_waiters()

    def draw_connection_loss(self) -> bool:
        """Return at random whether the connection breaks now."""
        return self.connection_loss > 0 and self._random.random() < self.connection_loss

    # --- messages ---------------------------------------------------------------------

    async def connect(self, source: str, target: str) -> None:
        """Open a connection; raises BackendUnreachable (not run) if a partition outlasts the timeout."""
        if not await self.wait_until_connected(source, target, self.parameters.connect_timeout_s):
            raise BackendUnreachable(
                "connection attempt timed out in a network partition", execution=ExecutionStatus.NOT_RUN
            )

    async def wait_for_delivery(self, source: str, target: str, sent_s: float | None = None) -> None:
        """Wait until a message sent at ``sent_s`` (default: now) arrives.

        Raises:
            BackendUnreachable: a partition outlasted the stall timeout; ``execution`` is unknown.
        """
        if not await self.wait_until_connected(source, target, self.parameters.stall_timeout_s):
            raise BackendUnreachable(
                "connection stalled in a network partition", execution=ExecutionStatus.UNKNOWN
            )
        start_s = monotonic_s() if sent_s is None else sent_s
        wait_s = start_s + self.delay_s(source, target) - monotonic_s()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def wait_until_connected(self, source: str, target: str, timeout_s: float) -> bool:
        """Wait until no partition separates two zones; return False if one outlasts ``timeout_s``."""
        deadline_s = monotonic_s() + timeout_s
        while self.is_cut(source, target):
            left_s = deadline_s - monotonic_s()
            if left_s < MIN_WAIT_S:
                return False
            await self._wait_for_change(left_s)
        return True

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Wait for the end of any partition, for at most ``timeout_s``."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            del self._waiters[waiter]

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
