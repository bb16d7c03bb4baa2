"""Time per call of application replicas, learnt from the calls of this daemon.

A replica that looked slow gets few calls, so its estimate returns to the mean of
all replicas with time, and it is tried again.

>>> calls = CallLatency()
>>> for _ in range(50):
...     calls.observe("a1", 0.1, now_s=0.0)
...     calls.observe("a2", 0.5, now_s=0.0)
>>> calls.latency_s("a1", 0.0) < calls.latency_s("a2", 0.0)
True
>>> calls.latency_s("a2", 60.0) < 0.4
True
"""

from __future__ import annotations

import msgspec

ASSUMED_CALL_S = 0.1
SMOOTHING = 0.1
"""Weight of a new call in a replica's estimate."""
POOL_SMOOTHING = 0.02
HALF_LIFE_S = 10.0
"""Time in which half of the difference to the mean is forgotten."""


class _Latency(msgspec.Struct):
    value_s: float
    observed_s: float


class CallLatency:
    """Smoothed time per call and replica."""

    def __init__(self) -> None:
        self._mean_s = ASSUMED_CALL_S
        self._latencies: dict[str, _Latency] = {}

    def observe(self, replica_id: str, elapsed_s: float, now_s: float) -> None:
        """Learn from a call that ended, or was given up, after ``elapsed_s``."""
        known_s = self.latency_s(replica_id, now_s)
        value_s = known_s + SMOOTHING * (elapsed_s - known_s)
        self._latencies[replica_id] = _Latency(value_s, now_s)
        self._mean_s += POOL_SMOOTHING * (elapsed_s - self._mean_s)

    def latency_s(self, replica_id: str, now_s: float) -> float:
        """Return the expected time of a call."""
        latency = self._latencies.get(replica_id)
        if latency is None:
            return self._mean_s
        kept = 0.5 ** ((now_s - latency.observed_s) / HALF_LIFE_S)
        return self._mean_s + (latency.value_s - self._mean_s) * kept

    def retain(self, replica_ids: set[str]) -> None:
        """Forget replicas that no longer exist."""
        for replica_id in self._latencies.keys() - replica_ids:
            del self._latencies[replica_id]
