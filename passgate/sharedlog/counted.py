"""Counts a daemon's calls to the log, by call, topic or group, and outcome.

All daemons share the calls that the log grants in a second, so on call has to see which of them grow.

>>> from passgate.clock import run_virtual
>>> from passgate.emulator.shared_log import MemorySharedLog
>>> counts = []
>>> log = CountedLog(MemorySharedLog().client("d1"), lambda *labels: counts.append(labels))
>>> run_virtual(log.append("jobs", 0, [b"a"])), counts
(0, [('append', 'jobs', 'ok')])
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from passgate.errors import LogError
from passgate.sharedlog.log import (
    MAX_PAGE_BYTES,
    GroupPartition,
    GroupShare,
    KeyedRecord,
    KeyedSnapshot,
    LogPage,
    SharedLog,
)

OUTCOME_OK = "ok"

CountCall = Callable[[str, str, str], None]
"""Takes the name of a call, its topic or group, and its outcome: ``ok`` or the code of the failure."""

T = TypeVar("T")


class CountedLog:
    """A log whose calls are counted; see :class:`SharedLog`."""

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
        """Return the newest record of every key; a call of several pages counts once."""
        snapshot = self._log.newest(topic, part, most_pages=most_pages)
        return await self._await_and_count("newest", topic, snapshot)

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupShare:
        """Join a group or stay in it."""
        share = self._log.join(group, member, topics, lifetime_s=lifetime_s, generation=generation)
        return await self._await_and_count("join", group, share)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once."""
        await self._await_and_count("leave", group, self._log.leave(group, member))

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the member of each partition."""
        return await self._await_and_count("members", group, self._log.members(group))

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Split a raw record of a keyed topic."""
        return self._log.decode_keyed(record)

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Return the raw record of a keyed topic."""
        return self._log.encode_keyed(record)

    async def _await_and_count(self, call: str, subject: str, answer: Awaitable[T]) -> T:
        try:
            result = await answer
        except LogError as error:
            self._count(call, subject, error.code)
            raise
        self._count(call, subject, OUTCOME_OK)
        return result
