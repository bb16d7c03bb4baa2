"""The platform's append-only log in memory, with the failures that it may show.

``MemoryLog`` is the service; each zone reads and appends through its own
``MemoryLogClient``.

>>> log = MemoryLog(LogParameters())
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
from passgate.emulator.network import CLOCK_RESOLUTION_S, PLATFORM_ZONE, Network
from passgate.emulator.parameters import LogParameters
from passgate.errors import LogAppendUnknown, LogUnavailable
from passgate.interfaces import LogBatch, LogEntry


class LogFaults(msgspec.Struct, kw_only=True):
    """Present faults; all off by default, changed at any time."""

    down: bool = False
    hangs: bool = False
    """While down, requests time out instead of being refused at once."""
    extra_s: float = 0.0
    """Added to the time of each append and read."""
    lost_answers: float = 0.0
    """Probability that an append's answer is lost after its effect."""
    lose_next_answers: int = 0
    """Answers of the next appends to be lost."""
    partial_appends: bool = False
    """A lost answer may hide that only the first records were appended, or none."""
    reader_lag_s: dict[str, float] = {}
    """Zone to the extra lag of the read replica that it may be served by."""
    lagging_share: float = 0.5
    """Probability that a read in such a zone is served by the lagging replica."""


class LogCounters(msgspec.Struct, kw_only=True):
    """Totals of the log."""

    appends: int = 0
    records: int = 0
    bytes: int = 0
    reads: int = 0
    read_bytes: int = 0
    lost_answers: int = 0
    unavailable: int = 0


class _Stored(msgspec.Struct, frozen=True):
    appended_s: float
    payload: bytes


class MemoryLog:
    """Streams of records, the same for all zones."""

    def __init__(self, parameters: LogParameters) -> None:
        self.parameters = parameters
        self.faults = LogFaults()
        self.counters = LogCounters()
        self.records_by_stream: Counter[str] = Counter()
        self._streams: dict[str, list[_Stored]] = {}
        self._waiters: dict[str, dict[asyncio.Future[None], None]] = {}

    def append_now(self, stream: str, payloads: Sequence[bytes], now_s: float) -> int:
        """Append records and return the offset of the first."""
        records = self._streams.setdefault(stream, [])
        first = len(records)
        records.extend(_Stored(now_s, payload) for payload in payloads)
        self.counters.appends += 1
        self.counters.records += len(payloads)
        self.counters.bytes += sum(map(len, payloads))
        self.records_by_stream[stream] += len(payloads)
        for waiter in self._waiters.pop(stream, ()):
            if not waiter.done():
                waiter.set_result(None)
        return first

    def visible_end(self, stream: str, lag_s: float, now_s: float) -> int:
        """Return the end offset that a replica ``lag_s`` behind knows."""
        records = self._streams.get(stream, ())
        end = len(records)
        while end > 0 and records[end - 1].appended_s > now_s - lag_s:
            end -= 1
        return end

    def entries(self, stream: str, offset: int, end: int) -> tuple[LogEntry, ...]:
        """Return the records of ``[offset, end)``."""
        records = self._streams.get(stream, ())[offset:end]
        return tuple(LogEntry(offset + index, record.payload) for index, record in enumerate(records))

    def streams(self) -> list[str]:
        """Return the names of all streams that were written to."""
        return list(self._streams)

    def next_visible_s(self, stream: str, offset: int, lag_s: float) -> float | None:
        """Return when the record at ``offset`` becomes visible; None when it does not exist."""
        records = self._streams.get(stream, ())
        return records[offset].appended_s + lag_s if offset < len(records) else None

    async def wait_for_append(self, stream: str, timeout_s: float) -> None:
        """Return at the stream's next append or after ``timeout_s``."""
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(stream, {})
        waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            del waiters[waiter]


class MemoryLogClient:
    """``interfaces.LogClient`` of one zone."""

    def __init__(self, log: MemoryLog, network: Network, zone: str, random: Random) -> None:
        self._log = log
        self._network = network
        self._zone = zone
        self._random = random

    # --- append ---------------------------------------------------------------------------

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records in order; see ``interfaces.LogClient``.

        An append that outlasts ``timeout_s`` still takes effect later.
        """
        deadline_s = monotonic_s() + timeout_s
        await self._reach(deadline_s)
        await self._refuse_when_down(deadline_s)
        delay_s = self._network.delay_s(self._zone, PLATFORM_ZONE)
        effect_s = monotonic_s() + delay_s + self._log.parameters.append_s + self._log.faults.extra_s
        effect = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_at(effect_s, self._take_effect, stream, tuple(payloads), effect)
        done, _ = await asyncio.wait({effect}, timeout=max(0.0, deadline_s - monotonic_s()))
        if not done:
            raise LogAppendUnknown("the append timed out")
        offset = effect.result()
        if offset is None or not await self._return_answer(deadline_s):
            raise LogAppendUnknown("the answer to the append was lost")
        return offset

    def _take_effect(
        self, stream: str, payloads: tuple[bytes, ...], effect: asyncio.Future[int | None]
    ) -> None:
        offset = self._apply(stream, payloads)
        if not effect.done():
            effect.set_result(offset)

    def _apply(self, stream: str, payloads: tuple[bytes, ...]) -> int | None:
        faults = self._log.faults
        if faults.down:
            return None
        if not self._loses_answer():
            return self._log.append_now(stream, payloads, monotonic_s())
        self._log.counters.lost_answers += 1
        if faults.partial_appends:
            payloads = payloads[: self._random.randint(0, len(payloads))]
        if payloads:
            self._log.append_now(stream, payloads, monotonic_s())
        return None

    def _loses_answer(self) -> bool:
        faults = self._log.faults
        if faults.lose_next_answers > 0:
            faults.lose_next_answers -= 1
            return True
        return faults.lost_answers > 0 and self._random.random() < faults.lost_answers

    async def _return_answer(self, deadline_s: float) -> bool:
        left_s = deadline_s - monotonic_s()
        if not await self._network.wait_open(PLATFORM_ZONE, self._zone, left_s):
            return False
        await asyncio.sleep(self._network.delay_s(PLATFORM_ZONE, self._zone))
        return True

    async def _reach(self, deadline_s: float) -> None:
        left_s = min(deadline_s - monotonic_s(), self._network.parameters.connect_timeout_s)
        if not await self._network.wait_open(self._zone, PLATFORM_ZONE, left_s):
            self._log.counters.unavailable += 1
            raise LogUnavailable("the log is cut off")

    async def _refuse_when_down(self, deadline_s: float) -> None:
        if not self._log.faults.down:
            return
        self._log.counters.unavailable += 1
        if self._log.faults.hangs:
            await asyncio.sleep(max(0.0, deadline_s - monotonic_s()))
            raise LogAppendUnknown("the log does not answer")
        await asyncio.sleep(2 * self._network.delay_s(self._zone, PLATFORM_ZONE))
        raise LogUnavailable("the log refuses connections")

    # --- read ------------------------------------------------------------------------------

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return records from ``offset``, waiting for the first; see ``interfaces.LogClient``."""
        deadline_s = monotonic_s() + wait_s
        await self._reach(monotonic_s() + self._network.parameters.connect_timeout_s)
        self._check_readable()
        self._log.counters.reads += 1
        delay_s = self._network.delay_s(self._zone, PLATFORM_ZONE)
        await asyncio.sleep(delay_s + self._log.parameters.read_s + self._log.faults.extra_s)
        batch = await self._wait_for_records(stream, offset, limit, deadline_s)
        self._log.counters.read_bytes += sum(len(entry.payload) for entry in batch.entries)
        if self._network.is_cut(self._zone, PLATFORM_ZONE):
            await self._reach(monotonic_s() + self._network.parameters.connect_timeout_s)
        await asyncio.sleep(delay_s)
        return batch

    async def _wait_for_records(self, stream: str, offset: int, limit: int, deadline_s: float) -> LogBatch:
        lag_s = self._reader_lag_s()
        while True:
            self._check_readable()
            now_s = monotonic_s()
            end = self._log.visible_end(stream, lag_s, now_s)
            if end > offset or deadline_s - now_s < CLOCK_RESOLUTION_S:
                return LogBatch(self._log.entries(stream, offset, min(end, offset + limit)), end)
            visible_s = self._log.next_visible_s(stream, offset, lag_s)
            if visible_s is None:
                await self._log.wait_for_append(stream, deadline_s - now_s)
            else:
                await asyncio.sleep(max(min(visible_s, deadline_s) - now_s, CLOCK_RESOLUTION_S))

    def _check_readable(self) -> None:
        if self._log.faults.down:
            self._log.counters.unavailable += 1
            raise LogUnavailable("the log is down")

    def _reader_lag_s(self) -> float:
        lag_s = self._log.parameters.reader_lag_s
        extra_s = self._log.faults.reader_lag_s.get(self._zone, 0.0)
        if extra_s > 0 and self._random.random() < self._log.faults.lagging_share:
            return lag_s + extra_s
        return lag_s
