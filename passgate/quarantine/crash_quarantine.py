"""Combines the crash guard of one daemon with the log through which all daemons share crash reports.

The guard detects requests that crash replicas, and stops sending them for a while.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from passgate.decisions import DecisionLog
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.quarantine.crash_report_log import CrashReportLog
from passgate.quarantine.crash_reports import CrashReportStore
from passgate.quarantine.guard import MAX_DISCOVERY_DELAY_S, CrashGuard, CrashGuardHooks
from passgate.quarantine.liveness import has_exited
from passgate.sharedlog.log import SharedLog


class CrashQuarantine:
    """The crash guard of one daemon, connected to the log of crash reports."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        eject: Callable[[ReplicaIncarnation, float, float], None],
        decisions: DecisionLog,
        read_incarnation: Callable[[ReplicaIncarnation, str], Awaitable[ReplicaIncarnation | None]],
    ) -> None:
        """Create the guard and the report log.

        Args:
            log: shared log with the reports.
            topic: keyed topic of the reports.
            eject: keeps an incarnation that has crashed from being chosen, from a loop time on and at least
                until another one.
            decisions: decision log.
            read_incarnation: see :attr:`CrashGuardHooks.read_incarnation`.
        """
        reports = CrashReportStore()
        self._eject_until = eject
        self.report_log = CrashReportLog(log, topic, reports, self._eject, decisions)
        hooks = CrashGuardHooks(
            has_exited=has_exited,
            publish=self.report_log.publish,
            withdraw=self.report_log.withdraw,
            eject=self._eject,
            read_incarnation=read_incarnation,
            is_log_current=self.report_log.is_current,
        )
        self.guard = CrashGuard(reports, hooks, decisions)

    @property
    def loaded(self) -> bool:
        """Whether all reports on the log have been read once since the start."""
        return self.report_log.loaded

    def _eject(self, incarnation: ReplicaIncarnation, now_s: float) -> None:
        """Eject a crashed incarnation, until discovery has had time to list what has taken its place.

        A new process may run under the same replica ID and address.  A request for the old incarnation would
        run there, and its crash would be attributed to the old one.  While the log does not answer, discovery
        learns of no new process, so these are found by trying.
        """
        may_have_same_id = bool(incarnation.started_unix_ms)
        hold_off_s = MAX_DISCOVERY_DELAY_S if may_have_same_id and self.report_log.is_current() else 0.0
        self._eject_until(incarnation, now_s, now_s + hold_off_s)

    async def run(self) -> None:
        """Read and write the reports on the log until cancelled."""
        await self.report_log.run()
