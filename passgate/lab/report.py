"""Plots of runs over time, as one PNG or SVG file (library: matplotlib)."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from passgate.lab.measures import RunMeasures, SeriesPoint

_PANELS = (
    ("queued_requests", "queued requests"),
    ("kv_used_share", "KV memory used (share)"),
    ("cache_hit_share", "prompt tokens from cache (share)"),
    ("samples_delivered", "samples delivered"),
    ("newest_version", "newest weight version"),
)
_BARS = (
    ("trainer_idle_share", "trainer idle share"),
    ("staleness_mean", "mean staleness (versions)"),
    ("late_share", "late interactive calls (share)"),
)
_WIDTH_INCHES = 11.0
_PANEL_HEIGHT_INCHES = 2.2


def write_report(runs: Sequence[RunMeasures], path: str) -> Path:
    """Write the plots of runs to ``path`` (its ending chooses the format) and return it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = len(_PANELS) + 1
    figure, axes = pyplot.subplots(
        rows, 1, figsize=(_WIDTH_INCHES, rows * _PANEL_HEIGHT_INCHES), layout="constrained"
    )
    _draw_bars(figure, axes[0], runs)
    for axis, (name, title) in zip(axes[1:], _PANELS, strict=True):
        _draw_series(axis, runs, name, title)
    axes[1].legend(fontsize="x-small", ncols=3)
    axes[-1].set_xlabel("virtual time (s)")
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(target)
    pyplot.close(figure)
    return target


def _draw_bars(figure, axis, runs: Sequence[RunMeasures]) -> None:
    labels = [f"{run.policy}\n{run.fault} s{run.seed}" for run in runs]
    width = 0.8 / len(_BARS)
    for position, (name, title) in enumerate(_BARS):
        places = [index + position * width for index in range(len(runs))]
        axis.bar(places, [getattr(run, name) for run in runs], width=width, label=title)
    axis.set_xticks([index + width for index in range(len(runs))], labels, fontsize="x-small")
    axis.legend(fontsize="x-small")


def _draw_series(axis, runs: Sequence[RunMeasures], name: str, title: str) -> None:
    for run in runs:
        axis.plot(_times(run.series), [getattr(point, name) for point in run.series], label=run.policy)
    axis.set_ylabel(title, fontsize="x-small")


def _times(series: Sequence[SeriesPoint]) -> list[float]:
    return [point.at_s for point in series]
