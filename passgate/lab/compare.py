"""Compares a policy with baselines by the ratio of each measure, paired by seed.

>>> classify_ratio("trainer_idle_share", 0.8, 0.7, 0.9)
'better'
>>> classify_ratio("goodput_tokens_per_s", 0.8, 0.7, 0.9)
'worse'
>>> classify_ratio("staleness_mean", 1.0, 0.9, 1.1)
'even'
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.lab.measures import MEASURE_NAMES, RunMeasures, measure_value
from passgate.lab.statistics import paired_ratio

HIGHER_IS_BETTER = frozenset({"goodput_tokens_per_s"})
"""Measures of which more is better; of all others, less is."""


class ComparisonRow(msgspec.Struct, frozen=True, kw_only=True):
    """One measure of a policy against one baseline, under one scenario and fault set."""

    scenario: str
    fault: str
    measure: str
    policy: str
    baseline: str
    seeds: int
    """Number of seeds with a run of both policies."""
    policy_mean: float
    baseline_mean: float
    ratio: float | None
    """Mean of the policy over mean of the baseline; None if the baseline is zero."""
    low: float | None
    """Lower end of the ratio's confidence interval."""
    high: float | None
    verdict: str
    """``better`` or ``worse`` for the policy; ``even`` if the interval contains 1 or there is no ratio."""


def compare_runs(runs: Sequence[RunMeasures], policy: str) -> list[ComparisonRow]:
    """Return a row for each scenario, fault set, measure and other policy among the runs."""
    rows: list[ComparisonRow] = []
    cases = sorted({(run.scenario, run.fault) for run in runs})
    for scenario, fault in cases:
        case_runs = [run for run in runs if (run.scenario, run.fault) == (scenario, fault)]
        baselines = sorted({run.policy for run in case_runs} - {policy})
        for measure in MEASURE_NAMES:
            rows += [_compare_measure(case_runs, measure, policy, baseline) for baseline in baselines]
    return rows


def rows_of_best_baselines(rows: Sequence[ComparisonRow]) -> list[ComparisonRow]:
    """Return, for each scenario, fault set and measure, the row of the best baseline."""
    best: dict[tuple[str, str, str], ComparisonRow] = {}
    for row in rows:
        key = (row.scenario, row.fault, row.measure)
        if key not in best or _has_better_baseline(row, best[key]):
            best[key] = row
    return list(best.values())


def classify_ratio(measure: str, ratio: float | None, low: float | None, high: float | None) -> str:
    """Return the verdict of a ratio with the ends of its confidence interval."""
    if ratio is None or low is None or high is None or low <= 1.0 <= high:
        return "even"
    policy_is_higher = low > 1.0
    return "better" if policy_is_higher == (measure in HIGHER_IS_BETTER) else "worse"


def _compare_measure(
    case_runs: Sequence[RunMeasures], measure: str, policy: str, baseline: str
) -> ComparisonRow:
    policy_value_by_seed = _value_by_seed(case_runs, measure, policy)
    baseline_value_by_seed = _value_by_seed(case_runs, measure, baseline)
    seeds = sorted(policy_value_by_seed.keys() & baseline_value_by_seed.keys())
    policy_values = [policy_value_by_seed[seed] for seed in seeds]
    baseline_values = [baseline_value_by_seed[seed] for seed in seeds]
    estimate = paired_ratio(policy_values, baseline_values)
    return ComparisonRow(
        scenario=case_runs[0].scenario,
        fault=case_runs[0].fault,
        measure=measure,
        policy=policy,
        baseline=baseline,
        seeds=len(seeds),
        policy_mean=sum(policy_values) / len(seeds),
        baseline_mean=sum(baseline_values) / len(seeds),
        ratio=estimate.ratio,
        low=estimate.low,
        high=estimate.high,
        verdict=classify_ratio(measure, estimate.ratio, estimate.low, estimate.high),
    )


def _value_by_seed(case_runs: Sequence[RunMeasures], measure: str, policy: str) -> dict[int, float]:
    return {run.seed: measure_value(run, measure) for run in case_runs if run.policy == policy}


def _has_better_baseline(row: ComparisonRow, other: ComparisonRow) -> bool:
    """Return whether the baseline of ``row`` is better than that of ``other``."""
    if row.measure in HIGHER_IS_BETTER:
        return row.baseline_mean > other.baseline_mean
    return row.baseline_mean < other.baseline_mean
