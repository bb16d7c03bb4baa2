"""Hollow rollouts at several sizes, with the real manager and lease code in virtual time.

::

    python -m passgate.rollout.scale --replicas 60,300,1100 --out measurements/rollout-scale.jsonl

Seconds are virtual and exact for the assumed sizes and rates, which are parameters.
Processor time is real: ``manager_cpu_s`` is that of the rollout code itself, found by
a second, profiled run; sending real messages costs more (see ``call_cpu_s``).
"""

from __future__ import annotations

import asyncio
import cProfile
import logging
import pstats
import sys
import time
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

import fire
import msgspec

from passgate.clock import monotonic_s, new_virtual_loop
from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.parameters import EngineParameters, StoreParameters
from passgate.rollout.hollow_fleet import HollowSettings, make_views
from passgate.rollout.hollow_run import HollowRun
from passgate.rollout.types import DistributionSettings, RolloutSettings

ZONES = 11
TARGET_S = 11.0
"""The letter's limit from publication to the last replica."""
ROLLOUT_INTERVAL_S = 360.0
"""New weights come this often at the size aimed at."""
LIMIT_S = 900.0
DETECT_S = 2.0
"""Time from the death of a holder until membership tells it."""
CUT_S = 30.0
FAILING_SHARE = 0.01
CALL_CPU_S = 0.0009
"""Processor time of one call on a fresh connection, of ``python -m passgate.clients.cost``."""
_MANAGER_MODULES = (
    "manager",
    "reconciler",
    "model_rollout",
    "swap_track",
    "sources",
    "seeds",
    "due_times",
    "planned_orders",
    "capacity",
    "order_sender",
)


class ScaleCase(msgspec.Struct, frozen=True, kw_only=True):
    """One run: its size, assumptions and fault."""

    replicas: int
    fault: str = "none"
    by_zone: bool = False
    """One role and manager per zone in place of one for the pool."""
    fan_out: int = 2
    cut_through: bool = True
    max_store_copies: int = 1
    weight_bytes: int = 2_000_000_000
    engine_link_bytes_per_s: float = 1.25e9
    store_bytes_per_s: float = 2.5e9
    swap_pause_s: float = 0.8
    capacity_floor: float = 0.75
    seed: int = 1


class ScaleResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one run showed; seconds count from publication."""

    case: ScaleCase
    seconds_to_99_percent: float
    seconds_to_all: float
    """For a fault that takes replicas away: to all that can be reached."""
    seconds_to_recovered: float
    """To all replicas, those of the fault included."""
    within_target: bool
    most_swapping: int
    messages: int
    message_bytes: int
    messages_per_replica: float
    store_copies: int
    store_bytes: int
    manager_cpu_s: float
    """Of the rollout code: its share in a profiled run of the processor time of this one; calm runs only."""
    call_cpu_s: float
    """Messages times the measured cost of a real call."""
    core_share_of_leader: float
    """Manager and calls of the busiest leader over the interval between two rollouts."""
    bytes_per_s_of_leader: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Least-squares line of one measure over the number of replicas."""

    measure: str
    by_zone: bool
    intercept: float
    per_replica: float


Fault = Callable[[HollowRun], Coroutine[Any, Any, None]]


async def _no_fault(run: HollowRun) -> None:
    del run


async def _failing_swaps(run: HollowRun) -> None:
    """Arm two failures in a row on each hundredth engine, so that all of them roll back."""
    step = int(1 / FAILING_SHARE)
    for view in run.views[step // 2 :: step]:
        run.fleet.fail_next_swaps(view.address, SwapFailure.LOSES_WEIGHTS, count=2)


async def _cut_zone(run: HollowRun) -> None:
    """Cut the last zone off for a while, from just after publication."""
    await asyncio.sleep(0.5)
    run.fleet.cut_zones.add(run.views[-1].zone)
    await asyncio.sleep(CUT_S)
    run.fleet.cut_zones.clear()


async def _kill_holder(run: HollowRun) -> None:
    """Kill the daemon that leads when a third of the replicas have swapped."""
    await run.until_on(3, LIMIT_S, share=1 / 3)
    leader = run.leaders()[0]
    daemon = next(daemon for daemon in run.daemons if leader in daemon.managers.values())
    await run.kill(daemon, DETECT_S)


FAULTS: dict[str, Fault] = {
    "none": _no_fault,
    "failing_swaps": _failing_swaps,
    "zone_cut": _cut_zone,
    "holder_killed": _kill_holder,
}


def make_run(case: ScaleCase) -> HollowRun:
    """Return the run of a case; needs a running loop."""
    engine = EngineParameters(
        swap_pause_s=case.swap_pause_s, transfer_bytes_per_s=case.engine_link_bytes_per_s
    )
    piece_bytes = max(case.weight_bytes // 32, 1)
    distribution = DistributionSettings(
        fan_out=case.fan_out, cut_through=case.cut_through, max_store_copies=case.max_store_copies
    )
    return HollowRun(
        make_views(case.replicas, ZONES),
        managers=3,
        settings=RolloutSettings(
            distribution=distribution, capacity_floor=case.capacity_floor, zone_capacity_floor=0.5
        ),
        hollow=HollowSettings(
            weight_bytes=case.weight_bytes,
            piece_bytes=piece_bytes,
            engine=engine,
            cut_through=case.cut_through,
        ),
        store=StoreParameters(bytes_per_s=case.store_bytes_per_s, piece_bytes=piece_bytes),
        by_zone=case.by_zone,
        seed=case.seed,
    )


async def run_case(
    case: ScaleCase, profile: cProfile.Profile | None = None, manager_share: float = 0.0
) -> ScaleResult:
    """Settle a fleet, publish a version under the fault, and measure until all is well.

    One rollout goes before, as in service, where the manager knows from the last one
    how long orders take.
    """
    run = make_run(case)
    run.start()
    await run.until_settled(LIMIT_S)
    run.publish(2)
    await run.until_settled(LIMIT_S)
    run.most_paused = 0
    messages, message_bytes = run.fleet.messages, run.fleet.message_bytes
    copies, store_bytes = run.store.fetches, run.store.sent_bytes
    cpu_begun_s = time.process_time()
    if profile is not None:
        profile.enable()
    begun_s = monotonic_s()
    fault = asyncio.ensure_future(FAULTS[case.fault](run))
    run.publish(3)
    reachable = 1.0 - (1 / ZONES if case.fault == "zone_cut" else 0.0)
    if case.fault == "failing_swaps":
        reachable -= FAILING_SHARE
    await run.until_on(3, LIMIT_S, share=0.99 * reachable)
    most_s = monotonic_s() - begun_s
    await run.until_on(3, LIMIT_S, share=reachable)
    all_s = monotonic_s() - begun_s
    await run.until_on(3, LIMIT_S)
    recovered_s = monotonic_s() - begun_s
    if profile is not None:
        profile.disable()
    cpu_s = time.process_time() - cpu_begun_s
    await fault
    leaders = len(run.leaders()) or 1
    messages = run.fleet.messages - messages
    message_bytes = run.fleet.message_bytes - message_bytes
    manager_cpu_s = cpu_s * manager_share
    call_cpu_s = messages * CALL_CPU_S
    await run.close()
    return ScaleResult(
        case=case,
        seconds_to_99_percent=round(most_s, 2),
        seconds_to_all=round(all_s, 2),
        seconds_to_recovered=round(recovered_s, 2),
        within_target=all_s <= TARGET_S,
        most_swapping=run.most_paused,
        messages=messages,
        message_bytes=message_bytes,
        messages_per_replica=round(messages / case.replicas, 2),
        store_copies=run.store.fetches - copies,
        store_bytes=run.store.sent_bytes - store_bytes,
        manager_cpu_s=round(manager_cpu_s, 3),
        call_cpu_s=round(call_cpu_s, 3),
        core_share_of_leader=round((manager_cpu_s + call_cpu_s) / leaders / ROLLOUT_INTERVAL_S, 5),
        bytes_per_s_of_leader=round(message_bytes / leaders / ROLLOUT_INTERVAL_S, 1),
    )


def manager_share_of(profile: cProfile.Profile) -> float:
    """Return the share of the rollout modules in a profile, with the built-ins that they call."""
    total_s = manager_s = 0.0
    for (file, _, _), entry in pstats.Stats(profile, stream=sys.stderr).stats.items():
        own_s, callers = entry[2], entry[4]
        total_s += own_s
        if _is_manager(file):
            manager_s += own_s
        elif file == "~":
            manager_s += sum(called[2] for caller, called in callers.items() if _is_manager(caller[0]))
    return manager_s / total_s


def simulate(case: ScaleCase, with_profile: bool = False) -> ScaleResult:
    """Run one case on a loop of its own; a profiled run before it tells the manager's share."""
    if not with_profile:
        return _on_new_loop(run_case(case))
    profile = cProfile.Profile(time.process_time)
    _on_new_loop(run_case(case, profile))
    return _on_new_loop(run_case(case, manager_share=manager_share_of(profile)))


def _on_new_loop(running: Coroutine[Any, Any, ScaleResult]) -> ScaleResult:
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(running)
    finally:
        loop.close()


def slopes(results: Iterable[ScaleResult]) -> list[Slope]:
    """Return lines over the size, for the calm runs of each kind of leadership."""
    calm = [result for result in results if result.case.fault == "none"]
    found = []
    for by_zone in (False, True):
        runs = [result for result in calm if result.case.by_zone == by_zone]
        if len({result.case.replicas for result in runs}) < 2:
            continue
        for measure in ("seconds_to_all", "messages", "message_bytes", "manager_cpu_s"):
            points = [(result.case.replicas, float(getattr(result, measure))) for result in runs]
            intercept, per_replica = _line(points)
            found.append(
                Slope(
                    measure=measure,
                    by_zone=by_zone,
                    intercept=round(intercept, 4),
                    per_replica=round(per_replica, 6),
                )
            )
    return found


def cases(replicas: Iterable[int], **overrides: Any) -> list[ScaleCase]:
    """Return the calm runs of each size and the faults at the largest."""
    sizes = sorted(replicas)
    found = [
        ScaleCase(replicas=size, by_zone=by_zone, **overrides) for by_zone in (False, True) for size in sizes
    ]
    found += [
        ScaleCase(replicas=sizes[-1], by_zone=by_zone, fault=fault, **overrides)
        for by_zone in (False, True)
        for fault in FAULTS
        if fault != "none"
    ]
    return found


def run(replicas: Any = (60, 300, 1100), out: str = "", **overrides: Any) -> None:
    """Run all sizes and faults, print one JSON line each, and write them to ``out``.

    Args:
        replicas: sizes, separated by commas.
        out: file to write the lines to.
        overrides: any field of a case, for example --weight_bytes 16e9 --fan_out 1.
    """
    sizes = [replicas] if isinstance(replicas, int) else [int(size) for size in replicas]
    results = []
    logging.disable(logging.INFO)
    for case in cases(sizes, **overrides):
        results.append(simulate(case, with_profile=case.fault == "none"))
        print(msgspec.json.encode(results[-1]).decode(), flush=True)
    lines = [msgspec.json.encode(item).decode() for item in [*results, *slopes(results)]]
    if out:
        Path(out).write_text("\n".join(lines) + "\n", encoding="utf-8")
    print("\n".join(lines[len(results) :]))


def _is_manager(file: str) -> bool:
    path = Path(file)
    return path.parent.name == "rollout" and path.stem in _MANAGER_MODULES or path.stem == "statecharts"


def _line(points: list[tuple[int, float]]) -> tuple[float, float]:
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


if __name__ == "__main__":
    fire.Fire(run)
