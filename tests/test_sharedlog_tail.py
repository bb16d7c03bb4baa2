"""How followers of the shared log read: at which pace, in virtual time."""

import asyncio

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.sharedlog.log import MAX_PAGE_BYTES
from passgate.sharedlog.tail import RecordTail, TailSettings

GAP_S = 1.0


def test_a_follower_that_is_behind_reads_on_without_a_pause():
    async def main():
        log = MemorySharedLog()
        record = b"x" * (MAX_PAGE_BYTES // 2 + 1)
        for _ in range(8):
            log.add("t", 0, [record])
        seen = []
        tail = RecordTail(
            log.client("d"), TailSettings(topic="t", gap_s=GAP_S), lambda page: seen.append(page)
        )
        began_s = monotonic_s()
        task = asyncio.get_running_loop().create_task(tail.run())
        assert await tail.wait_caught_up(20.0)
        assert len(seen) == 8
        assert monotonic_s() - began_s < GAP_S
        task.cancel()

    run_virtual(main())


def test_a_follower_at_the_end_gathers_records_in_pages():
    async def main():
        log = MemorySharedLog()
        seen = []
        tail = RecordTail(
            log.client("d"), TailSettings(topic="t", gap_s=GAP_S), lambda page: seen.append(page)
        )
        task = asyncio.get_running_loop().create_task(tail.run())
        for _ in range(50):
            log.add("t", 0, [b"x"])
            await asyncio.sleep(0.1)
        assert 4 <= len(seen) <= 8
        task.cancel()

    run_virtual(main())
