"""Queues of items that wait for a free slot at a replica, ordered by latest start time.

A job is complete when its longest item is, so a shorter item may start later by the difference of
the expected durations.  Each model has a queue for each set of services and allowed regions, so that items
that have no replica left do not block the others.

>>> queues = WaitQueues()
>>> older, newer = Rank(latest_start_s=1.0, unsent=True), Rank(latest_start_s=2.0, unsent=False)
>>> queues.add("m", newer); queues.add("m", older); queues.add("other", newer)
>>> queues.is_first("m", older), queues.is_first("m", newer), queues.is_first("other", newer)
(True, False, True)
>>> queues.remove("m", older)
>>> queues.is_first("m", newer)
True
"""

from __future__ import annotations

import bisect
import contextlib
from collections.abc import Hashable, Iterator

import msgspec


class Rank(msgspec.Struct, frozen=True, order=True, kw_only=True):
    """Determines the position of an item in its queue: the item with the least rank comes first."""

    latest_start_s: float
    """Loop time by which the item should start, so that it does not delay its job."""
    unsent: bool
    """Whether the item has not been sent yet; at equal start times, items sent before come first."""
    tie_breaker: int = 0
    """Distinguishes items whose other values are equal."""


class QueueKey(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies a queue of items or reward calls with the same model, services and allowed regions."""

    model: str
    regions: frozenset[str] | None
    """Regions that may serve the items; None for any region."""
    services: frozenset[str] = frozenset()
    """Services at which the items may run."""


class WaitQueues:
    """All queues of one daemon."""

    def __init__(self) -> None:
        self._ranks_by_queue: dict[Hashable, list[Rank]] = {}

    def add(self, queue_key: Hashable, rank: Rank) -> None:
        """Add an item to a queue."""
        bisect.insort(self._ranks_by_queue.setdefault(queue_key, []), rank)

    @contextlib.contextmanager
    def queued(self, queue_key: Hashable, rank: Rank) -> Iterator[None]:
        """Return a context manager that keeps an item in a queue for the duration of its ``with`` block."""
        self.add(queue_key, rank)
        try:
            yield
        finally:
            self.remove(queue_key, rank)

    def remove(self, queue_key: Hashable, rank: Rank) -> None:
        """Remove an item from a queue; raises KeyError or ValueError if it is not there."""
        ranks = self._ranks_by_queue[queue_key]
        ranks.remove(rank)
        if not ranks:
            del self._ranks_by_queue[queue_key]

    def is_first(self, queue_key: Hashable, rank: Rank) -> bool:
        """Whether an item of a queue comes first; raises KeyError if the queue is empty."""
        return self._ranks_by_queue[queue_key][0] == rank
