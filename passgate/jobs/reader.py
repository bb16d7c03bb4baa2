"""Answers questions about jobs from a partition that this daemon follows."""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import BodiesElsewhere, ExecutionStatus, NotFound, NotReady
from passgate.jobs.fold import JobState
from passgate.jobs.records import Result
from passgate.jobs.shards import JobPartition

MAX_PAGE_TEXT_BYTES = 450_000
"""Text in one page; a page must also fit into one answer between daemons."""
CATCH_UP_TIMEOUT_S = 0.9
"""Time for a partition that was not followed to be read to its end."""
CONFIRM_TIMEOUT_S = 0.5
"""Time for reading the log to its end before a job is said to be unknown."""
MAX_VIEW_AGE_S = 2.6
"""With a view of the log older than this, "nothing new" is not said to a caller."""
RESULT_OVERHEAD_BYTES = 200
"""Bytes of a result beside its text: identifiers, state, versions."""
MORE_RESULTS_WAIT_S = 0.2
"""Time for further results of a job whose caller waits; the last items of a step end within 0.15 s."""


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a job from a position on."""

    total: int
    next_position: int
    results: tuple[Result, ...]


async def read_page(
    partition: JobPartition,
    job_id: str,
    position: int,
    wait_s: float,
    *,
    max_view_age_s: float = MAX_VIEW_AGE_S,
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
    job = await find_job(partition, job_id)
    until_s = monotonic_s() + wait_s
    while len(job.results) <= position and monotonic_s() < until_s:
        await partition.tail.wait_past(partition.tail.next_offset, until_s - monotonic_s())
    await _wait_for_more_results(partition, job, min(until_s, monotonic_s() + MORE_RESULTS_WAIT_S))
    if len(job.results) <= position < job.item_count and not await _is_view_fresh(partition, max_view_age_s):
        raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
    page = _results_for_page(job, position)
    return ResultPage(total=job.item_count, next_position=position + len(page), results=page)


async def _wait_for_more_results(partition: JobPartition, job: JobState, until_s: float) -> None:
    """Wait for results that come together with those that are there.

    Items that began together end together, and a caller pauses after each page (some for
    0.5 s), so a page with the first of them only would delay the rest by that pause.
    """
    while not job.has_enough_results and job.open:
        if not await partition.tail.wait_past(partition.tail.next_offset, until_s - monotonic_s()):
            return


def require_followed(partition: JobPartition) -> None:
    """Check that a partition is followed here and known to its end; raises NotReady.

    Another daemon that asks is told at once, and need not wait until it is.
    """
    if not partition.is_current:
        raise NotReady("the partition is not known here yet", execution=ExecutionStatus.NOT_RUN)


async def read_body(partition: JobPartition, job_id: str, item_id: str) -> bytes:
    """Return the body of an item; raises NotFound, NotReady, or BodiesElsewhere."""
    job = await find_job(partition, job_id)
    await _ensure_bodies(partition, job)
    item = job.item(item_id)
    if item is None:
        raise NotFound("no such item", execution=ExecutionStatus.NOT_RUN)
    return item.body


async def _ensure_bodies(partition: JobPartition, job: JobState) -> None:
    """Read the bodies of a job that stand apart; raises BodiesElsewhere or NotReady."""
    if job.bodies_at is None:
        return
    if not partition.may_hold(job):
        raise BodiesElsewhere("this region may not hold the bodies", execution=ExecutionStatus.NOT_RUN)
    if (
        job.bodies_to_read is not None
        and partition.bodies_reader is not None
        and (task := partition.bodies_reader.start_reading(job.bodies_to_read))
    ):
        await asyncio.wait([task], timeout=CONFIRM_TIMEOUT_S)
    if job.bodies_to_read is not None:
        raise NotReady("the bodies can not be read", execution=ExecutionStatus.NOT_RUN)


async def find_job(partition: JobPartition, job_id: str) -> JobState:
    """Return a job; raises NotFound when there is none, NotReady when that is not sure."""
    partition.keep_following()
    job = partition.fold.jobs.get(job_id)
    if job is not None and partition.is_current:
        return job
    caught_up = await partition.tail.wait_caught_up(CATCH_UP_TIMEOUT_S)
    job = partition.fold.jobs.get(job_id)
    if job is not None:
        return job
    if not caught_up or not await partition.tail.confirm(CONFIRM_TIMEOUT_S):
        raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
    job = partition.fold.jobs.get(job_id)
    if job is None:
        raise NotFound("no such job", execution=ExecutionStatus.NOT_RUN)
    return job


async def _is_view_fresh(partition: JobPartition, max_view_age_s: float) -> bool:
    if partition.tail.freshness.age_s(monotonic_s()) <= max_view_age_s:
        return True
    return await partition.tail.confirm(CONFIRM_TIMEOUT_S)


def _results_for_page(job: JobState, position: int) -> tuple[Result, ...]:
    page: list[Result] = []
    size = 0
    for result in job.results[position:]:
        size += len(result.text) + RESULT_OVERHEAD_BYTES
        if page and size > MAX_PAGE_TEXT_BYTES:
            break
        page.append(result)
    return tuple(page)
