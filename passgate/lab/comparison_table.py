"""Formats a comparison as a Markdown table: the policy against the best baseline of each measure.

::

    passgate lab table measurements/lab-compare.jsonl
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from passgate.errors import SettingsError
from passgate.lab.compare import ComparisonRow, rows_of_best_baselines

_COLUMN_TITLES = (
    "scenario",
    "fault",
    "measure",
    "current",
    "best baseline",
    "its mean",
    "ratio [95 %]",
    "verdict",
)


def read_comparison(path: str) -> list[ComparisonRow]:
    """Return the rows in a file of JSON lines; lines of runs, which have no verdict, are skipped.

    Raises SettingsError if the file can't be read or a row can't be decoded.
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
        return [msgspec.json.decode(line, type=ComparisonRow) for line in lines if '"verdict"' in line]
    except OSError as error:
        raise SettingsError(f"can't read {path}", file=path, expected="JSON lines") from error
    except msgspec.MsgspecError as error:
        raise SettingsError(f"invalid comparison: {error}", file=path) from error


def markdown_table(rows: Sequence[ComparisonRow]) -> str:
    """Return the table; rows in which both means are zero are left out."""
    lines = ["| " + " | ".join(_COLUMN_TITLES) + " |", "|" + "---|" * len(_COLUMN_TITLES)]
    lines += [
        _markdown_row(row) for row in rows_of_best_baselines(rows) if row.policy_mean or row.baseline_mean
    ]
    return "\n".join(lines)


def _markdown_row(row: ComparisonRow) -> str:
    ratio = "-" if row.ratio is None else f"{row.ratio:.3f} [{row.low:.3f}, {row.high:.3f}]"
    cells = (
        row.scenario,
        row.fault,
        row.measure,
        f"{row.policy_mean:.4g}",
        row.baseline,
        f"{row.baseline_mean:.4g}",
        ratio,
        row.verdict,
    )
    return "| " + " | ".join(cells) + " |"
