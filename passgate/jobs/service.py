"""Answers callers of batch jobs at any daemon, from the fold of the log."""

from __future__ import annotations

import asyncio
import secrets

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobAccepted, JobAcceptFailed
from passgate.decisions import JobEnded as JobEndedEvent
from passgate.errors import (
    DurabilityUnknown,
    ExecutionStatus,
    InvalidRequest,
    NotFound,
    NotReady,
    PassgateError,
)
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.journal import Journal
from passgate.jobs.records import JobEnded, JobSpec, Result, split_spec
from passgate.sharedlog.tail import RecordTail

MAX_PAGE_BYTES = 900_000
CONFIRM_S = 0.5
"""Time for reading the log to its end before a job is said to be unknown."""
OWNER_HEARD_S = 0.8
"""An owner heard within this time is given the next job too."""
STALE_S = 2.6
"""With a view of the log older than this, "nothing new" is not said."""
RESULT_OVERHEAD_BYTES = 200


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a job from a position on."""

    total: int
    next_position: int
    results: tuple[Result, ...]


class JobService:
    """Submits, reads and ends jobs."""

    def __init__(self, fold: JobFold, journal: Journal, tail: RecordTail, decisions: DecisionLog) -> None:
        self.stopping = False
        """Whether this daemon is about to end and shall own no new job."""
        self._fold = fold
        self._journal = journal
        self._tail = tail
        self._decisions = decisions

    async def submit(self, spec: JobSpec, deadline_s: float) -> None:
        """Put a job on the log once; return when it stands there.

        Raises:
            InvalidRequest: items are missing or not distinct.
            LogUnavailable: the job never runs.
            DurabilityUnknown: it may run.
        """
        if not spec.items or len({item.id for item in spec.items}) != len(spec.items):
            raise InvalidRequest("a job needs items with distinct ids", execution=ExecutionStatus.NOT_RUN)
        began_s = monotonic_s()
        offset = -1
        if spec.job_id not in self._fold.jobs:
            parts = split_spec(spec, secrets.token_hex(4), self._journal.piece_bytes, self._owner_for(spec))
            try:
                offset = await self._journal.append_job(parts, deadline_s)
            except PassgateError as error:
                self._decisions.write(
                    JobAcceptFailed(job_id=spec.job_id, status=error.http_status, reason=error.code)
                )
                raise
        self._decisions.write(
            JobAccepted(
                job_id=spec.job_id,
                items=len(spec.items),
                offset=offset,
                elapsed_ms=round((monotonic_s() - began_s) * 1000, 1),
            )
        )

    def _owner_for(self, spec: JobSpec) -> str:
        """Return who shall run a job: the owner of the model's last job, if it was heard lately.

        One owner knows what it has sent where, and its connections are open.
        """
        last = self._fold.jobs.get(self._fold.newest_job.get(spec.model, ""))
        if last is not None and last.owner:
            heard_s = self._fold.heard_s.get(last.owner, float("-inf"))
            if monotonic_s() - heard_s < OWNER_HEARD_S:
                return last.owner
        return "" if self.stopping else self._journal.writer

    async def read(self, job_id: str, position: int, wait_s: float) -> ResultPage:
        """Return results from a position, waiting for one; raises NotFound or NotReady."""
        job = await self._find(job_id)
        until_s = monotonic_s() + wait_s
        while len(job.results) <= position and monotonic_s() < until_s:
            seen = self._tail.next_offset
            await self._tail.wait_past(seen, until_s - monotonic_s())
        if len(job.results) <= position < job.total and self._stale():
            raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
        page = _page(job, position)
        return ResultPage(total=job.total, next_position=position + len(page), results=page)

    async def body(self, job_id: str, item_id: str) -> bytes:
        """Return the body of an item; raises NotFound or NotReady."""
        job = await self._find(job_id)
        item = job.item(item_id)
        if item is None:
            raise NotFound("no such item", execution=ExecutionStatus.NOT_RUN)
        return item.body

    async def end(self, job_id: str, deadline_s: float) -> None:
        """End a job; return once that stands on the log. Repeats do nothing."""
        job = await self._find(job_id)
        if job.ended:
            return
        stands = self._journal.put(JobEnded(job_id=job_id))
        try:
            async with asyncio.timeout(max(deadline_s - monotonic_s(), 0.0)):
                await asyncio.shield(stands)
        except TimeoutError as error:
            raise DurabilityUnknown("the end may be on the log") from error
        self._decisions.write(JobEndedEvent(job_id=job_id, listed=len(job.results), total=job.total))

    def _stale(self) -> bool:
        return self._tail.freshness.age_s(monotonic_s()) > STALE_S

    async def _find(self, job_id: str) -> JobState:
        job = self._fold.jobs.get(job_id)
        if job is not None:
            return job
        if not await self._tail.confirm(CONFIRM_S):
            raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
        job = self._fold.jobs.get(job_id)
        if job is None:
            raise NotFound("no such job", execution=ExecutionStatus.NOT_RUN)
        return job


def _page(job: JobState, position: int) -> tuple[Result, ...]:
    page: list[Result] = []
    size = 0
    for result in job.results[position:]:
        size += len(result.text) + RESULT_OVERHEAD_BYTES
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)
