"""Guards against a text of several weight versions on a route that requires a single one."""

import asyncio

import pytest

from passgate.versions import loader
from tests import fake_platform
from tests.test_platform_daemon import in_world

EVENT_S = 0.06
LONG = [f"item{n}" for n in range(99) if fake_platform.event_count(f"item{n}") >= 13]


def models(version):
    return {"m": version}.items()


async def submit_while_running(world, replica, item_ids, *, single=True, **fields):
    """Start a daemon, submit a job and return when the replica has sent some events of each item."""
    world.configure(1, fake_platform.batch_route(singleVersion=single))
    await world.start()
    assert (await world.submit(item_ids, **fields)).status == 202
    await world.until(lambda: len(replica.running) == len(item_ids))
    await world.until(lambda: all(len(run.versions) >= 3 for run in replica.running))


async def assert_single_versions(world, allowed):
    rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    assert [row["text"] for row in rows] == [fake_platform.complete_output(row["id"]) for row in rows]
    assert all(len(row["versions"]) == 1 and row["versions"][0] in allowed for row in rows)


@in_world
async def test_an_item_whose_replica_crashes_is_not_continued_by_another_version(world):
    first = world.replica("i-1", "llm", models=models(1), event_s=EVENT_S)
    await submit_while_running(world, first, LONG[:3])
    world.replica("i-2", "llm", models=models(2))
    await asyncio.sleep(0.3)
    first.crash()
    await assert_single_versions(world, {2})


@in_world
async def test_an_interrupted_item_continues_at_a_replica_of_the_same_version(world):
    """Guards against work that is thrown away although it could be continued."""
    first = world.replica("i-1", "llm", models=models(1), event_s=EVENT_S)
    await submit_while_running(world, first, LONG[:1])
    world.replica("i-2", "llm", models=models(2))
    same = world.replica("i-3", "llm", models=models(1))
    await asyncio.sleep(0.3)
    first.crash()
    await assert_single_versions(world, {1})
    assert [bool(run.last_event_id) for run in same.runs] == [True]


@in_world
async def test_an_item_whose_replica_loads_another_version_meanwhile_starts_over(world):
    """Guards against the events that a run makes under the new version, without any crash."""
    replica = world.replica("i-1", "llm", models=models(1), event_s=EVENT_S)
    await submit_while_running(world, replica, LONG[:3])
    await replica.load("m", 2)
    await assert_single_versions(world, {2})


@in_world
async def test_an_item_moves_only_to_a_faster_replica_of_the_same_version(world):
    slow = world.replica("i-1", "llm", models=models(1), event_s=0.3)
    await submit_while_running(world, slow, LONG[:1])
    faster = world.replica("i-2", "llm", models=models(2), event_s=0.01)
    await assert_single_versions(world, {1})
    assert faster.runs == []


@in_world
async def test_a_route_that_requires_a_single_version_only_now_discards_a_text_of_two(world):
    """Guards against a result that was allowed when its last event was made, but not when it is listed."""
    replica = world.replica("i-1", "llm", models=models(1), event_s=EVENT_S)
    app = world.replica("i-app", "app", work_s=1.5)
    reward_route = fake_platform.safe_route(timeoutMs=4000)
    world.configure(1, fake_platform.batch_route(), reward_route)
    await world.start()
    assert (await world.submit(LONG[:1], scored=True)).status == 202
    await world.until(lambda: any(len(run.versions) >= 3 for run in replica.running))
    await replica.load("m", 2)
    await world.until(lambda: app.running)
    world.configure(2, fake_platform.batch_route(singleVersion=True), reward_route)
    await assert_single_versions(world, {2})


@in_world
async def test_without_the_requirement_an_item_is_continued_by_another_version(world):
    """Guards against items that start over where several versions may make a text."""
    first = world.replica("i-1", "llm", models=models(1), event_s=EVENT_S)
    await submit_while_running(world, first, LONG[:1], single=False)
    world.replica("i-2", "llm", models=models(2))
    await asyncio.sleep(0.3)
    first.crash()
    (row,) = await world.all_results("job1")
    assert row["versions"] == [1, 2]


@pytest.mark.parametrize(("single", "mode"), [(True, "wait"), (False, "keep")])
def test_a_load_waits_for_runs_where_a_single_version_is_required(single, mode):
    """Guards against long items that start over at each version and never end."""

    @in_world
    async def scenario(world):
        replica = world.replica("i-1", "llm", models=models(1))
        world.configure(1, fake_platform.batch_route(singleVersion=single))
        await world.start()
        world.log.put("keyed.op", "version/m", {"model": "m", "version": 2})
        await world.until(lambda: replica.received_orders, loader.LOAD_TIMEOUT_S)
        assert {order["mode"] for order in replica.received_orders} == {mode}

    scenario()
