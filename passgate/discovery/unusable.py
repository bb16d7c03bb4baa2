"""Counts entries that name no replica to use, and tells of them in few lines.

Entries may come from other writers, again and again: a line a second for each would hide all others.

>>> lines = []
>>> unusable = UnusableEntries(DecisionLog("d", write=lines.append))
>>> [unusable.note("r1", "no address", now_s=float(second)) for second in range(3)]
[True, False, False]
>>> unusable.count
3
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, EntryUnusable

TELL_AGAIN_S = 60.0
"""Time between two lines on one key; on call looks at minutes."""
LINE_GAP_S = 1.0
"""Time between two lines on any key."""
MOST_KEYS = 1024
"""Keys that are remembered as told of; a writer may make up any number of them."""
MOST_CHARACTERS = 120
"""Part of a key or a reason that is logged, as a writer may make them long."""


class UnusableEntries:
    """What was told of, and what is still to be told."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._told_s: dict[str, float] = {}
        """Key to when a line told of it."""
        self._line_s = float("-inf")
        self._untold = 0
        self.count = 0
        """Entries so far."""

    def note(self, key: str, reason: str, now_s: float) -> bool:
        """Count an entry; return whether a line tells of it and of those since the last line."""
        self.count += 1
        self._untold += 1
        if now_s - self._line_s < LINE_GAP_S or now_s - self._told_s.get(key, float("-inf")) < TELL_AGAIN_S:
            return False
        if len(self._told_s) >= MOST_KEYS:
            self._told_s.clear()
        self._told_s[key] = self._line_s = now_s
        self._decisions.write(
            EntryUnusable(key=key[:MOST_CHARACTERS], reason=reason[:MOST_CHARACTERS], entries=self._untold)
        )
        self._untold = 0
        return True
