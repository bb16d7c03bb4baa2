"""Projection of one lot's stream: the status and sample of each slot, and the delivery order.

A slot goes ``open -> committed -> handed over -> acknowledged``, or from open to
failed.  The first valid commit of a slot's attempt wins.  Two records open a slot
again under the next attempt: one expires a committed sample that exceeds the staleness
bound, the other replaces a handed-over sample that the trainer has not received.

Trainers read in the order of hand-overs and failures on the log, so every daemon serves
the same samples from the same cursor.  Records of a keeper carry its epoch and are
rejected once another daemon has taken the lot over.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.errors import (
    KeyReused,
    MalformedBody,
    NotFound,
    PassgateError,
    SupersededEpoch,
    UnknownRecord,
    VersionNotReported,
)
from passgate.records import (
    TOKEN_BYTES,
    KeeperReleased,
    KeeperTaken,
    LotCancelled,
    LotOpened,
    PackedPrompt,
    Record,
    SampleCommitted,
    SampleExpired,
    SampleFailed,
    SamplesAcknowledged,
    SamplesHandedOver,
    SamplesReplaced,
    pack_tokens,
)
from passgate.state.lot_values import (
    DeliveryPosition,
    LotChange,
    LotHeader,
    LotState,
    SlotState,
    SlotStatus,
    StoredSample,
)
from passgate.state.projection import Accepted, Decision, Rejected

__all__ = [
    "DeliveryPosition",
    "LotChange",
    "LotProjection",
    "LotHeader",
    "LotState",
    "SlotState",
    "SlotStatus",
    "StoredSample",
    "decide",
    "transition",
]


def decide(
    header: LotHeader, slots: Sequence[SlotState], offset: int, record: Record
) -> tuple[LotChange, Decision]:
    """Return the effect of ``record`` on a lot and the decision on the record; pure."""
    body = record.body
    unchanged = LotChange(header)
    if isinstance(body, LotOpened):
        return _open(header, offset, body)
    if header.opened is None:
        return unchanged, Rejected(offset, NotFound("the lot has not been opened"))
    if isinstance(body, SamplesAcknowledged):
        return _acknowledge(header, slots, offset, body)
    if header.cancelled:
        return unchanged, Rejected(offset, NotFound("the lot was cancelled"))
    if isinstance(body, LotCancelled):
        return LotChange(msgspec.structs.replace(header, cancelled=True)), Accepted(offset)
    if isinstance(body, KeeperTaken | KeeperReleased):
        return _change_keeper(header, offset, record)
    if isinstance(body, SampleCommitted | SampleExpired | SampleFailed):
        return _change_slot(header, slots, offset, record)
    if isinstance(body, SamplesHandedOver):
        return _hand_over(header, slots, offset, body)
    if isinstance(body, SamplesReplaced):
        return _replace(header, slots, offset, body)
    return unchanged, Rejected(offset, UnknownRecord("the record is not a lot record"))


def _open(header: LotHeader, offset: int, body: LotOpened) -> tuple[LotChange, Decision]:
    try:
        body = _pack_prompts(body)
    except (OverflowError, ValueError):
        return LotChange(header), Rejected(
            offset, MalformedBody("token identifiers must be unsigned 32-bit integers", field="prompts")
        )
    if header.opened is None:
        opened = msgspec.structs.replace(header, opened=body, trainer_version=body.trainer_version)
        slots = tuple((index, SlotState()) for index in range(len(body.packed_prompts)))
        return LotChange(opened, slots), Accepted(offset)
    if _is_same_lot(header.opened, body):
        return LotChange(header), Accepted(offset)
    return LotChange(header), Rejected(
        offset, KeyReused("the lot identifier was used for a different request")
    )


def _check_token_bytes(packed_tokens: bytes) -> bytes:
    """Return ``packed_tokens``; raise ValueError when they end within a token."""
    if len(packed_tokens) % TOKEN_BYTES:
        raise ValueError("the packed tokens end within a token")
    return packed_tokens


def _pack_prompts(body: LotOpened) -> LotOpened:
    """Return the record with packed prompts; raises OverflowError or ValueError for wrong tokens."""
    if not body.prompts:
        for prompt in body.packed_prompts:
            _check_token_bytes(prompt.tokens)
        return body
    packed = tuple(
        PackedPrompt(tokens=pack_tokens(spec.prompt), max_tokens=spec.max_tokens, seed=spec.seed)
        for spec in body.prompts
    )
    return msgspec.structs.replace(body, prompts=(), packed_prompts=packed)


def _is_same_lot(first: LotOpened, second: LotOpened) -> bool:
    """Compare two openings, except for deadline and trainer version, which differ between repeated calls."""
    second = msgspec.structs.replace(
        second, deadline_unix_s=first.deadline_unix_s, trainer_version=first.trainer_version
    )
    return first == second


def _change_keeper(header: LotHeader, offset: int, record: Record) -> tuple[LotChange, Decision]:
    body = record.body
    if isinstance(body, KeeperTaken) and record.epoch == header.epoch + 1:
        taken = msgspec.structs.replace(header, epoch=record.epoch, keeper=body.holder)
        return LotChange(taken), Accepted(offset, record.epoch)
    if isinstance(body, KeeperReleased) and record.epoch == header.epoch:
        return LotChange(msgspec.structs.replace(header, keeper="")), Accepted(offset)
    return LotChange(header), Rejected(offset, _superseded_error(header))


def _superseded_error(header: LotHeader) -> SupersededEpoch:
    return SupersededEpoch(
        "the record's epoch does not match the epoch of the lot", epoch=header.epoch, keeper=header.keeper
    )


def _change_slot(
    header: LotHeader, slots: Sequence[SlotState], offset: int, record: Record
) -> tuple[LotChange, Decision]:
    body = record.body
    if record.epoch != header.epoch:
        return LotChange(header), Rejected(offset, _superseded_error(header))
    if not 0 <= body.index < len(slots):
        return LotChange(header), Rejected(offset, NotFound("the lot has no such slot", index=body.index))
    slot = slots[body.index]
    if isinstance(body, SampleCommitted):
        return _commit(header, slot, offset, body)
    if isinstance(body, SampleExpired):
        return _expire(header, slot, offset, body)
    if slot.status is not SlotStatus.OPEN:
        return LotChange(header), Rejected(offset, _slot_changed_error(slot))
    failed = SlotState(SlotStatus.FAILED, slot.attempt, failure_code=body.code)
    position = DeliveryPosition(body.index, slot.attempt)
    return LotChange(header, ((body.index, failed),), (position,)), Accepted(offset)


def _slot_changed_error(slot: SlotState) -> PassgateError:
    return SupersededEpoch(
        "the record does not match the status or the attempt of the slot",
        status=slot.status.value,
        attempt=slot.attempt,
    )


def _commit(
    header: LotHeader, slot: SlotState, offset: int, body: SampleCommitted
) -> tuple[LotChange, Decision]:
    if slot.status is not SlotStatus.OPEN or slot.attempt != body.attempt:
        return LotChange(header), Rejected(offset, _slot_changed_error(slot))
    if not body.spans:
        return LotChange(header), Rejected(offset, VersionNotReported("the sample names no weight version"))
    try:
        packed_tokens = _check_token_bytes(body.packed_tokens or pack_tokens(body.tokens))
    except (OverflowError, ValueError):
        return LotChange(header), Rejected(
            offset, MalformedBody("token identifiers must be unsigned 32-bit integers", field="tokens")
        )
    sample = StoredSample(packed_tokens, body.spans, body.finish_reason, body.replica_id)
    committed = SlotState(SlotStatus.COMMITTED, slot.attempt, sample)
    return LotChange(header, ((body.index, committed),)), Accepted(offset)


def _expire(
    header: LotHeader, slot: SlotState, offset: int, body: SampleExpired
) -> tuple[LotChange, Decision]:
    is_current = slot.status is SlotStatus.COMMITTED and slot.attempt == body.attempt
    if not is_current or not header.is_stale(slot.sample, body.trainer_version):
        return LotChange(header), Rejected(offset, _slot_changed_error(slot))
    updated = _with_trainer_version(header, body.trainer_version)
    return LotChange(updated, ((body.index, _reopened_slot(slot)),)), Accepted(offset)


def _hand_over(
    header: LotHeader, slots: Sequence[SlotState], offset: int, body: SamplesHandedOver
) -> tuple[LotChange, Decision]:
    """Hand over the named samples, except those that are not committed or exceed the staleness bound."""
    updated = _with_trainer_version(header, body.trainer_version)
    changed: dict[int, SlotState] = {}
    for index in body.indexes:
        slot = slots[index] if 0 <= index < len(slots) else SlotState()
        if slot.status is SlotStatus.COMMITTED and not updated.is_stale(slot.sample, 0):
            changed[index] = msgspec.structs.replace(slot, status=SlotStatus.HANDED_OVER)
    positions = tuple(DeliveryPosition(index, slot.attempt) for index, slot in changed.items())
    return LotChange(updated, tuple(changed.items()), positions), Accepted(offset, tuple(changed))


def _acknowledge(
    header: LotHeader, slots: Sequence[SlotState], offset: int, body: SamplesAcknowledged
) -> tuple[LotChange, Decision]:
    changed = {
        index: SlotState(SlotStatus.ACKNOWLEDGED, slots[index].attempt)
        for index in body.indexes
        if 0 <= index < len(slots) and slots[index].status is SlotStatus.HANDED_OVER
    }
    return LotChange(header, tuple(changed.items())), Accepted(offset, tuple(changed))


def _replace(
    header: LotHeader, slots: Sequence[SlotState], offset: int, body: SamplesReplaced
) -> tuple[LotChange, Decision]:
    changed: dict[int, SlotState] = {}
    for index, attempt in zip(body.indexes, body.attempts, strict=False):
        slot = slots[index] if 0 <= index < len(slots) else SlotState()
        if slot.status is SlotStatus.HANDED_OVER and slot.attempt == attempt:
            changed[index] = _reopened_slot(slot)
    return LotChange(header, tuple(changed.items())), Accepted(offset, tuple(changed))


def _reopened_slot(slot: SlotState) -> SlotState:
    return SlotState(SlotStatus.OPEN, slot.attempt + 1)


def _with_trainer_version(header: LotHeader, version: int) -> LotHeader:
    if version <= header.trainer_version:
        return header
    return msgspec.structs.replace(header, trainer_version=version)


def transition(state: LotState, offset: int, record: Record) -> tuple[LotState, Decision]:
    """Return the lot after ``record`` and the decision on it; pure, and copies all slots."""
    change, decision = decide(state.header, state.slots, offset, record)
    slots = list(state.slots)
    _update_slots(slots, change)
    return LotState(change.header, tuple(slots), state.order + change.positions), decision


def _update_slots(slots: list[SlotState], change: LotChange) -> None:
    for index, slot in change.slots:
        if index == len(slots):
            slots.append(slot)
        else:
            slots[index] = slot


class LotProjection:
    """State of a lot, as a projection for a log follower; changes only the slots that a record names."""

    def __init__(self) -> None:
        self.header = LotHeader()
        self.slots: list[SlotState] = []
        self.delivery_order: list[DeliveryPosition] = []
        self.committed_indexes: dict[int, None] = {}
        """Indexes of slots whose status is COMMITTED as keys, in the order of their commits."""
        self.count_by_status = dict.fromkeys(SlotStatus, 0)
        self.reopen_count = 0
        """Number of times that a slot was opened again."""
        self._status_by_index: dict[int, SlotStatus] = {}

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the lot's stream."""
        change, decision = decide(self.header, self.slots, offset, record)
        self.header = change.header
        _update_slots(self.slots, change)
        self.delivery_order.extend(change.positions)
        for index, slot in change.slots:
            self._update_counts(index, slot)
        return decision

    def has_open_slots(self) -> bool:
        """Return whether the lot is not cancelled and a slot is open."""
        return not self.header.cancelled and self.count_by_status[SlotStatus.OPEN] > 0

    def is_settled(self) -> bool:
        """Return whether every slot is acknowledged or failed, or the lot is cancelled."""
        settled = self.count_by_status[SlotStatus.ACKNOWLEDGED] + self.count_by_status[SlotStatus.FAILED]
        return self.header.cancelled or (self.header.opened is not None and settled == len(self.slots))

    def is_finished(self) -> bool:
        """Return whether no slot is open or committed, or the lot is cancelled."""
        undelivered = self.count_by_status[SlotStatus.OPEN] + self.count_by_status[SlotStatus.COMMITTED]
        return self.header.cancelled or undelivered == 0

    def _update_counts(self, index: int, slot: SlotState) -> None:
        """Update the counts and ``committed_indexes`` for the new state of a slot."""
        previous_status = self._status_by_index.get(index)
        if previous_status is not None:
            self.count_by_status[previous_status] -= 1
        self._status_by_index[index] = slot.status
        self.count_by_status[slot.status] += 1
        self.reopen_count += slot.status is SlotStatus.OPEN and slot.attempt > 0
        self.committed_indexes.pop(index, None)
        if slot.status is SlotStatus.COMMITTED:
            self.committed_indexes[index] = None

    def snapshot(self) -> bytes:
        """Return the lot as JSON."""
        return msgspec.json.encode(LotState(self.header, tuple(self.slots), tuple(self.delivery_order)))

    def restore(self, state: bytes) -> None:
        """Replace the lot by a snapshot; raises ``msgspec.MsgspecError`` when it is not readable."""
        lot = msgspec.json.decode(state, type=LotState)
        self.header, self.slots, self.delivery_order = lot.header, list(lot.slots), list(lot.order)
        self.committed_indexes = {}
        self.count_by_status = dict.fromkeys(SlotStatus, 0)
        self._status_by_index = {}
        for index, slot in enumerate(self.slots):
            self._update_counts(index, slot)
