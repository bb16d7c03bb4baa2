"""How long a stream without bytes is waited for before its item goes on at another replica.

Going on elsewhere costs one more read of the prompt, some 50 ms; waiting for a replica
that crashed costs the whole wait.  So a stream is left soon, but only while other
replicas' streams bring events: when nothing comes from anybody, this daemon or its link
is held up, and another replica would be no better.

>>> streams = StreamSilence()
>>> first, second = ReplicaLife("r1"), ReplicaLife("r2")
>>> streams.heard(first, now_s=10.0)
>>> streams.seems_lost(second, since_s=9.9), streams.seems_lost(first, since_s=9.9)
(True, False)
>>> patience_for(usual_pause_s=0.04)
0.4
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from passgate.clock import monotonic_s
from passgate.eligibility.replica_info import ReplicaLife

USUAL_PAUSES = 10.0
"""A silence of so many usual pauses between events is suspicious; prompts of others cause two or three."""
LEAST_PATIENCE_S = 0.3
"""Shortest wait for the next event."""
FIRST_BYTES_PATIENCE_S = 0.6
"""Wait for an answer to begin, at a replica with room; longer than a new connection takes."""
MOST_PATIENCE_S = 1.5
"""A stream silent for this long is left in any case."""
HELD_UP_S = 0.1
"""A wait that ends this much too late shows that this daemon was held up itself."""
MOST_REPLICAS = 4096
"""Lives of replicas that are remembered; every restart of a replica begins another."""
NEVER_S = float("-inf")

T = TypeVar("T")


def patience_for(usual_pause_s: float) -> float:
    """Return how long to wait for the next event of a stream."""
    return min(max(USUAL_PAUSES * usual_pause_s, LEAST_PATIENCE_S), MOST_PATIENCE_S)


class StreamSilence:
    """When each replica's streams last brought something, over all items of a daemon."""

    def __init__(self) -> None:
        self._heard_s: dict[ReplicaLife, float] = {}

    def heard(self, replica: ReplicaLife, now_s: float) -> None:
        """Note bytes of a replica's stream."""
        if len(self._heard_s) >= MOST_REPLICAS and replica not in self._heard_s:
            self._heard_s.clear()  # all that matter are heard again within a second
        self._heard_s[replica] = now_s

    def seems_lost(self, replica: ReplicaLife, since_s: float) -> bool:
        """Whether nothing came from a replica since then, while something came from another."""
        if self._heard_s.get(replica, NEVER_S) > since_s:
            return False
        return any(heard_s > since_s for heard_s in self._heard_s.values())

    async def wait(
        self, replica: ReplicaLife, read: Callable[[], Coroutine[Any, Any, T]], patience_s: float
    ) -> T:
        """Wait for the next part of a replica's answer; raise TimeoutError once the replica seems lost.

        Args:
            replica: the life of the replica.
            read: begins to wait for the part; may be cancelled and called again.
            patience_s: time after which the replica is suspected.
        """
        began_s = monotonic_s()
        while True:
            asked_s = monotonic_s()
            try:
                async with asyncio.timeout(patience_s):
                    return await read()
            except TimeoutError:
                now_s = monotonic_s()
                if now_s - asked_s > patience_s + HELD_UP_S:
                    began_s = now_s  # what came meanwhile has not been read yet
                elif now_s - began_s >= MOST_PATIENCE_S or self.seems_lost(replica, began_s):
                    raise
