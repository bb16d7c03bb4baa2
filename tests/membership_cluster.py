"""Hollow daemons with the real control code, many in one process, in virtual time.

Each one runs the membership agent, the configuration service and the configuration
pull over a simulated network and log.

>>> from passgate.clock import new_virtual_loop
>>> loop = new_virtual_loop()
>>> async def start_three():
...     cluster = HollowCluster(ClusterShape(daemons=3, zones=3), seed=1)
...     await cluster.start()
...     agreed_s = await cluster.until_agreed(30.0)
...     await cluster.close()
...     return agreed_s < 5.0
>>> loop.run_until_complete(start_three())
True
>>> loop.close()
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import DeadlineExceeded
from passgate.membership.agent import MembershipAgent
from passgate.membership.config import MembershipConfig
from passgate.membership.configuration_sync import ConfigurationSync
from passgate.membership.messages import MemberInfo
from passgate.peers.memory_transport import MemoryNetwork
from passgate.schema import MachineRole
from passgate.state.configuration import ConfigurationService, PoolSpec
from passgate.state.memory_log import MemoryLog, MemoryLogClient

POLL_S = 0.05
"""Resolution of measured times."""

START_TIMEOUT_S = 60.0

SEEDS = 5
"""Daemons that a starting one is told of."""


class ClusterShape(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a cluster."""

    daemons: int
    zones: int
    regions: int = 4


class HollowDaemon:
    """One daemon's control part."""

    def __init__(self, cluster: HollowCluster, index: int, run: int) -> None:
        self.index = index
        self.zone = f"zone-{index % cluster.shape.zones:02d}"
        self.member_id = f"{self.zone}-daemon-{index:03d}"
        random = Random(f"{cluster.seed}/{index}/{run}")
        address = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:7000"
        self.transport = cluster.network.transport(address, self.zone)
        own = MemberInfo(member_id=self.member_id, address=address, zone=self.zone)
        self.agent = MembershipAgent(
            own, self.transport, random, cluster.config, call_later=self.transport.call_later
        )
        self.log = MemoryLogClient(cluster.log)
        self.service = ConfigurationService(self.log, f"{self.member_id}/{run}", random)
        self.sync = ConfigurationSync(self.agent, self.service, random)
        self.revision_went_back = 0

    @property
    def revision(self) -> int:
        """Return the first offset of the configuration that is not in force here."""
        return self.service.follower.next_offset

    def start(self, seeds: Iterable[str]) -> None:
        """Start and join by ``seeds``."""
        self.agent.start()
        self.service.start()
        self.sync.start()
        self.agent.join(seeds)

    async def kill(self) -> None:
        """End without a word to the others."""
        await self.agent.close()
        await self.sync.close()
        await self.service.close()


class HollowCluster:
    """All hollow daemons, their network and their log."""

    def __init__(self, shape: ClusterShape, seed: int, config: MembershipConfig | None = None) -> None:
        self.shape = shape
        self.seed = seed
        self.config = config or MembershipConfig()
        self.random = Random(seed)
        self.network = MemoryNetwork(Random(seed + 1))
        self.log = MemoryLog()
        self.runs = 0
        self.daemons = [HollowDaemon(self, index, 0) for index in range(shape.daemons)]

    async def start(self) -> None:
        """Start all daemons at once, as after a loss of everything."""
        addresses = [daemon.transport.address for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.start(self._some(addresses))

    async def start_settled(self) -> None:
        """Start all daemons with a common view, as in a cluster that has run for long."""
        members = [daemon.agent.self_info for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.start(())
            daemon.agent.learn(members)
        await self.until_agreed(START_TIMEOUT_S)

    async def close(self) -> None:
        """Stop all daemons."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))

    async def replace(self, index: int) -> HollowDaemon:
        """Start a new process under the id and address of a daemon that was killed."""
        self.runs += 1
        daemon = HollowDaemon(self, index, self.runs)
        self.daemons[index] = daemon
        daemon.start(self._some([other.transport.address for other in self.living()]))
        return daemon

    def living(self) -> list[HollowDaemon]:
        """Return the daemons that run."""
        return [daemon for daemon in self.daemons if not daemon.transport.closed]

    def agreed(self) -> bool:
        """Return whether all running daemons have one table with exactly themselves alive."""
        living = self.living()
        if len({daemon.agent.digest() for daemon in living}) != 1:
            return False
        ids = {daemon.member_id for daemon in living}
        first = living[0].agent
        return {view.member_id for view in first.members() if first.is_alive(view.member_id)} == ids

    async def until_agreed(self, timeout_s: float) -> float:
        """Return the seconds until :meth:`agreed`; raises DeadlineExceeded."""
        return await until(self.agreed, timeout_s)

    def bytes_moved(self) -> list[int]:
        """Return bytes sent plus received of each daemon."""
        return [
            daemon.transport.counters.bytes_sent + daemon.transport.counters.bytes_received
            for daemon in self.daemons
        ]

    def region_of(self, zone: str) -> int:
        """Return the region of a zone; regions hold neighbouring zones."""
        return int(zone.removeprefix("zone-")) * self.shape.regions // self.shape.zones

    def _some(self, addresses: list[str]) -> list[str]:
        return self.random.sample(addresses, min(SEEDS, len(addresses)))


async def until(condition: Callable[[], bool], timeout_s: float) -> float:
    """Return the seconds until ``condition`` holds; raises DeadlineExceeded."""
    start_s = monotonic_s()
    while not condition():
        if monotonic_s() - start_s > timeout_s:
            raise DeadlineExceeded("the condition did not come to hold")
        await asyncio.sleep(POLL_S)
    return monotonic_s() - start_s


async def change(daemon: HollowDaemon, number: int) -> float:
    """Put a pool through one daemon; return when it was accepted."""
    spec = PoolSpec(selector="tier=gold", role=MachineRole.ENGINE, model="model")
    labels = {"tier": "gold", "change": str(number)}
    await daemon.service.put("Pool", f"pool-{number % 50}", labels, spec, None, timeout_s=10.0)
    return monotonic_s()
