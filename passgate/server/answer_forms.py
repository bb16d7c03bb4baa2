"""Forms of completion answers: text completions and chat completions."""

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


class AnswerForm(abc.ABC):
    """Builds the bodies of one answer, whole or piece by piece."""

    def __init__(self, request: GenerateRequest, created: int) -> None:
        self._request = request
        self._created = created
        self._decoder = TextDecoder()

    def whole(self, result: GenerateResult) -> Answer:
        """Return a whole answer."""
        text = TextDecoder().decode(result.tokens, final=True)
        return self._answer(
            text=text,
            tokens=result.tokens,
            finish_reason=result.finish_reason,
            usage=self._usage(len(result.tokens)),
            provenance=self._provenance(result),
        )

    def piece(self, chunk: GenerateChunk) -> Answer:
        """Return one streamed piece."""
        text = self._decoder.decode(chunk.tokens)
        version = UNSET if chunk.version is None else chunk.version
        return self._answer(text=text, tokens=chunk.tokens, version=version, streamed=True)

    def last(self, result: GenerateResult) -> Answer:
        """Return the last streamed piece: no tokens, but finish reason and provenance."""
        return self._answer(
            text=self._decoder.decode((), final=True),
            tokens=(),
            finish_reason=result.finish_reason,
            usage=self._usage(len(result.tokens)),
            provenance=self._provenance(result),
            streamed=True,
        )

    @abc.abstractmethod
    def last_of_stored(self, body: bytes, written_tokens: int) -> Answer:
        """Return the last piece for a stored whole answer, with the tokens not yet written."""

    @abc.abstractmethod
    def _answer(
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
        """Return one body."""

    def _usage(self, completion_tokens: int) -> Usage:
        prompt_tokens = len(self._request.prompt)
        return Usage(
            prompt_tokens=prompt_tokens,
            completion_tokens=completion_tokens,
            total_tokens=prompt_tokens + completion_tokens,
        )

    def _provenance(self, result: GenerateResult) -> Provenance:
        return Provenance(
            request_id=self._request.request_id,
            model=self._request.model,
            pool=self._request.pool,
            weight_versions=result.spans,
            replica_id=result.replica_id,
            attempts=result.attempts,
        )

    def _finish(self, reason: FinishReason | None) -> str | None:
        return None if reason is None else reason.value


class CompletionForm(AnswerForm):
    """Bodies of ``/v1/completions``."""

    def last_of_stored(self, body: bytes, written_tokens: int) -> CompletionAnswer:
        """Return the last piece for a stored whole answer, with the tokens not yet written."""
        stored = msgspec.json.decode(body, type=CompletionAnswer)
        tokens = stored.choices[0].token_ids[written_tokens:]
        text = self._decoder.decode(tokens, final=True)
        choice = msgspec.structs.replace(stored.choices[0], text=text, token_ids=tokens)
        return msgspec.structs.replace(stored, choices=(choice,))

    def _answer(
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
            finish_reason=self._finish(finish_reason),
        )
        return CompletionAnswer(
            id=f"cmpl-{self._request.request_id}",
            created=self._created,
            model=self._request.model,
            choices=(choice,),
            usage=usage,
            passgate=provenance,
        )


class ChatForm(AnswerForm):
    """Bodies of ``/v1/chat/completions``."""

    def last_of_stored(self, body: bytes, written_tokens: int) -> ChatCompletionAnswer:
        """Return the last piece for a stored whole answer, with the tokens not yet written."""
        stored = msgspec.json.decode(body, type=ChatCompletionAnswer)
        tokens = stored.choices[0].token_ids[written_tokens:]
        delta = ChatAnswerMessage(content=self._decoder.decode(tokens, final=True))
        choice = msgspec.structs.replace(stored.choices[0], message=UNSET, delta=delta, token_ids=tokens)
        return msgspec.structs.replace(stored, object="chat.completion.chunk", choices=(choice,))

    def _answer(
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
            finish_reason=self._finish(finish_reason),
        )
        return ChatCompletionAnswer(
            id=f"chatcmpl-{self._request.request_id}",
            object="chat.completion.chunk" if streamed else "chat.completion",
            created=self._created,
            model=self._request.model,
            choices=(choice,),
            usage=usage,
            passgate=provenance,
        )
