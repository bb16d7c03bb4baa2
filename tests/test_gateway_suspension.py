"""Over real sockets: after a suspension of the daemon, what arrived meanwhile counts before any timeout."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from passgate.clients.curl import HttpClient
from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.errors import BackendUnreachable, ExecutionStatus, PassgateError
from passgate.gateway.replica_client import CONNECT_TIMEOUT_S
from passgate.gateway.routes import RouteKind
from passgate.routing.replica_health import EJECT_AFTER_FAILURES
from tests.gateway_world import NAMES, GatewayWorld, Script
from tests.test_suspended_machine import run_on_suspendable_loop

SUSPENDED_S = 1.5
"""Longer than any timeout of the forwarders in these tests."""
EVENT_COUNT = 40
EVENT_INTERVAL_S = 0.05


class ThreadedReplica:
    """Answers requests in threads of its own, so that it goes on while the event loop is blocked."""

    def __init__(self, answer):
        self.request_count = 0
        self._answer = answer
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._server.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            while connection.recv(65536):
                self.request_count += 1
                self._answer(connection)

    def close(self):
        self._server.close()


def send_events(connection):
    head = f"HTTP/1.1 200 OK\r\n{NAMES.replica_stamp}: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.sendall(head.encode())
    for number in range(EVENT_COUNT):
        event = f"id: {number}\ndata: x\n\n"
        connection.sendall(f"{len(event):x}\r\n{event}\r\n".encode())
        time.sleep(EVENT_INTERVAL_S)
    connection.sendall(b"0\r\n\r\n")


def send_late_answer(connection):
    time.sleep(SUSPENDED_S / 2)
    connection.sendall(f"HTTP/1.1 200 OK\r\n{NAMES.replica_stamp}: s\r\nContent-Length: 2\r\n\r\nok".encode())


@contextlib.contextmanager
def replicas_answering(answer):
    """Yield a world with two replicas that really listen."""
    world, replicas = GatewayWorld(), [ThreadedReplica(answer) for _ in range(2)]
    world.use_http(HttpClient())
    for number, replica in enumerate(replicas):
        world.add_replica(f"r{number}", address=replica.address)
    yield world, replicas
    world.http.close()
    for replica in replicas:
        replica.close()


async def test_a_stream_whose_events_arrived_during_a_suspension_stays_at_its_replica():
    """Guards against a new run of each resumable stream after a pause of the daemon's event loop."""
    with replicas_answering(send_events) as (world, replicas):
        route = world.configure(kind=RouteKind.STREAMING, resumable=True)
        answer = await world.forward(route, deadline_s=30.0)
        # Blocks the event loop as a suspension would, while the next event is awaited.
        asyncio.get_running_loop().call_later(5.5 * EVENT_INTERVAL_S, time.sleep, SUSPENDED_S)
        received = b""
        async with contextlib.aclosing(answer.chunks) as chunks:
            async for chunk in chunks:
                received += chunk
        assert received.count(b"data") == EVENT_COUNT
        assert sum(replica.request_count for replica in replicas) == 1


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING])
async def test_an_answer_that_arrived_during_a_suspension_past_the_timeout_is_delivered(kind):
    """Guards against a 504 for a caller that still waits, when its answer is there."""
    with replicas_answering(send_late_answer) as (world, replicas):
        route = world.configure(kind=kind, timeout_s=SUSPENDED_S - 0.3, max_attempts=1)
        call = asyncio.create_task(world.forward(route, deadline_s=30.0))
        asyncio.get_running_loop().call_later(0.2, time.sleep, SUSPENDED_S)
        assert (await call).status == 200
        assert sum(replica.request_count for replica in replicas) == 1


def connect_timeout():
    return BackendUnreachable("connection timed out", execution=ExecutionStatus.NOT_RUN)


async def is_usable_after_failed_connect(connect_s, suspend):
    """Send a request whose connection times out, and return whether its replica is still usable."""
    world = GatewayWorld()
    world.add_replica("r1", Script(answer_s=connect_s, error=connect_timeout()))
    call = asyncio.create_task(world.forward(world.configure(kind=RouteKind.UNSAFE)))
    await asyncio.sleep(connect_s / 2)
    suspend()
    with pytest.raises(PassgateError):
        await call
    incarnation = world.replicas.get("r1").incarnation
    return bool(world.replicas.health.filter_usable([incarnation], monotonic_s()))


@run_on_suspendable_loop
async def test_a_replica_is_not_ejected_for_a_connection_that_timed_out_during_a_suspension(loop):
    """Guards against a daemon that refuses all requests after its own pause."""

    def suspend():
        loop.suspended_s += CONNECT_TIMEOUT_S + 0.3

    assert await is_usable_after_failed_connect(0.05, suspend)


def test_a_replica_that_never_accepts_a_connection_is_ejected_by_a_slow_daemon():
    """Guards against a busy daemon whose late time-outs would never eject a machine that is down."""

    async def main():
        world = GatewayWorld()
        world.add_replica("r1", Script(answer_s=CONNECT_TIMEOUT_S + 0.3, error=connect_timeout()))
        route = world.configure(kind=RouteKind.UNSAFE)
        for _ in range(EJECT_AFTER_FAILURES):
            with pytest.raises(PassgateError):
                await world.forward(route)
        incarnation = world.replicas.get("r1").incarnation
        others = [ReplicaIncarnation(f"other{number}") for number in range(2)]
        assert world.replicas.health.filter_usable([incarnation, *others], monotonic_s()) == others

    run_virtual(main())


def test_a_replica_is_ejected_for_a_connection_that_timed_out():
    assert not run_virtual(is_usable_after_failed_connect(CONNECT_TIMEOUT_S, lambda: None))
