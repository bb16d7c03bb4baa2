"""Markdown tables of runs over sockets, from a file of reports as JSON lines.

>>> merge_cells(["held (3)", "held (2)", "not observed"])
'held (5)'
>>> merge_cells(["held (3)", "violated (1)"]), merge_cells(["not observed"])
('violated (1)', 'not observed')
"""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Sequence

import msgspec

from passgate.check.socket_mistake import find_mistake
from passgate.check.socket_report import BEFORE_FAULTS, NOT_OBSERVED, SocketReport, format_cell

INPUT_FIGURE = "slower_s"
"""Name of a figure that is an input of the fault, not a measurement."""
REPORTS_FILE = "socket-histories.jsonl"


def read_reports(file: pathlib.Path) -> list[SocketReport]:
    """Return the reports of a file."""
    return [msgspec.json.decode(line, type=SocketReport) for line in file.read_bytes().splitlines()]


def merge_cells(cells: Iterable[str]) -> str:
    """Return the text of one cell for the cells of several runs."""
    count_by_verdict = {"held": 0, "violated": 0}
    for text in cells:
        if text != NOT_OBSERVED:
            verdict, _, count = text.partition(" ")
            count_by_verdict[verdict] += int(count.strip("()"))
    return format_cell(count_by_verdict["violated"], count_by_verdict["held"])


def format_faults_table(measurements: pathlib.Path) -> str:
    """Return the table of faults and guarantees over all runs without a seeded mistake, with totals."""
    reports = [report for report in read_reports(measurements / REPORTS_FILE) if not report.mistake]
    guarantees = list(reports[0].observed)
    rows_by_fault: dict[str, list[dict[str, str]]] = {}
    for report in reports:
        for name, row in report.cells.items():
            rows_by_fault.setdefault(name.partition(" #")[0], []).append(row)
    lines = ["| fault | times | " + " | ".join(guarantees) + " |", "|---|---:|" + "---|" * len(guarantees)]
    for name in sorted(rows_by_fault, key=lambda name: (name != BEFORE_FAULTS, name)):
        cells = [merge_cells(row[guarantee] for row in rows_by_fault[name]) for guarantee in guarantees]
        lines.append(f"| {name} | {len(rows_by_fault[name])} | " + " | ".join(cells) + " |")
    return "\n".join([*lines, "", _format_totals(reports)])


def _format_totals(reports: Sequence[SocketReport]) -> str:
    events = sum(report.events for report in reports)
    held_count = sum(report.holds() for report in reports)
    codes = [code for report in reports for code in report.exit_codes]
    unhandled = sum(len(report.unhandled) for report in reports)
    return (
        f"{len(reports)} runs, {held_count} without any violation, {events} events, "
        f"{len(codes)} graceful shutdowns of which {codes.count(0)} ended with 0, "
        f"{unhandled} unhandled exceptions."
    )


def format_figures_table(measurements: pathlib.Path) -> str:
    """Return the range of each measured figure over all runs without a seeded mistake."""
    values_by_figure: dict[tuple[str, str], list[float]] = {}
    for report in read_reports(measurements / REPORTS_FILE):
        if report.mistake:
            continue
        for record in report.faults:
            for label, value in record.figures.items():
                name = label.rpartition(" ")[2]
                if name.endswith("_s") and name != INPUT_FIGURE:
                    values_by_figure.setdefault((record.fault, name), []).append(value)
        if report.in_force_max_s is not None:
            values_by_figure.setdefault(("whole run", "in_force_max_s"), []).append(report.in_force_max_s)
    lines = ["| fault | figure | times | min s | max s |", "|---|---|---:|---:|---:|"]
    for (fault, name), values in sorted(values_by_figure.items()):
        lines.append(f"| {fault} | {name} | {len(values)} | {min(values):.2f} | {max(values):.2f} |")
    return "\n".join(lines)


def format_mistakes_table(measurements: pathlib.Path) -> str:
    """Return a row for each run with a seeded mistake, with the guarantees that it violated."""
    lines = ["| mistake in the daemons | faults | seed | guarantees violated |", "|---|---|---:|---|"]
    for report in read_reports(measurements / REPORTS_FILE):
        if report.mistake:
            violated = ", ".join(report.violations) or "none found"
            faults = ", ".join(record.fault for record in report.faults)
            description = find_mistake(report.mistake).description
            lines.append(f"| {description} | {faults} | {report.seed} | {violated} |")
    return "\n".join(lines)
