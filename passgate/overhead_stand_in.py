"""Scripted engine, log and machine list for ``passgate overhead``, in one process.

``python -m passgate.overhead_stand_in`` prints one JSON line with the addresses
and serves until it is ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.engine_server import EngineServer
from passgate.emulator.log_server import LogServer
from passgate.emulator.machine_list import EmulatedMachineList
from passgate.emulator.parameters import MachineListParameters, StoreParameters
from passgate.emulator.platform_server import PlatformServer
from passgate.emulator.weight_store import EmulatedWeightStore
from passgate.errors import OrderRefused
from passgate.schema import (
    CacheEvent,
    EngineOrder,
    FinishReason,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    MachineInfo,
    MachineRole,
    OrderResult,
)
from passgate.state.memory_log import MemoryLog, MemoryLogClient

MODEL = "scripted"
ENGINE = "engine-0"
TOKENS_PER_CHUNK = 8
HOLD_SEED = 1
"""Seed that makes the engine hold the stream after its first piece."""
KV_CAPACITY_TOKENS = 10_000_000
TOKENS_PER_S = 100_000.0


class StandInAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The line that the process prints."""

    engine: str
    log: str
    platform: str


class ScriptedEngine:
    """Produces pieces as fast as they are read."""

    def __init__(self) -> None:
        self._running = 0
        self._started_s = monotonic_s()

    async def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Yield all pieces, or hold after the first."""
        self._running += 1
        try:
            for start in range(len(request.resume_tokens), request.max_tokens, TOKENS_PER_CHUNK):
                end = min(start + TOKENS_PER_CHUNK, request.max_tokens)
                yield GenerateChunk(
                    request_id=request.request_id,
                    start=start,
                    tokens=tuple(range(start, end)),
                    version=1,
                    finish_reason=FinishReason.LENGTH if end == request.max_tokens else None,
                )
                await (asyncio.Event().wait() if request.seed == HOLD_SEED else asyncio.sleep(0))
        finally:
            self._running -= 1

    async def cancel(self, address: str, request_id: str) -> None:
        """Do nothing: closing the stream ends the request."""

    async def load_report(self, address: str) -> LoadReport:
        """Return a report of little load."""
        return LoadReport(
            replica_id=ENGINE,
            sequence=int((monotonic_s() - self._started_s) * 1000) + 1,
            running=self._running,
            waiting=0,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=KV_CAPACITY_TOKENS,
            tokens_per_s=TOKENS_PER_S,
            versions={MODEL: "1"},
        )

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return nothing."""
        return ()

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Refuse all orders."""
        raise OrderRefused("the scripted engine takes no orders")


async def serve() -> None:
    """Serve for ever."""
    machines = EmulatedMachineList(MachineListParameters(lag_s=0.0))
    engine = EngineServer(ENGINE, ScriptedEngine(), "")
    log = LogServer("log", MemoryLogClient(MemoryLog(), latency_s=0.0))
    platform = PlatformServer("platform", machines, EmulatedWeightStore(StoreParameters()))
    addresses = StandInAddresses(engine=engine.start(), log=log.start(), platform=platform.start())
    machine = MachineInfo(
        machine_id=ENGINE,
        role=MachineRole.ENGINE,
        address=addresses.engine,
        zone="here",
        labels={"service": "engines"},
    )
    machines.register(machine)
    print(msgspec.json.encode(addresses).decode(), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve())
