"""Over real sockets: a daemon that does not read the list of replicas learns from others which are cold."""

import asyncio

from tests import fake_platform
from tests.crashing_world import in_crashing_world


@in_crashing_world
async def test_a_daemon_that_reads_the_log_but_not_the_replicas_gets_the_cold_ones_from_the_leader(world):
    """Guards against requests without a permit to a replica that has become cold unnoticed."""
    replica = world.add_replica()
    document = fake_platform.config_document(1, [fake_platform.safe_route()], ["app"])
    document["services"][0] |= {"coldStartS": 30, "coldPerS": 5}
    world.log.put("keyed.op", "config", document)
    await world.start_daemons(2)
    await world.until(lambda: any(daemon._control_topic.leadership.leads for daemon in world.daemons))
    cut_off = next(daemon for daemon in world.daemons if not daemon._control_topic.leadership.leads)
    _, reading = cut_off._discovery._direct_tail
    reading.cancel()
    replica.cold_ms = 30_000
    replica.write_entry()
    info = cut_off.replicas.get(replica.replica_id).info
    await world.until(
        lambda: cut_off.replicas.cold_replicas.is_cold(info, asyncio.get_running_loop().time()), 6.0
    )
