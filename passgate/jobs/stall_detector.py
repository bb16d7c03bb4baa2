"""Detects stalled streams, so that their items resume at another replica.

Resuming at another replica costs one more prefill of the prompt, some 50 ms; waiting for a replica that
crashed costs the whole wait.  So the limit for silence is short, but up to MAX_SILENCE_LIMIT_S it applies
only while other replicas' streams deliver data: if all are silent, this daemon or its network is probably at
fault, and another replica would be no better.

>>> detector = StallDetector()
>>> first, second = ReplicaIncarnation("r1"), ReplicaIncarnation("r2")
>>> detector.record_data(first, now_s=10.0)
>>> detector.seems_stalled(second, since_s=9.9), detector.seems_stalled(first, since_s=9.9)
(True, False)
>>> silence_limit_s(event_interval_s=0.04)
0.4
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from passgate.clock import monotonic_s
from passgate.eligibility.replica_info import ReplicaIncarnation

MAX_EVENT_INTERVALS = 10.0
"""Limit for silence in multiples of the usual interval of events; a prefill of another prompt takes two or
three."""
MIN_SILENCE_LIMIT_S = 0.3
"""Lower bound of the limit for silence between events."""
FIRST_BYTES_LIMIT_S = 0.6
"""Limit for the time until an answer's first bytes; allows for a new connection."""
MAX_SILENCE_LIMIT_S = 1.5
"""Upper bound of the limit; a stream silent for this long counts as stalled even if all others are silent."""
LOOP_DELAY_S = 0.1
"""Delay of a timeout from which on this daemon's event loop counts as having been blocked."""
MAX_REPLICAS = 4096
"""Maximum number of replica incarnations remembered; every restart of a replica adds one."""
NEVER_S = float("-inf")

T = TypeVar("T")


def silence_limit_s(event_interval_s: float) -> float:
    """Return the limit for silence between events of a stream whose events have a usual interval."""
    return min(max(MAX_EVENT_INTERVALS * event_interval_s, MIN_SILENCE_LIMIT_S), MAX_SILENCE_LIMIT_S)


class StallDetector:
    """Time of the last data received from each replica, over all items of a daemon."""

    def __init__(self) -> None:
        self._last_data_s_by_replica: dict[ReplicaIncarnation, float] = {}

    def record_data(self, incarnation: ReplicaIncarnation, now_s: float) -> None:
        """Record that bytes of a replica's stream were received."""
        if (
            len(self._last_data_s_by_replica) >= MAX_REPLICAS
            and incarnation not in self._last_data_s_by_replica
        ):
            self._last_data_s_by_replica.clear()  # live streams soon deliver data again
        self._last_data_s_by_replica[incarnation] = now_s

    def seems_stalled(self, incarnation: ReplicaIncarnation, since_s: float) -> bool:
        """Whether a replica has sent nothing since a loop time, while another one has sent something."""
        if self._last_data_s_by_replica.get(incarnation, NEVER_S) > since_s:
            return False
        return any(data_s > since_s for data_s in self._last_data_s_by_replica.values())

    async def wait_for(
        self, incarnation: ReplicaIncarnation, read: Callable[[], Coroutine[Any, Any, T]], limit_s: float
    ) -> T:
        """Wait for the next part of a replica's answer; raises TimeoutError if the stream has stalled.

        Checked after each ``limit_s`` of silence.

        Args:
            incarnation: the replica's incarnation.
            read: returns a coroutine that waits for the part; it may be cancelled and called again
                without losing data.
            limit_s: limit for the silence; below MAX_SILENCE_LIMIT_S, a longer silence is a stall only if
                another replica has sent data meanwhile.
        """
        silent_since_s = monotonic_s()
        while True:
            attempt_started_s = monotonic_s()
            try:
                async with asyncio.timeout(limit_s):
                    return await read()
            except TimeoutError:
                now_s = monotonic_s()
                if now_s - attempt_started_s > limit_s + LOOP_DELAY_S:
                    silent_since_s = (
                        now_s  # the loop was blocked: data that arrived meanwhile was not read yet
                    )
                elif now_s - silent_since_s >= MAX_SILENCE_LIMIT_S or self.seems_stalled(
                    incarnation, silent_since_s
                ):
                    raise
