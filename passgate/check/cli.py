"""Commands of ``passgate check``.

Most commands print a table, or JSON lines with ``--json``.  A command that finds a
violated property or guarantee raises :class:`~passgate.errors.VerificationFailed`,
which ends the program with exit code 1.
"""

from __future__ import annotations

import contextlib
import pathlib
import sys
import time
from collections.abc import Callable, Iterator

import msgspec

from passgate.check.history import Violation, read_history
from passgate.check.history_verdict import HistoryVerdict, check_history
from passgate.check.output_oracle import emulated_token
from passgate.errors import NotFound, VerificationFailed

DEFAULT_PROCESSES = 4


class HistoryBroken(VerificationFailed):
    """A history violates a guarantee; the details name it as ``promise``, and the ``rule``."""

    code = "history_broken"


class ModelBroken(VerificationFailed):
    """A specification violates a property, or a mutant was not caught."""

    code = "model_broken"


class HistoryFileMissing(NotFound):
    """The history file can not be read; the details name the ``file``."""

    code = "history_file_missing"


class SchedulesBroken(VerificationFailed):
    """At least one simulated run violated a guarantee or left an exception unhandled."""

    code = "schedules_broken"


class MistakesMissed(VerificationFailed):
    """Simulated runs did not find a seeded mistake."""

    code = "mistakes_missed"


class CheckCommands:
    """Model checking of the core protocols, and checks of run histories."""

    def model(self, specification: str = "", mutants: bool = False, json: bool = False) -> None:
        """Check the specifications exhaustively; with --mutants, that each seeded mistake is caught.

        Args:
            specification: name of one specification; all when empty.
            mutants: check the seeded mistakes instead of the specifications.
            json: print one JSON line per check.
        """
        from passgate.check.specification.catalogue import select_specifications
        from passgate.check.specification.model_checker import check_specification

        failed = []
        for chosen in select_specifications(specification):
            if mutants:
                failed += _check_mutants(chosen, json)
                continue
            result = check_specification(chosen)
            _print_result(json, result, _format_model_result(result))
            for verdict in result.properties:
                if not verdict.holds:
                    failed.append(f"{chosen.name}.{verdict.name}")
                    print(f"  {verdict.name}: {' -> '.join(verdict.trace)}")
        if failed:
            raise ModelBroken(f"{len(failed)} checks failed: {', '.join(failed)}")

    def history(self, file: str, json: bool = False) -> None:
        """Check a recorded history against every guarantee.

        Args:
            file: history as JSON lines of events.
            json: print the verdict as one JSON line.
        """
        try:
            with pathlib.Path(file).open("rb") as lines:
                events = read_history(lines)
        except OSError as error:
            raise HistoryFileMissing(str(error), file=file) from error
        verdict = check_history(events, emulated_token)
        _print_result(json, verdict, _format_verdict(verdict))
        violation = verdict.shortest_violation()
        if violation is not None:
            if not json:
                print(_format_violation(violation))
            raise HistoryBroken(violation.message, promise=violation.guarantee, rule=violation.rule)

    def sockets(
        self,
        seed: int = 1,
        seconds: float = 10.0,
        faults: str | tuple[str, ...] = "",
        load: float = 6.0,
        mistake: str = "",
        history: str = "",
        json: bool = False,
    ) -> None:
        """Run separate daemon processes on loopback under faults, and check the recorded history.

        Args:
            seed: seed of the emulated external systems, callers and operators.
            seconds: minimum time in which callers work; faults may need longer.
            faults: names of faults, separated by commas; names joined by + are injected
                together; all when empty, "none" for a run without faults.
            load: rate of interactive calls, as a multiple of that of a simulated run.
            mistake: name of a mistake of ``passgate check mistakes`` to seed in the daemons.
            history: file to write the history to, for ``passgate check history FILE``.
            json: print the report as one JSON line.
        """
        from passgate.check import socket_command

        names = socket_command.parse_fault_names(faults)
        scenario = socket_command.SocketScenario(
            seed=seed, seconds=seconds, faults=names, load=load, mistake=mistake
        )
        socket_command.run_and_report(scenario, history, json)

    def replay(
        self, seed: int = 0, only: str = "", schedule: str = "", smallest: bool = False, history: str = ""
    ) -> None:
        """Run the simulated schedule of a seed or file again and check its history.

        Args:
            seed: seed of a campaign.
            only: kind of fault that the campaign was limited to.
            schedule: file with a schedule as JSON, instead of a seed.
            smallest: leave out faults as long as the run still fails.
            history: file to write the run's history to.
        """
        from passgate.check.replay import ReplayCommands

        ReplayCommands().schedule(seed, only, schedule, smallest, history)

    def schedules(
        self,
        seeds: int = 100,
        first: int = 0,
        only: str = "",
        processes: int = DEFAULT_PROCESSES,
        json: bool = False,
        output: str = "",
    ) -> None:
        """Run simulated schedules with faults and check each history.

        Args:
            seeds: number of schedules.
            first: first seed.
            only: the one kind of fault, twice in each schedule; mixed when empty.
            processes: number of runs at the same time.
            json: print JSON lines instead of a table.
            output: file to append the table's rows and totals to, as JSON lines.
        """
        from passgate.check.simulation import campaign

        started_s = time.perf_counter()
        seed_range = range(first, first + seeds)
        with _progress(seeds) as advance:
            reports = campaign.run_campaign(
                seed_range, only, processes, lambda report: _report_run(report, advance)
            )
        rows = campaign.make_fault_rows(reports)
        summary = campaign.summarize(reports, first, only, time.perf_counter() - started_s)
        lines = [msgspec.json.encode(entry).decode() for entry in [*rows, summary]]
        print("\n".join(lines) if json else f"{campaign.format_markdown(rows)}\n\n{lines[-1]}")
        if output:
            with pathlib.Path(output).open("a") as file:
                file.write("\n".join(lines) + "\n")
        if summary.failed_seeds:
            raise SchedulesBroken(f"{len(summary.failed_seeds)} of {summary.runs} simulated runs failed")

    def mistakes(self, runs: int = 20, json: bool = False) -> None:
        """Check that simulated runs find each mistake that is seeded in the running code.

        Args:
            runs: maximum number of runs for one mistake.
            json: print one JSON line per mistake.
        """
        from passgate.check.simulation import seeded_mistakes

        missed = []
        for mistake in seeded_mistakes.MISTAKES:
            result = seeded_mistakes.search_violation(mistake, runs)
            line = f"{result.name:24} {result.guarantee:15} run {result.runs:3}  {result.message}"
            _print_result(json, result, line)
            if not result.found:
                missed.append(result.name)
        if missed:
            raise MistakesMissed(f"mistakes not found in {runs} runs: {', '.join(missed)}")

    def recovery(self, seeds: int = 3, json: bool = False) -> None:
        """Measure the virtual time from each fault to normal service.

        Args:
            seeds: runs for each fault.
            json: print one JSON line per fault and service.
        """
        from passgate.check.simulation import recovery

        for result in recovery.measure(seeds):
            _print_result(json, result, recovery.format_line(result))

    def document(self, root: str = ".") -> None:
        """Regenerate the tables of docs/design/proof.md from the committed measurements.

        Args:
            root: directory of the repository.
        """
        from passgate.check import tables

        page = tables.render_page(root)
        (pathlib.Path(root) / tables.PAGE).write_text(page)


@contextlib.contextmanager
def _progress(total: int) -> Iterator[Callable[[], None]]:
    """Show a progress bar if standard error is a terminal; yields a function that advances it."""
    from rich.progress import Progress

    with Progress(disable=not sys.stderr.isatty(), transient=True) as progress:
        task = progress.add_task("schedules", total=total)
        yield lambda: progress.advance(task)


def _report_run(report, advance: Callable[[], None]) -> None:
    advance()
    if not report.holds():
        failures = ", ".join([report.message, *report.unhandled])
        print(f"seed {report.schedule.seed} ({', '.join(report.schedule.fault_names())}): {failures}")


def _check_mutants(specification, json: bool) -> list[str]:
    from passgate.check.specification.model_checker import check_mutant

    missed = []
    for mutant in specification.mutants:
        try:
            result = check_mutant(specification, mutant)
        except VerificationFailed as error:
            missed.append(f"{specification.name}.{mutant.name}")
            print(error, file=sys.stderr)
            continue
        trace = " -> ".join(result.properties[0].trace)
        name = f"{specification.name}.{mutant.name}"
        _print_result(json, result, f"{name:45} caught by {mutant.caught_by:22} {trace}")
    return missed


def _print_result(as_json: bool, value: msgspec.Struct, text: str) -> None:
    print(msgspec.json.encode(value).decode() if as_json else text)


def _format_model_result(result) -> str:
    held_count = sum(verdict.holds for verdict in result.properties)
    return (
        f"{result.specification:15} {result.states:7} states  depth {result.depth:3}  "
        f"{result.seconds:7.2f} s  {held_count}/{len(result.properties)} properties hold"
    )


def _format_verdict(verdict: HistoryVerdict) -> str:
    lines = [f"{verdict.events} events"]
    for entry in verdict.guarantees:
        outcome = f"{entry.violations} violations" if entry.violations else "holds"
        lines.append(f"{entry.guarantee:15} {outcome}")
    return "\n".join(lines)


def _format_violation(violation: Violation) -> str:
    events = [msgspec.json.encode(event).decode() for event in violation.excerpt]
    return "\n".join([f"{violation.guarantee}.{violation.rule}: {violation.message}", *events])
