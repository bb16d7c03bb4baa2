"""What relays keep on the log of a long list of replicas: each change, and the whole list in parts.

A daemon that starts reads the parts, and then the changes from where the parts were made.  Both are
compressed JSON.

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
"""Parts of the list.  One of 3,000 replicas takes about 4 KB, so 150,000 replicas fit into records."""
COMPRESSION_LEVEL = 6
"""The library's default; a list of 3,000 replicas shrinks from 0.6 MB to a ninth."""

Content = TypeVar("Content", bound=msgspec.Struct)


class RelayedChanges(msgspec.Struct, frozen=True, kw_only=True):
    """One record of a relay; without changes it only shows that the relay lives."""

    relay: str
    """The daemon that appended it."""
    changes: tuple[ReplicaUpdate, ...] = ()
    unreadable: int = 0
    """Changes of the record that could not be read."""


class ListPart(msgspec.Struct, frozen=True, kw_only=True):
    """All replicas of one part of the list."""

    part: int
    at: int
    """Offset in discovery up to which the part is whole: a replica that it lacks was gone then."""
    changes_from: int
    """Offset in the topic of changes from which on they are not in the part."""
    replicas: tuple[ReplicaUpdate, ...] = ()
    unreadable: int = 0
    """Replicas of the part that could not be read."""


class _ChangesRecord(msgspec.Struct):
    relay: str
    changes: list[msgspec.Raw] = []


class _PartRecord(msgspec.Struct):
    part: int
    at: int
    changes_from: int
    replicas: list[msgspec.Raw] = []


def part_of(replica_id: str) -> int:
    """Return the part of the list that holds a replica."""
    return zlib.crc32(replica_id.encode()) % LIST_PARTS


def encode_part(part: ListPart) -> KeyedRecord:
    """Return the record of a part."""
    return KeyedRecord(key=str(part.part), value=_compress(part))


def decode_part(record: KeyedRecord) -> ListPart:
    """Return the part of a record, without replicas that can't be read; raises MalformedRecord."""
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
    """Return the record of changes."""
    return _compress(changes)


def decode_changes(record: bytes) -> RelayedChanges:
    """Return the changes of a record, without those that can't be read; raises MalformedRecord."""
    told = _decompress(record, _ChangesRecord)
    changes = _decode_readable(told.changes)
    return RelayedChanges(relay=told.relay, changes=changes, unreadable=len(told.changes) - len(changes))


def _decode_readable(rows: list[msgspec.Raw]) -> tuple[ReplicaUpdate, ...]:
    """Return the news that can be read; one that can't must not cost the others."""
    news = []
    for row in rows:
        with contextlib.suppress(msgspec.DecodeError, RecursionError):  # the caller counts what is left out
            news.append(msgspec.json.decode(row, type=ReplicaUpdate))
    return tuple(news)


def _compress(content: msgspec.Struct) -> bytes:
    return zlib.compress(msgspec.json.encode(content), COMPRESSION_LEVEL)


def _decompress(data: bytes, kind: type[Content]) -> Content:
    try:
        return msgspec.json.decode(zlib.decompress(data), type=kind)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise MalformedRecord(f"{kind.__name__} of the list of replicas: {error}") from error
