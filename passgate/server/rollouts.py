"""Weight rollouts of this daemon: one manager for each set of engines that pools share.

Pools with the same selector are served by the same engines, whose orders must
come under one fence, so they share one role and one manager.
"""

from __future__ import annotations

import asyncio
from random import Random

from passgate.interfaces import EngineClient
from passgate.rollout.manager import RolloutManager
from passgate.rollout.types import ReplicaView, RolloutProgress, RolloutSettings, RolloutTarget
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.schema import MachineRole, MachineState
from passgate.selectors import Selector
from passgate.state.configuration import ConfigurationService, ConfigurationState, PoolSpec
from passgate.state.leases import LeaseService

ROLE_PREFIX = "rollout/"


class EngineGroup:
    """Engines behind pools of one selector; the source that a manager reads."""

    def __init__(self, selector: str, configuration: ConfigurationState, directory: ReplicaDirectory) -> None:
        self._configuration = configuration
        self._directory = directory
        self._any_pool = PoolSpec(selector=selector, role=MachineRole.ENGINE, model="any")
        self.models: frozenset[str] = frozenset()

    def replicas(self) -> list[ReplicaView]:
        """Return the group's replicas that are not leaving."""
        return [
            ReplicaView(
                replica_id=replica.replica_id,
                address=replica.address,
                zone=replica.zone,
                generation=replica.generation,
            )
            for replica in self._directory.replicas(self._any_pool)
            if replica.state is MachineState.LIVE
        ]

    def targets(self) -> list[RolloutTarget]:
        """Return the newest version that is not withdrawn of each model of the group."""
        return [self._target(model) for model in sorted(self.models)]

    def _target(self, model: str) -> RolloutTarget:
        versions = [
            item.spec for item in self._configuration.objects("ModelVersion") if item.spec.model == model
        ]
        return RolloutTarget(
            model=model,
            version=self._configuration.newest_version(model),
            withdrawn=frozenset(spec.version for spec in versions if spec.withdrawn),
        )


class RolloutService:
    """Keeps one manager per group of engines, as configuration says."""

    def __init__(
        self,
        engine: EngineClient,
        leases: LeaseService,
        configuration: ConfigurationService,
        directory: ReplicaDirectory,
        random: Random,
        settings: RolloutSettings | None = None,
    ) -> None:
        self._engine = engine
        self._leases = leases
        self._configuration = configuration
        self._directory = directory
        self._random = random
        self._settings = settings or RolloutSettings()
        self._managers: dict[str, RolloutManager] = {}
        self._groups: dict[str, EngineGroup] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._running = False

    def start(self) -> None:
        """Begin to manage; call it once the configuration in force is known."""
        self._running = True
        self._configuration.subscribe(self._changed)
        self._changed(self._configuration.state)

    def progress(self) -> dict[str, list[RolloutProgress]]:
        """Return the progress of the groups that this daemon leads, by role."""
        found = {role: manager.progress() for role, manager in self._managers.items()}
        return {role: progress for role, progress in found.items() if progress}

    async def drain(self, timeout_s: float) -> None:
        """Let orders in flight end and hand all roles over."""
        self._running = False
        await asyncio.gather(*(manager.stop(timeout_s) for manager in self._managers.values()))

    async def close(self) -> None:
        """Stop at once."""
        self._running = False
        managers, self._managers = list(self._managers.values()), {}
        await asyncio.gather(*(manager.close() for manager in managers), *self._closing)

    def _changed(self, state: ConfigurationState) -> None:
        if not self._running:
            return
        wanted = _models_by_selector(state)
        for selector in wanted.keys() - self._managers.keys():
            self._add(selector)
        for selector in self._managers.keys() - wanted.keys():
            self._remove(selector)
        for selector, manager in self._managers.items():
            self._groups[selector].models = wanted[selector]
            manager.notify()

    def _add(self, selector: str) -> None:
        group = EngineGroup(selector, self._configuration.state, self._directory)
        role = ROLE_PREFIX + selector
        random = Random(self._random.random())
        manager = RolloutManager(role, self._engine, self._leases, group, self._settings, random)
        self._groups[selector] = group
        self._managers[selector] = manager
        manager.start()

    def _remove(self, selector: str) -> None:
        manager = self._managers.pop(selector)
        del self._groups[selector]
        task = asyncio.ensure_future(manager.stop(0.0))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _models_by_selector(state: ConfigurationState) -> dict[str, frozenset[str]]:
    """Return the models of the engine pools of each selector, in the selector's plain form."""
    found: dict[str, set[str]] = {}
    for pool in state.objects("Pool"):
        assert isinstance(pool.spec, PoolSpec)
        if pool.spec.role is MachineRole.ENGINE:
            found.setdefault(str(Selector.parse(pool.spec.selector)), set()).add(pool.spec.model)
    return {selector: frozenset(models) for selector, models in found.items()}
