"""When what was harmed: decides by which rules a daemon is judged at a moment."""

import contextlib
import time
from dataclasses import dataclass

CONTACT_S = 4.0
"""Time after the end of trouble from which rules with a time bound hold again."""
EVERYWHERE = "everywhere"
"""Stands for the log and all daemons."""


@dataclass
class Trouble:
    what: str
    target: str
    """A daemon's name, or everywhere."""
    planned: bool
    """Whether it is planned work, which must cut nothing off."""
    began_s: float
    ended_s: float = float("inf")


class TroubleBook:
    """All trouble of a run."""

    def __init__(self):
        self._all = []

    @contextlib.contextmanager
    def during(self, what, target=EVERYWHERE, *, planned=False):
        """Note trouble that lasts for a ``with`` block."""
        trouble = Trouble(what, target, planned, time.monotonic())
        self._all.append(trouble)
        try:
            yield
        finally:
            trouble.ended_s = time.monotonic()

    def in_touch(self, daemon, since_s, until_s):
        """Return whether a daemon had no trouble from contact time before one moment to another."""
        return not self._between(daemon, since_s, until_s)

    def calm_but_planned(self, daemon, since_s, until_s):
        """Return whether a daemon had no other trouble than planned work."""
        return all(trouble.planned for trouble in self._between(daemon, since_s, until_s))

    def _between(self, daemon, since_s, until_s):
        return [
            trouble
            for trouble in self._all
            if trouble.target in (daemon, EVERYWHERE)
            and trouble.began_s <= until_s
            and trouble.ended_s >= since_s - CONTACT_S
        ]
