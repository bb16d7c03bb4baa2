"""Bounds retries to a share of the work that succeeds, so that they can not multiply a failure.

>>> budget = RetryBudget(ratio=0.5, burst=2.0)
>>> budget.take(), budget.take(), budget.take()
(True, True, False)
>>> budget.deposit(); budget.deposit()
>>> budget.take(), budget.take()
(True, False)
"""

from __future__ import annotations


class RetryBudget:
    """Token bucket filled by successes and emptied by retries; starts full."""

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that may start now."""
        return self._tokens

    def deposit(self) -> None:
        """Count one request that succeeded."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry; return False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
