"""Proofs about libcurl's traps, against a raw socket server that follows a script."""

import asyncio
import contextlib
import logging
import os
import time

import msgspec
import pycurl
import pytest

from passgate.clients.calls import HttpCall, HttpLimits, SendPolicy
from passgate.clients.curl import HttpClient
from passgate.clients.transfer import classify_failure
from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    SendTooLate,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LAST_SEND_S = 0.1


class RawServer:
    """Reads each request and hands it to `answer(connection, nth_on_connection, head, writer)`."""

    def __init__(self, answer):
        self.answer = answer
        self.heads = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.server = None
        self.writers = []

    def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        connection = self.connections
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            nth = 0
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(content_length(head))
                nth += 1
                self.heads.append(head)
                await self.answer(connection, nth, head, writer)
        self.closed.set()
        writer.close()


def content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


@contextlib.asynccontextmanager
async def raw_server(answer, limits=None):
    raw = RawServer(answer)
    server = raw.server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    http = HttpClient(limits)
    try:
        yield raw, http, f"http://127.0.0.1:{port}/"
    finally:
        http.close()
        server.close()


async def reply_ok(connection, nth, head, writer):
    writer.write(OK)


async def close_second_on_first_connection(connection, nth, head, writer):
    if connection == 1 and nth == 2:
        writer.close()
        return
    writer.write(OK)


def post(url, send, body=b"order"):
    return HttpCall(method="POST", url=url, body=body, send=send)


async def test_libcurl_itself_sends_a_post_again_on_a_dead_kept_connection():
    """The trap: without a policy against it, one call reaches the server twice."""
    async with raw_server(close_second_on_first_connection) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.REPEAT))
        answer = await http.fetch(post(url, SendPolicy.REPEAT))
        assert answer.status == 200
        assert len(raw.heads) == 3  # two calls, three requests received


async def test_once_is_never_sent_again_and_its_outcome_is_unknown():
    async with raw_server(close_second_on_first_connection) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))
        with pytest.raises(BackendUnreachable) as caught:
            await http.fetch(post(url, SendPolicy.ONCE))
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        assert len(raw.heads) == 2
        assert raw.connections == 1


async def test_once_on_fresh_connection_shares_no_connection():
    async with raw_server(reply_ok) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))  # leaves a kept connection
        await http.fetch(post(url, SendPolicy.ONCE_ON_FRESH_CONNECTION))
        await http.fetch(post(url, SendPolicy.ONCE_ON_FRESH_CONNECTION))
        assert raw.connections == 3
        await asyncio.wait_for(raw.closed.wait(), 5)  # its own connection is not kept
        await http.fetch(post(url, SendPolicy.ONCE))
        assert raw.connections == 3


async def test_open_streams_do_not_use_up_the_kept_connections():
    """libcurl's limit of kept connections counts those in use, too."""

    async def hold_reads(connection, nth, head, writer):
        writer.write(OK[:-1] if head.startswith(b"GET") else OK)

    async with raw_server(hold_reads, HttpLimits(max_idle_connections=4)) as (raw, http, url):
        for _ in range(8):
            await http.start(HttpCall(method="GET", url=url)).read()
        for _ in range(5):
            await http.fetch(post(url, SendPolicy.ONCE))
        assert raw.connections == 8 + 1


async def test_kept_connection_that_the_server_closed_while_idle_is_not_used():
    """An orderly idle close is seen before the request is sent, so nothing is unknown."""

    async def answer_and_close(connection, nth, head, writer):
        writer.write(OK)
        writer.close()

    async with raw_server(answer_and_close) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))
        await asyncio.wait_for(raw.closed.wait(), 5)
        assert (await http.fetch(post(url, SendPolicy.ONCE))).status == 200
        assert raw.connections == len(raw.heads) == 2


async def test_start_anew_after_a_dead_connection_that_is_refused_is_not_run_and_not_tried_forever():
    async with raw_server(reply_ok) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))
        raw.stop()
        await asyncio.wait_for(raw.closed.wait(), 5)
        with pytest.raises(BackendUnreachable) as caught:
            await asyncio.wait_for(http.fetch(post(url, SendPolicy.ONCE)), 5)
        assert caught.value.execution is ExecutionStatus.NOT_RUN


async def test_fresh_connection_closed_without_answer_is_unknown_and_sent_once():
    async def close(connection, nth, head, writer):
        writer.close()

    async with raw_server(close) as (raw, http, url):
        for send in SendPolicy:
            with pytest.raises(BackendUnreachable) as caught:
                await http.fetch(post(url, send))
            assert caught.value.execution is ExecutionStatus.UNKNOWN
        assert len(raw.heads) == 3


async def test_refused_connection_is_not_run():
    async with raw_server(reply_ok) as (_, http, url):
        pass
    http = HttpClient()
    with pytest.raises(BackendUnreachable) as caught:
        await http.fetch(post(url, SendPolicy.ONCE))
    assert caught.value.execution is ExecutionStatus.NOT_RUN
    http.close()


async def test_redirect_is_not_followed():
    async def redirect(connection, nth, head, writer):
        writer.write(b"HTTP/1.1 307 Moved\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")

    async with raw_server(redirect) as (raw, http, url):
        answer = await http.fetch(post(url, SendPolicy.ONCE))
        assert answer.status == 307
        assert len(raw.heads) == 1


async def test_proxy_of_the_environment_is_ignored(monkeypatch):
    monkeypatch.setitem(os.environ, "http_proxy", "http://127.0.0.1:1")

    async with raw_server(reply_ok) as (_, http, url):
        assert (await http.fetch(post(url, SendPolicy.ONCE))).status == 200


async def test_forty_transfers_run_at_once():
    everyone = asyncio.Event()

    async def answer_when_all_arrived(connection, nth, head, writer):
        if len(raw.heads) == 40:
            everyone.set()
        await everyone.wait()
        writer.write(OK)

    async with raw_server(answer_when_all_arrived) as (raw, http, url):
        calls = [http.fetch(post(url, SendPolicy.ONCE)) for _ in range(40)]
        answers = await asyncio.wait_for(asyncio.gather(*calls), 10)
        assert len(answers) == 40


async def test_transfer_over_the_limit_is_refused_as_not_run():
    async def hold(connection, nth, head, writer):
        await asyncio.Event().wait()

    async with raw_server(hold, HttpLimits(max_transfers=1)) as (_, http, url):
        first = http.start(post(url, SendPolicy.ONCE))
        with pytest.raises(BackendUnreachable) as caught:
            http.start(post(url, SendPolicy.ONCE))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        http.start(HttpCall(method="GET", url=url, control=True))  # the log is never shut out
        first.abort()
        http.start(post(url, SendPolicy.ONCE))


class RecordingHandle(pycurl.Curl):
    """Keeps the last value of each option."""

    def __init__(self):
        self.options = {}

    def setopt(self, option, value):
        self.options[option] = value
        super().setopt(option, value)


async def test_no_total_timeout_is_set_unless_asked_for():
    """Tornado's default of 20 s would cut long streams; the options on the handle are looked at."""
    async with raw_server(reply_ok) as (_, http, url):
        handles = []
        http._client._curl_create = lambda: handles.append(RecordingHandle()) or handles[-1]
        await http.fetch(post(url, SendPolicy.ONCE))
        assert handles[0].options[pycurl.TIMEOUT_MS] == 0  # libcurl's "none"
        assert handles[0].options[pycurl.CONNECTTIMEOUT_MS] == 2000


async def test_asked_for_timeout_ends_a_silent_transfer_as_unknown():
    async def hold(connection, nth, head, writer):
        await asyncio.Event().wait()

    async with raw_server(hold) as (raw, http, url):
        call = HttpCall(method="POST", url=url, body=b"x", timeout_s=0.05)
        with pytest.raises(DeadlineExceeded) as caught:
            await http.fetch(call)
        assert caught.value.execution is ExecutionStatus.UNKNOWN


async def test_silent_transfer_with_a_stall_limit_is_unreachable_with_unknown_outcome():
    options = {}

    async with raw_server(reply_ok) as (_, http, url):
        handle = RecordingHandle()
        http._client._curl_create = lambda: handle
        await http.fetch(HttpCall(method="GET", url=url, stall_timeout_s=7))
        options.update(handle.options)
    assert (options[pycurl.LOW_SPEED_LIMIT], options[pycurl.LOW_SPEED_TIME]) == (1, 7)
    error = classify_failure(pycurl.E_OPERATION_TIMEDOUT, True, True, "stalled")
    assert isinstance(error, BackendUnreachable)
    assert error.execution is ExecutionStatus.UNKNOWN


@pytest.mark.parametrize("value", ["a\r\nX-Evil: 1", "\u0414"], ids=["line-break", "no-latin"])
async def test_header_that_can_not_be_sent_is_not_run_and_not_told(value):
    async with raw_server(reply_ok) as (raw, http, url):
        with pytest.raises(BackendUnreachable) as caught:
            await http.fetch(HttpCall(method="GET", url=url, headers={"X-Caller": value}))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert value not in str(caught.value)
        assert raw.heads == []


async def test_large_body_is_sent_without_expect():
    async with raw_server(reply_ok) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE, body=b"x" * 4_000_000))
        assert b"expect" not in raw.heads[0].lower()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nno length at all",
    ],
    ids=["short", "no-last-chunk", "short-chunk", "undeclared"],
)
async def test_truncated_answer_is_never_whole(answer):
    async def truncated(connection, nth, head, writer):
        writer.write(answer)
        writer.close()

    async with raw_server(truncated) as (_, http, url):
        with pytest.raises((IncompleteAnswer, BackendUnreachable)) as caught:
            await http.fetch(post(url, SendPolicy.ONCE))
        assert caught.value.execution is not ExecutionStatus.NOT_RUN


@pytest.mark.parametrize(
    ("method", "answer"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ],
    ids=["head", "no-content", "empty-chunked"],
)
async def test_answer_without_a_body_is_whole(method, answer):
    async def reply(connection, nth, head, writer):
        writer.write(answer)

    async with raw_server(reply) as (_, http, url):
        assert (await http.fetch(HttpCall(method=method, url=url, timeout_s=1e18))).body == b""


async def test_abort_closes_the_connection_at_once():
    async def hold(connection, nth, head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx")

    async with raw_server(hold) as (raw, http, url):
        transfer = http.start(post(url, SendPolicy.ONCE))
        assert await transfer.read() == b"x"
        transfer.abort()
        await asyncio.wait_for(raw.closed.wait(), 5)
        assert http.running == 0
        again = http.start(post(url, SendPolicy.ONCE))
        assert await again.read() == b"x"
        assert len(http._client._curls) == 1  # the handle came back


async def test_slow_reader_pauses_the_sender():
    """The server can not hand over more than the buffers hold until the reader reads."""
    total = 32 * 1024 * 1024

    async def flood(connection, nth, head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total)
        for _ in range(total // 65536):
            writer.write(b"x" * 65536)
            await writer.drain()

    async with raw_server(flood, HttpLimits(max_body_bytes=total)) as (_, http, url):
        paused = asyncio.Event()
        transfer = http.start(post(url, SendPolicy.ONCE))
        on_data = transfer._on_data

        def watch(data):
            taken = on_data(data)
            if taken == pycurl.WRITEFUNC_PAUSE:
                paused.set()
            return taken

        transfer._handle.setopt(pycurl.WRITEFUNCTION, watch)
        await asyncio.wait_for(paused.wait(), 10)
        assert transfer._buffered_bytes < 2 * http.limits.max_buffered_bytes
        size = 0
        while piece := await transfer.read():
            assert len(piece) < 2 * http.limits.max_buffered_bytes
            size += len(piece)
        assert size == total


async def test_credential_is_never_logged(caplog):
    caplog.set_level(logging.DEBUG)

    async with raw_server(reply_ok) as (raw, http, url):
        call = HttpCall(method="GET", url=url, headers={"Authorization": "Bearer secret"})
        await http.fetch(call)
        assert b"Bearer secret" in raw.heads[0]
        assert "secret" not in repr(call)
    assert "secret" not in caplog.text


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost"])
async def test_no_thread_is_started_for_an_address_of_numbers(host):
    """libcurl resolves other names on a thread of its own."""
    seen = []

    async def count_threads(connection, nth, head, writer):
        seen.append(len(os.listdir("/proc/self/task")))
        writer.write(OK)

    async with raw_server(count_threads, HttpLimits(resolve_names=False)) as (_, http, url):
        before = len(os.listdir("/proc/self/task"))
        await http.fetch(post(url.replace("127.0.0.1", host), SendPolicy.ONCE))
        assert seen == [before]
        with pytest.raises(BackendUnreachable) as caught:
            http.start(post(url.replace("127.0.0.1", "engine.invalid"), SendPolicy.ONCE))
        assert caught.value.execution is ExecutionStatus.NOT_RUN


async def test_what_comes_to_be_sent_too_late_does_not_leave():
    async with raw_server(reply_ok) as (raw, http, url):
        call = msgspec.structs.replace(
            post(url, SendPolicy.ONCE), not_sent_after_s=monotonic_s() + LAST_SEND_S
        )
        assert (await http.fetch(call)).status == 200
        transfer = http.start(call)
        time.sleep(2 * LAST_SEND_S)  # noqa: ASYNC251 - a freeze of the whole process
        with pytest.raises(SendTooLate) as caught:
            await transfer.head()
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert len(raw.heads) == 1
