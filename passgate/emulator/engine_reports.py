"""What an emulated engine tells about itself: late load reports, late cache events with gaps.

>>> log = CacheEventLog("e0", delay_s=0.5, loss=0.0, kept=10, random=Random(1))
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

_SEQUENCES_PER_GENERATION = 2**32
_RATE_WINDOW_S = 1.0


class LoadSnapshot(msgspec.Struct, kw_only=True):
    """State of an engine at one moment, before it becomes a report."""

    running: int
    waiting: int
    outstanding_tokens: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    decoded_tokens: int
    """Counter since the start of the process."""
    versions: dict[str, str]
    leaving: bool


class LoadReporter:
    """Takes a snapshot at fixed intervals; readers see one that is ``lag_s`` old."""

    def __init__(self, replica_id: str, interval_s: float, lag_s: float, start_s: float) -> None:
        self._replica_id = replica_id
        self._interval_s = interval_s
        self._lag_s = lag_s
        self._start_s = start_s
        self._next_tick = 0
        kept = int((lag_s + _RATE_WINDOW_S) / interval_s) + 3
        self._taken: deque[tuple[float, int, LoadSnapshot]] = deque(maxlen=kept)
        self._kept = kept

    def catch_up(self, now_s: float, snapshot: Callable[[], LoadSnapshot]) -> None:
        """Take the snapshots due up to ``now_s``; the state must not have changed since the last call."""
        last_tick = int((now_s - self._start_s) / self._interval_s)
        if last_tick < self._next_tick:
            return
        taken = snapshot()
        for tick in range(max(self._next_tick, last_tick - self._kept), last_tick + 1):
            self._taken.append((self._start_s + tick * self._interval_s, tick, taken))
        self._next_tick = last_tick + 1

    def read(self, now_s: float) -> LoadReport:
        """Return the newest report that is at least ``lag_s`` old, or the oldest kept."""
        index = len(self._taken) - 1
        while index > 0 and self._taken[index][0] > now_s - self._lag_s:
            index -= 1
        taken_s, tick, snapshot = self._taken[index]
        return LoadReport(
            replica_id=self._replica_id,
            sequence=tick + 1,
            running=snapshot.running,
            waiting=snapshot.waiting,
            outstanding_tokens=snapshot.outstanding_tokens,
            kv_used_tokens=snapshot.kv_used_tokens,
            kv_capacity_tokens=snapshot.kv_capacity_tokens,
            tokens_per_s=self._rate(index),
            versions=snapshot.versions,
            leaving=snapshot.leaving,
        )

    def _rate(self, index: int) -> float:
        taken_s, _, snapshot = self._taken[index]
        earlier = index
        while earlier > 0 and taken_s - self._taken[earlier][0] < _RATE_WINDOW_S:
            earlier -= 1
        earlier_s, _, before = self._taken[earlier]
        if taken_s <= earlier_s:
            return 0.0
        return (snapshot.decoded_tokens - before.decoded_tokens) / (taken_s - earlier_s)


class CacheEventLog:
    """Cache events of one engine, published late; some are lost and leave a gap.

    Sequence numbers begin at ``generation * 2**32``, so that they also grow, by a
    jump, when the engine process is replaced.
    """

    def __init__(self, replica_id: str, delay_s: float, loss: float, kept: int, random: Random) -> None:
        self._replica_id = replica_id
        self._delay_s = delay_s
        self._loss = loss
        self._random = random
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=kept)

    def append(self, kind: CacheEventKind, block_hash: int, now_s: float) -> None:
        """Add an event; it may be lost."""
        self._sequence += 1
        if self._random.random() < self._loss:
            return
        event = CacheEvent(
            replica_id=self._replica_id, sequence=self._sequence, kind=kind, block_hash=block_hash
        )
        self._events.append((now_s + self._delay_s, event))

    def read(self, after_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the published events after ``after_sequence`` in order."""
        return [
            event
            for published_s, event in self._events
            if event.sequence > after_sequence and published_s <= now_s
        ]

    def restart(self, generation: int) -> None:
        """Drop all events and number later ones for a new engine process."""
        self._events.clear()
        self._sequence = generation * _SEQUENCES_PER_GENERATION
