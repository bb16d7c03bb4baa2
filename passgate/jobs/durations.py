"""How long the outputs of a model take, learnt from those that came whole.

Callers only estimate lengths in tokens; this turns an estimate into a time.

>>> durations = OutputDurations()
>>> durations.expected_s("m", 1000.0)
0.0
>>> for _ in range(100):
...     durations.observe("m", tokens=500.0, took_s=1.0)
>>> round(durations.expected_s("m", 250.0), 3), round(durations.expected_s("m", 90_000.0), 3)
(0.5, 1.0)
"""

from __future__ import annotations

import msgspec

MEMORY = 0.99
"""Share of what was learnt that one further output leaves."""


class _Learnt(msgspec.Struct):
    tokens: float = 0.0
    time_s: float = 0.0
    longest_s: float = 0.0


class OutputDurations:
    """Time of outputs by their estimated length, for each model."""

    def __init__(self) -> None:
        self._models: dict[str, _Learnt] = {}

    def observe(self, model: str, tokens: float, took_s: float) -> None:
        """Count an output that was estimated at ``tokens`` and took ``took_s``."""
        learnt = self._models.setdefault(model, _Learnt())
        learnt.tokens = learnt.tokens * MEMORY + tokens
        learnt.time_s = learnt.time_s * MEMORY + took_s
        learnt.longest_s = max(learnt.longest_s * MEMORY, took_s)

    def expected_s(self, model: str, tokens: float) -> float:
        """Return the time expected of an output; 0 while nothing is known.

        Estimates are often far too high, so nothing is expected to take longer than
        the longest output of late.
        """
        learnt = self._models.get(model)
        if learnt is None or learnt.tokens <= 0.0:
            return 0.0
        return min(tokens * learnt.time_s / learnt.tokens, learnt.longest_s)
