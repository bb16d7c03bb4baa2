"""Pauses of owed work, such as the items of jobs, whose runs were ended by crashes of their replicas.

Owed work is never held responsible for a crash, and is sent again however many crashes it has met.  Should it
crash replicas all the same, growing pauses keep it from ending them faster than they restart.

>>> pauses = CrashPauses()
>>> for _ in range(5):
...     pauses.record("f", now_s=0.0)
...     print(pauses.remaining_s("f", now_s=0.0))
0.0
0.2
0.4
0.8
1.0
>>> pauses.clear("f")
>>> pauses.remaining_s("f", now_s=0.0)
0.0
"""

from __future__ import annotations

import msgspec

SECOND_CRASH_PAUSE_S = 0.2
"""Pause after the second crash; doubles with each further one.  A single crash is followed by no pause."""
MAX_PAUSE_S = 1.0
"""Longest pause; short compared with the time in which the results of a job are due."""
MAX_ENTRIES = 4096
"""Number of requests that are remembered; the earliest are forgotten first."""


class _CrashedRuns(msgspec.Struct, frozen=True):
    count: int
    paused_until_s: float


class CrashPauses:
    """Pauses of this daemon's owed work, by the fingerprint of the request."""

    def __init__(self) -> None:
        self._runs_by_fingerprint: dict[str, _CrashedRuns] = {}

    def __len__(self) -> int:
        return len(self._runs_by_fingerprint)

    def record(self, fingerprint: str, now_s: float) -> None:
        """Record that a replica crashed while it ran a request."""
        earlier = self._runs_by_fingerprint.pop(fingerprint, None)
        count = 1 if earlier is None else earlier.count + 1
        pause_s = min(SECOND_CRASH_PAUSE_S * 2.0 ** (count - 2), MAX_PAUSE_S) if count > 1 else 0.0
        if len(self._runs_by_fingerprint) >= MAX_ENTRIES:
            del self._runs_by_fingerprint[next(iter(self._runs_by_fingerprint))]
        self._runs_by_fingerprint[fingerprint] = _CrashedRuns(count, now_s + pause_s)

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request, which was answered."""
        self._runs_by_fingerprint.pop(fingerprint, None)

    def remaining_s(self, fingerprint: str, now_s: float) -> float:
        """Return the seconds until a request may be sent again; 0 if it may be sent now."""
        runs = self._runs_by_fingerprint.get(fingerprint)
        return 0.0 if runs is None else max(runs.paused_until_s - now_s, 0.0)
