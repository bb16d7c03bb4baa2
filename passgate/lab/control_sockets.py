"""A few real agents over loopback TCP, to check the figures of the hollow ones."""

from __future__ import annotations

import asyncio
import time
from random import Random

import msgspec

from passgate.clock import monotonic_s
from passgate.lab.control_cost import cost_of, resident_mb, totals_of, zones_for
from passgate.lab.control_records import ControlCost
from passgate.membership.agent import MembershipAgent
from passgate.membership.configuration_sync import ConfigurationSync
from passgate.membership.messages import MemberInfo
from passgate.peers.peer_transport import TcpPeerTransport
from passgate.state.configuration import ConfigurationService
from passgate.state.memory_log import MemoryLog, MemoryLogClient

WARM_UP_S = 10.0


class _SocketDaemon:
    """The control part of a daemon, as in :mod:`passgate.lab.control_cluster`, over TCP."""

    def __init__(self, index: int, zones: int, log: MemoryLog) -> None:
        random = Random(index)
        self.transport = TcpPeerTransport(credential="loopback")
        zone = f"zone-{index % zones:02d}"
        own = MemberInfo(member_id=f"{zone}-daemon-{index:03d}", address=self.transport.address, zone=zone)
        self.agent = MembershipAgent(own, self.transport, random)
        self.service = ConfigurationService(MemoryLogClient(log), f"socket-{index}", random)
        self.sync = ConfigurationSync(self.agent, self.service, random)

    def start(self, seeds: list[str]) -> None:
        self.agent.start()
        self.service.start()
        self.sync.start()
        self.agent.join(seeds)

    async def close(self) -> None:
        await self.agent.close()
        await self.sync.close()
        await self.service.close()


async def measure_sockets(daemons: int, seconds: float) -> ControlCost:
    """Measure agents over TCP in one process, in real time; the log stays in memory."""
    zones = zones_for(daemons)
    log = MemoryLog()
    running = [_SocketDaemon(index, zones, log) for index in range(daemons)]
    addresses = [daemon.transport.address for daemon in running]
    for daemon in running:
        daemon.start(addresses[:3])
    await asyncio.sleep(WARM_UP_S)
    counters = [daemon.transport.counters for daemon in running]
    before = totals_of(counters)
    moved_before = [counter.bytes_sent + counter.bytes_received for counter in counters]
    start_s, cpu_start_s = monotonic_s(), time.process_time()
    await asyncio.sleep(seconds)
    elapsed_s, cpu_s = monotonic_s() - start_s, time.process_time() - cpu_start_s
    after = totals_of(counters)
    moved = [counter.bytes_sent + counter.bytes_received for counter in counters]
    busiest = max(late - early for early, late in zip(moved_before, moved, strict=True))
    cost = cost_of(before, after, daemons, elapsed_s, cpu_s, transport="tcp")
    false_deaths = sum(daemon.agent.counters.deaths for daemon in running)
    memory_mb = resident_mb()
    await asyncio.gather(*(daemon.close() for daemon in running))
    return msgspec.structs.replace(
        cost,
        zones=zones,
        busiest_bytes_per_s=round(busiest / elapsed_s, 1),
        memory_mb=round(memory_mb, 1),
        false_deaths=false_deaths,
    )
