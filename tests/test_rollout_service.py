"""From configuration to rollout managers: shared engines, roles by zone, targets."""

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
from tests.rollout_fleet import HollowFleet, HollowSettings

LIMIT_S = 60.0


class Configuration:
    """Stands in for the configuration service: objects without a log."""

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


class Rig:
    """One daemon's rollout service over six hollow engines in three zones."""

    def __init__(self):
        views = [
            ReplicaView(replica_id=f"e{index}", address=f"10.0.0.{index}:1", zone=f"z{index % 3}")
            for index in range(6)
        ]
        self.store = EmulatedWeightStore(StoreParameters())
        self.fleet = HollowFleet(views, self.store, HollowSettings())
        self.configuration = Configuration()
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

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.05)

    def settled(self, roles):
        progress = self.service.progress()
        return len(progress) == roles and all(item.settled for shared in progress.values() for item in shared)


def simulate(scenario):
    async def whole():
        rig = Rig()
        rig.leases.start()
        rig.configuration.put("Pool", "grade", selector="service=modelos", role="engine", model="m")
        rig.publish(1)
        rig.service.start()
        try:
            await scenario(rig)
        finally:
            await rig.service.close()
            await rig.leases.close()
            await rig.fleet.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(whole())
    finally:
        loop.close()


def test_pools_of_one_selector_share_one_role():
    async def scenario(rig):
        rig.configuration.put("Pool", "notes", selector="service = modelos", role="engine", model="other")
        await rig.until(lambda: len(rig.service.progress()) == 1)
        [progress] = rig.service.progress().values()
        assert [item.model for item in progress] == ["m", "other"]

    simulate(scenario)


def test_published_and_withdrawn_versions_reach_the_engines():
    async def scenario(rig):
        rig.publish(2)
        await rig.until(lambda: rig.fleet.count_on(2) == 6)
        rig.publish(2, withdrawn=True)
        await rig.until(lambda: rig.fleet.count_on(1) == 6)

    simulate(scenario)


def test_adapters_and_role_of_the_pool_reach_the_engines():
    async def scenario(rig):
        rollout = {"adapters": ["defects"], "engine_role": "decode"}
        rig.configuration.put(
            "Pool", "grade", selector="service=modelos", role="engine", model="m", rollout=rollout
        )
        await rig.until(
            lambda: all(
                engine.control.adapters == {"defects"} and engine.control.role == "decode"
                for engine in rig.fleet.engines.values()
            )
        )

    simulate(scenario)


def test_change_to_roles_by_zone_hands_the_engines_over():
    async def scenario(rig):
        await rig.until(lambda: rig.settled(roles=1))
        rig.configuration.put(
            "Pool", "grade", selector="service=modelos", role="engine", model="m", rollout={"by_zone": True}
        )
        await rig.until(lambda: rig.settled(roles=3))
        rig.publish(2)
        await rig.until(lambda: rig.fleet.count_on(2) == 6)
        assert rig.store.fetches == 1

    simulate(scenario)
