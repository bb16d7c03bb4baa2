"""Publishes and reads crash reports and announcements of isolated runs on a keyed topic of the shared log.

An isolated run is an attempt of a request that one more crash would quarantine.  Each record's key names the
request and the replica's incarnation, so a crash that several daemons report counts once.  The topic keeps
the newest record of a key until the key is deleted, so quarantines survive a restart of all daemons.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from passgate.clock import monotonic_s, unix_s
from passgate.decisions import CrashReportsReceived, DecisionLog, RecordUnreadable
from passgate.decisions.request_events import MAX_LOGGED_FINGERPRINTS
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.errors import LogError
from passgate.quarantine.crash_reports import CrashReport, CrashReportStore
from passgate.quarantine.isolated_runs import UNKNOWN_OFFSET, IsolatedRun
from passgate.sharedlog.log import KeyedRecord, SharedLog
from passgate.sharedlog.tail import KeyedTail, TailSettings

logger = logging.getLogger("passgate.quarantine")

POLL_WAIT_S = 2.0
"""Longest wait of a long poll for new records."""
MIN_RETRY_DELAY_S = 0.05
"""Delay of the first retry of a failed append; doubles with each further failure."""
MAX_RETRY_DELAY_S = 1.0
"""Longest delay of a retry; short, so that pending records are appended soon after an outage of the log."""
TOMBSTONE = b""
"""Value of a record that deletes its key."""
MAX_TOPIC_AGE_S = 2.5
"""Age below which the view of the topic counts as current; longer than POLL_WAIT_S, as an empty long poll
confirms the view."""
MAX_EXCHANGED_REPORTS = 256
"""Maximum number of reports, the newest ones, that a daemon passes to another in one call."""
VIEW_CHECK_INTERVAL_S = 0.05
"""Interval of the checks whether the view of the topic is current, while records are pending."""
KEY_SEPARATOR = "/"
ISOLATED_RUN_PREFIX = "last-chance"
"""First part of the keys of announcements; the keys of reports start with a fingerprint."""

Record = CrashReport | IsolatedRun


class CrashReportLog:
    """This daemon's reader and writer of the crash-report topic."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        reports: CrashReportStore,
        eject: Callable[[ReplicaIncarnation, float], None],
        decisions: DecisionLog,
    ) -> None:
        """Create the reader and writer; :meth:`run` starts them.

        Args:
            log: shared log with the records.
            topic: keyed topic of the records.
            reports: store that is kept up to date with the topic.
            eject: keeps an incarnation that has crashed from being chosen, from a loop time on.
            decisions: decision log.
        """
        self._eject = eject
        self._log = log
        self._topic = topic
        self._reports = reports
        self._decisions = decisions
        settings = TailSettings(topic=topic, wait_s=POLL_WAIT_S, urgent=True)
        self._tail = KeyedTail(
            log, settings, on_snapshot=self._apply_snapshot, on_records=self._apply_records
        )
        self._pending_by_key: dict[str, bytes] = {}
        """Values still to be appended to the topic, by key; `TOMBSTONE` deletes the key."""
        self._has_pending = asyncio.Event()

    @property
    def loaded(self) -> bool:
        """Whether a snapshot of the whole topic has been read."""
        return self._tail.loaded

    def publish(self, record: Record) -> None:
        """Queue a crash report, or the announcement of an isolated run, to be appended to the topic."""
        self._enqueue(_key_of(record), msgspec.json.encode(record))

    def withdraw(self, record: Record) -> None:
        """Queue the deletion of a record from the topic, so that all daemons drop it."""
        self._enqueue(_key_of(record), TOMBSTONE)

    def is_current(self) -> bool:
        """Whether the topic was read to its end less than MAX_TOPIC_AGE_S ago."""
        return self._tail.freshness.age_s(monotonic_s()) < MAX_TOPIC_AGE_S

    def newest_reports(self) -> tuple[CrashReport, ...]:
        """Return the newest stored reports, at most MAX_EXCHANGED_REPORTS."""
        return self._reports.newest(MAX_EXCHANGED_REPORTS)

    def is_on_log(self, report: CrashReport) -> bool:
        """Whether a stored report is or was on the topic, as far as this daemon knows."""
        return self._reports.is_on_log(report)

    def merge_reports(self, reports: Iterable[tuple[CrashReport, bool]]) -> None:
        """Add another daemon's reports that are new here; publish them if the view of the topic is current.

        The other daemon's view may be old, so its copies of withdrawn reports are ignored: those of which
        this daemon knows that they were removed, and, while the view is current, those that were on the
        topic.

        Args:
            reports: the reports, each with whether it is or was on the topic according to the other daemon.
        """
        is_current = self.is_current()
        added: list[CrashReport] = []
        for report, on_log in reports:
            if self._is_removed(report) or self._reports.contains(report.fingerprint, report.incarnation):
                continue
            if on_log and is_current:
                continue
            if self._add_report(report, on_log=on_log):
                added.append(report)
            if is_current:
                self.publish(report)
        self._log_received(added, "peer")

    def _is_removed(self, report: CrashReport) -> bool:
        """Whether this daemon knows that a report was withdrawn or has expired."""
        return self._is_withdrawn(report) or self._reports.removed.covers(
            report.fingerprint, report.incarnation, report.reported_unix_s
        )

    def _is_withdrawn(self, report: CrashReport) -> bool:
        """Whether this daemon has withdrawn a report and has still to append the withdrawal."""
        return self._pending_by_key.get(_key_of(report)) == TOMBSTONE

    async def run(self) -> None:
        """Read and write until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tail.run())
            tasks.create_task(self._append_pending())

    def _enqueue(self, key: str, value: bytes) -> None:
        self._pending_by_key[key] = value
        self._has_pending.set()

    async def _append_pending(self) -> None:
        """Append pending records until cancelled; delete expired records from the topic with each append.

        Nothing is appended while the view is old, as another daemon may have withdrawn a pending report.
        """
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            await self._has_pending.wait()
            while not self.is_current():
                await asyncio.sleep(VIEW_CHECK_INTERVAL_S)
            self._has_pending.clear()
            for record in self._remove_expired():
                self._pending_by_key[_key_of(record)] = TOMBSTONE
            try:
                await self._append(dict(self._pending_by_key))
                retry_delay_s = MIN_RETRY_DELAY_S
            except LogError as error:
                logger.info("crash_reports_not_written", extra={"error": str(error)})
                self._has_pending.set()
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2.0, MAX_RETRY_DELAY_S)

    def _remove_expired(self) -> list[Record]:
        expired: list[Record] = []
        expired += self._reports.clear_expired(unix_s())
        expired += self._reports.isolated_runs.clear_expired(monotonic_s())
        return expired

    async def _append(self, records: dict[str, bytes]) -> None:
        """Append records, and drop them from the pending ones unless a newer value is pending by now.

        Raises LogError if they were not appended or the outcome is unknown.
        """
        encoded = [
            self._log.encode_keyed(KeyedRecord(key=key, value=value)) for key, value in records.items()
        ]
        if encoded:
            await self._log.append(self._topic, 0, encoded)
        for key, value in records.items():
            if self._pending_by_key.get(key) == value:
                del self._pending_by_key[key]

    def _apply_snapshot(self, records: tuple[KeyedRecord, ...], next_offset: int) -> None:
        """Apply the newest record of each key, and remove reports and announcements that the snapshot lacks.

        Reports with a pending record of this daemon are left as they are.
        """
        keys_in_effect = {record.key for record in records if record.value}
        for fingerprint, incarnation in self._reports.report_keys():
            key = KEY_SEPARATOR.join((fingerprint, incarnation.to_text()))
            if key not in keys_in_effect and key not in self._pending_by_key:
                self._reports.remove(fingerprint, incarnation)
        self._reports.isolated_runs.retain(
            _parse_key(key) for key in keys_in_effect if key.startswith(ISOLATED_RUN_PREFIX)
        )
        added = [self._apply_record(record, UNKNOWN_OFFSET) for record in records]
        self._log_received(filter(None, added), "log")

    def _apply_records(self, records: tuple[KeyedRecord, ...], start: int) -> None:
        added = [self._apply_record(record, offset) for offset, record in enumerate(records, start)]
        self._log_received(filter(None, added), "log")

    def _apply_record(self, record: KeyedRecord, offset: int) -> CrashReport | None:
        """Apply a record, and return its crash report if that is new."""
        is_announcement = record.key.startswith(ISOLATED_RUN_PREFIX)
        if not record.value and not is_announcement:
            self._pending_by_key.pop(record.key, None)  # withdrawn after another daemon had published it
        if self._pending_by_key.get(record.key, record.value) != record.value:
            return None  # a different value of this daemon is still to be appended
        if not record.value:
            self._remove(record.key)
            return None
        try:
            if is_announcement:
                run = msgspec.json.decode(record.value, type=IsolatedRun)
                self._reports.isolated_runs.record_announcement(run, offset, monotonic_s())
                return None
            report = msgspec.json.decode(record.value, type=CrashReport)
        except msgspec.DecodeError as error:
            self._decisions.write(RecordUnreadable(offset=offset, reason=str(error)))
            return None
        return report if self._add_report(report, on_log=True) else None

    def _remove(self, key: str) -> None:
        if key.startswith(ISOLATED_RUN_PREFIX):
            self._reports.isolated_runs.remove_announcement(*_parse_key(key))
        elif not self._reports.remove(*_parse_key(key)):
            self._reports.removed.record(*_parse_key(key), before_unix_s=unix_s())

    def _add_report(self, report: CrashReport, *, on_log: bool) -> bool:
        """Add a report, and eject its incarnation; return whether the report is new."""
        is_new = self._reports.add(report, monotonic_s(), on_log=on_log)
        if is_new:
            self._eject(report.incarnation, monotonic_s())
        return is_new

    def _log_received(self, reports: Iterable[CrashReport], source: str) -> None:
        """Write one decision line for the new reports of each incarnation."""
        reports_by_incarnation: dict[ReplicaIncarnation, list[CrashReport]] = {}
        for report in reports:
            reports_by_incarnation.setdefault(report.incarnation, []).append(report)
        now_unix_s = unix_s()
        for incarnation, received in reports_by_incarnation.items():
            fingerprints = tuple(report.fingerprint for report in received)
            oldest_s = min(report.reported_unix_s for report in received)
            self._decisions.write(
                CrashReportsReceived(
                    replica_id=incarnation.replica_id,
                    started_unix_ms=incarnation.started_unix_ms,
                    fingerprints=fingerprints[:MAX_LOGGED_FINGERPRINTS],
                    reports=len(received),
                    source=source,
                    crashes=max(self._reports.count_crashes(each, now_unix_s) for each in fingerprints),
                    age_ms=round((now_unix_s - oldest_s) * 1000, 1),
                )
            )


def _key_of(record: Record) -> str:
    pair = (record.fingerprint, record.incarnation.to_text())
    prefix = (ISOLATED_RUN_PREFIX,) if isinstance(record, IsolatedRun) else ()
    return KEY_SEPARATOR.join(prefix + pair)


def _parse_key(key: str) -> tuple[str, ReplicaIncarnation]:
    """Return the fingerprint and the incarnation that a key names."""
    fingerprint, _, incarnation = key.removeprefix(ISOLATED_RUN_PREFIX + KEY_SEPARATOR).partition(
        KEY_SEPARATOR
    )
    return fingerprint, ReplicaIncarnation.from_text(incarnation)
