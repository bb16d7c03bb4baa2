"""What passgate asks of a shared log: partitions, conditional appends, keyed topics.

A topic has partitions; in each, offsets number the records from 0 without gaps.
A keyed topic additionally keeps the newest value of each key for good.

>>> page = LogPage(start=5, end=7, records=(b"a", b"b"))
>>> page.next_offset
7
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from passgate.errors import ExecutionStatus, LogError, LogUnavailable

MAX_PAGE_BYTES = 1 << 20
"""Largest page that the log gives at once."""


class LogThrottled(LogUnavailable):
    """The log refused a call because all daemons together make too many."""

    code = "log_throttled"


class HistoryGone(LogError):
    """Records at the asked offset were removed; reading goes on at ``first``."""

    code = "history_gone"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN

    def __init__(self, first: int) -> None:
        super().__init__(f"records before {first} are gone", first=first)
        self.first = first


class AppendConflict(LogError):
    """A conditional append found the partition at another end; nothing was done."""

    code = "append_conflict"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN

    def __init__(self, end: int) -> None:
        super().__init__(f"partition ends at {end}", end=end)
        self.end = end


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Records of one read; ``records`` may be empty."""

    start: int
    """Offset of the first record."""
    end: int
    """End of the partition when it was read."""
    records: tuple[bytes, ...]
    first: int = 0
    """Offset of the first record that the partition still keeps."""

    @property
    def next_offset(self) -> int:
        """Offset after the last record of this page."""
        return self.start + len(self.records)


class KeyedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


class KeyedSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The newest record of every key, and the offset at which to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    more: bool = False
    """Whether keys are missing, as no more pages were asked for."""


class GroupPartition(msgspec.Struct, frozen=True):
    """A partition that a group deals to its members."""

    topic: str
    part: int


class GroupShare(msgspec.Struct, frozen=True, kw_only=True):
    """What belongs to one member of a group."""

    generation: int
    """Rises with every change of the group."""
    partitions: frozenset[GroupPartition]


class SharedLog(Protocol):
    """Calls of the log.

    Every call raises ``LogUnavailable`` when it surely did nothing and
    ``LogAppendUnknown`` when an append may have been done or may still be done.
    """

    async def append(self, topic: str, part: int, records: Sequence[bytes], *, at: int | None = None) -> int:
        """Append all records or none; return the offset of the first.

        Raises AppendConflict when ``at`` is given and is not the partition's end.
        """
        ...

    async def read(
        self, topic: str, part: int, start: int, *, wait_s: float, max_bytes: int = MAX_PAGE_BYTES
    ) -> LogPage:
        """Return records from ``start``, waiting up to ``wait_s``; raises HistoryGone.

        A page holds about ``max_bytes`` at most, and one record at least.
        """
        ...

    async def newest(self, topic: str, part: int, *, most_pages: int | None = None) -> KeyedSnapshot:
        """Return the newest record of every key of a keyed topic, or of those of the first pages."""
        ...

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupShare:
        """Join a group or stay in it; its members share the partitions of their topics.

        A member that does not join again within ``lifetime_s`` is taken out.
        ``generation`` is the last one heard, 0 at first.
        """
        ...

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once."""
        ...

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the member of each partition of a group that has one."""
        ...

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Split a raw record of a keyed topic."""
        ...

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Return the raw record of a keyed topic."""
        ...
