"""Specification of the lead on the control topic, on the running code's fold.

Two daemons renew and claim; each append is on its way for any time before it reaches
the log, and each daemon reads at its own pace.  Time is counted in ticks: a leader may
order for ``ORDER_TICKS`` after it sent a record that it has read back within its lead,
another claims after ``TAKEOVER_TICKS`` of silence as it has read.

Properties: ``one_orderer`` (no two daemons may order at the same time),
``fences_rise`` (each leader's fence is higher than the one before).
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.jobs.records import Batch, LeaderClaimed, WriterAlive
from passgate.versions.leadership_projection import LeadershipProjection

DAEMONS = 2
MAX_TICKS = 4
MAX_RECORDS = 3
ORDER_TICKS = 1
TAKEOVER_TICKS = 2
NEVER = -9


class Entry(NamedTuple):
    """One record, on its way or on the log."""

    writer: int
    claim: bool
    after: int = -1
    seen: int = -1
    sent: int = 0


class Daemon(NamedTuple):
    """What one daemon knows."""

    applied: int = 0
    heard: int = 0
    """Tick at which it read the leader's last record."""
    pending: Entry | None = None
    confirmed: int = NEVER
    """Tick at which its last record was sent that it has read back within its lead."""


class LeadModelState(NamedTuple):
    """State of the specification; at first one daemon leads and all know it."""

    now: int = 0
    log: tuple[Entry, ...] = (Entry(writer=0, claim=True),)
    daemons: tuple[Daemon, ...] = (Daemon(applied=1, confirmed=0), Daemon(applied=1))


class _ForgetfulFold(LeadershipProjection):
    """Mutant: a claim counts although the leader was heard since."""

    def _claim(self, offset: int, entry: LeaderClaimed) -> None:
        self.last_leader_offset = entry.seen
        super()._claim(offset, entry)


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self._fold_type = _ForgetfulFold if "ignore_renewals" in mutants else LeadershipProjection
        self.fold = functools.cache(self._fold)

    def _fold(self, log: tuple[Entry, ...]) -> LeadershipProjection:
        fold = self._fold_type()
        for offset, entry in enumerate(log):
            holder = f"d{entry.writer}"
            body = (
                LeaderClaimed(leader=holder, after=entry.after, seen=entry.seen)
                if entry.claim
                else WriterAlive()
            )
            fold.apply(offset, Batch(writer=holder, entries=(body,)), now_s=0.0)
        return fold

    def view(self, state: LeadModelState, daemon: Daemon) -> LeadershipProjection:
        return self.fold(state.log[: daemon.applied])

    def transitions(self, state: LeadModelState) -> list[Step]:
        steps: list[Step] = []
        if state.now < MAX_TICKS:
            steps.append(("tick", _aged(state._replace(now=state.now + 1))))
        for number, daemon in enumerate(state.daemons):
            steps += self._steps_of(state, number, daemon)
        return steps

    def _steps_of(self, state: LeadModelState, number: int, daemon: Daemon) -> list[Step]:
        steps: list[Step] = []
        if daemon.pending is not None:
            steps.append((f"arrive({number})", self._arrive(state, number, daemon)))
        if daemon.applied < len(state.log):
            steps.append((f"read({number})", self._read(state, number, daemon)))
        if daemon.pending is None and len(state.log) < MAX_RECORDS:
            entry = self._next_entry(state, number, daemon)
            if entry is not None:
                label = "claim" if entry.claim else "renew"
                sent = daemon._replace(pending=entry)
                steps.append((f"{label}({number})", _with(state, number, sent)))
        return steps

    def _arrive(self, state: LeadModelState, number: int, daemon: Daemon) -> LeadModelState:
        assert daemon.pending is not None
        log = (*state.log, daemon.pending) if len(state.log) < MAX_RECORDS else state.log
        confirmed = daemon.confirmed
        leads = self.view(state, daemon).leader == f"d{number}"
        if "trust_acknowledgement" in self.mutants and leads:
            confirmed = state.now
        arrived = daemon._replace(pending=None, confirmed=confirmed)
        return _with(state._replace(log=log), number, arrived)

    def _read(self, state: LeadModelState, number: int, daemon: Daemon) -> LeadModelState:
        entry = state.log[daemon.applied]
        daemon = daemon._replace(applied=daemon.applied + 1)
        fold = self.view(state, daemon)
        if fold.leader == f"d{entry.writer}":
            daemon = daemon._replace(heard=state.now)
        if entry.writer == number and fold.leader == f"d{number}":
            daemon = daemon._replace(confirmed=max(daemon.confirmed, entry.sent))
        return _with(state, number, daemon)

    def _next_entry(self, state: LeadModelState, number: int, daemon: Daemon) -> Entry | None:
        fold = self.view(state, daemon)
        if fold.leader == f"d{number}":
            return Entry(writer=number, claim=False, sent=state.now)
        if fold.leader and state.now - daemon.heard < TAKEOVER_TICKS:
            return None
        return Entry(
            writer=number, claim=True, after=fold.leader_fence, seen=fold.last_leader_offset, sent=state.now
        )

    def may_order(self, state: LeadModelState, number: int) -> bool:
        daemon = state.daemons[number]
        leads = self.view(state, daemon).leader == f"d{number}"
        return leads and state.now - daemon.confirmed <= ORDER_TICKS

    def invariants(self) -> dict:
        return {"one_orderer": self._one_orderer, "fences_rise": self._fences_rise}

    def _one_orderer(self, d: dict) -> bool:
        state = LeadModelState(d["now"], d["log"], d["daemons"])
        return sum(self.may_order(state, number) for number in range(DAEMONS)) <= 1

    def _fences_rise(self, d: dict) -> bool:
        fences = [self.fold(d["log"][:end]).leader_fence for end in range(len(d["log"]) + 1)]
        return fences == sorted(fences)


def _aged(state: LeadModelState) -> LeadModelState:
    """Forget what is too old to matter, so that equal states are seen to be equal."""
    daemons = tuple(
        daemon._replace(
            heard=max(daemon.heard, state.now - TAKEOVER_TICKS),
            confirmed=daemon.confirmed if state.now - daemon.confirmed <= ORDER_TICKS else NEVER,
        )
        for daemon in state.daemons
    )
    return state._replace(daemons=daemons)


def _with(state: LeadModelState, number: int, daemon: Daemon) -> LeadModelState:
    daemons = tuple(daemon if i == number else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="leadership",
        candidate=False,
        fields=LeadModelState._fields,
        initial=LeadModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: d["now"] == MAX_TICKS,
    )


LEADERSHIP = Specification(
    name="leadership",
    bounds="2 daemons, 3 records, 4 ticks, any append late, any daemon reads late",
    build=build,
    mutants=(
        Mutant(
            name="ignore_renewals",
            mistake="a claim counts although the leader was heard since",
            caught_by="one_orderer",
        ),
        Mutant(
            name="trust_acknowledgement",
            mistake="a leader orders because its append was acknowledged, not read back",
            caught_by="one_orderer",
        ),
    ),
)
