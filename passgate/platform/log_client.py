"""HTTP client of the platform's log service, with the methods of :class:`passgate.sharedlog.log.SharedLog`.

>>> unpack_records(pack_records([b"ab", b"c"]))
(b'ab', b'c')
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import random
import struct
from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, SendPolicy
from passgate.errors import (
    ExecutionStatus,
    LogAppendUnknown,
    LogUnavailable,
    MalformedRecord,
    PassgateError,
    RecordTooLarge,
)
from passgate.platform import names
from passgate.sharedlog.log import (
    MAX_PAGE_BYTES,
    AppendConflict,
    GroupAssignment,
    GroupPartition,
    HistoryGone,
    KeyedRecord,
    KeyedSnapshot,
    LogPage,
    LogThrottled,
)

CALL_TIMEOUT_S = 1.2
"""Timeout of a call, in addition to the time that a read waits for records."""
CONNECT_TIMEOUT_S = 0.7
"""Timeout of a new connection; below the 1 s after which TCP repeats a lost SYN, so a new call is faster."""
OK, GONE, PRECONDITION_FAILED, CONTENT_TOO_LARGE, THROTTLED = 200, 410, 412, 413, 429
RECORD_LENGTH = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")
FIRST_RETRY_PAUSE_S = 0.1
"""Mean pause before the first retry of a throttled page; doubles with each retry, up to MAX_RETRY_PAUSE_S."""
MAX_RETRY_PAUSE_S = 1.0
"""Longest mean pause between retries of a throttled page; jitter adds or subtracts up to a half."""
MAX_PAGE_ATTEMPTS = 20
RECORDS_TYPE = "application/octet-stream"
JSON_TYPE = "application/json"


class _Appended(msgspec.Struct):
    offset: int
    end: int


class _PartitionBounds(msgspec.Struct):
    end: int = 0
    first: int = 0


class _Newest(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _Join(msgspec.Struct):
    group: str
    member: str
    topics: list[str]
    ttl_ms: int
    generation: int


class _Leave(msgspec.Struct):
    group: str
    member: str


class _Joined(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]
    """Topic, partition, committed offset."""


class _Members(msgspec.Struct):
    parts: list[tuple[str, int, str, int]]
    """Topic, partition, member, committed offset."""


class _NewestPage(msgspec.Struct):
    requests: list[_Newest]
    """Records of the page; the platform calls them requests."""
    end: int
    more: bool = False


def pack_records(records: Sequence[bytes]) -> bytes:
    """Concatenate records, each prefixed with its length."""
    return b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)


def unpack_records(data: bytes) -> tuple[bytes, ...]:
    """Split concatenated records; a truncated last record is returned as far as present."""
    records = []
    position = 0
    while position + RECORD_LENGTH.size <= len(data):
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        records.append(data[position : position + size])
        position += size
    return tuple(records)


def _raise_for_status(answer: HttpAnswer) -> None:
    if answer.status == THROTTLED:
        raise LogThrottled("the log throttles calls")
    if answer.status != OK:
        raise LogUnavailable(f"call refused with status {answer.status}", status=answer.status)


class PlatformLog:
    """Client of the log service.

    Each call is sent at most once, except that pages of :meth:`newest` are read again when throttled.  An
    answer that can not be decoded raises msgspec.DecodeError, although an append may have taken effect.
    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._base_url = ""
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Use another address from the next call on."""
        self._base_url = f"http://{address}"

    async def append(self, topic: str, part: int, records: Sequence[bytes], *, at: int | None = None) -> int:
        """Append all records or none; see :meth:`SharedLog.append`.

        An error status counts as the log's assurance that nothing was appended: 412 raises AppendConflict,
        413 RecordTooLarge, any other LogUnavailable.
        """
        query = f"?topic={quote(topic)}&part={part}" + (f"&at={at}" if at is not None else "")
        try:
            answer = await self._fetch(
                "POST", names.APPEND_PATH + query, pack_records(records), CALL_TIMEOUT_S
            )
        except PassgateError as error:
            if error.execution is ExecutionStatus.NOT_RUN:
                raise LogUnavailable(str(error)) from error
            raise LogAppendUnknown(str(error)) from error
        if answer.status == PRECONDITION_FAILED:
            raise AppendConflict(msgspec.json.decode(answer.body, type=_PartitionBounds).end)
        if answer.status == CONTENT_TOO_LARGE:
            raise RecordTooLarge("append refused for its size", status=answer.status)
        if answer.status != OK:
            raise LogUnavailable(f"append refused with status {answer.status}", status=answer.status)
        return msgspec.json.decode(answer.body, type=_Appended).offset

    async def read(
        self, topic: str, part: int, start: int, *, wait_s: float, max_bytes: int = MAX_PAGE_BYTES
    ) -> LogPage:
        """Return records from an offset; see :meth:`SharedLog.read`."""
        wait_ms = int(wait_s * 1000)
        max_kb = max(max_bytes // 1024, 1)
        path = f"{names.READ_PATH}?topic={quote(topic)}&part={part}&from={start}&max_kb={max_kb}"
        answer = await self._get(f"{path}&waitMs={wait_ms}", wait_s + CALL_TIMEOUT_S)
        if answer.status == GONE:
            raise HistoryGone(msgspec.json.decode(answer.body, type=_PartitionBounds).first)
        if answer.status == THROTTLED:
            raise LogThrottled("the log throttles reads")
        if answer.status != OK or len(answer.body) < PAGE_HEADER.size:
            raise LogUnavailable(
                f"read refused, or its page truncated: status {answer.status}", status=answer.status
            )
        end, first = PAGE_HEADER.unpack_from(answer.body)
        records = unpack_records(answer.body[PAGE_HEADER.size :])
        return LogPage(start=start, end=end, records=records, first=first)

    async def newest(self, topic: str, part: int, *, most_pages: int | None = None) -> KeyedSnapshot:
        """Return the newest record of every key on the pages read; see :meth:`SharedLog.newest`."""
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        for pages in itertools.count(1):
            path = f"{names.NEWEST_PATH}?topic={quote(topic)}&part={part}"
            # In this call, afterRev is the last key of the previous page.
            answer = await self._read_page(path + (f"&afterRev={quote(after, safe='')}" if after else ""))
            if answer.status != OK:
                raise LogUnavailable(f"read answered with status {answer.status}", status=answer.status)
            page = msgspec.json.decode(answer.body, type=_NewestPage)
            # Keys may change between two pages, so the caller has to continue reading from the partition's
            # end as reported with the first page.
            end = page.end if end is None else end
            records += [KeyedRecord(key=row.key, value=base64.b64decode(row.value)) for row in page.requests]
            more = page.more and bool(page.requests)
            if not more or pages == most_pages:
                return KeyedSnapshot(records=tuple(records), next_offset=end, end=page.end, more=more)
            after = page.requests[-1].key
        raise AssertionError("the loop over pages ends by returning")

    async def _read_page(self, path: str) -> HttpAnswer:
        """Read one page, retrying while throttled, as giving up would discard all pages read before.

        Raises LogThrottled if all MAX_PAGE_ATTEMPTS attempts were throttled, and LogUnavailable if a call
        fails.
        """
        pause_s = FIRST_RETRY_PAUSE_S
        for _ in range(MAX_PAGE_ATTEMPTS):
            answer = await self._get(path, CALL_TIMEOUT_S)
            if answer.status != THROTTLED:
                return answer
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(pause_s * 2.0, MAX_RETRY_PAUSE_S)
        raise LogThrottled("the log kept throttling the reads of one page")

    async def join(
        self, group: str, member: str, topics: Sequence[str], *, lifetime_s: float, generation: int
    ) -> GroupAssignment:
        """Join a group or renew the membership; see :meth:`SharedLog.join`.

        After LogUnavailable, the call may nevertheless have taken effect.
        """
        document = _Join(group, member, list(topics), int(lifetime_s * 1000), generation)
        answer = await self._post(names.JOIN_PATH, document)
        joined = msgspec.json.decode(answer.body, type=_Joined)
        partitions = frozenset(GroupPartition(topic, part) for topic, part, _ in joined.parts)
        return GroupAssignment(generation=joined.generation, partitions=partitions)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group; after LogUnavailable, the call may nevertheless have taken effect."""
        await self._post(names.LEAVE_PATH, _Leave(group, member))

    async def members(self, group: str) -> dict[GroupPartition, str]:
        """Return the member of each assigned partition; see :meth:`SharedLog.members`."""
        answer = await self._get(f"{names.MEMBERS_PATH}?group={quote(group)}", CALL_TIMEOUT_S)
        _raise_for_status(answer)
        rows = msgspec.json.decode(answer.body, type=_Members).parts
        return {GroupPartition(topic, part): member for topic, part, member, _ in rows}

    async def _post(self, path: str, document: msgspec.Struct) -> HttpAnswer:
        try:
            answer = await self._fetch("POST", path, msgspec.json.encode(document), CALL_TIMEOUT_S, JSON_TYPE)
        except PassgateError as error:
            raise LogUnavailable(str(error)) from error
        _raise_for_status(answer)
        return answer

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Decode a raw record of a keyed topic; raises MalformedRecord.

        A record consists of the key's length in one byte, the key in UTF-8, and the value.
        """
        key_size = record[0] if record else 0
        if len(record) < 1 + key_size:
            raise MalformedRecord("a keyed record is shorter than its key")
        try:
            key = record[1 : 1 + key_size].decode()
        except UnicodeDecodeError as error:
            raise MalformedRecord("the key of a keyed record is not UTF-8") from error
        return KeyedRecord(key=key, value=record[1 + key_size :])

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Encode a record of a keyed topic; raises ValueError if the key is longer than 255 bytes."""
        key = record.key.encode()
        return bytes([len(key)]) + key + record.value

    async def _get(self, path: str, timeout_s: float) -> HttpAnswer:
        try:
            return await self._fetch("GET", path, None, timeout_s)
        except PassgateError as error:
            raise LogUnavailable(str(error)) from error

    async def _fetch(
        self, method: str, path: str, body: bytes | None, timeout_s: float, content_type: str = RECORDS_TYPE
    ) -> HttpAnswer:
        return await self._http.fetch(
            HttpCall(
                method=method,
                url=self._base_url + path,
                body=body,
                headers={"Content-Type": content_type} if body is not None else {},
                send=SendPolicy.ONCE,
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                control=True,
            )
        )
