"""Stand-in of one replica, run as a process of its own.

It follows the platform's pages: slots with a short queue, X-Expect-Replica, X-Not-Executed, event streams
with weight versions and Last-Event-Id, load orders with fence and ``expected``, and an entry in the store
that each heartbeat renews.  SIGKILL is a crash.  SIGTERM is a planned end: the entry says ``draining``, the
replica serves on for ``drain_s`` after the store has taken that, removes its entry and exits.

A path ``.../N/ID`` gets a stream of N events.  A path without a number gets a plain answer after ``work_ms``.
"""

import asyncio
import json
import signal
import struct
import sys
import time
import urllib.request

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

QUEUE_LENGTH = 16
RECORD_LENGTH = struct.Struct(">I")
HEARTBEAT_S = 1.2


class Replica:
    """State of the replica: its slots, its weights and the orders that it has taken."""

    def __init__(self, options):
        self.replica_id = options["id"]
        self.service = options["service"]
        self.zone = options["zone"]
        self.store = options["store"]
        self.slots = options["slots"]
        self.version_by_model = dict(options.get("models", {}))
        self.event_s = options.get("event_ms", 40) / 1000
        self.work_s = options.get("work_ms", 40) / 1000
        self.load_s = options.get("load_ms", 900) / 1000
        self.fences_checked = options.get("fences_checked", True)
        self.drain_s = options.get("drain_ms", 2000) / 1000
        self.record_file = open(options["record"], "a", buffering=1, encoding="utf-8")  # noqa: SIM115
        self.free_slots = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self.orders_taken = 0
        self.highest_fence = -1
        self.loading_model = ""
        self.draining = False
        self.heartbeat = 0
        self.address = ""

    def record(self, event, **fields):
        """Write a line of the record; times are of the clock that all processes of the machine share."""
        line = {"t": round(time.monotonic(), 3), "by": self.replica_id, "event": event} | fields
        self.record_file.write(json.dumps(line) + "\n")

    def models(self):
        """Return the models as the report and the entry show them."""
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.version_by_model.items()
        ]

    def entry(self):
        """Return the next entry for the store."""
        self.heartbeat += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "r1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "seq": self.heartbeat,
            "stage": "both",
            "models": self.models(),
        }

    async def write_entry(self, *, remove=False):
        """Write the entry to the store, or remove it; repeated until the store has taken it."""
        value = b"" if remove else json.dumps(self.entry()).encode()
        record = bytes([len(self.replica_id)]) + self.replica_id.encode() + value
        body = RECORD_LENGTH.pack(len(record)) + record
        url = f"http://{self.store}/-/log-append?topic=keyed.servers&part=0"
        while True:
            try:
                await asyncio.to_thread(_post, url, body)
                return
            except OSError:
                await asyncio.sleep(0.1)

    async def beat(self):
        """Renew the entry until cancelled."""
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def load(self, model, version):
        """Load a version of a model."""
        self.loading_model = model
        await asyncio.sleep(self.load_s)
        self.version_by_model[model] = version
        self.loading_model = ""
        self.record("loaded", model=model, version=version)
        await self.write_entry()


def _post(url, body):
    with urllib.request.urlopen(urllib.request.Request(url, data=body, method="POST"), timeout=2) as answer:
        answer.read()


class Handler(RequestHandler):
    """Handles requests, reports, orders and health checks."""

    def initialize(self, replica):
        """Set the replica; called by tornado."""
        self.replica = replica
        self.client_left = False

    def on_connection_close(self):
        """Record that the client has left."""
        self.client_left = True

    def refuse(self, status):
        """Answer that the request was not run."""
        self.set_status(status)
        self.set_header("X-Not-Executed", "1")
        self.finish()

    async def get(self):
        """Answer a report, a health check or a request."""
        replica = self.replica
        if self.request.path == "/-/report":
            self.finish(
                {
                    "stage": "both",
                    "models": replica.models(),
                    "busy": bool(replica.loading_model),
                    "seq": replica.orders_taken,
                    "queued": replica.waiting,
                    "running": replica.running,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "handles": 0,
                }
            )
            return
        if self.request.path == "/health":
            self.set_header("X-Replica-Id", replica.replica_id)
            self.set_status(503 if replica.draining else 200)
            self.finish()
            return
        await self.post()

    async def post(self):
        """Answer an order or a request."""
        replica, headers = self.replica, self.request.headers
        request_id = headers.get("X-Attempt-Id", "")
        self.set_header("X-Attempt-Id", request_id)
        self.set_header("X-Replica-Load", f"{replica.running},{replica.waiting},{replica.slots}")
        if headers.get("X-Expect-Replica", replica.replica_id) != replica.replica_id:
            self.refuse(421)
            return
        if self.request.path == "/-/order":
            self.take_order()
            return
        if not request_id:
            self.refuse(400)
            return
        if replica.waiting >= QUEUE_LENGTH or (
            replica.loading_model and headers.get("X-Model") == replica.loading_model
        ):
            replica.record("refused", id=request_id)
            self.refuse(503)
            return
        replica.waiting += 1
        try:
            await replica.free_slots.acquire()
        finally:
            replica.waiting -= 1
        replica.running += 1
        try:
            if not self.client_left:
                await self.run(request_id)
        finally:
            replica.running -= 1
            replica.free_slots.release()

    async def run(self, request_id):
        """Run a request and answer it."""
        replica, headers = self.replica, self.request.headers
        last = headers.get("Last-Event-Id", "")
        replica.record(
            "run", id=request_id, path=self.request.uri, last=last, deadline_ms=headers.get("X-Deadline-Ms")
        )
        self.set_header("X-Replica-Stamp", f"{replica.replica_id}.{request_id}")
        words = [word for word in self.request.path.split("/") if word]
        count = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
        if not count:
            await asyncio.sleep(replica.work_s)
            replica.record("done", id=request_id)
            self.finish(b"answer to " + request_id.encode())
            return
        await self.stream(request_id, int(last or 0), count, headers.get("X-Model", ""))

    async def stream(self, request_id, last, count, model):
        """Answer with the events after ``last``."""
        replica = self.replica
        version = replica.version_by_model.get(model, 1)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("X-Weight-Versions", str(version))
        made = []
        for number in range(last + 1, count + 1):
            await asyncio.sleep(replica.event_s)
            if self.client_left:
                replica.record("dropped", id=request_id, events=number - 1, versions=made)
                return
            lines = [f"id: {number}", f"data: {event_data(request_id, number)}"]
            if replica.version_by_model.get(model, 1) != version:
                version = replica.version_by_model.get(model, 1)
                lines.insert(0, f"x-weight-versions: {version}")
            if not made or made[-1] != version:
                made.append(version)
                replica.record("makes", id=request_id, event_number=number, version=version)
            self.write("\n".join(lines) + "\n\n")
            await self.flush()
        replica.record("done", id=request_id, versions=made)
        self.finish()

    def take_order(self):
        """Answer a load order, and begin the load if it is accepted."""
        replica, order = self.replica, json.loads(self.request.body)
        replica.record("order", order=order)
        if "holder" not in order or "fence" not in order or order.get("op") != "version":
            status = 400
        elif replica.fences_checked and order["fence"] < replica.highest_fence:
            status = 412
        elif replica.loading_model or order.get("expected", replica.orders_taken) != replica.orders_taken:
            status = 409
        elif replica.version_by_model.get(order["model"]) == order["version"]:
            status = 200
        else:
            status = 202
            replica.orders_taken += 1
            asyncio.get_running_loop().create_task(replica.load(order["model"], order["version"]))
        replica.highest_fence = max(replica.highest_fence, order.get("fence", -1))
        replica.record("order answered", order=order, status=status)
        self.set_status(status)
        self.finish()


def event_data(request_id, number):
    """Return the data of an event, the same at every replica."""
    return f"{request_id}.{number}"


async def main():
    """Run the replica until its planned end."""
    replica = Replica(json.loads(sys.argv[1]))
    server = HTTPServer(Application([(".*", Handler, {"replica": replica})]), idle_connection_timeout=30)
    server.listen(0, "127.0.0.1", backlog=512)
    (listening,) = server._sockets.values()
    replica.address = f"127.0.0.1:{listening.getsockname()[1]}"
    leaving = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaving.set)
    replica.record("started", address=replica.address, models=replica.version_by_model)
    beating = asyncio.get_running_loop().create_task(replica.beat())
    await leaving.wait()
    beating.cancel()
    replica.draining = True
    await replica.write_entry()
    replica.record("draining")
    await asyncio.sleep(replica.drain_s)
    await replica.write_entry(remove=True)
    replica.record("gone")


if __name__ == "__main__":
    asyncio.run(main())
