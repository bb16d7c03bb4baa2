"""Specification of leadership by lease; see :mod:`passgate.versions.leadership`.

Two daemons renew and claim leadership by records on the control topic.  An append reaches the log at any
later time, and each daemon reads the log at its own pace.  Time is counted in ticks.  A leader may send
orders for ``ORDER_PERIOD_TICKS`` after it sent a record that it has read back as leader.  Another daemon
claims leadership once it has read no record of the leader for ``TAKEOVER_TICKS``.

Invariants:

- ``single_active_leader``: no two daemons may send orders at the same time;
- ``fences_never_decrease``: the leader's fence never decreases along the log.

Liveness: from every state, the last tick can be reached.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.jobs.records import Batch, LeaderClaimed, WriterAlive
from passgate.versions.leadership_projection import LeadershipProjection

DAEMON_COUNT = 2
MAX_TICKS = 4
MAX_RECORDS = 3
"""Most records on the log."""
ORDER_PERIOD_TICKS = 1
"""Time for which a leader may send orders after the sending of a confirmed record."""
TAKEOVER_TICKS = 2
"""Silence of the leader after which another daemon claims leadership."""
NEVER = -9
"""Tick that is before every other by more than ORDER_PERIOD_TICKS."""


class ModelRecord(NamedTuple):
    """One record of the control topic: a claim or a renewal, in flight or on the log."""

    writer: int
    """Index of the daemon that wrote it."""
    is_claim: bool
    after: int = -1
    """Offset of the last accepted claim that the claimer has read; -1 in a renewal."""
    seen: int = -1
    """Offset of the leader's last record that the claimer has read; -1 in a renewal."""
    sent_tick: int = 0


class Daemon(NamedTuple):
    """What one daemon knows."""

    applied_count: int = 0
    """Number of records of the log that were read."""
    last_contact_tick: int = 0
    """Tick at which it read the last record of the leader."""
    in_flight: ModelRecord | None = None
    """Record that it has sent and that has not reached the log."""
    confirmed_tick: int = NEVER
    """Tick at which its last record was sent that it has read back as leader."""


class LeadershipModelState(NamedTuple):
    """State of the model; initially daemon 0 is the leader and both daemons know it."""

    now: int = 0
    """The current tick."""
    log: tuple[ModelRecord, ...] = (ModelRecord(writer=0, is_claim=True),)
    daemons: tuple[Daemon, ...] = (Daemon(applied_count=1, confirmed_tick=0), Daemon(applied_count=1))


class _ProjectionIgnoringRenewals(LeadershipProjection):
    """Mutant: a claim is accepted although the leader has renewed its lease since."""

    def _claim(self, offset: int, entry: LeaderClaimed, now_s: float) -> None:
        self.last_leader_offset = entry.seen
        super()._claim(offset, entry, now_s)


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self._projection_type = (
            _ProjectionIgnoringRenewals if "ignore_renewals" in mutants else LeadershipProjection
        )
        self.replay = functools.cache(self._replay)

    def _replay(self, log: tuple[ModelRecord, ...]) -> LeadershipProjection:
        projection = self._projection_type()
        for offset, record in enumerate(log):
            writer = f"d{record.writer}"
            body = (
                LeaderClaimed(leader=writer, after=record.after, seen=record.seen)
                if record.is_claim
                else WriterAlive()
            )
            projection.apply(offset, Batch(writer=writer, entries=(body,)), now_s=0.0)
        return projection

    def projection_of(self, state: LeadershipModelState, daemon: Daemon) -> LeadershipProjection:
        return self.replay(state.log[: daemon.applied_count])

    def transitions(self, state: LeadershipModelState) -> list[Action]:
        actions: list[Action] = []
        if state.now < MAX_TICKS:
            actions.append(("tick", _forget_old_ticks(state._replace(now=state.now + 1))))
        for index, daemon in enumerate(state.daemons):
            actions += self._daemon_actions(state, index, daemon)
        return actions

    def _daemon_actions(self, state: LeadershipModelState, index: int, daemon: Daemon) -> list[Action]:
        actions: list[Action] = []
        if daemon.in_flight is not None:
            actions.append((f"arrive({index})", self._append_in_flight(state, index, daemon)))
        if daemon.applied_count < len(state.log):
            actions.append((f"read({index})", self._read_next(state, index, daemon)))
        if daemon.in_flight is None and len(state.log) < MAX_RECORDS:
            record = self._next_record(state, index, daemon)
            if record is not None:
                label = "claim" if record.is_claim else "renew"
                next_daemon = daemon._replace(in_flight=record)
                actions.append((f"{label}({index})", _with_daemon(state, index, next_daemon)))
        return actions

    def _append_in_flight(
        self, state: LeadershipModelState, index: int, daemon: Daemon
    ) -> LeadershipModelState:
        """Append the record in flight; a full log drops it."""
        assert daemon.in_flight is not None
        log = (*state.log, daemon.in_flight) if len(state.log) < MAX_RECORDS else state.log
        confirmed_tick = daemon.confirmed_tick
        leads = self.projection_of(state, daemon).leader == f"d{index}"
        if "trust_acknowledgement" in self.mutants and leads:
            confirmed_tick = state.now
        next_daemon = daemon._replace(in_flight=None, confirmed_tick=confirmed_tick)
        return _with_daemon(state._replace(log=log), index, next_daemon)

    def _read_next(self, state: LeadershipModelState, index: int, daemon: Daemon) -> LeadershipModelState:
        record = state.log[daemon.applied_count]
        daemon = daemon._replace(applied_count=daemon.applied_count + 1)
        projection = self.projection_of(state, daemon)
        if projection.leader == f"d{record.writer}":
            daemon = daemon._replace(last_contact_tick=state.now)
        if record.writer == index and projection.leader == f"d{index}":
            daemon = daemon._replace(confirmed_tick=max(daemon.confirmed_tick, record.sent_tick))
        return _with_daemon(state, index, daemon)

    def _next_record(self, state: LeadershipModelState, index: int, daemon: Daemon) -> ModelRecord | None:
        projection = self.projection_of(state, daemon)
        if projection.leader == f"d{index}":
            return ModelRecord(writer=index, is_claim=False, sent_tick=state.now)
        if projection.leader and state.now - daemon.last_contact_tick < TAKEOVER_TICKS:
            return None
        return ModelRecord(
            writer=index,
            is_claim=True,
            after=projection.leader_fence,
            seen=projection.last_leader_offset,
            sent_tick=state.now,
        )

    def may_order(self, state: LeadershipModelState, index: int) -> bool:
        """Whether a daemon may send orders now, like ``Leadership.may_order``."""
        daemon = state.daemons[index]
        leads = self.projection_of(state, daemon).leader == f"d{index}"
        return leads and state.now - daemon.confirmed_tick <= ORDER_PERIOD_TICKS

    def invariants(self) -> dict:
        return {
            "single_active_leader": self._single_active_leader,
            "fences_never_decrease": self._fences_never_decrease,
        }

    def _single_active_leader(self, fields: dict) -> bool:
        state = LeadershipModelState(fields["now"], fields["log"], fields["daemons"])
        return sum(self.may_order(state, index) for index in range(DAEMON_COUNT)) <= 1

    def _fences_never_decrease(self, fields: dict) -> bool:
        fences = [self.replay(fields["log"][:end]).leader_fence for end in range(len(fields["log"]) + 1)]
        return fences == sorted(fences)


def _forget_old_ticks(state: LeadershipModelState) -> LeadershipModelState:
    """Replace ticks whose exact value no longer matters, to reduce the number of states."""
    daemons = tuple(
        daemon._replace(
            last_contact_tick=max(daemon.last_contact_tick, state.now - TAKEOVER_TICKS),
            confirmed_tick=daemon.confirmed_tick
            if state.now - daemon.confirmed_tick <= ORDER_PERIOD_TICKS
            else NEVER,
        )
        for daemon in state.daemons
    )
    return state._replace(daemons=daemons)


def _with_daemon(state: LeadershipModelState, index: int, daemon: Daemon) -> LeadershipModelState:
    daemons = tuple(daemon if i == index else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="leadership",
        candidate=False,
        fields=LeadershipModelState._fields,
        initial=LeadershipModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: fields["now"] == MAX_TICKS,
    )


LEADERSHIP = Specification(
    name="leadership",
    bounds="2 daemons, 3 records, 4 ticks, any append late, any daemon reads late",
    build=build,
    mutants=(
        Mutant(
            name="ignore_renewals",
            mistake="a claim is accepted although the leader has renewed its lease since",
            caught_by="single_active_leader",
        ),
        Mutant(
            name="trust_acknowledgement",
            mistake="a leader extends its order period when an append is acknowledged, not read back",
            caught_by="single_active_leader",
        ),
    ),
)
