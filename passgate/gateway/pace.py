"""How fast a replica makes the events of a stream, from the streams that were read.

Many streams of a replica give one estimate, so it is steady; while nothing is read it
returns to what is usual among the replicas, so that a slow one is tried again.

>>> pace = Pace()
>>> for _ in range(200):
...     pace.observe(0.052, now_s=1.0)
>>> round(pace.event_s(now_s=1.0, usual_s=0.04), 3)
0.052
>>> round(pace.event_s(now_s=1.0 + 10 * FORGET_S, usual_s=0.04), 3)
0.04
"""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of a new observation."""
MAX_STEP = 6.0
"""One observation counts for at most this many times the present estimate."""
FORGET_S = 4.0
"""Time after which an estimate counts half."""


class Pace:
    """Estimate of one replica's time for an event."""

    def __init__(self) -> None:
        self._event_s = 0.0
        self._observed_s = float("-inf")

    @property
    def known(self) -> bool:
        """Whether anything was observed."""
        return self._event_s > 0.0

    def observe(self, event_s: float, now_s: float) -> None:
        """Count the time that an event took, or has taken at least."""
        if not self.known:
            self._event_s = event_s
        else:
            self._event_s += SMOOTHING * (min(event_s, MAX_STEP * self._event_s) - self._event_s)
        self._observed_s = now_s

    def event_s(self, now_s: float, usual_s: float) -> float:
        """Return the expected time of an event; ``usual_s`` is that of the other replicas."""
        if not self.known:
            return usual_s
        remembered = 0.5 ** (max(now_s - self._observed_s, 0.0) / FORGET_S)
        return usual_s + (self._event_s - usual_s) * remembered
