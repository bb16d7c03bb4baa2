"""Counts entries that name no replica to use, and tells of them in few lines.

Entries may come from other writers, again and again: a line a second for each would hide all others.

>>> lines = []
>>> unusable = UnusableEntries(DecisionLog("d", write=lines.append))
>>> [unusable.record("r1", "no address", now_s=float(second)) for second in range(3)]
[True, False, False]
>>> unusable.count
3
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, EntryUnusable

KEY_LOG_INTERVAL_S = 60.0
"""Time between two lines on one key; on call looks at minutes."""
LOG_INTERVAL_S = 1.0
"""Time between two lines on any key."""
MAX_REMEMBERED_KEYS = 1024
"""Keys that are remembered as told of; a writer may make up any number of them."""
MAX_LOGGED_CHARACTERS = 120
"""Part of a key or a reason that is logged, as a writer may make them long."""


class UnusableEntries:
    """What was told of, and what is still to be told."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._logged_at_s_by_key: dict[str, float] = {}
        """Key to when a line told of it."""
        self._last_logged_s = float("-inf")
        self._unlogged_count = 0
        self.count = 0
        """Entries so far."""

    def record(self, key: str, reason: str, now_s: float) -> bool:
        """Count an entry; return whether a line tells of it and of those since the last line."""
        self.count += 1
        self._unlogged_count += 1
        if (
            now_s - self._last_logged_s < LOG_INTERVAL_S
            or now_s - self._logged_at_s_by_key.get(key, float("-inf")) < KEY_LOG_INTERVAL_S
        ):
            return False
        if len(self._logged_at_s_by_key) >= MAX_REMEMBERED_KEYS:
            self._logged_at_s_by_key.clear()
        self._logged_at_s_by_key[key] = self._last_logged_s = now_s
        self._decisions.write(
            EntryUnusable(
                key=key[:MAX_LOGGED_CHARACTERS],
                reason=reason[:MAX_LOGGED_CHARACTERS],
                entries=self._unlogged_count,
            )
        )
        self._unlogged_count = 0
        return True
