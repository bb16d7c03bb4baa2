"""EngineClient over HTTP, with verified streams of completions.

A chunk is yielded only after :class:`StreamVerifier` has checked it; the last chunk, which has the finish
reason, only after the end mark.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence

import msgspec

from passgate.clients import wire
from passgate.clients.answer_decoding import control_call_error, decode_body, decode_error, engine_failure
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import (
    CONTROL_TIMEOUT_S,
    HttpAnswer,
    HttpCall,
    SendPolicy,
    control_get,
    remaining_s,
    send_policy,
)
from passgate.clients.stream_verifier import StreamVerifier
from passgate.clients.transfer import Transfer
from passgate.errors import (
    AnswerMismatch,
    ExecutionStatus,
    OrderRefused,
    PassgateError,
)
from passgate.schema import (
    CacheEvent,
    EngineOrder,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    OrderResult,
)

ORDER_TIMEOUT_S = 30.0


class HttpEngineClient:
    """Client of engines that speak the completions interface of :mod:`passgate.clients.wire`."""

    def __init__(self, http: HttpClient, stall_timeout_s: int | None = None) -> None:
        """Create a client.

        Args:
            http: shared HTTP client.
            stall_timeout_s: :attr:`HttpCall.stall_timeout_s` of streams; also counts while a request waits in
                the engine's queue.
        """
        self._http = http
        self._stall_timeout_s = stall_timeout_s

    async def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream one request's output; see :meth:`passgate.interfaces.EngineClient.generate`.

        Raises VersionNotReported and DeadlineExceeded as well.  An error after the first token has the
        execution status RAN instead of UNKNOWN.
        """
        transfer = self._http.start(_completion_call(address, request, self._stall_timeout_s))
        verifier = StreamVerifier(request)
        try:
            if await transfer.wait_for_head() != 200:
                raise engine_failure(await transfer.read_all())
            _check_request_id(transfer, request.request_id)
            while not verifier.done:
                for chunk in verifier.feed(await transfer.read()):
                    yield chunk
        except PassgateError as error:
            if verifier.started and error.execution is ExecutionStatus.UNKNOWN:
                error.execution = ExecutionStatus.RAN
            raise
        finally:
            if verifier.done:
                transfer.finish_unread()
            else:
                transfer.abort()

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop working on a request; best effort, failures are ignored."""
        body = msgspec.json.encode(wire.CancelCall(request_id=request_id))
        try:
            await self._http.fetch(_post(address, "/v1/completions/cancel", body, CONTROL_TIMEOUT_S))
        except PassgateError:
            return

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable, or IncompleteAnswer if unreadable."""
        answer = await self._get(address, wire.LOAD_PATH)
        return decode_body(answer, LoadReport)

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number, maybe with gaps.

        Raises BackendUnreachable, or IncompleteAnswer for an unreadable answer.
        """
        answer = await self._get(address, f"/cache_events?after={after_sequence}")
        return decode_body(answer, wire.CacheEventsAnswer).events

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order; raises OrderRefused, or another PassgateError if the call failed."""
        body = msgspec.json.encode(order)
        answer = await self._http.fetch(_post(address, "/orders", body, ORDER_TIMEOUT_S))
        if answer.status == 200:
            return decode_body(answer, OrderResult)
        error = decode_error(answer)
        if error is not None and error.code == OrderRefused.code:
            raise OrderRefused(error.message, execution=error.execution, **error.details)
        raise control_call_error(answer)

    async def _get(self, address: str, path: str) -> HttpAnswer:
        answer = await self._http.fetch(control_get(address, path))
        if answer.status != 200:
            raise control_call_error(answer)
        return answer


def _check_request_id(transfer: Transfer, request_id: str) -> None:
    """Raise AnswerMismatch if the answer has another request identifier; an answer without one passes."""
    echoed = transfer.headers.get(wire.REQUEST_ID_HEADER)
    if echoed is not None and echoed != wire.encode_header_value(request_id):
        raise AnswerMismatch("answer belongs to another request", expected=request_id, got=echoed)


def _completion_call(address: str, request: GenerateRequest, stall_timeout_s: int | None) -> HttpCall:
    timeout_s = remaining_s(request.deadline_s)
    body = wire.CompletionCall(
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        request_id=request.request_id,
        stream=True,
        return_token_ids=True,
        seed=request.seed,
        user=request.caller,
        priority_class=request.priority_class,
        timeout_s=timeout_s,
        minimum_weight_version=request.minimum_version,
        resume_token_ids=request.resume_tokens,
    )
    return HttpCall(
        method="POST",
        url=f"http://{address}/v1/completions",
        body=msgspec.json.encode(body),
        headers={
            "Content-Type": wire.JSON_TYPE,
            "Accept": wire.EVENT_STREAM_TYPE,
            wire.REQUEST_ID_HEADER: wire.encode_header_value(request.request_id),
        },
        send=send_policy(request.repeatable),
        timeout_s=timeout_s,
        stall_timeout_s=stall_timeout_s,
    )


def _post(address: str, path: str, body: bytes, timeout_s: float) -> HttpCall:
    return HttpCall(
        method="POST",
        url=f"http://{address}{path}",
        body=body,
        headers={"Content-Type": wire.JSON_TYPE},
        send=SendPolicy.ONCE,
        control=True,
        timeout_s=timeout_s,
    )
