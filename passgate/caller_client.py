"""Client of the callers' ports of several daemons; goes on to the next one when one is gone.

::

    client = CallerClient(http, ["127.0.0.1:8100", "127.0.0.1:8110"], "trainer-a")
    result = await client.generate(request)

It implements ``passgate.emulator.service.Service``, so emulated callers reach
real daemons through it.  A request is sent to another daemon only when the first
one certainly did not run it; all else is for the caller to repeat.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import UNSET

from passgate.clients.calls import HttpAnswer, HttpCall, SendPolicy, remaining_s
from passgate.clients.curl import HttpClient
from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    Draining,
    ExecutionStatus,
    IncompleteAnswer,
    NotReady,
    PassgateError,
)
from passgate.operator_client import rebuild_error
from passgate.schema import AppRequest, AppResponse, FinishReason, GenerateRequest, GenerateResult
from passgate.server.wire import (
    ChangeAnswer,
    CompletionAnswer,
    CompletionRequest,
    Done,
    ErrorAnswer,
    OpenLotRequest,
    PublishVersionRequest,
    ReplaceSamplesRequest,
    SampleIds,
)
from passgate.settings import Credential
from passgate.state.lot_types import LotInfo, LotRequest, SamplesPage

CALL_TIMEOUT_S = 20.0
"""Time for a call that carries no deadline of its own."""
ANSWER_SLACK_S = 0.5
"""A daemon answers at the deadline; the answer gets this much longer to arrive."""
AVOID_S = 1.0
"""A daemon that could not be reached or refused is left alone for this long."""
MS_PER_S = 1000
FIRST_ERROR_STATUS = 400

T = TypeVar("T")


class CallerClient:
    """Passgate as one caller sees it, over HTTP."""

    def __init__(
        self,
        http: HttpClient,
        addresses: Sequence[str],
        caller: str,
        credential: Credential | None = None,
        on_not_run: Callable[[str], None] | None = None,
    ) -> None:
        """Prepare a client.

        Args:
            http: shared HTTP client.
            addresses: callers' addresses of daemons; calls go round them.
            caller: the caller's name.
            credential: the caller's credential, when daemons ask for one.
            on_not_run: given the identifier, as back ends would know it, of each
                request that a daemon declared as not run.
        """
        self._http = http
        self._addresses = list(addresses)
        self._caller = caller
        self._credential = credential
        self._on_not_run = on_not_run
        self._turn = 0
        self._avoid_until_s: dict[str, float] = {}

    @property
    def daemon(self) -> str:
        """Address of the daemon that the next call goes to."""
        now_s = monotonic_s()
        count = len(self._addresses)
        order = [self._addresses[(self._turn + step) % count] for step in range(count)]
        return min(order, key=lambda address: max(0.0, self._avoid_until_s.get(address, 0.0) - now_s))

    # --- requests --------------------------------------------------------------------

    async def generate(self, request: GenerateRequest, idempotency_key: str | None = None) -> GenerateResult:
        """Return a whole answer; the pool is chosen by the request's model."""
        body = CompletionRequest(
            prompt=list(request.prompt),
            model=request.model,
            max_tokens=request.max_tokens,
            seed=request.seed,
            minimum_version=request.minimum_version,
        )
        headers = _call_headers(request, idempotency_key)
        answer = await self._send("POST", "/v1/completions", body, headers, request.deadline_s)
        decoded = _decode(answer, CompletionAnswer)
        choice, provenance = decoded.choices[0], decoded.passgate
        if provenance is UNSET or choice.finish_reason is None:
            raise IncompleteAnswer("the answer has no provenance", execution=ExecutionStatus.RAN)
        return GenerateResult(
            request_id=answer.headers.get("X-Request-Id", ""),
            tokens=choice.token_ids,
            spans=provenance.weight_versions,
            finish_reason=FinishReason(choice.finish_reason),
            replica_id=provenance.replica_id,
            attempts=provenance.attempts,
        )

    async def call_app(self, request: AppRequest, idempotency_key: str | None = None) -> AppResponse:
        """Forward a call to the application pool of the request."""
        headers = _call_headers(request, idempotency_key)
        headers["Content-Type"] = request.content_type
        path = f"/v1/apps/{quote(request.pool, safe='')}{request.path}"
        answer = await self._send(request.method, path, request.body, headers, request.deadline_s)
        return AppResponse(
            request_id=answer.headers.get("X-Request-Id", ""),
            status=answer.status,
            body=answer.body,
            content_type=answer.headers.get("Content-Type", ""),
            replica_id=answer.headers.get("X-Passgate-Replica", ""),
        )

    # --- lots ------------------------------------------------------------------------

    async def open_lot(self, request: LotRequest, lot_id: str) -> None:
        """Open a lot; opening it again changes nothing."""
        body = OpenLotRequest(
            lot_id=lot_id,
            model=request.model,
            priority_class=request.priority_class,
            staleness_bound=request.staleness_bound,
            trainer_version=request.trainer_version,
            deadline_s=request.deadline_s,
            prompts=request.prompts,
        )
        _decode(await self._send("POST", "/v1/lots", body), LotInfo)

    async def read_lot(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int
    ) -> SamplesPage:
        """Read samples from a cursor on."""
        query = f"cursor={cursor}&limit={limit}&wait_s={wait_s}&trainer_version={trainer_version}"
        path = f"/v1/lots/{quote(lot_id, safe='')}/samples?{query}"
        return _decode(await self._send("GET", path), SamplesPage)

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Confirm that samples have arrived."""
        body = SampleIds(sample_ids=tuple(sample_ids))
        _decode(await self._send("POST", f"/v1/lots/{quote(lot_id, safe='')}/acknowledge", body), Done)

    async def replace(self, lot_id: str, sample_ids: Sequence[str], trainer_version: int) -> None:
        """Have withdrawn samples that never arrived produced again."""
        body = ReplaceSamplesRequest(sample_ids=tuple(sample_ids), trainer_version=trainer_version)
        _decode(await self._send("POST", f"/v1/lots/{quote(lot_id, safe='')}/replace", body), SampleIds)

    async def cancel_lot(self, lot_id: str) -> None:
        """Give a lot up."""
        _decode(await self._send("DELETE", f"/v1/lots/{quote(lot_id, safe='')}"), Done)

    async def publish_version(self, model: str, version: int) -> None:
        """Announce weights that are in the weight store."""
        body = PublishVersionRequest(version=version)
        path = f"/v1/models/{quote(model, safe='')}/versions"
        _decode(await self._send("POST", path, body), ChangeAnswer)

    # --- sending -----------------------------------------------------------------------

    async def _send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        deadline_s: float | None = None,
    ) -> HttpAnswer:
        data = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        if data is None and method != "GET":
            data = b"" if method != "DELETE" else None
        for _ in self._addresses[1:]:
            address = self.daemon
            try:
                return await self._send_to(address, method, path, data, headers or {}, deadline_s)
            except (BackendUnreachable, Draining, NotReady) as error:
                if error.execution is not ExecutionStatus.NOT_RUN:
                    raise
        return await self._send_to(self.daemon, method, path, data, headers or {}, deadline_s)

    async def _send_to(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        deadline_s: float | None,
    ) -> HttpAnswer:
        self._turn = (self._addresses.index(address) + 1) % len(self._addresses)
        left_s = remaining_s(deadline_s)
        call = HttpCall(
            method=method,
            url=f"http://{address}{path}",
            body=body,
            headers=self._headers(headers, left_s),
            send=SendPolicy.REPEAT if method == "GET" else SendPolicy.ONCE,
            timeout_s=CALL_TIMEOUT_S if left_s is None else left_s + ANSWER_SLACK_S,
        )
        try:
            answer = await self._http.fetch(call)
            self._raise_error(answer)
        except (BackendUnreachable, Draining, NotReady):
            self._avoid_until_s[address] = monotonic_s() + AVOID_S
            raise
        return answer

    def _headers(self, headers: dict[str, str], left_s: float | None) -> dict[str, str]:
        full = {"Content-Type": "application/json", "X-Passgate-Caller": self._caller, **headers}
        if self._credential is not None:
            full["Authorization"] = f"Bearer {self._credential.reveal()}"
        if left_s is not None:
            full["X-Passgate-Deadline-Ms"] = str(max(1, int(left_s * MS_PER_S)))
        return full

    def _raise_error(self, answer: HttpAnswer) -> None:
        """Raise the error that passgate itself answered; an application's own error is an answer."""
        if answer.status < FIRST_ERROR_STATUS or "X-Passgate-Error" not in answer.headers:
            return
        try:
            error = rebuild_error(msgspec.json.decode(answer.body, type=ErrorAnswer).error)
        except msgspec.MsgspecError:
            raise PassgateError("the answer is not one of passgate", status=answer.status) from None
        if error.execution is ExecutionStatus.NOT_RUN and self._on_not_run is not None:
            self._on_not_run(answer.headers.get("X-Passgate-Request-Id", ""))
        raise error


def _call_headers(request: GenerateRequest | AppRequest, idempotency_key: str | None) -> dict[str, str]:
    headers = {"X-Request-Id": request.request_id, "X-Passgate-Priority": request.priority_class}
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    if not request.repeatable:
        headers["X-Passgate-Not-Repeatable"] = "true"
    return headers


def _decode(answer: HttpAnswer, kind: type[T]) -> T:
    if answer.status >= FIRST_ERROR_STATUS:
        raise PassgateError("the answer is not one of passgate", status=answer.status)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise IncompleteAnswer(f"unreadable answer: {error}", execution=ExecutionStatus.RAN) from None
