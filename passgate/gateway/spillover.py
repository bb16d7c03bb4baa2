"""Decides which requests spill over to another region while local replicas exist.

All daemons of a region may find the same other region idle at the same time.  So each sends only a share
of its requests there, which grows with the time saved; together they then don't overload that region.

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
"""Lower bound of the network cost in the formula of the share."""
WAIT_EXPIRY_S = 1.0
"""Time without a check of a request class after which a new check starts a new wait."""
MAX_WAITS = 256
"""Number of recorded waits above which expired waits are dropped; callers can cause any number of request
classes."""


def spillover_share(saved_s: float, network_cost_s: float) -> float:
    """Return the share, from 0 to 1, of requests to send to another region.

    Args:
        saved_s: time by which an answer from there is expected earlier, after subtracting the network cost.
        network_cost_s: extra network time to that region.
    """
    if saved_s <= 0.0:
        return 0.0
    return saved_s / (saved_s + max(network_cost_s, MIN_NETWORK_COST_S))


class LocalCapacityWaits:
    """Tracks for how long requests have found no free slot in the local region, by request class.

    A request class is any hashable value that groups requests.
    """

    def __init__(self) -> None:
        self._wait_by_class: dict[Hashable, tuple[float, float]] = {}
        """Loop times of the first and the latest check that found no free slot, by request class."""

    def record_capacity(self, request_class: Hashable) -> None:
        """Record that a local replica can take requests of a class; ends the wait of the class."""
        self._wait_by_class.pop(request_class, None)

    def record_no_capacity(self, request_class: Hashable, network_cost_s: float, now_s: float) -> bool:
        """Record that no local replica has a free slot, which starts or continues the wait.

        Returns whether the wait has lasted at least ``network_cost_s``; the request should then spill over.
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
