"""Routes requests to replicas and hands back whole, verified answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    Draining,
    ExecutionStatus,
    NoMatchingPool,
    NoReplicaAvailable,
    PassgateError,
)
from passgate.interfaces import AppClient, EngineClient
from passgate.routing.attempt import Attempt
from passgate.routing.execution import ExecutionLedger
from passgate.routing.policies import RoutingPolicy
from passgate.routing.replica_directory import ReplicaDirectory, ReplicaInfo
from passgate.schema import AppRequest, AppResponse, GenerateChunk, GenerateRequest, GenerateResult

if TYPE_CHECKING:
    from passgate.state.configuration import ConfigurationState


class Dispatcher:
    """Thin form: fewest requests in flight, retries with resume, drain."""

    def __init__(
        self,
        engine: EngineClient,
        app: AppClient,
        directory: ReplicaDirectory,
        configuration: ConfigurationState,
        zone: str,
        policy: RoutingPolicy,
        random: Random,
    ) -> None:
        self._engine = engine
        self._app = app
        self._directory = directory
        self._configuration = configuration
        self._policy = policy
        self._random = random
        self._loads: dict[str, int] = {}
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False
        self.in_flight = 0

    def start(self) -> None:
        """Start background work; needs a running loop."""

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[GenerateChunk], None] | None = None
    ) -> GenerateResult:
        """Produce one whole answer; verified pieces also go to ``on_chunk``."""
        ledger = ExecutionLedger()
        return await self._guarded(self._generate(request, on_chunk, ledger), request.deadline_s, ledger)

    async def call_app(self, request: AppRequest) -> AppResponse:
        """Forward one call to an application service."""
        ledger = ExecutionLedger()
        return await self._guarded(self._call_app(request, ledger), request.deadline_s, ledger)

    async def drain(self, timeout_s: float) -> None:
        """Take nothing new and wait for what is in flight."""
        self._draining = True
        async with asyncio.timeout(timeout_s):
            await self._idle.wait()

    async def close(self) -> None:
        """Stop background work."""
        self._draining = True

    async def _guarded(self, work, deadline_s: float | None, ledger: ExecutionLedger):
        if self._draining:
            work.close()
            raise Draining(retry_after_s=1.0)
        self.in_flight += 1
        self._idle.clear()
        try:
            async with asyncio.timeout_at(deadline_s):
                return await work
        except TimeoutError:
            raise DeadlineExceeded(execution=ledger.status) from None
        except PassgateError as error:
            raise ledger.stamp(error) from error.__cause__
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.set()

    def _choose(self, pool_name: str, tried: set[str]) -> ReplicaInfo:
        pool = self._configuration.get("Pool", pool_name)
        if pool is None:
            raise NoMatchingPool(pool=pool_name)
        replicas = self._directory.available(pool.spec)
        fresh = [replica for replica in replicas if replica.replica_id not in tried] or replicas
        if not fresh:
            raise NoReplicaAvailable(retry_after_s=1.0, pool=pool_name)
        return min(fresh, key=lambda replica: (self._loads.get(replica.replica_id, 0), self._random.random()))

    async def _generate(self, request, on_chunk, ledger: ExecutionLedger) -> GenerateResult:
        tried: set[str] = set()
        while True:
            replica = self._choose(request.pool, tried)
            tried.add(replica.replica_id)
            attempt = Attempt(replica, request, ledger)
            self._add_load(replica, 1)
            try:
                await attempt.run(self._engine, lambda _, chunk: on_chunk and on_chunk(chunk))
                return attempt.assembler.result(replica.replica_id, ledger.attempts)
            except PassgateError as error:
                if not self._may_retry(request.repeatable, error, ledger):
                    raise
                assembler = attempt.assembler
                request = msgspec.structs.replace(
                    request, resume_tokens=tuple(assembler.tokens), resume_spans=tuple(assembler.spans)
                )
            finally:
                self._add_load(replica, -1)

    async def _call_app(self, request: AppRequest, ledger: ExecutionLedger) -> AppResponse:
        tried: set[str] = set()
        while True:
            replica = self._choose(request.pool, tried)
            tried.add(replica.replica_id)
            number = ledger.open_attempt()
            self._add_load(replica, 1)
            try:
                response = await self._app.call(replica.address, request)
                ledger.settle(number, ExecutionStatus.RAN)
                return msgspec.structs.replace(response, replica_id=replica.replica_id)
            except PassgateError as error:
                ledger.settle(number, error.execution)
                if not self._may_retry(request.repeatable, error, ledger):
                    raise
            finally:
                self._add_load(replica, -1)

    def _may_retry(self, repeatable: bool, error: PassgateError, ledger: ExecutionLedger) -> bool:
        if ledger.attempts >= self._policy.max_attempts:
            return False
        if not repeatable and ledger.status is not ExecutionStatus.NOT_RUN:
            return False
        return isinstance(error, BackendRefused | BackendUnreachable) or repeatable

    def _add_load(self, replica: ReplicaInfo, change: int) -> None:
        self._loads[replica.replica_id] = self._loads.get(replica.replica_id, 0) + change
