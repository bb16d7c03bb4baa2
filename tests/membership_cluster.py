"""Simulated cluster of daemons in one process and in virtual time.

Each daemon runs the membership agent, the configuration service and the configuration
sync over a simulated network and log.

>>> from passgate.clock import new_virtual_loop
>>> loop = new_virtual_loop()
>>> async def start_three():
...     cluster = SimulatedCluster(ClusterShape(daemons=3, zones=3), seed=1)
...     await cluster.start()
...     agreed_s = await cluster.wait_until_converged(30.0)
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

POLL_INTERVAL_S = 0.05
"""Interval at which ``wait_until`` checks its condition."""

START_TIMEOUT_S = 60.0

SEED_COUNT = 5
"""Number of seeds that a starting daemon is given."""


class ClusterShape(msgspec.Struct, frozen=True, kw_only=True):
    """Number of daemons, zones and regions of a cluster."""

    daemons: int
    zones: int
    regions: int = 4


class SimulatedDaemon:
    """Membership agent, configuration service and configuration sync of one daemon."""

    def __init__(self, cluster: SimulatedCluster, index: int, start_number: int) -> None:
        self.index = index
        self.zone = f"zone-{index % cluster.shape.zones:02d}"
        self.member_id = f"{self.zone}-daemon-{index:03d}"
        random = Random(f"{cluster.seed}/{index}/{start_number}")
        address = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:7000"
        self.transport = cluster.network.transport(address, self.zone)
        own = MemberInfo(member_id=self.member_id, address=address, zone=self.zone)
        self.agent = MembershipAgent(
            own, self.transport, random, cluster.config, call_later=self.transport.call_later
        )
        self.log_client = MemoryLogClient(cluster.log)
        self.configuration = ConfigurationService(self.log_client, f"{self.member_id}/{start_number}", random)
        self.sync = ConfigurationSync(self.agent, self.configuration, random)
        self.revision_decreases = 0

    @property
    def next_offset(self) -> int:
        """Return the first offset of the configuration that this daemon has not applied."""
        return self.configuration.follower.next_offset

    def start(self, seeds: Iterable[str]) -> None:
        """Start the daemon and join the cluster at ``seeds``."""
        self.agent.start()
        self.configuration.start()
        self.sync.start()
        self.agent.join(seeds)

    async def kill(self) -> None:
        """Stop at once without notifying other daemons."""
        await self.agent.close()
        await self.sync.close()
        await self.configuration.close()


class SimulatedCluster:
    """Simulated daemons with their network and log."""

    def __init__(self, shape: ClusterShape, seed: int, config: MembershipConfig | None = None) -> None:
        self.shape = shape
        self.seed = seed
        self.config = config or MembershipConfig()
        self.random = Random(seed)
        self.network = MemoryNetwork(Random(seed + 1))
        self.log = MemoryLog()
        self.replacement_count = 0
        self.daemons = [SimulatedDaemon(self, index, 0) for index in range(shape.daemons)]

    async def start(self) -> None:
        """Start all daemons at once, as after an outage of the whole cluster."""
        addresses = [daemon.transport.address for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.start(self._choose_seeds(addresses))

    async def start_converged(self) -> None:
        """Start all daemons with equal tables, as in a cluster that has converged."""
        members = [daemon.agent.self_info for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.start(())
            daemon.agent.add_members(members)
        await self.wait_until_converged(START_TIMEOUT_S)

    async def close(self) -> None:
        """Stop all daemons."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))

    async def replace(self, index: int) -> SimulatedDaemon:
        """Start a new daemon with the id and address of one that was killed."""
        self.replacement_count += 1
        daemon = SimulatedDaemon(self, index, self.replacement_count)
        self.daemons[index] = daemon
        daemon.start(self._choose_seeds([other.transport.address for other in self.running_daemons()]))
        return daemon

    def running_daemons(self) -> list[SimulatedDaemon]:
        """Return the daemons that are running."""
        return [daemon for daemon in self.daemons if not daemon.transport.closed]

    def is_converged(self) -> bool:
        """Return whether all running daemons have equal tables with exactly themselves alive."""
        living = self.running_daemons()
        if len({daemon.agent.digest() for daemon in living}) != 1:
            return False
        ids = {daemon.member_id for daemon in living}
        first = living[0].agent
        return {view.member_id for view in first.members() if first.is_alive(view.member_id)} == ids

    async def wait_until_converged(self, timeout_s: float) -> float:
        """Return the seconds until :meth:`is_converged`; raises DeadlineExceeded."""
        return await wait_until(self.is_converged, timeout_s)

    def traffic_bytes(self) -> list[int]:
        """Return the bytes sent and received by each daemon."""
        return [
            daemon.transport.counters.bytes_sent + daemon.transport.counters.bytes_received
            for daemon in self.daemons
        ]

    def region_of(self, zone: str) -> int:
        """Return the number of a zone's region; zones with adjacent numbers share a region."""
        return int(zone.removeprefix("zone-")) * self.shape.regions // self.shape.zones

    def _choose_seeds(self, addresses: list[str]) -> list[str]:
        return self.random.sample(addresses, min(SEED_COUNT, len(addresses)))


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> float:
    """Wait until ``condition`` holds and return the seconds waited; raises DeadlineExceeded."""
    start_s = monotonic_s()
    while not condition():
        if monotonic_s() - start_s > timeout_s:
            raise DeadlineExceeded("the condition was not reached before the timeout")
        await asyncio.sleep(POLL_INTERVAL_S)
    return monotonic_s() - start_s


async def put_pool(daemon: SimulatedDaemon, number: int) -> float:
    """Put a changed pool through one daemon; return the time of its acceptance."""
    spec = PoolSpec(selector="tier=gold", role=MachineRole.ENGINE, model="model")
    labels = {"tier": "gold", "change": str(number)}
    await daemon.configuration.put("Pool", f"pool-{number % 50}", labels, spec, None, timeout_s=10.0)
    return monotonic_s()
