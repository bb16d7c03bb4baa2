"""The command ``passgate check sockets``: one run, its table, its history file, its exit code."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from passgate.check.events import encode_event
from passgate.check.history import shortest
from passgate.check.socket_faults import FAULTS
from passgate.check.socket_report import find_violations, table
from passgate.check.socket_run import SocketScenario, run_sockets
from passgate.errors import VerificationFailed

NO_FAULT = "none"


class SocketsBroken(VerificationFailed):
    """A run over sockets broke a promise, or a planned stop did not end well."""

    code = "sockets_broken"


def fault_names(faults: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the faults that a command line names; all when it names none.

    >>> fault_names("daemon_kill,log_outage"), fault_names("none")
    (('daemon_kill', 'log_outage'), ())
    """
    names = tuple(faults.split(",")) if isinstance(faults, str) and faults else tuple(faults)
    if names == (NO_FAULT,):
        return ()
    return names or tuple(FAULTS)


def run(scenario: SocketScenario, history: str, json: bool) -> None:
    """Run, write the history, print the verdict; raises SocketsBroken."""
    report, events = asyncio.run(run_sockets(scenario))
    if history:
        lines = b"".join(encode_event(event) + b"\n" for event in events)
        pathlib.Path(history).write_bytes(lines)
    print(msgspec.json.encode(report).decode() if json else table(report))
    if report.holds():
        return
    found = shortest(violation for broken in find_violations(events).values() for violation in broken)
    if found is None:
        raise SocketsBroken(
            f"planned stops ended with {report.exit_codes}, {len(report.unhandled)} errors unhandled"
        )
    excerpt = [encode_event(event).decode() for event in found.excerpt]
    print("\n".join([f"{found.promise}.{found.rule}: {found.message}", *excerpt]))
    raise SocketsBroken(found.message, promise=found.promise, rule=found.rule)
