"""Tables of the proof's page, generated from the committed measurement files.

Each table stands between two markers; ``passgate check document`` writes them anew
and a test compares them.

>>> replace_table("<!-- table a -->\\nold\\n<!-- end a -->\\n", "a", "new")
'<!-- table a -->\\nnew\\n<!-- end a -->\\n'
"""

from __future__ import annotations

import pathlib
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from passgate.check import socket_tables
from passgate.check.simulation.campaign import CampaignSummary, FaultRow, markdown
from passgate.check.simulation.recovery import RecoveryResult
from passgate.check.simulation.seeded_mistakes import MISTAKES, MistakeResult
from passgate.check.specification.catalogue import SPECIFICATIONS
from passgate.check.specification.kernel import CheckResult
from passgate.errors import VerificationFailed

PAGE = "docs/design/proof.md"
MEASUREMENTS = "measurements"

Row = TypeVar("Row", bound=msgspec.Struct)


class TableMissing(VerificationFailed):
    """A page has no place for a table; details name it."""

    code = "table_missing"


def write_page(root: str) -> str:
    """Return the proof's page with its tables made from the measurements under ``root``."""
    base = pathlib.Path(root)
    page = (base / PAGE).read_text()
    for name, make in _TABLES.items():
        page = replace_table(page, name, make(base / MEASUREMENTS))
    return page


def replace_table(page: str, name: str, table: str) -> str:
    """Return the page with one table replaced; raises TableMissing."""
    begin, end = f"<!-- table {name} -->\n", f"\n<!-- end {name} -->"
    head, found_begin, rest = page.partition(begin)
    _, found_end, tail = rest.partition(end)
    if not found_begin or not found_end:
        raise TableMissing(f"the page has no place for table {name}", table=name)
    return f"{head}{begin}{table}{end}{tail}"


def _lines(file: pathlib.Path, kind: type[Row]) -> list[Row]:
    """Return the lines of a file that are of one kind."""
    rows = []
    for line in file.read_bytes().splitlines():
        try:
            rows.append(msgspec.json.decode(line, type=kind))
        except msgspec.ValidationError:
            continue
    return rows


def _model(measurements: pathlib.Path) -> str:
    rows = [
        "| specification | bounds | states | depth | seconds | properties that hold |",
        "|---|---|---:|---:|---:|---|",
    ]
    for result in _lines(measurements / "model-check.jsonl", CheckResult):
        if result.mutant:
            continue
        names = ", ".join(f"`{verdict.name}`" for verdict in result.properties if verdict.holds)
        bounds = SPECIFICATIONS[result.specification].bounds
        rows.append(
            f"| {result.specification} | {bounds} | {result.states} | {result.depth} "
            f"| {result.seconds} | {names} |"
        )
    return "\n".join(rows)


def _mutants(measurements: pathlib.Path) -> str:
    rows = ["| specification | mutant | mistake | property that fails | steps |", "|---|---|---|---|---:|"]
    for result in _lines(measurements / "model-check.jsonl", CheckResult):
        if not result.mutant:
            continue
        mutants = {mutant.name: mutant for mutant in SPECIFICATIONS[result.specification].mutants}
        failed = result.properties[0]
        rows.append(
            f"| {result.specification} | {result.mutant} | {mutants[result.mutant].mistake} "
            f"| `{failed.name}` | {len(failed.trace)} |"
        )
    return "\n".join(rows)


def _schedules(measurements: pathlib.Path) -> str:
    file = measurements / "schedules.jsonl"
    merged: dict[str, FaultRow] = {}
    for row in _lines(file, FaultRow):
        known = merged.setdefault(
            row.fault, FaultRow(fault=row.fault, violations=dict.fromkeys(row.violations, 0))
        )
        known.runs += row.runs
        for promise, count in row.violations.items():
            known.violations[promise] += count
    totals = _lines(file, CampaignSummary)
    runs, failed = sum(total.runs for total in totals), sum(len(total.failed_seeds) for total in totals)
    hours = sum(total.virtual_s for total in totals) / 3600
    events = sum(total.events for total in totals)
    summary = f"{runs} runs, {failed} failed, {events} events, {hours:.1f} virtual hours."
    return f"{markdown([merged[name] for name in sorted(merged)])}\n\n{summary}"


def _mistakes(measurements: pathlib.Path) -> str:
    known = {mistake.name: mistake for mistake in MISTAKES}
    rows = ["| mistake in the running code | promise found broken | in run |", "|---|---|---:|"]
    for result in _lines(measurements / "seeded-mistakes.jsonl", MistakeResult):
        found = result.runs if result.found else "not found"
        rows.append(f"| {known[result.name].mistake} | {result.promise} | {found} |")
    return "\n".join(rows)


def _recovery(measurements: pathlib.Path) -> str:
    rows = [
        "| fault | lasts s | service | normal again after s | probes not normal |",
        "|---|---:|---|---:|---:|",
    ]
    for result in _lines(measurements / "recovery.jsonl", RecoveryResult):
        worst = max(result.recovered_s)
        rows.append(
            f"| {result.fault} | {result.fault_lasts_s:g} | {result.service} | {worst:g} "
            f"| {result.abnormal} of {result.probes} |"
        )
    return "\n".join(rows)


_TABLES: dict[str, Callable[[pathlib.Path], str]] = {
    "models": _model,
    "mutants": _mutants,
    "schedules": _schedules,
    "mistakes": _mistakes,
    "recovery": _recovery,
    "sockets": socket_tables.faults_table,
    "socket_figures": socket_tables.figures_table,
    "socket_mistakes": socket_tables.mistakes_table,
}


def table_names() -> Sequence[str]:
    """Return the names of all tables."""
    return list(_TABLES)
