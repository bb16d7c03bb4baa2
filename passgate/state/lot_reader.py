"""Reads pages of a lot: records the hand-over of samples on the log, then returns them.

A page contains only samples whose hand-over this daemon has read back from the log, so
every daemon returns the same samples from the same cursor.  Samples that exceed the
staleness bound when the page is built must not be in it; they are listed as withdrawn.
"""

from __future__ import annotations

from passgate.clock import monotonic_s
from passgate.errors import DurabilityUnavailable, DurabilityUnknown
from passgate.records import SamplesHandedOver
from passgate.state.lot_handle import LotHandle
from passgate.state.lot_keeper import expire_samples
from passgate.state.lot_state import DeliveryPosition, LotProjection, SlotState, SlotStatus
from passgate.state.lot_types import DeliveredSample, SampleFailure, SamplesPage, sample_id

HAND_OVER_TIMEOUT_S = 5.0
SHORTEST_WAIT_S = 0.001
"""Shorter remaining times count as zero, because the event loop's clock may not advance during them."""
PAGE_LIMIT_TOKENS = 500_000
"""Limits the time for which encoding a page blocks the event loop."""


async def read_page(
    handle: LotHandle, cursor: int, limit: int, wait_s: float, trainer_version: int | None
) -> SamplesPage:
    """Return up to ``limit`` samples from ``cursor``, waiting up to ``wait_s`` for the first.

    Also returns early when the page has withdrawn samples or failures, or the lot is
    finished.

    Raises:
        DurabilityUnavailable, DurabilityUnknown: the hand-over of samples could not be
            recorded, and the delivery order has no entry from ``cursor`` on yet; read again.
    """
    deadline_s = monotonic_s() + wait_s
    while True:
        page = await _read_page_once(handle, cursor, limit, trainer_version)
        remaining_s = deadline_s - monotonic_s()
        if page.samples or page.withdrawn or page.failed or page.finished or remaining_s < SHORTEST_WAIT_S:
            return page
        if page.next_cursor > cursor:
            cursor = page.next_cursor
            continue
        await handle.wait_for_change(remaining_s)


async def _read_page_once(
    handle: LotHandle, cursor: int, limit: int, trainer_version: int | None
) -> SamplesPage:
    version = handle.newest_known_version(trainer_version)
    has_handed_over = cursor < len(handle.projection.delivery_order)
    try:
        await _hand_over(handle, cursor, limit, version)
    except (DurabilityUnavailable, DurabilityUnknown):
        if not has_handed_over:
            raise
    return _build_page(handle, cursor, limit, handle.newest_known_version(trainer_version))


async def _hand_over(handle: LotHandle, cursor: int, limit: int, version: int) -> None:
    """Record the hand-over of committed samples, up to the end of the page; expire stale ones."""
    missing_count = cursor + limit - len(handle.projection.delivery_order)
    if missing_count <= 0 or handle.projection.header.cancelled:
        return
    stale = set(handle.stale_committed_indexes(version))
    if stale:
        await expire_samples(handle, sorted(stale), version, HAND_OVER_TIMEOUT_S)
    fresh = [index for index in handle.projection.committed_indexes if index not in stale][:missing_count]
    if fresh and cursor <= len(handle.projection.delivery_order):
        body = SamplesHandedOver(indexes=tuple(fresh), trainer_version=version)
        await handle.propose(body, timeout_s=HAND_OVER_TIMEOUT_S)


def _build_page(handle: LotHandle, cursor: int, limit: int, version: int) -> SamplesPage:
    projection = handle.projection
    positions = _limit_tokens(projection, projection.delivery_order[cursor : cursor + limit])
    samples: list[DeliveredSample] = []
    withdrawn: list[str] = []
    failed: list[SampleFailure] = []
    for position in positions:
        slot = projection.slots[position.index]
        identifier = sample_id(handle.lot_id, position.index)
        if slot.attempt != position.attempt:
            continue  # The sample was replaced; the new attempt gets a later position.
        if slot.status is SlotStatus.FAILED:
            failed.append(SampleFailure(sample_id=identifier, index=position.index, code=slot.failure_code))
        elif slot.status is SlotStatus.HANDED_OVER and projection.header.is_stale(slot.sample, version):
            withdrawn.append(identifier)
        elif slot.status is SlotStatus.HANDED_OVER and not projection.header.cancelled:
            samples.append(_to_delivered_sample(identifier, position, slot))
    next_cursor = cursor + len(positions)
    return SamplesPage(
        samples=tuple(samples),
        next_cursor=next_cursor,
        finished=projection.is_finished() and next_cursor >= len(projection.delivery_order) and not withdrawn,
        withdrawn=tuple(withdrawn),
        failed=tuple(failed),
    )


def _limit_tokens(projection: LotProjection, positions: list[DeliveryPosition]) -> list[DeliveryPosition]:
    """Return the first positions whose samples have at most PAGE_LIMIT_TOKENS tokens, but at least one."""
    token_count = 0
    for count, position in enumerate(positions):
        sample = projection.slots[position.index].sample
        token_count += sample.token_count if sample is not None else 0
        if count and token_count > PAGE_LIMIT_TOKENS:
            return positions[:count]
    return positions


def _to_delivered_sample(identifier: str, position: DeliveryPosition, slot: SlotState) -> DeliveredSample:
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
