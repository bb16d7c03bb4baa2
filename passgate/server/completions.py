"""``POST /v1/completions`` and ``POST /v1/chat/completions``, whole or streamed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError

from passgate.errors import InvalidRequest, PassgateError
from passgate.schema import GenerateChunk, GenerateRequest, GenerateResult
from passgate.server.answer_forms import AnswerForm, ChatForm, CompletionForm
from passgate.server.base import JSON_CONTENT_TYPE, CallerHandler
from passgate.server.options import (
    CallOptions,
    check_priority_class,
    check_tokens,
    choose_engine_pool,
    oldest_allowed_version,
    read_options,
    request_digest,
)
from passgate.server.text_tokens import encode_chat, encode_text
from passgate.server.wire import (
    ChatCompletionRequest,
    CompletionFields,
    CompletionRequest,
    ErrorAnswer,
)
from passgate.state.claims import ClaimOutcome

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
DEFAULT_MAX_TOKENS = 16
DEFAULT_PRIORITY_CLASS = "default"
SEED_LIMIT = 2**63
STATUS_OK = 200


class _StreamEnd(msgspec.Struct, frozen=True):
    """Marks the end of the pieces of one answer."""


class CompletionsHandler(CallerHandler):
    """Text completions in the form of the OpenAI interface."""

    form_type: type[AnswerForm] = CompletionForm

    async def post(self) -> None:
        """Answer one completion."""
        fields, prompt, max_tokens = self.read_body()
        headers = self.request.headers
        limits = self.context.settings.limits
        options = read_options(headers, self.caller, self.shown_request_id, limits)
        request = self._generate_request(fields, prompt, max_tokens, options)
        form = self.form_type(request, int(time.time()))
        if options.claim_key is not None:
            await self._answer_claimed(request, form, fields.stream, options)
        elif fields.stream:
            await self.run_cancellable(self._stream(request, form))
        else:
            result = await self.run_cancellable(self._generate(request))
            self.answer_json(form.whole(result))

    def read_body(self) -> tuple[CompletionFields, tuple[int, ...], int]:
        """Return the typed body, its prompt tokens and the most tokens to produce."""
        body = self.decode_body(CompletionRequest)
        self.check_prompt_length(len(body.prompt))
        prompt = encode_text(body.prompt) if isinstance(body.prompt, str) else tuple(body.prompt)
        return body, prompt, DEFAULT_MAX_TOKENS if body.max_tokens is None else body.max_tokens

    def _generate_request(
        self, fields: CompletionFields, prompt: tuple[int, ...], max_tokens: int, options: CallOptions
    ) -> GenerateRequest:
        self._check_fields(fields, prompt, max_tokens)
        state = self.context.services.configuration.state
        pool = choose_engine_pool(state, options.selector or fields.selector, fields.model)
        check_priority_class(state, options.priority_class)
        model = pool.spec.model
        return GenerateRequest(
            request_id=self.request_id,
            caller=self.caller,
            pool=pool.name,
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
            seed=fields.seed or 0,
            priority_class=options.priority_class or DEFAULT_PRIORITY_CLASS,
            deadline_s=options.deadline_s,
            repeatable=options.repeatable,
            minimum_version=oldest_allowed_version(
                state, model, fields.minimum_version, fields.version_selector
            ),
        )

    def _check_fields(self, fields: CompletionFields, prompt: tuple[int, ...], max_tokens: int) -> None:
        limits = self.context.settings.limits
        if fields.n != 1:
            raise InvalidRequest("n must be 1", field="n")
        if not 1 <= max_tokens <= limits.max_output_tokens:
            raise InvalidRequest(
                f"max_tokens must be from 1 to {limits.max_output_tokens}", field="max_tokens"
            )
        self.check_prompt_length(len(prompt))
        check_tokens(prompt, "prompt")
        if not -SEED_LIMIT <= (fields.seed or 0) < SEED_LIMIT:
            raise InvalidRequest("seed must fit 64 bits", field="seed")

    def check_prompt_length(self, length: int) -> None:
        """Check a prompt's length in tokens or, before it is mapped to at least as many, characters."""
        limit = self.context.settings.limits.max_prompt_tokens
        if not 1 <= length <= limit:
            raise InvalidRequest(f"the prompt must have 1 to {limit} tokens", field="prompt")

    async def _generate(
        self, request: GenerateRequest, on_chunk: Callable[[GenerateChunk], None] | None = None
    ) -> GenerateResult:
        result = await self.context.services.dispatcher.generate(request, on_chunk)
        self.context.metrics.output_tokens.labels(pool=request.pool).inc(len(result.tokens))
        return result

    # --- at most once ----------------------------------------------------------------

    async def _answer_claimed(
        self, request: GenerateRequest, form: AnswerForm, streamed: bool, options: CallOptions
    ) -> None:
        """Run under a claim; the work goes on when the caller leaves, for its next call to read."""
        digest = request_digest(self.route_name.encode(), self.caller.encode(), bytes(self.body))
        pieces: asyncio.Queue[GenerateChunk | _StreamEnd] = asyncio.Queue()

        async def run() -> ClaimOutcome:
            result = await self._generate(request, pieces.put_nowait if streamed else None)
            body = msgspec.json.encode(form.whole(result))
            return ClaimOutcome(status=STATUS_OK, content_type=JSON_CONTENT_TYPE, body=body)

        timeout_s = self.context.settings.limits.durability_timeout_s
        claimed = self.context.services.claims.run_once(options.claim_key or "", digest, run, timeout_s)
        task = self.context.gate.detach(claimed)
        if streamed:
            task.add_done_callback(lambda _: pieces.put_nowait(_StreamEnd()))
            await self._write_pieces(pieces, form, asyncio.shield(task))
            return
        outcome = await asyncio.shield(task)
        if not self.caller_left:
            self.set_status(outcome.status)
            self.write_common_headers(outcome.content_type)
            self.finish(outcome.body)

    # --- streams ---------------------------------------------------------------------

    async def _stream(self, request: GenerateRequest, form: AnswerForm) -> None:
        pieces: asyncio.Queue[GenerateChunk | _StreamEnd] = asyncio.Queue()
        task = asyncio.ensure_future(self._generate(request, pieces.put_nowait))
        task.add_done_callback(lambda _: pieces.put_nowait(_StreamEnd()))
        try:
            await self._write_pieces(pieces, form, task)
        finally:
            task.cancel()

    async def _write_pieces(
        self, pieces: asyncio.Queue[GenerateChunk | _StreamEnd], form: AnswerForm, outcome: Awaitable[Any]
    ) -> None:
        """Write pieces as they come, those that wait in one go.

        An error before the first piece is an ordinary answer.  The last event
        carries the provenance; ``[DONE]`` follows a whole answer only.
        """
        written_tokens = 0
        ended = False
        while not ended:
            waiting = [await pieces.get()]
            while not pieces.empty():
                waiting.append(pieces.get_nowait())
            ended = not isinstance(waiting[-1], GenerateChunk)
            chunks = [piece for piece in waiting if isinstance(piece, GenerateChunk) and piece.tokens]
            if chunks:
                await self._write_bytes(b"".join(_event(form.piece(chunk)) for chunk in chunks))
                written_tokens += sum(len(chunk.tokens) for chunk in chunks)
        try:
            result = await outcome
        except PassgateError as error:
            if not self._headers_written:
                raise
            await self._write_bytes(_event(ErrorAnswer(error.body(), self.shown_request_id)))
            self.count_error(error)
            self.finish()
            return
        await self._write_last(form, result, written_tokens)

    async def _write_last(
        self, form: AnswerForm, result: GenerateResult | ClaimOutcome, written_tokens: int
    ) -> None:
        if isinstance(result, ClaimOutcome):
            last = form.last_of_stored(result.body, written_tokens)
        else:
            last = form.last(result)
        await self._write_bytes(_event(last) + b"data: [DONE]\n\n")
        if not self.caller_left:
            self.finish()

    async def _write_bytes(self, data: bytes) -> None:
        """Write and flush; a caller that left is not an error."""
        if self.caller_left:
            return
        if not self._headers_written:
            self.write_common_headers(EVENT_STREAM_CONTENT_TYPE)
            self.set_header("Cache-Control", "no-store")
        self.write(data)
        try:
            async with asyncio.timeout(self.context.settings.limits.write_timeout_s):
                await self.flush()
        except StreamClosedError:
            self.caller_left = True
        except TimeoutError:
            self.cut_off()


def _event(value: msgspec.Struct) -> bytes:
    """Return one server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


class ChatCompletionsHandler(CompletionsHandler):
    """Chat completions in the form of the OpenAI interface."""

    form_type = ChatForm

    def read_body(self) -> tuple[CompletionFields, tuple[int, ...], int]:
        """Return the typed body, its prompt tokens and the most tokens to produce."""
        body = self.decode_body(ChatCompletionRequest)
        self.check_prompt_length(sum(len(message.role) + len(message.content) for message in body.messages))
        wanted = body.max_completion_tokens if body.max_completion_tokens is not None else body.max_tokens
        return body, encode_chat(body.messages), DEFAULT_MAX_TOKENS if wanted is None else wanted
