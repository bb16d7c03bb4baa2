"""Exchanges crash reports directly between daemons while the log is not available to some of them.

A daemon whose view of the crash-report topic is stale calls a few other daemons.  Each call passes the newest
reports of both daemons to each other.  A daemon with a current view appends to the topic those reports that
it did not know and that were never on the topic; any other report that it lacks was withdrawn.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from passgate.errors import PeerError
from passgate.peers.transport import PeerTransport
from passgate.quarantine.crash_report_log import CrashReportLog
from passgate.quarantine.crash_reports import CrashReport
from passgate.sharedlog.member_names import address_of

CRASH_REPORTS_METHOD = "crashes.exchange"
EXCHANGE_INTERVAL_S = 0.5
"""Pause between two rounds of calls while the view of the topic is stale; with MAX_PEERS calls a round, a
zone of 27 daemons knows a report after 2 s."""
MAX_PEERS = 3
"""Maximum number of daemons called in a round.  More than one, as some may be cut off as well: if a third of
all are, all three are in one round of 27."""
RESPONSE_TIMEOUT_S = 0.4
"""Timeout of a call; allows for daemons that are short of processor time."""
CHECK_INTERVAL_S = 0.1
"""Interval of the checks whether the view of the topic has become stale."""

logger = logging.getLogger("passgate.quarantine")


class CrashReportBatch(msgspec.Struct, frozen=True, kw_only=True):
    """The newest reports that a daemon knows; the content of both the request and the response of a call."""

    reports: tuple[CrashReport, ...] = ()
    on_log: tuple[bool, ...] = ()
    """For each of the reports, whether it is or was on the topic; empty from a release without this field."""

    def with_marks(self) -> Iterable[tuple[CrashReport, bool]]:
        """Return each report with its mark; without a mark it counts as never seen on the topic."""
        marks = self.on_log if len(self.on_log) == len(self.reports) else (False,) * len(self.reports)
        return zip(self.reports, marks, strict=True)


class CrashReportExchange:
    """Exchanges crash reports with other daemons, and handles their calls."""

    def __init__(
        self,
        transport: PeerTransport,
        list_other_members: Callable[[], list[str]],
        report_log: CrashReportLog,
    ) -> None:
        """Create the exchange.

        Args:
            transport: sends requests to other daemons.
            list_other_members: returns the names of the other daemons in random order; the first are called.
            report_log: this daemon's reader and writer of the crash-report topic.
        """
        self._transport = transport
        self._list_other_members = list_other_members
        self._report_log = report_log

    async def run(self) -> None:
        """Exchange reports while the view of the crash-report topic is stale; run until cancelled."""
        while True:
            if self._report_log.is_current():
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            members = self._list_other_members()[:MAX_PEERS]
            await asyncio.gather(*(self._exchange(member) for member in members))
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    async def _exchange(self, member: str) -> None:
        request = msgspec.json.encode(self._newest_reports())
        try:
            payload = await self._transport.call(
                address_of(member), CRASH_REPORTS_METHOD, request, RESPONSE_TIMEOUT_S
            )
            received = msgspec.json.decode(payload, type=CrashReportBatch)
        except (PeerError, msgspec.DecodeError) as error:
            logger.info("crash_reports_not_exchanged", extra={"peer": member, "error": str(error)})
            return
        self._report_log.merge_reports(received.with_marks())

    def handle_request(self, payload: bytes) -> bytes:
        """Merge another daemon's reports, and return the newest ones that this daemon knew before.

        Raises:
            msgspec.DecodeError: the payload is not a batch of reports.
        """
        known = msgspec.json.encode(self._newest_reports())
        self._report_log.merge_reports(msgspec.json.decode(payload, type=CrashReportBatch).with_marks())
        return known

    def _newest_reports(self) -> CrashReportBatch:
        reports = self._report_log.newest_reports()
        return CrashReportBatch(
            reports=reports, on_log=tuple(self._report_log.is_on_log(report) for report in reports)
        )
