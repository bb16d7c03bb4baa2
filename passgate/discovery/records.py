"""Records in which relays keep a long list of replicas on the log.

A relay is a daemon that reads discovery for the other daemons.  The list is divided into parts, which are
records of a keyed topic.  Changes are records of another topic.  A daemon reads all parts first, and then
the changes since they were written.  Parts and changes are compressed JSON.

>>> part = ListPart(part=3, at=40, changes_from=7)
>>> decode_part(encode_part(part)) == part
True
>>> decode_changes(encode_changes(RelayedChanges(relay="d1"))).relay
'd1'
"""

from __future__ import annotations

import contextlib
import zlib
from typing import TypeVar

import msgspec

from passgate.discovery.view import ReplicaUpdate
from passgate.errors import MalformedRecord
from passgate.sharedlog.log import KeyedRecord

LIST_PARTS = 16
"""Number of parts of the list, which is divided because the log limits the size of a record; a part of a
list of 3,000 replicas takes about 4 KB."""
COMPRESSION_LEVEL = 6
"""Level of zlib's compression; its default."""

Content = TypeVar("Content", bound=msgspec.Struct)


class RelayedChanges(msgspec.Struct, frozen=True, kw_only=True):
    """A relay's record in the topic of changes; without changes it only shows that the relay is alive."""

    relay: str
    """Identifier of the daemon that appended the record."""
    changes: tuple[ReplicaUpdate, ...] = ()
    unreadable: int = 0
    """Number of changes in the record that could not be decoded."""


class ListPart(msgspec.Struct, frozen=True, kw_only=True):
    """The replicas of one part of the list."""

    part: int
    at: int
    """Offset of the last discovery entry that the part takes into account; a replica of this part that is
    missing was not listed then."""
    changes_from: int
    """Offset in the topic of changes from which a reader of the part has to continue."""
    replicas: tuple[ReplicaUpdate, ...] = ()
    unreadable: int = 0
    """Number of replicas of the part that could not be decoded."""


class _ChangesRecord(msgspec.Struct):
    relay: str
    changes: list[msgspec.Raw] = []


class _PartRecord(msgspec.Struct):
    part: int
    at: int
    changes_from: int
    replicas: list[msgspec.Raw] = []


def part_of(replica_id: str) -> int:
    """Return the number of the part to which a replica belongs."""
    return zlib.crc32(replica_id.encode()) % LIST_PARTS


def encode_part(part: ListPart) -> KeyedRecord:
    """Encode a part as a record whose key is the part's number."""
    return KeyedRecord(key=str(part.part), value=_compress(part))


def decode_part(record: KeyedRecord) -> ListPart:
    """Decode a part; unreadable replicas are left out and counted.

    Raises MalformedRecord if the record itself can't be decoded.
    """
    part = _decompress(record.value, _PartRecord)
    replicas = _decode_readable(part.replicas)
    return ListPart(
        part=part.part,
        at=part.at,
        changes_from=part.changes_from,
        replicas=replicas,
        unreadable=len(part.replicas) - len(replicas),
    )


def encode_changes(changes: RelayedChanges) -> bytes:
    """Encode changes as a record of the topic of changes."""
    return _compress(changes)


def decode_changes(record: bytes) -> RelayedChanges:
    """Decode a record of changes; unreadable changes are left out and counted.

    Raises MalformedRecord if the record itself can't be decoded.
    """
    decoded = _decompress(record, _ChangesRecord)
    changes = _decode_readable(decoded.changes)
    return RelayedChanges(
        relay=decoded.relay, changes=changes, unreadable=len(decoded.changes) - len(changes)
    )


def _decode_readable(rows: list[msgspec.Raw]) -> tuple[ReplicaUpdate, ...]:
    """Return the rows that can be decoded, so that a malformed one does not affect the others."""
    updates = []
    for row in rows:
        with contextlib.suppress(msgspec.DecodeError, RecursionError):  # the caller counts the omitted rows
            updates.append(msgspec.json.decode(row, type=ReplicaUpdate))
    return tuple(updates)


def _compress(content: msgspec.Struct) -> bytes:
    return zlib.compress(msgspec.json.encode(content), COMPRESSION_LEVEL)


def _decompress(data: bytes, kind: type[Content]) -> Content:
    try:
        return msgspec.json.decode(zlib.decompress(data), type=kind)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise MalformedRecord(f"{kind.__name__} of the list of replicas: {error}") from error
