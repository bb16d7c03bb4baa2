"""In-memory log for tests, whose failures are scripted per append.

Each client has its own script and its own outages, so that a test can cut one daemon
off from the log while others go on.

>>> import asyncio
>>> async def lose_one_response():
...     client = MemoryLogClient(MemoryLog())
...     client.script_faults(AppendFault.RESPONSE_LOST)
...     try:
...         await client.append("s", [b"a"], 1.0)
...     except LogAppendUnknown:
...         return (await client.read("s", 0, 10, 0.0)).entries
>>> asyncio.run(lose_one_response())
(LogEntry(offset=0, payload=b'a'),)
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections import deque
from collections.abc import Sequence

from passgate.errors import LogAppendUnknown, LogUnavailable
from passgate.interfaces import LogBatch, LogEntry

SHORTEST_WAIT_S = 0.001
"""Shorter remaining times count as zero."""


class AppendFault(enum.Enum):
    """Outcome of one append: where the records go, and whether the client learns it."""

    NONE = "none"
    """All records are appended and the append returns."""
    REFUSED = "refused"
    """Nothing is appended; raises LogUnavailable."""
    RESPONSE_LOST = "response_lost"
    """All records are appended; raises LogAppendUnknown."""
    REQUEST_LOST = "request_lost"
    """Nothing is appended; raises LogAppendUnknown."""
    PARTIALLY_APPENDED = "partially_appended"
    """The first half of the records is appended; raises LogAppendUnknown."""
    DELAYED = "delayed"
    """The records are appended by ``MemoryLog.append_delayed``; raises LogAppendUnknown."""
    HANGING = "hanging"
    """All records are appended and the call does not return."""


class MemoryLog:
    """Records of all streams; shared by all clients."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.append_calls = 0
        self._delayed: list[tuple[str, tuple[bytes, ...]]] = []
        self._next_append = asyncio.Event()

    def put(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records and return the offset of the first."""
        records = self.streams.setdefault(stream, [])
        first_offset = len(records)
        records.extend(payloads)
        self.wake_readers()
        return first_offset

    def delay(self, stream: str, payloads: Sequence[bytes]) -> None:
        """Hold records back until :meth:`append_delayed` is called."""
        self._delayed.append((stream, tuple(payloads)))

    def append_delayed(self) -> None:
        """Append all records that were held back."""
        delayed, self._delayed = self._delayed, []
        for stream, payloads in delayed:
            self.put(stream, payloads)

    def wake_readers(self) -> None:
        """Make waiting reads check for records and failures again."""
        reached, self._next_append = self._next_append, asyncio.Event()
        reached.set()

    @property
    def next_append(self) -> asyncio.Event:
        """Event that the next append sets.

        A reader must get it before it checks for records and must not yield in
        between; otherwise it misses an append.
        """
        return self._next_append


class MemoryLogClient:
    """One daemon's client of a :class:`MemoryLog`; implements :class:`passgate.interfaces.LogClient`."""

    def __init__(self, log: MemoryLog, latency_s: float = 0.001) -> None:
        self.log = log
        self.latency_s = latency_s
        self.read_calls = 0
        self.down = False
        """Whether appends and reads raise LogUnavailable."""
        self.reads_down = False
        """Whether reads raise LogUnavailable."""
        self.appends_down = False
        """Whether appends raise LogUnavailable."""
        self.hidden_records = 0
        """Number of latest records of each stream that reads omit, as a lagging log replica does."""
        self._scripted_faults: deque[AppendFault] = deque()

    def script_faults(self, *faults: AppendFault) -> None:
        """Add outcomes of the next appends, one per call; appends after them succeed."""
        self._scripted_faults.extend(faults)

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append the records, with the scripted fault of this call.

        Raises:
            LogUnavailable: nothing was appended.
            LogAppendUnknown: the fault hides the outcome.
        """
        self.log.append_calls += 1
        fault = self._scripted_faults.popleft() if self._scripted_faults else AppendFault.NONE
        await asyncio.sleep(self.latency_s)
        if self.down or self.appends_down or fault is AppendFault.REFUSED:
            raise LogUnavailable("the in-memory log is set to be down")
        if fault is AppendFault.DELAYED:
            self.log.delay(stream, payloads)
        elif fault is AppendFault.PARTIALLY_APPENDED:
            self.log.put(stream, payloads[: len(payloads) // 2])
        elif fault is not AppendFault.REQUEST_LOST:
            first_offset = self.log.put(stream, payloads)
        if fault is AppendFault.HANGING:
            await asyncio.Event().wait()
        if fault is not AppendFault.NONE:
            raise LogAppendUnknown("the scripted fault lost the response")
        await asyncio.sleep(self.latency_s)
        return first_offset

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return up to ``limit`` records from ``offset``; wait up to ``wait_s`` when there are none.

        Raises:
            LogUnavailable: reads are set to fail.
        """
        self.read_calls += 1
        deadline_s = asyncio.get_running_loop().time() + wait_s
        await asyncio.sleep(self.latency_s)
        while True:
            if self.down or self.reads_down:
                raise LogUnavailable("the in-memory log is set to be down")
            next_append = self.log.next_append
            batch = self._visible_batch(stream, offset, limit)
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if batch.entries or remaining_s < SHORTEST_WAIT_S:
                await asyncio.sleep(self.latency_s)
                return batch
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await next_append.wait()

    def _visible_batch(self, stream: str, offset: int, limit: int) -> LogBatch:
        records = self.log.streams.get(stream, [])
        end_offset = max(0, len(records) - self.hidden_records)
        stop_offset = min(end_offset, offset + limit)
        entries = tuple(LogEntry(position, records[position]) for position in range(offset, stop_offset))
        return LogBatch(entries, end_offset)
