"""Rollouts of a hollow fleet under faults, by real managers and lease services in virtual time."""

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
from tests.rollout_fleet import HollowSettings
from tests.rollout_fleet_run import ROLE, HollowRun

LIMIT_S = 120.0


def simulate(scenario, replicas=12, zones=3, managers=3, **options):
    """Run a scenario, a coroutine function of one settled run, in virtual time."""

    async def whole():
        run = HollowRun(make_views(replicas, zones), managers=managers, **options)
        run.start()
        await run.until_settled(LIMIT_S)
        try:
            await scenario(run)
        finally:
            await run.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(whole())
    finally:
        loop.close()


def daemon_of(run, manager):
    return next(daemon for daemon in run.daemons if manager in daemon.managers.values())


def test_new_version_reaches_all_replicas_from_few_store_copies():
    async def scenario(run):
        run.publish(2)
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert run.store.fetches <= run.settings.distribution.max_store_copies
        assert 1 <= run.most_paused <= 3, "the floor of 0.75 lets three of twelve out"

    simulate(scenario)


def test_paused_holder_is_refused_by_engines_and_steps_down():
    async def scenario(run):
        [paused] = run.leaders()
        old_fence = paused.fence
        daemon = daemon_of(run, paused)
        daemon.client.reads_down = True  # The holder hears nothing more and still believes in its lease.
        run.declare_dead(daemon)
        await run.until(lambda: len(run.leaders()) == 2, LIMIT_S)
        newer = next(manager for manager in run.leaders() if manager is not paused)
        await run.until(lambda: newer.progress() and newer.progress()[0].settled, LIMIT_S)
        assert min(engine.highest_fence for engine in run.fleet.engines.values()) == newer.fence > old_fence
        run.publish(2)
        await run.until(lambda: paused.state == "standby", LIMIT_S)
        assert daemon.leases.held_epoch(ROLE) == old_fence, "its own fold still calls it the holder"
        await run.until_on(2, LIMIT_S)
        assert paused.state == "standby" and newer.state != "standby"

    simulate(scenario)


def test_order_sent_between_check_and_act_changes_nothing():
    async def scenario(run):
        [first] = run.leaders()
        address = run.views[0].address
        late = EngineOrder(
            order_id="late", kind=OrderKind.ACTIVATE_VERSION, fence=first.fence, model="m", version=1
        )
        run.publish(2)
        await run.until_on(2, LIMIT_S)
        await run.kill(daemon_of(run, first), detect_s=1.0)
        await run.until_settled(LIMIT_S)
        with pytest.raises(OrderRefused) as caught:
            await run.fleet.order(address, late)
        assert caught.value.details["reason"] == "old_fence"
        assert run.fleet.count_on(2) == 12

    simulate(scenario)


@pytest.mark.parametrize(
    "failure", [SwapFailure.STAGE_FAILS, SwapFailure.KEEPS_OLD, SwapFailure.LOSES_WEIGHTS]
)
def test_one_failing_engine_is_retried_and_blocks_no_other(failure):
    async def scenario(run):
        bad = run.fleet.engines[run.views[5].address]
        run.fleet.fail_next_swaps(run.views[5].address, failure, count=1)
        run.publish(2)
        await run.until(lambda: run.fleet.count_on(2) >= 11, LIMIT_S)
        await run.until_settled(LIMIT_S)
        assert bad.version == 2

    simulate(scenario)


def test_engine_whose_swaps_keep_failing_is_rolled_back_alone():
    async def scenario(run):
        view = run.views[5]
        bad = run.fleet.engines[view.address]
        run.fleet.fail_next_swaps(view.address, SwapFailure.LOSES_WEIGHTS, count=2)
        run.publish(2)
        took_s = await run.until(lambda: run.fleet.count_on(2) == 11, LIMIT_S)
        assert took_s < 30.0
        versions = []
        while bad.version != 2:
            versions.append(bad.version)
            await asyncio.sleep(0.05)
        assert list(dict.fromkeys(versions))[-2:] == [None, 1], "served 1 again first"

    simulate(scenario)


def test_version_withdrawn_in_mid_rollout_gives_way_to_the_newest_good_one():
    async def scenario(run):
        run.publish(2)
        await run.until(lambda: 3 <= run.fleet.count_on(2) < 12, LIMIT_S)
        run.withdraw(2)
        await run.until_on(1, LIMIT_S)
        await run.until_settled(LIMIT_S)
        await asyncio.sleep(5.0)
        assert run.fleet.count_on(1) == 12, "no order of the withdrawn version arrives late"

    simulate(scenario)


def test_newer_version_overtakes_a_rollout_in_progress():
    async def scenario(run):
        run.publish(2)
        await run.until(lambda: run.fleet.count_on(2) >= 2, LIMIT_S)
        run.publish(3)
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(3) == 12

    simulate(scenario)


def test_death_of_the_holder_in_mid_rollout_is_survived():
    async def scenario(run):
        [leader] = run.leaders()
        run.publish(2)
        await run.until(lambda: 2 <= run.fleet.count_on(2) < 12, LIMIT_S)
        await run.kill(daemon_of(run, leader), detect_s=2.0)
        await run.until_settled(LIMIT_S)
        [successor] = run.leaders()
        assert successor.fence == leader.fence + 1
        assert run.fleet.count_on(2) == 12

    simulate(scenario)


def test_planned_stop_hands_the_role_over_at_once():
    async def scenario(run):
        [leader] = run.leaders()
        run.publish(2)
        await run.until(lambda: run.fleet.count_on(2) >= 1, LIMIT_S)
        await leader.stop(timeout_s=10.0)
        assert leader.state == "stopped"
        assert daemon_of(run, leader).leases.holder(ROLE) is None
        run.declare_dead(daemon_of(run, leader))
        await run.until_settled(LIMIT_S)

    simulate(scenario)


def test_lost_answers_are_repeated_without_harm():
    async def scenario(run):
        for view in run.views[:6]:
            run.fleet.lost_answers[view.address, OrderKind.STAGE_VERSION] = 2
            run.fleet.lost_answers[view.address, OrderKind.ACTIVATE_VERSION] = 2
        run.publish(2)
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert run.most_paused <= 3

    simulate(scenario)


def test_cut_zone_waits_while_the_rest_goes_on_and_follows_after_the_cut():
    async def scenario(run):
        run.fleet.cut_zones.add("z01")
        run.publish(2)
        await run.until_on(2, LIMIT_S, share=2 / 3)
        await asyncio.sleep(30.0)
        assert run.fleet.count_on(2) == 8
        run.fleet.cut_zones.clear()
        took_s = await run.until_on(2, LIMIT_S)
        assert took_s < run.settings.retry_max_s + 15.0
        await run.until_settled(LIMIT_S)
        assert run.most_paused <= 3

    simulate(scenario)


def test_store_outage_after_the_first_copy_does_not_stop_the_rollout():
    async def scenario(run):
        run.publish(2)
        await run.until(lambda: any(e.weights.holds("m", 2) for e in run.fleet.engines.values()), LIMIT_S)
        run.store.available = False
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12

    simulate(scenario)


def test_engines_that_pass_on_only_whole_copies_are_learned_about():
    async def scenario(run):
        run.publish(2)
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert run.store.fetches <= 2

    simulate(scenario, hollow=HollowSettings(cut_through=False))


def test_zone_managers_share_one_store_copy():
    async def scenario(run):
        assert len(run.leaders()) == 3
        run.publish(2)
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 24
        assert run.store.fetches == 1

    simulate(scenario, replicas=24, by_zone=True)


def test_zone_whose_seed_does_not_come_asks_the_store():
    async def scenario(run):
        first = seed_chain("m", 2, run.views)[0]
        run.fleet.cut_zones.add(first.zone)
        run.publish(2)
        await run.until_on(2, LIMIT_S, share=2 / 3)
        assert run.store.fetches <= 2
        run.fleet.cut_zones.clear()
        await run.until_settled(LIMIT_S)

    simulate(scenario, replicas=24, by_zone=True)


def test_slow_store_is_asked_for_few_copies():
    async def scenario(run):
        run.publish(2)
        await run.until_settled(LIMIT_S)
        assert run.store.fetches <= 1

    simulate(scenario, store=StoreParameters(bytes_per_s=2e8))


@pytest.mark.parametrize("mode", ["swap_running", "drain", "pause", "full_drain"])
def test_every_swap_mode_completes(mode):
    async def scenario(run):
        run.publish(2)
        await run.until_settled(LIMIT_S)
        assert run.fleet.count_on(2) == 12
        assert not any(engine.control.draining for engine in run.fleet.engines.values())
        if mode in ("pause", "full_drain"):
            assert run.most_paused == 12

    simulate(scenario, settings=RolloutSettings(swap_mode=mode))
