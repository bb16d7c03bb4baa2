"""In-memory log whose failures are scripted call by call.

Tests and cost measurements use it where one certain failure must happen at one
certain call.  Each client has its own script, so that one daemon can be cut off
while another goes on.

>>> import asyncio
>>> async def lose_one_answer():
...     client = MemoryLogClient(MemoryLog())
...     client.script(AppendFault.ANSWER_LOST)
...     try:
...         await client.append("s", [b"a"], 1.0)
...     except LogAppendUnknown:
...         return (await client.read("s", 0, 10, 0.0)).entries
>>> asyncio.run(lose_one_answer())
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


class AppendFault(enum.Enum):
    """What goes wrong with one append."""

    NONE = "none"
    REFUSED = "refused"
    """Nothing is appended and the client says so."""
    ANSWER_LOST = "answer_lost"
    """All is appended, the answer is lost."""
    REQUEST_LOST = "request_lost"
    """Nothing is appended, the client can not tell."""
    HALF_LOST = "half_lost"
    """The first half is appended, the answer is lost."""
    LATE = "late"
    """The answer is lost and the records land when ``MemoryLog.land_late`` is called."""
    HANGS = "hangs"
    """All is appended and the call never returns."""


class MemoryLog:
    """The records of all streams, shared by all clients."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.append_calls = 0
        self._late: list[tuple[str, tuple[bytes, ...]]] = []
        self._grown = asyncio.Event()

    def put(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records and return the offset of the first."""
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records.extend(payloads)
        self.wake_readers()
        return first

    def delay(self, stream: str, payloads: Sequence[bytes]) -> None:
        """Keep records until :meth:`land_late`."""
        self._late.append((stream, tuple(payloads)))

    def land_late(self) -> None:
        """Append all delayed records now."""
        late, self._late = self._late, []
        for stream, payloads in late:
            self.put(stream, payloads)

    def wake_readers(self) -> None:
        """Let waiting reads look again."""
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()

    @property
    def grown(self) -> asyncio.Event:
        """Set at the next append; take it in the step that looks for records."""
        return self._grown


class MemoryLogClient:
    """One daemon's access to a :class:`MemoryLog`."""

    def __init__(self, log: MemoryLog, latency_s: float = 0.001) -> None:
        self.log = log
        self.latency_s = latency_s
        self.read_calls = 0
        self.down = False
        """Neither appends nor reads work."""
        self.reads_down = False
        self.appends_down = False
        self.hidden_records = 0
        """How many of the latest records of each stream reads do not show."""
        self._script: deque[AppendFault] = deque()

    def script(self, *faults: AppendFault) -> None:
        """Set what happens to the next appends, one entry per call."""
        self._script.extend(faults)

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append as :class:`passgate.interfaces.LogClient` says, with the scripted failure."""
        self.log.append_calls += 1
        fault = self._script.popleft() if self._script else AppendFault.NONE
        await asyncio.sleep(self.latency_s)
        if self.down or self.appends_down or fault is AppendFault.REFUSED:
            raise LogUnavailable("the log is down")
        if fault is AppendFault.LATE:
            self.log.delay(stream, payloads)
        elif fault is AppendFault.HALF_LOST:
            self.log.put(stream, payloads[: len(payloads) // 2])
        elif fault is not AppendFault.REQUEST_LOST:
            first = self.log.put(stream, payloads)
        if fault is AppendFault.HANGS:
            await asyncio.Event().wait()
        if fault is not AppendFault.NONE:
            raise LogAppendUnknown("the answer was lost")
        await asyncio.sleep(self.latency_s)
        return first

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Read as :class:`passgate.interfaces.LogClient` says."""
        self.read_calls += 1
        deadline_s = asyncio.get_running_loop().time() + wait_s
        await asyncio.sleep(self.latency_s)
        while True:
            if self.down or self.reads_down:
                raise LogUnavailable("the log is down")
            grown = self.log.grown
            batch = self._batch(stream, offset, limit)
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if batch.entries or remaining_s < SHORTEST_WAIT_S:
                await asyncio.sleep(self.latency_s)
                return batch
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await grown.wait()

    def _batch(self, stream: str, offset: int, limit: int) -> LogBatch:
        records = self.log.streams.get(stream, [])
        end = max(0, len(records) - self.hidden_records)
        stop = min(end, offset + limit)
        entries = tuple(LogEntry(position, records[position]) for position in range(offset, stop))
        return LogBatch(entries, end)
