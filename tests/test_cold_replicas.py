"""Guards the rate limit of cold replicas over all daemons under failures, in virtual time."""

import asyncio

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.cold_replicas import MAX_ENTRY_DELAY_S
from passgate.eligibility.permit_client import MAX_REQUEST_INTERVAL_S
from passgate.eligibility.permits import GRANT_WINDOW_S, PERMIT_LIFETIME_S
from passgate.eligibility.rules import CONTROL_MESSAGE
from tests.cold_world import LIMIT, QUERY, World

COLD_MS = 60_000
"""Longer than any test."""
LIMIT_PER_S = LIMIT.max_requests_per_s


async def make_cold_world(**fields):
    """Return a world in which the first daemon may grant permits and three others send many requests."""
    world = World(**fields)
    world.read_entries(COLD_MS)
    world.set_leader(0, fence=1)
    await asyncio.sleep(GRANT_WINDOW_S + 0.2)
    world.start_requests(20, world.daemons[1:4])
    return world


def count_sends(world, from_s, to_s):
    return sum(from_s <= time_s < to_s for times_s in world.send_times_s_by_id.values() for time_s in times_s)


def test_many_daemons_stay_within_limit_and_use_at_least_half_of_it():
    async def main():
        world = await make_cold_world()
        world.start_requests(1, world.daemons[4:])
        await asyncio.sleep(10.0)
        assert world.max_sends_per_s <= LIMIT_PER_S
        assert world.served >= 0.5 * LIMIT_PER_S * 10.0 * len(world.infos)

    run_virtual(main())


def test_nothing_is_sent_without_leader():
    async def main():
        world = World()
        world.read_entries(COLD_MS)
        world.start_requests(20)
        await asyncio.sleep(5.0)
        assert world.served == 0

    run_virtual(main())


def test_daemon_cut_off_from_peers_sends_nothing_while_others_continue():
    async def main():
        world = await make_cold_world()
        await asyncio.sleep(1.0)
        cut_off = world.daemons[1]
        world.network.cut(lambda address, zone: address == cut_off.transport.address)
        cut_off_s = monotonic_s()
        await asyncio.sleep(3.0)
        used = cut_off.table.permit_pool.counters.used
        await asyncio.sleep(2.0)
        assert cut_off.table.permit_pool.counters.used == used
        assert count_sends(world, cut_off_s + 3.0, cut_off_s + 5.0) > LIMIT_PER_S
        assert world.max_sends_per_s <= LIMIT_PER_S

    run_virtual(main())


def test_permits_expire_while_daemon_is_frozen():
    async def main():
        world = await make_cold_world()
        await asyncio.sleep(1.0)
        frozen = world.daemons[1]
        frozen.table.permit_pool.add({"r0": 20, "r1": 20, "r2": 20}, monotonic_s(), monotonic_s())
        frozen.freeze()
        used = frozen.table.permit_pool.counters.used
        await asyncio.sleep(PERMIT_LIFETIME_S)
        for daemon in world.daemons:
            daemon.lease.valid_until_s = 0.0
        frozen.resume()
        await asyncio.sleep(1.0)
        assert frozen.table.permit_pool.counters.used == used

    run_virtual(main())


def test_successor_of_killed_leader_waits_until_granted_permits_have_expired():
    async def main():
        world = await make_cold_world()
        await asyncio.sleep(1.0)
        await world.daemons[0].kill()
        world.set_leader(5, fence=2)  # without the seconds that a lost lease takes to expire
        taken_over_s = monotonic_s()
        await asyncio.sleep(4.0)
        assert world.max_sends_per_s <= LIMIT_PER_S
        assert count_sends(world, taken_over_s + GRANT_WINDOW_S + 1.0, taken_over_s + 4.0) > LIMIT_PER_S

    run_virtual(main())


def test_cut_off_leader_and_its_successor_together_stay_within_limit():
    async def main():
        world = await make_cold_world()
        await asyncio.sleep(1.0)
        old = {daemon.transport.address for daemon in (world.daemons[0], *world.daemons[1:3])}
        world.network.cut(lambda address, zone: address in old)
        # The old leader keeps granting until its lease expires; only then can another daemon lead.
        world.daemons[0].lease.valid_until_s = monotonic_s() + 1.8
        await asyncio.sleep(1.8)
        world.set_leader(5, fence=2)
        await asyncio.sleep(4.0)
        assert world.max_sends_per_s <= LIMIT_PER_S
        assert world.daemons[3].table.permit_pool.counters.used > 0

    run_virtual(main())


def test_leader_grants_nothing_after_freeze_longer_than_its_lease():
    async def main():
        world = await make_cold_world()
        await asyncio.sleep(1.0)
        old = world.daemons[0]
        old.lease.valid_until_s = monotonic_s() + 1.8
        old.freeze()
        await asyncio.sleep(3.5)
        world.set_leader(5, fence=2)
        await asyncio.sleep(GRANT_WINDOW_S + 0.5)
        given = old.table.permit_pool.counters.given
        old.resume()
        await asyncio.sleep(2.0)
        assert old.table.permit_pool.counters.given == given
        assert world.max_sends_per_s <= LIMIT_PER_S

    run_virtual(main())


def test_newly_started_daemon_uses_permits_from_its_first_request():
    async def main():
        world = await make_cold_world()
        await asyncio.sleep(1.0)
        new_daemon = world.daemons[6]
        world.start_requests(20, [new_daemon])
        await asyncio.sleep(3.0)
        counters = new_daemon.table.permit_pool.counters
        assert 0 < counters.used <= counters.got
        assert world.max_sends_per_s <= LIMIT_PER_S

    run_virtual(main())


def test_daemon_cut_off_from_log_gets_cold_replicas_from_leader():
    async def main():
        world = World()
        world.read_entries(0)
        world.set_leader(0, fence=1)
        await asyncio.sleep(GRANT_WINDOW_S + 0.2)
        cut_off = world.daemons[4]
        cut_off.log_age_s = lambda: 10.0
        world.read_entries(COLD_MS, [daemon for daemon in world.daemons if daemon is not cut_off])
        await asyncio.sleep(1.0)
        infos = [state.info for state in cut_off.table.all()]
        assert all(cut_off.table.cold_replicas.is_cold(info, monotonic_s()) for info in infos)

    run_virtual(main())


def test_daemon_with_few_requests_gets_permits_despite_one_with_many():
    async def main():
        world = World(replicas=1)
        world.read_entries(COLD_MS)
        world.set_leader(0, fence=1)
        await asyncio.sleep(GRANT_WINDOW_S + 0.2)
        world.start_requests(40, world.daemons[1:2])
        await asyncio.sleep(2.0)
        world.start_requests(1, world.daemons[2:3])
        await asyncio.sleep(3.0)
        many, few = (daemon.table.permit_pool.counters.used for daemon in world.daemons[1:3])
        assert few >= 3
        assert many > few

    run_virtual(main())


def test_no_permit_is_requested_while_a_warm_replica_has_free_slots():
    async def main():
        world = World(replicas=2)
        (daemon,) = world.daemons[:1]
        cold, warm = world.infos
        daemon.table.apply_entry(msgspec.structs.replace(cold, cold_ms=COLD_MS), monotonic_s())
        daemon.table.apply_entry(warm, monotonic_s())
        assert daemon.table.choose(QUERY, monotonic_s()).info.replica_id == warm.replica_id
        assert not daemon.table.permit_pool.requested_services_by_id
        daemon.table.get(warm.replica_id).in_flight = warm.slots
        assert daemon.table.choose(QUERY, monotonic_s()) is None
        assert list(daemon.table.permit_pool.requested_services_by_id) == [cold.replica_id]

    run_virtual(main())


def test_control_messages_need_no_permit():
    async def main():
        world = World(daemons=1, replicas=1)
        world.read_entries(COLD_MS)
        world.daemons[0].table.send_rules.admit(world.infos[0], CONTROL_MESSAGE, monotonic_s())

    run_virtual(main())


def mark_unreachable(world):
    """Mark the world's only replica unreachable; return its entry and the daemon's cold replicas."""
    (info,) = world.infos
    world.daemons[0].table.record_unreachable(info.incarnation, monotonic_s())
    return info, world.daemons[0].table.cold_replicas


@pytest.mark.parametrize("answered", [False, True])
def test_unreachable_replica_counts_as_cold_until_a_later_entry(answered):
    async def main():
        world = World(daemons=1, replicas=1)
        world.read_entries(0)
        info, cold = mark_unreachable(world)
        world.read_entries(0)  # may have been written before the replica was unreachable
        assert cold.is_cold(info, monotonic_s())
        if answered:
            cold.record_response(info, monotonic_s())
            assert cold.is_cold(info, monotonic_s() + LIMIT.max_duration_s - 0.1)
            assert not cold.is_cold(info, monotonic_s() + LIMIT.max_duration_s)
        await asyncio.sleep(MAX_ENTRY_DELAY_S)
        world.read_entries(0)
        assert not cold.is_cold(info, monotonic_s())

    run_virtual(main())


def test_replicas_of_zone_count_as_cold_for_longest_cold_period_after_evacuation():
    async def main():
        world = World(daemons=1, replicas=1)
        world.read_entries(0)
        (info,) = world.infos
        table, cold = world.daemons[0].table, world.daemons[0].table.cold_replicas
        table.mark_zone_possibly_cold("elsewhere", monotonic_s())
        assert not cold.is_cold(info, monotonic_s())
        table.mark_zone_possibly_cold(info.zone, monotonic_s())
        assert cold.is_cold(info, monotonic_s() + LIMIT.max_duration_s - 0.1)
        assert not cold.is_cold(info, monotonic_s() + LIMIT.max_duration_s)

    run_virtual(main())


def test_permit_requests_of_many_daemons_do_not_flood_the_leader():
    async def main():
        world = World(daemons=84, replicas=23)
        world.read_entries(COLD_MS)
        world.set_leader(0, fence=1)
        await asyncio.sleep(GRANT_WINDOW_S + 0.2)
        leader = world.daemons[0].transport.counters
        before = leader.frames_received
        world.start_requests(1, world.daemons[1:])
        await asyncio.sleep(1.5)
        assert leader.frames_received - before < 84 / MAX_REQUEST_INTERVAL_S * 1.5 * 2
        assert world.max_sends_per_s <= LIMIT_PER_S

    run_virtual(main())
