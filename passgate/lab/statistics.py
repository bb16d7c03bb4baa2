"""Ratios of paired runs with bootstrap intervals.

Runs are paired by seed: the same arrivals under two policies.  The interval is
the percentile bootstrap over seeds (Efron and Tibshirani 1993, chapter 13).

>>> ratio = paired_ratio([2.0, 4.0], [1.0, 2.0], resamples=100, seed=1)
>>> ratio.ratio, ratio.low, ratio.high
(2.0, 2.0, 2.0)
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy

RESAMPLES = 2000
CONFIDENCE = 0.95


class RatioEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Ratio of means with its interval; None when the baseline is zero."""

    ratio: float | None
    low: float | None
    high: float | None


def paired_ratio(
    values: Sequence[float], baseline: Sequence[float], *, resamples: int = RESAMPLES, seed: int = 0
) -> RatioEstimate:
    """Return mean(values) / mean(baseline) with a bootstrap interval over pairs."""
    measured = numpy.asarray(values, dtype=float)
    reference = numpy.asarray(baseline, dtype=float)
    if reference.sum() == 0:
        return RatioEstimate(ratio=None, low=None, high=None)
    generator = numpy.random.default_rng(seed)
    picks = generator.integers(0, len(measured), size=(resamples, len(measured)))
    reference_means = reference[picks].mean(axis=1)
    usable = reference_means > 0
    ratios = measured[picks].mean(axis=1)[usable] / reference_means[usable]
    tail = (1 - CONFIDENCE) / 2 * 100
    return RatioEstimate(
        ratio=float(measured.mean() / reference.mean()),
        low=float(numpy.percentile(ratios, tail)),
        high=float(numpy.percentile(ratios, 100 - tail)),
    )
