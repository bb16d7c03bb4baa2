"""Markdown table of a committed comparison: the policy against the best baseline of each measure.

passgate lab table measurements/lab-compare.jsonl
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from passgate.errors import SettingsError
from passgate.lab.compare import ComparisonRow, best_baselines

_HEADS = ("scenario", "fault", "measure", "current", "best baseline", "its mean", "ratio [95 %]", "verdict")


def read_rows(path: str) -> list[ComparisonRow]:
    """Return the comparison rows of a file of JSON lines; raises SettingsError."""
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
        return [msgspec.json.decode(line, type=ComparisonRow) for line in lines if '"verdict"' in line]
    except OSError as error:
        raise SettingsError(f"can not read {path}", file=path, expected="JSON lines") from error
    except msgspec.MsgspecError as error:
        raise SettingsError(f"not a comparison: {error}", file=path) from error


def comparison_table(rows: Sequence[ComparisonRow]) -> str:
    """Return the table; measures that are zero on both sides are left out."""
    lines = ["| " + " | ".join(_HEADS) + " |", "|" + "---|" * len(_HEADS)]
    lines += [_line(row) for row in best_baselines(rows) if row.policy_mean or row.baseline_mean]
    return "\n".join(lines)


def _line(row: ComparisonRow) -> str:
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
