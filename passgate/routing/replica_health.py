"""Which replicas are set aside after failures, and when they are tried again.

The key of a replica is whatever tells it from all others, such as its identifier.

A replica that can not be reached is set aside until a load report is read from
it again or its time is over.  One whose requests fail is ejected after some
consecutive failures.  Times double with each ejection, and afterwards one
request at a time is let through until one succeeds.  When failing requests
would eject most of a pool, the cause is probably not in the replicas, and these
ejections are ignored.

>>> health = ReplicaHealth()
>>> for _ in range(EJECT_AFTER_FAILURES):
...     health.failed("e1", now_s=0.0)
>>> health.usable(["e1", "e2", "e3"], now_s=0.5)
['e2', 'e3']
>>> health.usable(["e1", "e2", "e3"], now_s=FIRST_EJECTION_S)
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
MAX_EJECTED_SHARE = 0.7
"""With a larger share ejected for failing requests, those ejections are ignored."""
PROBE_S = 2.0
"""After an ejection, the next request is let through this long after the last."""


class _Health(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    unreachable: bool = False
    until_s: float = float("-inf")

    def is_out(self, now_s: float) -> bool:
        return now_s < self.until_s


class ReplicaHealth(Generic[Key]):
    """Consecutive failures and ejections per replica."""

    def __init__(self) -> None:
        self._states: dict[Key, _Health] = {}

    def failed(self, replica: Key, now_s: float, *, unreachable: bool = False) -> None:
        """Count a failure; one that shows that nobody listens there ejects at once."""
        health = self._states.setdefault(replica, _Health())
        health.failures += 1
        health.unreachable = health.unreachable or unreachable
        threshold = 1 if unreachable or health.ejections else EJECT_AFTER_FAILURES
        if health.failures >= threshold and not health.is_out(now_s):
            ejection_s = min(FIRST_EJECTION_S * 2.0**health.ejections, MAX_EJECTION_S)
            health.ejections = min(health.ejections + 1, MAX_EJECTIONS_COUNTED)
            health.until_s = now_s + ejection_s

    def succeeded(self, replica: Key) -> None:
        """A request on the replica brought output."""
        self._states.pop(replica, None)

    def reached(self, replica: Key) -> None:
        """A load report was read: the replica listens, which does not prove that it works."""
        health = self._states.get(replica)
        if health is not None and health.unreachable:
            del self._states[replica]

    def hold_off(self, replica: Key, until_s: float) -> None:
        """Send nothing until then, without counting a failure (the replica said it is busy)."""
        health = self._states.setdefault(replica, _Health())
        health.until_s = max(health.until_s, until_s)

    def sent(self, replica: Key, now_s: float) -> None:
        """A request goes to the replica; after an ejection it is a probe, one at a time."""
        health = self._states.get(replica)
        if health is not None and health.ejections:
            health.until_s = max(health.until_s, now_s + PROBE_S)

    def next_return_s(self, now_s: float) -> float | None:
        """Return when the next replica that is set aside may be tried."""
        times = [health.until_s for health in self._states.values() if health.is_out(now_s)]
        return min(times, default=None)

    def usable(self, replicas: Sequence[Key], now_s: float) -> list[Key]:
        """Return the replicas that may get work now."""
        if not self._states:
            return list(replicas)
        kept = [replica for replica in replicas if not self._is_out(replica, now_s)]
        if len(kept) >= (1.0 - MAX_EJECTED_SHARE) * len(replicas):
            return kept
        return [replica for replica in replicas if not self._is_unreachable(replica, now_s)]

    def retain(self, replicas: Collection[Key]) -> None:
        """Forget replicas that no longer exist."""
        for replica in self._states.keys() - set(replicas):
            del self._states[replica]

    def _is_out(self, replica: Key, now_s: float) -> bool:
        health = self._states.get(replica)
        return health is not None and health.is_out(now_s)

    def _is_unreachable(self, replica: Key, now_s: float) -> bool:
        health = self._states.get(replica)
        return health is not None and health.is_out(now_s) and (health.unreachable or not health.ejections)
