"""A wall clock that does not follow steps of the machine's clock.

The clock reads the machine's time of day once and then advances with the monotonic clock.  It is adjusted to
the median of its own and other daemons' times, which corrects a wrong first reading if most are right.

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
"""Minimum number of other daemons' clocks for an adjustment; with this clock, a single wrong one among the
three can't move the median beyond the other two."""


class SynchronizedWallClock:
    """Time of day that is adjusted to the clocks of other daemons."""

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
        """Adjust to the median of this clock and others; do nothing with fewer than MIN_RESPONSES others.

        Args:
            other_wall_s: times of day of other daemons.
            at_monotonic_s: monotonic time to which these times of day belong.
        """
        if len(other_wall_s) < MIN_RESPONSES:
            return
        own_s = self._offset_s + at_monotonic_s
        self._offset_s = statistics.median_low([own_s, *other_wall_s]) - at_monotonic_s
