"""Verifies the chunks of one streamed output and assembles them.

Each chunk must have the request's identifier, start where the last one ended, and state
the weight version that produced it.  Versions must come from the chunks only, never from
what a replica is assumed to have loaded.

>>> from passgate.schema import FinishReason, GenerateChunk, GenerateRequest
>>> request = GenerateRequest(request_id="r", caller="c", pool="p", model="m", prompt=(1,), max_tokens=2)
>>> assembler = StreamAssembler(request)
>>> finish = FinishReason.LENGTH
>>> chunk = GenerateChunk(request_id="r", start=0, tokens=(5, 6), version=3, finish_reason=finish)
>>> assembler.add_chunk(chunk)
>>> assembler.make_result("e1").spans
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
    """Tokens and version spans of one attempt; starts with those that the request resumes from."""

    def __init__(self, request: GenerateRequest) -> None:
        self._request = request
        self.tokens: list[int] = list(request.resume_tokens)
        self.spans: list[VersionSpan] = list(request.resume_spans)
        self.finish_reason: FinishReason | None = None

    def add_chunk(self, chunk: GenerateChunk) -> None:
        """Verify and append the next chunk.

        Raises:
            AnswerMismatch: the chunk belongs to another request.
            IncompleteAnswer: it does not start at the end of the tokens, exceeds the
                request's maximum, or follows the finish mark.
            VersionNotReported: it has tokens and no positive weight version.
            VersionTooOld: its version is below the request's minimum.
        """
        self._check_chunk(chunk)
        if chunk.tokens:
            self._append_span(chunk.start, chunk.start + len(chunk.tokens), chunk.version)
            self.tokens.extend(chunk.tokens)
        self.finish_reason = chunk.finish_reason

    def make_result(self, replica_id: str, attempts: int = 1) -> GenerateResult:
        """Return the complete output.

        Raises:
            IncompleteAnswer: no chunk had a finish mark.
        """
        if self.finish_reason is None:
            raise IncompleteAnswer("stream ended without a finish mark", execution=ExecutionStatus.RAN)
        return GenerateResult(
            request_id=self._request.request_id,
            tokens=tuple(self.tokens),
            spans=tuple(self.spans),
            finish_reason=self.finish_reason,
            replica_id=replica_id,
            attempts=attempts,
        )

    def _check_chunk(self, chunk: GenerateChunk) -> None:
        ran = ExecutionStatus.RAN
        if chunk.request_id != self._request.request_id:
            raise AnswerMismatch("chunk belongs to another request", execution=ran, received=chunk.request_id)
        if self.finish_reason is not None:
            raise IncompleteAnswer("chunk after the finish mark", execution=ran)
        if chunk.start != len(self.tokens):
            raise IncompleteAnswer(
                "chunk does not start at the end of the output",
                execution=ran,
                expected=len(self.tokens),
                got=chunk.start,
            )
        if len(self.tokens) + len(chunk.tokens) > self._request.max_tokens:
            raise IncompleteAnswer("output exceeds the requested maximum of tokens", execution=ran)
        if not chunk.tokens:
            return
        if chunk.version is None or chunk.version <= 0:
            raise VersionNotReported("chunk without a weight version", execution=ran)
        if chunk.version < self._request.minimum_version:
            raise VersionTooOld(
                "chunk's weight version is below the requested minimum", execution=ran, version=chunk.version
            )

    def _append_span(self, start: int, end: int, version: int) -> None:
        if self.spans and self.spans[-1].version == version:
            start = self.spans.pop().start
        self.spans.append(VersionSpan(start, end, version))
