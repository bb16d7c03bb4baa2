"""RolloutService: configuration determines the managers, their roles and their targets."""

import asyncio
from random import Random

import msgspec

from passgate.clock import new_virtual_loop
from passgate.emulator.parameters import StoreParameters
from passgate.emulator.weight_store import EmulatedWeightStore
from passgate.records import ObjectPut, Record
from passgate.rollout.types import ReplicaView
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.schema import MachineInfo, MachineRole
from passgate.server.rollouts import RolloutService
from passgate.state.configuration_state import ConfigurationState
from passgate.state.leases import LeaseService
from passgate.state.memory_log import MemoryLog, MemoryLogClient
from tests.rollout_fleet import SimulatedFleet, SimulationSettings

LIMIT_S = 60.0


class ConfigurationStub:
    """Configuration service without a log."""

    def __init__(self):
        self.state = ConfigurationState()
        self.callbacks = []
        self.offset = 0

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def put(self, kind, name, **spec):
        body = ObjectPut(
            object_kind=kind,
            name=name,
            expected_revision=None,
            labels={},
            spec=msgspec.Raw(msgspec.json.encode(spec)),
        )
        self.state.apply(self.offset, Record(writer="w", sequence=self.offset + 1, epoch=0, body=body))
        self.offset += 1
        for callback in self.callbacks:
            callback(self.state)


class RolloutServiceFixture:
    """Rollout service of one daemon over six simulated engines in three zones."""

    def __init__(self):
        views = [
            ReplicaView(replica_id=f"e{index}", address=f"10.0.0.{index}:1", zone=f"z{index % 3}")
            for index in range(6)
        ]
        self.store = EmulatedWeightStore(StoreParameters())
        self.fleet = SimulatedFleet(views, self.store, SimulationSettings())
        self.configuration = ConfigurationStub()
        self.leases = LeaseService(MemoryLogClient(MemoryLog()), "d1", lambda: ["d1"], Random(1))
        directory = ReplicaDirectory()
        directory.apply_machines(
            [
                MachineInfo(
                    machine_id=view.replica_id,
                    role=MachineRole.ENGINE,
                    address=view.address,
                    zone=view.zone,
                    labels={"service": "modelos"},
                )
                for view in views
            ],
            0.0,
        )
        self.service = RolloutService(self.fleet, self.leases, self.configuration, directory, Random(2))

    def publish(self, version, **spec):
        self.store.publish("m", version, 2_000_000_000)
        self.configuration.put("ModelVersion", f"m-{version}", model="m", version=version, **spec)

    async def wait_until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.05)

    def is_settled(self, roles):
        progress = self.service.progress()
        return len(progress) == roles and all(item.settled for shared in progress.values() for item in shared)


def run_scenario(scenario):
    async def run():
        fixture = RolloutServiceFixture()
        fixture.leases.start()
        fixture.configuration.put("Pool", "grade", selector="service=modelos", role="engine", model="m")
        fixture.publish(1)
        fixture.service.start()
        try:
            await scenario(fixture)
        finally:
            await fixture.service.close()
            await fixture.leases.close()
            await fixture.fleet.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


def test_pools_of_one_selector_share_one_role():
    async def scenario(fixture):
        fixture.configuration.put("Pool", "notes", selector="service = modelos", role="engine", model="other")
        await fixture.wait_until(lambda: len(fixture.service.progress()) == 1)
        [progress] = fixture.service.progress().values()
        assert [item.model for item in progress] == ["m", "other"]

    run_scenario(scenario)


def test_published_and_withdrawn_versions_reach_the_engines():
    async def scenario(fixture):
        fixture.publish(2)
        await fixture.wait_until(lambda: fixture.fleet.count_on(2) == 6)
        fixture.publish(2, withdrawn=True)
        await fixture.wait_until(lambda: fixture.fleet.count_on(1) == 6)

    run_scenario(scenario)


def test_adapters_and_role_of_the_pool_reach_the_engines():
    async def scenario(fixture):
        rollout = {"adapters": ["defects"], "engine_role": "decode"}
        fixture.configuration.put(
            "Pool", "grade", selector="service=modelos", role="engine", model="m", rollout=rollout
        )
        await fixture.wait_until(
            lambda: all(
                engine.control.adapters == {"defects"} and engine.control.role == "decode"
                for engine in fixture.fleet.engine_by_address.values()
            )
        )

    run_scenario(scenario)


def test_change_to_roles_by_zone_moves_engines_to_new_managers():
    async def scenario(fixture):
        await fixture.wait_until(lambda: fixture.is_settled(roles=1))
        fixture.configuration.put(
            "Pool", "grade", selector="service=modelos", role="engine", model="m", rollout={"by_zone": True}
        )
        await fixture.wait_until(lambda: fixture.is_settled(roles=3))
        fixture.publish(2)
        await fixture.wait_until(lambda: fixture.fleet.count_on(2) == 6)
        assert fixture.store.fetches == 1

    run_scenario(scenario)
