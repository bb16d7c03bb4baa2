"""Client of the callers' ports of several daemons, with failover between them.

::

    client = CallerClient(http, ["127.0.0.1:8100", "127.0.0.1:8110"], "trainer-a")
    result = await client.generate(request)

It implements ``passgate.emulator.passgate_client.PassgateClient``, by which emulated callers use real
daemons.  A request is sent to a further daemon only if the previous one certainly did not run it; any other
error is raised, and the caller decides whether to repeat.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import UNSET

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, SendPolicy, remaining_s
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
"""Timeout of a call without a deadline."""
ANSWER_MARGIN_S = 0.5
"""Timeout of a call beyond its deadline, as a daemon may answer just at the deadline."""
AVOID_DURATION_S = 1.0
"""Time for which other daemons are preferred to one that was unreachable, stopping or not ready."""
MS_PER_S = 1000
FIRST_ERROR_STATUS = 400

T = TypeVar("T")


class CallerClient:
    """Sends one caller's requests to daemons over HTTP, in rotation.

    Methods raise the errors of :mod:`passgate.errors` that the daemon returned, and those of the transfer.
    """

    def __init__(
        self,
        http: HttpClient,
        addresses: Sequence[str],
        caller: str,
        credential: Credential | None = None,
        on_not_run: Callable[[str], None] | None = None,
    ) -> None:
        """Create a client.

        Args:
            http: shared HTTP client.
            addresses: address of each daemon's callers' port; must not be empty.
            caller: the caller's name.
            credential: the caller's credential, if daemons require one.
            on_not_run: called for each request that a daemon reports as not run, with the identifier that
                the daemon uses towards back ends.
        """
        self._http = http
        self._addresses = list(addresses)
        self._caller = caller
        self._credential = credential
        self._on_not_run = on_not_run
        self._next_index = 0
        self._avoid_until_s_by_address: dict[str, float] = {}

    @property
    def daemon(self) -> str:
        """Address of the daemon that gets the next call: the next in rotation that is not avoided."""
        now_s = monotonic_s()
        count = len(self._addresses)
        rotation = [self._addresses[(self._next_index + step) % count] for step in range(count)]
        return min(
            rotation, key=lambda address: max(0.0, self._avoid_until_s_by_address.get(address, 0.0) - now_s)
        )

    # --- requests --------------------------------------------------------------------

    async def generate(self, request: GenerateRequest, idempotency_key: str | None = None) -> GenerateResult:
        """Return a complete output; the daemon selects the pool by the model and ignores ``request.pool``."""
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
            raise IncompleteAnswer(
                "answer lacks its finish reason or weight versions", execution=ExecutionStatus.RAN
            )
        return GenerateResult(
            request_id=answer.headers.get("X-Request-Id", ""),
            tokens=choice.token_ids,
            spans=provenance.weight_versions,
            finish_reason=FinishReason(choice.finish_reason),
            replica_id=provenance.replica_id,
            attempts=provenance.attempts,
        )

    async def call_app(self, request: AppRequest, idempotency_key: str | None = None) -> AppResponse:
        """Call the application pool that the request names."""
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
        """Open a lot; a repetition has no effect."""
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
        """Read samples from ``cursor`` on, waiting up to ``wait_s`` for one."""
        query = f"cursor={cursor}&limit={limit}&wait_s={wait_s}&trainer_version={trainer_version}"
        path = f"/v1/lots/{quote(lot_id, safe='')}/samples?{query}"
        return _decode(await self._send("GET", path), SamplesPage)

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Confirm that samples were received."""
        body = SampleIds(sample_ids=tuple(sample_ids))
        _decode(await self._send("POST", f"/v1/lots/{quote(lot_id, safe='')}/acknowledge", body), Done)

    async def replace(self, lot_id: str, sample_ids: Sequence[str], trainer_version: int) -> None:
        """Request that withdrawn samples, which were not received, are produced again."""
        body = ReplaceSamplesRequest(sample_ids=tuple(sample_ids), trainer_version=trainer_version)
        _decode(await self._send("POST", f"/v1/lots/{quote(lot_id, safe='')}/replace", body), SampleIds)

    async def cancel_lot(self, lot_id: str) -> None:
        """Cancel a lot."""
        _decode(await self._send("DELETE", f"/v1/lots/{quote(lot_id, safe='')}"), Done)

    async def publish_version(self, model: str, version: int) -> None:
        """Announce a weight version that is in the weight store."""
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
        """Send a request to daemons in turn until one is reached that is ready and not draining.

        Makes at most as many attempts as there are addresses.  An error whose execution status is not
        NOT_RUN is raised at once.
        """
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
        """Send a request to one daemon; raises the error that it returns."""
        self._next_index = (self._addresses.index(address) + 1) % len(self._addresses)
        left_s = remaining_s(deadline_s)
        call = HttpCall(
            method=method,
            url=f"http://{address}{path}",
            body=body,
            headers=self._headers(headers, left_s),
            send=SendPolicy.REPEAT if method == "GET" else SendPolicy.ONCE,
            timeout_s=CALL_TIMEOUT_S if left_s is None else left_s + ANSWER_MARGIN_S,
        )
        try:
            answer = await self._http.fetch(call)
            self._raise_error(answer)
        except (BackendUnreachable, Draining, NotReady):
            self._avoid_until_s_by_address[address] = monotonic_s() + AVOID_DURATION_S
            raise
        return answer

    def _headers(self, headers: dict[str, str], left_s: float | None) -> dict[str, str]:
        all_headers = {"Content-Type": "application/json", "X-Passgate-Caller": self._caller, **headers}
        if self._credential is not None:
            all_headers["Authorization"] = f"Bearer {self._credential.reveal()}"
        if left_s is not None:
            all_headers["X-Passgate-Deadline-Ms"] = str(max(1, int(left_s * MS_PER_S)))
        return all_headers

    def _raise_error(self, answer: HttpAnswer) -> None:
        """Raise the error that the daemon returned; an error answer of an application is no such error."""
        if answer.status < FIRST_ERROR_STATUS or "X-Passgate-Error" not in answer.headers:
            return
        try:
            error = rebuild_error(msgspec.json.decode(answer.body, type=ErrorAnswer).error)
        except msgspec.MsgspecError:
            raise PassgateError("error answer is not in passgate's form", status=answer.status) from None
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
        raise PassgateError("error answer is not in passgate's form", status=answer.status)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise IncompleteAnswer(f"answer can not be decoded: {error}", execution=ExecutionStatus.RAN) from None
