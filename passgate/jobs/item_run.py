"""Runs one item of a job at replicas until its whole output is there.

An interrupted item goes on at any replica after the last event received; an item
whose events are older than the job allows starts anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ItemFailed, ItemHeld, ItemSent
from passgate.eligibility.replica_info import ReplicaLife
from passgate.eligibility.rules import SendTerms
from passgate.errors import (
    BackendRefused,
    ExecutionStatus,
    IncompleteAnswer,
    MovedElsewhere,
    PassgateError,
    VersionTooOld,
)
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.replica_call import ReplicaCaller, ReplicaExchange, ReplicaRequest
from passgate.gateway.replicas import FULL_LOAD, ChoiceRequest, ReplicaState, ReplicaTable
from passgate.gateway.routes import Route
from passgate.jobs.checkpoint import ItemCheckpoint
from passgate.jobs.durations import OutputDurations
from passgate.jobs.event_stream import EventStream, KeptEvents
from passgate.jobs.group_replicas import GroupReplicas
from passgate.jobs.records import ItemSpec, JobSpec, Result, ResultState
from passgate.jobs.reward_call import RewardTools
from passgate.jobs.silence import FIRST_BYTES_PATIENCE_S, StreamSilence, patience_for
from passgate.jobs.timing import JobTiming
from passgate.jobs.waiting import LineName, Rank, WaitingLine
from passgate.quarantine.identity import ITEM_CRASH_LIMIT

ROOM_STEP_S = 0.01
"""Pause between looks for a replica with room; a fifth of the time that going on elsewhere costs."""
MIN_EVENTS_HERE = 4
"""Events between two looks for a much faster replica."""
LONG_EVENTS = 30
"""Outputs with this many events decide when a step is whole, and are likely to have many more."""
LONG_SHARE = 0.83
"""A long output moves once, to a replica that takes at most this share of the time."""
RETRY_PAUSE_S = 0.02
"""Pause after a failed attempt, but for those that say at once that another replica will do."""
ITEM_DEADLINE_S = 30.0
"""Time for which a replica may work on one attempt."""
FAILED, IMPOSSIBLE = 500, 422
OK = 200


class ItemTools(msgspec.Struct, frozen=True, kw_only=True):
    """What all item runs of a job share."""

    route: Route
    caller: ReplicaCaller
    replicas: ReplicaTable
    names: HeaderNames
    decisions: DecisionLog
    waiting: WaitingLine
    durations: OutputDurations
    rewards: RewardTools
    silence: StreamSilence
    terms_for: Callable[[str, str, str | None, frozenset[str]], SendTerms]
    """Returns what binds a request of a host, path, tenant, and regions when it was accepted."""
    group_replicas: GroupReplicas

    def terms_of(self, job: JobSpec) -> SendTerms:
        """Return what binds the items of a job now."""
        return self.terms_for(job.host, job.path, job.tenant, self.route.allowed_regions)

    def line_of(self, job: JobSpec) -> LineName:
        """Return the line in which items of a job wait, by the configuration in force."""
        return LineName(model=job.model, regions=self.terms_of(job).regions)

    def expected_tokens(self, item: ItemSpec) -> float:
        """Return the caller's estimate of the output's length, or 0."""
        told = item.headers.get(self.names.length_hint, "")
        try:
            return float(told)
        except ValueError:
            return 0.0


class ItemRun:
    """One item while it is run."""

    def __init__(
        self,
        job: JobSpec,
        item: ItemSpec,
        tools: ItemTools,
        kept: KeptEvents | None,
        rank: Rank,
        timing: JobTiming,
    ) -> None:
        self.item = item
        self._timing = timing
        self._times = timing.item(item.id)
        self._rank = rank
        self.began_s = monotonic_s()
        self.attempts = 0
        self._job = job
        self._tools = tools
        self._stream = EventStream(tools.names.weight_versions)
        usable = kept if kept is not None and self._is_usable(kept) else None
        self.resumed = usable is not None
        """Whether it goes on from what an earlier run left."""
        self.sent_s = self.began_s
        """When the last attempt began."""
        if usable is not None:
            self._stream.resume(usable)
        self.checkpoint = ItemCheckpoint(job.job_id, item.id, self._stream, usable)
        self._failures = 0
        self._moved_as_long = False
        self._avoided: ReplicaLife | None = None
        self._state: ReplicaState | None = None
        self._identity = self._request().identity
        self._crashes = tools.caller.crashes

    def _is_usable(self, kept: KeptEvents) -> bool:
        if not kept.data or self._tools.route.single_version:
            return False
        return min(kept.versions) >= self._job.min_version

    async def wait_for_replica(self) -> None:
        """Wait in line until a replica has room for the item, and reserve the room."""
        while (state := await self._wait_in(self._tools.line_of(self._job))) is None:
            pass  # the configuration in force has put the item into another line
        self._reserve(state)

    async def _wait_apart(self) -> None:
        """Wait for a replica without last chances; out of the line, as others need no such replica."""
        while (state := self._choose()) is None:
            await asyncio.sleep(ROOM_STEP_S)
        self._reserve(state)

    def _reserve(self, state: ReplicaState) -> None:
        self._state = state
        state.in_flight += 1
        self._crashes.placed(self._identity, state.life)

    async def _wait_in(self, line: LineName) -> ReplicaState | None:
        """Wait in a line for a replica with room; return None once the item belongs into another line."""
        with self._tools.waiting.place(line, self._rank):
            while self._tools.line_of(self._job) == line:
                if self._tools.waiting.is_first(line, self._rank) and (state := self._choose()) is not None:
                    return state
                await asyncio.sleep(ROOM_STEP_S)
        return None

    def release(self) -> None:
        """Give back a reserved room that was not used."""
        if self._state is not None:
            self._state.in_flight -= 1
            self._state = None
            self._crashes.left(self._identity)

    def _wish(
        self, avoided: ReplicaLife | None, spared: frozenset[ReplicaLife] = frozenset()
    ) -> ChoiceRequest:
        avoids = frozenset() if avoided is None else frozenset({avoided})
        wish = ChoiceRequest(
            services=self._tools.route.services,
            excluded=self._crashes.apart_from(self._identity) | spared | avoids,
            model=self._job.model,
            min_version=self._job.min_version,
            load_below=FULL_LOAD,
            terms=self._tools.terms_of(self._job),
        )
        preferred = self._tools.group_replicas.preferred(self.item.group, wish, monotonic_s())
        return msgspec.structs.replace(wish, preferred=preferred)

    def _choose(self) -> ReplicaState | None:
        replicas, now_s = self._tools.replicas, monotonic_s()
        if spared := self._crashes.spared():
            state = replicas.choose(self._wish(self._avoided, spared), now_s)
            if state is not None:
                return state
        state = replicas.choose(self._wish(self._avoided), now_s)
        if state is None:
            self._avoided = None
        return state

    @property
    def held(self) -> bool:
        """Whether replicas have ended under the item, so that it must not be sent."""
        return self._crashes.is_held(self._identity)

    @property
    def waits_apart(self) -> bool:
        """Whether replicas have ended under the item, so that it does not wait in line with others."""
        return self.held or self._crashes.is_last_chance(self._identity)

    async def result(self) -> Result:
        """Run the item to its end, over as many attempts as it takes.

        It needs no reserved room if it waits apart.
        """
        while True:
            if self._state is None:
                await self._wait_again()
            if not await self._crashes.has_place(self._identity):
                self.release()
                continue
            state = self._state
            assert state is not None
            self._state = None
            state.in_flight -= 1  # the attempt counts itself from here on
            try:
                result = await self._attempt(state)
            finally:
                self._crashes.left(self._identity)
            if result is not None:
                return result

    async def _wait_again(self) -> None:
        """Wait for a replica after an attempt, or until the item may be sent at all."""
        await self._wait_while_held()
        if self._crashes.is_last_chance(self._identity):
            await self._wait_apart()
            return
        self._rank = Rank(start_s=self._rank.start_s, fresh=False, number=id(self))
        await self.wait_for_replica()

    async def _wait_while_held(self) -> None:
        """Wait while the item is held; its job gives it up when the route's time for it is over."""
        await self._crashes.paused(self._identity)
        if not self.held:
            return
        fingerprint = self._identity.fingerprint()
        self._tools.decisions.write(
            ItemHeld(job_id=self._job.job_id, item_id=self.item.id, fingerprint=fingerprint)
        )
        await self._crashes.released(self._identity)

    async def _attempt(self, state: ReplicaState) -> Result | None:
        try:
            return await self._exchange(self._open(state))
        except (BackendRefused, MovedElsewhere) as error:
            self._note_failure(state.life, error)
        except PassgateError as error:
            self._note_failure(state.life, error)
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    def _note_failure(self, replica: ReplicaLife, error: PassgateError) -> None:
        self._avoided = replica
        self._timing.failures[error.code] += 1
        if isinstance(error, BackendRefused):
            self._tools.group_replicas.refused(self.item.group, replica)
        self._tools.decisions.write(
            ItemFailed(
                job_id=self._job.job_id,
                item_id=self.item.id,
                replica_id=replica.replica_id,
                reason=f"{error.code}: {error}",
                events_kept=self._stream.count,
            )
        )

    def _open(self, state: ReplicaState) -> ReplicaExchange:
        """Send the item; nothing counts as sent that a rule keeps back."""
        exchange = self._tools.caller.open(state, self._request())
        self.attempts += 1
        self.sent_s = exchange.began_s
        self._times.sent(self.sent_s)
        self._tools.group_replicas.sent(self.item.group, exchange.life)
        self._tools.decisions.write(
            ItemSent(
                job_id=self._job.job_id,
                item_id=self.item.id,
                replica_id=exchange.life.replica_id,
                attempt=self.attempts,
                events_kept=self._stream.count,
            )
        )
        return exchange

    async def _exchange(self, exchange: ReplicaExchange) -> Result | None:
        try:
            status = await self._tools.silence.wait(exchange.life, exchange.head, FIRST_BYTES_PATIENCE_S)
            if status != OK:
                return self._failed_run(status)
            self._begin(exchange)
            await self._read_events(exchange)
        except TimeoutError as error:
            exchange.fell_silent()
            raise IncompleteAnswer("the stream is silent") from error
        finally:
            exchange.close()
        exchange.succeeded_stream()
        return Result(
            item_id=self.item.id,
            state=ResultState.SUCCEEDED,
            text=self._stream.text(),
            versions=self._stream.versions,
        )

    def _check_pace(self, exchange: ReplicaExchange, events_here: int, now_s: float) -> None:
        """Leave a replica that is much slower than another one with room."""
        if events_here < MIN_EVENTS_HERE or events_here % MIN_EVENTS_HERE:
            return
        wish = self._wish(exchange.life)
        if self._tools.replicas.has_faster(exchange.life, wish, now_s):
            raise MovedElsewhere("another replica is much faster")
        is_long = self._stream.count >= LONG_EVENTS and not self._moved_as_long
        if is_long and self._tools.replicas.has_faster(exchange.life, wish, now_s, LONG_SHARE):
            self._moved_as_long = True
            raise MovedElsewhere("another replica is faster for a long output")

    def _request(self) -> ReplicaRequest:
        headers = list(self.item.headers.items())
        if self._stream.count:
            headers.append((self._tools.names.last_event_id, self._stream.last_id))
        return ReplicaRequest(
            request_id=self.item.id,
            method="POST",
            path=self.item.path,
            host=self._job.host,
            headers=tuple(headers),
            body=self.item.body,
            deadline_s=monotonic_s() + ITEM_DEADLINE_S,
            priority=self._priority,
            tenant=self._job.tenant,
            crash_limit=ITEM_CRASH_LIMIT,
            terms=self._tools.terms_of(self._job),
        )

    @property
    def _priority(self) -> int:
        return self._tools.route.priority if self._job.priority is None else self._job.priority

    def _failed_run(self, status: int) -> Result | None:
        dead = Result(item_id=self.item.id, state=ResultState.DEAD)
        if status == IMPOSSIBLE:
            return dead
        if status == FAILED:
            self._failures += 1
            if self._failures >= self._tools.route.max_attempts:
                return dead
        raise IncompleteAnswer(f"replica answered {status}", execution=ExecutionStatus.RAN)

    def _begin(self, exchange: ReplicaExchange) -> None:
        told = exchange.headers.get(self._tools.names.weight_versions, "")
        version = int(told) if told.isdigit() else None
        if version is not None:
            exchange.observe_version(self._job.model, version)
            if version < self._job.min_version:
                raise VersionTooOld("replica holds an older version", version=version)
        self._stream.begin_attempt(version)

    async def _read_events(self, exchange: ReplicaExchange) -> None:
        silence, replica = self._tools.silence, exchange.life
        patience_s = FIRST_BYTES_PATIENCE_S
        event_at_s: float | None = None
        first_count = self._stream.count
        while True:
            data = await silence.wait(replica, exchange.read, patience_s)
            if not data:
                break
            patience_s = patience_for(exchange.usual_pause_s)
            before = self._stream.count
            self._stream.feed(data)
            now_s = monotonic_s()
            silence.heard(replica, now_s)
            if self._stream.count > before:
                self._times.events(now_s, self._stream.count - before)
            if event_at_s is not None and self._stream.count > before:
                exchange.observe_pace((now_s - event_at_s) / (self._stream.count - before))
            event_at_s = now_s
            self._check_pace(exchange, self._stream.count - first_count, now_s)
        if self._stream.mid_event or not exchange.proven_whole:
            raise IncompleteAnswer("the stream broke off")
        if any(version < self._job.min_version for version in self._stream.versions):
            self._stream.restart()
            self.checkpoint.restart()
            raise VersionTooOld("an event was made by an older version")
