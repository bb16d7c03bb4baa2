"""Cost of control per daemon: bytes, messages, processor time and memory by size."""

from __future__ import annotations

import asyncio
import gc
import os
import time

import msgspec

from passgate.clock import monotonic_s
from passgate.lab.control_cluster import ClusterShape, HollowCluster, HollowDaemon
from passgate.lab.control_records import ControlCost, FittedSlope
from passgate.peers.transport import TrafficCounters
from passgate.schema import MachineRole
from passgate.state.configuration import PoolSpec

WARM_UP_S = 30.0
AGREE_TIMEOUT_S = 120.0

CHANGES_PER_S = 670 / 86400
RESTARTS_PER_S = 355 / 86400
"""The letter's ordinary day: 340 machines restarted or replaced and 15 that fail."""
BUSY_FACTOR = 10

TCP_HEADER_BYTES = 52
"""IPv4 and TCP headers with timestamps; also the size of a bare acknowledgement."""
CONNECTION_PACKETS = 7
"""Packets without payload that open and close a TCP connection."""

MEGABYTE = 1 << 20


class _Totals(msgspec.Struct):
    frames: int
    sent: int
    received: int
    connections: int


def totals_of(counters: list[TrafficCounters]) -> _Totals:
    """Return the sums over some transports."""
    return _Totals(
        frames=sum(counter.frames_sent + counter.frames_received for counter in counters),
        sent=sum(counter.bytes_sent for counter in counters),
        received=sum(counter.bytes_received for counter in counters),
        connections=sum(counter.connections_opened for counter in counters),
    )


def wire_bytes(frames: int, payload_bytes: int, connections: int) -> int:
    """Return an upper estimate of bytes on the network interface.

    Each frame is its own packet and its own acknowledgement.
    """
    headers = 2 * TCP_HEADER_BYTES * frames
    return payload_bytes + headers + CONNECTION_PACKETS * TCP_HEADER_BYTES * connections


def resident_mb() -> float:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def zones_for(daemons: int) -> int:
    """Return the zones of a cluster: three today, eleven at the letter's size."""
    return 3 if daemons <= 30 else 11


async def measure_cost(daemons: int, seconds: float, load: str, seed: int = 1) -> ControlCost:
    """Measure hollow daemons for ``seconds`` of virtual time after a warm-up."""
    gc.collect()
    memory_before_mb = resident_mb()
    cluster = HollowCluster(ClusterShape(daemons=daemons, zones=zones_for(daemons)), seed)
    await cluster.start_settled()
    await asyncio.sleep(WARM_UP_S)
    background = asyncio.get_running_loop().create_task(_apply_load(cluster, load))
    counters = [daemon.transport.counters for daemon in cluster.daemons]
    before, moved_before = totals_of(counters), cluster.bytes_moved()
    cpu_before_s = time.process_time()
    await asyncio.sleep(seconds)
    cpu_s = time.process_time() - cpu_before_s
    after, moved_after = totals_of(counters), cluster.bytes_moved()
    background.cancel()
    memory_mb = (resident_mb() - memory_before_mb) / daemons
    busiest = max(late - early for early, late in zip(moved_before, moved_after, strict=True))
    cost = cost_of(before, after, daemons, seconds, cpu_s)
    false_deaths = sum(daemon.agent.counters.deaths for daemon in cluster.daemons) if load == "calm" else 0
    await cluster.close()
    return msgspec.structs.replace(
        cost,
        load=load,
        zones=cluster.shape.zones,
        busiest_bytes_per_s=round(busiest / seconds, 1),
        memory_mb=round(memory_mb, 3),
        false_deaths=false_deaths,
    )


def cost_of(
    before: _Totals, after: _Totals, daemons: int, seconds: float, cpu_s: float, transport: str = "memory"
) -> ControlCost:
    """Return the cost per daemon and second between two counts."""
    share = 1.0 / (daemons * seconds)
    sent = after.sent - before.sent
    received = after.received - before.received
    frames = after.frames - before.frames
    connections = after.connections - before.connections
    return ControlCost(
        load="calm",
        transport=transport,
        daemons=daemons,
        zones=0,
        seconds=seconds,
        sent_bytes_per_s=round(sent * share, 1),
        received_bytes_per_s=round(received * share, 1),
        wire_bytes_per_s=round(wire_bytes(frames, sent + received, connections) * share, 1),
        busiest_bytes_per_s=0.0,
        messages_per_s=round(frames * share, 2),
        connections_per_s=round(connections * share, 4),
        cpu_share=round(cpu_s * share, 6),
        memory_mb=0.0,
        false_deaths=0,
    )


async def _apply_load(cluster: HollowCluster, load: str) -> None:
    if load != "busy":
        return
    await asyncio.gather(_change_configuration(cluster), _restart_daemons(cluster))


async def _change_configuration(cluster: HollowCluster) -> None:
    number = 0
    while True:
        await asyncio.sleep(1.0 / (CHANGES_PER_S * BUSY_FACTOR))
        number += 1
        await change(cluster.random.choice(cluster.living()), number)


async def _restart_daemons(cluster: HollowCluster) -> None:
    while True:
        await asyncio.sleep(1.0 / (RESTARTS_PER_S * BUSY_FACTOR))
        index = cluster.random.randrange(len(cluster.daemons))
        counters = cluster.daemons[index].transport.counters
        await cluster.daemons[index].kill()
        daemon = await cluster.replace(index)
        # The new process goes on with the counts of the old one, as the machine does.
        daemon.transport.counters = counters


async def change(daemon: HollowDaemon, number: int) -> float:
    """Put a pool through one daemon; return when it was accepted."""
    spec = PoolSpec(selector="tier=gold", role=MachineRole.ENGINE, model="model")
    labels = {"tier": "gold", "change": str(number)}
    await daemon.service.put("Pool", f"pool-{number % 50}", labels, spec, None, timeout_s=10.0)
    return monotonic_s()


def fit(costs: list[ControlCost], load: str) -> list[FittedSlope]:
    """Return least-squares lines of the costs over the number of daemons."""
    import numpy

    chosen = [cost for cost in costs if cost.load == load and cost.transport == "memory"]
    if len(chosen) < 2:
        return []
    sizes = [cost.daemons for cost in chosen]
    measures = ("sent_bytes_per_s", "wire_bytes_per_s", "messages_per_s", "cpu_share", "memory_mb")
    lines = []
    for measure in measures:
        values = [getattr(cost, measure) for cost in chosen]
        per_daemon, intercept = numpy.polyfit(sizes, values, 1)
        lines.append(
            FittedSlope(
                measure=measure,
                load=load,
                intercept=round(float(intercept), 6),
                per_daemon=round(float(per_daemon), 9),
                sizes=tuple(sizes),
            )
        )
    return lines
