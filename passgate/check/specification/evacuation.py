"""Specification of how daemons learn which zones are evacuated, on the running code's view.

The operator begins and ends evacuations; two daemons each follow the log and tell each other what
they know.  A snapshot may be behind the log and what was read of it, and an answer of the other daemon
may be read at any later time, when newer records are known already; a daemon that the log turns
away lives on what the other one tells.

Properties: ``monotonic`` (no daemon takes an older view over a newer one) and ``true_view`` (what a
daemon knows as of an offset is what the operator's records up to that offset say).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.decisions import DecisionLog
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationChange, EvacuationView

DAEMONS = 2
ZONES = ("a", "b")
MAX_RECORDS = 3

Zones = tuple[str, ...]
"""Evacuated zones, sorted."""


class Entry(NamedTuple):
    """One record of the operator."""

    zone: str
    evacuated: bool


class View(NamedTuple):
    """Evacuated zones as of an offset."""

    offset: int = 0
    zones: Zones = ()


class Daemon(NamedTuple):
    """One daemon."""

    tail: int = 0
    """Offset up to which it has read the log itself."""
    view: View = View()
    told: View | None = None
    """What the other daemon told, not yet read."""
    went_back: bool = False


class EvacuationModelState(NamedTuple):
    """State of the specification."""

    log: tuple[Entry, ...] = ()
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS


class _MergingZones(EvacuatedZones):
    """Mutant: what another daemon tells is added instead of taken as a whole."""

    def adopt_newer_view(self, view: EvacuationView, *, peer: str, age_s: float) -> None:
        offset = max(view.offset, self.view.offset)
        super().adopt_newer_view(
            EvacuationView(offset=offset, zones=view.zones | self.view.zones), peer=peer, age_s=age_s
        )


class _AnyPeerZones(EvacuatedZones):
    """Mutant: a view of another daemon counts also when it is older."""

    def adopt_newer_view(self, view: EvacuationView, *, peer: str, age_s: float) -> None:
        self._view = view


class _AnySnapshotZones(EvacuatedZones):
    """Mutant: a snapshot counts also when it is older than what a daemon has told."""

    def apply_snapshot(self, zones: Iterable[str], next_offset: int) -> None:
        self._view = EvacuationView(offset=next_offset, zones=frozenset(zones))


class _KeepingZones(EvacuatedZones):
    """Mutant: a snapshot that lacks a record ends nothing."""

    def apply_snapshot(self, zones: Iterable[str], next_offset: int) -> None:
        super().apply_snapshot({*zones, *self.view.zones}, next_offset)


class _ReplayingZones(EvacuatedZones):
    """Mutant: records that a newer view already contains are applied once more."""

    def apply_changes(self, changes: Iterable[EvacuationChange], next_offset: int) -> None:
        later = (
            EvacuationChange(offset=self.view.offset, zone=change.zone, evacuated=change.evacuated)
            for change in changes
        )
        super().apply_changes(later, next_offset)


_MUTANT_TYPES: dict[str, type[EvacuatedZones]] = {
    "merge_peers_view": _MergingZones,
    "take_older_peer": _AnyPeerZones,
    "take_older_snapshot": _AnySnapshotZones,
    "keep_over_snapshot": _KeepingZones,
    "replay_known_records": _ReplayingZones,
}


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self._zones_type = next((_MUTANT_TYPES[name] for name in mutants), EvacuatedZones)
        self._decisions = DecisionLog("d", write=len)

    def transitions(self, state: EvacuationModelState) -> list[Step]:
        steps: list[Step] = []
        if len(state.log) < MAX_RECORDS:
            standing = _standing(state.log)
            for entry in (Entry(zone, evacuated=zone not in standing) for zone in ZONES):
                steps.append((f"write({entry})", state._replace(log=(*state.log, entry))))
        for number in range(DAEMONS):
            steps += self._steps_of(state, number)
        return steps

    def _steps_of(self, state: EvacuationModelState, number: int) -> list[Step]:
        daemon = state.daemons[number]
        steps: list[Step] = []
        if daemon.tail < len(state.log):
            steps.append((f"read({number})", _with(state, number, self._read(state, daemon))))
        for end in range(len(state.log) + 1):
            taken = self._with_snapshot(state, daemon, end)
            steps.append((f"snapshot({number}, {end})", _with(state, number, taken)))
        if daemon.told is not None:
            steps.append((f"learn({number})", _with(state, number, self._learned(daemon, daemon.told))))
        else:
            other = state.daemons[1 - number]
            steps.append((f"tell({number})", _with(state, number, daemon._replace(told=other.view))))
        return steps

    def _read(self, state: EvacuationModelState, daemon: Daemon) -> Daemon:
        zones, entry = self._zones(daemon), state.log[daemon.tail]
        change = EvacuationChange(offset=daemon.tail, zone=entry.zone, evacuated=entry.evacuated)
        zones.apply_changes([change], daemon.tail + 1)
        return _moved(daemon._replace(tail=daemon.tail + 1), zones)

    def _with_snapshot(self, state: EvacuationModelState, daemon: Daemon, end: int) -> Daemon:
        zones = self._zones(daemon)
        zones.apply_snapshot(_standing(state.log[:end]), end)
        return _moved(daemon._replace(tail=end), zones)

    def _learned(self, daemon: Daemon, told: View) -> Daemon:
        zones = self._zones(daemon)
        zones.adopt_newer_view(
            EvacuationView(offset=told.offset, zones=frozenset(told.zones)), peer="h:1", age_s=0.0
        )
        return _moved(daemon._replace(told=None), zones)

    def _zones(self, daemon: Daemon) -> EvacuatedZones:
        """Return the running code's view of a daemon, which knows what this one knows."""
        zones = self._zones_type(self._decisions)
        EvacuatedZones.apply_snapshot(zones, daemon.view.zones, daemon.view.offset)
        return zones

    def invariants(self) -> dict:
        return {
            "monotonic": lambda d: not any(daemon.went_back for daemon in d["daemons"]),
            "true_view": lambda d: all(
                daemon.view.zones == _standing(d["log"][: daemon.view.offset]) for daemon in d["daemons"]
            ),
        }


def _standing(log: tuple[Entry, ...]) -> Zones:
    """Return the zones that are evacuated after some records."""
    last = dict(log)
    return tuple(sorted(zone for zone, evacuated in last.items() if evacuated))


def _moved(daemon: Daemon, zones: EvacuatedZones) -> Daemon:
    view = View(offset=zones.view.offset, zones=tuple(sorted(zones.view.zones)))
    return daemon._replace(view=view, went_back=daemon.went_back or view.offset < daemon.view.offset)


def _with(state: EvacuationModelState, number: int, daemon: Daemon) -> EvacuationModelState:
    daemons = tuple(daemon if i == number else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="evacuation",
        candidate=False,
        fields=EvacuationModelState._fields,
        initial=EvacuationModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: all(daemon.view.offset == MAX_RECORDS for daemon in d["daemons"]),
    )


EVACUATION = Specification(
    name="evacuation",
    bounds="2 daemons, 2 zones, 3 records, any snapshot behind the log, 1 late answer at each daemon",
    build=build,
    mutants=(
        Mutant(
            name="merge_peers_view",
            mistake="zones that another daemon tells are added to the own ones",
            caught_by="true_view",
        ),
        Mutant(
            name="take_older_peer",
            mistake="a view of another daemon counts also when it is older",
            caught_by="monotonic",
        ),
        Mutant(
            name="take_older_snapshot",
            mistake="a snapshot counts also when a newer view was learned meanwhile",
            caught_by="monotonic",
        ),
        Mutant(
            name="keep_over_snapshot",
            mistake="a snapshot that lacks a record ends no evacuation",
            caught_by="true_view",
        ),
        Mutant(
            name="replay_known_records",
            mistake="records that a learned view contains are applied to it again",
            caught_by="true_view",
        ),
    ),
)
