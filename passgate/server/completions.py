"""``POST /v1/completions`` and ``POST /v1/chat/completions``, streamed or not."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError

from passgate.errors import InvalidRequest, PassgateError
from passgate.schema import GenerateChunk, GenerateRequest, GenerateResult
from passgate.server.answer_builders import AnswerBuilder, ChatAnswerBuilder, CompletionAnswerBuilder
from passgate.server.base_handlers import JSON_CONTENT_TYPE, CallerHandler
from passgate.server.options import (
    CallOptions,
    check_priority_class,
    check_token_ids,
    choose_engine_pool,
    read_options,
    request_digest,
    resolve_minimum_version,
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
SEED_MAGNITUDE_LIMIT = 2**63
"""Seeds are signed 64-bit integers."""
STATUS_OK = 200


class _EndOfChunks(msgspec.Struct, frozen=True):
    """Marks the end of the chunks of one answer in a queue."""


class CompletionsHandler(CallerHandler):
    """Text completions in the format of the OpenAI API."""

    answer_builder_type: type[AnswerBuilder] = CompletionAnswerBuilder

    async def post(self) -> None:
        """Complete one prompt."""
        fields, prompt, max_tokens = self.read_body()
        headers = self.request.headers
        limits = self.context.settings.limits
        options = read_options(headers, self.caller, self.echoed_request_id, limits)
        request = self._make_request(fields, prompt, max_tokens, options)
        builder = self.answer_builder_type(request, int(time.time()))
        if options.claim_key is not None:
            await self._answer_at_most_once(request, builder, fields.stream, options)
        elif fields.stream:
            await self.run_cancellable(self._stream(request, builder))
        else:
            result = await self.run_cancellable(self._generate(request))
            self.answer_json(builder.build_complete(result))

    def read_body(self) -> tuple[CompletionFields, tuple[int, ...], int]:
        """Return the decoded body, the prompt's tokens and the maximum number of output tokens.

        Raises:
            MalformedBody, InvalidRequest: the body or the length of its prompt is not valid.
        """
        body = self.decode_body(CompletionRequest)
        self.check_prompt_length(len(body.prompt))
        prompt = encode_text(body.prompt) if isinstance(body.prompt, str) else tuple(body.prompt)
        return body, prompt, DEFAULT_MAX_TOKENS if body.max_tokens is None else body.max_tokens

    def _make_request(
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
            minimum_version=resolve_minimum_version(
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
        check_token_ids(prompt, "prompt")
        if not -SEED_MAGNITUDE_LIMIT <= (fields.seed or 0) < SEED_MAGNITUDE_LIMIT:
            raise InvalidRequest("seed must fit 64 bits", field="seed")

    def check_prompt_length(self, length: int) -> None:
        """Check the length of a prompt in tokens; raises InvalidRequest.

        Text is checked by its number of characters before it is encoded, as it never has fewer tokens.
        """
        limit = self.context.settings.limits.max_prompt_tokens
        if not 1 <= length <= limit:
            raise InvalidRequest(f"the prompt must have 1 to {limit} tokens", field="prompt")

    async def _generate(
        self, request: GenerateRequest, on_chunk: Callable[[GenerateChunk], None] | None = None
    ) -> GenerateResult:
        result = await self.context.services.dispatcher.generate(request, on_chunk)
        self.context.metrics.output_tokens.labels(pool=request.pool).inc(len(result.tokens))
        return result

    # --- requests that run at most once ----------------------------------------------

    async def _answer_at_most_once(
        self, request: GenerateRequest, builder: AnswerBuilder, streamed: bool, options: CallOptions
    ) -> None:
        """Run the request at most once for its claim key.

        The work goes on when the caller disconnects; a repetition with the same key gets its result.
        """
        digest = request_digest(self.route_name.encode(), self.caller.encode(), bytes(self.body))
        chunks: asyncio.Queue[GenerateChunk | _EndOfChunks] = asyncio.Queue()

        async def run() -> ClaimOutcome:
            result = await self._generate(request, chunks.put_nowait if streamed else None)
            body = msgspec.json.encode(builder.build_complete(result))
            return ClaimOutcome(status=STATUS_OK, content_type=JSON_CONTENT_TYPE, body=body)

        timeout_s = self.context.settings.limits.durability_timeout_s
        claimed_run = self.context.services.claims.run_once(options.claim_key or "", digest, run, timeout_s)
        task = self.context.admission.run_detached(claimed_run)
        if streamed:
            task.add_done_callback(lambda _: chunks.put_nowait(_EndOfChunks()))
            await self._write_chunks(chunks, builder, asyncio.shield(task))
            return
        outcome = await asyncio.shield(task)
        if not self.caller_disconnected:
            self.set_status(outcome.status)
            self.write_common_headers(outcome.content_type)
            self.finish(outcome.body)

    # --- streams ---------------------------------------------------------------------

    async def _stream(self, request: GenerateRequest, builder: AnswerBuilder) -> None:
        chunks: asyncio.Queue[GenerateChunk | _EndOfChunks] = asyncio.Queue()
        task = asyncio.ensure_future(self._generate(request, chunks.put_nowait))
        task.add_done_callback(lambda _: chunks.put_nowait(_EndOfChunks()))
        try:
            await self._write_chunks(chunks, builder, task)
        finally:
            task.cancel()

    async def _write_chunks(
        self,
        chunks: asyncio.Queue[GenerateChunk | _EndOfChunks],
        builder: AnswerBuilder,
        outcome: Awaitable[Any],
    ) -> None:
        """Write the events of a stream; chunks that are queued together are flushed together.

        An error before the first event is raised and becomes an error answer; a later one becomes the last
        event of the stream.  ``[DONE]`` is written only after the event with the provenance.

        Args:
            chunks: queue of the stream's chunks, ended by :class:`_EndOfChunks`.
            builder: builds the events.
            outcome: result of the request, complete when the queue has ended.

        Raises:
            PassgateError: the request failed before the first event was written.
        """
        written_tokens = 0
        has_ended = False
        while not has_ended:
            queued = [await chunks.get()]
            while not chunks.empty():
                queued.append(chunks.get_nowait())
            has_ended = not isinstance(queued[-1], GenerateChunk)
            ready = [chunk for chunk in queued if isinstance(chunk, GenerateChunk) and chunk.tokens]
            if ready:
                await self._write_events(
                    b"".join(_encode_event(builder.build_chunk(chunk)) for chunk in ready)
                )
                written_tokens += sum(len(chunk.tokens) for chunk in ready)
        try:
            result = await outcome
        except PassgateError as error:
            if not self._headers_written:
                raise
            await self._write_events(_encode_event(ErrorAnswer(error.body(), self.echoed_request_id)))
            self.count_error(error)
            self.finish()
            return
        await self._write_last_event(builder, result, written_tokens)

    async def _write_last_event(
        self, builder: AnswerBuilder, result: GenerateResult | ClaimOutcome, written_tokens: int
    ) -> None:
        if isinstance(result, ClaimOutcome):
            last_chunk = builder.build_last_chunk_of_stored(result.body, written_tokens)
        else:
            last_chunk = builder.build_last_chunk(result)
        await self._write_events(_encode_event(last_chunk) + b"data: [DONE]\n\n")
        if not self.caller_disconnected:
            self.finish()

    async def _write_events(self, data: bytes) -> None:
        """Write and flush encoded events; does nothing once the caller has disconnected.

        Closes the connection when the caller does not read them before the write timeout.
        """
        if self.caller_disconnected:
            return
        if not self._headers_written:
            self.write_common_headers(EVENT_STREAM_CONTENT_TYPE)
            self.set_header("Cache-Control", "no-store")
        self.write(data)
        try:
            async with asyncio.timeout(self.context.settings.limits.write_timeout_s):
                await self.flush()
        except StreamClosedError:
            self.caller_disconnected = True
        except TimeoutError:
            self.close_connection()


def _encode_event(value: msgspec.Struct) -> bytes:
    """Return a server-sent event whose data is ``value`` as JSON."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


class ChatCompletionsHandler(CompletionsHandler):
    """Chat completions in the format of the OpenAI API."""

    answer_builder_type = ChatAnswerBuilder

    def read_body(self) -> tuple[CompletionFields, tuple[int, ...], int]:
        """Return the decoded body, the prompt's tokens and the maximum number of output tokens.

        Raises:
            MalformedBody, InvalidRequest: the body or the length of its prompt is not valid.
        """
        body = self.decode_body(ChatCompletionRequest)
        self.check_prompt_length(sum(len(message.role) + len(message.content) for message in body.messages))
        max_tokens = body.max_completion_tokens if body.max_completion_tokens is not None else body.max_tokens
        return body, encode_chat(body.messages), DEFAULT_MAX_TOKENS if max_tokens is None else max_tokens
