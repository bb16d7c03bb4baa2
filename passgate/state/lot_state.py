"""Fold of one lot's stream: which sample fills each slot, and what the trainer has.

A slot goes ``open -> committed -> handed over -> acknowledged``.  The first valid
commit of a slot's attempt wins.  A committed sample over the staleness bound is
expired, a handed-over one that the trainer lacks is replaced: both open the slot
again under the next attempt.  The order of hand-overs on the log is the order in
which trainers read, so every daemon serves the same page at the same cursor.
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
from passgate.state.fold import Accepted, Decision, Rejected
from passgate.state.lot_values import (
    HandOver,
    LotChange,
    LotHeader,
    LotState,
    SlotState,
    SlotStatus,
    StoredSample,
)

__all__ = [
    "HandOver",
    "LotChange",
    "LotFold",
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
    """Return the effect of ``record`` on a lot and the decision; pure."""
    body = record.body
    unchanged = LotChange(header)
    if isinstance(body, LotOpened):
        return _open(header, offset, body)
    if header.opened is None:
        return unchanged, Rejected(offset, NotFound("the lot was never opened"))
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
    return unchanged, Rejected(offset, UnknownRecord("not a lot record"))


def _open(header: LotHeader, offset: int, body: LotOpened) -> tuple[LotChange, Decision]:
    try:
        body = _packed(body)
    except (OverflowError, ValueError):
        return LotChange(header), Rejected(
            offset, MalformedBody("tokens are 32-bit integers", field="prompts")
        )
    if header.opened is None:
        opened = msgspec.structs.replace(header, opened=body, trainer_version=body.trainer_version)
        slots = tuple((index, SlotState()) for index in range(len(body.packed_prompts)))
        return LotChange(opened, slots), Accepted(offset)
    if _is_same_lot(header.opened, body):
        return LotChange(header), Accepted(offset)
    return LotChange(header), Rejected(offset, KeyReused("the lot identifier names another lot"))


def _checked(packed_tokens: bytes) -> bytes:
    if len(packed_tokens) % TOKEN_BYTES:
        raise ValueError("packed tokens are cut off")
    return packed_tokens


def _packed(body: LotOpened) -> LotOpened:
    if not body.prompts:
        for prompt in body.packed_prompts:
            _checked(prompt.tokens)
        return body
    packed = tuple(
        PackedPrompt(tokens=pack_tokens(spec.prompt), max_tokens=spec.max_tokens, seed=spec.seed)
        for spec in body.prompts
    )
    return msgspec.structs.replace(body, prompts=(), packed_prompts=packed)


def _is_same_lot(first: LotOpened, second: LotOpened) -> bool:
    """Compare two openings; a repeated call computes another deadline and newer versions."""
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
    return LotChange(header), Rejected(offset, _superseded(header))


def _superseded(header: LotHeader) -> SupersededEpoch:
    return SupersededEpoch("the lot is under another epoch", epoch=header.epoch, keeper=header.keeper)


def _change_slot(
    header: LotHeader, slots: Sequence[SlotState], offset: int, record: Record
) -> tuple[LotChange, Decision]:
    body = record.body
    if record.epoch != header.epoch:
        return LotChange(header), Rejected(offset, _superseded(header))
    if not 0 <= body.index < len(slots):
        return LotChange(header), Rejected(offset, NotFound("the lot has no such slot", index=body.index))
    slot = slots[body.index]
    if isinstance(body, SampleCommitted):
        return _commit(header, slot, offset, body)
    if isinstance(body, SampleExpired):
        return _expire(header, slot, offset, body)
    if slot.status is not SlotStatus.OPEN:
        return LotChange(header), Rejected(offset, _slot_moved_on(slot))
    failed = SlotState(SlotStatus.FAILED, slot.attempt, failure_code=body.code)
    position = HandOver(body.index, slot.attempt)
    return LotChange(header, ((body.index, failed),), (position,)), Accepted(offset)


def _slot_moved_on(slot: SlotState) -> PassgateError:
    return SupersededEpoch("the slot has moved on", status=slot.status.value, attempt=slot.attempt)


def _commit(
    header: LotHeader, slot: SlotState, offset: int, body: SampleCommitted
) -> tuple[LotChange, Decision]:
    if slot.status is not SlotStatus.OPEN or slot.attempt != body.attempt:
        return LotChange(header), Rejected(offset, _slot_moved_on(slot))
    if not body.spans:
        return LotChange(header), Rejected(offset, VersionNotReported("no version made the sample"))
    try:
        packed_tokens = _checked(body.packed_tokens or pack_tokens(body.tokens))
    except (OverflowError, ValueError):
        return LotChange(header), Rejected(
            offset, MalformedBody("tokens are 32-bit integers", field="tokens")
        )
    sample = StoredSample(packed_tokens, body.spans, body.finish_reason, body.replica_id)
    committed = SlotState(SlotStatus.COMMITTED, slot.attempt, sample)
    return LotChange(header, ((body.index, committed),)), Accepted(offset)


def _expire(
    header: LotHeader, slot: SlotState, offset: int, body: SampleExpired
) -> tuple[LotChange, Decision]:
    is_current = slot.status is SlotStatus.COMMITTED and slot.attempt == body.attempt
    if not is_current or not header.is_stale(slot.sample, body.trainer_version):
        return LotChange(header), Rejected(offset, _slot_moved_on(slot))
    seen = _with_version(header, body.trainer_version)
    return LotChange(seen, ((body.index, _opened_again(slot)),)), Accepted(offset)


def _hand_over(
    header: LotHeader, slots: Sequence[SlotState], offset: int, body: SamplesHandedOver
) -> tuple[LotChange, Decision]:
    """Hand over those of the named samples that are committed and within the bound."""
    seen = _with_version(header, body.trainer_version)
    changed: dict[int, SlotState] = {}
    for index in body.indexes:
        slot = slots[index] if 0 <= index < len(slots) else SlotState()
        if slot.status is SlotStatus.COMMITTED and not seen.is_stale(slot.sample, 0):
            changed[index] = msgspec.structs.replace(slot, status=SlotStatus.HANDED_OVER)
    positions = tuple(HandOver(index, slot.attempt) for index, slot in changed.items())
    return LotChange(seen, tuple(changed.items()), positions), Accepted(offset, tuple(changed))


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
            changed[index] = _opened_again(slot)
    return LotChange(header, tuple(changed.items())), Accepted(offset, tuple(changed))


def _opened_again(slot: SlotState) -> SlotState:
    return SlotState(SlotStatus.OPEN, slot.attempt + 1)


def _with_version(header: LotHeader, version: int) -> LotHeader:
    if version <= header.trainer_version:
        return header
    return msgspec.structs.replace(header, trainer_version=version)


def transition(state: LotState, offset: int, record: Record) -> tuple[LotState, Decision]:
    """Return the lot after ``record`` and the decision; pure, copies all slots."""
    change, decision = decide(state.header, state.slots, offset, record)
    slots = list(state.slots)
    _place(slots, change)
    return LotState(change.header, tuple(slots), state.order + change.positions), decision


def _place(slots: list[SlotState], change: LotChange) -> None:
    for index, slot in change.slots:
        if index == len(slots):
            slots.append(slot)
        else:
            slots[index] = slot


class LotFold:
    """Mutable holder of a lot for a log follower; changes only the slots that a record names."""

    def __init__(self) -> None:
        self.header = LotHeader()
        self.slots: list[SlotState] = []
        self.order: list[HandOver] = []
        self.committed: dict[int, None] = {}
        """Indexes of committed, not handed-over slots in the order of their commits."""
        self.counts = dict.fromkeys(SlotStatus, 0)
        """Number of slots in each status."""
        self.reopenings = 0
        """How often slots were opened again."""
        self._statuses: dict[int, SlotStatus] = {}

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the lot's stream."""
        change, decision = decide(self.header, self.slots, offset, record)
        self.header = change.header
        _place(self.slots, change)
        self.order.extend(change.positions)
        for index, slot in change.slots:
            self._count(index, slot)
        return decision

    def has_work_left(self) -> bool:
        """Return whether a slot still has to be produced."""
        return not self.header.cancelled and self.counts[SlotStatus.OPEN] > 0

    def is_settled(self) -> bool:
        """Return whether the trainer has everything that can be had."""
        settled = self.counts[SlotStatus.ACKNOWLEDGED] + self.counts[SlotStatus.FAILED]
        return self.header.cancelled or (self.header.opened is not None and settled == len(self.slots))

    def is_whole(self) -> bool:
        """Return whether every slot was handed over or has failed, or the lot is cancelled."""
        waiting = self.counts[SlotStatus.OPEN] + self.counts[SlotStatus.COMMITTED]
        return self.header.cancelled or waiting == 0

    def _count(self, index: int, slot: SlotState) -> None:
        previous = self._statuses.get(index)
        if previous is not None:
            self.counts[previous] -= 1
        self._statuses[index] = slot.status
        self.counts[slot.status] += 1
        self.reopenings += slot.status is SlotStatus.OPEN and slot.attempt > 0
        self.committed.pop(index, None)
        if slot.status is SlotStatus.COMMITTED:
            self.committed[index] = None

    def snapshot(self) -> bytes:
        """Return the lot as JSON."""
        return msgspec.json.encode(LotState(self.header, tuple(self.slots), tuple(self.order)))

    def restore(self, state: bytes) -> None:
        """Replace the lot by a snapshot."""
        lot = msgspec.json.decode(state, type=LotState)
        self.header, self.slots, self.order = lot.header, list(lot.slots), list(lot.order)
        self.committed = {}
        self.counts = dict.fromkeys(SlotStatus, 0)
        self._statuses = {}
        for index, slot in enumerate(self.slots):
            self._count(index, slot)
