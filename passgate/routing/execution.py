"""Truthful "did it run?" over all attempts of one request.

>>> ledger = ExecutionLedger()
>>> ledger.status
<ExecutionStatus.NOT_RUN: 'not_run'>
>>> first = ledger.open_attempt()
>>> ledger.status
<ExecutionStatus.UNKNOWN: 'unknown'>
>>> ledger.settle(first, ExecutionStatus.NOT_RUN)
>>> ledger.status
<ExecutionStatus.NOT_RUN: 'not_run'>
"""

from __future__ import annotations

from passgate.errors import ExecutionFailed, ExecutionStatus, PassgateError, Refused

_STRENGTH = {ExecutionStatus.NOT_RUN: 0, ExecutionStatus.UNKNOWN: 1, ExecutionStatus.RAN: 2}


class ExecutionLedger:
    """Execution status of every attempt; an open attempt counts as unknown.

    The status of the request is the strongest of its attempts: it is
    ``not_run`` only when every attempt certainly did not run.
    """

    def __init__(self) -> None:
        self._attempts: list[ExecutionStatus] = []

    @property
    def status(self) -> ExecutionStatus:
        """Status over all attempts so far."""
        return max(self._attempts, key=_STRENGTH.__getitem__, default=ExecutionStatus.NOT_RUN)

    @property
    def attempts(self) -> int:
        """Number of attempts opened."""
        return len(self._attempts)

    def open_attempt(self) -> int:
        """Count a new attempt and return its number; call before any byte is sent."""
        self._attempts.append(ExecutionStatus.UNKNOWN)
        return len(self._attempts) - 1

    def mark_ran(self, attempt: int) -> None:
        """Record that the back end produced output for this attempt."""
        self._attempts[attempt] = ExecutionStatus.RAN

    def settle(self, attempt: int, status: ExecutionStatus) -> None:
        """Record how an attempt ended; output that was seen is never forgotten."""
        if self._attempts[attempt] is not ExecutionStatus.RAN:
            self._attempts[attempt] = status

    def stamp(self, error: PassgateError) -> PassgateError:
        """Return ``error`` with the request's status; a refusal only when nothing ran."""
        status = self.status
        if isinstance(error, Refused) and status is not ExecutionStatus.NOT_RUN:
            error = ExecutionFailed(f"gave up after an earlier attempt: {error}", cause=type(error).__name__)
        error.execution = status
        return error
