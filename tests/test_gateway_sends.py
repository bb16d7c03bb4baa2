"""A request is sent only while its caller still waits for it, which is checked at the moment of each send."""

import asyncio
import socket
import time
from unittest import mock

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.errors import (
    BackendRefused,
    DeadlineExceeded,
    ExecutionStatus,
    PassgateError,
    SendForbidden,
    SendTooLate,
)
from passgate.gateway.replica_client import ReplicaClient
from passgate.gateway.replica_request import ReplicaRequest
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import RouteKind
from tests import fake_platform
from tests.gateway_world import NAMES, GatewayWorld, Script, connection_lost
from tests.test_clients_curl import raw_server, reply_ok
from tests.test_platform_daemon import HOST, in_world
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
def test_an_answer_that_stalls_after_its_head_ends_at_the_timeout_of_the_route(fields):
    """Guards against error answers of streaming routes that were awaited until the caller's deadline."""

    async def main():
        world = GatewayWorld()
        world.add_replica("r1", Script(status=500, body_stalls=True))
        route = world.configure(**fields, timeout_s=1.0, max_attempts=1)
        with pytest.raises(DeadlineExceeded) as caught:
            await asyncio.wait_for(world.forward(route, deadline_s=30.0), timeout=60.0)
        assert caught.value.execution is ExecutionStatus.UNKNOWN
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


@pytest.mark.parametrize("fields", [{}, STREAM], ids=["plain", "streamed"])
def test_a_request_is_not_sent_after_its_caller_has_left(fields):
    """Guards against retries and resumed streams for callers whose close the event loop has not seen."""

    async def main():
        world = GatewayWorld()
        world.add_replica("r1", Script(answer_s=0.5, error=connection_lost()))
        world.add_replica("r2", Script(answer_s=0.5, error=connection_lost()))
        route = world.configure(**fields, target_latency_s=10.0)
        with pytest.raises(PassgateError):
            await world.forward(route, is_caller_connected=lambda: monotonic_s() < 0.4)
        assert [sent.at_s for sent in world.sent] == [0.0]

    run_virtual(main())


def restart(world):
    world.add_replica("r1", started_unix_ms=7)


@pytest.mark.parametrize(
    "change", [lambda world: world.replicas.remove("r1"), restart], ids=["gone", "restarted"]
)
def test_a_replica_that_is_gone_since_it_was_chosen_gets_no_request(change):
    """Guards against items that wait between the choice of their replica and the send."""

    async def main():
        world = GatewayWorld()
        world.add_replica("r1")
        chosen = world.replicas.get("r1")
        change(world)
        request = ReplicaRequest(
            request_id="q",
            method="POST",
            path="/",
            host="h",
            headers=(),
            body=b"b",
            deadline_s=monotonic_s() + 5.0,
        )
        with pytest.raises(SendForbidden) as caught:
            await world.replica_client.fetch(chosen, request)
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert not world.sent

    run_virtual(main())


@pytest.mark.parametrize("fields", [{}, STREAM], ids=["plain", "streamed"])
def test_a_request_is_not_sent_again_once_the_configuration_has_expired(fields):
    """Guards against retries and resumed streams with a key that may have been revoked meanwhile."""

    async def main():
        world = GatewayWorld()
        world.add_replica("r1", Script(answer_s=0.5, error=connection_lost()))
        world.add_replica("r2", Script(answer_s=0.5, error=connection_lost()))
        world.config_holder.is_expired = lambda: monotonic_s() > 0.4
        with pytest.raises(PassgateError) as caught:
            await world.forward(world.configure(**fields, target_latency_s=10.0))
        assert caught.value.http_status == 502
        assert [sent.at_s for sent in world.sent] == [0.0]

    run_virtual(main())


@pytest.mark.parametrize("fields", [{}, STREAM], ids=["plain", "streamed"])
def test_a_request_is_not_sent_again_for_the_former_tenant_of_its_key(fields):
    async def main():
        world = GatewayWorld()
        refusal = BackendRefused("full", execution=ExecutionStatus.NOT_RUN, status=503)
        world.add_replica("r1", Script(answer_s=0.5, error=refusal))
        world.add_replica("r2", Script(answer_s=0.5, error=refusal))
        route = world.configure(**fields, target_latency_s=10.0, tenants=("orchard",))
        call = asyncio.create_task(world.forward(route, tenant="orchard"))
        await asyncio.sleep(0.1)
        world.configure(**fields, target_latency_s=10.0, tenants=("mill",), version=2)
        with pytest.raises(PassgateError) as caught:
            await call
        assert caught.value.http_status == 503
        assert [sent.at_s for sent in world.sent] == [0.0]

    run_virtual(main())


@in_world
async def test_a_daemon_that_fails_closed_lets_its_configuration_expire_for_sends(world):
    world.configure(1, fake_platform.safe_route())
    await world.start(ready=False)
    await world.until(lambda: world.daemon.config_holder.table)
    settings = world.daemon.settings
    world.daemon.settings = msgspec.structs.replace(settings, fail_closed=True, configuration_age_s=1.5)
    assert not world.daemon.config_holder.is_expired()
    world.log.faults.silent = True
    await world.until(world.daemon.config_holder.is_expired, timeout_s=5.0)


CALLER_COUNT = 5


@in_world
async def test_a_daemon_that_was_suspended_sends_no_request_of_callers_that_left_meanwhile(world):
    """Guards against requests sent over kept connections before the loop sees that their callers left."""
    app = world.replica("i-1", "app", work_s=0.1)
    world.configure(1, fake_platform.safe_route())
    await world.start()
    await world.until(lambda: world.daemon.replicas.get("i-1"))
    calls = [world.call("POST", "/call/w", b"x", request_id=f"w{number}") for number in range(CALLER_COUNT)]
    await asyncio.gather(*calls)
    app.runs.clear()
    host, _, port = world.daemon.settings.front_address.rpartition(":")
    callers = [socket.create_connection((host, int(port))) for _ in range(CALLER_COUNT)]
    await asyncio.sleep(0.1)
    for number, caller in enumerate(callers):
        head = (
            f"POST /call/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: q{number}\r\nContent-Length: 1\r\n\r\n"
        )
        caller.sendall(head.encode() + b"x")
        caller.close()
    time.sleep(0.6)  # noqa: ASYNC251 - blocks the event loop as a suspension would
    await asyncio.sleep(0.3)
    assert not app.runs
