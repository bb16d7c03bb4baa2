"""Over real sockets: what a leader sends must not leave after the end of its lease.

Guards against orders and reports that were decided in time, and leave after the process was suspended while
their connection was being set up.  Another daemon may lead by then.
"""

import asyncio
import contextlib
import time

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, LoadOrderSent, ReplicaCountOrderSent, UsageReportSent
from passgate.duties.calls import CallRateLimiter
from passgate.duties.scaler import Scaler
from passgate.duties.scaling_projection import ScalingProjection
from passgate.duties.usage_projection import UsageProjection
from passgate.duties.usage_reporter import UsageReporter
from passgate.duties.windows import UsageWindows
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import MemorySharedLog
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder
from passgate.jobs.records import ReplicasDecided, UsageCommitted
from passgate.platform.duty_calls import PlatformDutyClient
from passgate.platform.http_api import PlatformReplicaControl
from passgate.quarantine.crash_quarantine import CrashQuarantine
from passgate.versions.leadership import OrderTerms
from passgate.versions.loader import Loader, TargetVersions
from tests.test_clients_curl import raw_server

LEASE_LEFT_S = 1.0
REPORT = b'{"seq":2,"busy":false,"models":[{"name":"m","version":1,"adapters":[]}]}'
WINDOWS = UsageWindows(length_s=5.0)


class EndingLease:
    """The lease of a leader that may start orders for LEASE_LEFT_S, and is not renewed."""

    fence = 7

    def __init__(self):
        self.orders_until_s = monotonic_s() + LEASE_LEFT_S

    def may_order(self):
        return monotonic_s() < self.orders_until_s

    @contextlib.contextmanager
    def sending_order(self):
        yield OrderTerms(fence=self.fence, not_sent_after_s=self.orders_until_s)


class JournalStub:
    writer = "d.a"

    def put(self, entry):
        return asyncio.get_running_loop().create_future()


class SuspendingClient:
    """Calls of a client, during which the process is suspended until the lease has ended."""

    def __init__(self, client, lease):
        self._client = client
        self._lease = lease

    async def _call(self, call):
        sending = asyncio.create_task(call)
        await asyncio.sleep(0)  # the call starts, its connection is not set up yet
        time.sleep(max(self._lease.orders_until_s - monotonic_s(), 0.0) + 0.05)  # noqa: ASYNC251
        return await sending

    async def report(self, replica_id, address):
        return await self._client.report(replica_id, address)

    async def order(self, order):
        return await self._call(self._client.order(order))

    async def report_usage(self, report):
        return await self._call(self._client.report_usage(report))

    async def order_replicas(self, order):
        return await self._call(self._client.order_replicas(order))


async def answer_and_close(connection_number, request_number, head, writer):
    """Answer with a replica's report; each call needs a new connection."""
    headers = f"HTTP/1.1 200 OK\r\nContent-Length: {len(REPORT)}\r\nConnection: close\r\n\r\n"
    writer.write(headers.encode() + REPORT)
    writer.close()


@contextlib.asynccontextmanager
async def run_until_event(event_type, make):
    """Run what ``make`` returns until its first event; yield the heads that arrived and the event."""
    written = asyncio.get_running_loop().create_future()

    def observe(event):
        if isinstance(event, event_type) and not written.done():
            written.set_result(event)

    async with raw_server(answer_and_close) as (raw, http, url):
        lease = EndingLease()
        decisions = DecisionLog("d", write=len, observe=observe)
        address = url.removeprefix("http://").rstrip("/")
        running = asyncio.create_task(make(http, address, lease, decisions).run())
        async with asyncio.timeout(10.0):
            event = await written
        yield raw.heads, event
        running.cancel()


def make_table(address):
    replicas = ReplicaTable(Topology(zone="z"), seed=1)
    replicas.put(
        ReplicaInfo(replica_id="r", service="s", address=address, zone="z", slots=4, model_versions={"m": 1})
    )
    return replicas


def make_loader(http, address, lease, decisions):
    replicas, targets = make_table(address), TargetVersions(decisions)
    targets.offer("m", 2)
    log = MemorySharedLog().client("d")
    guard = CrashQuarantine(log, "crashes", replicas.eject, decisions, None).guard
    control = SuspendingClient(PlatformReplicaControl(http), lease)
    return Loader(targets, replicas, lease, control, "d", {}, guard, decisions)


def make_reporter(http, address, lease, decisions):
    projection = UsageProjection()
    projection.apply(0, "d.a", UsageCommitted(window=9, counts={"orchard": 3}), by_leader=True)
    return UsageReporter(
        projection,
        JournalStub(),
        lease,
        SuspendingClient(PlatformDutyClient(http, address), lease),
        CallRateLimiter(40.0),
        WINDOWS,
        lambda: 0.0,
        decisions,
        daemon_id="d",
        due_s=10.0,
    )


def make_scaler(http, address, lease, decisions):
    projection = ScalingProjection()
    decided = ReplicasDecided(service="s", zone="z", spot=True, count=3)
    projection.apply(0, JournalStub.writer, decided, by_leader=True)
    return Scaler(
        projection,
        JournalStub(),
        lease,
        SuspendingClient(PlatformDutyClient(http, address), lease),
        CallRateLimiter(40.0),
        ConfigHolder(),
        make_table(address),
        {},
        decisions,
        evacuated_zones=(),
        daemon_id="d",
    )


async def test_a_load_order_does_not_leave_after_the_end_of_the_lease():
    async with run_until_event(LoadOrderSent, make_loader) as (heads, event):
        assert [head for head in heads if head.startswith(b"POST")] == []
        assert event.outcome == "not_sent"


async def test_a_usage_report_does_not_leave_after_the_end_of_the_lease():
    async with run_until_event(UsageReportSent, make_reporter) as (heads, _):
        assert heads == []


async def test_an_order_of_replicas_does_not_leave_after_the_end_of_the_lease():
    async with run_until_event(ReplicaCountOrderSent, make_scaler) as (heads, _):
        assert heads == []
