"""Pure transitions of a lot: any sequence of records keeps the promises."""

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
from passgate.state.fold import Accepted
from passgate.state.lot_state import LotFold, LotState, SlotState, SlotStatus, transition

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
several = st.lists(indexes, max_size=3).map(tuple)


def committed(index, attempt, version, token):
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
    st.builds(committed, indexes, attempts, versions, st.integers(0, 9)),
    st.builds(SampleExpired, index=indexes, attempt=attempts, trainer_version=versions),
    st.builds(SamplesHandedOver, indexes=several, trainer_version=versions),
    st.builds(SamplesAcknowledged, indexes=several),
    st.builds(SamplesReplaced, indexes=several, attempts=st.lists(attempts, max_size=3).map(tuple)),
    st.builds(SampleFailed, index=indexes, code=st.just("deadline_exceeded")),
)
rare = st.one_of(*[bodies] * 12, st.just(LotCancelled()))
records = st.builds(Record, writer=st.just("w"), sequence=st.just(1), epoch=st.integers(0, 3), body=rare)


def opened():
    return transition(LotState(), 0, Record(writer="w", sequence=1, epoch=0, body=OPENED))[0]


def apply(state, *steps):
    """Apply (epoch, body) steps and return the state."""
    for epoch, body in steps:
        state, _ = transition(state, 1, Record(writer="w", sequence=1, epoch=epoch, body=body))
    return state


@given(st.lists(records, max_size=30))
@settings(max_examples=300, deadline=None)
def test_any_sequence_of_records(drawn):
    state, fold = opened(), LotFold()
    fold.apply(0, Record(writer="w", sequence=1, epoch=0, body=OPENED))
    for offset, record in enumerate(drawn, 1):
        before = state
        state, decision = transition(before, offset, record)
        assert type(fold.apply(offset, record)) is type(decision)
        check_step(before, state, record)
        if not isinstance(decision, Accepted):
            assert state == before
    assert (fold.header, tuple(fold.slots), tuple(fold.order)) == (state.header, state.slots, state.order)
    assert sum(fold.counts.values()) == SLOTS
    restored = LotFold()
    restored.restore(fold.snapshot())
    assert (restored.slots, restored.order, restored.counts) == (fold.slots, fold.order, fold.counts)


def check_step(before, after, record):
    assert after.header.epoch in (before.header.epoch, before.header.epoch + 1)
    assert after.header.trainer_version >= before.header.trainer_version
    assert after.order[: len(before.order)] == before.order
    assert len(set(after.order)) == len(after.order), "one attempt is handed over once"
    for old, new in zip(before.slots, after.slots, strict=True):
        if new != old:
            check_slot(old, new, after.header, record)


def check_slot(old, new, header, record):
    """Judge one changed slot against what may happen to it."""
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


def test_commit_of_an_earlier_attempt_or_epoch_changes_nothing():
    taken = apply(opened(), (1, KeeperTaken(holder="d1")))
    reopened = apply(
        taken,
        (1, committed(0, 0, 5, 1)),
        (1, SampleExpired(index=0, attempt=0, trainer_version=7)),
    )
    assert reopened.slots[0] == SlotState(SlotStatus.OPEN, 1)
    assert apply(reopened, (1, committed(0, 0, 7, 2))) == reopened
    superseded = apply(reopened, (2, KeeperTaken(holder="d2")))
    assert apply(superseded, (1, committed(0, 1, 7, 2))) == superseded
    assert apply(superseded, (2, committed(0, 1, 7, 2))).slots[0].status is SlotStatus.COMMITTED


def test_first_commit_wins_and_its_bytes_stay():
    once = apply(opened(), (1, KeeperTaken(holder="d1")), (1, committed(0, 0, 5, 1)))
    assert apply(once, (1, committed(0, 0, 5, 2))) == once
    assert once.slots[0].sample.tokens == (1,)


def test_versions_named_by_earlier_hand_overs_count():
    lot = apply(
        opened(), (1, KeeperTaken(holder="d1")), (1, committed(0, 0, 5, 1)), (1, committed(1, 0, 7, 1))
    )
    lot = apply(lot, (0, SamplesHandedOver(indexes=(1,), trainer_version=8)))
    lot = apply(lot, (0, SamplesHandedOver(indexes=(0,), trainer_version=5)))
    assert [slot.status for slot in lot.slots[:2]] == [SlotStatus.COMMITTED, SlotStatus.HANDED_OVER]


def test_commit_without_versions_or_with_odd_tokens_is_rejected():
    taken = apply(opened(), (1, KeeperTaken(holder="d1")))
    good = committed(0, 0, 5, 1)
    odd = ({"spans": ()}, {"tokens": (-1,)}, {"tokens": (2**40,)}, {"packed_tokens": b"123"})
    for bad in (msgspec.structs.replace(good, **changes) for changes in odd):
        assert apply(taken, (1, bad)) == taken


def test_replacement_names_its_attempt():
    lot = apply(opened(), (1, KeeperTaken(holder="d1")), (1, committed(0, 0, 5, 1)))
    lot = apply(lot, (0, SamplesHandedOver(indexes=(0,), trainer_version=5)))
    replace_first = (0, SamplesReplaced(indexes=(0,), attempts=(0,)))
    lot = apply(lot, replace_first, (1, committed(0, 1, 6, 1)))
    lot = apply(lot, (0, SamplesHandedOver(indexes=(0,), trainer_version=6)))
    assert lot.slots[0].status is SlotStatus.HANDED_OVER
    assert apply(lot, replace_first) == lot
