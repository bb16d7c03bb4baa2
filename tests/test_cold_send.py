"""Over real sockets: a request to a cold replica must not leave after its permit has expired."""

import contextlib
import math
import time
from unittest import mock

import pytest

from passgate.clock import monotonic_s
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permits import MAX_SEND_DELAY_S, PERMIT_LIFETIME_S
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.errors import AnswerMismatch, BackendRefused, ExecutionStatus, SendTooLate
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.replica_client import ReplicaClient
from passgate.gateway.replica_request import ReplicaRequest
from passgate.gateway.replica_table import ReplicaTable
from tests.test_clients_curl import raw_server, reply_ok

NAMES = HeaderNames(**{name: f"X-{name.replace('_', '-')}" for name in HeaderNames.__struct_fields__})


@contextlib.asynccontextmanager
async def cold_replica(answer=reply_ok):
    """Yield a server, a table that lists it as a cold replica with one permit, and a caller."""
    async with raw_server(answer) as (raw, http, url):
        table = ReplicaTable(Topology(zone="z"))
        table.cold_replicas.limit_of = {"s": ColdLimit(max_duration_s=8.0, max_requests_per_s=29)}.get
        address = url.removeprefix("http://").rstrip("/")
        info = ReplicaInfo(replica_id="r", service="s", address=address, zone="z", slots=4, cold_ms=8000)
        table.apply_entry(info, monotonic_s())
        table.permit_pool.add({"r": 1}, monotonic_s(), monotonic_s())
        yield raw, table, ReplicaClient(http, table, NAMES, mock.Mock())


def make_request():
    return ReplicaRequest(
        request_id="q",
        method="POST",
        path="/",
        host="h",
        headers=(),
        body=b"b",
        deadline_s=monotonic_s() + 5.0,
    )


async def test_request_is_not_sent_after_its_permit_has_expired():
    async with cold_replica() as (raw, table, caller):
        attempt = caller.start_attempt(table.get("r"), make_request())
        time.sleep(PERMIT_LIFETIME_S + MAX_SEND_DELAY_S + 0.05)  # noqa: ASYNC251 - blocks the event loop
        with pytest.raises(SendTooLate) as caught:
            await attempt.wait_for_head()
        attempt.close()
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        assert not raw.heads
        assert table.health.filter_usable(["r"], monotonic_s()) == ["r"]
        assert not table.cold_replicas._possibly_cold_by_id


@pytest.mark.parametrize(("stamp", "status"), [("other", 200), ("q", 421)])
async def test_answer_of_another_replica_does_not_shorten_possibly_cold_period(stamp, status):
    async def answer(connection, nth, head, writer):
        head = f"HTTP/1.1 {status} X\r\n{NAMES.request_id}: {stamp}\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())

    async with cold_replica(answer) as (raw, table, caller):
        table.cold_replicas.mark_unreachable(table.get("r").info, monotonic_s())
        attempt = caller.start_attempt(table.get("r"), make_request())
        with pytest.raises((AnswerMismatch, BackendRefused)):
            await attempt.wait_for_head()
        attempt.close()
        assert table.cold_replicas.remaining_cold_s(table.get("r").info, monotonic_s()) == math.inf
