"""Guards against requests that are accepted late in a planned stop and cut off at its end."""

import asyncio
import unittest.mock

import msgspec
import pytest

from passgate.clock import monotonic_s
from passgate.daemon import graceful_shutdown as shutdown
from passgate.errors import BackendRefused, ExecutionStatus, PassgateError
from passgate.gateway.routes import RouteKind
from tests import fake_platform
from tests.gateway_world import GatewayWorld, Script
from tests.test_platform_daemon import in_world

GRACE_S = 4.0
MIN_SERVING_S = 0.3
RUN_S = 3.0
"""Duration of a run, which ends in time if it begins before MIN_SERVING_S and is cut off if much later."""
LONG_ITEM = next(f"item{number}" for number in range(99) if fake_platform.event_count(f"item{number}") >= 13)


async def stop_soon(world):
    world.daemon.settings = msgspec.structs.replace(world.daemon.settings, stop_grace_s=GRACE_S)
    world.daemon.stop()
    await asyncio.sleep(MIN_SERVING_S)


async def status_of(call):
    """Return the status of an answer, None if the connection ended without a complete one."""
    try:
        return (await call).status
    except PassgateError:
        return None


@pytest.mark.parametrize("kind", ["unsafe", "safe", "streaming"])
def test_requests_that_may_outlast_the_daemon_are_refused_late_in_the_grace_period(kind):
    """Each caller keeps its connection from before the stop, as a pool of connections does."""

    @in_world
    async def scenario(world):
        replica = world.replica(
            "i-1", "llm", models={"m": 1}.items(), work_s=RUN_S, event_s=RUN_S / 13, slots=64
        )
        fields = {"kind": kind, "timeoutMs": 9000, "maxAttempts": 1, "resumable": False}
        path = f"/stream/{LONG_ITEM}" if kind == "streaming" else "/call/x"
        world.configure(
            1, fake_platform.batch_route(**fields, pathPrefix="/stream/" if kind == "streaming" else "/call/")
        )
        await world.start()
        with unittest.mock.patch.object(shutdown, "MIN_SERVING_S", MIN_SERVING_S):
            early = asyncio.create_task(
                status_of(world.call("POST", path, b"", request_id=LONG_ITEM, deadline_ms=9000))
            )
            await world.until(lambda: replica.running)
            await stop_soon(world)
            late = []
            for number in range(8):
                await asyncio.sleep(0.15)
                call = world.call("POST", path, b"", request_id=f"late{number}", deadline_ms=9000)
                late.append(asyncio.create_task(status_of(call)))
            assert await asyncio.gather(*late) == [503] * len(late)
            assert [run.request_id for run in replica.runs] == [LONG_ITEM]
            assert await early == 200
        await world.task
        world.task = None

    scenario()


@in_world
async def test_requests_that_end_in_time_are_served_late_in_the_grace_period(world):
    """Guards against a daemon that refuses what it could serve, while it has a request in flight."""
    world.replica("i-1", "app")
    slow = world.replica("i-2", "llm", work_s=RUN_S)
    world.configure(
        1,
        fake_platform.safe_route(timeoutMs=800),
        fake_platform.safe_route("llm", name="slow", pathPrefix="/slow/", timeoutMs=9000, maxAttempts=1),
    )
    await world.start()
    with unittest.mock.patch.object(shutdown, "MIN_SERVING_S", MIN_SERVING_S):
        in_flight = asyncio.create_task(status_of(world.call("POST", "/slow/x", b"", "slow", 9000)))
        await world.until(lambda: slow.running)
        await stop_soon(world)
        for number in range(5):
            await asyncio.sleep(0.1)
            answer = await world.call("POST", "/call/x", b"", request_id=f"r{number}", deadline_ms=9000)
            assert answer.status == 200
            assert answer.headers["Connection"] == "close"
        assert await in_flight == 200
    await world.task
    world.task = None


@in_world
async def test_the_answer_to_a_request_in_flight_at_the_stop_tells_the_caller_to_close(world):
    """Guards against callers that send further requests over a connection that ends soon."""
    app = world.replica("i-1", "app", work_s=0.5)
    world.configure(1, fake_platform.safe_route())
    await world.start()
    call = asyncio.create_task(world.call("POST", "/call/x", b""))
    await world.until(lambda: app.running)
    world.daemon.stop()
    assert (await call).headers["Connection"] == "close"


@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAMING])
def test_a_further_attempt_of_a_request_that_has_not_run_is_refused_if_it_may_outlast_the_daemon(kind):
    """Guards against a run that begins late in the stop, after the first replica has refused the request."""

    async def main():
        world = GatewayWorld()
        refusal = BackendRefused("full", execution=ExecutionStatus.NOT_RUN)
        for name in ("first", "second"):
            world.add_replica(name, Script(answer_s=0.2, error=refusal))
        route = world.configure(kind=kind, timeout_s=9.0)
        forwarder = world.stream_forwarder if kind is RouteKind.STREAMING else world.forwarder
        forwarding = asyncio.create_task(world.forward(route, deadline_s=9.0))
        await asyncio.sleep(0.0)
        forwarder._shutdown_deadline.begin(monotonic_s() + GRACE_S)
        with pytest.raises(PassgateError) as refused:
            await forwarding
        assert (refused.value.code, len(world.sent)) == ("draining", 1)

    asyncio.run(main())
