"""Runs many scenario runs in worker processes, with a progress bar.

Only the laboratory starts processes; daemons never do.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed

import msgspec
from rich.console import Console
from rich.progress import track

from passgate.lab.measures import RunMeasures
from passgate.lab.scenario import Scenario
from passgate.lab.virtual_run import run_scenario

LONGEST_CORE_SHARE = 0.5


class RunOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One run to be made."""

    scenario: Scenario
    policy: str
    fault: str
    seed: int


def make_runs(orders: Sequence[RunOrder], processes: int = 0, *, progress: bool = True) -> list[RunMeasures]:
    """Return the measures of all runs in the order asked; half of the cores by default."""
    workers = processes or max(1, int((os.cpu_count() or 1) * LONGEST_CORE_SHARE))
    results: dict[int, RunMeasures] = {}
    with ProcessPoolExecutor(max_workers=workers) as executor:
        futures = {executor.submit(_make_run, order): index for index, order in enumerate(orders)}
        for future in _shown(as_completed(futures), len(orders), progress):
            results[futures[future]] = future.result()
    return [results[index] for index in range(len(orders))]


def _make_run(order: RunOrder) -> RunMeasures:
    return run_scenario(order.scenario, order.policy, order.fault, order.seed)


def _shown(futures: Iterable, total: int, progress: bool) -> Iterable:
    if not progress:
        return futures
    console = Console(file=sys.stderr)
    return track(futures, total=total, description="runs", console=console)
