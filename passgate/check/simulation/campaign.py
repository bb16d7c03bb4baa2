"""Campaigns: many simulated runs over several processes, with a table of faults and violations."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from passgate.check.history_verdict import make_checkers
from passgate.check.output_oracle import emulated_token
from passgate.check.simulation.run import RunOutcome, simulate
from passgate.check.simulation.schedule import Schedule, generate_schedule

UNHANDLED_COLUMN = "unhandled"
"""Name of the column of unhandled exceptions."""
NO_FAULT = "none"
"""Name of the row of runs without faults."""


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run without its events."""

    schedule: Schedule
    broken: dict[str, int]
    """Number of violations by guarantee; guarantees that held are left out."""
    unhandled: tuple[str, ...]
    message: str
    """Message of the shortest violation; empty if all guarantees held."""
    events: int
    virtual_s: float
    seconds: float
    """Real time of the run."""

    def holds(self) -> bool:
        """Return whether every guarantee held and no exception was unhandled."""
        return not self.broken and not self.unhandled


class FaultRow(msgspec.Struct, kw_only=True):
    """Runs with one kind of fault, and the number of violations in them by guarantee."""

    fault: str
    runs: int = 0
    violations: dict[str, int]


class CampaignSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of a campaign."""

    first_seed: int
    runs: int
    only: str
    failed_seeds: tuple[int, ...]
    events: int
    virtual_s: float
    seconds: float
    """Real time of the campaign."""


def make_report(outcome: RunOutcome, seconds: float) -> RunReport:
    """Return the report of a run that took ``seconds`` of real time."""
    shortest = outcome.verdict.shortest_violation()
    return RunReport(
        schedule=outcome.schedule,
        broken=outcome.verdict.violation_counts(),
        unhandled=tuple(sorted(set(outcome.unhandled))),
        message=f"{shortest.guarantee}.{shortest.rule}: {shortest.message}" if shortest else "",
        events=len(outcome.events),
        virtual_s=outcome.virtual_s,
        seconds=round(seconds, 3),
    )


def run_seed(seed: int, only: str = "") -> RunReport:
    """Run the schedule of one seed."""
    started_s = time.perf_counter()
    outcome = simulate(generate_schedule(seed, only))
    return make_report(outcome, time.perf_counter() - started_s)


def run_campaign(
    seeds: Sequence[int],
    only: str = "",
    processes: int = 4,
    on_report: Callable[[RunReport], None] | None = None,
) -> list[RunReport]:
    """Run the schedules of all seeds, ``processes`` at a time; return reports in the order of the seeds.

    ``on_report`` is called with each report as soon as it and all earlier ones are there.
    """
    reports = []
    for report in _iterate_reports(seeds, only, processes):
        reports.append(report)
        if on_report is not None:
            on_report(report)
    return reports


def _iterate_reports(seeds: Sequence[int], only: str, processes: int) -> Iterator[RunReport]:
    if processes <= 1:
        yield from (run_seed(seed, only) for seed in seeds)
        return
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(run_seed, seeds, [only] * len(seeds), chunksize=4)


def summarize(reports: Sequence[RunReport], first_seed: int, only: str, seconds: float) -> CampaignSummary:
    """Return the totals of a campaign."""
    return CampaignSummary(
        first_seed=first_seed,
        runs=len(reports),
        only=only,
        failed_seeds=tuple(report.schedule.seed for report in reports if not report.holds()),
        events=sum(report.events for report in reports),
        virtual_s=round(sum(report.virtual_s for report in reports), 1),
        seconds=round(seconds, 1),
    )


def make_fault_rows(reports: Iterable[RunReport]) -> list[FaultRow]:
    """Return a row for each kind of fault, sorted; a run counts in the row of each of its kinds."""
    row_by_fault: dict[str, FaultRow] = {}
    for report in reports:
        for name in report.schedule.fault_names() or [NO_FAULT]:
            row = row_by_fault.setdefault(
                name, FaultRow(fault=name, violations=dict.fromkeys(column_names(), 0))
            )
            row.runs += 1
            for guarantee, count in report.broken.items():
                row.violations[guarantee] += count
            row.violations[UNHANDLED_COLUMN] += len(report.unhandled)
    return [row_by_fault[name] for name in sorted(row_by_fault)]


def column_names() -> list[str]:
    """Return the columns of the table: all guarantees, then the unhandled exceptions."""
    return [*make_checkers(emulated_token), UNHANDLED_COLUMN]


def format_markdown(rows: Sequence[FaultRow]) -> str:
    """Return the rows as a table in Markdown."""
    names = column_names()
    lines = [
        "| fault | runs | " + " | ".join(names) + " |",
        "|---|---:|" + "---:|" * len(names),
    ]
    for row in rows:
        counts = " | ".join(str(row.violations[name]) for name in names)
        lines.append(f"| {row.fault} | {row.runs} | {counts} |")
    return "\n".join(lines)


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Leave out faults while the schedule fails; no single fault of the result can be left out."""
    was_shrunk = True
    while was_shrunk:
        was_shrunk = False
        for index in range(len(schedule.faults)):
            faults = schedule.faults[:index] + schedule.faults[index + 1 :]
            candidate = msgspec.structs.replace(schedule, faults=faults)
            if fails(candidate):
                schedule, was_shrunk = candidate, True
                break
    return schedule
