"""``passgate replay``: repeats one simulated run, by its seed or its schedule.

::

    passgate replay --seed 17
    passgate replay --schedule failing.json --smallest --history run.jsonl
"""

from __future__ import annotations

import pathlib

import msgspec

from passgate.check.events import encode_event
from passgate.check.simulation.campaign import make_report, shrink
from passgate.check.simulation.run import RunOutcome, simulate
from passgate.check.simulation.schedule import Schedule, decode_schedule, encode_schedule, generate_schedule
from passgate.errors import InvalidRequest, VerificationFailed


class ReplayFailed(VerificationFailed):
    """The replayed run violated a guarantee or left an exception unhandled."""

    code = "replay_failed"


class ScheduleUnreadable(InvalidRequest):
    """A schedule file is missing or holds no schedule; the details name the ``file``."""

    code = "schedule_unreadable"


class ReplayCommands:
    """Commands that repeat simulated runs; the same schedule gives the same history."""

    def schedule(
        self,
        seed: int = 0,
        only: str = "",
        schedule: str = "",
        smallest: bool = False,
        history: str = "",
    ) -> None:
        """Run the schedule of a seed or file again and check its history.

        Args:
            seed: seed of a campaign.
            only: kind of fault that the campaign was limited to.
            schedule: file with a schedule as JSON, instead of a seed.
            smallest: leave out faults as long as the run still fails.
            history: file to write the run's history to.

        Raises:
            ReplayFailed: the run violated a guarantee or left an exception unhandled.
            ScheduleUnreadable: the schedule file is missing or holds no schedule.
        """
        chosen = read_schedule(schedule) if schedule else generate_schedule(seed, only)
        if smallest:
            chosen = shrink(chosen, lambda candidate: not simulate(candidate).holds())
        outcome = simulate(chosen)
        if history:
            write_history(outcome, history)
        print(encode_schedule(chosen).decode())
        print(msgspec.json.encode(make_report(outcome, 0.0)).decode())
        _raise_if_failed(outcome)


def read_schedule(file: str) -> Schedule:
    """Return the schedule of a file; raises ScheduleUnreadable."""
    try:
        return decode_schedule(pathlib.Path(file).read_text())
    except (OSError, msgspec.MsgspecError) as error:
        raise ScheduleUnreadable(str(error), file=file) from error


def write_history(outcome: RunOutcome, file: str) -> None:
    """Write a run's events as JSON lines, for ``passgate check history``."""
    lines = [encode_event(event) + b"\n" for event in outcome.events]
    pathlib.Path(file).write_bytes(b"".join(lines))


def _raise_if_failed(outcome: RunOutcome) -> None:
    if outcome.holds():
        return
    violation = outcome.verdict.shortest_violation()
    if violation is not None:
        for event in violation.excerpt:
            print(encode_event(event).decode())
    message = violation.message if violation else "; ".join(outcome.unhandled)
    raise ReplayFailed(message, found=", ".join(outcome.failure_names()))
