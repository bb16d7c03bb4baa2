"""Sends the reward call of an item, which scores its output, with retries until a replica returns a score.

A reward call is safe to repeat, so a failed attempt leads to another; only the number of answers with
status 500 is limited.  The attempts of one call are made one after the other.

Calls queue for a slot, with a queue for each set of services and allowed regions, so that calls that have no
replica left do not block the others.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, RewardFailed, RewardSent
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.eligibility.rules import SendContext
from passgate.errors import AnswerMismatch, ExecutionStatus, IncompleteAnswer, PassgateError
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.replica_client import ReplicaAnswer, ReplicaClient, ReplicaRequest
from passgate.gateway.replica_state import ReplicaQuery, ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import Route, WeightedServicePicker
from passgate.jobs.records import RewardSpec, Score
from passgate.jobs.send_permission import SendPermission
from passgate.jobs.wait_queues import QueueKey

MAX_LOAD = 0.7
"""Load from which on a replica gets no further reward calls, so that other requests find free slots."""
POLL_INTERVAL_S = 0.02
"""Time between checks for a route and for a replica with a free slot."""
TIMEOUT_PER_LATENCY = 8.0
"""Timeout of an attempt in multiples of the replica's expected latency, if none has timed out before."""
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.4, 4.0
"""Bounds of an attempt's timeout."""
FIRST_RETRY_PAUSE_S = 0.02
"""Pause after the first failed attempt; doubles with each further one, up to MAX_RETRY_PAUSE_S."""
MAX_RETRY_PAUSE_S = 0.5
"""Longest pause after a failed attempt."""
HTTP_INTERNAL_SERVER_ERROR = 500
MIN_SUCCESS_STATUS, MIN_REDIRECT_STATUS = 200, 300


class RewardCallContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies that all reward calls of a daemon share."""

    find_route: Callable[[str, str], Route | None]
    """Returns the route for a host and path by the active configuration, or None."""
    find_send_context: Callable[[str, str, str | None], SendContext]
    """Returns the restrictions on a request by the active configuration, from its host, path and tenant."""
    replica_client: ReplicaClient
    replicas: ReplicaTable
    header_names: HeaderNames
    decisions: DecisionLog
    service_picker: WeightedServicePicker
    """Picks one of a route's services by their weights."""
    slot_lock_by_queue: defaultdict[QueueKey, asyncio.Lock]
    """Lock that a call holds while it looks for a slot; calls get it in order of arrival."""


class RewardCall:
    """The reward call of one item, over all its attempts."""

    def __init__(
        self,
        job_id: str,
        item_id: str,
        spec: RewardSpec,
        context: RewardCallContext,
        send_permission: SendPermission,
        tenant: str | None = None,
    ) -> None:
        self._send_permission = send_permission
        self._job_id = job_id
        self._tenant = tenant
        self._item_id = item_id
        self._spec = spec
        self._context = context
        self._attempt_count = 0
        self._error_answers = 0
        """Number of answers of status 500, over all attempts."""
        self._timeouts = 0
        self._avoided_replica: ReplicaIncarnation | None = None
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self._identity = self._build_request(MIN_TIMEOUT_S).identity
        self._crash_guard = context.replica_client.crash_guard

    async def request_score(self, item_max_attempts: int) -> Score | None:
        """Send the call until a replica returns a score; return None after too many answers of status 500.

        Args:
            item_max_attempts: number of attempts that the item's own route allows; the limit is this or the
                number that the call's route allows, whichever is larger.
        """
        while True:
            await self._crash_guard.wait_out_pause(self._identity)
            route, state = await self._wait_for_slot()
            try:
                stamp = await self._run_attempt(state)
            except PassgateError as error:
                self._record_failure(state.incarnation, error)
            else:
                if stamp:
                    return Score(call_id=self._spec.id, stamp=stamp)
                if self._error_answers >= max(route.max_attempts, item_max_attempts):
                    return None
            await asyncio.sleep(self._retry_pause_s)
            self._retry_pause_s = min(self._retry_pause_s * 2.0, MAX_RETRY_PAUSE_S)

    async def _wait_for_slot(self) -> tuple[Route, ReplicaState]:
        """Wait for a route and a replica with a free slot; return them with the slot reserved."""
        while True:
            await self._send_permission.wait_until_granted()
            while (route := self._find_route()) is None:
                await asyncio.sleep(POLL_INTERVAL_S)
            async with self._context.slot_lock_by_queue[self._queue_key(route)]:
                state = await self._poll_for_slot(route)
            if state is not None:
                return route, state

    async def _poll_for_slot(self, route: Route) -> ReplicaState | None:
        """Wait for a free slot and reserve it.

        Returns None if a new configuration replaces the route, or the call may not be sent any more.
        """
        while self._find_route() is route and self._send_permission.is_granted():
            state = self._choose_replica(self._context.service_picker.pick(route))
            if state is not None:
                state.in_flight += 1
                return state
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def _find_route(self) -> Route | None:
        return self._context.find_route(self._spec.host, self._spec.path)

    def _queue_key(self, route: Route) -> QueueKey:
        regions = self._find_send_context().allowed_regions
        return QueueKey(model="", regions=regions, services=route.services)

    def _find_send_context(self) -> SendContext:
        """Return the call's restrictions by the active configuration: its own route and its job's tenant."""
        return self._context.find_send_context(self._spec.host, self._spec.path, self._tenant)

    def _choose_replica(self, service: str) -> ReplicaState | None:
        excluded = frozenset() if self._avoided_replica is None else frozenset({self._avoided_replica})
        self._avoided_replica = None  # exclude it once only: the service may have no other replica
        query = ReplicaQuery(
            services=frozenset({service}),
            excluded=excluded,
            isolation=self._crash_guard.isolation_of(self._identity),
            load_below=MAX_LOAD,
            send_context=self._find_send_context(),
        )
        return self._context.replicas.choose(query, monotonic_s())

    async def _run_attempt(self, state: ReplicaState) -> str:
        """Send the call once; return the stamp of a success, or an empty string after a status of 500.

        Raises PassgateError for every other outcome.
        """
        state.in_flight -= 1  # the attempt counts itself as in flight from here on
        timeout_s = self._timeout_s(state)
        attempt = self._context.replica_client.start_attempt(state, self._build_request(timeout_s))
        self._attempt_count += 1
        self._context.decisions.write(
            RewardSent(
                job_id=self._job_id,
                item_id=self._item_id,
                request_id=self._spec.id,
                replica_id=attempt.incarnation.replica_id,
                attempt=self._attempt_count,
            )
        )
        try:
            async with asyncio.timeout(timeout_s):
                return self._check_answer(await attempt.read_answer())
        except TimeoutError as error:
            self._timeouts += 1
            attempt.record_timeout()
            raise IncompleteAnswer("no answer to the reward call") from error
        finally:
            attempt.close()

    def _timeout_s(self, state: ReplicaState) -> float:
        """Return the next attempt's timeout, doubled for each earlier timeout, as some calls take long."""
        expected_latency_s = state.expected_latency_s(monotonic_s())
        timeout_s = max(TIMEOUT_PER_LATENCY * expected_latency_s, MIN_TIMEOUT_S) * 2.0**self._timeouts
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
            send_before_s=self._send_permission.granted_until_s(),
            tenant=self._tenant,
            is_owed=True,
            send_context=self._find_send_context(),
        )

    def _check_answer(self, answer: ReplicaAnswer) -> str:
        """Return the stamp of a success, or an empty string after a status of 500.

        Raises AnswerMismatch if the answer doesn't name this call, and IncompleteAnswer for any other answer.
        """
        if answer.header(self._context.header_names.request_id) != self._spec.id:
            raise AnswerMismatch("answer of another request", replica=answer.incarnation.to_text())
        if answer.status == HTTP_INTERNAL_SERVER_ERROR:
            self._error_answers += 1
            self._write_failure(answer.incarnation, "the replica answered 500")
            self._avoided_replica = answer.incarnation
            return ""
        stamp = answer.header(self._context.header_names.replica_stamp)
        if MIN_SUCCESS_STATUS <= answer.status < MIN_REDIRECT_STATUS and stamp:
            return stamp
        raise IncompleteAnswer(f"replica answered {answer.status}", execution=ExecutionStatus.RAN)

    def _record_failure(self, incarnation: ReplicaIncarnation, error: PassgateError) -> None:
        self._avoided_replica = incarnation
        self._write_failure(incarnation, f"{error.code}: {error}")

    def _write_failure(self, incarnation: ReplicaIncarnation, reason: str) -> None:
        self._context.decisions.write(
            RewardFailed(
                job_id=self._job_id,
                item_id=self._item_id,
                request_id=self._spec.id,
                replica_id=incarnation.replica_id,
                reason=reason,
                failures=self._error_answers,
            )
        )
