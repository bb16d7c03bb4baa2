"""Command line of the checkers: ``passgate check model`` and ``passgate check history FILE``.

Each command prints a table, or JSON lines with ``--json``, and raises
:class:`~passgate.errors.VerificationFailed`, which ends the program with exit
code 1, when a property or promise fails.
"""

from __future__ import annotations

import contextlib
import pathlib
import sys
import time
from collections.abc import Callable, Iterator

import msgspec

from passgate.check.history import Violation, read_history
from passgate.check.judgement import HistoryVerdict, judge_history
from passgate.check.output_oracle import emulated_token
from passgate.errors import NotFound, VerificationFailed

DEFAULT_PROCESSES = 4


class HistoryBroken(VerificationFailed):
    """A history breaks a promise; details name ``promise`` and ``rule``."""

    code = "history_broken"


class ModelBroken(VerificationFailed):
    """A specification breaks a property, or a mutant was not caught."""

    code = "model_broken"


class HistoryFileMissing(NotFound):
    """The history file can not be read; details name ``file``."""

    code = "history_file_missing"


class SchedulesBroken(VerificationFailed):
    """Some simulated run broke a promise; each is printed with its seed."""

    code = "schedules_broken"


class MistakesMissed(VerificationFailed):
    """Simulated runs did not find a mistake that was seeded on purpose."""

    code = "mistakes_missed"


class CheckCommands:
    """Model checking of the core protocol and history checking of runs."""

    def model(self, specification: str = "", mutants: bool = False, json: bool = False) -> None:
        """Check the specifications exhaustively; with --mutants, that each seeded mistake is caught.

        Args:
            specification: name of one specification; all when empty.
            mutants: check the seeded mistakes instead of the specifications.
            json: print one JSON line per check.
        """
        from passgate.check.specification.catalogue import select
        from passgate.check.specification.kernel import check

        failed = []
        for chosen in select(specification):
            if mutants:
                failed += _check_mutants(chosen, json)
                continue
            result = check(chosen)
            _show(json, result, _model_line(result))
            for broken in result.properties:
                if not broken.holds:
                    failed.append(f"{chosen.name}.{broken.name}")
                    print(f"  {broken.name}: {' -> '.join(broken.trace)}")
        if failed:
            raise ModelBroken(f"{len(failed)} failed: {', '.join(failed)}")

    def history(self, file: str, json: bool = False) -> None:
        """Judge a recorded history against every promise.

        Args:
            file: JSON lines of events, as written by a recorder.
            json: print the verdict as one JSON line.
        """
        try:
            with pathlib.Path(file).open("rb") as lines:
                events = read_history(lines)
        except OSError as error:
            raise HistoryFileMissing(str(error), file=file) from error
        verdict = judge_history(events, emulated_token)
        _show(json, verdict, _history_table(verdict))
        found = verdict.shortest()
        if found is not None:
            if not json:
                print(_excerpt(found))
            raise HistoryBroken(found.message, promise=found.promise, rule=found.rule)

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
        """Run separate daemons on loopback under faults, and judge the recorded history.

        Args:
            seed: seed of the emulated outside systems, callers and operators.
            seconds: least time in which callers work; faults may need longer.
            faults: names of faults, parted by commas; joined by + at once; all when empty,
                "none" for a calm run.
            load: interactive calls as a multiple of those of the run in virtual time.
            mistake: give the daemons a mistake of ``passgate check mistakes`` on purpose.
            history: file to write the history to, for ``passgate check history FILE``.
            json: print the report as one JSON line.
        """
        from passgate.check import socket_command

        names = socket_command.fault_names(faults)
        scenario = socket_command.SocketScenario(
            seed=seed, seconds=seconds, faults=names, load=load, mistake=mistake
        )
        socket_command.run(scenario, history, json)

    def replay(
        self, seed: int = 0, only: str = "", schedule: str = "", smallest: bool = False, history: str = ""
    ) -> None:
        """Run the simulated schedule of a seed or file again and judge it.

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
        """Run simulated schedules with faults and judge each history.

        Args:
            seeds: number of schedules.
            first: first seed.
            only: one kind of fault, twice in each schedule; mixed when empty.
            processes: runs at the same time.
            json: print JSON lines instead of a table.
            output: file to append the table's rows and totals to, as JSON lines.
        """
        from passgate.check.simulation import campaign

        started_s = time.perf_counter()
        numbers = range(first, first + seeds)
        with _progress(seeds) as advance:
            reports = campaign.run_campaign(numbers, only, processes, lambda report: _note(report, advance))
        rows = campaign.fault_rows(reports)
        summary = campaign.summarise(reports, first, only, time.perf_counter() - started_s)
        lines = [msgspec.json.encode(entry).decode() for entry in [*rows, summary]]
        print("\n".join(lines) if json else f"{campaign.markdown(rows)}\n\n{lines[-1]}")
        if output:
            with pathlib.Path(output).open("a") as file:
                file.write("\n".join(lines) + "\n")
        if summary.failed_seeds:
            raise SchedulesBroken(f"{len(summary.failed_seeds)} of {summary.runs} runs failed")

    def mistakes(self, runs: int = 20, json: bool = False) -> None:
        """Show that simulated runs find each mistake seeded in the running code.

        Args:
            runs: most runs for one mistake.
            json: print one JSON line per mistake.
        """
        from passgate.check.simulation import seeded_mistakes

        missed = []
        for mistake in seeded_mistakes.MISTAKES:
            result = seeded_mistakes.find(mistake, runs)
            line = f"{result.name:24} {result.promise:15} run {result.runs:3}  {result.message}"
            _show(json, result, line)
            if not result.found:
                missed.append(result.name)
        if missed:
            raise MistakesMissed(f"not found in {runs} runs: {', '.join(missed)}")

    def recovery(self, seeds: int = 3, json: bool = False) -> None:
        """Measure the virtual time from each fault to normal service.

        Args:
            seeds: runs for each fault.
            json: print one JSON line per fault and service.
        """
        from passgate.check.simulation import recovery

        for result in recovery.measure(seeds):
            _show(json, result, recovery.line(result))

    def document(self, root: str = ".") -> None:
        """Write the tables of the proof's page anew from the committed measurements.

        Args:
            root: directory of the repository.
        """
        from passgate.check import tables

        page = tables.write_page(root)
        (pathlib.Path(root) / tables.PAGE).write_text(page)


@contextlib.contextmanager
def _progress(total: int) -> Iterator[Callable[[], None]]:
    """Show a progress bar on the terminal; nothing when the output is not one."""
    from rich.progress import Progress

    with Progress(disable=not sys.stderr.isatty(), transient=True) as progress:
        task = progress.add_task("schedules", total=total)
        yield lambda: progress.advance(task)


def _note(report, advance: Callable[[], None]) -> None:
    advance()
    if not report.holds():
        found = ", ".join([report.message, *report.unhandled])
        print(f"seed {report.schedule.seed} ({', '.join(report.schedule.fault_names())}): {found}")


def _check_mutants(specification, json: bool) -> list[str]:
    from passgate.check.specification.kernel import check_mutant

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
        _show(json, result, f"{name:45} caught by {mutant.caught_by:22} {trace}")
    return missed


def _show(as_json: bool, value: msgspec.Struct, text: str) -> None:
    print(msgspec.json.encode(value).decode() if as_json else text)


def _model_line(result) -> str:
    holding = sum(verdict.holds for verdict in result.properties)
    return (
        f"{result.specification:15} {result.states:7} states  depth {result.depth:3}  "
        f"{result.seconds:7.2f} s  {holding}/{len(result.properties)} properties hold"
    )


def _history_table(verdict: HistoryVerdict) -> str:
    lines = [f"{verdict.events} events"]
    for promise in verdict.promises:
        outcome = f"{promise.violations} violations" if promise.violations else "holds"
        lines.append(f"{promise.promise:15} {outcome}")
    return "\n".join(lines)


def _excerpt(violation: Violation) -> str:
    events = [msgspec.json.encode(event).decode() for event in violation.excerpt]
    return "\n".join([f"{violation.promise}.{violation.rule}: {violation.message}", *events])
