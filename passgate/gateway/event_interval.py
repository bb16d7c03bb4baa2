"""Estimates the time that a replica takes for one event of a stream.

The estimate is an exponentially weighted average of the recorded intervals.  Without new ones it decays
towards a default, so that a replica that was slow is chosen again.

>>> estimate = EventIntervalEstimate()
>>> for _ in range(200):
...     estimate.record(0.052, now_s=1.0)
>>> round(estimate.expected_s(now_s=1.0, default_s=0.04), 3)
0.052
>>> round(estimate.expected_s(now_s=1.0 + 10 * HALF_LIFE_S, default_s=0.04), 3)
0.04
"""

from __future__ import annotations

ESTIMATE_SMOOTHING = 0.05
"""Weight of a new observation in the average."""
MAX_INCREASE_FACTOR = 6.0
"""An observation is capped at this many times the current estimate."""
HALF_LIFE_S = 4.0
"""Time without an observation after which the estimate has moved halfway to the default."""


class EventIntervalEstimate:
    """Average time per event of one replica; all times are loop times."""

    def __init__(self) -> None:
        self._interval_s = 0.0
        self._recorded_at_s = float("-inf")

    @property
    def has_observation(self) -> bool:
        """Whether an interval above 0 was recorded."""
        return self._interval_s > 0.0

    def record(self, event_s: float, now_s: float) -> None:
        """Record the time between two events, or the time since the last event if none has followed yet."""
        if not self.has_observation:
            self._interval_s = event_s
        else:
            self._interval_s += ESTIMATE_SMOOTHING * (
                min(event_s, MAX_INCREASE_FACTOR * self._interval_s) - self._interval_s
            )
        self._recorded_at_s = now_s

    def expected_s(self, now_s: float, default_s: float) -> float:
        """Return the expected time per event; ``default_s`` if no interval was recorded."""
        if not self.has_observation:
            return default_s
        weight = 0.5 ** (max(now_s - self._recorded_at_s, 0.0) / HALF_LIFE_S)
        return default_s + (self._interval_s - default_s) * weight
