"""Hollow engines that carry out orders and transfer weights, but generate nothing.

They run the emulator's own control code (fences, refusals, swap failures), its
weight store and its rate limits, so a thousand of them fit in one process.  The
fleet implements the part of ``interfaces.EngineClient`` that rollouts use, with
network delay and faults, on whatever loop is running.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.engine_batch import EngineBatch
from passgate.emulator.engine_control import EngineControl
from passgate.emulator.engine_events import EngineCounters, EngineEvent, SwapFailure, TransferWanted
from passgate.emulator.engine_reports import CacheEventLog
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.ledger import RunLedger
from passgate.emulator.parameters import EngineParameters
from passgate.emulator.weight_store import EmulatedWeightStore, RateLimiter
from passgate.errors import BackendUnreachable, ExecutionStatus, PlatformError
from passgate.rollout.types import STORE_SOURCE, ReplicaView
from passgate.schema import EngineOrder, LoadReport, OrderKind, OrderResult


class HollowSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the hollow engines assume of the platform."""

    model: str = "m"
    weight_bytes: int = 2_000_000_000
    piece_bytes: int = 250_000_000
    boot_version: int = 1
    engine: EngineParameters = EngineParameters()
    one_way_s: float = 0.0005
    connect_timeout_s: float = 1.0
    cut_through: bool = True
    """An engine passes pieces on while it still fetches."""


class _Fetch:
    """Progress of one fetch, for engines that fetch from this one."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self.failed = False
        self._changed = asyncio.Event()

    def advance(self, received_bytes: int) -> None:
        """Note bytes that arrived, and wake the readers."""
        self.received_bytes = received_bytes
        self._wake()

    def fail(self) -> None:
        """Note that no more bytes will come."""
        self.failed = True
        self._wake()

    async def reach(self, wanted_bytes: int) -> None:
        """Return when that many bytes have arrived; raises PlatformError when the fetch failed."""
        while self.received_bytes < wanted_bytes:
            if self.failed:
                raise PlatformError("the source lost its own fetch", reason="source_failed")
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class HollowEngine:
    """One engine without a batch of its own."""

    def __init__(self, view: ReplicaView, settings: HollowSettings, start: TransferStart) -> None:
        self.view = view
        self.up = True
        self.uplink = RateLimiter(settings.engine.transfer_bytes_per_s)
        self.weights = EngineWeights({settings.model: settings.boot_version})
        self.fetches: dict[int, _Fetch] = {}
        self.highest_fence = 0
        self._settings = settings
        self._start = start
        counters = EngineCounters()
        cache_events = CacheEventLog(view.replica_id, 0.0, 0.0, 1, Random(0))
        ledger = RunLedger()
        batch = EngineBatch(
            view.replica_id, settings.engine, self.weights, cache_events, counters, self._emit, ledger
        )
        self.control = EngineControl(settings.engine, self.weights, batch, counters, self._emit)
        self._reported = [(float("-inf"), self.weights.loaded())]

    @property
    def version(self) -> int | None:
        """Version in use, None without usable weights."""
        return self.weights.active[self._settings.model]

    @property
    def paused(self) -> bool:
        """Whether a swap keeps the engine still."""
        return self.control.next_event_s() is not None

    def order(self, order: EngineOrder) -> OrderResult:
        """Take one order; raises OrderRefused."""
        now_s = monotonic_s()
        self.control.process(now_s)
        result = self.control.order(order, now_s)
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.kind is OrderKind.ACTIVATE_VERSION:
            self.control.holds_steps(now_s)
        due_s = self.control.next_event_s()
        if due_s is not None:
            asyncio.get_running_loop().call_at(due_s, self._process)
        self._note_versions(now_s)
        return result

    def report(self, now_s: float) -> LoadReport:
        """Return the newest report that is old enough to be readable."""
        readable_s = now_s - self._settings.engine.report_lag_s
        versions = next(versions for taken_s, versions in reversed(self._reported) if taken_s <= readable_s)
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
        self._note_versions(monotonic_s())

    def _note_versions(self, now_s: float) -> None:
        versions = self.weights.loaded()
        if versions != self._reported[-1][1]:
            self._reported = [*self._reported[-4:], (now_s, versions)]

    def _emit(self, event: EngineEvent) -> None:
        if isinstance(event, TransferWanted):
            self._start(self, event)


class TransferStart:
    """Starts the transfer that an engine asked for; set up by the fleet."""

    def __call__(self, engine: HollowEngine, wanted: TransferWanted) -> None:
        """Begin the transfer in the background."""
        raise NotImplementedError


class HollowFleet(TransferStart):
    """All engines of a pool, their store and the network in between."""

    def __init__(
        self, views: Iterable[ReplicaView], store: EmulatedWeightStore, settings: HollowSettings
    ) -> None:
        self.settings = settings
        self.store = store
        self.engines = {view.address: HollowEngine(view, settings, self) for view in views}
        self.messages = 0
        self.message_bytes = 0
        self.largest_paused_share = 0.0
        self.cut_zones: set[str] = set()
        self.lost_answers: dict[tuple[str, OrderKind], int] = {}
        """How many answers to come are lost, per address and kind of order."""
        self._tasks: set[asyncio.Task[None]] = set()

    # --- the client's side -------------------------------------------------------------

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send one order over the network; see ``interfaces.EngineClient``."""
        engine = await self._reach(address)
        self.message_bytes += len(msgspec.json.encode(order))
        result = engine.order(order)
        await self._answer(address, order.kind)
        return result

    async def load_report(self, address: str) -> LoadReport:
        """Read a load report over the network; see ``interfaces.EngineClient``."""
        engine = await self._reach(address)
        report = engine.report(monotonic_s())
        self.message_bytes += len(msgspec.json.encode(report))
        await asyncio.sleep(self.settings.one_way_s)
        return report

    async def _reach(self, address: str) -> HollowEngine:
        self.messages += 1
        engine = self.engines[address]
        if not engine.up or engine.view.zone in self.cut_zones:
            await asyncio.sleep(self.settings.connect_timeout_s)
            raise BackendUnreachable("no connection", execution=ExecutionStatus.NOT_RUN)
        await asyncio.sleep(self.settings.one_way_s)
        return engine

    async def _answer(self, address: str, kind: OrderKind) -> None:
        await asyncio.sleep(self.settings.one_way_s)
        lost = self.lost_answers.get((address, kind), 0)
        if lost or self.engines[address].view.zone in self.cut_zones:
            self.lost_answers[address, kind] = max(lost - 1, 0)
            raise BackendUnreachable("the answer was lost", execution=ExecutionStatus.UNKNOWN)

    # --- what happens and what is seen ----------------------------------------------------

    def versions(self) -> Mapping[str, int | None]:
        """Return the version in use of every engine, by replica."""
        return {engine.view.replica_id: engine.version for engine in self.engines.values()}

    def count_on(self, version: int) -> int:
        """Return how many engines use a version."""
        return sum(engine.version == version for engine in self.engines.values())

    def paused(self) -> list[HollowEngine]:
        """Return the engines that a swap keeps still now."""
        return [engine for engine in self.engines.values() if engine.paused]

    def fail_next_swaps(self, address: str, failure: SwapFailure, count: int = 1) -> None:
        """Let the next stages or activations of one engine fail."""
        for _ in range(count):
            self.engines[address].control.arm_swap_failure(failure)

    async def close(self) -> None:
        """Stop all transfers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- transfers -----------------------------------------------------------------------

    def __call__(self, engine: HollowEngine, wanted: TransferWanted) -> None:
        """Begin the transfer that ``engine`` asked for."""
        task = asyncio.get_running_loop().create_task(self._transfer(engine, wanted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _transfer(self, engine: HollowEngine, wanted: TransferWanted) -> None:
        fetch = engine.fetches[wanted.version] = _Fetch()
        try:
            if wanted.source == STORE_SOURCE:
                async for received_bytes in self.store.pieces(wanted.model, wanted.version):
                    fetch.advance(received_bytes)
            else:
                await self._fetch_from_engine(engine, self.engines[wanted.source], wanted, fetch)
        except PlatformError:
            fetch.fail()
        engine.control.transferred(wanted.model, wanted.version, fetch.failed)

    async def _fetch_from_engine(
        self, engine: HollowEngine, source: HollowEngine, wanted: TransferWanted, fetch: _Fetch
    ) -> None:
        received = 0
        while received < self.settings.weight_bytes:
            piece = min(self.settings.piece_bytes, self.settings.weight_bytes - received)
            await self._until_source_has(source, wanted, received + piece)
            if (
                not source.up
                or not engine.up
                or (source.view.zone in self.cut_zones) != (engine.view.zone in self.cut_zones)
            ):
                raise PlatformError("the source can not be reached", reason="source_unreachable")
            await source.uplink.send(piece)
            received += piece
            fetch.advance(received)

    async def _until_source_has(self, source: HollowEngine, wanted: TransferWanted, size: int) -> None:
        if source.weights.holds(wanted.model, wanted.version):
            return
        fetch = source.fetches.get(wanted.version)
        if not self.settings.cut_through or fetch is None:
            raise PlatformError("the source has no such version", reason="absent")
        await fetch.reach(size)
