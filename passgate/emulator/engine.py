"""Engine model driven on the running loop's time, with its streams and weight transfers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence as SequenceOf
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.engine_events import ChunkProduced, EndReason, EngineEvent, StreamEnded, TransferWanted
from passgate.emulator.engine_model import EngineModel
from passgate.emulator.network import PLATFORM_ZONE
from passgate.emulator.weight_store import EmulatedWeightStore, RateLimiter
from passgate.errors import BackendUnreachable, ExecutionStatus, PlatformError
from passgate.schema import CacheEvent, EngineOrder, GenerateChunk, GenerateRequest, LoadReport, OrderResult

STORE_SOURCE = "store"
"""``EngineOrder.source`` that means the platform's weight store."""


class StreamItem(msgspec.Struct, frozen=True):
    """A piece of output, or why the stream ended without its finish mark."""

    sent_s: float
    content: GenerateChunk | EndReason


class EngineStream:
    """Output of one submission, in order."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self._items: asyncio.Queue[StreamItem] = asyncio.Queue()

    def put(self, content: GenerateChunk | EndReason, sent_s: float) -> None:
        """Add an item."""
        self._items.put_nowait(StreamItem(sent_s, content))

    async def get(self) -> StreamItem:
        """Return the next item; never returns after the last one."""
        return await self._items.get()


class WeightSources(Protocol):
    """Where an engine can fetch weights from."""

    store: EmulatedWeightStore

    def peer(self, address: str) -> EmulatedEngine | None:
        """Return the engine at an address."""
        ...

    async def carry(self, source_zone: str, target_zone: str) -> None:
        """Wait for the network; raises BackendUnreachable across a lasting cut."""
        ...


class EmulatedEngine:
    """One engine replica at one address."""

    def __init__(self, model: EngineModel, address: str, zone: str, sources: WeightSources) -> None:
        self.model = model
        self.address = address
        self.zone = zone
        self._sources = sources
        self._streams: dict[str, EngineStream] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._transfers: dict[str, asyncio.Task[None]] = {}
        self._progress: dict[str, tuple[int, int]] = {}
        self._progress_changed = asyncio.Event()
        self._upload = RateLimiter(model.parameters.transfer_bytes_per_s)

    @property
    def replica_id(self) -> str:
        """Identifier of the replica."""
        return self.model.replica_id

    @property
    def up(self) -> bool:
        """Whether the process runs; otherwise connections are refused."""
        return self.model.up

    # --- requests ---------------------------------------------------------------------

    def open(self, request: GenerateRequest) -> EngineStream:
        """Submit a request; raises BackendRefused, and then it never runs."""
        self._pump()
        try:
            self.model.submit(request, monotonic_s())
        finally:
            self._pump()
        stream = EngineStream(request.request_id)
        self._streams[request.request_id] = stream
        return stream

    def close_stream(self, stream: EngineStream) -> None:
        """Cancel a stream whose reader went away; one that was replaced is left alone."""
        if self._streams.get(stream.request_id) is stream:
            self.cancel(stream.request_id)

    def cancel(self, request_id: str) -> None:
        """Stop working on a request; unknown identifiers are ignored."""
        self.model.cancel(request_id, monotonic_s())
        self._pump()

    # --- reports and orders ------------------------------------------------------------

    def load_report(self) -> LoadReport:
        """Return the newest readable load report."""
        report = self.model.load_report(monotonic_s())
        self._pump()
        return report

    def cache_events(self, after_sequence: int) -> SequenceOf[CacheEvent]:
        """Return the published cache events after a sequence number."""
        return self.model.cache_events(after_sequence, monotonic_s())

    def order(self, order: EngineOrder) -> OrderResult:
        """Carry out a control order or begin to; raises OrderRefused."""
        try:
            return self.model.order(order, monotonic_s())
        finally:
            self._pump()

    # --- faults ---------------------------------------------------------------------------

    def crash(self, restart_after_s: float | None = None) -> None:
        """Reset all connections and lose all state; the engine restarts after a while."""
        self.model.crash(monotonic_s(), restart_after_s)
        for task in self._transfers.values():
            task.cancel()
        self._transfers.clear()
        self._progress.clear()
        self._notify_progress()
        self._pump()

    def set_slow_factor(self, factor: float) -> None:
        """Make later steps ``factor`` times as long as normal."""
        self.model.set_slow_factor(factor, monotonic_s())
        self._pump()

    def close(self) -> None:
        """Stop timers and transfers."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._transfers.values():
            task.cancel()

    # --- time -----------------------------------------------------------------------------

    def _pump(self, now_s: float | None = None) -> None:
        now_s = monotonic_s() if now_s is None else now_s
        for event in self.model.advance(now_s):
            self._dispatch(event, now_s)
        self._arm()

    def _arm(self) -> None:
        due_s = self.model.next_event_s()
        if self._timer is not None:
            if not self._timer.cancelled() and self._timer.when() == due_s:
                return
            self._timer.cancel()
            self._timer = None
        if due_s is not None:
            self._timer = asyncio.get_running_loop().call_at(due_s, self._on_timer, due_s)

    def _on_timer(self, due_s: float) -> None:
        self._timer = None
        self._pump(max(due_s, monotonic_s()))

    def _dispatch(self, event: EngineEvent, now_s: float) -> None:
        match event:
            case ChunkProduced(chunk):
                self._send(chunk.request_id, chunk, now_s, ends=chunk.finish_reason is not None)
            case StreamEnded(request_id, reason):
                self._send(request_id, reason, now_s, ends=True)
            case TransferWanted():
                self._begin_transfer(event)

    def _send(self, request_id: str, content: GenerateChunk | EndReason, now_s: float, ends: bool) -> None:
        stream = self._streams.get(request_id)
        if stream is None:
            return
        stream.put(content, now_s)
        if ends:
            del self._streams[request_id]

    # --- weights ----------------------------------------------------------------------------

    def available_bytes(self, model: str, version: int) -> int | None:
        """Return how much of a version can be read from this engine; None when nothing."""
        if not self.up:
            return None
        if self.model.weights.holds(model, version):
            return self.model.models[model].weight_bytes
        held = self._progress.get(model)
        if held is not None and held[0] == version:
            return held[1]
        return None

    async def send_piece(self, model: str, version: int, offset: int, size_bytes: int) -> None:
        """Send one piece once it is here; raises PlatformError when it never will be."""
        while True:
            available = self.available_bytes(model, version)
            if available is None:
                raise PlatformError("the source does not hold the version", reason="absent")
            if available >= offset + size_bytes:
                break
            await self._progress_changed.wait()
        await self._upload.send(size_bytes)

    def _begin_transfer(self, wanted: TransferWanted) -> None:
        replaced = self._transfers.pop(wanted.model, None)
        if replaced is not None:
            replaced.cancel()
        self._progress[wanted.model] = (wanted.version, 0)
        self._transfers[wanted.model] = asyncio.ensure_future(self._transfer(wanted))

    async def _transfer(self, wanted: TransferWanted) -> None:
        failed = False
        try:
            if wanted.source == STORE_SOURCE:
                await self._fetch_from_store(wanted)
            else:
                await self._fetch_from_peer(wanted)
        except (PlatformError, BackendUnreachable):
            failed = True
        self._transfers.pop(wanted.model, None)
        self._progress.pop(wanted.model, None)
        self.model.transferred(wanted.model, wanted.version, monotonic_s(), failed=failed)
        self._notify_progress()
        self._pump()

    async def _fetch_from_store(self, wanted: TransferWanted) -> None:
        async for received in self._sources.store.pieces(wanted.model, wanted.version):
            await self._sources.carry(PLATFORM_ZONE, self.zone)
            self._note_progress(wanted, received)

    async def _fetch_from_peer(self, wanted: TransferWanted) -> None:
        peer = self._sources.peer(wanted.source)
        if peer is None or not peer.up:
            raise BackendUnreachable("no engine at the source", execution=ExecutionStatus.NOT_RUN)
        size_bytes = self.model.models[wanted.model].weight_bytes
        piece_bytes = self._sources.store.parameters.piece_bytes
        received = 0
        while received < size_bytes:
            piece = min(piece_bytes, size_bytes - received)
            await peer.send_piece(wanted.model, wanted.version, received, piece)
            await self._sources.carry(peer.zone, self.zone)
            received += piece
            self._note_progress(wanted, received)

    def _note_progress(self, wanted: TransferWanted, received: int) -> None:
        self._progress[wanted.model] = (wanted.version, received)
        self._notify_progress()

    def _notify_progress(self) -> None:
        self._progress_changed.set()
        self._progress_changed = asyncio.Event()
