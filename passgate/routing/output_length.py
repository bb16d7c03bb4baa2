"""Estimates output lengths per caller and priority class from completed outputs.

Lengths are heavy-tailed, so the estimator fits a log-normal distribution: it keeps
exponentially weighted mean and variance of the logarithm, and returns the mean of the
distribution, limited by ``max_tokens``.

>>> estimator = OutputLengthEstimator()
>>> estimator.expected_tokens("trainer", "training", max_tokens=100)
50
>>> for _ in range(100):
...     estimator.record_length("trainer", "training", 20)
>>> estimator.expected_tokens("trainer", "training", max_tokens=100)
20
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

MIN_SAMPLE_WEIGHT = 0.05
"""Smallest weight of a new observation; the first ones weigh more, as in a plain mean."""
INITIAL_SHARE_OF_MAX_TOKENS = 0.5
"""Share of ``max_tokens`` that is expected of a caller without observations."""
MAX_ESTIMATES = 1024
"""Largest number of estimates kept; the one updated longest ago is discarded first."""
OVERRUN_GROWTH_FACTOR = 1.3
"""Factor by which an output that exceeds its estimate is expected to grow."""


class _LogLengthMoments(msgspec.Struct):
    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(1.0 / self.count, MIN_SAMPLE_WEIGHT)
        delta = value - self.mean
        self.mean += weight * delta
        self.variance = (1.0 - weight) * (self.variance + weight * delta * delta)


class OutputLengthEstimator:
    """Log-normal length estimate per caller and priority class; keeps at most ``MAX_ESTIMATES``."""

    def __init__(self) -> None:
        self._moments_by_caller_and_class: OrderedDict[tuple[str, str], _LogLengthMoments] = OrderedDict()

    def record_length(self, caller: str, priority_class: str, tokens: int) -> None:
        """Update the estimate with the length of one complete output."""
        key = (caller, priority_class)
        moments = self._moments_by_caller_and_class.get(key)
        if moments is None:
            moments = self._moments_by_caller_and_class[key] = _LogLengthMoments()
            if len(self._moments_by_caller_and_class) > MAX_ESTIMATES:
                self._moments_by_caller_and_class.popitem(last=False)
        self._moments_by_caller_and_class.move_to_end(key)
        moments.add(math.log(max(tokens, 1)))

    def expected_tokens(self, caller: str, priority_class: str, max_tokens: int) -> int:
        """Return the expected output length in tokens, from 1 to ``max_tokens``."""
        moments = self._moments_by_caller_and_class.get((caller, priority_class))
        if moments is None:
            return max(1, round(max_tokens * INITIAL_SHARE_OF_MAX_TOKENS))
        mean = math.exp(min(moments.mean + moments.variance / 2.0, 20.0))
        return max(1, min(max_tokens, round(mean)))


def remaining_tokens(expected_tokens: int, received_tokens: int, max_tokens: int) -> int:
    """Return how many more tokens are expected after ``received_tokens``.

    The number grows with the length received, as it does for heavy-tailed lengths.
    """
    total_tokens = max(expected_tokens, round(received_tokens * OVERRUN_GROWTH_FACTOR))
    return max(0, min(total_tokens, max_tokens) - received_tokens)
