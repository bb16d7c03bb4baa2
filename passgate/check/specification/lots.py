"""Specification of a lot's slot, on the running code's fold.

Two daemons keep one lot of one slot, the second one takes over from a first one
that is dead or only slow.  The trainer reads through either, its pages are lost,
its version moves on, it has a withdrawn sample replaced and acknowledges what it
has.  The staleness bound is zero versions.

Properties: ``same_bytes`` (whatever reaches the trainer for the slot is one
sample), ``not_doubled`` (no second copy after the cursor moved past the first),
``within_bound`` (nothing over the bound is received), ``delivered_is_durable``
(a received sample is handed over on the log) and ``epoch_in_force`` (accepted
records of keepers carry the epoch in force).  Liveness: the trainer can always
still come to have the sample, also without the first daemon.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.check.specification.shared_log import SharedLog, Transport, arrivals, send
from passgate.records import (
    Body,
    KeeperTaken,
    LotOpened,
    PromptSpec,
    Record,
    SampleCommitted,
    SampleExpired,
    SamplesAcknowledged,
    SamplesHandedOver,
    SamplesReplaced,
)
from passgate.schema import FinishReason, VersionSpan
from passgate.state.lot_state import DeliveryPosition, LotChange, LotProjection, SlotState, SlotStatus
from passgate.state.projection import Accepted, Decision

DAEMONS = 2
VERSIONS = 2
BOUND = 0
SERVING_DAEMON = 1
"""Takes replacements and acknowledgements, and hands over what others keep; both give pages."""

OPENED = LotOpened(
    lot_id="l",
    caller="t",
    pool="p",
    model="m",
    priority_class="training",
    staleness_bound=BOUND,
    trainer_version=1,
    deadline_unix_s=None,
    prompts=(PromptSpec(prompt=(1,), max_tokens=1),),
)


class Keeper(NamedTuple):
    """One daemon."""

    applied: int = 1
    proposed: int = -1
    dead: bool = False


class Trainer(NamedTuple):
    """The trainer."""

    version: int = 1
    cursor: int = 0
    received: tuple[int, ...] = ()
    """First token of each copy received; it names keeper, attempt and version."""
    received_stale: bool = False
    received_undurable: bool = False


class LotModelState(NamedTuple):
    """State of the specification."""

    transport: Transport
    keepers: tuple[Keeper, ...] = (Keeper(),) * DAEMONS
    trainer: Trainer = Trainer()


class _LaxLotFold(LotProjection):
    """Base of mutants that let a record through which the running fold rejects."""

    def _put(self, index: int, slot: SlotState, *positions: DeliveryPosition) -> None:
        change = LotChange(self.header, ((index, slot),), positions)
        self.slots[index] = slot
        self.delivery_order.extend(change.positions)
        self._update_counts(index, slot)


class ExpireAfterHandOverFold(_LaxLotFold):
    """Mutant: a sample that was handed over can still expire."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Expire without regard to the hand-over."""
        decision = super().apply(offset, record)
        if isinstance(record.body, SampleExpired) and not isinstance(decision, Accepted):
            slot = self.slots[record.body.index]
            if slot.status is SlotStatus.HANDED_OVER:
                self._put(record.body.index, SlotState(SlotStatus.OPEN, slot.attempt + 1))
                return Accepted(offset)
        return decision


class LastCommitFold(_LaxLotFold):
    """Mutant: the last commit of a slot wins, not the first."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Overwrite a committed or handed-over sample."""
        body = record.body
        before = self.slots[0] if self.slots else SlotState()
        decision = super().apply(offset, record)
        replaceable = before.status in (SlotStatus.COMMITTED, SlotStatus.HANDED_OVER)
        if isinstance(body, SampleCommitted) and replaceable and body.attempt == before.attempt:
            other = LotProjection()
            other.header, other.slots = self.header, [SlotState(SlotStatus.OPEN, body.attempt)]
            other.apply(offset, msgspec.structs.replace(record, epoch=self.header.epoch))
            self._put(0, msgspec.structs.replace(before, sample=other.slots[0].sample))
            return Accepted(offset)
        return decision


class UnfencedLotFold(LotProjection):
    """Mutant: records of superseded keepers are accepted."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a keeper's record as if its epoch were the one in force."""
        if isinstance(record.body, SampleCommitted | SampleExpired):
            record = msgspec.structs.replace(record, epoch=self.header.epoch)
        return super().apply(offset, record)


_FOLDS = {
    "expire_after_hand_over": ExpireAfterHandOverFold,
    "last_commit_wins": LastCommitFold,
    "drop_epoch_check": UnfencedLotFold,
}


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        fold = next((_FOLDS[name] for name in mutants if name in _FOLDS), LotProjection)
        self.log = SharedLog(fold)
        opened = self.log.number(Record(writer="t", sequence=1, epoch=0, body=OPENED))
        self.initial = LotModelState(Transport(log=(opened,)))

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: LotModelState) -> list[Step]:
        steps: list[Step] = [
            (label, state._replace(transport=transport))
            for label, transport in arrivals(state.transport, lambda record: 1)
        ]
        for number, keeper in enumerate(state.keepers):
            if keeper.dead:
                continue
            if keeper.applied < len(state.transport.log):
                steps.append((f"read({number})", self._read(state, number)))
            if keeper.proposed < 0:
                steps += self._proposals(state, number)
            steps += self._page_steps(state, number)
        if not state.keepers[0].dead:
            steps.append(("die(0)", _with(state, 0, Keeper(applied=0, dead=True))))
        if state.trainer.version < VERSIONS:
            newer = state.trainer._replace(version=state.trainer.version + 1)
            steps.append(("new_weights", state._replace(trainer=newer)))
        return steps

    def _read(self, state: LotModelState, number: int) -> LotModelState:
        keeper = state.keepers[number]
        keeper = keeper._replace(applied=keeper.applied + 1)
        if state.transport.log[keeper.applied - 1] == keeper.proposed:
            keeper = keeper._replace(proposed=-1)
        return _with(state, number, keeper)

    def _fold(self, state: LotModelState, number: int) -> LotProjection:
        return self.log.view(state.transport.log[: state.keepers[number].applied]).fold

    def _proposals(self, state: LotModelState, number: int) -> list[Step]:
        fold = self._fold(state, number)
        slot = fold.slots[0]
        steps: list[Step] = []
        takes_over = number == 1 and state.keepers[0].dead and fold.header.keeper != "d1"
        if fold.header.epoch == number or takes_over:
            # The second daemon takes over from a first one that it believes dead, rightly or not.
            taken = KeeperTaken(holder=f"d{number}")
            epoch = fold.header.epoch + 1
            steps.append((f"take({number})", self._propose(state, number, epoch, taken)))
        if slot.status is SlotStatus.OPEN and fold.header.keeper == f"d{number}":
            steps += self._commits(state, number, fold)
        if slot.status is SlotStatus.COMMITTED:
            steps += self._committed_steps(state, number, fold)
        if slot.status is SlotStatus.HANDED_OVER and number == SERVING_DAEMON:
            steps += self._trainer_calls(state, number, fold)
        return steps

    def _commits(self, state: LotModelState, number: int, fold: LotProjection) -> list[Step]:
        steps: list[Step] = []
        attempt = fold.slots[0].attempt
        for version in range(1, state.trainer.version + 1):
            if fold.header.trainer_version - version > BOUND:
                continue
            body = _sample(number, attempt, version)
            proposed = self._propose(state, number, fold.header.epoch, body)
            steps.append((f"commit({number}, v{version})", proposed))
        return steps

    def _committed_steps(self, state: LotModelState, number: int, fold: LotProjection) -> list[Step]:
        slot, version = fold.slots[0], state.trainer.version
        if number != SERVING_DAEMON and fold.header.keeper != f"d{number}":
            return []
        if fold.header.is_stale(slot.sample, version) and "check_only_at_generation" not in self.mutants:
            expired = SampleExpired(index=0, attempt=slot.attempt, trainer_version=version)
            proposed = self._propose(state, number, fold.header.epoch, expired)
            return [(f"expire({number})", proposed)]
        told = 0 if "check_only_at_generation" in self.mutants else version
        handed_over = SamplesHandedOver(indexes=(0,), trainer_version=told)
        return [(f"hand_over({number})", self._propose(state, number, 0, handed_over))]

    def _trainer_calls(self, state: LotModelState, number: int, fold: LotProjection) -> list[Step]:
        slot, trainer = fold.slots[0], state.trainer
        if trainer.received:
            body = SamplesAcknowledged(indexes=(0,))
            return [(f"acknowledge({number})", self._propose(state, number, 0, body))]
        if fold.header.is_stale(slot.sample, trainer.version):
            body = SamplesReplaced(indexes=(0,), attempts=(slot.attempt,))
            return [(f"replace({number})", self._propose(state, number, 0, body))]
        return []

    def _propose(self, state: LotModelState, number: int, epoch: int, body: Body) -> LotModelState:
        count = sum(self.log.record(n).writer == f"d{number}" for n in state.transport.log)
        record = self.log.number(Record(writer=f"d{number}", sequence=count + 1, epoch=epoch, body=body))
        keeper = state.keepers[number]._replace(proposed=record)
        return _with(state, number, keeper)._replace(transport=send(state.transport, record))

    def _page_steps(self, state: LotModelState, number: int) -> list[Step]:
        """The trainer reads from its cursor and receives the page; a lost page changes nothing."""
        fold, trainer = self._fold(state, number), state.trainer
        steps: list[Step] = []
        if "deliver_before_hand_over" in self.mutants and fold.slots[0].status is SlotStatus.COMMITTED:
            steps.append((f"page({number})", self._received(state, fold, trainer.cursor)))
        for position, handed_over in enumerate(fold.delivery_order[trainer.cursor :], start=trainer.cursor):
            slot = fold.slots[0]
            if slot.attempt != handed_over.attempt or slot.status is not SlotStatus.HANDED_OVER:
                continue
            is_stale = fold.header.is_stale(slot.sample, trainer.version)
            if not is_stale or "check_only_at_generation" in self.mutants:
                steps.append((f"page({number})", self._received(state, fold, position + 1)))
        return steps

    def _received(self, state: LotModelState, fold: LotProjection, cursor: int) -> LotModelState:
        sample, trainer = fold.slots[0].sample, state.trainer
        trainer = trainer._replace(
            cursor=cursor,
            received=(*trainer.received, sample.tokens[0]),
            received_stale=trainer.received_stale or trainer.version - sample.oldest_version > BOUND,
            received_undurable=trainer.received_undurable or not self._is_handed_over(state, sample),
        )
        return state._replace(trainer=trainer)

    def _is_handed_over(self, state: LotModelState, sample) -> bool:
        slot = self.log.view(state.transport.log).fold.slots[0]
        if slot.status is SlotStatus.ACKNOWLEDGED:
            return True
        return slot.status is SlotStatus.HANDED_OVER and slot.sample == sample

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "same_bytes": lambda d: len(set(d["trainer"].received)) <= 1,
            "not_doubled": lambda d: len(d["trainer"].received) <= 1,
            "within_bound": lambda d: not d["trainer"].received_stale,
            "delivered_is_durable": lambda d: not d["trainer"].received_undurable,
            "epoch_in_force": self._epoch_in_force,
        }

    def _epoch_in_force(self, d: dict) -> bool:
        log = d["transport"].log
        epoch = 0
        for number, decision in zip(log, self.log.view(log).decisions, strict=True):
            record = self.log.record(number)
            if not isinstance(decision, Accepted):
                continue
            if isinstance(record.body, KeeperTaken):
                epoch = record.epoch
            elif isinstance(record.body, SampleCommitted | SampleExpired) and record.epoch != epoch:
                return False
        return True


def _sample(number: int, attempt: int, version: int) -> SampleCommitted:
    return SampleCommitted(
        index=0,
        attempt=attempt,
        tokens=(100 * number + 10 * attempt + version,),
        spans=(VersionSpan(0, 1, version),),
        finish_reason=FinishReason.LENGTH,
        replica_id=f"e{number}",
    )


def _with(state: LotModelState, number: int, keeper: Keeper) -> LotModelState:
    keepers = tuple(keeper if i == number else old for i, old in enumerate(state.keepers))
    return state._replace(keepers=keepers)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="lots",
        candidate=False,
        fields=LotModelState._fields,
        initial=model.initial,
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: bool(d["trainer"].received),
    )


LOTS = Specification(
    name="lots",
    bounds="2 daemons, 1 slot, 2 weight versions, bound 0, 2 epochs, any record or page late or lost",
    build=build,
    mutants=(
        Mutant(
            name="deliver_before_hand_over",
            mistake="a page gives a committed sample before its hand-over is on the log",
            caught_by="delivered_is_durable",
        ),
        Mutant(
            name="expire_after_hand_over",
            mistake="a sample that was handed over can still expire",
            caught_by="not_doubled",
        ),
        Mutant(
            name="last_commit_wins",
            mistake="a later commit replaces an earlier one",
            caught_by="delivered_is_durable",
        ),
        Mutant(
            name="check_only_at_generation",
            mistake="staleness is checked at generation only, not at hand-over",
            caught_by="within_bound",
        ),
        Mutant(
            name="drop_epoch_check",
            mistake="records of a superseded keeper are accepted",
            caught_by="epoch_in_force",
        ),
    ),
)
