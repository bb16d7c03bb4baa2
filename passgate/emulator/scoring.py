"""The service that scores a trainer's samples before it can train on them.

Samples are scored first come, first served by a fixed number of workers, so the
end of each is known when it arrives.

>>> scoring = ScoringService(ScoringParameters(mean_s=1.0, variation=0.0, workers=1), Random(1))
>>> round(scoring.submit(now_s=10.0), 6), round(scoring.submit(now_s=10.0), 6)
(11.0, 12.0)
"""

from __future__ import annotations

import heapq
import math
from random import Random

from passgate.emulator.parameters import ScoringParameters


class ScoringService:
    """Queue of samples before a few workers."""

    def __init__(self, parameters: ScoringParameters, random: Random) -> None:
        self._parameters = parameters
        self._random = random
        self._free_s = [0.0] * parameters.workers

    def submit(self, now_s: float) -> float:
        """Queue one sample and return when its score is there, in loop seconds."""
        start_s = max(now_s, self._free_s[0])
        end_s = start_s + self._service_s()
        heapq.heapreplace(self._free_s, end_s)
        return end_s

    def _service_s(self) -> float:
        variance = math.log(1.0 + self._parameters.variation**2)
        mean = math.log(self._parameters.mean_s) - variance / 2
        return self._random.lognormvariate(mean, math.sqrt(variance))
