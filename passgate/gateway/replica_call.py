"""One attempt at one replica: the request as it was, the answer checked.

The answer must echo the request's id; what does not belongs to another request
and its connection is closed.  Failures say whether the request may have run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec
from tornado.httputil import HTTPHeaders

from passgate.clients.calls import HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.clients.transfer import Transfer
from passgate.clock import monotonic_s
from passgate.eligibility.replica_info import ReplicaLife
from passgate.eligibility.rules import ANY_REQUEST, SendTerms
from passgate.errors import (
    AnswerMismatch,
    BackendRefused,
    ExecutionFailed,
    ExecutionStatus,
    PassgateError,
    ReplicaReplaced,
    SendTooLate,
)
from passgate.gateway.access import headers_for_replica
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.messages import PROMISES
from passgate.gateway.replicas import ReplicaState, ReplicaTable
from passgate.quarantine.guard import CrashGuard, ReplicaPlace
from passgate.quarantine.identity import CRASH_LIMIT, RequestIdentity

CONNECT_TIMEOUT_S = 0.6
"""Time for a new connection; a lost opening packet is sent again only after a second."""
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
    }
)
"""Headers that concern one connection only, or are set anew for each."""
NOT_RUN_STATUSES = frozenset({421, 429, 503, 400})
"""Statuses under which a replica says that it did not run a request."""
WRONG_REPLICA = 421
BUSY_STATUSES = frozenset({429, 503})
BUSY_PAUSE_S = 0.15
"""Time for which a replica that said it is full gets nothing."""


class ReplicaRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a replica."""

    request_id: str
    method: str
    path: str
    """Path and query as the caller sent them."""
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    """Loop time until which the replica may work on it."""
    priority: int | None = None
    repeatable: bool = True
    tenant: str | None = None
    """Tenant to be named to the replica; see :func:`passgate.gateway.access.headers_for_replica`."""
    crash_limit: int = CRASH_LIMIT
    """Replicas that may end under the request before it is held."""
    terms: SendTerms = ANY_REQUEST
    """What the rules for sending need to know of it."""

    @property
    def identity(self) -> RequestIdentity:
        """What makes a further try the same request."""
        return RequestIdentity(
            host=self.host,
            method=self.method,
            path=self.path,
            tenant=self.tenant,
            body=self.body,
            crash_limit=self.crash_limit,
        )


class ReplicaAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replica: ReplicaLife

    def header(self, name: str) -> str:
        """Return the first header of this name, or nothing."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), "")


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are passed on: all but those of a single connection.

    >>> forwarded_headers([("Connection", "close, X-Hop"), ("X-Hop", "1"), ("X-End", "2")])
    [('X-End', '2')]
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return [(name, value) for name, value in pairs if name.lower() not in HOP_HEADERS | named]


class ReplicaCaller:
    """Makes attempts and keeps the replicas' books."""

    def __init__(
        self, http: HttpClient, replicas: ReplicaTable, headers: HeaderNames, crashes: CrashGuard
    ) -> None:
        self._http = http
        self._replicas = replicas
        self._names = headers
        self.crashes = crashes

    def open(self, state: ReplicaState, request: ReplicaRequest) -> ReplicaExchange:
        """Start an attempt.

        Raises:
            RequestQuarantined: the request has crashed replicas; it was not sent.
            SendForbidden: a rule keeps requests from the replica now; it was not sent.
            BackendUnreachable: it can not be sent; not run.
        """
        # Every attempt passes here, so no way of sending a request can go round the checks.
        self.crashes.check(request.identity)
        not_sent_after_s = self._replicas.rules.admit(state.info, request.terms, monotonic_s())
        return ReplicaExchange(
            self._http, self._replicas, self._names, self.crashes, state, request, not_sent_after_s
        )

    async def call(self, state: ReplicaState, request: ReplicaRequest) -> ReplicaAnswer:
        """Send a request and return its whole answer.

        Raises:
            BackendRefused: the replica said that it did not run the request.
            PassgateError: any other failure, with its execution status.
        """
        exchange = self.open(state, request)
        try:
            return await exchange.whole_answer()
        finally:
            exchange.close()


class ReplicaExchange:
    """One running attempt; close it in any case."""

    def __init__(
        self,
        http: HttpClient,
        replicas: ReplicaTable,
        names: HeaderNames,
        crashes: CrashGuard,
        state: ReplicaState,
        request: ReplicaRequest,
        not_sent_after_s: float | None = None,
    ) -> None:
        self._not_sent_after_s = not_sent_after_s
        self._crashes = crashes
        self._replicas = replicas
        self._names = names
        self._state = state
        self._request = request
        self.began_s = monotonic_s()
        """Loop time at which it was sent."""
        self._open = True
        self.life = state.life
        self._transfer: Transfer = http.start(self._http_call())
        state.in_flight += 1
        replicas.health.sent(self.life, self.began_s)

    def _http_call(self) -> HttpCall:
        request = self._request
        left_s = max(request.deadline_s - self.began_s, 0.001)
        headers = HTTPHeaders()
        passed_on = headers_for_replica(request.headers, request.tenant, self._names.tenant)
        for name, value in forwarded_headers(passed_on):
            headers.add(name, value)
        headers["Host"] = request.host
        headers[self._names.request_id] = request.request_id
        headers[self._names.deadline_ms] = str(max(int(left_s * 1000), 1))
        headers[self._names.expected_replica] = self.life.replica_id
        if request.priority is not None:
            headers[self._names.priority] = str(request.priority)
        return HttpCall(
            method=request.method,
            url=f"http://{self._state.info.address}{request.path}",
            body=request.body if request.body or request.method in ("POST", "PUT", "PATCH") else None,
            headers=headers,
            send=SendPolicy.ONCE if request.repeatable else SendPolicy.ONCE_ON_FRESH_CONNECTION,
            timeout_s=left_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            length_required=False,
            not_sent_after_s=self._not_sent_after_s,
        )

    @property
    def status(self) -> int:
        """Status of the answer, once its head has come."""
        return self._transfer.status

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer, once its head has come."""
        return self._transfer.headers

    async def head(self) -> int:
        """Wait for the head of the answer and check whose it is; return its status.

        Raises BackendRefused, ExecutionFailed, AnswerMismatch and the transport's failures.
        """
        try:
            status = await self._transfer.head()
        except SendTooLate:
            raise  # the replica was reached, and is not to blame
        except PassgateError as error:
            self._failed(unreachable=error.execution is ExecutionStatus.NOT_RUN)
            self._broke_off(error)
            raise
        if self._transfer.connect_s is not None:
            zone = self._state.info.zone
            self._replicas.distances.observe(zone, self._transfer.connect_s, monotonic_s())
        answer = self._transfer.headers
        echoed = answer.get(self._names.request_id)
        if echoed is not None and echoed != self._request.request_id:
            self._transfer.abort()
            self._failed(unreachable=False)
            raise AnswerMismatch("answer of another request", replica=self.life.text())
        self._note_load(answer)
        if status in NOT_RUN_STATUSES and self._names.not_executed in answer or status == WRONG_REPLICA:
            self._refused(status)
        self._replicas.cold.reached(self._state.info, monotonic_s())
        if status in PROMISES:
            self._promised_too_much(status)
        self._crashes.answered(self._place(), self.began_s)
        self._state.accepted()
        return status

    def _refused(self, status: int) -> None:
        now_s = monotonic_s()
        self._transfer.finish_unread()
        if status in BUSY_STATUSES:
            self._state.refused(now_s)
            self._replicas.health.hold_off(self.life, now_s + BUSY_PAUSE_S)
        if status == WRONG_REPLICA:
            self._replicas.health.failed(self.life, now_s, unreachable=True)
            raise ReplicaReplaced(f"replica refused with {status}", status=status)
        raise BackendRefused(
            f"replica refused with {status}", execution=ExecutionStatus.NOT_RUN, status=status
        )

    def _promised_too_much(self, status: int) -> None:
        """Fail an answer whose status promises that nothing ran, while the replica does not say so."""
        self._transfer.finish_unread()
        self._failed(unreachable=False)
        raise ExecutionFailed(f"replica answered {status} and may have run", status=status)

    async def read(self) -> bytes:
        """Return the next bytes of the body; empty at its end; raises when it broke off."""
        try:
            return await self._transfer.read()
        except PassgateError as error:
            self._failed(unreachable=False)
            self._broke_off(error)
            raise

    async def whole_answer(self) -> ReplicaAnswer:
        """Wait for the whole answer; see :meth:`ReplicaCaller.call`."""
        status = await self.head()
        try:
            answer = await self._transfer.read_all()
        except PassgateError as error:
            self._failed(unreachable=False)
            self._broke_off(error)
            raise
        if status < 500:
            self.succeeded()
        return ReplicaAnswer(
            status=status,
            headers=tuple(self._transfer.headers.get_all()),
            body=answer.body,
            replica=self.life,
        )

    def succeeded(self) -> None:
        """Count an attempt whose answer is whole."""
        now_s = monotonic_s()
        self._crashes.succeeded(self._request.identity, self._state.info.service)
        self._replicas.health.succeeded(self.life)
        self._replicas.observe_latency(self.life, now_s - self.began_s, now_s)

    def _broke_off(self, error: PassgateError) -> None:
        """Have it looked at whether the replica ended under the request.

        The end of one that was leaving says nothing of the requests that still ran there.
        """
        if self._state.info.draining or self._replicas.newest_of(self.life) is None:
            return
        self._crashes.broke_off(self._request.identity, self._place(), error)

    def _place(self) -> ReplicaPlace:
        newest = self._replicas.newest_of(self.life)
        return ReplicaPlace(
            life=self.life,
            service=self._state.info.service,
            address=self._state.info.address,
            replaced=newest is not None and newest.life != self.life,
        )

    def _failed(self, *, unreachable: bool) -> None:
        if unreachable:
            self._replicas.unreachable(self.life, monotonic_s())
        else:
            self._replicas.health.failed(self.life, monotonic_s())

    def too_slow(self) -> None:
        """Count an attempt that was given up because nothing came."""
        now_s = monotonic_s()
        self._replicas.observe_latency(self.life, now_s - self.began_s, now_s)

    def fell_silent(self) -> None:
        """Count a stream that was left as its replica seems lost; it is set aside for some time."""
        self.too_slow()
        self._failed(unreachable=True)

    @property
    def usual_pause_s(self) -> float:
        """Time that the replica has lately taken for an event."""
        return self._state.recent_latency_s(monotonic_s())

    def _note_load(self, answer: HTTPHeaders) -> None:
        told = answer.get(self._names.replica_load)
        if told is None:
            return
        numbers = told.split(",")
        if len(numbers) >= 2 and all(number.strip().isdigit() for number in numbers):
            self._replicas.observe_load(self.life, int(numbers[0]) + int(numbers[1]), monotonic_s())

    def succeeded_stream(self) -> None:
        """Count a stream that came whole; its length says nothing of the replica's speed."""
        self._crashes.succeeded(self._request.identity, self._state.info.service)
        self._replicas.health.succeeded(self.life)

    def observe_pace(self, event_s: float) -> None:
        """Count the time that one event of the stream took."""
        self._replicas.observe_latency(self.life, event_s, monotonic_s())

    def observe_version(self, model: str, version: int) -> None:
        """Note the version of the weights that the replica has just named."""
        self._state.observed_versions[model] = version

    @property
    def proven_whole(self) -> bool:
        """Whether the end of the body was marked, rather than only the end of the connection."""
        headers = self._transfer.headers
        chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        return self._transfer.ended and (chunked or "Content-Length" in headers)

    def close(self) -> None:
        """End the attempt; a running one is cut off, so that the replica stops."""
        if not self._open:
            return
        self._open = False
        self._state.in_flight -= 1
        self._transfer.abort()


async def cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    running = [task for task in tasks if not task.done()]
    for task in running:
        task.cancel()
    if running:
        await asyncio.wait(running)
