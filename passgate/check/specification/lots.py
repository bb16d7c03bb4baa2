"""Specification of a lot's keeper, samples and delivery; see :mod:`passgate.state.lots`.

A lot has one slot, and its staleness bound is zero versions.  Daemon 0 keeps the lot (produces its sample)
until daemon 1 takes it over, whether daemon 0 has crashed or is only slow.  Records are late or never reach
the log.  The trainer reads pages from either daemon, and a page may be lost.  Its weight version may
increase.  It acknowledges a sample that it has received, and requests a replacement for one that was handed
over, was not received and has become stale.

Invariants:

- ``same_bytes``: all copies that the trainer receives are of the same sample;
- ``not_doubled``: the trainer receives one copy at most, as its cursor moves past it;
- ``within_bound``: the trainer receives no sample that exceeds the staleness bound;
- ``delivered_is_durable``: the hand-over of a received sample is on the log;
- ``epoch_in_force``: accepted commits and expiries carry the epoch of the keeper that was accepted last.

Liveness: from every state, the trainer can still receive the sample, also after daemon 0 has crashed.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from passgate.check.specification.log_model import LogReplayer, LogState, append_actions, start_append
from passgate.check.specification.model_checker import Action, Mutant, Specification
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

DAEMON_COUNT = 2
MAX_VERSION = 2
"""Highest weight version of the trainer and of samples."""
STALENESS_BOUND = 0
SERVING_DAEMON = 1
"""Index of the daemon that serves the trainer's calls to replace and to acknowledge, and that also hands over
samples as a daemon that is not the keeper.  Both daemons serve pages."""

LOT_OPENED = LotOpened(
    lot_id="l",
    caller="t",
    pool="p",
    model="m",
    priority_class="training",
    staleness_bound=STALENESS_BOUND,
    trainer_version=1,
    deadline_unix_s=None,
    prompts=(PromptSpec(prompt=(1,), max_tokens=1),),
)


class Daemon(NamedTuple):
    """A daemon that serves pages and may keep the lot."""

    applied_count: int = 1
    """Number of records of the log that were applied; the first opens the lot."""
    proposed_id: int = -1
    """Own record that it has sent and not read back; -1 if none."""
    crashed: bool = False


class Trainer(NamedTuple):
    """The trainer that reads the lot."""

    version: int = 1
    """Its weight version."""
    cursor: int = 0
    """Position in the delivery order from which it reads next."""
    received_tokens: tuple[int, ...] = ()
    """First token of each copy received; it encodes daemon, attempt and version."""
    received_stale: bool = False
    """Whether it has received a sample that exceeds the staleness bound."""
    received_before_hand_over: bool = False
    """Whether it has received a sample whose hand-over was not on the log."""


class LotModelState(NamedTuple):
    """State of the model: the stream of the lot, the daemons and the trainer."""

    log: LogState
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMON_COUNT
    trainer: Trainer = Trainer()


class _MutantLotProjection(LotProjection):
    """Base of mutants that accept records which the running code rejects."""

    def _replace_slot(self, index: int, slot: SlotState, *positions: DeliveryPosition) -> None:
        """Set a slot and append to the delivery order, as ``LotProjection.apply`` does with a change."""
        change = LotChange(self.header, ((index, slot),), positions)
        self.slots[index] = slot
        self.delivery_order.extend(change.positions)
        self._count(index, slot)


class ExpireAfterHandOverProjection(_MutantLotProjection):
    """Mutant: a sample that was handed over can still expire."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a record; an expiry opens a handed-over slot again."""
        decision = super().apply(offset, record)
        if isinstance(record.body, SampleExpired) and not isinstance(decision, Accepted):
            slot = self.slots[record.body.index]
            if slot.status is SlotStatus.HANDED_OVER:
                self._replace_slot(record.body.index, SlotState(SlotStatus.OPEN, slot.attempt + 1))
                return Accepted(offset)
        return decision


class LastCommitProjection(_MutantLotProjection):
    """Mutant: the last commit of a slot wins, not the first."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a record; a commit overwrites a committed or handed-over sample of its attempt."""
        body = record.body
        slot_before = self.slots[0] if self.slots else SlotState()
        decision = super().apply(offset, record)
        replaceable = slot_before.status in (SlotStatus.COMMITTED, SlotStatus.HANDED_OVER)
        if isinstance(body, SampleCommitted) and replaceable and body.attempt == slot_before.attempt:
            scratch = LotProjection()
            scratch.header, scratch.slots = self.header, [SlotState(SlotStatus.OPEN, body.attempt)]
            scratch.apply(offset, msgspec.structs.replace(record, epoch=self.header.epoch))
            self._replace_slot(0, msgspec.structs.replace(slot_before, sample=scratch.slots[0].sample))
            return Accepted(offset)
        return decision


class UnfencedLotProjection(LotProjection):
    """Mutant: records of superseded keepers are accepted."""

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply a commit or an expiry as if it carried the current epoch."""
        if isinstance(record.body, SampleCommitted | SampleExpired):
            record = msgspec.structs.replace(record, epoch=self.header.epoch)
        return super().apply(offset, record)


_PROJECTION_BY_MUTANT = {
    "expire_after_hand_over": ExpireAfterHandOverProjection,
    "last_commit_wins": LastCommitProjection,
    "drop_epoch_check": UnfencedLotProjection,
}


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        projection_type = next(
            (_PROJECTION_BY_MUTANT[name] for name in mutants if name in _PROJECTION_BY_MUTANT), LotProjection
        )
        self.replayer = LogReplayer(projection_type)
        opened_id = self.replayer.record_id(Record(writer="t", sequence=1, epoch=0, body=LOT_OPENED))
        self.initial = LotModelState(LogState(records=(opened_id,)))

    # --- transitions -----------------------------------------------------------------

    def transitions(self, state: LotModelState) -> list[Action]:
        actions: list[Action] = [
            (label, state._replace(log=log)) for label, log in append_actions(state.log, lambda record_id: 1)
        ]
        for index, daemon in enumerate(state.daemons):
            if daemon.crashed:
                continue
            if daemon.applied_count < len(state.log.records):
                actions.append((f"read({index})", self._read_next(state, index)))
            if daemon.proposed_id < 0:
                actions += self._proposal_actions(state, index)
            actions += self._page_actions(state, index)
        if not state.daemons[0].crashed:
            actions.append(("die(0)", _with_daemon(state, 0, Daemon(applied_count=0, crashed=True))))
        if state.trainer.version < MAX_VERSION:
            newer_trainer = state.trainer._replace(version=state.trainer.version + 1)
            actions.append(("new_weights", state._replace(trainer=newer_trainer)))
        return actions

    def _read_next(self, state: LotModelState, index: int) -> LotModelState:
        daemon = state.daemons[index]
        daemon = daemon._replace(applied_count=daemon.applied_count + 1)
        if state.log.records[daemon.applied_count - 1] == daemon.proposed_id:
            daemon = daemon._replace(proposed_id=-1)
        return _with_daemon(state, index, daemon)

    def _projection_of(self, state: LotModelState, index: int) -> LotProjection:
        return self.replayer.view(state.log.records[: state.daemons[index].applied_count]).projection

    def _proposal_actions(self, state: LotModelState, index: int) -> list[Action]:
        projection = self._projection_of(state, index)
        slot = projection.slots[0]
        actions: list[Action] = []
        takes_over = index == 1 and state.daemons[0].crashed and projection.header.keeper != "d1"
        if projection.header.epoch == index or takes_over:
            # Daemon 1 takes the lot over from daemon 0 whether that has crashed or not.
            take = KeeperTaken(holder=f"d{index}")
            epoch = projection.header.epoch + 1
            actions.append((f"take({index})", self._propose(state, index, epoch, take)))
        if slot.status is SlotStatus.OPEN and projection.header.keeper == f"d{index}":
            actions += self._commit_actions(state, index, projection)
        if slot.status is SlotStatus.COMMITTED:
            actions += self._expire_or_hand_over_actions(state, index, projection)
        if slot.status is SlotStatus.HANDED_OVER and index == SERVING_DAEMON:
            actions += self._trainer_call_actions(state, index, projection)
        return actions

    def _commit_actions(self, state: LotModelState, index: int, projection: LotProjection) -> list[Action]:
        actions: list[Action] = []
        attempt = projection.slots[0].attempt
        for version in range(1, state.trainer.version + 1):
            if projection.header.trainer_version - version > STALENESS_BOUND:
                continue
            body = _make_commit(index, attempt, version)
            next_state = self._propose(state, index, projection.header.epoch, body)
            actions.append((f"commit({index}, v{version})", next_state))
        return actions

    def _expire_or_hand_over_actions(
        self, state: LotModelState, index: int, projection: LotProjection
    ) -> list[Action]:
        slot, version = projection.slots[0], state.trainer.version
        if index != SERVING_DAEMON and projection.header.keeper != f"d{index}":
            return []
        if (
            projection.header.is_stale(slot.sample, version)
            and "check_only_at_generation" not in self.mutants
        ):
            expired = SampleExpired(index=0, attempt=slot.attempt, trainer_version=version)
            next_state = self._propose(state, index, projection.header.epoch, expired)
            return [(f"expire({index})", next_state)]
        reported_version = 0 if "check_only_at_generation" in self.mutants else version
        handed_over = SamplesHandedOver(indexes=(0,), trainer_version=reported_version)
        return [(f"hand_over({index})", self._propose(state, index, 0, handed_over))]

    def _trainer_call_actions(
        self, state: LotModelState, index: int, projection: LotProjection
    ) -> list[Action]:
        slot, trainer = projection.slots[0], state.trainer
        if trainer.received_tokens:
            body = SamplesAcknowledged(indexes=(0,))
            return [(f"acknowledge({index})", self._propose(state, index, 0, body))]
        if projection.header.is_stale(slot.sample, trainer.version):
            body = SamplesReplaced(indexes=(0,), attempts=(slot.attempt,))
            return [(f"replace({index})", self._propose(state, index, 0, body))]
        return []

    def _propose(self, state: LotModelState, index: int, epoch: int, body: Body) -> LotModelState:
        own_count = sum(
            self.replayer.record(record_id).writer == f"d{index}" for record_id in state.log.records
        )
        record_id = self.replayer.record_id(
            Record(writer=f"d{index}", sequence=own_count + 1, epoch=epoch, body=body)
        )
        daemon = state.daemons[index]._replace(proposed_id=record_id)
        return _with_daemon(state, index, daemon)._replace(log=start_append(state.log, record_id))

    def _page_actions(self, state: LotModelState, index: int) -> list[Action]:
        """Return the actions by which the trainer receives a page; a lost page changes no state."""
        projection, trainer = self._projection_of(state, index), state.trainer
        actions: list[Action] = []
        if "deliver_before_hand_over" in self.mutants and projection.slots[0].status is SlotStatus.COMMITTED:
            actions.append((f"page({index})", self._receive_page(state, projection, trainer.cursor)))
        for position, entry in enumerate(projection.delivery_order[trainer.cursor :], start=trainer.cursor):
            slot = projection.slots[0]
            if slot.attempt != entry.attempt or slot.status is not SlotStatus.HANDED_OVER:
                continue
            is_stale = projection.header.is_stale(slot.sample, trainer.version)
            if not is_stale or "check_only_at_generation" in self.mutants:
                actions.append((f"page({index})", self._receive_page(state, projection, position + 1)))
        return actions

    def _receive_page(self, state: LotModelState, projection: LotProjection, cursor: int) -> LotModelState:
        sample, trainer = projection.slots[0].sample, state.trainer
        trainer = trainer._replace(
            cursor=cursor,
            received_tokens=(*trainer.received_tokens, sample.tokens[0]),
            received_stale=trainer.received_stale
            or trainer.version - sample.oldest_version > STALENESS_BOUND,
            received_before_hand_over=trainer.received_before_hand_over
            or not self._is_handed_over(state, sample),
        )
        return state._replace(trainer=trainer)

    def _is_handed_over(self, state: LotModelState, sample) -> bool:
        """Whether the sample's hand-over is on the log; an acknowledged slot no longer holds its sample."""
        slot = self.replayer.view(state.log.records).projection.slots[0]
        if slot.status is SlotStatus.ACKNOWLEDGED:
            return True
        return slot.status is SlotStatus.HANDED_OVER and slot.sample == sample

    # --- properties ------------------------------------------------------------------

    def invariants(self) -> dict:
        return {
            "same_bytes": lambda fields: len(set(fields["trainer"].received_tokens)) <= 1,
            "not_doubled": lambda fields: len(fields["trainer"].received_tokens) <= 1,
            "within_bound": lambda fields: not fields["trainer"].received_stale,
            "delivered_is_durable": lambda fields: not fields["trainer"].received_before_hand_over,
            "epoch_in_force": self._epoch_in_force,
        }

    def _epoch_in_force(self, fields: dict) -> bool:
        records = fields["log"].records
        epoch = 0
        for record_id, decision in zip(records, self.replayer.view(records).decisions, strict=True):
            record = self.replayer.record(record_id)
            if not isinstance(decision, Accepted):
                continue
            if isinstance(record.body, KeeperTaken):
                epoch = record.epoch
            elif isinstance(record.body, SampleCommitted | SampleExpired) and record.epoch != epoch:
                return False
        return True


def _make_commit(index: int, attempt: int, version: int) -> SampleCommitted:
    return SampleCommitted(
        index=0,
        attempt=attempt,
        tokens=(100 * index + 10 * attempt + version,),
        spans=(VersionSpan(0, 1, version),),
        finish_reason=FinishReason.LENGTH,
        replica_id=f"e{index}",
    )


def _with_daemon(state: LotModelState, index: int, daemon: Daemon) -> LotModelState:
    daemons = tuple(daemon if i == index else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="lots",
        candidate=False,
        fields=LotModelState._fields,
        initial=model.initial,
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: bool(fields["trainer"].received_tokens),
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
