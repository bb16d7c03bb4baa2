"""Specification of leases and fenced orders; see :mod:`passgate.state.leases`.

Two daemons take and release one role.  Either may take it while the other holds it, because membership can
not tell a crashed daemon from a slow one, and either may pause between the check of its lease and the order
that follows.  Orders are late, reordered or lost on their way to the engine.

Invariants:

- ``fence_order``: the engine never obeys an order with a lower fence after one with a higher fence;
- ``one_holder_per_epoch``: no two daemons believe that they hold the role under the same epoch;
- ``epochs_grow``: the epochs of accepted takes are 1, 2, 3 and so on;
- ``own_release``: the role is released only by the writer of the latest accepted take, under its epoch.

Liveness: from every state, a daemon can still come to hold the role while it has applied the whole log, or a
record of the highest epoch is on the log.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from passgate.check.specification.log_model import LogReplayer, LogState, append_actions, start_append
from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.records import LeaseReleased, LeaseTaken, Record
from passgate.state.lease_state import NEVER_HELD, LeaseProjection, LeaseState
from passgate.state.projection import Accepted, Decision

DAEMON_COUNT = 2
MAX_COPIES_BY_DAEMON = (1, 1)
"""Most copies on the log of each record of a daemon."""
MAX_EPOCH = 2
"""Highest epoch that is explored."""

ROLE = "pool/p"


class Daemon(NamedTuple):
    """One daemon that takes and releases the role and sends orders."""

    applied_count: int = 0
    """Number of records of the log that were applied."""
    proposed_id: int = -1
    """Own record that it has sent and not read back; -1 if none."""
    believed_epoch: int = 0
    """Epoch under which it believes that it holds the role; 0 if it does not."""
    checked_epoch: int = 0
    """Epoch that was checked for an order that is not sent yet; 0 if none."""


class Engine(NamedTuple):
    """The engine that receives orders."""

    fence: int = 0
    """Highest fence of an order that it has received."""
    last_obeyed_fence: int = 0
    obeyed_older_fence: bool = False
    """Whether it has obeyed an order with a lower fence than the order that it obeyed before."""


class LeaseModelState(NamedTuple):
    """State of the model: the stream, the daemons, and the engine with the orders in flight to it."""

    log: LogState = LogState()
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMON_COUNT
    fences_in_flight: frozenset[int] = frozenset()
    """Fences of orders in flight to the engine."""
    engine: Engine = Engine()


class UnfencedTakeProjection(LeaseProjection):
    """Mutant: a take under an old epoch is accepted."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a record; a take is accepted also if its epoch is not higher than the current one."""
        current = self.lease_by_role.get(ROLE, NEVER_HELD).epoch
        if isinstance(record.body, LeaseTaken) and record.epoch <= current:
            self.lease_by_role[ROLE] = LeaseState(record.epoch, record.body.holder)
            return Accepted(offset, record.epoch)
        return super().apply(offset, record)


class UnfencedReleaseProjection(LeaseProjection):
    """Mutant: a release under an old epoch frees the role."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a release as if the holder had written it under the current epoch."""
        current = self.lease_by_role.get(ROLE, NEVER_HELD)
        if isinstance(record.body, LeaseReleased):
            body = LeaseReleased(role=ROLE, holder=current.holder)
            record = msgspec.structs.replace(record, epoch=current.epoch, body=body)
        return super().apply(offset, record)


_PROJECTION_BY_MUTANT = {
    "drop_epoch_check": UnfencedTakeProjection,
    "release_any_epoch": UnfencedReleaseProjection,
}


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self.replayer = LogReplayer(
            next(
                (_PROJECTION_BY_MUTANT[name] for name in mutants if name in _PROJECTION_BY_MUTANT),
                LeaseProjection,
            )
        )

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: LeaseModelState) -> list[Action]:
        actions: list[Action] = [
            (label, state._replace(log=log)) for label, log in append_actions(state.log, self._max_copies)
        ]
        for index, daemon in enumerate(state.daemons):
            actions += self._log_actions(state, index, daemon)
            actions += self._order_actions(state, index, daemon)
        for fence in sorted(state.fences_in_flight):
            remaining = state._replace(fences_in_flight=state.fences_in_flight - {fence})
            actions.append(
                (f"deliver({fence})", remaining._replace(engine=self._deliver(state.engine, fence)))
            )
        return actions

    def _max_copies(self, record_id: int) -> int:
        return MAX_COPIES_BY_DAEMON[int(self.replayer.record(record_id).writer[1:])]

    def _log_actions(self, state: LeaseModelState, index: int, daemon: Daemon) -> list[Action]:
        actions: list[Action] = []
        if daemon.applied_count < len(state.log.records):
            actions.append((f"read({index})", self._read_next(state, index)))
        if daemon.proposed_id >= 0:
            return actions
        current = self._lease_seen_by(state, daemon)
        if daemon.believed_epoch == MAX_EPOCH:
            return actions
        if daemon.believed_epoch:
            release_id = self._record_id(
                index, daemon.believed_epoch, LeaseReleased(role=ROLE, holder=f"d{index}")
            )
            actions.append((f"release({index})", self._propose(state, index, release_id)))
        elif current.epoch < MAX_EPOCH:
            # The holder may have crashed or may only be slow, so the role can be taken at any time.
            take_id = self._record_id(index, current.epoch + 1, LeaseTaken(role=ROLE, holder=f"d{index}"))
            next_state = self._propose(state, index, take_id)
            if "act_before_decided" in self.mutants:
                next_state = _with_daemon(
                    next_state, index, next_state.daemons[index]._replace(believed_epoch=current.epoch + 1)
                )
            actions.append((f"take({index})", next_state))
        return actions

    def _record_id(self, index: int, epoch: int, body: LeaseTaken | LeaseReleased) -> int:
        sequence = 2 * epoch + isinstance(body, LeaseReleased)
        return self.replayer.record_id(Record(writer=f"d{index}", sequence=sequence, epoch=epoch, body=body))

    def _propose(self, state: LeaseModelState, index: int, record_id: int) -> LeaseModelState:
        daemon = state.daemons[index]._replace(proposed_id=record_id)
        return _with_daemon(state, index, daemon)._replace(log=start_append(state.log, record_id))

    def _read_next(self, state: LeaseModelState, index: int) -> LeaseModelState:
        daemon = state.daemons[index]
        daemon = daemon._replace(applied_count=daemon.applied_count + 1)
        if state.log.records[daemon.applied_count - 1] == daemon.proposed_id:
            daemon = daemon._replace(proposed_id=-1)
        lease = self._lease_seen_by(state, daemon)
        believed_epoch = lease.epoch if lease.holder == f"d{index}" else 0
        return _with_daemon(state, index, daemon._replace(believed_epoch=believed_epoch))

    def _lease_seen_by(self, state: LeaseModelState, daemon: Daemon) -> LeaseState:
        projection = self.replayer.view(state.log.records[: daemon.applied_count]).projection
        return projection.lease_by_role.get(ROLE, NEVER_HELD)

    def _order_actions(self, state: LeaseModelState, index: int, daemon: Daemon) -> list[Action]:
        actions: list[Action] = []
        if daemon.believed_epoch and daemon.checked_epoch != daemon.believed_epoch:
            checked = daemon._replace(checked_epoch=daemon.believed_epoch)
            actions.append((f"check({index})", _with_daemon(state, index, checked)))
        if daemon.checked_epoch:
            sent = _with_daemon(state, index, daemon._replace(checked_epoch=0))
            actions.append(
                (
                    f"order({index})",
                    sent._replace(fences_in_flight=state.fences_in_flight | {daemon.checked_epoch}),
                )
            )
        return actions

    def _deliver(self, engine: Engine, fence: int) -> Engine:
        if fence < engine.fence and "engine_ignores_fence" not in self.mutants:
            return engine
        return Engine(
            fence=max(fence, engine.fence),
            last_obeyed_fence=fence,
            obeyed_older_fence=engine.obeyed_older_fence or fence < engine.last_obeyed_fence,
        )

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "fence_order": lambda fields: not fields["engine"].obeyed_older_fence,
            "one_holder_per_epoch": self._one_holder_per_epoch,
            "epochs_grow": self._epochs_grow,
            "own_release": self._own_release,
        }

    def _one_holder_per_epoch(self, fields: dict) -> bool:
        believed_epochs = [daemon.believed_epoch for daemon in fields["daemons"] if daemon.believed_epoch]
        return len(believed_epochs) == len(set(believed_epochs))

    def _accepted_records(self, fields: dict) -> list[Record]:
        records = fields["log"].records
        decisions = self.replayer.view(records).decisions
        return [
            self.replayer.record(record_id)
            for record_id, decision in zip(records, decisions, strict=True)
            if isinstance(decision, Accepted)
        ]

    def _epochs_grow(self, fields: dict) -> bool:
        epochs = [
            record.epoch for record in self._accepted_records(fields) if isinstance(record.body, LeaseTaken)
        ]
        return epochs == list(range(1, len(epochs) + 1))

    def _own_release(self, fields: dict) -> bool:
        current_take = None
        for record in self._accepted_records(fields):
            if isinstance(record.body, LeaseTaken):
                current_take = record
            elif (
                current_take is None
                or record.epoch != current_take.epoch
                or record.writer != current_take.writer
            ):
                return False
        return True


def _with_daemon(state: LeaseModelState, index: int, daemon: Daemon) -> LeaseModelState:
    daemons = tuple(daemon if i == index else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="leases",
        candidate=False,
        fields=LeaseModelState._fields,
        initial=LeaseModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: (
            any(
                daemon.believed_epoch and daemon.applied_count == len(fields["log"].records)
                for daemon in fields["daemons"]
            )
            or any(model.replayer.record(record_id).epoch == MAX_EPOCH for record_id in fields["log"].records)
        ),
    )


LEASES = Specification(
    name="leases",
    bounds="2 daemons, 1 engine, 2 epochs, any record or order late or lost",
    build=build,
    mutants=(
        Mutant(name="drop_epoch_check", mistake="folds do not check the epoch", caught_by="epochs_grow"),
        Mutant(
            name="release_any_epoch",
            mistake="a late release frees the role of a newer holder",
            caught_by="own_release",
        ),
        Mutant(
            name="engine_ignores_fence",
            mistake="the engine obeys an order of any epoch",
            caught_by="fence_order",
        ),
        Mutant(
            name="act_before_decided",
            mistake="a daemon acts on its take before its fold has passed it",
            caught_by="one_holder_per_epoch",
        ),
    ),
)
