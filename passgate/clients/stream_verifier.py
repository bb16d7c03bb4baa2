"""Proof that a streamed completion is its request's own, in order, versioned and whole.

>>> request = GenerateRequest(request_id="r", caller="c", pool="p", model="m", prompt=(1,), max_tokens=4)
>>> verifier = StreamVerifier(request)
>>> piece = GenerateChunk(request_id="r", start=0, tokens=(5,), version=3, finish_reason=FinishReason.STOP)
>>> verifier.feed(wire.encode_chunk(piece)), verifier.done
([], False)
>>> verifier.feed(wire.encode_event(wire.DONE_MARK)) == [piece], verifier.done
(True, True)
"""

from __future__ import annotations

import msgspec

from passgate.clients import wire
from passgate.clients.replies import reported_failure
from passgate.errors import (
    AnswerMismatch,
    ErrorBody,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
    VersionNotReported,
)
from passgate.schema import FinishReason, GenerateChunk, GenerateRequest

COMPLETION_ID_PREFIX = "cmpl-"
"""Some engines put it before the request identifier that they were given."""

FIRST_VERSION = 1

_event_decoder = msgspec.json.Decoder(wire.CompletionEvent)


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
        event = self._decode(data)
        if event.error is not None:
            raise self._reported(event.error)
        self._check_own(event)
        if not event.choices:  # some engines tell the total in an event of its own
            self._check_total(event)
            return None
        if self._last is not None:
            raise self._incomplete("output goes on after its finish reason")
        chunk = self._chunk(event, event.choices[0])
        self._position += len(chunk.tokens)
        self._check_total(event)
        if chunk.finish_reason is None:
            return chunk
        self._last = chunk
        return None

    def _chunk(self, event: wire.CompletionEvent, choice: wire.CompletionChoice) -> GenerateChunk:
        if event.position is not None and event.position != self._position:
            raise self._incomplete("piece is out of order", got=event.position)
        version = _weight_version(event)
        if choice.token_ids and version is None:
            raise VersionNotReported("piece has no weight version", position=self._position)
        return GenerateChunk(
            request_id=self._request.request_id,
            start=self._position,
            tokens=choice.token_ids,
            version=version,
            finish_reason=_finish_reason(choice),
        )

    def _check_own(self, event: wire.CompletionEvent) -> None:
        own = self._request.request_id
        if event.id not in (own, COMPLETION_ID_PREFIX + own):
            raise AnswerMismatch("piece belongs to another request", expected=own, got=event.id)

    def _decode(self, data: bytes) -> wire.CompletionEvent:
        try:
            return _event_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise self._incomplete(f"unreadable event: {error}") from error

    def _check_total(self, event: wire.CompletionEvent) -> None:
        if self._position > self._request.max_tokens:
            raise self._incomplete("more tokens than asked for")
        if event.usage is not None and event.usage.completion_tokens != self._position:
            raise self._incomplete("token count differs", reported=event.usage.completion_tokens)

    def _reported(self, error: ErrorBody) -> PassgateError:
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


def _weight_version(event: wire.CompletionEvent) -> int | None:
    told = event.weight_version
    if isinstance(told, str):
        told = int(told) if told.isdecimal() else None
    return told if told is not None and told >= FIRST_VERSION else None
