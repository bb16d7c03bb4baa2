"""Stores the request bodies of region-restricted jobs apart from the jobs.

A region-restricted job may be stored and served only in its allowed regions.  Daemons of all regions read the
jobs' topic, so it contains restricted jobs without their bodies.  The bodies are on another topic for each
set of allowed regions, which only daemons in these regions read.

>>> from passgate.jobs.records import RewardSpec
>>> reward = RewardSpec(id="r", host="h", path="/", body=b"score")
>>> item = ItemSpec(id="i", path="/p", body=b"secret", reward=reward)
>>> spec = JobSpec(job_id="j", host="h", path="/p", items=(item,))
>>> bare = without_bodies(spec, BodiesLocation(topic="t", partition=0, first=0, last=0, nonce="n"))
>>> bare.items[0].body, bare.items[0].reward.body
(b'', b'')
>>> with_bodies(bare, bodies_of(spec)).items == spec.items
True
>>> bodies_topic("jobs", frozenset({"b", "a"}))
'jobs-bodies.a.b'
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import zlib
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobBodiesUnusable
from passgate.eligibility.regions import is_region_allowed
from passgate.eligibility.rules import SendContext
from passgate.eligibility.topology import Topology
from passgate.errors import LogAppendUnknown, LogError, LogUnavailable
from passgate.jobs.records import (
    COMPRESSION_LEVEL,
    BodiesLocation,
    BodiesPiece,
    ItemBodies,
    ItemSpec,
    JobSpec,
)
from passgate.sharedlog.log import HistoryGone, SharedLog

logger = logging.getLogger("passgate.jobs")

FIRST_RETRY_PAUSE_S = 0.1
"""Pause after each failed append of a piece, and after the first failed read of bodies."""
MAX_READ_RETRY_PAUSE_S = 2.0
"""Longest pause after a failed read; the pause doubles each time, as a piece may never become readable."""
MAX_PIECE_SHARE = 0.5
"""Size of the largest piece, as a share of the maximum record size; encoded as base64, it is a third
longer."""

SendContextLookup = Callable[[str, str, str | None, frozenset[str]], SendContext]
"""Returns the restrictions on a request, from its host, path and tenant, and the regions that apply if its
route no longer exists."""


class RestrictedBodiesSettings(Protocol):
    """Settings that the storage of bodies needs."""

    topic: str
    """Topic of the jobs."""
    record_bytes: int
    """Maximum size of a log record."""


def bodies_topic(jobs_topic: str, regions: frozenset[str]) -> str:
    """Return the topic for bodies that may be held in these regions only."""
    return f"{jobs_topic}-bodies.{'.'.join(sorted(regions))}"


def bodies_of(spec: JobSpec) -> tuple[ItemBodies, ...]:
    """Return the bodies of a job, one entry for each item, in the order of the items."""
    return tuple(
        ItemBodies(item.body, item.reward.body if item.reward is not None else b"") for item in spec.items
    )


def without_bodies(spec: JobSpec, location: BodiesLocation) -> JobSpec:
    """Return a job with empty bodies and their location; daemons of all regions may read this form."""
    bare = tuple(_replace_bodies(item, ItemBodies(b"")) for item in spec.items)
    return msgspec.structs.replace(spec, items=bare, bodies_at=location)


def with_bodies(spec: JobSpec, bodies: Sequence[ItemBodies]) -> JobSpec:
    """Return a job with the bodies of its items; raises ValueError if there are more or fewer than items."""
    items = tuple(_replace_bodies(item, body) for item, body in zip(spec.items, bodies, strict=True))
    return msgspec.structs.replace(spec, items=items)


def _replace_bodies(item: ItemSpec, bodies: ItemBodies) -> ItemSpec:
    reward = item.reward
    if reward is not None:
        reward = msgspec.structs.replace(reward, body=bodies.reward)
    return msgspec.structs.replace(item, body=bodies.item, reward=reward)


class RestrictedBodies:
    """Stores and reads the bodies of region-restricted jobs, for one daemon."""

    def __init__(
        self,
        log: SharedLog,
        find_send_context: SendContextLookup,
        topology: Topology,
        settings: RestrictedBodiesSettings,
        decisions: DecisionLog,
        time_to_live_s: Callable[[str, str], float],
    ) -> None:
        """Create the storage.

        Args:
            log: holds the topics.
            find_send_context: returns the restrictions on a request.
            topology: the region of this daemon.
            settings: settings of the jobs' partitions.
            decisions: decision log.
            time_to_live_s: returns the time to live of items from the host and path of their job.
        """
        self.time_to_live_s = time_to_live_s
        self._log = log
        self._jobs_topic = settings.topic
        self._topology = topology
        self._find_send_context = find_send_context
        self.decisions = decisions
        self._max_piece_bytes = int(settings.record_bytes * MAX_PIECE_SHARE)

    def allowed_regions(self, host: str, path: str, tenant: str | None) -> frozenset[str] | None:
        """Return the regions that the active configuration allows for a job; None for any region."""
        return self._find_send_context(host, path, tenant, frozenset()).allowed_regions

    def may_hold(
        self, host: str, path: str, tenant: str | None, location: BodiesLocation | None = None
    ) -> bool:
        """Whether the active configuration allows this daemon to hold a job's bodies, and so to own the job.

        Args:
            host: host of the job.
            path: path of the job.
            tenant: name of the job's tenant, if it has one.
            location: location of the bodies, if they are stored apart from the job.
        """
        regions_at_acceptance = location.regions if location is not None else frozenset()
        return is_region_allowed(
            self._find_send_context(host, path, tenant, regions_at_acceptance).allowed_regions,
            self._topology.region,
        )

    async def store_bodies(self, spec: JobSpec, partition: int, deadline_s: float) -> JobSpec:
        """Store a region-restricted job's bodies; return the job as it may be appended to the jobs' topic.

        A job without restrictions, or whose bodies are stored already, is returned unchanged.  Raises
        LogUnavailable if a piece is not known to be appended at the deadline; then the caller must not
        append the job.
        """
        regions = self.allowed_regions(spec.host, spec.path, spec.tenant)
        if regions is None or spec.bodies_at is not None:
            return spec
        topic, nonce = bodies_topic(self._jobs_topic, regions), secrets.token_hex(8)
        offsets = [
            await self._append_piece(topic, partition, piece, deadline_s)
            for piece in self._encoded_pieces(spec, nonce)
        ]
        location = BodiesLocation(
            topic=topic, partition=partition, first=offsets[0], last=offsets[-1], nonce=nonce, regions=regions
        )
        return without_bodies(spec, location)

    def _encoded_pieces(self, spec: JobSpec, nonce: str) -> list[bytes]:
        data = zlib.compress(msgspec.json.encode(bodies_of(spec)), COMPRESSION_LEVEL)
        pieces = [
            data[start : start + self._max_piece_bytes]
            for start in range(0, len(data), self._max_piece_bytes)
        ]
        return [
            msgspec.json.encode(BodiesPiece(nonce=nonce, index=index, count=len(pieces), data=piece))
            for index, piece in enumerate(pieces)
        ]

    async def _append_piece(self, topic: str, partition: int, record: bytes, deadline_s: float) -> int:
        """Append a piece, with retries until the deadline; readers ignore a second copy of a piece."""
        while True:
            try:
                return await self._log.append(topic, partition, [record])
            except (LogUnavailable, LogAppendUnknown) as error:
                if monotonic_s() + FIRST_RETRY_PAUSE_S >= deadline_s:
                    raise LogUnavailable(
                        "a piece of the job's bodies could not be appended in time"
                    ) from error
                logger.info("bodies_append_failed", extra={"error": str(error), "code": error.code})
            await asyncio.sleep(FIRST_RETRY_PAUSE_S)

    async def read(self, location: BodiesLocation) -> tuple[ItemBodies, ...]:
        """Read the bodies of a job.

        Raises:
            HistoryGone: the log has deleted the bodies.
            LogError: the log can't be read, or some pieces are missing.
            msgspec.DecodeError: the bodies can't be decoded.
            zlib.error: the bodies can't be decompressed.
        """
        pieces: dict[int, BodiesPiece] = {}
        offset = location.first
        while offset <= location.last:
            page = await self._log.read(location.topic, location.partition, offset, wait_s=0.0)
            if not page.records:
                break
            for piece in filter(None, map(_decode_piece, page.records)):
                if piece.nonce == location.nonce:
                    pieces[piece.index] = piece
            offset = page.next_offset
        count = next(iter(pieces.values())).count if pieces else 0
        if not count or len(pieces) < count:
            raise LogUnavailable("some pieces of the job's bodies are missing")
        data = b"".join(pieces[index].data for index in range(count))
        return msgspec.json.decode(zlib.decompress(data), type=tuple[ItemBodies, ...])


def _decode_piece(record: bytes) -> BodiesPiece | None:
    """Decode a piece; return None if it can't be decoded, for example as a newer daemon wrote it."""
    try:
        return msgspec.json.decode(record, type=BodiesPiece)
    except msgspec.DecodeError as error:
        logger.warning("bodies_unreadable", extra={"error": str(error)})
        return None


class RestrictedJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job whose bodies are stored apart: their location, and what decides which regions may hold them."""

    job_id: str
    host: str
    path: str
    tenant: str | None
    location: BodiesLocation


class BodiesReader:
    """Reads the bodies of a partition's region-restricted jobs in the background, each job's in one task."""

    def __init__(
        self, bodies: RestrictedBodies, deliver: Callable[[str, Sequence[ItemBodies]], bool]
    ) -> None:
        """Create the reader.

        Args:
            bodies: reads the bodies of one job.
            deliver: receives a job's identifier and bodies; returns False if their number differs from that
                of the job's items.
        """
        self._bodies = bodies
        self._deliver = deliver
        self._task_by_job: dict[str, asyncio.Task[None]] = {}
        self._unrecoverable_jobs: set[str] = set()
        """Jobs whose bodies were deleted from the log, can't be decoded, or don't match the items."""
        self._retry_pause_s_by_job: dict[str, float] = {}
        """Pause after the next failure, by job whose bodies could not be read."""

    def start_reading(self, job: RestrictedJob) -> asyncio.Task[None] | None:
        """Start to read a job's bodies, unless a read is running; return the task of the read.

        After a failed read, the task ends only after a pause.  Returns None if this daemon may not hold the
        bodies, or if they are unrecoverable.
        """
        running_task = self._task_by_job.get(job.job_id)
        if running_task is not None or job.job_id in self._unrecoverable_jobs:
            return running_task
        if not self._bodies.may_hold(job.host, job.path, job.tenant, job.location):
            return None
        task = asyncio.get_running_loop().create_task(self._read(job))
        self._task_by_job[job.job_id] = task
        task.add_done_callback(lambda _: self._task_by_job.pop(job.job_id, None))
        return task

    async def _read(self, job: RestrictedJob) -> None:
        try:
            bodies = await self._bodies.read(job.location)
        except HistoryGone as error:
            self._mark_unrecoverable(job, str(error))
        except LogError as error:
            logger.info("bodies_read_failed", extra={"error": str(error), "code": error.code})
            pause_s = self._retry_pause_s_by_job.get(job.job_id, FIRST_RETRY_PAUSE_S)
            self._retry_pause_s_by_job[job.job_id] = min(pause_s * 2.0, MAX_READ_RETRY_PAUSE_S)
            await asyncio.sleep(pause_s)
        except (msgspec.DecodeError, zlib.error) as error:
            self._mark_unrecoverable(job, str(error))
        else:
            self._retry_pause_s_by_job.pop(job.job_id, None)
            if not self._deliver(job.job_id, bodies):
                self._mark_unrecoverable(job, "number of bodies differs from number of items")

    def _mark_unrecoverable(self, job: RestrictedJob, reason: str) -> None:
        self._unrecoverable_jobs.add(job.job_id)
        self._bodies.decisions.write(JobBodiesUnusable(job_id=job.job_id, reason=reason))

    def forget_jobs_except(self, job_ids: Collection[str]) -> None:
        """Forget failures and pauses of all other jobs."""
        self._unrecoverable_jobs = {job_id for job_id in self._unrecoverable_jobs if job_id in job_ids}
        self._retry_pause_s_by_job = {
            key: pause_s for key, pause_s in self._retry_pause_s_by_job.items() if key in job_ids
        }

    def close(self) -> None:
        """Cancel the running reads."""
        for task in self._task_by_job.values():
            task.cancel()
