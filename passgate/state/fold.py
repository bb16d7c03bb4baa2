"""Folds: deterministic state reached by applying records in offset order.

Every reader of a stream applies the same records with the same pure function and
so reaches the same state and the same decisions.  A record repeated by a retried
append is recognised by its writer and sequence and changes nothing.

>>> table = WriterTable()
>>> table.admit("d1", 1), table.admit("d1", 1), table.admit("d1", 3), table.admit("d1", 2)
(True, False, True, False)
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from passgate.errors import DuplicateRecord, PassgateError, UnknownRecord
from passgate.records import ProposalWithdrawn, Record, SnapshotTaken, UnknownBody, decode_record

SNAPSHOT_SCHEMA_VERSION = 1
"""Grows whenever a record kind or field is added that changes a fold's state."""

WRITER_TABLE_CAPACITY = 4096
"""Writers remembered per stream; the longest silent one is forgotten first."""


class Accepted(msgspec.Struct, frozen=True):
    """The record took effect."""

    offset: int
    value: object = None
    """What the fold made of the record, such as a revision or an epoch."""


class Rejected(msgspec.Struct, frozen=True):
    """The record is on the log and changed nothing, for all readers alike."""

    offset: int
    error: PassgateError


Decision = Accepted | Rejected


class Fold(Protocol):
    """State of one stream."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply the record at ``offset``; called once per offset, in order."""
        ...

    def snapshot(self) -> bytes:
        """Return the state as JSON."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot; raises ``msgspec.MsgspecError`` when unreadable."""
        ...


class WriterTable:
    """Highest sequence seen of each writer, bounded deterministically.

    Appends of one writer are serial, so a sequence at or below the highest one
    seen is a copy of a record that is already decided.
    """

    def __init__(self, last_sequences: dict[str, int] | None = None) -> None:
        self._last_sequences = dict(last_sequences or {})

    def admit(self, writer: str, sequence: int) -> bool:
        """Return whether the record is new, and remember it."""
        last = self._last_sequences.pop(writer, 0)
        # Re-inserting keeps the mapping ordered by last use; all readers do it alike.
        self._last_sequences[writer] = max(last, sequence)
        if len(self._last_sequences) > WRITER_TABLE_CAPACITY:
            del self._last_sequences[next(iter(self._last_sequences))]
        return sequence > last

    def as_dict(self) -> dict[str, int]:
        """Return writers to their highest sequence, longest silent first."""
        return dict(self._last_sequences)


class StreamState:
    """A fold together with the removal of repeated records.

    Replaying a stream's payloads through one of these, in offset order from
    zero or from a snapshot, gives what every daemon has.
    """

    def __init__(self, fold: Fold) -> None:
        self.fold = fold
        self.next_offset = 0
        """First offset not yet applied."""
        self.unknown_records = 0
        """Records of kinds that this version does not know, since the beginning."""
        self._writers = WriterTable()

    def apply(self, offset: int, payload: bytes) -> tuple[Record | None, Decision]:
        """Apply the payload at ``offset``, which must be :attr:`next_offset`."""
        assert offset == self.next_offset, "offsets are applied without gaps"
        self.next_offset = offset + 1
        record = decode_record(payload)
        if record is None:
            return None, Rejected(offset, UnknownRecord("the envelope is not readable"))
        return record, self._decide(offset, record)

    def _decide(self, offset: int, record: Record) -> Decision:
        if not self._writers.admit(record.writer, record.sequence):
            error = DuplicateRecord("already decided", writer=record.writer, sequence=record.sequence)
            return Rejected(offset, error)
        if isinstance(record.body, ProposalWithdrawn):
            return Accepted(offset)
        if isinstance(record.body, UnknownBody):
            self.unknown_records += 1
            return Rejected(offset, UnknownRecord("kind of a newer version", kind=record.body.kind))
        try:
            return self.fold.apply(offset, record)
        except Exception as error:  # noqa: BLE001  Pure, so every reader fails alike; a bad record must not stop them.
            return Rejected(offset, PassgateError("the record can not be applied", cause=repr(error)))

    def snapshot(self) -> SnapshotTaken | None:
        """Return the state after the last record, or None when it would be incomplete.

        A state that passed over unknown kinds lacks their effect, so that only a
        version which knows them may write a snapshot of it.
        """
        if self.unknown_records:
            return None
        content = _SnapshotContent(self._writers.as_dict(), msgspec.Raw(self.fold.snapshot()))
        state = msgspec.Raw(msgspec.json.encode(content))
        return SnapshotTaken(offset=self.next_offset - 1, schema_version=SNAPSHOT_SCHEMA_VERSION, state=state)

    def restore(self, snapshot: SnapshotTaken) -> bool:
        """Adopt a snapshot; return False when it is not newer or not readable."""
        if snapshot.offset < self.next_offset or snapshot.schema_version > SNAPSHOT_SCHEMA_VERSION:
            return False
        try:
            content = msgspec.json.decode(snapshot.state, type=_SnapshotContent)
            self.fold.restore(bytes(content.state))
        except msgspec.MsgspecError:
            return False
        self._writers = WriterTable(content.writers)
        self.next_offset = snapshot.offset + 1
        self.unknown_records = 0
        return True


class _SnapshotContent(msgspec.Struct):
    writers: dict[str, int]
    state: msgspec.Raw
