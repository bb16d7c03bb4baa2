"""A whole deployment's outside world over sockets, with faults from its administration port."""

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
from passgate.emulator.admin_client import StandInAdmin
from passgate.emulator.admin_messages import FaultCommand, FaultKind, StandInAddresses
from passgate.emulator.admin_server import inject, read_state
from passgate.emulator.parameters import load_deployment
from passgate.emulator.standins_server import StandIns
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

WAIT_S = 10.0


def fast_deployment():
    """Olhar with short steps and small weights, so that nothing here takes long."""
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


class HttpOutside:
    """Clients of all stand-ins over sockets."""

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
        self.admin = StandInAdmin(http, addresses.admin)


class MemoryOutside:
    """Clients of the same world without sockets, under the same names."""

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
async def outside(kind="http"):
    standins = StandIns(fast_deployment())
    http = HttpClient()
    try:
        addresses = await standins.start()
        yield HttpOutside(standins, http, addresses) if kind == "http" else MemoryOutside(standins)
    finally:
        http.close()
        standins.close()


both = pytest.mark.parametrize("kind", ["http", "memory"])


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


async def until(check):
    """Ask again and again, over sockets, until the answer is true."""
    async with asyncio.timeout(WAIT_S):
        while not await check():
            await asyncio.sleep(0)


@both
async def test_every_service_answers(kind):
    async with outside(kind) as out:
        chunks = [c async for c in out.engine.generate(out.engines["modelos-0"], generate_request())]
        assert chunks[-1].finish_reason is not None
        assert {c.version for c in chunks} == {1}
        lengths = [len(c.tokens) for c in chunks]
        assert [c.start for c in chunks] == [sum(lengths[:index]) for index in range(len(chunks))]
        response = await out.app.call(out.apps["linha-1"], app_request())
        assert (response.request_id, response.status) == ("a1", 200)
        assert await out.log.append("config", [b"x"], WAIT_S) == 0
        assert (await out.log.read("config", 0, 9, WAIT_S)).entries[0].payload == b"x"
        assert {*out.engines, *out.apps} == {m.machine_id for m in await out.machines.machines()}
        assert await out.weights.size_bytes("defect-notes", 1) == 1_000
        state = await out.admin.state()
        assert state.runs == {"a1": 1, "r1": 1}
        assert state.log.records == 1


@both
async def test_stream_resumed_on_another_engine_gives_the_same_output(kind):
    async with outside(kind) as out:
        first, second = out.engines["modelos-0"], out.engines["modelos-1"]
        whole = [t async for c in out.engine.generate(first, generate_request()) for t in c.tokens]
        request = msgspec.structs.replace(generate_request(), resume_tokens=tuple(whole[:7]))
        chunks = [c async for c in out.engine.generate(second, request)]
        assert chunks[0].start == 7
        assert whole[:7] + [t for c in chunks for t in c.tokens] == whole


async def test_machine_list_tells_the_real_addresses_and_the_server_counts_tokens():
    async with outside() as out:
        machines = {m.machine_id: m.address for m in await out.machines.machines()}
        assert machines == {**out.engines, **out.apps}
        chunks = [c async for c in out.engine.generate(out.engines["modelos-0"], generate_request())]
        state = await out.admin.state()
        assert state.servers["modelos-0"].tokens == sum(len(c.tokens) for c in chunks)


@both
async def test_crashed_engine_resets_streams_refuses_connections_and_comes_back(kind):
    async with outside(kind) as out:
        address = out.engines["modelos-0"]
        stream = out.engine.generate(address, generate_request(max_tokens=2000))
        await anext(stream)
        await out.admin.inject(FaultKind.CRASH, "modelos-0", 0.05)
        with pytest.raises(PassgateError) as caught:
            async for _ in stream:
                pass
        assert caught.value.execution is ExecutionStatus.RAN
        with pytest.raises(BackendUnreachable) as caught:
            await out.engine.load_report(address)
        assert caught.value.execution is ExecutionStatus.NOT_RUN

        async def is_back():
            try:
                return (await out.engine.load_report(address)).replica_id == "modelos-0"
            except BackendUnreachable:
                return False

        await until(is_back)


async def test_cut_stream_and_lost_answer_never_look_whole():
    async with outside() as out:
        await out.admin.inject(FaultKind.CUT_STREAMS, "modelos-0")
        seen = []
        with pytest.raises((BackendUnreachable, IncompleteAnswer)) as caught:
            async for chunk in out.engine.generate(out.engines["modelos-0"], generate_request("cut")):
                seen.append(chunk)
        assert [chunk.finish_reason for chunk in seen] == [None]
        assert caught.value.execution is ExecutionStatus.RAN
        await out.admin.inject(FaultKind.LOSE_ANSWERS, "modelos-0")
        with pytest.raises(BackendUnreachable) as caught:
            await anext(out.engine.generate(out.engines["modelos-0"], generate_request("lost")))
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        state = await out.admin.state()
        assert state.runs == state.servers["modelos-0"].received == {"cut": 1, "lost": 1}


@both
async def test_closing_the_iterator_cancels_on_the_engine(kind):
    async with outside(kind) as out:
        stream = out.engine.generate(out.engines["modelos-0"], generate_request(max_tokens=2000))
        await anext(stream)
        await stream.aclose()
        counters = out.standins.world.engines["modelos-0"].model.counters

        async def is_cancelled():
            return counters.cancelled == 1

        await until(is_cancelled)


@both
async def test_draining_engine_and_app_refuse_as_not_run_and_did_not_run(kind):
    async with outside(kind) as out:
        await out.admin.inject(FaultKind.DRAIN, "modelos-1")
        await out.admin.inject(FaultKind.DRAIN, "linha-0")
        with pytest.raises(BackendRefused):
            await anext(out.engine.generate(out.engines["modelos-1"], generate_request()))
        with pytest.raises(BackendRefused) as caught:
            await out.app.call(out.apps["linha-0"], app_request())
        assert caught.value.details["reason"] == "draining"
        assert (await out.admin.state()).runs == {}


@both
async def test_app_reports_its_load_and_its_own_leaving_word(kind):
    async with outside(kind) as out:
        address = out.apps["linha-0"]
        model = out.standins.world.apps["linha-0"].model
        model.parameters = msgspec.structs.replace(model.parameters, service_mean_s=60.0, max_waiting=9)
        calls = [asyncio.create_task(out.app.call(address, app_request(f"a{i}"))) for i in range(6)]

        async def is_seen():
            report = await out.app.load_report(address)
            assert (report.replica_id, report.outstanding_tokens, report.kv_capacity_tokens) == (
                "linha-0",
                0,
                0,
            )
            return (report.running, report.waiting, report.leaving) == (4, 2, False)

        async def is_leaving():
            return (await out.app.load_report(address)).leaving

        await until(is_seen)
        await out.admin.inject(FaultKind.DRAIN, "linha-0")
        await until(is_leaving)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)


@both
async def test_crashed_app_refuses_reports_and_comes_back(kind):
    async with outside(kind) as out:
        address = out.apps["linha-0"]
        await out.admin.inject(FaultKind.CRASH, "linha-0", 0.05)
        with pytest.raises(BackendUnreachable) as caught:
            await out.app.load_report(address)
        assert caught.value.execution is ExecutionStatus.NOT_RUN

        async def is_back():
            try:
                return (await out.app.load_report(address)).replica_id == "linha-0"
            except BackendUnreachable:
                return False

        await until(is_back)


async def test_lost_answer_of_an_app_ran_once():
    async with outside() as out:
        await out.admin.inject(FaultKind.LOSE_ANSWERS, "linha-0", 1)
        with pytest.raises(BackendUnreachable) as caught:
            await out.app.call(out.apps["linha-0"], app_request())
        assert caught.value.execution is ExecutionStatus.UNKNOWN
        state = await out.admin.state("a")
        assert state.runs == {"a1": 1}
        assert state.servers["linha-0"].received == {"a1": 1}


@both
async def test_log_outage_and_its_end(kind):
    async with outside(kind) as out:
        await out.admin.inject(FaultKind.LOG_DOWN)
        with pytest.raises(LogUnavailable):
            await out.log.append("s", [b"x"], WAIT_S)
        await out.admin.inject(FaultKind.LOG_DOWN, value=0)
        assert await out.log.append("s", [b"x"], WAIT_S) == 0


async def test_zone_reaches_back_ends_through_its_own_network():
    async with outside() as out:
        platform = HttpMachineList(out.http, out.zone_platforms["campina"])
        in_zone = {m.machine_id: m.address for m in await platform.machines()}
        assert in_zone.keys() == {*out.engines, *out.apps}
        assert not set(in_zone.values()) & {*out.engines.values(), *out.apps.values()}
        await out.admin.inject(FaultKind.ISOLATE, "campina")
        out.standins.world.network.parameters = msgspec.structs.replace(
            out.standins.world.network.parameters, connect_timeout_s=0.01
        )
        other_zone, own_zone = in_zone["modelos-0"], in_zone["modelos-1"]
        with pytest.raises(BackendRefused) as caught:
            await anext(out.engine.generate(other_zone, generate_request("r0")))
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        with pytest.raises(LogUnavailable):
            await out.log.append("s", [b"x"], WAIT_S)
        assert [c async for c in out.engine.generate(own_zone, generate_request("r1"))]
        await out.admin.inject(FaultKind.ISOLATE, "campina", 0)
        assert [c async for c in out.engine.generate(other_zone, generate_request("r2"))]
        assert (await out.admin.state()).runs == {"r1": 1, "r2": 1}
        await out.admin.inject(FaultKind.CRASH, "modelos-0", 60)
        with pytest.raises(BackendUnreachable):
            await out.engine.load_report(other_zone)


async def test_machines_register_leave_and_are_replaced():
    async with outside() as out:
        daemon = MachineInfo(machine_id="d/1", role=MachineRole.DAEMON, address="127.0.0.1:9", zone="campina")
        await out.machines.register(daemon)
        await out.machines.leave("d/1")
        await out.admin.inject(FaultKind.LEAVE, "modelos-2")
        machines = {m.machine_id: m.state for m in await out.machines.machines()}
        assert machines["d/1"] is machines["modelos-2"] is MachineState.LEAVING
        assert machines["modelos-1"] is MachineState.LIVE


async def test_weights_are_published_staged_from_a_peer_and_activated():
    async with outside() as out:
        await out.weights.publish("defect-notes", 2, 1_000)
        first, second = out.engines["modelos-0"], out.engines["modelos-1"]

        async def carry_out(address, number, kind, source=""):
            order = EngineOrder(
                order_id=f"{address}/{number}",
                kind=kind,
                fence=5,
                model="defect-notes",
                version=2,
                source=source,
            )

            async def is_done():
                return (await out.engine.order(address, order)).done

            await until(is_done)

        await carry_out(first, 1, OrderKind.STAGE_VERSION, "store")
        await carry_out(second, 1, OrderKind.STAGE_VERSION, first)
        await carry_out(second, 2, OrderKind.ACTIVATE_VERSION)
        chunks = [c async for c in out.engine.generate(second, generate_request())]
        assert {c.version for c in chunks} == {2}
        late = EngineOrder(order_id="late", kind=OrderKind.DRAIN, fence=4)
        with pytest.raises(OrderRefused) as caught:
            await out.engine.order(second, late)
        assert caught.value.details["reason"] == "old_fence"


async def test_platform_outage_is_typed():
    async with outside() as out:
        await out.admin.inject(FaultKind.MACHINE_LIST_DOWN)
        await out.admin.inject(FaultKind.STORE_DOWN)
        with pytest.raises(PlatformError):
            await out.machines.machines()
        with pytest.raises(PlatformError):
            await out.weights.size_bytes("defect-notes", 1)
        with pytest.raises(PlatformError):
            await out.admin.inject(FaultKind.CRASH, "nobody")


def test_command_writes_its_addresses_and_stops_on_sigterm(tmp_path):
    path = tmp_path / "addresses.json"
    command = [sys.executable, "-m", "passgate.emulator.standins_server", "--deployment", "huon"]
    process = subprocess.Popen([*command, "--addresses-file", str(path)], stdout=subprocess.PIPE)
    try:
        line = process.stdout.readline()
        addresses = msgspec.json.decode(line, type=StandInAddresses)
        assert len(addresses.engines) == 6
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
        assert json.loads(path.read_text())["process_id"] == process.pid
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


async def test_nothing_else_can_take_the_port_of_a_crashed_server():
    async with outside() as out:
        await out.admin.inject(FaultKind.CRASH, "linha-0", 60.0)
        port = int(out.apps["linha-0"].rpartition(":")[2])
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(("127.0.0.1", port))
