"""Command line of passgate; a command's module is imported only when the command is run.

::

    passgate serve --settings settings/olhar-caruaru.yaml --stop.notice_s 2
    passgate apply pools.yaml --operator 127.0.0.1:8101
    passgate get Pool --selector tier=gold

Exit codes: 0 success; 1 a check failed, objects differ, or the service returned an error; 2 invalid input;
130 interrupted.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import resource
import signal
import sys
from collections.abc import Callable, Sequence
from types import ModuleType
from typing import Any

import fire
import msgspec
from fire import decorators

from passgate.errors import InvalidRequest, PassgateError, RevisionConflict, SettingsError

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130


class Command(msgspec.Struct, frozen=True):
    """Module and attribute of a command or group of commands."""

    module: str
    attribute: str
    """Dotted path within the module."""
    summary: str
    """Line in the list of commands."""


COMMANDS = {
    "serve": Command("passgate.cli", "serve", "run one daemon"),
    "apply": Command("passgate.operator_commands", "apply", "put the objects of a file"),
    "get": Command("passgate.operator_commands", "get", "show configuration objects"),
    "diff": Command("passgate.operator_commands", "diff", "compare a file with the active objects"),
    "delete": Command("passgate.operator_commands", "delete", "delete one object"),
    "watch": Command("passgate.operator_commands", "watch", "show which daemon has which revision"),
    "explain": Command("passgate.explain", "run", "history of one request, job or item, from logs"),
    "demo": Command("passgate.demo", "demo", "run both example deployments on this machine"),
    "lab": Command("passgate.lab.cli", "LabCommands", "experiments in the emulator"),
    "check": Command("passgate.check.cli", "CheckCommands", "model and history checks"),
    "plan": Command("passgate.plan_commands", "PlanCommands", "plans shown before they are carried out"),
    "replay": Command("passgate.check.replay", "ReplayCommands.schedule", "run a simulated schedule again"),
}


@decorators.SetParseFn(str)
def serve(settings: str = "", **overrides: str) -> None:
    """Run one daemon until SIGTERM or SIGINT; exit code 1 if its graceful shutdown was not complete.

    Args:
        settings: path of the settings file.
        overrides: any setting by its name, for example --zone caruaru or --limits.max_body_bytes 1024.
    """
    from passgate.clock import DaemonEventLoop
    from passgate.logging_setup import configure_logging
    from passgate.process_signals import block_signals, install_signal_handlers
    from passgate.server.daemon import run_daemon
    from passgate.settings import load_settings

    loaded = load_settings(settings, overrides)
    logger = configure_logging(loaded.log_level, loaded.daemon_id)

    def on_stop_signal(request_stop: Callable[[], None]) -> None:
        install_signal_handlers({signal.SIGTERM: request_stop, signal.SIGINT: request_stop})

    raise_file_limit()
    with asyncio.Runner(loop_factory=DaemonEventLoop) as runner:
        stopped_completely = runner.run(run_daemon(loaded, logger, on_stop_signal))
        block_signals()  # closing the loop restores the default action, which would end the process
    if not stopped_completely:
        raise SystemExit(EXIT_FAILED)


def raise_file_limit() -> None:
    """Raise the limit of open files to the hard limit, as each stream needs a socket; best effort."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def find_command(name: str) -> Any:
    """Import a command and return its function or group.

    Raises SettingsError if the command is unknown, is not in this build, or lacks an optional library.
    """
    command = COMMANDS.get(name)
    if command is None:
        known = ", ".join(COMMANDS)
        raise SettingsError(
            f"no command is named {name!r}, expected one of: {known}", key=name, expected=known
        )
    try:
        return _find_attribute(importlib.import_module(command.module), command.attribute)
    except (ModuleNotFoundError, AttributeError) as error:
        if isinstance(error, ModuleNotFoundError) and not (error.name or "").startswith("passgate"):
            problem = f"the command {name} needs the library {error.name}: install passgate[lab]"
        else:
            problem = f"the command {name} is not part of this build"
        raise SettingsError(problem, key=name, expected="an installed command") from error


def _find_attribute(module: ModuleType, path: str) -> Any:
    """Return the attribute at a dotted path; each class on the way is instantiated."""
    value: Any = module
    for name in path.split("."):
        value = getattr(value, name)
        if isinstance(value, type):
            value = value()
    return value


def usage() -> str:
    """Return the usage text, which lists all commands."""
    lines = [f"  {name:<9} {command.summary}" for name, command in COMMANDS.items()]
    return "\n".join(
        ["usage: passgate COMMAND [FLAGS]", "", *lines, "", "passgate COMMAND --help shows its flags."]
    )


def exit_code(error: PassgateError) -> int:
    """Return the exit code of an error.

    >>> exit_code(SettingsError("bad")), exit_code(RevisionConflict("lost")), exit_code(PassgateError())
    (2, 1, 1)
    """
    if isinstance(error, RevisionConflict):
        return EXIT_FAILED
    return EXIT_BAD_INPUT if isinstance(error, SettingsError | InvalidRequest) else EXIT_FAILED


def error_line(error: PassgateError) -> str:
    """Return one line with an error's code, message and those details that the message lacks."""
    message = " ".join(str(error).split())
    details = [f"{name}={value}" for name, value in error.details.items() if value and value not in message]
    shown = f" ({', '.join(details)})" if details else ""
    return f"{error.code}: {message}{shown}"


def _move_help_flag(words: list[str]) -> list[str]:
    """Move a help flag behind ``--``, as Fire would pass it on to a command that accepts any flag."""
    if not {"-h", "--help"} & set(words):
        return words
    return [word for word in words if word not in ("-h", "--help", "--")] + ["--", "--help"]


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command; a PassgateError is printed as one line to standard error.

    Raises SystemExit for every outcome but the success of a command.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)  # the command and its flags
    if not words or words[0] in ("-h", "--help", "help"):
        print(usage())
        raise SystemExit(0 if words else EXIT_BAD_INPUT)
    if words[0] == "--version":
        from passgate import __version__

        print(__version__)
        raise SystemExit(0)
    try:
        component = find_command(words[0])
        fire.Fire(component, command=_move_help_flag(words[1:]), name=f"passgate {words[0]}")
    except PassgateError as error:
        print(f"passgate: {error_line(error)}", file=sys.stderr)
        raise SystemExit(exit_code(error)) from None
    except KeyboardInterrupt:
        raise SystemExit(EXIT_INTERRUPTED) from None
