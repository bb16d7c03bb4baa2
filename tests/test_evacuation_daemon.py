"""An evacuated zone as one daemon of the users' platform meets it, over real sockets."""

import asyncio
import json
import time
import unittest.mock

from passgate.jobs.item_run import ItemRun
from tests import platform_stand_ins as stand_ins
from tests.test_platform_daemon import in_world, stream_route

ZONE = "b"
"""The zone that is evacuated; the other one is ``a``."""
MODELS = {"m": 1}.items()
APPLICATION_S = 0.5
"""Time for a record to be known here, of the 5 s that the operator grants; long polls end at once."""


async def evacuate(world):
    """Have the zone evacuated; return when the daemon knows it."""
    world.log.put("keyed.op", f"evacuate/{ZONE}", {})
    await world.until(lambda: ZONE in world.daemon.evacuated, APPLICATION_S)
    return time.monotonic()


async def end_evacuation(world):
    world.log.put("keyed.op", f"evacuate/{ZONE}", None)
    await world.until(lambda: ZONE not in world.daemon.evacuated, APPLICATION_S)


def runs_in(world, zone, since_s=0.0):
    replicas = [replica for replica in world.replicas.values() if replica.zone == zone]
    return [run for replica in replicas for run in replica.runs if run.began_s > since_s]


async def start(world, *routes, count=2, **fields):
    """Start a daemon, and in each zone replicas for plain requests and for items."""
    for zone in ("a", ZONE):
        for number in range(count):
            world.replica(f"i-app-{zone}{number}", "app", zone=zone)
            world.replica(f"i-llm-{zone}{number}", "llm", zone=zone, models=MODELS, **fields)
    world.configure(1, *(routes or (stand_ins.safe_route(), stand_ins.batch_route())))
    await world.start()


@in_world
async def test_plain_requests_items_reward_calls_and_orders_leave_an_evacuated_zone(world):
    await start(world)
    known_s = await evacuate(world)
    world.log.put("keyed.op", "version/m", {"model": "m", "version": 2})
    for number in range(20):
        assert (await world.call("POST", "/call/x", b"", request_id=f"r{number}")).status == 200
    await world.submit([f"{group}{number}" for group in ("aa", "bb") for number in range(6)], scored=True)
    rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    llm = [replica for replica in world.replicas.values() if replica.service == "llm"]
    await world.until(lambda: all(r.versions["m"] == 2 for r in llm if r.zone == "a"))
    assert runs_in(world, ZONE, known_s) == []
    assert not any(replica.orders for replica in llm if replica.zone == ZONE)
    await end_evacuation(world)
    await world.until(lambda: all(replica.versions["m"] == 2 for replica in llm))


@in_world
async def test_a_request_is_refused_as_not_run_while_its_only_zone_is_evacuated(world):
    world.replica("i-1", "app", zone=ZONE)
    world.configure(1, stand_ins.safe_route())
    await world.start()
    await evacuate(world)
    answer = await world.call("POST", "/call/x", b"")
    assert answer.status == 503
    assert json.loads(answer.body)["error"]["execution"] == "not_run"
    await end_evacuation(world)
    assert (await world.call("POST", "/call/x", b"")).status == 200


@in_world
async def test_an_item_with_a_reserved_slot_is_not_sent_once_the_zone_is_evacuated(world):
    await start(world)
    wait_for_replica, known_s = ItemRun.wait_for_replica, []

    async def wait_and_evacuate(run):
        await wait_for_replica(run)
        if not known_s and run._state.info.zone == ZONE:
            known_s.append(await evacuate(world))

    with unittest.mock.patch.object(ItemRun, "wait_for_replica", wait_and_evacuate):
        await world.submit([f"aa{number}" for number in range(40)])
        rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    assert runs_in(world, ZONE, known_s[0]) == []
    stopped = [key for key in world.daemon.replicas.rules.kept_back if key.checked_at.value == "send"]
    assert [(key.rule, key.kind.value) for key in stopped] == [("evacuation", "request")]


@in_world
async def test_a_broken_stream_is_not_resumed_in_an_evacuated_zone(world):
    replicas = [world.replica(f"i-{n}", "llm", zone=ZONE, models=MODELS, event_s=0.2) for n in range(2)]
    for replica in replicas:
        replica.faults.break_after = 3
    world.configure(1, stream_route(resumable=True, maxAttempts=3, timeoutMs=9000))
    await world.start()
    request_id = next(f"chat{n}" for n in range(99) if stand_ins.event_count(f"chat{n}") >= 10)
    calling = asyncio.create_task(
        world.call("POST", "/stream/x", b"", request_id=request_id, deadline_ms=9000, **{"X-Model": "m"})
    )
    await world.until(lambda: runs_in(world, ZONE))
    other = world.replica("i-a", "llm", zone="a", models=MODELS)
    await world.until(lambda: world.daemon.replicas.get("i-a") is not None)
    await evacuate(world)
    data = [line[6:] for line in (await calling).body.decode().split("\n") if line.startswith("data: ")]
    assert "\n".join(data) == stand_ins.whole_text(request_id)
    assert len(runs_in(world, ZONE)) == 1
    assert [int(run.last_event_id) for run in other.runs] == [3]


@in_world
async def test_a_step_is_whole_at_the_other_zones_when_one_is_evacuated_meanwhile(world):
    await start(world, event_s=0.05)
    await world.submit([f"{group}{number}" for group in ("aa", "bb", "cc") for number in range(12)])
    await world.until(lambda: len(runs_in(world, ZONE)) >= 8)
    known_s = await evacuate(world)
    rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    assert all(row["text"] == stand_ins.whole_text(row["id"]) for row in rows)
    assert runs_in(world, ZONE, known_s) == []


@in_world
async def test_an_evacuation_that_ended_while_the_log_was_away_ends_here_too(world):
    await start(world)
    await evacuate(world)
    world.log.faults.refusing = True
    await asyncio.sleep(0.2)
    world.log.put("keyed.op", f"evacuate/{ZONE}", None)
    await asyncio.sleep(0.5)
    assert ZONE in world.daemon.evacuated
    world.log.faults.refusing = False
    await world.until(lambda: ZONE not in world.daemon.evacuated)


@in_world
async def test_a_snapshot_after_lost_history_ends_what_it_lacks(world):
    await start(world)
    await evacuate(world)
    world.log.faults.refusing = True
    await asyncio.sleep(0.2)
    world.log.put("keyed.op", f"evacuate/{ZONE}", None)
    world.log.drop_history("keyed.op")
    world.log.faults.refusing = False
    await world.until(lambda: ZONE not in world.daemon.evacuated)
    assert (await world.call("POST", "/call/x", b"")).status == 200


@in_world
async def test_the_exposition_tells_of_evacuated_zones_and_of_what_was_kept_back(world):
    await start(world)
    await evacuate(world)
    assert (await world.call("POST", "/call/x", b"")).status == 200
    text = world.daemon._exposition().decode()
    assert "passgate_evacuated_zones 1.0" in text
    assert 'passgate_kept_back_total{kind="request",rule="evacuation",step="choice"}' in text
    age_s = float(text.split("\npassgate_evacuation_age_seconds ")[1].split("\n")[0])
    assert 0.0 <= age_s < 2.0
