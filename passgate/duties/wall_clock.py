"""A wall clock that does not follow steps of the machine's clock.

The daemon reads the machine's clock once and then advances by the monotonic clock.  At intervals it moves
to the median of its own and other daemons' clocks, which corrects a wrong reading at the start.

>>> clock = SynchronizedWallClock(wall_s=lambda: 100.0, monotonic_s=lambda: 7.0)
>>> clock.now_s()
100.0
>>> clock.adjust_to_median([103.0, 102.9], at_monotonic_s=7.0)
>>> clock.now_s()
102.9
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

MIN_RESPONSES = 2
"""Fewest clocks of other daemons; with the own one, a single wrong clock can't shift the median."""


class SynchronizedWallClock:
    """The time of day as agreed among daemons."""

    def __init__(self, wall_s: Callable[[], float], monotonic_s: Callable[[], float]) -> None:
        """Read the machine's clock once.

        Args:
            wall_s: the machine's time of day, which may step.
            monotonic_s: a clock that never steps.
        """
        self._monotonic_s = monotonic_s
        self._offset_s = wall_s() - monotonic_s()

    def now_s(self) -> float:
        """Return the time of day in seconds since 1970."""
        return self._offset_s + self._monotonic_s()

    def adjust_to_median(self, other_wall_s: Sequence[float], at_monotonic_s: float) -> None:
        """Move to the median of this clock and others; fewer than MIN_RESPONSES others change nothing.

        Args:
            other_wall_s: times of day of other daemons.
            at_monotonic_s: monotonic time at which they were valid.
        """
        if len(other_wall_s) < MIN_RESPONSES:
            return
        own_s = self._offset_s + at_monotonic_s
        self._offset_s = statistics.median_low([own_s, *other_wall_s]) - at_monotonic_s
