"""State of the jobs of one partition: a projection of the log, built by applying its records in offset order.

Every daemon that follows the partition applies the same records, so all have the same results at the same
positions.  Races between daemons are resolved here: the first claim with a job's next epoch (number of the
ownership) and the first result of an item are accepted, later ones are ignored.  A writer is one incarnation
of a daemon.

>>> from passgate.jobs.records import job_pieces
>>> projection = JobProjection()
>>> spec = JobSpec(job_id="j", host="h", path="/p/", items=(ItemSpec(id="i", path="/p/1"),))
>>> projection.apply(0, Batch(writer="d1.a", entries=tuple(job_pieces(spec, "n", 1000, "d1.a"))), now_s=0.0)
>>> job = projection.jobs["j"]
>>> cancellation = Batch(writer="d1.a", entries=(JobCancelled(job_id="j"),))
>>> job.owner, job.item_count, projection.apply(1, cancellation, now_s=1.0)
('d1.a', 1, None)
>>> job.cancelled
True
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

from passgate.gateway.access import tenant_scoped_id
from passgate.jobs.event_stream import RecordedEvents
from passgate.jobs.group_progress import GroupProgress
from passgate.jobs.records import (
    Batch,
    ItemBodies,
    ItemProgressed,
    ItemsDone,
    ItemSpec,
    JobCancelled,
    JobClaimed,
    JobPiece,
    JobSpec,
    Result,
    ResultState,
    WriterStopped,
    decode_spec,
    encode_spec,
)
from passgate.jobs.restricted_bodies import RestrictedJob, with_bodies

FIRST_EPOCH = 1
MAX_PENDING_JOBS = 256
"""Maximum number of submissions with missing pieces that are remembered; the oldest are dropped first."""
MAX_EARLY_CANCELLATIONS = 1024
"""Maximum number of cancellations that are remembered until their job is read."""
MAX_STOPPED_WRITERS = 1024
"""Maximum number of stopped writers that are remembered, as later records may still assign them jobs."""


class JobState:
    """State of one job: its spec, its results in order, and its owner."""

    def __init__(self, spec: JobSpec, owner: str, now_s: float, packed_spec: bytes = b"") -> None:
        """Create the state of a job without results.

        Args:
            spec: the job as submitted.
            owner: writer that runs the items; empty for none.
            now_s: loop time.
            packed_spec: the encoded spec, if the caller has it; it is encoded otherwise.
        """
        self.job_id = spec.job_id
        self.packed_spec = packed_spec or encode_spec(spec)
        """The compressed spec; decoded on demand to save memory."""
        self.item_count = len(spec.items)
        self.item_ids = frozenset(item.id for item in spec.items)
        self.min_version = spec.min_version
        self.model = spec.model
        self.tenant = spec.tenant
        self.host, self.path = spec.host, spec.path
        self.bodies_at = spec.bodies_at
        self.bodies: tuple[ItemBodies, ...] | None = None
        """Bodies stored apart from the job; None until this daemon has read them."""
        self.results: list[Result] = []
        self.position_by_item: dict[str, int] = {}
        """Position in ``results`` by item, for items with a result."""
        self._progress = GroupProgress(spec.items, spec.desired)
        self.cancelled = False
        self.owner = owner
        """Writer that runs the items; empty when there is none, as after the owner's graceful shutdown."""
        self.owner_since_s = now_s
        """Loop time since which this daemon knows of the present owner, or that there is none."""
        self.epoch = FIRST_EPOCH
        """Number of the ownership; increases by one with each accepted claim or release."""
        self.known_since_s = now_s
        """Loop time at which this daemon applied the submission."""

    def item_key(self, item_id: str) -> str:
        """Return the key of an item of this job in the projection's mappings: its tenant and its id."""
        return tenant_scoped_id(self.tenant, item_id)

    @property
    def is_open(self) -> bool:
        """Whether the job is not cancelled and some items have no result."""
        return not self.cancelled and len(self.results) < self.item_count

    @property
    def has_enough_results(self) -> bool:
        """Whether as many item groups as the caller waits for have all their results."""
        return self._progress.has_enough_groups

    @property
    def bodies_to_read(self) -> RestrictedJob | None:
        """Location of the bodies that this daemon has not read yet; None when the job has its bodies."""
        if self.bodies_at is None or self.bodies is not None:
            return None
        return RestrictedJob(
            job_id=self.job_id, host=self.host, path=self.path, tenant=self.tenant, location=self.bodies_at
        )

    def spec(self) -> JobSpec:
        """Return the job as submitted; its bodies are empty while ``bodies_to_read`` is not None."""
        spec = decode_spec(self.packed_spec)
        return spec if self.bodies is None else with_bodies(spec, self.bodies)

    def find_item(self, item_id: str) -> ItemSpec | None:
        """Return an item as submitted, or None when the job has no such item."""
        if item_id not in self.item_ids:
            return None
        return next(item for item in self.spec().items if item.id == item_id)

    def add_result(self, result: Result) -> bool:
        """Append a result unless its item is unknown or has one; return whether it was appended."""
        if result.item_id in self.position_by_item or result.item_id not in self.item_ids:
            return False
        self.position_by_item[result.item_id] = len(self.results)
        self.results.append(result)
        self._progress.record_result(result.item_id)
        return True


class _PendingJob(msgspec.Struct):
    """A submission of which some pieces have not been read yet."""

    count: int
    """Number of pieces of the submission."""
    data_by_index: dict[int, bytes] = {}


class JobProjection:
    """All jobs of a partition, unfinished output, and the writers that append to the partition."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.last_contact_s_by_writer: dict[str, float] = {}
        """Loop time at which the last new batch was applied, by writer; see ``apply``."""
        self.newest_job_by_model: dict[str, str] = {}
        """Identifier, by model, of the newest job, which may have been removed."""
        self.recorded_events_by_item: dict[str, RecordedEvents] = {}
        """Recorded events of the item's latest run, by :meth:`JobState.item_key`."""
        self.newest_result_by_item: dict[str, Result] = {}
        """Newest result, for later jobs with the same item, by :meth:`JobState.item_key`."""
        self._pending_jobs: dict[tuple[str, str], _PendingJob] = {}
        self._early_cancellations: dict[str, None] = {}
        """Identifiers of jobs whose cancellation was read before the job, in order."""
        self._stopped_writers: dict[str, None] = {}
        """Writers that shut down gracefully, in order; a dict serves as an ordered set."""

    def apply(self, offset: int, batch: Batch, now_s: float, *, appended_now: bool = True) -> None:
        """Apply the next record of the log.

        Args:
            offset: offset of the record.
            batch: the decoded record.
            now_s: loop time.
            appended_now: whether the record was appended just now, rather than read while catching
                up; only then it counts as a contact with its writer.
        """
        if appended_now:
            self.last_contact_s_by_writer[batch.writer] = now_s
        for entry in batch.entries:
            self._apply_entry(batch.writer, entry, now_s)

    def _apply_entry(self, writer: str, entry: object, now_s: float) -> None:
        match entry:
            case JobPiece():
                self._add_piece(writer, entry, now_s)
            case JobClaimed():
                self._assign_owner(entry, now_s)
            case ItemsDone():
                self._add_results(entry)
            case ItemProgressed():
                self._add_events(writer, entry)
            case JobCancelled():
                self.cancel_job(entry.job_id)
            case WriterStopped():
                self._stop_writer(writer, now_s)

    def _add_piece(self, writer: str, piece: JobPiece, now_s: float) -> None:
        if piece.job_id in self.jobs:
            return
        key = (piece.job_id, piece.nonce)
        pending = self._pending_jobs.setdefault(key, _PendingJob(count=piece.count))
        pending.data_by_index[piece.index] = piece.data
        if len(pending.data_by_index) == pending.count:
            del self._pending_jobs[key]
            data = b"".join(pending.data_by_index[index] for index in range(pending.count))
            try:
                spec = decode_spec(data)
            except (zlib.error, msgspec.DecodeError):
                return
            self.jobs[spec.job_id] = JobState(spec, self._owner_unless_stopped(piece.owner), now_s, data)
            self.jobs[spec.job_id].cancelled = spec.job_id in self._early_cancellations
            self.newest_job_by_model[spec.model] = spec.job_id
        while len(self._pending_jobs) > MAX_PENDING_JOBS:
            del self._pending_jobs[next(iter(self._pending_jobs))]

    def _assign_owner(self, entry: JobClaimed, now_s: float) -> None:
        job = self.jobs.get(entry.job_id)
        if job is not None and entry.epoch == job.epoch + 1:
            job.owner = self._owner_unless_stopped(entry.owner)
            job.owner_since_s = now_s
            job.epoch = entry.epoch

    def _owner_unless_stopped(self, writer: str) -> str:
        """Return ``writer``, or empty (no owner) when that writer has stopped."""
        return "" if writer in self._stopped_writers else writer

    def _add_results(self, entry: ItemsDone) -> None:
        job = self.jobs.get(entry.job_id)
        if job is None:
            return
        for result in entry.results:
            if job.add_result(result):
                key = job.item_key(result.item_id)
                self.newest_result_by_item[key] = result
                self._discard_events(key, result)

    def _discard_events(self, key: str, result: Result) -> None:
        """Discard an item's events, unless a later job can have them scored: complete ones of a dead item."""
        recorded = self.recorded_events_by_item.get(key)
        if recorded is not None and not (recorded.complete and result.state is ResultState.DEAD):
            del self.recorded_events_by_item[key]

    def _add_events(self, writer: str, entry: ItemProgressed) -> None:
        """Add events that continue the recorded run or start one; ignore all others."""
        job = self.jobs.get(entry.job_id)
        if job is None or entry.item_id in job.position_by_item:
            return
        key = job.item_key(entry.item_id)
        recorded = self.recorded_events_by_item.get(key)
        if (
            entry.after == 0
            and not entry.parent
            and self._replaces_events(entry, recorded, job.owner == writer)
        ):
            replaced_run_ids = (
                recorded.replaced_run_ids | {recorded.run_id} if recorded is not None else frozenset()
            )
            recorded = self.recorded_events_by_item[key] = RecordedEvents(
                run_id=entry.run, replaced_run_ids=replaced_run_ids
            )
        if recorded is None or recorded.complete or entry.after != len(recorded.data):
            return
        if entry.run != recorded.run_id and entry.parent != recorded.run_id:
            return
        recorded.run_id = entry.run
        recorded.data.extend(entry.data)
        recorded.versions.extend(entry.versions)
        recorded.last_event_id = entry.last_id
        recorded.complete = entry.complete

    @staticmethod
    def _replaces_events(entry: ItemProgressed, recorded: RecordedEvents | None, by_owner: bool) -> bool:
        """Whether the first record of a run replaces the recorded events of its item, if there are any.

        Only the job's owner replaces events of another run, and a late copy of a record of the present run
        or of a replaced one never does.
        """
        if recorded is None:
            return True
        return by_owner and entry.run != recorded.run_id and entry.run not in recorded.replaced_run_ids

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job, also one that is not known yet: an append without an answer may take effect late."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.cancelled = True
            return
        self._early_cancellations[job_id] = None
        while len(self._early_cancellations) > MAX_EARLY_CANCELLATIONS:
            del self._early_cancellations[next(iter(self._early_cancellations))]

    def set_bodies(self, job_id: str, bodies: Sequence[ItemBodies]) -> bool:
        """Set the separately stored bodies of a job; return False if their number differs from the items'.

        Bodies of an unknown job are ignored.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return True
        if len(bodies) != job.item_count:
            return False
        job.bodies = tuple(bodies)
        return True

    def has_open_jobs(self) -> bool:
        """Whether any job is open."""
        return any(job.is_open for job in self.jobs.values())

    def forget_jobs(self) -> None:
        """Remove all jobs and what is known of their items; writers stay known."""
        self.jobs.clear()
        self.newest_job_by_model.clear()
        self.recorded_events_by_item.clear()
        self.newest_result_by_item.clear()
        self._pending_jobs.clear()

    def prune(self, now_s: float, retention_s: float) -> None:
        """Remove jobs that are not open and that this daemon read more than ``retention_s`` ago."""
        for job in list(self.jobs.values()):
            if now_s - job.known_since_s > retention_s and not job.is_open:
                self._remove_job(job)

    def _remove_job(self, job: JobState) -> None:
        del self.jobs[job.job_id]
        for item_id in job.item_ids:
            self.recorded_events_by_item.pop(job.item_key(item_id), None)
            self.newest_result_by_item.pop(job.item_key(item_id), None)

    def _stop_writer(self, writer: str, now_s: float) -> None:
        self.last_contact_s_by_writer.pop(writer, None)
        self._stopped_writers[writer] = None
        while len(self._stopped_writers) > MAX_STOPPED_WRITERS:
            del self._stopped_writers[next(iter(self._stopped_writers))]
        for job in self.jobs.values():
            if job.owner == writer:
                job.owner = ""
                job.owner_since_s = now_s
