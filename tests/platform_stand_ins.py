"""Stand-ins over sockets for the users' platform: its log service and its replicas.

They speak what the platform's pages say and keep a record of every run, so that a
test can check from the outside what a daemon promised.
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

LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")
HEARTBEAT_S = 0.5
PARTS = 4


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records):
        offset = self.end
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


def unpack(body):
    records = []
    while body:
        (size,) = LENGTH.unpack(body[:4])
        records.append(body[4 : 4 + size])
        body = body[4 + size :]
    return records


def split_keyed(record):
    size = record[0]
    return record[1 : 1 + size].decode(), record[1 + size :]


@dataclass
class LogServiceFaults:
    """What goes wrong; a test changes it while daemons run."""

    refusing: bool = False
    throttling: bool = False
    silent: bool = False
    lost_appends: float = 0.0
    late_s: float = 0.0
    slow_s: float = 0.0


class LogService:
    """The platform's log service in memory."""

    def __init__(self):
        self.partitions = {}
        self.groups = LogGroups(time.monotonic)
        self.faults = LogServiceFaults()
        self.calls = 0
        self.random = random.Random(1)
        self.server = None
        self.address = ""

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Write a key of a keyed topic; an empty value drops it."""
        self.put_bytes(topic, key, json.dumps(value).encode() if value is not None else b"")

    def put_bytes(self, topic, key, data):
        """Write a key of a keyed topic as another writer may, with any bytes."""
        self.partition(topic).append([bytes([len(key)]) + key.encode() + data])

    def newest(self, topic):
        newest = {}
        partition = self.partition(topic)
        for index, record in enumerate(partition.records):
            key, value = split_keyed(record)
            newest[key] = (value, partition.first + index)
        return {key: pair for key, pair in newest.items() if pair[0]}

    def drop_history(self, topic):
        partition = self.partition(topic)
        partition.first, partition.records = partition.end, []

    def start(self, port=0):
        handlers = [
            ("/-/log-append", AppendHandler, {"service": self}),
            ("/-/log-read", ReadHandler, {"service": self}),
            ("/-/log-newest", NewestHandler, {"service": self}),
            ("/-/log-join", JoinHandler, {"service": self}),
            ("/-/log-leave", LeaveHandler, {"service": self}),
            ("/-/log-owners", MembersHandler, {"service": self}),
        ]
        self.server = HTTPServer(Application(handlers))
        self.address = listen(self.server, port)
        return self

    async def stop(self):
        self.server.stop()
        await self.server.close_all_connections()


def listen(server, port=0):
    server.listen(port, "127.0.0.1")
    (sock,) = server._sockets.values()
    return f"127.0.0.1:{sock.getsockname()[1]}"


class LogHandler(RequestHandler):
    def initialize(self, service):
        self.service = service

    async def prepare(self):
        self.service.calls += 1
        faults = self.service.faults
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        if faults.silent:
            await asyncio.sleep(30)
        if faults.refusing or faults.throttling:
            self.set_status(503 if faults.refusing else 429)
            self.finish()

    def place(self):
        return self.get_query_argument("topic"), int(self.get_query_argument("part"))


class AppendHandler(LogHandler):
    async def post(self):
        faults = self.service.faults
        partition = self.service.partition(*self.place())
        records = unpack(self.request.body)
        if faults.lost_appends and self.service.random.random() < faults.lost_appends:
            asyncio.get_running_loop().call_later(faults.late_s, partition.append, records)
            await asyncio.sleep(30)
        at = self.get_query_argument("at", None)
        if at is not None and int(at) != partition.end:
            self.set_status(412)
            self.finish({"end": partition.end})
            return
        offset = partition.append(records)
        self.finish({"offset": offset, "end": partition.end})


class ReadHandler(LogHandler):
    async def get(self):
        partition = self.service.partition(*self.place())
        start = int(self.get_query_argument("from"))
        wait_s = int(self.get_query_argument("waitMs", "0")) / 1000
        if start < partition.first:
            self.set_status(410)
            self.finish({"first": partition.first})
            return
        until = asyncio.get_running_loop().time() + wait_s
        while partition.end <= start and asyncio.get_running_loop().time() < until:
            with contextlib.suppress(TimeoutError):
                left_s = until - asyncio.get_running_loop().time()
                await asyncio.wait_for(partition.changed.wait(), max(left_s, 0.001))
        if start < partition.first:
            self.set_status(410)
            self.finish({"first": partition.first})
            return
        records = partition.records[start - partition.first :]
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        with contextlib.suppress(Exception):
            self.finish(HEAD.pack(partition.end, partition.first) + body)


class NewestHandler(LogHandler):
    def get(self):
        topic, part = self.place()
        rows = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.service.newest(topic).items())
        ]
        after = self.get_query_argument("afterRev", "")
        rows = [row for row in rows if row["key"] > after]
        end = self.service.partition(topic, part).end
        self.finish({"requests": rows[:500], "more": len(rows) > 500, "end": end})


class JoinHandler(LogHandler):
    def post(self):
        join = json.loads(self.request.body)
        partitions = [(topic, part) for topic in join["topics"] for part in range(PARTS)]
        share = self.service.groups.join(
            join["group"],
            join["member"],
            partitions,
            lifetime_s=join["ttl_ms"] / 1000,
            generation=join["generation"],
        )
        rows = [[topic, part, 0] for topic, part in share.partitions]
        self.finish({"generation": share.generation, "ttl_ms": join["ttl_ms"], "parts": rows})


class LeaveHandler(LogHandler):
    def post(self):
        leave = json.loads(self.request.body)
        self.service.groups.leave(leave["group"], leave["member"])
        self.finish({})


class MembersHandler(LogHandler):
    def get(self):
        owners = self.service.groups.owners(self.get_query_argument("group"))
        rows = [[topic, part, member, 0] for (topic, part), member in owners.items()]
        self.finish({"parts": rows})


@dataclass
class Run:
    """One run of a request at a replica."""

    request_id: str
    replica_id: str
    path: str
    body: bytes
    deadline_ms: str
    last_event_id: str
    tenants: list = field(default_factory=list)
    """Values of the header that names the tenant."""
    credentials: list = field(default_factory=list)
    versions: list = field(default_factory=list)
    whole: bool = False
    crashed: bool = False
    """Whether this run ended its replica."""
    began_s: float = 0.0
    ended_s: float = 0.0


@dataclass
class ReplicaFaults:
    """What goes wrong at one replica."""

    refusing: bool = False
    dark: bool = False
    break_after: int = -1
    """Events after which each stream breaks off; -1: never."""
    lost_answers: float = 0.0
    slow: float = 1.0
    wrong_id: bool = False
    failing: int = 0
    """Status with which runs fail; 0: they do not."""


class Replica:
    """One replica of a service; streams on ``/stream``-paths, plain answers elsewhere."""

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
        born=0,
    ):
        self.log = log
        self.born = born
        """Moment of its start in Unix milliseconds; with 0 it tells none, and identifiers are used once."""
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.versions = dict(models)
        self.work_s = work_s
        self.event_s = event_s
        self.faults = ReplicaFaults()
        self.runs = []
        self.orders = []
        self.orders_taken = 0
        self.fence = -1
        self.busy = False
        self.running = 0
        self.draining = False
        self.cold_ms = cold_ms
        self.server = None
        self.address = ""
        self.beating = None
        self.crash_on = lambda request: False
        """Whether a request ends this replica while it runs; the replica then is down until restarted."""
        self.crash_on_load = lambda model, version: False
        """Whether the load of a version ends this replica."""
        self.work_of = lambda request: self.work_s
        """Time that a plain request takes."""
        self.ended = False
        self.on_end = lambda replica: None
        """Called once when a request has ended this replica."""

    def start(self, port=0):
        self.server = HTTPServer(Application([(".*", ReplicaHandler, {"replica": self})]))
        self.address = listen(self.server, port)
        self.tell()
        return self

    def tell(self):
        """Write the entry of this replica to the log."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "models": [{"name": name, "version": version} for name, version in self.versions.items()],
            "coldRemainingMs": self.cold_ms,
        }
        self.log.put("keyed.servers", self.replica_id, entry | self.told_of_its_start())

    def told_of_its_start(self):
        return {"born": self.born} if self.born else {}

    async def crash(self):
        """End without a word; the entry goes."""
        self.server.stop()
        await self.server.close_all_connections()
        self.log.put("keyed.servers", self.replica_id, None)

    def end(self):
        """End as a process does that crashes: nothing listens any more, all connections are reset."""
        if self.ended:
            return
        self.ended = True
        self.server.stop()
        for connection in list(self.server._connections):
            stream = connection.stream
            if not stream.closed():
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.close()
        self.on_end(self)

    async def stop(self):
        self.server.stop()
        await self.server.close_all_connections()

    async def load(self, model, version):
        self.busy = True
        await asyncio.sleep(0.1)
        if self.crash_on_load(model, version):
            self.end()
            return
        self.versions[model] = version
        self.busy = False
        self.tell()


def event_data(item_id, number):
    return f"{item_id}:{number}"


def event_count(item_id):
    """Return how many events an item's whole output has; the same at every replica."""
    return 3 + sum(item_id.encode()) % 12


def whole_text(item_id):
    return "\n".join(event_data(item_id, number) for number in range(1, event_count(item_id) + 1))


class ReplicaHandler(RequestHandler):
    def initialize(self, replica):
        self.replica = replica
        self.left = False

    def on_connection_close(self):
        self.left = True

    async def prepare(self):
        if self.replica.faults.dark:
            await asyncio.sleep(30)

    async def get(self):
        if self.request.path == "/-/report":
            models = [{"name": name, "version": version} for name, version in self.replica.versions.items()]
            report = {"seq": self.replica.orders_taken, "busy": self.replica.busy, "models": models}
            self.finish(report | self.replica.told_of_its_start())
            return
        await self.post()

    async def post(self):
        if self.request.path == "/-/order":
            self.take_order()
            return
        replica, headers = self.replica, self.request.headers
        expected = headers.get("X-Expect-Replica")
        if expected not in (None, replica.replica_id):
            self.set_status(421)
            self.finish()
            return
        if replica.faults.refusing or replica.running >= replica.slots + 4:
            self.set_status(503)
            self.set_header("X-Not-Executed", "1")
            self.finish()
            return
        replica.running += 1
        try:
            await self.run()
        finally:
            replica.running -= 1

    async def run(self):
        replica, headers = self.replica, self.request.headers
        request_id = headers.get("X-Attempt-Id", "")
        run = Run(
            request_id=request_id,
            replica_id=replica.replica_id,
            path=self.request.uri,
            body=self.request.body,
            deadline_ms=headers.get("X-Deadline-Ms", ""),
            last_event_id=headers.get("Last-Event-Id", ""),
            tenants=headers.get_list("X-Tenant"),
            credentials=headers.get_list("Authorization"),
            began_s=time.monotonic(),
        )
        replica.runs.append(run)
        self.set_header("X-Attempt-Id", "0" if replica.faults.wrong_id else request_id)
        self.set_header("X-Replica-Stamp", f"{replica.replica_id}.{request_id}")
        if replica.faults.failing:
            self.set_status(replica.faults.failing)
            self.finish()
            return
        if replica.crash_on(self.request):
            await asyncio.sleep(replica.work_s)
            if not self.left:
                run.crashed, run.ended_s = True, time.monotonic()
                replica.end()
            return
        if "/stream" in self.request.path:
            await self.stream(run)
            return
        await asyncio.sleep(replica.work_of(self.request) * replica.faults.slow)
        run.whole, run.ended_s = True, time.monotonic()
        if random.random() < replica.faults.lost_answers:
            self.cut()
            return
        self.finish(b"answer of " + request_id.encode() + b" " + self.request.body)

    def cut(self):
        self.request.connection.stream.close()

    async def stream(self, run):
        replica = self.replica
        model = self.request.headers.get("X-Model", "")
        version = None
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("X-Weight-Versions", str(replica.versions.get(model, 1)))
        start = int(run.last_event_id or 0) + 1
        for sent, number in enumerate(range(start, event_count(run.request_id) + 1)):
            await asyncio.sleep(replica.event_s * replica.faults.slow)
            if self.left:
                return
            if sent == replica.faults.break_after or random.random() < replica.faults.lost_answers:
                self.cut()
                return
            lines = [f"id: {number}"]
            if replica.versions.get(model, 1) != version:
                version = replica.versions.get(model, 1)
                lines.insert(0, f"x-weight-versions: {version}")
            run.versions.append(version)
            lines.append(f"data: {event_data(run.request_id, number)}")
            self.write("\n".join(lines) + "\n\n")
            with contextlib.suppress(Exception):
                await self.flush()
        run.whole, run.ended_s = True, time.monotonic()
        self.finish()

    def take_order(self):
        replica, order = self.replica, json.loads(self.request.body)
        replica.orders.append(order)
        if order["fence"] < replica.fence:
            status = 412
        elif replica.busy or order.get("expected", replica.orders_taken) != replica.orders_taken:
            status = 409
        elif replica.versions.get(order["model"]) == order["version"]:
            status = 200
        else:
            status = 202
            replica.orders_taken += 1
            asyncio.get_running_loop().create_task(replica.load(order["model"], order["version"]))
        replica.fence = max(replica.fence, order["fence"])
        self.set_status(status)
        self.finish()


def config_document(version, routes, services, tenants=()):
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
    return f"score-{item_id}"


def scorer(item_id):
    """Return the reward call of an item; it goes by the safe route."""
    return {
        "id": reward_id(item_id),
        "host": "h.example",
        "path": f"/call/score/{item_id}",
        "body": base64.b64encode(f"score {item_id}".encode()).decode(),
    }


def item_body(item_id):
    """Return what a replica gets as the body of an item."""
    return f"body {item_id}".encode()


def job_body(item_ids, *, model="m", min_version=1, step=1, scored=False):
    items = [
        {
            "id": item_id,
            "path": f"/stream/{item_id}",
            "headers": {"X-Model": model},
            "body": base64.b64encode(item_body(item_id)).decode(),
            "tokens": 10,
            "group": item_id[:2],
        }
        | ({"scorer": scorer(item_id)} if scored else {})
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


def settings_text(daemon_id, log_address, front, ready, *, zone="a", grace_s=8, duties=""):
    cloud = f'cloud:\n  address: "{duties}"\n  duties: ["usage"]\n' if duties else ""
    return f"""
{cloud}node: "{daemon_id}"
role: "gateway"
zone: "{zone}"
listen:
  front: "{front}"
  ready: "{ready}"
bounds:
  graceS: {grace_s}
  leaseMs: 3000
  statusS: 120
platform:
  address: "{log_address}"
  form: "log"
unknown: true
"""
