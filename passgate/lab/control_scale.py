"""Scale run of the control plane: cost, detection, configuration and merging by size.

``python -m passgate.lab.control_scale --sizes 3,30,120,420 --seconds 60
--out measurements/control-scale.jsonl`` writes one JSON object per result, see
:mod:`passgate.lab.control_records`.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import sys
import time
from collections.abc import Coroutine, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from passgate.clock import new_virtual_loop
from passgate.lab import control_cost, control_faults, control_sockets
from passgate.lab.control_records import ControlCost, Result

PARTS = ("cost", "failures", "pauses", "configuration", "merge", "sockets")

DAEMON_TRIALS = 6
ZONE_TRIALS = 2
CONFIGURATION_TRIALS = 3
LOSSES = (0.0, 0.01, 0.05)
PAUSED_S = 60.0
CONFIGURATION_FAULTS = ("calm", "log_outage", "zone_cut", "zone_cut_log_outage")
SOCKET_DAEMONS = (3, 30)


def run(
    sizes: str | tuple[int, ...] = (3, 30, 120, 420),
    seconds: float = 60.0,
    out: str = "",
    parts: str | tuple[str, ...] = PARTS,
    seed: int = 1,
    trials: int = 0,
) -> None:
    """Measure and write JSON lines.

    Args:
        sizes: numbers of daemons; failures are tried at the largest.
        seconds: length of each measurement of cost.
        out: file that the lines are appended to; standard output when empty.
        parts: which of cost, failures, pauses, configuration, merge and sockets to run.
        seed: first seed of the random sources.
        trials: failures and changes tried for each kind; 0 for the usual numbers.
    """
    counts = [int(size) for size in _items(sizes)]
    for result in results(counts, seconds, [str(part) for part in _items(parts)], seed, trials):
        _write(result, out)


def results(
    sizes: list[int], seconds: float, parts: list[str], seed: int, trials: int = 0
) -> Iterator[Result]:
    """Yield the results one by one."""
    largest = max(sizes)
    if "cost" in parts:
        yield from _costs(sizes, seconds, seed)
    if "failures" in parts:
        yield _virtual(control_faults.failure_known(largest, trials or DAEMON_TRIALS, False, seed))
        yield _virtual(control_faults.failure_known(largest, trials or ZONE_TRIALS, True, seed))
    if "pauses" in parts:
        for loss in LOSSES:
            yield _virtual(control_faults.false_positives(largest, PAUSED_S, loss, seed))
    if "configuration" in parts:
        for fault in CONFIGURATION_FAULTS:
            trial = control_faults.configuration_in_force(
                largest, trials or CONFIGURATION_TRIALS, fault, seed
            )
            yield _virtual(trial)
    if "merge" in parts:
        yield _virtual(control_faults.cold_start(largest, seed))
        yield _virtual(control_faults.regions_parted(largest, seed))
    if "sockets" in parts:
        for daemons in SOCKET_DAEMONS:
            yield asyncio.run(control_sockets.measure_sockets(daemons, seconds))


def _costs(sizes: list[int], seconds: float, seed: int) -> Iterator[Result]:
    costs: list[ControlCost] = []
    for load in ("calm", "busy"):
        for size in sizes:
            cost = _in_fresh_process(size, seconds, load, seed)
            costs.append(cost)
            yield cost
        yield from control_cost.fit(costs, load)


def _in_fresh_process(size: int, seconds: float, load: str, seed: int) -> ControlCost:
    # Memory that an earlier measurement freed would hide the growth of this one.
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=1, mp_context=spawn) as pool:
        return pool.submit(_measure_cost, size, seconds, load, seed).result()


def _measure_cost(size: int, seconds: float, load: str, seed: int) -> ControlCost:
    return _virtual(control_cost.measure_cost(size, seconds, load, seed))


def _virtual(measurement: Coroutine[None, None, Result]) -> Result:
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(measurement)
    finally:
        loop.close()


def _write(result: Result, out: str) -> None:
    line = msgspec.json.encode(result).decode()
    if not out:
        print(line, flush=True)
        return
    with Path(out).open("a", encoding="utf-8") as lines:
        lines.write(line + "\n")
    print(f"{time.strftime('%H:%M:%S')} {line}", file=sys.stderr, flush=True)


def _items(value: str | int | tuple) -> list:
    if isinstance(value, str):
        return [item for item in value.split(",") if item]
    return list(value) if isinstance(value, tuple | list) else [value]


if __name__ == "__main__":
    import fire

    fire.Fire(run)
