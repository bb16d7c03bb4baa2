"""Expected output lengths, learnt online per caller and priority class.

``max_tokens`` is only a ceiling.  Lengths are heavy-tailed, so the estimator
keeps mean and variance of their logarithm, with exponential forgetting, and
returns the mean of the log-normal distribution that fits them.

>>> estimator = OutputLengthEstimator()
>>> estimator.expected("trainer", "training", max_tokens=100)
50
>>> for _ in range(100):
...     estimator.observe("trainer", "training", 20)
>>> estimator.expected("trainer", "training", max_tokens=100)
20
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

FORGETTING = 0.05
"""Weight of a new observation once enough are known."""
UNKNOWN_SHARE = 0.5
"""Expected share of ``max_tokens`` before anything is known."""
MAX_CALLERS = 1024
"""Callers remembered; the least recently seen is forgotten first."""
OVERRUN_FACTOR = 1.3
"""An output that outlives its estimate is expected to grow by this factor."""


class _Moments(msgspec.Struct):
    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(1.0 / self.count, FORGETTING)
        delta = value - self.mean
        self.mean += weight * delta
        self.variance = (1.0 - weight) * (self.variance + weight * delta * delta)


class OutputLengthEstimator:
    """Log-normal length estimate per caller and class; bounded memory."""

    def __init__(self) -> None:
        self._moments: OrderedDict[tuple[str, str], _Moments] = OrderedDict()

    def observe(self, caller: str, priority_class: str, tokens: int) -> None:
        """Learn the length of one whole output."""
        key = (caller, priority_class)
        moments = self._moments.get(key)
        if moments is None:
            moments = self._moments[key] = _Moments()
            if len(self._moments) > MAX_CALLERS:
                self._moments.popitem(last=False)
        self._moments.move_to_end(key)
        moments.add(math.log(max(tokens, 1)))

    def expected(self, caller: str, priority_class: str, max_tokens: int) -> int:
        """Return the expected output length in tokens, at least 1."""
        moments = self._moments.get((caller, priority_class))
        if moments is None:
            return max(1, round(max_tokens * UNKNOWN_SHARE))
        mean = math.exp(min(moments.mean + moments.variance / 2.0, 20.0))
        return max(1, min(max_tokens, round(mean)))


def remaining_tokens(expected: int, received: int, max_tokens: int) -> int:
    """Return the expected rest of an output of which ``received`` tokens are there.

    The longer an output of a heavy-tailed distribution is, the longer its expected rest.
    """
    total = max(expected, round(received * OVERRUN_FACTOR))
    return max(0, min(total, max_tokens) - received)
