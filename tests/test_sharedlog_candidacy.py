"""Which daemons of a zone hold partitions: the larger machines, others only when these are too few."""

import asyncio

from passgate.clock import run_virtual
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import MemorySharedLog
from passgate.sharedlog.candidacy import SHORTAGE_CONFIRMATION_S, SUFFICIENT_LARGER_MEMBERS, Candidacy
from passgate.sharedlog.group import GroupDirectory, GroupMember
from passgate.sharedlog.member_names import member_name

PARTS = 12
LOOK_S = 1.0
SETTLED_S = 8.0
STEP_S = 0.1
LARGE, SMALL = 2.15, 0.52


class Daemon:
    """The part of a daemon that has to do with its zone's group."""

    def __init__(self, log, name, cores):
        candidacy = Candidacy(cores)
        client = log.client(name)
        address = f"{name}:1"
        self.member = GroupMember(
            client,
            "g",
            member_name(name, address, cores),
            "t",
            DecisionLog(name, write=len),
            candidacy=candidacy,
        )
        self.directory = GroupDirectory(client, "g", "t", candidacy)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.member.run()), loop.create_task(self.directory.keep_known())]

    def end(self):
        for task in self.tasks:
            task.cancel()

    @property
    def parts(self):
        return len(self.member.held())


def played(scene):
    async def main():
        await scene(MemorySharedLog(parts=PARTS))

    run_virtual(main())


def test_small_machines_hold_nothing_beside_enough_larger_ones():
    async def scene(log):
        small = [Daemon(log, f"s{number}", SMALL) for number in range(6)]
        large = [Daemon(log, f"l{number}", LARGE) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        for _ in range(round(SETTLED_S / STEP_S)):
            await asyncio.sleep(STEP_S)
            assert [daemon.parts for daemon in small] == [0] * 6
        assert sum(daemon.parts for daemon in large) == PARTS

    played(scene)


def test_small_machines_stand_in_for_larger_ones_that_are_lost_and_withdraw_again():
    async def scene(log):
        small = [Daemon(log, f"s{number}", SMALL) for number in range(3)]
        large = [Daemon(log, f"l{number}", LARGE) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        await asyncio.sleep(SETTLED_S)
        for daemon in large:
            daemon.end()
        await asyncio.sleep(SETTLED_S + SHORTAGE_CONFIRMATION_S)
        assert sum(daemon.parts for daemon in small) == PARTS
        large = [Daemon(log, f"l{number}", LARGE) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        await asyncio.sleep(SETTLED_S)
        assert [daemon.parts for daemon in small] == [0] * 3
        assert sum(daemon.parts for daemon in large) == PARTS

    played(scene)


def test_machines_of_one_size_all_take_part():
    async def scene(log):
        daemons = [Daemon(log, f"s{number}", SMALL) for number in range(4)]
        await asyncio.sleep(SETTLED_S)
        assert [daemon.parts for daemon in daemons] == [PARTS // 4] * 4

    played(scene)


def test_a_log_that_does_not_answer_changes_nothing():
    async def scene(log):
        small = Daemon(log, "s", SMALL)
        large = [Daemon(log, f"l{number}", LARGE) for number in range(SUFFICIENT_LARGER_MEMBERS)]
        await asyncio.sleep(SETTLED_S)
        log.faults.refusing = True
        await asyncio.sleep(SETTLED_S)
        log.faults.refusing = False
        for _ in range(10):
            await asyncio.sleep(LOOK_S)
            assert small.parts == 0
        assert sum(daemon.parts for daemon in large) == PARTS

    played(scene)


def test_partitions_are_dealt_soon_after_all_daemons_came_back():
    """Fails with joins each 0.35 s only, as each member must hear of the last one that joined."""

    async def scene(log):
        daemons = []
        for number in range(8):
            daemons.append(Daemon(log, f"l{number}", LARGE))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        assert sum(daemon.parts for daemon in daemons) == PARTS
        assert max(daemon.parts for daemon in daemons) <= 2

    played(scene)
