"""LogClient over HTTP, with failures told as they are.

An append fails as LogUnavailable only when nothing can have been appended:
no byte was sent, or the log itself said so.  All else is LogAppendUnknown.
"""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from passgate.clients import wire
from passgate.clients.calls import HttpAnswer, HttpCall, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.clients.replies import decode_body, decode_error
from passgate.errors import ExecutionStatus, LogAppendUnknown, LogError, LogUnavailable, PassgateError
from passgate.interfaces import LogBatch

READ_GRACE_S = 5.0
"""Time that a read may take beyond its own wait."""


class HttpLogClient:
    """The platform's log behind one address."""

    def __init__(self, http: HttpClient, address: str, credential: str | None = None) -> None:
        self._http = http
        self._base = f"http://{address}/v1/streams"
        self._headers = wire.authorization(credential)

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records and return the offset of the first; see :class:`passgate.interfaces.LogClient`."""
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
            raise _append_failure(error.execution, str(error)) from error
        raise _append_failure(_reported_execution(answer), f"log answered {answer.status}")

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return up to ``limit`` records from ``offset``; raises LogUnavailable."""
        url = f"{self._url(stream)}?offset={offset}&limit={limit}&wait_s={wait_s:g}"
        call = HttpCall(
            method="GET",
            url=url,
            headers=self._headers,
            send=SendPolicy.REPEAT,
            control=True,
            timeout_s=wait_s + READ_GRACE_S,
        )
        try:
            answer = await self._http.fetch(call)
            if answer.status == 200:
                batch = decode_body(answer, wire.ReadAnswer)
                return LogBatch(entries=batch.entries, end_offset=batch.end_offset)
        except PassgateError as error:
            raise LogUnavailable(str(error)) from error
        raise LogUnavailable(f"log answered {answer.status}")

    def _url(self, stream: str) -> str:
        return f"{self._base}/{quote(stream, safe='')}/records"


def _reported_execution(answer: HttpAnswer) -> ExecutionStatus:
    error = decode_error(answer)
    return ExecutionStatus.UNKNOWN if error is None else error.execution


def _append_failure(execution: ExecutionStatus, message: str) -> LogError:
    if execution is ExecutionStatus.NOT_RUN:
        return LogUnavailable(message)
    return LogAppendUnknown(message)
