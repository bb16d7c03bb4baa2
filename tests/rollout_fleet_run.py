"""Runs rollout managers and lease services against a simulated fleet of engines.

>>> from passgate.clock import new_virtual_loop
>>> async def publish_once():
...     run = SimulatedRollout(make_views(12, 3), managers=2)
...     run.start()
...     await run.wait_until_settled(timeout_s=60.0)
...     run.publish(2)
...     await run.wait_until_settled(timeout_s=60.0)
...     await run.close()
...     return run.fleet.count_on(2)
>>> loop = new_virtual_loop(); loop.run_until_complete(publish_once()); loop.close()
12
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from passgate.clock import monotonic_s
from passgate.emulator.parameters import StoreParameters
from passgate.emulator.weight_store import EmulatedWeightStore
from passgate.rollout.manager import RolloutManager
from passgate.rollout.order_sender import OrderTiming
from passgate.rollout.plan import make_views
from passgate.rollout.types import ReplicaView, RolloutSettings, RolloutTarget
from passgate.state.leases import LeaseService
from passgate.state.memory_log import MemoryLog, MemoryLogClient
from tests.rollout_fleet import SimulatedFleet, SimulationSettings

__all__ = ["SimulatedDaemon", "SimulatedRollout", "make_views"]

ROLE = "rollout/hollow"
CHECK_INTERVAL_S = 0.05
"""Interval at which a run checks its condition and counts paused engines."""


class SimulatedDaemon:
    """Lease service of one daemon and its rollout manager of each role."""

    def __init__(self, run: SimulatedRollout, name: str, roles: Sequence[str], seed: int) -> None:
        self.name = name
        self.running = True
        self.log_client = MemoryLogClient(run.log)
        self.leases = LeaseService(self.log_client, name, run.live_names, Random(seed))
        self.manager_by_role = {
            role: RolloutManager(
                role,
                run.fleet,
                self.leases,
                run.inputs_of(role),
                run.settings,
                Random(seed + 1),
                timing=run.timing,
                other_zones=run.other_zones_of(role),
            )
            for role in roles
        }

    def start(self) -> None:
        """Start the lease service and all managers."""
        self.leases.start()
        for manager in self.manager_by_role.values():
            manager.start()

    async def close(self) -> None:
        """Stop at once without releasing roles, like a killed process."""
        self.running = False
        for manager in self.manager_by_role.values():
            await manager.close()
        await self.leases.close()


class _RoleInputs:
    """Inputs of the manager of one role: the replicas of one zone, or all of them."""

    def __init__(self, run: SimulatedRollout, zone: str) -> None:
        self._run = run
        self._zone = zone

    def replicas(self) -> list[ReplicaView]:
        """Return the replicas of the role."""
        return [view for view in self._run.views if not self._zone or view.zone == self._zone]

    def targets(self) -> list[RolloutTarget]:
        """Return the newest version that is not withdrawn."""
        return [self._run.target()]


class SimulatedRollout:
    """A simulated fleet, a log, and daemons with rollout managers."""

    def __init__(
        self,
        views: Sequence[ReplicaView],
        *,
        managers: int = 1,
        settings: RolloutSettings | None = None,
        simulation: SimulationSettings | None = None,
        store: StoreParameters | None = None,
        timing: OrderTiming | None = None,
        by_zone: bool = False,
        seed: int = 1,
    ) -> None:
        self.views = list(views)
        self.settings = settings or RolloutSettings()
        self.timing = timing
        self.simulation = simulation or SimulationSettings()
        self.store = EmulatedWeightStore(store or StoreParameters())
        self.fleet = SimulatedFleet(views, self.store, self.simulation)
        self.log = MemoryLog()
        self.published: list[int] = []
        self.withdrawn: set[int] = set()
        self.maximum_paused = 0
        zones = sorted({view.zone for view in views}) if by_zone else [""]
        roles = [f"{ROLE}/{zone}" if zone else ROLE for zone in zones]
        self._zone_by_role = dict(zip(roles, zones, strict=True))
        self.daemons = [
            SimulatedDaemon(self, f"d{index}", roles, seed + 10 * index) for index in range(managers)
        ]
        self._live_names = [daemon.name for daemon in self.daemons]
        self.publish(self.simulation.boot_version)

    def start(self) -> None:
        """Start all daemons."""
        for daemon in self.daemons:
            daemon.start()

    def live_names(self) -> list[str]:
        """Return the names of the daemons that membership reports as alive."""
        return list(self._live_names)

    def inputs_of(self, role: str) -> _RoleInputs:
        """Return the inputs of a role's manager."""
        return _RoleInputs(self, self._zone_by_role[role])

    def other_zones_of(self, role: str) -> Callable[[], list[ReplicaView]] | None:
        """Return a function that returns the other zones' replicas; None with one role for all zones."""
        zone = self._zone_by_role[role]
        if not zone:
            return None
        others = [view for view in self.views if view.zone != zone]
        return lambda: others

    def target(self) -> RolloutTarget:
        """Return the newest published version that is not withdrawn, as the target."""
        usable = [version for version in self.published if version not in self.withdrawn]
        return RolloutTarget(
            model=self.simulation.model, version=max(usable, default=0), withdrawn=frozenset(self.withdrawn)
        )

    def publish(self, version: int) -> None:
        """Publish a version in the weight store and notify the managers."""
        self.store.publish(self.simulation.model, version, self.simulation.weight_bytes)
        self.published.append(version)
        self._notify()

    def withdraw(self, version: int) -> None:
        """Withdraw a version and notify the managers."""
        self.withdrawn.add(version)
        self._notify()

    def leaders(self) -> list[RolloutManager]:
        """Return the managers of running daemons that are in a leading state."""
        running = [daemon for daemon in self.daemons if daemon.running]
        managers = [manager for daemon in running for manager in daemon.manager_by_role.values()]
        return [manager for manager in managers if manager.state in ("settled", "rolling", "degraded")]

    async def kill(self, daemon: SimulatedDaemon, detect_s: float) -> None:
        """Stop a daemon at once; membership reports it as dead after ``detect_s``."""
        await daemon.close()
        await asyncio.sleep(detect_s)
        self._live_names.remove(daemon.name)

    def declare_dead(self, daemon: SimulatedDaemon) -> None:
        """Make membership report a daemon as dead while it may still run."""
        self._live_names.remove(daemon.name)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Wait for a condition and return the seconds waited; raises TimeoutError."""
        start_s = monotonic_s()
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.maximum_paused = max(self.maximum_paused, len(self.fleet.paused_engines()))
                await asyncio.sleep(CHECK_INTERVAL_S)
        return monotonic_s() - start_s

    async def wait_until_on(self, version: int, timeout_s: float, share: float = 1.0) -> float:
        """Wait until a version is active on ``share`` of all engines; return the seconds waited."""
        minimum_count = share * len(self.views)
        return await self.wait_until(lambda: self.fleet.count_on(version) >= minimum_count, timeout_s)

    async def wait_until_settled(self, timeout_s: float) -> float:
        """Wait until the leaders report every replica as on its target; return the seconds waited."""
        return await self.wait_until(self._is_settled, timeout_s)

    async def close(self) -> None:
        """Stop all daemons and transfers."""
        for daemon in self.daemons:
            await daemon.close()
        await self.fleet.close()

    def _is_settled(self) -> bool:
        progress = [item for manager in self.leaders() for item in manager.progress()]
        version = self.target().version
        return sum(item.on_target for item in progress if item.version == version) == len(self.views)

    def _notify(self) -> None:
        for daemon in getattr(self, "daemons", ()):
            for manager in daemon.manager_by_role.values():
                manager.notify()
