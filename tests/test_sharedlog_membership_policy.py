"""Guards against partitions on small machines while enough larger ones run, and against idle partitions."""

import asyncio

from passgate.clock import run_virtual
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import MemorySharedLog
from passgate.sharedlog.group import GroupDirectory, GroupMember
from passgate.sharedlog.group_membership_policy import (
    SHORTAGE_CONFIRMATION_S,
    SUFFICIENT_LARGER_MEMBERS,
    GroupMembershipPolicy,
)
from passgate.sharedlog.member_names import member_name

PARTITIONS = 12
CHECK_INTERVAL_S = 1.0
SETTLING_S = 8.0
STEP_S = 0.1
LARGE_CORES, SMALL_CORES = 2.15, 0.52


class Daemon:
    """The group membership of a daemon."""

    def __init__(self, log, name, cores):
        membership_policy = GroupMembershipPolicy(cores)
        client = log.client(name)
        address = f"{name}:1"
        self.member = GroupMember(
            client,
            "g",
            member_name(name, address, cores),
            "t",
            DecisionLog(name, write=len),
            membership_policy=membership_policy,
        )
        self.directory = GroupDirectory(client, "g", "t", membership_policy)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.member.run()), loop.create_task(self.directory.keep_fresh())]

    def kill(self):
        for task in self.tasks:
            task.cancel()

    @property
    def partition_count(self):
        return len(self.member.assigned_partitions())


def run_scenario(scenario):
    async def main():
        await scenario(MemorySharedLog(partition_count=PARTITIONS))

    run_virtual(main())


def test_small_machines_get_no_partitions_while_enough_larger_ones_run():
    async def scenario(log):
        small = [Daemon(log, f"s{number}", SMALL_CORES) for number in range(6)]
        large = [Daemon(log, f"l{number}", LARGE_CORES) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        for _ in range(round(SETTLING_S / STEP_S)):
            await asyncio.sleep(STEP_S)
            assert [daemon.partition_count for daemon in small] == [0] * 6
        assert sum(daemon.partition_count for daemon in large) == PARTITIONS

    run_scenario(scenario)


def test_small_machines_replace_lost_larger_ones_and_withdraw_again():
    async def scenario(log):
        small = [Daemon(log, f"s{number}", SMALL_CORES) for number in range(3)]
        large = [Daemon(log, f"l{number}", LARGE_CORES) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        await asyncio.sleep(SETTLING_S)
        for daemon in large:
            daemon.kill()
        await asyncio.sleep(SETTLING_S + SHORTAGE_CONFIRMATION_S)
        assert sum(daemon.partition_count for daemon in small) == PARTITIONS
        large = [Daemon(log, f"l{number}", LARGE_CORES) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        await asyncio.sleep(SETTLING_S)
        assert [daemon.partition_count for daemon in small] == [0] * 3
        assert sum(daemon.partition_count for daemon in large) == PARTITIONS

    run_scenario(scenario)


def test_machines_of_equal_size_are_all_members():
    async def scenario(log):
        daemons = [Daemon(log, f"s{number}", SMALL_CORES) for number in range(4)]
        await asyncio.sleep(SETTLING_S)
        assert [daemon.partition_count for daemon in daemons] == [PARTITIONS // 4] * 4

    run_scenario(scenario)


def test_an_unavailable_log_does_not_change_membership():
    async def scenario(log):
        small = Daemon(log, "s", SMALL_CORES)
        large = [Daemon(log, f"l{number}", LARGE_CORES) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        await asyncio.sleep(SETTLING_S)
        log.faults.refusing = True
        await asyncio.sleep(SETTLING_S)
        log.faults.refusing = False
        for _ in range(10):
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert small.partition_count == 0
        assert sum(daemon.partition_count for daemon in large) == PARTITIONS

    run_scenario(scenario)


def test_partitions_are_assigned_soon_after_all_daemons_restart():
    """Guards against slow settling, as each member must see the generation of the last one that joined."""

    async def scenario(log):
        daemons = []
        for number in range(8):
            daemons.append(Daemon(log, f"l{number}", LARGE_CORES))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        assert sum(daemon.partition_count for daemon in daemons) == PARTITIONS
        assert max(daemon.partition_count for daemon in daemons) <= 2

    run_scenario(scenario)
