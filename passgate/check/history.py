"""Recording and reading of histories.

>>> from passgate.check.events import DaemonStarted
>>> history = HistoryRecorder()
>>> history.record(DaemonStarted(time_s=0.0, daemon="a"))
>>> len(history.events)
1
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import BinaryIO

import msgspec

from passgate.check.events import AnyEvent, HistoryFormatError, decode_event, encode_event


class HistoryRecorder:
    """Keep events in memory and, when given, write them to an open file of JSON lines.

    The file is opened and closed by the tool that owns it; a daemon has no disk.
    """

    def __init__(self, sink: BinaryIO | None = None) -> None:
        self.events: list[AnyEvent] = []
        self._sink = sink

    def record(self, event: AnyEvent) -> None:
        """Add one event; events are recorded in the order in which they were seen."""
        self.events.append(event)
        if self._sink is not None:
            self._sink.write(encode_event(event) + b"\n")


def read_history(lines: Iterable[bytes]) -> list[AnyEvent]:
    """Return the events of a file of JSON lines; blank lines are passed over.

    Raises:
        HistoryFormatError: details name the first ``line`` that is no event.
    """
    events = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            events.append(decode_event(line))
        except HistoryFormatError as error:
            raise HistoryFormatError(str(error), line=number) from error
    return events


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One broken promise with the fewest events that show it."""

    promise: str
    rule: str
    message: str
    excerpt: tuple[AnyEvent, ...]

    def size(self) -> tuple[int, float]:
        """Return the sort key of excerpts: number of events, then seconds spanned."""
        times = [event.time_s for event in self.excerpt]
        return len(self.excerpt), max(times, default=0.0) - min(times, default=0.0)


Judge = Callable[[Sequence[AnyEvent]], list[Violation]]
"""Looks for violations of one promise in a whole history."""


def shortest(violations: Iterable[Violation]) -> Violation | None:
    """Return the violation with the shortest excerpt, or None."""
    return min(violations, key=Violation.size, default=None)
