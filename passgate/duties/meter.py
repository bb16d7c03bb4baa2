"""Counts the requests that replicas began, by window and tenant, and hands the counts on.

A request counts in the window in which it was sent to a replica, once the replica has shown
that it began: by an answer, or by the first event of a stream.  An attempt that the replica
refused as not run does not count.  Items of batch jobs are not counted.

A daemon that is killed loses the counts of the last FLUSH_S at most.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from passgate.duties.windows import UsageWindows
from passgate.jobs.records import UsageCounted

FLUSH_S = 0.3
"""Longest time for which counts stay on this daemon alone; 6% of a window of 5 s."""
MOST_UNSENT = 2_000
"""Counts kept while nobody takes them: with one in 0.3 s, ten minutes."""

Send = Callable[[Sequence[UsageCounted]], Awaitable[bool]]
"""Hands counts on; returns whether they stand on the log."""


class UsageMeter:
    """One daemon's meter."""

    def __init__(self, meter: str, windows: UsageWindows, now_s: Callable[[], float], send: Send) -> None:
        """Begin with nothing counted.

        Args:
            meter: name of this life of the daemon.
            windows: the windows of the wall clock.
            now_s: the time of day.
            send: hands counts on.
        """
        self._meter = meter
        self._windows = windows
        self._now_s = now_s
        self._send = send
        self._counts: dict[int, Counter[str]] = {}
        self._unsent: list[UsageCounted] = []
        self._number = 0

    def now_s(self) -> float:
        """Return the time of day, to be given to :meth:`began` later."""
        return self._now_s()

    def began(self, tenant: str | None, at_s: float) -> None:
        """Count a request that a replica began at a time of day."""
        if tenant:
            self._counts.setdefault(self._windows.at(at_s), Counter())[tenant] += 1

    async def run(self) -> None:
        """Hand counts on until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            await self.flush()

    async def flush(self) -> None:
        """Hand on what was counted; what is not taken is handed on again with the next flush."""
        for window, counts in self._counts.items():
            self._unsent.append(
                UsageCounted(meter=self._meter, number=self._number, window=window, counts=dict(counts))
            )
            self._number += 1
        self._counts.clear()
        del self._unsent[:-MOST_UNSENT]
        sending = list(self._unsent)
        if sending and await self._send(sending):
            del self._unsent[: len(sending)]
