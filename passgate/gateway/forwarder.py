"""Forwards one request to replicas: attempts, hedging, time limits, refusals.

A repeatable request may go to several replicas, one after the other or, when the
first is slow, at the same time; the first whole answer wins.  Any other request
goes on to a second replica only when the first certainly did not run it.
"""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ForwardEnded, ForwardSent
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    NoReplicaAvailable,
    PassgateError,
)
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.messages import GatewayAnswer, IncomingRequest
from passgate.gateway.replica_call import (
    ReplicaAnswer,
    ReplicaCaller,
    ReplicaRequest,
    cancel_all,
    forwarded_headers,
)
from passgate.gateway.replicas import ChoiceRequest, ReplicaState, ReplicaTable
from passgate.gateway.routes import Route, RouteKind, WeightedChoice

HEDGE_SHARE = 0.4
"""Share of a route's target latency after which a second replica is asked as well."""
WAIT_SHARE = 0.2
"""Share of the target latency for which a request waits for a replica before it is refused."""
WAIT_STEP_S = 0.02
SERVER_ERROR = 500
RETRY_AFTER_S = 0.15
DEFAULT_DEADLINE_MS = 30_000


class Forwarding(msgspec.Struct, kw_only=True):
    """State of one request while it is forwarded."""

    request: IncomingRequest
    route: Route
    service: str
    request_id: str
    limit_s: float
    """Loop time at which the request is answered in any case."""
    deadline_s: float
    """Loop time at which the caller leaves."""
    tried: list[str] = []
    failure: PassgateError | None = None
    may_have_run: bool = False
    fallback: ReplicaAnswer | None = None
    """A whole answer that reports a failure; given when nothing better comes."""

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is RouteKind.SAFE

    @property
    def attempts_left(self) -> bool:
        """Whether it may be sent once more."""
        return len(self.tried) < self.route.max_attempts


class Forwarder:
    """Forwards requests of plain routes."""

    def __init__(
        self, caller: ReplicaCaller, replicas: ReplicaTable, names: HeaderNames, decisions: DecisionLog
    ) -> None:
        self._caller = caller
        self._replicas = replicas
        self._names = names
        self._weights = WeightedChoice()
        self._decisions = decisions

    async def forward(self, request: IncomingRequest, route: Route) -> GatewayAnswer:
        """Return the answer of a replica; raises PassgateError when there is none."""
        forwarding = self._start(request, route)
        try:
            answer = await self._run(forwarding)
        except PassgateError as error:
            self._note_end(forwarding, error.http_status, error.code)
            raise
        self._note_end(forwarding, answer.status, "")
        return GatewayAnswer(
            status=answer.status, headers=tuple(forwarded_headers(answer.headers)), body=answer.body
        )

    def _start(self, request: IncomingRequest, route: Route) -> Forwarding:
        told_ms = request.header(self._names.deadline_ms)
        deadline_ms = int(told_ms) if told_ms.isdigit() else DEFAULT_DEADLINE_MS
        deadline_s = request.arrived_s + deadline_ms / 1000
        return Forwarding(
            request=request,
            route=route,
            service=self._weights.pick(route),
            request_id=request.header(self._names.request_id),
            limit_s=min(deadline_s, request.arrived_s + route.timeout_s),
            deadline_s=deadline_s,
        )

    async def _run(self, forwarding: Forwarding) -> ReplicaAnswer:
        running: dict[asyncio.Task[ReplicaAnswer], str] = {}
        try:
            while True:
                if not running and not await self._send_next(forwarding, running):
                    return self._last_word(forwarding)
                await self._wait(forwarding, running)
                answer = self._collect(forwarding, running)
                if answer is not None:
                    return answer
                if monotonic_s() >= forwarding.limit_s:
                    raise self._out_of_time(forwarding, bool(running))
                if running and self._may_hedge(forwarding):
                    self._send(forwarding, running, self._choose(forwarding))
        finally:
            await cancel_all(running)

    async def _send_next(self, forwarding: Forwarding, running: dict[asyncio.Task, str]) -> bool:
        """Send to the next replica, waiting shortly for one; return False to give up."""
        if not forwarding.attempts_left or (forwarding.may_have_run and not forwarding.repeatable):
            return False
        patience_s = monotonic_s() + WAIT_SHARE * forwarding.route.target_latency_s
        while (state := self._choose(forwarding)) is None:
            if monotonic_s() >= min(patience_s, forwarding.limit_s):
                return False
            await asyncio.sleep(WAIT_STEP_S)
        self._send(forwarding, running, state)
        return True

    def _choose(self, forwarding: Forwarding) -> ReplicaState | None:
        request = ChoiceRequest(
            services=frozenset({forwarding.service}), excluded=frozenset(forwarding.tried)
        )
        return self._replicas.choose(request, monotonic_s())

    def _may_hedge(self, forwarding: Forwarding) -> bool:
        if not forwarding.repeatable or not forwarding.attempts_left:
            return False
        return monotonic_s() >= self._hedge_at_s(forwarding) and self._choose(forwarding) is not None

    def _hedge_at_s(self, forwarding: Forwarding) -> float:
        delay_s = HEDGE_SHARE * forwarding.route.target_latency_s
        return forwarding.request.arrived_s + delay_s * len(forwarding.tried)

    def _send(
        self, forwarding: Forwarding, running: dict[asyncio.Task, str], state: ReplicaState | None
    ) -> None:
        if state is None:
            return
        replica_id = state.info.replica_id
        forwarding.tried.append(replica_id)
        self._decisions.write(
            ForwardSent(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                replica_id=replica_id,
                attempt=len(forwarding.tried),
                in_flight=state.in_flight,
            )
        )
        call = self._caller.call(state, self._replica_request(forwarding))
        running[asyncio.get_running_loop().create_task(call)] = replica_id

    def _replica_request(self, forwarding: Forwarding) -> ReplicaRequest:
        request = forwarding.request
        return ReplicaRequest(
            request_id=forwarding.request_id,
            method=request.method,
            path=request.path,
            host=request.host,
            headers=request.headers,
            body=request.body,
            deadline_s=forwarding.deadline_s,
            repeatable=forwarding.repeatable,
        )

    async def _wait(self, forwarding: Forwarding, running: dict[asyncio.Task, str]) -> None:
        until_s = forwarding.limit_s
        if forwarding.repeatable and forwarding.attempts_left:
            until_s = min(until_s, max(self._hedge_at_s(forwarding), monotonic_s() + WAIT_STEP_S))
        left_s = max(until_s - monotonic_s(), 0.0)
        await asyncio.wait(running, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)

    def _collect(self, forwarding: Forwarding, running: dict[asyncio.Task, str]) -> ReplicaAnswer | None:
        for task in [task for task in running if task.done()]:
            del running[task]
            error = task.exception()
            if error is None:
                answer = task.result()
                if self._is_final(forwarding, answer):
                    return answer
                forwarding.fallback = answer
                forwarding.may_have_run = True
            elif isinstance(error, PassgateError):
                forwarding.failure = error
                forwarding.may_have_run |= error.execution is not ExecutionStatus.NOT_RUN
            else:
                raise error
        return None

    def _is_final(self, forwarding: Forwarding, answer: ReplicaAnswer) -> bool:
        if answer.status >= SERVER_ERROR:
            return not (forwarding.repeatable and forwarding.attempts_left)
        stamped = any(name.lower() == self._names.replica_stamp.lower() for name, _ in answer.headers)
        return stamped or answer.status >= 300

    def _last_word(self, forwarding: Forwarding) -> ReplicaAnswer:
        fallback = forwarding.fallback
        if fallback is not None and fallback.status >= 300:
            return fallback
        if forwarding.may_have_run:
            raise BackendUnreachable("no replica gave a whole answer", execution=ExecutionStatus.UNKNOWN)
        if isinstance(forwarding.failure, BackendRefused):
            raise NoReplicaAvailable(
                "replicas are full", execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S
            )
        raise NoReplicaAvailable(
            "no replica can be reached", execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S
        )

    def _out_of_time(self, forwarding: Forwarding, running: bool) -> PassgateError:
        if running or forwarding.may_have_run:
            return DeadlineExceeded("time limit is over", execution=ExecutionStatus.UNKNOWN)
        return NoReplicaAvailable(
            "no replica in time", execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S
        )

    def _note_end(self, forwarding: Forwarding, status: int, reason: str) -> None:
        self._decisions.write(
            ForwardEnded(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                status=status,
                reason=reason,
                replicas=tuple(forwarding.tried),
                elapsed_ms=round((monotonic_s() - forwarding.request.arrived_s) * 1000, 1),
            )
        )
