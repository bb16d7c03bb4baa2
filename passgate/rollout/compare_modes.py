"""Swap modes compared by trainer idle time, staleness and interactive lateness on the same seeds.

::

    python -m passgate.rollout.compare_modes --seeds 3 --out measurements/rollout-modes.jsonl

Whole daemons run over the emulated deployments in virtual time.  So that swaps meet
running streams, trainers open one lot ahead and publish after every step.
"""

from __future__ import annotations

import statistics
import tempfile
from collections.abc import Iterable
from pathlib import Path

import fire
import msgspec
import yaml

from passgate.emulator.parameters import DeploymentParameters, load_deployment
from passgate.lab.batch import RunOrder, make_runs
from passgate.lab.measures import RunMeasures, measure_value
from passgate.lab.scenario import Scenario
from passgate.rollout.swap_modes import SWAP_MODES

DEPLOYMENTS = ("olhar", "huon")
MEASURES = (
    "trainer_idle_share",
    "staleness_mean",
    "staleness_p99",
    "interactive_p50_ms",
    "interactive_p99_ms",
    "late_share",
    "refused",
    "goodput_tokens_per_s",
)
CURRENT_MODE = "swap_running"
PROCESSES = 4


class ModeRun(msgspec.Struct, frozen=True, kw_only=True):
    """One run of one mode."""

    deployment: str
    mode: str
    seed: int
    duration_s: float
    steps_done: int
    samples_delivered: int
    violations: int
    measures: dict[str, float]


class ModeMean(msgspec.Struct, frozen=True, kw_only=True):
    """Means of one mode over the seeds."""

    deployment: str
    mode: str
    seeds: int
    steps_done: float
    measures: dict[str, float]


def policy_of(mode: str) -> str:
    """Return the laboratory's policy name of a swap mode.

    >>> policy_of("swap_running"), policy_of("drain")
    ('current', 'swap_drain')
    """
    return "current" if mode == CURRENT_MODE else f"swap_{mode}"


def busy_deployment(name: str) -> DeploymentParameters:
    """Return a deployment whose trainers keep streams running while weights change."""
    parameters = load_deployment(name)
    trainers = tuple(
        msgspec.structs.replace(trainer, lots_ahead=1, publish_every_steps=1)
        for trainer in parameters.trainers
    )
    return msgspec.structs.replace(parameters, trainers=trainers)


def means(runs: Iterable[ModeRun]) -> list[ModeMean]:
    """Return the mean of each measure per deployment and mode."""
    groups: dict[tuple[str, str], list[ModeRun]] = {}
    for item in runs:
        groups.setdefault((item.deployment, item.mode), []).append(item)
    return [
        ModeMean(
            deployment=deployment,
            mode=mode,
            seeds=len(group),
            steps_done=round(statistics.fmean(item.steps_done for item in group), 2),
            measures={
                name: round(statistics.fmean(item.measures[name] for item in group), 4) for name in MEASURES
            },
        )
        for (deployment, mode), group in groups.items()
    ]


def compare(seeds: int = 3, duration_s: float = 300.0, out: str = "", processes: int = PROCESSES) -> None:
    """Run all modes on both deployments; print the means and write runs and means to ``out``."""
    with tempfile.TemporaryDirectory() as directory:
        orders = [
            RunOrder(
                scenario=_scenario(deployment, duration_s, Path(directory)),
                policy=policy_of(mode),
                fault="calm",
                seed=seed,
            )
            for deployment in DEPLOYMENTS
            for seed in range(1, seeds + 1)
            for mode in SWAP_MODES
        ]
        results = make_runs(orders, processes, progress=False)
    runs = [_mode_run(result) for result in results]
    lines = [msgspec.json.encode(item).decode() for item in [*runs, *means(runs)]]
    print("\n".join(lines[len(runs) :]))
    if out:
        Path(out).write_text("\n".join(lines) + "\n", encoding="utf-8")


def _scenario(deployment: str, duration_s: float, directory: Path) -> Scenario:
    path = directory / f"{deployment}.yaml"
    path.write_text(yaml.safe_dump(msgspec.to_builtins(busy_deployment(deployment))), encoding="utf-8")
    return Scenario(name=deployment, deployment=str(path), duration_s=duration_s)


def _mode_run(result: RunMeasures) -> ModeRun:
    mode = next(mode for mode in SWAP_MODES if policy_of(mode) == result.policy)
    return ModeRun(
        deployment=result.scenario,
        mode=mode,
        seed=result.seed,
        duration_s=result.duration_s,
        steps_done=result.steps_done,
        samples_delivered=result.samples_delivered,
        violations=result.violations,
        measures={name: round(measure_value(result, name), 4) for name in MEASURES},
    )


if __name__ == "__main__":
    fire.Fire(compare)
