"""Verdict of a run over sockets as a table of fault and promise.

A fault's row covers the time from its begin to the next fault's begin.  A cell
says "held" with the number of events by which the promise could be judged in
that time, "violated", or "not observed".

>>> cell(violations=0, observed=0), cell(violations=0, observed=3), cell(violations=1, observed=3)
('not observed', 'held (3)', 'violated (1)')
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.check.events import AnyEvent
from passgate.check.history import Violation
from passgate.check.judgement import judges
from passgate.check.output_oracle import emulated_token
from passgate.check.socket_faults import FaultNote
from passgate.check.socket_observation import observations

NOT_OBSERVED = "not observed"
CALM = "before any fault"


class SocketReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run over sockets."""

    seed: int
    mistake: str
    """Mistake that the daemons had on purpose; empty for the code as it is."""
    seconds: float
    """Time on the wall clock from the callers' begin to the end of the rest."""
    events: int
    faults: tuple[FaultNote, ...]
    observed: dict[str, int]
    """Events by which each promise could be judged; 0 means that it was not observed."""
    violations: dict[str, int]
    """Violations by promise; promises that were not broken are left out."""
    cells: dict[str, dict[str, str]]
    """Fault to promise to verdict."""
    exit_codes: tuple[int | None, ...]
    """Of planned stops."""
    unhandled: tuple[str, ...]
    """Log lines of exceptions that nothing handled: each is a fault of the code."""
    in_force_max_s: float | None
    """Longest time from acceptance of a change until all daemons that serve reported it."""
    trainer_steps: int
    calls_answered: int
    calls_given_up: int
    errors: dict[str, int]
    """Typed errors that callers saw before their retries, by code."""

    def holds(self) -> bool:
        """Return whether no promise was broken, each planned stop ended well and nothing was unhandled."""
        return not self.violations and not self.unhandled and all(code == 0 for code in self.exit_codes)

    def not_observed(self) -> list[str]:
        """Return the promises that this run could not judge."""
        return [promise for promise, count in self.observed.items() if not count]


def cell(violations: int, observed: int) -> str:
    """Return the verdict of one promise in the time of one fault."""
    if violations:
        return f"violated ({violations})"
    return f"held ({observed})" if observed else NOT_OBSERVED


def find_violations(events: Sequence[AnyEvent]) -> dict[str, list[Violation]]:
    """Return all violations by promise."""
    return {promise: judge(events) for promise, judge in judges(emulated_token).items()}


def make_cells(
    events: Sequence[AnyEvent],
    found: dict[str, list[Violation]],
    faults: Sequence[FaultNote],
    started_s: float,
) -> dict[str, dict[str, str]]:
    """Return for each fault the verdict on each promise in its time."""
    begins = [float("-inf"), *(started_s + note.from_s for note in faults)]
    ends = [*begins[1:], float("inf")]
    names = [CALM, *_row_names(faults)]
    seen = observations(events)
    cells = {}
    for name, begin_s, end_s in zip(names, begins, ends, strict=True):
        row = {}
        for promise, violations in found.items():
            broken = sum(begin_s <= _ended_s(violation) < end_s for violation in violations)
            row[promise] = cell(broken, sum(begin_s <= at_s < end_s for at_s in seen[promise]))
        cells[name] = row
    return cells


def _ended_s(violation: Violation) -> float:
    return max((event.time_s for event in violation.excerpt), default=0.0)


def _row_names(faults: Sequence[FaultNote]) -> list[str]:
    """Return one name for each fault; a repeated one gets its number."""
    names: list[str] = []
    for note in faults:
        before = sum(earlier.fault == note.fault for earlier in faults[: len(names)])
        names.append(f"{note.fault} #{before + 1}" if before else note.fault)
    return names


def table(report: SocketReport) -> str:
    """Return the verdicts as a table in Markdown, with what the run measured."""
    promises = list(report.observed)
    lines = ["| fault | " + " | ".join(promises) + " |", "|---|" + "---|" * len(promises)]
    for fault, row in report.cells.items():
        lines.append(f"| {fault} | " + " | ".join(row[promise] for promise in promises) + " |")
    whole = [cell(report.violations.get(name, 0), count) for name, count in report.observed.items()]
    lines.append("| whole run | " + " | ".join(whole) + " |")
    lines.append(f"\n{report.events} events in {report.seconds:.1f} s; planned stops: {report.exit_codes}")
    lines += [f"{note.fault} of {note.target}: {note.figures}" for note in report.faults if note.figures]
    lines += [f"unhandled: {line}" for line in report.unhandled]
    if report.not_observed():
        lines.append("not observed: " + ", ".join(report.not_observed()))
    return "\n".join(lines)
