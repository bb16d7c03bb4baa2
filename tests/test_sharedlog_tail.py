"""Pauses between reads of a tail that is behind or at the end."""

import asyncio

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.sharedlog.log import MAX_PAGE_BYTES, KeyedRecord, KeyedSnapshot, LogPage
from passgate.sharedlog.tail import KeyedTail, RecordTail, TailSettings

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


class LogOfTwoPages:
    """A client whose snapshots have one key a page; values change while the second page is read."""

    def __init__(self, log):
        self._log, self._client = log, log.client("d")
        self.read, self.decode_keyed = self._client.read, self._client.decode_keyed

    async def newest(self, topic, part):
        first_end = self._log.partition(topic, part).end
        first_page = KeyedRecord(key="a", value=self._log.newest_values(topic)["a"])
        for key, value in (("a", b"2"), ("b", b"2"), ("c", b"1"), ("b", b"3"), ("c", b"")):
            self._log.put_keyed(topic, key, value)
        second_page = KeyedRecord(key="b", value=self._log.newest_values(topic)["b"])
        end = self._log.partition(topic, part).end
        return KeyedSnapshot(records=(first_page, second_page), next_offset=first_end, end=end)


def test_values_of_a_snapshot_are_not_followed_by_older_ones():
    """Guards against a replica that is listed as ready again, after its draining was read."""

    async def main():
        log = MemorySharedLog()
        for key in ("a", "b"):
            log.put_keyed("keyed.t", key, b"1")
        seen = []

        def apply(records, offset):
            seen.extend((record.key, record.value) for record in records)

        tail = KeyedTail(
            LogOfTwoPages(log), TailSettings(topic="keyed.t"), on_snapshot=apply, on_records=apply
        )
        task = asyncio.get_running_loop().create_task(tail.run())
        await asyncio.sleep(1.0)
        log.put_keyed("keyed.t", "a", b"4")
        await asyncio.sleep(1.0)
        task.cancel()
        assert sorted(seen[:2]) == [("a", b"2"), ("b", b"3")]
        assert seen[2:] == [("a", b"4")]

    run_virtual(main())
