"""Limits retries to a share of the successful requests, so that they do not multiply the load of a failure.

>>> budget = RetryBudget(ratio=0.5, burst=2.0)
>>> budget.take(), budget.take(), budget.take()
(True, True, False)
>>> budget.record_success(); budget.record_success()
>>> budget.take(), budget.take()
(True, False)
"""

from __future__ import annotations


class RetryBudget:
    """Token bucket that successful requests fill and retries empty; starts full."""

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def available_retries(self) -> float:
        """Number of retries that may start now."""
        return self._tokens

    def record_success(self) -> None:
        """Add ``ratio`` retries for a request that succeeded, up to ``burst``."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return False when less than one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
