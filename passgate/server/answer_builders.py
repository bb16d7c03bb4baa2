"""Builders of the JSON bodies that answer text completions and chat completions."""

from __future__ import annotations

import abc

import msgspec
from msgspec import UNSET, UnsetType

from passgate.schema import FinishReason, GenerateChunk, GenerateRequest, GenerateResult
from passgate.server.text_tokens import TextDecoder
from passgate.server.wire import (
    ChatAnswerMessage,
    ChatChoice,
    ChatCompletionAnswer,
    CompletionAnswer,
    CompletionChoice,
    Provenance,
    Usage,
)

Answer = CompletionAnswer | ChatCompletionAnswer


class AnswerBuilder(abc.ABC):
    """Builds the bodies of the answer to one request: one complete body, or the chunks of a stream.

    Chunks have to be built in the order of the stream, because the text of a chunk can depend on bytes
    of a character that an earlier chunk began.
    """

    def __init__(self, request: GenerateRequest, created_unix_s: int) -> None:
        self._request = request
        self._created_unix_s = created_unix_s
        self._decoder = TextDecoder()

    def build_complete(self, result: GenerateResult) -> Answer:
        """Return the answer to a request that is not streamed."""
        text = TextDecoder().decode(result.tokens, final=True)
        return self._build(
            text=text,
            tokens=result.tokens,
            finish_reason=result.finish_reason,
            usage=self._count_usage(len(result.tokens)),
            provenance=self._make_provenance(result),
        )

    def build_chunk(self, chunk: GenerateChunk) -> Answer:
        """Return the streamed chunk of the next tokens."""
        text = self._decoder.decode(chunk.tokens)
        version = UNSET if chunk.version is None else chunk.version
        return self._build(text=text, tokens=chunk.tokens, version=version, streamed=True)

    def build_last_chunk(self, result: GenerateResult) -> Answer:
        """Return the last chunk of a stream: finish reason, usage and provenance, but no tokens."""
        return self._build(
            text=self._decoder.decode((), final=True),
            tokens=(),
            finish_reason=result.finish_reason,
            usage=self._count_usage(len(result.tokens)),
            provenance=self._make_provenance(result),
            streamed=True,
        )

    @abc.abstractmethod
    def build_last_chunk_of_stored(self, body: bytes, written_tokens: int) -> Answer:
        """Return the last chunk of a stream whose result is a stored answer that was not streamed.

        ``body`` is the JSON of the stored answer; the chunk has its tokens from ``written_tokens`` on.
        """

    @abc.abstractmethod
    def _build(
        self,
        *,
        text: str,
        tokens: tuple[int, ...],
        version: int | UnsetType = UNSET,
        finish_reason: FinishReason | None = None,
        usage: Usage | UnsetType = UNSET,
        provenance: Provenance | UnsetType = UNSET,
        streamed: bool = False,
    ) -> Answer:
        """Return a body with one choice; ``streamed`` selects the format of a chunk."""

    def _count_usage(self, completion_tokens: int) -> Usage:
        prompt_tokens = len(self._request.prompt)
        return Usage(
            prompt_tokens=prompt_tokens,
            completion_tokens=completion_tokens,
            total_tokens=prompt_tokens + completion_tokens,
        )

    def _make_provenance(self, result: GenerateResult) -> Provenance:
        return Provenance(
            request_id=self._request.request_id,
            model=self._request.model,
            pool=self._request.pool,
            weight_versions=result.spans,
            replica_id=result.replica_id,
            attempts=result.attempts,
        )

    def _finish_reason_text(self, reason: FinishReason | None) -> str | None:
        return None if reason is None else reason.value


class CompletionAnswerBuilder(AnswerBuilder):
    """Builds the answers of ``/v1/completions``."""

    def build_last_chunk_of_stored(self, body: bytes, written_tokens: int) -> CompletionAnswer:
        """Return the stored answer with only its tokens after the first ``written_tokens``."""
        stored_answer = msgspec.json.decode(body, type=CompletionAnswer)
        tokens = stored_answer.choices[0].token_ids[written_tokens:]
        text = self._decoder.decode(tokens, final=True)
        choice = msgspec.structs.replace(stored_answer.choices[0], text=text, token_ids=tokens)
        return msgspec.structs.replace(stored_answer, choices=(choice,))

    def _build(
        self,
        *,
        text: str,
        tokens: tuple[int, ...],
        version: int | UnsetType = UNSET,
        finish_reason: FinishReason | None = None,
        usage: Usage | UnsetType = UNSET,
        provenance: Provenance | UnsetType = UNSET,
        streamed: bool = False,
    ) -> CompletionAnswer:
        choice = CompletionChoice(
            text=text,
            token_ids=tokens,
            weight_version=version,
            finish_reason=self._finish_reason_text(finish_reason),
        )
        return CompletionAnswer(
            id=f"cmpl-{self._request.request_id}",
            created=self._created_unix_s,
            model=self._request.model,
            choices=(choice,),
            usage=usage,
            passgate=provenance,
        )


class ChatAnswerBuilder(AnswerBuilder):
    """Builds the answers of ``/v1/chat/completions``."""

    def build_last_chunk_of_stored(self, body: bytes, written_tokens: int) -> ChatCompletionAnswer:
        """Return the stored answer with only its tokens after the first ``written_tokens``."""
        stored_answer = msgspec.json.decode(body, type=ChatCompletionAnswer)
        tokens = stored_answer.choices[0].token_ids[written_tokens:]
        delta = ChatAnswerMessage(content=self._decoder.decode(tokens, final=True))
        choice = msgspec.structs.replace(
            stored_answer.choices[0], message=UNSET, delta=delta, token_ids=tokens
        )
        return msgspec.structs.replace(stored_answer, object="chat.completion.chunk", choices=(choice,))

    def _build(
        self,
        *,
        text: str,
        tokens: tuple[int, ...],
        version: int | UnsetType = UNSET,
        finish_reason: FinishReason | None = None,
        usage: Usage | UnsetType = UNSET,
        provenance: Provenance | UnsetType = UNSET,
        streamed: bool = False,
    ) -> ChatCompletionAnswer:
        message = ChatAnswerMessage(content=text)
        choice = ChatChoice(
            message=UNSET if streamed else message,
            delta=message if streamed else UNSET,
            token_ids=tokens,
            weight_version=version,
            finish_reason=self._finish_reason_text(finish_reason),
        )
        return ChatCompletionAnswer(
            id=f"chatcmpl-{self._request.request_id}",
            object="chat.completion.chunk" if streamed else "chat.completion",
            created=self._created_unix_s,
            model=self._request.model,
            choices=(choice,),
            usage=usage,
            passgate=provenance,
        )
