"""Admission: refuse at once what would wait too long, with an honest time to come back.

The projected wait is the work queued ahead divided by the measured rate at which
this daemon's queue is served.  The rate is measured only while something waits,
because an unloaded queue says nothing about the capacity behind it.

>>> rate = ServiceRate()
>>> for second in range(10):
...     rate.served(cost=100.0, waiting=True, now_s=float(second))
>>> round(rate.tokens_per_s(now_s=9.0))
100
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from passgate.errors import Overloaded
from passgate.routing.work import WorkItem

RATE_HALF_LIFE_S = 10.0
MIN_OBSERVED_S = 2.0
"""Busy time needed before the rate is believed."""


class ServiceRate:
    """Tokens per second taken from a queue while it is not empty, with forgetting."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._last_s: float | None = None

    def served(self, cost: float, waiting: bool, now_s: float) -> None:
        """A request was taken; ``waiting`` tells whether others are queued still."""
        if self._last_s is not None:
            elapsed_s = now_s - self._last_s
            decay = 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
            self._tokens = self._tokens * decay + cost
            self._busy_s = self._busy_s * decay + elapsed_s
        self._last_s = now_s if waiting else None

    def waiting(self, now_s: float) -> None:
        """A request could not be served at once; busy time starts if it was not running."""
        if self._last_s is None:
            self._last_s = now_s

    def idle(self) -> None:
        """Nothing waits any more although nothing was served: busy time ends."""
        self._last_s = None

    def tokens_per_s(self, now_s: float) -> float | None:
        """Return the rate, or None while it is not known."""
        if self._busy_s < MIN_OBSERVED_S:
            return None
        stalled_s = now_s - self._last_s if self._last_s is not None else 0.0
        return self._tokens / (self._busy_s + stalled_s)


class QueueCounts(Protocol):
    """What admission asks of a queue."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    def pool_count(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""

    def class_count(self, priority_class: str) -> int:
        """Return the number of queued requests of a class."""

    def caller_count(self, priority_class: str, pool: str, caller: str) -> int:
        """Return the number of queued requests of a caller."""

    def cost_ahead(self, item: WorkItem) -> float:
        """Return the tokens that are served before a new request."""


class QueueLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that a new request must keep."""

    max_queued: int
    """Over all classes and pools."""
    max_queued_pool: int
    max_queued_class: int
    max_queued_caller: int
    max_wait_s: float


class AdmissionController:
    """Decides whether a request may be queued; measures the service rate per pool."""

    def __init__(self, reject_by_projection: bool, minimum_retry_after_s: float) -> None:
        self._reject_by_projection = reject_by_projection
        self._minimum_retry_after_s = minimum_retry_after_s
        self._rates: dict[str, ServiceRate] = {}

    def served(self, item: WorkItem, waiting: bool, now_s: float) -> None:
        """A request of the pool was taken from the queue to run."""
        self._rate(item.pool).served(item.cost, waiting, now_s)

    def waiting(self, item: WorkItem, now_s: float) -> None:
        """A request of the pool stays queued."""
        self._rate(item.pool).waiting(now_s)

    def idle(self, pool: str) -> None:
        """The last queued request of a pool was withdrawn."""
        self._rate(pool).idle()

    def projected_wait_s(self, item: WorkItem, queue: QueueCounts, now_s: float) -> float | None:
        """Return the projected wait of a new request, None while the rate is not known."""
        ahead = queue.cost_ahead(item)
        if ahead <= 0.0:
            return 0.0
        rate = self._rate(item.pool).tokens_per_s(now_s)
        return None if not rate else ahead / rate

    def admit(
        self, item: WorkItem, queue: QueueCounts, limits: QueueLimits, service_s: float, now_s: float
    ) -> None:
        """Raise Overloaded when the request must not be queued.

        ``service_s`` is the expected time from its start to its end.
        """
        wait_s = self.projected_wait_s(item, queue, now_s)
        full = self._full(item, queue, limits)
        if full:
            raise self.refusal(f"{full} is full", (wait_s or 0.0) / 2.0)
        allowed_s = limits.max_wait_s
        if item.deadline_s is not None:
            allowed_s = min(allowed_s, item.deadline_s - now_s - service_s)
        if self._reject_by_projection and wait_s is not None and wait_s > max(allowed_s, 0.0):
            raise self.refusal("the projected wait is too long", wait_s - max(allowed_s, 0.0))

    def refusal(self, message: str, retry_after_s: float) -> Overloaded:
        """Return the typed refusal that tells when to come back."""
        return Overloaded(message, retry_after_s=max(self._minimum_retry_after_s, round(retry_after_s, 3)))

    def _full(self, item: WorkItem, queue: QueueCounts, limits: QueueLimits) -> str:
        if len(queue) >= limits.max_queued:
            return "the queue"
        if queue.pool_count(item.pool) >= limits.max_queued_pool:
            return "the queue of the pool"
        if queue.class_count(item.priority_class) >= limits.max_queued_class:
            return "the queue of the class"
        if queue.caller_count(item.priority_class, item.pool, item.caller) >= limits.max_queued_caller:
            return "the caller's queue"
        return ""

    def _rate(self, pool: str) -> ServiceRate:
        rate = self._rates.get(pool)
        if rate is None:
            rate = self._rates[pool] = ServiceRate()
        return rate
