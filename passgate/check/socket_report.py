"""Report of a run over sockets, with a table of faults and guarantees.

A fault's row covers the time from its start to the start of the next fault.  A cell
says "held" with the number of events of that time that could have shown a violation,
"violated" with the number of violations, or "not observed".

>>> [format_cell(violations, observed) for violations, observed in ((0, 0), (0, 3), (1, 3))]
['not observed', 'held (3)', 'violated (1)']
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.check.events import AnyEvent
from passgate.check.guarantee_coverage import observations
from passgate.check.history import Violation
from passgate.check.history_verdict import make_checkers
from passgate.check.output_oracle import emulated_token
from passgate.check.socket_faults import FaultRecord

NOT_OBSERVED = "not observed"
BEFORE_FAULTS = "before any fault"


class SocketReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run over sockets."""

    seed: int
    mistake: str
    """Mistake that was seeded in the daemons; empty for the unchanged code."""
    seconds: float
    """Time from the start of the callers to the end of the run."""
    events: int
    faults: tuple[FaultRecord, ...]
    observed: dict[str, int]
    """By guarantee, the number of events that could have shown a violation; 0 if it was not tested."""
    violations: dict[str, int]
    """Number of violations by guarantee; guarantees that held are left out."""
    cells: dict[str, dict[str, str]]
    """Text of the table's cell by fault and guarantee."""
    exit_codes: tuple[int | None, ...]
    """Exit codes of graceful shutdowns."""
    unhandled: tuple[str, ...]
    """Log lines of unhandled exceptions."""
    in_force_max_s: float | None
    """Longest time from a change's acceptance until every daemon reported it; None without such a change."""
    trainer_steps: int
    calls_answered: int
    calls_given_up: int
    errors: dict[str, int]
    """Number of errors by code that callers received, including those before retries."""

    def holds(self) -> bool:
        """Return whether no guarantee was violated, no shutdown failed and no exception was unhandled."""
        return not self.violations and not self.unhandled and all(code == 0 for code in self.exit_codes)

    def not_observed(self) -> list[str]:
        """Return the guarantees that this run did not test."""
        return [guarantee for guarantee, count in self.observed.items() if not count]


def format_cell(violations: int, observed: int) -> str:
    """Return the verdict on one guarantee as the text of a table cell."""
    if violations:
        return f"violated ({violations})"
    return f"held ({observed})" if observed else NOT_OBSERVED


def find_violations(events: Sequence[AnyEvent]) -> dict[str, list[Violation]]:
    """Return all violations by guarantee; the list of a guarantee that holds is empty."""
    return {guarantee: checker(events) for guarantee, checker in make_checkers(emulated_token).items()}


def make_cells(
    events: Sequence[AnyEvent],
    violations_by_guarantee: dict[str, list[Violation]],
    faults: Sequence[FaultRecord],
    started_s: float,
) -> dict[str, dict[str, str]]:
    """Return the texts of the table's cells by fault and guarantee; a violation counts at its last event."""
    starts_s = [float("-inf"), *(started_s + fault.from_s for fault in faults)]
    ends_s = [*starts_s[1:], float("inf")]
    names = [BEFORE_FAULTS, *_make_row_names(faults)]
    times_by_guarantee = observations(events)
    cells = {}
    for name, start_s, end_s in zip(names, starts_s, ends_s, strict=True):
        row = {}
        for guarantee, violations in violations_by_guarantee.items():
            violation_count = sum(start_s <= _end_s(violation) < end_s for violation in violations)
            row[guarantee] = format_cell(
                violation_count, sum(start_s <= at_s < end_s for at_s in times_by_guarantee[guarantee])
            )
        cells[name] = row
    return cells


def _end_s(violation: Violation) -> float:
    return max((event.time_s for event in violation.excerpt), default=0.0)


def _make_row_names(faults: Sequence[FaultRecord]) -> list[str]:
    """Return a unique name for each fault: repeated faults get a number."""
    names: list[str] = []
    for record in faults:
        before = sum(earlier.fault == record.fault for earlier in faults[: len(names)])
        names.append(f"{record.fault} #{before + 1}" if before else record.fault)
    return names


def format_table(report: SocketReport) -> str:
    """Return the report as Markdown: the table of verdicts, then measurements and unhandled exceptions."""
    guarantees = list(report.observed)
    lines = ["| fault | " + " | ".join(guarantees) + " |", "|---|" + "---|" * len(guarantees)]
    for fault, row in report.cells.items():
        lines.append(f"| {fault} | " + " | ".join(row[guarantee] for guarantee in guarantees) + " |")
    totals = [format_cell(report.violations.get(name, 0), count) for name, count in report.observed.items()]
    lines.append("| whole run | " + " | ".join(totals) + " |")
    lines.append(
        f"\n{report.events} events in {report.seconds:.1f} s; shutdown exit codes: {report.exit_codes}"
    )
    lines += [f"{fault.fault} of {fault.target}: {fault.figures}" for fault in report.faults if fault.figures]
    lines += [f"unhandled: {line}" for line in report.unhandled]
    if report.not_observed():
        lines.append("not observed: " + ", ".join(report.not_observed()))
    return "\n".join(lines)
