"""Plots measures of runs and their course over time into one PNG or SVG file, with matplotlib."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from passgate.lab.measures import RunMeasures, SeriesPoint

_SERIES_PANELS = (  # field of SeriesPoint and title
    ("queued_requests", "queued requests"),
    ("kv_used_share", "KV memory used (share)"),
    ("cache_hit_share", "prompt tokens from cache (share)"),
    ("samples_delivered", "samples delivered"),
    ("newest_version", "newest weight version"),
)
_BAR_MEASURES = (  # field of RunMeasures and title
    ("trainer_idle_share", "trainer idle share"),
    ("staleness_mean", "mean staleness (versions)"),
    ("late_share", "late interactive calls (share)"),
)
_WIDTH_INCHES = 11.0
_PANEL_HEIGHT_INCHES = 2.2


def write_report(runs: Sequence[RunMeasures], path: str) -> Path:
    """Plot runs into a file, whose suffix selects the format, and return its path.

    Creates the folder of the file if it doesn't exist.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = len(_SERIES_PANELS) + 1
    figure, axes = pyplot.subplots(
        rows, 1, figsize=(_WIDTH_INCHES, rows * _PANEL_HEIGHT_INCHES), layout="constrained"
    )
    _draw_bars(figure, axes[0], runs)
    for axis, (field, title) in zip(axes[1:], _SERIES_PANELS, strict=True):
        _draw_series(axis, runs, field, title)
    axes[1].legend(fontsize="x-small", ncols=3)
    axes[-1].set_xlabel("virtual time (s)")
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(target)
    pyplot.close(figure)
    return target


def _draw_bars(figure, axis, runs: Sequence[RunMeasures]) -> None:
    labels = [f"{run.policy}\n{run.fault} s{run.seed}" for run in runs]
    bar_width = 0.8 / len(_BAR_MEASURES)
    for position, (field, title) in enumerate(_BAR_MEASURES):
        x_positions = [index + position * bar_width for index in range(len(runs))]
        axis.bar(x_positions, [getattr(run, field) for run in runs], width=bar_width, label=title)
    axis.set_xticks([index + bar_width for index in range(len(runs))], labels, fontsize="x-small")
    axis.legend(fontsize="x-small")


def _draw_series(axis, runs: Sequence[RunMeasures], field: str, title: str) -> None:
    for run in runs:
        axis.plot(_times_s(run.series), [getattr(point, field) for point in run.series], label=run.policy)
    axis.set_ylabel(title, fontsize="x-small")


def _times_s(series: Sequence[SeriesPoint]) -> list[float]:
    return [point.at_s for point in series]
