"""Lot projection: invariants that hold after any sequence of records, and rejected records."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from passgate.records import (
    KeeperReleased,
    KeeperTaken,
    LotCancelled,
    LotOpened,
    PromptSpec,
    Record,
    SampleCommitted,
    SampleExpired,
    SampleFailed,
    SamplesAcknowledged,
    SamplesHandedOver,
    SamplesReplaced,
)
from passgate.schema import FinishReason, VersionSpan
from passgate.state.lot_state import LotProjection, LotState, SlotState, SlotStatus, transition
from passgate.state.projection import Accepted

SLOTS = 3
BOUND = 1
OPENED = LotOpened(
    lot_id="lot",
    caller="t",
    pool="p",
    model="m",
    priority_class="training",
    staleness_bound=BOUND,
    trainer_version=5,
    deadline_unix_s=None,
    prompts=(PromptSpec(prompt=(1,), max_tokens=1),) * SLOTS,
)

indexes = st.integers(0, SLOTS)
attempts = st.integers(0, 2)
versions = st.integers(4, 9)
index_tuples = st.lists(indexes, max_size=3).map(tuple)


def commit_record(index, attempt, version, token):
    return SampleCommitted(
        index=index,
        attempt=attempt,
        tokens=(token,),
        spans=(VersionSpan(0, 1, version),),
        finish_reason=FinishReason.STOP,
        replica_id="e",
    )


bodies = st.one_of(
    st.builds(KeeperTaken, holder=st.sampled_from(["d1", "d2"])),
    st.just(KeeperReleased()),
    st.builds(commit_record, indexes, attempts, versions, st.integers(0, 9)),
    st.builds(SampleExpired, index=indexes, attempt=attempts, trainer_version=versions),
    st.builds(SamplesHandedOver, indexes=index_tuples, trainer_version=versions),
    st.builds(SamplesAcknowledged, indexes=index_tuples),
    st.builds(SamplesReplaced, indexes=index_tuples, attempts=st.lists(attempts, max_size=3).map(tuple)),
    st.builds(SampleFailed, index=indexes, code=st.just("deadline_exceeded")),
)
bodies_or_rare_cancel = st.one_of(*[bodies] * 12, st.just(LotCancelled()))
records = st.builds(
    Record, writer=st.just("w"), sequence=st.just(1), epoch=st.integers(0, 3), body=bodies_or_rare_cancel
)


def opened_lot():
    return transition(LotState(), 0, Record(writer="w", sequence=1, epoch=0, body=OPENED))[0]


def apply(state, *steps):
    """Apply (epoch, body) steps and return the state."""
    for epoch, body in steps:
        state, _ = transition(state, 1, Record(writer="w", sequence=1, epoch=epoch, body=body))
    return state


@given(st.lists(records, max_size=30))
@settings(max_examples=300, deadline=None)
def test_any_sequence_of_records_keeps_the_invariants(drawn):
    state, projection = opened_lot(), LotProjection()
    projection.apply(0, Record(writer="w", sequence=1, epoch=0, body=OPENED))
    for offset, record in enumerate(drawn, 1):
        before = state
        state, decision = transition(before, offset, record)
        assert type(projection.apply(offset, record)) is type(decision)
        check_step(before, state, record)
        if not isinstance(decision, Accepted):
            assert state == before
    assert (projection.header, tuple(projection.slots), tuple(projection.delivery_order)) == (
        state.header,
        state.slots,
        state.order,
    )
    assert sum(projection.count_by_status.values()) == SLOTS
    restored = LotProjection()
    restored.restore(projection.snapshot())
    assert (restored.slots, restored.delivery_order, restored.count_by_status) == (
        projection.slots,
        projection.delivery_order,
        projection.count_by_status,
    )


def check_step(before, after, record):
    """Check the effect of one record on the lot."""
    assert after.header.epoch in (before.header.epoch, before.header.epoch + 1)
    assert after.header.trainer_version >= before.header.trainer_version
    assert after.order[: len(before.order)] == before.order
    assert len(set(after.order)) == len(after.order), "one attempt is handed over once"
    for old, new in zip(before.slots, after.slots, strict=True):
        if new != old:
            check_slot(old, new, after.header, record)


def check_slot(old, new, header, record):
    """Check that the change of one slot is allowed for the record."""
    assert (old.status, new.status) in {
        (SlotStatus.OPEN, SlotStatus.COMMITTED),
        (SlotStatus.OPEN, SlotStatus.FAILED),
        (SlotStatus.COMMITTED, SlotStatus.OPEN),
        (SlotStatus.COMMITTED, SlotStatus.HANDED_OVER),
        (SlotStatus.HANDED_OVER, SlotStatus.OPEN),
        (SlotStatus.HANDED_OVER, SlotStatus.ACKNOWLEDGED),
    }
    if isinstance(record.body, SampleCommitted | SampleExpired | SampleFailed):
        assert record.epoch == header.epoch
    if new.status is SlotStatus.HANDED_OVER:
        assert new.sample == old.sample
        newest = max(header.trainer_version, record.body.trainer_version)
        assert newest - new.sample.oldest_version <= BOUND
    assert new.attempt == old.attempt + (new.status is SlotStatus.OPEN)
    if isinstance(record.body, SamplesReplaced):
        assert old.attempt in record.body.attempts


def test_commit_of_an_earlier_attempt_or_epoch_is_rejected():
    taken = apply(opened_lot(), (1, KeeperTaken(holder="d1")))
    reopened = apply(
        taken,
        (1, commit_record(0, 0, 5, 1)),
        (1, SampleExpired(index=0, attempt=0, trainer_version=7)),
    )
    assert reopened.slots[0] == SlotState(SlotStatus.OPEN, 1)
    assert apply(reopened, (1, commit_record(0, 0, 7, 2))) == reopened
    superseded = apply(reopened, (2, KeeperTaken(holder="d2")))
    assert apply(superseded, (1, commit_record(0, 1, 7, 2))) == superseded
    assert apply(superseded, (2, commit_record(0, 1, 7, 2))).slots[0].status is SlotStatus.COMMITTED


def test_first_commit_of_a_slot_wins():
    committed_once = apply(opened_lot(), (1, KeeperTaken(holder="d1")), (1, commit_record(0, 0, 5, 1)))
    assert apply(committed_once, (1, commit_record(0, 0, 5, 2))) == committed_once
    assert committed_once.slots[0].sample.tokens == (1,)


def test_hand_over_uses_the_highest_version_of_earlier_records():
    lot = apply(
        opened_lot(),
        (1, KeeperTaken(holder="d1")),
        (1, commit_record(0, 0, 5, 1)),
        (1, commit_record(1, 0, 7, 1)),
    )
    lot = apply(lot, (0, SamplesHandedOver(indexes=(1,), trainer_version=8)))
    lot = apply(lot, (0, SamplesHandedOver(indexes=(0,), trainer_version=5)))
    assert [slot.status for slot in lot.slots[:2]] == [SlotStatus.COMMITTED, SlotStatus.HANDED_OVER]


def test_commit_without_versions_or_with_invalid_tokens_is_rejected():
    taken = apply(opened_lot(), (1, KeeperTaken(holder="d1")))
    valid = commit_record(0, 0, 5, 1)
    invalid_changes = ({"spans": ()}, {"tokens": (-1,)}, {"tokens": (2**40,)}, {"packed_tokens": b"123"})
    for invalid in (msgspec.structs.replace(valid, **changes) for changes in invalid_changes):
        assert apply(taken, (1, invalid)) == taken


def test_replacement_of_an_earlier_attempt_changes_nothing():
    lot = apply(opened_lot(), (1, KeeperTaken(holder="d1")), (1, commit_record(0, 0, 5, 1)))
    lot = apply(lot, (0, SamplesHandedOver(indexes=(0,), trainer_version=5)))
    replace_first = (0, SamplesReplaced(indexes=(0,), attempts=(0,)))
    lot = apply(lot, replace_first, (1, commit_record(0, 1, 6, 1)))
    lot = apply(lot, (0, SamplesHandedOver(indexes=(0,), trainer_version=6)))
    assert lot.slots[0].status is SlotStatus.HANDED_OVER
    assert apply(lot, replace_first) == lot
