"""Zones that the operator evacuates: nothing further is sent to their replicas.

The evacuated zones are a set with the offset up to which the operator's topic was read.  Of two
views the one with the higher offset is right as a whole, so views are replaced and never merged.

>>> zones = EvacuatedZones(DecisionLog("d1", write=len))
>>> zones.replace({"z1"}, next_offset=7)
>>> zones.learn(EvacuationView(offset=5), peer="h:1", age_s=0.1)
>>> "z1" in zones, zones.view.offset
(True, 7)
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from passgate.decisions import DecisionLog, EvacuationEnded, ZoneEvacuated
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendTerms

LOG, PEER = "log", "peer"
"""Where a view came from, as decision lines name it."""


class EvacuationView(msgspec.Struct, frozen=True, kw_only=True):
    """The evacuated zones as of an offset of the operator's topic."""

    offset: int
    """Offset up to which the topic was read; 0 before the first read."""
    zones: frozenset[str] = frozenset()


class EvacuationChange(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the operator's topic that begins or ends an evacuation."""

    offset: int
    zone: str
    evacuated: bool


class _Source(msgspec.Struct, frozen=True, kw_only=True):
    """Where a view came from."""

    name: str
    peer: str = ""
    age_s: float = 0.0
    """Age of the view when it was learned; one that is read from the log is the present one."""


class EvacuatedZones:
    """The zones that are evacuated, as far as this daemon knows."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._view = EvacuationView(offset=0)
        self.on_ended: list[Callable[[str], None]] = []
        """Called with each zone whose evacuation has ended; its replicas may be cold."""

    @property
    def view(self) -> EvacuationView:
        """What is known, to be told to other daemons."""
        return self._view

    def __contains__(self, zone: object) -> bool:
        """Whether a zone is evacuated."""
        return zone in self._view.zones

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._view.zones)

    def replace(self, zones: Iterable[str], next_offset: int) -> None:
        """Take a snapshot of the operator's topic; an evacuation that it lacks has ended."""
        if next_offset >= self._view.offset:
            self._take(EvacuationView(offset=next_offset, zones=frozenset(zones)), _Source(name=LOG))

    def update(self, changes: Iterable[EvacuationChange], next_offset: int) -> None:
        """Take records of the operator's topic; those that the view already contains change nothing."""
        zones = set(self._view.zones)
        for change in changes:
            if change.offset < self._view.offset:
                continue
            if change.evacuated:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        offset = max(next_offset, self._view.offset)
        self._take(EvacuationView(offset=offset, zones=frozenset(zones)), _Source(name=LOG))

    def learn(self, view: EvacuationView, *, peer: str, age_s: float) -> None:
        """Take another daemon's view if it is newer; ``age_s`` is the age of that view."""
        if view.offset > self._view.offset:
            self._take(view, _Source(name=PEER, peer=peer, age_s=age_s))

    def _take(self, view: EvacuationView, source: _Source) -> None:
        before, self._view = self._view.zones, view
        for zone in sorted(view.zones - before):
            self._note(ZoneEvacuated, zone, source)
        for zone in sorted(before - view.zones):
            self._note(EvacuationEnded, zone, source)
            for ended in self.on_ended:
                ended(zone)

    def _note(self, event: type[ZoneEvacuated] | type[EvacuationEnded], zone: str, source: _Source) -> None:
        self._decisions.write(
            event(
                zone=zone,
                source=source.name,
                peer=source.peer,
                age_ms=round(source.age_s * 1000, 1),
                offset=self._view.offset,
            )
        )


class EvacuationRule:
    """Nothing goes to an evacuated zone: no request, no report, no order."""

    name = "evacuation"

    def __init__(self, evacuated: EvacuatedZones) -> None:
        self._evacuated = evacuated

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether the replica's zone is in use."""
        return replica.zone not in self._evacuated

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Keep nothing."""
