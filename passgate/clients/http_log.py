"""LogClient over HTTP.

A failed append raises LogUnavailable only if nothing can have been appended: the request was not sent, or
the log reports that it was not run.  Any other failure of an append raises LogAppendUnknown.
"""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from passgate.clients import wire
from passgate.clients.answer_decoding import decode_body, decode_error
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpAnswer, HttpCall, SendPolicy
from passgate.errors import ExecutionStatus, LogAppendUnknown, LogError, LogUnavailable, PassgateError
from passgate.interfaces import LogBatch

READ_TIMEOUT_MARGIN_S = 5.0
"""Timeout of a read, in addition to the time for which the read waits for records."""


class HttpLogClient:
    """Client of one server of the platform's log."""

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        self._http = http
        self._base_url = f"http://{address}/v1/streams"
        self._headers = wire.authorization_headers(credential)

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records and return the offset of the first; raises LogUnavailable or LogAppendUnknown."""
        body = msgspec.json.encode(wire.AppendCall(payloads=tuple(payloads)))
        call = HttpCall(
            method="POST",
            url=self._url(stream),
            body=body,
            headers={"Content-Type": wire.JSON_TYPE, **self._headers},
            send=SendPolicy.ONCE,
            control=True,
            timeout_s=timeout_s,
        )
        try:
            answer = await self._http.fetch(call)
            if answer.status == 200:
                return decode_body(answer, wire.AppendAnswer).offset
        except PassgateError as error:
            raise _append_error(error.execution, str(error)) from error
        raise _append_error(_reported_execution(answer), f"append answered with status {answer.status}")

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return up to ``limit`` records from ``offset``, waiting up to ``wait_s``; raises LogUnavailable."""
        url = f"{self._url(stream)}?offset={offset}&limit={limit}&wait_s={wait_s:g}"
        call = HttpCall(
            method="GET",
            url=url,
            headers=self._headers,
            send=SendPolicy.REPEAT,
            control=True,
            timeout_s=wait_s + READ_TIMEOUT_MARGIN_S,
        )
        try:
            answer = await self._http.fetch(call)
            if answer.status == 200:
                batch = decode_body(answer, wire.ReadAnswer)
                return LogBatch(entries=batch.entries, end_offset=batch.end_offset)
        except PassgateError as error:
            raise LogUnavailable(str(error)) from error
        raise LogUnavailable(f"read answered with status {answer.status}")

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/{quote(stream, safe='')}/records"


def _reported_execution(answer: HttpAnswer) -> ExecutionStatus:
    error = decode_error(answer)
    return ExecutionStatus.UNKNOWN if error is None else error.execution


def _append_error(execution: ExecutionStatus, message: str) -> LogError:
    if execution is ExecutionStatus.NOT_RUN:
        return LogUnavailable(message)
    return LogAppendUnknown(message)
