"""Commits and sends the usage report of each window, while this daemon is the leader.

A report is committed to the control topic before it is first sent, and only committed reports are sent.  A
new leader continues after the last committed window, the oldest window first.

Counts may reach the topic late while the log is slow or unreachable.  A leader that could not confirm its
lease meanwhile, or has just taken over, waits longer for them, as long as the report can still be in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, UsageReportSent, UsageWindowCommitted
from passgate.duties.calls import CallRateLimiter, DutyClient, DutyOutcome, UsageReport
from passgate.duties.usage_projection import UsageProjection
from passgate.duties.windows import UsageWindows
from passgate.jobs.journal import Journal
from passgate.jobs.records import UsageCommitted, UsageReported
from passgate.versions.leadership import Leadership

CHECK_INTERVAL_S = 0.1
"""Pause between checks for due reports."""
SEND_RESERVE_S = 6.5
"""Time reserved before a report's due time: for a change of leader (a lease of 3 s and 0.5 s, then its first
batch), and for the commit and the sends, which take 1 s each when the log is slow."""
MIN_SEND_RESERVE_S = 3.0
"""Part of the reserve that is kept while the leader waits for counts that may be delayed."""
DELAYED_COUNTS_S = 3.0
"""Time after a disturbance of the log in which all daemons have put their delayed counts on the log."""
MIN_SETTLE_S = 1.0
"""Shortest wait for late counts between the end of a window and its commit."""
FIRST_RETRY_PAUSE_S = 0.2
"""Pause after a call whose outcome is unknown; doubles with each further one."""
MAX_RETRY_PAUSE_S = 2.0
"""Longest pause after calls whose outcome is unknown."""


class UsageReporter:
    """Commits and sends usage reports while this daemon is the leader."""

    def __init__(
        self,
        projection: UsageProjection,
        journal: Journal,
        leadership: Leadership,
        client: DutyClient,
        rate_limiter: CallRateLimiter,
        windows: UsageWindows,
        wall_clock_s: Callable[[], float],
        decisions: DecisionLog,
        *,
        daemon_id: str,
        due_s: float,
    ) -> None:
        """Create the reporter.

        Args:
            projection: counts and committed reports.
            journal: this daemon's writer of the control topic.
            leadership: states whether this daemon may make calls, and with which fencing token.
            client: client for the platform.
            rate_limiter: rate limit of the calls of all duties.
            windows: the usage windows of the wall clock.
            wall_clock_s: returns the time of day.
            decisions: decision log.
            daemon_id: this daemon's name in calls to the platform.
            due_s: time from a window's end until its report is due.
        """
        self._projection = projection
        self._journal = journal
        self._leadership = leadership
        self._client = client
        self._rate_limiter = rate_limiter
        self._windows = windows
        self._wall_clock_s = wall_clock_s
        self._decisions = decisions
        self._daemon_id = daemon_id
        self._settle_s = max(due_s - SEND_RESERVE_S, MIN_SETTLE_S)
        self._max_settle_s = max(due_s - MIN_SEND_RESERVE_S, MIN_SETTLE_S)
        self._leading_since_s: float | None = None
        """Loop time since which this daemon has always been able to order; None if it may not order now."""
        self._pending_commit: asyncio.Future[int] | None = None
        self._first_led_window: int | None = None
        """Window in which this daemon, as leader, first found that no commit is known."""
        self._refused_fence: int | None = None
        self._next_send_s = 0.0
        self._retry_pause_s = FIRST_RETRY_PAUSE_S

    async def run(self) -> None:
        """Commit and send due reports until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._leadership.may_order():
                if self._leading_since_s is None:
                    self._leading_since_s = monotonic_s()
                self._commit_due_window(self._leading_since_s)
                await self._send_oldest_report()
            else:
                self._leading_since_s = None

    def _commit_due_window(self, leading_since_s: float) -> None:
        if self._pending_commit is not None and not self._pending_commit.done():
            return
        window = self._oldest_uncommitted_window()
        since_end_s = self._wall_clock_s() - self._windows.end_s(window)
        may_lack_counts = monotonic_s() - leading_since_s < DELAYED_COUNTS_S
        if since_end_s < (self._max_settle_s if may_lack_counts else self._settle_s):
            return
        counts = self._projection.counts_of(window)
        self._pending_commit = self._journal.put(UsageCommitted(window=window, counts=counts))
        self._decisions.write(
            UsageWindowCommitted(window=window, requests=sum(counts.values()), tenants=len(counts))
        )

    def _oldest_uncommitted_window(self) -> int:
        """Return the window to commit next.

        That is the window after the last committed one.  If no commit is known, it is the oldest window with
        counts, or the window in which this daemon first found that as leader, whichever is older.
        """
        if self._projection.last_committed_window is not None:
            return self._projection.last_committed_window + 1
        if self._first_led_window is None:
            self._first_led_window = self._windows.window_at(self._wall_clock_s())
        first_counted = self._projection.first_uncommitted_window()
        return self._first_led_window if first_counted is None else min(first_counted, self._first_led_window)

    async def _send_oldest_report(self) -> None:
        """Send the oldest report that is not known to be accepted, unless a pause or a limit forbids it."""
        now_s = monotonic_s()
        if (
            not self._projection.unreported_counts_by_window
            or now_s < self._next_send_s
            or self._leadership.fence == self._refused_fence
        ):
            return
        if not self._rate_limiter.try_acquire(now_s):
            return
        window = min(self._projection.unreported_counts_by_window)
        with self._leadership.sending_order() as terms:
            report = UsageReport(
                window=window,
                counts=self._projection.unreported_counts_by_window[window],
                holder=self._daemon_id,
                fence=terms.fence,
                not_sent_after_s=terms.not_sent_after_s,
            )
            outcome = await self._client.report_usage(report)
        self._decisions.write(UsageReportSent(window=window, fence=report.fence, outcome=outcome.value))
        self._handle_outcome(window, report.fence, outcome)

    def _handle_outcome(self, window: int, fence: int, outcome: DutyOutcome) -> None:
        match outcome:
            case DutyOutcome.ACCEPTED:
                self._projection.unreported_counts_by_window.pop(window, None)
                self._journal.put(UsageReported(window=window))
                self._retry_pause_s = FIRST_RETRY_PAUSE_S
            case DutyOutcome.REFUSED:
                self._refused_fence = fence  # another daemon has probably become leader; wait for a new fence
            case DutyOutcome.UNKNOWN:
                self._next_send_s = monotonic_s() + self._retry_pause_s
                self._retry_pause_s = min(self._retry_pause_s * 2.0, MAX_RETRY_PAUSE_S)
