"""Items of an accepted job wait for replicas of a service to which their route does not lead any more."""

import asyncio
import time

from review.standins.harness import DEADLINE_MS, MODEL, TROUBLE, Trainer, new_id, rollout_route, run_case

OLD_SERVICE, NEW_SERVICE = "modelos-canario", "modelos"
NEW_REPLICAS, SLOTS = 3, 16
ITEMS, EVENTS, EVENT_MS = 28, 26, 120
CONFIG_AT_S, LEAVE_AT_S = 0.5, 2.7
"""Times after the submission; the replica leaves later than configApplyMs after the configuration."""
STARVED_S = 5.0


async def case(world):
    """Return whether each item reached a replica in time."""

    def start(service, zone):
        return world.start_replica(service, zone, slots=SLOTS, event_ms=EVENT_MS, models={MODEL: 1})

    old = start(OLD_SERVICE, 0)
    for zone in range(NEW_REPLICAS):
        start(NEW_SERVICE, zone)
    await world.wait_for_entries(world.replicas)
    services = [OLD_SERVICE, NEW_SERVICE]
    world.publish_config([rollout_route(OLD_SERVICE)], services)
    await world.start()
    items = [(item_id, f"/grau/{EVENTS}/{item_id}") for item_id in (new_id() for _ in range(ITEMS))]
    trainer = Trainer(world, items, path="/grau/7c41e0", min_version=1, desired=7)
    await trainer.submit()
    out_of_time_s = trainer.sent_s + DEADLINE_MS / 1000
    reading = asyncio.create_task(trainer.read_until(out_of_time_s))
    if TROUBLE:
        await asyncio.sleep(trainer.sent_s + CONFIG_AT_S - time.monotonic())
        world.publish_config([rollout_route(NEW_SERVICE)], services)
        await asyncio.sleep(trainer.sent_s + LEAVE_AT_S - time.monotonic())
        world.drain_replica(old)
    await reading
    await asyncio.sleep(max(out_of_time_s - time.monotonic(), 0.0))
    starved = world.starved_items(trainer, out_of_time_s, STARVED_S)
    running = world.count_running(out_of_time_s - STARVED_S)
    world.record.write(
        f"at the step's deadline {len(trainer.results)} of {ITEMS} items are listed; {len(starved)} were "
        f"at no replica for the last {STARVED_S} s, and none has finished or failed them: {starved}"
    )
    world.record.write(
        f"{running} runs at the {NEW_REPLICAS} replicas of {NEW_SERVICE}, {SLOTS} slots each, when that began"
    )
    return not starved or running >= NEW_REPLICAS * SLOTS / 2


run_case(__file__, case)
