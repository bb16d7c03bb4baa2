"""Rollouts and plans over real sockets against the emulator's engines, machine list and weight store."""

import asyncio
import json
from random import Random

import msgspec
import pytest

from passgate.cli import main
from passgate.clients.curl import HttpClient
from passgate.clients.http_engine import HttpEngineClient
from passgate.clients.http_platform import HttpMachineList
from passgate.emulator.parameters import load_deployment
from passgate.emulator.standins_server import EmulatorServers
from passgate.errors import SupersededEpoch
from passgate.rollout.live_inputs import ServiceAddresses, read_plan_request
from passgate.rollout.manager import RolloutManager
from passgate.rollout.order_sender import OrderSender
from passgate.rollout.plan import PlatformRates, make_plan
from passgate.rollout.swap_modes import SWAP_MODES
from passgate.rollout.types import OrderOutcome, PlannedOrder, ReplicaView, RolloutSettings, RolloutTarget
from passgate.schema import MachineRole, OrderKind
from passgate.server.wire import ConfigList, ConfigObjectView

MODEL = "defect-notes"
LIMIT_S = 20.0


def fast_deployment():
    olhar = load_deployment("olhar")
    replace = msgspec.structs.replace
    engine = replace(olhar.engines.engine, swap_pause_s=0.01, report_interval_s=0.01, report_lag_s=0.01)
    models = tuple(replace(model, weight_bytes=1_000) for model in olhar.engines.models)
    return replace(
        olhar,
        engines=replace(olhar.engines, engine=engine, models=models),
        machine_list=replace(olhar.machine_list, lag_s=0.0),
        store=replace(olhar.store, first_byte_s=0.0),
    )


def run_over_sockets(scenario):
    async def run():
        standins = EmulatorServers(fast_deployment())
        http = HttpClient()
        try:
            await scenario(standins, http, await standins.start())
        finally:
            http.close()
            standins.close()

    asyncio.run(run())


class LeaseStub:
    """Lease service that holds every role under one epoch until it is released."""

    def __init__(self, epoch):
        self.epoch = epoch

    async def take(self, role, timeout_s):
        return self.epoch

    async def release(self, role):
        self.epoch = None

    def held_epoch(self, role):
        return self.epoch

    def should_take(self, role):
        return False


class PoolInputs:
    def __init__(self, views, version):
        self.views = views
        self.version = version

    def replicas(self):
        return self.views

    def targets(self):
        return [RolloutTarget(model=MODEL, version=self.version)]


async def engine_views(http, addresses):
    machines = await HttpMachineList(http, addresses.platform).machines()
    return [
        ReplicaView(replica_id=machine.machine_id, address=machine.address, zone=machine.zone)
        for machine in machines
        if machine.role is MachineRole.ENGINE
    ]


def test_manager_brings_all_engines_to_the_target_and_old_fences_are_refused():
    async def scenario(standins, http, addresses):
        standins.world.store.publish(MODEL, 2, 1_000)
        engine = HttpEngineClient(http)
        views = await engine_views(http, addresses)
        settings = RolloutSettings(report_lag_s=0.1)
        manager = RolloutManager("role", engine, LeaseStub(5), PoolInputs(views, 2), settings, Random(1))
        manager.start()
        async with asyncio.timeout(LIMIT_S):
            while not (manager.progress() and manager.progress()[0].settled):
                await asyncio.sleep(0.01)
        versions = {item.model.weights.active[MODEL] for item in standins.world.engines.values()}
        assert versions == {2} and standins.world.store.fetches == 1
        late_order = PlannedOrder(
            replica_id="late",
            address=views[0].address,
            kind=OrderKind.ACTIVATE_VERSION,
            model=MODEL,
            version=1,
        )
        with pytest.raises(SupersededEpoch) as caught:
            await OrderSender(engine, "role", 4, SWAP_MODES["swap_running"]).execute(late_order)
        assert caught.value.details["fence"] == "5"
        unreachable_order = msgspec.structs.replace(late_order, address="127.0.0.1:9")
        sender = OrderSender(engine, "role", 5, SWAP_MODES["swap_running"])
        assert await sender.execute(unreachable_order) is OrderOutcome.UNREACHABLE
        assert await sender.execute(late_order) is OrderOutcome.REFUSED, (
            "version 1 is no longer in the engine's memory"
        )
        await manager.stop(1.0)
        assert manager.state == "stopped"

    run_over_sockets(scenario)


class OperatorStub:
    """Operator client that returns fixed configuration objects."""

    def __init__(self, **objects):
        self.objects = objects

    def view(self, kind, name, spec):
        raw = msgspec.Raw(msgspec.json.encode(spec))
        return ConfigObjectView(kind=kind, name=name, revision=1, labels={}, spec=raw)

    async def get_object(self, kind, name):
        return self.view(kind, name, self.objects[kind][0])

    async def list_objects(self, kind):
        objects = tuple(self.view(kind, str(index), spec) for index, spec in enumerate(self.objects[kind]))
        return ConfigList(revision=1, objects=objects)


def test_plan_reads_replicas_versions_and_weight_size_from_a_running_service():
    async def scenario(standins, http, addresses):
        standins.world.store.publish(MODEL, 3, 4_000)
        operator = OperatorStub(
            Pool=[{"selector": "service=modelos", "role": "engine", "model": MODEL}],
            ModelVersion=[
                {"model": MODEL, "version": 3},
                {"model": MODEL, "version": 4, "withdrawn": True},
                {"model": "other", "version": 9},
            ],
        )
        service_addresses = ServiceAddresses(machine_list=addresses.platform, weight_store=addresses.platform)
        request = await read_plan_request(
            http, operator, service_addresses, "modelos", 0, RolloutSettings(), PlatformRates()
        )
        assert request.target == RolloutTarget(model=MODEL, version=3, withdrawn=frozenset({4}))
        assert set(request.version_by_replica.values()) == {1} and request.rates.weight_bytes == 4_000
        plan = make_plan(request)
        assert plan.finished and plan.replicas == 5
        assert plan.least_serving >= plan.replicas_to_keep

    run_over_sockets(scenario)


def test_plan_command_prints_the_plan_and_rejects_invalid_flags(capsys):
    main(["plan", "rollout", "--deployment", "olhar", "--json"])
    plan = json.loads(capsys.readouterr().out)
    assert plan["replicas"] == 5 and plan["store_copies"] == 1 and plan["finished"]
    main(["plan", "rollout", "--replicas", "30", "--best", "--store_copies", "2"])
    assert "all 30 replicas" in capsys.readouterr().out
    with pytest.raises(SystemExit) as caught:
        main(["plan", "rollout", "--replicas", "5", "--capacity_floor", "7"])
    assert caught.value.code == 2
