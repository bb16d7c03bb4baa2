"""Emulated service that scores a trainer's samples before the trainer uses them.

A fixed number of workers scores samples in order of arrival, so the time at which a
sample is scored is known when it arrives.

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
    """First-come, first-served queue of samples with a fixed number of workers."""

    def __init__(self, parameters: ScoringParameters, random: Random) -> None:
        self._parameters = parameters
        self._random = random
        self._worker_free_at_s = [0.0] * parameters.workers
        """Heap of the times at which the workers have finished the samples assigned so far."""

    def submit(self, now_s: float) -> float:
        """Queue one sample and return the time, on the clock of ``now_s``, at which it is scored."""
        start_s = max(now_s, self._worker_free_at_s[0])
        end_s = start_s + self._draw_service_s()
        heapq.heapreplace(self._worker_free_at_s, end_s)
        return end_s

    def _draw_service_s(self) -> float:
        variance = math.log(1.0 + self._parameters.variation**2)
        mean_log = math.log(self._parameters.mean_s) - variance / 2
        return self._random.lognormvariate(mean_log, math.sqrt(variance))
