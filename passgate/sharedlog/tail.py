"""Followers of a shared log: one of records in order, one of the newest values of keys.

Both read by long polls, never give up, and know how fresh they are.  A follower
that can not read keeps what it has.

>>> tail_is_fresh = Freshness()
>>> tail_is_fresh.confirm_current(10.0)
>>> tail_is_fresh.age_s(12.5)
2.5
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import LogError, MalformedRecord
from passgate.sharedlog.hedge import hedged
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
"""Longest wait of one long poll; a lost dependency is noticed soon after."""
FIRST_RETRY_PAUSE_S = 0.05
"""Pause after the first failed read."""
MAX_RETRY_PAUSE_S = 0.4
"""Pauses after failed reads; short, as configuration must be in force soon after a recovery."""
MIN_PAGE_BYTES = 32 * 1024
"""Pages become smaller down to this when reads fail, as a large one may not arrive in time."""
GAP_GROWTH_FACTOR = 2.0
GAP_DECAY_FACTOR = 0.995
MAX_GAP_S = 0.8
"""Longest pause between reads while the log throttles; far below the time for configuration."""
URGENT_RETRY_PAUSE_S = 0.3
"""Pause after a throttled read of what must be known at once."""
CATCH_UP_POLL_S = 0.01
"""Time between looks whether the end was reached; a page takes about 50 ms."""
NEVER_S = float("-inf")
EMPTY_PAGE_MAX_AGE_S = 0.1
"""How old an empty page may be when it arrives."""
SLOWEST_ANSWER_S = 1.2
"""Time for an answer beyond its wait, the time-out of the log's client.  A page that is read later
had come before, and the machine stood still."""
FRESH_S = 1.6
"""Age up to which a view of the log is taken for the present one: a long poll of 1 s, and its answer.
Others are judged, and questions of the log answered, only from a view that is not older."""
BEHIND_AFTER_S = 2.5
"""Without a confirmed read for this long, a follower counts as behind."""


class TailSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What to follow and how."""

    topic: str
    part: int = 0
    gap_s: float = 0.0
    """Pause after each read, so that frequent small records arrive in batches."""
    wait_s: float = POLL_WAIT_S
    urgent: bool = False
    """Whether a throttled read is repeated soon; for what must be known at once."""


class ReadPace:
    """Pause between reads: grows when the log throttles, shrinks again while it does not.

    All daemons share the log's rate of calls and none knows how many they are, so
    each slows down at a refusal and speeds up slowly, as senders in a network do.

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
        """Whether the log refused calls lately."""
        return self.gap_s > self._min_gap_s

    def slow_down(self) -> None:
        """The log refused a call for its rate."""
        self.gap_s = min(max(self.gap_s, FIRST_RETRY_PAUSE_S) * GAP_GROWTH_FACTOR, MAX_GAP_S)

    def speed_up(self) -> None:
        """A call was served."""
        self.gap_s = max(self._min_gap_s, self.gap_s * GAP_DECAY_FACTOR)


class Freshness:
    """When a follower last knew that it had read everything."""

    def __init__(self) -> None:
        self._confirmed_at_s = NEVER_S
        self.recovered_at_s = NEVER_S
        """When reading began to work again after the last time of being behind."""

    def confirm_current(self, as_of_s: float, applied_at_s: float | None = None) -> None:
        """Note a read that began at ``began_s``, reached the end and was applied at ``applied_s``."""
        if as_of_s - self._confirmed_at_s > BEHIND_AFTER_S:
            self.recovered_at_s = as_of_s if applied_at_s is None else applied_at_s
        self._confirmed_at_s = max(self._confirmed_at_s, as_of_s)

    def age_s(self, now_s: float) -> float:
        """Return the time since the last confirmed state; infinite before the first."""
        return now_s - self._confirmed_at_s

    def silence_s(self, last_contact_s: float | None, now_s: float) -> float:
        """Return for how long a writer has surely been silent while the log could be read.

        ``heard_s`` is when its last record was read, None when there was none.
        """
        return now_s - max(self.recovered_at_s, last_contact_s if last_contact_s is not None else NEVER_S)


class _Follower:
    """Reads again and again; pauses after failures and refusals, and knows how fresh it is."""

    def __init__(self, log: SharedLog, settings: TailSettings) -> None:
        self._log = log
        self._settings = settings
        self._retry_pause_s = FIRST_RETRY_PAUSE_S
        self._last_read_failed = False
        self._read_pace = ReadPace(settings.gap_s)
        self._max_page_bytes = MAX_PAGE_BYTES
        self.wait_s = settings.wait_s
        """Longest wait of one long poll."""
        self.freshness = Freshness()

    async def run(self) -> None:
        """Follow until cancelled."""
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
        """Read a page; return whether it reached the end."""
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
            hedged(lambda: self._request_page(start, 0.0))
            if self._last_read_failed
            else self._request_page(start, wait_s)
        )
        if page.next_offset < page.end:
            self._max_page_bytes = min(self._max_page_bytes * 2, MAX_PAGE_BYTES)
        return page

    async def _request_page(self, start: int, wait_s: float) -> LogPage:
        settings = self._settings
        return await self._log.read(
            settings.topic, settings.part, start, wait_s=wait_s, max_bytes=self._max_page_bytes
        )

    def _confirm_if_at_end(self, page: LogPage, began_s: float, wait_s: float) -> bool:
        """Note whether a page reached the end of the partition; return whether it did.

        A machine that stood still may read a page long after it was made, so an empty one counts
        as true no longer than until its answer was due.
        """
        if page.next_offset < page.end:
            return False
        # An empty page was the truth when its wait ended, a page with records when it was made.
        now_s = monotonic_s()
        due_s = began_s + wait_s + SLOWEST_ANSWER_S
        at_s = began_s if page.records else max(began_s, min(due_s, now_s - EMPTY_PAGE_MAX_AGE_S))
        self.freshness.confirm_current(at_s, now_s)
        return True


class RecordTail(_Follower):
    """Follows one partition from its first kept record; hands each page to ``apply`` in order."""

    def __init__(self, log: SharedLog, settings: TailSettings, apply: Callable[[LogPage], None]) -> None:
        super().__init__(log, settings)
        self._apply = apply
        self._advanced = asyncio.Event()
        self.next_offset = 0
        self.first_kept_offset = 0
        """Offset of the first record that the log still kept at the last read."""
        self.caught_up = False
        """Whether the end was reached once."""

    async def _read_once(self) -> bool:
        began_s = monotonic_s()
        wait_s = self.wait_s if self.caught_up else 0.0
        page = await self._read_page(self.next_offset, wait_s)
        self._apply_page(page)
        at_end = self._confirm_if_at_end(page, began_s, wait_s)
        self.caught_up = self.caught_up or at_end
        return at_end

    def _skip_removed_records(self, first: int) -> None:
        self.next_offset = first

    def _apply_page(self, page: LogPage) -> None:
        self.first_kept_offset = max(self.first_kept_offset, page.first)
        if page.records and page.start == self.next_offset:
            self._apply(page)
            self.next_offset = page.next_offset
            self._advanced.set()
            self._advanced = asyncio.Event()

    async def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at ``offset`` was applied; return False when time ran out."""
        deadline_s = monotonic_s() + timeout_s
        while self.next_offset <= offset:
            left_s = deadline_s - monotonic_s()
            if left_s <= 0.0:
                return False
            try:
                await asyncio.wait_for(self._advanced.wait(), left_s)
            except TimeoutError:
                return self.next_offset > offset
        return True

    async def wait_caught_up(self, timeout_s: float) -> bool:
        """Wait until the end was reached once; return False when time ran out."""
        until_s = monotonic_s() + timeout_s
        while not self.caught_up:
            if monotonic_s() >= until_s:
                return False
            await asyncio.sleep(CATCH_UP_POLL_S)
        return True

    async def confirm(self, timeout_s: float) -> bool:
        """Return True once everything that stood on the log when called was applied.

        Asks the log anew, since a waiting long poll proves nothing.
        """
        try:
            page = await self._read_page(self.next_offset, 0.0)
        except LogError:
            return False
        self._apply_page(page)
        if page.end <= self.next_offset:
            return True
        return await self.wait_past(page.end - 1, timeout_s)


class FollowedTail:
    """Starts and stops a tail as it is needed; what was read stays.

    A tail that is started again has to reach the end anew before it counts as caught up.
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
        """Whether the tail is being read and has reached the end."""
        return self._task is not None and self.tail.caught_up

    def set(self, wanted: bool) -> None:
        """Follow, or stop following."""
        if wanted and self._task is None:
            self.tail.caught_up = False
            self._task = asyncio.get_running_loop().create_task(self.tail.run())
        elif not wanted and self._task is not None:
            self._task.cancel()
            self._task = None


class KeyedTail(_Follower):
    """Follows a keyed topic: the newest value of each key, then every change of it.

    ``replace`` gets all records and the offset at which changes begin, ``update``
    the next records and the offset of the first.
    """

    def __init__(
        self,
        log: SharedLog,
        settings: TailSettings,
        *,
        replace: Callable[[tuple[KeyedRecord, ...], int], None],
        update: Callable[[tuple[KeyedRecord, ...], int], None],
    ) -> None:
        super().__init__(log, settings)
        self._replace = replace
        self._update = update
        self._next_offset: int | None = None
        self._must_load_snapshot = True
        self._malformed_logged = False

    @property
    def loaded(self) -> bool:
        """Whether a snapshot was read."""
        return self._next_offset is not None

    @property
    def next_offset(self) -> int:
        """Offset up to which all was read; 0 before the first snapshot."""
        return self._next_offset or 0

    def start_from(self, snapshot: KeyedSnapshot, began_s: float) -> None:
        """Begin with a snapshot whose reading began at a loop time."""
        self._apply_snapshot(snapshot, began_s)
        self._must_load_snapshot = False

    async def _read_once(self) -> bool:
        if self._must_load_snapshot:
            await self._load_snapshot()
            self._must_load_snapshot = False
        began_s = monotonic_s()
        page = await self._read_page(self._next_offset or 0, self.wait_s)
        if page.records and page.start == self._next_offset:
            self._update(tuple(self._decode(record) for record in page.records), page.start)
            self._next_offset = page.next_offset
        return self._confirm_if_at_end(page, began_s, self.wait_s)

    def _decode(self, record: bytes) -> KeyedRecord:
        """Return a record; one that can't be read counts as an empty one, so that the others hold."""
        try:
            return self._log.decode_keyed(record)
        except MalformedRecord as error:
            if not self._malformed_logged:  # once, as another writer may append any number of them
                self._malformed_logged = True
                logger.warning("malformed_record", extra={"topic": self._settings.topic, "error": str(error)})
            return KeyedRecord(key="", value=b"")

    def _skip_removed_records(self, first: int) -> None:
        self._must_load_snapshot = True

    async def _load_snapshot(self) -> None:
        began_s = monotonic_s()
        self._apply_snapshot(await self._log.newest(self._settings.topic, self._settings.part), began_s)

    def _apply_snapshot(self, snapshot: KeyedSnapshot, began_s: float) -> None:
        self._replace(snapshot.records, snapshot.next_offset)
        self._next_offset = snapshot.next_offset
        self.freshness.confirm_current(began_s)
