"""Follower of one log stream: applies its records and proposes new ones.

A decision that holds for all daemons is a record on a stream.  A writer appends
it and acts on what its own fold decides once it has passed the record, which is
what every other reader decides too::

    follower = LogFollower(log, "leases", LeaseFold(), writer="caruaru-1/7f3a", random=random)
    follower.start()
    decision = await follower.propose(LeaseTaken(role="pool/modelos", holder="caruaru-1/7f3a"), timeout_s=2.0)

``writer`` must be used by one follower only: it names the process run, not the
machine, and a process that follows a stream twice gives two names.
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
from passgate.state.fold import Accepted, Decision, Fold, Rejected, StreamState

__all__ = ["Accepted", "Decision", "Fold", "LogFollower", "Rejected"]

READ_LIMIT_RECORDS = 256
READ_WAIT_S = 10.0
READ_TIMEOUT_S = 5.0
"""How much longer than its own wait a read may take."""
OWN_RECORD_WAIT_S = 0.5
"""A waiting read is given up when it does not show our appended record for so long."""

AppliedCallback = Callable[[int, Record, Decision], None]


class FollowerCounters(msgspec.Struct):
    """Counters of one follower since its start."""

    applied: int = 0
    read_failures: int = 0
    gaps: int = 0
    """Reads whose entries did not follow the last one applied."""
    snapshots_taken: int = 0


class LogFollower:
    """Follows one stream and appends to it; one per stream and service.

    With ``reads_on_demand`` it begins to read only when the log's answers to its
    own appends leave something open, which spares a short-lived stream's reads.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        fold: Fold,
        writer: str,
        *,
        use_snapshots: bool = False,
        retained_entries: int = 0,
        reads_on_demand: bool = False,
        on_applied: AppliedCallback | None = None,
        on_abandoned: Callable[[Record, Decision], None] | None = None,
        random: Random | None = None,
    ) -> None:
        self.stream = stream
        self.counters = FollowerCounters()
        self._log = log
        self._state = StreamState(fold)
        self._on_applied = on_applied
        self.on_restored: Callable[[], None] | None = None
        """Called when a snapshot has replaced the fold's state."""
        self._use_snapshots = use_snapshots
        random = random or Random(writer)
        self._backoff = Backoff(random)
        self._queue = AppendQueue(log, stream, writer, random)
        self._queue.on_abandoned = on_abandoned
        self._queue.on_appended = self._appended
        self._queue.on_append_failed = self._want_reads
        self._known_end = 0
        """Largest end of the stream that the log has told."""
        self._reads_wanted = asyncio.Event()
        if not reads_on_demand:
            self._reads_wanted.set()
        self._interrupted: asyncio.Future[None] | None = None
        """Ends the read under way when done."""
        self._retained: deque[LogEntry] = deque(maxlen=retained_entries)
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._synchronised = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def next_offset(self) -> int:
        """First offset not yet applied; never goes back."""
        return self._state.next_offset

    @property
    def writer(self) -> str:
        """Writer name in the envelopes of this follower's records."""
        return self._queue.writer

    @property
    def synchronised(self) -> bool:
        """Whether a read has reached the end of the stream as some log replica knew it."""
        return self._synchronised.is_set()

    @property
    def is_behind(self) -> bool:
        """Whether the log has told of records, read or appended, that are not applied yet."""
        return self.next_offset < self._known_end

    @property
    def idle(self) -> bool:
        """Whether no proposal of this follower is undecided."""
        return self._queue.idle

    def start(self) -> None:
        """Begin to read and append; the first read does not wait for records."""
        self._spawn(self._run())

    async def close(self) -> None:
        """Stop; open proposals fail with what is known about them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._queue.close()

    async def propose(self, body: Body, *, epoch: int = 0, timeout_s: float) -> Decision:
        """Append a record and return the fold's decision on it.

        Raises:
            DurabilityUnavailable: the record is certainly not on the log and never will be.
            DurabilityUnknown: time ran out while that was in doubt.
        """
        if not self._reads_wanted.is_set():
            asyncio.get_running_loop().call_later(OWN_RECORD_WAIT_S, self._want_reads_if_busy)
        return await self._queue.propose(body, epoch, timeout_s)

    async def catch_up(self, offset: int, timeout_s: float) -> None:
        """Wait until all records before ``offset`` are applied; raises DeadlineExceeded."""
        if self.next_offset >= offset:
            return
        reached = asyncio.get_running_loop().create_future()
        self._waiters.append((offset, reached))
        await _within(reached, timeout_s, f"records of {self.stream} before {offset}")

    async def synchronise(self, timeout_s: float) -> None:
        """Wait until a read has reached the stream's end once; raises DeadlineExceeded."""
        await _within(self._synchronised.wait(), timeout_s, f"the end of {self.stream}")

    def entries_since(self, offset: int) -> tuple[LogEntry, ...]:
        """Return the retained entries from ``offset``; empty when they do not reach back so far."""
        if not self._retained or self._retained[0].offset > offset:
            return ()
        skipped = offset - self._retained[0].offset
        return tuple(itertools.islice(self._retained, skipped, None))

    def adopt(self, entries: Sequence[LogEntry]) -> int:
        """Apply entries that follow the last applied one; return how many were applied.

        Entries already applied are passed over.  At the first gap the rest is left out.
        """
        applied = 0
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            if entry.offset > self.next_offset:
                self.counters.gaps += 1
                break
            self._apply(entry)
            applied += 1
        self._wake_waiters()
        return applied

    def restore(self, snapshot: SnapshotTaken) -> bool:
        """Adopt a snapshot that is newer than what is applied; return whether it was adopted.

        Refused while a record of ours is in doubt: a snapshot hides the decisions
        on the records that it stands for.
        """
        if self._queue.has_records_in_doubt or not self._state.restore(snapshot):
            return False
        self._retained.clear()
        if self.on_restored is not None:
            self.on_restored()
        self._wake_waiters()
        return True

    def snapshot(self) -> SnapshotTaken | None:
        """Return a snapshot of what is applied, for a peer that starts; None when not possible."""
        return self._state.snapshot() if self.next_offset else None

    async def _run(self) -> None:
        if self._use_snapshots:
            await self._restore_snapshot()
        self._spawn(self._queue.run())
        await self._reads_wanted.wait()
        while True:
            await self._read_once()

    async def _restore_snapshot(self) -> None:
        """Start from the latest readable snapshot; without one, from the first record."""
        while self.next_offset == 0:
            try:
                for snapshot in await snapshots.latest(self._log, self.stream):
                    if self.restore(snapshot):
                        break
            except LogError:
                self.counters.read_failures += 1
                await asyncio.sleep(self._backoff.next_s())
            else:
                self._backoff.reset()
                return

    async def _read_once(self) -> None:
        wait_s = READ_WAIT_S if self.synchronised else 0.0
        try:
            batch = await self._read(wait_s)
        except Exception:  # noqa: BLE001  Whatever an adapter raises, the follower goes on.
            self.counters.read_failures += 1
            await asyncio.sleep(self._backoff.next_s())
            return
        if batch is None:
            return
        self._known_end = max(self._known_end, batch.end_offset)
        applied = self.adopt(batch.entries)
        if batch.entries and applied == 0 and batch.entries[-1].offset + 1 != self.next_offset:
            # A gap or only old entries: a replica that is behind; do not spin on it.
            await asyncio.sleep(self._backoff.next_s())
            return
        self._backoff.reset()
        if self.next_offset >= batch.end_offset:
            self._synchronised.set()

    async def _read(self, wait_s: float) -> LogBatch | None:
        """Read once; None when the read was interrupted."""
        read = self._log.read(self.stream, self.next_offset, READ_LIMIT_RECORDS, wait_s)
        reading = asyncio.ensure_future(read)
        self._interrupted = interrupted = asyncio.get_running_loop().create_future()
        timeout_s = wait_s + READ_TIMEOUT_S
        try:
            await asyncio.wait({reading, interrupted}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                return reading.result()
            if interrupted.done():
                return None
            raise LogError("the read did not return")
        finally:
            reading.cancel()
            interrupted.cancel()

    def _want_reads(self) -> None:
        self._reads_wanted.set()

    def _want_reads_if_busy(self) -> None:
        if not self.idle:
            self._want_reads()

    def _appended(self, first_offset: int, payloads: Sequence[bytes]) -> None:
        """Apply a single record that follows ours at once; otherwise see to it that it is read.

        Of several payloads only the first one's offset is known for certain.
        """
        self._known_end = max(self._known_end, first_offset + len(payloads))
        if len(payloads) == 1 and first_offset == self.next_offset:
            self.adopt([LogEntry(first_offset, payloads[0])])
            return
        self._want_reads()
        asyncio.get_running_loop().call_later(OWN_RECORD_WAIT_S, self._interrupt_read)

    def _interrupt_read(self) -> None:
        waiting = self._interrupted is not None and not self._interrupted.done()
        if waiting and not self._queue.idle:
            self._interrupted.set_result(None)

    def _apply(self, entry: LogEntry) -> None:
        record, decision = self._state.apply(entry.offset, entry.payload)
        self._retained.append(entry)
        self.counters.applied += 1
        if record is None:
            return
        is_own = record.writer == self.writer
        if is_own:
            self._queue.observe(record, decision)
        if self._on_applied is not None:
            self._on_applied(entry.offset, record, decision)
        if is_own and self._use_snapshots and snapshots.is_due(entry.offset):
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        snapshot = self._state.snapshot()
        if snapshot is None:
            return
        self.counters.snapshots_taken += 1
        self._spawn(snapshots.write(self._log, self.stream, self.writer, snapshot, self._backoff))

    def _wake_waiters(self) -> None:
        still_waiting = []
        for offset, reached in self._waiters:
            if reached.done():
                continue
            if offset <= self.next_offset:
                reached.set_result(None)
            else:
                still_waiting.append((offset, reached))
        self._waiters = still_waiting

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _within(awaitable, timeout_s: float, what: str) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await awaitable
    except TimeoutError:
        raise DeadlineExceeded(f"{what} did not arrive", execution=ExecutionStatus.NOT_RUN) from None
