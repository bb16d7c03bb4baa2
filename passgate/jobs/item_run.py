"""Runs one item of a job at replicas until its output is complete or the item has failed.

An interrupted output resumes after the last event received, if possible at a replica of the same weights.  It
starts over if its events turn out to be made by versions of the weights that its job and route don't accept.
An item is owed: it is sent again however many replicas crashed while they ran it, but avoids replicas at
which a caller's request that may crash them runs alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decimal_numbers import parse_decimal
from passgate.decisions import DecisionLog, ItemFailed, ItemSent
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.eligibility.rules import SendContext
from passgate.errors import (
    BackendRefused,
    ExecutionStatus,
    IncompleteAnswer,
    MovedElsewhere,
    PassgateError,
    VersionTooOld,
)
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.replica_client import ReplicaAttempt, ReplicaClient, ReplicaRequest
from passgate.gateway.replica_state import FULL_LOAD, ReplicaQuery, ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import Route, WeightedServicePicker
from passgate.jobs.durations import OutputDurations
from passgate.jobs.event_stream import EventStream, RecordedEvents
from passgate.jobs.group_affinity import GroupAffinity
from passgate.jobs.item_checkpointer import ItemCheckpointer
from passgate.jobs.job_route import JobRoute, ServiceChoice
from passgate.jobs.job_timing import JobTiming
from passgate.jobs.records import ItemSpec, JobSpec, Result, ResultState
from passgate.jobs.reward_call import RewardCallContext
from passgate.jobs.send_permission import SendPermission
from passgate.jobs.stall_detector import FIRST_BYTES_LIMIT_S, StallDetector, silence_limit_s
from passgate.jobs.version_rule import VersionRule
from passgate.jobs.wait_queues import QueueKey, Rank, WaitQueues

SLOT_POLL_INTERVAL_S = 0.01
"""Time between checks for a replica with a free slot."""
PACE_CHECK_EVENTS = 4
"""An attempt looks for a faster replica when its number of events is a multiple of this."""
LONG_OUTPUT_EVENTS = 30
"""Outputs with this many events count as long: they are likely to continue, and delay their training step."""
LONG_OUTPUT_MAX_TIME_RATIO = 0.83
"""A long output may move once to a replica whose latency is below this share of the present one's."""
RETRY_PAUSE_S = 0.02
"""Pause after a failed attempt; none after a refusal by the replica or a move to a faster one."""
ATTEMPT_DEADLINE_S = 30.0
"""Time limit of an attempt, which the replica gets as its deadline."""
HTTP_INTERNAL_SERVER_ERROR, HTTP_UNPROCESSABLE_CONTENT = 500, 422
HTTP_OK = 200


class ItemRunContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies that all item runs of a job share."""

    job_route: JobRoute
    service_picker: WeightedServicePicker
    """Picks one of the route's services by their weights."""
    replica_client: ReplicaClient
    replicas: ReplicaTable
    header_names: HeaderNames
    decisions: DecisionLog
    wait_queues: WaitQueues
    durations: OutputDurations
    reward_context: RewardCallContext
    stall_detector: StallDetector
    send_permission: SendPermission
    """Permission to send for the job, which each attempt needs."""
    find_send_context: Callable[[str, str, str | None, frozenset[str]], SendContext]
    """Returns the restrictions on a request, from its host, path and tenant, and the regions that apply if
    its route no longer exists."""
    group_affinity: GroupAffinity

    @property
    def route(self) -> Route:
        """The job's route by the active configuration, or the last known one; not to be kept."""
        return self.job_route.current

    def version_rule(self, spec: JobSpec) -> VersionRule:
        """Return what the job and its route require, by the active configuration, of a text's versions."""
        return VersionRule(min_version=spec.min_version, single=self.route.single_version)

    def choose_service(self, waiting_since_s: float) -> ServiceChoice:
        """Return the choice of services for an item that has waited since a loop time."""
        return ServiceChoice(self.job_route, self.service_picker, waiting_since_s)

    def send_context_of(self, spec: JobSpec) -> SendContext:
        """Return the restrictions on a job's items by the active configuration."""
        return self.find_send_context(spec.host, spec.path, spec.tenant, self.route.allowed_regions)

    def expected_tokens(self, item: ItemSpec) -> float:
        """Return the caller's estimate of the output's length in tokens; 0 if it is missing or no number."""
        length_hint = item.headers.get(self.header_names.length_hint, "")
        try:
            return float(length_hint)
        except ValueError:
            return 0.0


class ItemRun:
    """Run of one item, over all its attempts."""

    def __init__(
        self,
        spec: JobSpec,
        item: ItemSpec,
        context: ItemRunContext,
        recorded_events: RecordedEvents | None,
        rank: Rank,
        timing: JobTiming,
        service_choice: ServiceChoice,
    ) -> None:
        """Create the run; it resumes after ``recorded_events`` if the job accepts their weight versions."""
        self.item = item
        self._job_timing = timing
        self._item_times = timing.item_times(item.id)
        self._rank = rank
        self._service_choice = service_choice
        self.started_s = monotonic_s()
        self.attempts = 0
        self._spec = spec
        self._context = context
        self._stream = EventStream(context.header_names.weight_versions)
        usable_events = (
            recorded_events if recorded_events is not None and self._is_usable(recorded_events) else None
        )
        self.resumed = usable_events is not None
        """Whether this run resumes after the recorded events of an earlier run."""
        self.last_attempt_sent_s = self.started_s
        """Loop time at which the last attempt was sent, or the run was created if there was none."""
        if usable_events is not None:
            self._stream.resume_after(usable_events)
        self.checkpointer = ItemCheckpointer(spec.job_id, item.id, self._stream, usable_events)
        self._error_answers = 0
        """Number of answers of status 500, over all attempts."""
        self._moved_for_length = False
        self._avoided_replica: ReplicaIncarnation | None = None
        """Replica of the last failed attempt; not chosen while another replica is available."""
        self._reserved_replica: ReplicaState | None = None
        """Replica at which a slot is reserved for the next attempt."""
        self._identity = self._build_request().identity
        self._crash_guard = context.replica_client.crash_guard

    @property
    def _version_rule(self) -> VersionRule:
        return self._context.version_rule(self._spec)

    def _is_usable(self, recorded_events: RecordedEvents) -> bool:
        """Whether the run may resume after recorded events."""
        return bool(recorded_events.data) and self._version_rule.allows(recorded_events.versions)

    def start_over(self) -> None:
        """Discard all events, so that the next attempt starts from the beginning."""
        self._stream.discard_events()
        self.checkpointer.start_new_run()

    def _require_allowed_versions(self, *further: int) -> None:
        """Raise VersionTooOld or VersionChanged, and start over, if the text must not have its versions.

        Args:
            further: versions that are about to make further events.
        """
        violation = self._version_rule.violation((*self._stream.versions, *further))
        if violation is not None:
            self.start_over()
            raise violation

    async def wait_for_replica(self) -> None:
        """Wait in the queue until a replica has a free slot for the item, and reserve it."""
        state = None
        while state is None:
            await self._context.send_permission.wait_until_granted()
            state = await self._wait_in_queue(self._queue_key())
        self._reserved_replica = state
        state.in_flight += 1

    def _queue_key(self) -> QueueKey:
        """Return the key of the item's queue by the active configuration and the time that it has waited."""
        return QueueKey(
            model=self._spec.model,
            regions=self._context.send_context_of(self._spec).allowed_regions,
            services=self._service_choice.services(monotonic_s()),
        )

    async def _wait_in_queue(self, queue_key: QueueKey) -> ReplicaState | None:
        """Wait in a queue for a replica with a free slot.

        Returns None if the item belongs in another queue by now, or may not be sent any more.
        """
        with self._context.wait_queues.queued(queue_key, self._rank):
            while self._may_send and self._queue_key() == queue_key:
                if (
                    self._context.wait_queues.is_first(queue_key, self._rank)
                    and (state := self._choose_replica()) is not None
                ):
                    return state
                await asyncio.sleep(SLOT_POLL_INTERVAL_S)
        return None

    def release_slot(self) -> None:
        """Release a reserved slot that no attempt has used; does nothing when none is reserved."""
        if self._reserved_replica is not None:
            self._reserved_replica.in_flight -= 1
            self._reserved_replica = None

    def _replica_query(self, excluded_replica: ReplicaIncarnation | None) -> ReplicaQuery:
        query = ReplicaQuery(
            services=self._service_choice.services(monotonic_s()),
            excluded=frozenset() if excluded_replica is None else frozenset({excluded_replica}),
            isolation=self._crash_guard.isolation_of(self._identity),
            model=self._spec.model,
            min_version=self._spec.min_version,
            load_below=FULL_LOAD,
            send_context=self._context.send_context_of(self._spec),
        )
        preferred = self._context.group_affinity.choose_preferred(self.item.group, query, monotonic_s())
        return msgspec.structs.replace(query, preferred=preferred)

    def _choose_replica(self) -> ReplicaState | None:
        query = self._replica_query(self._avoided_replica)
        state = self._choose_for_version(query)
        if state is None:
            self._avoided_replica = None  # the replica of the last failure may be used if no other can
        return state

    def _choose_for_version(self, query: ReplicaQuery) -> ReplicaState | None:
        """Return a replica, if possible one whose version may continue the text."""
        same_version_query = self._require_same_version(query)
        state = self._context.replicas.choose(same_version_query, monotonic_s())
        if state is None and same_version_query is not query:
            state = self._context.replicas.choose(query, monotonic_s())
        return state

    def _require_same_version(self, query: ReplicaQuery) -> ReplicaQuery:
        """Return a query for replicas that may continue the text, if that takes the version of its events."""
        if not self._version_rule.single or not self._stream.event_count:
            return query
        return msgspec.structs.replace(query, exact_version=self._stream.versions[-1])

    @property
    def _may_send(self) -> bool:
        """Whether the job's runs may send now."""
        return self._context.send_permission.is_granted()

    async def run(self) -> Result:
        """Run the item, over as many attempts as it takes, and return its result.

        Waits for a slot first unless one is reserved.  The result is DEAD after an answer of status 422, or
        after as many answers of status 500 as the route allows attempts.
        """
        while True:
            if self._reserved_replica is None:
                await self._wait_for_next_attempt()
            state = self._reserved_replica
            assert state is not None
            if not self._may_send:
                self.release_slot()
                continue
            self._reserved_replica = None
            state.in_flight -= 1  # the attempt counts itself as in flight from here on
            result = await self._run_attempt(state)
            if result is not None:
                return result

    async def _wait_for_next_attempt(self) -> None:
        """Wait for the pause after crashes, if any, and until a slot is reserved for the item."""
        await self._crash_guard.wait_out_pause(self._identity)
        self._rank = Rank(
            latest_start_s=self._rank.latest_start_s, unsent=not self.attempts, tie_breaker=id(self)
        )
        await self.wait_for_replica()

    async def _run_attempt(self, state: ReplicaState) -> Result | None:
        try:
            return await self._receive_output(self._start_attempt(state))
        except (BackendRefused, MovedElsewhere) as error:
            self._record_failure(state.incarnation, error)
        except PassgateError as error:
            self._record_failure(state.incarnation, error)
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    def _record_failure(self, incarnation: ReplicaIncarnation, error: PassgateError) -> None:
        self._avoided_replica = incarnation
        self._job_timing.failure_count_by_code[error.code] += 1
        if not isinstance(error, BackendRefused):
            self._service_choice.restart_wait(monotonic_s())
        else:
            self._context.group_affinity.record_refusal(self.item.group, incarnation)
        self._context.decisions.write(
            ItemFailed(
                job_id=self._spec.job_id,
                item_id=self.item.id,
                replica_id=incarnation.replica_id,
                reason=f"{error.code}: {error}",
                events_kept=self._stream.event_count,
            )
        )

    def _start_attempt(self, state: ReplicaState) -> ReplicaAttempt:
        """Send the item and record the attempt; a refused send raises PassgateError and is not recorded.

        The item starts over if the replica is known to hold a version that may not continue the text.
        """
        held_version = state.weight_version(self._spec.model)
        if held_version and not self._version_rule.allows((*self._stream.versions, held_version)):
            self.start_over()
        attempt = self._context.replica_client.start_attempt(state, self._build_request())
        self.attempts += 1
        self.last_attempt_sent_s = attempt.started_s
        self._item_times.record_send(self.last_attempt_sent_s)
        self._context.group_affinity.record_send(self.item.group, attempt.incarnation)
        self._context.decisions.write(
            ItemSent(
                job_id=self._spec.job_id,
                item_id=self.item.id,
                replica_id=attempt.incarnation.replica_id,
                attempt=self.attempts,
                events_kept=self._stream.event_count,
            )
        )
        return attempt

    async def _receive_output(self, attempt: ReplicaAttempt) -> Result | None:
        try:
            status = await self._context.stall_detector.wait_for(
                attempt.incarnation, attempt.wait_for_head, FIRST_BYTES_LIMIT_S
            )
            if status != HTTP_OK:
                return self._handle_error_status(status)
            self._begin_stream(attempt)
            await self._read_events(attempt)
        except TimeoutError as error:
            attempt.record_stall()
            raise IncompleteAnswer("the stream is silent") from error
        finally:
            attempt.close()
        attempt.record_stream_success()
        return Result(
            item_id=self.item.id,
            state=ResultState.SUCCEEDED,
            text=self._stream.text(),
            versions=self._stream.versions,
        )

    def _move_if_slow(self, attempt: ReplicaAttempt, attempt_events: int, now_s: float) -> None:
        """Raise MovedElsewhere if another replica with a free slot is much faster.

        For a long output, a smaller gain suffices once.  Checks only at multiples of PACE_CHECK_EVENTS.
        """
        if attempt_events < PACE_CHECK_EVENTS or attempt_events % PACE_CHECK_EVENTS or not self._may_send:
            return
        query = self._require_same_version(self._replica_query(attempt.incarnation))
        if self._context.replicas.has_faster(attempt.incarnation, query, now_s):
            raise MovedElsewhere("another replica is much faster")
        is_long = self._stream.event_count >= LONG_OUTPUT_EVENTS and not self._moved_for_length
        if is_long and self._context.replicas.has_faster(
            attempt.incarnation, query, now_s, LONG_OUTPUT_MAX_TIME_RATIO
        ):
            self._moved_for_length = True
            raise MovedElsewhere("another replica is faster for a long output")

    def _build_request(self) -> ReplicaRequest:
        headers = list(self.item.headers.items())
        if self._stream.event_count:
            headers.append((self._context.header_names.last_event_id, self._stream.last_event_id))
        return ReplicaRequest(
            request_id=self.item.id,
            method="POST",
            path=self.item.path,
            host=self._spec.host,
            headers=tuple(headers),
            body=self.item.body,
            deadline_s=monotonic_s() + ATTEMPT_DEADLINE_S,
            send_before_s=self._context.send_permission.granted_until_s(),
            priority=self._priority,
            tenant=self._spec.tenant,
            is_owed=True,
            send_context=self._context.send_context_of(self._spec),
        )

    @property
    def _priority(self) -> int:
        return self._context.route.priority if self._spec.priority is None else self._spec.priority

    def _handle_error_status(self, status: int) -> Result | None:
        """Return the result DEAD if a status allows no further attempt; else raise IncompleteAnswer."""
        dead_result = Result(item_id=self.item.id, state=ResultState.DEAD)
        if status == HTTP_UNPROCESSABLE_CONTENT:
            return dead_result
        if status == HTTP_INTERNAL_SERVER_ERROR:
            self._error_answers += 1
            if self._error_answers >= self._context.route.max_attempts:
                return dead_result
        raise IncompleteAnswer(f"replica answered {status}", execution=ExecutionStatus.RAN)

    def _begin_stream(self, attempt: ReplicaAttempt) -> None:
        version_header = attempt.headers.get(self._context.header_names.weight_versions, "")
        version = parse_decimal(version_header)
        if version is not None:
            attempt.record_weight_version(self._spec.model, version)
            if version < self._spec.min_version:
                raise VersionTooOld("replica holds an older version", version=version)
            self._require_allowed_versions(version)
        self._stream.begin_attempt(version)

    async def _read_events(self, attempt: ReplicaAttempt) -> None:
        stall_detector, incarnation = self._context.stall_detector, attempt.incarnation
        limit_s = FIRST_BYTES_LIMIT_S
        last_data_s: float | None = None
        events_before_attempt = self._stream.event_count
        while True:
            data = await stall_detector.wait_for(incarnation, attempt.read, limit_s)
            if not data:
                break
            limit_s = silence_limit_s(attempt.expected_event_interval_s)
            count_before = self._stream.event_count
            self._stream.feed(data)
            self._require_allowed_versions()
            now_s = monotonic_s()
            stall_detector.record_data(incarnation, now_s)
            if self._stream.event_count > count_before:
                self._item_times.record_events(now_s, self._stream.event_count - count_before)
            if last_data_s is not None and self._stream.event_count > count_before:
                attempt.record_event_interval(
                    (now_s - last_data_s) / (self._stream.event_count - count_before)
                )
            last_data_s = now_s
            self._move_if_slow(attempt, self._stream.event_count - events_before_attempt, now_s)
        if self._stream.has_partial_event or not attempt.is_complete:
            raise IncompleteAnswer("the stream broke off")
