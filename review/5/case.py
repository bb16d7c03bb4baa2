"""Items that two crashes of a replica have interrupted run a few at a time, and some of them not in time."""

import asyncio
import time

from review.standins.harness import DEADLINE_MS, MODEL, TROUBLE, Trainer, new_id, rollout_route, run_case

SERVICE = "suggest-llm"
REPLICAS, SLOTS = 6, 12
ITEMS, EVENTS, EVENT_MS = 72, 26, 150
DESIRED_GROUPS = 16
FIRST_CRASH_AT_S = 0.5
DOWN_S = 0.7
UP_S = 0.6
"""Time for which the replica runs items before it crashes again."""
STARVED_S = 5.0


async def crash_twice(world, start, victim):
    """Kill a replica, start it again, kill it once it runs items again, and start it again."""
    world.crash_replica(victim)
    await asyncio.sleep(DOWN_S)
    second = start(0)
    until_s = time.monotonic() + 5.0
    while not any(line["event"] == "run" and line["by"] == second for line in world.replica_lines()):
        if time.monotonic() > until_s:
            raise RuntimeError("the replica that was started again got no item")
        await asyncio.sleep(0.02)
    await asyncio.sleep(UP_S)
    world.crash_replica(second)
    await asyncio.sleep(DOWN_S)
    start(0)


async def case(world):
    """Return whether all items reached a replica in time."""

    def start(zone):
        return world.start_replica(SERVICE, zone, slots=SLOTS, event_ms=EVENT_MS, models={MODEL: 1})

    replicas = [start(zone) for zone in range(REPLICAS)]
    await world.wait_for_entries(replicas)
    world.publish_config([rollout_route(SERVICE)], [SERVICE])
    await world.start()
    items = [(item_id, f"/grau/{EVENTS}/{item_id}") for item_id in (new_id() for _ in range(ITEMS))]
    trainer = Trainer(world, items, path="/grau/7c41e0", min_version=1, desired=DESIRED_GROUPS)
    await trainer.submit()
    out_of_time_s = trainer.sent_s + DEADLINE_MS / 1000
    reading = asyncio.create_task(trainer.read_until(out_of_time_s))
    if TROUBLE:
        await asyncio.sleep(trainer.sent_s + FIRST_CRASH_AT_S - time.monotonic())
        await crash_twice(world, start, replicas[0])
    await reading
    await asyncio.sleep(max(out_of_time_s - time.monotonic(), 0.0))
    starved = world.starved_items(trainer, out_of_time_s, STARVED_S)
    running = world.count_running(out_of_time_s - STARVED_S)
    world.record.write(
        f"at the step's deadline {len(trainer.results)} of {ITEMS} items are listed; {len(starved)} were "
        f"at no replica for the last {STARVED_S} s, and none has finished or failed them: {starved}"
    )
    world.record.write(f"{running} runs at the {REPLICAS} replicas, {SLOTS} slots each, when that began")
    return not starved or running >= REPLICAS * SLOTS / 2


run_case(__file__, case)
