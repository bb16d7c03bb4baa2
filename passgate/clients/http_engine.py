"""EngineClient over HTTP: streamed completions verified piece by piece.

Nothing is handed on that is not proven to belong to the request, in order, with
its weight version; the piece with the finish reason is handed on only after the
stream's end mark.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence

import msgspec

from passgate.clients import wire
from passgate.clients.calls import HttpAnswer, HttpCall, SendPolicy, remaining_s, send_policy
from passgate.clients.curl import HttpClient
from passgate.clients.replies import decode_body, decode_error, engine_failure, reported_failure, unreachable
from passgate.clients.transfer import Transfer
from passgate.errors import (
    AnswerMismatch,
    ExecutionStatus,
    IncompleteAnswer,
    OrderRefused,
    PassgateError,
    VersionNotReported,
)
from passgate.schema import (
    CacheEvent,
    EngineOrder,
    FinishReason,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    OrderResult,
)

CONTROL_TIMEOUT_S = 5.0
ORDER_TIMEOUT_S = 30.0

_event_decoder = msgspec.json.Decoder(wire.CompletionEvent)


class HttpEngineClient:
    """Client of engines that speak the completions interface of :mod:`passgate.clients.wire`."""

    def __init__(self, http: HttpClient, stall_timeout_s: int | None = None) -> None:
        """``stall_timeout_s`` gives up a stream without a byte for so long; queued ones are silent too."""
        self._http = http
        self._stall_timeout_s = stall_timeout_s

    async def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream one request's output; see :class:`passgate.interfaces.EngineClient`.

        Raises besides: VersionNotReported, DeadlineExceeded (after ``deadline_s``).
        """
        transfer = self._http.start(_completion_call(address, request, self._stall_timeout_s))
        verifier = StreamVerifier(request)
        try:
            if await transfer.head() != 200:
                raise engine_failure(await transfer.read_all())
            _check_echo(transfer, request.request_id)
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
        """Ask an engine to stop working on a request; failures are ignored."""
        body = msgspec.json.encode(wire.CancelCall(request_id=request_id))
        try:
            await self._http.fetch(_post(address, "/v1/completions/cancel", body, CONTROL_TIMEOUT_S))
        except PassgateError:
            return

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        answer = await self._get(address, "/load")
        return decode_body(answer, LoadReport)

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return later cache events, perhaps with gaps; raises BackendUnreachable."""
        answer = await self._get(address, f"/cache_events?after={after_sequence}")
        return decode_body(answer, wire.CacheEventsAnswer).events

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order; raises OrderRefused or BackendUnreachable."""
        body = msgspec.json.encode(order)
        answer = await self._http.fetch(_post(address, "/orders", body, ORDER_TIMEOUT_S))
        if answer.status == 200:
            return decode_body(answer, OrderResult)
        error = decode_error(answer)
        if error is not None and error.code == OrderRefused.code:
            raise OrderRefused(error.message, execution=error.execution, **error.details)
        raise unreachable(answer)

    async def _get(self, address: str, path: str) -> HttpAnswer:
        call = HttpCall(
            method="GET",
            url=f"http://{address}{path}",
            send=SendPolicy.REPEAT,
            control=True,
            timeout_s=CONTROL_TIMEOUT_S,
        )
        answer = await self._http.fetch(call)
        if answer.status != 200:
            raise unreachable(answer)
        return answer


class StreamVerifier:
    """Turns the bytes of one stream into verified chunks; holds no I/O.

    Invariant: the chunk with the finish reason leaves only after the end mark.
    """

    def __init__(self, request: GenerateRequest) -> None:
        self.done = False
        """The stream's end mark was seen after its finish reason."""
        self._request = request
        self._position = len(request.resume_tokens)
        self._events = wire.EventDecoder()
        self._last: GenerateChunk | None = None

    @property
    def started(self) -> bool:
        """Whether a token of this request's output has arrived."""
        return self._position > len(self._request.resume_tokens)

    def feed(self, data: bytes) -> list[GenerateChunk]:
        """Return the chunks completed by ``data``; ``b""`` means that the body ended.

        Raises:
            IncompleteAnswer, AnswerMismatch, VersionNotReported, BackendRefused.
        """
        if not data:
            raise self._incomplete("stream ended without its end mark")
        chunks = []
        for event in self._split(data):
            chunk = self._end() if event == wire.DONE_MARK else self._piece(event)
            if chunk is not None:
                chunks.append(chunk)
        return chunks

    def _split(self, data: bytes) -> list[bytes]:
        try:
            return self._events.feed(data)
        except ValueError as error:
            raise self._incomplete(str(error)) from error

    def _end(self) -> GenerateChunk:
        if self._last is None:
            raise self._incomplete("end mark without a finish reason")
        self.done = True
        return self._last

    def _piece(self, data: bytes) -> GenerateChunk | None:
        if self._last is not None:
            raise self._incomplete("output goes on after its finish reason")
        event = self._decode(data)
        if event.error is not None:
            raise self._reported(event)
        if event.id != self._request.request_id:
            raise AnswerMismatch(
                "piece belongs to another request", expected=self._request.request_id, got=event.id
            )
        choice = event.choices[0] if event.choices else wire.CompletionChoice()
        self._check_position(event, choice)
        chunk = GenerateChunk(
            request_id=event.id,
            start=self._position,
            tokens=choice.token_ids,
            version=event.weight_version,
            finish_reason=_finish_reason(choice),
        )
        self._position += len(chunk.tokens)
        self._check_total(event)
        if chunk.finish_reason is None:
            return chunk
        self._last = chunk
        return None

    def _decode(self, data: bytes) -> wire.CompletionEvent:
        try:
            return _event_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise self._incomplete(f"unreadable event: {error}") from error

    def _check_position(self, event: wire.CompletionEvent, choice: wire.CompletionChoice) -> None:
        if event.position is not None and event.position != self._position:
            raise self._incomplete("piece is out of order", got=event.position)
        if choice.token_ids and event.weight_version is None:
            raise VersionNotReported("piece has no weight version", position=self._position)

    def _check_total(self, event: wire.CompletionEvent) -> None:
        if self._position > self._request.max_tokens:
            raise self._incomplete("more tokens than asked for")
        if event.usage is not None and event.usage.completion_tokens != self._position:
            raise self._incomplete("token count differs", reported=event.usage.completion_tokens)

    def _reported(self, event: wire.CompletionEvent) -> PassgateError:
        error = event.error
        assert error is not None
        if error.execution is ExecutionStatus.NOT_RUN and not self.started:
            return reported_failure(error)
        return self._incomplete(error.message, code=error.code)

    def _incomplete(self, message: str, **details: object) -> IncompleteAnswer:
        return IncompleteAnswer(
            message, request_id=self._request.request_id, position=self._position, **details
        )


def _finish_reason(choice: wire.CompletionChoice) -> FinishReason | None:
    if choice.finish_reason is None:
        return None
    try:
        return FinishReason(choice.finish_reason)
    except ValueError as error:
        raise IncompleteAnswer("output was not finished", finish_reason=choice.finish_reason) from error


def _check_echo(transfer: Transfer, request_id: str) -> None:
    echoed = transfer.headers.get(wire.REQUEST_ID_HEADER)
    if echoed is not None and echoed != wire.header_text(request_id):
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
            wire.REQUEST_ID_HEADER: wire.header_text(request.request_id),
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
