"""Has the whole text of an item scored: the reward call, repeated until it brings a score.

A reward call may be repeated, so every failure but one leads to a further attempt; an
item is given up only after as many answers of 500 as its routes allow, each of them
read from a replica.  Attempts follow each other, so nothing is counted twice.

Calls wait in line for a replica with room, and leave one place in some at each replica
to callers of the same service.  Only the first in line looks for room.  Calls that are bound to
different sets of regions stand in different lines: one whose regions have no replica left would
else hold up all others.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, RewardFailed, RewardSent
from passgate.eligibility.replica_info import ReplicaLife
from passgate.eligibility.rules import SendTerms
from passgate.errors import AnswerMismatch, ExecutionStatus, IncompleteAnswer, PassgateError
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.replica_call import ReplicaAnswer, ReplicaCaller, ReplicaRequest
from passgate.gateway.replicas import ChoiceRequest, ReplicaState, ReplicaTable
from passgate.gateway.routes import Route, WeightedChoice
from passgate.jobs.records import RewardSpec, Score
from passgate.quarantine.identity import ITEM_CRASH_LIMIT

MAX_LOAD = 0.7
"""Load of a replica, in shares of its slots, from which on it gets no reward calls."""
POLL_INTERVAL_S = 0.02
"""Pause between looks for a route and for a replica with room."""
TIMEOUT_PER_LATENCY = 8.0
"""An attempt is given up after this many times the replica's usual latency."""
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.4, 4.0
FIRST_RETRY_PAUSE_S = 0.02
"""Pause after the first failed attempt; another replica may have room at once."""
MAX_RETRY_PAUSE_S = 0.5
"""Longest pause between attempts."""
HTTP_INTERNAL_SERVER_ERROR = 500
MIN_SUCCESS_STATUS, MIN_REDIRECT_STATUS = 200, 300


class RewardTools(msgspec.Struct, frozen=True, kw_only=True):
    """What all reward calls of a daemon share."""

    find_route: Callable[[str, str], Route | None]
    """Returns the route in force of a host and path, or None."""
    terms_for: Callable[[str, str, str | None], SendTerms]
    """Returns what binds a request of a host, path and tenant by the configuration in force."""
    caller: ReplicaCaller
    replicas: ReplicaTable
    names: HeaderNames
    decisions: DecisionLog
    parts: WeightedChoice
    lines: defaultdict[frozenset[str] | None, asyncio.Lock]
    """By the regions that may serve a call: held by the one that looks for room; hands itself on in order."""


class RewardCall:
    """The reward call of one item, over all its attempts."""

    def __init__(
        self, job_id: str, item_id: str, spec: RewardSpec, context: RewardTools, tenant: str | None = None
    ) -> None:
        self._job_id = job_id
        self._tenant = tenant
        self._item_id = item_id
        self._spec = spec
        self._context = context
        self._attempt_count = 0
        self._error_answers = 0
        self._timeouts = 0
        self._avoided_replica: ReplicaLife | None = None
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self._identity = self._build_request(MIN_TIMEOUT_S).identity
        self._crashes = context.caller.crashes

    async def request_score(self, item_max_attempts: int) -> Score | None:
        """Call until a score is there; return None when the call certainly fails each time.

        Args:
            item_attempts: attempts that the item's own route allows; the larger bound counts.
        """
        while True:
            await self._crashes.paused(self._identity)
            await self._crashes.released(self._identity)
            route, state = await self._wait_for_slot()
            if not await self._confirm_slot(state):
                continue
            try:
                stamp = await self._run_attempt(state)
            except PassgateError as error:
                self._record_failure(state.life, error)
            else:
                if stamp:
                    return Score(call_id=self._spec.id, stamp=stamp)
                if self._error_answers >= max(route.max_attempts, item_max_attempts):
                    return None
            finally:
                self._crashes.left(self._identity)
            await asyncio.sleep(self._retry_pause_s)
            self._retry_pause_s = min(self._retry_pause_s * 2.0, MAX_RETRY_PAUSE_S)

    async def _wait_for_slot(self) -> tuple[Route, ReplicaState]:
        """Return the route in force and a replica with room; the room is reserved."""
        while True:
            while (route := self._route()) is None:
                await asyncio.sleep(POLL_INTERVAL_S)
            if self._crashes.is_last_chance(self._identity):
                state = await self._poll_for_slot(route)  # out of the line, as others need no such replica
            else:
                async with self._context.lines[self._terms().regions]:
                    state = await self._poll_for_slot(route)
            if state is not None:
                return route, state

    async def _confirm_slot(self, state: ReplicaState) -> bool:
        """Return whether the call may run where it has room; gives the room back if not."""
        may_run = False
        try:
            may_run = await self._crashes.has_place(self._identity)
        finally:
            if not may_run:
                state.in_flight -= 1
                self._crashes.left(self._identity)
        return may_run

    async def _poll_for_slot(self, route: Route) -> ReplicaState | None:
        """Wait for room at a replica of the route; return None when the route is not in force any more."""
        while self._route() is route:
            state = self._choose_replica(self._context.parts.pick(route))
            if state is not None:
                state.in_flight += 1
                self._crashes.placed(self._identity, state.life)
                return state
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def _route(self) -> Route | None:
        return self._context.find_route(self._spec.host, self._spec.path)

    def _terms(self) -> SendTerms:
        """Return what binds the call now: its own route, and the tenant of its job."""
        return self._context.terms_for(self._spec.host, self._spec.path, self._tenant)

    def _choose_replica(self, service: str) -> ReplicaState | None:
        excluded = frozenset() if self._avoided_replica is None else frozenset({self._avoided_replica})
        self._avoided_replica = None  # the only replica of a service must get its second try
        excluded |= self._crashes.apart_from(self._identity)
        if spared := self._crashes.spared():
            state = self._choose_replica_excluding(service, excluded | spared)
            if state is not None:
                return state
        return self._choose_replica_excluding(service, excluded)

    def _choose_replica_excluding(
        self, service: str, excluded: frozenset[ReplicaLife]
    ) -> ReplicaState | None:
        request = ChoiceRequest(
            services=frozenset({service}), excluded=excluded, load_below=MAX_LOAD, terms=self._terms()
        )
        return self._context.replicas.choose(request, monotonic_s())

    async def _run_attempt(self, state: ReplicaState) -> str:
        """Send the call once; return the stamp of a success, or nothing after an answer of 500."""
        state.in_flight -= 1  # the exchange counts itself from here on
        timeout_s = self._timeout_s(state)
        exchange = self._context.caller.open(state, self._build_request(timeout_s))
        self._attempt_count += 1
        self._context.decisions.write(
            RewardSent(
                job_id=self._job_id,
                item_id=self._item_id,
                request_id=self._spec.id,
                replica_id=exchange.life.replica_id,
                attempt=self._attempt_count,
            )
        )
        try:
            async with asyncio.timeout(timeout_s):
                return self._check_answer(await exchange.whole_answer())
        except TimeoutError as error:
            self._timeouts += 1
            exchange.too_slow()
            raise IncompleteAnswer("no answer to the reward call") from error
        finally:
            exchange.close()

    def _timeout_s(self, state: ReplicaState) -> float:
        """Return how long to wait for an answer: longer after each silence, as some calls take long."""
        recent_latency_s = state.recent_latency_s(monotonic_s())
        timeout_s = max(TIMEOUT_PER_LATENCY * recent_latency_s, MIN_TIMEOUT_S) * 2.0**self._timeouts
        return min(timeout_s, MAX_TIMEOUT_S)

    def _build_request(self, timeout_s: float) -> ReplicaRequest:
        return ReplicaRequest(
            request_id=self._spec.id,
            method="POST",
            path=self._spec.path,
            host=self._spec.host,
            headers=(),
            body=self._spec.body,
            deadline_s=monotonic_s() + timeout_s,
            tenant=self._tenant,
            crash_limit=ITEM_CRASH_LIMIT,
            terms=self._terms(),
        )

    def _check_answer(self, answer: ReplicaAnswer) -> str:
        if answer.header(self._context.names.request_id) != self._spec.id:
            raise AnswerMismatch("answer of another request", replica=answer.replica.text())
        if answer.status == HTTP_INTERNAL_SERVER_ERROR:
            self._error_answers += 1
            self._write_failure(answer.replica, "the replica answered 500")
            self._avoided_replica = answer.replica
            return ""
        stamp = answer.header(self._context.names.replica_stamp)
        if MIN_SUCCESS_STATUS <= answer.status < MIN_REDIRECT_STATUS and stamp:
            return stamp
        raise IncompleteAnswer(f"replica answered {answer.status}", execution=ExecutionStatus.RAN)

    def _record_failure(self, replica: ReplicaLife, error: PassgateError) -> None:
        self._avoided_replica = replica
        self._write_failure(replica, f"{error.code}: {error}")

    def _write_failure(self, replica: ReplicaLife, reason: str) -> None:
        self._context.decisions.write(
            RewardFailed(
                job_id=self._job_id,
                item_id=self._item_id,
                request_id=self._spec.id,
                replica_id=replica.replica_id,
                reason=reason,
                failures=self._error_answers,
            )
        )
