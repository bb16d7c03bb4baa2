"""Guards against slow recovery after the log was silent, whenever it responds again."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.journal import Journal
from passgate.jobs.records import JobCancelled
from passgate.sharedlog.group import JOIN_INTERVAL_S, GroupMember
from passgate.sharedlog.group_membership_policy import GroupMembershipPolicy
from passgate.sharedlog.hedge import HEDGE_DELAY_S
from passgate.sharedlog.tail import RecordTail, TailSettings

SILENCE_DURATIONS_S = [3.0, 3.3, 3.6, 3.9, 4.2, 4.5]
MAX_RESUME_S = HEDGE_DELAY_S + 0.15
"""Longest time from the log's return to its use, with the pauses between calls."""


async def make_log_silent(log, silent_s):
    log.faults.silent = True
    await asyncio.sleep(silent_s)
    log.faults.silent = False
    return monotonic_s()


@pytest.mark.parametrize("silent_s", SILENCE_DURATIONS_S)
def test_pending_entries_are_appended_soon_after_a_silence(silent_s):
    async def main():
        log = MemorySharedLog()
        sizes = {"record_bytes": 262_144, "append_bytes": 2_000_000}
        journal = Journal(log.client("d"), "t", 0, "d.a", **sizes)
        task = asyncio.get_running_loop().create_task(journal.run())
        log.faults.silent = True
        appended = journal.put(JobCancelled(job_id="j"))
        returned_s = await make_log_silent(log, silent_s)
        await appended
        assert monotonic_s() - returned_s < MAX_RESUME_S
        task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("silent_s", SILENCE_DURATIONS_S)
def test_new_records_are_read_soon_after_a_silence(silent_s):
    async def main():
        log = MemorySharedLog()
        tail = RecordTail(log.client("d"), TailSettings(topic="t"), lambda page: None)
        task = asyncio.get_running_loop().create_task(tail.run())
        assert await tail.wait_caught_up(1.0)
        returned_s = await make_log_silent(log, silent_s)
        log.append_now("t", 0, [b"x"])
        assert await tail.wait_until_applied(0, 5.0)
        assert monotonic_s() - returned_s < MAX_RESUME_S
        task.cancel()

    run_virtual(main())


@pytest.mark.parametrize("silent_s", SILENCE_DURATIONS_S)
def test_a_member_regains_its_partitions_soon_after_a_silence(silent_s):
    async def main():
        log = MemorySharedLog()
        member = GroupMember(
            log.client("d"),
            "g",
            "d",
            "t",
            DecisionLog("d", write=len),
            membership_policy=GroupMembershipPolicy(2.0),
        )
        task = asyncio.get_running_loop().create_task(member.run())
        await asyncio.sleep(1.0)
        assert member.assigned_partitions()
        returned_s = await make_log_silent(log, silent_s)
        while not member.assigned_partitions():
            await asyncio.sleep(0.01)
        assert monotonic_s() - returned_s < 2 * MAX_RESUME_S
        task.cancel()

    run_virtual(main())


def test_a_member_that_leaves_while_a_join_is_unanswered_does_not_join_again():
    """Guards against a hedged join that is sent after the leave and holds partitions for its lifetime."""

    async def main():
        log = MemorySharedLog()
        client = log.client("d")
        member = GroupMember(
            client,
            "g",
            "d",
            "t",
            DecisionLog("d", write=len),
            membership_policy=GroupMembershipPolicy(2.0),
        )
        task = asyncio.get_running_loop().create_task(member.run())
        await asyncio.sleep(1.0)
        log.faults.silent = True
        await asyncio.sleep(JOIN_INTERVAL_S + 0.1)  # a join is under way, and its answer is lost
        log.faults.silent = False
        await member.leave()
        await asyncio.sleep(HEDGE_DELAY_S + 0.1)
        assert "d" not in (await client.members("g")).values()
        task.cancel()

    run_virtual(main())
