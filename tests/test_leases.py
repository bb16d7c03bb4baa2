"""Leases: one holder per epoch in log order, paused holders, and the choice of candidates."""

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


class World:
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


async def settle(*daemons):
    end = max(daemon.follower.next_offset for daemon in daemons)
    for daemon in daemons:
        await daemon.follower.catch_up(end, 60.0)


@pytest.mark.parametrize("fault", list(AppendFault))
def test_one_of_several_takers_wins_and_all_agree(fault):
    async def scenario():
        world = World()
        daemons = [world.daemon(f"d{number}") for number in range(5)]
        daemons[0].client.script(fault)
        takes = [daemon.take(ROLE, 10.0) for daemon in daemons]
        outcomes = await asyncio.gather(*takes, return_exceptions=True)
        world.log.land_late()
        await settle(*daemons)
        assert outcomes.count(1) == 1
        losers = [outcome for outcome in outcomes if outcome != 1]
        assert all(isinstance(outcome, SupersededEpoch) for outcome in losers)
        winner = f"d{outcomes.index(1)}"
        assert {daemon.holder(ROLE) for daemon in daemons} == {LeaseHolder(winner, 1)}

    run_virtual(scenario())


def test_role_of_a_live_holder_is_not_taken_and_of_a_dead_one_is():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        assert await first.take(ROLE, 2.0) == await first.take(ROLE, 2.0) == 1
        await settle(first, second)
        with pytest.raises(SupersededEpoch) as caught:
            await second.take(ROLE, 2.0)
        assert caught.value.details == {"epoch": "1", "holder": "d1"}
        world.alive.remove("d1")
        assert await second.take(ROLE, 2.0) == 2

    run_virtual(scenario())


def test_paused_holder_finds_its_epoch_superseded_and_undoes_nothing():
    async def scenario():
        world = World()
        paused, other = world.daemon("d1"), world.daemon("d2")
        epoch = await paused.take(ROLE, 2.0)
        await settle(paused, other)
        paused.client.down = True
        world.alive.remove("d1")
        assert await other.take(ROLE, 2.0) == 2
        assert paused.held_epoch(ROLE) == epoch, "it still believes in its lease"
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


def test_reader_behind_can_not_take_an_epoch_again():
    async def scenario():
        world = World()
        behind, other = world.daemon("d1"), world.daemon("d2")
        behind.client.reads_down = True
        await other.take(ROLE, 2.0)
        world.alive.remove("d2")
        taking = asyncio.ensure_future(behind.take(ROLE, 20.0))
        await asyncio.sleep(1)
        behind.client.reads_down = False
        with pytest.raises(SupersededEpoch):
            await taking
        assert await behind.take(ROLE, 2.0) == 2

    run_virtual(scenario())


def test_released_roles_are_free_for_the_next_epoch():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        for role in ("a", "b"):
            await first.take(role, 2.0)
        await first.release_all()
        await settle(first, second)
        assert second.holder("a") is second.holder("b") is None
        assert await second.take("a", 2.0) == 2

    run_virtual(scenario())


def test_state_survives_a_snapshot(monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_EVERY_RECORDS", 4)

    async def scenario():
        world = World()
        first = world.daemon("d1")
        for role in "abcd":
            await first.take(role, 2.0)
        await asyncio.sleep(1)
        late = world.daemon("d2")
        await late.follower.synchronise(2.0)
        assert late.follower.counters.applied == 0
        assert [late.holder(role).holder for role in "abcd"] == ["d1"] * 4

    run_virtual(scenario())


def test_candidates_are_spread_and_few_move_when_a_member_leaves():
    async def scenario():
        world = World()
        daemon = world.daemon("d0")
        world.alive = [f"d{number}" for number in range(10)]
        roles = [f"pool/{number}" for number in range(400)]
        before = {role: daemon.next_candidate(role) for role in roles}
        assert min(Counter(before.values()).values()) > 20
        world.alive.remove("d7")
        moved = [role for role in roles if daemon.next_candidate(role) != before[role]]
        assert {before[role] for role in moved} == {"d7"}
        await daemon.take(roles[0], 2.0)
        assert daemon.next_candidate(roles[0]) == "d0"
        assert not daemon.should_take(roles[0])

    run_virtual(scenario())
