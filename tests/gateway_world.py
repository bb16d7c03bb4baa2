"""Forwarders of one daemon over scripted replicas, without sockets, so that tests run in virtual time."""

import asyncio

import msgspec
from tornado.httputil import HTTPHeaders

from passgate.clients.http_call import HttpAnswer
from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.eligibility.isolation import NO_ISOLATION
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.errors import BackendUnreachable, ExecutionStatus, PassgateError, SendTooLate
from passgate.gateway.access import Caller, Tenant
from passgate.gateway.forwarder import Forwarder
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.messages import IncomingRequest
from passgate.gateway.replica_client import ReplicaClient
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder, GatewayConfig, Route, RouteKind, WeightedService
from passgate.gateway.stream_forwarder import StreamForwarder

HOST, SERVICE, ZONE = "h", "s", "z"
KEY = "key"
NAMES = HeaderNames(**{name: f"X-{name.replace('_', '-')}" for name in HeaderNames.__struct_fields__})
TARGET_LATENCY_S = 2.0


class Script(msgspec.Struct, kw_only=True):
    """What a replica does with each request."""

    connect_s: float = 0.0
    """Time until the connection is open; the request is sent then, unless that is too late."""
    answer_s: float = 0.01
    """Time from the send to the head of the answer, or to ``error``."""
    error: PassgateError | None = None
    """Raised in place of an answer."""
    status: int = 200
    headers: dict[str, str] = {}
    pieces: tuple[bytes, ...] = (b"answer",)
    """Pieces of the body."""
    body_stalls: bool = False
    """Whether the body never ends after its pieces."""


class Sent(msgspec.Struct, kw_only=True):
    """One request that was sent to a replica."""

    address: str
    at_s: float
    deadline_ms: int


class ScriptedTransfer:
    """Stand-in for :class:`passgate.clients.transfer.Transfer`."""

    def __init__(self, http, call, script):
        self.status = 0
        self.headers = HTTPHeaders()
        self.ended = False
        self.connect_duration_s = None
        self._http, self._call, self._script = http, call, script
        self._pieces = list(script.pieces)

    async def wait_for_head(self):
        script, call = self._script, self._call
        if self.status:
            return self.status
        await asyncio.sleep(script.connect_s)
        if call.not_sent_after_s is not None and monotonic_s() > call.not_sent_after_s:
            raise SendTooLate("too late", execution=ExecutionStatus.NOT_RUN)
        self._http.sent.append(
            Sent(
                address=self._http.address_of(call),
                at_s=monotonic_s(),
                deadline_ms=int(call.headers[NAMES.deadline_ms]),
            )
        )
        await asyncio.sleep(script.answer_s)
        if script.error is not None:
            raise script.error
        self.status = script.status
        self.headers = HTTPHeaders(
            {NAMES.replica_stamp: "stamp", "Transfer-Encoding": "chunked"} | script.headers
        )
        return self.status

    async def read(self):
        if self._pieces:
            return self._pieces.pop(0)
        if self._script.body_stalls:
            await asyncio.sleep(3600)
        self.ended = True
        return b""

    async def read_all(self):
        await self.wait_for_head()
        body = b""
        while piece := await self.read():
            body += piece
        return HttpAnswer(status=self.status, headers=self.headers, body=body)

    def abort(self):
        self.ended = True

    def finish_unread(self):
        self.ended = True


class ScriptedHttp:
    """Stand-in for the HTTP client; replicas without a script answer at once."""

    def __init__(self):
        self.script_by_address = {}
        self.sent = []

    @staticmethod
    def address_of(call):
        return call.url.removeprefix("http://").partition("/")[0]

    def start(self, call):
        return ScriptedTransfer(self, call, self.script_by_address.get(self.address_of(call), Script()))


class ScriptedCrashGuard:
    """Stand-in for the crash guard: quarantines nothing; a probe may be in progress until a loop time."""

    def __init__(self):
        self.probe_until_s = float("-inf")

    async def wait_for_probes(self, identity):
        await asyncio.sleep(max(self.probe_until_s - monotonic_s(), 0.0))

    async def wait_until_decided(self, identity):
        pass

    def raise_if_quarantined(self, identity):
        pass

    def isolation_of(self, identity):
        return NO_ISOLATION

    def announce_run(self, identity, incarnation):
        pass

    async def confirm_run(self, identity, is_idle):
        return True

    def withdraw_run(self, identity):
        pass

    def is_quarantined(self, identity):
        return False

    def is_suspect(self, identity):
        return False

    def record_failed_attempt(self, identity, endpoint, error, attempt_started_s):
        pass

    def record_response(self, endpoint, attempt_started_s):
        pass

    def record_success(self, identity, service):
        pass


class GatewayWorld:
    """A plain and a streaming forwarder with their replica table."""

    def __init__(self):
        self.replicas = ReplicaTable(Topology(zone=ZONE), seed=1)
        self.crash_guard = ScriptedCrashGuard()
        self.config_holder = ConfigHolder(Topology(zone=ZONE))
        self.use_http(ScriptedHttp())

    def use_http(self, http):
        """Send requests through another HTTP client."""
        self.http = http
        self.replica_client = ReplicaClient(http, self.replicas, NAMES, self.crash_guard)
        parts = (self.replica_client, self.replicas, NAMES, DecisionLog("d", write=len), self.config_holder)
        self.forwarder = Forwarder(*parts)
        self.stream_forwarder = StreamForwarder(*parts)

    @property
    def sent(self):
        """Requests that were sent to replicas, in order."""
        return self.http.sent

    def add_replica(self, name, script=None, **fields):
        fields = {"service": SERVICE, "address": f"{name}:1", "zone": ZONE, "slots": 4} | fields
        self.replicas.put(ReplicaInfo(replica_id=name, **fields))
        if script is not None:
            self.http.script_by_address[f"{name}:1"] = script

    def configure(self, *, version=1, tenants=(), **fields):
        """Apply a configuration with one route, and tenants that all have the key KEY; return the route."""
        fields = {"kind": RouteKind.SAFE, "target_latency_s": TARGET_LATENCY_S, "max_attempts": 4} | fields
        route = Route(name="r", host=HOST, path_prefix="/", parts=(WeightedService(SERVICE, 1),), **fields)
        configured = tuple(Tenant(name=name, api_keys=(KEY,)) for name in tenants)
        config = GatewayConfig(version=version, routes=(route,), tenants=configured)
        self.config_holder.apply_if_newer(config)
        return route

    async def forward(self, route, *, deadline_s=3.0, tenant=None, **fields):
        """Forward a request that has just arrived; return the answer, whose stream is not read yet."""
        headers = {
            NAMES.deadline_ms: str(int(deadline_s * 1000)),
            NAMES.request_id: "q",
            "Authorization": f"Bearer {KEY}",
        }
        request = IncomingRequest(
            method="POST",
            path="/a",
            host=HOST,
            headers=tuple(headers.items()),
            body=b"b",
            received_s=monotonic_s(),
            **fields,
        )
        streaming = route.kind is RouteKind.STREAMING
        forwarder = self.stream_forwarder if streaming else self.forwarder
        return await forwarder.forward(request, route, Caller(tenant=tenant))


def connection_lost():
    return BackendUnreachable("reset", execution=ExecutionStatus.UNKNOWN)
