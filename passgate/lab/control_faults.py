"""Control under failures: detection, false positives, configuration, merging."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from passgate.clock import monotonic_s
from passgate.lab.control_cluster import POLL_S, ClusterShape, HollowCluster, HollowDaemon
from passgate.lab.control_cost import AGREE_TIMEOUT_S, change, zones_for
from passgate.lab.control_records import (
    ConfigurationInForce,
    FailureKnown,
    FalsePositives,
    Merge,
    Percentiles,
)

SETTLE_S = 15.0
KNOWN_TIMEOUT_S = 120.0
TRIAL_TIMEOUT_S = 60.0
ZONE_CUT_S = 60.0
REGION_PART_S = 180.0
LOG_DOWN_BEFORE_S = 1.0
PAUSE_S = 2.0
MERGE_TIMEOUT_S = 300.0


async def _started(daemons: int, seed: int) -> HollowCluster:
    cluster = HollowCluster(ClusterShape(daemons=daemons, zones=zones_for(daemons)), seed)
    await cluster.start_settled()
    await asyncio.sleep(SETTLE_S)
    return cluster


# --- failures become known ---------------------------------------------------------------


async def failure_known(daemons: int, trials: int, zone: bool, seed: int = 1) -> FailureKnown:
    """Kill one daemon, or all of one zone, and time until each survivor knows it."""
    cluster = await _started(daemons, seed)
    known: list[float] = []
    everywhere: list[float] = []
    unnoticed = 0
    failed = 0
    for trial in range(trials):
        victims = _victims(cluster, zone, trial)
        failed = len(victims)
        for victim in victims:
            await victim.kill()
        times_s, missed = await _watch_deaths(cluster, victims)
        known += times_s
        everywhere.append(max(times_s, default=0.0))
        unnoticed += missed
        for victim in victims:
            await cluster.replace(victim.index)
        await cluster.until_agreed(AGREE_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
    await cluster.close()
    return FailureKnown(
        failure="zone" if zone else "daemon",
        daemons=daemons,
        failed=failed,
        trials=trials,
        known=Percentiles.of(known),
        everywhere=Percentiles.of(everywhere),
        unnoticed=unnoticed,
    )


def _victims(cluster: HollowCluster, zone: bool, trial: int) -> list[HollowDaemon]:
    if not zone:
        return [cluster.random.choice(cluster.daemons)]
    name = f"zone-{trial % cluster.shape.zones:02d}"
    return [daemon for daemon in cluster.daemons if daemon.zone == name]


async def _watch_deaths(cluster: HollowCluster, victims: list[HollowDaemon]) -> tuple[list[float], int]:
    start_s = monotonic_s()
    times_s: list[float] = []
    open_pairs = {(survivor, victim.member_id) for survivor in cluster.living() for victim in victims}
    while open_pairs and monotonic_s() - start_s < KNOWN_TIMEOUT_S:
        await asyncio.sleep(POLL_S)
        noticed = {pair for pair in open_pairs if not pair[0].agent.is_alive(pair[1])}
        times_s += [monotonic_s() - start_s] * len(noticed)
        open_pairs -= noticed
    return times_s, len(open_pairs)


# --- false positives ---------------------------------------------------------------------------


async def false_positives(daemons: int, seconds: float, loss: float, seed: int = 1) -> FalsePositives:
    """Pause one random daemon after the other while frames are lost."""
    cluster = await _started(daemons, seed)
    cluster.network.loss = loss
    suspicions, refutations, deaths = _detection_counts(cluster.daemons)
    pauses = 0
    end_s = monotonic_s() + seconds
    while monotonic_s() < end_s:
        daemon = cluster.random.choice(cluster.daemons)
        daemon.transport.pause()
        pauses += 1
        await asyncio.sleep(PAUSE_S)
        daemon.transport.resume()
    await asyncio.sleep(SETTLE_S)
    later = _detection_counts(cluster.daemons)
    await cluster.close()
    return FalsePositives(
        daemons=daemons,
        seconds=seconds,
        loss=loss,
        pauses=pauses,
        pause_s=PAUSE_S,
        suspicions=later[0] - suspicions,
        refutations=later[1] - refutations,
        declared_dead=later[2] - deaths,
    )


def _detection_counts(daemons: Iterable[HollowDaemon]) -> tuple[int, int, int]:
    counters = [daemon.agent.counters for daemon in daemons]
    return (
        sum(counter.suspicions for counter in counters),
        sum(counter.refutations for counter in counters),
        sum(counter.deaths for counter in counters),
    )


# --- configuration ---------------------------------------------------------------------------------


async def configuration_in_force(
    daemons: int, trials: int, fault: str, seed: int = 1
) -> ConfigurationInForce:
    """Accept a change under ``fault`` and time until it is in force everywhere.

    Faults: ``calm``; ``log_outage``: no daemon but the accepting one can read the log;
    ``zone_cut``: a zone is cut off from all else for a minute, the time counts from its
    end; ``zone_cut_log_outage``: as before, and the log stays out of the zone's reach.
    """
    cluster = await _started(daemons, seed)
    watch = asyncio.get_running_loop().create_task(_watch_revisions(cluster))
    times_s: list[float] = []
    everywhere: list[float] = []
    missing = 0
    for trial in range(trials):
        trial_times_s, lacking = await _configuration_trial(cluster, fault, trial)
        times_s += trial_times_s
        everywhere.append(max(trial_times_s))
        missing += lacking
        _reach_log(cluster, cluster.daemons, down=False)
        await asyncio.sleep(SETTLE_S)
    watch.cancel()
    went_back = sum(daemon.revision_went_back for daemon in cluster.daemons)
    pulls = sum(daemon.sync.counters.pulls for daemon in cluster.daemons)
    await cluster.close()
    return ConfigurationInForce(
        fault=fault,
        daemons=daemons,
        trials=trials,
        since="cut_end" if fault.startswith("zone_cut") else "accepted",
        in_force=Percentiles.of(times_s),
        everywhere=Percentiles.of(everywhere),
        missing=missing,
        went_back=went_back,
        pulls=pulls,
    )


async def _configuration_trial(cluster: HollowCluster, fault: str, trial: int) -> tuple[list[float], int]:
    if fault.startswith("zone_cut"):
        return await _zone_cut_trial(cluster, trial, log_stays_down=fault.endswith("log_outage"))
    writer = cluster.random.choice(cluster.daemons)
    if fault == "log_outage":
        others = [daemon for daemon in cluster.daemons if daemon is not writer]
        _reach_log(cluster, others, down=True)
        await asyncio.sleep(LOG_DOWN_BEFORE_S)
    accepted_s = await change(writer, trial)
    return await _watch_in_force(cluster.daemons, writer.revision, accepted_s)


async def _zone_cut_trial(
    cluster: HollowCluster, trial: int, log_stays_down: bool
) -> tuple[list[float], int]:
    zone = f"zone-{trial % cluster.shape.zones:02d}"
    inside = [daemon for daemon in cluster.daemons if daemon.zone == zone]
    outside = [daemon for daemon in cluster.daemons if daemon.zone != zone]
    cluster.network.cut(lambda _address, of: of == zone)
    _reach_log(cluster, inside, down=True)
    writer = cluster.random.choice(outside)
    await change(writer, trial)
    await asyncio.sleep(ZONE_CUT_S)
    cluster.network.heal()
    _reach_log(cluster, inside, down=log_stays_down)
    return await _watch_in_force(inside, writer.revision, monotonic_s())


def _reach_log(cluster: HollowCluster, daemons: Iterable[HollowDaemon], down: bool) -> None:
    for daemon in daemons:
        daemon.log.down = down
    cluster.log.wake_readers()


async def _watch_in_force(
    daemons: list[HollowDaemon], revision: int, since_s: float
) -> tuple[list[float], int]:
    waiting = list(daemons)
    times_s: list[float] = []
    while True:
        now_s = monotonic_s()
        still = [daemon for daemon in waiting if daemon.revision < revision]
        times_s += [now_s - since_s] * (len(waiting) - len(still))
        waiting = still
        if not waiting or now_s - since_s > TRIAL_TIMEOUT_S:
            return times_s or [now_s - since_s], len(waiting)
        await asyncio.sleep(POLL_S)


async def _watch_revisions(cluster: HollowCluster) -> None:
    last = [daemon.revision for daemon in cluster.daemons]
    while True:
        await asyncio.sleep(POLL_S)
        for position, daemon in enumerate(cluster.daemons):
            if daemon.revision < last[position]:
                daemon.revision_went_back += 1
            last[position] = daemon.revision


# --- merging ---------------------------------------------------------------------------------------------


async def regions_parted(daemons: int, seed: int = 1) -> Merge:
    """Part all regions from one another, change published values meanwhile, and merge."""
    cluster = await _started(daemons, seed)
    cluster.network.cut(lambda _address, zone: cluster.region_of(zone))
    await asyncio.sleep(REGION_PART_S / 2)
    changed = cluster.random.sample(cluster.daemons, max(1, daemons // 20))
    for daemon in changed:
        daemon.agent.set_metadata("role", "changed")
    await asyncio.sleep(REGION_PART_S / 2)
    cluster.network.heal()
    return await _merge(cluster, "regions_parted", cluster.shape.regions, REGION_PART_S)


async def cold_start(daemons: int, seed: int = 1) -> Merge:
    """Start all daemons at once."""
    cluster = HollowCluster(ClusterShape(daemons=daemons, zones=zones_for(daemons)), seed)
    await cluster.start()
    return await _merge(cluster, "cold_start", daemons, 0.0)


async def _merge(cluster: HollowCluster, event: str, parts: int, parted_s: float) -> Merge:
    before = sum(cluster.bytes_moved())
    rate = _PeakRate(cluster)
    agreed_s = await cluster.until_agreed(MERGE_TIMEOUT_S)
    total = sum(cluster.bytes_moved()) - before
    await asyncio.sleep(SETTLE_S)
    result = Merge(
        event=event,
        daemons=cluster.shape.daemons,
        parts=parts,
        parted_s=parted_s,
        agreed_s=round(agreed_s, 2),
        peak_bytes_per_s=round(rate.stop(), 1),
        total_bytes=round(total / cluster.shape.daemons, 1),
        stale_values=_stale_values(cluster),
    )
    await cluster.close()
    return result


class _PeakRate:
    """Largest mean of bytes per second over the daemons, sampled each second."""

    def __init__(self, cluster: HollowCluster) -> None:
        self._cluster = cluster
        self._peak = 0.0
        self._task = asyncio.get_running_loop().create_task(self._sample())

    def stop(self) -> float:
        """Return the peak."""
        self._task.cancel()
        return self._peak

    async def _sample(self) -> None:
        last = sum(self._cluster.bytes_moved())
        while True:
            await asyncio.sleep(1.0)
            now = sum(self._cluster.bytes_moved())
            self._peak = max(self._peak, (now - last) / len(self._cluster.daemons))
            last = now


def _stale_values(cluster: HollowCluster) -> int:
    owners = {daemon.member_id: daemon.agent.self_info for daemon in cluster.living()}
    return sum(
        view.metadata != owners[view.member_id].metadata
        for daemon in cluster.living()
        for view in daemon.agent.members()
        if view.member_id in owners
    )
