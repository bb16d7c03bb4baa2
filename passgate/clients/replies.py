"""From answers of back ends to typed results and typed errors."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from passgate.clients import wire
from passgate.clients.calls import HttpAnswer
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    ErrorBody,
    ExecutionFailed,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
)

REFUSING_STATUSES = frozenset({400, 404, 405, 413, 422, 429})
"""Statuses by which an engine itself says that it did not start the request."""
RETRY_AFTER_HEADER = "Retry-After"

_error_decoder = msgspec.json.Decoder(wire.ErrorAnswer)
_Body = TypeVar("_Body")


def decode_body(answer: HttpAnswer, kind: type[_Body]) -> _Body:
    """Return the typed body; raises IncompleteAnswer when it is not readable."""
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise IncompleteAnswer(f"unreadable answer: {error}") from error


def decode_error(answer: HttpAnswer) -> ErrorBody | None:
    """Return the error that the answer carries, if it is one of ours."""
    try:
        return _error_decoder.decode(answer.body).error
    except msgspec.MsgspecError:
        return None


def engine_failure(answer: HttpAnswer) -> PassgateError:
    """Return the error of an engine's answer whose status is not 200.

    The engine's own word on execution goes first, then the meaning of the status.
    """
    error = decode_error(answer)
    if error is not None:
        return reported_failure(error)
    if answer.status in REFUSING_STATUSES:
        return BackendRefused("back end refused", retry_after_s=retry_after_s(answer), status=answer.status)
    return ExecutionFailed("back end failed", execution=ExecutionStatus.UNKNOWN, status=answer.status)


def reported_failure(error: ErrorBody) -> PassgateError:
    """Return the error that a back end reported in its own words."""
    details = {**error.details, "reported": error.code}
    if error.execution is ExecutionStatus.NOT_RUN:
        return BackendRefused(error.message, retry_after_s=error.retry_after_s, **details)
    return ExecutionFailed(error.message, execution=error.execution, **details)


def unreachable(answer: HttpAnswer) -> BackendUnreachable:
    """Return the error of a control call that was answered with a failure."""
    error = decode_error(answer)
    execution = ExecutionStatus.UNKNOWN if error is None else error.execution
    return BackendUnreachable("control call failed", execution=execution, status=answer.status)


def retry_after_s(answer: HttpAnswer) -> float | None:
    """Return the answer's ``Retry-After`` in seconds, None when absent or a date."""
    text = answer.headers.get(RETRY_AFTER_HEADER, "")
    try:
        return max(float(text), 0.0)
    except ValueError:
        return None
