"""Guards against jobs and streams that keep to a route that the operator has changed since."""

import asyncio

import pytest

from passgate.gateway.routes import (
    ConfigHolder,
    GatewayConfig,
    Route,
    RouteKind,
    WeightedService,
    WeightedServicePicker,
)
from passgate.jobs.job_route import SPLIT_WAIT_S, JobRoute, ServiceChoice
from tests import fake_platform
from tests.test_platform_daemon import in_world

MODELS = {"m": 1}.items()
APPLY_S = 0.5
"""Time for a configuration to be read by a daemon beside a calm log."""


def split_route(weight_by_service, **fields):
    parts = [{"service": service, "weight": weight} for service, weight in weight_by_service.items()]
    return fake_platform.batch_route(trafficSplit=parts, **fields)


def ran_at(*replicas):
    return {run.request_id for replica in replicas for run in replica.runs}


@in_world
async def test_items_of_an_accepted_job_follow_their_route_to_another_service(world):
    """Guards against items that wait for a service which their route has left, until the job expires."""
    old = world.replica("i-old", "llm", models=MODELS, slots=1, event_s=0.05)
    new = world.replica("i-new", "app", models=MODELS)
    world.configure(1, fake_platform.batch_route())
    await world.start()
    ids = [f"item{number}" for number in range(8)]
    assert (await world.submit(ids)).status == 202
    await world.until(lambda: old.runs)
    world.configure(2, fake_platform.batch_route("app"))
    await asyncio.sleep(APPLY_S)
    await old.stop_without_drain()
    rows = await world.all_results("job1", timeout_s=4.0)
    assert {row["state"] for row in rows} == {"succeeded"}
    assert len(ran_at(new)) > len(ids) / 2


@in_world
async def test_items_follow_the_changed_weights_of_a_split(world):
    """Guards against items at a service of weight 0, for jobs from before and after the change."""
    left = world.replica("i-left", "llm", models=MODELS, slots=40)
    right = world.replica("i-right", "app", models=MODELS, slots=40)
    world.configure(1, split_route({"llm": 50, "app": 50}))
    await world.start()
    assert (await world.submit([f"a{number}" for number in range(20)], "job1")).status == 202
    await world.all_results("job1")
    first_share = len(ran_at(left))
    assert 9 <= first_share <= 11
    world.configure(2, split_route({"llm": 100, "app": 0}))
    await asyncio.sleep(APPLY_S)
    assert (await world.submit([f"b{number}" for number in range(20)], "job2")).status == 202
    await world.all_results("job2")
    assert len(ran_at(left)) == first_share + 20
    assert len(ran_at(right)) == 20 - first_share


@in_world
async def test_items_of_a_service_without_a_replica_do_not_block_those_of_another(world):
    """Guards against a queue in which an item that no replica can take comes before one that could run."""
    left = world.replica("i-left", "llm", models=MODELS)
    world.configure(1, split_route({"llm": 50, "app": 50}))
    await world.start()
    ids = [f"a{number}" for number in range(20)]
    assert (await world.submit(ids)).status == 202
    await world.until(lambda: len(ran_at(left)) >= 9, timeout_s=SPLIT_WAIT_S / 2)
    rows = await world.all_results("job1", timeout_s=2 * SPLIT_WAIT_S)
    assert {row["state"] for row in rows} == {"succeeded"}
    assert ran_at(left) == set(ids)


@pytest.mark.parametrize("change", ["removed", "plain"])
def test_an_accepted_job_goes_on_without_its_route_and_follows_it_when_it_returns(change):
    """Guards against a job that is lost with its route, which is removed or plain for a while."""

    @in_world
    async def scenario(world):
        old = world.replica("i-old", "llm", models=MODELS, slots=1, event_s=0.02)
        new = world.replica("i-new", "app", models=MODELS)
        world.configure(1, fake_platform.batch_route())
        await world.start()
        ids = [f"item{number}" for number in range(8)]
        assert (await world.submit(ids)).status == 202
        await world.until(lambda: old.runs)
        world.configure(2, *([] if change == "removed" else [fake_platform.batch_route("app", kind="safe")]))
        await asyncio.sleep(APPLY_S)
        count = len(old.runs)
        await world.until(lambda: len(old.runs) > count)
        assert not new.runs
        world.configure(3, fake_platform.batch_route("app"))
        rows = await world.all_results("job1", timeout_s=4.0)
        assert {row["state"] for row in rows} == {"succeeded"}
        assert new.runs

    scenario()


@in_world
async def test_a_stream_that_breaks_off_continues_at_the_service_to_which_its_route_has_moved(world):
    """Guards against a resumable stream that ends incomplete, as its former service has no replica left."""
    old = world.replica("i-old", "llm", models=MODELS, event_s=0.2)
    world.replica("i-new", "app", models=MODELS)
    streaming = {"kind": "streaming", "timeoutMs": 9000}
    world.configure(1, fake_platform.batch_route(**streaming))
    await world.start()
    answer = asyncio.create_task(world.call("POST", "/stream/x", b"body", "item3", deadline_ms=9000))
    await world.until(lambda: old.running)
    world.configure(2, fake_platform.batch_route("app", **streaming))
    await asyncio.sleep(APPLY_S)
    old.crash()
    received = await answer
    assert received.status == 200
    events = [line for line in received.body.decode().splitlines() if line.startswith("data:")]
    assert [line.removeprefix("data:").strip() for line in events] == fake_platform.complete_output(
        "item3"
    ).splitlines()


@in_world
async def test_reward_calls_of_a_service_without_a_replica_do_not_block_those_of_another(world):
    """Guards against a lock that calls which no replica can take hold for all calls of their regions."""
    world.replica("i-llm", "llm", models=MODELS)
    world.replica("i-app", "app")
    world.configure(
        1,
        fake_platform.batch_route(),
        fake_platform.safe_route(),
        fake_platform.safe_route("absent", name="absent", pathPrefix="/absent/"),
    )
    await world.start()
    blocked = fake_platform.job_body(["a0", "a1"], scored=True).replace(b"/call/", b"/absent/")
    assert (await world.call("POST", "/stream/j", blocked, "job1")).status == 202
    await asyncio.sleep(APPLY_S)
    assert (await world.submit(["b0", "b1"], "job2", scored=True)).status == 202
    rows = await world.all_results("job2", timeout_s=3.0)
    assert {row["state"] for row in rows} == {"succeeded"}


def test_a_split_service_without_a_slot_for_some_time_lets_the_others_run_the_item():
    """Guards against items that wait at one service of a split for good while the other is idle."""
    parts = (WeightedService("a", 1), WeightedService("b", 1), WeightedService("c", 0))
    route = Route(name="r", host="h", path_prefix="/", parts=parts, kind=RouteKind.BATCH)
    holder = ConfigHolder()
    holder.apply_if_newer(GatewayConfig(version=1, routes=(route,)))
    choice = ServiceChoice(JobRoute("h", "/j", holder), WeightedServicePicker(), waiting_since_s=1.0)
    assert choice.services(1.0) == frozenset({choice.picked})
    assert choice.services(1.0 + SPLIT_WAIT_S) == {"a", "b"}
    choice.restart_wait(3.0)
    assert choice.services(3.0) == frozenset({choice.picked})


def test_a_job_without_any_known_route_has_no_service():
    choice = ServiceChoice(JobRoute("h", "/j", ConfigHolder()), WeightedServicePicker(), waiting_since_s=0.0)
    assert choice.services(0.0) == choice.services(9.0) == frozenset()
