"""Estimated latency of calls to application replicas, from the calls of this daemon.

A replica with a high estimate receives few calls, so an estimate decays towards the
mean over all replicas; otherwise a replica that was slow once would not be used again.

>>> estimator = CallLatencyEstimator()
>>> for _ in range(50):
...     estimator.record_call("a1", 0.1, now_s=0.0)
...     estimator.record_call("a2", 0.5, now_s=0.0)
>>> estimator.latency_s("a1", 0.0) < estimator.latency_s("a2", 0.0)
True
>>> estimator.latency_s("a2", 60.0) < 0.4
True
"""

from __future__ import annotations

import msgspec

INITIAL_LATENCY_S = 0.1
"""Mean latency that is assumed before the first call."""
SMOOTHING = 0.1
"""Weight of a new call in a replica's estimate."""
MEAN_SMOOTHING = 0.02
"""Weight of a new call in the mean over all replicas."""
ESTIMATE_HALF_LIFE_S = 10.0
"""Time in which an estimate's difference from the mean is halved."""


class _Estimate(msgspec.Struct):
    latency_s: float
    updated_s: float


class CallLatencyEstimator:
    """Exponentially smoothed call latency per replica."""

    def __init__(self) -> None:
        self._mean_s = INITIAL_LATENCY_S
        self._estimate_by_replica: dict[str, _Estimate] = {}

    def record_call(self, replica_id: str, elapsed_s: float, now_s: float) -> None:
        """Update the estimates with a call that ended or was abandoned after ``elapsed_s``."""
        previous_s = self.latency_s(replica_id, now_s)
        latency_s = previous_s + SMOOTHING * (elapsed_s - previous_s)
        self._estimate_by_replica[replica_id] = _Estimate(latency_s, now_s)
        self._mean_s += MEAN_SMOOTHING * (elapsed_s - self._mean_s)

    def latency_s(self, replica_id: str, now_s: float) -> float:
        """Return the expected latency of a call to a replica."""
        estimate = self._estimate_by_replica.get(replica_id)
        if estimate is None:
            return self._mean_s
        weight = 0.5 ** ((now_s - estimate.updated_s) / ESTIMATE_HALF_LIFE_S)
        return self._mean_s + (estimate.latency_s - self._mean_s) * weight

    def retain(self, replica_ids: set[str]) -> None:
        """Discard the estimates of replicas that are not in ``replica_ids``."""
        for replica_id in self._estimate_by_replica.keys() - replica_ids:
            del self._estimate_by_replica[replica_id]
