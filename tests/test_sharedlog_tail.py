"""Pauses between reads of a tail that is behind or at the end."""

import asyncio

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.sharedlog.log import MAX_PAGE_BYTES, LogPage
from passgate.sharedlog.tail import RecordTail, TailSettings

GAP_S = 1.0


def test_a_tail_that_is_behind_reads_without_pauses():
    async def main():
        log = MemorySharedLog()
        record = b"x" * (MAX_PAGE_BYTES // 2 + 1)
        for _ in range(8):
            log.append_now("t", 0, [record])
        pages = []
        tail = RecordTail(
            log.client("d"), TailSettings(topic="t", gap_s=GAP_S), lambda page: pages.append(page)
        )
        started_at_s = monotonic_s()
        task = asyncio.get_running_loop().create_task(tail.run())
        assert await tail.wait_caught_up(20.0)
        assert len(pages) == 8
        assert monotonic_s() - started_at_s < GAP_S
        task.cancel()

    run_virtual(main())


def test_a_tail_at_the_end_reads_records_in_batches():
    async def main():
        log = MemorySharedLog()
        pages = []
        tail = RecordTail(
            log.client("d"), TailSettings(topic="t", gap_s=GAP_S), lambda page: pages.append(page)
        )
        task = asyncio.get_running_loop().create_task(tail.run())
        for _ in range(50):
            log.append_now("t", 0, [b"x"])
            await asyncio.sleep(0.1)
        assert 4 <= len(pages) <= 8
        task.cancel()

    run_virtual(main())


def test_a_wait_for_a_record_stays_cancelled_when_the_record_arrives_at_the_same_time():
    """Guards against a request that goes on after its caller has left, and a task that never ends."""

    async def main():
        log = MemorySharedLog()
        tail = RecordTail(log.client("d"), TailSettings(topic="t"), lambda page: None)
        waiting = asyncio.get_running_loop().create_task(tail.wait_until_applied(0, 5.0))
        await asyncio.sleep(0.1)
        tail._apply_page(LogPage(start=0, end=1, records=(b"x",), first=0))
        waiting.cancel()
        await asyncio.wait([waiting])
        assert waiting.cancelled()

    run_virtual(main())
