"""Rollouts of a hollow fleet by real managers and real lease services in virtual time.

>>> from passgate.clock import new_virtual_loop
>>> async def publish_once():
...     run = HollowRun(make_views(12, 3), managers=2)
...     run.start()
...     await run.until_settled(timeout_s=60.0)
...     run.publish(2)
...     await run.until_settled(timeout_s=60.0)
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
from passgate.rollout.order_sender import OrderTimes
from passgate.rollout.plan import make_views
from passgate.rollout.types import ReplicaView, RolloutSettings, RolloutTarget
from passgate.state.leases import LeaseService
from passgate.state.memory_log import MemoryLog, MemoryLogClient
from tests.rollout_fleet import HollowFleet, HollowSettings

__all__ = ["HollowDaemon", "HollowRun", "make_views"]

ROLE = "rollout/hollow"
CHECK_S = 0.05
"""Interval at which a run looks at its engines."""


class HollowDaemon:
    """One daemon's part: a lease service and a manager per role."""

    def __init__(self, run: HollowRun, name: str, roles: Sequence[str], seed: int) -> None:
        self.name = name
        self.running = True
        self.client = MemoryLogClient(run.log)
        self.leases = LeaseService(self.client, name, run.live_names, Random(seed))
        self.managers = {
            role: RolloutManager(
                role,
                run.fleet,
                self.leases,
                run.source_of(role),
                run.settings,
                Random(seed + 1),
                times=run.times,
                other_zones=run.other_zones_of(role),
            )
            for role in roles
        }

    def start(self) -> None:
        """Begin to follow the leases and to stand by."""
        self.leases.start()
        for manager in self.managers.values():
            manager.start()

    async def close(self) -> None:
        """End at once, as a killed process does."""
        self.running = False
        for manager in self.managers.values():
            await manager.close()
        await self.leases.close()


class _Source:
    """What a manager of one role sees: all replicas, or those of one zone."""

    def __init__(self, run: HollowRun, zone: str) -> None:
        self._run = run
        self._zone = zone

    def replicas(self) -> list[ReplicaView]:
        """Return the replicas of the role."""
        return [view for view in self._run.views if not self._zone or view.zone == self._zone]

    def targets(self) -> list[RolloutTarget]:
        """Return the newest version that is not withdrawn."""
        return [self._run.target()]


class HollowRun:
    """A fleet, a log, and some daemons with rollout managers."""

    def __init__(
        self,
        views: Sequence[ReplicaView],
        *,
        managers: int = 1,
        settings: RolloutSettings | None = None,
        hollow: HollowSettings | None = None,
        store: StoreParameters | None = None,
        times: OrderTimes | None = None,
        by_zone: bool = False,
        seed: int = 1,
    ) -> None:
        self.views = list(views)
        self.settings = settings or RolloutSettings()
        self.times = times
        self.hollow = hollow or HollowSettings()
        self.store = EmulatedWeightStore(store or StoreParameters())
        self.fleet = HollowFleet(views, self.store, self.hollow)
        self.log = MemoryLog()
        self.published: list[int] = []
        self.withdrawn: set[int] = set()
        self.most_paused = 0
        zones = sorted({view.zone for view in views}) if by_zone else [""]
        roles = [f"{ROLE}/{zone}" if zone else ROLE for zone in zones]
        self._zone_of = dict(zip(roles, zones, strict=True))
        self.daemons = [
            HollowDaemon(self, f"d{index}", roles, seed + 10 * index) for index in range(managers)
        ]
        self._alive = [daemon.name for daemon in self.daemons]
        self.publish(self.hollow.boot_version)

    def start(self) -> None:
        """Start all daemons."""
        for daemon in self.daemons:
            daemon.start()

    def live_names(self) -> list[str]:
        """Return the daemons that membership believes to be alive."""
        return list(self._alive)

    def source_of(self, role: str) -> _Source:
        """Return what the manager of a role sees."""
        return _Source(self, self._zone_of[role])

    def other_zones_of(self, role: str) -> Callable[[], list[ReplicaView]] | None:
        """Return what gives the replicas of the other zones, None with one role for all."""
        zone = self._zone_of[role]
        if not zone:
            return None
        others = [view for view in self.views if view.zone != zone]
        return lambda: others

    def target(self) -> RolloutTarget:
        """Return the target of the hollow model."""
        usable = [version for version in self.published if version not in self.withdrawn]
        return RolloutTarget(
            model=self.hollow.model, version=max(usable, default=0), withdrawn=frozenset(self.withdrawn)
        )

    def publish(self, version: int) -> None:
        """Put a version into the store and make it the target where it is the newest."""
        self.store.publish(self.hollow.model, version, self.hollow.weight_bytes)
        self.published.append(version)
        self._notify()

    def withdraw(self, version: int) -> None:
        """Mark a version as known bad."""
        self.withdrawn.add(version)
        self._notify()

    def leaders(self) -> list[RolloutManager]:
        """Return the managers that believe that they lead."""
        running = [daemon for daemon in self.daemons if daemon.running]
        managers = [manager for daemon in running for manager in daemon.managers.values()]
        return [manager for manager in managers if manager.state in ("settled", "rolling", "degraded")]

    async def kill(self, daemon: HollowDaemon, detect_s: float) -> None:
        """End a daemon at once; membership learns of it after ``detect_s``."""
        await daemon.close()
        await asyncio.sleep(detect_s)
        self._alive.remove(daemon.name)

    def declare_dead(self, daemon: HollowDaemon) -> None:
        """Let membership believe that a daemon is dead although it may run."""
        self._alive.remove(daemon.name)

    async def until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Wait for a condition and return how long it took; raises TimeoutError."""
        begun_s = monotonic_s()
        async with asyncio.timeout(timeout_s):
            while not condition():
                self.most_paused = max(self.most_paused, len(self.fleet.paused()))
                await asyncio.sleep(CHECK_S)
        return monotonic_s() - begun_s

    async def until_on(self, version: int, timeout_s: float, share: float = 1.0) -> float:
        """Wait until that share of all engines uses a version; return how long it took."""
        wanted = share * len(self.views)
        return await self.until(lambda: self.fleet.count_on(version) >= wanted, timeout_s)

    async def until_settled(self, timeout_s: float) -> float:
        """Wait until the leaders believe every replica to be on its target."""
        return await self.until(self._is_settled, timeout_s)

    async def close(self) -> None:
        """End all daemons and transfers."""
        for daemon in self.daemons:
            await daemon.close()
        await self.fleet.close()

    def _is_settled(self) -> bool:
        progress = [item for manager in self.leaders() for item in manager.progress()]
        version = self.target().version
        return sum(item.on_target for item in progress if item.version == version) == len(self.views)

    def _notify(self) -> None:
        for daemon in getattr(self, "daemons", ()):
            for manager in daemon.managers.values():
                manager.notify()
