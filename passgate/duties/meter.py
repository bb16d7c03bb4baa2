"""Counts the requests that replicas started, by window and tenant, for the control topic.

A request counts in the window in which it was sent, once the replica has answered or sent the first event
of a stream.  Refused attempts and items of batch jobs are not counted.  A killed daemon loses at most the
counts of the last flush interval.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from passgate.duties.windows import UsageWindows
from passgate.jobs.records import UsageCounted

FLUSH_INTERVAL_S = 0.3
"""Interval of flushes, and so the longest time for which counts exist on this daemon only."""
MAX_UNSENT_ENTRIES = 2_000
"""Unsent counts kept while none can be appended; at one per flush they span ten minutes."""

SendCounts = Callable[[Sequence[UsageCounted]], Awaitable[bool]]
"""Sends counts; returns whether they are on the log."""


class UsageMeter:
    """Usage meter of one daemon."""

    def __init__(
        self, meter_name: str, windows: UsageWindows, wall_clock_s: Callable[[], float], send: SendCounts
    ) -> None:
        """Start with no counts.

        Args:
            meter_name: name of this incarnation of the daemon.
            windows: the usage windows of the wall clock.
            wall_clock_s: returns the time of day.
            send: sends counts to the control topic.
        """
        self._meter_name = meter_name
        self._windows = windows
        self._wall_clock_s = wall_clock_s
        self._send = send
        self._counts_by_window: dict[int, Counter[str]] = {}
        self._unsent_entries: list[UsageCounted] = []
        self._next_number = 0

    def now_s(self) -> float:
        """Return the time of day, to be passed to :meth:`record_started` later."""
        return self._wall_clock_s()

    def record_started(self, tenant: str | None, at_s: float) -> None:
        """Count a started request in the window in which it was sent; without a tenant it is ignored."""
        if tenant:
            self._counts_by_window.setdefault(self._windows.window_at(at_s), Counter())[tenant] += 1

    async def run(self) -> None:
        """Flush at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Send all counts; those that can't be appended keep their numbers and are sent again."""
        for window, counts in self._counts_by_window.items():
            self._unsent_entries.append(
                UsageCounted(
                    meter=self._meter_name, number=self._next_number, window=window, counts=dict(counts)
                )
            )
            self._next_number += 1
        self._counts_by_window.clear()
        del self._unsent_entries[:-MAX_UNSENT_ENTRIES]
        sending = list(self._unsent_entries)
        if sending and await self._send(sending):
            del self._unsent_entries[: len(sending)]
