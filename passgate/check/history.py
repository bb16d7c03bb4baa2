"""Recording and reading of histories, and the violations that checkers find in them.

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
    """Keeps events in memory and also writes them as JSON lines to ``sink``, if there is one.

    The caller opens and closes ``sink``.
    """

    def __init__(self, sink: BinaryIO | None = None) -> None:
        self.events: list[AnyEvent] = []
        self._sink = sink

    def record(self, event: AnyEvent) -> None:
        """Append one event; call it in the order in which the events were seen."""
        self.events.append(event)
        if self._sink is not None:
            self._sink.write(encode_event(event) + b"\n")


def read_history(lines: Iterable[bytes]) -> list[AnyEvent]:
    """Return the events of a file of JSON lines; blank lines are skipped.

    Raises:
        HistoryFormatError: a line is not an event; the details hold the number of the first such ``line``.
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
    """One violation of a guarantee, with the few events that show it."""

    guarantee: str = msgspec.field(name="promise")
    rule: str
    """Name of the rule of the guarantee that was violated."""
    message: str
    excerpt: tuple[AnyEvent, ...]

    def sort_key(self) -> tuple[int, float]:
        """Return the excerpt's number of events and the seconds that they span; smaller is shorter."""
        times = [event.time_s for event in self.excerpt]
        return len(self.excerpt), max(times, default=0.0) - min(times, default=0.0)


Checker = Callable[[Sequence[AnyEvent]], list[Violation]]
"""Returns the violations of one guarantee in a complete history."""


def shortest_violation(violations: Iterable[Violation]) -> Violation | None:
    """Return the violation with the shortest excerpt, or None."""
    return min(violations, key=Violation.sort_key, default=None)
