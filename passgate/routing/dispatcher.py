"""Routes requests to replicas and hands back whole, verified answers.

The dispatcher owns one daemon's queue, load view and attempts.  Everything it
decides is decided by plain objects (``work_scheduler``, ``hedging``,
``execution`` …); the coroutines here only connect them to the clients.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import (
    DeadlineExceeded,
    Draining,
    InvalidRequest,
    PassgateError,
    Refused,
)
from passgate.interfaces import AppClient, EngineClient
from passgate.routing.app_call import AppCall
from passgate.routing.context import RoutingContext
from passgate.routing.counters import RoutingCounters
from passgate.routing.execution import ExecutionLedger
from passgate.routing.gate import Gate
from passgate.routing.generate_call import ChunkCallback, GenerateCall
from passgate.routing.hedge_scan import HedgeScan
from passgate.routing.load_poller import LoadPoller
from passgate.routing.policies import RoutingPolicy
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.routing.work_scheduler import WorkScheduler
from passgate.schema import AppRequest, AppResponse, GenerateRequest, GenerateResult

if TYPE_CHECKING:
    from passgate.state.configuration import ConfigurationState

DRAINING_RETRY_S = 1.0
"""Another daemon can take the request at once; the caller only has to find it."""

Answer = TypeVar("Answer")


class Dispatcher:
    """Queues, places, retries, hedges and verifies the requests of one daemon."""

    def __init__(
        self,
        engine: EngineClient,
        app: AppClient,
        directory: ReplicaDirectory,
        configuration: ConfigurationState,
        zone: str,
        policy: RoutingPolicy,
        random: Random,
        owner: str = "",
    ) -> None:
        """``owner`` names the daemon; its subset of replicas depends on it (default: random)."""
        self.counters = RoutingCounters()
        self._context = RoutingContext(engine, app, configuration, policy, self.counters)
        owner = owner or f"{random.getrandbits(64):016x}"
        self._scheduler = WorkScheduler(
            directory, self._context.pool, policy, zone, owner, random, self._context.sharing_models
        )
        self._context.gate = Gate(self._scheduler)
        self._poller = LoadPoller(self._context)
        self._calls: dict[int, GenerateCall] = {}
        self._hedge_scan = HedgeScan(self._context, self._calls)
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False
        self.in_flight = 0

    @property
    def queued(self) -> int:
        """Requests that wait for a replica."""
        return self._scheduler.queued

    @property
    def scheduler(self) -> WorkScheduler:
        """The plain core, for metrics and tests."""
        return self._scheduler

    def start(self) -> None:
        """Start reading load reports and looking for stalled streams; needs a running loop."""
        self._poller.start()
        self._hedge_scan.start()

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[Any], None] | None = None
    ) -> GenerateResult:
        """Produce one whole answer; verified pieces also go to ``on_chunk``.

        Raises:
            Refused: not run; ``retry_after_s`` tells when to come back.
            ExecutionFailed, InvalidRequest: see :mod:`passgate.errors`; ``execution``
                is true over all attempts.
        """
        ledger = ExecutionLedger()
        return await self._answer(self._generate(request, on_chunk, ledger), ledger)

    async def call_app(self, request: AppRequest) -> AppResponse:
        """Forward one call to an application service; raises as :meth:`generate` does."""
        ledger = ExecutionLedger()
        return await self._answer(self._call_app(request, ledger), ledger)

    async def drain(self, timeout_s: float) -> bool:
        """Refuse what is new, wait for what is in flight; return whether all of it ended."""
        self._draining = True
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop background work and refuse what is still queued."""
        self._draining = True
        self._context.gate.close()
        await self._hedge_scan.close()
        await self._poller.close()

    # --- internals ---------------------------------------------------------------------

    async def _generate(
        self, request: GenerateRequest, on_chunk: ChunkCallback | None, ledger: ExecutionLedger
    ) -> GenerateResult:
        _check_resume(request)
        request = msgspec.structs.replace(request, deadline_s=self._deadline_s(request))
        call = GenerateCall(self._context, request, on_chunk, ledger)
        self._calls[call.key] = call
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await call.run()
        finally:
            del self._calls[call.key]

    async def _call_app(self, request: AppRequest, ledger: ExecutionLedger) -> AppResponse:
        request = msgspec.structs.replace(request, deadline_s=self._deadline_s(request))
        call = AppCall(self._context, request, ledger)
        async with asyncio.timeout_at(call.last_answer_s):
            return await call.run()

    def _deadline_s(self, request: GenerateRequest | AppRequest) -> float:
        pool = self._context.pool(request.pool)
        if request.deadline_s is not None:
            return request.deadline_s
        return monotonic_s() + pool.default_deadline_s

    async def _answer(self, work: Coroutine[Any, Any, Answer], ledger: ExecutionLedger) -> Answer:
        if self._draining:
            work.close()
            self.counters.refused += 1
            raise Draining(retry_after_s=DRAINING_RETRY_S)
        self.counters.requests += 1
        self.in_flight += 1
        self._idle.clear()
        try:
            answer = await work
        except TimeoutError:
            self.counters.deadline_exceeded += 1
            raise DeadlineExceeded("the deadline passed", execution=ledger.status) from None
        except PassgateError as error:
            raise self._final(error, ledger) from error.__cause__
        except asyncio.CancelledError:
            self.counters.cancelled += 1
            raise
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()
        self.counters.succeeded += 1
        return answer

    def _final(self, error: PassgateError, ledger: ExecutionLedger) -> PassgateError:
        final = ledger.stamp(error)
        if isinstance(final, Refused):
            self.counters.refused += 1
        else:
            self.counters.failed += 1
        return final


def _check_resume(request: GenerateRequest) -> None:
    """Raise InvalidRequest unless the caller's spans cover its tokens exactly once, in order."""
    position = 0
    for span in request.resume_spans:
        if span.start != position or span.end <= span.start or span.version <= 0:
            raise InvalidRequest("resume spans are not contiguous", field="resume_spans")
        position = span.end
    if position != len(request.resume_tokens) or position >= request.max_tokens:
        raise InvalidRequest("resume spans do not cover the tokens", field="resume_spans")
