"""Routes the requests of one daemon to replicas and returns complete, verified responses.

The coroutines here connect the back-end clients to synchronous objects that decide:
``work_scheduler`` chooses replicas, ``hedging`` chooses attempts to duplicate, and
``execution`` keeps the execution status of each request.
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
from passgate.routing.execution import ExecutionHistory
from passgate.routing.generate_call import ChunkCallback, GenerateCall
from passgate.routing.hedge_scanner import HedgeScanner
from passgate.routing.load_poller import LoadPoller
from passgate.routing.policies import RoutingPolicy
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.routing.replica_slots import ReplicaSlots
from passgate.routing.work_scheduler import WorkScheduler
from passgate.schema import AppRequest, AppResponse, GenerateRequest, GenerateResult

if TYPE_CHECKING:
    from passgate.state.configuration import ConfigurationState

DRAINING_RETRY_AFTER_S = 1.0
"""Retry time of a request that is refused while draining; other daemons accept it at once."""

Response = TypeVar("Response")


class Dispatcher:
    """Queues requests, sends them to replicas, retries and hedges them, and verifies the responses.

    ``in_flight`` is the number of accepted requests that have not ended, queued ones included.
    """

    def __init__(
        self,
        engine: EngineClient,
        app: AppClient,
        directory: ReplicaDirectory,
        configuration: ConfigurationState,
        zone: str,
        policy: RoutingPolicy,
        random: Random,
        daemon_id: str = "",
    ) -> None:
        """Create a dispatcher; nothing runs until :meth:`start`.

        ``daemon_id`` is the daemon's identifier, which determines its subset of replicas; if it
        is empty, a random one is used.
        """
        self.counters = RoutingCounters()
        self._context = RoutingContext(engine, app, configuration, policy, self.counters)
        daemon_id = daemon_id or f"{random.getrandbits(64):016x}"
        self._scheduler = WorkScheduler(
            directory,
            self._context.pool,
            policy,
            zone,
            daemon_id,
            random,
            self._context.models_sharing_replicas,
        )
        self._context.slots = ReplicaSlots(self._scheduler)
        self._poller = LoadPoller(self._context)
        self._call_by_key: dict[int, GenerateCall] = {}
        self._hedge_scanner = HedgeScanner(self._context, self._call_by_key)
        self._no_requests_in_flight = asyncio.Event()
        self._no_requests_in_flight.set()
        self._draining = False
        self.in_flight = 0

    @property
    def queued_count(self) -> int:
        """Number of requests that wait for a replica."""
        return self._scheduler.queued_count

    @property
    def scheduler(self) -> WorkScheduler:
        """The synchronous scheduler, for tests."""
        return self._scheduler

    def start(self) -> None:
        """Start reading load reports and scanning for streams to hedge; needs a running loop."""
        self._poller.start()
        self._hedge_scanner.start()

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[Any], None] | None = None
    ) -> GenerateResult:
        """Generate one complete output; verified chunks also go to ``on_chunk`` as they arrive.

        An error that ``on_chunk`` raises ends the request and is raised here.

        Raises:
            Refused: no attempt ran; ``retry_after_s`` is when to retry.
            PassgateError: other errors (see :mod:`passgate.errors`); ``execution`` is the
                status over all attempts.
        """
        execution = ExecutionHistory()
        return await self._track(self._generate(request, on_chunk, execution), execution)

    async def call_app(self, request: AppRequest) -> AppResponse:
        """Forward one call to an application service; raises the errors of :meth:`generate`."""
        execution = ExecutionHistory()
        return await self._track(self._call_app(request, execution), execution)

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new requests and wait for those in flight; return whether all ended within ``timeout_s``."""
        self._draining = True
        try:
            async with asyncio.timeout(timeout_s):
                await self._no_requests_in_flight.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop the background tasks, refuse new requests and fail those that are still queued."""
        self._draining = True
        self._context.slots.close()
        await self._hedge_scanner.close()
        await self._poller.close()

    # --- internals ---------------------------------------------------------------------

    async def _generate(
        self, request: GenerateRequest, on_chunk: ChunkCallback | None, execution: ExecutionHistory
    ) -> GenerateResult:
        _check_resume_spans(request)
        request = msgspec.structs.replace(request, deadline_s=self._deadline_s(request))
        call = GenerateCall(self._context, request, on_chunk, execution)
        self._call_by_key[call.key] = call
        try:
            async with asyncio.timeout_at(request.deadline_s):
                return await call.run()
        finally:
            del self._call_by_key[call.key]

    async def _call_app(self, request: AppRequest, execution: ExecutionHistory) -> AppResponse:
        request = msgspec.structs.replace(request, deadline_s=self._deadline_s(request))
        call = AppCall(self._context, request, execution)
        async with asyncio.timeout_at(call.response_deadline_s):
            return await call.run()

    def _deadline_s(self, request: GenerateRequest | AppRequest) -> float:
        pool = self._context.pool(request.pool)
        if request.deadline_s is not None:
            return request.deadline_s
        return monotonic_s() + pool.default_deadline_s

    async def _track(self, call: Coroutine[Any, Any, Response], execution: ExecutionHistory) -> Response:
        if self._draining:
            call.close()
            self.counters.refused += 1
            raise Draining(retry_after_s=DRAINING_RETRY_AFTER_S)
        self.counters.requests += 1
        self.in_flight += 1
        self._no_requests_in_flight.clear()
        try:
            response = await call
        except TimeoutError:
            self.counters.deadline_exceeded += 1
            raise DeadlineExceeded("the deadline passed", execution=execution.status) from None
        except PassgateError as error:
            raise self._finalize_error(error, execution) from error.__cause__
        except asyncio.CancelledError:
            self.counters.cancelled += 1
            raise
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._no_requests_in_flight.set()
        self.counters.succeeded += 1
        return response

    def _finalize_error(self, error: PassgateError, execution: ExecutionHistory) -> PassgateError:
        final = execution.apply_status(error)
        if isinstance(final, Refused):
            self.counters.refused += 1
        else:
            self.counters.failed += 1
        return final


def _check_resume_spans(request: GenerateRequest) -> None:
    """Check the tokens that a caller resumes from.

    Raises:
        InvalidRequest: the version spans do not cover them exactly once and in order, a
            version is not positive, or no token is left to generate.
    """
    position = 0
    for span in request.resume_spans:
        if span.start != position or span.end <= span.start or span.version <= 0:
            raise InvalidRequest("resume spans are not contiguous", field="resume_spans")
        position = span.end
    if position != len(request.resume_tokens) or position >= request.max_tokens:
        raise InvalidRequest("resume spans do not cover the tokens", field="resume_spans")
