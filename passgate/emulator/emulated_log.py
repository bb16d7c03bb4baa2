"""In-memory emulation of the platform's append-only log, with its delays and faults.

``EmulatedLog`` is the service; ``EmulatedLogClient`` is the client in one zone, which
reaches the service over the emulated network.

>>> log = EmulatedLog(LogParameters())
>>> log.append_now("config", [b"a", b"b"], now_s=0.0)
0
>>> log.visible_end("config", lag_s=0.0, now_s=0.0)
2
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from random import Random

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.network import MIN_WAIT_S, PLATFORM_ZONE, Network
from passgate.emulator.parameters import LogParameters
from passgate.errors import LogAppendUnknown, LogUnavailable
from passgate.interfaces import LogBatch, LogEntry


class LogFaults(msgspec.Struct, kw_only=True):
    """Active faults; all off by default.  They may be changed at any time."""

    down: bool = False
    hangs: bool = False
    """While down, appends time out instead of being refused; reads are refused in either case."""
    extra_s: float = 0.0
    """Added to the duration of each append and read."""
    lost_answers: float = 0.0
    """Probability that an append takes effect but its answer is lost."""
    lose_next_answers: int = 0
    """Number of next appends whose answers are lost."""
    partial_appends: bool = False
    """An append whose answer is lost may write only its first records, or none."""
    reader_lag_s: dict[str, float] = {}
    """Zone to the additional lag of the read replica that serves some of its reads."""
    lagging_share: float = 0.5
    """Probability that a read in such a zone is served by the lagging replica."""


class LogCounters(msgspec.Struct, kw_only=True):
    """Totals of the log since it was made; appends, records and bytes count those that took effect."""

    appends: int = 0
    records: int = 0
    bytes: int = 0
    reads: int = 0
    read_bytes: int = 0
    lost_answers: int = 0
    unavailable: int = 0
    """Calls that failed because the log was down or cut off."""


class _StoredRecord(msgspec.Struct, frozen=True):
    """One record and the time of its append, from which lagging replicas follow."""

    appended_s: float
    payload: bytes


class EmulatedLog:
    """The log service: named streams of records, shared by the clients of all zones."""

    def __init__(self, parameters: LogParameters) -> None:
        self.parameters = parameters
        self.faults = LogFaults()
        self.counters = LogCounters()
        self.record_count_by_stream: Counter[str] = Counter()
        self._streams: dict[str, list[_StoredRecord]] = {}
        self._waiters: dict[str, dict[asyncio.Future[None], None]] = {}

    def append_now(self, stream: str, payloads: Sequence[bytes], now_s: float) -> int:
        """Append records, wake waiting readers and return the offset of the first record."""
        records = self._streams.setdefault(stream, [])
        first = len(records)
        records.extend(_StoredRecord(now_s, payload) for payload in payloads)
        self.counters.appends += 1
        self.counters.records += len(payloads)
        self.counters.bytes += sum(map(len, payloads))
        self.record_count_by_stream[stream] += len(payloads)
        for waiter in self._waiters.pop(stream, ()):
            if not waiter.done():
                waiter.set_result(None)
        return first

    def visible_end(self, stream: str, lag_s: float, now_s: float) -> int:
        """Return the end offset of a stream on a replica that is ``lag_s`` behind."""
        records = self._streams.get(stream, ())
        end = len(records)
        while end > 0 and records[end - 1].appended_s > now_s - lag_s:
            end -= 1
        return end

    def entries(self, stream: str, offset: int, end: int) -> tuple[LogEntry, ...]:
        """Return the records at the offsets from ``offset`` up to, not including, ``end``."""
        records = self._streams.get(stream, ())[offset:end]
        return tuple(LogEntry(offset + index, record.payload) for index, record in enumerate(records))

    def streams(self) -> list[str]:
        """Return the names of all streams that have been appended to."""
        return list(self._streams)

    def next_visible_s(self, stream: str, offset: int, lag_s: float) -> float | None:
        """Return when a replica ``lag_s`` behind has the record, or None if the record does not exist."""
        records = self._streams.get(stream, ())
        return records[offset].appended_s + lag_s if offset < len(records) else None

    async def wait_for_append(self, stream: str, timeout_s: float) -> None:
        """Wait for the next append to a stream, for at most ``timeout_s``."""
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(stream, {})
        waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            del waiters[waiter]


class EmulatedLogClient:
    """Client of the log in one zone; implements ``interfaces.LogClient``.

    ``append`` and ``read`` raise LogUnavailable if the call had no effect; ``append`` raises LogAppendUnknown
    if its records may have been appended or still may be.
    """

    def __init__(self, log: EmulatedLog, network: Network, zone: str, random: Random) -> None:
        self._log = log
        self._network = network
        self._zone = zone
        self._random = random

    # --- append ---------------------------------------------------------------------------

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records in order and return the offset of the first; see ``interfaces.LogClient``.

        An append that takes longer than ``timeout_s`` still takes effect.
        """
        deadline_s = monotonic_s() + timeout_s
        await self._connect(deadline_s)
        await self._raise_if_down(deadline_s)
        delay_s = self._network.delay_s(self._zone, PLATFORM_ZONE)
        effect_s = monotonic_s() + delay_s + self._log.parameters.append_s + self._log.faults.extra_s
        effect = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_at(effect_s, self._apply_append, stream, tuple(payloads), effect)
        done, _ = await asyncio.wait({effect}, timeout=max(0.0, deadline_s - monotonic_s()))
        if not done:
            raise LogAppendUnknown("the append to the log timed out")
        offset = effect.result()
        if offset is None or not await self._deliver_answer(deadline_s):
            raise LogAppendUnknown("the answer to an append to the log was lost")
        return offset

    def _apply_append(
        self, stream: str, payloads: tuple[bytes, ...], effect: asyncio.Future[int | None]
    ) -> None:
        offset = self._try_append(stream, payloads)
        if not effect.done():
            effect.set_result(offset)

    def _try_append(self, stream: str, payloads: tuple[bytes, ...]) -> int | None:
        """Append the records as the active faults allow; return the offset, or None if no answer is sent."""
        faults = self._log.faults
        if faults.down:
            return None
        if not self._draw_lost_answer():
            return self._log.append_now(stream, payloads, monotonic_s())
        self._log.counters.lost_answers += 1
        if faults.partial_appends:
            payloads = payloads[: self._random.randint(0, len(payloads))]
        if payloads:
            self._log.append_now(stream, payloads, monotonic_s())
        return None

    def _draw_lost_answer(self) -> bool:
        faults = self._log.faults
        if faults.lose_next_answers > 0:
            faults.lose_next_answers -= 1
            return True
        return faults.lost_answers > 0 and self._random.random() < faults.lost_answers

    async def _deliver_answer(self, deadline_s: float) -> bool:
        """Wait until the answer arrives; return False if a network partition lasts beyond the deadline."""
        left_s = deadline_s - monotonic_s()
        if not await self._network.wait_until_connected(PLATFORM_ZONE, self._zone, left_s):
            return False
        await asyncio.sleep(self._network.delay_s(PLATFORM_ZONE, self._zone))
        return True

    async def _connect(self, deadline_s: float) -> None:
        left_s = min(deadline_s - monotonic_s(), self._network.parameters.connect_timeout_s)
        if not await self._network.wait_until_connected(self._zone, PLATFORM_ZONE, left_s):
            self._log.counters.unavailable += 1
            raise LogUnavailable("a network partition separates the daemon's zone from the log")

    async def _raise_if_down(self, deadline_s: float) -> None:
        if not self._log.faults.down:
            return
        self._log.counters.unavailable += 1
        if self._log.faults.hangs:
            await asyncio.sleep(max(0.0, deadline_s - monotonic_s()))
            raise LogAppendUnknown("the log did not answer an append in time")
        await asyncio.sleep(2 * self._network.delay_s(self._zone, PLATFORM_ZONE))
        raise LogUnavailable("the log refused the append")

    # --- read ------------------------------------------------------------------------------

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return up to ``limit`` records from ``offset``, waiting up to ``wait_s`` for the first.

        See ``interfaces.LogClient``.
        """
        deadline_s = monotonic_s() + wait_s
        await self._connect(monotonic_s() + self._network.parameters.connect_timeout_s)
        self._raise_if_unreadable()
        self._log.counters.reads += 1
        delay_s = self._network.delay_s(self._zone, PLATFORM_ZONE)
        await asyncio.sleep(delay_s + self._log.parameters.read_s + self._log.faults.extra_s)
        batch = await self._wait_for_records(stream, offset, limit, deadline_s)
        self._log.counters.read_bytes += sum(len(entry.payload) for entry in batch.entries)
        if self._network.is_cut(self._zone, PLATFORM_ZONE):
            await self._connect(monotonic_s() + self._network.parameters.connect_timeout_s)
        await asyncio.sleep(delay_s)
        return batch

    async def _wait_for_records(self, stream: str, offset: int, limit: int, deadline_s: float) -> LogBatch:
        lag_s = self._draw_reader_lag_s()
        while True:
            self._raise_if_unreadable()
            now_s = monotonic_s()
            end = self._log.visible_end(stream, lag_s, now_s)
            if end > offset or deadline_s - now_s < MIN_WAIT_S:
                return LogBatch(self._log.entries(stream, offset, min(end, offset + limit)), end)
            visible_s = self._log.next_visible_s(stream, offset, lag_s)
            if visible_s is None:
                await self._log.wait_for_append(stream, deadline_s - now_s)
            else:
                await asyncio.sleep(max(min(visible_s, deadline_s) - now_s, MIN_WAIT_S))

    def _raise_if_unreadable(self) -> None:
        if self._log.faults.down:
            self._log.counters.unavailable += 1
            raise LogUnavailable("the log refused the read")

    def _draw_reader_lag_s(self) -> float:
        lag_s = self._log.parameters.reader_lag_s
        extra_s = self._log.faults.reader_lag_s.get(self._zone, 0.0)
        if extra_s > 0 and self._random.random() < self._log.faults.lagging_share:
            return lag_s + extra_s
        return lag_s
