"""Commits and sends the usage report of each window, while this daemon leads.

A report is committed to the control topic before it is first sent, and only what the fold
holds as committed is sent, whoever leads by then.  Windows that nobody reported are caught
up oldest first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, UsageReportSent, UsageWindowCommitted
from passgate.duties.calls import CallBudget, DutyCalls, DutyOutcome, UsageReport
from passgate.duties.usage_fold import UsageFold
from passgate.duties.windows import UsageWindows
from passgate.jobs.journal import Journal
from passgate.jobs.records import UsageCommitted, UsageReported
from passgate.versions.leadership import Leadership

TICK_S = 0.1
"""Time between looks for what is due; small against the time in which a report is due."""
SEND_RESERVE_S = 6.5
"""Part of the time in which a report is due that is left for a change of holder (a lease of 3 s and
0.5 s, then its first batch) and for commit and sends, which take 1 s each when the log is slow."""
LEAST_SETTLE_S = 1.0
"""Counts of a window are waited for at least this long after its end."""
FIRST_PAUSE_S = 0.2
"""Pause after the first call without a usable answer."""
MAX_PAUSE_S = 2.0
"""Longest such pause; three fit into the time that is left for sends."""


class UsageReporter:
    """This daemon's part in the duty."""

    def __init__(
        self,
        fold: UsageFold,
        journal: Journal,
        leadership: Leadership,
        calls: DutyCalls,
        budget: CallBudget,
        windows: UsageWindows,
        wall_s: Callable[[], float],
        decisions: DecisionLog,
        *,
        holder: str,
        due_s: float,
    ) -> None:
        """Make the reporter.

        Args:
            fold: state of the reports.
            journal: this daemon's writer of the control topic.
            leadership: whether this daemon may order, and its fence.
            calls: calls to the platform.
            budget: bounds the calls of all duties.
            windows: the windows of the wall clock.
            wall_s: the time of day.
            decisions: where decisions are noted.
            holder: name of this daemon as the platform sees it.
            due_s: time after a window's end within which its report is due.
        """
        self._fold = fold
        self._journal = journal
        self._leadership = leadership
        self._calls = calls
        self._budget = budget
        self._windows = windows
        self._wall_s = wall_s
        self._decisions = decisions
        self._holder = holder
        self._settle_s = max(due_s - SEND_RESERVE_S, LEAST_SETTLE_S)
        self._committing: asyncio.Future[int] | None = None
        self._first_led: int | None = None
        """Window in which this daemon first led; nothing before it is reported unless it was counted."""
        self._refused_fence: int | None = None
        self._next_send_s = 0.0
        self._pause_s = FIRST_PAUSE_S

    async def run(self) -> None:
        """Commit and send until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._leadership.may_order():
                self._commit_due()
                await self._send_next()

    def _commit_due(self) -> None:
        if self._committing is not None and not self._committing.done():
            return
        window = self._next_window()
        if self._wall_s() < self._windows.end_s(window) + self._settle_s:
            return
        counts = self._fold.counts_of(window)
        self._committing = self._journal.put(UsageCommitted(window=window, counts=counts))
        self._decisions.write(
            UsageWindowCommitted(window=window, requests=sum(counts.values()), tenants=len(counts))
        )

    def _next_window(self) -> int:
        """Return the oldest window whose report is not committed."""
        if self._fold.through is not None:
            return self._fold.through + 1
        if self._first_led is None:
            self._first_led = self._windows.at(self._wall_s())
        counted = self._fold.first_open()
        return self._first_led if counted is None else min(counted, self._first_led)

    async def _send_next(self) -> None:
        """Send the oldest report that is not known to be accepted."""
        now_s = monotonic_s()
        fence = self._leadership.fence
        if not self._fold.unreported or now_s < self._next_send_s or fence == self._refused_fence:
            return
        if not self._budget.take(now_s):
            return
        window = min(self._fold.unreported)
        report = UsageReport(
            window=window, counts=self._fold.unreported[window], holder=self._holder, fence=fence
        )
        outcome = await self._calls.report_usage(report)
        self._decisions.write(UsageReportSent(window=window, fence=fence, outcome=outcome.value))
        self._take(window, fence, outcome)

    def _take(self, window: int, fence: int, outcome: DutyOutcome) -> None:
        match outcome:
            case DutyOutcome.ACCEPTED:
                self._fold.unreported.pop(window, None)
                self._journal.put(UsageReported(window=window))
                self._pause_s = FIRST_PAUSE_S
            case DutyOutcome.REFUSED:
                self._refused_fence = fence  # a later leader has the duty; only a new lead may send again
            case DutyOutcome.UNKNOWN:
                self._next_send_s = monotonic_s() + self._pause_s
                self._pause_s = min(self._pause_s * 2.0, MAX_PAUSE_S)
