"""Execution status of a request: whether any of its attempts ran on a back end.

>>> execution = ExecutionHistory()
>>> execution.status
<ExecutionStatus.NOT_RUN: 'not_run'>
>>> first = execution.open_attempt()
>>> execution.status
<ExecutionStatus.UNKNOWN: 'unknown'>
>>> execution.record_end(first, ExecutionStatus.NOT_RUN)
>>> execution.status
<ExecutionStatus.NOT_RUN: 'not_run'>
"""

from __future__ import annotations

from passgate.errors import ExecutionFailed, ExecutionStatus, PassgateError, Refused

_PRECEDENCE = {ExecutionStatus.NOT_RUN: 0, ExecutionStatus.UNKNOWN: 1, ExecutionStatus.RAN: 2}


class ExecutionHistory:
    """Execution status of each attempt of one request; an open attempt counts as ``unknown``.

    The request's status is ``ran`` when any attempt ran, else ``unknown`` when any may have
    run.  It is ``not_run`` only when no attempt can have run.
    """

    def __init__(self) -> None:
        self._status_by_attempt: list[ExecutionStatus] = []

    @property
    def status(self) -> ExecutionStatus:
        """Execution status of the request over all attempts so far."""
        return max(self._status_by_attempt, key=_PRECEDENCE.__getitem__, default=ExecutionStatus.NOT_RUN)

    @property
    def attempt_count(self) -> int:
        """Number of attempts opened so far."""
        return len(self._status_by_attempt)

    def open_attempt(self) -> int:
        """Add an attempt and return its number; must be called before any byte of it is sent."""
        self._status_by_attempt.append(ExecutionStatus.UNKNOWN)
        return len(self._status_by_attempt) - 1

    def record_output(self, attempt_number: int) -> None:
        """Record that the back end produced output for an attempt."""
        self._status_by_attempt[attempt_number] = ExecutionStatus.RAN

    def record_end(self, attempt_number: int, status: ExecutionStatus) -> None:
        """Record the status with which an attempt ended; an attempt that produced output stays ``ran``."""
        if self._status_by_attempt[attempt_number] is not ExecutionStatus.RAN:
            self._status_by_attempt[attempt_number] = status

    def apply_status(self, error: PassgateError) -> PassgateError:
        """Return ``error`` with the request's execution status set on it.

        A refusal guarantees that nothing ran, so it is replaced by ExecutionFailed unless the
        status is ``not_run``.
        """
        status = self.status
        if isinstance(error, Refused) and status is not ExecutionStatus.NOT_RUN:
            error = ExecutionFailed(f"gave up after an earlier attempt: {error}", cause=type(error).__name__)
        error.execution = status
        return error
