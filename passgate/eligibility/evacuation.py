"""Zones that the operator evacuates, and the send rule that excludes their replicas.

The operator starts and ends evacuations by records on a topic of the log.  A view is the set of evacuated
zones after the records before some offset.  Of two views, the one with the higher offset replaces the
other; views are never merged.

>>> zones = EvacuatedZones(DecisionLog("d1", write=len))
>>> zones.apply_snapshot({"z1"}, next_offset=7)
>>> zones.adopt_newer_view(EvacuationView(offset=5), peer="h:1", age_s=0.1)
>>> "z1" in zones, zones.view.offset
(True, 7)
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from passgate.decisions import DecisionLog, EvacuationEnded, ZoneEvacuated
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendContext

SOURCE_LOG, SOURCE_PEER = "log", "peer"
"""Values of `source` in decision lines: the operator's topic, or another daemon."""


class EvacuationView(msgspec.Struct, frozen=True, kw_only=True):
    """The evacuated zones as of an offset of the operator's topic."""

    offset: int
    """Offset of the next record to read; 0 before the first read."""
    zones: frozenset[str] = frozenset()


class EvacuationChange(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the operator's topic that starts or ends the evacuation of a zone."""

    offset: int
    zone: str
    evacuated: bool


class _ViewSource(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of a view."""

    name: str
    """`SOURCE_LOG` or `SOURCE_PEER`."""
    peer: str = ""
    """Address of the daemon that sent the view; empty for a view from the log."""
    age_s: float = 0.0
    """Age of the view when it was received; 0 for a view from the log."""


class EvacuatedZones:
    """The evacuated zones known to this daemon; writes a decision line for each zone that changes."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self._view = EvacuationView(offset=0)
        self.on_evacuation_ended: list[Callable[[str], None]] = []
        """Callbacks that get each zone whose evacuation has ended; the zone's replicas may be cold then."""

    @property
    def view(self) -> EvacuationView:
        """The newest known view, which is also sent to other daemons."""
        return self._view

    def __contains__(self, zone: object) -> bool:
        """Whether a zone is evacuated."""
        return zone in self._view.zones

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._view.zones)

    def apply_snapshot(self, zones: Iterable[str], next_offset: int) -> None:
        """Replace the view by a snapshot of the operator's topic, unless a newer view is known.

        An evacuation that the snapshot lacks has ended.
        """
        if next_offset >= self._view.offset:
            self._set_view(
                EvacuationView(offset=next_offset, zones=frozenset(zones)), _ViewSource(name=SOURCE_LOG)
            )

    def apply_changes(self, changes: Iterable[EvacuationChange], next_offset: int) -> None:
        """Apply records of the operator's topic, except those before the offset of the view.

        ``next_offset`` is the offset after the last of the records.
        """
        zones = set(self._view.zones)
        for change in changes:
            if change.offset < self._view.offset:
                continue
            if change.evacuated:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        offset = max(next_offset, self._view.offset)
        self._set_view(EvacuationView(offset=offset, zones=frozenset(zones)), _ViewSource(name=SOURCE_LOG))

    def adopt_newer_view(self, view: EvacuationView, *, peer: str, age_s: float) -> None:
        """Replace the view by that of another daemon, unless the other view is as old or older.

        Args:
            view: the other daemon's view.
            peer: address of that daemon.
            age_s: age of the other daemon's view, written to decision lines only.
        """
        if view.offset > self._view.offset:
            self._set_view(view, _ViewSource(name=SOURCE_PEER, peer=peer, age_s=age_s))

    def _set_view(self, view: EvacuationView, source: _ViewSource) -> None:
        before, self._view = self._view.zones, view
        for zone in sorted(view.zones - before):
            self._write_decision(ZoneEvacuated, zone, source)
        for zone in sorted(before - view.zones):
            self._write_decision(EvacuationEnded, zone, source)
            for callback in self.on_evacuation_ended:
                callback(zone)

    def _write_decision(
        self, event: type[ZoneEvacuated] | type[EvacuationEnded], zone: str, source: _ViewSource
    ) -> None:
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
    """Forbids requests and control messages to replicas in evacuated zones."""

    name = "evacuation"

    def __init__(self, evacuated_zones: EvacuatedZones) -> None:
        self._evacuated_zones = evacuated_zones

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether the replica's zone is not evacuated."""
        return replica.zone not in self._evacuated_zones

    def record_send(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> None:
        """Do nothing; the rule counts no sends."""
