"""On a route with singleVersion, an item that moves to another replica gets a text of two versions."""

import asyncio

from review.standins.harness import DEADLINE_MS, MODEL, TROUBLE, Trainer, new_id, rollout_route, run_case

SERVICE = "draft-llm"
REPLICAS, SLOTS = 6, 12
ITEMS, EVENTS, EVENT_MS = 24, 20, 40
LOAD_MS = 900
LOADED_AT_FIRST = 2
"""Replicas that have loaded the new version when the job is submitted."""
CRASH_AFTER_S = 0.3


async def case(world):
    """Return whether each result was made by one version."""
    for zone in range(REPLICAS):
        world.start_replica(SERVICE, zone, slots=SLOTS, event_ms=EVENT_MS, load_ms=LOAD_MS, models={MODEL: 1})
    await world.wait_for_entries(world.replicas)
    world.publish_config([rollout_route(SERVICE, singleVersion=True)], [SERVICE])
    await world.start()
    items = [(item_id, f"/grau/{EVENTS}/{item_id}") for item_id in (new_id() for _ in range(ITEMS))]
    trainer = Trainer(world, items, path="/grau/7c41e0", min_version=1, desired=6)
    world.name_version(2)
    await world.wait_for_lines("loaded", LOADED_AT_FIRST)
    await trainer.submit()
    reading = asyncio.create_task(trainer.read_until(trainer.sent_s + DEADLINE_MS / 1000))
    await world.wait_for_lines("run", ITEMS // 2)
    await asyncio.sleep(CRASH_AFTER_S)
    if TROUBLE:
        lines = world.replica_lines()
        ordered = {line["by"] for line in lines if line["event"] == "order"}
        running = [line["by"] for line in lines if line["event"] == "run" and line["by"] not in ordered]
        world.crash_replica(max(running, key=running.count))
    await reading
    mixed = [result for result in trainer.results.values() if len(result["versions"]) > 1]
    world.record.write(f"{len(trainer.results)} of {ITEMS} items are listed; several versions: {len(mixed)}")
    for result in mixed:
        world.record.write(f"{result['id']} is {result['state']} with versions {result['versions']}")
    if len(trainer.results) < ITEMS:
        raise RuntimeError("not all items were listed")
    return not mixed


run_case(__file__, case)
