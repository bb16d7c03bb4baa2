"""Clients of emulated back ends in virtual time, over the emulated network.

They implement ``interfaces.EngineClient`` and ``interfaces.AppClient``.  Their
errors are truthful about execution: "not run" only when the connection could
not be opened, was refused, or the back end's own refusal arrived.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

from passgate.emulator.app import EmulatedApp
from passgate.emulator.engine import EmulatedEngine, EngineStream
from passgate.emulator.engine_events import EndReason
from passgate.emulator.network import Network
from passgate.errors import BackendRefused, BackendUnreachable, ExecutionStatus, IncompleteAnswer
from passgate.schema import (
    AppRequest,
    AppResponse,
    CacheEvent,
    EngineOrder,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    OrderResult,
)

Backend = TypeVar("Backend")

_RESETS = (EndReason.CRASHED, EndReason.REPLACED)


class BackendRegistry:
    """Emulated back ends by address."""

    def __init__(self) -> None:
        self.engines: dict[str, EmulatedEngine] = {}
        self.apps: dict[str, EmulatedApp] = {}

    def add_engine(self, engine: EmulatedEngine) -> None:
        """Make an engine reachable at its address."""
        self.engines[engine.address] = engine

    def add_app(self, app: EmulatedApp) -> None:
        """Make an application replica reachable at its address."""
        self.apps[app.address] = app

    def engine(self, address: str) -> EmulatedEngine:
        """Return the engine at an address; raises BackendUnreachable (not run)."""
        return _found(self.engines.get(address), address)

    def app(self, address: str) -> EmulatedApp:
        """Return the application replica at an address; raises BackendUnreachable (not run)."""
        return _found(self.apps.get(address), address)


class MemoryEngineClient:
    """``interfaces.EngineClient`` of callers in one zone."""

    def __init__(self, registry: BackendRegistry, network: Network, zone: str) -> None:
        self._registry = registry
        self._network = network
        self._zone = zone

    async def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream the output of one request; see ``interfaces.EngineClient``."""
        engine = self._registry.engine(address)
        stream = await self._open(engine, request)
        finished = False
        received = False
        try:
            while not finished:
                chunk = await self._receive(engine, stream, received)
                received = True
                finished = chunk.finish_reason is not None
                yield chunk
        finally:
            if not finished:
                self._send_close(engine, stream)

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop working on a request; failures are ignored."""
        try:
            engine = self._registry.engine(address)
            await self._reach(engine)
        except BackendUnreachable:
            return
        engine.cancel(request_id)

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        engine = self._registry.engine(address)
        await self._reach(engine)
        report = engine.load_report()
        await self._network.deliver(engine.zone, self._zone)
        return report

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return later cache events, perhaps with gaps; raises BackendUnreachable."""
        engine = self._registry.engine(address)
        await self._reach(engine)
        events = engine.cache_events(after_sequence)
        await self._network.deliver(engine.zone, self._zone)
        return events

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order; raises OrderRefused or BackendUnreachable."""
        engine = self._registry.engine(address)
        await self._reach(engine)
        try:
            return engine.order(order)
        finally:
            await self._network.deliver(engine.zone, self._zone)

    async def _reach(self, backend: EmulatedEngine) -> None:
        await _reach(self._network, self._zone, backend)

    async def _open(self, engine: EmulatedEngine, request: GenerateRequest) -> EngineStream:
        await self._reach(engine)
        try:
            return engine.open(request)
        except BackendRefused as error:
            refusal = error
        await self._network.deliver(engine.zone, self._zone)
        raise refusal

    async def _receive(self, engine: EmulatedEngine, stream: EngineStream, received: bool) -> GenerateChunk:
        execution = ExecutionStatus.RAN if received else ExecutionStatus.UNKNOWN
        item = await stream.get()
        try:
            await self._network.deliver(engine.zone, self._zone, item.sent_s)
        except BackendUnreachable as error:
            raise BackendUnreachable(str(error), execution=execution) from error
        if self._network.loses_connection():
            raise BackendUnreachable("connection lost", execution=execution)
        if isinstance(item.content, GenerateChunk):
            return item.content
        if item.content in _RESETS:
            raise BackendUnreachable(f"connection reset: {item.content.value}", execution=execution)
        raise IncompleteAnswer(f"stream ended: {item.content.value}", execution=execution)

    def _send_close(self, engine: EmulatedEngine, stream: EngineStream) -> None:
        if self._network.is_cut(self._zone, engine.zone):
            return
        delay_s = self._network.delay_s(self._zone, engine.zone)
        asyncio.get_running_loop().call_later(delay_s, engine.close_stream, stream)


class MemoryAppClient:
    """``interfaces.AppClient`` of callers in one zone."""

    def __init__(self, registry: BackendRegistry, network: Network, zone: str) -> None:
        self._registry = registry
        self._network = network
        self._zone = zone

    async def call(self, address: str, request: AppRequest) -> AppResponse:
        """Forward one call; the run goes on when the caller stops waiting."""
        app = self._registry.app(address)
        await _reach(self._network, self._zone, app)
        try:
            answer = app.submit(request)
        except BackendRefused as error:
            await self._network.deliver(app.zone, self._zone)
            raise error
        response = await asyncio.shield(answer)
        await self._network.deliver(app.zone, self._zone)
        if response is None or self._network.loses_connection():
            raise BackendUnreachable("connection reset", execution=ExecutionStatus.UNKNOWN)
        return response

    async def load_report(self, address: str) -> LoadReport:
        """Return the replica's latest report; raises BackendUnreachable."""
        app = self._registry.app(address)
        await _reach(self._network, self._zone, app)
        report = app.load_report()
        await self._network.deliver(app.zone, self._zone)
        return report


async def _reach(network: Network, zone: str, backend: EmulatedEngine | EmulatedApp) -> None:
    await network.connect(zone, backend.zone)
    await network.deliver(zone, backend.zone)
    if not backend.up:
        raise BackendUnreachable("connection refused", execution=ExecutionStatus.NOT_RUN)


def _found(backend: Backend | None, address: str) -> Backend:
    if backend is None:
        raise BackendUnreachable(f"nothing listens at {address}", execution=ExecutionStatus.NOT_RUN)
    return backend
