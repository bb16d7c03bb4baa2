"""Fixtures for tests of complete daemons on a real event loop, with fakes of all external systems."""

import asyncio
import contextlib
import inspect
import logging
import random

import msgspec
import pytest
from hypothesis import strategies as st

from passgate import clock
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall
from passgate.errors import BackendRefused
from passgate.schema import (
    AppResponse,
    FinishReason,
    GenerateChunk,
    LoadReport,
    MachineInfo,
    MachineRole,
)

pytest_plugins = ["pytester", "tests.known_red"]


def pytest_configure():
    """Build Hypothesis's table of characters, which takes seconds where it is not cached on disk.

    The first test that draws a text would build it, and fail as its generation of inputs is slow.
    """
    st.text().validate()


ENGINE = MachineInfo(
    machine_id="e1", role=MachineRole.ENGINE, address="127.0.0.1:1", zone="z", labels={"kind": "engine"}
)
APP = MachineInfo(
    machine_id="a1", role=MachineRole.APP, address="127.0.0.1:2", zone="z", labels={"kind": "app"}
)


class FakeMachineList:
    def __init__(self):
        self.listed = [ENGINE, APP]

    async def machines(self):
        return self.listed


class FakeEngine:
    """Generates ``max_tokens`` tokens in two chunks."""

    def __init__(self):
        self.requests = []
        self.cancelled = []
        self.version = 3
        self.hold = None
        """Event for which the second chunk waits; None means that it doesn't wait."""
        self.failure = None
        """Error that requests raise."""

    async def generate(self, address, request):
        self.requests.append(request)
        if self.failure is not None:
            raise self.failure
        tokens = tuple(65 + index % 26 for index in range(request.max_tokens))
        start = len(request.resume_tokens)
        half = max(start, len(tokens) // 2)
        try:
            if half > start:
                yield self._chunk(request, start, tokens[start:half], None)
            if self.hold is not None:
                await self.hold.wait()
            yield self._chunk(request, half, tokens[half:], FinishReason.LENGTH)
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled.append(request.request_id)
            raise

    def _chunk(self, request, start, tokens, finish):
        return GenerateChunk(
            request_id=request.request_id,
            start=start,
            tokens=tokens,
            version=self.version,
            finish_reason=finish,
        )

    async def cancel(self, address, request_id):
        self.cancelled.append(request_id)

    async def load_report(self, address):
        return LoadReport(
            replica_id="e1",
            sequence=int(clock.monotonic_s() * 1000),
            running=0,
            waiting=0,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=100_000,
            tokens_per_s=1000.0,
        )

    async def cache_events(self, address, after_sequence):
        return ()

    async def order(self, address, order):
        raise BackendRefused("this engine accepts no orders")


class FakeApp:
    def __init__(self):
        self.requests = []
        self.hold = None
        self.failure = None

    async def load_report(self, address):
        return LoadReport(
            replica_id="a1",
            sequence=int(clock.monotonic_s() * 1000),
            running=0,
            waiting=0,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=0,
            tokens_per_s=0.0,
        )

    async def call(self, address, request):
        self.requests.append(request)
        if self.failure is not None:
            raise self.failure
        if self.hold is not None:
            await self.hold.wait()
        return AppResponse(
            request_id=request.request_id,
            status=207,
            body=b"verdict of " + request.body,
            content_type="text/x",
        )


class Answer(msgspec.Struct):
    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return msgspec.json.decode(self.body)

    @property
    def error(self):
        return self.json["error"]

    @property
    def events(self):
        return [line[6:] for line in self.body.decode().split("\n\n") if line.startswith("data: ")]


class Cluster:
    """Daemons that share a log and a network in memory, with clients for their ports."""

    def __init__(self):
        from passgate.peers.memory_transport import MemoryNetwork
        from passgate.state.memory_log import MemoryLog

        self.log = MemoryLog()
        self.network = MemoryNetwork(random=random.Random(1))
        self.machines = FakeMachineList()
        self.engine = FakeEngine()
        self.app = FakeApp()
        self.daemons = []
        self.http = HttpClient()
        self.log_clients = {}

    def client_of(self, name):
        """Return a daemon's log client, in which faults are set; may be called before the daemon starts."""
        from passgate.state.memory_log import MemoryLogClient

        return self.log_clients.setdefault(name, MemoryLogClient(self.log))

    async def start(self, name="d1", wait=True, **settings):
        """Start a daemon that joins the running ones; with ``wait``, wait until it is ready."""
        from passgate.server.components import ExternalClients
        from passgate.server.daemon import Daemon
        from passgate.settings import Settings, StopSettings

        settings.setdefault("stop", StopSettings(notice_s=0.0, leave_timeout_s=0.0))
        outside = ExternalClients(
            log=self.client_of(name),
            machine_list=self.machines,
            weight_store=None,
            engine=self.engine,
            app=self.app,
            transport=self.network.transport(f"10.0.0.{len(self.daemons) + 1}:7000", "z"),
        )
        running = [daemon for daemon in self.daemons if daemon.lifecycle.state != "stopped"]
        seeds = tuple(daemon.components.external.transport.address for daemon in running)
        daemon = Daemon(
            Settings(
                daemon_id=name,
                zone="z",
                log_address="127.0.0.1:1",
                machine_list_address="127.0.0.1:1",
                seeds=seeds,
                **settings,
            ),
            logging.getLogger("test"),
            random.Random(name),
            outside,
        )
        self.daemons.append(daemon)
        daemon.start()
        if wait:
            await self.until(lambda: daemon.context.is_ready())
            await self.until(lambda: daemon.components.directory.get("e1") is not None)
        return daemon

    async def configure(self, daemon):
        """Put an engine pool, an application pool and a model version through the operators' port."""
        objects = [
            (
                "Pool",
                "modelos",
                {"tier": "gold"},
                {"selector": "kind=engine", "role": "engine", "model": "m"},
            ),
            ("Pool", "linha", {"tier": "line"}, {"selector": "kind=app", "role": "app"}),
            ("ModelVersion", "m-3", {"stage": "good"}, {"model": "m", "version": 3}),
        ]
        for kind, name, labels, spec in objects:
            answer = await self.call(
                daemon.operator_address, "PUT", f"/v1/config/{kind}/{name}", {"labels": labels, "spec": spec}
            )
            assert answer.status == 200, answer.body

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    async def call(self, address, method, path, body=None, headers=None):
        data = body if isinstance(body, bytes) or body is None else msgspec.json.encode(body)
        call = HttpCall(
            method=method,
            url=f"http://{address}{path}",
            body=data if data is not None or method in ("GET", "DELETE") else b"",
            headers=headers or {},
        )
        answer = await self.http.fetch(call)
        return Answer(answer.status, dict(answer.headers.get_all()), answer.body)

    async def post(self, daemon, path, body=None, headers=None):
        return await self.call(daemon.caller_address, "POST", path, body, headers)

    async def get(self, daemon, path, headers=None):
        return await self.call(daemon.caller_address, "GET", path, headers=headers)

    async def raw(self, address, data, eof=False):
        """Send bytes on a new connection and return all that is received until the daemon closes it."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            await writer.drain()
            if eof:
                writer.write_eof()
        answer = b""
        with contextlib.suppress(ConnectionError):
            answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return answer

    async def close(self):
        for daemon in self.daemons:
            if daemon.lifecycle.state != "stopped":
                await daemon.close()
        self.http.close()


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a test that is a coroutine function on a new event loop."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    asyncio.run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True


@pytest.fixture
def run_cluster():
    """Return a function that runs a scenario, a coroutine function of a Cluster, on a new event loop."""

    def run(scenario):
        async def run_and_close():
            cluster = Cluster()
            try:
                await scenario(cluster)
            finally:
                await cluster.close()

        asyncio.run(run_and_close())

    return run
