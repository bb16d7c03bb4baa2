"""Serves an engine model over HTTP in the completions form.

The model is any :class:`passgate.interfaces.EngineClient`, for example the
emulator's engines, addressed by ``model_address``.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import msgspec

from passgate.clients import wire
from passgate.clock import monotonic_s
from passgate.emulator.wire import StandInHandler, StandInServer
from passgate.errors import BackendUnreachable, OrderRefused, PassgateError
from passgate.interfaces import EngineClient
from passgate.schema import EngineOrder, GenerateChunk, GenerateRequest


class EngineServer(StandInServer):
    """One engine behind one port."""

    def __init__(
        self, name: str, model: EngineClient, model_address: str, credential: str | None = None
    ) -> None:
        super().__init__(name, credential)
        self.model = model
        self.model_address = model_address

    def routes(self) -> list[tuple]:
        """Return the engine's routes."""
        arguments = {"server": self}
        return [
            (r"/v1/completions", _CompletionHandler, arguments),
            (r"/v1/completions/cancel", _CancelHandler, arguments),
            (wire.LOAD_PATH, _LoadHandler, arguments),
            (r"/cache_events", _CacheEventsHandler, arguments),
            (r"/orders", _OrderHandler, arguments),
        ]


class _EngineHandler(StandInHandler):
    server: EngineServer


class _CompletionHandler(_EngineHandler):
    async def post(self) -> None:
        request = generate_request(self.body_as(wire.CompletionCall))
        await self.while_connected(self._serve(request))

    async def _serve(self, request: GenerateRequest) -> None:
        self.server.count_received(request.request_id)
        chunks = self.server.model.generate(self.server.model_address, request)
        async with contextlib.aclosing(chunks):
            try:
                first = await anext(chunks, None)
            except BackendUnreachable as error:
                self.send_unreachable(error)
                return
            if self.takes_lost_answer():
                self.drop_connection()
                return
            await self._send_all(request, first, chunks)

    async def _send_all(
        self, request: GenerateRequest, first: GenerateChunk | None, chunks: AsyncIterator[GenerateChunk]
    ) -> None:
        self.set_header("Content-Type", wire.EVENT_STREAM_TYPE)
        total = len(request.resume_tokens)
        chunk = first
        while chunk is not None:
            total += len(chunk.tokens)
            self.server.counters.tokens += len(chunk.tokens)
            self.write(wire.encode_chunk(chunk, None if chunk.finish_reason is None else total))
            await self.flush()
            if self._takes_cut():
                return
            chunk = await self._next(chunks)
        self.write(wire.encode_event(wire.DONE_MARK))
        self.finish()

    async def _next(self, chunks: AsyncIterator[GenerateChunk]) -> GenerateChunk | None:
        try:
            return await anext(chunks, None)
        except BackendUnreachable:
            self.drop_connection()
            raise
        except PassgateError as error:
            event = wire.CompletionEvent(error=error.body())
            self.write(wire.encode_event(msgspec.json.encode(event)))
            return None

    def _takes_cut(self) -> bool:
        if self.server.faults.cut_streams <= 0:
            return False
        self.server.faults.cut_streams -= 1
        self.drop_connection()
        return True


class _CancelHandler(_EngineHandler):
    async def post(self) -> None:
        call = self.body_as(wire.CancelCall)
        await self.server.model.cancel(self.server.model_address, call.request_id)
        self.reply(call)


class _LoadHandler(_EngineHandler):
    async def get(self) -> None:
        self.reply(await self.server.model.load_report(self.server.model_address))


class _CacheEventsHandler(_EngineHandler):
    async def get(self) -> None:
        after = int(self.get_query_argument("after", "0"))
        events = await self.server.model.cache_events(self.server.model_address, after)
        self.reply(wire.CacheEventsAnswer(events=tuple(events)))


class _OrderHandler(_EngineHandler):
    async def post(self) -> None:
        order = self.body_as(EngineOrder)
        try:
            result = await self.server.model.order(self.server.model_address, order)
        except OrderRefused as error:
            self.send_error_body(409, error.body())
            return
        self.reply(result)


def generate_request(call: wire.CompletionCall) -> GenerateRequest:
    """Return the typed request of a completion call; its deadline is on this loop's clock."""
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
