"""Deadlines of suspicions, and the health score of this daemon itself.

A suspected member must refute within a time that grows with the logarithm of the cluster
size, like the time that updates take to spread, and that shrinks with each independent
accuser (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection", 2018).
"""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from passgate.membership.messages import SuspectUpdate

MAXIMUM_CONFIRMATIONS = 3
"""Confirmations by further accusers after which a suspicion lasts only its minimum."""

MAXIMUM_SUSPICION_FACTOR = 2.0
"""Longest duration of a suspicion, without confirmations, as a multiple of its minimum."""


SUSPECT_ZONE_THRESHOLD = 2
"""Number of suspects in one zone from which its other members are probed more often."""


class Suspicion(msgspec.Struct):
    """One suspected member."""

    member_id: str
    zone: str
    incarnation: int
    accusers: set[str]
    started_s: float
    minimum_s: float
    required_confirmations: int
    """Number of accusers besides the first that reduces the duration to its minimum."""

    def deadline_s(self) -> float:
        """Return when the member is declared dead unless it refutes."""
        if self.required_confirmations <= 0:
            return self.started_s + self.minimum_s
        maximum_s = self.minimum_s * MAXIMUM_SUSPICION_FACTOR
        confirmed = min(len(self.accusers) - 1, self.required_confirmations)
        share = math.log(confirmed + 1) / math.log(self.required_confirmations + 1)
        return self.started_s + maximum_s - (maximum_s - self.minimum_s) * share

    def confirm(self, accuser: str) -> bool:
        """Count another accuser; False when it adds nothing."""
        if accuser in self.accusers or len(self.accusers) > self.required_confirmations:
            return False
        self.accusers.add(accuser)
        return True


class Suspicions:
    """Suspicions that are neither refuted nor closed, by member."""

    def __init__(self, multiplier: float, probe_period_s: float) -> None:
        self._multiplier = multiplier
        self._probe_period_s = probe_period_s
        self._suspicion_by_member: dict[str, Suspicion] = {}
        self._suspect_count_by_zone: Counter[str] = Counter()
        self._next_deadline_s: float | None = math.inf
        """Cached earliest deadline; None when it must be computed again."""

    def get(self, member_id: str) -> Suspicion | None:
        """Return the open suspicion of a member, None when there is none."""
        return self._suspicion_by_member.get(member_id)

    def start(self, update: SuspectUpdate, zone: str, members: int, now_s: float) -> None:
        """Open a suspicion in a cluster of ``members`` living daemons."""
        self.end(update.member_id)
        self._suspect_count_by_zone[zone] += 1
        self._next_deadline_s = None
        self._suspicion_by_member[update.member_id] = Suspicion(
            member_id=update.member_id,
            zone=zone,
            incarnation=update.incarnation,
            accusers={update.accuser},
            started_s=now_s,
            minimum_s=minimum_suspicion_s(self._multiplier, self._probe_period_s, members),
            required_confirmations=min(MAXIMUM_CONFIRMATIONS, members - 3),
        )

    def end(self, member_id: str) -> None:
        """Close the suspicion of a member, if there is one."""
        suspicion = self._suspicion_by_member.pop(member_id, None)
        if suspicion is not None:
            self._suspect_count_by_zone[suspicion.zone] -= 1
            self._next_deadline_s = None

    def confirm(self, update: SuspectUpdate) -> bool:
        """Count another accuser; False when it adds nothing."""
        suspicion = self._suspicion_by_member.get(update.member_id)
        if suspicion is None or suspicion.incarnation != update.incarnation:
            return False
        self._next_deadline_s = None
        return suspicion.confirm(update.accuser)

    def expired(self, now_s: float) -> list[Suspicion]:
        """Return the suspicions whose deadline has passed; they stay open until :meth:`end`."""
        if now_s < self.next_deadline_s():
            return []
        return [
            suspicion for suspicion in self._suspicion_by_member.values() if now_s >= suspicion.deadline_s()
        ]

    def next_deadline_s(self) -> float:
        """Return the earliest deadline, infinity when there is none."""
        if self._next_deadline_s is None:
            deadlines = [suspicion.deadline_s() for suspicion in self._suspicion_by_member.values()]
            self._next_deadline_s = min(deadlines, default=math.inf)
        return self._next_deadline_s

    def postpone_deadlines(self, pause_s: float) -> None:
        """Postpone all deadlines by the length of a pause of this process."""
        self._next_deadline_s = None
        for suspicion in self._suspicion_by_member.values():
            suspicion.started_s += pause_s

    def suspect_zones(self) -> frozenset[str]:
        """Return the zones with at least ``SUSPECT_ZONE_THRESHOLD`` suspects."""
        if len(self._suspicion_by_member) < SUSPECT_ZONE_THRESHOLD:
            return frozenset()
        return frozenset(
            zone for zone, count in self._suspect_count_by_zone.items() if count >= SUSPECT_ZONE_THRESHOLD
        )


def minimum_suspicion_s(multiplier: float, probe_period_s: float, members: int) -> float:
    """Return the shortest duration of a suspicion in a cluster of ``members`` members.

    >>> minimum_suspicion_s(3.0, 1.0, members=1000)
    9.0
    """
    return round(multiplier * probe_period_s * max(1.0, math.log10(max(1, members))), 3)


class LocalHealth:
    """Health score of this daemon; a slow or isolated daemon waits longer before it suspects others.

    >>> health = LocalHealth(maximum=8)
    >>> health.degrade(); health.multiplier
    2
    """

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Factor applied to probe periods and timeouts; 1 when healthy."""
        return 1 + self._score

    def degrade(self) -> None:
        """Record a sign that this daemon itself is slow or cut off."""
        self._score = min(self._maximum, self._score + 1)

    def improve(self) -> None:
        """Record a probe that was answered in time."""
        self._score = max(0, self._score - 1)
