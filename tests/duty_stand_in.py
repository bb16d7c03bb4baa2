"""Stub of the platform's usage endpoint that records violations of its contract."""

import asyncio
import json
import random
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from tests.fake_platform import listen_on_loopback


@dataclass
class DutyFaults:
    """Injected faults; a test changes them while daemons run."""

    silent: float = 0.0
    """Share of calls that get no answer and are executed up to three seconds later."""
    busy: bool = False
    slow_s: float = 0.0


class DutyEndpoint:
    """Accepts usage reports by rising fencing tokens and records breaches."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.faults = DutyFaults()
        self.fence = -1
        self.holders = {}
        self.reports = {}
        self.breaches = []
        self.server = None
        self.address = ""

    def start(self):
        self.server = HTTPServer(Application([("/usage", UsageHandler, {"endpoint": self})]))
        self.address = listen_on_loopback(self.server)
        return self

    def handle_call(self, holder, fence, report):
        """Execute a call and return its HTTP status."""
        if self.holders.setdefault(fence, holder) != holder:
            self.breaches.append(f"fence {fence} was used by {holder} and {self.holders[fence]}")
        if fence < self.fence:
            return 409
        self.fence = fence
        window, counts = report["window"], report["counts"]
        if self.reports.setdefault(window, counts) != counts:
            self.breaches.append(f"window {window} was reported as {self.reports[window]} and {counts}")
        return 200

    async def stop(self):
        self.server.stop()
        await self.server.close_all_connections()


class UsageHandler(RequestHandler):
    def initialize(self, endpoint):
        self.endpoint = endpoint

    async def post(self):
        endpoint, faults = self.endpoint, self.endpoint.faults
        call = (
            self.request.headers["X-Duty-Holder"],
            int(self.request.headers["X-Fence-Token"]),
            json.loads(self.request.body),
        )
        await asyncio.sleep(faults.slow_s)
        if faults.busy:
            self.set_status(429)
        elif endpoint.random.random() < faults.silent:
            late_s = endpoint.random.uniform(0.0, 3.0)
            asyncio.get_running_loop().call_later(late_s, endpoint.handle_call, *call)
            await asyncio.sleep(10.0)
        else:
            self.set_status(endpoint.handle_call(*call))
        self.finish()
