"""Specification of how daemons follow the configuration stream; see :mod:`passgate.state.configuration`.

Two operators change the same object, each through its own daemon: operator 0 unconditionally, operator 1 on
condition that the object still has the revision that it read.  Appends are late, lost or duplicated, and
operator 0 may give up.  A daemon may restart from any snapshot.  After a restart it serves only once it has
read back a record of its own, because the log's replicas may be behind.

Invariants:

- ``monotonic``: the revision that a daemon serves never decreases, also over a restart;
- ``acknowledged_on_log``: an acknowledged change is on the log at its revision, and accepted;
- ``accepted_once``: no record is accepted twice;
- ``no_lost_update``: a conditional change replaces only the revision that its operator read;
- ``true_conflict``: the revision that a refusal names is not the expected one and, unless 0, was set by
  another record;
- ``withdrawn_is_void``: a change is not accepted after its withdrawal;
- ``snapshot_equals_replay``: a replay through any snapshot ends in the same state as one without.

Liveness: from every state, all daemons can reach one in which they serve the whole log.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from passgate.check.specification.log_model import (
    LogReplayer,
    LogState,
    PrefixView,
    append_actions,
    start_append,
)
from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.errors import RevisionConflict
from passgate.records import ObjectPut, ProposalWithdrawn, Record
from passgate.state.configuration_state import ConfigurationState
from passgate.state.projection import Accepted, Rejected
from passgate.state.specs import PriorityClassSpec

OPERATOR_COUNT = 2
"""Number of operators and of daemons; operator and daemon of the same index belong together."""
MAX_COPIES_BY_OPERATOR = (2, 1)
"""Most copies on the log of each operator's change."""
MAX_RESTARTS = 1
"""Restarts of all daemons together."""

KIND, NAME = "PriorityClass", "line"
_SPEC_JSON = msgspec.Raw(msgspec.json.encode(PriorityClassSpec()))

IDLE, SENT, ABANDONED, LOST, ACCEPTED, REFUSED = "idle", "sent", "abandoned", "lost", "accepted", "refused"


class Change(NamedTuple):
    """One operator's change."""

    phase: str = IDLE
    record_id: int = -1
    """The proposed change; -1 before."""
    withdrawal_id: int = -1
    """Its withdrawal; -1 if the operator has not given up."""
    revision: int = 0
    """Revision that the change got, or, if it was refused, the conflicting one."""


class Daemon(NamedTuple):
    """One daemon that follows the stream and serves the configuration."""

    serving: bool = True
    applied_count: int = 0
    """Number of records of the log that were applied."""
    max_served_revision: int = 0
    """Highest revision that this daemon has ever served."""
    reverted: bool = False
    """Whether it has served a lower revision after that one."""
    barrier_id: int = -1
    """Own record that a restarted daemon must apply before it serves; -1 while it serves."""


class ConfigurationModelState(NamedTuple):
    """State of the model: the stream, each operator's change, the daemons, and the remaining restarts."""

    log: LogState = LogState()
    changes: tuple[Change, ...] = (Change(),) * OPERATOR_COUNT
    daemons: tuple[Daemon, ...] = (Daemon(),) * OPERATOR_COUNT
    restarts_left: int = MAX_RESTARTS


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self.replayer = LogReplayer(ConfigurationState, skip_dedupe="skip_dedupe" in mutants)
        self.snapshot_verdicts: dict[tuple[int, ...], bool] = {}

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: ConfigurationModelState) -> list[Action]:
        actions: list[Action] = []
        for label, log in append_actions(state.log, self._max_copies):
            actions.append((label, state._replace(log=log)))
        for index in range(OPERATOR_COUNT):
            actions += self._operator_actions(state, index)
            actions += self._daemon_actions(state, index)
        return actions

    def _operator_actions(self, state: ConfigurationModelState, index: int) -> list[Action]:
        change = state.changes[index]
        if change.phase == IDLE and state.daemons[index].serving:
            record_id = self.replayer.record_id(self._make_change(state, index))
            sent = Change(phase=SENT, record_id=record_id)
            return [(f"propose({index})", self._send(state, index, sent, record_id))]
        actions: list[Action] = []
        if change.phase == SENT and index == 0:
            actions.append((f"give_up({index})", self._give_up(state, index)))
        if change.phase == SENT and "acknowledge_on_send" in self.mutants:
            accepted = change._replace(phase=ACCEPTED, revision=len(state.log.records) + 1)
            actions.append((f"acknowledge({index})", _with_change(state, index, accepted)))
        return actions

    def _max_copies(self, record_id: int) -> int:
        record = self.replayer.record(record_id)
        return MAX_COPIES_BY_OPERATOR[int(record.writer[1])] if isinstance(record.body, ObjectPut) else 1

    def _make_change(self, state: ConfigurationModelState, index: int) -> Record:
        view = self._view(state, state.daemons[index])
        current = view.projection.get(KIND, NAME)
        expected = (current.revision if current else 0) if index == 1 else None
        if "forget_expected" in self.mutants:
            expected = None
        body = ObjectPut(
            object_kind=KIND,
            name=NAME,
            expected_revision=expected,
            labels={"by": str(index)},
            spec=_SPEC_JSON,
        )
        return Record(writer=f"d{index}", sequence=1, epoch=0, body=body)

    def _give_up(self, state: ConfigurationModelState, index: int) -> ConfigurationModelState:
        change = state.changes[index]
        sequence = 0 if "withdraw_without_sequence" in self.mutants else 1
        record = Record(writer=f"d{index}", sequence=sequence, epoch=0, body=ProposalWithdrawn())
        withdrawal_id = self.replayer.record_id(record)
        abandoned = change._replace(phase=ABANDONED, withdrawal_id=withdrawal_id)
        return self._send(state, index, abandoned, withdrawal_id)

    def _send(
        self, state: ConfigurationModelState, index: int, change: Change, record_id: int
    ) -> ConfigurationModelState:
        state = state._replace(log=start_append(state.log, record_id))
        return _with_change(state, index, change)

    def _daemon_actions(self, state: ConfigurationModelState, index: int) -> list[Action]:
        daemon = state.daemons[index]
        actions: list[Action] = []
        if daemon.applied_count < len(state.log.records):
            actions.append((f"read({index})", self._read_next(state, index)))
        if not daemon.serving and self._may_serve(state, daemon):
            actions.append((f"serve({index})", self._serve(state, index, daemon)))
        if state.restarts_left:
            for snapshot_at in range(len(state.log.records) + 1):
                actions.append((f"restart({index}, {snapshot_at})", self._restart(state, index, snapshot_at)))
        if daemon.serving and "adopt_old_snapshot" in self.mutants and daemon.applied_count:
            behind = daemon._replace(applied_count=daemon.applied_count - 1)
            actions.append((f"old_snapshot({index})", self._serve(state, index, behind)))
        return actions

    def _read_next(self, state: ConfigurationModelState, index: int) -> ConfigurationModelState:
        daemon = state.daemons[index]._replace(applied_count=state.daemons[index].applied_count + 1)
        state = _with_daemon(state, index, daemon)
        if daemon.serving:
            state = self._serve(state, index, daemon)
        change = state.changes[index]
        if change.phase == SENT and state.log.records[daemon.applied_count - 1] == change.record_id:
            state = _with_change(state, index, self._apply_decision(change, self._view(state, daemon)))
        return state

    def _apply_decision(self, change: Change, view: PrefixView) -> Change:
        decision = view.decisions[-1]
        if isinstance(decision, Accepted):
            return change._replace(phase=ACCEPTED, revision=decision.value)
        if isinstance(decision.error, RevisionConflict):
            return change._replace(phase=REFUSED, revision=int(decision.error.details["revision"]))
        return change

    def _restart(
        self, state: ConfigurationModelState, index: int, snapshot_at: int
    ) -> ConfigurationModelState:
        incarnation = MAX_RESTARTS - state.restarts_left
        record = Record(writer=f"d{index}/{incarnation}", sequence=1, epoch=0, body=ProposalWithdrawn())
        barrier_id = self.replayer.record_id(record)
        daemon = state.daemons[index]._replace(
            serving=False, applied_count=snapshot_at, barrier_id=barrier_id
        )
        change = state.changes[index]
        if change.phase in (SENT, ABANDONED):
            state = _with_change(state, index, change._replace(phase=LOST))
        log = start_append(state.log, barrier_id)
        return _with_daemon(state._replace(log=log, restarts_left=state.restarts_left - 1), index, daemon)

    def _may_serve(self, state: ConfigurationModelState, daemon: Daemon) -> bool:
        if "serve_at_replica_end" in self.mutants:
            return True
        if "serve_at_peers_revision" in self.mutants:
            peers_applied_count = max(
                (peer.applied_count for peer in state.daemons if peer.serving), default=0
            )
            return daemon.applied_count >= peers_applied_count
        return daemon.barrier_id in state.log.records[: daemon.applied_count]

    def _serve(self, state: ConfigurationModelState, index: int, daemon: Daemon) -> ConfigurationModelState:
        revision = self._view(state, daemon).projection.revision
        serving = daemon._replace(
            serving=True,
            max_served_revision=max(daemon.max_served_revision, revision),
            reverted=daemon.reverted or revision < daemon.max_served_revision,
            barrier_id=-1,
        )
        return _with_daemon(state, index, serving)

    def _view(self, state: ConfigurationModelState, daemon: Daemon) -> PrefixView:
        return self.replayer.view(state.log.records[: daemon.applied_count])

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "monotonic": lambda fields: not any(daemon.reverted for daemon in fields["daemons"]),
            "acknowledged_on_log": self._acknowledged_on_log,
            "accepted_once": self._accepted_once,
            "no_lost_update": self._no_lost_update,
            "true_conflict": self._true_conflict,
            "withdrawn_is_void": self._withdrawn_is_void,
            "snapshot_equals_replay": self._snapshot_equals_replay,
        }

    def _acknowledged_on_log(self, fields: dict) -> bool:
        records = fields["log"].records
        decisions = self.replayer.view(records).decisions
        for change in fields["changes"]:
            if change.phase != ACCEPTED:
                continue
            offset = change.revision - 1
            if offset >= len(records) or records[offset] != change.record_id:
                return False
            if not isinstance(decisions[offset], Accepted):
                return False
        return True

    def _accepted_once(self, fields: dict) -> bool:
        records = fields["log"].records
        decisions = self.replayer.view(records).decisions
        accepted = [
            record_id
            for record_id, decision in zip(records, decisions, strict=True)
            if isinstance(decision, Accepted)
        ]
        return len(accepted) == len(set(accepted))

    def _no_lost_update(self, fields: dict) -> bool:
        """Whether each accepted change of operator 1 replaces the revision that its daemon had read."""
        records = fields["log"].records
        current_revision = 0
        for offset, decision in enumerate(self.replayer.view(records).decisions):
            body = self.replayer.record(records[offset]).body
            if not isinstance(body, ObjectPut) or isinstance(decision, Rejected):
                continue
            expected = self._expected_revision(records[offset])
            if expected is not None and expected != current_revision:
                return False
            current_revision = offset + 1
        return True

    def _expected_revision(self, record_id: int) -> int | None:
        record = self.replayer.record(record_id)
        if record.writer != "d1":
            return None
        return record.body.expected_revision if record.body.expected_revision is not None else 0

    def _true_conflict(self, fields: dict) -> bool:
        records = fields["log"].records
        for change in fields["changes"]:
            if change.phase != REFUSED:
                continue
            expected = self.replayer.record(change.record_id).body.expected_revision
            if change.revision == expected:
                return False
            if change.revision and not self._is_accepted_by_other(
                records, change.revision - 1, change.record_id
            ):
                return False
        return True

    def _is_accepted_by_other(self, records: tuple[int, ...], offset: int, own_id: int) -> bool:
        if offset >= len(records) or records[offset] == own_id:
            return False
        return isinstance(self.replayer.view(records).decisions[offset], Accepted)

    def _withdrawn_is_void(self, fields: dict) -> bool:
        records = fields["log"].records
        for change in fields["changes"]:
            if change.withdrawal_id not in records:
                continue
            decisions = self.replayer.view(records).decisions
            withdrawn_at = records.index(change.withdrawal_id)
            for offset in range(withdrawn_at + 1, len(records)):
                if records[offset] == change.record_id and isinstance(decisions[offset], Accepted):
                    return False
        return True

    def _snapshot_equals_replay(self, fields: dict) -> bool:
        records = fields["log"].records
        full_replay = self.replayer.view(records).stream.projection.snapshot()
        if "skip_dedupe" in self.mutants:
            return True
        return all(
            self.replayer.replay(records, snapshot_at).stream.projection.snapshot() == full_replay
            for snapshot_at in range(1, len(records))
        )


def _with_change(state: ConfigurationModelState, index: int, change: Change) -> ConfigurationModelState:
    changes = tuple(change if i == index else old for i, old in enumerate(state.changes))
    return state._replace(changes=changes)


def _with_daemon(state: ConfigurationModelState, index: int, daemon: Daemon) -> ConfigurationModelState:
    daemons = tuple(daemon if i == index else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="configuration",
        candidate=False,
        fields=ConfigurationModelState._fields,
        initial=ConfigurationModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: all(
            daemon.serving and daemon.applied_count == len(fields["log"].records)
            for daemon in fields["daemons"]
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
