"""A caller's request, complete and streamed answers, and the answer for an error.

>>> json_answer(200, {"total": 1}).body
b'{"total":1}'
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable

import msgspec

from passgate.decimal_numbers import parse_decimal
from passgate.errors import ExecutionStatus, PassgateError

JSON_CONTENT_TYPE = "application/json"
RETRY_AFTER_HEADER = "Retry-After"
UNAUTHORIZED = 401
AUTHENTICATE_HEADER, AUTHENTICATE_SCHEME = "WWW-Authenticate", "Bearer"
DEFAULT_DEADLINE_S = 30.0
"""Time for which a caller is assumed to wait if its request names no deadline."""
GUARANTEED_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee to the caller that its request has not run and never will."""
BAD_GATEWAY = 502
"""Status sent in place of one of GUARANTEED_NOT_RUN_STATUSES if the request may have run."""
DEFAULT_RETRY_AFTER_S = 0.2
"""Value of ``Retry-After`` for a refusal that has none of its own."""


def always_wanted() -> bool:
    """Return True: whether somebody still waits for the answer is not known."""
    return True


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One complete request of a caller."""

    method: str
    path: str
    """Path and query as received."""
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_s: float
    """Loop time at which the request was complete."""
    is_caller_connected: Callable[[], bool] = always_wanted
    """Returns whether the caller has not closed its connection, as far as this machine knows."""

    def header(self, name: str, default: str = "") -> str:
        """Return the value of the first header with a name, ignoring case, or the default."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), default)

    def deadline_s(self, header_name: str, default_s: float = DEFAULT_DEADLINE_S) -> float:
        """Return the loop time until which the caller waits.

        The header holds the caller's timeout in milliseconds, counted from the request's arrival.  The
        timeout is ``default_s`` if the header is missing or is no number.
        """
        timeout_ms = parse_decimal(self.header(header_name))
        return self.received_s + (default_s if timeout_ms is None else timeout_ms / 1000)


class GatewayAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class StreamAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer whose body is streamed; if ``chunks`` raises PassgateError, the body ends incomplete."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: AsyncGenerator[bytes, None]


def json_answer(status: int, document: object, headers: tuple[tuple[str, str], ...] = ()) -> GatewayAnswer:
    """Return an answer with a JSON body."""
    all_headers = (("Content-Type", JSON_CONTENT_TYPE), *headers)
    return GatewayAnswer(status=status, headers=all_headers, body=msgspec.json.encode(document))


def error_status(error: PassgateError) -> int:
    """Return the error's HTTP status, or 502 if the status would falsely guarantee "not run".

    >>> error_status(PassgateError(execution=ExecutionStatus.NOT_RUN))
    500
    """
    if error.http_status in GUARANTEED_NOT_RUN_STATUSES and error.execution is not ExecutionStatus.NOT_RUN:
        return BAD_GATEWAY
    return error.http_status


def error_answer(error: PassgateError) -> GatewayAnswer:
    """Return the JSON answer for an error, with the status of :func:`error_status`.

    A 401 has the header ``WWW-Authenticate``, a 429 or 503 the header ``Retry-After``.
    """
    status = error_status(error)
    headers: tuple[tuple[str, str], ...] = ()
    if status == UNAUTHORIZED:
        headers = ((AUTHENTICATE_HEADER, AUTHENTICATE_SCHEME),)
    if status in (429, 503):
        headers = ((RETRY_AFTER_HEADER, f"{error.retry_after_s or DEFAULT_RETRY_AFTER_S:.3f}"),)
    return json_answer(status, {"error": error.body()}, headers)
