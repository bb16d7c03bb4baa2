"""Measures of one run: what the users watch, in one typed record.

>>> summary = LatencySummary.of([0.010, 0.020, 0.030])
>>> round(summary.p50_ms), summary.count
(20, 3)
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy

_MS_PER_S = 1000.0


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Percentiles of durations in milliseconds; zeros when there were none."""

    count: int
    mean_ms: float
    p50_ms: float
    p99_ms: float

    @classmethod
    def of(cls, durations_s: Sequence[float]) -> LatencySummary:
        """Summarise durations given in seconds."""
        if not durations_s:
            return cls(count=0, mean_ms=0.0, p50_ms=0.0, p99_ms=0.0)
        milliseconds = numpy.asarray(durations_s) * _MS_PER_S
        return cls(
            count=len(durations_s),
            mean_ms=float(milliseconds.mean()),
            p50_ms=float(numpy.percentile(milliseconds, 50)),
            p99_ms=float(numpy.percentile(milliseconds, 99)),
        )


class SeriesPoint(msgspec.Struct, frozen=True, kw_only=True):
    """One reading of the system's state, taken at a fixed interval of the run."""

    at_s: float
    queued_requests: int
    kv_used_share: float
    """Used share of all engines' KV memory, 0 to 1."""
    cache_hit_share: float
    """Share of prompt tokens served from prefix caches since the last reading."""
    samples_delivered: int
    """Since the start of the run."""
    newest_version: int


class RunMeasures(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run of a scenario under one policy and seed."""

    scenario: str
    policy: str
    fault: str
    seed: int
    duration_s: float
    trainer_idle_share: float
    """Share of trainer time spent waiting for a lot, 0 to 1, mean over trainers."""
    steps_done: int
    staleness_mean: float
    """Versions a sample was behind its trainer at hand-over."""
    staleness_p99: float
    interactive: LatencySummary
    lot_time: LatencySummary
    """Opening of a lot until it was whole."""
    samples_delivered: int
    samples_lost: int
    samples_doubled: int
    samples_over_staleness: int
    answers_wrong: int
    refused: int
    """Attempts that ended with a typed refusal."""
    given_up: int
    """Interactive calls without an answer after their last attempt."""
    late_share: float
    """Share of interactive calls that were answered late or not at all, 0 to 1."""
    not_run_that_ran: int
    goodput_tokens_per_s: float
    """Tokens of samples and answers that reached their callers whole, per second."""
    violations: int
    app_busy_shares: tuple[float, ...] = ()
    """Service time begun on each application replica, over its workers' time; 0 to 1 and a little more."""
    series: tuple[SeriesPoint, ...] = ()


MEASURE_NAMES = (
    "trainer_idle_share",
    "staleness_mean",
    "staleness_p99",
    "interactive_p50_ms",
    "interactive_p99_ms",
    "late_share",
    "refused",
    "goodput_tokens_per_s",
)
"""Measures that comparisons report as ratios."""


def measure_value(run: RunMeasures, name: str) -> float:
    """Return one of :data:`MEASURE_NAMES` from a run."""
    if name == "interactive_p50_ms":
        return run.interactive.p50_ms
    if name == "interactive_p99_ms":
        return run.interactive.p99_ms
    return float(getattr(run, name))
