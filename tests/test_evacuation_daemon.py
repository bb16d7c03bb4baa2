"""Evacuation of a zone as one platform daemon handles it, over real sockets."""

import asyncio
import json
import time
import unittest.mock

from passgate.jobs.item_run import ItemRun
from tests import fake_platform
from tests.test_platform_daemon import in_world, stream_route

ZONE = "b"
"""The evacuated zone; the other one is ``a``."""
MODELS = {"m": 1}.items()
APPLY_TIMEOUT_S = 0.5
"""Longest time until the daemon has read a record of the operator; a tenth of the 5 s that it may take."""


async def evacuate_zone(world):
    """Evacuate the zone; return the time at which the daemon has applied that."""
    world.log.put("keyed.op", f"evacuate/{ZONE}", {})
    await world.until(lambda: ZONE in world.daemon.evacuated_zones, APPLY_TIMEOUT_S)
    return time.monotonic()


async def end_evacuation(world):
    world.log.put("keyed.op", f"evacuate/{ZONE}", None)
    await world.until(lambda: ZONE not in world.daemon.evacuated_zones, APPLY_TIMEOUT_S)


def runs_in(world, zone, began_after_s=0.0):
    replicas = [replica for replica in world.replicas.values() if replica.zone == zone]
    return [run for replica in replicas for run in replica.runs if run.started_s > began_after_s]


async def start_daemon_with_replicas(world, *routes, count=2, **fields):
    """Start a daemon, and in each zone ``count`` replicas for plain requests and as many for items."""
    for zone in ("a", ZONE):
        for number in range(count):
            world.replica(f"i-app-{zone}{number}", "app", zone=zone)
            world.replica(f"i-llm-{zone}{number}", "llm", zone=zone, models=MODELS, **fields)
    world.configure(1, *(routes or (fake_platform.safe_route(), fake_platform.batch_route())))
    await world.start()


@in_world
async def test_no_request_item_reward_call_or_load_order_is_sent_to_an_evacuated_zone(world):
    await start_daemon_with_replicas(world)
    evacuated_s = await evacuate_zone(world)
    world.log.put("keyed.op", "version/m", {"model": "m", "version": 2})
    for number in range(20):
        assert (await world.call("POST", "/call/x", b"", request_id=f"r{number}")).status == 200
    await world.submit([f"{group}{number}" for group in ("aa", "bb") for number in range(6)], scored=True)
    rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    llm = [replica for replica in world.replicas.values() if replica.service == "llm"]
    await world.until(lambda: all(r.version_by_model["m"] == 2 for r in llm if r.zone == "a"))
    assert runs_in(world, ZONE, evacuated_s) == []
    assert not any(replica.received_orders for replica in llm if replica.zone == ZONE)
    await end_evacuation(world)
    await world.until(lambda: all(replica.version_by_model["m"] == 2 for replica in llm))


@in_world
async def test_a_request_is_refused_as_not_run_while_its_only_zone_is_evacuated(world):
    world.replica("i-1", "app", zone=ZONE)
    world.configure(1, fake_platform.safe_route())
    await world.start()
    await evacuate_zone(world)
    answer = await world.call("POST", "/call/x", b"")
    assert answer.status == 503
    assert json.loads(answer.body)["error"]["execution"] == "not_run"
    await end_evacuation(world)
    assert (await world.call("POST", "/call/x", b"")).status == 200


@in_world
async def test_an_item_with_a_reserved_slot_is_not_sent_once_the_zone_is_evacuated(world):
    await start_daemon_with_replicas(world)
    wait_for_replica, evacuated_s = ItemRun.wait_for_replica, []

    async def wait_and_evacuate(run):
        await wait_for_replica(run)
        if not evacuated_s and run._reserved_replica.info.zone == ZONE:
            evacuated_s.append(await evacuate_zone(world))

    with unittest.mock.patch.object(ItemRun, "wait_for_replica", wait_and_evacuate):
        await world.submit([f"aa{number}" for number in range(40)])
        rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    assert runs_in(world, ZONE, evacuated_s[0]) == []
    excluded = [key for key in world.daemon.replicas.send_rules.exclusion_counts if key.stage.value == "send"]
    assert [(key.rule, key.kind.value) for key in excluded] == [("evacuation", "request")]


@in_world
async def test_a_broken_stream_is_not_resumed_in_an_evacuated_zone(world):
    replicas = [world.replica(f"i-{n}", "llm", zone=ZONE, models=MODELS, event_s=0.2) for n in range(2)]
    for replica in replicas:
        replica.faults.break_after_events = 3
    world.configure(1, stream_route(resumable=True, maxAttempts=3, timeoutMs=9000))
    await world.start()
    request_id = next(f"chat{n}" for n in range(99) if fake_platform.event_count(f"chat{n}") >= 10)
    calling = asyncio.create_task(
        world.call("POST", "/stream/x", b"", request_id=request_id, deadline_ms=9000, **{"X-Model": "m"})
    )
    await world.until(lambda: runs_in(world, ZONE))
    other = world.replica("i-a", "llm", zone="a", models=MODELS)
    await world.until(lambda: world.daemon.replicas.get("i-a") is not None)
    await evacuate_zone(world)
    data = [line[6:] for line in (await calling).body.decode().split("\n") if line.startswith("data: ")]
    assert "\n".join(data) == fake_platform.complete_output(request_id)
    assert len(runs_in(world, ZONE)) == 1
    assert [int(run.last_event_id) for run in other.runs] == [3]


@in_world
async def test_running_job_completes_in_the_other_zone_when_one_is_evacuated(world):
    await start_daemon_with_replicas(world, event_s=0.05)
    await world.submit([f"{group}{number}" for group in ("aa", "bb", "cc") for number in range(12)])
    await world.until(lambda: len(runs_in(world, ZONE)) >= 8)
    evacuated_s = await evacuate_zone(world)
    rows = await world.all_results("job1")
    assert {row["state"] for row in rows} == {"succeeded"}
    assert all(row["text"] == fake_platform.complete_output(row["id"]) for row in rows)
    assert runs_in(world, ZONE, evacuated_s) == []


@in_world
async def test_evacuation_that_ended_while_the_log_was_unavailable_ends_once_it_is_back(world):
    await start_daemon_with_replicas(world)
    await evacuate_zone(world)
    world.log.faults.refusing = True
    await asyncio.sleep(0.2)
    world.log.put("keyed.op", f"evacuate/{ZONE}", None)
    await asyncio.sleep(0.5)
    assert ZONE in world.daemon.evacuated_zones
    world.log.faults.refusing = False
    await world.until(lambda: ZONE not in world.daemon.evacuated_zones)


@in_world
async def test_evacuation_missing_from_a_snapshot_after_lost_history_ends(world):
    await start_daemon_with_replicas(world)
    await evacuate_zone(world)
    world.log.faults.refusing = True
    await asyncio.sleep(0.2)
    world.log.put("keyed.op", f"evacuate/{ZONE}", None)
    world.log.drop_history("keyed.op")
    world.log.faults.refusing = False
    await world.until(lambda: ZONE not in world.daemon.evacuated_zones)
    assert (await world.call("POST", "/call/x", b"")).status == 200


@in_world
async def test_metrics_show_evacuated_zones_and_excluded_replicas(world):
    await start_daemon_with_replicas(world)
    await evacuate_zone(world)
    assert (await world.call("POST", "/call/x", b"")).status == 200
    text = world.daemon._collect_metrics().decode()
    assert "passgate_evacuated_zones 1.0" in text
    assert 'passgate_kept_back_total{kind="request",rule="evacuation",step="choice"}' in text
    age_s = float(text.split("\npassgate_evacuation_age_seconds ")[1].split("\n")[0])
    assert 0.0 <= age_s < 2.0
