"""Reward calls of items over real sockets: when they are sent, what their answers decide."""

import asyncio
import contextlib

from tests import platform_stand_ins as stand_ins
from tests.test_platform_daemon import in_world

ATTEMPTS = 3
"""What both routes of these tests allow."""


def runs_of(world, request_id):
    return [
        run for replica in world.replicas.values() for run in replica.runs if run.request_id == request_id
    ]


async def start(world, apps=2, **replica_fields):
    world.replica("i-llm", "llm", models={"m": 1}.items(), **replica_fields)
    for number in range(apps):
        world.replica(f"i-app{number}", "app")
    world.configure(1, stand_ins.safe_route(maxAttempts=ATTEMPTS), stand_ins.batch_route(maxAttempts=2))
    await world.start()


def apps(world):
    return [replica for replica in world.replicas.values() if replica.service == "app"]


@in_world
async def test_a_result_has_the_score_of_its_own_call_made_after_its_text(world):
    await start(world)
    assert (await world.submit(["aa1", "aa2", "bb1"], scored=True)).status == 202
    rows = await world.all_results("job1")
    assert {row["id"] for row in rows} == {"aa1", "aa2", "bb1"}
    for row in rows:
        (made,) = runs_of(world, row["id"])
        (scored,) = runs_of(world, stand_ins.reward_id(row["id"]))
        assert row["state"] == "succeeded"
        assert row["text"] == stand_ins.whole_text(row["id"])
        assert row["score"] == f"{scored.replica_id}.{scored.request_id}"
        assert scored.began_s >= made.ended_s
        assert (scored.path, scored.body) == (f"/call/score/{row['id']}", f"score {row['id']}".encode())


@in_world
async def test_a_job_without_scorers_has_no_scores(world):
    await start(world)
    await world.submit(["aa1"])
    (row,) = await world.all_results("job1")
    assert "score" not in row


@in_world
async def test_an_item_is_dead_only_after_as_many_answers_of_500_as_its_routes_allow(world):
    await start(world)
    for app in apps(world):
        app.faults.failing = 500
    await world.submit(["aa1"], scored=True)
    (row,) = await world.all_results("job1")
    assert row["state"] == "dead"
    assert len(runs_of(world, stand_ins.reward_id("aa1"))) == ATTEMPTS
    assert len(runs_of(world, "aa1")) == 1


@in_world
async def test_lost_answers_refusals_and_other_failures_end_no_item(world):
    await start(world)
    first, second = apps(world)
    first.faults.lost_answers = 1.0
    second.faults.failing = 504
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(0.8)
    second.faults.failing = 0
    second.faults.refusing = True
    await asyncio.sleep(0.3)
    assert len(runs_of(world, stand_ins.reward_id("aa1"))) > ATTEMPTS
    assert not (await world.results("job1", wait_ms=0))["results"]
    second.faults.refusing = False
    (row,) = await world.all_results("job1")
    assert row["state"] == "succeeded"


@in_world
async def test_a_call_that_takes_longer_than_usual_is_scored_in_the_end(world):
    await start(world, apps=1)
    (app,) = apps(world)
    app.faults.slow = 90.0
    await world.submit(["aa1"], scored=True)
    (row,) = await world.all_results("job1")
    assert row["state"] == "succeeded"


@in_world
async def test_an_answer_of_another_request_is_no_score(world):
    await start(world)
    first, second = apps(world)
    first.faults.wrong_id = True
    await world.submit([f"aa{number}" for number in range(6)], scored=True)
    for row in await world.all_results("job1"):
        assert row["score"] == f"{second.replica_id}.{stand_ins.reward_id(row['id'])}"


@in_world
async def test_a_reward_call_waits_for_its_route_and_goes_by_the_one_in_force(world):
    world.replica("i-llm", "llm", models={"m": 1}.items())
    world.replica("i-old", "app")
    world.replica("i-new", "other")
    world.configure(1, stand_ins.batch_route())
    await world.start()
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(0.5)
    assert not (await world.results("job1", wait_ms=0))["results"]
    world.configure(2, stand_ins.batch_route(), stand_ins.safe_route(service="other"))
    (row,) = await world.all_results("job1")
    assert row["score"].startswith("i-new.")


@in_world
async def test_nothing_is_scored_after_the_end_of_the_job(world):
    await start(world)
    for app in apps(world):
        app.faults.refusing = True
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(0.4)
    assert (await world.call("DELETE", "/-/lots/job1")).status == 200
    await asyncio.sleep(0.4)
    for app in apps(world):
        app.faults.refusing = False
    await asyncio.sleep(0.8)
    assert not runs_of(world, stand_ins.reward_id("aa1"))


@in_world
async def test_another_life_repeats_the_reward_call_only(world):
    """The text stands on the log; whoever owns the job next does not generate it again."""
    await start(world)
    for app in apps(world):
        app.faults.refusing = True
    await world.submit(["aa1", "aa2"], scored=True)
    await asyncio.sleep(0.8)
    world.task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await world.task
    for app in apps(world):
        app.faults.refusing = False
    await world.start()
    rows = await world.all_results("job1", timeout_s=15.0)
    assert [row["state"] for row in rows] == ["succeeded", "succeeded"]
    for item in ("aa1", "aa2"):
        assert len(runs_of(world, item)) == 1


@in_world
async def test_a_later_job_that_carries_an_item_on_uses_its_text_and_score(world):
    await start(world)
    for app in apps(world):
        app.faults.failing = 500
    await world.submit(["aa1"], scored=True)
    assert (await world.all_results("job1"))[0]["state"] == "dead"
    for app in apps(world):
        app.faults.failing = 0
    await world.submit(["aa1", "bb1"], request_id="job2", step=2, scored=True)
    rows = await world.all_results("job2")
    assert [row["state"] for row in rows] == ["succeeded", "succeeded"]
    await world.submit(["aa1", "bb1"], request_id="job3", step=3, scored=True)
    assert sorted(row["score"] for row in await world.all_results("job3")) == sorted(
        row["score"] for row in rows
    )
    for item in ("aa1", "bb1"):
        assert len(runs_of(world, item)) == 1


@in_world
async def test_a_burst_of_reward_calls_leaves_places_to_callers(world):
    """Four places: two calls of items at a time, so that a caller is never refused."""
    world.replica("i-llm", "llm", models={"m": 1}.items(), slots=64)
    app = world.replica("i-app", "app", slots=4, work_s=0.1)
    world.configure(1, stand_ins.safe_route(maxAttempts=ATTEMPTS), stand_ins.batch_route())
    await world.start()
    await world.submit([f"aa{number}" for number in range(30)], scored=True)
    most = 0
    for _ in range(60):
        await asyncio.sleep(0.02)
        most = max(most, app.running)
    assert 2 <= most <= 3
    assert len(await world.all_results("job1")) == 30
