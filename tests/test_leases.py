"""Leases: one holder per epoch, paused holders, and the choice of the next holder."""

import asyncio
from collections import Counter
from random import Random

import pytest

from passgate.clock import run_virtual
from passgate.errors import SupersededEpoch
from passgate.state import snapshots
from passgate.state.leases import LeaseHolder, LeaseService
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient

ROLE = "pool/modelos"


class Cluster:
    """Daemons that share a log and a list of live members."""

    def __init__(self):
        self.log = MemoryLog()
        self.alive = []

    def daemon(self, name):
        self.alive.append(name)
        client = MemoryLogClient(self.log)
        daemon = LeaseService(client, name, lambda: self.alive, Random(name))
        daemon.client = client
        daemon.start()
        return daemon


async def wait_for_same_records(*daemons):
    """Wait until all daemons have applied the records that one of them has applied."""
    end_offset = max(daemon.follower.next_offset for daemon in daemons)
    for daemon in daemons:
        await daemon.follower.wait_applied(end_offset, 60.0)


@pytest.mark.parametrize("fault", list(AppendFault))
def test_one_of_concurrent_takers_wins_and_all_daemons_agree(fault):
    async def scenario():
        cluster = Cluster()
        daemons = [cluster.daemon(f"d{number}") for number in range(5)]
        daemons[0].client.script_faults(fault)
        takes = [daemon.take(ROLE, 10.0) for daemon in daemons]
        outcomes = await asyncio.gather(*takes, return_exceptions=True)
        cluster.log.append_delayed()
        await wait_for_same_records(*daemons)
        assert outcomes.count(1) == 1
        losers = [outcome for outcome in outcomes if outcome != 1]
        assert all(isinstance(outcome, SupersededEpoch) for outcome in losers)
        winner = f"d{outcomes.index(1)}"
        assert {daemon.holder(ROLE) for daemon in daemons} == {LeaseHolder(winner, 1)}

    run_virtual(scenario())


def test_role_can_be_taken_from_a_dead_holder_only():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        assert await first.take(ROLE, 2.0) == await first.take(ROLE, 2.0) == 1
        await wait_for_same_records(first, second)
        with pytest.raises(SupersededEpoch) as caught:
            await second.take(ROLE, 2.0)
        assert caught.value.details == {"epoch": "1", "holder": "d1"}
        cluster.alive.remove("d1")
        assert await second.take(ROLE, 2.0) == 2

    run_virtual(scenario())


def test_paused_holder_does_not_release_the_lease_of_its_successor():
    async def scenario():
        cluster = Cluster()
        paused, other = cluster.daemon("d1"), cluster.daemon("d2")
        epoch = await paused.take(ROLE, 2.0)
        await wait_for_same_records(paused, other)
        paused.client.down = True
        cluster.alive.remove("d1")
        assert await other.take(ROLE, 2.0) == 2
        assert paused.held_epoch(ROLE) == epoch, "it has not read that it lost the lease"
        releasing = asyncio.ensure_future(paused.release(ROLE))
        await asyncio.sleep(0.1)
        paused.client.down = False
        await releasing
        assert paused.held_epoch(ROLE) is None
        with pytest.raises(SupersededEpoch):
            paused.check(ROLE, epoch)
        assert other.held_epoch(ROLE) == 2
        other.check(ROLE, 2)

    run_virtual(scenario())


def test_daemon_that_reads_late_can_not_take_an_epoch_again():
    async def scenario():
        cluster = Cluster()
        lagging, other = cluster.daemon("d1"), cluster.daemon("d2")
        lagging.client.reads_down = True
        await other.take(ROLE, 2.0)
        cluster.alive.remove("d2")
        taking = asyncio.ensure_future(lagging.take(ROLE, 20.0))
        await asyncio.sleep(1)
        lagging.client.reads_down = False
        with pytest.raises(SupersededEpoch):
            await taking
        assert await lagging.take(ROLE, 2.0) == 2

    run_virtual(scenario())


def test_released_role_can_be_taken_under_the_next_epoch():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        for role in ("a", "b"):
            await first.take(role, 2.0)
        await first.release_all()
        await wait_for_same_records(first, second)
        assert second.holder("a") is second.holder("b") is None
        assert await second.take("a", 2.0) == 2

    run_virtual(scenario())


def test_snapshot_restores_all_leases(monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_EVERY_RECORDS", 4)

    async def scenario():
        cluster = Cluster()
        first = cluster.daemon("d1")
        for role in "abcd":
            await first.take(role, 2.0)
        await asyncio.sleep(1)
        starting = cluster.daemon("d2")
        await starting.follower.wait_synchronised(2.0)
        assert starting.follower.counters.applied_records == 0
        assert [starting.holder(role).holder for role in "abcd"] == ["d1"] * 4

    run_virtual(scenario())


def test_candidates_are_spread_and_only_those_of_a_leaving_member_move():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d0")
        cluster.alive = [f"d{number}" for number in range(10)]
        roles = [f"pool/{number}" for number in range(400)]
        before = {role: daemon.next_candidate(role) for role in roles}
        assert min(Counter(before.values()).values()) > 20
        cluster.alive.remove("d7")
        moved = [role for role in roles if daemon.next_candidate(role) != before[role]]
        assert {before[role] for role in moved} == {"d7"}
        await daemon.take(roles[0], 2.0)
        assert daemon.next_candidate(roles[0]) == "d0"
        assert not daemon.should_take(roles[0])

    run_virtual(scenario())
