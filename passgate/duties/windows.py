"""Fixed windows of the wall clock by which usage is reported.

>>> windows = UsageWindows(length_s=5.0)
>>> windows.window_at(1_000_003.0), windows.end_s(200_000)
(200000, 1000005.0)
"""

from __future__ import annotations

import msgspec


class UsageWindows(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers usage windows: window ``k`` starts ``k * length_s`` after the start of 1970."""

    length_s: float

    def window_at(self, wall_s: float) -> int:
        """Return the number of the window that contains a time of day."""
        return int(wall_s // self.length_s)

    def end_s(self, window: int) -> float:
        """Return the time of day at which a window ends."""
        return (window + 1) * self.length_s
