"""Runs the items of one job at replicas until each has a result on the log.

Items wait for a replica with a free slot.  An interrupted item goes on at any
replica after the last event received; an item whose events are older than the
job allows starts anew.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ItemFailed, ItemListed, ItemSent
from passgate.errors import BackendRefused, ExecutionStatus, IncompleteAnswer, PassgateError, VersionTooOld
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.replica_call import ReplicaCaller, ReplicaExchange, ReplicaRequest
from passgate.gateway.replicas import ChoiceRequest, ReplicaState, ReplicaTable
from passgate.gateway.routes import Route
from passgate.jobs.event_stream import EventStream
from passgate.jobs.fold import JobState
from passgate.jobs.journal import Journal
from passgate.jobs.records import ItemsDone, ItemSpec, JobSpec, Result, ResultState

logger = logging.getLogger("passgate.jobs")

ROOM_STEP_S = 0.03
"""Pause between looks for a replica with room."""
FIRST_EVENT_TIMEOUT_S = 2.5
NEXT_EVENT_TIMEOUT_S = 1.2
"""A stream silent for this long is given up and taken up elsewhere."""
RETRY_PAUSE_S = 0.05
ITEM_DEADLINE_S = 30.0
"""Time for which a replica may work on one attempt."""
FAILED, IMPOSSIBLE = 500, 422
OK = 200


class ItemProgress(msgspec.Struct, kw_only=True):
    """One item while it is run."""

    item: ItemSpec
    stream: EventStream
    began_s: float
    attempts: int = 0
    failures: int = 0
    """Answers that reported a failed run."""
    last_replica: str = ""


class JobRunner:
    """Runs one job; cancel its task when the job is not this daemon's any more."""

    def __init__(
        self,
        job: JobState,
        route: Route,
        caller: ReplicaCaller,
        replicas: ReplicaTable,
        names: HeaderNames,
        journal: Journal,
        decisions: DecisionLog,
    ) -> None:
        self._job = job
        self._route = route
        self._caller = caller
        self._replicas = replicas
        self._names = names
        self._journal = journal
        self._decisions = decisions
        self._spec: JobSpec = job.spec()
        self._group_replica: dict[str, str] = {}

    async def run(self) -> None:
        """Run all items that have no result; return when nothing is left to do."""
        async with asyncio.TaskGroup() as tasks:
            for item in self._spec.items:
                if item.id in self._job.listed:
                    continue
                progress = ItemProgress(
                    item=item, stream=EventStream(self._names.weight_versions), began_s=monotonic_s()
                )
                state = await self._wait_for_replica(progress)
                tasks.create_task(self._run_item(progress, state))
                await asyncio.sleep(0)  # the task sends at once, so that the next choice sees its load

    async def _wait_for_replica(self, progress: ItemProgress) -> ReplicaState:
        while True:
            state = self._choose(progress)
            if state is not None:
                return state
            await asyncio.sleep(ROOM_STEP_S)

    def _choose(self, progress: ItemProgress) -> ReplicaState | None:
        request = ChoiceRequest(
            services=self._route.services,
            excluded=frozenset({progress.last_replica}) if progress.last_replica else frozenset(),
            model=self._spec.model,
            min_version=self._spec.min_version,
            preferred=self._group_replica.get(progress.item.group, ""),
            room_only=True,
        )
        state = self._replicas.choose(request, monotonic_s())
        if state is None and progress.last_replica:
            progress.last_replica = ""
        return state

    async def _run_item(self, progress: ItemProgress, state: ReplicaState) -> None:
        while True:
            result = await self._attempt(progress, state)
            if result is not None:
                self._list(progress, result)
                return
            await asyncio.sleep(RETRY_PAUSE_S)
            state = await self._wait_for_replica(progress)

    async def _attempt(self, progress: ItemProgress, state: ReplicaState) -> Result | None:
        replica_id = state.info.replica_id
        progress.attempts += 1
        self._group_replica[progress.item.group] = replica_id
        self._decisions.write(
            ItemSent(
                job_id=self._spec.job_id,
                item_id=progress.item.id,
                replica_id=replica_id,
                attempt=progress.attempts,
                events_kept=progress.stream.count,
            )
        )
        try:
            return await self._exchange(progress, state)
        except PassgateError as error:
            self._note_failure(progress, replica_id, error)
            return None

    def _note_failure(self, progress: ItemProgress, replica_id: str, error: PassgateError) -> None:
        progress.last_replica = replica_id
        refused = isinstance(error, BackendRefused)
        if refused and self._group_replica.get(progress.item.group) == replica_id:
            del self._group_replica[progress.item.group]
        self._decisions.write(
            ItemFailed(
                job_id=self._spec.job_id,
                item_id=progress.item.id,
                replica_id=replica_id,
                reason=f"{error.code}: {error}",
                events_kept=progress.stream.count,
            )
        )

    async def _exchange(self, progress: ItemProgress, state: ReplicaState) -> Result | None:
        exchange = self._caller.open(state, self._request(progress))
        try:
            async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S):
                status = await exchange.head()
            if status != OK:
                return await self._failed_run(progress, status, exchange)
            self._begin(progress, exchange)
            await self._read_events(progress, exchange)
        except TimeoutError as error:
            exchange.too_slow()
            raise IncompleteAnswer("the stream is silent") from error
        finally:
            exchange.close()
        exchange.succeeded_stream()
        return Result(
            item_id=progress.item.id,
            state=ResultState.SUCCEEDED,
            text=progress.stream.text(),
            versions=progress.stream.versions,
        )

    def _request(self, progress: ItemProgress) -> ReplicaRequest:
        item = progress.item
        headers = list(item.headers.items())
        if progress.stream.count:
            headers.append((self._names.last_event_id, progress.stream.last_id))
        return ReplicaRequest(
            request_id=item.id,
            method="POST",
            path=item.path,
            host=self._spec.host,
            headers=tuple(headers),
            body=item.body,
            deadline_s=monotonic_s() + ITEM_DEADLINE_S,
            priority=None,
        )

    async def _failed_run(
        self, progress: ItemProgress, status: int, exchange: ReplicaExchange
    ) -> Result | None:
        dead = Result(item_id=progress.item.id, state=ResultState.DEAD)
        if status == IMPOSSIBLE:
            return dead
        if status == FAILED:
            progress.failures += 1
            if progress.failures >= self._route.max_attempts:
                return dead
        raise IncompleteAnswer(f"replica answered {status}", execution=ExecutionStatus.RAN)

    def _begin(self, progress: ItemProgress, exchange: ReplicaExchange) -> None:
        told = exchange.headers.get(self._names.weight_versions, "")
        version = int(told) if told.isdigit() else None
        if version is not None:
            exchange.observe_version(self._spec.model, version)
            if version < self._spec.min_version:
                raise VersionTooOld("replica holds an older version", version=version)
        progress.stream.begin_attempt(version)

    async def _read_events(self, progress: ItemProgress, exchange: ReplicaExchange) -> None:
        timeout_s = FIRST_EVENT_TIMEOUT_S
        while True:
            async with asyncio.timeout(timeout_s):
                data = await exchange.read()
            if not data:
                break
            timeout_s = NEXT_EVENT_TIMEOUT_S
            progress.stream.feed(data)
        if progress.stream.mid_event or not exchange.proven_whole:
            raise IncompleteAnswer("the stream broke off")
        if any(version < self._spec.min_version for version in progress.stream.versions):
            progress.stream.restart()
            raise VersionTooOld("an event was made by an older version")

    def _list(self, progress: ItemProgress, result: Result) -> None:
        self._journal.put(ItemsDone(job_id=self._spec.job_id, results=(result,)))
        self._decisions.write(
            ItemListed(
                job_id=self._spec.job_id,
                item_id=progress.item.id,
                state=result.state.value,
                versions=result.versions,
                attempts=progress.attempts,
                elapsed_ms=round((monotonic_s() - progress.began_s) * 1000, 1),
            )
        )
