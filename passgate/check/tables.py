"""Tables of the page ``PAGE``, generated from the committed measurement files.

Each table is placed between two markers.  ``passgate check document`` regenerates all
tables, and a test compares the page with them.

>>> replace_table("<!-- table a -->\\nold\\n<!-- end a -->\\n", "a", "new")
'<!-- table a -->\\nnew\\n<!-- end a -->\\n'
"""

from __future__ import annotations

import pathlib
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from passgate.check import socket_tables
from passgate.check.simulation.campaign import CampaignSummary, FaultRow, format_markdown
from passgate.check.simulation.recovery import RecoveryResult
from passgate.check.simulation.seeded_mistakes import MISTAKES, MistakeResult
from passgate.check.specification.catalogue import SPECIFICATIONS
from passgate.check.specification.model_checker import CheckResult
from passgate.errors import VerificationFailed

PAGE = "docs/design/proof.md"
MEASUREMENTS = "measurements"

Row = TypeVar("Row", bound=msgspec.Struct)


class TableMissing(VerificationFailed):
    """A page lacks the markers of a table; the details name the ``table``."""

    code = "table_missing"


def render_page(root: str) -> str:
    """Return the page with its tables generated from the measurements of the repository at ``root``."""
    base = pathlib.Path(root)
    page = (base / PAGE).read_text()
    for name, formatter in _FORMATTER_BY_TABLE.items():
        page = replace_table(page, name, formatter(base / MEASUREMENTS))
    return page


def replace_table(page: str, name: str, table: str) -> str:
    """Return the page with one table replaced; raises TableMissing."""
    begin, end = f"<!-- table {name} -->\n", f"\n<!-- end {name} -->"
    head, found_begin, rest = page.partition(begin)
    _, found_end, tail = rest.partition(end)
    if not found_begin or not found_end:
        raise TableMissing(f"the page has no markers for table {name}", table=name)
    return f"{head}{begin}{table}{end}{tail}"


def _read_rows(file: pathlib.Path, row_type: type[Row]) -> list[Row]:
    """Return the lines of a JSON lines file that decode as ``row_type``; others are skipped."""
    rows = []
    for line in file.read_bytes().splitlines():
        try:
            rows.append(msgspec.json.decode(line, type=row_type))
        except msgspec.ValidationError:
            continue
    return rows


def _format_model_table(measurements: pathlib.Path) -> str:
    rows = [
        "| specification | bounds | states | depth | seconds | properties that hold |",
        "|---|---|---:|---:|---:|---|",
    ]
    for result in _read_rows(measurements / "model-check.jsonl", CheckResult):
        if result.mutant:
            continue
        names = ", ".join(f"`{verdict.name}`" for verdict in result.properties if verdict.holds)
        bounds = SPECIFICATIONS[result.specification].bounds
        rows.append(
            f"| {result.specification} | {bounds} | {result.states} | {result.depth} "
            f"| {result.seconds} | {names} |"
        )
    return "\n".join(rows)


def _format_mutants_table(measurements: pathlib.Path) -> str:
    rows = ["| specification | mutant | mistake | property that fails | steps |", "|---|---|---|---|---:|"]
    for result in _read_rows(measurements / "model-check.jsonl", CheckResult):
        if not result.mutant:
            continue
        mutant_by_name = {mutant.name: mutant for mutant in SPECIFICATIONS[result.specification].mutants}
        failed = result.properties[0]
        rows.append(
            f"| {result.specification} | {result.mutant} | {mutant_by_name[result.mutant].mistake} "
            f"| `{failed.name}` | {len(failed.trace)} |"
        )
    return "\n".join(rows)


def _format_schedules_table(measurements: pathlib.Path) -> str:
    file = measurements / "schedules.jsonl"
    row_by_fault: dict[str, FaultRow] = {}
    for row in _read_rows(file, FaultRow):
        merged = row_by_fault.setdefault(
            row.fault, FaultRow(fault=row.fault, violations=dict.fromkeys(row.violations, 0))
        )
        merged.runs += row.runs
        for guarantee, count in row.violations.items():
            merged.violations[guarantee] += count
    summaries = _read_rows(file, CampaignSummary)
    runs, failed = sum(total.runs for total in summaries), sum(len(total.failed_seeds) for total in summaries)
    hours = sum(total.virtual_s for total in summaries) / 3600
    events = sum(total.events for total in summaries)
    summary = f"{runs} runs, {failed} failed, {events} events, {hours:.1f} virtual hours."
    return f"{format_markdown([row_by_fault[name] for name in sorted(row_by_fault)])}\n\n{summary}"


def _format_mistakes_table(measurements: pathlib.Path) -> str:
    mistake_by_name = {mistake.name: mistake for mistake in MISTAKES}
    rows = ["| mistake in the running code | guarantee violated | in run |", "|---|---|---:|"]
    for result in _read_rows(measurements / "seeded-mistakes.jsonl", MistakeResult):
        run = result.runs if result.found else "not found"
        rows.append(f"| {mistake_by_name[result.name].description} | {result.guarantee} | {run} |")
    return "\n".join(rows)


def _format_recovery_table(measurements: pathlib.Path) -> str:
    rows = [
        "| fault | lasts s | service | normal again after s | probes not normal |",
        "|---|---:|---|---:|---:|",
    ]
    for result in _read_rows(measurements / "recovery.jsonl", RecoveryResult):
        longest_s = max(result.recovered_s)
        rows.append(
            f"| {result.fault} | {result.fault_lasts_s:g} | {result.service} | {longest_s:g} "
            f"| {result.abnormal} of {result.probes} |"
        )
    return "\n".join(rows)


_FORMATTER_BY_TABLE: dict[str, Callable[[pathlib.Path], str]] = {
    "models": _format_model_table,
    "mutants": _format_mutants_table,
    "schedules": _format_schedules_table,
    "mistakes": _format_mistakes_table,
    "recovery": _format_recovery_table,
    "sockets": socket_tables.format_faults_table,
    "socket_figures": socket_tables.format_figures_table,
    "socket_mistakes": socket_tables.format_mistakes_table,
}


def table_names() -> Sequence[str]:
    """Return the names of all tables."""
    return list(_FORMATTER_BY_TABLE)
