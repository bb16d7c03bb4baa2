"""A load order that crashes every replica that executes it.

Guards against repeating the order to each restarted replica, which would keep crashing the whole service, and
against a version that is never loaded as its loads were interrupted.
"""

import asyncio

from tests import fake_platform
from tests.crashing_world import in_crashing_world

MAX_CRASHED = 4
"""Most crashes in 6 s: two at first, then one after each pause of 1 s, 2 s and 4 s."""


async def start_replicas_and_daemons(world):
    for _ in range(4):
        world.add_replica("llm", models={"m": 1}.items())
    world.configure(1, fake_platform.batch_route())
    await world.start_daemons(2)


def publish_version(world, version):
    world.log.put("keyed.op", "version/m", {"model": "m", "version": version})


def running_replicas(world):
    return [replica for replica in world.replicas.values() if not replica.has_crashed]


@in_crashing_world
async def test_loads_that_crash_replicas_are_paced_and_a_newer_version_is_loaded(world):
    await start_replicas_and_daemons(world)
    world.crashing_loads = {("m", 2)}
    publish_version(world, 2)
    await asyncio.sleep(6.0)
    assert 2 <= len(world.ended) <= MAX_CRASHED
    publish_version(world, 3)
    await world.until(
        lambda: all(replica.version_by_model["m"] == 3 for replica in running_replicas(world)), 8.0
    )
    assert len(world.ended) <= MAX_CRASHED


@in_crashing_world
async def test_a_version_whose_loads_were_interrupted_by_crashes_is_loaded_in_the_end(world):
    """Guards against a version that no replica gets for minutes, as several crashed for another reason."""
    await start_replicas_and_daemons(world)
    world.crashing_loads = {("m", 2)}
    publish_version(world, 2)
    await world.until(lambda: len(world.ended) >= 4, 12.0)
    world.crashing_loads = set()
    await world.until(
        lambda: all(replica.version_by_model["m"] == 2 for replica in running_replicas(world)), 12.0
    )


@in_crashing_world
async def test_a_restarted_daemon_orders_no_load_before_it_has_read_the_crash_reports(world):
    """Guards against one more crash at each restart of the leader beside a slow log."""
    await start_replicas_and_daemons(world)
    world.crashing_loads = {("m", 2)}
    publish_version(world, 2)
    await world.until(lambda: len(world.ended) >= 3)
    await asyncio.sleep(0.3)
    await world.kill_daemons()
    count = len(world.ended)
    world.log.faults.silent_topics = ("keyed.passgate-crashes",)
    await world.start_named_daemon("d3")
    await asyncio.sleep(4.0)
    assert len(world.ended) == count


@in_crashing_world
async def test_a_version_that_another_replica_holds_is_loaded_although_replicas_crashed(world):
    """Guards against suspending a working version after crashes with another cause."""
    await start_replicas_and_daemons(world)
    holder = running_replicas(world)[0]
    holder.version_by_model["m"] = 2
    holder.write_entry()
    world.crashing_loads = {("m", 2)}
    publish_version(world, 2)
    await world.until(lambda: len(world.ended) >= 4)
    world.crashing_loads = set()
    await world.until(
        lambda: all(replica.version_by_model["m"] == 2 for replica in running_replicas(world)), 8.0
    )


@in_crashing_world
async def test_replicas_that_crashed_before_they_got_an_order_do_not_suspend_a_version(world):
    """Guards against counting a crash against a load that was never sent to the replica."""
    await start_replicas_and_daemons(world)
    crashed = running_replicas(world)
    for replica in crashed:
        replica.on_crash = lambda exited: None
        replica.crash()
    publish_version(world, 2)
    await asyncio.sleep(1.5)  # the leader tries to read the report of each replica
    for replica in crashed:
        world.log.put("keyed.servers", replica.replica_id, None)
        world.add_replica("llm", models={"m": 1}.items())
    await world.until(
        lambda: all(replica.version_by_model["m"] == 2 for replica in running_replicas(world)), 6.0
    )
