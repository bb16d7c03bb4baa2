"""HttpClient against a scripted raw socket server: repeated sends, reuse, limits, truncated answers."""

import asyncio
import contextlib
import logging
import os
import time

import msgspec
import pycurl
import pytest

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, HttpLimits, SendPolicy
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
    """Reads each request and calls `answer(connection_number, request_number, head, writer)`.

    Connections are numbered from 1, and so are the requests of each connection.
    """

    def __init__(self, answer):
        self.answer = answer
        self.heads = []
        self.connection_count = 0
        self.closed = asyncio.Event()
        self.server = None
        self.writers = []

    def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connection_count += 1
        self.writers.append(writer)
        connection_number = self.connection_count
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            request_number = 0
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(content_length(head))
                request_number += 1
                self.heads.append(head)
                await self.answer(connection_number, request_number, head, writer)
        self.closed.set()
        writer.close()


def content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


@contextlib.asynccontextmanager
async def raw_server(answer, limits=None):
    """Run a server and yield it with a client and its URL."""
    raw = RawServer(answer)
    server = raw.server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    http = HttpClient(limits)
    try:
        yield raw, http, f"http://127.0.0.1:{port}/"
    finally:
        http.close()
        server.close()


async def reply_ok(connection_number, request_number, head, writer):
    writer.write(OK)


async def close_on_second_request_of_first_connection(connection_number, request_number, head, writer):
    if connection_number == 1 and request_number == 2:
        writer.close()
        return
    writer.write(OK)


def post(url, send, body=b"order"):
    return HttpCall(method="POST", url=url, body=body, send=send)


async def test_libcurl_repeats_a_post_on_a_reused_connection_that_the_server_closed():
    """Shows why the other policies exist: with REPEAT one call reaches the server twice."""
    async with raw_server(close_on_second_request_of_first_connection) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.REPEAT))
        answer = await http.fetch(post(url, SendPolicy.REPEAT))
        assert answer.status == 200
        assert len(raw.heads) == 3  # two calls, three requests received


async def test_once_is_not_repeated_on_a_closed_connection_and_has_an_unknown_outcome():
    async with raw_server(close_on_second_request_of_first_connection) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))
        with pytest.raises(BackendUnreachable) as caught:
            await http.fetch(post(url, SendPolicy.ONCE))
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        assert len(raw.heads) == 2
        assert raw.connection_count == 1


async def test_once_on_fresh_connection_neither_reuses_nor_leaves_a_connection():
    async with raw_server(reply_ok) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))  # leaves a reusable connection
        await http.fetch(post(url, SendPolicy.ONCE_ON_FRESH_CONNECTION))
        await http.fetch(post(url, SendPolicy.ONCE_ON_FRESH_CONNECTION))
        assert raw.connection_count == 3
        await asyncio.wait_for(raw.closed.wait(), 5)  # a connection of its own is closed after use
        await http.fetch(post(url, SendPolicy.ONCE))
        assert raw.connection_count == 3


async def test_open_streams_do_not_count_against_the_limit_of_idle_connections():
    """libcurl's own limit counts connections in use, too."""

    async def leave_gets_incomplete(connection_number, request_number, head, writer):
        writer.write(OK[:-1] if head.startswith(b"GET") else OK)

    async with raw_server(leave_gets_incomplete, HttpLimits(max_idle_connections=4)) as (raw, http, url):
        for _ in range(8):
            await http.start(HttpCall(method="GET", url=url)).read()
        for _ in range(5):
            await http.fetch(post(url, SendPolicy.ONCE))
        assert raw.connection_count == 8 + 1


async def test_idle_connection_that_the_server_closed_is_not_reused():
    """Otherwise the request would fail with an unknown outcome."""

    async def answer_and_close(connection_number, request_number, head, writer):
        writer.write(OK)
        writer.close()

    async with raw_server(answer_and_close) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))
        await asyncio.wait_for(raw.closed.wait(), 5)
        assert (await http.fetch(post(url, SendPolicy.ONCE))).status == 200
        assert raw.connection_count == len(raw.heads) == 2


async def test_restart_after_a_closed_connection_happens_once_and_a_refused_one_is_not_run():
    async with raw_server(reply_ok) as (raw, http, url):
        await http.fetch(post(url, SendPolicy.ONCE))
        raw.stop()
        await asyncio.wait_for(raw.closed.wait(), 5)
        with pytest.raises(BackendUnreachable) as caught:
            await asyncio.wait_for(http.fetch(post(url, SendPolicy.ONCE)), 5)
        assert caught.value.execution is ExecutionStatus.NOT_RUN


async def test_connection_closed_without_answer_is_unknown_and_sent_once():
    async def close(connection_number, request_number, head, writer):
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
    async def redirect(connection_number, request_number, head, writer):
        writer.write(b"HTTP/1.1 307 Moved\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")

    async with raw_server(redirect) as (raw, http, url):
        answer = await http.fetch(post(url, SendPolicy.ONCE))
        assert answer.status == 307
        assert len(raw.heads) == 1


async def test_proxy_settings_of_the_environment_are_ignored(monkeypatch):
    monkeypatch.setitem(os.environ, "http_proxy", "http://127.0.0.1:1")

    async with raw_server(reply_ok) as (_, http, url):
        assert (await http.fetch(post(url, SendPolicy.ONCE))).status == 200


async def test_forty_transfers_run_concurrently():
    """Tornado's default limit is 10."""
    all_arrived = asyncio.Event()

    async def answer_when_all_arrived(connection_number, request_number, head, writer):
        if len(raw.heads) == 40:
            all_arrived.set()
        await all_arrived.wait()
        writer.write(OK)

    async with raw_server(answer_when_all_arrived) as (raw, http, url):
        calls = [http.fetch(post(url, SendPolicy.ONCE)) for _ in range(40)]
        answers = await asyncio.wait_for(asyncio.gather(*calls), 10)
        assert len(answers) == 40


async def test_request_above_the_limit_is_refused_as_not_run_but_control_calls_are_not():
    async def never_answer(connection_number, request_number, head, writer):
        await asyncio.Event().wait()

    async with raw_server(never_answer, HttpLimits(max_transfers=1)) as (_, http, url):
        first = http.start(post(url, SendPolicy.ONCE))
        with pytest.raises(BackendUnreachable) as caught:
            http.start(post(url, SendPolicy.ONCE))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        http.start(HttpCall(method="GET", url=url, control=True))  # control calls have a limit of their own
        first.abort()
        http.start(post(url, SendPolicy.ONCE))


class RecordingHandle(pycurl.Curl):
    """Records the last value of each option."""

    def __init__(self):
        self.options = {}

    def setopt(self, option, value):
        self.options[option] = value
        super().setopt(option, value)


async def test_no_total_timeout_is_set_by_default():
    """Tornado's default of 20 s would cut long streams."""
    async with raw_server(reply_ok) as (_, http, url):
        handles = []
        http._client._curl_create = lambda: handles.append(RecordingHandle()) or handles[-1]
        await http.fetch(post(url, SendPolicy.ONCE))
        assert handles[0].options[pycurl.TIMEOUT_MS] == 0  # libcurl's "no limit"
        assert handles[0].options[pycurl.CONNECTTIMEOUT_MS] == 2000


async def test_total_timeout_after_sending_has_an_unknown_outcome():
    async def never_answer(connection_number, request_number, head, writer):
        await asyncio.Event().wait()

    async with raw_server(never_answer) as (raw, http, url):
        call = HttpCall(method="POST", url=url, body=b"x", timeout_s=0.05)
        with pytest.raises(DeadlineExceeded) as caught:
            await http.fetch(call)
        assert caught.value.execution is ExecutionStatus.UNKNOWN


async def test_stall_timeout_sets_libcurls_low_speed_limit_and_has_an_unknown_outcome():
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
async def test_invalid_header_value_is_not_run_and_not_in_the_error_text(value):
    async with raw_server(reply_ok) as (raw, http, url):
        with pytest.raises(BackendUnreachable) as caught:
            await http.fetch(HttpCall(method="GET", url=url, headers={"X-Caller": value}))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert value not in str(caught.value)
        assert raw.heads == []


async def test_large_body_is_sent_without_an_expect_header():
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
async def test_truncated_answer_raises(answer):
    async def answer_and_close(connection_number, request_number, head, writer):
        writer.write(answer)
        writer.close()

    async with raw_server(answer_and_close) as (_, http, url):
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
async def test_answer_without_a_body_is_complete(method, answer):
    async def reply(connection_number, request_number, head, writer):
        writer.write(answer)

    async with raw_server(reply) as (_, http, url):
        assert (await http.fetch(HttpCall(method=method, url=url, timeout_s=1e18))).body == b""


async def test_abort_closes_the_connection_and_frees_the_handle():
    async def send_incomplete_answer(connection_number, request_number, head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx")

    async with raw_server(send_incomplete_answer) as (raw, http, url):
        transfer = http.start(post(url, SendPolicy.ONCE))
        assert await transfer.read() == b"x"
        transfer.abort()
        await asyncio.wait_for(raw.closed.wait(), 5)
        assert http.transfer_count == 0
        second = http.start(post(url, SendPolicy.ONCE))
        assert await second.read() == b"x"
        assert len(http._client._curls) == 1  # the handle was reused


async def test_slow_reader_pauses_the_sender():
    """Without back-pressure, the whole body would be buffered in memory."""
    total = 32 * 1024 * 1024

    async def send_large_body(connection_number, request_number, head, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total)
        for _ in range(total // 65536):
            writer.write(b"x" * 65536)
            await writer.drain()

    async with raw_server(send_large_body, HttpLimits(max_body_bytes=total)) as (_, http, url):
        paused = asyncio.Event()
        transfer = http.start(post(url, SendPolicy.ONCE))
        on_data = transfer._on_data

        def detect_pause(data):
            result = on_data(data)
            if result == pycurl.WRITEFUNC_PAUSE:
                paused.set()
            return result

        transfer._handle.setopt(pycurl.WRITEFUNCTION, detect_pause)
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
async def test_no_resolver_thread_is_started_for_a_numeric_host_and_names_are_refused(host):
    """libcurl resolves names on a thread of its own."""
    thread_counts = []

    async def count_threads(connection_number, request_number, head, writer):
        thread_counts.append(len(os.listdir("/proc/self/task")))
        writer.write(OK)

    async with raw_server(count_threads, HttpLimits(resolve_names=False)) as (_, http, url):
        before = len(os.listdir("/proc/self/task"))
        await http.fetch(post(url.replace("127.0.0.1", host), SendPolicy.ONCE))
        assert thread_counts == [before]
        with pytest.raises(BackendUnreachable) as caught:
            http.start(post(url.replace("127.0.0.1", "engine.invalid"), SendPolicy.ONCE))
        assert caught.value.execution is ExecutionStatus.NOT_RUN


async def test_request_is_not_sent_after_its_latest_send_time():
    async with raw_server(reply_ok) as (raw, http, url):
        call = msgspec.structs.replace(
            post(url, SendPolicy.ONCE), not_sent_after_s=monotonic_s() + LAST_SEND_S
        )
        assert (await http.fetch(call)).status == 200
        transfer = http.start(call)
        time.sleep(2 * LAST_SEND_S)  # noqa: ASYNC251 - blocks the event loop, like a process that is suspended
        with pytest.raises(SendTooLate) as caught:
            await transfer.wait_for_head()
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert len(raw.heads) == 1
