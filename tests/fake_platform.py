"""Fakes of the platform's log service and replicas, as HTTP servers on loopback addresses.

They follow the platform's protocols.  A replica records each run of a request, so that a test can compare
the runs that really took place with what a daemon reported.  Faults are injected by changing ``faults``.
"""

import asyncio
import base64
import contextlib
import json
import random
import socket
import struct
import time
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from passgate.emulator.log_groups import LogGroups
from tests.fault_proxy import CONNECTION_BACKLOG

RECORD_LENGTH = struct.Struct(">I")
"""Length of the record that follows, in bodies of the log service."""
READ_HEADER = struct.Struct(">QQ")
"""End offset and first offset of a partition, at the beginning of the response to a read."""
SINGLE_RECORD_DELAY_S = 0.005
"""Time that a page with a single record takes."""
NEWEST_PAGE_SIZE = 500
"""Most keys in a page of the newest values of a topic."""
HEARTBEAT_S = 0.5
PARTITION_COUNT = 4
"""Partitions of each topic that the members of a group share."""


class Partition:
    """Records of one partition; ``appended`` is set, and replaced, at each append."""

    def __init__(self):
        self.first_offset = 0
        self.records = []
        self.appended = asyncio.Event()

    @property
    def end_offset(self):
        return self.first_offset + len(self.records)

    def append(self, records):
        """Append records and return the offset of the first."""
        offset = self.end_offset
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


def decode_records(body):
    """Return the records of an append's body."""
    records = []
    while body:
        (size,) = RECORD_LENGTH.unpack(body[:4])
        records.append(body[4 : 4 + size])
        body = body[4 + size :]
    return records


def split_key(record):
    """Return key and value of a record of a keyed topic."""
    key_length = record[0]
    return record[1 : 1 + key_length].decode(), record[1 + key_length :]


@dataclass
class LogServiceFaults:
    """Injected faults of the log service; a test changes them while daemons run."""

    refusing: bool = False
    """All calls get status 503 and have no effect."""
    throttling: bool = False
    """All calls get status 429 and have no effect."""
    silent: bool = False
    """All calls wait 30 s before they are handled, longer than a client waits."""
    lost_append_share: float = 0.0
    """Share of appends that take effect after ``lost_append_delay_s`` and get no response for 30 s.

    Then, when their client has given up, they are handled once more as any other append.
    """
    lost_append_delay_s: float = 0.0
    slow_s: float = 0.0
    """Delay before each call is handled."""
    silent_topics: tuple = ()
    """Topics of which all calls wait 30 s before they are handled."""


class FakeLogService:
    """HTTP server with the interface of the platform's log service; holds its records in memory."""

    def __init__(self):
        self.partitions = {}
        self.groups = LogGroups(time.monotonic)
        self.faults = LogServiceFaults()
        self.single_record_clients = set()
        """Hosts of clients that get a single record in each page, after ``SINGLE_RECORD_DELAY_S``."""
        self.call_count = 0
        self.random = random.Random(1)
        self.server = None
        self.address = ""

    def partition(self, topic, number=0):
        return self.partitions.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        """Append a JSON value under a key of a keyed topic; None deletes the key."""
        self.put_bytes(topic, key, json.dumps(value).encode() if value is not None else b"")

    def put_bytes(self, topic, key, data):
        """Append any bytes under a key of a keyed topic; none delete the key."""
        self.partition(topic).append([bytes([len(key)]) + key.encode() + data])

    def newest_values(self, topic):
        """Return the newest value and its offset by key, without deleted keys."""
        newest = {}
        partition = self.partition(topic)
        for index, record in enumerate(partition.records):
            key, value = split_key(record)
            newest[key] = (value, partition.first_offset + index)
        return {key: value_and_offset for key, value_and_offset in newest.items() if value_and_offset[0]}

    def drop_history(self, topic):
        """Drop all records of a topic, as compaction would; offsets go on."""
        partition = self.partition(topic)
        partition.first_offset, partition.records = partition.end_offset, []

    def start(self, port=0):
        """Listen on a port, with 0 on a free one, and return the service."""
        handlers = [
            ("/-/log-append", AppendHandler, {"service": self}),
            ("/-/log-read", ReadHandler, {"service": self}),
            ("/-/log-newest", NewestHandler, {"service": self}),
            ("/-/log-join", JoinHandler, {"service": self}),
            ("/-/log-leave", LeaveHandler, {"service": self}),
            ("/-/log-owners", OwnersHandler, {"service": self}),
        ]
        self.server = HTTPServer(Application(handlers))
        self.address = listen_on_loopback(self.server, port)
        return self

    async def stop(self):
        self.server.stop()
        await self.server.close_all_connections()


def listen_on_loopback(server, port=0):
    """Let an HTTP server listen on a loopback port, with 0 on a free one, and return its address."""
    server.listen(port, "127.0.0.1", backlog=CONNECTION_BACKLOG)
    (sock,) = server._sockets.values()
    return f"127.0.0.1:{sock.getsockname()[1]}"


class LogHandler(RequestHandler):
    """Counts calls and applies the faults that all calls share."""

    def initialize(self, service):
        self.service = service

    async def prepare(self):
        self.service.call_count += 1
        faults = self.service.faults
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        if faults.silent or self.get_query_argument("topic", "") in faults.silent_topics:
            await asyncio.sleep(30)
        if faults.refusing or faults.throttling:
            self.set_status(503 if faults.refusing else 429)
            self.finish()

    async def limit_page(self, records, limit=None):
        """Return the records that fit into a page for this client."""
        if self.request.remote_ip not in self.service.single_record_clients:
            return records[:limit]
        await asyncio.sleep(SINGLE_RECORD_DELAY_S)
        return records[:1]

    def topic_and_partition(self):
        return self.get_query_argument("topic"), int(self.get_query_argument("part"))


class AppendHandler(LogHandler):
    """Appends records; with ``at``, only if the partition ends there, otherwise responds with status 412."""

    async def post(self):
        faults = self.service.faults
        partition = self.service.partition(*self.topic_and_partition())
        records = decode_records(self.request.body)
        if faults.lost_append_share and self.service.random.random() < faults.lost_append_share:
            asyncio.get_running_loop().call_later(faults.lost_append_delay_s, partition.append, records)
            await asyncio.sleep(30)
        expected_end = self.get_query_argument("at", None)
        if expected_end is not None and int(expected_end) != partition.end_offset:
            self.set_status(412)
            self.finish({"end": partition.end_offset})
            return
        offset = partition.append(records)
        self.finish({"offset": offset, "end": partition.end_offset})


class ReadHandler(LogHandler):
    """Returns records from an offset; waits for one as long as asked.  Status 410 if they were dropped."""

    async def get(self):
        partition = self.service.partition(*self.topic_and_partition())
        start_offset = int(self.get_query_argument("from"))
        wait_s = int(self.get_query_argument("waitMs", "0")) / 1000
        if start_offset < partition.first_offset:
            self.set_status(410)
            self.finish({"first": partition.first_offset})
            return
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while partition.end_offset <= start_offset and asyncio.get_running_loop().time() < deadline_s:
            with contextlib.suppress(TimeoutError):
                remaining_s = deadline_s - asyncio.get_running_loop().time()
                await asyncio.wait_for(partition.appended.wait(), max(remaining_s, 0.001))
        if start_offset < partition.first_offset:
            self.set_status(410)
            self.finish({"first": partition.first_offset})
            return
        header = READ_HEADER.pack(partition.end_offset, partition.first_offset)
        records = await self.limit_page(partition.records[start_offset - partition.first_offset :])
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)
        with contextlib.suppress(Exception):
            self.finish(header + body)


class NewestHandler(LogHandler):
    """Returns the newest value of each key in pages of ``NEWEST_PAGE_SIZE``, by key from ``afterRev`` on."""

    async def get(self):
        topic, number = self.topic_and_partition()
        rows = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.service.newest_values(topic).items())
        ]
        last_key = self.get_query_argument("afterRev", "")
        rows = [row for row in rows if row["key"] > last_key]
        end = self.service.partition(topic, number).end_offset
        page = await self.limit_page(rows, NEWEST_PAGE_SIZE)
        self.finish({"requests": page, "more": len(rows) > len(page), "end": end})


class JoinHandler(LogHandler):
    """Adds a member to a group, or renews its membership, and returns the partitions assigned to it."""

    def post(self):
        request = json.loads(self.request.body)
        partitions = [(topic, number) for topic in request["topics"] for number in range(PARTITION_COUNT)]
        assignment = self.service.groups.join(
            request["group"],
            request["member"],
            partitions,
            lifetime_s=request["ttl_ms"] / 1000,
            generation=request["generation"],
        )
        rows = [[topic, number, 0] for topic, number in assignment.partitions]
        self.finish({"generation": assignment.generation, "ttl_ms": request["ttl_ms"], "parts": rows})


class LeaveHandler(LogHandler):
    """Removes a member from a group."""

    def post(self):
        request = json.loads(self.request.body)
        self.service.groups.leave(request["group"], request["member"])
        self.finish({})


class OwnersHandler(LogHandler):
    """Returns the member that holds each partition of a group."""

    def get(self):
        member_by_partition = self.service.groups.holders(self.get_query_argument("group"))
        rows = [[topic, number, member, 0] for (topic, number), member in member_by_partition.items()]
        self.finish({"parts": rows})


@dataclass
class ReplicaRun:
    """One run of a request on a replica; times by the monotonic clock."""

    request_id: str
    replica_id: str
    path: str
    body: bytes
    deadline_ms: str
    last_event_id: str
    """Last event that the client has received, empty for a run from the beginning."""
    tenants: list = field(default_factory=list)
    """Values of the header that names the tenant."""
    credentials: list = field(default_factory=list)
    """Values of the header ``Authorization``."""
    versions: list = field(default_factory=list)
    """Weight version of each event sent."""
    completed: bool = False
    """Whether the replica finished the run, even if its response was lost."""
    crashed_replica: bool = False
    """Whether this run crashed its replica."""
    sender: str = ""
    """What the replica's ``find_sender`` returned for the request."""
    received_s: float = 0.0
    """When the request arrived; before ``started_s`` if the replica was unresponsive."""
    started_s: float = 0.0
    ended_s: float = 0.0


@dataclass
class ReplicaFaults:
    """Injected faults of one replica; a test changes them while daemons run."""

    refusing: bool = False
    """Requests get status 503 with the header that says that they have not run."""
    unresponsive: bool = False
    """All requests wait 30 s before they are handled."""
    break_after_events: int = -1
    """Number of events after which each stream's connection is closed; -1 for never."""
    lost_response_probability: float = 0.0
    """Probability that the connection is closed in place of a response, or of an event of a stream."""
    slowdown_factor: float = 1.0
    """Factor on the time of a request or event."""
    wrong_attempt_id: bool = False
    """Responses carry another attempt's identifier."""
    failure_status: int = 0
    """Status with which all runs fail; 0 for none."""


class FakeReplica:
    """HTTP server of one replica of a service.

    Paths that contain ``/stream`` get an event stream, other paths a plain response.

    Args:
        log: the log service, to which the replica writes its entry.
        replica_id: identifier of the replica.
        service: name of its service.
        zone: zone in its entry.
        slots: number of concurrent requests in its entry; it accepts four more.
        models: pairs of model and weight version that are loaded at the start.
        work_s: time of a plain request.
        event_s: time between events of a stream.
        cold_ms: remaining cold time in its entry, in milliseconds.
        started_unix_ms: start time in Unix milliseconds; with 0 it reports none; its identifier is used once.
    """

    def __init__(
        self,
        log,
        replica_id,
        service,
        *,
        zone="a",
        slots=8,
        models=(),
        work_s=0.01,
        event_s=0.01,
        cold_ms=0,
        started_unix_ms=0,
    ):
        self.log = log
        self.started_unix_ms = started_unix_ms
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version_by_model = dict(models)
        self.work_s = work_s
        self.event_s = event_s
        self.faults = ReplicaFaults()
        self.runs = []
        self.received_orders = []
        self.accepted_order_count = 0
        self.highest_fence = -1
        self.is_loading = False
        self.running_count = 0
        self.running = []
        """Runs that have begun and not ended."""
        self.draining = False
        self.cold_ms = cold_ms
        self.server = None
        self.address = ""
        self.beating = None
        self.crashes_on = lambda request: False
        """Returns whether a request crashes this replica while it runs."""
        self.crashes_on_load = lambda model, version: False
        """Returns whether the load of a version of a model crashes this replica."""
        self.work_s_of = lambda request: self.work_s
        """Returns the time of a plain request in seconds."""
        self.event_s_of = lambda request: self.event_s
        """Returns the time between two events of a stream in seconds."""
        self.find_sender = lambda request: ""
        """Returns who sent a request, if that is to be recorded; called when it arrives."""
        self.has_crashed = False
        self.on_crash = lambda replica: None
        """Called once when this replica has crashed."""

    def start(self, port=0):
        """Listen on a port, with 0 on a free one, write the entry and return the replica."""
        self.server = HTTPServer(Application([(".*", ReplicaHandler, {"replica": self})]))
        self.address = listen_on_loopback(self.server, port)
        self.write_entry()
        return self

    def write_entry(self):
        """Write this replica's entry, with its current state, to the list of replicas."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "models": [{"name": name, "version": version} for name, version in self.version_by_model.items()],
            "coldRemainingMs": self.cold_ms,
        }
        self.log.put("keyed.servers", self.replica_id, entry | self.start_time_field())

    def start_time_field(self):
        return {"born": self.started_unix_ms} if self.started_unix_ms else {}

    async def stop_without_drain(self):
        """Close all connections and remove the entry, without a drain."""
        self.server.stop()
        await self.server.close_all_connections()
        self.log.put("keyed.servers", self.replica_id, None)

    def crash(self):
        """Behave like a crashed process: the port is closed, all connections are reset, the entry stays."""
        if self.has_crashed:
            return
        self.has_crashed = True
        self.server.stop()
        for connection in list(self.server._connections):
            stream = connection.stream
            if not stream.closed():
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.close()
        self.on_crash(self)

    async def stop(self):
        self.server.stop()
        await self.server.close_all_connections()

    async def load(self, model, version):
        """Load a version; takes 0.1 s, in which the replica is busy for further orders."""
        self.is_loading = True
        await asyncio.sleep(0.1)
        if self.crashes_on_load(model, version):
            self.crash()
            return
        self.version_by_model[model] = version
        self.is_loading = False
        self.write_entry()


def event_data(item_id, number):
    """Return the text of an event; numbers begin with 1."""
    return f"{item_id}:{number}"


def event_count(item_id):
    """Return the number of events in an item's complete output; the same on every replica."""
    return 3 + sum(item_id.encode()) % 12


def complete_output(item_id):
    """Return an item's complete output."""
    return "\n".join(event_data(item_id, number) for number in range(1, event_count(item_id) + 1))


class ReplicaHandler(RequestHandler):
    """Handles requests, load orders (``/-/order``) and reports (``/-/report``) of a replica."""

    def initialize(self, replica):
        self.replica = replica
        self.client_has_gone = False
        self.received_s = time.monotonic()
        self.sender = replica.find_sender(self.request)

    def on_connection_close(self):
        self.client_has_gone = True

    async def prepare(self):
        if self.replica.faults.unresponsive:
            await asyncio.sleep(30)

    async def get(self):
        if self.request.path == "/-/report":
            models = [
                {"name": name, "version": version} for name, version in self.replica.version_by_model.items()
            ]
            report = {
                "seq": self.replica.accepted_order_count,
                "busy": self.replica.is_loading,
                "models": models,
            }
            self.finish(report | self.replica.start_time_field())
            return
        await self.post()

    async def post(self):
        if self.request.path == "/-/order":
            self.accept_order()
            return
        replica, headers = self.replica, self.request.headers
        expected = headers.get("X-Expect-Replica")
        if expected not in (None, replica.replica_id):
            self.set_status(421)
            self.finish()
            return
        if replica.faults.refusing or replica.running_count >= replica.slots + 4:
            self.set_status(503)
            self.set_header("X-Not-Executed", "1")
            self.finish()
            return
        replica.running_count += 1
        try:
            await self.run_request()
        finally:
            replica.running_count -= 1

    async def run_request(self):
        """Record the run, from its beginning to its end, and respond."""
        replica, headers = self.replica, self.request.headers
        request_id = headers.get("X-Attempt-Id", "")
        run = ReplicaRun(
            request_id=request_id,
            replica_id=replica.replica_id,
            path=self.request.uri,
            body=self.request.body,
            deadline_ms=headers.get("X-Deadline-Ms", ""),
            last_event_id=headers.get("Last-Event-Id", ""),
            tenants=headers.get_list("X-Tenant"),
            credentials=headers.get_list("Authorization"),
            sender=self.sender,
            received_s=self.received_s,
            started_s=time.monotonic(),
        )
        replica.runs.append(run)
        replica.running.append(run)
        try:
            await self.respond(run)
        finally:
            replica.running.remove(run)

    async def respond(self, run):
        """Respond to a request as the replica's faults say."""
        replica, request_id = self.replica, run.request_id
        self.set_header("X-Attempt-Id", "0" if replica.faults.wrong_attempt_id else request_id)
        self.set_header("X-Replica-Stamp", f"{replica.replica_id}.{request_id}")
        if replica.faults.failure_status:
            self.set_status(replica.faults.failure_status)
            self.finish()
            return
        if replica.crashes_on(self.request):
            await asyncio.sleep(replica.work_s)
            if not self.client_has_gone:
                run.crashed_replica, run.ended_s = True, time.monotonic()
                replica.crash()
            return
        if "/stream" in self.request.path:
            await self.send_events(run)
            return
        await asyncio.sleep(replica.work_s_of(self.request) * replica.faults.slowdown_factor)
        run.completed, run.ended_s = True, time.monotonic()
        if random.random() < replica.faults.lost_response_probability:
            self.close_connection()
            return
        self.finish(b"answer of " + request_id.encode() + b" " + self.request.body)

    def close_connection(self):
        self.request.connection.stream.close()

    async def send_events(self, run):
        """Send the events after ``Last-Event-Id``; a new weight version is announced before its event."""
        replica = self.replica
        model = self.request.headers.get("X-Model", "")
        announced_version = None
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("X-Weight-Versions", str(replica.version_by_model.get(model, 1)))
        first_number = int(run.last_event_id or 0) + 1
        for sent_count, number in enumerate(range(first_number, event_count(run.request_id) + 1)):
            await asyncio.sleep(replica.event_s_of(self.request) * replica.faults.slowdown_factor)
            if self.client_has_gone:
                return
            if (
                sent_count == replica.faults.break_after_events
                or random.random() < replica.faults.lost_response_probability
            ):
                self.close_connection()
                return
            lines = [f"id: {number}"]
            if replica.version_by_model.get(model, 1) != announced_version:
                announced_version = replica.version_by_model.get(model, 1)
                lines.insert(0, f"x-weight-versions: {announced_version}")
            run.versions.append(announced_version)
            lines.append(f"data: {event_data(run.request_id, number)}")
            self.write("\n".join(lines) + "\n\n")
            with contextlib.suppress(Exception):
                await self.flush()
        run.completed, run.ended_s = True, time.monotonic()
        self.finish()

    def accept_order(self):
        """Start a load in the background, status 202; other orders have no effect but to raise the fence.

        Status 412 for an outdated fence, 409 while a load runs or if ``expected`` is not the number of
        accepted orders, and 200 if the version is loaded already.
        """
        replica, order = self.replica, json.loads(self.request.body)
        replica.received_orders.append(order)
        if order["fence"] < replica.highest_fence:
            status = 412
        elif (
            replica.is_loading
            or order.get("expected", replica.accepted_order_count) != replica.accepted_order_count
        ):
            status = 409
        elif replica.version_by_model.get(order["model"]) == order["version"]:
            status = 200
        else:
            status = 202
            replica.accepted_order_count += 1
            asyncio.get_running_loop().create_task(replica.load(order["model"], order["version"]))
        replica.highest_fence = max(replica.highest_fence, order["fence"])
        self.set_status(status)
        self.finish()


def config_document(version, routes, services, tenants=()):
    """Return a configuration document; ``tenants`` maps names to their API keys."""
    return {
        "version": version,
        "routes": routes,
        "tenants": [{"name": name, "apiKeys": list(keys)} for name, keys in dict(tenants).items()],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 100} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def safe_route(service="app", **fields):
    """Return a route of repeatable plain requests, with changed or added fields."""
    return {
        "name": "safe",
        "host": "h.example",
        "pathPrefix": "/call/",
        "kind": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    } | fields


def batch_route(service="llm", **fields):
    """Return a route of jobs, with changed or added fields."""
    return {
        "name": "batch",
        "host": "h.example",
        "pathPrefix": "/stream/",
        "kind": "rollout",
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        "queueTtlS": 40.0,
        "resultDeadlineMs": 7500,
        "resumable": True,
    } | fields


def reward_id(item_id):
    """Return the identifier of an item's reward call."""
    return f"score-{item_id}"


def reward_call(item_id):
    """Return an item's reward call, whose path belongs to the route of :func:`safe_route`."""
    return {
        "id": reward_id(item_id),
        "host": "h.example",
        "path": f"/call/score/{item_id}",
        "body": base64.b64encode(f"score {item_id}".encode()).decode(),
    }


def item_body(item_id):
    """Return the body of the request that a replica receives for an item."""
    return f"body {item_id}".encode()


def job_body(item_ids, *, model="m", min_version=1, step=1, scored=False):
    """Return the body of a job; with ``scored``, each item has a reward call."""
    items = [
        {
            "id": item_id,
            "path": f"/stream/{item_id}",
            "headers": {"X-Model": model},
            "body": base64.b64encode(item_body(item_id)).decode(),
            "tokens": 10,
            "group": item_id[:2],
        }
        | ({"scorer": reward_call(item_id)} if scored else {})
        for item_id in item_ids
    ]
    document = {
        "step": step,
        "model": model,
        "minVersion": min_version,
        "desired": 1,
        "requests": items,
    }
    return json.dumps(document).encode()


def settings_text(
    daemon_id, log_address, caller_address, readiness_address, *, zone="a", grace_s=8, usage_address=""
):
    """Return a settings file of a daemon.

    Args:
        daemon_id: identifier of the daemon.
        log_address: address of the log service.
        caller_address: address for callers.
        readiness_address: address for readiness probes.
        zone: zone of the daemon.
        grace_s: time for a graceful shutdown.
        usage_address: address of the usage endpoint; with none, the daemon reports no usage.
    """
    cloud = f'cloud:\n  address: "{usage_address}"\n  duties: ["usage"]\n' if usage_address else ""
    return f"""
{cloud}node: "{daemon_id}"
role: "gateway"
zone: "{zone}"
listen:
  front: "{caller_address}"
  ready: "{readiness_address}"
bounds:
  graceS: {grace_s}
  leaseMs: 3000
  statusS: 120
platform:
  address: "{log_address}"
  form: "log"
unknown: true
"""
