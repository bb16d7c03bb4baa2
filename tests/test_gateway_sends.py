"""A request is sent only while its caller still waits for it, which is checked at the moment of each send."""

import asyncio
import time
from unittest import mock

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.errors import ExecutionStatus, PassgateError, SendTooLate
from passgate.gateway.replica_client import ReplicaClient, ReplicaRequest
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import RouteKind
from tests.gateway_world import NAMES, GatewayWorld, Script, connection_lost
from tests.test_clients_curl import raw_server, reply_ok
from tests.test_suspended_machine import run_on_suspendable_loop

STREAM = {"kind": RouteKind.STREAMING, "resumable": True}


@pytest.mark.parametrize("fields", [{}, STREAM], ids=["plain", "streamed"])
@pytest.mark.parametrize("route_ends_first", [False, True])
def test_a_request_held_back_for_a_probe_is_answered_at_its_time_limit_and_not_sent_later(
    fields, route_ends_first
):
    """Guards against retries that were sent up to 0.4 s after the deadline or the route's timeout."""

    async def main():
        world = GatewayWorld()
        world.add_replica("r1", Script(answer_s=0.9, error=connection_lost()))
        # The target latency is so long that the request is not hedged.
        route = world.configure(**fields, target_latency_s=10.0, timeout_s=1.0 if route_ends_first else 30.0)
        world.crash_guard.probe_until_s = 0.0
        call = asyncio.create_task(world.forward(route, deadline_s=30.0 if route_ends_first else 1.0))
        await asyncio.sleep(0.5)
        world.add_replica("r2")
        world.crash_guard.probe_until_s = monotonic_s() + 0.8
        with pytest.raises(PassgateError):
            await call
        assert [sent.address for sent in world.sent] == ["r1:1"]
        assert monotonic_s() <= 1.01

    run_virtual(main())


@pytest.mark.parametrize("fields", [{}, STREAM], ids=["plain", "streamed"])
def test_a_request_whose_deadline_has_passed_on_arrival_is_not_sent(fields):
    async def main():
        world = GatewayWorld()
        world.add_replica("r1")
        with pytest.raises(PassgateError):
            await world.forward(world.configure(**fields), deadline_s=0.0)
        assert not world.sent

    run_virtual(main())


@run_on_suspendable_loop
async def test_a_request_that_waits_for_a_replica_is_not_sent_after_a_suspension_past_its_deadline(loop):
    world = GatewayWorld()
    call = asyncio.create_task(world.forward(world.configure(), deadline_s=3.0))
    await asyncio.sleep(0.05)
    world.add_replica("r1")
    loop.suspended_s += 5.0
    with pytest.raises(PassgateError):
        await call
    assert not world.sent


async def test_a_request_is_not_sent_if_the_daemon_is_suspended_past_its_deadline_while_it_connects():
    """Guards against requests that left after a suspension and named the time that was left before it."""
    async with raw_server(reply_ok) as (raw, http, url):
        table = ReplicaTable(Topology(zone="z"))
        address = url.removeprefix("http://").rstrip("/")
        table.put(ReplicaInfo(replica_id="r", service="s", address=address, zone="z", slots=4))
        request = ReplicaRequest(
            request_id="q",
            method="POST",
            path="/",
            host="h",
            headers=(),
            body=b"b",
            deadline_s=monotonic_s() + 0.2,
        )
        attempt = ReplicaClient(http, table, NAMES, mock.Mock()).start_attempt(table.get("r"), request)
        time.sleep(0.3)  # noqa: ASYNC251 - blocks the event loop as a suspension would
        with pytest.raises(SendTooLate) as caught:
            await attempt.wait_for_head()
        attempt.close()
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert not raw.heads
