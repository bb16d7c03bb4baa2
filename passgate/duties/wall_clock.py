"""Time of day that a step of one machine's clock does not shift.

The daemon reads its clock once and then counts on by the steady clock.  From time to time
it asks some other daemons for theirs and moves to the median, so a daemon that started
while its clock was wrong is right again after the first answers.

>>> clock = AgreedWallClock(wall_s=lambda: 100.0, steady_s=lambda: 7.0)
>>> clock.now_s()
100.0
>>> clock.agree([103.0, 102.9], asked_s=7.0)
>>> clock.now_s()
102.9
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

FEWEST_ANSWERS = 2
"""With this machine's own clock, a median that one wrong clock can not shift."""


class AgreedWallClock:
    """This daemon's view of the time of day."""

    def __init__(self, wall_s: Callable[[], float], steady_s: Callable[[], float]) -> None:
        """Read the machine's clock once.

        Args:
            wall_s: the machine's time of day, which may step.
            steady_s: a clock that never steps.
        """
        self._steady_s = steady_s
        self._offset_s = wall_s() - steady_s()

    def now_s(self) -> float:
        """Return the time of day in seconds since the start of 1970."""
        return self._offset_s + self._steady_s()

    def agree(self, others_s: Sequence[float], asked_s: float) -> None:
        """Move to the median of this clock and others'.

        Args:
            others_s: times of day that other daemons told.
            asked_s: steady time to which they belong, the middle of question and answer.
        """
        if len(others_s) < FEWEST_ANSWERS:
            return
        own_s = self._offset_s + asked_s
        self._offset_s = statistics.median_low([own_s, *others_s]) - asked_s
