"""Emulator servers of a complete deployment over sockets, with faults from the administration port."""

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import sys

import msgspec
import pytest

from passgate.clients.curl import HttpClient
from passgate.clients.http_app import HttpAppClient
from passgate.clients.http_engine import HttpEngineClient
from passgate.clients.http_log import HttpLogClient
from passgate.clients.http_platform import HttpMachineList, HttpWeightStore
from passgate.emulator.admin_client import EmulatorAdminClient
from passgate.emulator.admin_messages import EmulatorAddresses, FaultCommand, FaultKind
from passgate.emulator.admin_server import inject, read_state
from passgate.emulator.parameters import load_deployment
from passgate.emulator.standins_server import EmulatorServers
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    ExecutionStatus,
    IncompleteAnswer,
    LogUnavailable,
    OrderRefused,
    PassgateError,
    PlatformError,
)
from passgate.schema import (
    AppRequest,
    EngineOrder,
    GenerateRequest,
    MachineInfo,
    MachineRole,
    MachineState,
    OrderKind,
)

TIMEOUT_S = 10.0


def fast_deployment():
    """Return the deployment ``olhar`` with short times and small weights, so that tests are fast."""
    olhar = load_deployment("olhar")
    replace = msgspec.structs.replace
    engine = replace(olhar.engines.engine, step_base_s=0.001, swap_pause_s=0.001, restart_s=0.01)
    models = tuple(replace(model, weight_bytes=1_000) for model in olhar.engines.models)
    return replace(
        olhar,
        engines=replace(olhar.engines, engine=engine, models=models),
        apps=replace(
            olhar.apps,
            app=replace(olhar.apps.app, service_mean_s=0.001, report_interval_s=0.02, report_lag_s=0.02),
        ),
        machine_list=replace(olhar.machine_list, lag_s=0.0),
        store=replace(olhar.store, first_byte_s=0.0),
    )


class HttpClients:
    """Clients of all emulator servers, over sockets."""

    def __init__(self, standins, http, addresses):
        self.standins = standins
        self.http = http
        self.zone_platforms = addresses.zone_platforms
        self.engines = addresses.engines
        self.apps = addresses.apps
        self.engine = HttpEngineClient(http)
        self.app = HttpAppClient(http)
        self.log = HttpLogClient(http, addresses.logs["campina"])
        self.machines = HttpMachineList(http, addresses.platform)
        self.weights = HttpWeightStore(http, addresses.platform)
        self.admin = EmulatorAdminClient(http, addresses.admin)


class InProcessClients:
    """Clients of the same emulated systems without sockets, under the same names."""

    def __init__(self, standins):
        world = standins.world
        self.engines = {name: engine.address for name, engine in world.engines.items()}
        self.apps = {name: app.address for name, app in world.apps.items()}
        self.engine = world.engine_client("campina")
        self.app = world.app_client("campina")
        self.log = world.log_client("campina")
        self.machines = world.machine_list
        self.weights = world.store
        self.admin = self
        self.standins = standins

    async def inject(self, kind, target="", value=1.0):
        inject(self.standins, FaultCommand(kind=kind, target=target, value=value))

    async def state(self, prefix=""):
        return read_state(self.standins, prefix)


@contextlib.asynccontextmanager
async def running_deployment(kind="http"):
    """Run the emulator servers of a deployment and yield their clients of a kind."""
    standins = EmulatorServers(fast_deployment())
    http = HttpClient()
    try:
        addresses = await standins.start()
        yield HttpClients(standins, http, addresses) if kind == "http" else InProcessClients(standins)
    finally:
        http.close()
        standins.close()


with_both_kinds_of_clients = pytest.mark.parametrize("kind", ["http", "memory"])


def generate_request(request_id="r1", max_tokens=40):
    return GenerateRequest(
        request_id=request_id,
        caller="t",
        pool="p",
        model="defect-notes",
        prompt=tuple(range(100)),
        max_tokens=max_tokens,
    )


def app_request(request_id="a1"):
    return AppRequest(
        request_id=request_id,
        caller="s",
        pool="p",
        method="POST",
        path="/verdict",
        body=b"{}",
        repeatable=False,
    )


async def wait_until(check):
    """Repeat an asynchronous check until it returns true; raises TimeoutError."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0)


@with_both_kinds_of_clients
async def test_every_system_serves_requests(kind):
    async with running_deployment(kind) as clients:
        chunks = [c async for c in clients.engine.generate(clients.engines["modelos-0"], generate_request())]
        assert chunks[-1].finish_reason is not None
        assert {c.version for c in chunks} == {1}
        lengths = [len(c.tokens) for c in chunks]
        assert [c.start for c in chunks] == [sum(lengths[:index]) for index in range(len(chunks))]
        response = await clients.app.call(clients.apps["linha-1"], app_request())
        assert (response.request_id, response.status) == ("a1", 200)
        assert await clients.log.append("config", [b"x"], TIMEOUT_S) == 0
        assert (await clients.log.read("config", 0, 9, TIMEOUT_S)).entries[0].payload == b"x"
        assert {*clients.engines, *clients.apps} == {m.machine_id for m in await clients.machines.machines()}
        assert await clients.weights.size_bytes("defect-notes", 1) == 1_000
        state = await clients.admin.state()
        assert state.runs == {"a1": 1, "r1": 1}
        assert state.log.records == 1


@with_both_kinds_of_clients
async def test_stream_resumed_on_another_engine_gives_the_same_output(kind):
    async with running_deployment(kind) as clients:
        first, second = clients.engines["modelos-0"], clients.engines["modelos-1"]
        complete_output = [
            t async for c in clients.engine.generate(first, generate_request()) for t in c.tokens
        ]
        request = msgspec.structs.replace(generate_request(), resume_tokens=tuple(complete_output[:7]))
        chunks = [c async for c in clients.engine.generate(second, request)]
        assert chunks[0].start == 7
        assert complete_output[:7] + [t for c in chunks for t in c.tokens] == complete_output


async def test_machine_list_has_the_server_addresses_and_a_server_counts_its_tokens():
    async with running_deployment() as clients:
        machines = {m.machine_id: m.address for m in await clients.machines.machines()}
        assert machines == {**clients.engines, **clients.apps}
        chunks = [c async for c in clients.engine.generate(clients.engines["modelos-0"], generate_request())]
        state = await clients.admin.state()
        assert state.servers["modelos-0"].tokens == sum(len(c.tokens) for c in chunks)


@with_both_kinds_of_clients
async def test_crashed_engine_resets_streams_and_refuses_connections_until_its_restart(kind):
    async with running_deployment(kind) as clients:
        address = clients.engines["modelos-0"]
        stream = clients.engine.generate(address, generate_request(max_tokens=2000))
        await anext(stream)
        await clients.admin.inject(FaultKind.CRASH, "modelos-0", 0.05)
        with pytest.raises(PassgateError) as caught:
            async for _ in stream:
                pass
        assert caught.value.execution is ExecutionStatus.RAN
        with pytest.raises(BackendUnreachable) as caught:
            await clients.engine.load_report(address)
        assert caught.value.execution is ExecutionStatus.NOT_RUN

        async def has_restarted():
            try:
                return (await clients.engine.load_report(address)).replica_id == "modelos-0"
            except BackendUnreachable:
                return False

        await wait_until(has_restarted)


async def test_cut_stream_and_lost_response_never_appear_complete():
    async with running_deployment() as clients:
        await clients.admin.inject(FaultKind.CUT_STREAMS, "modelos-0")
        received = []
        with pytest.raises((BackendUnreachable, IncompleteAnswer)) as caught:
            async for chunk in clients.engine.generate(clients.engines["modelos-0"], generate_request("cut")):
                received.append(chunk)
        assert [chunk.finish_reason for chunk in received] == [None]
        assert caught.value.execution is ExecutionStatus.RAN
        await clients.admin.inject(FaultKind.LOSE_ANSWERS, "modelos-0")
        with pytest.raises(BackendUnreachable) as caught:
            await anext(clients.engine.generate(clients.engines["modelos-0"], generate_request("lost")))
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        state = await clients.admin.state()
        assert state.runs == state.servers["modelos-0"].received == {"cut": 1, "lost": 1}


@with_both_kinds_of_clients
async def test_closing_the_iterator_cancels_on_the_engine(kind):
    async with running_deployment(kind) as clients:
        stream = clients.engine.generate(clients.engines["modelos-0"], generate_request(max_tokens=2000))
        await anext(stream)
        await stream.aclose()
        counters = clients.standins.world.engines["modelos-0"].model.counters

        async def is_cancelled():
            return counters.cancelled == 1

        await wait_until(is_cancelled)


@with_both_kinds_of_clients
async def test_draining_engine_and_app_refuse_requests_and_run_none(kind):
    async with running_deployment(kind) as clients:
        await clients.admin.inject(FaultKind.DRAIN, "modelos-1")
        await clients.admin.inject(FaultKind.DRAIN, "linha-0")
        with pytest.raises(BackendRefused):
            await anext(clients.engine.generate(clients.engines["modelos-1"], generate_request()))
        with pytest.raises(BackendRefused) as caught:
            await clients.app.call(clients.apps["linha-0"], app_request())
        assert caught.value.details["reason"] == "draining"
        assert (await clients.admin.state()).runs == {}


@with_both_kinds_of_clients
async def test_app_reports_its_load_and_that_it_is_leaving(kind):
    async with running_deployment(kind) as clients:
        address = clients.apps["linha-0"]
        model = clients.standins.world.apps["linha-0"].model
        model.parameters = msgspec.structs.replace(model.parameters, service_mean_s=60.0, max_waiting=9)
        calls = [asyncio.create_task(clients.app.call(address, app_request(f"a{i}"))) for i in range(6)]

        async def shows_all_calls():
            report = await clients.app.load_report(address)
            assert (report.replica_id, report.outstanding_tokens, report.kv_capacity_tokens) == (
                "linha-0",
                0,
                0,
            )
            return (report.running, report.waiting, report.leaving) == (4, 2, False)

        async def reports_leaving():
            return (await clients.app.load_report(address)).leaving

        await wait_until(shows_all_calls)
        await clients.admin.inject(FaultKind.DRAIN, "linha-0")
        await wait_until(reports_leaving)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)


@with_both_kinds_of_clients
async def test_crashed_app_refuses_connections_until_its_restart(kind):
    async with running_deployment(kind) as clients:
        address = clients.apps["linha-0"]
        await clients.admin.inject(FaultKind.CRASH, "linha-0", 0.05)
        with pytest.raises(BackendUnreachable) as caught:
            await clients.app.load_report(address)
        assert caught.value.execution is ExecutionStatus.NOT_RUN

        async def has_restarted():
            try:
                return (await clients.app.load_report(address)).replica_id == "linha-0"
            except BackendUnreachable:
                return False

        await wait_until(has_restarted)


async def test_call_whose_response_is_lost_has_run_once():
    async with running_deployment() as clients:
        await clients.admin.inject(FaultKind.LOSE_ANSWERS, "linha-0", 1)
        with pytest.raises(BackendUnreachable) as caught:
            await clients.app.call(clients.apps["linha-0"], app_request())
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        state = await clients.admin.state("a")
        assert state.runs == {"a1": 1}
        assert state.servers["linha-0"].received == {"a1": 1}


@with_both_kinds_of_clients
async def test_log_is_unavailable_during_an_outage(kind):
    async with running_deployment(kind) as clients:
        await clients.admin.inject(FaultKind.LOG_DOWN)
        with pytest.raises(LogUnavailable):
            await clients.log.append("s", [b"x"], TIMEOUT_S)
        await clients.admin.inject(FaultKind.LOG_DOWN, value=0)
        assert await clients.log.append("s", [b"x"], TIMEOUT_S) == 0


async def test_zone_reaches_back_ends_through_its_emulated_network():
    async with running_deployment() as clients:
        platform = HttpMachineList(clients.http, clients.zone_platforms["campina"])
        zone_addresses = {m.machine_id: m.address for m in await platform.machines()}
        assert zone_addresses.keys() == {*clients.engines, *clients.apps}
        assert not set(zone_addresses.values()) & {*clients.engines.values(), *clients.apps.values()}
        await clients.admin.inject(FaultKind.ISOLATE, "campina")
        clients.standins.world.network.parameters = msgspec.structs.replace(
            clients.standins.world.network.parameters, connect_timeout_s=0.01
        )
        in_other_zone, in_same_zone = zone_addresses["modelos-0"], zone_addresses["modelos-1"]
        with pytest.raises(BackendRefused) as caught:
            await anext(clients.engine.generate(in_other_zone, generate_request("r0")))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        with pytest.raises(LogUnavailable):
            await clients.log.append("s", [b"x"], TIMEOUT_S)
        assert [c async for c in clients.engine.generate(in_same_zone, generate_request("r1"))]
        await clients.admin.inject(FaultKind.ISOLATE, "campina", 0)
        assert [c async for c in clients.engine.generate(in_other_zone, generate_request("r2"))]
        assert (await clients.admin.state()).runs == {"r1": 1, "r2": 1}
        await clients.admin.inject(FaultKind.CRASH, "modelos-0", 60)
        with pytest.raises(BackendUnreachable):
            await clients.engine.load_report(in_other_zone)


async def test_machines_register_and_are_marked_as_leaving():
    async with running_deployment() as clients:
        daemon = MachineInfo(machine_id="d/1", role=MachineRole.DAEMON, address="127.0.0.1:9", zone="campina")
        await clients.machines.register(daemon)
        await clients.machines.leave("d/1")
        await clients.admin.inject(FaultKind.LEAVE, "modelos-2")
        machines = {m.machine_id: m.state for m in await clients.machines.machines()}
        assert machines["d/1"] is machines["modelos-2"] is MachineState.LEAVING
        assert machines["modelos-1"] is MachineState.LIVE


async def test_weights_are_published_staged_from_a_peer_and_activated():
    async with running_deployment() as clients:
        await clients.weights.publish("defect-notes", 2, 1_000)
        first, second = clients.engines["modelos-0"], clients.engines["modelos-1"]

        async def execute(address, number, kind, source=""):
            """Send an order until it is done."""
            order = EngineOrder(
                order_id=f"{address}/{number}",
                kind=kind,
                fence=5,
                model="defect-notes",
                version=2,
                source=source,
            )

            async def is_done():
                return (await clients.engine.order(address, order)).done

            await wait_until(is_done)

        await execute(first, 1, OrderKind.STAGE_VERSION, "store")
        await execute(second, 1, OrderKind.STAGE_VERSION, first)
        await execute(second, 2, OrderKind.ACTIVATE_VERSION)
        chunks = [c async for c in clients.engine.generate(second, generate_request())]
        assert {c.version for c in chunks} == {2}
        outdated = EngineOrder(order_id="late", kind=OrderKind.DRAIN, fence=4)
        with pytest.raises(OrderRefused) as caught:
            await clients.engine.order(second, outdated)
        assert caught.value.details["reason"] == "old_fence"


async def test_platform_outage_and_unknown_fault_target_raise_platform_error():
    async with running_deployment() as clients:
        await clients.admin.inject(FaultKind.MACHINE_LIST_DOWN)
        await clients.admin.inject(FaultKind.STORE_DOWN)
        with pytest.raises(PlatformError):
            await clients.machines.machines()
        with pytest.raises(PlatformError):
            await clients.weights.size_bytes("defect-notes", 1)
        with pytest.raises(PlatformError):
            await clients.admin.inject(FaultKind.CRASH, "nobody")


def test_command_writes_its_addresses_and_stops_on_sigterm(tmp_path):
    path = tmp_path / "addresses.json"
    command = [sys.executable, "-m", "passgate.emulator.standins_server", "--deployment", "huon"]
    process = subprocess.Popen([*command, "--addresses-file", str(path)], stdout=subprocess.PIPE)
    try:
        line = process.stdout.readline()
        addresses = msgspec.json.decode(line, type=EmulatorAddresses)
        assert len(addresses.engines) == 6
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
        assert json.loads(path.read_text())["process_id"] == process.pid
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


async def test_port_of_a_crashed_server_stays_reserved():
    async with running_deployment() as clients:
        await clients.admin.inject(FaultKind.CRASH, "linha-0", 60.0)
        port = int(clients.apps["linha-0"].rpartition(":")[2])
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(("127.0.0.1", port))
