"""Forwards streamed requests: whole events as they come, taken up elsewhere when they break off.

A stream of a resumable route goes on at another replica after its last whole event
within the same answer.  Any other stream runs at most once, and ends incomplete
when its replica breaks off.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    MovedElsewhere,
    NoRegionAllowed,
    NoReplicaInRegions,
    PassgateError,
    RequestQuarantined,
)
from passgate.gateway.access import Caller
from passgate.gateway.forwarding import ForwarderBase, Forwarding
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, answered_status
from passgate.gateway.replica_call import ReplicaExchange, forwarded_headers
from passgate.gateway.replicas import FULL_LOAD, ChoiceRequest
from passgate.gateway.routes import Route

OK = 200
FIRST_EVENT_SHARE = 3.0
"""A replica that sends no head within this many target latencies is left, if the stream may be resumed."""
SILENCE_S = 1.2
"""A stream silent for this long is taken up elsewhere, if it may be resumed."""
MIN_EVENTS_HERE = 4
"""Events after which a slow replica may be left."""
EVENT_END = b"\n\n"


class StreamForwarder(ForwarderBase):
    """Forwards requests of streaming routes."""

    async def forward(
        self, request: IncomingRequest, route: Route, caller: Caller
    ) -> GatewayAnswer | StreamAnswer:
        """Return the head and the events of a stream, or the replica's refusal as a whole answer."""
        stream = self._begin(request, route, caller)
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

    async def _open(self, stream: Forwarding) -> ReplicaExchange:
        """Return an exchange whose head has come; raises PassgateError when no replica gives one."""
        while True:
            exchange = await self._send(stream)
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
                self._note_failed_exchange(stream, exchange, DeadlineExceeded("no head in time"))
                if not stream.may_go_on or monotonic_s() >= stream.limit_s:
                    raise self._failed(stream, "no head in time") from error
            except PassgateError as error:
                exchange.close()
                self._note_failed_exchange(stream, exchange, error)
                if not stream.may_go_on:
                    raise self._failed(stream, error.code) from error
            except asyncio.CancelledError:
                exchange.close()
                raise

    def _note_failed_exchange(
        self, stream: Forwarding, exchange: ReplicaExchange, error: PassgateError
    ) -> None:
        self._note_failed_attempt(stream, exchange.life, error, exchange.began_s)

    async def _send(self, stream: Forwarding) -> ReplicaExchange:
        try:
            self._check_regions(stream)
            if not await self._spares_replicas(stream):
                raise self._failed(stream, "replicas ended under the request")
        except (NoRegionAllowed, RequestQuarantined) as error:
            self._note_end(stream, answered_status(error), error.code)
            raise
        state = self._choose(stream)
        if state is None:
            raise self._failed(stream, "no replica")
        if not stream.may_have_run:
            self._check_access(stream)
        elif not self._may_send(stream):
            raise self._failed(stream, "the key was taken away")
        self._note_sent(stream, state)
        return self._caller.open(state, self._replica_request(stream))

    async def _events(self, stream: Forwarding, exchange: ReplicaExchange) -> AsyncGenerator[bytes, None]:
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
                    failure = error if isinstance(error, PassgateError) else IncompleteAnswer("silent")
                    self._note_failed_exchange(stream, exchange, failure)
                    if not stream.may_go_on or monotonic_s() >= stream.limit_s:
                        raise self._failed(stream, "broke off") from error
                exchange = await self._open(stream)
                if exchange.status != OK:
                    raise self._failed(stream, f"resume answered {exchange.status}")
        finally:
            exchange.close()

    async def _events_of_one(
        self, stream: Forwarding, exchange: ReplicaExchange
    ) -> AsyncGenerator[bytes, None]:
        pending = b""
        count = 0
        event_at_s = 0.0
        while True:
            async with asyncio.timeout(self._patience_s(stream)):
                data = await exchange.read()
            if not data:
                break
            *whole, pending = (pending + data.replace(b"\r\n", b"\n")).split(EVENT_END)
            for block in whole:
                stream.last_event_id = event_id(block) or stream.last_event_id
            if whole:
                self._count_stream(stream)
                now_s = monotonic_s()
                if event_at_s:
                    exchange.observe_pace((now_s - event_at_s) / len(whole))
                event_at_s = now_s
                yield EVENT_END.join(whole) + EVENT_END
                count += len(whole)
                if count >= MIN_EVENTS_HERE and self._leaves(stream, exchange):
                    raise MovedElsewhere("another replica is much faster")
        if pending.strip() or not exchange.proven_whole:
            raise IncompleteAnswer("the stream broke off")
        exchange.succeeded_stream()

    def _count_stream(self, stream: Forwarding) -> None:
        """Count a stream with its first event, which is when a replica begins it."""
        if not stream.counted:
            stream.counted = True
            self._count_run(stream, self._usage_now_s())

    def _leaves(self, stream: Forwarding, exchange: ReplicaExchange) -> bool:
        """Whether a resumable stream had better go on at another replica."""
        if not stream.route.resumable or not stream.may_go_on:
            return False
        wish = ChoiceRequest(
            services=frozenset({stream.service}),
            excluded=frozenset(stream.tried),
            load_below=FULL_LOAD,
            terms=self._terms(stream),
        )
        return self._replicas.has_faster(exchange.life, wish, monotonic_s())

    def _patience_s(self, stream: Forwarding) -> float:
        left_s = max(stream.limit_s - monotonic_s(), 0.0)
        return min(left_s, SILENCE_S) if stream.may_go_on and stream.route.resumable else left_s

    def _failed(self, stream: Forwarding, reason: str) -> PassgateError:
        if monotonic_s() >= stream.limit_s and stream.may_have_run:
            error: PassgateError = DeadlineExceeded("time limit is over", execution=ExecutionStatus.UNKNOWN)
        elif stream.may_have_run:
            error = BackendUnreachable(reason, execution=ExecutionStatus.UNKNOWN)
        else:
            error = self._refusal(stream, reason)
        reason = error.code if isinstance(error, NoReplicaInRegions) else reason
        self._note_end(stream, answered_status(error), reason)
        return error


def event_id(block: bytes) -> str:
    """Return the identifier of an event, or nothing.

    >>> event_id(b"id: 7\\ndata: x")
    '7'
    """
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin1")
    return ""
