"""Limit on the bytes of all answers that one client is collecting.

The limit of a single answer does not bound the memory: several back ends may send bodies without end at once.

>>> class Collector:
...     def reject_body(self):
...         print("rejected")
>>> budget, large, small = BodyBudget(100), Collector(), Collector()
>>> budget.add(large, 80); budget.add(small, 30)
rejected
>>> budget.remove(large)
>>> budget.total_bytes
30
"""

from __future__ import annotations

from typing import Protocol


class BodyCollector(Protocol):
    """A transfer whose body is collected in memory."""

    def reject_body(self) -> None:
        """Fail the transfer, as its body takes too much memory."""
        ...


class BodyBudget:
    """Bytes collected by each transfer; the largest body is rejected when all exceed the limit together."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._bytes_by_collector: dict[BodyCollector, int] = {}
        self.total_bytes = 0

    def add(self, collector: BodyCollector, size: int) -> None:
        """Add bytes that a transfer has collected; reject the largest body if the limit is exceeded."""
        self._bytes_by_collector[collector] = self._bytes_by_collector.get(collector, 0) + size
        self.total_bytes += size
        if self.total_bytes > self._limit_bytes:
            max(self._bytes_by_collector, key=self._bytes_by_collector.__getitem__).reject_body()

    def remove(self, collector: BodyCollector) -> None:
        """Remove a transfer, whose body was handed on or dropped."""
        self.total_bytes -= self._bytes_by_collector.pop(collector, 0)
