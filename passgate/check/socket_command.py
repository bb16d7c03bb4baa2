"""The command ``passgate check sockets``: runs a scenario, prints its report, writes its history."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from passgate.check.events import encode_event
from passgate.check.history import shortest_violation
from passgate.check.socket_faults import FAULTS
from passgate.check.socket_report import find_violations, format_table
from passgate.check.socket_run import SocketScenario, run_sockets
from passgate.errors import VerificationFailed

NO_FAULT = "none"


class SocketsBroken(VerificationFailed):
    """A run violated a guarantee, a graceful shutdown failed, or an exception was not handled."""

    code = "sockets_broken"


def parse_fault_names(faults: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the names of faults in an option of the command line; all faults when it is empty.

    >>> parse_fault_names("daemon_kill,log_outage"), parse_fault_names("none")
    (('daemon_kill', 'log_outage'), ())
    """
    names = tuple(faults.split(",")) if isinstance(faults, str) and faults else tuple(faults)
    if names == (NO_FAULT,):
        return ()
    return names or tuple(FAULTS)


def run_and_report(scenario: SocketScenario, history: str, json: bool) -> None:
    """Run a scenario, write its history and print its report; raises SocketsBroken if it failed."""
    report, events = asyncio.run(run_sockets(scenario))
    if history:
        lines = b"".join(encode_event(event) + b"\n" for event in events)
        pathlib.Path(history).write_bytes(lines)
    print(msgspec.json.encode(report).decode() if json else format_table(report))
    if report.holds():
        return
    shortest = shortest_violation(
        violation for violations in find_violations(events).values() for violation in violations
    )
    if shortest is None:
        raise SocketsBroken(
            f"graceful shutdowns ended with exit codes {report.exit_codes}, "
            f"{len(report.unhandled)} exceptions were not handled"
        )
    excerpt = [encode_event(event).decode() for event in shortest.excerpt]
    print("\n".join([f"{shortest.guarantee}.{shortest.rule}: {shortest.message}", *excerpt]))
    raise SocketsBroken(shortest.message, promise=shortest.guarantee, rule=shortest.rule)
