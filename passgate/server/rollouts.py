"""Weight rollouts of this daemon: managers for each set of engines that pools share.

Pools with the same selector are served by the same engines, whose orders must
come under one fence, so they share one role and one manager, or one per zone when
a pool asks for it.
"""

from __future__ import annotations

import asyncio
from random import Random

import msgspec

from passgate.interfaces import EngineClient
from passgate.rollout.manager import RolloutManager
from passgate.rollout.types import ReplicaView, RolloutProgress, RolloutSettings, RolloutTarget
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.schema import MachineRole, MachineState
from passgate.selectors import Selector
from passgate.state.configuration import ConfigurationService, ConfigurationState, PoolSpec
from passgate.state.leases import LeaseService

ROLE_PREFIX = "rollout/"
ZONES_CHECK_S = 5.0
"""Engines may appear in new zones; roles by zone are looked at again after this time."""


class GroupKey(msgspec.Struct, frozen=True):
    """One set of engines under one role."""

    selector: str
    """In its plain form."""
    zone: str
    """Empty when one manager orders the engines of all zones."""

    @property
    def role(self) -> str:
        """Return the role whose holder orders these engines."""
        return ROLE_PREFIX + self.selector + (f"/{self.zone}" if self.zone else "")


class EngineGroup:
    """Engines behind pools of one selector; the source that a manager reads."""

    def __init__(self, key: GroupKey, configuration: ConfigurationState, directory: ReplicaDirectory) -> None:
        self._key = key
        self._configuration = configuration
        self._directory = directory
        self._any_pool = PoolSpec(selector=key.selector, role=MachineRole.ENGINE, model="any")
        self.pools: tuple[PoolSpec, ...] = ()

    def replicas(self) -> list[ReplicaView]:
        """Return the replicas under this role that are not leaving."""
        return [view for view in self._all_replicas() if self._key.zone in ("", view.zone)]

    def other_zones(self) -> list[ReplicaView]:
        """Return the replicas that other zones' managers lead."""
        return [view for view in self._all_replicas() if self._key.zone not in ("", view.zone)]

    def targets(self) -> list[RolloutTarget]:
        """Return the newest version that is not withdrawn of each model of the group."""
        by_model = {pool.model: pool for pool in self.pools}
        return [self._target(by_model[model]) for model in sorted(by_model)]

    def _all_replicas(self) -> list[ReplicaView]:
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

    def _target(self, pool: PoolSpec) -> RolloutTarget:
        versions = [
            item.spec for item in self._configuration.objects("ModelVersion") if item.spec.model == pool.model
        ]
        return RolloutTarget(
            model=pool.model,
            version=self._configuration.newest_version(pool.model),
            withdrawn=frozenset(spec.version for spec in versions if spec.withdrawn),
            adapters=pool.rollout.adapters,
            engine_role=pool.rollout.engine_role,
        )


class RolloutService:
    """Keeps the managers that configuration asks for."""

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
        self._managers: dict[GroupKey, RolloutManager] = {}
        self._groups: dict[GroupKey, EngineGroup] = {}
        self._in_force: dict[GroupKey, RolloutSettings] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._watching: asyncio.Task[None] | None = None
        self._running = False

    def start(self) -> None:
        """Begin to manage; call it once the configuration in force is known."""
        self._running = True
        self._configuration.subscribe(self._changed)
        self._changed(self._configuration.state)
        self._watching = asyncio.ensure_future(self._watch_zones())

    def progress(self) -> dict[str, list[RolloutProgress]]:
        """Return the progress of the groups that this daemon leads, by role without its prefix."""
        found = {
            key.role.removeprefix(ROLE_PREFIX): manager.progress() for key, manager in self._managers.items()
        }
        return {role: progress for role, progress in found.items() if progress}

    async def drain(self, timeout_s: float) -> None:
        """Let orders in flight end and hand all roles over."""
        self._stop_watching()
        await asyncio.gather(*(manager.stop(timeout_s) for manager in self._managers.values()))

    async def close(self) -> None:
        """Stop at once."""
        self._stop_watching()
        managers, self._managers = list(self._managers.values()), {}
        await asyncio.gather(*(manager.close() for manager in managers), *self._closing)

    def _stop_watching(self) -> None:
        self._running = False
        if self._watching is not None:
            self._watching.cancel()

    async def _watch_zones(self) -> None:
        while True:
            await asyncio.sleep(ZONES_CHECK_S)
            pools = _pools_by_selector(self._configuration.state).values()
            if any(pool.rollout.by_zone for shared in pools for pool in shared):
                self._changed(self._configuration.state)

    def _changed(self, state: ConfigurationState) -> None:
        if not self._running:
            return
        wanted: dict[GroupKey, tuple[PoolSpec, ...]] = {}
        for selector, pools in _pools_by_selector(state).items():
            wanted |= dict.fromkeys(self._keys(selector, pools), pools)
        for key in self._managers.keys() - wanted.keys():
            self._remove(key)
        for key, pools in wanted.items():
            self._update(key, pools)

    def _keys(self, selector: str, pools: tuple[PoolSpec, ...]) -> list[GroupKey]:
        if not any(pool.rollout.by_zone for pool in pools):
            return [GroupKey(selector, "")]
        group = EngineGroup(GroupKey(selector, ""), self._configuration.state, self._directory)
        return [GroupKey(selector, zone) for zone in sorted({view.zone for view in group.replicas()})]

    def _update(self, key: GroupKey, pools: tuple[PoolSpec, ...]) -> None:
        settings = self._settings_for(pools)
        if key in self._managers and self._in_force[key] != settings:
            self._remove(key)
        if key not in self._managers:
            self._add(key, settings)
        self._groups[key].pools = pools
        self._managers[key].notify()

    def _settings_for(self, pools: tuple[PoolSpec, ...]) -> RolloutSettings:
        """Return the settings with the strictest floors of the pools."""
        return msgspec.structs.replace(
            self._settings,
            capacity_floor=max(pool.rollout.capacity_floor for pool in pools),
            zone_capacity_floor=max(pool.rollout.zone_capacity_floor for pool in pools),
        )

    def _add(self, key: GroupKey, settings: RolloutSettings) -> None:
        group = EngineGroup(key, self._configuration.state, self._directory)
        manager = RolloutManager(
            key.role,
            self._engine,
            self._leases,
            group,
            settings,
            Random(self._random.random()),
            other_zones=group.other_zones if key.zone else None,
        )
        self._groups[key] = group
        self._managers[key] = manager
        self._in_force[key] = settings
        manager.start()

    def _remove(self, key: GroupKey) -> None:
        manager = self._managers.pop(key)
        del self._groups[key], self._in_force[key]
        task = asyncio.ensure_future(manager.stop(0.0))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _pools_by_selector(state: ConfigurationState) -> dict[str, tuple[PoolSpec, ...]]:
    """Return the engine pools of each selector, in the selector's plain form."""
    found: dict[str, tuple[PoolSpec, ...]] = {}
    for pool in state.objects("Pool"):
        assert isinstance(pool.spec, PoolSpec)
        if pool.spec.role is MachineRole.ENGINE:
            selector = str(Selector.parse(pool.spec.selector))
            found[selector] = (*found.get(selector, ()), pool.spec)
    return found
