"""Load reports and cache events of an emulated replica; both are published late, and events may be lost.

>>> log = CacheEventLog("e0", delay_s=0.5, loss_probability=0.0, max_events=10, random=Random(1))
>>> log.append(CacheEventKind.STORED, 7, now_s=1.0)
>>> len(log.read(0, now_s=1.4)), len(log.read(0, now_s=1.6))
(0, 1)
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

import msgspec

from passgate.schema import CacheEvent, CacheEventKind, LoadReport

_SEQUENCE_NUMBERS_PER_GENERATION = 2**32
_RATE_WINDOW_S = 1.0


class LoadSnapshot(msgspec.Struct, kw_only=True):
    """Load of a replica at one moment."""

    running: int
    waiting: int
    outstanding_tokens: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    decoded_tokens: int
    """Total since the replica was made; restarts do not reset it."""
    versions: dict[str, str]
    leaving: bool


class LoadReporter:
    """Takes load snapshots at fixed intervals; each can be read as a report once it is ``lag_s`` old."""

    def __init__(self, replica_id: str, interval_s: float, lag_s: float, start_s: float) -> None:
        self._replica_id = replica_id
        self._interval_s = interval_s
        self._lag_s = lag_s
        self._start_s = start_s
        self._next_snapshot_number = 0
        max_snapshots = int((lag_s + _RATE_WINDOW_S) / interval_s) + 3
        self._snapshots: deque[tuple[float, int, LoadSnapshot]] = deque(maxlen=max_snapshots)
        """Time, number and content."""
        self._max_snapshots = max_snapshots

    def take_due_snapshots(self, now_s: float, take_snapshot: Callable[[], LoadSnapshot]) -> None:
        """Take the snapshots that are due up to ``now_s``, all with the present load.

        The load must not have changed since the previous call, except at that call's ``now_s``.
        """
        last_number = int((now_s - self._start_s) / self._interval_s)
        if last_number < self._next_snapshot_number:
            return
        snapshot = take_snapshot()
        for number in range(
            max(self._next_snapshot_number, last_number - self._max_snapshots), last_number + 1
        ):
            self._snapshots.append((self._start_s + number * self._interval_s, number, snapshot))
        self._next_snapshot_number = last_number + 1

    def read_report(self, now_s: float) -> LoadReport:
        """Return the newest report that is at least ``lag_s`` old, or the oldest if none is."""
        index = len(self._snapshots) - 1
        while index > 0 and self._snapshots[index][0] > now_s - self._lag_s:
            index -= 1
        taken_s, number, snapshot = self._snapshots[index]
        return LoadReport(
            replica_id=self._replica_id,
            sequence=number + 1,
            running=snapshot.running,
            waiting=snapshot.waiting,
            outstanding_tokens=snapshot.outstanding_tokens,
            kv_used_tokens=snapshot.kv_used_tokens,
            kv_capacity_tokens=snapshot.kv_capacity_tokens,
            tokens_per_s=self._decode_rate(index),
            versions=snapshot.versions,
            leaving=snapshot.leaving,
        )

    def _decode_rate(self, index: int) -> float:
        """Return decoded tokens per second over the window before a snapshot; 0 without earlier ones."""
        taken_s, _, snapshot = self._snapshots[index]
        earlier_index = index
        while earlier_index > 0 and taken_s - self._snapshots[earlier_index][0] < _RATE_WINDOW_S:
            earlier_index -= 1
        earlier_s, _, earlier_snapshot = self._snapshots[earlier_index]
        if taken_s <= earlier_s:
            return 0.0
        return (snapshot.decoded_tokens - earlier_snapshot.decoded_tokens) / (taken_s - earlier_s)


class CacheEventLog:
    """Cache events of one engine; each is published ``delay_s`` late or, with a probability, lost.

    A lost event leaves a gap in the sequence numbers.  The numbers of a process begin after
    ``generation * 2**32``, so a restart leaves a gap too and numbers never repeat.
    """

    def __init__(
        self, replica_id: str, delay_s: float, loss_probability: float, max_events: int, random: Random
    ) -> None:
        self._replica_id = replica_id
        self._delay_s = delay_s
        self._loss_probability = loss_probability
        self._random = random
        self._last_sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=max_events)

    def append(self, kind: CacheEventKind, block_hash: int, now_s: float) -> None:
        """Number an event and, unless it is lost, publish it later."""
        self._last_sequence += 1
        if self._random.random() < self._loss_probability:
            return
        event = CacheEvent(
            replica_id=self._replica_id, sequence=self._last_sequence, kind=kind, block_hash=block_hash
        )
        self._events.append((now_s + self._delay_s, event))

    def read(self, after_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the published events whose sequence number is above ``after_sequence``, in order."""
        return [
            event
            for published_s, event in self._events
            if event.sequence > after_sequence and published_s <= now_s
        ]

    def restart(self, generation: int) -> None:
        """Drop all events and begin the sequence numbers of a new engine process."""
        self._events.clear()
        self._last_sequence = generation * _SEQUENCE_NUMBERS_PER_GENERATION
