"""A daemon process in virtual time, which can be paused and killed.

A paused process neither sends nor receives, but its timers still fire, so that it acts on
state that may be out of date; a process under SIGSTOP would not.  A killed process sends
nothing more, while calls that it had sent still take effect.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, TypeVar

from passgate.emulator.world import EmulatedWorld
from passgate.interfaces import AppClient, EngineClient, LogBatch, LogClient, MachineList
from passgate.peers.memory_transport import MemoryNetwork, MemoryTransport
from passgate.schema import (
    AppRequest,
    AppResponse,
    CacheEvent,
    EngineOrder,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    MachineInfo,
    OrderResult,
)
from passgate.server.components import ExternalClients
from passgate.server.daemon import Daemon
from passgate.settings import Settings, StopSettings

NOTICE_S = 2.0
DRAIN_TIMEOUT_S = 120.0

Result = TypeVar("Result")


class ProcessBoundary:
    """Delays all calls and answers of a process while it is paused."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Delay all calls and answers from now on."""
        self._running.clear()

    def resume(self) -> None:
        """Let delayed calls and answers continue."""
        self._running.set()

    async def cross(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Make a call out of the process; both the call and its answer wait while the process is paused."""
        await self._running.wait()
        try:
            return await call()
        finally:
            await self._running.wait()

    async def wait_until_running(self) -> None:
        """Wait until the process is not paused."""
        await self._running.wait()


class PausableLog:
    """``interfaces.LogClient`` of one process."""

    def __init__(self, inner: LogClient, boundary: ProcessBoundary) -> None:
        self._inner = inner
        self._boundary = boundary

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records; see ``interfaces.LogClient``."""
        return await self._boundary.cross(lambda: self._inner.append(stream, payloads, timeout_s))

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Read records; see ``interfaces.LogClient``."""
        return await self._boundary.cross(lambda: self._inner.read(stream, offset, limit, wait_s))


class PausableEngine:
    """``interfaces.EngineClient`` of one process."""

    def __init__(self, inner: EngineClient, boundary: ProcessBoundary) -> None:
        self._inner = inner
        self._boundary = boundary

    async def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream the output of one request; see ``interfaces.EngineClient``."""
        await self._boundary.wait_until_running()
        stream = self._inner.generate(address, request)
        try:
            async for chunk in stream:
                await self._boundary.wait_until_running()
                yield chunk
        finally:
            await stream.aclose()

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request."""
        await self._boundary.cross(lambda: self._inner.cancel(address, request_id))

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report."""
        return await self._boundary.cross(lambda: self._inner.load_report(address))

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return later cache events."""
        return await self._boundary.cross(lambda: self._inner.cache_events(address, after_sequence))

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order."""
        return await self._boundary.cross(lambda: self._inner.order(address, order))


class PausableApp:
    """``interfaces.AppClient`` of one process."""

    def __init__(self, inner: AppClient, boundary: ProcessBoundary) -> None:
        self._inner = inner
        self._boundary = boundary

    async def call(self, address: str, request: AppRequest) -> AppResponse:
        """Forward a call."""
        return await self._boundary.cross(lambda: self._inner.call(address, request))

    async def load_report(self, address: str) -> LoadReport:
        """Return the replica's latest report."""
        return await self._boundary.cross(lambda: self._inner.load_report(address))


class PausableMachineList:
    """``interfaces.MachineList`` of one process; ``on_read`` is called with the result of each read."""

    def __init__(
        self,
        inner: MachineList,
        boundary: ProcessBoundary,
        on_read: Callable[[Sequence[MachineInfo]], None],
    ) -> None:
        self._inner = inner
        self._boundary = boundary
        self._on_read = on_read

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list."""
        machines = await self._boundary.cross(self._inner.machines)
        self._on_read(machines)
        return machines


class _DaemonWithoutPorts(Daemon):
    """A daemon without HTTP ports; callers use the components of :class:`SimulatedProcess` directly."""

    def _listen(self, routes: Any, address: str) -> str:
        return address


class SimulatedProcess:
    """One incarnation of a daemon."""

    def __init__(
        self,
        name: str,
        zone: str,
        incarnation: int,
        world: EmulatedWorld,
        peers: MemoryNetwork,
        seeds: tuple[str, ...],
        on_read: Callable[[Sequence[MachineInfo]], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.boundary = ProcessBoundary()
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        """Done when the process has ended; connections to it are then reset."""
        self.stopping = False
        """Whether a graceful shutdown has begun."""
        self._transport: MemoryTransport = peers.transport(peer_address(name), zone)
        random = world.random(f"{name}/{incarnation}")
        self.daemon = _DaemonWithoutPorts(
            self._settings(seeds),
            _make_silent_logger(),
            random,
            self._make_external_clients(world, incarnation, on_read),
        )

    @property
    def components(self):
        """Components of the daemon."""
        return self.daemon.components

    @property
    def is_ready(self) -> bool:
        """Whether the daemon accepts requests."""
        return not self.ended.done() and not self.daemon.context.admission.is_starting

    def start(self) -> None:
        """Start the daemon."""
        self.daemon.start()

    def pause(self) -> None:
        """Pause the process: nothing goes in or out, but its timers fire."""
        self.boundary.pause()
        self._transport.pause()

    def resume(self) -> None:
        """Resume a paused process; an ended one stays disconnected from its peers."""
        self.boundary.resume()
        if not self.ended.done():
            self._transport.resume()

    async def kill(self) -> None:
        """Kill the process; does nothing if it has ended."""
        if self.ended.done():
            return
        self.ended.set_result(None)
        await self._transport.close()
        self.boundary.resume()
        await self.daemon.close()

    async def stop(self) -> bool:
        """Shut the daemon down gracefully; return whether no work was interrupted."""
        self.stopping = True
        is_clean = await self.daemon.stop()
        if not self.ended.done():
            self.ended.set_result(None)
        return is_clean

    def _settings(self, seeds: tuple[str, ...]) -> Settings:
        return Settings(
            daemon_id=self.name,
            zone=self.zone,
            log_address="10.9.0.1:9000",
            machine_list_address="10.9.0.1:9001",
            seeds=seeds,
            stop=StopSettings(notice_s=NOTICE_S, drain_timeout_s=DRAIN_TIMEOUT_S),
        )

    def _make_external_clients(
        self, world: EmulatedWorld, incarnation: int, on_read: Callable[[Sequence[MachineInfo]], None]
    ) -> ExternalClients:
        log = world.log_client(self.zone, f"{self.name}/{incarnation}")
        return ExternalClients(
            log=PausableLog(log, self.boundary),
            machine_list=PausableMachineList(world.machine_list, self.boundary, on_read),
            weight_store=None,
            engine=PausableEngine(world.engine_client(self.zone), self.boundary),
            app=PausableApp(world.app_client(self.zone), self.boundary),
            transport=self._transport,
        )


def peer_address(name: str) -> str:
    """Return the peer address of a daemon.

    >>> peer_address("b-1")
    '10.1.0.1:7000'
    """
    zone, _, number = name.partition("-")
    return f"10.{ord(zone) - ord('a')}.0.{number}:7000"


def _make_silent_logger() -> logging.Logger:
    logger = logging.getLogger("passgate.simulation")
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    return logger
