"""Two daemons take turns in giving orders to one replica within a lease.

Each takes over as soon as the process of the other is known to have ended.
"""

import asyncio
import itertools
import time

from review.standins.harness import TROUBLE, rollout_route, run_case

SERVICE = "model-press"
MODELS = ("layout-draft", "dieline-check", "finish-suggest", "proof-review")
DAEMONS = 2
STEP_S = 4.5
"""Time between two versions of a model."""
STEPS = 14
MAX_KILLS = 30
RESTART_AFTER_S = 0.2
LEASE_S = 3.0


async def kill_and_restart(world, name):
    """Kill a daemon and start it again."""
    daemon = next(daemon for daemon in world.daemons if daemon.name == name)
    daemon.process.kill()
    daemon.process.wait()
    world.record.write(f"{name}, which gave the last order, is killed")
    await asyncio.sleep(RESTART_AFTER_S)
    daemon.start()
    world.record.write(f"{name} is started again")


async def case(world):
    """Return whether the holders of the orders kept from alternating within a lease."""
    replica_id = world.start_replica(
        SERVICE, 0, slots=6, models=dict.fromkeys(MODELS, 1), fences_checked=False
    )
    await world.wait_for_entries([replica_id])
    world.publish_config([rollout_route(SERVICE)], [SERVICE])
    await world.start(DAEMONS, fencing_enforced=False)
    kills, step = 0, 0
    began_s = time.monotonic()
    while time.monotonic() < began_s + STEPS * STEP_S:
        if time.monotonic() >= began_s + step * STEP_S:
            step += 1
            for model in MODELS:
                world.name_version(step + 1, model)
        orders = [line for line in world.replica_lines() if line["event"] == "order"]
        answered = [line for line in world.replica_lines() if line["event"] == "order answered"]
        if alternations_of(orders):
            break
        if TROUBLE and kills < min(len(answered), MAX_KILLS):
            kills = len(answered)
            await kill_and_restart(world, answered[-1]["order"]["holder"])
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    orders = [line for line in world.replica_lines() if line["event"] == "order"]
    for line in orders:
        order = line["order"]
        world.record.write(
            f"order of {order['holder']} with fence {order['fence']} for {order['model']}", line["t"]
        )
    alternations = alternations_of(orders)
    for first, second, third in alternations:
        world.record.write(
            f"{first['order']['holder']}, {second['order']['holder']} and {third['order']['holder']} gave "
            f"orders to {replica_id} within {third['t'] - first['t']:.2f} s"
        )
    if len(orders) < 2 * len(MODELS) and not alternations:
        raise RuntimeError("the replica did not get an order for each version")
    return not alternations


def alternations_of(orders):
    """Return triples of orders within a lease whose holders are A, B and A."""
    return [
        (first, second, third)
        for first, second, third in itertools.combinations(orders, 3)
        if first["order"]["holder"] == third["order"]["holder"] != second["order"]["holder"]
        and third["t"] - first["t"] < LEASE_S
    ]


run_case(__file__, case)
