"""Specification of configuration adoption, on the running code's fold.

Two daemons follow the configuration stream and two operators race for one
object, one with the revision that it read and one without a condition.  Appends
are late, lost and repeated; an operator may give up; daemons restart from any
snapshot and read replicas that are behind.  A restarted daemon serves only after
a record of its own came back to it, which no replica that is behind can show.

Properties: ``monotonic`` (what a daemon serves never goes back, also not over a
restart), ``acknowledged_on_log`` (an acknowledged change is on the log and
accepted there), ``accepted_once`` (a change takes effect once), ``no_lost_update``
(a conditional change replaces only what its operator read), ``true_conflict`` (a
refusal names the revision that stands), ``withdrawn_is_void`` (an abandoned change
takes no effect after its withdrawal) and ``snapshot_equals_replay``.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.check.specification.shared_log import SharedLog, Transport, View, arrivals, send
from passgate.errors import RevisionConflict
from passgate.records import ObjectPut, ProposalWithdrawn, Record
from passgate.state.configuration_state import ConfigurationState
from passgate.state.projection import Accepted, Rejected
from passgate.state.specs import PriorityClassSpec

OPERATORS = 2
"""Operator and daemon share their number: each operator talks to one daemon."""
COPIES = (2, 1)
"""How often the change of each operator stands on the log at most."""
RESTARTS = 1

KIND, NAME = "PriorityClass", "line"
_SPEC_JSON = msgspec.Raw(msgspec.json.encode(PriorityClassSpec()))

IDLE, SENT, ABANDONED, LOST, ACCEPTED, REFUSED = "idle", "sent", "abandoned", "lost", "accepted", "refused"


class Change(NamedTuple):
    """One operator's change."""

    phase: str = IDLE
    record: int = -1
    withdrawal: int = -1
    revision: int = 0
    """Acknowledged revision, or the one that it lost to."""


class Daemon(NamedTuple):
    """One reader of the stream."""

    serving: bool = True
    applied: int = 0
    served: int = 0
    """Highest revision that this daemon ever served with."""
    reverted: bool = False
    barrier: int = -1
    """Own record that must be applied before a restarted daemon serves."""


class ConfigurationModelState(NamedTuple):
    """State of the specification."""

    transport: Transport = Transport()
    changes: tuple[Change, ...] = (Change(),) * OPERATORS
    daemons: tuple[Daemon, ...] = (Daemon(),) * OPERATORS
    restarts_left: int = RESTARTS


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self.log = SharedLog(ConfigurationState, skip_dedupe="skip_dedupe" in mutants)
        self.snapshot_verdicts: dict[tuple[int, ...], bool] = {}

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: ConfigurationModelState) -> list[Step]:
        steps: list[Step] = []
        for label, transport in arrivals(state.transport, self._copies):
            steps.append((label, state._replace(transport=transport)))
        for number in range(OPERATORS):
            steps += self._operator_steps(state, number)
            steps += self._daemon_steps(state, number)
        return steps

    def _operator_steps(self, state: ConfigurationModelState, number: int) -> list[Step]:
        change = state.changes[number]
        if change.phase == IDLE and state.daemons[number].serving:
            record = self.log.number(self._put(state, number))
            sent = Change(phase=SENT, record=record)
            return [(f"propose({number})", self._sent(state, number, sent, record))]
        steps: list[Step] = []
        if change.phase == SENT and number == 0:
            steps.append((f"give_up({number})", self._given_up(state, number)))
        if change.phase == SENT and "acknowledge_on_send" in self.mutants:
            accepted = change._replace(phase=ACCEPTED, revision=len(state.transport.log) + 1)
            steps.append((f"acknowledge({number})", _with_change(state, number, accepted)))
        return steps

    def _copies(self, record: int) -> int:
        made = self.log.record(record)
        return COPIES[int(made.writer[1])] if isinstance(made.body, ObjectPut) else 1

    def _put(self, state: ConfigurationModelState, number: int) -> Record:
        view = self._view(state, state.daemons[number])
        current = view.fold.get(KIND, NAME)
        expected = (current.revision if current else 0) if number == 1 else None
        if "forget_expected" in self.mutants:
            expected = None
        body = ObjectPut(
            object_kind=KIND,
            name=NAME,
            expected_revision=expected,
            labels={"by": str(number)},
            spec=_SPEC_JSON,
        )
        return Record(writer=f"d{number}", sequence=1, epoch=0, body=body)

    def _given_up(self, state: ConfigurationModelState, number: int) -> ConfigurationModelState:
        change = state.changes[number]
        sequence = 0 if "withdraw_without_sequence" in self.mutants else 1
        record = Record(writer=f"d{number}", sequence=sequence, epoch=0, body=ProposalWithdrawn())
        withdrawal = self.log.number(record)
        abandoned = change._replace(phase=ABANDONED, withdrawal=withdrawal)
        return self._sent(state, number, abandoned, withdrawal)

    def _sent(
        self, state: ConfigurationModelState, number: int, change: Change, record: int
    ) -> ConfigurationModelState:
        state = state._replace(transport=send(state.transport, record))
        return _with_change(state, number, change)

    def _daemon_steps(self, state: ConfigurationModelState, number: int) -> list[Step]:
        daemon = state.daemons[number]
        steps: list[Step] = []
        if daemon.applied < len(state.transport.log):
            steps.append((f"read({number})", self._read(state, number)))
        if not daemon.serving and self._may_serve(state, daemon):
            steps.append((f"serve({number})", self._serving(state, number, daemon)))
        if state.restarts_left:
            for applied in range(len(state.transport.log) + 1):
                steps.append((f"restart({number}, {applied})", self._restarted(state, number, applied)))
        if daemon.serving and "adopt_old_snapshot" in self.mutants and daemon.applied:
            behind = daemon._replace(applied=daemon.applied - 1)
            steps.append((f"old_snapshot({number})", self._serving(state, number, behind)))
        return steps

    def _read(self, state: ConfigurationModelState, number: int) -> ConfigurationModelState:
        daemon = state.daemons[number]._replace(applied=state.daemons[number].applied + 1)
        state = _with_daemon(state, number, daemon)
        if daemon.serving:
            state = self._serving(state, number, daemon)
        change = state.changes[number]
        if change.phase == SENT and state.transport.log[daemon.applied - 1] == change.record:
            state = _with_change(state, number, self._decided(change, self._view(state, daemon)))
        return state

    def _decided(self, change: Change, view: View) -> Change:
        decision = view.decisions[-1]
        if isinstance(decision, Accepted):
            return change._replace(phase=ACCEPTED, revision=decision.value)
        if isinstance(decision.error, RevisionConflict):
            return change._replace(phase=REFUSED, revision=int(decision.error.details["revision"]))
        return change

    def _restarted(
        self, state: ConfigurationModelState, number: int, applied: int
    ) -> ConfigurationModelState:
        life = RESTARTS - state.restarts_left
        record = Record(writer=f"d{number}/{life}", sequence=1, epoch=0, body=ProposalWithdrawn())
        barrier = self.log.number(record)
        daemon = state.daemons[number]._replace(serving=False, applied=applied, barrier=barrier)
        change = state.changes[number]
        if change.phase in (SENT, ABANDONED):
            state = _with_change(state, number, change._replace(phase=LOST))
        transport = send(state.transport, barrier)
        return _with_daemon(
            state._replace(transport=transport, restarts_left=state.restarts_left - 1), number, daemon
        )

    def _may_serve(self, state: ConfigurationModelState, daemon: Daemon) -> bool:
        if "serve_at_replica_end" in self.mutants:
            return True
        if "serve_at_peers_revision" in self.mutants:
            in_force = max((peer.applied for peer in state.daemons if peer.serving), default=0)
            return daemon.applied >= in_force
        return daemon.barrier in state.transport.log[: daemon.applied]

    def _serving(
        self, state: ConfigurationModelState, number: int, daemon: Daemon
    ) -> ConfigurationModelState:
        revision = self._view(state, daemon).fold.revision
        serving = daemon._replace(
            serving=True,
            served=max(daemon.served, revision),
            reverted=daemon.reverted or revision < daemon.served,
            barrier=-1,
        )
        return _with_daemon(state, number, serving)

    def _view(self, state: ConfigurationModelState, daemon: Daemon) -> View:
        return self.log.view(state.transport.log[: daemon.applied])

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "monotonic": lambda d: not any(daemon.reverted for daemon in d["daemons"]),
            "acknowledged_on_log": self._acknowledged_on_log,
            "accepted_once": self._accepted_once,
            "no_lost_update": self._no_lost_update,
            "true_conflict": self._true_conflict,
            "withdrawn_is_void": self._withdrawn_is_void,
            "snapshot_equals_replay": self._snapshot_equals_replay,
        }

    def _acknowledged_on_log(self, d: dict) -> bool:
        log = d["transport"].log
        decisions = self.log.view(log).decisions
        for change in d["changes"]:
            if change.phase != ACCEPTED:
                continue
            offset = change.revision - 1
            if offset >= len(log) or log[offset] != change.record:
                return False
            if not isinstance(decisions[offset], Accepted):
                return False
        return True

    def _accepted_once(self, d: dict) -> bool:
        log = d["transport"].log
        decisions = self.log.view(log).decisions
        accepted = [n for n, decision in zip(log, decisions, strict=True) if isinstance(decision, Accepted)]
        return len(accepted) == len(set(accepted))

    def _no_lost_update(self, d: dict) -> bool:
        """The change of operator 1 replaces what its daemon had when it proposed."""
        log = d["transport"].log
        standing = 0
        for offset, decision in enumerate(self.log.view(log).decisions):
            body = self.log.record(log[offset]).body
            if not isinstance(body, ObjectPut) or isinstance(decision, Rejected):
                continue
            read = self._read_revision(log[offset])
            if read is not None and read != standing:
                return False
            standing = offset + 1
        return True

    def _read_revision(self, number: int) -> int | None:
        record = self.log.record(number)
        if record.writer != "d1":
            return None
        return record.body.expected_revision if record.body.expected_revision is not None else 0

    def _true_conflict(self, d: dict) -> bool:
        log = d["transport"].log
        for change in d["changes"]:
            if change.phase != REFUSED:
                continue
            expected = self.log.record(change.record).body.expected_revision
            if change.revision == expected:
                return False
            if change.revision and not self._is_accepted_put(log, change.revision - 1, change.record):
                return False
        return True

    def _is_accepted_put(self, log: tuple[int, ...], offset: int, own: int) -> bool:
        if offset >= len(log) or log[offset] == own:
            return False
        return isinstance(self.log.view(log).decisions[offset], Accepted)

    def _withdrawn_is_void(self, d: dict) -> bool:
        log = d["transport"].log
        for change in d["changes"]:
            if change.withdrawal not in log:
                continue
            decisions = self.log.view(log).decisions
            after = log.index(change.withdrawal)
            for offset in range(after + 1, len(log)):
                if log[offset] == change.record and isinstance(decisions[offset], Accepted):
                    return False
        return True

    def _snapshot_equals_replay(self, d: dict) -> bool:
        log = d["transport"].log
        whole = self.log.view(log).stream.projection.snapshot()
        if "skip_dedupe" in self.mutants:
            return True
        return all(
            self.log.replay(log, cut).stream.projection.snapshot() == whole for cut in range(1, len(log))
        )


def _with_change(state: ConfigurationModelState, number: int, change: Change) -> ConfigurationModelState:
    changes = tuple(change if i == number else old for i, old in enumerate(state.changes))
    return state._replace(changes=changes)


def _with_daemon(state: ConfigurationModelState, number: int, daemon: Daemon) -> ConfigurationModelState:
    daemons = tuple(daemon if i == number else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="configuration",
        candidate=False,
        fields=ConfigurationModelState._fields,
        initial=ConfigurationModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: all(
            daemon.serving and daemon.applied == len(d["transport"].log) for daemon in d["daemons"]
        ),
    )


CONFIGURATION = Specification(
    name="configuration",
    bounds="2 daemons, 2 operators, 2 and 1 copies of a change, 1 withdrawal, 1 restart from any snapshot",
    build=build,
    mutants=(
        Mutant(name="skip_dedupe", mistake="a repeated append is applied again", caught_by="accepted_once"),
        Mutant(
            name="acknowledge_on_send",
            mistake="a change is acknowledged before it is on the log",
            caught_by="acknowledged_on_log",
        ),
        Mutant(
            name="adopt_old_snapshot",
            mistake="a serving daemon adopts an older snapshot",
            caught_by="monotonic",
        ),
        Mutant(
            name="serve_at_replica_end",
            mistake="a restarted daemon serves at the end that a replica shows",
            caught_by="monotonic",
        ),
        Mutant(
            name="serve_at_peers_revision",
            mistake="a restarted daemon serves at the revision of its peers",
            caught_by="monotonic",
        ),
        Mutant(
            name="forget_expected",
            mistake="a change does not carry the revision that its operator read",
            caught_by="no_lost_update",
        ),
        Mutant(
            name="withdraw_without_sequence",
            mistake="a withdrawal does not take the sequence of its change",
            caught_by="withdrawn_is_void",
        ),
    ),
)
