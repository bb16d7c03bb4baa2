"""Projections: state built by applying the records of one stream in offset order.

``apply`` must be deterministic and must depend on the state and the record alone, so
that all readers of a stream reach the same state and the same decisions.  A record
that a retried append put on the log twice is recognised by its writer and sequence,
and its second copy is rejected.

>>> duplicates = DuplicateFilter()
>>> duplicates.admit("d1", 1), duplicates.admit("d1", 1), duplicates.admit("d1", 3), duplicates.admit("d1", 2)
(True, False, True, False)
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from passgate.errors import DuplicateRecord, PassgateError, UnknownRecord
from passgate.records import ProposalWithdrawn, Record, SnapshotTaken, UnknownBody, decode_record

SNAPSHOT_SCHEMA_VERSION = 1
"""Increased whenever a record kind or field is added that changes the state of a projection."""

TRACKED_WRITERS_LIMIT = 4096
"""Writers whose last sequence is kept per stream; the least recent writer is evicted first."""


class Accepted(msgspec.Struct, frozen=True):
    """Decision on a record that took effect."""

    offset: int
    value: object = None
    """Result of applying the record, such as a revision or an epoch."""


class Rejected(msgspec.Struct, frozen=True):
    """Decision on a record that is on the log and changed nothing, for every reader."""

    offset: int
    error: PassgateError


Decision = Accepted | Rejected


class Projection(Protocol):
    """State of one stream, built from its records."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply the record at ``offset`` and return the decision on it.

        Called at most once per offset, in increasing order of offsets; duplicates,
        withdrawn proposals and records of unknown kinds are left out.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the state as JSON."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned.

        Raises:
            msgspec.MsgspecError: ``state`` is not readable.
        """
        ...


class DuplicateFilter:
    """Rejects records whose writer has already had the same or a higher sequence on the stream.

    A writer appends one batch at a time, so a sequence that is not higher than its
    last one belongs to a copy, or to a record that reached the log after a later one.
    At most :data:`TRACKED_WRITERS_LIMIT` writers are remembered.  Eviction depends on
    the records alone, so that all readers evict the same writers.
    """

    def __init__(self, last_sequence_by_writer: dict[str, int] | None = None) -> None:
        self._last_sequence_by_writer = dict(last_sequence_by_writer or {})

    def admit(self, writer: str, sequence: int) -> bool:
        """Record the sequence; return whether it is higher than every earlier one of this writer."""
        last_sequence = self._last_sequence_by_writer.pop(writer, 0)
        # Removing and inserting the key moves it to the end, which keeps the mapping in order of last use.
        self._last_sequence_by_writer[writer] = max(last_sequence, sequence)
        if len(self._last_sequence_by_writer) > TRACKED_WRITERS_LIMIT:
            del self._last_sequence_by_writer[next(iter(self._last_sequence_by_writer))]
        return sequence > last_sequence

    def last_sequence_by_writer(self) -> dict[str, int]:
        """Return the highest sequence of each writer, least recent writer first."""
        return dict(self._last_sequence_by_writer)


class StreamState:
    """Projection of one stream, with decoding, duplicate detection and snapshots.

    Two instances that have applied the same payloads, from offset zero or from a
    snapshot, are in the same state.
    """

    def __init__(self, projection: Projection) -> None:
        self.projection = projection
        self.next_offset = 0
        """First offset not yet applied."""
        self.unknown_record_count = 0
        """Records of kinds that this version does not know, since offset 0 or the last restored snapshot."""
        self._duplicate_filter = DuplicateFilter()

    def apply(self, offset: int, payload: bytes) -> tuple[Record | None, Decision]:
        """Apply the payload at ``offset``, which must be :attr:`next_offset`.

        Returns the decoded record, None when its envelope is not readable, and the
        decision on it.  Never raises for the content of a record.
        """
        assert offset == self.next_offset, "offsets must be applied without gaps"
        self.next_offset = offset + 1
        record = decode_record(payload)
        if record is None:
            return None, Rejected(offset, UnknownRecord("the record's envelope can not be decoded"))
        return record, self._decide(offset, record)

    def _decide(self, offset: int, record: Record) -> Decision:
        if not self._duplicate_filter.admit(record.writer, record.sequence):
            error = DuplicateRecord(
                "the writer has already appended this or a higher sequence",
                writer=record.writer,
                sequence=record.sequence,
            )
            return Rejected(offset, error)
        if isinstance(record.body, ProposalWithdrawn):
            return Accepted(offset)
        if isinstance(record.body, UnknownBody):
            self.unknown_record_count += 1
            return Rejected(offset, UnknownRecord("the record kind is not known", kind=record.body.kind))
        try:
            return self.projection.apply(offset, record)
        except Exception as error:  # noqa: BLE001  Deterministic: every reader fails alike and must skip the record.
            return Rejected(offset, PassgateError("the record can not be applied", cause=repr(error)))

    def snapshot(self) -> SnapshotTaken | None:
        """Return a snapshot of the state after the last applied record.

        Returns None when records of unknown kinds were skipped: their effect is
        missing from the state, so a newer version must take the snapshot.
        """
        if self.unknown_record_count:
            return None
        content = _SnapshotContent(
            self._duplicate_filter.last_sequence_by_writer(), msgspec.Raw(self.projection.snapshot())
        )
        state = msgspec.Raw(msgspec.json.encode(content))
        return SnapshotTaken(offset=self.next_offset - 1, schema_version=SNAPSHOT_SCHEMA_VERSION, state=state)

    def restore(self, snapshot: SnapshotTaken) -> bool:
        """Replace the state by a snapshot; return False and keep the state when that is not possible.

        A snapshot is refused when it contains no record after the last applied one,
        has a newer schema version, or can not be decoded.  Errors of the projection
        other than ``msgspec.MsgspecError`` are raised.
        """
        if snapshot.offset < self.next_offset or snapshot.schema_version > SNAPSHOT_SCHEMA_VERSION:
            return False
        try:
            content = msgspec.json.decode(snapshot.state, type=_SnapshotContent)
            self.projection.restore(bytes(content.state))
        except msgspec.MsgspecError:
            return False
        self._duplicate_filter = DuplicateFilter(content.writers)
        self.next_offset = snapshot.offset + 1
        self.unknown_record_count = 0
        return True


class _SnapshotContent(msgspec.Struct):
    writers: dict[str, int]
    state: msgspec.Raw
