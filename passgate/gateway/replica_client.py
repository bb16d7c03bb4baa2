"""Sends one request to one replica and reads the answer.

An answer that names another request is rejected and its connection closed.  Every failure carries an
ExecutionStatus that says whether the request may have run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.clients.transfer import Transfer
from passgate.clock import monotonic_s
from passgate.decimal_numbers import parse_decimal
from passgate.errors import (
    AnswerMismatch,
    BackendRefused,
    Cancelled,
    ExecutionFailed,
    ExecutionStatus,
    PassgateError,
    ReplicaReplaced,
    SendForbidden,
    SendTooLate,
)
from passgate.gateway.access import replica_headers
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.messages import GUARANTEED_NOT_RUN_STATUSES
from passgate.gateway.replica_request import ReplicaAnswer, ReplicaRequest, end_to_end_headers
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.quarantine.guard import CrashGuard, ReplicaEndpoint

CONNECT_TIMEOUT_S = 0.6
"""Timeout of a new connection; below the 1 s after which TCP repeats a lost SYN, so a new attempt is
faster."""
MAX_LOOP_DELAY_S = 0.15
"""Delay beyond CONNECT_TIMEOUT_S from which on a failed connect is put down to a pause of this daemon."""
REPLICA_REFUSAL_STATUSES = frozenset({421, 429, 503, 400})
"""Statuses that count as a refusal if the header ``not_executed`` confirms that the request did not run."""
MISDIRECTED_STATUS = 421
"""Another replica listens at the address; counts as a refusal also without ``not_executed``."""
BUSY_STATUSES = frozenset({429, 503})
BUSY_HOLD_OFF_S = 0.15
"""Time for which a replica is excluded from choices after it refused a request as busy."""


class ReplicaClient:
    """Starts attempts at replicas; all requests of a gateway daemon to replicas go through this class."""

    def __init__(
        self, http: HttpClient, replicas: ReplicaTable, header_names: HeaderNames, crash_guard: CrashGuard
    ) -> None:
        self._http = http
        self._replicas = replicas
        self._header_names = header_names
        self.crash_guard = crash_guard

    def start_attempt(self, state: ReplicaState, request: ReplicaRequest) -> ReplicaAttempt:
        """Send a request to a replica; the caller must close the returned attempt.

        The announcement of an isolated run, if any, is withdrawn when the attempt is closed or not started.

        Raises:
            SendTooLate: the time in which the request may be sent is over; nothing was sent.
            Cancelled: nobody waits for the answer any more; nothing was sent.
            RequestQuarantined: replicas crashed while they ran this content; nothing was sent.
            SendForbidden: a send rule excludes the replica now, or it is no longer listed; nothing was sent.
            BackendUnreachable: the HTTP client can not start the transfer; nothing was sent.
        """
        try:
            not_sent_after_s = self._check_send(state, request)
            return ReplicaAttempt(
                self._http,
                self._replicas,
                self._header_names,
                self.crash_guard,
                state,
                request,
                not_sent_after_s,
            )
        except PassgateError:
            self.crash_guard.withdraw_run(request.identity)
            raise

    def _check_send(self, state: ReplicaState, request: ReplicaRequest) -> float:
        """Return the loop time until which the request may be sent to the replica.

        Checked here, and not only before the choice of a replica, so that no attempt bypasses the checks.
        Raises the errors of :meth:`start_attempt`.
        """
        now_s = monotonic_s()
        if now_s >= request.latest_send_s:
            raise SendTooLate("the request's time is over", execution=ExecutionStatus.NOT_RUN)
        if not request.is_wanted():
            raise Cancelled("nobody waits for the answer", execution=ExecutionStatus.NOT_RUN)
        self.crash_guard.raise_if_quarantined(request.identity)
        if self._replicas.find_incarnation(state.incarnation) is not state:
            raise SendForbidden("the replica is no longer listed", execution=ExecutionStatus.NOT_RUN)
        admitted_until_s = self._replicas.send_rules.admit(state.info, request.send_context, now_s)
        if admitted_until_s is None:
            return request.latest_send_s
        return min(admitted_until_s, request.latest_send_s)

    async def fetch(self, state: ReplicaState, request: ReplicaRequest) -> ReplicaAnswer:
        """Send a request and return the complete answer, which may have an error status.

        Raises the errors of :meth:`start_attempt` and :meth:`ReplicaAttempt.read_answer`.
        """
        attempt = self.start_attempt(state, request)
        try:
            return await attempt.read_answer()
        finally:
            attempt.close()


class ReplicaAttempt:
    """One attempt: a request that is sent to a replica, and the answer.

    Records what the attempt shows about the replica: load, latency, failures, crashes.  :meth:`close` must
    be called in any case.
    """

    def __init__(
        self,
        http: HttpClient,
        replicas: ReplicaTable,
        header_names: HeaderNames,
        crash_guard: CrashGuard,
        state: ReplicaState,
        request: ReplicaRequest,
        not_sent_after_s: float,
    ) -> None:
        self._not_sent_after_s = not_sent_after_s
        self._crash_guard = crash_guard
        self._replicas = replicas
        self._header_names = header_names
        self._state = state
        self._request = request
        self.started_s = monotonic_s()
        """Loop time at which the attempt started."""
        self._active = True
        self.incarnation = state.incarnation
        self._transfer: Transfer = http.start(self._build_http_call())
        state.in_flight += 1
        replicas.health.record_send(self.incarnation, self.started_s)

    def _build_http_call(self) -> HttpCall:
        request = self._request
        left_s = max(request.deadline_s - self.started_s, 0.001)
        headers = HTTPHeaders()
        forwarded = replica_headers(request.headers, request.tenant, self._header_names.tenant)
        for name, value in end_to_end_headers(forwarded):
            headers.add(name, value)
        headers["Host"] = request.host
        headers[self._header_names.request_id] = request.request_id
        headers[self._header_names.deadline_ms] = str(max(int(left_s * 1000), 1))
        headers[self._header_names.expected_replica] = self.incarnation.replica_id
        if request.priority is not None:
            headers[self._header_names.priority] = str(request.priority)
        # On a new connection, a failure shows that the replica ran when the request was sent.
        may_reuse_connection = request.repeatable and not self._crash_guard.is_suspect(request.identity)
        return HttpCall(
            method=request.method,
            url=f"http://{self._state.info.address}{request.path}",
            body=request.body if request.body or request.method in ("POST", "PUT", "PATCH") else None,
            headers=headers,
            send=SendPolicy.ONCE if may_reuse_connection else SendPolicy.ONCE_ON_FRESH_CONNECTION,
            timeout_s=left_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            length_required=False,
            not_sent_after_s=self._not_sent_after_s,
        )

    @property
    def status(self) -> int:
        """Status of the answer; 0 before its status line has arrived."""
        return self._transfer.status

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer; complete once :meth:`wait_for_head` has returned."""
        return self._transfer.headers

    async def wait_for_head(self) -> int:
        """Wait for the head of the answer and return its status, which may be an error but is no refusal.

        Raises:
            BackendRefused: the replica refused the request without running it; ReplicaReplaced if another
                replica listens at the address.
            AnswerMismatch: the answer names another request.
            ExecutionFailed: the status is one of GUARANTEED_NOT_RUN_STATUSES, but the replica did not
                confirm that the request did not run.
            PassgateError: the HTTP client failed.
        """
        try:
            status = await self._transfer.wait_for_head()
        except SendTooLate:
            raise  # the replica was reached, so this counts neither as its failure nor as a crash
        except PassgateError as error:
            self._record_missing_head(error)
            raise
        if self._transfer.connect_duration_s is not None:
            zone = self._state.info.zone
            self._replicas.distances.record_round_trip(zone, self._transfer.connect_duration_s, monotonic_s())
        answer = self._transfer.headers
        echoed = answer.get(self._header_names.request_id)
        if echoed is not None and echoed != self._request.request_id:
            self._transfer.abort()
            self._record_failure(unreachable=False)
            raise AnswerMismatch("the answer names another request", replica=self.incarnation.to_text())
        self._record_reported_load(answer)
        if (
            status in REPLICA_REFUSAL_STATUSES
            and self._header_names.not_executed in answer
            or status == MISDIRECTED_STATUS
        ):
            self._raise_refusal(status)
        self._replicas.cold_replicas.record_response(self._state.info, monotonic_s())
        if status in GUARANTEED_NOT_RUN_STATUSES:
            self._reject_unconfirmed_refusal(status)
        self._crash_guard.record_response(self._replica_endpoint(), self.started_s)
        self._state.record_answer_start()
        return status

    def _record_missing_head(self, error: PassgateError) -> None:
        """Record the failure of an attempt without a head.

        If a connection could not be opened and this is noticed late, the event loop was blocked or the
        machine suspended meanwhile; it then does not show that the replica is unreachable, but counts as one
        failure, as the replica of a busy daemon may have ended all the same.
        """
        in_time = monotonic_s() - self.started_s <= CONNECT_TIMEOUT_S + MAX_LOOP_DELAY_S
        self._record_failure(unreachable=error.execution is ExecutionStatus.NOT_RUN and in_time)
        self._report_possible_crash(error)

    def _raise_refusal(self, status: int) -> None:
        """Raise BackendRefused, or ReplicaReplaced for status 421; both say that the request did not run.

        A busy replica is held off for a short time, a replaced one ejected.
        """
        now_s = monotonic_s()
        self._transfer.finish_unread()
        if status in BUSY_STATUSES:
            self._state.record_refusal(now_s)
            self._replicas.health.hold_off(self.incarnation, now_s + BUSY_HOLD_OFF_S)
        if status == MISDIRECTED_STATUS:
            self._replicas.health.record_failure(self.incarnation, now_s, unreachable=True)
            raise ReplicaReplaced(f"replica refused with {status}", status=status)
        raise BackendRefused(
            f"replica refused with {status}", execution=ExecutionStatus.NOT_RUN, status=status
        )

    def _reject_unconfirmed_refusal(self, status: int) -> None:
        """Raise ExecutionFailed for a status that guarantees "not run" without the replica's confirmation.

        If the caller got this status, it could send a request again that has run.
        """
        self._transfer.finish_unread()
        self._record_failure(unreachable=False)
        raise ExecutionFailed(f"replica answered {status} and may have run", status=status)

    async def read(self) -> bytes:
        """Return the next bytes of the body, or b"" at the end.

        Raises PassgateError if the body broke off.
        """
        try:
            return await self._transfer.read()
        except PassgateError as error:
            self._record_failure(unreachable=False)
            self._report_possible_crash(error)
            raise

    async def read_answer(self) -> ReplicaAnswer:
        """Return the complete answer.

        Raises the errors of :meth:`wait_for_head`, and PassgateError if the body broke off.
        """
        status = await self.wait_for_head()
        try:
            answer = await self._transfer.read_all()
        except PassgateError as error:
            self._record_failure(unreachable=False)
            self._report_possible_crash(error)
            raise
        if status < 500:
            self.record_success()
        return ReplicaAnswer(
            status=status,
            headers=tuple(self._transfer.headers.get_all()),
            body=answer.body,
            incarnation=self.incarnation,
        )

    def record_success(self) -> None:
        """Record a complete answer that is no server error.

        Clears the request's crash reports for the service and the replica's failures; records the latency.
        """
        now_s = monotonic_s()
        self._crash_guard.record_success(self._request.identity, self._state.info.service)
        self._replicas.health.record_success(self.incarnation)
        self._replicas.record_latency(self.incarnation, now_s - self.started_s, now_s)

    def _report_possible_crash(self, error: PassgateError) -> None:
        """Have the crash guard check whether the replica crashed while it ran the request.

        A draining or delisted replica probably exits on purpose, so its requests are not blamed.
        """
        if self._state.info.draining or self._replicas.find_latest_incarnation(self.incarnation) is None:
            return
        self._crash_guard.record_failed_attempt(
            self._request.identity, self._replica_endpoint(), error, self.started_s
        )

    def _replica_endpoint(self) -> ReplicaEndpoint:
        latest = self._replicas.find_latest_incarnation(self.incarnation)
        return ReplicaEndpoint(
            incarnation=self.incarnation,
            service=self._state.info.service,
            address=self._state.info.address,
            has_newer_incarnation=latest is not None and latest.incarnation != self.incarnation,
        )

    def _record_failure(self, *, unreachable: bool) -> None:
        if unreachable:
            self._replicas.record_unreachable(self.incarnation, monotonic_s())
        else:
            self._replicas.health.record_failure(self.incarnation, monotonic_s())

    def record_timeout(self) -> None:
        """Record an attempt abandoned without an answer: the time since its start counts as latency."""
        now_s = monotonic_s()
        self._replicas.record_latency(self.incarnation, now_s - self.started_s, now_s)

    def record_stall(self) -> None:
        """Record that the attempt is abandoned because no data arrives.

        The time since the attempt's start counts as latency, and the replica as unreachable.
        """
        self.record_timeout()
        self._record_failure(unreachable=True)

    @property
    def expected_event_interval_s(self) -> float:
        """The replica's smoothed latency, taken as the expected time between two events of a stream."""
        return self._state.expected_latency_s(monotonic_s())

    def _record_reported_load(self, answer: HTTPHeaders) -> None:
        """Record the sum of running and waiting requests; ignores a missing or malformed load header."""
        report = answer.get(self._header_names.replica_load)
        if report is None:
            return
        numbers = [parse_decimal(text.strip()) for text in report.split(",")]
        match numbers:
            case [int(running), int(waiting), *_] if None not in numbers:
                self._replicas.record_load(self.incarnation, running + waiting, monotonic_s())

    def record_stream_success(self) -> None:
        """Record a complete stream like :meth:`record_success`, but not its duration as latency.

        A stream's duration depends on its number of events; :meth:`record_event_interval` is used instead.
        """
        self._crash_guard.record_success(self._request.identity, self._state.info.service)
        self._replicas.health.record_success(self.incarnation)

    def record_event_interval(self, interval_s: float) -> None:
        """Record the time between two events of the stream as the replica's latency."""
        self._replicas.record_latency(self.incarnation, interval_s, monotonic_s())

    def record_weight_version(self, model: str, version: int) -> None:
        """Record the weight version of a model that the replica named in this answer."""
        self._state.reported_versions[model] = version

    @property
    def is_complete(self) -> bool:
        """Whether the body has ended, with a Content-Length or chunked encoding, which show a truncation."""
        headers = self._transfer.headers
        chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        return self._transfer.ended and (chunked or "Content-Length" in headers)

    def close(self) -> None:
        """End the attempt; harmless if repeated.

        A transfer that is still running is aborted, which closes its connection and lets the replica stop.
        """
        if not self._active:
            return
        self._active = False
        self._state.in_flight -= 1
        self._transfer.abort()
        self._crash_guard.withdraw_run(self._request.identity)


async def cancel_and_wait(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    running = [task for task in tasks if not task.done()]
    for task in running:
        task.cancel()
    if running:
        await asyncio.wait(running)
