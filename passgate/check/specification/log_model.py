"""Model of one log stream for specifications, and the replay of its prefixes by the running code.

A record that is sent may reach the log at any later time, never, or several times.  Its sender learns the
outcome only by reading the log.  Model states refer to records by small identifiers, which keeps states
small; a :class:`~passgate.state.projection.StreamState` applies the records.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from passgate.records import Record, encode_record
from passgate.state.projection import Decision, Projection, StreamState

Prefix = tuple[int, ...]
"""Identifiers of the first records of the log, in the order of their offsets."""


class LogState(NamedTuple):
    """Identifiers of the records on the log and of those in flight to it."""

    records: Prefix = ()
    in_flight: frozenset[int] = frozenset()


def start_append(log: LogState, record_id: int) -> LogState:
    """Return the log with a record in flight; it may never arrive."""
    return log._replace(in_flight=log.in_flight | {record_id})


def append_actions(log: LogState, max_copies: Callable[[int], int]) -> Iterator[tuple[str, LogState]]:
    """Yield label and next state of each append of a record in flight.

    An append whose answer was lost is retried, so a record stays in flight until the log holds
    ``max_copies(record_id)`` copies of it.
    """
    for record_id in sorted(log.in_flight):
        is_last = log.records.count(record_id) + 1 >= max_copies(record_id)
        in_flight = log.in_flight - {record_id} if is_last else log.in_flight
        yield f"append(#{record_id})", LogState((*log.records, record_id), in_flight)


class UnfilteredStreamState(StreamState):
    """Mutant: duplicates of records are applied."""

    def _decide(self, offset: int, record: Record) -> Decision:
        return self.projection.apply(offset, record)


class PrefixView(msgspec.Struct, frozen=True):
    """State of a reader that has applied a prefix of the log, and its decisions; must not be changed."""

    stream: StreamState
    decisions: tuple[Decision, ...]

    @property
    def projection(self) -> Any:
        """Return the running code's projection."""
        return self.stream.projection


class LogReplayer:
    """Assigns identifiers to records, and replays prefixes of the log; caches the results."""

    def __init__(self, new_projection: Callable[[], Projection], *, skip_dedupe: bool = False) -> None:
        """Create a replayer for one stream.

        Args:
            new_projection: returns an empty projection of the stream.
            skip_dedupe: apply duplicates of records, as a mutant.
        """
        self._new_projection = new_projection
        self._state_type = UnfilteredStreamState if skip_dedupe else StreamState
        self._records_by_id: list[Record] = []
        self._id_by_payload: dict[bytes, int] = {}
        self._view_by_prefix: dict[Prefix, PrefixView] = {}

    def record_id(self, record: Record) -> int:
        """Return the identifier of a record; equal records have the same one."""
        payload = encode_record(record)
        if payload not in self._id_by_payload:
            self._id_by_payload[payload] = len(self._records_by_id)
            self._records_by_id.append(record)
        return self._id_by_payload[payload]

    def record(self, record_id: int) -> Record:
        """Return the record with an identifier."""
        return self._records_by_id[record_id]

    def view(self, prefix: Prefix) -> PrefixView:
        """Return the cached state and decisions of a reader that has applied a prefix of the log."""
        view = self._view_by_prefix.get(prefix)
        if view is None:
            view = self._view_by_prefix[prefix] = self.replay(prefix)
        return view

    def replay(self, prefix: Prefix, snapshot_at: int = 0) -> PrefixView:
        """Apply a prefix from the start.

        After ``snapshot_at`` records, the state is replaced by one restored from its snapshot; 0: it is not.
        """
        stream = self._state_type(self._new_projection())
        decisions = []
        for offset, record_id in enumerate(prefix):
            if snapshot_at and offset == snapshot_at:
                stream = self._restore_from_snapshot(stream)
            decisions.append(stream.apply(offset, encode_record(self._records_by_id[record_id]))[1])
        return PrefixView(stream, tuple(decisions))

    def _restore_from_snapshot(self, stream: StreamState) -> StreamState:
        snapshot = stream.snapshot()
        assert snapshot is not None
        restored = self._state_type(self._new_projection())
        assert restored.restore(snapshot)
        return restored
