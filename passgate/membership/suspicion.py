"""Suspicions: how long a silent member has to refute, and this daemon's own health.

The time allowed grows with the logarithm of the cluster, in which news spreads,
and shrinks as independent accusers confirm (Dadgar, Phillips and Currey,
"Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
"""

from __future__ import annotations

import math

import msgspec

CONFIRMATIONS = 3
"""Independent accusers after which a suspicion lasts only its minimum."""

MAXIMUM_FACTOR = 2.0
"""A suspicion without confirmation lasts this many times its minimum."""


class Suspicion(msgspec.Struct):
    """One suspected member."""

    member_id: str
    incarnation: int
    accusers: set[str]
    started_s: float
    minimum_s: float
    confirmations: int
    """Wanted number of accusers beside the first."""

    def deadline_s(self) -> float:
        """Return when the member counts as dead unless it refutes."""
        if self.confirmations <= 0:
            return self.started_s + self.minimum_s
        maximum_s = self.minimum_s * MAXIMUM_FACTOR
        confirmed = min(len(self.accusers) - 1, self.confirmations)
        share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        return self.started_s + maximum_s - (maximum_s - self.minimum_s) * share

    def confirm(self, accuser: str) -> bool:
        """Count another accuser; False when it adds nothing."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations:
            return False
        self.accusers.add(accuser)
        return True


def minimum_suspicion_s(multiplier: float, probe_period_s: float, members: int) -> float:
    """Return the shortest suspicion in a cluster of ``members``.

    >>> minimum_suspicion_s(3.0, 1.0, members=1000)
    9.0
    """
    return round(multiplier * probe_period_s * max(1.0, math.log10(max(1, members))), 3)


class LocalHealth:
    """Score of this daemon's own slowness; a slow daemon waits longer before it accuses.

    >>> health = LocalHealth(maximum=8)
    >>> health.worse(); health.multiplier
    2
    """

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Factor for probe periods and timeouts; 1 when healthy."""
        return 1 + self._score

    def worse(self) -> None:
        """Count a sign that this daemon itself is slow or cut off."""
        self._score = min(self._maximum, self._score + 1)

    def better(self) -> None:
        """Count a probe that was answered in time."""
        self._score = max(0, self._score - 1)
