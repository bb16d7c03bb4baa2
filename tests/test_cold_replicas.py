"""Sends to cold replicas stay within their bound over all daemons, one failure a test, in virtual time."""

import asyncio

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.cold_replicas import ENTRY_LAG_S
from passgate.eligibility.permit_peers import MOST_GAP_S
from passgate.eligibility.permits import PERMIT_LIFE_S, SPAN_S
from passgate.eligibility.rules import CONTROL
from tests.cold_world import LIMIT, WISH, World

COLD_MS = 60_000
"""Long enough that replicas stay cold for a whole test."""
BOUND = LIMIT.most_per_s


async def cold_world(**fields):
    """Return a world in which the first daemon may grant and three have many requests."""
    world = World(**fields)
    world.entries(COLD_MS)
    world.lead(0, fence=1)
    await asyncio.sleep(SPAN_S + 0.2)
    world.load(20, world.daemons[1:4])
    return world


def served_in(world, from_s, to_s):
    return sum(from_s <= time_s < to_s for times in world.sent.values() for time_s in times)


def test_many_daemons_together_stay_within_the_bound_and_use_most_of_it():
    async def main():
        world = await cold_world()
        world.load(1, world.daemons[4:])
        await asyncio.sleep(10.0)
        assert world.worst_second <= BOUND
        assert world.served >= 0.5 * BOUND * 10.0 * len(world.infos)

    run_virtual(main())


def test_nothing_is_sent_while_nobody_leads():
    async def main():
        world = World()
        world.entries(COLD_MS)
        world.load(20)
        await asyncio.sleep(5.0)
        assert world.served == 0

    run_virtual(main())


def test_a_daemon_that_is_cut_off_sends_nothing_and_the_others_go_on():
    async def main():
        world = await cold_world()
        await asyncio.sleep(1.0)
        cut = world.daemons[1]
        world.network.cut(lambda address, zone: address == cut.transport.address)
        cut_s = monotonic_s()
        await asyncio.sleep(3.0)
        used = cut.table.permits.tally.used
        await asyncio.sleep(2.0)
        assert cut.table.permits.tally.used == used
        assert served_in(world, cut_s + 3.0, cut_s + 5.0) > BOUND
        assert world.worst_second <= BOUND

    run_virtual(main())


def test_permits_have_run_out_when_a_frozen_daemon_wakes():
    async def main():
        world = await cold_world()
        await asyncio.sleep(1.0)
        frozen = world.daemons[1]
        frozen.table.permits.add({"r0": 20, "r1": 20, "r2": 20}, monotonic_s(), monotonic_s())
        frozen.freeze()
        used = frozen.table.permits.tally.used
        await asyncio.sleep(PERMIT_LIFE_S)
        for daemon in world.daemons:
            daemon.lead.until_s = 0.0
        frozen.wake()
        await asyncio.sleep(1.0)
        assert frozen.table.permits.tally.used == used

    run_virtual(main())


def test_a_leader_killed_with_permits_out_is_followed_by_one_that_waits_for_their_end():
    async def main():
        world = await cold_world()
        await asyncio.sleep(1.0)
        await world.daemons[0].kill()
        world.lead(5, fence=2)  # at once, as after a planned stop; a lost lease takes seconds
        passed_s = monotonic_s()
        await asyncio.sleep(4.0)
        assert world.worst_second <= BOUND
        assert served_in(world, passed_s + SPAN_S + 1.0, passed_s + 4.0) > BOUND

    run_virtual(main())


def test_a_leader_that_was_cut_off_and_its_successor_never_grant_too_much_together():
    async def main():
        world = await cold_world()
        await asyncio.sleep(1.0)
        old = {daemon.transport.address for daemon in (world.daemons[0], *world.daemons[1:3])}
        world.network.cut(lambda address, zone: address in old)
        # The old leader goes on until its lease is used up; only then can another one have it.
        world.daemons[0].lead.until_s = monotonic_s() + 1.8
        await asyncio.sleep(1.8)
        world.lead(5, fence=2)
        await asyncio.sleep(4.0)
        assert world.worst_second <= BOUND
        assert world.daemons[3].table.permits.tally.used > 0

    run_virtual(main())


def test_a_leader_that_wakes_after_a_freeze_grants_nothing():
    async def main():
        world = await cold_world()
        await asyncio.sleep(1.0)
        old = world.daemons[0]
        old.lead.until_s = monotonic_s() + 1.8
        old.freeze()
        await asyncio.sleep(3.5)
        world.lead(5, fence=2)
        await asyncio.sleep(SPAN_S + 0.5)
        given = old.table.permits.tally.given
        old.wake()
        await asyncio.sleep(2.0)
        assert old.table.permits.tally.given == given
        assert world.worst_second <= BOUND

    run_virtual(main())


def test_a_daemon_started_anew_needs_permits_from_its_first_request_on():
    async def main():
        world = await cold_world()
        await asyncio.sleep(1.0)
        newcomer = world.daemons[6]
        world.load(20, [newcomer])
        await asyncio.sleep(3.0)
        tally = newcomer.table.permits.tally
        assert 0 < tally.used <= tally.got
        assert world.worst_second <= BOUND

    run_virtual(main())


def test_a_daemon_that_the_log_turns_away_learns_what_is_cold_from_the_leader():
    async def main():
        world = World()
        world.entries(0)
        world.lead(0, fence=1)
        await asyncio.sleep(SPAN_S + 0.2)
        away = world.daemons[4]
        away.log_age_s = lambda: 10.0
        world.entries(COLD_MS, [daemon for daemon in world.daemons if daemon is not away])
        await asyncio.sleep(1.0)
        infos = [state.info for state in away.table.all()]
        assert all(away.table.cold.is_cold(info, monotonic_s()) for info in infos)

    run_virtual(main())


def test_a_daemon_with_few_requests_gets_permits_beside_one_with_many():
    async def main():
        world = World(replicas=1)
        world.entries(COLD_MS)
        world.lead(0, fence=1)
        await asyncio.sleep(SPAN_S + 0.2)
        world.load(40, world.daemons[1:2])
        await asyncio.sleep(2.0)
        world.load(1, world.daemons[2:3])
        await asyncio.sleep(3.0)
        many, few = (daemon.table.permits.tally.used for daemon in world.daemons[1:3])
        assert few >= 3
        assert many > few

    run_virtual(main())


def test_a_warm_replica_with_room_wants_no_permit():
    async def main():
        world = World(replicas=2)
        (daemon,) = world.daemons[:1]
        cold, warm = world.infos
        daemon.table.entry_read(msgspec.structs.replace(cold, cold_ms=COLD_MS), monotonic_s())
        daemon.table.entry_read(warm, monotonic_s())
        assert daemon.table.choose(WISH, monotonic_s()).info.replica_id == warm.replica_id
        assert not daemon.table.permits.wanted
        daemon.table.get(warm.replica_id).in_flight = warm.slots
        assert daemon.table.choose(WISH, monotonic_s()) is None
        assert list(daemon.table.permits.wanted) == [cold.replica_id]

    run_virtual(main())


def test_reports_and_orders_need_no_permit():
    async def main():
        world = World(daemons=1, replicas=1)
        world.entries(COLD_MS)
        world.daemons[0].table.rules.admit(world.infos[0], CONTROL, monotonic_s())

    run_virtual(main())


def unreachable(world):
    (info,) = world.infos
    world.daemons[0].table.unreachable(info.life, monotonic_s())
    return info, world.daemons[0].table.cold


@pytest.mark.parametrize("answered", [False, True])
def test_a_replica_that_was_out_of_reach_counts_as_cold_until_a_later_entry(answered):
    async def main():
        world = World(daemons=1, replicas=1)
        world.entries(0)
        info, cold = unreachable(world)
        world.entries(0)  # written before, read late
        assert cold.is_cold(info, monotonic_s())
        if answered:
            cold.reached(info, monotonic_s())
            assert cold.is_cold(info, monotonic_s() + LIMIT.lasts_s - 0.1)
            assert not cold.is_cold(info, monotonic_s() + LIMIT.lasts_s)
        await asyncio.sleep(ENTRY_LAG_S)
        world.entries(0)
        assert not cold.is_cold(info, monotonic_s())

    run_virtual(main())


def test_replicas_of_a_zone_that_is_back_count_as_cold_for_as_long_as_a_spell_lasts_at_most():
    async def main():
        world = World(daemons=1, replicas=1)
        world.entries(0)
        (info,) = world.infos
        table, cold = world.daemons[0].table, world.daemons[0].table.cold
        table.turned_cold("elsewhere", monotonic_s())
        assert not cold.is_cold(info, monotonic_s())
        table.turned_cold(info.zone, monotonic_s())
        assert cold.is_cold(info, monotonic_s() + LIMIT.lasts_s - 0.1)
        assert not cold.is_cold(info, monotonic_s() + LIMIT.lasts_s)

    run_virtual(main())


def test_the_questions_of_many_daemons_for_many_replicas_are_no_flood():
    async def main():
        world = World(daemons=84, replicas=23)
        world.entries(COLD_MS)
        world.lead(0, fence=1)
        await asyncio.sleep(SPAN_S + 0.2)
        leader = world.daemons[0].transport.counters
        before = leader.frames_received
        world.load(1, world.daemons[1:])
        await asyncio.sleep(1.5)
        assert leader.frames_received - before < 84 / MOST_GAP_S * 1.5 * 2
        assert world.worst_second <= BOUND

    run_virtual(main())
