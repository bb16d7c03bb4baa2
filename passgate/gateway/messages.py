"""A caller's request and the answer it gets.

>>> json_answer(200, {"total": 1}).body
b'{"total":1}'
"""

from __future__ import annotations

from collections.abc import AsyncGenerator

import msgspec

from passgate.errors import ExecutionStatus, PassgateError

JSON_TYPE = "application/json"
RETRY_AFTER = "Retry-After"
UNAUTHORIZED = 401
CHALLENGE, CHALLENGE_SCHEME = "WWW-Authenticate", "Bearer"
DEFAULT_DEADLINE_S = 30.0
"""Time that a caller is taken to wait when it does not say."""
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise the caller that its request has not run and never will."""
BAD_GATEWAY = 502
"""Given in place of such a status where the promise can't be made."""
RETRY_AFTER_S = 0.2
"""When to come back after a refusal that names no time of its own."""


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One whole request of a caller."""

    method: str
    path: str
    """Path and query as sent."""
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    """Loop time at which it was whole."""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of this name."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), default)

    def deadline_s(self, name: str, default_s: float = DEFAULT_DEADLINE_S) -> float:
        """Return the loop time until which the caller waits, by the header that tells milliseconds."""
        told_ms = self.header(name)
        return self.arrived_s + (int(told_ms) / 1000 if told_ms.isdigit() else default_s)


class GatewayAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The whole answer to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class StreamAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer whose body comes in pieces; a failing iterator ends it incomplete."""

    status: int
    headers: tuple[tuple[str, str], ...]
    pieces: AsyncGenerator[bytes, None]


def json_answer(status: int, document: object, headers: tuple[tuple[str, str], ...] = ()) -> GatewayAnswer:
    """Return an answer with a JSON body."""
    typed = (("Content-Type", JSON_TYPE), *headers)
    return GatewayAnswer(status=status, headers=typed, body=msgspec.json.encode(document))


def answered_status(error: PassgateError) -> int:
    """Return the status that a caller is given for a failure.

    >>> answered_status(PassgateError(execution=ExecutionStatus.NOT_RUN))
    500
    """
    if error.http_status in PROMISES and error.execution is not ExecutionStatus.NOT_RUN:
        return BAD_GATEWAY
    return error.http_status


def error_answer(error: PassgateError) -> GatewayAnswer:
    """Return the answer for a failure; a refusal says when to come back.

    A status that promises "not run" is only given when that is certain.
    """
    status = answered_status(error)
    headers: tuple[tuple[str, str], ...] = ()
    if status == UNAUTHORIZED:
        headers = ((CHALLENGE, CHALLENGE_SCHEME),)
    if status in (429, 503):
        headers = ((RETRY_AFTER, f"{error.retry_after_s or RETRY_AFTER_S:.3f}"),)
    return json_answer(status, {"error": error.body()}, headers)
