"""In-process clients of the emulated engines and apps, over the emulated network.

They implement ``interfaces.EngineClient`` and ``interfaces.AppClient``.  An error's execution status is
"not run" only if no connection could be opened or the back end's refusal arrived.
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

_CONNECTION_RESET_REASONS = (EndReason.CRASHED, EndReason.REPLACED)


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
        return _require(self.engines.get(address), address)

    def app(self, address: str) -> EmulatedApp:
        """Return the application replica at an address; raises BackendUnreachable (not run)."""
        return _require(self.apps.get(address), address)


class MemoryEngineClient:
    """Implements ``interfaces.EngineClient`` for callers in one zone."""

    def __init__(self, registry: BackendRegistry, network: Network, zone: str) -> None:
        self._registry = registry
        self._network = network
        self._zone = zone

    async def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream the output of one request; see ``interfaces.EngineClient``.

        Closing the iterator early cancels the request after the network delay, but not if a network
        partition separates the zones then.
        """
        engine = self._registry.engine(address)
        stream = await self._open_stream(engine, request)
        finished = False
        has_received = False
        try:
            while not finished:
                chunk = await self._receive_chunk(engine, stream, has_received)
                has_received = True
                finished = chunk.finish_reason is not None
                yield chunk
        finally:
            if not finished:
                self._send_close(engine, stream)

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop working on a request; if it can not be reached, nothing happens."""
        try:
            engine = self._registry.engine(address)
            await self._connect(engine)
        except BackendUnreachable:
            return
        engine.cancel(request_id)

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        engine = self._registry.engine(address)
        await self._connect(engine)
        report = engine.load_report()
        await self._network.wait_for_delivery(engine.zone, self._zone)
        return report

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number, maybe with gaps; raises BackendUnreachable."""
        engine = self._registry.engine(address)
        await self._connect(engine)
        events = engine.cache_events(after_sequence)
        await self._network.wait_for_delivery(engine.zone, self._zone)
        return events

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order; raises OrderRefused or BackendUnreachable."""
        engine = self._registry.engine(address)
        await self._connect(engine)
        try:
            return engine.order(order)
        finally:
            await self._network.wait_for_delivery(engine.zone, self._zone)

    async def _connect(self, backend: EmulatedEngine) -> None:
        await _connect(self._network, self._zone, backend)

    async def _open_stream(self, engine: EmulatedEngine, request: GenerateRequest) -> EngineStream:
        await self._connect(engine)
        try:
            return engine.open_stream(request)
        except BackendRefused as error:
            refusal = error
        await self._network.wait_for_delivery(engine.zone, self._zone)
        raise refusal

    async def _receive_chunk(
        self, engine: EmulatedEngine, stream: EngineStream, has_received: bool
    ) -> GenerateChunk:
        execution = ExecutionStatus.RAN if has_received else ExecutionStatus.UNKNOWN
        item = await stream.get()
        try:
            await self._network.wait_for_delivery(engine.zone, self._zone, item.sent_s)
        except BackendUnreachable as error:
            raise BackendUnreachable(str(error), execution=execution) from error
        if self._network.draw_connection_loss():
            raise BackendUnreachable("connection lost during the stream", execution=execution)
        if isinstance(item.content, GenerateChunk):
            return item.content
        if item.content in _CONNECTION_RESET_REASONS:
            raise BackendUnreachable(
                f"connection reset by the engine: {item.content.value}", execution=execution
            )
        raise IncompleteAnswer(
            f"stream ended without finish reason: {item.content.value}", execution=execution
        )

    def _send_close(self, engine: EmulatedEngine, stream: EngineStream) -> None:
        if self._network.is_cut(self._zone, engine.zone):
            return
        delay_s = self._network.delay_s(self._zone, engine.zone)
        asyncio.get_running_loop().call_later(delay_s, engine.close_stream, stream)


class MemoryAppClient:
    """Implements ``interfaces.AppClient`` for callers in one zone."""

    def __init__(self, registry: BackendRegistry, network: Network, zone: str) -> None:
        self._registry = registry
        self._network = network
        self._zone = zone

    async def call(self, address: str, request: AppRequest) -> AppResponse:
        """Send one call; the replica goes on executing it if the caller stops waiting.

        Raises:
            BackendRefused: the replica refused the call before running it.
            BackendUnreachable: ``execution`` is ``not_run`` only if no connection could be opened.
        """
        app = self._registry.app(address)
        await _connect(self._network, self._zone, app)
        try:
            answer = app.submit(request)
        except BackendRefused as error:
            await self._network.wait_for_delivery(app.zone, self._zone)
            raise error
        response = await asyncio.shield(answer)
        await self._network.wait_for_delivery(app.zone, self._zone)
        if response is None or self._network.draw_connection_loss():
            raise BackendUnreachable("connection reset before the answer", execution=ExecutionStatus.UNKNOWN)
        return response

    async def load_report(self, address: str) -> LoadReport:
        """Return the replica's latest report; raises BackendUnreachable."""
        app = self._registry.app(address)
        await _connect(self._network, self._zone, app)
        report = app.load_report()
        await self._network.wait_for_delivery(app.zone, self._zone)
        return report


async def _connect(network: Network, zone: str, backend: EmulatedEngine | EmulatedApp) -> None:
    """Open a connection and wait until a request arrives; raises BackendUnreachable."""
    await network.connect(zone, backend.zone)
    await network.wait_for_delivery(zone, backend.zone)
    if not backend.up:
        raise BackendUnreachable("the back end refused the connection", execution=ExecutionStatus.NOT_RUN)


def _require(backend: Backend | None, address: str) -> Backend:
    if backend is None:
        raise BackendUnreachable(f"nothing listens at {address}", execution=ExecutionStatus.NOT_RUN)
    return backend
