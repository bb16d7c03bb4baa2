"""Rollout managers and lease services under engine, network and daemon failures, in virtual time."""

import asyncio

import pytest

from passgate.clock import new_virtual_loop
from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.parameters import StoreParameters
from passgate.errors import OrderRefused
from passgate.rollout.plan import make_views
from passgate.rollout.seeds import seed_chain
from passgate.rollout.types import RolloutSettings
from passgate.schema import EngineOrder, OrderKind
from tests.rollout_fleet import SimulationSettings
from tests.rollout_fleet_run import ROLE, SimulatedRollout

LIMIT_S = 120.0


def run_scenario(scenario, replicas=12, zones=3, managers=3, **options):
    """Run a coroutine function, which takes a settled SimulatedRollout, in virtual time."""

    async def run_all():
        run = SimulatedRollout(make_views(replicas, zones), managers=managers, **options)
        run.start()
        await run.wait_until_settled(LIMIT_S)
        try:
            await scenario(run)
        finally:
            await run.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(run_all())
    finally:
        loop.close()


def daemon_of(run, manager):
    return next(daemon for daemon in run.daemons if manager in daemon.manager_by_role.values())


def test_new_version_reaches_all_replicas_from_few_store_copies():
    async def scenario(run):
        run.publish(2)
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert run.store.fetches <= run.settings.distribution.max_store_copies
        assert 1 <= run.maximum_paused <= 3, "a floor of 0.75 allows three of twelve replicas out of service"

    run_scenario(scenario)


def test_superseded_leader_is_refused_by_engines_and_steps_down():
    async def scenario(run):
        [paused] = run.leaders()
        old_fence = paused.fence
        daemon = daemon_of(run, paused)
        daemon.log_client.reads_down = True  # The leader no longer reads that it lost the lease.
        run.declare_dead(daemon)
        await run.wait_until(lambda: len(run.leaders()) == 2, LIMIT_S)
        newer = next(manager for manager in run.leaders() if manager is not paused)
        await run.wait_until(lambda: newer.progress() and newer.progress()[0].settled, LIMIT_S)
        assert (
            min(engine.highest_fence for engine in run.fleet.engine_by_address.values())
            == newer.fence
            > old_fence
        )
        run.publish(2)
        await run.wait_until(lambda: paused.state == "standby", LIMIT_S)
        assert daemon.leases.held_epoch(ROLE) == old_fence, (
            "its own lease projection still names it as the holder"
        )
        await run.wait_until_on(2, LIMIT_S)
        assert paused.state == "standby" and newer.state != "standby"

    run_scenario(scenario)


def test_late_order_of_an_earlier_leader_is_refused():
    async def scenario(run):
        [first] = run.leaders()
        address = run.views[0].address
        late_order = EngineOrder(
            order_id="late", kind=OrderKind.ACTIVATE_VERSION, fence=first.fence, model="m", version=1
        )
        run.publish(2)
        await run.wait_until_on(2, LIMIT_S)
        await run.kill(daemon_of(run, first), detect_s=1.0)
        await run.wait_until_settled(LIMIT_S)
        with pytest.raises(OrderRefused) as caught:
            await run.fleet.order(address, late_order)
        assert caught.value.details["reason"] == "old_fence"
        assert run.fleet.count_on(2) == 12

    run_scenario(scenario)


@pytest.mark.parametrize(
    "failure", [SwapFailure.STAGE_FAILS, SwapFailure.KEEPS_OLD, SwapFailure.LOSES_WEIGHTS]
)
def test_failing_engine_is_retried_and_does_not_block_others(failure):
    async def scenario(run):
        failing_engine = run.fleet.engine_by_address[run.views[5].address]
        run.fleet.fail_next_swaps(run.views[5].address, failure, count=1)
        run.publish(2)
        await run.wait_until(lambda: run.fleet.count_on(2) >= 11, LIMIT_S)
        await run.wait_until_settled(LIMIT_S)
        assert failing_engine.version == 2

    run_scenario(scenario)


def test_only_the_engine_with_failing_swaps_is_rolled_back():
    async def scenario(run):
        view = run.views[5]
        failing_engine = run.fleet.engine_by_address[view.address]
        run.fleet.fail_next_swaps(view.address, SwapFailure.LOSES_WEIGHTS, count=2)
        run.publish(2)
        duration_s = await run.wait_until(lambda: run.fleet.count_on(2) == 11, LIMIT_S)
        assert duration_s < 30.0
        versions = []
        while failing_engine.version != 2:
            versions.append(failing_engine.version)
            await asyncio.sleep(0.05)
        assert list(dict.fromkeys(versions))[-2:] == [None, 1], "version 1 was active again before the retry"

    run_scenario(scenario)


def test_withdrawal_during_a_rollout_restores_the_newest_usable_version():
    async def scenario(run):
        run.publish(2)
        await run.wait_until(lambda: 3 <= run.fleet.count_on(2) < 12, LIMIT_S)
        run.withdraw(2)
        await run.wait_until_on(1, LIMIT_S)
        await run.wait_until_settled(LIMIT_S)
        await asyncio.sleep(5.0)
        assert run.fleet.count_on(1) == 12, "no late order activates the withdrawn version"

    run_scenario(scenario)


def test_newer_version_replaces_the_target_of_a_running_rollout():
    async def scenario(run):
        run.publish(2)
        await run.wait_until(lambda: run.fleet.count_on(2) >= 2, LIMIT_S)
        run.publish(3)
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(3) == 12

    run_scenario(scenario)


def test_another_daemon_completes_the_rollout_after_the_leader_crashes():
    async def scenario(run):
        [leader] = run.leaders()
        run.publish(2)
        await run.wait_until(lambda: 2 <= run.fleet.count_on(2) < 12, LIMIT_S)
        await run.kill(daemon_of(run, leader), detect_s=2.0)
        await run.wait_until_settled(LIMIT_S)
        [successor] = run.leaders()
        assert successor.fence == leader.fence + 1
        assert run.fleet.count_on(2) == 12

    run_scenario(scenario)


def test_graceful_stop_releases_the_role():
    async def scenario(run):
        [leader] = run.leaders()
        run.publish(2)
        await run.wait_until(lambda: run.fleet.count_on(2) >= 1, LIMIT_S)
        await leader.stop(timeout_s=10.0)
        assert leader.state == "stopped"
        assert daemon_of(run, leader).leases.holder(ROLE) is None
        run.declare_dead(daemon_of(run, leader))
        await run.wait_until_settled(LIMIT_S)

    run_scenario(scenario)


def test_orders_with_lost_answers_are_sent_again():
    async def scenario(run):
        for view in run.views[:6]:
            run.fleet.answers_to_lose[view.address, OrderKind.STAGE_VERSION] = 2
            run.fleet.answers_to_lose[view.address, OrderKind.ACTIVATE_VERSION] = 2
        run.publish(2)
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert run.maximum_paused <= 3

    run_scenario(scenario)


def test_unreachable_zone_does_not_block_others_and_catches_up_later():
    async def scenario(run):
        run.fleet.unreachable_zones.add("z01")
        run.publish(2)
        await run.wait_until_on(2, LIMIT_S, share=2 / 3)
        await asyncio.sleep(30.0)
        assert run.fleet.count_on(2) == 8
        run.fleet.unreachable_zones.clear()
        duration_s = await run.wait_until_on(2, LIMIT_S)
        assert duration_s < run.settings.retry_max_s + 15.0
        await run.wait_until_settled(LIMIT_S)
        assert run.maximum_paused <= 3

    run_scenario(scenario)


def test_store_outage_after_the_first_copy_does_not_stop_the_rollout():
    async def scenario(run):
        run.publish(2)
        await run.wait_until(
            lambda: any(e.weights.holds("m", 2) for e in run.fleet.engine_by_address.values()), LIMIT_S
        )
        run.store.available = False
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12

    run_scenario(scenario)


def test_rollout_completes_when_engines_refuse_cut_through():
    async def scenario(run):
        run.publish(2)
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert run.store.fetches <= 2

    run_scenario(scenario, simulation=SimulationSettings(cut_through=False))


def test_zone_managers_share_one_store_copy():
    async def scenario(run):
        assert len(run.leaders()) == 3
        run.publish(2)
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 24
        assert run.store.fetches == 1

    run_scenario(scenario, replicas=24, by_zone=True)


def test_zone_uses_the_store_when_another_zones_seed_is_unreachable():
    async def scenario(run):
        first = seed_chain("m", 2, run.views)[0]
        run.fleet.unreachable_zones.add(first.zone)
        run.publish(2)
        await run.wait_until_on(2, LIMIT_S, share=2 / 3)
        assert run.store.fetches <= 2
        run.fleet.unreachable_zones.clear()
        await run.wait_until_settled(LIMIT_S)

    run_scenario(scenario, replicas=24, by_zone=True)


def test_slow_store_sends_one_copy():
    async def scenario(run):
        run.publish(2)
        await run.wait_until_settled(LIMIT_S)
        assert run.store.fetches <= 1

    run_scenario(scenario, store=StoreParameters(bytes_per_s=2e8))


@pytest.mark.parametrize("mode", ["swap_running", "drain", "pause", "full_drain"])
def test_every_swap_mode_completes(mode):
    async def scenario(run):
        run.publish(2)
        await run.wait_until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert not any(engine.control.draining for engine in run.fleet.engine_by_address.values())
        if mode in ("pause", "full_drain"):
            assert run.maximum_paused == 12

    run_scenario(scenario, settings=RolloutSettings(swap_mode=mode))
