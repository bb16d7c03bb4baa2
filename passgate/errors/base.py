"""Base of every failure: its code, its HTTP status, and whether the request ran."""

from __future__ import annotations

import enum

import msgspec


class ExecutionStatus(enum.Enum):
    """Whether a refused or failed request reached execution on a back end."""

    NOT_RUN = "not_run"
    """No byte could have reached a back end, or the back end itself refused."""
    UNKNOWN = "unknown"
    """The request may or may not have run."""
    RAN = "ran"
    """The back end reported that it executed the request."""


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Wire form of an error, the value of ``error`` in every JSON error answer."""

    type: str
    """Class name of the error."""
    code: str
    """Stable machine-readable code in snake case."""
    message: str
    execution: ExecutionStatus
    retry_after_s: float | None = None
    details: dict[str, str] = {}


class PassgateError(Exception):
    """Base class of every passgate failure."""

    code = "internal"
    http_status = 500
    execution = ExecutionStatus.UNKNOWN

    def __init__(
        self,
        message: str = "",
        *,
        execution: ExecutionStatus | None = None,
        retry_after_s: float | None = None,
        **details: object,
    ) -> None:
        super().__init__(message or self.code)
        if execution is not None:
            self.execution = execution
        self.retry_after_s = retry_after_s
        self.details = {name: str(value) for name, value in details.items()}

    def body(self) -> ErrorBody:
        """Return the wire form of this error."""
        return ErrorBody(
            type=type(self).__name__,
            code=self.code,
            message=str(self),
            execution=self.execution,
            retry_after_s=self.retry_after_s,
            details=self.details,
        )
