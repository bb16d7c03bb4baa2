"""Measures of one run of a scenario: idle trainers, staleness, latencies, refusals and violations.

>>> summary = LatencySummary.from_durations([0.010, 0.020, 0.030])
>>> round(summary.p50_ms), summary.count
(20, 3)
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy

_MS_PER_S = 1000.0


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Mean and percentiles of durations in milliseconds; all zero without durations."""

    count: int
    mean_ms: float
    p50_ms: float
    p99_ms: float

    @classmethod
    def from_durations(cls, durations_s: Sequence[float]) -> LatencySummary:
        """Return the summary of durations in seconds."""
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
    """State of all daemons, engines and trainers at one moment of a run."""

    at_s: float
    """Since the start of the run."""
    queued_requests: int
    """Requests in the queues of all daemons."""
    kv_used_share: float
    """Used share of all engines' KV memory, 0 to 1."""
    cache_hit_share: float
    """Share of prompt tokens found in engines' prefix caches since the previous point, 0 to 1."""
    samples_delivered: int
    """Since the start of the run."""
    newest_version: int
    """Highest weight version of any trainer."""


class RunMeasures(msgspec.Struct, frozen=True, kw_only=True):
    """Measures of one run of a scenario under one policy, fault set and seed."""

    scenario: str
    policy: str
    fault: str
    seed: int
    duration_s: float
    trainer_idle_share: float
    """Share of a trainer's time spent waiting for the samples of a lot, 0 to 1; mean over trainers."""
    steps_done: int
    """Training steps of all trainers."""
    staleness_mean: float
    """Number of weight versions that a sample was behind its trainer when it was delivered."""
    staleness_p99: float
    interactive: LatencySummary
    """From the arrival of an interactive call to its answer."""
    lot_time: LatencySummary
    """From the opening of a lot to its completion."""
    samples_delivered: int
    """Samples that trainers received, without duplicates."""
    samples_lost: int
    """Violations: samples of finished lots, neither delivered nor reported as failed."""
    samples_doubled: int
    """Violations: samples received for a prompt that had one already."""
    samples_over_staleness: int
    """Violations: samples that exceed the staleness bound of their lot."""
    answers_wrong: int
    """Violations: incorrect samples and answers."""
    refused: int
    """Attempts of interactive calls that were refused before they ran."""
    given_up: int
    """Interactive calls without an answer after their last attempt."""
    late_share: float
    """Share of interactive calls answered late or given up, 0 to 1."""
    not_run_that_ran: int
    """Violations: attempts of interactive calls that ran although passgate reported them as not run."""
    goodput_tokens_per_s: float
    """Tokens of completed requests per second, counted by the daemons' processes that run at the end."""
    violations: int
    """Number of violated guarantees, of all kinds."""
    app_busy_shares: tuple[float, ...] = ()
    """Share of its workers' time that each application replica's started calls take; may exceed 1."""
    series: tuple[SeriesPoint, ...] = ()
    """State at fixed intervals of the run."""


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
"""Measures whose ratios a comparison reports; names of :func:`measure_value`."""


def measure_value(run: RunMeasures, name: str) -> float:
    """Return a measure of a run: one of :data:`MEASURE_NAMES`, or any numeric field."""
    if name == "interactive_p50_ms":
        return run.interactive.p50_ms
    if name == "interactive_p99_ms":
        return run.interactive.p99_ms
    return float(getattr(run, name))
