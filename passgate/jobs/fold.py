"""State of the jobs of one partition, folded from the log in offset order.

Every daemon folds the same records with this code and so has the same results at
the same positions.  Decisions that several daemons race for are made here: the
first claim of an epoch and the first result of an item count.

>>> from passgate.jobs.records import split_spec
>>> fold = JobFold()
>>> spec = JobSpec(job_id="j", host="h", path="/p/", items=(ItemSpec(id="i", path="/p/1"),))
>>> fold.apply(0, Batch(writer="d1.a", entries=tuple(split_spec(spec, "n", 1000, "d1.a"))), now_s=0.0)
>>> job = fold.jobs["j"]
>>> job.owner, job.total, fold.apply(1, Batch(writer="d1.a", entries=(JobEnded(job_id="j"),)), now_s=1.0)
('d1.a', 1, None)
>>> job.ended
True
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

from passgate.gateway.access import scoped_id
from passgate.jobs.bound_bodies import BoundJob, with_bodies
from passgate.jobs.event_stream import KeptEvents
from passgate.jobs.groups import GroupProgress
from passgate.jobs.records import (
    Batch,
    ItemBodies,
    ItemProgressed,
    ItemsDone,
    ItemSpec,
    JobClaimed,
    JobEnded,
    JobPart,
    JobSpec,
    Result,
    ResultState,
    WriterStopped,
    decode_spec,
    encode_spec,
)

FIRST_EPOCH = 1
MAX_PENDING_PARTS = 256
"""Jobs whose pieces are not all there; the oldest are dropped beyond this."""
MAX_STOPPED = 1024
"""Writers remembered as stopped; what they appended before they stopped arrives within seconds."""


class JobState:
    """One job: its spec, its results in order, its owner."""

    def __init__(self, spec: JobSpec, owner: str, now_s: float, packed_spec: bytes = b"") -> None:
        """Begin with no result.

        Args:
            spec: the job as submitted.
            owner: writer that runs the items; nobody when empty.
            now_s: loop time.
            packed_spec: the encoded spec, if it is at hand.
        """
        self.job_id = spec.job_id
        self.packed_spec = packed_spec or encode_spec(spec)
        """Kept compressed; unpacked on demand."""
        self.total = len(spec.items)
        self.item_ids = frozenset(item.id for item in spec.items)
        self.min_version = spec.min_version
        self.model = spec.model
        self.tenant = spec.tenant
        self.host, self.path = spec.host, spec.path
        self.bodies_at = spec.bodies_at
        self.bodies: tuple[ItemBodies, ...] | None = None
        """Bodies that do not stand with the job, once this daemon has read them."""
        self.results: list[Result] = []
        self.listed: dict[str, int] = {}
        """Item to its position."""
        self._progress = GroupProgress(spec.items, spec.desired)
        self.ended = False
        self.owner = owner
        """Writer that runs the items; empty when it stopped."""
        self.freed_s = now_s
        """When it was read last who owns the job, or that nobody does."""
        self.epoch = FIRST_EPOCH
        self.folded_s = now_s

    def key_of(self, item_id: str) -> str:
        """Return the name under which the fold keeps what was made of an item of this job."""
        return scoped_id(self.tenant, item_id)

    @property
    def open(self) -> bool:
        """Whether items are still to be run."""
        return not self.ended and len(self.results) < self.total

    @property
    def satisfied(self) -> bool:
        """Whether all results stand here that its caller waits for."""
        return self._progress.enough

    @property
    def bound(self) -> BoundJob | None:
        """Where the bodies are that are still to be read; None when they are there."""
        if self.bodies_at is None or self.bodies is not None:
            return None
        return BoundJob(
            job_id=self.job_id, host=self.host, path=self.path, tenant=self.tenant, place=self.bodies_at
        )

    def spec(self) -> JobSpec:
        """Return the job as submitted; without bodies while these are still to be read."""
        spec = decode_spec(self.packed_spec)
        return spec if self.bodies is None else with_bodies(spec, self.bodies)

    def item(self, item_id: str) -> ItemSpec | None:
        """Return an item as submitted, or None."""
        if item_id not in self.item_ids:
            return None
        return next(item for item in self.spec().items if item.id == item_id)

    def list_result(self, result: Result) -> bool:
        """Give a result the next position unless its item has one; return whether it did."""
        if result.item_id in self.listed or result.item_id not in self.item_ids:
            return False
        self.listed[result.item_id] = len(self.results)
        self.results.append(result)
        self._progress.listed(result.item_id)
        return True


class _Pieces(msgspec.Struct):
    count: int
    parts: dict[int, bytes] = {}


class JobFold:
    """All jobs of a partition and the writers heard there."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.heard_s: dict[str, float] = {}
        """Writer to the loop time at which its last batch was folded."""
        self.newest_job: dict[str, str] = {}
        """Model to the newest job that asked for it."""
        self.kept: dict[str, KeptEvents] = {}
        """Item, scoped by its tenant, to the events of its unfinished run."""
        self.finished: dict[str, Result] = {}
        """Item, scoped by its tenant, to its newest result, for later jobs that ask for it again."""
        self._pieces: dict[tuple[str, str], _Pieces] = {}
        self._stopped: dict[str, None] = {}
        """Writers that ended as planned, the latest last."""

    def apply(self, offset: int, batch: Batch, now_s: float, *, fresh: bool = True) -> None:
        """Take the next record of the log.

        Args:
            offset: its offset.
            batch: what it holds.
            now_s: loop time.
            fresh: whether it was appended just now, so that its writer has been heard.
        """
        if fresh:
            self.heard_s[batch.writer] = now_s
        for entry in batch.entries:
            self._apply_entry(batch.writer, entry, now_s)

    def _apply_entry(self, writer: str, entry: object, now_s: float) -> None:
        match entry:
            case JobPart():
                self._add_part(writer, entry, now_s)
            case JobClaimed():
                self._claim(entry, now_s)
            case ItemsDone():
                self._list(entry)
            case ItemProgressed():
                self._keep(writer, entry)
            case JobEnded():
                self._end(entry)
            case WriterStopped():
                self._stop_writer(writer, now_s)

    def _add_part(self, writer: str, part: JobPart, now_s: float) -> None:
        if part.job_id in self.jobs:
            return
        key = (part.job_id, part.nonce)
        pieces = self._pieces.setdefault(key, _Pieces(count=part.count))
        pieces.parts[part.index] = part.data
        if len(pieces.parts) == pieces.count:
            del self._pieces[key]
            data = b"".join(pieces.parts[index] for index in range(pieces.count))
            try:
                spec = decode_spec(data)
            except (zlib.error, msgspec.DecodeError):
                return
            self.jobs[spec.job_id] = JobState(spec, self._unless_stopped(part.owner), now_s, data)
            self.newest_job[spec.model] = spec.job_id
        while len(self._pieces) > MAX_PENDING_PARTS:
            del self._pieces[next(iter(self._pieces))]

    def _claim(self, entry: JobClaimed, now_s: float) -> None:
        job = self.jobs.get(entry.job_id)
        if job is not None and entry.epoch == job.epoch + 1:
            job.owner = self._unless_stopped(entry.owner)
            job.freed_s = now_s
            job.epoch = entry.epoch

    def _unless_stopped(self, writer: str) -> str:
        """Return who owns a job that is given to a writer: nobody once that has stopped."""
        return "" if writer in self._stopped else writer

    def _list(self, entry: ItemsDone) -> None:
        job = self.jobs.get(entry.job_id)
        if job is None:
            return
        for result in entry.results:
            if job.list_result(result):
                key = job.key_of(result.item_id)
                self.finished[key] = result
                self._drop_events(key, result)

    def _drop_events(self, key: str, result: Result) -> None:
        """Forget an item's events, unless a later job may still have the whole text scored."""
        kept = self.kept.get(key)
        if kept is not None and not (kept.whole and result.state is ResultState.DEAD):
            del self.kept[key]

    def _keep(self, writer: str, entry: ItemProgressed) -> None:
        """Add events to the run they belong to; events of another run are ignored."""
        job = self.jobs.get(entry.job_id)
        if job is None or entry.item_id in job.listed:
            return
        key = job.key_of(entry.item_id)
        kept = self.kept.get(key)
        if entry.after == 0 and not entry.parent and self._begins(entry, kept, job.owner == writer):
            replaced = kept.replaced | {kept.run} if kept is not None else frozenset()
            kept = self.kept[key] = KeptEvents(run=entry.run, replaced=replaced)
        if kept is None or kept.whole or entry.after != len(kept.data):
            return
        if entry.run != kept.run and entry.parent != kept.run:
            return
        kept.run = entry.run
        kept.data.extend(entry.data)
        kept.versions.extend(entry.versions)
        kept.last_id = entry.last_id
        kept.whole = entry.whole

    @staticmethod
    def _begins(entry: ItemProgressed, kept: KeptEvents | None, by_owner: bool) -> bool:
        """Whether the first record of a run begins what is kept anew."""
        if kept is None:
            return True
        return by_owner and entry.run != kept.run and entry.run not in kept.replaced

    def _end(self, entry: JobEnded) -> None:
        job = self.jobs.get(entry.job_id)
        if job is not None:
            job.ended = True

    def take_bodies(self, job_id: str, bodies: Sequence[ItemBodies]) -> bool:
        """Take the bodies of a job that stand apart from it; return False when they are not its own."""
        job = self.jobs.get(job_id)
        if job is None:
            return True
        if len(bodies) != job.total:
            return False
        job.bodies = tuple(bodies)
        return True

    def any_open(self) -> bool:
        """Whether items of any job are still to be run."""
        return any(job.open for job in self.jobs.values())

    def prune(self, now_s: float, retention_s: float) -> None:
        """Forget jobs that were submitted longer ago than ``retention_s`` and are not open."""
        for job in list(self.jobs.values()):
            if now_s - job.folded_s > retention_s and not job.open:
                self._forget(job)

    def _forget(self, job: JobState) -> None:
        del self.jobs[job.job_id]
        for item_id in job.item_ids:
            self.kept.pop(job.key_of(item_id), None)
            self.finished.pop(job.key_of(item_id), None)

    def _stop_writer(self, writer: str, now_s: float) -> None:
        self.heard_s.pop(writer, None)
        self._stopped[writer] = None
        while len(self._stopped) > MAX_STOPPED:
            del self._stopped[next(iter(self._stopped))]
        for job in self.jobs.values():
            if job.owner == writer:
                job.owner = ""
                job.freed_s = now_s
