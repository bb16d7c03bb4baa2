"""The log and the running code's folds inside a specification.

A record on its way to the log may arrive late, never, or twice; the sender learns
the outcome from its own fold only.  States hold record numbers, so
that they stay small; what a reader knows after a prefix of the log is computed by
the running code's :class:`~passgate.state.projection.StreamState`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from passgate.records import Record, encode_record
from passgate.state.projection import Decision, Projection, StreamState

Prefix = tuple[int, ...]


class Transport(NamedTuple):
    """Records on the log and on their way to it."""

    log: Prefix = ()
    flying: frozenset[int] = frozenset()


def send(transport: Transport, number: int) -> Transport:
    """Return the transport with a record on its way; it may never arrive."""
    return transport._replace(flying=transport.flying | {number})


def arrivals(transport: Transport, copies: Callable[[int], int]) -> Iterator[tuple[str, Transport]]:
    """Yield each way in which one flying record reaches the log.

    A record whose answer was lost is sent again, so it may arrive as often as
    ``copies`` allows for its number, at any times.
    """
    for number in sorted(transport.flying):
        is_last = transport.log.count(number) + 1 >= copies(number)
        flying = transport.flying - {number} if is_last else transport.flying
        yield f"append(#{number})", Transport((*transport.log, number), flying)


class UndedupedState(StreamState):
    """Mutant: repeated records are applied again."""

    def _decide(self, offset: int, record: Record) -> Decision:
        return self.projection.apply(offset, record)


class View(msgspec.Struct, frozen=True):
    """A reader's knowledge after a prefix of the log; never changed."""

    stream: StreamState
    decisions: tuple[Decision, ...]

    @property
    def fold(self) -> Any:
        """Return the running code's fold."""
        return self.stream.projection


class SharedLog:
    """Record numbers for states, and cached folds of log prefixes."""

    def __init__(self, new_fold: Callable[[], Projection], *, skip_dedupe: bool = False) -> None:
        self._new_fold = new_fold
        self._state_type = UndedupedState if skip_dedupe else StreamState
        self._records: list[Record] = []
        self._numbers: dict[bytes, int] = {}
        self._views: dict[Prefix, View] = {}

    def number(self, record: Record) -> int:
        """Return the number that stands for a record in states."""
        payload = encode_record(record)
        if payload not in self._numbers:
            self._numbers[payload] = len(self._records)
            self._records.append(record)
        return self._numbers[payload]

    def record(self, number: int) -> Record:
        """Return the record of a number."""
        return self._records[number]

    def view(self, prefix: Prefix) -> View:
        """Return what a reader knows after a prefix of the log."""
        view = self._views.get(prefix)
        if view is None:
            view = self._views[prefix] = self.replay(prefix)
        return view

    def replay(self, prefix: Prefix, snapshot_at: int = 0) -> View:
        """Fold a prefix anew, through a snapshot after its first ``snapshot_at`` records."""
        stream = self._state_type(self._new_fold())
        decisions = []
        for offset, number in enumerate(prefix):
            if snapshot_at and offset == snapshot_at:
                stream = self._restored(stream)
            decisions.append(stream.apply(offset, encode_record(self._records[number]))[1])
        return View(stream, tuple(decisions))

    def _restored(self, stream: StreamState) -> StreamState:
        snapshot = stream.snapshot()
        assert snapshot is not None
        restored = self._state_type(self._new_fold())
        assert restored.restore(snapshot)
        return restored
