"""Specification of leases and fencing, on the running code's fold.

Two daemons take one role; each may wrongly believe the other dead, and each may
be paused between its check of the lease and the order that follows.  Orders reach
the engine late and out of order, or are lost.

Properties: ``fence_order`` (the engine never obeys an older epoch after a newer
one), ``one_holder_per_epoch``, ``epochs_grow`` (accepted takes grow by one) and
``own_release`` (a role is freed only under the epoch in force).
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.check.specification.shared_log import SharedLog, Transport, arrivals, send
from passgate.records import LeaseReleased, LeaseTaken, Record
from passgate.state.lease_state import NEVER_HELD, LeaseProjection, LeaseState
from passgate.state.projection import Accepted, Decision

DAEMONS = 2
COPIES = (1, 1)
"""How often a record of each daemon stands on the log at most."""
EPOCHS = 2
"""Highest epoch explored."""

ROLE = "pool/p"


class Holder(NamedTuple):
    """One daemon."""

    applied: int = 0
    proposed: int = -1
    believes: int = 0
    """Epoch under which it believes to hold the role; 0 when it does not."""
    armed: int = 0
    """Epoch that was checked for an order not sent yet."""


class Engine(NamedTuple):
    """The engine's side of the fence."""

    fence: int = 0
    last_obeyed: int = 0
    obeyed_older: bool = False


class LeaseModelState(NamedTuple):
    """State of the specification."""

    transport: Transport = Transport()
    holders: tuple[Holder, ...] = (Holder(),) * DAEMONS
    orders: frozenset[int] = frozenset()
    """Fences of orders on their way."""
    engine: Engine = Engine()


class UnfencedTakeFold(LeaseProjection):
    """Mutant: a take under an old epoch is accepted."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a take as if its epoch were the next one."""
        current = self.lease_by_role.get(ROLE, NEVER_HELD).epoch
        if isinstance(record.body, LeaseTaken) and record.epoch <= current:
            self.lease_by_role[ROLE] = LeaseState(record.epoch, record.body.holder)
            return Accepted(offset, record.epoch)
        return super().apply(offset, record)


class UnfencedReleaseFold(LeaseProjection):
    """Mutant: a release under an old epoch frees the role."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a release as if it came from the holder."""
        current = self.lease_by_role.get(ROLE, NEVER_HELD)
        if isinstance(record.body, LeaseReleased):
            body = LeaseReleased(role=ROLE, holder=current.holder)
            record = msgspec.structs.replace(record, epoch=current.epoch, body=body)
        return super().apply(offset, record)


_FOLDS = {"drop_epoch_check": UnfencedTakeFold, "release_any_epoch": UnfencedReleaseFold}


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self.log = SharedLog(next((_FOLDS[name] for name in mutants if name in _FOLDS), LeaseProjection))

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: LeaseModelState) -> list[Step]:
        steps: list[Step] = [
            (label, state._replace(transport=transport))
            for label, transport in arrivals(state.transport, self._copies)
        ]
        for number, holder in enumerate(state.holders):
            steps += self._log_steps(state, number, holder)
            steps += self._order_steps(state, number, holder)
        for fence in sorted(state.orders):
            remaining = state._replace(orders=state.orders - {fence})
            steps.append((f"deliver({fence})", remaining._replace(engine=self._deliver(state.engine, fence))))
        return steps

    def _copies(self, record: int) -> int:
        return COPIES[int(self.log.record(record).writer[1:])]

    def _log_steps(self, state: LeaseModelState, number: int, holder: Holder) -> list[Step]:
        steps: list[Step] = []
        if holder.applied < len(state.transport.log):
            steps.append((f"read({number})", self._read(state, number)))
        if holder.proposed >= 0:
            return steps
        current = self._role(state, holder)
        if holder.believes == EPOCHS:
            return steps
        if holder.believes:
            release = self._record(number, holder.believes, LeaseReleased(role=ROLE, holder=f"d{number}"))
            steps.append((f"release({number})", self._propose(state, number, release)))
        elif current.epoch < EPOCHS:
            # The other may be dead, paused or only silent: membership can not tell.
            take = self._record(number, current.epoch + 1, LeaseTaken(role=ROLE, holder=f"d{number}"))
            taking = self._propose(state, number, take)
            if "act_before_decided" in self.mutants:
                taking = _with(taking, number, taking.holders[number]._replace(believes=current.epoch + 1))
            steps.append((f"take({number})", taking))
        return steps

    def _record(self, number: int, epoch: int, body: LeaseTaken | LeaseReleased) -> int:
        sequence = 2 * epoch + isinstance(body, LeaseReleased)
        return self.log.number(Record(writer=f"d{number}", sequence=sequence, epoch=epoch, body=body))

    def _propose(self, state: LeaseModelState, number: int, record: int) -> LeaseModelState:
        holder = state.holders[number]._replace(proposed=record)
        return _with(state, number, holder)._replace(transport=send(state.transport, record))

    def _read(self, state: LeaseModelState, number: int) -> LeaseModelState:
        holder = state.holders[number]
        holder = holder._replace(applied=holder.applied + 1)
        if state.transport.log[holder.applied - 1] == holder.proposed:
            holder = holder._replace(proposed=-1)
        role = self._role(state, holder)
        believes = role.epoch if role.holder == f"d{number}" else 0
        return _with(state, number, holder._replace(believes=believes))

    def _role(self, state: LeaseModelState, holder: Holder) -> LeaseState:
        fold = self.log.view(state.transport.log[: holder.applied]).fold
        return fold.lease_by_role.get(ROLE, NEVER_HELD)

    def _order_steps(self, state: LeaseModelState, number: int, holder: Holder) -> list[Step]:
        steps: list[Step] = []
        if holder.believes and holder.armed != holder.believes:
            checked = holder._replace(armed=holder.believes)
            steps.append((f"check({number})", _with(state, number, checked)))
        if holder.armed:
            sent = _with(state, number, holder._replace(armed=0))
            steps.append((f"order({number})", sent._replace(orders=state.orders | {holder.armed})))
        return steps

    def _deliver(self, engine: Engine, fence: int) -> Engine:
        if fence < engine.fence and "engine_ignores_fence" not in self.mutants:
            return engine
        return Engine(
            fence=max(fence, engine.fence),
            last_obeyed=fence,
            obeyed_older=engine.obeyed_older or fence < engine.last_obeyed,
        )

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "fence_order": lambda d: not d["engine"].obeyed_older,
            "one_holder_per_epoch": self._one_holder_per_epoch,
            "epochs_grow": self._epochs_grow,
            "own_release": self._own_release,
        }

    def _one_holder_per_epoch(self, d: dict) -> bool:
        believed = [holder.believes for holder in d["holders"] if holder.believes]
        return len(believed) == len(set(believed))

    def _accepted(self, d: dict) -> list[Record]:
        log = d["transport"].log
        decisions = self.log.view(log).decisions
        return [
            self.log.record(n) for n, made in zip(log, decisions, strict=True) if isinstance(made, Accepted)
        ]

    def _epochs_grow(self, d: dict) -> bool:
        epochs = [record.epoch for record in self._accepted(d) if isinstance(record.body, LeaseTaken)]
        return epochs == list(range(1, len(epochs) + 1))

    def _own_release(self, d: dict) -> bool:
        in_force = None
        for record in self._accepted(d):
            if isinstance(record.body, LeaseTaken):
                in_force = record
            elif in_force is None or record.epoch != in_force.epoch or record.writer != in_force.writer:
                return False
        return True


def _with(state: LeaseModelState, number: int, holder: Holder) -> LeaseModelState:
    holders = tuple(holder if i == number else old for i, old in enumerate(state.holders))
    return state._replace(holders=holders)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="leases",
        candidate=False,
        fields=LeaseModelState._fields,
        initial=LeaseModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: (
            any(holder.believes and holder.applied == len(d["transport"].log) for holder in d["holders"])
            or any(model.log.record(n).epoch == EPOCHS for n in d["transport"].log)
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
