"""Calls of duties to the platform: what comes back, and how many may be made.

>>> budget = CallBudget(calls_per_s=2.0)
>>> [budget.take(now_s) for now_s in (0.0, 0.9, 0.95, 1.0, 1.5)]
[True, True, False, True, False]
"""

from __future__ import annotations

import enum
from collections import deque
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
    """Bounds the calls of all duties of the holder in any span of a second, wherever it begins."""

    def __init__(self, calls_per_s: float) -> None:
        self._most = max(int(calls_per_s), 1)
        self._span_s = max(self._most / calls_per_s, 1.0)
        """A second; more where less than one call a second is granted."""
        self._made_s: deque[float] = deque(maxlen=self._most)
        """Loop times of the last calls."""

    def take(self, now_s: float) -> bool:
        """Return whether a call may be made now, and count it."""
        if len(self._made_s) == self._most and now_s - self._made_s[0] < self._span_s:
            return False
        self._made_s.append(now_s)
        return True
