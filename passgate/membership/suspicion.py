"""Suspicions: how long a silent member has to refute, and this daemon's own health.

The time allowed grows with the logarithm of the cluster, in which news spreads,
and shrinks as independent accusers confirm (Dadgar, Phillips and Currey,
"Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
"""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from passgate.membership.messages import SuspectNews

CONFIRMATIONS = 3
"""Independent accusers after which a suspicion lasts only its minimum."""

MAXIMUM_FACTOR = 2.0
"""A suspicion without confirmation lasts this many times its minimum."""


DOUBTFUL_SUSPECTS = 2
"""Suspects in one zone from which on its other members are probed more often."""


class Suspicion(msgspec.Struct):
    """One suspected member."""

    member_id: str
    zone: str
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


class Suspicions:
    """The open suspicions by member."""

    def __init__(self, multiplier: float, probe_period_s: float) -> None:
        self._multiplier = multiplier
        self._probe_period_s = probe_period_s
        self._open: dict[str, Suspicion] = {}
        self._zones: Counter[str] = Counter()
        self._nearest_s: float | None = math.inf
        """Nearest deadline; None when it must be looked for."""

    def get(self, member_id: str) -> Suspicion | None:
        """Return the open suspicion of a member."""
        return self._open.get(member_id)

    def start(self, news: SuspectNews, zone: str, members: int, now_s: float) -> None:
        """Open a suspicion in a cluster of ``members`` living daemons."""
        self.end(news.member_id)
        self._zones[zone] += 1
        self._nearest_s = None
        self._open[news.member_id] = Suspicion(
            member_id=news.member_id,
            zone=zone,
            incarnation=news.incarnation,
            accusers={news.accuser},
            started_s=now_s,
            minimum_s=minimum_suspicion_s(self._multiplier, self._probe_period_s, members),
            confirmations=min(CONFIRMATIONS, members - 3),
        )

    def end(self, member_id: str) -> None:
        """Close a suspicion, whatever came of it."""
        suspicion = self._open.pop(member_id, None)
        if suspicion is not None:
            self._zones[suspicion.zone] -= 1
            self._nearest_s = None

    def confirm(self, news: SuspectNews) -> bool:
        """Count another accuser; False when it adds nothing."""
        suspicion = self._open.get(news.member_id)
        if suspicion is None or suspicion.incarnation != news.incarnation:
            return False
        self._nearest_s = None
        return suspicion.confirm(news.accuser)

    def run_out(self, now_s: float) -> list[Suspicion]:
        """Return the suspicions that no one refuted in time; they stay open."""
        if now_s < self.next_deadline_s():
            return []
        return [suspicion for suspicion in self._open.values() if now_s >= suspicion.deadline_s()]

    def next_deadline_s(self) -> float:
        """Return the nearest deadline, infinity when there is none."""
        if self._nearest_s is None:
            deadlines = [suspicion.deadline_s() for suspicion in self._open.values()]
            self._nearest_s = min(deadlines, default=math.inf)
        return self._nearest_s

    def shift(self, by_s: float) -> None:
        """Move all deadlines after a pause of this process."""
        self._nearest_s = None
        for suspicion in self._open.values():
            suspicion.started_s += by_s

    def doubtful_zones(self) -> frozenset[str]:
        """Return the zones with several suspects at once."""
        if len(self._open) < DOUBTFUL_SUSPECTS:
            return frozenset()
        return frozenset(zone for zone, count in self._zones.items() if count >= DOUBTFUL_SUSPECTS)


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
