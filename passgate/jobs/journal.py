"""Appends entries to one partition of the log: in batches, one at a time, each retried until acknowledged.

Applying an entry twice has the same effect as applying it once, so an append whose outcome is
unknown is repeated.  New jobs do not go through the queue, because the caller of a failed append must learn
whether the job may be on the log.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import DurabilityUnknown, LogAppendUnknown, LogUnavailable, RecordTooLarge
from passgate.jobs.records import AnyEntry, Batch, ItemProgressed, ItemsDone, WriterAlive, encode_batch
from passgate.sharedlog.hedge import call_hedged
from passgate.sharedlog.log import SharedLog

logger = logging.getLogger("passgate.jobs")

BATCH_DELAY_S = 0.02
"""Time for which the first queued entry waits for others, to be appended with them."""
FIRST_RETRY_PAUSE_S = 0.05
"""Pause after the first failed append; doubles with each further failure.  A calm log answers in 30 ms."""
MAX_RETRY_PAUSE_S = 0.5
"""Longest pause between attempts, so that appends resume soon after the log has recovered."""
RENEWAL_INTERVAL_S = 0.4
"""Age of the last acknowledged append from which a lease is renewed by an append of its own."""
NO_FENCE = -1
"""Fence in the renewals of a daemon that does not lead."""
MAX_UNREAD_BATCHES = 1024
"""Maximum number of batches whose time is kept until this daemon reads them from the log."""
MAX_RAW_RECORD_SHARE = 0.7
"""Share of the maximum record size that several entries of one batch may take before compression."""


class Journal:
    """Queue of entries that one daemon appends to one partition."""

    def __init__(
        self, log: SharedLog, topic: str, partition: int, writer: str, *, record_bytes: int, append_bytes: int
    ) -> None:
        self._log = log
        self._topic = topic
        self._partition = partition
        self.writer = writer
        self._max_record_bytes = record_bytes
        self._max_raw_bytes = int(record_bytes * MAX_RAW_RECORD_SHARE)
        self._max_append_bytes = append_bytes
        self._queue: list[tuple[AnyEntry, asyncio.Future[int]]] = []
        self._wakeup = asyncio.Event()
        self.last_append_sent_s = float("-inf")
        """Loop time at which the last acknowledged append was sent."""
        self._unacknowledged_since_s: float | None = None
        """Loop time since which the current batch waits to be acknowledged; None when none does."""
        self._renewal: asyncio.Future[int] | None = None
        self._sequence = 0
        self._sent_s_by_sequence: dict[int, float] = {}
        """Loop time of encoding, by sequence number, of batches that were not yet read from the log."""

    @property
    def max_piece_bytes(self) -> int:
        """Largest piece of a job's spec in one entry, in bytes; base64 adds a third to it in the record."""
        return self._max_raw_bytes // 2

    def put(self, entry: AnyEntry) -> asyncio.Future[int]:
        """Queue an entry for a batch; the future returns the batch's offset once it is acknowledged."""
        future = asyncio.get_running_loop().create_future()
        self._queue.append((entry, future))
        self._wakeup.set()
        return future

    @property
    def has_no_pending_entries(self) -> bool:
        """Whether the log has acknowledged all queued entries."""
        return not self._queue

    @property
    def unacknowledged_for_s(self) -> float:
        """Time since the append of the unacknowledged batch was begun; 0 when there is none."""
        return 0.0 if self._unacknowledged_since_s is None else monotonic_s() - self._unacknowledged_since_s

    def unacknowledged_entries(self) -> list[AnyEntry]:
        """Return the queued entries that the log has not acknowledged, in order."""
        return [entry for entry, _ in self._queue]

    def renew_lease(self, fence: int = NO_FENCE) -> None:
        """Queue a lease renewal, unless one is queued or the last acknowledged append is recent.

        An append counts as recent if it was sent less than RENEWAL_INTERVAL_S ago.

        Args:
            fence: fence of this daemon's leadership; NO_FENCE if it does not lead.
        """
        renewal_pending = self._renewal is not None and not self._renewal.done()
        if not renewal_pending and monotonic_s() - self.last_append_sent_s >= RENEWAL_INTERVAL_S:
            self._renewal = self.put(WriterAlive(fence=fence))

    async def run(self) -> None:
        """Append queued entries until cancelled."""
        while True:
            await self._wakeup.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self._wakeup.clear()
            max_count: int | None = None
            while self._queue:
                count, record = self._encode_queued(max_count)
                try:
                    await self._append_until_done(record, self._queue[:count])
                except RecordTooLarge as error:
                    if count > 1:
                        max_count = count // 2
                        continue
                    self._reject_entry(error)
                del self._queue[:count]
                max_count = None

    def _encode_queued(self, max_count: int | None) -> tuple[int, bytes]:
        """Return a record of the first queued entries and their number, at most ``max_count``.

        As many as fit in a record, but at least one.
        """
        count = self._count_that_fits()
        if max_count is not None:
            count = min(count, max_count)
        record = self._encode(tuple(entry for entry, _ in self._queue[:count]))
        while len(record) > self._max_record_bytes and count > 1:
            count //= 2
            self._sequence -= 1
            record = self._encode(tuple(entry for entry, _ in self._queue[:count]))
        return count, record

    def _reject_entry(self, error: RecordTooLarge) -> None:
        """Fail the first queued entry, which alone is too large for the log, so that others can follow."""
        entry, future = self._queue[0]
        logger.error("entry_dropped", extra={"entry": type(entry).__name__, "error": str(error)})
        self._unacknowledged_since_s = None
        if not future.done():
            future.set_exception(error)
            future.exception()  # marks it as retrieved: most callers do not wait for their entries

    def _encode(self, entries: tuple[AnyEntry, ...]) -> bytes:
        self._sequence += 1
        self._sent_s_by_sequence[self._sequence] = monotonic_s()
        if len(self._sent_s_by_sequence) > MAX_UNREAD_BATCHES:
            del self._sent_s_by_sequence[next(iter(self._sent_s_by_sequence))]
        return encode_batch(Batch(writer=self.writer, entries=entries, sequence=self._sequence))

    def take_send_time_s(self, batch: Batch) -> float | None:
        """Return and forget the loop time at which a batch of this writer, now read, was encoded.

        Returns None if the time is not known, for example when a copy of the batch is read.
        """
        return self._sent_s_by_sequence.pop(batch.sequence, None)

    def _count_that_fits(self) -> int:
        """Return how many queued entries fit in one record; at least one, however large it is."""
        size = 0
        for count, (entry, _) in enumerate(self._queue):
            size += entry_size(entry)
            if size > self._max_raw_bytes and count:
                return count
        return len(self._queue)

    async def _append_until_done(
        self, record: bytes, queued: Sequence[tuple[AnyEntry, asyncio.Future[int]]]
    ) -> None:
        """Append a record of queued entries; raises RecordTooLarge if the log refuses it for its size."""
        pause_s = FIRST_RETRY_PAUSE_S
        self._unacknowledged_since_s = monotonic_s()
        while True:
            sent_s = monotonic_s()
            try:
                offset = await call_hedged(lambda: self._log.append(self._topic, self._partition, [record]))
            except RecordTooLarge:
                raise
            except (LogUnavailable, LogAppendUnknown) as error:
                logger.info("append_failed", extra={"error": str(error), "code": error.code})
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2.0, MAX_RETRY_PAUSE_S)
                continue
            self.last_append_sent_s = max(self.last_append_sent_s, sent_s)
            self._unacknowledged_since_s = None
            for _, future in queued:
                if not future.done():
                    future.set_result(offset)
            return

    async def append_job(self, pieces: Sequence[AnyEntry], deadline_s: float) -> int:
        """Append a new job's entries, each as a record; return the offset of the last.

        Failed appends are repeated until the deadline.

        Raises:
            LogUnavailable: the job is not on the log and never will be.
            DurabilityUnknown: the outcome of an append is unknown; the job may be on the log, now or later.
        """
        records = [self._encode((piece,)) for piece in pieces]
        unconfirmed = False
        pause_s = FIRST_RETRY_PAUSE_S
        while True:
            sent_s = monotonic_s()
            try:
                offset = await self._append_all(records)
                self.last_append_sent_s = max(self.last_append_sent_s, sent_s)
                return offset
            except LogAppendUnknown:
                unconfirmed = True
            except LogUnavailable:
                if not unconfirmed and monotonic_s() + pause_s >= deadline_s:
                    raise
            if monotonic_s() + pause_s >= deadline_s:
                raise DurabilityUnknown("the job may be on the log")
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2.0, MAX_RETRY_PAUSE_S)

    async def _append_all(self, records: Sequence[bytes]) -> int:
        """Append records, in several appends where one would be too large; return the last one's offset."""
        # If only some appends succeed, there is no job: readers ignore it until they have all its pieces.
        offset = 0
        for append_records in split_by_size(records, self._max_append_bytes):
            offset = (
                await self._log.append(self._topic, self._partition, append_records) + len(append_records) - 1
            )
        return offset


def entry_size(entry: AnyEntry) -> int:
    """Return an estimate of an entry's size in bytes before compression."""
    if isinstance(entry, ItemsDone):
        return sum(len(result.text.encode()) + 100 for result in entry.results)
    if isinstance(entry, ItemProgressed):
        return sum(len(text.encode()) + 10 for text in entry.data) + 200
    return len(msgspec.json.encode(entry))


def split_by_size(records: Sequence[bytes], limit_bytes: int) -> list[list[bytes]]:
    """Split records into lists for one append each, of at most ``limit_bytes`` with 4 bytes added per record.

    A record larger than the limit gets a list of its own.

    >>> split_by_size([b"aa", b"bb", b"c"], 12)
    [[b'aa', b'bb'], [b'c']]
    """
    appends: list[list[bytes]] = []
    size = 0
    for record in records:
        record_cost = len(record) + 4
        if not appends or size + record_cost > limit_bytes:
            appends.append([])
            size = 0
        appends[-1].append(record)
        size += record_cost
    return appends
