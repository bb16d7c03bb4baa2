"""Outlier ejection: excludes failing replicas from choices for a while.

A replica is ejected when it can't be reached, or after EJECT_AFTER_FAILURES failures since its last
success.  After the ejection, a request is sent only every PROBE_INTERVAL_S until one succeeds.  A failure
within the ejection or this interval prolongs neither; a later failure ejects again, for twice as long, up
to MAX_EJECTION_S.  A load report ends the ejection of a replica that could not be reached.

If more than MAX_EJECTED_SHARE of the replicas are excluded, failing requests are probably not the
replicas' fault, so ejections for them are ignored.

>>> health = ReplicaHealth()
>>> for _ in range(EJECT_AFTER_FAILURES):
...     health.record_failure("e1", now_s=0.0)
>>> health.filter_usable(["e1", "e2", "e3"], now_s=0.5)
['e2', 'e3']
>>> health.filter_usable(["e1", "e2", "e3"], now_s=FIRST_EJECTION_S)
['e1', 'e2', 'e3']
"""

from __future__ import annotations

from collections.abc import Collection, Hashable, Sequence
from typing import Generic, TypeVar

import msgspec

Key = TypeVar("Key", bound=Hashable)

EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTIONS_COUNTED = 16
"""Limit of the counter of ejections, so that two to its power can't overflow."""
MAX_EJECTED_SHARE = 0.7
"""If a larger share of the replicas is excluded, ejections for failing requests are ignored."""
PROBE_INTERVAL_S = 2.0
"""Pause after a request to a replica that has not succeeded since its ejection."""


class _HealthRecord(msgspec.Struct):
    """Failures and exclusion of one replica."""

    failures: int = 0
    """Number of failures since the last success."""
    ejections: int = 0
    """Number of ejections since the last success, up to MAX_EJECTIONS_COUNTED."""
    unreachable: bool = False
    """Whether any of the failures showed that the replica could not be reached."""
    excluded_until_s: float = float("-inf")
    """Loop time at which the last ejection, hold-off or probe interval ends."""

    def is_excluded(self, now_s: float) -> bool:
        return now_s < self.excluded_until_s


class ReplicaHealth(Generic[Key]):
    """Failures, ejections and hold-offs of replicas; all times are loop times."""

    def __init__(self) -> None:
        self._record_by_replica: dict[Key, _HealthRecord] = {}
        """Records of the replicas that failed or were held off; others are healthy."""

    def record_failure(self, replica: Key, now_s: float, *, unreachable: bool = False) -> None:
        """Record a failed request, and eject the replica if it has failed often enough.

        One failure is enough if the replica was unreachable or has been ejected since its last success.  A
        replica that is excluded at this time is not ejected.
        """
        health = self._record_by_replica.setdefault(replica, _HealthRecord())
        health.failures += 1
        health.unreachable = health.unreachable or unreachable
        threshold = 1 if unreachable or health.ejections else EJECT_AFTER_FAILURES
        if health.failures >= threshold and not health.is_excluded(now_s):
            ejection_s = min(FIRST_EJECTION_S * 2.0**health.ejections, MAX_EJECTION_S)
            health.ejections = min(health.ejections + 1, MAX_EJECTIONS_COUNTED)
            health.excluded_until_s = now_s + ejection_s

    def record_success(self, replica: Key) -> None:
        """Record that the replica answered a request, which clears its failures and ends any exclusion."""
        self._record_by_replica.pop(replica, None)

    def record_load_report(self, replica: Key) -> None:
        """Record that the replica's load report was read.

        Clears the failures and ends the exclusion of a replica that was unreachable; otherwise does nothing.
        """
        health = self._record_by_replica.get(replica)
        if health is not None and health.unreachable:
            del self._record_by_replica[replica]

    def hold_off(self, replica: Key, until_s: float) -> None:
        """Exclude a replica until a loop time, without recording a failure; for example if it is busy."""
        health = self._record_by_replica.setdefault(replica, _HealthRecord())
        health.excluded_until_s = max(health.excluded_until_s, until_s)

    def record_send(self, replica: Key, now_s: float) -> None:
        """Record that a request is sent, which delays the next one if the replica was ejected.

        The delay is PROBE_INTERVAL_S; there is none once the replica has succeeded after its ejection.
        """
        health = self._record_by_replica.get(replica)
        if health is not None and health.ejections:
            health.excluded_until_s = max(health.excluded_until_s, now_s + PROBE_INTERVAL_S)

    def next_retry_s(self, now_s: float) -> float | None:
        """Return the loop time at which the next exclusion ends, or None if no replica is excluded."""
        times = [
            health.excluded_until_s
            for health in self._record_by_replica.values()
            if health.is_excluded(now_s)
        ]
        return min(times, default=None)

    def filter_usable(self, replicas: Sequence[Key], now_s: float) -> list[Key]:
        """Return those of the given replicas that may get requests now, in the same order.

        If more than MAX_EJECTED_SHARE of them are excluded, those ejected for failing requests are returned
        as well.
        """
        if not self._record_by_replica:
            return list(replicas)
        usable = [replica for replica in replicas if not self._is_excluded(replica, now_s)]
        if len(usable) >= (1.0 - MAX_EJECTED_SHARE) * len(replicas):
            return usable
        return [replica for replica in replicas if not self._must_stay_excluded(replica, now_s)]

    def retain(self, replicas: Collection[Key]) -> None:
        """Drop the records of all replicas but the given ones."""
        for replica in self._record_by_replica.keys() - set(replicas):
            del self._record_by_replica[replica]

    def _is_excluded(self, replica: Key, now_s: float) -> bool:
        health = self._record_by_replica.get(replica)
        return health is not None and health.is_excluded(now_s)

    def _must_stay_excluded(self, replica: Key, now_s: float) -> bool:
        """Whether a replica is excluded for another reason than failing requests.

        Since its last success, it either was unreachable, or was held off without having been ejected.
        """
        health = self._record_by_replica.get(replica)
        return (
            health is not None and health.is_excluded(now_s) and (health.unreachable or not health.ejections)
        )
