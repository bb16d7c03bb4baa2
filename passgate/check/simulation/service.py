"""Calls to the simulated daemons over the emulated network."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any, TypeVar

import msgspec

from passgate.check.events import AnyEvent, RequestCutOff
from passgate.check.simulation.process import SimulatedProcess
from passgate.clock import monotonic_s
from passgate.emulator.network import CLIENT_ZONE, Network
from passgate.errors import BackendUnreachable, ExecutionStatus
from passgate.schema import AppRequest, AppResponse, GenerateRequest, GenerateResult
from passgate.server.options import request_digest
from passgate.state.claims import ClaimOutcome
from passgate.state.lot_types import LotRequest, SamplesPage
from passgate.state.specs import ModelVersionSpec, PriorityClassSpec

DURABILITY_TIMEOUT_S = 5.0
OK_STATUS = 200

Result = TypeVar("Result")


class ClientLink(msgspec.Struct):
    """Current faults of the connection to callers."""

    answer_loss_probability: float = 0.0
    """Probability with which each answer is lost."""


class SimulatedService:
    """Implements ``emulator.passgate_client.PassgateClient``; calls go to the daemons in turn.

    Daemons that are not ready or are shutting down are skipped while another one is
    available, as a load balancer does.  A failed call is not
    repeated; the next call goes to the next daemon.
    """

    def __init__(
        self,
        processes: dict[str, SimulatedProcess],
        network: Network,
        link: ClientLink,
        random: Random,
        record: Callable[[AnyEvent], None],
    ) -> None:
        self._processes = processes
        self._network = network
        self._link = link
        self._random = random
        self._record = record
        self._call_count = 0

    @property
    def daemon(self) -> str:
        """Name of the daemon that the next call goes to."""
        return self._next_process().name

    # --- calls ------------------------------------------------------------------------

    async def generate(self, request: GenerateRequest, idempotency_key: str | None = None) -> GenerateResult:
        """Return a complete answer; with a key, the answer of the first request with that key."""
        if idempotency_key is None:
            return await self._call(lambda p: p.components.dispatcher.generate(request), request.request_id)
        return await self._call(lambda p: _generate_once(p, request, idempotency_key), request.request_id)

    async def call_app(self, request: AppRequest, idempotency_key: str | None = None) -> AppResponse:
        """Forward a call to an application service; with a key, return the first request's answer."""
        if idempotency_key is None:
            return await self._call(lambda p: p.components.dispatcher.call_app(request), request.request_id)
        return await self._call(lambda p: _call_app_once(p, request, idempotency_key), request.request_id)

    async def open_lot(self, request: LotRequest, lot_id: str) -> None:
        """Open a lot."""
        await self._call(lambda p: p.components.lots.open(request, lot_id))

    async def read_lot(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int
    ) -> SamplesPage:
        """Read samples from a cursor on."""
        return await self._call(
            lambda p: p.components.lots.read(lot_id, cursor, limit, wait_s, trainer_version)
        )

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Confirm that samples were received."""
        await self._call(lambda p: p.components.lots.acknowledge(lot_id, sample_ids))

    async def replace(self, lot_id: str, sample_ids: Sequence[str], trainer_version: int) -> None:
        """Request replacements of withdrawn samples."""
        await self._call(lambda p: p.components.lots.replace(lot_id, sample_ids, trainer_version))

    async def cancel_lot(self, lot_id: str) -> None:
        """Cancel a lot."""
        await self._call(lambda p: p.components.lots.cancel(lot_id))

    async def publish_version(self, model: str, version: int) -> None:
        """Announce weights that are in the weight store."""
        await self._call(lambda p: _publish(p, model, version))

    async def change_class(self, name: str) -> None:
        """Put a priority class without an expected revision."""
        await self._call(lambda p: _put_class(p, name))

    # --- connections --------------------------------------------------------------------

    def _next_process(self) -> SimulatedProcess:
        names = sorted(self._processes)
        rotation = [self._processes[names[(self._call_count + i) % len(names)]] for i in range(len(names))]
        return next((p for p in rotation if p.is_ready and not p.stopping), rotation[0])

    async def _call(
        self, call: Callable[[SimulatedProcess], Awaitable[Result]], request_id: str = ""
    ) -> Result:
        process = self._next_process()
        self._call_count += 1
        await self._network.wait_for_delivery(CLIENT_ZONE, process.zone)
        await self._wait_unless_ended(process.boundary.wait_until_running(), process)
        if process.ended.done():
            raise BackendUnreachable("connection refused", execution=ExecutionStatus.NOT_RUN)
        admission = process.daemon.context.admission
        admission.admit()
        work = asyncio.ensure_future(call(process))
        try:
            await self._wait_unless_ended(work, process)
        finally:
            if not work.done():
                work.cancel()
            work.add_done_callback(_retrieve_exception)
            admission.release(None)
        await self._wait_unless_ended(process.boundary.wait_until_running(), process)
        if not work.done() or work.cancelled() or (process.ended.done() and not process.stopping):
            self._record_cut_off(request_id)
            raise BackendUnreachable("connection reset", execution=ExecutionStatus.UNKNOWN)
        if self._random.random() < self._link.answer_loss_probability:
            raise BackendUnreachable("answer lost", execution=ExecutionStatus.UNKNOWN)
        await self._network.wait_for_delivery(process.zone, CLIENT_ZONE)
        return work.result()

    async def _wait_unless_ended(self, awaitable: Awaitable[Any], process: SimulatedProcess) -> None:
        """Wait until the awaitable is done or the process ends; cancel it in the latter case."""
        task = asyncio.ensure_future(awaitable)
        try:
            await asyncio.wait({task, process.ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not task.done():
                task.cancel()

    def _record_cut_off(self, request_id: str) -> None:
        if request_id:
            self._record(RequestCutOff(time_s=monotonic_s(), request_id=request_id))


def _retrieve_exception(work: asyncio.Future[Any]) -> None:
    """Retrieve the exception of work whose caller is gone, so that asyncio does not report it."""
    if not work.cancelled():
        work.exception()


async def _call_app_once(process: SimulatedProcess, request: AppRequest, key: str) -> AppResponse:
    async def run() -> ClaimOutcome:
        response = await process.components.dispatcher.call_app(request)
        return ClaimOutcome(response.status, response.content_type, response.body)

    digest = request_digest(request.pool.encode(), request.path.encode(), request.body)
    outcome = await _run_claimed(process, f"{request.caller}/key/{key}", digest, run)
    return AppResponse(
        request_id=request.request_id,
        status=outcome.status,
        body=outcome.body,
        content_type=outcome.content_type,
    )


async def _generate_once(process: SimulatedProcess, request: GenerateRequest, key: str) -> GenerateResult:
    async def run() -> ClaimOutcome:
        result = await process.components.dispatcher.generate(request)
        return ClaimOutcome(OK_STATUS, "application/json", msgspec.json.encode(result))

    digest = request_digest(request.model.encode(), str((request.prompt, request.seed)).encode())
    outcome = await _run_claimed(process, f"{request.caller}/key/{key}", digest, run)
    result = msgspec.json.decode(outcome.body, type=GenerateResult)
    return msgspec.structs.replace(result, request_id=request.request_id)


async def _run_claimed(
    process: SimulatedProcess, key: str, digest: str, run: Callable[[], Awaitable[ClaimOutcome]]
) -> ClaimOutcome:
    """Run work under a claim; like in the daemon's handlers, it continues if its caller disconnects."""
    claimed_run = process.components.claims.run_once(key, digest, run, DURABILITY_TIMEOUT_S)
    return await asyncio.shield(process.daemon.context.admission.run_detached(claimed_run))


async def _put_class(process: SimulatedProcess, name: str) -> None:
    spec = PriorityClassSpec()
    await process.components.configuration.put("PriorityClass", name, {}, spec, None, DURABILITY_TIMEOUT_S)


async def _publish(process: SimulatedProcess, model: str, version: int) -> None:
    spec = ModelVersionSpec(model=model, version=version)
    await process.components.configuration.put(
        "ModelVersion", f"{model}-{version}", {"model": model}, spec, None, DURABILITY_TIMEOUT_S
    )
