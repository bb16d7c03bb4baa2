import asyncio
import contextlib
from random import Random

import pytest

from passgate.clients.curl import HttpClient
from passgate.clients.http_log import HttpLogClient
from passgate.emulator.emulated_log import EmulatedLog, EmulatedLogClient
from passgate.emulator.log_server import LogServer
from passgate.emulator.network import SAME_PROCESS, Network
from passgate.emulator.parameters import LogParameters, NetworkParameters
from passgate.errors import LogAppendUnknown, LogUnavailable

TIMEOUT_S = 5.0


@contextlib.asynccontextmanager
async def served_log(server_credential=None, client_credential=None):
    """Run a log server and yield its log, the server and a client."""
    log = EmulatedLog(LogParameters(append_s=0.0, read_s=0.0))
    network = Network(NetworkParameters(between_zones_s=0.0), Random(1))
    server = LogServer("log", EmulatedLogClient(log, network, SAME_PROCESS, Random(1)), server_credential)
    http = HttpClient()
    try:
        yield log, server, HttpLogClient(http, server.start(), client_credential)
    finally:
        server.crash()
        http.close()


async def test_records_are_read_in_order_with_their_offsets():
    async with served_log() as (_, _, client):
        assert await client.append("claim.a/b%2F c", [b"\x00one", b"two"], TIMEOUT_S) == 0
        assert await client.append("claim.a/b%2F c", [b"three"], TIMEOUT_S) == 2
        batch = await client.read("claim.a/b%2F c", 1, 10, 0.0)
        assert [(entry.offset, entry.payload) for entry in batch.entries] == [(1, b"two"), (2, b"three")]
        assert batch.end_offset == 3
        assert (await client.read("never-written", 0, 10, 0.0)).end_offset == 0


async def test_long_poll_returns_at_the_next_append():
    async with served_log() as (log, _, client):
        read_task = asyncio.create_task(client.read("s", 0, 10, 30.0))
        while not log._waiters.get("s"):
            await asyncio.sleep(0)
        await client.append("s", [b"x"], TIMEOUT_S)
        batch = await asyncio.wait_for(read_task, TIMEOUT_S)
        assert batch.entries[0].payload == b"x"


async def test_refused_connection_raises_log_unavailable():
    async with served_log() as (_, server, client):
        server.crash()
        with pytest.raises(LogUnavailable):
            await client.append("s", [b"x"], TIMEOUT_S)
        with pytest.raises(LogUnavailable):
            await client.read("s", 0, 1, 0.0)


async def test_refusal_by_the_log_raises_log_unavailable():
    async with served_log() as (log, server, client):
        log.faults.down = True
        with pytest.raises(LogUnavailable):
            await client.append("s", [b"x"], TIMEOUT_S)
        log.faults.down = False
        server.faults.unavailable = True
        with pytest.raises(LogUnavailable):
            await client.append("s", [b"x"], TIMEOUT_S)


async def test_append_whose_answer_is_lost_is_unknown_and_not_sent_again():
    async with served_log() as (log, server, client):
        await client.append("s", [b"first"], TIMEOUT_S)  # leaves a reusable connection
        server.faults.lose_answers = 1
        with pytest.raises(LogAppendUnknown):
            await client.append("s", [b"x"], TIMEOUT_S)
        assert log.record_count_by_stream["s"] == 2


async def test_append_dropped_on_a_reused_connection_is_unknown_and_not_sent_again():
    async with served_log() as (log, server, client):
        await client.append("s", [b"first"], TIMEOUT_S)
        server.faults.drop_requests = 1
        with pytest.raises(LogAppendUnknown):
            await client.append("s", [b"x"], TIMEOUT_S)
        assert server.counters.requests == 2
        assert log.record_count_by_stream["s"] == 1


async def test_credential_is_required_when_configured():
    async with served_log("secret", "wrong") as (_, _, client):
        with pytest.raises(LogUnavailable) as caught:
            await client.append("s", [b"x"], TIMEOUT_S)
        assert "wrong" not in str(caught.value)
    async with served_log("secret", "secret") as (_, _, client):
        assert await client.append("s", [b"x"], TIMEOUT_S) == 0
