"""Base class of all errors, with their code, HTTP status and execution status."""

from __future__ import annotations

import enum

import msgspec


class ExecutionStatus(enum.Enum):
    """Whether a refused or failed request reached execution on a back end."""

    NOT_RUN = "not_run"
    """The request certainly did not run: it was not sent, or the back end refused it."""
    UNKNOWN = "unknown"
    """The request may or may not have run."""
    RAN = "ran"
    """The request counts as run, for example because a back end answered it."""


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
    """Base class of all errors of passgate."""

    code = "internal"
    """Stable machine-readable code in snake case."""
    http_status = 500
    """Default status of the HTTP response that reports the error."""
    execution = ExecutionStatus.UNKNOWN
    """Default of the class; an instance may carry another one."""

    def __init__(
        self,
        message: str = "",
        *,
        execution: ExecutionStatus | None = None,
        retry_after_s: float | None = None,
        **details: object,
    ) -> None:
        """Create the error.

        Args:
            message: text for a person; the code by default.
            execution: whether the request ran, if it differs from the default of the class.
            retry_after_s: time after which the caller may send the request again; None for no advice.
            details: further values about the failure, which are converted to strings.
        """
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
