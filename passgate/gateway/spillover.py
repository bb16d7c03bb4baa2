"""Decides when requests spill over to another region: only if that saves time, and only a share of them.

All daemons of a region see the same idle region at the same time.  Each of them sends only a share
of its requests there, which grows with the time saved, so that together they don't overload it.

>>> spillover_share(saved_s=0.0, network_cost_s=0.02), spillover_share(saved_s=0.06, network_cost_s=0.02)
(0.0, 0.75)
>>> waits = LocalCapacityWaits()
>>> waits.record_no_capacity(("llm",), network_cost_s=0.02, now_s=5.0)
False
>>> waits.record_no_capacity(("llm",), network_cost_s=0.02, now_s=5.03)
True
>>> waits.record_capacity(("llm",))
>>> waits.record_no_capacity(("llm",), network_cost_s=0.02, now_s=5.04)
False
"""

from __future__ import annotations

from collections.abc import Hashable

MIN_NETWORK_COST_S = 0.001
"""Lower bound of the network cost in a share's formula; avoids a division by zero."""
WAIT_EXPIRY_S = 1.0
"""Time without a request of a class after which its wait is over."""
MAX_WAITS = 256
"""Number of waits above which expired ones are dropped; request classes contain names set by callers."""


def spillover_share(saved_s: float, network_cost_s: float) -> float:
    """Return the share, from 0 to 1, of requests to send to another region.

    Args:
        saved_s: by how much an answer is expected earlier from there, with the network cost included.
        network_cost_s: extra network time to that region.
    """
    if saved_s <= 0.0:
        return 0.0
    return saved_s / (saved_s + max(network_cost_s, MIN_NETWORK_COST_S))


class LocalCapacityWaits:
    """Waits for a free slot in the local region, by request class: any hashable that groups requests."""

    def __init__(self) -> None:
        self._wait_by_class: dict[Hashable, tuple[float, float]] = {}
        """Request class to the loop times of the first and the latest check that found no free slot."""

    def record_capacity(self, request_class: Hashable) -> None:
        """Record that a local replica has a free slot for a request class; ends its wait."""
        self._wait_by_class.pop(request_class, None)

    def record_no_capacity(self, request_class: Hashable, network_cost_s: float, now_s: float) -> bool:
        """Record that no local replica has a free slot, which starts or continues the wait.

        Returns whether the wait has lasted at least the network cost, so that spilling over is worthwhile.
        """
        start_s, checked_s = self._wait_by_class.get(request_class, (now_s, now_s))
        if now_s - checked_s > WAIT_EXPIRY_S:
            start_s = now_s
        self._wait_by_class[request_class] = (start_s, now_s)
        if len(self._wait_by_class) > MAX_WAITS:
            self._drop_expired(now_s)
        return now_s - start_s >= network_cost_s

    def _drop_expired(self, now_s: float) -> None:
        self._wait_by_class = {
            request_class: wait
            for request_class, wait in self._wait_by_class.items()
            if now_s - wait[1] <= WAIT_EXPIRY_S
        }
