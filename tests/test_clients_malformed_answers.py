"""Guards against bytes that are no answer, and are taken for one."""

import asyncio

import pytest

from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.errors import PassgateError
from tests import fake_platform
from tests.raw_replica import RawReplica
from tests.test_clients_curl import raw_server
from tests.test_platform_daemon import in_world

BODY = b"Content-Length: 2\r\n\r\nok"


def get(url, timeout_s=5.0):
    return HttpCall(method="GET", url=url, send=SendPolicy.ONCE, timeout_s=timeout_s, length_required=False)


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 000",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 999 X",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/2.0 200 OK",
        b"HTTP/2 200",
        b"HTTP/3 200 OK",
    ],
)
async def test_a_status_line_that_is_none_of_http_1_is_no_answer(status_line):
    async def reply(connection_number, request_number, head, writer):
        writer.write(status_line + b"\r\n" + BODY)

    async with raw_server(reply) as (_, http, url):
        with pytest.raises(PassgateError):
            await http.fetch(get(url))


@pytest.mark.parametrize("status", [200, 204, 302, 404, 500, 599])
async def test_answers_of_all_classes_and_interim_ones_are_taken(status):
    async def reply(connection_number, request_number, head, writer):
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        writer.write(b"HTTP/1.1 %d\r\nContent-Length: 0\r\n\r\n" % status)

    async with raw_server(reply) as (_, http, url):
        assert (await http.fetch(get(url))).status == status


async def test_a_trailer_changes_neither_status_nor_headers():
    async def reply(connection_number, request_number, head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: a\r\n\r\n2\r\nok\r\n0\r\n")
        writer.write(b"X-Stamp: b\r\n\r\n")

    async with raw_server(reply) as (_, http, url):
        answer = await http.fetch(get(url))
        assert (answer.status, answer.headers["X-Stamp"], answer.body) == (200, "a", b"ok")


@pytest.mark.parametrize(("kind", "status"), [("safe", 200), ("unsafe", 502)])
def test_callers_get_no_answer_with_a_status_that_does_not_exist(kind, status):
    """Guards against a status of a replica in trouble that reaches a caller.

    Another replica serves a request that may be repeated.
    """

    @in_world
    async def scenario(world):
        answer = b"HTTP/1.1 999 X\r\nX-Replica-Stamp: s\r\n" + BODY
        noisy = await RawReplica.replace(world, "i-1", "app", answer, delay_s=0.1)
        world.configure(1, fake_platform.safe_route(kind=kind))
        await world.start()
        call = asyncio.create_task(world.call("POST", "/call/x", b""))
        await world.until(lambda: noisy.connection_count)
        world.replica("i-2", "app")
        assert (await call).status == status
        noisy.close()

    scenario()
