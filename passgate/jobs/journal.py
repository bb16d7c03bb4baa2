"""Appends entries to one partition: in batches, one append at a time, until they stand there.

Entries are harmless when repeated (see ``fold``), so an append whose answer was
lost is simply made again.  Only a new job is appended on its own, because its
caller must be told truthfully whether it may be on the log.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import DurabilityUnknown, LogAppendUnknown, LogUnavailable
from passgate.jobs.records import AnyEntry, Batch, ItemProgressed, ItemsDone, WriterAlive, encode_batch
from passgate.sharedlog.hedge import hedged
from passgate.sharedlog.log import SharedLog

logger = logging.getLogger("passgate.jobs")

GATHER_S = 0.02
"""Time for which entries wait for others before they are appended together."""
FIRST_PAUSE_S = 0.05
"""Pause after the first failed append; a calm log answers within 0.03 s."""
MAX_PAUSE_S = 0.5
"""Longest pause, so that appends go on soon after the log is back."""
RENEW_S = 0.4
"""A daemon that owns or leads something appends at least this often."""
NO_FENCE = -1
MAX_UNREAD = 1024
"""Batches whose time of sending is kept until they are read back."""
RAW_RECORD_SHARE = 0.7
"""Share of a record's limit that uncompressed entries may fill."""


class Journal:
    """One daemon's writer of one partition."""

    def __init__(
        self, log: SharedLog, topic: str, part: int, writer: str, *, record_bytes: int, append_bytes: int
    ) -> None:
        self._log = log
        self._topic = topic
        self._part = part
        self.writer = writer
        self._raw_bytes = int(record_bytes * RAW_RECORD_SHARE)
        self._append_bytes = append_bytes
        self._queue: list[tuple[AnyEntry, asyncio.Future[int]]] = []
        self._wakeup = asyncio.Event()
        self.appended_s = float("-inf")
        """When the last append that was acknowledged had been sent."""
        self._waiting_since_s: float | None = None
        """When the batch was sent first that has no answer yet."""
        self._renewal: asyncio.Future[int] | None = None
        self._sequence = 0
        self._sent_s: dict[int, float] = {}
        """When batches that were not read back yet were sent first."""

    @property
    def piece_bytes(self) -> int:
        """Most bytes of a job's spec in one entry; base64 on the wire makes them longer."""
        return self._raw_bytes // 2

    def put(self, entry: AnyEntry) -> asyncio.Future[int]:
        """Append an entry with the next batch; the future gives an offset once it stands on the log."""
        future = asyncio.get_running_loop().create_future()
        self._queue.append((entry, future))
        self._wakeup.set()
        return future

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be appended."""
        return not self._queue

    @property
    def waiting_s(self) -> float:
        """Time for which the log has not acknowledged what was sent last; 0 when it has."""
        return 0.0 if self._waiting_since_s is None else monotonic_s() - self._waiting_since_s

    def pending(self) -> list[AnyEntry]:
        """Return the entries that the log has not acknowledged, in order."""
        return [entry for entry, _ in self._queue]

    def renew(self, fence: int = NO_FENCE) -> None:
        """Append a renewal when nothing else was appended for some time."""
        waiting = self._renewal is not None and not self._renewal.done()
        if not waiting and monotonic_s() - self.appended_s >= RENEW_S:
            self._renewal = self.put(WriterAlive(fence=fence))

    async def run(self) -> None:
        """Append what is put, until cancelled."""
        while True:
            await self._wakeup.wait()
            await asyncio.sleep(GATHER_S)
            self._wakeup.clear()
            while self._queue:
                count = self._count_that_fits()
                await self._append_until_done(self._queue[:count])
                del self._queue[:count]

    def _encode(self, entries: tuple[AnyEntry, ...]) -> bytes:
        self._sequence += 1
        self._sent_s[self._sequence] = monotonic_s()
        if len(self._sent_s) > MAX_UNREAD:
            del self._sent_s[next(iter(self._sent_s))]
        return encode_batch(Batch(writer=self.writer, entries=entries, sequence=self._sequence))

    def read_back(self, batch: Batch) -> float | None:
        """Return when a batch of this writer, now read from the log, was sent first."""
        return self._sent_s.pop(batch.sequence, None)

    def _count_that_fits(self) -> int:
        size = 0
        for count, (entry, _) in enumerate(self._queue):
            size += entry_size(entry)
            if size > self._raw_bytes and count:
                return count
        return len(self._queue)

    async def _append_until_done(self, queued: Sequence[tuple[AnyEntry, asyncio.Future[int]]]) -> None:
        record = self._encode(tuple(entry for entry, _ in queued))
        pause_s = FIRST_PAUSE_S
        self._waiting_since_s = monotonic_s()
        while True:
            sent_s = monotonic_s()
            try:
                offset = await hedged(lambda: self._log.append(self._topic, self._part, [record]))
            except (LogUnavailable, LogAppendUnknown) as error:
                logger.info("append_failed", extra={"error": str(error), "code": error.code})
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2.0, MAX_PAUSE_S)
                continue
            self.appended_s = max(self.appended_s, sent_s)
            self._waiting_since_s = None
            for _, future in queued:
                if not future.done():
                    future.set_result(offset)
            return

    async def append_job(self, parts: Sequence[AnyEntry], deadline_s: float) -> int:
        """Append a new job's entries; return the offset of the last.

        Raises:
            LogUnavailable: the job is not on the log and never will be.
            DurabilityUnknown: it may be there, now or later.
        """
        records = [self._encode((part,)) for part in parts]
        in_doubt = False
        pause_s = FIRST_PAUSE_S
        while True:
            sent_s = monotonic_s()
            try:
                offset = await self._append_all(records)
                self.appended_s = max(self.appended_s, sent_s)
                return offset
            except LogAppendUnknown:
                in_doubt = True
            except LogUnavailable:
                if not in_doubt and monotonic_s() + pause_s >= deadline_s:
                    raise
            if monotonic_s() + pause_s >= deadline_s:
                raise DurabilityUnknown("the job may be on the log")
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2.0, MAX_PAUSE_S)

    async def _append_all(self, records: Sequence[bytes]) -> int:
        # Of a job in several appends, pieces without the others make no job.
        offset = 0
        for group in grouped(records, self._append_bytes):
            offset = await self._log.append(self._topic, self._part, group) + len(group) - 1
        return offset


def entry_size(entry: AnyEntry) -> int:
    """Return about how many bytes an entry takes before compression."""
    if isinstance(entry, ItemsDone):
        return sum(len(result.text) + 100 for result in entry.results)
    if isinstance(entry, ItemProgressed):
        return sum(len(text) + 10 for text in entry.data) + 200
    return len(msgspec.json.encode(entry))


def grouped(records: Sequence[bytes], limit_bytes: int) -> list[list[bytes]]:
    """Split records into runs of at most ``limit_bytes`` each.

    >>> grouped([b"aa", b"bb", b"c"], 12)
    [[b'aa', b'bb'], [b'c']]
    """
    groups: list[list[bytes]] = []
    size = 0
    for record in records:
        cost = len(record) + 4
        if not groups or size + cost > limit_bytes:
            groups.append([])
            size = 0
        groups[-1].append(record)
        size += cost
    return groups
