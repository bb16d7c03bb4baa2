"""Decodes answers of back ends to typed results and typed errors."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from passgate.clients import wire
from passgate.clients.http_call import HttpAnswer
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    ErrorBody,
    ExecutionFailed,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
)

NOT_RUN_STATUSES = frozenset({400, 404, 405, 413, 422, 429})
"""Statuses with which an engine guarantees that it has not started the request."""
RETRY_AFTER_HEADER = "Retry-After"

_error_decoder = msgspec.json.Decoder(wire.ErrorAnswer)
_Body = TypeVar("_Body")


def decode_body(answer: HttpAnswer, kind: type[_Body]) -> _Body:
    """Return the body decoded as JSON of a type; raises IncompleteAnswer if that fails."""
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise IncompleteAnswer(f"answer can not be decoded: {error}") from error


def decode_error(answer: HttpAnswer) -> ErrorBody | None:
    """Return the error in the answer's body, or None if the body is not in the form of ErrorAnswer."""
    try:
        return _error_decoder.decode(answer.body).error
    except msgspec.MsgspecError:
        return None


def engine_failure(answer: HttpAnswer) -> PassgateError:
    """Return the error for an engine's answer whose status is not 200.

    The execution status is the one in the body; without one, NOT_RUN for NOT_RUN_STATUSES, else UNKNOWN.
    """
    error = decode_error(answer)
    if error is not None:
        return reported_failure(error)
    if answer.status in NOT_RUN_STATUSES:
        return BackendRefused(
            "the back end refused the request", retry_after_s=retry_after_s(answer), status=answer.status
        )
    return ExecutionFailed(
        "the back end failed the request", execution=ExecutionStatus.UNKNOWN, status=answer.status
    )


def reported_failure(error: ErrorBody) -> PassgateError:
    """Return BackendRefused for an error that a back end reports as not run, else ExecutionFailed.

    The code that the back end reports is put into the detail ``reported``.
    """
    details = {**error.details, "reported": error.code}
    if error.execution is ExecutionStatus.NOT_RUN:
        return BackendRefused(error.message, retry_after_s=error.retry_after_s, **details)
    return ExecutionFailed(error.message, execution=error.execution, **details)


def control_call_error(answer: HttpAnswer) -> BackendUnreachable:
    """Return the error for a control call whose answer has an error status.

    The execution status is the one in the body, or UNKNOWN without one.
    """
    error = decode_error(answer)
    execution = ExecutionStatus.UNKNOWN if error is None else error.execution
    return BackendUnreachable("control call answered with error", execution=execution, status=answer.status)


def retry_after_s(answer: HttpAnswer) -> float | None:
    """Return the answer's ``Retry-After`` in seconds, or None if the header is absent or not a number."""
    text = answer.headers.get(RETRY_AFTER_HEADER, "")
    try:
        return max(float(text), 0.0)
    except ValueError:
        return None
