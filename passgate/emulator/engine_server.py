"""HTTP server of one engine with the completions interface of ``passgate.clients.wire``.

Requests are passed to a :class:`passgate.interfaces.EngineClient` under
``engine_address``, for example to an engine of the emulator.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec

from passgate.clients import wire
from passgate.clock import monotonic_s
from passgate.emulator.server_base import EmulatorRequestHandler, EmulatorServer
from passgate.errors import BackendUnreachable, OrderRefused, PassgateError
from passgate.interfaces import EngineClient
from passgate.schema import EngineOrder, GenerateChunk, GenerateRequest


class EngineServer(EmulatorServer):
    """One port of one engine."""

    def __init__(
        self, name: str, engine_client: EngineClient, engine_address: str, credential: str | None = None
    ) -> None:
        super().__init__(name, credential)
        self.engine_client = engine_client
        self.engine_address = engine_address

    def routes(self) -> list[tuple]:
        """Return the routes for completions, cancellation, load reports, cache events and orders."""
        arguments = {"server": self}
        return [
            (r"/v1/completions", _CompletionHandler, arguments),
            (r"/v1/completions/cancel", _CancelHandler, arguments),
            (wire.LOAD_PATH, _LoadHandler, arguments),
            (r"/cache_events", _CacheEventsHandler, arguments),
            (r"/orders", _OrderHandler, arguments),
        ]


class _EngineHandler(EmulatorRequestHandler):
    server: EngineServer


class _CompletionHandler(_EngineHandler):
    async def post(self) -> None:
        request = to_generate_request(self.decode_body(wire.CompletionCall))
        await self.run_while_connected(self._serve(request))

    async def _serve(self, request: GenerateRequest) -> None:
        self.server.count_received(request.request_id)
        chunks = self.server.engine_client.generate(self.server.engine_address, request)
        async with contextlib.aclosing(chunks):
            try:
                first_chunk = await anext(chunks, None)
            except BackendUnreachable as error:
                self.send_backend_unreachable(error)
                return
            if self.consume_lost_answer():
                self.drop_connection()
                return
            await self._send_stream(request, first_chunk, chunks)

    async def _send_stream(
        self,
        request: GenerateRequest,
        first_chunk: GenerateChunk | None,
        chunks: AsyncIterator[GenerateChunk],
    ) -> None:
        self.set_header("Content-Type", wire.EVENT_STREAM_TYPE)
        output_tokens = len(request.resume_tokens)
        chunk = first_chunk
        while chunk is not None:
            output_tokens += len(chunk.tokens)
            self.server.counters.tokens += len(chunk.tokens)
            self.write(wire.encode_chunk(chunk, None if chunk.finish_reason is None else output_tokens))
            await self.flush()
            if self._cut_if_injected():
                return
            chunk = await self._next_chunk(chunks)
        self.write(wire.encode_event(wire.DONE_MARK))
        self.finish()

    async def _next_chunk(self, chunks: AsyncIterator[GenerateChunk]) -> GenerateChunk | None:
        """Return the next chunk; None at the end, and after an error that was sent as an event."""
        try:
            return await anext(chunks, None)
        except BackendUnreachable:
            self.drop_connection()
            raise
        except PassgateError as error:
            event = wire.CompletionEvent(error=error.body())
            self.write(wire.encode_event(msgspec.json.encode(event)))
            return None

    def _cut_if_injected(self) -> bool:
        """Apply the fault ``cut_streams``; return whether it closed the connection."""
        if self.server.faults.cut_streams <= 0:
            return False
        self.server.faults.cut_streams -= 1
        self.drop_connection()
        return True


class _CancelHandler(_EngineHandler):
    async def post(self) -> None:
        cancellation = self.decode_body(wire.CancelCall)
        await self.server.engine_client.cancel(self.server.engine_address, cancellation.request_id)
        self.send_json(cancellation)


class _LoadHandler(_EngineHandler):
    async def get(self) -> None:
        self.send_json(await self.server.engine_client.load_report(self.server.engine_address))


class _CacheEventsHandler(_EngineHandler):
    async def get(self) -> None:
        after_sequence = int(self.get_query_argument("after", "0"))
        events = await self.server.engine_client.cache_events(self.server.engine_address, after_sequence)
        self.send_json(wire.CacheEventsAnswer(events=tuple(events)))


class _OrderHandler(_EngineHandler):
    async def post(self) -> None:
        order = self.decode_body(EngineOrder)
        try:
            result = await self.server.engine_client.order(self.server.engine_address, order)
        except OrderRefused as error:
            self.send_error_body(409, error.body())
            return
        self.send_json(result)


def to_generate_request(call: wire.CompletionCall) -> GenerateRequest:
    """Return the request of a completion call; its deadline is a time of this loop's clock."""
    deadline_s = None if call.timeout_s is None else monotonic_s() + call.timeout_s
    return GenerateRequest(
        request_id=call.request_id,
        caller=call.user,
        pool="",
        model=call.model,
        prompt=call.prompt,
        max_tokens=call.max_tokens,
        seed=call.seed,
        priority_class=call.priority_class,
        deadline_s=deadline_s,
        minimum_version=call.minimum_weight_version,
        resume_tokens=call.resume_token_ids,
    )
