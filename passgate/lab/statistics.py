"""Estimates the ratio of two means from paired values, with a confidence interval.

A pair holds one measure under two policies with the same seed.  The interval is the percentile
bootstrap over pairs (Efron and Tibshirani 1993, chapter 13).

>>> ratio = paired_ratio([2.0, 4.0], [1.0, 2.0], resamples=100, seed=1)
>>> ratio.ratio, ratio.low, ratio.high
(2.0, 2.0, 2.0)
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy

DEFAULT_RESAMPLES = 2000
CONFIDENCE = 0.95
"""Probability that the interval is to cover."""


class RatioEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Ratio of means and the ends of its confidence interval; all None if the baseline sums to zero."""

    ratio: float | None
    low: float | None
    high: float | None


def paired_ratio(
    values: Sequence[float], baseline: Sequence[float], *, resamples: int = DEFAULT_RESAMPLES, seed: int = 0
) -> RatioEstimate:
    """Return mean(values) / mean(baseline) with its interval; the sequences are paired by position.

    Samples of pairs whose baseline mean is zero are left out of the interval.
    """
    value_array = numpy.asarray(values, dtype=float)
    baseline_array = numpy.asarray(baseline, dtype=float)
    if baseline_array.sum() == 0:
        return RatioEstimate(ratio=None, low=None, high=None)
    generator = numpy.random.default_rng(seed)
    samples = generator.integers(0, len(value_array), size=(resamples, len(value_array)))
    baseline_means = baseline_array[samples].mean(axis=1)
    usable = baseline_means > 0
    ratios = value_array[samples].mean(axis=1)[usable] / baseline_means[usable]
    tail_percent = (1 - CONFIDENCE) / 2 * 100
    return RatioEstimate(
        ratio=float(value_array.mean() / baseline_array.mean()),
        low=float(numpy.percentile(ratios, tail_percent)),
        high=float(numpy.percentile(ratios, 100 - tail_percent)),
    )
