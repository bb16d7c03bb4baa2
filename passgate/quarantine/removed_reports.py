"""Remembers which crash reports were removed, so that another daemon's old copy does not bring them back.

>>> removed = RemovedReports()
>>> removed.record("f", ReplicaIncarnation("r"), before_unix_s=100.0)
>>> removed.covers("f", ReplicaIncarnation("r"), reported_unix_s=100.0)
True
>>> removed.covers("f", ReplicaIncarnation("r"), reported_unix_s=101.0)
False
"""

from __future__ import annotations

from passgate.eligibility.replica_info import ReplicaIncarnation

MAX_REMOVED = 4096
"""Maximum number of remembered removals; beyond it, the earliest recorded ones are forgotten."""

Key = tuple[str, ReplicaIncarnation]


class RemovedReports:
    """Removals by request and incarnation; each covers the reports up to a Unix time, not later ones."""

    def __init__(self) -> None:
        self._until_unix_s_by_key: dict[Key, float] = {}
        """Unix time up to which reports were removed, in the order in which removals were recorded."""

    def record(self, fingerprint: str, incarnation: ReplicaIncarnation, before_unix_s: float) -> None:
        """Record that all reports of a request and an incarnation up to a Unix time were removed."""
        key = (fingerprint, incarnation)
        until_unix_s = max(before_unix_s, self._until_unix_s_by_key.pop(key, before_unix_s))
        self._until_unix_s_by_key[key] = until_unix_s
        if len(self._until_unix_s_by_key) > MAX_REMOVED:
            del self._until_unix_s_by_key[next(iter(self._until_unix_s_by_key))]

    def covers(self, fingerprint: str, incarnation: ReplicaIncarnation, reported_unix_s: float) -> bool:
        """Whether a report made at a Unix time is among the removed ones."""
        until_unix_s = self._until_unix_s_by_key.get((fingerprint, incarnation))
        return until_unix_s is not None and reported_unix_s <= until_unix_s
