"""Guards against bytes that are no answer and come without end, until the connection is closed."""

import asyncio
import time

import pytest

from passgate.clients import transfer as transfer_module
from passgate.clients.curl import FRAMING_CHECK_INTERVAL_S
from passgate.clients.http_call import HttpLimits
from passgate.errors import IncompleteAnswer, PassgateError
from tests import fake_platform
from tests.raw_replica import RawReplica, write_endlessly
from tests.test_clients_curl import OK, raw_server
from tests.test_clients_malformed_answers import get
from tests.test_platform_daemon import in_world

ENDLESS = {
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"x" * 1024),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: " + b"x" * 1000 + b"\r\n"),
    "no line break": (b"", b"x" * 1024),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: " + b"x" * 1000 + b"\r\n",
    ),
    "chunk extension": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"x" * 65536),
    "chunk size": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0" * 65536),
}


@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_bytes_that_are_no_answer_end_the_transfer_before_its_timeout(kind):
    """Guards against a connection that is read at full speed until the deadline."""
    start, rest = ENDLESS[kind]
    sent = []

    async def reply(connection_number, request_number, head, writer):
        writer.write(start)
        await write_endlessly(writer, rest, sent)

    async with raw_server(reply) as (raw, http, url):
        started_s = time.monotonic()
        with pytest.raises(PassgateError):
            await http.fetch(get(url, timeout_s=30.0))
        assert time.monotonic() - started_s < 10 * FRAMING_CHECK_INTERVAL_S
        await asyncio.wait_for(raw.closed.wait(), 5)


async def test_endless_bodies_are_bounded_together_and_others_are_received():
    """Guards against a machine that runs out of memory as several servers send without end at once."""
    limit_bytes = 8 * 1024 * 1024
    sent = []

    async def reply(connection_number, request_number, head, writer):
        if b"GET /endless" not in head:
            await asyncio.sleep(0.5)
            writer.write(OK)
            return
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        await write_endlessly(writer, b"x" * 65536, sent)

    async with raw_server(reply, HttpLimits(max_total_body_bytes=limit_bytes)) as (_, http, url):
        endless = [asyncio.create_task(http.fetch(get(url + "endless", timeout_s=30.0))) for _ in range(6)]
        assert (await http.fetch(get(url))).body == b"ok"
        outcomes = await asyncio.wait_for(asyncio.gather(*endless, return_exceptions=True), 20.0)
        assert all(isinstance(outcome, IncompleteAnswer) for outcome in outcomes)
        assert http._body_budget.total_bytes == 0


async def test_a_long_answer_in_small_chunks_is_not_taken_for_noise(monkeypatch):
    """Guards against counting the framing of a legitimate stream as bytes that are no answer."""
    monkeypatch.setattr(transfer_module, "MAX_UNFRAMED_BYTES", 64 * 1024)
    count = 400

    async def reply(connection_number, request_number, head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(count):
            writer.write(b"200\r\n" + b"x" * 512 + b"\r\n")
            await asyncio.sleep(0.005)
        writer.write(b"0\r\n\r\n")

    async with raw_server(reply) as (_, http, url):
        assert len((await http.fetch(get(url))).body) == 512 * count


@pytest.mark.parametrize("path", ["/call/x", "/stream/item1"])
@pytest.mark.parametrize("kind", ["headers", "chunk extension", "body"])
def test_callers_are_served_by_another_replica(kind, path):
    """Guards against plain requests and streams that wait for a replica which never ends its noise."""

    @in_world
    async def scenario(world):
        start, rest = ENDLESS.get(kind, (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536))
        noisy = await RawReplica.replace(
            world, "i-1", "llm", start, rest, delay_s=0.3, models={"m": 1}.items()
        )
        route = fake_platform.batch_route(kind="streaming", timeoutMs=6000)
        world.configure(1, route, fake_platform.safe_route("llm", timeoutMs=6000))
        await world.start()
        call = asyncio.create_task(world.call("POST", path, b"", request_id="item1", deadline_ms=6000))
        await world.until(lambda: noisy.connection_count)
        world.replica("i-2", "llm", models={"m": 1}.items())
        assert (await call).status == 200
        noisy.close()

    scenario()


@pytest.mark.parametrize("kind", ["interim answers", "chunk extension", "body"])
def test_items_are_served_by_another_replica(kind):
    """Guards against items that wait for a replica which never ends its noise."""

    @in_world
    async def scenario(world):
        start, rest = ENDLESS.get(kind, (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536))
        noisy = await RawReplica.replace(world, "i-1", "llm", start, rest, models={"m": 1}.items())
        world.replica("i-2", "llm", models={"m": 1}.items())
        world.configure(1, fake_platform.batch_route())
        await world.start()
        assert (await world.submit([f"item{number}" for number in range(8)])).status == 202
        rows = await world.all_results("job1", timeout_s=12.0)
        assert {row["state"] for row in rows} == {"succeeded"}
        assert noisy.connection_count
        noisy.close()

    scenario()
