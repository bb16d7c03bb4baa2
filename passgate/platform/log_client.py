"""The platform's log service behind :class:`passgate.sharedlog.log.SharedLog`.

>>> unpack_records(pack_records([b"ab", b"c"]))
(b'ab', b'c')
"""

from __future__ import annotations

import asyncio
import base64
import random
import struct
from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from passgate.clients.calls import HttpAnswer, HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.errors import ExecutionStatus, LogAppendUnknown, LogUnavailable, PassgateError
from passgate.platform import names
from passgate.sharedlog.log import (
    AppendConflict,
    HistoryGone,
    KeyedRecord,
    KeyedSnapshot,
    LogPage,
    LogThrottled,
)

CALL_TIMEOUT_S = 1.2
"""Time for one call's answer beyond the wait it asks for."""
CONNECT_TIMEOUT_S = 0.7
OK, GONE, PRECONDITION_FAILED, THROTTLED = 200, 410, 412, 429
LENGTH = struct.Struct(">I")
PAGE_HEAD = struct.Struct(">QQ")
FIRST_PAGE_PAUSE_S = 0.1
MAX_PAGE_PAUSE_S = 1.0
MAX_PAGE_TRIES = 20
MAX_READ_KB = 1024


class _Appended(msgspec.Struct):
    offset: int
    end: int


class _End(msgspec.Struct):
    end: int = 0
    first: int = 0


class _Newest(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _NewestPage(msgspec.Struct):
    requests: list[_Newest]
    end: int
    more: bool = False


def pack_records(records: Sequence[bytes]) -> bytes:
    """Return records in the form of the wire: each behind its length."""
    return b"".join(LENGTH.pack(len(record)) + record for record in records)


def unpack_records(data: bytes) -> tuple[bytes, ...]:
    """Return the records of the wire's form."""
    records = []
    position = 0
    while position + LENGTH.size <= len(data):
        (size,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        records.append(data[position : position + size])
        position += size
    return tuple(records)


class PlatformLog:
    """Calls of the log service."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._base = ""
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Use another address from the next call on."""
        self._base = f"http://{address}"

    async def append(self, topic: str, part: int, records: Sequence[bytes], *, at: int | None = None) -> int:
        """Append all records or none; see :class:`SharedLog`."""
        query = f"?topic={quote(topic)}&part={part}" + (f"&at={at}" if at is not None else "")
        try:
            answer = await self._call(
                "POST", names.APPEND_PATH + query, pack_records(records), CALL_TIMEOUT_S
            )
        except PassgateError as error:
            if error.execution is ExecutionStatus.NOT_RUN:
                raise LogUnavailable(str(error)) from error
            raise LogAppendUnknown(str(error)) from error
        if answer.status == PRECONDITION_FAILED:
            raise AppendConflict(msgspec.json.decode(answer.body, type=_End).end)
        if answer.status != OK:
            raise LogUnavailable(f"append refused with {answer.status}", status=answer.status)
        return msgspec.json.decode(answer.body, type=_Appended).offset

    async def read(self, topic: str, part: int, start: int, *, wait_s: float) -> LogPage:
        """Return records from an offset; see :class:`SharedLog`."""
        wait_ms = int(wait_s * 1000)
        path = f"{names.READ_PATH}?topic={quote(topic)}&part={part}&from={start}&max_kb={MAX_READ_KB}"
        answer = await self._read(f"{path}&waitMs={wait_ms}", wait_s + CALL_TIMEOUT_S)
        if answer.status == GONE:
            raise HistoryGone(msgspec.json.decode(answer.body, type=_End).first)
        if answer.status == THROTTLED:
            raise LogThrottled("too many reads")
        if answer.status != OK or len(answer.body) < PAGE_HEAD.size:
            raise LogUnavailable(f"read refused with {answer.status}", status=answer.status)
        end, _first = PAGE_HEAD.unpack_from(answer.body)
        return LogPage(start=start, end=end, records=unpack_records(answer.body[PAGE_HEAD.size :]))

    async def newest(self, topic: str, part: int) -> KeyedSnapshot:
        """Return the newest record of every key; see :class:`SharedLog`."""
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            path = f"{names.NEWEST_PATH}?topic={quote(topic)}&part={part}"
            answer = await self._read_page(path + (f"&afterRev={quote(after, safe='')}" if after else ""))
            if answer.status != OK:
                raise LogUnavailable(f"read refused with {answer.status}", status=answer.status)
            page = msgspec.json.decode(answer.body, type=_NewestPage)
            # The pages are no snapshot: reading on from the first page's end repeats what moved meanwhile.
            end = page.end if end is None else end
            records += [KeyedRecord(key=row.key, value=base64.b64decode(row.value)) for row in page.requests]
            if not page.more or not page.requests:
                return KeyedSnapshot(records=tuple(records), next_offset=end)
            after = page.requests[-1].key

    async def _read_page(self, path: str) -> HttpAnswer:
        """Read one page; when throttled wait and ask again, as beginning anew would cost all pages."""
        pause_s = FIRST_PAGE_PAUSE_S
        for _ in range(MAX_PAGE_TRIES):
            answer = await self._read(path, CALL_TIMEOUT_S)
            if answer.status != THROTTLED:
                return answer
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(pause_s * 2.0, MAX_PAGE_PAUSE_S)
        raise LogThrottled("too many reads")

    def decode_keyed(self, record: bytes) -> KeyedRecord:
        """Split a raw record of a keyed topic: length of the key, key, value."""
        size = record[0]
        return KeyedRecord(key=record[1 : 1 + size].decode(), value=record[1 + size :])

    def encode_keyed(self, record: KeyedRecord) -> bytes:
        """Return a raw record of a keyed topic."""
        key = record.key.encode()
        return bytes([len(key)]) + key + record.value

    async def _read(self, path: str, timeout_s: float) -> HttpAnswer:
        try:
            return await self._call("GET", path, None, timeout_s)
        except PassgateError as error:
            raise LogUnavailable(str(error)) from error

    async def _call(self, method: str, path: str, body: bytes | None, timeout_s: float) -> HttpAnswer:
        return await self._http.fetch(
            HttpCall(
                method=method,
                url=self._base + path,
                body=body,
                headers={"Content-Type": "application/octet-stream"} if body is not None else {},
                send=SendPolicy.ONCE,
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                control=True,
            )
        )
