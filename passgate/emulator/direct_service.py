"""Passgate without sockets: callers reach daemons' parts over the emulated network.

Calls travel the client delay in both directions.  A call to a daemon that is
killed ends as a reset connection would; the caller then goes on to the next one.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

import msgspec

from passgate.emulator.network import CLIENT_ZONE, Network
from passgate.errors import BackendUnreachable, Draining, ExecutionStatus
from passgate.routing.dispatcher import Dispatcher
from passgate.schema import AppRequest, AppResponse, GenerateRequest, GenerateResult
from passgate.state.claims import ClaimOutcome, ClaimService
from passgate.state.configuration import ConfigurationService
from passgate.state.lot_types import LotRequest, SamplesPage
from passgate.state.lots import LotService
from passgate.state.specs import ModelVersionSpec

DURABILITY_TIMEOUT_S = 5.0
OK_STATUS = 200
_JSON = "application/json"

Result = TypeVar("Result")


class DirectDaemon:
    """The parts of one daemon that callers reach."""

    def __init__(
        self,
        name: str,
        zone: str,
        dispatcher: Dispatcher,
        claims: ClaimService,
        lots: LotService,
        configuration: ConfigurationService,
    ) -> None:
        self.name = name
        self.zone = zone
        self.dispatcher = dispatcher
        self.claims = claims
        self.lots = lots
        self.configuration = configuration
        self.killed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def kill(self) -> None:
        """Reset the connections of all callers; closing the parts is the owner's job."""
        if not self.killed.done():
            self.killed.set_result(None)


class DirectService:
    """Implements ``service.Service`` for one group of callers; begins with the first daemon.

    With ``spread`` every call goes to the next daemon in turn, as callers of
    several places do; otherwise all calls go to one as long as it is up.
    """

    def __init__(self, daemons: Sequence[DirectDaemon], network: Network, *, spread: bool = False) -> None:
        self._daemons = list(daemons)
        self._network = network
        self._spread = spread

    @property
    def daemon(self) -> str:
        """Name of the daemon that the next call goes to."""
        return self._daemons[0].name

    def add_daemon(self, daemon: DirectDaemon) -> None:
        """Let a daemon that has started be used after the present ones."""
        self._daemons.append(daemon)

    async def generate(self, request: GenerateRequest, idempotency_key: str | None = None) -> GenerateResult:
        """Return a whole answer."""
        if idempotency_key is None:
            return await self._call(lambda daemon: daemon.dispatcher.generate(request))
        return await self._call(lambda daemon: _generate_once(daemon, request, idempotency_key))

    async def call_app(self, request: AppRequest, idempotency_key: str | None = None) -> AppResponse:
        """Forward a call to an application service."""
        if idempotency_key is None:
            return await self._call(lambda daemon: daemon.dispatcher.call_app(request))
        return await self._call(lambda daemon: _call_app_once(daemon, request, idempotency_key))

    async def open_lot(self, request: LotRequest, lot_id: str) -> None:
        """Open a lot; opening it again changes nothing."""
        await self._call(lambda daemon: daemon.lots.open(request, lot_id))

    async def read_lot(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int
    ) -> SamplesPage:
        """Read samples from a cursor on."""
        return await self._call(
            lambda daemon: daemon.lots.read(lot_id, cursor, limit, wait_s, trainer_version)
        )

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Confirm that samples have arrived."""
        await self._call(lambda daemon: daemon.lots.acknowledge(lot_id, sample_ids))

    async def replace(self, lot_id: str, sample_ids: Sequence[str], trainer_version: int) -> None:
        """Have withdrawn samples that never arrived produced again."""
        await self._call(lambda daemon: daemon.lots.replace(lot_id, sample_ids, trainer_version))

    async def cancel_lot(self, lot_id: str) -> None:
        """Give a lot up."""
        await self._call(lambda daemon: daemon.lots.cancel(lot_id))

    async def publish_version(self, model: str, version: int) -> None:
        """Put the version into the configuration; putting it again changes nothing."""
        await self._call(lambda daemon: _publish(daemon, model, version))

    async def _call(self, use: Callable[[DirectDaemon], Awaitable[Result]]) -> Result:
        daemon = self._next_daemon()
        if self._spread:
            self._rotate(daemon)
        await self._network.deliver(CLIENT_ZONE, daemon.zone)
        if daemon.killed.done():
            raise BackendUnreachable("connection refused", execution=ExecutionStatus.NOT_RUN)
        work = asyncio.ensure_future(use(daemon))
        try:
            await asyncio.wait({work, daemon.killed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not work.done():
                work.cancel()
        if daemon.killed.done():
            raise BackendUnreachable("connection reset", execution=ExecutionStatus.UNKNOWN)
        await self._network.deliver(daemon.zone, CLIENT_ZONE)
        return self._outcome(work, daemon)

    def _outcome(self, work: asyncio.Future[Any], daemon: DirectDaemon) -> Any:
        try:
            return work.result()
        except Draining:
            self._rotate(daemon)
            raise

    def _next_daemon(self) -> DirectDaemon:
        for daemon in list(self._daemons):
            if not daemon.killed.done():
                return daemon
            self._rotate(daemon)
        raise BackendUnreachable("no daemon is up", execution=ExecutionStatus.NOT_RUN)

    def _rotate(self, daemon: DirectDaemon) -> None:
        """Move a daemon to the end; a second call for the same one changes nothing."""
        if self._daemons[0] is daemon:
            self._daemons.append(self._daemons.pop(0))


async def _call_app_once(daemon: DirectDaemon, request: AppRequest, key: str) -> AppResponse:
    async def run() -> ClaimOutcome:
        response = await daemon.dispatcher.call_app(request)
        return ClaimOutcome(response.status, response.content_type, response.body)

    digest = _digest(request.pool, request.method, request.path, request.body.hex())
    outcome = await daemon.claims.run_once(_claim_key(request.caller, key), digest, run, DURABILITY_TIMEOUT_S)
    return AppResponse(
        request_id=request.request_id,
        status=outcome.status,
        body=outcome.body,
        content_type=outcome.content_type,
    )


async def _generate_once(daemon: DirectDaemon, request: GenerateRequest, key: str) -> GenerateResult:
    async def run() -> ClaimOutcome:
        result = await daemon.dispatcher.generate(request)
        return ClaimOutcome(OK_STATUS, _JSON, msgspec.json.encode(result))

    digest = _digest(request.model, str(request.prompt), str(request.max_tokens), str(request.seed))
    outcome = await daemon.claims.run_once(_claim_key(request.caller, key), digest, run, DURABILITY_TIMEOUT_S)
    result = msgspec.json.decode(outcome.body, type=GenerateResult)
    return msgspec.structs.replace(result, request_id=request.request_id)


async def _publish(daemon: DirectDaemon, model: str, version: int) -> None:
    spec = ModelVersionSpec(model=model, version=version)
    await daemon.configuration.put(
        "ModelVersion", f"{model}-{version}", {"model": model}, spec, None, DURABILITY_TIMEOUT_S
    )


def _claim_key(caller: str, key: str) -> str:
    return f"{caller}/{key}"


def _digest(*parts: str) -> str:
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()
