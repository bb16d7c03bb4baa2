"""Predicts the duration of an output from its estimated length in tokens, for each model.

The prediction is based on earlier outputs that were completed by a single attempt.

>>> durations = OutputDurations()
>>> durations.expected_s("m", 1000.0)
0.0
>>> for _ in range(100):
...     durations.record_output("m", tokens=500.0, duration_s=1.0)
>>> round(durations.expected_s("m", 250.0), 3), round(durations.expected_s("m", 90_000.0), 3)
(0.5, 1.0)
"""

from __future__ import annotations

import msgspec

DECAY_PER_OUTPUT = 0.99
"""Factor applied to all totals of a model when an output is added, so that recent outputs dominate."""


class _DecayedTotals(msgspec.Struct):
    """Totals over a model's outputs, in which older outputs weigh less."""

    tokens: float = 0.0
    time_s: float = 0.0
    longest_s: float = 0.0


class OutputDurations:
    """Exponentially weighted time per estimated token, for each model."""

    def __init__(self) -> None:
        self._totals_by_model: dict[str, _DecayedTotals] = {}

    def record_output(self, model: str, tokens: float, duration_s: float) -> None:
        """Record an output whose length was estimated at ``tokens`` and that took ``duration_s``."""
        totals = self._totals_by_model.setdefault(model, _DecayedTotals())
        totals.tokens = totals.tokens * DECAY_PER_OUTPUT + tokens
        totals.time_s = totals.time_s * DECAY_PER_OUTPUT + duration_s
        totals.longest_s = max(totals.longest_s * DECAY_PER_OUTPUT, duration_s)

    def expected_s(self, model: str, tokens: float) -> float:
        """Return the expected time of an output; 0 if no output of the model was recorded with an estimate.

        Callers' estimates are often far too high, so the result is at most the duration of the longest
        recent output, which decays like the totals.
        """
        totals = self._totals_by_model.get(model)
        if totals is None or totals.tokens <= 0.0:
            return 0.0
        return min(tokens * totals.time_s / totals.tokens, totals.longest_s)
