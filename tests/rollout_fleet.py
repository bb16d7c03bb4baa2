"""Simulated engines that carry out orders and transfer weights but generate no tokens.

They run the emulator's control code (fences, refusals, swap failures), weight store and
rate limits.  The fleet implements the methods of ``interfaces.EngineClient`` that rollouts
call, with network delay and faults, on the running event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.engine_batch import EngineBatch
from passgate.emulator.engine_control import EngineControl
from passgate.emulator.engine_events import EngineCounters, EngineEvent, SwapFailure, TransferRequested
from passgate.emulator.engine_reports import CacheEventLog
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.parameters import EngineParameters
from passgate.emulator.run_recorder import RunRecorder
from passgate.emulator.weight_store import EmulatedWeightStore, RateLimiter
from passgate.errors import BackendUnreachable, ExecutionStatus, PlatformError
from passgate.rollout.types import STORE_SOURCE, ReplicaView
from passgate.schema import EngineOrder, LoadReport, OrderKind, OrderResult


class SimulationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Model, weight sizes and delays of the simulated platform."""

    model: str = "m"
    weight_bytes: int = 2_000_000_000
    piece_bytes: int = 250_000_000
    boot_version: int = 1
    engine: EngineParameters = EngineParameters()
    one_way_delay_s: float = 0.0005
    connect_timeout_s: float = 1.0
    cut_through: bool = True
    """Whether an engine serves as a source while it is still fetching."""


class _Fetch:
    """Progress of one fetch, which engines that fetch from this one wait for."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self.failed = False
        self._changed = asyncio.Event()

    def record_received(self, received_bytes: int) -> None:
        """Record the bytes received so far, and wake the waiting fetches."""
        self.received_bytes = received_bytes
        self._wake()

    def fail(self) -> None:
        """Record that the fetch has failed, and wake the waiting fetches."""
        self.failed = True
        self._wake()

    async def wait_until_received(self, target_bytes: int) -> None:
        """Wait until ``target_bytes`` have arrived; raises PlatformError when the fetch fails."""
        while self.received_bytes < target_bytes:
            if self.failed:
                raise PlatformError("the source lost its own fetch", reason="source_failed")
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class SimulatedEngine:
    """One engine that takes orders and fetches weights; its batch stays empty."""

    def __init__(
        self, view: ReplicaView, settings: SimulationSettings, start_transfer: TransferStarter
    ) -> None:
        self.view = view
        self.up = True
        self.upload_limiter = RateLimiter(settings.engine.transfer_bytes_per_s)
        self.weights = EngineWeights({settings.model: settings.boot_version})
        self.fetch_by_version: dict[int, _Fetch] = {}
        self.highest_fence = 0
        self._settings = settings
        self._start_transfer = start_transfer
        counters = EngineCounters()
        cache_events = CacheEventLog(view.replica_id, 0.0, 0.0, 1, Random(0))
        ledger = RunRecorder()
        batch = EngineBatch(
            view.replica_id, settings.engine, self.weights, cache_events, counters, self._emit, ledger
        )
        self.control = EngineControl(settings.engine, self.weights, batch, counters, self._emit)
        self._version_history = [(float("-inf"), self.weights.loaded())]

    @property
    def version(self) -> int | None:
        """Active version, None without usable weights."""
        return self.weights.active[self._settings.model]

    @property
    def is_paused(self) -> bool:
        """Whether a swap pauses the engine."""
        return self.control.next_event_s() is not None

    def order(self, order: EngineOrder) -> OrderResult:
        """Start an order or return whether it is done; raises OrderRefused."""
        now_s = monotonic_s()
        self.control.process(now_s)
        result = self.control.order(order, now_s)
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.kind is OrderKind.ACTIVATE_VERSION:
            self.control.pause_for_swap(now_s)
        due_s = self.control.next_event_s()
        if due_s is not None:
            asyncio.get_running_loop().call_at(due_s, self._process)
        self._record_versions(now_s)
        return result

    def report(self, now_s: float) -> LoadReport:
        """Return a report with the versions of ``report_lag_s`` ago."""
        readable_s = now_s - self._settings.engine.report_lag_s
        versions = next(
            versions for taken_s, versions in reversed(self._version_history) if taken_s <= readable_s
        )
        return LoadReport(
            replica_id=self.view.replica_id,
            sequence=int(now_s / self._settings.engine.report_interval_s),
            running=0,
            waiting=0,
            outstanding_tokens=self.view.outstanding_tokens,
            kv_used_tokens=0,
            kv_capacity_tokens=1,
            tokens_per_s=0.0,
            versions=versions,
            leaving=self.control.draining,
        )

    def _process(self) -> None:
        self.control.process(monotonic_s())
        self._record_versions(monotonic_s())

    def _record_versions(self, now_s: float) -> None:
        versions = self.weights.loaded()
        if versions != self._version_history[-1][1]:
            self._version_history = [*self._version_history[-4:], (now_s, versions)]

    def _emit(self, event: EngineEvent) -> None:
        if isinstance(event, TransferRequested):
            self._start_transfer(self, event)


class TransferStarter:
    """Starts the weight transfers that engines request; implemented by the fleet."""

    def __call__(self, engine: SimulatedEngine, transfer: TransferRequested) -> None:
        """Start the transfer in the background."""
        raise NotImplementedError


class SimulatedFleet(TransferStarter):
    """All engines of a pool, the weight store and the network between them."""

    def __init__(
        self, views: Iterable[ReplicaView], store: EmulatedWeightStore, settings: SimulationSettings
    ) -> None:
        self.settings = settings
        self.store = store
        self.engine_by_address = {view.address: SimulatedEngine(view, settings, self) for view in views}
        self.client_calls = 0
        self.client_call_bytes = 0
        self.largest_paused_share = 0.0
        self.unreachable_zones: set[str] = set()
        self.answers_to_lose: dict[tuple[str, OrderKind], int] = {}
        """Number of next answers that are lost, by address and kind of order."""
        self._tasks: set[asyncio.Task[None]] = set()

    # --- engine client -----------------------------------------------------------------

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send one order over the network; see ``interfaces.EngineClient``."""
        engine = await self._connect(address)
        self.client_call_bytes += len(msgspec.json.encode(order))
        result = engine.order(order)
        await self._send_answer(address, order.kind)
        return result

    async def load_report(self, address: str) -> LoadReport:
        """Read a load report over the network; see ``interfaces.EngineClient``."""
        engine = await self._connect(address)
        report = engine.report(monotonic_s())
        self.client_call_bytes += len(msgspec.json.encode(report))
        await asyncio.sleep(self.settings.one_way_delay_s)
        return report

    async def _connect(self, address: str) -> SimulatedEngine:
        self.client_calls += 1
        engine = self.engine_by_address[address]
        if not engine.up or engine.view.zone in self.unreachable_zones:
            await asyncio.sleep(self.settings.connect_timeout_s)
            raise BackendUnreachable("no connection", execution=ExecutionStatus.NOT_RUN)
        await asyncio.sleep(self.settings.one_way_delay_s)
        return engine

    async def _send_answer(self, address: str, kind: OrderKind) -> None:
        await asyncio.sleep(self.settings.one_way_delay_s)
        lost = self.answers_to_lose.get((address, kind), 0)
        if lost or self.engine_by_address[address].view.zone in self.unreachable_zones:
            self.answers_to_lose[address, kind] = max(lost - 1, 0)
            raise BackendUnreachable("the answer was lost", execution=ExecutionStatus.UNKNOWN)

    # --- faults and observed state --------------------------------------------------------

    def versions(self) -> Mapping[str, int | None]:
        """Return the active version of every engine, by replica identifier."""
        return {engine.view.replica_id: engine.version for engine in self.engine_by_address.values()}

    def count_on(self, version: int) -> int:
        """Return the number of engines on which ``version`` is active."""
        return sum(engine.version == version for engine in self.engine_by_address.values())

    def paused_engines(self) -> list[SimulatedEngine]:
        """Return the engines that a swap pauses."""
        return [engine for engine in self.engine_by_address.values() if engine.is_paused]

    def fail_next_swaps(self, address: str, failure: SwapFailure, count: int = 1) -> None:
        """Make the next ``count`` stages or activations of one engine fail."""
        for _ in range(count):
            self.engine_by_address[address].control.arm_swap_failure(failure)

    async def close(self) -> None:
        """Stop all transfers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- transfers -----------------------------------------------------------------------

    def __call__(self, engine: SimulatedEngine, transfer: TransferRequested) -> None:
        """Start the transfer that ``engine`` requested."""
        task = asyncio.get_running_loop().create_task(self._transfer(engine, transfer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _transfer(self, engine: SimulatedEngine, transfer: TransferRequested) -> None:
        fetch = engine.fetch_by_version[transfer.version] = _Fetch()
        try:
            if transfer.source == STORE_SOURCE:
                async for received_bytes in self.store.pieces(transfer.model, transfer.version):
                    fetch.record_received(received_bytes)
            else:
                await self._fetch_from_engine(
                    engine, self.engine_by_address[transfer.source], transfer, fetch
                )
        except PlatformError:
            fetch.fail()
        engine.control.record_transfer_end(transfer.model, transfer.version, fetch.failed)

    async def _fetch_from_engine(
        self, engine: SimulatedEngine, source: SimulatedEngine, transfer: TransferRequested, fetch: _Fetch
    ) -> None:
        received = 0
        while received < self.settings.weight_bytes:
            piece = min(self.settings.piece_bytes, self.settings.weight_bytes - received)
            await self._wait_for_source(source, transfer, received + piece)
            if (
                not source.up
                or not engine.up
                or (source.view.zone in self.unreachable_zones)
                != (engine.view.zone in self.unreachable_zones)
            ):
                raise PlatformError("the source can not be reached", reason="source_unreachable")
            await source.upload_limiter.send(piece)
            received += piece
            fetch.record_received(received)

    async def _wait_for_source(self, source: SimulatedEngine, transfer: TransferRequested, size: int) -> None:
        if source.weights.holds(transfer.model, transfer.version):
            return
        fetch = source.fetch_by_version.get(transfer.version)
        if not self.settings.cut_through or fetch is None:
            raise PlatformError("the source has no such version", reason="absent")
        await fetch.wait_until_received(size)
