"""Compares policies with baselines on the same seeds.

>>> verdict_of("trainer_idle_share", 0.8, 0.7, 0.9)
'better'
>>> verdict_of("goodput_tokens_per_s", 0.8, 0.7, 0.9)
'worse'
>>> verdict_of("staleness_mean", 1.0, 0.9, 1.1)
'even'
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.lab.measures import MEASURE_NAMES, RunMeasures, measure_value
from passgate.lab.statistics import paired_ratio

HIGHER_IS_BETTER = frozenset({"goodput_tokens_per_s"})


class ComparisonRow(msgspec.Struct, frozen=True, kw_only=True):
    """One measure of one policy against one baseline."""

    scenario: str
    fault: str
    measure: str
    policy: str
    baseline: str
    seeds: int
    policy_mean: float
    baseline_mean: float
    ratio: float | None
    """Policy over baseline; None when the baseline is zero."""
    low: float | None
    high: float | None
    verdict: str
    """``better``, ``worse`` or ``even``: even when the interval holds 1."""


def compare_runs(runs: Sequence[RunMeasures], policy: str) -> list[ComparisonRow]:
    """Return rows of ``policy`` against every other policy found, per scenario and fault."""
    rows: list[ComparisonRow] = []
    cases = sorted({(run.scenario, run.fault) for run in runs})
    for scenario, fault in cases:
        members = [run for run in runs if (run.scenario, run.fault) == (scenario, fault)]
        baselines = sorted({run.policy for run in members} - {policy})
        for measure in MEASURE_NAMES:
            rows += [_row(members, measure, policy, baseline) for baseline in baselines]
    return rows


def best_baselines(rows: Sequence[ComparisonRow]) -> list[ComparisonRow]:
    """Return, for each case and measure, the row against the best baseline."""
    best: dict[tuple[str, str, str], ComparisonRow] = {}
    for row in rows:
        key = (row.scenario, row.fault, row.measure)
        if key not in best or _is_better(row, best[key]):
            best[key] = row
    return list(best.values())


def verdict_of(measure: str, ratio: float | None, low: float | None, high: float | None) -> str:
    """Return whether a ratio with its interval speaks for the policy."""
    if ratio is None or low is None or high is None or low <= 1.0 <= high:
        return "even"
    is_higher = low > 1.0
    return "better" if is_higher == (measure in HIGHER_IS_BETTER) else "worse"


def _row(members: Sequence[RunMeasures], measure: str, policy: str, baseline: str) -> ComparisonRow:
    values = _by_seed(members, measure, policy)
    references = _by_seed(members, measure, baseline)
    seeds = sorted(values.keys() & references.keys())
    measured = [values[seed] for seed in seeds]
    reference = [references[seed] for seed in seeds]
    estimate = paired_ratio(measured, reference)
    return ComparisonRow(
        scenario=members[0].scenario,
        fault=members[0].fault,
        measure=measure,
        policy=policy,
        baseline=baseline,
        seeds=len(seeds),
        policy_mean=sum(measured) / len(seeds),
        baseline_mean=sum(reference) / len(seeds),
        ratio=estimate.ratio,
        low=estimate.low,
        high=estimate.high,
        verdict=verdict_of(measure, estimate.ratio, estimate.low, estimate.high),
    )


def _by_seed(members: Sequence[RunMeasures], measure: str, policy: str) -> dict[int, float]:
    return {run.seed: measure_value(run, measure) for run in members if run.policy == policy}


def _is_better(row: ComparisonRow, other: ComparisonRow) -> bool:
    """Whether ``row`` has the better baseline of the two."""
    if row.measure in HIGHER_IS_BETTER:
        return row.baseline_mean > other.baseline_mean
    return row.baseline_mean < other.baseline_mean
