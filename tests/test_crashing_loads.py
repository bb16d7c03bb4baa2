"""An order to load weights that ends each replica that carries it out.

Seen: the open point of the postmortem on requests that crash replicas.  How it comes about: replicas
that came back still lack the wanted version, so the leader gives them the same order again, and a
service loses all its replicas once every few seconds until another version is named.  Cause: what became
of an order was kept about the replica, whose next life has none of it, never about the version.
"""

import asyncio

from tests import platform_stand_ins as stand_ins
from tests.crashing_world import in_crashing_world

MOST_ENDED = 4
"""Three that end before the order is held, and one that loaded beside them."""


async def start_fleet(world):
    for _ in range(4):
        world.add_replica("llm", models={"m": 1}.items())
    world.configure(1, stand_ins.batch_route())
    await world.start_daemons(2)


def name_version(world, version):
    world.log.put("keyed.op", "version/m", {"model": "m", "version": version})


def alive(world):
    return [replica for replica in world.replicas.values() if not replica.ended]


@in_crashing_world
async def test_an_order_that_ends_replicas_is_not_repeated_and_a_newer_version_is_loaded(world):
    await start_fleet(world)
    world.crashing_loads = {("m", 2)}
    name_version(world, 2)
    await asyncio.sleep(6.0)
    assert 2 <= len(world.ended) <= MOST_ENDED
    name_version(world, 3)
    await world.until(lambda: all(replica.versions["m"] == 3 for replica in alive(world)), 8.0)
    assert len(world.ended) <= MOST_ENDED


@in_crashing_world
async def test_a_version_that_another_replica_holds_is_loaded_although_replicas_ended(world):
    """Replicas that end for a reason of their own while they load must not hold back a version that works."""
    await start_fleet(world)
    good = alive(world)[0]
    good.versions["m"] = 2
    good.tell()
    world.crashing_loads = {("m", 2)}
    name_version(world, 2)
    await world.until(lambda: len(world.ended) >= 4)
    world.crashing_loads = set()
    await world.until(lambda: all(replica.versions["m"] == 2 for replica in alive(world)), 8.0)
