"""Log of the injected faults, by which the checks know what a daemon had to fulfil at a time."""

import contextlib
import time
from dataclasses import dataclass

RECOVERY_S = 4.0
"""Time after the end of a disturbance from which daemons must meet time limits again."""
ALL_TARGETS = "everywhere"
"""Target of a disturbance of the log or of all daemons."""


@dataclass
class Disturbance:
    """One injected fault that may excuse a daemon."""

    kind: str
    target: str
    """Name of a daemon, or ``ALL_TARGETS``."""
    is_planned: bool
    """Whether it is a graceful shutdown, which must cut nothing off."""
    started_s: float
    ended_s: float = float("inf")


class DisturbanceLog:
    """All disturbances of a run."""

    def __init__(self):
        self._disturbances = []

    @contextlib.contextmanager
    def record(self, kind, target=ALL_TARGETS, *, planned=False):
        """Record a disturbance for the duration of a ``with`` block."""
        disturbance = Disturbance(kind, target, planned, time.monotonic())
        self._disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended_s = time.monotonic()

    def record_past(self, kind, started_s, ended_s):
        """Record a disturbance of all daemons that is over."""
        self._disturbances.append(Disturbance(kind, ALL_TARGETS, False, started_s, ended_s))

    def was_undisturbed(self, daemon, since_s, until_s):
        """Return whether no disturbance of a daemon overlaps a time span or the ``RECOVERY_S`` before it."""
        return not self._find_overlapping(daemon, since_s, until_s)

    def had_only_planned_work(self, daemon, since_s, until_s):
        """Like ``was_undisturbed``, but graceful shutdowns are ignored."""
        return all(disturbance.is_planned for disturbance in self._find_overlapping(daemon, since_s, until_s))

    def _find_overlapping(self, daemon, since_s, until_s):
        return [
            disturbance
            for disturbance in self._disturbances
            if disturbance.target in (daemon, ALL_TARGETS)
            and disturbance.started_s <= until_s
            and disturbance.ended_s >= since_s - RECOVERY_S
        ]
