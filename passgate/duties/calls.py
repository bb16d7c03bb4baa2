"""Calls of singleton duties to the platform: their contents, outcomes and rate limit.

>>> limiter = CallRateLimiter(calls_per_s=2.0)
>>> [limiter.try_acquire(now_s) for now_s in (0.0, 0.9, 0.95, 1.0, 1.5)]
[True, True, False, True, False]
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Mapping
from typing import Protocol

import msgspec


class DutyOutcome(enum.Enum):
    """Outcome of a call to the platform."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The platform has seen a higher fencing token, or can't do what was requested."""
    UNKNOWN = "unknown"
    """Not sent in time, throttled, failed or unanswered; it may have taken effect or may still do so."""


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """Number of runs of each tenant's requests in one usage window."""

    window: int
    counts: Mapping[str, int]
    """Number of runs by tenant."""
    holder: str
    """Name of the daemon that sends the report."""
    fence: int
    """Fencing token of the sender's leadership."""
    not_sent_after_s: float
    """Loop time after which the report must not leave this daemon, as another may lead."""


class ReplicaOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that a service have ``count`` replicas of one kind in a zone, including those present."""

    service: str
    zone: str
    spot: bool
    """Whether the order is about spot replicas; otherwise it is about on-demand ones."""
    count: int
    holder: str
    """Name of the daemon that sends the order."""
    fence: int
    """Fencing token; rises with each decision on the number of replicas."""
    not_sent_after_s: float
    """Loop time after which the order must not leave this daemon, as another may lead."""


class DutyClient(Protocol):
    """Client for the platform's endpoints; its methods return an outcome and never raise PassgateError."""

    async def report_usage(self, report: UsageReport) -> DutyOutcome:
        """Send the report of a window."""
        ...

    async def order_replicas(self, order: ReplicaOrder) -> DutyOutcome:
        """Send an order of replicas; REFUSED also if the platform can't provide them in the zone now."""
        ...


class CallRateLimiter:
    """Sliding-window rate limit shared by all duties of a daemon.

    Any second has at most ``calls_per_s`` calls, rounded down.  If that is below 1, two calls are at least
    1 / ``calls_per_s`` seconds apart.
    """

    def __init__(self, calls_per_s: float) -> None:
        self._max_calls = max(int(calls_per_s), 1)
        self._window_s = max(self._max_calls / calls_per_s, 1.0)
        """One second, or longer if the limit is below one call per second."""
        self._call_times_s: deque[float] = deque(maxlen=self._max_calls)
        """Loop times of the last calls, at most as many as one window may have."""

    def try_acquire(self, now_s: float) -> bool:
        """Return whether a call may be made now, and count it if so."""
        if len(self._call_times_s) == self._max_calls and now_s - self._call_times_s[0] < self._window_s:
            return False
        self._call_times_s.append(now_s)
        return True
