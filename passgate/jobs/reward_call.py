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

MOST_LOAD = 0.7
"""Load of a replica, in shares of its slots, from which on it gets no reward calls."""
ROOM_STEP_S = 0.02
"""Pause between looks for a route and for a replica with room."""
LATENCIES_WAITED = 8.0
"""An attempt is given up after this many times the replica's usual latency."""
LEAST_PATIENCE_S, MOST_PATIENCE_S = 0.4, 4.0
FIRST_PAUSE_S = 0.02
"""Pause after the first failed attempt; another replica may have room at once."""
MAX_PAUSE_S = 0.5
"""Longest pause between attempts."""
FAILED = 500
FIRST_SUCCESS, FIRST_REDIRECTION = 200, 300


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
        self, job_id: str, item_id: str, spec: RewardSpec, tools: RewardTools, tenant: str | None = None
    ) -> None:
        self._job_id = job_id
        self._tenant = tenant
        self._item_id = item_id
        self._spec = spec
        self._tools = tools
        self._attempts = 0
        self._failures = 0
        self._silences = 0
        self._avoided: ReplicaLife | None = None
        self._pause_s = FIRST_PAUSE_S
        self._identity = self._request(LEAST_PATIENCE_S).identity
        self._crashes = tools.caller.crashes

    async def score(self, item_attempts: int) -> Score | None:
        """Call until a score is there; return None when the call certainly fails each time.

        Args:
            item_attempts: attempts that the item's own route allows; the larger bound counts.
        """
        while True:
            await self._crashes.paused(self._identity)
            await self._crashes.released(self._identity)
            route, state = await self._wait_for_room()
            if not await self._has_place(state):
                continue
            try:
                stamp = await self._attempt(state)
            except PassgateError as error:
                self._note_failure(state.life, error)
            else:
                if stamp:
                    return Score(call_id=self._spec.id, stamp=stamp)
                if self._failures >= max(route.max_attempts, item_attempts):
                    return None
            finally:
                self._crashes.left(self._identity)
            await asyncio.sleep(self._pause_s)
            self._pause_s = min(self._pause_s * 2.0, MAX_PAUSE_S)

    async def _wait_for_room(self) -> tuple[Route, ReplicaState]:
        """Return the route in force and a replica with room; the room is reserved."""
        while True:
            while (route := self._route()) is None:
                await asyncio.sleep(ROOM_STEP_S)
            if self._crashes.is_last_chance(self._identity):
                state = await self._wait_in_front(route)  # out of the line, as others need no such replica
            else:
                async with self._tools.lines[self._terms().regions]:
                    state = await self._wait_in_front(route)
            if state is not None:
                return route, state

    async def _has_place(self, state: ReplicaState) -> bool:
        """Return whether the call may run where it has room; gives the room back if not."""
        has_place = False
        try:
            has_place = await self._crashes.has_place(self._identity)
        finally:
            if not has_place:
                state.in_flight -= 1
                self._crashes.left(self._identity)
        return has_place

    async def _wait_in_front(self, route: Route) -> ReplicaState | None:
        """Wait for room at a replica of the route; return None when the route is not in force any more."""
        while self._route() is route:
            state = self._choose(self._tools.parts.pick(route))
            if state is not None:
                state.in_flight += 1
                self._crashes.placed(self._identity, state.life)
                return state
            await asyncio.sleep(ROOM_STEP_S)
        return None

    def _route(self) -> Route | None:
        return self._tools.find_route(self._spec.host, self._spec.path)

    def _terms(self) -> SendTerms:
        """Return what binds the call now: its own route, and the tenant of its job."""
        return self._tools.terms_for(self._spec.host, self._spec.path, self._tenant)

    def _choose(self, service: str) -> ReplicaState | None:
        excluded = frozenset() if self._avoided is None else frozenset({self._avoided})
        self._avoided = None  # the only replica of a service must get its second try
        excluded |= self._crashes.apart_from(self._identity)
        if spared := self._crashes.spared():
            state = self._choose_without(service, excluded | spared)
            if state is not None:
                return state
        return self._choose_without(service, excluded)

    def _choose_without(self, service: str, excluded: frozenset[ReplicaLife]) -> ReplicaState | None:
        request = ChoiceRequest(
            services=frozenset({service}), excluded=excluded, load_below=MOST_LOAD, terms=self._terms()
        )
        return self._tools.replicas.choose(request, monotonic_s())

    async def _attempt(self, state: ReplicaState) -> str:
        """Send the call once; return the stamp of a success, or nothing after an answer of 500."""
        state.in_flight -= 1  # the exchange counts itself from here on
        patience_s = self._patience_s(state)
        exchange = self._tools.caller.open(state, self._request(patience_s))
        self._attempts += 1
        self._tools.decisions.write(
            RewardSent(
                job_id=self._job_id,
                item_id=self._item_id,
                request_id=self._spec.id,
                replica_id=exchange.life.replica_id,
                attempt=self._attempts,
            )
        )
        try:
            async with asyncio.timeout(patience_s):
                return self._stamp_of(await exchange.whole_answer())
        except TimeoutError as error:
            self._silences += 1
            exchange.too_slow()
            raise IncompleteAnswer("no answer to the reward call") from error
        finally:
            exchange.close()

    def _patience_s(self, state: ReplicaState) -> float:
        """Return how long to wait for an answer: longer after each silence, as some calls take long."""
        usual_s = state.recent_latency_s(monotonic_s())
        patience_s = max(LATENCIES_WAITED * usual_s, LEAST_PATIENCE_S) * 2.0**self._silences
        return min(patience_s, MOST_PATIENCE_S)

    def _request(self, patience_s: float) -> ReplicaRequest:
        return ReplicaRequest(
            request_id=self._spec.id,
            method="POST",
            path=self._spec.path,
            host=self._spec.host,
            headers=(),
            body=self._spec.body,
            deadline_s=monotonic_s() + patience_s,
            tenant=self._tenant,
            crash_limit=ITEM_CRASH_LIMIT,
            terms=self._terms(),
        )

    def _stamp_of(self, answer: ReplicaAnswer) -> str:
        if answer.header(self._tools.names.request_id) != self._spec.id:
            raise AnswerMismatch("answer of another request", replica=answer.replica.text())
        if answer.status == FAILED:
            self._failures += 1
            self._tell_failed(answer.replica, "the replica answered 500")
            self._avoided = answer.replica
            return ""
        stamp = answer.header(self._tools.names.replica_stamp)
        if FIRST_SUCCESS <= answer.status < FIRST_REDIRECTION and stamp:
            return stamp
        raise IncompleteAnswer(f"replica answered {answer.status}", execution=ExecutionStatus.RAN)

    def _note_failure(self, replica: ReplicaLife, error: PassgateError) -> None:
        self._avoided = replica
        self._tell_failed(replica, f"{error.code}: {error}")

    def _tell_failed(self, replica: ReplicaLife, reason: str) -> None:
        self._tools.decisions.write(
            RewardFailed(
                job_id=self._job_id,
                item_id=self._item_id,
                request_id=self._spec.id,
                replica_id=replica.replica_id,
                reason=reason,
                failures=self._failures,
            )
        )
