"""Forwards streamed requests: whole events as they come, taken up elsewhere when they break off.

A stream of a resumable route goes on at another replica after its last whole event
within the same answer.  Any other stream runs at most once, and ends incomplete
when its replica breaks off.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ForwardEnded, ForwardSent
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    NoReplicaAvailable,
    PassgateError,
)
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer
from passgate.gateway.replica_call import ReplicaCaller, ReplicaExchange, ReplicaRequest, forwarded_headers
from passgate.gateway.replicas import ChoiceRequest, ReplicaTable
from passgate.gateway.routes import Route, WeightedChoice

OK = 200
FIRST_EVENT_SHARE = 3.0
"""A replica that sends no head within this many target latencies is left, if the stream may be resumed."""
SILENCE_S = 1.2
"""A stream silent for this long is taken up elsewhere, if it may be resumed."""
RETRY_AFTER_S = 0.2
EVENT_END = b"\n\n"
DEFAULT_DEADLINE_MS = 30_000


class _Stream(msgspec.Struct, kw_only=True):
    """State of one streamed request."""

    request: IncomingRequest
    route: Route
    service: str
    request_id: str
    deadline_s: float
    limit_s: float
    tried: list[str] = []
    last_id: str = ""
    may_have_run: bool = False

    @property
    def may_go_on(self) -> bool:
        """Whether the request may be sent to a further replica."""
        if len(self.tried) >= self.route.max_attempts:
            return False
        return self.route.resumable or not self.may_have_run


class StreamForwarder:
    """Forwards requests of streaming routes."""

    def __init__(
        self, caller: ReplicaCaller, replicas: ReplicaTable, names: HeaderNames, decisions: DecisionLog
    ) -> None:
        self._caller = caller
        self._replicas = replicas
        self._names = names
        self._decisions = decisions
        self._weights = WeightedChoice()

    async def forward(self, request: IncomingRequest, route: Route) -> GatewayAnswer | StreamAnswer:
        """Return the head and the events of a stream, or the replica's refusal as a whole answer."""
        stream = self._start(request, route)
        exchange = await self._open(stream)
        if exchange.status != OK:
            try:
                answer = await exchange.whole_answer()
            finally:
                exchange.close()
            self._note_end(stream, answer.status, "")
            return GatewayAnswer(
                status=answer.status, headers=tuple(forwarded_headers(answer.headers)), body=answer.body
            )
        headers = tuple(forwarded_headers(exchange.headers.get_all()))
        return StreamAnswer(status=OK, headers=headers, pieces=self._events(stream, exchange))

    def _start(self, request: IncomingRequest, route: Route) -> _Stream:
        told_ms = request.header(self._names.deadline_ms)
        deadline_ms = int(told_ms) if told_ms.isdigit() else DEFAULT_DEADLINE_MS
        deadline_s = request.arrived_s + deadline_ms / 1000
        return _Stream(
            request=request,
            route=route,
            service=self._weights.pick(route),
            request_id=request.header(self._names.request_id),
            deadline_s=deadline_s,
            limit_s=min(deadline_s, request.arrived_s + route.timeout_s),
            last_id=request.header(self._names.last_event_id),
        )

    async def _open(self, stream: _Stream) -> ReplicaExchange:
        """Return an exchange whose head has come; raises PassgateError when no replica gives one."""
        while True:
            exchange = self._send(stream)
            patience_s = stream.limit_s - monotonic_s()
            if stream.route.resumable and stream.may_go_on:
                patience_s = min(patience_s, FIRST_EVENT_SHARE * stream.route.target_latency_s)
            try:
                async with asyncio.timeout(max(patience_s, 0.0)):
                    await exchange.head()
                return exchange
            except TimeoutError as error:
                exchange.too_slow()
                exchange.close()
                stream.may_have_run = True
                if not stream.may_go_on or monotonic_s() >= stream.limit_s:
                    raise self._failed(stream, "no head in time") from error
            except PassgateError as error:
                exchange.close()
                stream.may_have_run |= error.execution is not ExecutionStatus.NOT_RUN
                if not stream.may_go_on:
                    raise self._failed(stream, error.code) from error
            except asyncio.CancelledError:
                exchange.close()
                raise

    def _send(self, stream: _Stream) -> ReplicaExchange:
        choice = ChoiceRequest(services=frozenset({stream.service}), excluded=frozenset(stream.tried))
        state = self._replicas.choose(choice, monotonic_s())
        if state is None:
            raise self._failed(stream, "no replica")
        stream.tried.append(state.info.replica_id)
        self._decisions.write(
            ForwardSent(
                request_id=stream.request_id,
                route=stream.route.name,
                replica_id=state.info.replica_id,
                attempt=len(stream.tried),
                in_flight=state.in_flight,
            )
        )
        return self._caller.open(state, self._replica_request(stream))

    def _replica_request(self, stream: _Stream) -> ReplicaRequest:
        request = stream.request
        resumed = self._names.last_event_id.lower()
        headers = [pair for pair in request.headers if pair[0].lower() != resumed]
        if stream.last_id:
            headers.append((self._names.last_event_id, stream.last_id))
        return ReplicaRequest(
            request_id=stream.request_id,
            method=request.method,
            path=request.path,
            host=request.host,
            headers=tuple(headers),
            body=request.body,
            deadline_s=stream.deadline_s,
            priority=stream.route.priority,
            repeatable=stream.route.resumable,
        )

    async def _events(self, stream: _Stream, exchange: ReplicaExchange) -> AsyncGenerator[bytes, None]:
        try:
            while True:
                try:
                    async for event in self._events_of_one(stream, exchange):
                        yield event
                    self._note_end(stream, OK, "")
                    return
                except (PassgateError, TimeoutError) as error:
                    exchange.close()
                    stream.may_have_run = True
                    if not stream.may_go_on or monotonic_s() >= stream.limit_s:
                        raise self._failed(stream, "broke off") from error
                exchange = await self._open(stream)
                if exchange.status != OK:
                    raise self._failed(stream, f"resume answered {exchange.status}")
        finally:
            exchange.close()

    async def _events_of_one(self, stream: _Stream, exchange: ReplicaExchange) -> AsyncGenerator[bytes, None]:
        pending = b""
        while True:
            async with asyncio.timeout(self._patience_s(stream)):
                data = await exchange.read()
            if not data:
                break
            *whole, pending = (pending + data.replace(b"\r\n", b"\n")).split(EVENT_END)
            for block in whole:
                stream.last_id = event_id(block) or stream.last_id
            if whole:
                yield EVENT_END.join(whole) + EVENT_END
        if pending.strip() or not exchange.proven_whole:
            raise IncompleteAnswer("the stream broke off")
        exchange.succeeded_stream()

    def _patience_s(self, stream: _Stream) -> float:
        left_s = max(stream.limit_s - monotonic_s(), 0.0)
        return min(left_s, SILENCE_S) if stream.may_go_on and stream.route.resumable else left_s

    def _failed(self, stream: _Stream, reason: str) -> PassgateError:
        if monotonic_s() >= stream.limit_s and stream.may_have_run:
            error: PassgateError = DeadlineExceeded("time limit is over", execution=ExecutionStatus.UNKNOWN)
        elif stream.may_have_run:
            error = BackendUnreachable(reason, execution=ExecutionStatus.UNKNOWN)
        else:
            error = NoReplicaAvailable(reason, execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S)
        self._note_end(stream, error.http_status, reason)
        return error

    def _note_end(self, stream: _Stream, status: int, reason: str) -> None:
        self._decisions.write(
            ForwardEnded(
                request_id=stream.request_id,
                route=stream.route.name,
                status=status,
                reason=reason,
                replicas=tuple(stream.tried),
                elapsed_ms=round((monotonic_s() - stream.request.arrived_s) * 1000, 1),
            )
        )


def event_id(block: bytes) -> str:
    """Return the identifier of an event, or nothing.

    >>> event_id(b"id: 7\\ndata: x")
    '7'
    """
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin1")
    return ""
