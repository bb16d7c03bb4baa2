"""Emulated external systems of one deployment: network, log, machine list, weight store, engines, apps.

They must be created inside a running event loop, since they read its time:

>>> import asyncio
>>> from passgate.clock import new_virtual_loop
>>> from passgate.emulator.parameters import load_deployment
>>> async def sizes():
...     world = EmulatedWorld(load_deployment("olhar"), seed=1)
...     machines = await world.machine_list.machines()
...     world.close()
...     return len(world.engines), len(world.apps), len(machines)
>>> loop = new_virtual_loop()
>>> loop.run_until_complete(sizes())
(5, 3, 8)
>>> loop.close()
"""

from __future__ import annotations

from random import Random

from passgate.clock import monotonic_s
from passgate.emulator.app import EmulatedApp
from passgate.emulator.app_model import AppModel
from passgate.emulator.emulated_log import EmulatedLog, EmulatedLogClient
from passgate.emulator.engine import EmulatedEngine
from passgate.emulator.engine_model import EngineModel
from passgate.emulator.machine_list import EmulatedMachineList
from passgate.emulator.memory_clients import BackendRegistry, MemoryAppClient, MemoryEngineClient
from passgate.emulator.network import Network
from passgate.emulator.parameters import DeploymentParameters
from passgate.emulator.run_recorder import RunRecorder
from passgate.emulator.weight_store import EmulatedWeightStore
from passgate.schema import MachineInfo, MachineRole

SERVICE_LABEL = "service"
"""Label of a machine with the name of its service, for pool selectors."""
ZONE_LABEL = "zone"


class EmulatedWorld:
    """The external systems of a deployment; the same parameters and seed give the same random decisions.

    ``run_recorder`` records which requests ran on back ends; by default it is a new one.
    """

    def __init__(
        self, parameters: DeploymentParameters, seed: int, run_recorder: RunRecorder | None = None
    ) -> None:
        self.parameters = parameters
        self.seed = seed
        self.run_recorder = run_recorder if run_recorder is not None else RunRecorder()
        self.network = Network(parameters.network, self.random("network"))
        self.log = EmulatedLog(parameters.log)
        self.store = EmulatedWeightStore(parameters.store)
        self.machine_list = EmulatedMachineList(parameters.machine_list)
        self.registry = BackendRegistry()
        self.engines: dict[str, EmulatedEngine] = {}
        self.apps: dict[str, EmulatedApp] = {}
        for model in parameters.engines.models:
            self.store.publish(model.name, model.boot_version, model.weight_bytes)
        for index in range(parameters.engines.replicas):
            self._add_engine(index)
        for index in range(parameters.apps.replicas):
            self._add_app(index)

    def random(self, name: str) -> Random:
        """Return a random generator whose seed derives from this world's seed and a name."""
        return Random(f"{self.seed}/{name}")

    def engine_client(self, zone: str) -> MemoryEngineClient:
        """Return an engine client for a daemon in ``zone``."""
        return MemoryEngineClient(self.registry, self.network, zone)

    def app_client(self, zone: str) -> MemoryAppClient:
        """Return an app client for a daemon in ``zone``."""
        return MemoryAppClient(self.registry, self.network, zone)

    def log_client(self, zone: str, name: str = "") -> EmulatedLogClient:
        """Return a log client for a daemon in ``zone``; ``name`` derives the seed of its random faults."""
        return EmulatedLogClient(self.log, self.network, zone, self.random(f"log/{zone}/{name}"))

    def publish(self, model: str, version: int) -> None:
        """Add a version of a model to the weight store."""
        self.store.publish(model, version, self.parameters.model(model).weight_bytes)

    def engine_at(self, address: str) -> EmulatedEngine | None:
        """Return the engine at an address, from which another one can load weights, or None."""
        return self.registry.engines.get(address)

    async def wait_for_network(self, source_zone: str, target_zone: str) -> None:
        """Wait for a message's network delay; raises BackendUnreachable if a partition lasts too long."""
        await self.network.wait_for_delivery(source_zone, target_zone)

    def close(self) -> None:
        """Stop the timers and weight transfers of all engines and apps."""
        for engine in self.engines.values():
            engine.close()
        for app in self.apps.values():
            app.close()

    def _add_engine(self, index: int) -> None:
        group = self.parameters.engines
        machine = self._make_machine(MachineRole.ENGINE, group.name, index)
        model = EngineModel(
            machine.machine_id,
            group.engine,
            group.models,
            self.random(machine.machine_id),
            monotonic_s(),
            self.run_recorder,
        )
        engine = EmulatedEngine(model, machine.address, machine.zone, self)
        self.engines[machine.machine_id] = engine
        self.registry.add_engine(engine)
        self.machine_list.put_immediately(machine)

    def _add_app(self, index: int) -> None:
        group = self.parameters.apps
        machine = self._make_machine(MachineRole.APP, group.name, index)
        model = AppModel(
            machine.machine_id, group.app, self.random(machine.machine_id), monotonic_s(), self.run_recorder
        )
        app = EmulatedApp(model, machine.address, machine.zone)
        self.apps[machine.machine_id] = app
        self.registry.add_app(app)
        self.machine_list.put_immediately(machine)

    def _make_machine(self, role: MachineRole, service: str, index: int) -> MachineInfo:
        zones = self.parameters.zones
        zone_index = index % len(zones)
        network = 1 if role is MachineRole.ENGINE else 2
        return MachineInfo(
            machine_id=f"{service}-{index}",
            role=role,
            address=f"10.{zone_index}.{network}.{index + 1}:8000",
            zone=zones[zone_index],
            labels={SERVICE_LABEL: service, ZONE_LABEL: zones[zone_index]},
        )
