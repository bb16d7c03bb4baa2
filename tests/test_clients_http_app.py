import asyncio
import contextlib

import pytest

from passgate.clients.curl import HttpClient
from passgate.clients.http_app import HttpAppClient
from passgate.clock import monotonic_s
from passgate.emulator.app_server import AppServer
from passgate.errors import (
    AnswerMismatch,
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
)
from passgate.schema import AppRequest, AppResponse, LoadReport


class EchoApp:
    """Application service that returns the body of each call."""

    def __init__(self):
        self.calls = []
        self.resume_event = None
        """Event for which calls wait; None means that they don't wait."""
        self.refuse = False

    async def load_report(self, address):
        return LoadReport(
            replica_id="linha-0",
            sequence=7,
            running=4,
            waiting=2,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=0,
            tokens_per_s=0.0,
            leaving=True,
        )

    async def call(self, address, request):
        self.calls.append(request)
        if self.refuse:
            raise BackendRefused("full", retry_after_s=2.0)
        if self.resume_event is not None:
            await self.resume_event.wait()
        status = 404 if request.path.startswith("/missing") else 200
        return AppResponse(
            request_id=request.request_id, status=status, body=request.body, replica_id="linha-0"
        )


@contextlib.asynccontextmanager
async def served_app():
    server = AppServer("linha-0", EchoApp(), "a1")
    address = server.start()
    http = HttpClient()
    try:
        yield server, HttpAppClient(http), address
    finally:
        server.crash()
        http.close()


def app_request(request_id="r1", **changes):
    fields = {"caller": "supervisor", "pool": "linha", "method": "POST", "path": "/verdict?lot=7"}
    return AppRequest(request_id=request_id, **{**fields, "body": b'{"photo": 1}', **changes})


async def test_service_receives_the_call_and_its_answer_is_returned():
    async with served_app() as (server, client, address):
        response = await client.call(address, app_request(repeatable=False, priority_class="gold"))
        assert (response.status, response.body, response.replica_id) == (200, b'{"photo": 1}', "linha-0")
        received = server.app_client.calls[0]
        assert (received.caller, received.path, received.priority_class) == (
            "supervisor",
            "/verdict?lot=7",
            "gold",
        )
        assert received.repeatable is False


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE"])
async def test_method_status_and_body_are_passed_on_unchanged(method):
    async with served_app() as (_, client, address):
        body = b"" if method in ("GET", "DELETE") else b"x"
        response = await client.call(address, app_request(method=method, path="/missing", body=body))
        assert (response.status, response.body) == (404, body)


@pytest.mark.parametrize("caller", ["Damião", "Žižka", "a\r\nX-Evil: 1", "50% off", ""])
async def test_caller_and_identifier_may_contain_any_characters(caller):
    async with served_app() as (server, client, address):
        response = await client.call(address, app_request(caller + "/1", caller=caller))
        assert response.request_id == caller + "/1"
        received = server.app_client.calls[0]
        assert (received.request_id, received.caller) == (caller + "/1", caller)


async def test_load_report_is_read_and_a_caller_may_still_use_its_path():
    async with served_app() as (server, client, address):
        report = await client.load_report(address)
        assert report == await server.app_client.load_report("a1")
        response = await client.call(address, app_request(method="GET", path="/load", body=b""))
        assert (response.request_id, response.body) == ("r1", b"")
        assert [call.path for call in server.app_client.calls] == ["/load"]


async def test_failed_load_report_raises_backend_unreachable():
    async with served_app() as (server, client, address):
        server.faults.unavailable = True
        with pytest.raises(BackendUnreachable):
            await client.load_report(address)
        server.faults.unavailable = False
        server.faults.lose_answers = 9  # libcurl may repeat a read
        with pytest.raises(BackendUnreachable):
            await client.load_report(address)


async def test_answer_of_another_request_raises_answer_mismatch():
    async with served_app() as (server, client, address):
        server.faults.cross_answers = 1
        with pytest.raises(AnswerMismatch):
            await client.call(address, app_request())


async def test_refusal_by_the_service_is_not_run_and_keeps_its_retry_after():
    async with served_app() as (server, client, address):
        server.app_client.refuse = True
        with pytest.raises(BackendRefused) as caught:
            await client.call(address, app_request())
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert caught.value.retry_after_s == 2.0


async def test_not_repeatable_call_whose_answer_is_lost_reaches_the_service_once():
    async with served_app() as (server, client, address):
        await client.call(address, app_request("r0"))  # leaves a reusable connection
        server.faults.lose_answers = 1
        with pytest.raises(BackendUnreachable) as caught:
            await client.call(address, app_request("r1", repeatable=False))
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        assert server.counters.received == {"r0": 1, "r1": 1}


async def test_answer_to_a_cancelled_call_is_not_returned_to_the_next_call():
    async with served_app() as (server, client, address):
        server.app_client.resume_event = asyncio.Event()
        cancelled = asyncio.create_task(client.call(address, app_request("late")))
        while not server.app_client.calls:
            await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        server.app_client.resume_event.set()
        response = await client.call(address, app_request("next", body=b"own"))
        assert (response.request_id, response.body) == ("next", b"own")


async def test_call_after_its_deadline_is_not_run():
    async with served_app() as (server, client, address):
        with pytest.raises(DeadlineExceeded) as caught:
            await client.call(address, app_request(deadline_s=monotonic_s() - 1.0))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert not server.app_client.calls
