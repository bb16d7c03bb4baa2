"""Admission control: rejects a request on arrival when a queue is full or its projected wait is too long.

The projected wait is the cost of the requests queued ahead, divided by the rate at
which this daemon serves the queue of the pool.  The rate is computed only over time in
which requests wait, because an empty queue does not show the capacity behind it.

>>> rate = ServiceRate()
>>> for second in range(10):
...     rate.record_service(cost=100.0, has_waiting=True, now_s=float(second))
>>> round(rate.tokens_per_s(now_s=9.0))
100
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from passgate.errors import Overloaded
from passgate.routing.work import WorkItem

SERVICE_RATE_HALF_LIFE_S = 10.0
"""Busy time after which an observation has half its weight in the service rate."""
MIN_BUSY_TIME_S = 2.0
"""Observed busy time below which the service rate is unknown."""


class ServiceRate:
    """Exponentially weighted rate, in tokens per second, at which a queue is served while it is not empty."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._accounted_until_s: float | None = None

    def record_service(self, cost: float, has_waiting: bool, now_s: float) -> None:
        """Record that a request was taken from the queue.

        ``has_waiting`` is whether other requests remain queued; if not, busy time ends.
        """
        if self._accounted_until_s is not None:
            elapsed_s = now_s - self._accounted_until_s
            decay = 0.5 ** (elapsed_s / SERVICE_RATE_HALF_LIFE_S)
            self._tokens = self._tokens * decay + cost
            self._busy_s = self._busy_s * decay + elapsed_s
        self._accounted_until_s = now_s if has_waiting else None

    def record_waiting(self, now_s: float) -> None:
        """Record that a request has to wait: busy time starts, unless it has started already."""
        if self._accounted_until_s is None:
            self._accounted_until_s = now_s

    def record_idle(self) -> None:
        """Record that the queue is empty without a request being served: busy time ends."""
        self._accounted_until_s = None

    def tokens_per_s(self, now_s: float) -> float | None:
        """Return the rate, or None until ``MIN_BUSY_TIME_S`` of busy time has been observed.

        Time since the last served request counts as busy, so the rate falls while nothing is served.
        """
        if self._busy_s < MIN_BUSY_TIME_S:
            return None
        since_last_s = now_s - self._accounted_until_s if self._accounted_until_s is not None else 0.0
        return self._tokens / (self._busy_s + since_last_s)


class QueueCounts(Protocol):
    """Counts and costs of a queue that admission needs."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    def pool_count(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""

    def class_count(self, priority_class: str) -> int:
        """Return the number of queued requests of a priority class."""

    def caller_count(self, priority_class: str, pool: str, caller: str) -> int:
        """Return the number of queued requests of a caller in a pool and priority class."""

    def cost_ahead(self, item: WorkItem) -> float:
        """Return the cost, in tokens, of the requests that are served before a new one."""


class QueueLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on queued requests, and on the wait of a new one."""

    max_queued: int
    """Over all priority classes and pools."""
    max_queued_pool: int
    max_queued_class: int
    max_queued_caller: int
    max_wait_s: float


class QueueAdmissionController:
    """Decides whether a request may be queued; tracks the service rate of each pool."""

    def __init__(self, reject_by_projection: bool, minimum_retry_after_s: float) -> None:
        self._reject_by_projection = reject_by_projection
        self._minimum_retry_after_s = minimum_retry_after_s
        self._service_rate_by_pool: dict[str, ServiceRate] = {}

    def record_service(self, item: WorkItem, has_waiting: bool, now_s: float) -> None:
        """Record that a request was taken from its pool's queue to run."""
        self._service_rate(item.pool).record_service(item.cost, has_waiting, now_s)

    def record_waiting(self, item: WorkItem, now_s: float) -> None:
        """Record that a request stays in its pool's queue."""
        self._service_rate(item.pool).record_waiting(now_s)

    def record_idle(self, pool: str) -> None:
        """Record that the last queued request of a pool was withdrawn."""
        self._service_rate(pool).record_idle()

    def projected_wait_s(self, item: WorkItem, queue: QueueCounts, now_s: float) -> float | None:
        """Return the projected wait of a new request, or None while the pool's service rate is unknown."""
        cost_ahead = queue.cost_ahead(item)
        if cost_ahead <= 0.0:
            return 0.0
        rate = self._service_rate(item.pool).tokens_per_s(now_s)
        return None if not rate else cost_ahead / rate

    def admit(
        self, item: WorkItem, queue: QueueCounts, limits: QueueLimits, expected_service_s: float, now_s: float
    ) -> None:
        """Check that a request may be queued; ``expected_service_s`` is its expected time from start to end.

        Raises:
            Overloaded: a queue limit is reached, or the projected wait exceeds the class's
                longest wait or would make the request miss its deadline.
        """
        wait_s = self.projected_wait_s(item, queue, now_s)
        full_queue = self._find_full_queue(item, queue, limits)
        if full_queue:
            raise self.make_overloaded(f"{full_queue} is full", (wait_s or 0.0) / 2.0)
        allowed_wait_s = limits.max_wait_s
        if item.deadline_s is not None:
            allowed_wait_s = min(allowed_wait_s, item.deadline_s - now_s - expected_service_s)
        if self._reject_by_projection and wait_s is not None and wait_s > max(allowed_wait_s, 0.0):
            raise self.make_overloaded(
                "the projected wait exceeds the allowed wait", wait_s - max(allowed_wait_s, 0.0)
            )

    def make_overloaded(self, message: str, retry_after_s: float) -> Overloaded:
        """Return an Overloaded error with a retry time of at least the configured minimum."""
        return Overloaded(message, retry_after_s=max(self._minimum_retry_after_s, round(retry_after_s, 3)))

    def _find_full_queue(self, item: WorkItem, queue: QueueCounts, limits: QueueLimits) -> str:
        if len(queue) >= limits.max_queued:
            return "the queue"
        if queue.pool_count(item.pool) >= limits.max_queued_pool:
            return "the pool's queue"
        if queue.class_count(item.priority_class) >= limits.max_queued_class:
            return "the priority class's queue"
        if queue.caller_count(item.priority_class, item.pool, item.caller) >= limits.max_queued_caller:
            return "the caller's queue"
        return ""

    def _service_rate(self, pool: str) -> ServiceRate:
        rate = self._service_rate_by_pool.get(pool)
        if rate is None:
            rate = self._service_rate_by_pool[pool] = ServiceRate()
        return rate
