"""Answers questions about jobs from a partition that this daemon follows."""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import BodiesElsewhere, ExecutionStatus, NotFound, NotReady
from passgate.jobs.fold import JobState
from passgate.jobs.records import Result
from passgate.jobs.shards import Shard

MAX_PAGE_BYTES = 450_000
"""Text in one page; a page must also fit into one answer between daemons."""
CATCH_UP_S = 0.9
"""Time for a partition that was not followed to be read to its end."""
CONFIRM_S = 0.5
"""Time for reading the log to its end before a job is said to be unknown."""
STALE_S = 2.6
"""With a view of the log older than this, "nothing new" is not said to a caller."""
RESULT_OVERHEAD_BYTES = 200
"""Bytes of a result beside its text: identifiers, state, versions."""
GATHER_S = 0.2
"""Time for further results of a job whose caller waits; the last items of a step end within 0.15 s."""


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a job from a position on."""

    total: int
    next_position: int
    results: tuple[Result, ...]


async def read_page(
    shard: Shard, job_id: str, position: int, wait_s: float, *, fresh_s: float = STALE_S
) -> ResultPage:
    """Return results from a position, waiting for one and for those that come just after it.

    Args:
        shard: the partition of the job.
        job_id: the job.
        position: results before it are left out.
        wait_s: how long to wait for the first.
        fresh_s: greatest age of the view of the log that may say "nothing new".

    Raises:
        NotFound: there is no such job.
        NotReady: the log can not be read.
    """
    job = await find_job(shard, job_id)
    until_s = monotonic_s() + wait_s
    while len(job.results) <= position and monotonic_s() < until_s:
        await shard.tail.wait_past(shard.tail.next_offset, until_s - monotonic_s())
    await _gather(shard, job, min(until_s, monotonic_s() + GATHER_S))
    if len(job.results) <= position < job.total and not await _is_fresh(shard, fresh_s):
        raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
    page = _page(job, position)
    return ResultPage(total=job.total, next_position=position + len(page), results=page)


async def _gather(shard: Shard, job: JobState, until_s: float) -> None:
    """Wait for results that come together with those that are there.

    Items that began together end together, and a caller pauses after each page (some for
    0.5 s), so a page with the first of them only would delay the rest by that pause.
    """
    while not job.satisfied and job.open:
        if not await shard.tail.wait_past(shard.tail.next_offset, until_s - monotonic_s()):
            return


def check_followed(shard: Shard) -> None:
    """Check that a partition is followed here and known to its end; raises NotReady.

    Another daemon that asks is told at once, and need not wait until it is.
    """
    if not shard.current:
        raise NotReady("the partition is not known here yet", execution=ExecutionStatus.NOT_RUN)


async def read_body(shard: Shard, job_id: str, item_id: str) -> bytes:
    """Return the body of an item; raises NotFound, NotReady, or BodiesElsewhere."""
    job = await find_job(shard, job_id)
    await _have_bodies(shard, job)
    item = job.item(item_id)
    if item is None:
        raise NotFound("no such item", execution=ExecutionStatus.NOT_RUN)
    return item.body


async def _have_bodies(shard: Shard, job: JobState) -> None:
    """Read the bodies of a job that stand apart; raises BodiesElsewhere or NotReady."""
    if job.bodies_at is None:
        return
    if not shard.may_hold(job):
        raise BodiesElsewhere("this region may not hold the bodies", execution=ExecutionStatus.NOT_RUN)
    if job.bound is not None and shard.bodies is not None and (task := shard.bodies.want(job.bound)):
        await asyncio.wait([task], timeout=CONFIRM_S)
    if job.bound is not None:
        raise NotReady("the bodies can not be read", execution=ExecutionStatus.NOT_RUN)


async def find_job(shard: Shard, job_id: str) -> JobState:
    """Return a job; raises NotFound when there is none, NotReady when that is not sure."""
    shard.need()
    job = shard.fold.jobs.get(job_id)
    if job is not None and shard.current:
        return job
    caught_up = await shard.tail.wait_caught_up(CATCH_UP_S)
    job = shard.fold.jobs.get(job_id)
    if job is not None:
        return job
    if not caught_up or not await shard.tail.confirm(CONFIRM_S):
        raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
    job = shard.fold.jobs.get(job_id)
    if job is None:
        raise NotFound("no such job", execution=ExecutionStatus.NOT_RUN)
    return job


async def _is_fresh(shard: Shard, fresh_s: float) -> bool:
    if shard.tail.freshness.age_s(monotonic_s()) <= fresh_s:
        return True
    return await shard.tail.confirm(CONFIRM_S)


def _page(job: JobState, position: int) -> tuple[Result, ...]:
    page: list[Result] = []
    size = 0
    for result in job.results[position:]:
        size += len(result.text) + RESULT_OVERHEAD_BYTES
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)
