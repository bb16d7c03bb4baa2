"""Guards against a partition that stands still, as the log refuses a record for its size again and again."""

import asyncio
import random

import pytest

from passgate.clock import run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import RecordTooLarge
from passgate.jobs.journal import Journal
from passgate.jobs.records import ItemsDone, Result, ResultState, decode_batch

RECORD_BYTES = 64 * 1024
RUN_S = 30.0


class SizedLog(MemorySharedLog):
    """A log that refuses records larger than ``limit_bytes``."""

    def __init__(self, limit_bytes):
        super().__init__()
        self.limit_bytes = limit_bytes
        self.sizes = []

    def client(self, name):
        client = super().client(name)
        append = client.append

        async def append_in_limit(topic, part, records, *, at=None):
            if max(map(len, records)) > self.limit_bytes:
                raise RecordTooLarge("append refused for its size")
            self.sizes += map(len, records)
            return await append(topic, part, records, at=at)

        client.append = append_in_limit
        return client


def result(number, characters, alphabet):
    rng = random.Random(number)
    text = "".join(rng.choices(alphabet, k=characters))
    return ItemsDone(
        job_id="j", results=(Result(item_id=f"i{number}", state=ResultState.SUCCEEDED, text=text),)
    )


CHINESE = [chr(code) for code in range(0x4E00, 0x9000)]
NOISE = [chr(code) for code in range(0x20, 0x7F)]


def append_all(log, entries):
    """Queue entries while the log does not answer; return those on the log after some time, and futures."""

    async def main():
        log.faults.silent = True
        journal = Journal(log.client("d"), "jobs", 0, "d.0", record_bytes=RECORD_BYTES, append_bytes=10**6)
        task = asyncio.get_running_loop().create_task(journal.run())
        futures = [journal.put(entry) for entry in entries]
        await asyncio.sleep(5.0)
        log.faults.silent = False
        await asyncio.sleep(RUN_S)
        task.cancel()
        batches = [decode_batch(record) for record in log.partition("jobs", 0).records]
        return [entry for batch in batches for entry in batch.entries], futures, journal

    return run_virtual(main())


@pytest.mark.parametrize("alphabet", [CHINESE, NOISE], ids=["three bytes a character", "incompressible"])
@pytest.mark.parametrize("limit_bytes", [RECORD_BYTES, RECORD_BYTES // 3], ids=["as set", "lower"])
def test_results_that_piled_up_in_an_outage_are_appended_in_records_that_fit(alphabet, limit_bytes):
    """Guards against a batch whose encoded size is above the limit, although its characters fit."""
    log = SizedLog(limit_bytes)
    entries = [result(number, 4000, alphabet) for number in range(40)]
    appended, futures, journal = append_all(log, entries)
    assert appended == entries
    assert all(future.done() and future.exception() is None for future in futures)
    assert journal.has_no_pending_entries
    assert max(log.sizes) <= limit_bytes


def test_an_entry_that_is_too_large_alone_does_not_hold_up_the_others():
    log = SizedLog(RECORD_BYTES)
    entries = [result(0, 10, NOISE), result(1, 2 * RECORD_BYTES, NOISE), result(2, 10, NOISE)]
    appended, futures, journal = append_all(log, entries)
    assert appended == [entries[0], entries[2]]
    assert isinstance(futures[1].exception(), RecordTooLarge)
    assert journal.has_no_pending_entries
