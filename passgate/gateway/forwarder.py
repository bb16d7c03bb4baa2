"""Forwards plain (not streamed) requests to replicas, with retries and hedging.

A repeatable request may be sent to several replicas, one after another or, when an answer is slow, at
the same time (hedging).  The first final answer (see ``Forwarder._is_final``) is returned, and the other
attempts are cancelled.  Any other request is sent to a further replica only if the previous replica
certainly did not run the request.
"""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    PassgateError,
)
from passgate.gateway.access import Caller
from passgate.gateway.forwarder_base import ForwardedRequest, ForwarderBase, no_replica_error
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, error_status
from passgate.gateway.replica_client import cancel_and_wait
from passgate.gateway.replica_request import ReplicaAnswer, end_to_end_headers
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.routes import Route

HEDGE_DELAY_SHARE = 0.4
"""Share of the route's target latency, counted from the request's arrival, after which a second parallel
attempt may start; a third one may start after twice this time, and so on."""
REPLICA_WAIT_SHARE = 0.2
"""Share of the route's target latency for which an attempt waits at most for a usable replica."""
REPLICA_POLL_INTERVAL_S = 0.02
"""Interval at which a replica is looked for again while none is usable."""
FIRST_REDIRECT_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500


class _AttemptResults(msgspec.Struct, kw_only=True):
    """Results of one request's finished attempts that were not final answers."""

    last_error: PassgateError | None = None
    fallback_answer: ReplicaAnswer | None = None
    """Last complete answer that was not final; returned if its status is 300 or more and the attempts end
    before the time limit without a final answer."""


class _RunningAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt whose result is not collected yet."""

    incarnation: ReplicaIncarnation
    sent_loop_s: float
    """Loop time at which the attempt was started."""
    sent_wall_s: float
    """Wall-clock time at which the attempt was started, for the usage report."""


RunningAttempts = dict[asyncio.Task[ReplicaAnswer], _RunningAttempt]
"""Running attempts by their tasks."""


class Forwarder(ForwarderBase):
    """Forwards requests of routes that are neither streaming nor batch."""

    async def forward(self, request: IncomingRequest, route: Route, caller: Caller) -> GatewayAnswer:
        """Return a replica's answer, which may be an error answer.

        Raises PassgateError if there is no answer that may be returned; its ``execution`` says whether the
        request may have run.  Cancelling this coroutine cancels all attempts.
        """
        forwarding = self._begin_forwarding(request, route, caller)
        try:
            answer = await self._run_attempts(forwarding)
        except PassgateError as error:
            self._record_end(forwarding, error_status(error), error.code)
            raise
        self._record_end(forwarding, answer.status, "")
        return GatewayAnswer(
            status=answer.status, headers=tuple(end_to_end_headers(answer.headers)), body=answer.body
        )

    async def _run_attempts(self, forwarding: ForwardedRequest) -> ReplicaAnswer:
        running: RunningAttempts = {}
        results = _AttemptResults()
        try:
            while True:
                if not running and not await self._start_next_attempt(forwarding, running):
                    if forwarding.is_time_over:
                        raise self._time_limit_error(forwarding, running=False)
                    return self._answer_without_success(forwarding, results)
                await self._wait_for_attempts(forwarding, running)
                answer = self._collect_finished(forwarding, running, results)
                if answer is not None:
                    return answer
                if forwarding.is_time_over:
                    raise self._time_limit_error(forwarding, bool(running))
                if running and self._may_hedge(forwarding):
                    self._start_attempt(forwarding, running, self._choose_replica(forwarding))
        finally:
            self._count_abandoned(forwarding, running)
            await cancel_and_wait(running)

    async def _start_next_attempt(self, forwarding: ForwardedRequest, running: RunningAttempts) -> bool:
        """Start the first or a further attempt, after a short wait if no replica is usable.

        Returns False if no attempt is permitted any more, the time is over or no replica became usable.
        Raises NoRegionAllowed, Draining, RequestQuarantined or Unauthorized only for a request that has not
        run.
        """
        self._check_servable(forwarding)
        if not forwarding.may_be_sent_again or not await self._passes_quarantine(forwarding):
            return False
        state = await self._wait_for_replica(forwarding)
        if state is None or not await self._confirm_isolated_run(forwarding, state):
            return False
        if forwarding.may_have_run and not self._is_still_authorized(forwarding):
            return False
        self._recheck_api_key(forwarding)
        self._start_attempt(forwarding, running, state)
        return True

    async def _wait_for_replica(self, forwarding: ForwardedRequest) -> ReplicaState | None:
        """Return a usable replica; None if there is none in a short wait or the time is over.

        Does not wait if no listed replica may become usable in that time.
        """
        wait_until_s = monotonic_s() + REPLICA_WAIT_SHARE * forwarding.route.target_latency_s
        while not forwarding.is_time_over:
            state = self._choose_replica(forwarding)
            now_s = monotonic_s()
            if state is not None or now_s >= wait_until_s:
                return state
            if not self._replicas.may_become_usable(self._replica_query(forwarding), now_s, wait_until_s):
                return None
            await asyncio.sleep(REPLICA_POLL_INTERVAL_S)
        return None

    def _may_hedge(self, forwarding: ForwardedRequest) -> bool:
        if not forwarding.repeatable or not forwarding.has_attempts_left:
            return False
        if monotonic_s() < self._next_hedge_at_s(forwarding) or not self._is_still_authorized(forwarding):
            return False
        # A request that may have crashed a replica runs on one replica at a time, or it could crash two
        # before the first crash is noticed.
        return not self._replica_client.crash_guard.is_suspect(forwarding.identity)

    def _next_hedge_at_s(self, forwarding: ForwardedRequest) -> float:
        delay_s = HEDGE_DELAY_SHARE * forwarding.route.target_latency_s
        return forwarding.request.received_s + delay_s * len(forwarding.tried_replicas)

    def _start_attempt(
        self, forwarding: ForwardedRequest, running: RunningAttempts, state: ReplicaState | None
    ) -> None:
        if state is None:
            return
        self._record_sent(forwarding, state)
        call = self._replica_client.fetch(state, self._replica_request(forwarding))
        running[asyncio.get_running_loop().create_task(call)] = _RunningAttempt(
            incarnation=state.incarnation, sent_loop_s=monotonic_s(), sent_wall_s=self._usage_wall_s()
        )

    async def _wait_for_attempts(self, forwarding: ForwardedRequest, running: RunningAttempts) -> None:
        until_s = forwarding.answer_by_s
        if forwarding.repeatable and forwarding.has_attempts_left:
            until_s = min(
                until_s, max(self._next_hedge_at_s(forwarding), monotonic_s() + REPLICA_POLL_INTERVAL_S)
            )
        left_s = max(until_s - monotonic_s(), 0.0)
        await asyncio.wait(running, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)

    def _collect_finished(
        self, forwarding: ForwardedRequest, running: RunningAttempts, results: _AttemptResults
    ) -> ReplicaAnswer | None:
        for task in [task for task in running if task.done()]:
            attempt = running.pop(task)
            error = task.exception()
            if _may_have_run(error):
                self._count_run(forwarding, attempt.sent_wall_s)
            if error is None:
                answer = task.result()
                if self._is_final(forwarding, answer):
                    return answer
                results.fallback_answer = answer
                forwarding.may_have_run = True
            elif isinstance(error, PassgateError):
                self._record_failed_attempt(forwarding, attempt.incarnation, error, attempt.sent_loop_s)
                results.last_error = error
            else:
                raise error
        return None

    def _count_abandoned(self, forwarding: ForwardedRequest, running: RunningAttempts) -> None:
        """Count the attempts whose results were not collected as runs, though some may not have run."""
        for attempt in running.values():
            self._count_run(forwarding, attempt.sent_wall_s)

    def _is_final(self, forwarding: ForwardedRequest, answer: ReplicaAnswer) -> bool:
        """Whether an answer is returned to the caller at once instead of trying another replica.

        A 5xx answer is final only if no further attempt is permitted.  An answer below 300 is final only
        with the header ``replica_stamp``, which shows that a replica made the answer.
        """
        if answer.status >= FIRST_SERVER_ERROR_STATUS:
            return not (forwarding.repeatable and forwarding.has_attempts_left)
        stamped = any(name.lower() == self._header_names.replica_stamp.lower() for name, _ in answer.headers)
        return stamped or answer.status >= FIRST_REDIRECT_STATUS

    def _answer_without_success(
        self, forwarding: ForwardedRequest, results: _AttemptResults
    ) -> ReplicaAnswer:
        """Return the fallback answer if its status is 300 or more; raises PassgateError otherwise."""
        fallback = results.fallback_answer
        if fallback is not None and fallback.status >= FIRST_REDIRECT_STATUS:
            return fallback
        if forwarding.may_have_run:
            raise BackendUnreachable(
                "no replica returned an acceptable answer", execution=ExecutionStatus.UNKNOWN
            )
        if isinstance(results.last_error, BackendRefused):
            raise no_replica_error("replicas refused the request")
        raise self._no_replica_error(forwarding, "no replica is available, or all attempts are used up")

    def _time_limit_error(self, forwarding: ForwardedRequest, running: bool) -> PassgateError:
        if running or forwarding.may_have_run:
            return DeadlineExceeded("no answer within the time limit", execution=ExecutionStatus.UNKNOWN)
        return no_replica_error("the request was not run within the time limit")


def _may_have_run(error: BaseException | None) -> bool:
    """Whether the request may have run in an attempt that raised ``error``; None if it returned an answer."""
    return not isinstance(error, PassgateError) or error.execution is not ExecutionStatus.NOT_RUN
