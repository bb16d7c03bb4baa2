"""Interface of the shared log: partitions, conditional appends, keyed topics and groups.

A topic has partitions.  In each, offsets number the records from 0 without gaps.  The log may remove old
records, but a keyed topic retains the newest value of every key until the key is deleted.

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
"""Default of the maximum size of a page of records."""


class LogThrottled(LogUnavailable):
    """The log refused a call because all daemons together exceed its rate limit."""

    code = "log_throttled"


class HistoryGone(LogError):
    """The records at the requested offset were removed; reading can continue at ``first``."""

    code = "history_gone"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} were removed", first=first)
        self.first = first


class AppendConflict(LogError):
    """A conditional append expected another end of the partition; nothing was appended."""

    code = "append_conflict"
    http_status = 503
    execution = ExecutionStatus.NOT_RUN

    def __init__(self, end: int) -> None:
        super().__init__(f"the append expected another end of the partition than offset {end}", end=end)
        self.end = end


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Records returned by one read; ``records`` may be empty."""

    start: int
    """Offset of the first record; without records, the requested offset."""
    end: int
    """Offset after the last record of the partition at the time of the read."""
    records: tuple[bytes, ...]
    first: int = 0
    """Offset of the oldest record that the partition kept at the time of the read."""

    @property
    def next_offset(self) -> int:
        """Offset after the last record of this page."""
        return self.start + len(self.records)


class KeyedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


class KeyedSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The newest records of a keyed topic's keys, read page by page, and where to continue reading."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    """End of the partition as of the first page, from which on records may be missing."""
    end: int = 0
    """End of the partition as of the last page; the records of later pages may be as new as this."""
    more: bool = False
    """Whether some keys are missing, as the number of pages was limited."""


class GroupPartition(msgspec.Struct, frozen=True):
    """A partition that a group assigns to one of its members."""

    topic: str
    part: int


class GroupAssignment(msgspec.Struct, frozen=True, kw_only=True):
    """The partitions assigned to one member of a group."""

    generation: int
    """Increases with every change of the group."""
    partitions: frozenset[GroupPartition]


class SharedLog(Protocol):
    """Client of the shared log.

    ``append`` has to raise ``LogAppendUnknown`` if it may have taken effect or may still do so; callers take
    ``LogUnavailable`` as proof that it had no effect.  ``join`` and ``leave`` may have taken effect although
    they raise ``LogUnavailable``.
    """

    async def append(self, topic: str, part: int, records: Sequence[bytes], *, at: int | None = None) -> int:
        """Append all records or none; return the offset of the first.

        Raises AppendConflict if ``at`` is given and differs from the partition's end.
        """
        ...

    async def read(
        self, topic: str, part: int, start: int, *, wait_s: float, max_bytes: int = MAX_PAGE_BYTES
    ) -> LogPage:
        """Return records from ``start``, waiting up to ``wait_s`` for one if there is none.

        A page holds about ``max_bytes`` at most, and at least one record if there is any.  Raises HistoryGone
        if the record at ``start`` was removed.
        """
        ...

    async def newest(self, topic: str, part: int, *, most_pages: int | None = None) -> KeyedSnapshot:
        """Return the newest record of every key of a keyed topic.

        If ``most_pages`` is given, reads at most that many pages, so that keys may be missing.
        """
        ...

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupAssignment:
        """Join a group or renew the membership, and return the partitions assigned to the member.

        The log divides the partitions of the topics among the members.  A member that does not join again
        within ``lifetime_s`` is removed.  ``generation`` is the last one that it has received, 0 at first.
        """
        ...

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once, instead of letting the membership expire."""
        ...

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the members of a group by the partitions assigned to them."""
        ...

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Decode a raw record of a keyed topic; raises MalformedRecord."""
        ...

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Encode a record of a keyed topic as the raw record to append."""
        ...
