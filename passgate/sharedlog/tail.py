"""Readers that follow the shared log: one for records in order, one for the newest values of keys.

Both use long polls, which wait for new records, retry without limit after a LogError, and record how fresh
their view of the log is.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import LogError, MalformedRecord
from passgate.sharedlog.freshness import Freshness
from passgate.sharedlog.hedge import call_hedged
from passgate.sharedlog.log import (
    MAX_PAGE_BYTES,
    HistoryGone,
    KeyedRecord,
    KeyedSnapshot,
    LogPage,
    LogThrottled,
    SharedLog,
)

logger = logging.getLogger("passgate.sharedlog")

POLL_WAIT_S = 1.0
"""Default of the longest wait of a long poll."""
FIRST_RETRY_PAUSE_S = 0.05
"""Pause after the first failed read; doubles with each further failure."""
MAX_RETRY_PAUSE_S = 0.4
"""Longest pause after failed reads; short, so that reading resumes soon after an outage."""
MIN_PAGE_BYTES = 32 * 1024
"""Lower bound of the page size, which is halved after each failed read, as a large page may time out."""
GAP_GROWTH_FACTOR = 2.0
"""Factor by which a throttled read lengthens the pause between reads."""
GAP_DECAY_FACTOR = 0.995
"""Factor by which a successful read shortens the pause between reads, down to the configured one."""
MAX_GAP_S = 0.8
"""Longest pause between reads while the log throttles calls."""
URGENT_RETRY_PAUSE_S = 0.3
"""Pause after a throttled read of an urgent topic."""
CATCH_UP_POLL_S = 0.01
"""Interval of checks whether the end of the partition was reached; a page takes about 50 ms."""
EMPTY_PAGE_MAX_AGE_S = 0.1
"""Assumed upper bound of an empty page's age when it arrives."""
MAX_RESPONSE_DELAY_S = 1.2
"""Longest time from the end of a long poll's wait to its response, as calls then time out; a page that is
processed later was delayed by this machine."""


class TailSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The partition to follow, and the pace of the reads."""

    topic: str
    partition: int = 0
    gap_s: float = 0.0
    """Minimum pause after a read that reached the end of the partition; collects small records in batches."""
    wait_s: float = POLL_WAIT_S
    """Longest wait of a long poll."""
    urgent: bool = False
    """Whether a throttled read is repeated after URGENT_RETRY_PAUSE_S, without slowing down further reads."""


class ReadPace:
    """Adaptive pause between reads: grows while the log throttles calls and shrinks again afterwards.

    All daemons share the log's rate limit without knowing how many they are, so each one backs off fast and
    recovers slowly, as in congestion control.

    >>> pace = ReadPace(0.05)
    >>> pace.slow_down(); pace.slow_down()
    >>> pace.gap_s
    0.2
    >>> for _ in range(300): pace.speed_up()
    >>> pace.gap_s
    0.05
    """

    def __init__(self, min_gap_s: float) -> None:
        self._min_gap_s = min_gap_s
        self.gap_s = min_gap_s

    @property
    def is_slowed(self) -> bool:
        """Whether the pause is still longer than its minimum after a throttled call."""
        return self.gap_s > self._min_gap_s

    def slow_down(self) -> None:
        """Lengthen the pause after a throttled call."""
        self.gap_s = min(max(self.gap_s, FIRST_RETRY_PAUSE_S) * GAP_GROWTH_FACTOR, MAX_GAP_S)

    def speed_up(self) -> None:
        """Shorten the pause after a successful call."""
        self.gap_s = max(self._min_gap_s, self.gap_s * GAP_DECAY_FACTOR)


class _Follower:
    """Base class of readers: reads repeatedly, backs off after failures and throttling, tracks freshness."""

    def __init__(self, log: SharedLog, settings: TailSettings) -> None:
        self._log = log
        self._settings = settings
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self._last_read_failed = False
        self._read_pace = ReadPace(settings.gap_s)
        self._max_page_bytes = MAX_PAGE_BYTES
        self.wait_s = settings.wait_s
        """Longest wait of a long poll; may be changed at any time."""
        self.freshness = Freshness()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                at_end = await self._read_once()
                self._last_read_failed = False
                self._retry_pause_s = FIRST_RETRY_PAUSE_S
                self._read_pace.speed_up()
                await asyncio.sleep(self._read_pace.gap_s if at_end or self._read_pace.is_slowed else 0.0)
            except HistoryGone as error:
                self._skip_removed_records(error.first)
            except LogThrottled:
                await asyncio.sleep(self._next_throttle_pause_s())
            except LogError as error:
                logger.info("log_read_failed", extra={"topic": self._settings.topic, "error": str(error)})
                self._last_read_failed = True
                self._max_page_bytes = max(self._max_page_bytes // 2, MIN_PAGE_BYTES)
                await asyncio.sleep(self._retry_pause_s)
                self._retry_pause_s = min(self._retry_pause_s * 2.0, MAX_RETRY_PAUSE_S)

    async def _read_once(self) -> bool:
        """Read a page; return whether it reached the end of the partition."""
        raise NotImplementedError

    def _skip_removed_records(self, first: int) -> None:
        raise NotImplementedError

    def _next_throttle_pause_s(self) -> float:
        if self._settings.urgent:
            return URGENT_RETRY_PAUSE_S
        self._read_pace.slow_down()
        return self._read_pace.gap_s

    async def _read_page(self, start: int, wait_s: float) -> LogPage:
        page = await (
            call_hedged(lambda: self._request_page(start, 0.0))
            if self._last_read_failed
            else self._request_page(start, wait_s)
        )
        if page.next_offset < page.end:
            self._max_page_bytes = min(self._max_page_bytes * 2, MAX_PAGE_BYTES)
        return page

    async def _request_page(self, start: int, wait_s: float) -> LogPage:
        settings = self._settings
        return await self._log.read(
            settings.topic, settings.partition, start, wait_s=wait_s, max_bytes=self._max_page_bytes
        )

    def _confirm_if_at_end(self, page: LogPage, started_at_s: float, wait_s: float) -> bool:
        """Confirm freshness if a page reached the end of the partition; return whether it did.

        A suspended machine may process a page long after it was created, so an empty page confirms a time
        no later than the deadline of its response.
        """
        if page.next_offset < page.end:
            return False
        # A page with records proves that everything appended before the read began was read.  An empty page
        # proves it up to the end of its wait, and probably up to EMPTY_PAGE_MAX_AGE_S ago.
        now_s = monotonic_s()
        proven_as_of_s = as_of_s = started_at_s
        if not page.records:
            probably_as_of_s = now_s - EMPTY_PAGE_MAX_AGE_S
            response_deadline_s = started_at_s + wait_s + MAX_RESPONSE_DELAY_S
            as_of_s = max(started_at_s, min(response_deadline_s, probably_as_of_s))
            proven_as_of_s = max(started_at_s, min(started_at_s + wait_s, probably_as_of_s))
        self.freshness.confirm_current(as_of_s, now_s, proven_as_of_s)
        return True


class RecordTail(_Follower):
    """Follows one partition from its oldest kept record; passes each page with records to ``apply`` in order.

    Records that the log removes before they are read are skipped, which ``on_gap`` is told.
    """

    def __init__(
        self,
        log: SharedLog,
        settings: TailSettings,
        apply: Callable[[LogPage], None],
        *,
        on_current: Callable[[], None] = lambda: None,
        on_gap: Callable[[int], None] = lambda first: None,
    ) -> None:
        """Create a tail that reads nothing before :meth:`run`.

        Args:
            log: the log.
            settings: the partition, and the pace of the reads.
            apply: takes each page with records.
            on_current: called after each read that reached the end of the partition.
            on_gap: called with the offset of the oldest kept record when records after the last one that was
                read are gone.
        """
        super().__init__(log, settings)
        self._apply = apply
        self._on_current = on_current
        self._on_gap = on_gap
        self.max_age_s = float("inf")
        """Age that the view shall not exceed by the wait of a long poll; may be changed at any time."""
        self._advanced = asyncio.Event()
        self.next_offset = 0
        """Offset of the next record to read."""
        self.first_kept_offset = 0
        """Offset of the oldest record that the log kept at the last read."""
        self._known_end = 0
        """Highest end of the partition that a read has reported."""
        self.caught_up = False
        """Whether the end of the partition has been reached since the start; see :class:`OnDemandTail`."""

    @property
    def has_unread_records(self) -> bool:
        """Whether the log is known to hold records that were not applied yet."""
        return self.next_offset < self._known_end

    async def _read_once(self) -> bool:
        started_at_s = monotonic_s()
        longest_wait_s = max(self.max_age_s - self.freshness.age_s(started_at_s), 0.0)
        wait_s = min(self.wait_s, longest_wait_s) if self.caught_up else 0.0
        page = await self._read_page(self.next_offset, wait_s)
        self._apply_page(page)
        at_end = self._confirm_if_at_end(page, started_at_s, wait_s)
        self.caught_up = self.caught_up or at_end
        if at_end:
            self._on_current()
        return at_end

    def _skip_removed_records(self, first: int) -> None:
        was_read_before = self.next_offset > 0
        self.next_offset = first
        if was_read_before:
            self._on_gap(first)

    def _apply_page(self, page: LogPage) -> None:
        self.first_kept_offset = max(self.first_kept_offset, page.first)
        self._known_end = max(self._known_end, page.end)
        if page.records and page.start == self.next_offset:
            self._apply(page)
            self.next_offset = page.next_offset
            self._advanced.set()
            self._advanced = asyncio.Event()

    async def wait_until_applied(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at ``offset`` was applied or skipped; return False on timeout."""
        deadline_s = monotonic_s() + timeout_s
        while self.next_offset <= offset:
            remaining_s = deadline_s - monotonic_s()
            if remaining_s <= 0.0:
                return False
            try:
                # wait_for loses a cancellation that comes together with the event.
                async with asyncio.timeout(remaining_s):
                    await self._advanced.wait()
            except TimeoutError:
                return self.next_offset > offset
        return True

    async def wait_caught_up(self, timeout_s: float) -> bool:
        """Wait until :attr:`caught_up` is true; return False on timeout."""
        deadline_s = monotonic_s() + timeout_s
        while not self.caught_up:
            if monotonic_s() >= deadline_s:
                return False
            await asyncio.sleep(CATCH_UP_POLL_S)
        return True

    async def read_to_current_end(self, timeout_s: float) -> bool:
        """Read up to the current end of the partition; return False on failure or timeout.

        Makes one new read, as a long poll that is already waiting proves nothing about the current end.  If
        that does not reach the end, waits up to ``timeout_s`` until :meth:`run`, which must be active, does.
        """
        try:
            page = await self._read_page(self.next_offset, 0.0)
        except LogError:
            return False
        self._apply_page(page)
        if page.end <= self.next_offset:
            return True
        return await self.wait_until_applied(page.end - 1, timeout_s)


class OnDemandTail:
    """Starts and stops a tail as needed.

    A restarted tail continues at the next offset, and has to reach the end again to count as caught up.
    """

    def __init__(self, tail: RecordTail) -> None:
        self.tail = tail
        self._task: asyncio.Task[None] | None = None

    @property
    def following(self) -> bool:
        """Whether the tail is being read."""
        return self._task is not None

    @property
    def current(self) -> bool:
        """Whether the tail is being read and has reached the end since it was started."""
        return self._task is not None and self.tail.caught_up

    def set_following(self, should_follow: bool) -> None:
        """Start or stop following."""
        if should_follow and self._task is None:
            self.tail.caught_up = False
            self._task = asyncio.get_running_loop().create_task(self.tail.run())
        elif not should_follow and self._task is not None:
            self._task.cancel()
            self._task = None


class KeyedTail(_Follower):
    """Follows a keyed topic: reads a snapshot of the newest values, then every further record.

    ``on_snapshot`` receives all records of a snapshot and the offset of the next record; ``on_records``
    receives further records and the offset of the first.  If the log removes records before they are read,
    another snapshot is read.

    A snapshot of several pages may hold some records that were appended while it was read, and lack others.
    The records appended meanwhile are added to it first, so that no older value follows a newer one.
    """

    def __init__(
        self,
        log: SharedLog,
        settings: TailSettings,
        *,
        on_snapshot: Callable[[tuple[KeyedRecord, ...], int], None],
        on_records: Callable[[tuple[KeyedRecord, ...], int], None],
    ) -> None:
        super().__init__(log, settings)
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._next_offset: int | None = None
        self._must_load_snapshot = True
        self._malformed_logged = False

    @property
    def loaded(self) -> bool:
        """Whether a snapshot was applied."""
        return self._next_offset is not None

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read; 0 before the first snapshot."""
        return self._next_offset or 0

    def start_from(self, snapshot: KeyedSnapshot, started_at_s: float) -> None:
        """Start from a snapshot whose read began at ``started_at_s``, instead of reading one."""
        self._apply_snapshot(snapshot, started_at_s)
        self._must_load_snapshot = False

    async def _read_once(self) -> bool:
        if self._must_load_snapshot:
            await self._load_snapshot()
            self._must_load_snapshot = False
        started_at_s = monotonic_s()
        page = await self._read_page(self._next_offset or 0, self.wait_s)
        if page.records and page.start == self._next_offset:
            self._on_records(tuple(self._decode(record) for record in page.records), page.start)
            self._next_offset = page.next_offset
        return self._confirm_if_at_end(page, started_at_s, self.wait_s)

    def _decode(self, record: bytes) -> KeyedRecord:
        """Decode a record; a malformed one becomes a deletion of the empty key, which has no effect."""
        try:
            return self._log.decode_keyed(record)
        except MalformedRecord as error:
            if not self._malformed_logged:  # logged once only, as other writers may append many such records
                self._malformed_logged = True
                logger.warning("malformed_record", extra={"topic": self._settings.topic, "error": str(error)})
            return KeyedRecord(key="", value=b"")

    def _skip_removed_records(self, first: int) -> None:
        self._must_load_snapshot = True

    async def _load_snapshot(self) -> None:
        started_at_s = monotonic_s()
        snapshot = await self._log.newest(self._settings.topic, self._settings.partition)
        self._apply_snapshot(await self._complete_snapshot(snapshot), started_at_s)

    async def _complete_snapshot(self, snapshot: KeyedSnapshot) -> KeyedSnapshot:
        """Return a snapshot with the records that were appended while its pages were read."""
        record_by_key = {record.key: record for record in snapshot.records}
        next_offset = snapshot.next_offset
        while next_offset < snapshot.end:
            page = await self._read_page(next_offset, 0.0)
            for record in map(self._decode, page.records):
                record_by_key[record.key] = record
            next_offset = page.next_offset
        records = tuple(record for record in record_by_key.values() if record.value)
        return KeyedSnapshot(records=records, next_offset=next_offset)

    def _apply_snapshot(self, snapshot: KeyedSnapshot, started_at_s: float) -> None:
        self._on_snapshot(snapshot.records, snapshot.next_offset)
        self._next_offset = snapshot.next_offset
        self.freshness.confirm_current(started_at_s)
