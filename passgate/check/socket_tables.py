"""Tables of measured runs over sockets, from a file of reports as JSON lines.

>>> sum_cells(["held (3)", "held (2)", "not observed"])
'held (5)'
>>> sum_cells(["held (3)", "violated (1)"]), sum_cells(["not observed"])
('violated (1)', 'not observed')
"""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Sequence

import msgspec

from passgate.check.socket_mistake import select_mistake
from passgate.check.socket_report import CALM, NOT_OBSERVED, SocketReport, cell

SET_BY_THE_FAULT = "slower_s"
"""A figure that is an input, not a measurement."""
MEASUREMENT = "socket-histories.jsonl"


def read_reports(file: pathlib.Path) -> list[SocketReport]:
    """Return the reports of a file."""
    return [msgspec.json.decode(line, type=SocketReport) for line in file.read_bytes().splitlines()]


def sum_cells(cells: Iterable[str]) -> str:
    """Return one verdict for the verdicts of several runs."""
    counts = {"held": 0, "violated": 0}
    for text in cells:
        if text != NOT_OBSERVED:
            verdict, _, count = text.partition(" ")
            counts[verdict] += int(count.strip("()"))
    return cell(counts["violated"], counts["held"])


def faults_table(measurements: pathlib.Path) -> str:
    """Return fault by promise over all runs of the code as it is, and their totals."""
    reports = [report for report in read_reports(measurements / MEASUREMENT) if not report.mistake]
    promises = list(reports[0].observed)
    rows: dict[str, list[dict[str, str]]] = {}
    for report in reports:
        for name, row in report.cells.items():
            rows.setdefault(name.partition(" #")[0], []).append(row)
    lines = ["| fault | times | " + " | ".join(promises) + " |", "|---|---:|" + "---|" * len(promises)]
    for name in sorted(rows, key=lambda name: (name != CALM, name)):
        sums = [sum_cells(row[promise] for row in rows[name]) for promise in promises]
        lines.append(f"| {name} | {len(rows[name])} | " + " | ".join(sums) + " |")
    return "\n".join([*lines, "", _totals(reports)])


def _totals(reports: Sequence[SocketReport]) -> str:
    events = sum(report.events for report in reports)
    hold = sum(report.holds() for report in reports)
    codes = [code for report in reports for code in report.exit_codes]
    unhandled = sum(len(report.unhandled) for report in reports)
    return (
        f"{len(reports)} runs, {hold} without any violation, {events} events, "
        f"{len(codes)} planned stops of which {codes.count(0)} ended with 0, "
        f"{unhandled} unhandled exceptions."
    )


def figures_table(measurements: pathlib.Path) -> str:
    """Return the least and most of each measured figure over all runs of the code as it is."""
    figures: dict[tuple[str, str], list[float]] = {}
    for report in read_reports(measurements / MEASUREMENT):
        if report.mistake:
            continue
        for note in report.faults:
            for label, value in note.figures.items():
                name = label.rpartition(" ")[2]
                if name.endswith("_s") and name != SET_BY_THE_FAULT:
                    figures.setdefault((note.fault, name), []).append(value)
        if report.in_force_max_s is not None:
            figures.setdefault(("whole run", "in_force_max_s"), []).append(report.in_force_max_s)
    lines = ["| fault | figure | times | least s | most s |", "|---|---|---:|---:|---:|"]
    for (fault, name), values in sorted(figures.items()):
        lines.append(f"| {fault} | {name} | {len(values)} | {min(values):.2f} | {max(values):.2f} |")
    return "\n".join(lines)


def mistakes_table(measurements: pathlib.Path) -> str:
    """Return for each seeded mistake the runs made and the promises found broken."""
    lines = ["| mistake in the daemons | faults | seed | promises broken |", "|---|---|---:|---|"]
    for report in read_reports(measurements / MEASUREMENT):
        if report.mistake:
            broken = ", ".join(report.violations) or "none found"
            faults = ", ".join(note.fault for note in report.faults)
            text = select_mistake(report.mistake).mistake
            lines.append(f"| {text} | {faults} | {report.seed} | {broken} |")
    return "\n".join(lines)
