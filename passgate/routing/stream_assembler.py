"""Verifies the pieces of one streamed output and puts them together.

Nothing unverified gets through: each piece must carry the request's identifier,
continue exactly where the last one ended and name the weight version that
produced it.  Versions come only from the pieces, never from what is believed
to be loaded.

>>> from passgate.schema import FinishReason, GenerateChunk, GenerateRequest
>>> request = GenerateRequest(request_id="r", caller="c", pool="p", model="m", prompt=(1,), max_tokens=2)
>>> assembler = StreamAssembler(request)
>>> finish = FinishReason.LENGTH
>>> piece = GenerateChunk(request_id="r", start=0, tokens=(5, 6), version=3, finish_reason=finish)
>>> assembler.add(piece)
>>> assembler.result("e1").spans
(VersionSpan(start=0, end=2, version=3),)
"""

from __future__ import annotations

from passgate.errors import (
    AnswerMismatch,
    ExecutionStatus,
    IncompleteAnswer,
    VersionNotReported,
    VersionTooOld,
)
from passgate.schema import FinishReason, GenerateChunk, GenerateRequest, GenerateResult, VersionSpan


class StreamAssembler:
    """Tokens and version spans of one attempt; starts from the request's resume state."""

    def __init__(self, request: GenerateRequest) -> None:
        self._request = request
        self.tokens: list[int] = list(request.resume_tokens)
        self.spans: list[VersionSpan] = list(request.resume_spans)
        self.finish_reason: FinishReason | None = None

    def add(self, chunk: GenerateChunk) -> None:
        """Take the next piece.

        Raises:
            AnswerMismatch: the piece belongs to another request.
            IncompleteAnswer: it leaves a gap, overlaps, or follows the finish mark.
            VersionNotReported: it has tokens and no weight version.
            VersionTooOld: its version is below the request's minimum.
        """
        self._check(chunk)
        if chunk.tokens:
            self._append_span(chunk.start, chunk.start + len(chunk.tokens), chunk.version)
            self.tokens.extend(chunk.tokens)
        self.finish_reason = chunk.finish_reason

    def result(self, replica_id: str, attempts: int = 1) -> GenerateResult:
        """Return the whole answer.

        Raises:
            IncompleteAnswer: the finish mark is absent.
        """
        if self.finish_reason is None:
            raise IncompleteAnswer("stream ended without finish mark", execution=ExecutionStatus.RAN)
        return GenerateResult(
            request_id=self._request.request_id,
            tokens=tuple(self.tokens),
            spans=tuple(self.spans),
            finish_reason=self.finish_reason,
            replica_id=replica_id,
            attempts=attempts,
        )

    def _check(self, chunk: GenerateChunk) -> None:
        ran = ExecutionStatus.RAN
        if chunk.request_id != self._request.request_id:
            raise AnswerMismatch("piece of another request", execution=ran, received=chunk.request_id)
        if self.finish_reason is not None:
            raise IncompleteAnswer("piece after the finish mark", execution=ran)
        if chunk.start != len(self.tokens):
            raise IncompleteAnswer(
                "gap or overlap", execution=ran, expected=len(self.tokens), got=chunk.start
            )
        if len(self.tokens) + len(chunk.tokens) > self._request.max_tokens:
            raise IncompleteAnswer("output longer than asked for", execution=ran)
        if not chunk.tokens:
            return
        if chunk.version is None or chunk.version <= 0:
            raise VersionNotReported("piece without weight version", execution=ran)
        if chunk.version < self._request.minimum_version:
            raise VersionTooOld("piece below the minimum version", execution=ran, version=chunk.version)

    def _append_span(self, start: int, end: int, version: int) -> None:
        if self.spans and self.spans[-1].version == version:
            start = self.spans.pop().start
        self.spans.append(VersionSpan(start, end, version))
