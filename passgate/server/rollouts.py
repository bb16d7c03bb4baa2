"""Creates the managers that roll out weights on this daemon, one for each group of engines.

Pools with the same selector are served by the same engines.  As the orders to an engine must all carry the
fence of one lease, these pools share one lease role and one manager, or one of each per zone if a pool is
configured so.
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

ROLLOUT_ROLE_PREFIX = "rollout/"
ZONE_CHECK_INTERVAL_S = 5.0
"""How often managers by zone are updated, as engines may appear in new zones."""


class EngineGroupKey(msgspec.Struct, frozen=True):
    """Identifies a group of engines that one manager orders."""

    selector: str
    """Label selector of the engines, in normal form."""
    zone: str
    """Zone of the engines; empty for the engines of all zones."""

    @property
    def role(self) -> str:
        """Return the lease role whose holder orders these engines."""
        return ROLLOUT_ROLE_PREFIX + self.selector + (f"/{self.zone}" if self.zone else "")


class EngineGroup:
    """Provides a rollout manager with the replicas and target versions of its group."""

    def __init__(
        self, key: EngineGroupKey, configuration: ConfigurationState, directory: ReplicaDirectory
    ) -> None:
        self._key = key
        self._configuration = configuration
        self._directory = directory
        self._selecting_pool = PoolSpec(selector=key.selector, role=MachineRole.ENGINE, model="any")
        """Selects the engines in the directory, whatever models the pools serve."""
        self.pools: tuple[PoolSpec, ...] = ()
        """Pools of the group, set by the service; the targets are those of their models."""

    def replicas(self) -> list[ReplicaView]:
        """Return the live replicas of the group."""
        return [view for view in self._list_live_replicas() if self._key.zone in ("", view.zone)]

    def list_replicas_of_other_zones(self) -> list[ReplicaView]:
        """Return the live replicas of the same selector in other zones; empty for a group of all zones."""
        return [view for view in self._list_live_replicas() if self._key.zone not in ("", view.zone)]

    def targets(self) -> list[RolloutTarget]:
        """Return for each model of the group its newest version that is not withdrawn."""
        pool_by_model = {pool.model: pool for pool in self.pools}
        return [self._make_target(pool_by_model[model]) for model in sorted(pool_by_model)]

    def _list_live_replicas(self) -> list[ReplicaView]:
        return [
            ReplicaView(
                replica_id=replica.replica_id,
                address=replica.address,
                zone=replica.zone,
                generation=replica.generation,
            )
            for replica in self._directory.replicas(self._selecting_pool)
            if replica.state is MachineState.LIVE
        ]

    def _make_target(self, pool: PoolSpec) -> RolloutTarget:
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
    """Starts, updates and stops rollout managers as the configuration changes."""

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
        self._manager_by_key: dict[EngineGroupKey, RolloutManager] = {}
        self._group_by_key: dict[EngineGroupKey, EngineGroup] = {}
        self._settings_by_key: dict[EngineGroupKey, RolloutSettings] = {}
        self._stopping_tasks: set[asyncio.Task[None]] = set()
        self._zone_check_task: asyncio.Task[None] | None = None
        self._is_running = False

    def start(self) -> None:
        """Start the managers; to be called once the active configuration is known."""
        self._is_running = True
        self._configuration.subscribe(self._update_managers)
        self._update_managers(self._configuration.state)
        self._zone_check_task = asyncio.ensure_future(self._check_zones_periodically())

    def progress(self) -> dict[str, list[RolloutProgress]]:
        """Return the progress of the groups that this daemon leads, by lease role without its prefix."""
        progress_by_role = {
            key.role.removeprefix(ROLLOUT_ROLE_PREFIX): manager.progress()
            for key, manager in self._manager_by_key.items()
        }
        return {role: progress for role, progress in progress_by_role.items() if progress}

    async def drain(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` for orders in flight, then release all leases."""
        self._stop_updating()
        await asyncio.gather(*(manager.stop(timeout_s) for manager in self._manager_by_key.values()))

    async def close(self) -> None:
        """Stop all managers at once."""
        self._stop_updating()
        managers, self._manager_by_key = list(self._manager_by_key.values()), {}
        await asyncio.gather(*(manager.close() for manager in managers), *self._stopping_tasks)

    def _stop_updating(self) -> None:
        self._is_running = False
        if self._zone_check_task is not None:
            self._zone_check_task.cancel()

    async def _check_zones_periodically(self) -> None:
        while True:
            await asyncio.sleep(ZONE_CHECK_INTERVAL_S)
            pools = _group_pools_by_selector(self._configuration.state).values()
            if any(pool.rollout.by_zone for group_pools in pools for pool in group_pools):
                self._update_managers(self._configuration.state)

    def _update_managers(self, state: ConfigurationState) -> None:
        """Start, update and stop managers so that there is one for each group of the configuration."""
        if not self._is_running:
            return
        pools_by_key: dict[EngineGroupKey, tuple[PoolSpec, ...]] = {}
        for selector, pools in _group_pools_by_selector(state).items():
            pools_by_key |= dict.fromkeys(self._make_keys(selector, pools), pools)
        for key in self._manager_by_key.keys() - pools_by_key.keys():
            self._stop_manager(key)
        for key, pools in pools_by_key.items():
            self._update_manager(key, pools)

    def _make_keys(self, selector: str, pools: tuple[PoolSpec, ...]) -> list[EngineGroupKey]:
        """Return one key, or one per zone of the live engines if a pool of the selector is by zone."""
        if not any(pool.rollout.by_zone for pool in pools):
            return [EngineGroupKey(selector, "")]
        group = EngineGroup(EngineGroupKey(selector, ""), self._configuration.state, self._directory)
        return [EngineGroupKey(selector, zone) for zone in sorted({view.zone for view in group.replicas()})]

    def _update_manager(self, key: EngineGroupKey, pools: tuple[PoolSpec, ...]) -> None:
        """Notify the manager of its pools; starts it first, or replaces it when its settings differ."""
        settings = self._settings_for(pools)
        if key in self._manager_by_key and self._settings_by_key[key] != settings:
            self._stop_manager(key)
        if key not in self._manager_by_key:
            self._start_manager(key, settings)
        self._group_by_key[key].pools = pools
        self._manager_by_key[key].notify()

    def _settings_for(self, pools: tuple[PoolSpec, ...]) -> RolloutSettings:
        """Return the settings with the highest capacity floors of the pools."""
        return msgspec.structs.replace(
            self._settings,
            capacity_floor=max(pool.rollout.capacity_floor for pool in pools),
            zone_capacity_floor=max(pool.rollout.zone_capacity_floor for pool in pools),
        )

    def _start_manager(self, key: EngineGroupKey, settings: RolloutSettings) -> None:
        group = EngineGroup(key, self._configuration.state, self._directory)
        manager = RolloutManager(
            key.role,
            self._engine,
            self._leases,
            group,
            settings,
            Random(self._random.random()),
            other_zones=group.list_replicas_of_other_zones if key.zone else None,
        )
        self._group_by_key[key] = group
        self._manager_by_key[key] = manager
        self._settings_by_key[key] = settings
        manager.start()

    def _stop_manager(self, key: EngineGroupKey) -> None:
        manager = self._manager_by_key.pop(key)
        del self._group_by_key[key], self._settings_by_key[key]
        task = asyncio.ensure_future(manager.stop(0.0))
        self._stopping_tasks.add(task)
        task.add_done_callback(self._stopping_tasks.discard)


def _group_pools_by_selector(state: ConfigurationState) -> dict[str, tuple[PoolSpec, ...]]:
    """Return the engine pools by selector, in the selector's normal form."""
    pools_by_selector: dict[str, tuple[PoolSpec, ...]] = {}
    for pool in state.objects("Pool"):
        assert isinstance(pool.spec, PoolSpec)
        if pool.spec.role is MachineRole.ENGINE:
            selector = str(Selector.parse(pool.spec.selector))
            pools_by_selector[selector] = (*pools_by_selector.get(selector, ()), pool.spec)
    return pools_by_selector
