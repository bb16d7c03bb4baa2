"""Runs an :class:`EngineModel` on the running event loop, with its output streams and weight transfers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence as SequenceOf
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.engine_events import (
    ChunkProduced,
    EndReason,
    EngineEvent,
    StreamEnded,
    TransferRequested,
)
from passgate.emulator.engine_model import EngineModel
from passgate.emulator.network import PLATFORM_ZONE
from passgate.emulator.weight_store import EmulatedWeightStore, RateLimiter
from passgate.errors import BackendUnreachable, ExecutionStatus, PlatformError
from passgate.schema import CacheEvent, EngineOrder, GenerateChunk, GenerateRequest, LoadReport, OrderResult

STORE_SOURCE = "store"
"""Value of ``EngineOrder.source`` that names the platform's weight store."""


class StreamItem(msgspec.Struct, frozen=True):
    """A chunk of output, or why the stream ended without a finish reason."""

    sent_s: float
    """Loop time at which the engine sent the item."""
    content: GenerateChunk | EndReason


class EngineStream:
    """Output of one submitted request, in order."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self._items: asyncio.Queue[StreamItem] = asyncio.Queue()

    def put(self, content: GenerateChunk | EndReason, sent_s: float) -> None:
        """Append an item that the engine sent at ``sent_s``."""
        self._items.put_nowait(StreamItem(sent_s, content))

    async def get(self) -> StreamItem:
        """Return the next item; after the last one it never returns."""
        return await self._items.get()


class WeightSources(Protocol):
    """What an engine needs to fetch weights from the store or from other engines."""

    store: EmulatedWeightStore

    def engine_at(self, address: str) -> EmulatedEngine | None:
        """Return the engine at an address; None when there is none."""
        ...

    async def wait_for_network(self, source_zone: str, target_zone: str) -> None:
        """Wait for the network delay between two zones.

        Raises:
            BackendUnreachable: a network partition between the zones outlasted the timeout.
        """
        ...


class EmulatedEngine:
    """One engine replica, reachable at one address."""

    def __init__(self, model: EngineModel, address: str, zone: str, weight_sources: WeightSources) -> None:
        self.model = model
        self.address = address
        self.zone = zone
        self._weight_sources = weight_sources
        self._stream_by_request_id: dict[str, EngineStream] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._transfer_by_model: dict[str, asyncio.Task[None]] = {}
        self._fetch_progress_by_model: dict[str, tuple[int, int]] = {}
        """Version that is being fetched and its received bytes."""
        self._progress_changed = asyncio.Event()
        self._upload_limiter = RateLimiter(model.parameters.transfer_bytes_per_s)

    @property
    def replica_id(self) -> str:
        """The replica's identifier."""
        return self.model.replica_id

    @property
    def up(self) -> bool:
        """Whether the process runs; while it does not, clients must refuse connections to it."""
        return self.model.up

    # --- requests ---------------------------------------------------------------------

    def open_stream(self, request: GenerateRequest) -> EngineStream:
        """Submit a request and return its output stream.

        A waiting or running request with the same identifier is cancelled.

        Raises:
            BackendRefused: the engine does not accept the request; it never runs.
        """
        self._advance_model()
        try:
            self.model.submit(request, monotonic_s())
        finally:
            self._advance_model()
        stream = EngineStream(request.request_id)
        self._stream_by_request_id[request.request_id] = stream
        return stream

    def close_stream(self, stream: EngineStream) -> None:
        """Cancel the request of a stream that is no longer read.

        Does nothing if the request has ended or was submitted again, which has a stream of its own.
        """
        if self._stream_by_request_id.get(stream.request_id) is stream:
            self.cancel(stream.request_id)

    def cancel(self, request_id: str) -> None:
        """Cancel a request; unknown identifiers are ignored."""
        self.model.cancel(request_id, monotonic_s())
        self._advance_model()

    # --- reports and orders ------------------------------------------------------------

    def load_report(self) -> LoadReport:
        """Return the newest load report that is at least as old as the configured report lag."""
        report = self.model.load_report(monotonic_s())
        self._advance_model()
        return report

    def cache_events(self, after_sequence: int) -> SequenceOf[CacheEvent]:
        """Return the published cache events whose sequence number is above ``after_sequence``."""
        return self.model.cache_events(after_sequence, monotonic_s())

    def order(self, order: EngineOrder) -> OrderResult:
        """Execute or start a control order; a repeated order returns its progress.

        Raises:
            OrderRefused: see ``engine_orders.RefusalReason``.
        """
        try:
            return self.model.order(order, monotonic_s())
        finally:
            self._advance_model()

    # --- faults ---------------------------------------------------------------------------

    def crash(self, restart_after_s: float | None = None) -> None:
        """End all streams and transfers, lose all state and restart later.

        ``restart_after_s`` defaults to the configured time.
        """
        self.model.crash(monotonic_s(), restart_after_s)
        for task in self._transfer_by_model.values():
            task.cancel()
        self._transfer_by_model.clear()
        self._fetch_progress_by_model.clear()
        self._wake_progress_waiters()
        self._advance_model()

    def set_slow_factor(self, factor: float) -> None:
        """Multiply the normal time of later steps and swap pauses by ``factor``."""
        self.model.set_slow_factor(factor, monotonic_s())
        self._advance_model()

    def close(self) -> None:
        """Cancel the timer and all transfers."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._transfer_by_model.values():
            task.cancel()

    # --- time -----------------------------------------------------------------------------

    def _advance_model(self, now_s: float | None = None) -> None:
        now_s = monotonic_s() if now_s is None else now_s
        for event in self.model.advance(now_s):
            self._handle_event(event, now_s)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
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
        self._advance_model(max(due_s, monotonic_s()))

    def _handle_event(self, event: EngineEvent, now_s: float) -> None:
        match event:
            case ChunkProduced(chunk):
                self._send_to_stream(chunk.request_id, chunk, now_s, is_last=chunk.finish_reason is not None)
            case StreamEnded(request_id, reason):
                self._send_to_stream(request_id, reason, now_s, is_last=True)
            case TransferRequested():
                self._start_transfer(event)

    def _send_to_stream(
        self, request_id: str, content: GenerateChunk | EndReason, now_s: float, is_last: bool
    ) -> None:
        stream = self._stream_by_request_id.get(request_id)
        if stream is None:
            return
        stream.put(content, now_s)
        if is_last:
            del self._stream_by_request_id[request_id]

    # --- weights ----------------------------------------------------------------------------

    def available_bytes(self, model: str, version: int) -> int | None:
        """Return how many bytes of a version can be read from this engine so far.

        None means that the engine is down, or neither holds nor fetches the version.
        """
        if not self.up:
            return None
        if self.model.weights.holds(model, version):
            return self.model.models[model].weight_bytes
        progress = self._fetch_progress_by_model.get(model)
        if progress is not None and progress[0] == version:
            return progress[1]
        return None

    async def upload_piece(self, model: str, version: int, offset: int, size_bytes: int) -> None:
        """Wait until a piece of a version has been fetched, then send it at this engine's upload rate.

        Raises:
            PlatformError: this engine is down, or neither holds nor fetches the version.
        """
        while True:
            available = self.available_bytes(model, version)
            if available is None:
                raise PlatformError("the source does not hold the version", reason="absent")
            if available >= offset + size_bytes:
                break
            await self._progress_changed.wait()
        await self._upload_limiter.send(size_bytes)

    def _start_transfer(self, transfer: TransferRequested) -> None:
        previous = self._transfer_by_model.pop(transfer.model, None)
        if previous is not None:
            previous.cancel()
        self._fetch_progress_by_model[transfer.model] = (transfer.version, 0)
        self._transfer_by_model[transfer.model] = asyncio.ensure_future(self._transfer(transfer))

    async def _transfer(self, transfer: TransferRequested) -> None:
        failed = False  # reported to the model, which fails the stage orders that wait for the transfer
        try:
            if transfer.source == STORE_SOURCE:
                await self._fetch_from_store(transfer)
            else:
                await self._fetch_from_peer(transfer)
        except (PlatformError, BackendUnreachable):
            failed = True
        self._transfer_by_model.pop(transfer.model, None)
        self._fetch_progress_by_model.pop(transfer.model, None)
        self.model.record_transfer_end(transfer.model, transfer.version, monotonic_s(), failed=failed)
        self._wake_progress_waiters()
        self._advance_model()

    async def _fetch_from_store(self, transfer: TransferRequested) -> None:
        async for received_bytes in self._weight_sources.store.pieces(transfer.model, transfer.version):
            await self._weight_sources.wait_for_network(PLATFORM_ZONE, self.zone)
            self._record_progress(transfer, received_bytes)

    async def _fetch_from_peer(self, transfer: TransferRequested) -> None:
        peer = self._weight_sources.engine_at(transfer.source)
        if peer is None or not peer.up:
            raise BackendUnreachable(
                "no running engine at the source address", execution=ExecutionStatus.NOT_RUN
            )
        size_bytes = self.model.models[transfer.model].weight_bytes
        piece_bytes = self._weight_sources.store.parameters.piece_bytes
        received_bytes = 0
        while received_bytes < size_bytes:
            next_bytes = min(piece_bytes, size_bytes - received_bytes)
            await peer.upload_piece(transfer.model, transfer.version, received_bytes, next_bytes)
            await self._weight_sources.wait_for_network(peer.zone, self.zone)
            received_bytes += next_bytes
            self._record_progress(transfer, received_bytes)

    def _record_progress(self, transfer: TransferRequested, received_bytes: int) -> None:
        self._fetch_progress_by_model[transfer.model] = (transfer.version, received_bytes)
        self._wake_progress_waiters()

    def _wake_progress_waiters(self) -> None:
        self._progress_changed.set()
        self._progress_changed = asyncio.Event()
