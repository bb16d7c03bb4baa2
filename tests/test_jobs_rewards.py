"""Reward calls of items over real sockets: when they are sent, and the results of their answers."""

import asyncio
import contextlib

from tests import fake_platform
from tests.test_platform_daemon import in_world

MAX_ATTEMPTS = 3
"""Largest number of attempts that the routes of these tests allow."""


def runs_of(world, request_id):
    return [
        run for replica in world.replicas.values() for run in replica.runs if run.request_id == request_id
    ]


async def start_world(world, apps=2, **replica_fields):
    world.replica("i-llm", "llm", models={"m": 1}.items(), **replica_fields)
    for number in range(apps):
        world.replica(f"i-app{number}", "app")
    world.configure(
        1, fake_platform.safe_route(maxAttempts=MAX_ATTEMPTS), fake_platform.batch_route(maxAttempts=2)
    )
    await world.start()


def app_replicas(world):
    return [replica for replica in world.replicas.values() if replica.service == "app"]


@in_world
async def test_a_result_has_the_score_of_its_own_call_which_follows_the_complete_text(world):
    await start_world(world)
    assert (await world.submit(["aa1", "aa2", "bb1"], scored=True)).status == 202
    rows = await world.all_results("job1")
    assert {row["id"] for row in rows} == {"aa1", "aa2", "bb1"}
    for row in rows:
        (item_run,) = runs_of(world, row["id"])
        (reward_run,) = runs_of(world, fake_platform.reward_id(row["id"]))
        assert row["state"] == "succeeded"
        assert row["text"] == fake_platform.complete_output(row["id"])
        assert row["score"] == f"{reward_run.replica_id}.{reward_run.request_id}"
        assert reward_run.started_s >= item_run.ended_s
        assert (reward_run.path, reward_run.body) == (
            f"/call/score/{row['id']}",
            f"score {row['id']}".encode(),
        )


@in_world
async def test_a_job_without_reward_calls_has_no_scores(world):
    await start_world(world)
    await world.submit(["aa1"])
    (row,) = await world.all_results("job1")
    assert "score" not in row


@in_world
async def test_an_item_is_dead_only_after_as_many_answers_of_500_as_its_routes_allow(world):
    await start_world(world)
    for app in app_replicas(world):
        app.faults.failure_status = 500
    await world.submit(["aa1"], scored=True)
    (row,) = await world.all_results("job1")
    assert row["state"] == "dead"
    assert len(runs_of(world, fake_platform.reward_id("aa1"))) == MAX_ATTEMPTS
    assert len(runs_of(world, "aa1")) == 1


@in_world
async def test_lost_answers_refusals_and_other_failures_do_not_fail_an_item(world):
    await start_world(world)
    first, second = app_replicas(world)
    first.faults.lost_response_probability = 1.0
    second.faults.failure_status = 504
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(0.8)
    second.faults.failure_status = 0
    second.faults.refusing = True
    await asyncio.sleep(0.3)
    assert len(runs_of(world, fake_platform.reward_id("aa1"))) > MAX_ATTEMPTS
    assert not (await world.results("job1", wait_ms=0))["results"]
    second.faults.refusing = False
    (row,) = await world.all_results("job1")
    assert row["state"] == "succeeded"


@in_world
async def test_a_call_that_takes_longer_than_usual_gets_its_score(world):
    await start_world(world, apps=1)
    (app,) = app_replicas(world)
    app.faults.slowdown_factor = 90.0
    await world.submit(["aa1"], scored=True)
    (row,) = await world.all_results("job1")
    assert row["state"] == "succeeded"


@in_world
async def test_an_answer_of_another_request_is_no_score(world):
    await start_world(world)
    first, second = app_replicas(world)
    first.faults.wrong_attempt_id = True
    await world.submit([f"aa{number}" for number in range(6)], scored=True)
    for row in await world.all_results("job1"):
        assert row["score"] == f"{second.replica_id}.{fake_platform.reward_id(row['id'])}"


@in_world
async def test_a_reward_call_waits_for_its_route_and_uses_the_active_one(world):
    world.replica("i-llm", "llm", models={"m": 1}.items())
    world.replica("i-old", "app")
    world.replica("i-new", "other")
    world.configure(1, fake_platform.batch_route())
    await world.start()
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(0.5)
    assert not (await world.results("job1", wait_ms=0))["results"]
    world.configure(2, fake_platform.batch_route(), fake_platform.safe_route(service="other"))
    (row,) = await world.all_results("job1")
    assert row["score"].startswith("i-new.")


@in_world
async def test_a_cancelled_job_sends_no_further_reward_calls(world):
    await start_world(world)
    for app in app_replicas(world):
        app.faults.refusing = True
    await world.submit(["aa1"], scored=True)
    await asyncio.sleep(0.4)
    assert (await world.call("DELETE", "/-/lots/job1")).status == 200
    await asyncio.sleep(0.4)
    for app in app_replicas(world):
        app.faults.refusing = False
    await asyncio.sleep(0.8)
    assert not runs_of(world, fake_platform.reward_id("aa1"))


@in_world
async def test_a_restarted_daemon_repeats_the_reward_call_only(world):
    """The complete text is on the log, so the next owner of the job does not generate it again."""
    await start_world(world)
    for app in app_replicas(world):
        app.faults.refusing = True
    await world.submit(["aa1", "aa2"], scored=True)
    await asyncio.sleep(0.8)
    world.task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await world.task
    for app in app_replicas(world):
        app.faults.refusing = False
    await world.start()
    rows = await world.all_results("job1", timeout_s=15.0)
    assert [row["state"] for row in rows] == ["succeeded", "succeeded"]
    for item in ("aa1", "aa2"):
        assert len(runs_of(world, item)) == 1


@in_world
async def test_a_later_job_with_the_same_item_reuses_its_text_and_score(world):
    await start_world(world)
    for app in app_replicas(world):
        app.faults.failure_status = 500
    await world.submit(["aa1"], scored=True)
    assert (await world.all_results("job1"))[0]["state"] == "dead"
    for app in app_replicas(world):
        app.faults.failure_status = 0
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
async def test_a_burst_of_reward_calls_leaves_slots_to_other_callers(world):
    """Guards against refusals of other callers while many items of a job are scored."""
    world.replica("i-llm", "llm", models={"m": 1}.items(), slots=64)
    app = world.replica("i-app", "app", slots=4, work_s=0.1)
    world.configure(1, fake_platform.safe_route(maxAttempts=MAX_ATTEMPTS), fake_platform.batch_route())
    await world.start()
    await world.submit([f"aa{number}" for number in range(30)], scored=True)
    most = 0
    for _ in range(60):
        await asyncio.sleep(0.02)
        most = max(most, app.running_count)
    assert 2 <= most <= 3
    assert len(await world.all_results("job1")) == 30
