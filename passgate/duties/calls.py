"""Calls of duties to the platform: what comes back, and how many may be made.

>>> budget = CallBudget(calls_per_s=2.0, now_s=0.0)
>>> [budget.take(0.0) for _ in range(3)], budget.take(0.5)
([True, True, False], True)
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Protocol

import msgspec


class DutyOutcome(enum.Enum):
    """What a call of a duty brought."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The platform has seen a higher fence, or can not do what is asked."""
    UNKNOWN = "unknown"
    """Throttled, failed or unanswered; it may be carried out later."""


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """The report of one window."""

    window: int
    counts: Mapping[str, int]
    """Tenant to requests that replicas began in the window."""
    holder: str
    fence: int


class ReplicaOrder(msgspec.Struct, frozen=True, kw_only=True):
    """How many replicas of one kind a service shall have in a zone."""

    service: str
    zone: str
    spot: bool
    count: int
    holder: str
    fence: int


class DutyCalls(Protocol):
    """Calls that an adapter makes; none raises PassgateError."""

    async def report_usage(self, report: UsageReport) -> DutyOutcome:
        """Send the report of a window."""
        ...

    async def order_replicas(self, order: ReplicaOrder) -> DutyOutcome:
        """Order replicas; REFUSED also when none can be had there now."""
        ...


class CallBudget:
    """Token bucket over the calls of all duties of the holder."""

    def __init__(self, calls_per_s: float, now_s: float) -> None:
        self._rate = calls_per_s
        self._tokens = calls_per_s
        self._filled_s = now_s

    def take(self, now_s: float) -> bool:
        """Return whether a call may be made now, and count it."""
        self._tokens = min(self._rate, self._tokens + (now_s - self._filled_s) * self._rate)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
