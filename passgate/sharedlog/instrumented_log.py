"""Counts a daemon's calls to the log by the call's name, by topic or group, and by outcome.

All daemons share the log's limit of calls per second, so operators need to see which calls grow.

>>> from passgate.clock import run_virtual
>>> from passgate.emulator.shared_log import MemorySharedLog
>>> counts = []
>>> log = InstrumentedLog(MemorySharedLog().client("d1"), lambda *labels: counts.append(labels))
>>> run_virtual(log.append("jobs", 0, [b"a"])), counts
(0, [('append', 'jobs', 'ok')])
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from passgate.errors import LogError
from passgate.sharedlog.log import (
    MAX_PAGE_BYTES,
    GroupAssignment,
    GroupPartition,
    KeyedRecord,
    KeyedSnapshot,
    LogPage,
    SharedLog,
)

OUTCOME_OK = "ok"

CountCall = Callable[[str, str, str], None]
"""Called with the name of a call, its topic or group, and its outcome: ``ok`` or the code of a LogError."""

T = TypeVar("T")


class InstrumentedLog:
    """Wraps a log client and counts its calls; see :class:`SharedLog` for the methods.

    Calls that are cancelled, or fail with an error other than a LogError, are not counted.
    """

    def __init__(self, log: SharedLog, count: CountCall) -> None:
        self._log = log
        self._count = count

    async def append(self, topic: str, part: int, records: Sequence[bytes], *, at: int | None = None) -> int:
        """Append all records or none."""
        return await self._await_and_count("append", topic, self._log.append(topic, part, records, at=at))

    async def read(
        self, topic: str, part: int, start: int, *, wait_s: float, max_bytes: int = MAX_PAGE_BYTES
    ) -> LogPage:
        """Return records from an offset."""
        page = self._log.read(topic, part, start, wait_s=wait_s, max_bytes=max_bytes)
        return await self._await_and_count("read", topic, page)

    async def newest(self, topic: str, part: int, *, most_pages: int | None = None) -> KeyedSnapshot:
        """Return the newest records of the keys; a call that reads several pages counts once."""
        snapshot = self._log.newest(topic, part, most_pages=most_pages)
        return await self._await_and_count("newest", topic, snapshot)

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupAssignment:
        """Join a group or renew the membership."""
        assignment = self._log.join(group, member, topics, lifetime_s=lifetime_s, generation=generation)
        return await self._await_and_count("join", group, assignment)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once."""
        await self._await_and_count("leave", group, self._log.leave(group, member))

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the member of each partition."""
        return await self._await_and_count("members", group, self._log.members(group))

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Decode a raw record of a keyed topic; not counted."""
        return self._log.decode_keyed(record)

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Encode a record of a keyed topic; not counted."""
        return self._log.encode_keyed(record)

    async def _await_and_count(self, call: str, subject: str, awaitable: Awaitable[T]) -> T:
        try:
            result = await awaitable
        except LogError as error:
            self._count(call, subject, error.code)
            raise
        self._count(call, subject, OUTCOME_OK)
        return result
