"""Bodies of jobs that only some regions may hold.

All daemons fold all jobs, so the bodies of a job whose route or tenant names allowed regions
do not stand with the job on the log.  They stand on a topic of that set of regions, which only
daemons there read: each of them that follows the job's partition, as soon as it reads the job.

>>> from passgate.jobs.records import RewardSpec
>>> reward = RewardSpec(id="r", host="h", path="/", body=b"score")
>>> item = ItemSpec(id="i", path="/p", body=b"secret", reward=reward)
>>> spec = JobSpec(job_id="j", host="h", path="/p", items=(item,))
>>> bare = without_bodies(spec, BodiesLocation(topic="t", part=0, first=0, last=0, nonce="n"))
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
from passgate.decisions import DecisionLog, JobBodiesLost
from passgate.eligibility.places import Places
from passgate.eligibility.regions import may_be_in
from passgate.eligibility.rules import SendTerms
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
"""Pause after the first failed call; a calm log answers within 0.03 s."""
MAX_READ_RETRY_PAUSE_S = 2.0
"""Longest pause between reads of bodies that fail: a piece may never become readable."""
MAX_PIECE_SHARE = 0.5
"""Share of a record's limit that one piece fills; its base64 form is a third longer."""

SendContextLookup = Callable[[str, str, str | None, frozenset[str]], SendTerms]
"""Returns what binds a request of a host, path, tenant, and regions when it was accepted."""


class RestrictedBodiesSettings(Protocol):
    """What the settings of the partitions tell that matters here."""

    topic: str
    """Topic of the jobs."""
    record_bytes: int


def bodies_topic(jobs_topic: str, regions: frozenset[str]) -> str:
    """Return the topic of the bodies that may be held in these regions only."""
    return f"{jobs_topic}-bodies.{'.'.join(sorted(regions))}"


def bodies_of(spec: JobSpec) -> tuple[ItemBodies, ...]:
    """Return the bodies of a job, in the order of its items."""
    return tuple(
        ItemBodies(item.body, item.reward.body if item.reward is not None else b"") for item in spec.items
    )


def without_bodies(spec: JobSpec, location: BodiesLocation) -> JobSpec:
    """Return a job as all daemons may read it."""
    bare = tuple(_replace_bodies(item, ItemBodies(b"")) for item in spec.items)
    return msgspec.structs.replace(spec, items=bare, bodies_at=location)


def with_bodies(spec: JobSpec, bodies: Sequence[ItemBodies]) -> JobSpec:
    """Return a job with its bodies filled in."""
    items = tuple(_replace_bodies(item, body) for item, body in zip(spec.items, bodies, strict=True))
    return msgspec.structs.replace(spec, items=items)


def _replace_bodies(item: ItemSpec, bodies: ItemBodies) -> ItemSpec:
    reward = item.reward
    if reward is not None:
        reward = msgspec.structs.replace(reward, body=bodies.reward)
    return msgspec.structs.replace(item, body=bodies.item, reward=reward)


class BoundBodies:
    """Puts bodies apart and reads them, for one daemon."""

    def __init__(
        self,
        log: SharedLog,
        find_send_context: SendContextLookup,
        places: Places,
        settings: RestrictedBodiesSettings,
        decisions: DecisionLog,
        time_to_live_s: Callable[[str, str], float],
    ) -> None:
        """Connect the parts; ``time_to_live_s`` tells when items of a host and path are given up."""
        self.time_to_live_s = time_to_live_s
        self._log = log
        self._jobs_topic = settings.topic
        self._places = places
        self._find_send_context = find_send_context
        self.decisions = decisions
        self._max_piece_bytes = int(settings.record_bytes * MAX_PIECE_SHARE)

    def allowed_regions(self, host: str, path: str, tenant: str | None) -> frozenset[str] | None:
        """Return the regions that a job is bound to by the configuration in force; None where any may."""
        return self._find_send_context(host, path, tenant, frozenset()).regions

    def may_hold(
        self, host: str, path: str, tenant: str | None, location: BodiesLocation | None = None
    ) -> bool:
        """Whether this daemon may hold the bodies of a job, and so own it, by the configuration in force.

        Args:
            host: host of the job.
            path: its path.
            tenant: name of its tenant, if it has one.
            place: where its bodies stand, if they stand apart from it.
        """
        regions_at_acceptance = location.regions if location is not None else frozenset()
        return may_be_in(
            self._find_send_context(host, path, tenant, regions_at_acceptance).regions, self._places.region
        )

    async def store_bodies(self, spec: JobSpec, partition: int, deadline_s: float) -> JobSpec:
        """Return a job as it may stand on the log; the bodies of a bound one stand elsewhere then.

        Raises LogUnavailable when they can not be put there; the job is not on the log.
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
            topic=topic, part=partition, first=offsets[0], last=offsets[-1], nonce=nonce, regions=regions
        )
        return without_bodies(spec, location)

    def _encoded_pieces(self, spec: JobSpec, nonce: str) -> list[bytes]:
        data = zlib.compress(msgspec.json.encode(bodies_of(spec)), COMPRESSION_LEVEL)
        parts = [
            data[start : start + self._max_piece_bytes]
            for start in range(0, len(data), self._max_piece_bytes)
        ]
        return [
            msgspec.json.encode(BodiesPiece(nonce=nonce, index=index, count=len(parts), data=piece))
            for index, piece in enumerate(parts)
        ]

    async def _append_piece(self, topic: str, partition: int, record: bytes, deadline_s: float) -> int:
        """Append a piece; one that may stand there twice is read once."""
        while True:
            try:
                return await self._log.append(topic, partition, [record])
            except (LogUnavailable, LogAppendUnknown) as error:
                if monotonic_s() + FIRST_RETRY_PAUSE_S >= deadline_s:
                    raise LogUnavailable("the bodies can not be put on the log") from error
                logger.info("bodies_append_failed", extra={"error": str(error), "code": error.code})
            await asyncio.sleep(FIRST_RETRY_PAUSE_S)

    async def read(self, location: BodiesLocation) -> tuple[ItemBodies, ...]:
        """Return the bodies of a job; raises LogError, and HistoryGone when they are gone for good."""
        pieces: dict[int, BodiesPiece] = {}
        offset = location.first
        while offset <= location.last:
            page = await self._log.read(location.topic, location.part, offset, wait_s=0.0)
            if not page.records:
                break
            for piece in filter(None, map(_decode_piece, page.records)):
                if piece.nonce == location.nonce:
                    pieces[piece.index] = piece
            offset = page.next_offset
        count = next(iter(pieces.values())).count if pieces else 0
        if not count or len(pieces) < count:
            raise LogUnavailable("not all pieces of the bodies can be read")
        data = b"".join(pieces[index].data for index in range(count))
        return msgspec.json.decode(zlib.decompress(data), type=tuple[ItemBodies, ...])


def _decode_piece(record: bytes) -> BodiesPiece | None:
    """Return a piece, or None when a newer daemon wrote it in another form."""
    try:
        return msgspec.json.decode(record, type=BodiesPiece)
    except msgspec.DecodeError as error:
        logger.warning("bodies_unreadable", extra={"error": str(error)})
        return None


class RestrictedJob(msgspec.Struct, frozen=True, kw_only=True):
    """What tells where a job's bodies are and who may hold them."""

    job_id: str
    host: str
    path: str
    tenant: str | None
    location: BodiesLocation


class BodiesReader:
    """Reads the bodies of the bound jobs of one partition, each once."""

    def __init__(self, bodies: BoundBodies, deliver: Callable[[str, Sequence[ItemBodies]], bool]) -> None:
        """Make the reader; ``take`` gets a job's identifier and its bodies, and returns whether they fit."""
        self._bodies = bodies
        self._deliver = deliver
        self._task_by_job: dict[str, asyncio.Task[None]] = {}
        self._unrecoverable_jobs: set[str] = set()
        self._retry_pause_s_by_job: dict[str, float] = {}
        """Pause after the next failure, of jobs whose bodies could not be read."""

    def start_reading(self, job: RestrictedJob) -> asyncio.Task[None] | None:
        """Begin to read a job's bodies, unless this daemon may not hold them or they are gone."""
        reading = self._task_by_job.get(job.job_id)
        if reading is not None or job.job_id in self._unrecoverable_jobs:
            return reading
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
                self._mark_unrecoverable(job, "their number is not that of the items")

    def _mark_unrecoverable(self, job: RestrictedJob, reason: str) -> None:
        self._unrecoverable_jobs.add(job.job_id)
        self._bodies.decisions.write(JobBodiesLost(job_id=job.job_id, reason=reason))

    def forget_jobs_except(self, job_ids: Collection[str]) -> None:
        """Keep nothing of jobs that are not among these."""
        self._unrecoverable_jobs = {job_id for job_id in self._unrecoverable_jobs if job_id in job_ids}
        self._retry_pause_s_by_job = {
            key: pause_s for key, pause_s in self._retry_pause_s_by_job.items() if key in job_ids
        }

    def close(self) -> None:
        """Read nothing any more."""
        for task in self._task_by_job.values():
            task.cancel()
