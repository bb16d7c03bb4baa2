"""Follower of one log stream: applies its records to a projection and proposes new ones.

The log has no conditional append.  A daemon appends a record, reads it back and acts
on the decision of its projection, which is the decision of every other reader too::

    follower = LogFollower(log, "leases", LeaseProjection(), writer="caruaru-1/7f3a", random=random)
    follower.start()
    decision = await follower.propose(LeaseTaken(role="pool/modelos", holder="caruaru-1/7f3a"), timeout_s=2.0)

``writer`` must be unique per follower and per incarnation of the process, because
readers recognise duplicates by writer and sequence and sequences start at 1.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from random import Random

import msgspec

from passgate.errors import DeadlineExceeded, ExecutionStatus, LogError
from passgate.interfaces import LogBatch, LogClient, LogEntry
from passgate.records import Body, Record, SnapshotTaken
from passgate.state import snapshots
from passgate.state.append_queue import AppendQueue, Backoff
from passgate.state.projection import Accepted, Decision, Projection, Rejected, StreamState

__all__ = ["Accepted", "Decision", "Projection", "LogFollower", "Rejected"]

READ_LIMIT_RECORDS = 256
READ_WAIT_S = 10.0
READ_TIMEOUT_MARGIN_S = 5.0
"""Time beyond its ``wait_s`` after which a read that has not returned counts as failed."""
OWN_RECORD_READ_TIMEOUT_S = 0.5
"""Time for which an own record may stay undecided before a waiting read is repeated or reads are started."""

AppliedCallback = Callable[[int, Record, Decision], None]


class FollowerCounters(msgspec.Struct):
    """Counters of one follower since its creation."""

    applied_records: int = 0
    read_failures: int = 0
    gaps: int = 0
    """Batches of entries, read or given by a peer, in which the next offset was missing."""
    snapshots_taken: int = 0


class LogFollower:
    """Follows one stream and appends to it as one writer.

    ``on_applied`` is called with offset, record and decision after each record whose
    envelope is readable.  ``on_late_acceptance`` is called when a proposal is accepted
    after its proposer got DurabilityUnknown or was cancelled.  With
    ``use_snapshots`` the follower starts from a snapshot and takes snapshots.  With
    ``reads_on_demand`` it does not read before a confirmed append leaves offsets to
    read, an append fails, or a proposal stays undecided; a stream with a single
    writer then causes no reads.  The last ``retained_entries`` entries are kept for
    peers.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        projection: Projection,
        writer: str,
        *,
        use_snapshots: bool = False,
        retained_entries: int = 0,
        reads_on_demand: bool = False,
        on_applied: AppliedCallback | None = None,
        on_late_acceptance: Callable[[Record, Decision], None] | None = None,
        random: Random | None = None,
    ) -> None:
        self.stream = stream
        self.counters = FollowerCounters()
        self._log = log
        self._stream_state = StreamState(projection)
        self._on_applied = on_applied
        self.on_restored: Callable[[], None] | None = None
        """Called after a snapshot has replaced the state of the projection."""
        self._use_snapshots = use_snapshots
        random = random or Random(writer)
        self._backoff = Backoff(random)
        self._append_queue = AppendQueue(log, stream, writer, random)
        self._append_queue.on_late_acceptance = on_late_acceptance
        self._append_queue.on_appended = self._handle_append
        self._append_queue.on_append_failed = self._request_reads
        self._known_end_offset = 0
        """Largest end offset of the stream that a read or a confirmed append has reported."""
        self._reads_requested = asyncio.Event()
        if not reads_on_demand:
            self._reads_requested.set()
        self._read_interrupt: asyncio.Future[None] | None = None
        """Resolving it abandons the read in flight."""
        self._retained_entries: deque[LogEntry] = deque(maxlen=retained_entries)
        self._offset_waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._synchronised = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def next_offset(self) -> int:
        """First offset not yet applied; never decreases."""
        return self._stream_state.next_offset

    @property
    def writer(self) -> str:
        """Writer in the envelopes of this follower's records."""
        return self._append_queue.writer

    @property
    def is_synchronised(self) -> bool:
        """Whether a read has reached the end of the stream that the answering log replica reported."""
        return self._synchronised.is_set()

    @property
    def is_behind(self) -> bool:
        """Whether a read or a confirmed append has reported records that are not applied yet."""
        return self.next_offset < self._known_end_offset

    @property
    def is_idle(self) -> bool:
        """Whether no proposal of this follower is queued or undecided."""
        return self._append_queue.is_idle

    def start(self) -> None:
        """Start to read and append; reads return at once until the first has reached the end."""
        self._spawn(self._run())

    async def close(self) -> None:
        """Stop and fail unresolved proposals with DurabilityUnavailable or DurabilityUnknown."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._append_queue.close()

    async def propose(self, body: Body, *, epoch: int = 0, timeout_s: float) -> Decision:
        """Append a record, wait until it is applied here, and return the decision on it.

        Raises:
            DurabilityUnavailable: the follower is closed, or ``timeout_s`` passed and the
                record is certainly not on the log and never will be.
            DurabilityUnknown: ``timeout_s`` passed and the record may be on the log.
        """
        if not self._reads_requested.is_set():
            asyncio.get_running_loop().call_later(OWN_RECORD_READ_TIMEOUT_S, self._request_reads_if_undecided)
        return await self._append_queue.propose(body, epoch, timeout_s)

    async def wait_applied(self, offset: int, timeout_s: float) -> None:
        """Wait until all records before ``offset`` are applied.

        Raises:
            DeadlineExceeded: ``timeout_s`` passed first.
        """
        if self.next_offset >= offset:
            return
        reached = asyncio.get_running_loop().create_future()
        self._offset_waiters.append((offset, reached))
        await _wait_within(reached, timeout_s, f"stream {self.stream}: offset {offset}")

    async def wait_synchronised(self, timeout_s: float) -> None:
        """Wait until :attr:`is_synchronised` holds.

        Raises:
            DeadlineExceeded: ``timeout_s`` passed first.
        """
        await _wait_within(self._synchronised.wait(), timeout_s, f"the end of stream {self.stream}")

    def entries_since(self, offset: int) -> tuple[LogEntry, ...]:
        """Return the retained entries from ``offset`` on; empty when that offset is not retained."""
        if not self._retained_entries or self._retained_entries[0].offset > offset:
            return ()
        skipped_entries = offset - self._retained_entries[0].offset
        return tuple(itertools.islice(self._retained_entries, skipped_entries, None))

    def apply_entries(self, entries: Sequence[LogEntry]) -> int:
        """Apply entries in order; return how many were applied.

        Entries that are already applied are skipped.  Stops at the first gap.
        """
        applied_count = 0
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            if entry.offset > self.next_offset:
                self.counters.gaps += 1
                break
            self._apply(entry)
            applied_count += 1
        self._wake_waiters()
        return applied_count

    def restore(self, snapshot: SnapshotTaken) -> bool:
        """Replace the state by a newer snapshot; return whether it was replaced.

        Refused while an own record may be on the log undecided: a snapshot replaces
        the records before it, so the decision on that record would never be seen.
        """
        if self._append_queue.has_unconfirmed_records or not self._stream_state.restore(snapshot):
            return False
        self._retained_entries.clear()
        if self.on_restored is not None:
            self.on_restored()
        self._wake_waiters()
        return True

    def snapshot(self) -> SnapshotTaken | None:
        """Return a snapshot of the state; None when no record is applied or unknown kinds were skipped."""
        return self._stream_state.snapshot() if self.next_offset else None

    async def _run(self) -> None:
        if self._use_snapshots:
            await self._restore_snapshot()
        self._spawn(self._append_queue.run())
        await self._reads_requested.wait()
        while True:
            await self._read_once()

    async def _restore_snapshot(self) -> None:
        """Restore the latest readable snapshot, if there is one; retry while the log can not be read."""
        while self.next_offset == 0:
            try:
                for snapshot in await snapshots.read_latest(self._log, self.stream):
                    if self.restore(snapshot):
                        break
            except LogError:
                self.counters.read_failures += 1
                await asyncio.sleep(self._backoff.next_delay_s())
            else:
                self._backoff.reset()
                return

    async def _read_once(self) -> None:
        wait_s = READ_WAIT_S if self.is_synchronised else 0.0
        try:
            batch = await self._read(wait_s)
        except Exception:  # noqa: BLE001  No client error may stop the follower.
            self.counters.read_failures += 1
            await asyncio.sleep(self._backoff.next_delay_s())
            return
        if batch is None:
            return
        self._known_end_offset = max(self._known_end_offset, batch.end_offset)
        applied_count = self.apply_entries(batch.entries)
        if batch.entries and applied_count == 0 and batch.entries[-1].offset + 1 != self.next_offset:
            # A lagging log replica returned a gap or only old entries; the delay avoids a busy loop.
            await asyncio.sleep(self._backoff.next_delay_s())
            return
        self._backoff.reset()
        if self.next_offset >= batch.end_offset:
            self._synchronised.set()

    async def _read(self, wait_s: float) -> LogBatch | None:
        """Read once from the next offset; return None when the read was interrupted.

        Raises:
            LogError: the read did not return in time.
            Exception: whatever the log client raised.
        """
        read = self._log.read(self.stream, self.next_offset, READ_LIMIT_RECORDS, wait_s)
        read_task = asyncio.ensure_future(read)
        self._read_interrupt = interrupt = asyncio.get_running_loop().create_future()
        timeout_s = wait_s + READ_TIMEOUT_MARGIN_S
        try:
            await asyncio.wait({read_task, interrupt}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if read_task.done():
                return read_task.result()
            if interrupt.done():
                return None
            raise LogError("the read did not return in time")
        finally:
            read_task.cancel()
            interrupt.cancel()

    def _request_reads(self) -> None:
        self._reads_requested.set()

    def _request_reads_if_undecided(self) -> None:
        if not self.is_idle:
            self._request_reads()

    def _handle_append(self, first_offset: int, payloads: Sequence[bytes]) -> None:
        """Apply an appended record without reading it when its offset is the next one; else read.

        Only a batch of one is applied directly: the log reports the offset of the
        first record alone, and does not guarantee that the others follow it.
        """
        self._known_end_offset = max(self._known_end_offset, first_offset + len(payloads))
        if len(payloads) == 1 and first_offset == self.next_offset:
            self.apply_entries([LogEntry(first_offset, payloads[0])])
            return
        self._request_reads()
        asyncio.get_running_loop().call_later(OWN_RECORD_READ_TIMEOUT_S, self._interrupt_read)

    def _interrupt_read(self) -> None:
        """Abandon the read in flight while an own record is undecided; the next read starts at once."""
        is_reading = self._read_interrupt is not None and not self._read_interrupt.done()
        if is_reading and not self._append_queue.is_idle:
            self._read_interrupt.set_result(None)

    def _apply(self, entry: LogEntry) -> None:
        record, decision = self._stream_state.apply(entry.offset, entry.payload)
        self._retained_entries.append(entry)
        self.counters.applied_records += 1
        if record is None:
            return
        is_own = record.writer == self.writer
        if is_own:
            self._append_queue.record_decision(record, decision)
        if self._on_applied is not None:
            self._on_applied(entry.offset, record, decision)
        if is_own and self._use_snapshots and snapshots.is_due(entry.offset):
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        snapshot = self._stream_state.snapshot()
        if snapshot is None:
            return
        self.counters.snapshots_taken += 1
        self._spawn(snapshots.write(self._log, self.stream, self.writer, snapshot, self._backoff))

    def _wake_waiters(self) -> None:
        still_waiting = []
        for offset, reached in self._offset_waiters:
            if reached.done():
                continue
            if offset <= self.next_offset:
                reached.set_result(None)
            else:
                still_waiting.append((offset, reached))
        self._offset_waiters = still_waiting

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _wait_within(awaitable, timeout_s: float, awaited: str) -> None:
    """Await with a timeout.

    Raises:
        DeadlineExceeded: ``timeout_s`` passed; the message names ``awaited``.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await awaitable
    except TimeoutError:
        raise DeadlineExceeded(f"{awaited} not reached in time", execution=ExecutionStatus.NOT_RUN) from None
