"""Forwards streamed requests: passes complete server-sent events on to the caller as they arrive.

When a stream of a resumable route fails, or another replica is much faster, the forwarder requests the
events after the last one sent (``Last-Event-Id``) from another replica and continues the same answer.  A
stream of any other route runs at most once; when it fails after its head, the answer ends incomplete.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import msgspec

from passgate.clients.event_splitter import SEPARATOR, EventSplitter
from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    Draining,
    ExecutionStatus,
    IncompleteAnswer,
    MovedElsewhere,
    NoRegionAllowed,
    NoReplicaInRegions,
    PassgateError,
    RequestQuarantined,
)
from passgate.gateway.access import Caller
from passgate.gateway.forwarder_base import ForwardedRequest, ForwarderBase
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, error_status
from passgate.gateway.replica_client import ReplicaAttempt
from passgate.gateway.replica_request import ReplicaAnswer, end_to_end_headers
from passgate.gateway.replica_state import FULL_LOAD
from passgate.gateway.routes import Route
from passgate.gateway.timeouts import wait_until

OK_STATUS = 200
HEAD_TIMEOUT_FACTOR = 3.0
"""Timeout of the answer's head, in target latencies of the route, if the stream is resumable and another
attempt is permitted."""
EVENT_TIMEOUT_S = 1.2
"""Time without data after which a resumable stream is continued at another replica, if another attempt is
permitted."""
MIN_EVENTS_BEFORE_MOVE = 4
"""Events that an attempt delivers before the stream may move to a faster replica."""


class StreamForwarder(ForwarderBase):
    """Forwards requests of streaming routes."""

    async def forward(
        self, request: IncomingRequest, route: Route, caller: Caller
    ) -> GatewayAnswer | StreamAnswer:
        """Return the stream once its head has arrived, or the complete answer if the status is not 200.

        Raises PassgateError if there is neither; its ``execution`` says whether the request may have run.
        The iterator of a returned stream raises PassgateError if the stream ends incomplete.
        """
        stream = self._begin_forwarding(request, route, caller)
        attempt = await self._open_stream(stream)
        if attempt.status != OK_STATUS:
            answer = await self._read_complete_answer(stream, attempt)
            self._record_end(stream, answer.status, "")
            return GatewayAnswer(
                status=answer.status, headers=tuple(end_to_end_headers(answer.headers)), body=answer.body
            )
        headers = tuple(end_to_end_headers(attempt.headers.get_all()))
        return StreamAnswer(status=OK_STATUS, headers=headers, chunks=self._stream_events(stream, attempt))

    async def _read_complete_answer(self, stream: ForwardedRequest, attempt: ReplicaAttempt) -> ReplicaAnswer:
        """Return the answer of an attempt whose head has arrived, and close it; raises PassgateError."""
        try:
            async with asyncio.timeout_at(stream.answer_by_s):
                return await attempt.read_answer()
        except (PassgateError, TimeoutError) as error:
            stream.may_have_run = True
            raise self._end_with_error(stream, "the answer broke off") from error
        finally:
            attempt.close()

    async def _open_stream(self, stream: ForwardedRequest) -> ReplicaAttempt:
        """Return an attempt whose head has arrived; raises PassgateError if no replica sends one."""
        while True:
            attempt = await self._start_attempt(stream)
            head_by_s = stream.answer_by_s
            if stream.route.resumable and stream.may_be_sent_again:
                head_timeout_s = HEAD_TIMEOUT_FACTOR * stream.route.target_latency_s
                head_by_s = min(head_by_s, monotonic_s() + head_timeout_s)
            try:
                await wait_until(head_by_s, attempt.wait_for_head)
                return attempt
            except TimeoutError as error:
                attempt.record_timeout()
                attempt.close()
                stream.may_have_run = True
                self._record_failed_stream(
                    stream, attempt, DeadlineExceeded("no answer head within the time limit")
                )
                if not stream.may_be_sent_again or stream.is_time_over:
                    raise self._end_with_error(stream, "no answer head within the time limit") from error
            except PassgateError as error:
                attempt.close()
                self._record_failed_stream(stream, attempt, error)
                if not stream.may_be_sent_again:
                    raise self._end_with_error(stream, error.code) from error
            except asyncio.CancelledError:
                attempt.close()
                raise

    def _record_failed_stream(
        self, stream: ForwardedRequest, attempt: ReplicaAttempt, error: PassgateError
    ) -> None:
        self._record_failed_attempt(stream, attempt.incarnation, error, attempt.started_s)

    async def _start_attempt(self, stream: ForwardedRequest) -> ReplicaAttempt:
        """Check that the request may be sent, choose a replica and send.

        Raises PassgateError if nothing was sent by this attempt.
        """
        try:
            self._check_servable(stream)
            if not await self._passes_quarantine(stream):
                raise self._end_with_error(stream, "the request is quarantined, as it has crashed replicas")
        except (Draining, NoRegionAllowed, RequestQuarantined) as error:
            self._record_end(stream, error_status(error), error.code)
            raise
        if stream.is_time_over:
            raise self._end_with_error(stream, "the time limit has passed")
        state = self._choose_replica(stream)
        if state is None or not await self._confirm_isolated_run(stream, state):
            raise self._end_with_error(stream, "no replica is available")
        if not stream.may_have_run:
            self._recheck_api_key(stream)
        elif not self._is_still_authorized(stream):
            raise self._end_with_error(stream, "the API key was revoked")
        self._record_sent(stream, state)
        try:
            return self._replica_client.start_attempt(state, self._replica_request(stream))
        except PassgateError as error:
            raise self._end_with_error(stream, error.code) from error

    async def _stream_events(
        self, stream: ForwardedRequest, attempt: ReplicaAttempt
    ) -> AsyncGenerator[bytes, None]:
        """Yield bytes of complete events, from further replicas if the stream may be continued.

        Raises PassgateError if the stream ends incomplete.
        """
        try:
            while True:
                try:
                    async for events in self._read_attempt_events(stream, attempt):
                        yield events
                    self._record_end(stream, OK_STATUS, "")
                    return
                except (PassgateError, TimeoutError) as error:
                    attempt.close()
                    stream.may_have_run = True
                    failure = (
                        error if isinstance(error, PassgateError) else IncompleteAnswer("no data in time")
                    )
                    self._record_failed_stream(stream, attempt, failure)
                    if not stream.may_be_sent_again or stream.is_time_over:
                        raise self._end_with_error(stream, "the stream broke off") from error
                attempt = await self._open_stream(stream)
                if attempt.status != OK_STATUS:
                    raise self._end_with_error(
                        stream, f"the resume request was answered with {attempt.status}"
                    )
        finally:
            attempt.close()

    async def _read_attempt_events(
        self, stream: ForwardedRequest, attempt: ReplicaAttempt
    ) -> AsyncGenerator[bytes, None]:
        """Yield bytes of complete events of one attempt.

        Raises IncompleteAnswer, MovedElsewhere, the attempt's errors, or TimeoutError if no data arrives.
        """
        splitter = EventSplitter()
        count = 0
        last_event_s = 0.0
        while True:
            data = await wait_until(self._read_by_s(stream), attempt.read)
            if not data:
                break
            complete = splitter.feed(data)
            for event in complete:
                stream.last_event_id = event_id(event) or stream.last_event_id
            if complete:
                self._count_run_once(stream)
                now_s = monotonic_s()
                if last_event_s:
                    attempt.record_event_interval((now_s - last_event_s) / len(complete))
                last_event_s = now_s
                yield SEPARATOR.join(complete) + SEPARATOR
                count += len(complete)
                if count >= MIN_EVENTS_BEFORE_MOVE and self._should_move(stream, attempt):
                    raise MovedElsewhere("another replica is much faster")
        if splitter.has_partial_event or not attempt.is_complete:
            raise IncompleteAnswer("the stream ended without its end mark or within an event")
        attempt.record_stream_success()

    def _count_run_once(self, stream: ForwardedRequest) -> None:
        """Count the request for the usage report when its first event arrives, and only then."""
        if not stream.usage_counted:
            stream.usage_counted = True
            self._count_run(stream, self._usage_wall_s())

    def _should_move(self, stream: ForwardedRequest, attempt: ReplicaAttempt) -> bool:
        """Whether another usable replica is so much faster that a resumable stream should continue there."""
        if not stream.route.resumable or not stream.may_be_sent_again:
            return False
        query = msgspec.structs.replace(self._replica_query(stream), load_below=FULL_LOAD)
        return self._replicas.has_faster(attempt.incarnation, query, monotonic_s())

    def _read_by_s(self, stream: ForwardedRequest) -> float:
        """Return the loop time until which the next data of a stream is awaited."""
        if not stream.may_be_sent_again or not stream.route.resumable:
            return stream.answer_by_s
        return min(stream.answer_by_s, monotonic_s() + EVENT_TIMEOUT_S)

    def _end_with_error(self, stream: ForwardedRequest, reason: str) -> PassgateError:
        """Write the decision line of the request's end and return the error to raise."""
        if stream.is_time_over and stream.may_have_run:
            error: PassgateError = DeadlineExceeded(
                "the stream did not end within the time limit", execution=ExecutionStatus.UNKNOWN
            )
        elif stream.may_have_run:
            error = BackendUnreachable(reason, execution=ExecutionStatus.UNKNOWN)
        else:
            error = self._no_replica_error(stream, reason)
        reason = error.code if isinstance(error, NoReplicaInRegions) else reason
        self._record_end(stream, error_status(error), reason)
        return error


def event_id(event: bytes) -> str:
    """Return the value of an event's ``id`` field, or "" if it has none.

    >>> event_id(b"id: 7\\ndata: x")
    '7'
    """
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin1")
    return ""
