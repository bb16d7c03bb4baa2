"""Returns jobs, results and bodies from this daemon's own state of a partition."""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import BodiesElsewhere, ExecutionStatus, NotFound, NotReady
from passgate.jobs.partition import JobPartition
from passgate.jobs.projection import JobState
from passgate.jobs.records import Result

MAX_PAGE_TEXT_BYTES = 450_000
"""Maximum estimated size of a page of several results, which must fit into one message between daemons."""
CATCH_UP_TIMEOUT_S = 0.9
"""Longest wait for a partition that was not followed to be read to its end."""
CONFIRM_TIMEOUT_S = 0.5
"""Longest wait until records up to the log's present end are applied, and longest wait for bodies."""
MAX_VIEW_AGE_S = 2.6
"""Maximum age of this daemon's view of the log with which a caller gets a page without results."""
RESULT_OVERHEAD_BYTES = 200
"""Assumed size of a result without its text: identifiers, state, versions."""
MORE_RESULTS_WAIT_S = 0.2
"""Longest wait for further results after the first; the last items of a step end within about 0.15 s."""


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a job from a position on."""

    total: int
    """Number of the job's items."""
    next_position: int
    """Position after the page's last result; for an empty page, the requested position."""
    results: tuple[Result, ...]


async def read_page(
    partition: JobPartition,
    job_id: str,
    position: int,
    wait_s: float,
    *,
    max_view_age_s: float = MAX_VIEW_AGE_S,
) -> ResultPage:
    """Return results from a position on; wait for the first one and then shortly for further ones.

    The page is empty if no result arrives in time.

    Args:
        partition: partition of the job.
        job_id: identifier of the job.
        position: position of the page's first result.
        wait_s: longest wait for the first result.
        max_view_age_s: maximum age of this daemon's view of the log with which an empty page is returned
            while further results are possible.

    Raises:
        NotFound: there is no such job.
        NotReady: the log can't be read, so that it is unknown whether there are results.
    """
    job = await find_job(partition, job_id)
    until_s = monotonic_s() + wait_s
    while len(job.results) <= position and monotonic_s() < until_s:
        await partition.tail.wait_until_applied(partition.tail.next_offset, until_s - monotonic_s())
    await _wait_for_more_results(partition, job, min(until_s, monotonic_s() + MORE_RESULTS_WAIT_S))
    if len(job.results) <= position < job.item_count and not await _is_view_fresh(partition, max_view_age_s):
        raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
    page = _results_for_page(job, position)
    return ResultPage(total=job.item_count, next_position=position + len(page), results=page)


async def _wait_for_more_results(partition: JobPartition, job: JobState, until_s: float) -> None:
    """Wait until the caller has enough results or the job is not open, at most until a loop time.

    Items that started together often end together, and callers pause between pages, so a page with only the
    first result would delay the others by that pause.
    """
    while not job.has_enough_results and job.is_open:
        if not await partition.tail.wait_until_applied(partition.tail.next_offset, until_s - monotonic_s()):
            return


def require_followed(partition: JobPartition) -> None:
    """Raise NotReady unless the partition is followed here and was read to its end.

    Used for calls of other daemons, which ask elsewhere at once instead of waiting here.
    """
    if not partition.is_current:
        raise NotReady("this daemon has not read the partition to its end", execution=ExecutionStatus.NOT_RUN)


async def read_body(partition: JobPartition, job_id: str, item_id: str) -> bytes:
    """Return the body of an item.

    Raises:
        NotFound: there is no such job or item.
        NotReady: the log or the job's bodies can't be read.
        BodiesElsewhere: this daemon's region may not hold the job's bodies.
    """
    job = await find_job(partition, job_id)
    await _ensure_bodies(partition, job)
    item = job.find_item(item_id)
    if item is None:
        raise NotFound("no such item", execution=ExecutionStatus.NOT_RUN)
    return item.body


async def _ensure_bodies(partition: JobPartition, job: JobState) -> None:
    """Read the bodies of a job if they are stored apart; raises BodiesElsewhere or NotReady."""
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
        raise NotReady("the job's bodies could not be read in time", execution=ExecutionStatus.NOT_RUN)


async def find_job(partition: JobPartition, job_id: str) -> JobState:
    """Return a job, and follow its partition for some time from now.

    Raises:
        NotFound: there is no such job; the log was read to its end.
        NotReady: the log can't be read to its end, so that it is unknown whether there is such a job.
    """
    partition.keep_following()
    job = partition.projection.jobs.get(job_id)
    if job is not None and partition.is_current:
        return job
    caught_up = await partition.tail.wait_caught_up(CATCH_UP_TIMEOUT_S)
    job = partition.projection.jobs.get(job_id)
    if job is not None:
        return job
    if not caught_up or not await partition.tail.read_to_current_end(CONFIRM_TIMEOUT_S):
        raise NotReady("the log can not be read", execution=ExecutionStatus.NOT_RUN)
    job = partition.projection.jobs.get(job_id)
    if job is None:
        raise NotFound("no such job", execution=ExecutionStatus.NOT_RUN)
    return job


async def _is_view_fresh(partition: JobPartition, max_view_age_s: float) -> bool:
    if partition.tail.freshness.age_s(monotonic_s()) <= max_view_age_s:
        return True
    return await partition.tail.read_to_current_end(CONFIRM_TIMEOUT_S)


def _results_for_page(job: JobState, position: int) -> tuple[Result, ...]:
    page: list[Result] = []
    size = 0
    for result in job.results[position:]:
        size += len(result.text) + RESULT_OVERHEAD_BYTES
        if page and size > MAX_PAGE_TEXT_BYTES:
            break
        page.append(result)
    return tuple(page)
