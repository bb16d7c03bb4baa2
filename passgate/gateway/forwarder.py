"""Forwards one plain request to replicas: attempts, hedging, time limits, refusals.

A repeatable request may go to several replicas, one after the other or, when the
first is slow, at the same time; the first whole answer wins.  Any other request
goes on to a second replica only when the first certainly did not run it.
"""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.eligibility.replica_info import ReplicaLife
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    PassgateError,
)
from passgate.gateway.access import Caller
from passgate.gateway.forwarding import ForwarderBase, Forwarding, refusal
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, answered_status
from passgate.gateway.replica_call import ReplicaAnswer, cancel_all, forwarded_headers
from passgate.gateway.replicas import ReplicaState
from passgate.gateway.routes import Route

HEDGE_SHARE = 0.4
"""Share of a route's target latency after which a second replica is asked as well."""
WAIT_SHARE = 0.2
"""Share of the target latency for which a request waits for a replica before it is refused."""
WAIT_STEP_S = 0.02
"""Time between looks for a replica with room; a tenth of the shortest target latency."""
FIRST_REDIRECTION = 300
SERVER_ERROR = 500


class _Outcome(msgspec.Struct, kw_only=True):
    """What the attempts of one request have brought so far."""

    failure: PassgateError | None = None
    fallback: ReplicaAnswer | None = None
    """A whole answer that reports a failure; given when nothing better comes."""


class _Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt that is under way."""

    replica: ReplicaLife
    began_s: float
    """Loop time at which it was sent."""
    sent_at_s: float
    """Time of day at which it was sent."""


Running = dict[asyncio.Task[ReplicaAnswer], _Attempt]
"""Attempts that are under way."""


class Forwarder(ForwarderBase):
    """Forwards requests of plain routes."""

    async def forward(self, request: IncomingRequest, route: Route, caller: Caller) -> GatewayAnswer:
        """Return the answer of a replica; raises PassgateError when there is none."""
        forwarding = self._begin(request, route, caller)
        try:
            answer = await self._run(forwarding)
        except PassgateError as error:
            self._note_end(forwarding, answered_status(error), error.code)
            raise
        self._note_end(forwarding, answer.status, "")
        return GatewayAnswer(
            status=answer.status, headers=tuple(forwarded_headers(answer.headers)), body=answer.body
        )

    async def _run(self, forwarding: Forwarding) -> ReplicaAnswer:
        running: Running = {}
        outcome = _Outcome()
        try:
            while True:
                if not running and not await self._send_next(forwarding, running):
                    return self._last_word(forwarding, outcome)
                await self._wait(forwarding, running)
                answer = self._collect(forwarding, running, outcome)
                if answer is not None:
                    return answer
                if monotonic_s() >= forwarding.limit_s:
                    raise self._out_of_time(forwarding, bool(running))
                if running and self._may_hedge(forwarding):
                    self._send(forwarding, running, self._choose(forwarding))
        finally:
            self._count_unfinished(forwarding, running)
            await cancel_all(running)

    async def _send_next(self, forwarding: Forwarding, running: Running) -> bool:
        """Send to the next replica, waiting shortly for one; return False to give up."""
        self._check_regions(forwarding)
        if not forwarding.may_go_on or not await self._spares_replicas(forwarding):
            return False
        patience_s = monotonic_s() + WAIT_SHARE * forwarding.route.target_latency_s
        while (state := self._choose(forwarding)) is None:
            if monotonic_s() >= min(patience_s, forwarding.limit_s):
                return False
            await asyncio.sleep(WAIT_STEP_S)
        if forwarding.may_have_run and not self._may_send(forwarding):
            return False
        self._check_access(forwarding)
        self._send(forwarding, running, state)
        return True

    def _may_hedge(self, forwarding: Forwarding) -> bool:
        if not forwarding.repeatable or not forwarding.attempts_left:
            return False
        if monotonic_s() < self._hedge_at_s(forwarding) or not self._may_send(forwarding):
            return False
        # A suspect that runs at two replicas may end both before either end tells anything.
        return not self._caller.crashes.is_suspect(forwarding.identity)

    def _hedge_at_s(self, forwarding: Forwarding) -> float:
        delay_s = HEDGE_SHARE * forwarding.route.target_latency_s
        return forwarding.request.arrived_s + delay_s * len(forwarding.tried)

    def _send(self, forwarding: Forwarding, running: Running, state: ReplicaState | None) -> None:
        if state is None:
            return
        self._note_sent(forwarding, state)
        call = self._caller.call(state, self._replica_request(forwarding))
        running[asyncio.get_running_loop().create_task(call)] = _Attempt(
            replica=state.life, began_s=monotonic_s(), sent_at_s=self._usage_now_s()
        )

    async def _wait(self, forwarding: Forwarding, running: Running) -> None:
        until_s = forwarding.limit_s
        if forwarding.repeatable and forwarding.attempts_left:
            until_s = min(until_s, max(self._hedge_at_s(forwarding), monotonic_s() + WAIT_STEP_S))
        left_s = max(until_s - monotonic_s(), 0.0)
        await asyncio.wait(running, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)

    def _collect(self, forwarding: Forwarding, running: Running, outcome: _Outcome) -> ReplicaAnswer | None:
        for task in [task for task in running if task.done()]:
            attempt = running.pop(task)
            error = task.exception()
            if _has_run(error):
                self._count_run(forwarding, attempt.sent_at_s)
            if error is None:
                answer = task.result()
                if self._is_final(forwarding, answer):
                    return answer
                outcome.fallback = answer
                forwarding.may_have_run = True
            elif isinstance(error, PassgateError):
                self._note_failed_attempt(forwarding, attempt.replica, error, attempt.began_s)
                outcome.failure = error
            else:
                raise error
        return None

    def _count_unfinished(self, forwarding: Forwarding, running: Running) -> None:
        """Count the attempts that are cut off because another one, or nobody, is waited for."""
        for attempt in running.values():
            self._count_run(forwarding, attempt.sent_at_s)

    def _is_final(self, forwarding: Forwarding, answer: ReplicaAnswer) -> bool:
        if answer.status >= SERVER_ERROR:
            return not (forwarding.repeatable and forwarding.attempts_left)
        stamped = any(name.lower() == self._names.replica_stamp.lower() for name, _ in answer.headers)
        return stamped or answer.status >= FIRST_REDIRECTION

    def _last_word(self, forwarding: Forwarding, outcome: _Outcome) -> ReplicaAnswer:
        fallback = outcome.fallback
        if fallback is not None and fallback.status >= FIRST_REDIRECTION:
            return fallback
        if forwarding.may_have_run:
            raise BackendUnreachable("no replica gave a whole answer", execution=ExecutionStatus.UNKNOWN)
        if isinstance(outcome.failure, BackendRefused):
            raise refusal("replicas are full")
        raise self._refusal(forwarding, "no replica can be reached")

    def _out_of_time(self, forwarding: Forwarding, running: bool) -> PassgateError:
        if running or forwarding.may_have_run:
            return DeadlineExceeded("time limit is over", execution=ExecutionStatus.UNKNOWN)
        return refusal("no replica in time")


def _has_run(error: BaseException | None) -> bool:
    """Whether an attempt that ended so was begun, as far as that is known."""
    return not isinstance(error, PassgateError) or error.execution is not ExecutionStatus.NOT_RUN
