"""Daemon processes with a seeded mistake, by which runs over sockets are themselves tested.

``python -m passgate.check.socket_mistake NAME serve --settings FILE`` runs a
daemon with the mistake ``NAME`` of :mod:`passgate.check.simulation.seeded_mistakes`.

>>> find_mistake("leaving_ignored").guarantee
'leaving'
"""

from __future__ import annotations

import sys

from passgate.check.simulation.seeded_mistakes import MISTAKES, SeededMistake, apply_mistake
from passgate.demo_deployment import ChildProcess, DeploymentProcesses
from passgate.errors import NotFound

MODULE = "passgate.check.socket_mistake"


def find_mistake(name: str) -> SeededMistake:
    """Return a mistake by its name; raises NotFound."""
    for mistake in MISTAKES:
        if mistake.name == name:
            return mistake
    known = ", ".join(mistake.name for mistake in MISTAKES)
    raise NotFound(f"no mistake is named {name!r}", mistake=name, known=known)


class ProcessesWithMistake(DeploymentProcesses):
    """Processes of a deployment whose daemons all run with one seeded mistake."""

    mistake = ""
    """Name of the mistake; set it before the processes start."""

    def _prepare_daemons(self) -> None:
        super()._prepare_daemons()
        for zone in self.daemon_by_zone:
            settings = str(self._directory / f"{zone}.yaml")
            arguments = ["-m", MODULE, self.mistake, "serve", "--settings", settings]
            self.daemon_by_zone[zone] = ChildProcess(zone, arguments, self._directory / f"{zone}.log")


def main() -> None:
    """Run the command line of passgate with the mistake that the first argument names."""
    from passgate.cli import main as run_command

    with apply_mistake(find_mistake(sys.argv.pop(1))):
        run_command()


if __name__ == "__main__":
    main()
