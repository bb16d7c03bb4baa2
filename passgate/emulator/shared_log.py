"""In-memory emulation of the shared log for tests in virtual time, with faults.

A test may change the faults, which are attributes, at any time: refused calls, calls without an answer,
appends that take effect late, limited bandwidth, dropped history, clients that the log does not answer.

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
"""Duration of a call without faults, half of it before its effect."""
ANSWER_TIMEOUT_S = 1.2
"""Time after which a client gives up a call that gets no answer."""
KEY_SEPARATOR = b"\x00"
KEYED_TOPIC_PREFIX = "keyed."
"""Prefix of the names of keyed topics."""
RECORDS_PER_SNAPSHOT_PAGE = 500
MAX_READ_QUEUE_S = 2.0
"""Longest wait of a read for earlier reads' bytes; a read that would wait longer is refused."""


class SharedLogFaults(msgspec.Struct, kw_only=True):
    """Active faults; all off by default."""

    refusing: bool = False
    """Calls are refused and have no effect."""
    silent: bool = False
    """Calls get no answer; those that arrive while it is set have no effect."""
    lost_answers: float = 0.0
    """Probability that an append takes effect but gets no answer."""
    late_s: tuple[float, float] = (0.0, 0.0)
    """Range of the delay after which an append whose answer is lost takes effect."""
    slow_s: float = 0.0
    """Added to the duration of each call."""
    records_per_page: int | None = None
    """Maximum number of records in a page; None for no limit."""
    read_bytes_per_s: float = math.inf
    """Bandwidth that all reads share; bytes for a reader that has stopped waiting use it as well."""


class _Partition:
    """Records of one partition; ``first`` is the offset of the oldest one kept."""

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
    """The log service; each daemon uses it through a client of its own.

    Its own methods take effect at once and are not subject to the faults, except ``transfer``.
    """

    def __init__(self, seed: int = 0, *, partition_count: int = 4) -> None:
        self.faults = SharedLogFaults()
        self.partition_count = partition_count
        """Number of partitions of each topic that is not keyed."""
        self.groups = LogGroups(monotonic_s)
        self.cut_off_clients: set[str] = set()
        """Names of the clients whose calls get no answer."""
        self.clients_without_reads: set[str] = set()
        """Names of the clients whose reads of records get no answer, although other calls do."""
        self.silent_partitions: set[tuple[str, int]] = set()
        """Topics and numbers of partitions whose appends and reads of records get no answer."""
        self.call_count = 0
        self.bytes_read = 0
        self._bandwidth_free_s = 0.0
        """Loop time at which the bytes of all reads so far have been sent."""
        self.random = random.Random(seed)
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._newest_by_topic: dict[str, dict[str, bytes]] = {}

    def client(self, name: str) -> MemorySharedLogClient:
        """Return the client of one daemon."""
        return MemorySharedLogClient(self, name)

    def partition(self, topic: str, part: int) -> _Partition:
        """Return a partition, which is created on first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    def put_keyed(self, topic: str, key: str, value: bytes) -> None:
        """Append a value for a key of a keyed topic; an empty value deletes the key."""
        self.append_now(topic, 0, [key.encode() + KEY_SEPARATOR + value])

    def append_now(self, topic: str, part: int, records: Sequence[bytes]) -> int:
        """Append records and return the offset of the first; those of a keyed topic update their keys."""
        if topic.startswith(KEYED_TOPIC_PREFIX):
            newest = self._newest_by_topic.setdefault(topic, {})
            for record in records:
                key, _, value = record.partition(KEY_SEPARATOR)
                if value:
                    newest[key.decode()] = value
                else:
                    newest.pop(key.decode(), None)
        return self.partition(topic, part).append(records)

    def newest_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a keyed topic."""
        return dict(self._newest_by_topic.get(topic, {}))

    async def transfer(self, size: int) -> None:
        """Wait until the shared bandwidth has sent ``size`` bytes to a reader.

        Raises:
            LogUnavailable: the bytes would be queued for more than ``MAX_READ_QUEUE_S``, or the reader's
                timeout passed before they had been sent.
        """
        self.bytes_read += size
        now_s = monotonic_s()
        start_s = max(now_s, self._bandwidth_free_s)
        if start_s - now_s > MAX_READ_QUEUE_S:
            raise LogUnavailable("too many bytes of other reads are queued", status=503)
        self._bandwidth_free_s = start_s + size / self.faults.read_bytes_per_s
        wait_s = self._bandwidth_free_s - now_s
        await asyncio.sleep(min(wait_s, ANSWER_TIMEOUT_S))
        if wait_s > ANSWER_TIMEOUT_S:
            raise LogUnavailable("the read timed out before its bytes were sent")

    def drop_history(self, topic: str) -> None:
        """Remove all records of a topic's partition 0; the newest values of keys remain."""
        partition = self.partition(topic, 0)
        partition.drop_before(partition.end)


def _take_up_to(records: Sequence[bytes], max_bytes: int) -> tuple[bytes, ...]:
    """Return the first records that have at most ``max_bytes`` in all, but at least one."""
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
        await self._send_call(LogAppendUnknown)
        await self._raise_if_silent(topic, part, LogAppendUnknown)
        faults = self._log.faults
        if faults.lost_answers and self._log.random.random() < faults.lost_answers:
            late_s = self._log.random.uniform(*faults.late_s)
            asyncio.get_running_loop().call_later(late_s, self._append_late, topic, part, list(records), at)
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            raise LogAppendUnknown("the log did not answer an append")
        partition = self._log.partition(topic, part)
        if at is not None and at != partition.end:
            raise AppendConflict(partition.end)
        offset = self._log.append_now(topic, part, records)
        await self._send_answer(LogAppendUnknown)
        return offset

    def _append_late(self, topic: str, part: int, records: list[bytes], at: int | None) -> None:
        """Append the records unless ``at`` differs from the partition's end by now."""
        partition = self._log.partition(topic, part)
        if at is None or at == partition.end:
            self._log.append_now(topic, part, records)

    async def read(
        self, topic: str, part: int, start: int, *, wait_s: float, max_bytes: int = MAX_PAGE_BYTES
    ) -> LogPage:
        """Return records from an offset; see :class:`SharedLog`."""
        await self._send_call(LogUnavailable)
        partition = self._log.partition(topic, part)
        deadline_s = monotonic_s() + wait_s
        while partition.end <= start and (left_s := deadline_s - monotonic_s()) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), left_s)
            except TimeoutError:
                break
        if start < partition.first:
            raise HistoryGone(partition.first)
        kept = partition.records[start - partition.first :]
        records = _take_up_to(kept[: self._log.faults.records_per_page], max_bytes)
        await self._log.transfer(sum(len(record) for record in records))
        page = LogPage(start=start, end=partition.end, records=records, first=partition.first)
        await self._send_answer(LogUnavailable)
        if self._name in self._log.clients_without_reads:
            await self._time_out(LogUnavailable)
        await self._raise_if_silent(topic, part, LogUnavailable)
        return page

    async def newest(self, topic: str, part: int, *, most_pages: int | None = None) -> KeyedSnapshot:
        """Return the newest record of every key; see :class:`SharedLog`."""
        await self._send_call(LogUnavailable)
        records = tuple(
            KeyedRecord(key=key, value=value) for key, value in self._log.newest_values(topic).items()
        )
        returned = records if most_pages is None else records[: most_pages * RECORDS_PER_SNAPSHOT_PAGE]
        next_offset = self._log.partition(topic, part).end
        await self._log.transfer(sum(len(record.value) for record in returned))
        return KeyedSnapshot(records=returned, next_offset=next_offset, more=len(returned) < len(records))

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupAssignment:
        """Join a group or renew the membership; see :class:`SharedLog`."""
        await self._send_call(LogUnavailable)
        partitions = [(topic, part) for topic in topics for part in range(self._log.partition_count)]
        assignment = self._log.groups.join(
            group, member, partitions, lifetime_s=lifetime_s, generation=generation
        )
        await self._send_answer(LogUnavailable)
        assigned = frozenset(GroupPartition(topic, part) for topic, part in assignment.partitions)
        return GroupAssignment(generation=assignment.generation, partitions=assigned)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, which moves the member's partitions to the others."""
        await self._send_call(LogUnavailable)
        self._log.groups.leave(group, member)
        await self._send_answer(LogUnavailable)

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the member that holds each partition; see :class:`SharedLog`."""
        await self._send_call(LogUnavailable)
        holders = self._log.groups.holders(group)
        await self._send_answer(LogUnavailable)
        return {GroupPartition(topic, part): member for (topic, part), member in holders.items()}

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Decode a raw record of a keyed topic."""
        key, _, value = record.partition(KEY_SEPARATOR)
        return KeyedRecord(key=key.decode(), value=value)

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Encode a record of a keyed topic."""
        return record.key.encode() + KEY_SEPARATOR + record.value

    async def _send_call(self, failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        """Deliver the call; raises LogUnavailable if the log refuses it, ``failure`` if the log is silent."""
        self._log.call_count += 1
        await asyncio.sleep(ANSWER_S / 2 + self._log.faults.slow_s / 2)
        if self._log.faults.refusing:
            raise LogUnavailable("the log refused the call")
        await self._raise_if_unanswered(failure)

    async def _send_answer(self, failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        """Deliver the answer; raises ``failure`` if the log is silent by then."""
        await asyncio.sleep(ANSWER_S / 2 + self._log.faults.slow_s / 2)
        await self._raise_if_unanswered(failure)

    async def _raise_if_unanswered(self, failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        if self._log.faults.silent or self._name in self._log.cut_off_clients:
            await self._time_out(failure)

    async def _raise_if_silent(
        self, topic: str, part: int, failure: type[LogUnavailable] | type[LogAppendUnknown]
    ) -> None:
        """Raise ``failure`` if the partition is silent."""
        if (topic, part) in self._log.silent_partitions:
            await self._time_out(failure)

    @staticmethod
    async def _time_out(failure: type[LogUnavailable] | type[LogAppendUnknown]) -> None:
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        raise failure("the log did not answer the call")
