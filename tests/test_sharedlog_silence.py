"""How soon a daemon uses the log again after a time of silence, at whatever moment it returns."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.journal import Journal
from passgate.jobs.records import JobEnded
from passgate.sharedlog.candidacy import Candidacy
from passgate.sharedlog.group import GroupMember
from passgate.sharedlog.hedge import HEDGE_DELAY_S
from passgate.sharedlog.tail import RecordTail, TailSettings

SILENCES_S = [3.0, 3.3, 3.6, 3.9, 4.2, 4.5]
SOON_S = HEDGE_DELAY_S + 0.15
"""Time after the return within which the log is used again, with the pauses between calls."""


async def silence(log, silent_s):
    log.faults.silent = True
    await asyncio.sleep(silent_s)
    log.faults.silent = False
    return monotonic_s()


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_what_waited_is_appended_soon(silent_s):
    async def main():
        log = MemorySharedLog()
        sizes = {"record_bytes": 262_144, "append_bytes": 2_000_000}
        journal = Journal(log.client("d"), "t", 0, "d.a", **sizes)
        task = asyncio.get_running_loop().create_task(journal.run())
        log.faults.silent = True
        stands = journal.put(JobEnded(job_id="j"))
        back_s = await silence(log, silent_s)
        await stands
        assert monotonic_s() - back_s < SOON_S
        task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_what_was_written_meanwhile_is_read_soon(silent_s):
    async def main():
        log = MemorySharedLog()
        tail = RecordTail(log.client("d"), TailSettings(topic="t"), lambda page: None)
        task = asyncio.get_running_loop().create_task(tail.run())
        assert await tail.wait_caught_up(1.0)
        back_s = await silence(log, silent_s)
        log.add("t", 0, [b"x"])
        assert await tail.wait_past(0, 5.0)
        assert monotonic_s() - back_s < SOON_S
        task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("silent_s", SILENCES_S)
def test_a_member_holds_its_partitions_soon_again(silent_s):
    async def main():
        log = MemorySharedLog()
        member = GroupMember(
            log.client("d"), "g", "d", "t", DecisionLog("d", write=len), candidacy=Candidacy(2.0)
        )
        task = asyncio.get_running_loop().create_task(member.run())
        await asyncio.sleep(1.0)
        assert member.held()
        back_s = await silence(log, silent_s)
        while not member.held():
            await asyncio.sleep(0.01)
        assert monotonic_s() - back_s < 2 * SOON_S
        task.cancel()

    run_virtual(main())
