"""Verifies a streamed completion: request identifier, order, weight versions and end.

>>> request = GenerateRequest(request_id="r", caller="c", pool="p", model="m", prompt=(1,), max_tokens=4)
>>> verifier = StreamVerifier(request)
>>> chunk = GenerateChunk(request_id="r", start=0, tokens=(5,), version=3, finish_reason=FinishReason.STOP)
>>> verifier.feed(wire.encode_chunk(chunk)), verifier.done
([], False)
>>> verifier.feed(wire.encode_event(wire.DONE_MARK)) == [chunk], verifier.done
(True, True)
"""

from __future__ import annotations

import msgspec

from passgate.clients import wire
from passgate.clients.answer_decoding import reported_failure
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
"""Prefix that some engines add to the request identifier."""

FIRST_VERSION = 1
"""Lowest weight version; a lower number counts as no version."""

_event_decoder = msgspec.json.Decoder(wire.CompletionEvent)


class StreamVerifier:
    """Decodes the bytes of one stream to verified chunks; does no I/O.

    Each chunk belongs to the request, has a weight version if it has tokens, and is in order as far as the
    engine reports positions.  The chunk with the finish reason is returned only after the end mark.
    """

    def __init__(self, request: GenerateRequest) -> None:
        self.done = False
        """Whether the end mark was received, which completes the stream."""
        self._request = request
        self._position = len(request.resume_tokens)
        self._events = wire.EventDecoder()
        self._last_chunk: GenerateChunk | None = None
        """The chunk with the finish reason, kept until the end mark."""

    @property
    def started(self) -> bool:
        """Whether a token of this stream was received."""
        return self._position > len(self._request.resume_tokens)

    def feed(self, data: bytes) -> list[GenerateChunk]:
        """Return the chunks completed by ``data``; ``b""`` means that the body has ended.

        Raises:
            IncompleteAnswer: the stream ended early, violates the protocol, or reports an error.
            AnswerMismatch: an event carries another request identifier.
            VersionNotReported: an event has tokens but no weight version.
            BackendRefused: the engine reports, before the first token, that it did not run the request.
        """
        if not data:
            raise self._incomplete("stream ended without its end mark")
        chunks = []
        for event in self._split_events(data):
            chunk = self._finish() if event == wire.DONE_MARK else self._read_event(event)
            if chunk is not None:
                chunks.append(chunk)
        return chunks

    def _split_events(self, data: bytes) -> list[bytes]:
        try:
            return self._events.feed(data)
        except ValueError as error:
            raise self._incomplete(str(error)) from error

    def _finish(self) -> GenerateChunk:
        if self._last_chunk is None:
            raise self._incomplete("end mark without a finish reason")
        self.done = True
        return self._last_chunk

    def _read_event(self, data: bytes) -> GenerateChunk | None:
        """Return the event's chunk; None if the event has no output, or the last chunk, which is kept."""
        event = self._decode(data)
        if event.error is not None:
            raise self._reported_error(event.error)
        self._check_request_id(event)
        if not event.choices:  # some engines send the token count in a separate event
            self._check_token_count(event)
            return None
        if self._last_chunk is not None:
            raise self._incomplete("output continues after its finish reason")
        chunk = self._verified_chunk(event, event.choices[0])
        self._position += len(chunk.tokens)
        self._check_token_count(event)
        if chunk.finish_reason is None:
            return chunk
        self._last_chunk = chunk
        return None

    def _verified_chunk(self, event: wire.CompletionEvent, choice: wire.CompletionChoice) -> GenerateChunk:
        if event.position is not None and event.position != self._position:
            raise self._incomplete("chunk is out of order", got=event.position)
        version = _weight_version(event)
        if choice.token_ids and version is None:
            raise VersionNotReported("chunk has no weight version", position=self._position)
        return GenerateChunk(
            request_id=self._request.request_id,
            start=self._position,
            tokens=choice.token_ids,
            version=version,
            finish_reason=_finish_reason(choice),
        )

    def _check_request_id(self, event: wire.CompletionEvent) -> None:
        expected = self._request.request_id
        if event.id not in (expected, COMPLETION_ID_PREFIX + expected):
            raise AnswerMismatch("chunk belongs to another request", expected=expected, got=event.id)

    def _decode(self, data: bytes) -> wire.CompletionEvent:
        try:
            return _event_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise self._incomplete(f"event can not be decoded: {error}") from error

    def _check_token_count(self, event: wire.CompletionEvent) -> None:
        if self._position > self._request.max_tokens:
            raise self._incomplete("more tokens than max_tokens")
        if event.usage is not None and event.usage.completion_tokens != self._position:
            raise self._incomplete(
                "received tokens differ from the reported count", reported=event.usage.completion_tokens
            )

    def _reported_error(self, error: ErrorBody) -> PassgateError:
        """Convert an error that the engine reported; the result is a refusal only before the first token."""
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
        raise IncompleteAnswer("unknown finish reason", finish_reason=choice.finish_reason) from error


def _weight_version(event: wire.CompletionEvent) -> int | None:
    reported = event.weight_version
    if isinstance(reported, str):
        reported = int(reported) if reported.isdecimal() else None
    return reported if reported is not None and reported >= FIRST_VERSION else None
