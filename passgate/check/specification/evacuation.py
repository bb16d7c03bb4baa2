"""Specification of how daemons learn which zones are evacuated; see :mod:`passgate.eligibility.evacuation`.

The operator starts and ends evacuations by records on a log.  Two daemons each read the log and receive each
other's views; a daemon that is cut off from the log has only those.  A snapshot may be older than what a
daemon knows, and a received view may be applied at any later time.

Invariants:

- ``monotonic``: no daemon replaces its view by an older one;
- ``view_matches_log``: the view of a daemon as of an offset holds what the records before it say.

Liveness: from every state, all daemons can reach one in which they know all records.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.decisions import DecisionLog
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationChange, EvacuationView

DAEMON_COUNT = 2
ZONES = ("a", "b")
MAX_RECORDS = 3

ZoneNames = tuple[str, ...]
"""Names of evacuated zones, sorted."""


class EvacuationRecord(NamedTuple):
    """Record by which the operator starts or ends the evacuation of a zone."""

    zone: str
    evacuated: bool


class ZoneView(NamedTuple):
    """The evacuated zones as of an offset of the log."""

    offset: int = 0
    zones: ZoneNames = ()


class Daemon(NamedTuple):
    """What one daemon knows."""

    next_offset: int = 0
    """Offset of the record that it reads next."""
    view: ZoneView = ZoneView()
    received_view: ZoneView | None = None
    """View of the other daemon that it has received and not applied yet."""
    view_reverted: bool = False
    """Whether a view was replaced by an older one."""


class EvacuationModelState(NamedTuple):
    """State of the model: the operator's log and what the daemons know."""

    log: tuple[EvacuationRecord, ...] = ()
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMON_COUNT


class _ZonesMergingPeerViews(EvacuatedZones):
    """Mutant: another daemon's view is merged into the own one instead of replacing it."""

    def adopt_newer_view(self, view: EvacuationView, *, peer: str, age_s: float) -> None:
        offset = max(view.offset, self.view.offset)
        super().adopt_newer_view(
            EvacuationView(offset=offset, zones=view.zones | self.view.zones), peer=peer, age_s=age_s
        )


class _ZonesAdoptingAnyPeerView(EvacuatedZones):
    """Mutant: another daemon's view replaces the own one also when it is older."""

    def adopt_newer_view(self, view: EvacuationView, *, peer: str, age_s: float) -> None:
        self._view = view


class _ZonesApplyingAnySnapshot(EvacuatedZones):
    """Mutant: a snapshot replaces the view also when it is older."""

    def apply_snapshot(self, zones: Iterable[str], next_offset: int) -> None:
        self._view = EvacuationView(offset=next_offset, zones=frozenset(zones))


class _ZonesKeepingEvacuations(EvacuatedZones):
    """Mutant: a snapshot ends no evacuation."""

    def apply_snapshot(self, zones: Iterable[str], next_offset: int) -> None:
        super().apply_snapshot({*zones, *self.view.zones}, next_offset)


class _ZonesReplayingRecords(EvacuatedZones):
    """Mutant: records that the view already contains are applied again."""

    def apply_changes(self, changes: Iterable[EvacuationChange], next_offset: int) -> None:
        reapplied = (
            EvacuationChange(offset=self.view.offset, zone=change.zone, evacuated=change.evacuated)
            for change in changes
        )
        super().apply_changes(reapplied, next_offset)


_ZONES_TYPE_BY_MUTANT: dict[str, type[EvacuatedZones]] = {
    "merge_peers_view": _ZonesMergingPeerViews,
    "adopt_older_peer_view": _ZonesAdoptingAnyPeerView,
    "apply_older_snapshot": _ZonesApplyingAnySnapshot,
    "keep_despite_snapshot": _ZonesKeepingEvacuations,
    "replay_known_records": _ZonesReplayingRecords,
}


class _Model:
    """Transitions and invariants, with a mutant applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self._zones_type = next((_ZONES_TYPE_BY_MUTANT[name] for name in mutants), EvacuatedZones)
        self._decisions = DecisionLog("d", write=len)

    def transitions(self, state: EvacuationModelState) -> list[Action]:
        actions: list[Action] = []
        if len(state.log) < MAX_RECORDS:
            evacuated_zones = _evacuated_zones(state.log)
            for record in (EvacuationRecord(zone, evacuated=zone not in evacuated_zones) for zone in ZONES):
                actions.append((f"write({record})", state._replace(log=(*state.log, record))))
        for index in range(DAEMON_COUNT):
            actions += self._daemon_actions(state, index)
        return actions

    def _daemon_actions(self, state: EvacuationModelState, index: int) -> list[Action]:
        daemon = state.daemons[index]
        actions: list[Action] = []
        if daemon.next_offset < len(state.log):
            actions.append((f"read({index})", _with_daemon(state, index, self._read_next(state, daemon))))
        for snapshot_end in range(len(state.log) + 1):
            after_snapshot = self._apply_snapshot(state, daemon, snapshot_end)
            actions.append((f"snapshot({index}, {snapshot_end})", _with_daemon(state, index, after_snapshot)))
        if daemon.received_view is not None:
            actions.append(
                (
                    f"adopt({index})",
                    _with_daemon(state, index, self._adopt_received_view(daemon, daemon.received_view)),
                )
            )
        else:
            other_daemon = state.daemons[1 - index]
            actions.append(
                (
                    f"receive({index})",
                    _with_daemon(state, index, daemon._replace(received_view=other_daemon.view)),
                )
            )
        return actions

    def _read_next(self, state: EvacuationModelState, daemon: Daemon) -> Daemon:
        zones, record = self._make_zones(daemon), state.log[daemon.next_offset]
        change = EvacuationChange(offset=daemon.next_offset, zone=record.zone, evacuated=record.evacuated)
        zones.apply_changes([change], daemon.next_offset + 1)
        return _with_view_of(daemon._replace(next_offset=daemon.next_offset + 1), zones)

    def _apply_snapshot(self, state: EvacuationModelState, daemon: Daemon, snapshot_end: int) -> Daemon:
        zones = self._make_zones(daemon)
        zones.apply_snapshot(_evacuated_zones(state.log[:snapshot_end]), snapshot_end)
        return _with_view_of(daemon._replace(next_offset=snapshot_end), zones)

    def _adopt_received_view(self, daemon: Daemon, received_view: ZoneView) -> Daemon:
        zones = self._make_zones(daemon)
        zones.adopt_newer_view(
            EvacuationView(offset=received_view.offset, zones=frozenset(received_view.zones)),
            peer="h:1",
            age_s=0.0,
        )
        return _with_view_of(daemon._replace(received_view=None), zones)

    def _make_zones(self, daemon: Daemon) -> EvacuatedZones:
        """Return an instance of the running code's class that holds a daemon's view."""
        zones = self._zones_type(self._decisions)
        EvacuatedZones.apply_snapshot(zones, daemon.view.zones, daemon.view.offset)
        return zones

    def invariants(self) -> dict:
        return {
            "monotonic": lambda fields: not any(daemon.view_reverted for daemon in fields["daemons"]),
            "view_matches_log": lambda fields: all(
                daemon.view.zones == _evacuated_zones(fields["log"][: daemon.view.offset])
                for daemon in fields["daemons"]
            ),
        }


def _evacuated_zones(log: tuple[EvacuationRecord, ...]) -> ZoneNames:
    """Return the zones that are evacuated after the given records."""
    evacuated_by_zone = dict(log)
    return tuple(sorted(zone for zone, evacuated in evacuated_by_zone.items() if evacuated))


def _with_view_of(daemon: Daemon, zones: EvacuatedZones) -> Daemon:
    """Return the daemon with the view that the running code holds now."""
    view = ZoneView(offset=zones.view.offset, zones=tuple(sorted(zones.view.zones)))
    return daemon._replace(view=view, view_reverted=daemon.view_reverted or view.offset < daemon.view.offset)


def _with_daemon(state: EvacuationModelState, index: int, daemon: Daemon) -> EvacuationModelState:
    daemons = tuple(daemon if i == index else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutant applied."""
    model = _Model(mutants)
    return Protocol(
        name="evacuation",
        candidate=False,
        fields=EvacuationModelState._fields,
        initial=EvacuationModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: all(daemon.view.offset == MAX_RECORDS for daemon in fields["daemons"]),
    )


EVACUATION = Specification(
    name="evacuation",
    bounds="2 daemons, 2 zones, 3 records, any snapshot behind the log, 1 late view at each daemon",
    build=build,
    mutants=(
        Mutant(
            name="merge_peers_view",
            mistake="another daemon's view is merged into the own one",
            caught_by="view_matches_log",
        ),
        Mutant(
            name="adopt_older_peer_view",
            mistake="an older view of another daemon replaces the own one",
            caught_by="monotonic",
        ),
        Mutant(
            name="apply_older_snapshot",
            mistake="a snapshot replaces a newer view",
            caught_by="monotonic",
        ),
        Mutant(
            name="keep_despite_snapshot",
            mistake="a snapshot ends no evacuation",
            caught_by="view_matches_log",
        ),
        Mutant(
            name="replay_known_records",
            mistake="records that the view already contains are applied again",
            caught_by="view_matches_log",
        ),
    ),
)
