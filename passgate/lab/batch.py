"""Runs scenarios in worker processes, each run in one process, with a progress bar."""

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

DEFAULT_CPU_SHARE = 0.5
"""Share of the processors that get a worker process."""


class RunSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Scenario, policy, fault set and seed of one run."""

    scenario: Scenario
    policy: str
    fault: str
    seed: int


def run_batch(
    specs: Sequence[RunSpec], worker_processes: int = 0, *, show_progress: bool = True
) -> list[RunMeasures]:
    """Return the measures of all runs, in the order of ``specs``.

    Args:
        specs: the runs to make.
        worker_processes: processes to use; with 0, a share ``DEFAULT_CPU_SHARE`` of the processors.
        show_progress: whether to show a progress bar on standard error.
    """
    workers = worker_processes or max(1, int((os.cpu_count() or 1) * DEFAULT_CPU_SHARE))
    result_by_index: dict[int, RunMeasures] = {}
    with ProcessPoolExecutor(max_workers=workers) as executor:
        index_by_future = {executor.submit(_run_spec, spec): index for index, spec in enumerate(specs)}
        for future in _with_progress_bar(as_completed(index_by_future), len(specs), show_progress):
            result_by_index[index_by_future[future]] = future.result()
    return [result_by_index[index] for index in range(len(specs))]


def _run_spec(spec: RunSpec) -> RunMeasures:
    return run_scenario(spec.scenario, spec.policy, spec.fault, spec.seed)


def _with_progress_bar(futures: Iterable, total: int, show_progress: bool) -> Iterable:
    if not show_progress:
        return futures
    console = Console(file=sys.stderr)
    return track(futures, total=total, description="runs", console=console)
