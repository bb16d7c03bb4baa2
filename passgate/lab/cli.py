"""Command line of the laboratory: ``passgate lab run|compare|sweep|list``."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import msgspec
from rich.console import Console
from rich.table import Table

from passgate.errors import VerificationFailed
from passgate.lab.batch import RunSpec, run_batch
from passgate.lab.compare import ComparisonRow, compare_runs, rows_of_best_baselines
from passgate.lab.fault_sets import FAULT_SETS
from passgate.lab.measures import MEASURE_NAMES, RunMeasures, measure_value
from passgate.lab.scenario import POLICY_NAMES, Scenario, find_policy, load_scenario, scenario_names
from passgate.lab.sweep import parse_sweep_values, sweep_specs

DEFAULT_BASELINES = "round_robin,fewest_requests,fifo,no_hedge,swap_full_drain"
DEFAULT_SEED_COUNT = 5


class GuaranteeViolated(VerificationFailed):
    """A run violated a guarantee of passgate; the detail ``run`` names the first such run."""

    code = "promise_broken"


class LabCommands:
    """Experiments in virtual time; a run with the same seed gives the same result."""

    def list(self) -> None:
        """Print the names of scenarios, policies and fault sets."""
        print("scenarios:", ", ".join(scenario_names()))
        print("policies: ", ", ".join(POLICY_NAMES))
        print("faults:   ", ", ".join(FAULT_SETS))

    def run(
        self,
        scenario: str,
        policy: str = "current",
        fault: str = "calm",
        seed: int = 1,
        duration_s: float = 0.0,
        real: bool = False,
        json: bool = False,
        report: str = "",
    ) -> None:
        """Run one scenario.

        Args:
            scenario: name or file of a scenario.
            policy: name of a policy.
            fault: name of a fault set.
            seed: seed of all random draws.
            duration_s: length of the run in virtual seconds; with 0, that of the scenario.
            real: start the demo of the scenario's deployment instead: separate processes, real sockets.
            json: print JSON lines.
            report: file for plots; its suffix, .png or .svg, selects the format.
        """
        if real:
            from passgate.demo import demo

            demo(deployments=load_scenario(scenario).deployment)
            return
        specs = [_build_spec(scenario, policy, fault, seed, duration_s)]
        _report_runs(run_batch(specs, 1, show_progress=not json), json, report)

    def compare(
        self,
        scenario: str,
        policy: str = "current",
        baselines: str = DEFAULT_BASELINES,
        faults: str = "calm",
        seeds: int = DEFAULT_SEED_COUNT,
        duration_s: float = 0.0,
        processes: int = 0,
        json: bool = False,
        report: str = "",
    ) -> None:
        """Compare a policy with baselines on the same seeds.

        Args:
            scenario: names of scenarios, comma-separated.
            policy: policy that is compared with each baseline.
            baselines: names of policies, comma-separated.
            faults: names of fault sets, comma-separated.
            seeds: number of runs, with seeds from 1, for each scenario, fault set and policy.
            duration_s: length of each run in virtual seconds; with 0, that of the scenario.
            processes: worker processes; with 0, half of the processors.
            json: print JSON lines.
            report: file for plots of the runs with the first seed.
        """
        policy_names = [policy, *_split_list(baselines)]
        specs = [
            _build_spec(scenario_name, policy_name, fault, seed, duration_s)
            for scenario_name in _split_list(scenario)
            for fault in _split_list(faults)
            for policy_name in policy_names
            for seed in range(1, seeds + 1)
        ]
        runs = run_batch(specs, processes)
        rows = compare_runs(runs, policy)
        if json:
            _print_json_lines(rows)
        else:
            _print_comparison_table(rows)
        _report_runs(runs, json, report, skip_table=True)

    def sweep(
        self,
        scenario: str,
        parameter: str = "load",
        values: str = "0.5,1,1.5,2",
        policy: str = "current",
        fault: str = "calm",
        seeds: int = 3,
        duration_s: float = 0.0,
        processes: int = 0,
        json: bool = False,
        report: str = "",
    ) -> None:
        """Run a scenario with several values of one parameter.

        Args:
            scenario: name or file of a scenario.
            parameter: load (factor on interactive arrivals), duration_s or daemons_per_zone.
            values: numbers, comma-separated.
            policy: name of a policy.
            fault: name of a fault set.
            seeds: number of runs, with seeds from 1, for each value.
            duration_s: length of each run in virtual seconds; with 0, that of the scenario.
            processes: worker processes; with 0, half of the processors.
            json: print JSON lines.
            report: file for plots of the runs with the first seed.
        """
        base = _build_spec(scenario, policy, fault, 1, duration_s).scenario
        numbers = parse_sweep_values(parameter, ",".join(_split_list(values)))
        specs = sweep_specs(base, parameter, numbers, policy, fault, seeds)
        _report_runs(run_batch(specs, processes), json, report)

    def table(self, file: str) -> None:
        """Print a comparison as a Markdown table: the policy against the best baseline of each measure.

        Args:
            file: output of ``passgate lab compare --json``.
        """
        from passgate.lab.comparison_table import markdown_table, read_comparison

        print(markdown_table(read_comparison(file)))


def _build_spec(scenario_name: str, policy: str, fault: str, seed: int, duration_s: float) -> RunSpec:
    """Load a scenario and check the policy's name; raises SettingsError."""
    loaded: Scenario = load_scenario(scenario_name)
    find_policy(policy)
    if duration_s:
        loaded = msgspec.structs.replace(loaded, duration_s=float(duration_s))
    return RunSpec(scenario=loaded, policy=policy, fault=fault, seed=int(seed))


def _split_list(text: str | Sequence[str]) -> list[str]:
    """Return the items of a comma-separated list, which Fire may have parsed into a tuple already."""
    parts = text.split(",") if isinstance(text, str) else [str(part) for part in text]
    return [part.strip() for part in parts if part.strip()]


def _report_runs(
    runs: Sequence[RunMeasures], as_json: bool, plot_path: str, *, skip_table: bool = False
) -> None:
    """Print the runs and write their plots; raises GuaranteeViolated if a run violated a guarantee."""
    if as_json:
        _print_json_lines([msgspec.structs.replace(run, series=()) for run in runs])
    elif not skip_table:
        _print_run_table(runs)
    if plot_path:
        from passgate.lab.report import write_report

        plotted = [run for run in runs if run.seed == runs[0].seed]
        print(f"plots: {write_report(plotted, plot_path)}", file=sys.stderr)
    violating = [run for run in runs if run.violations]
    if violating:
        run = violating[0]
        label = f"{run.scenario}/{run.policy}/{run.fault}/seed {run.seed}"
        raise GuaranteeViolated(
            f"{len(violating)} of {len(runs)} runs violated a guarantee, the first is {label}", run=label
        )


def _print_json_lines(items: Sequence[msgspec.Struct]) -> None:
    for item in items:
        print(msgspec.json.encode(item).decode())


def _print_run_table(runs: Sequence[RunMeasures]) -> None:
    names = (*MEASURE_NAMES, "samples_delivered", "given_up", "violations")
    table = Table("scenario", "policy", "fault", "seed", *names)
    for run in runs:
        cells = [f"{measure_value(run, name):.4g}" for name in names]
        table.add_row(run.scenario, run.policy, run.fault, str(run.seed), *cells)
    Console(width=200).print(table)


def _print_comparison_table(rows: Sequence[ComparisonRow]) -> None:
    table = Table(
        "scenario", "fault", "measure", "policy", "baseline", "baseline mean", "ratio [95 %]", "verdict"
    )
    best_row_ids = {id(row) for row in rows_of_best_baselines(rows)}
    for row in rows:
        baseline = f"{row.baseline} (best)" if id(row) in best_row_ids else row.baseline
        interval = "-" if row.ratio is None else f"{row.ratio:.3f} [{row.low:.3f}, {row.high:.3f}]"
        cells = (f"{row.policy_mean:.4g}", baseline, f"{row.baseline_mean:.4g}", interval, row.verdict)
        table.add_row(row.scenario, row.fault, row.measure, *cells)
    Console(width=150).print(table)
