"""Assembles the crash guard of one daemon and its reader and writer of all daemons' crash reports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from passgate.decisions import DecisionLog
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.quarantine.crash_report_log import CrashReportLog
from passgate.quarantine.crash_reports import CrashReportStore
from passgate.quarantine.guard import CrashGuard, CrashGuardHooks
from passgate.quarantine.liveness import has_exited
from passgate.sharedlog.log import SharedLog


class CrashQuarantine:
    """The crash guard of one daemon, which shares reports with the other daemons through the log."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        eject: Callable[[ReplicaIncarnation, float], None],
        decisions: DecisionLog,
        read_incarnation: Callable[[ReplicaIncarnation, str], Awaitable[ReplicaIncarnation | None]],
    ) -> None:
        """Create the guard and the report log.

        Args:
            log: shared log with the reports.
            topic: keyed topic of the reports.
            eject: ejects a crashed incarnation from the choice of replicas, as of a loop time.
            decisions: decision log.
            read_incarnation: queries the replica at an address, known as the given incarnation, for its
                current one; returns None if it does not state it.
        """
        reports = CrashReportStore()
        self.report_log = CrashReportLog(log, topic, reports, eject, decisions)
        hooks = CrashGuardHooks(
            has_exited=has_exited,
            publish=self.report_log.publish,
            withdraw=self.report_log.withdraw,
            eject=eject,
            read_incarnation=read_incarnation,
            is_log_current=self.report_log.is_current,
        )
        self.guard = CrashGuard(reports, hooks, decisions)

    @property
    def loaded(self) -> bool:
        """Whether the reports on the log have been read completely once."""
        return self.report_log.loaded

    async def run(self) -> None:
        """Read and write the reports on the log until cancelled."""
        await self.report_log.run()
