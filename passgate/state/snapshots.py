"""Snapshots of a stream's state on its companion stream ``<stream>.snapshots``.

The writer of every :data:`SNAPSHOT_EVERY_RECORDS`-th record takes the snapshot,
so that one daemon and not all of them writes it.  A starting daemon restores the
latest one and reads at most the records after it.
"""

from __future__ import annotations

import asyncio

from passgate.errors import LogError
from passgate.interfaces import LogClient
from passgate.records import Record, SnapshotTaken, decode_record, encode_record
from passgate.state.append_queue import APPEND_TIMEOUT_S, Backoff

SNAPSHOT_EVERY_RECORDS = 256
SNAPSHOTS_EXAMINED = 4
"""How many of the last snapshots a starting daemon looks at."""
WRITE_ATTEMPTS = 5


def stream_name(stream: str) -> str:
    """Return the name of the companion stream."""
    return f"{stream}.snapshots"


def is_due(offset: int) -> bool:
    """Return whether the writer of the record at ``offset`` takes a snapshot."""
    return (offset + 1) % SNAPSHOT_EVERY_RECORDS == 0


async def latest(log: LogClient, stream: str) -> list[SnapshotTaken]:
    """Return the last readable snapshots, the one with the highest offset first.

    Raises:
        LogError: the log could not be read.
    """
    name = stream_name(stream)
    end_offset = (await log.read(name, 0, 1, 0.0)).end_offset
    start = max(0, end_offset - SNAPSHOTS_EXAMINED)
    batch = await log.read(name, start, SNAPSHOTS_EXAMINED, 0.0)
    records = [decode_record(entry.payload) for entry in batch.entries]
    found = [record.body for record in records if record and isinstance(record.body, SnapshotTaken)]
    return sorted(found, key=lambda snapshot: snapshot.offset, reverse=True)


async def write(log: LogClient, stream: str, writer: str, snapshot: SnapshotTaken, backoff: Backoff) -> None:
    """Append a snapshot; a lost one only makes a later start read more records."""
    record = Record(writer=writer, sequence=snapshot.offset + 1, epoch=0, body=snapshot)
    for _ in range(WRITE_ATTEMPTS):
        try:
            await log.append(stream_name(stream), [encode_record(record)], APPEND_TIMEOUT_S)
        except LogError:
            await asyncio.sleep(backoff.next_s())
        else:
            return
