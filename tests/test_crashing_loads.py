"""A load order that crashes every replica that executes it.

Guards against repeating the order to each restarted replica, which would keep crashing the whole service.
"""

import asyncio

from tests import fake_platform
from tests.crashing_world import in_crashing_world

MAX_CRASHED = 4
"""Three crashes until loads are suspended, and one of a replica that loaded concurrently."""


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
async def test_a_load_that_crashes_replicas_is_suspended_and_a_newer_version_is_loaded(world):
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
