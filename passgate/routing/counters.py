"""Counters of routing, read by the daemon's metrics page.

>>> counters = RoutingCounters()
>>> counters.retries += 1
>>> counters.retries
1
"""

from __future__ import annotations

import msgspec


class RoutingCounters(msgspec.Struct):
    """Totals since the start of the process."""

    requests: int = 0
    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    """Ended with a refusal: not run."""
    deadline_exceeded: int = 0
    cancelled: int = 0
    attempts: int = 0
    attempt_failures: int = 0
    retries: int = 0
    retries_denied: int = 0
    """Retries that the budget did not allow."""
    resumed_tokens: int = 0
    """Tokens that were not generated again thanks to resume."""
    wasted_tokens: int = 0
    """Tokens received by attempts that did not become the answer."""
    hedges_stalled: int = 0
    hedges_slow: int = 0
    hedges_won: int = 0
    generated_tokens: int = 0
    """Tokens of whole answers."""
    reports_read: int = 0
    reports_failed: int = 0
