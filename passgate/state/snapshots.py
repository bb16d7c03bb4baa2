"""Snapshots of a stream's state on its companion stream ``<stream>.snapshots``.

The writer of every :data:`SNAPSHOT_EVERY_RECORDS`-th record takes the snapshot, so
that a single daemon writes it.  A starting daemon restores the latest readable one
and then reads only the records after it.
"""

from __future__ import annotations

import asyncio

from passgate.errors import LogError
from passgate.interfaces import LogClient
from passgate.records import Record, SnapshotTaken, decode_record, encode_record
from passgate.state.append_queue import APPEND_TIMEOUT_S, Backoff

SNAPSHOT_EVERY_RECORDS = 256
READ_LIMIT_SNAPSHOTS = 4
"""Number of latest snapshots that a starting daemon reads; older ones serve when the latest is unreadable."""
MAX_WRITE_ATTEMPTS = 5


def stream_name(stream: str) -> str:
    """Return the name of the stream that holds the snapshots of ``stream``."""
    return f"{stream}.snapshots"


def is_due(offset: int) -> bool:
    """Return whether the writer of the record at ``offset`` takes a snapshot."""
    return (offset + 1) % SNAPSHOT_EVERY_RECORDS == 0


async def read_latest(log: LogClient, stream: str) -> list[SnapshotTaken]:
    """Return the readable ones of the latest snapshots, the one with the highest offset first.

    Raises:
        LogError: the log could not be read.
    """
    snapshot_stream = stream_name(stream)
    end_offset = (await log.read(snapshot_stream, 0, 1, 0.0)).end_offset
    start_offset = max(0, end_offset - READ_LIMIT_SNAPSHOTS)
    batch = await log.read(snapshot_stream, start_offset, READ_LIMIT_SNAPSHOTS, 0.0)
    records = [decode_record(entry.payload) for entry in batch.entries]
    snapshots = [record.body for record in records if record and isinstance(record.body, SnapshotTaken)]
    return sorted(snapshots, key=lambda snapshot: snapshot.offset, reverse=True)


async def write(log: LogClient, stream: str, writer: str, snapshot: SnapshotTaken, backoff: Backoff) -> None:
    """Append a snapshot, with up to :data:`MAX_WRITE_ATTEMPTS` attempts.

    Raises nothing when all attempts fail with a LogError: a missing snapshot only
    makes a starting daemon read more records.
    """
    record = Record(writer=writer, sequence=snapshot.offset + 1, epoch=0, body=snapshot)
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            await log.append(stream_name(stream), [encode_record(record)], APPEND_TIMEOUT_S)
        except LogError:
            await asyncio.sleep(backoff.next_delay_s())
        else:
            return
