"""Counts the runs that replicas may have started, by window and tenant, for the control topic.

An attempt of a plain request counts in the window in which it was sent, if it was answered, may have run or
was abandoned.  A stream counts once, in the window of its first event.  Requests without a tenant and the
work of jobs are not counted.  A killed daemon loses the counts that are not yet on the log: normally those
since the last flush, but all those since the start of an outage of the log.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from passgate.duties.windows import UsageWindows
from passgate.jobs.records import UsageCounted

FLUSH_INTERVAL_S = 0.3
"""Pause between flushes."""
MAX_UNSENT_ENTRIES = 2_000
"""Maximum number of unconfirmed entries; each flush adds one for each window with new counts."""

SendCounts = Callable[[Sequence[UsageCounted]], Awaitable[bool]]
"""Sends counts to the control topic; returns whether they are confirmed to be on the log."""


class UsageMeter:
    """Counts one daemon's runs in memory and flushes the counts to the control topic."""

    def __init__(
        self, meter_name: str, windows: UsageWindows, wall_clock_s: Callable[[], float], send: SendCounts
    ) -> None:
        """Start with no counts.

        Args:
            meter_name: name of this incarnation of the daemon, under which its counts are numbered.
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
        """Count a run in the window that contains a time of day; does nothing without a tenant."""
        if tenant:
            self._counts_by_window.setdefault(self._windows.window_at(at_s), Counter())[tenant] += 1

    async def run(self) -> None:
        """Flush at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Send all counts.  Those not confirmed are sent again by the next flush, under the same numbers.

        Beyond MAX_UNSENT_ENTRIES the oldest are dropped.
        """
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
