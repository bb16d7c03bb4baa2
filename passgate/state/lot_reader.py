"""Pages of a lot: hands samples over on the log, then gives them to the trainer.

A page holds only samples whose hand-over this daemon's fold has passed, so that
any daemon gives the same samples at the same cursor.  Each one is compared with
the staleness bound at the moment it is given.
"""

from __future__ import annotations

from passgate.clock import monotonic_s
from passgate.errors import DurabilityUnavailable, DurabilityUnknown
from passgate.records import SamplesHandedOver
from passgate.state.lot_handle import LotHandle
from passgate.state.lot_keeper import expire
from passgate.state.lot_state import HandOver, LotFold, SlotState, SlotStatus
from passgate.state.lot_types import DeliveredSample, SampleFailure, SamplesPage, sample_id

HAND_OVER_TIMEOUT_S = 5.0
SHORTEST_WAIT_S = 0.001
"""Below it the loop's clock may not advance."""
PAGE_LIMIT_TOKENS = 500_000
"""Encoding a page must not hold the loop up for long."""


async def read_page(
    handle: LotHandle, cursor: int, limit: int, wait_s: float, trainer_version: int | None
) -> SamplesPage:
    """Return up to ``limit`` samples from ``cursor``, waiting up to ``wait_s`` for the first.

    Raises:
        DurabilityUnavailable, DurabilityUnknown: samples are there and the log
            can not record their hand-over; nothing was given, read again.
    """
    deadline_s = monotonic_s() + wait_s
    while True:
        page = await _page_now(handle, cursor, limit, trainer_version)
        remaining_s = deadline_s - monotonic_s()
        if page.samples or page.withdrawn or page.failed or page.finished or remaining_s < SHORTEST_WAIT_S:
            return page
        if page.next_cursor > cursor:
            cursor = page.next_cursor
            continue
        await handle.wait_for_change(remaining_s)


async def _page_now(handle: LotHandle, cursor: int, limit: int, trainer_version: int | None) -> SamplesPage:
    version = handle.version(trainer_version)
    has_handed_over = cursor < len(handle.fold.order)
    try:
        await _hand_over(handle, cursor, limit, version)
    except (DurabilityUnavailable, DurabilityUnknown):
        if not has_handed_over:
            raise
    return _build(handle, cursor, limit, handle.version(trainer_version))


async def _hand_over(handle: LotHandle, cursor: int, limit: int, version: int) -> None:
    """Extend the reading order so that it covers the page as far as samples are there."""
    missing = cursor + limit - len(handle.fold.order)
    if missing <= 0 or handle.fold.header.cancelled:
        return
    stale = set(handle.stale_committed(version))
    if stale:
        await expire(handle, sorted(stale), version, HAND_OVER_TIMEOUT_S)
    fresh = [index for index in handle.fold.committed if index not in stale][:missing]
    if fresh and cursor <= len(handle.fold.order):
        body = SamplesHandedOver(indexes=tuple(fresh), trainer_version=version)
        await handle.propose(body, timeout_s=HAND_OVER_TIMEOUT_S)


def _build(handle: LotHandle, cursor: int, limit: int, version: int) -> SamplesPage:
    fold = handle.fold
    positions = _within_token_limit(fold, fold.order[cursor : cursor + limit])
    samples: list[DeliveredSample] = []
    withdrawn: list[str] = []
    failed: list[SampleFailure] = []
    for position in positions:
        slot = fold.slots[position.index]
        identifier = sample_id(handle.lot_id, position.index)
        if slot.attempt != position.attempt:
            continue  # Replaced since; the new attempt has a later position.
        if slot.status is SlotStatus.FAILED:
            failed.append(SampleFailure(sample_id=identifier, index=position.index, code=slot.failure_code))
        elif slot.status is SlotStatus.HANDED_OVER and fold.header.is_stale(slot.sample, version):
            withdrawn.append(identifier)
        elif slot.status is SlotStatus.HANDED_OVER and not fold.header.cancelled:
            samples.append(_delivered(identifier, position, slot))
    next_cursor = cursor + len(positions)
    return SamplesPage(
        samples=tuple(samples),
        next_cursor=next_cursor,
        finished=fold.is_whole() and next_cursor >= len(fold.order) and not withdrawn,
        withdrawn=tuple(withdrawn),
        failed=tuple(failed),
    )


def _within_token_limit(fold: LotFold, positions: list[HandOver]) -> list[HandOver]:
    """Cut a page where it would become too large; it keeps at least one sample."""
    tokens = 0
    for count, position in enumerate(positions):
        sample = fold.slots[position.index].sample
        tokens += sample.length if sample is not None else 0
        if count and tokens > PAGE_LIMIT_TOKENS:
            return positions[:count]
    return positions


def _delivered(identifier: str, position: HandOver, slot: SlotState) -> DeliveredSample:
    assert slot.sample is not None
    return DeliveredSample(
        sample_id=identifier,
        index=position.index,
        attempt=position.attempt,
        tokens=slot.sample.tokens,
        spans=slot.sample.spans,
        finish_reason=slot.sample.finish_reason,
        replica_id=slot.sample.replica_id,
    )
