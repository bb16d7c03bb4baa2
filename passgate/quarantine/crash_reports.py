"""Stores crash reports; :mod:`passgate.quarantine.crash_attribution` decides from them.

A crash report states that an incarnation, that is one run of a replica's process, ended while it ran a
request.  If several requests were running there, each may get a report.  A complete answer, other than a
server error, clears the request's reports for the service that answered.

>>> store = CrashReportStore()
>>> for replica_id in ("r1", "r2"):
...     report = CrashReport(
...         fingerprint="f", replica_id=replica_id, service="s", crash_limit=2, reported_unix_s=100.0
...     )
...     _ = store.add(report, now_s=5.0)
>>> store.count_crashes("f", unix_s=160.0)
2
>>> [report.replica_id for report in store.clear_request("f", "s")]
['r1', 'r2']
>>> store.count_crashes("f", unix_s=160.0)
0
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Mapping
from typing import TypeVar

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.quarantine.isolated_runs import IsolatedRuns
from passgate.quarantine.removed_reports import RemovedReports

REPORT_LIFETIME_S = 600.0
"""Age at which a report expires, so that a request is run again after the replicas have been fixed."""
MAX_REPORTS = 4096
"""Maximum number of stored reports; beyond it, the oldest are dropped."""


Outer, Inner = TypeVar("Outer"), TypeVar("Inner")


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """States that a replica's process ended, probably by a crash, while it ran a request."""

    fingerprint: str
    """Fingerprint of the request; see :class:`passgate.quarantine.identity.RequestIdentity`."""
    replica_id: str
    service: str
    crash_limit: int = msgspec.field(name="limit")
    """Number of reports from which the request is quarantined."""
    reported_unix_s: float = msgspec.field(name="at_unix_s")
    """Unix time in seconds at which the reporting daemon detected the crash."""
    started_unix_ms: int = msgspec.field(name="born_unix_ms", default=0)
    """Start time of the replica's process in Unix milliseconds; 0 if unknown."""
    ran_s: float | None = None
    """Time from the start of the attempt to its failure; None if unknown, as in reports of earlier builds."""

    @property
    def incarnation(self) -> ReplicaIncarnation:
        """The incarnation that crashed."""
        return ReplicaIncarnation(self.replica_id, self.started_unix_ms)


class KnownReport(msgspec.Struct, frozen=True):
    """A report, and what this daemon knows about it."""

    report: CrashReport
    since_s: float
    """Loop time at which this daemon learned of the report."""
    on_log: bool
    """Whether the report is or was on the log, so that only the log tells whether it is still in effect."""

    def remaining_s(self, unix_s: float) -> float:
        """Return the seconds until the report expires; 0 or less if it has."""
        return self.report.reported_unix_s + REPORT_LIFETIME_S - unix_s


class CrashReportStore:
    """Crash reports that were not cleared, at most one for each pair of request and incarnation."""

    def __init__(self) -> None:
        self._reports_by_fingerprint: dict[str, dict[ReplicaIncarnation, KnownReport]] = {}
        """Reports by fingerprint, then by incarnation."""
        self._reports_by_incarnation: dict[ReplicaIncarnation, dict[str, KnownReport]] = {}
        """The same reports by incarnation, then by fingerprint."""
        self._count = 0
        self.isolated_runs = IsolatedRuns()
        """Isolated runs: attempts of requests that one more crash would quarantine."""
        self.removed = RemovedReports()
        """Reports that were removed here or withdrawn on the log."""

    def __len__(self) -> int:
        return self._count

    def add(self, report: CrashReport, now_s: float, *, on_log: bool = False) -> bool:
        """Add a report, known from a loop time on, and return whether it is new.

        With MAX_REPORTS stored, the oldest of them is dropped first.

        Args:
            report: the report; ignored, except for ``on_log``, if one of its request and incarnation is
                stored.
            now_s: loop time.
            on_log: whether the report is or was on the log.
        """
        known = self._reports_by_fingerprint.get(report.fingerprint, {}).get(report.incarnation)
        if known is not None:
            if on_log and not known.on_log:
                self._set(msgspec.structs.replace(known, on_log=True))
            return False
        if self._count >= MAX_REPORTS:
            self._remove_oldest()
        self._set(KnownReport(report, now_s, on_log))
        self._count += 1
        return True

    def _set(self, known: KnownReport) -> None:
        report = known.report
        self._reports_by_fingerprint.setdefault(report.fingerprint, {})[report.incarnation] = known
        self._reports_by_incarnation.setdefault(report.incarnation, {})[report.fingerprint] = known

    def contains(self, fingerprint: str, incarnation: ReplicaIncarnation) -> bool:
        """Whether a report of a request and an incarnation is stored; it may have expired."""
        return incarnation in self._reports_by_fingerprint.get(fingerprint, {})

    def is_on_log(self, report: CrashReport) -> bool:
        """Whether the stored report of a report's request and incarnation is or was on the log."""
        return self._reports_by_fingerprint[report.fingerprint][report.incarnation].on_log

    def remove(self, fingerprint: str, incarnation: ReplicaIncarnation) -> bool:
        """Remove a report, and remember the removal; return whether it was stored."""
        known = self._reports_by_fingerprint.get(fingerprint, {}).get(incarnation)
        if known is None:
            return False
        self.removed.record(fingerprint, incarnation, known.report.reported_unix_s)
        _remove_from_index(self._reports_by_fingerprint, fingerprint, incarnation)
        _remove_from_index(self._reports_by_incarnation, incarnation, fingerprint)
        self._count -= 1
        return True

    def clear_request(self, fingerprint: str, service: str) -> list[CrashReport]:
        """Remove and return a request's reports for a service, a replica of which has answered the request.

        The reports for other services stay: a route may split requests among services of which only some
        crash.
        """
        known = self._reports_by_fingerprint.get(fingerprint, {}).values()
        return self._remove_all([each for each in known if each.report.service == service])

    def has_report_before(self, incarnation: ReplicaIncarnation, before_s: float) -> bool:
        """Whether a stored report of an incarnation was known here before a loop time."""
        return any(
            before_s > each.since_s for each in self._reports_by_incarnation.get(incarnation, {}).values()
        )

    def clear_incarnation(
        self, incarnation: ReplicaIncarnation, attempt_started_s: float
    ) -> list[CrashReport]:
        """Remove and return the reports of an incarnation that were known before an attempt it responded to.

        These reports are wrong: an incarnation that has ended does not respond any more.
        """
        known = self._reports_by_incarnation.get(incarnation, {}).values()
        return self._remove_all([each for each in known if attempt_started_s > each.since_s])

    def clear_expired(self, unix_s: float) -> list[CrashReport]:
        """Remove and return the expired reports."""
        known = [each for reports in self._reports_by_fingerprint.values() for each in reports.values()]
        return self._remove_all([each for each in known if each.remaining_s(unix_s) <= 0.0])

    def count_crashes(self, fingerprint: str, unix_s: float) -> int:
        """Return the number of unexpired reports of a request."""
        known = self._reports_by_fingerprint.get(fingerprint, {}).values()
        return sum(each.remaining_s(unix_s) > 0.0 for each in known)

    def reports_of(self, fingerprint: str) -> Mapping[ReplicaIncarnation, KnownReport]:
        """Return a request's reports by incarnation, expired ones included."""
        return self._reports_by_fingerprint.get(fingerprint, {})

    def fingerprints_of(self, incarnation: ReplicaIncarnation) -> Collection[str]:
        """Return the requests that have a report of an incarnation."""
        return self._reports_by_incarnation.get(incarnation, {}).keys()

    def crashed_incarnations(self) -> frozenset[ReplicaIncarnation]:
        """Return the incarnations of all reports."""
        return frozenset(self._reports_by_incarnation)

    def report_keys(self) -> set[tuple[str, ReplicaIncarnation]]:
        """Return the fingerprint and incarnation of each report."""
        return {
            (fingerprint, incarnation)
            for fingerprint, known in self._reports_by_fingerprint.items()
            for incarnation in known
        }

    def newest(self, max_count: int) -> tuple[CrashReport, ...]:
        """Return at most ``max_count`` reports, the newest first."""
        reports = (each.report for known in self._reports_by_fingerprint.values() for each in known.values())
        return tuple(heapq.nlargest(max_count, reports, key=lambda report: report.reported_unix_s))

    def _remove_all(self, known: list[KnownReport]) -> list[CrashReport]:
        reports = [each.report for each in known]
        for report in reports:
            self.remove(report.fingerprint, report.incarnation)
        return reports

    def _remove_oldest(self) -> None:
        known = (
            each.report for reports in self._reports_by_fingerprint.values() for each in reports.values()
        )
        oldest = min(known, key=lambda report: report.reported_unix_s)
        self.remove(oldest.fingerprint, oldest.incarnation)


def _remove_from_index(index: dict[Outer, dict[Inner, KnownReport]], outer: Outer, inner: Inner) -> None:
    del index[outer][inner]
    if not index[outer]:
        del index[outer]
