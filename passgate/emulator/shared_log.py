"""Stand-in of the shared log in memory, with its faults, for tests in virtual time.

Faults are fields that a test sets while the log is used: calls refused, calls that
get no answer, appends done late, history dropped, a client cut off.

>>> from passgate.clock import run_virtual
>>> async def use():
...     log = MemorySharedLog().client("d1")
...     await log.append("t", 0, [b"a", b"b"])
...     return (await log.read("t", 0, 1, wait_s=0.0)).records
>>> run_virtual(use())
(b'b',)
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.emulator.log_groups import LogGroups
from passgate.errors import LogAppendUnknown, LogUnavailable
from passgate.sharedlog.log import (
    MAX_PAGE_BYTES,
    AppendConflict,
    GroupAssignment,
    GroupPartition,
    HistoryGone,
    KeyedRecord,
    KeyedSnapshot,
    LogPage,
)

ANSWER_S = 0.004
ANSWER_TIMEOUT_S = 1.2
SEPARATOR = b"\x00"
KEYED_PREFIX = "keyed."
NEWEST_PAGE = 500
"""Records on one page of the newest ones."""
MOST_QUEUED_S = 2.0
"""Reads that would wait longer for their bytes are refused."""


class SharedLogFaults(msgspec.Struct, kw_only=True):
    """What goes wrong at present."""

    refusing: bool = False
    """Calls are refused; nothing is done."""
    silent: bool = False
    """Calls get no answer and do nothing."""
    lost_answers: float = 0.0
    """Share of appends that are done and not answered."""
    late_s: tuple[float, float] = (0.0, 0.0)
    """When an append whose answer is lost is done, after it was sent."""
    slow_s: float = 0.0
    """Added to the time of each answer."""
    read_bytes_per_s: float = math.inf
    """Bytes that all reads together get; one whose caller has left is sent all the same."""


class _Partition:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, records: Sequence[bytes]) -> int:
        offset = self.end
        self.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def drop_before(self, offset: int) -> None:
        count = min(max(offset - self.first, 0), len(self.records))
        del self.records[:count]
        self.first += count


class MemorySharedLog:
    """The log itself; each daemon has a client of its own."""

    def __init__(self, seed: int = 0, *, parts: int = 4) -> None:
        self.faults = SharedLogFaults()
        self.parts = parts
        """Partitions of each topic that is not keyed."""
        self.groups = LogGroups(monotonic_s)
        self.cut_off: set[str] = set()
        """Clients whose calls get no answer."""
        self.calls = 0
        self.bytes_read = 0
        self._sent_until_s = 0.0
        """Loop time until which the bytes of the reads so far take."""
        self.random = random.Random(seed)
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._keyed: dict[str, dict[str, bytes]] = {}

    def client(self, name: str) -> MemorySharedLogClient:
        """Return the client of one daemon."""
        return MemorySharedLogClient(self, name)

    def partition(self, topic: str, part: int) -> _Partition:
        """Return a partition, made on its first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    def put_keyed(self, topic: str, key: str, value: bytes) -> None:
        """Write a key, as the operator and replicas do."""
        self.add(topic, 0, [key.encode() + SEPARATOR + value])

    def add(self, topic: str, part: int, records: Sequence[bytes]) -> int:
        """Append records; those of a keyed topic also become the newest of their keys."""
        if topic.startswith(KEYED_PREFIX):
            newest = self._keyed.setdefault(topic, {})
            for record in records:
                key, _, value = record.partition(SEPARATOR)
                if value:
                    newest[key.decode()] = value
                else:
                    newest.pop(key.decode(), None)
        return self.partition(topic, part).append(records)

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        return dict(self._keyed.get(topic, {}))

    async def transfer(self, size: int) -> None:
        """Send bytes to a reader; raises LogUnavailable when too many wait or come too late."""
        self.bytes_read += size
        now_s = monotonic_s()
        begins_s = max(now_s, self._sent_until_s)
        if begins_s - now_s > MOST_QUEUED_S:
            raise LogUnavailable("too many bytes wait", status=503)
        self._sent_until_s = begins_s + size / self.faults.read_bytes_per_s
        wait_s = self._sent_until_s - now_s
        await asyncio.sleep(min(wait_s, ANSWER_TIMEOUT_S))
        if wait_s > ANSWER_TIMEOUT_S:
            raise LogUnavailable("no answer")

    def drop_history(self, topic: str) -> None:
        """Forget all records so far; newest values of keys stay."""
        partition = self.partition(topic, 0)
        partition.drop_before(partition.end)


def _first_bytes(records: Sequence[bytes], max_bytes: int) -> tuple[bytes, ...]:
    """Return the first records that make up at most ``max_bytes``, and one at least."""
    size = 0
    for count, record in enumerate(records):
        size += len(record)
        if size > max_bytes and count:
            return tuple(records[:count])
    return tuple(records)


class MemorySharedLogClient:
    """:class:`passgate.sharedlog.log.SharedLog` on a log in memory."""

    def __init__(self, log: MemorySharedLog, name: str) -> None:
        self._log = log
        self._name = name

    async def append(self, topic: str, part: int, records: Sequence[bytes], *, at: int | None = None) -> int:
        """Append all records or none; see :class:`SharedLog`."""
        await self._reach(LogAppendUnknown)
        faults = self._log.faults
        if faults.lost_answers and self._log.random.random() < faults.lost_answers:
            late_s = self._log.random.uniform(*faults.late_s)
            asyncio.get_running_loop().call_later(late_s, self._do, topic, part, list(records), at)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            raise LogAppendUnknown("no answer")
        partition = self._log.partition(topic, part)
        if at is not None and at != partition.end:
            raise AppendConflict(partition.end)
        offset = self._log.add(topic, part, records)
        await self._answer(LogAppendUnknown)
        return offset

    def _do(self, topic: str, part: int, records: list[bytes], at: int | None) -> None:
        partition = self._log.partition(topic, part)
        if at is None or at == partition.end:
            self._log.add(topic, part, records)

    async def read(
        self, topic: str, part: int, start: int, *, wait_s: float, max_bytes: int = MAX_PAGE_BYTES
    ) -> LogPage:
        """Return records from an offset; see :class:`SharedLog`."""
        await self._reach(LogUnavailable)
        partition = self._log.partition(topic, part)
        until_s = monotonic_s() + wait_s
        while partition.end <= start and (left_s := until_s - monotonic_s()) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), left_s)
            except TimeoutError:
                break
        if start < partition.first:
            raise HistoryGone(partition.first)
        records = _first_bytes(partition.records[start - partition.first :], max_bytes)
        await self._log.transfer(sum(len(record) for record in records))
        page = LogPage(start=start, end=partition.end, records=records, first=partition.first)
        await self._answer(LogUnavailable)
        return page

    async def newest(self, topic: str, part: int, *, most_pages: int | None = None) -> KeyedSnapshot:
        """Return the newest record of every key; see :class:`SharedLog`."""
        await self._reach(LogUnavailable)
        records = tuple(KeyedRecord(key=key, value=value) for key, value in self._log.newest(topic).items())
        wanted = records if most_pages is None else records[: most_pages * NEWEST_PAGE]
        next_offset = self._log.partition(topic, part).end
        await self._log.transfer(sum(len(record.value) for record in wanted))
        return KeyedSnapshot(records=wanted, next_offset=next_offset, more=len(wanted) < len(records))

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupAssignment:
        """Join a group or stay in it; see :class:`SharedLog`."""
        await self._reach(LogUnavailable)
        partitions = [(topic, part) for topic in topics for part in range(self._log.parts)]
        share = self._log.groups.join(group, member, partitions, lifetime_s=lifetime_s, generation=generation)
        await self._answer(LogUnavailable)
        held = frozenset(GroupPartition(topic, part) for topic, part in share.partitions)
        return GroupAssignment(generation=share.generation, partitions=held)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once."""
        await self._reach(LogUnavailable)
        self._log.groups.leave(group, member)
        await self._answer(LogUnavailable)

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the member of each partition; see :class:`SharedLog`."""
        await self._reach(LogUnavailable)
        owners = self._log.groups.owners(group)
        await self._answer(LogUnavailable)
        return {GroupPartition(topic, part): member for (topic, part), member in owners.items()}

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Split a record of a keyed topic."""
        key, _, value = record.partition(SEPARATOR)
        return KeyedRecord(key=key.decode(), value=value)

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Return a record of a keyed topic."""
        return record.key.encode() + SEPARATOR + record.value

    async def _reach(self, failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        self._log.calls += 1
        await asyncio.sleep(ANSWER_S / 2 + self._log.faults.slow_s / 2)
        if self._log.faults.refusing:
            raise LogUnavailable("refused")
        await self._silence(failure)

    async def _answer(self, failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        await asyncio.sleep(ANSWER_S / 2 + self._log.faults.slow_s / 2)
        await self._silence(failure)

    async def _silence(self, failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        if self._log.faults.silent or self._name in self._log.cut_off:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            raise failure("no answer")
