"""Counts discovery entries that name no usable replica, and logs them at a limited rate.

A faulty writer may write such entries repeatedly, and a log line for each would hide all other lines.

>>> lines = []
>>> unusable = UnusableEntries(DecisionLog("d", write=lines.append))
>>> [unusable.record("r1", "no address", now_s=float(second)) for second in range(3)]
[True, False, False]
>>> unusable.count
3
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, DiscoveryEntryRejected

KEY_LOG_INTERVAL_S = 60.0
"""Shortest time between two log lines about the same key, while the key is remembered."""
LOG_INTERVAL_S = 1.0
"""Shortest time between any two log lines."""
MAX_REMEMBERED_KEYS = 1024
"""Maximum number of keys whose last log lines are remembered; when it is reached, all are forgotten."""
MAX_LOGGED_CHARACTERS = 120
"""Maximum length of a key or a reason in a log line; the rest is cut off."""


class UnusableEntries:
    """Counter and rate-limited log of unusable entries."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._logged_at_s_by_key: dict[str, float] = {}
        """Loop time of the last log line, by key."""
        self._last_logged_s = float("-inf")
        self._unlogged_count = 0
        self.count = 0
        """Number of unusable entries so far."""

    def record(self, key: str, reason: str, now_s: float) -> bool:
        """Count an unusable entry; return whether a log line was written.

        The line names this entry, and the number of unusable entries since the previous line.
        """
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
            DiscoveryEntryRejected(
                key=key[:MAX_LOGGED_CHARACTERS],
                reason=reason[:MAX_LOGGED_CHARACTERS],
                entries=self._unlogged_count,
            )
        )
        self._unlogged_count = 0
        return True
