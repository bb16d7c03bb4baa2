"""Decides from crash reports which requests crash replicas, and what may be done with a reported request.

A crash interrupts all requests that a replica runs, and each caller's request gets a report.  One may be
the cause.  A request that a replica answers loses its reports, so those that still have one are the
candidates.  A request is convicted if it has as many reports as its crash limit and is the only candidate for
its last crash.  A crash with a convicted candidate is explained, and counts against no other request.

Items of jobs, reward calls and loads of weights are no candidates.  The log may hold reports of items that
earlier builds made; their crash limit is above that of callers' requests.

>>> from passgate.quarantine.crash_reports import CrashReport, CrashReportStore
>>> store = CrashReportStore()
>>> def report(fingerprint, replica_id):
...     crash = CrashReport(
...         fingerprint=fingerprint, replica_id=replica_id, service="s", crash_limit=2, reported_unix_s=100.0
...     )
...     _ = store.add(crash, now_s=5.0)
>>> for crash in (("cause", "r1"), ("bystander", "r1"), ("cause", "r2"), ("bystander", "r2")):
...     report(*crash)
>>> judge(store, "bystander", unix_s=101.0, now_s=6.0).verdict
<Verdict.ISOLATED: 'isolated'>
>>> report("cause", "r3")
>>> judge(store, "cause", unix_s=101.0, now_s=6.0).verdict
<Verdict.QUARANTINED: 'quarantined'>
>>> judge(store, "bystander", unix_s=101.0, now_s=6.0).verdict
<Verdict.UNRESTRICTED: 'unrestricted'>
"""

from __future__ import annotations

import enum

import msgspec

from passgate.quarantine.crash_reports import CrashReportStore, KnownReport
from passgate.quarantine.identity import CRASH_LIMIT

ISOLATION_CRASHES = 2
"""Number of crashes from which on a request runs in isolation only, unless all are explained; a single crash
may well have another cause."""
REPORT_DELAY_S = 0.3
"""Assumed upper bound of the time from a crash until all daemons have read the reports of all others."""


class Verdict(enum.Enum):
    """What may be done with a request."""

    UNRESTRICTED = "unrestricted"
    """It may be sent to any replica."""
    ISOLATED = "isolated"
    """It may be sent, but only to a replica that runs nothing else, as it may crash it."""
    UNDECIDED = "undecided"
    """It is not sent now; reports that are on their way may decide."""
    QUARANTINED = "quarantined"
    """It is not sent until its reports expire, or others explain its crashes."""


class Judgement(msgspec.Struct, frozen=True):
    """A verdict and how long it holds at most, if no report is added or cleared."""

    verdict: Verdict
    for_s: float = 0.0
    """Seconds until the verdict may change by itself; 0 if it does not forbid sending."""

    @property
    def forbids_sending(self) -> bool:
        """Whether the request must not be sent now."""
        return self.verdict in (Verdict.UNDECIDED, Verdict.QUARANTINED)


def judge(store: CrashReportStore, fingerprint: str, unix_s: float, now_s: float) -> Judgement:
    """Return what may be done with a request.

    Beyond its limit, a request with as many unexplained crashes as its limit is quarantined even if other
    candidates are left, which bounds the replicas that it may crash.

    Args:
        store: the crash reports.
        fingerprint: fingerprint of the request.
        unix_s: Unix time.
        now_s: loop time.
    """
    crashes = [each for each in _reports_by_age(store, fingerprint) if each.remaining_s(unix_s) > 0.0]
    unexplained_count = sum(not _is_explained_by_others(store, each) for each in crashes)
    if len(crashes) < ISOLATION_CRASHES or not unexplained_count:
        return Judgement(Verdict.UNRESTRICTED)
    limit = crashes[-1].report.crash_limit
    if len(crashes) < limit:
        return Judgement(Verdict.ISOLATED)
    is_convicted = _is_only_candidate(store, crashes[-1])
    undecided_for_s = max(each.since_s for each in crashes) + REPORT_DELAY_S - now_s
    if undecided_for_s > 0.0:
        return Judgement(Verdict.UNDECIDED, undecided_for_s)
    if not is_convicted and (len(crashes) == limit or unexplained_count < limit):
        return Judgement(Verdict.ISOLATED)
    remaining_s = sorted((each.remaining_s(unix_s) for each in crashes), reverse=True)
    return Judgement(Verdict.QUARANTINED, remaining_s[limit - 1])


def _reports_by_age(store: CrashReportStore, fingerprint: str) -> list[KnownReport]:
    """Return a request's reports, the oldest first, by the clocks of the daemons that made them."""
    return sorted(store.reports_of(fingerprint).values(), key=lambda each: each.report.reported_unix_s)


def _is_explained_by_others(store: CrashReportStore, crash: KnownReport) -> bool:
    """Whether a crash that a request has a report of has another candidate that is convicted."""
    return any(
        other != crash.report.fingerprint and _is_convicted(store, other)
        for other in _candidates(store, crash)
    )


def _is_convicted(store: CrashReportStore, fingerprint: str) -> bool:
    known = _reports_by_age(store, fingerprint)
    return len(known) >= known[-1].report.crash_limit and _is_only_candidate(store, known[-1])


def _is_only_candidate(store: CrashReportStore, crash: KnownReport) -> bool:
    """Whether a request is the only candidate for a crash; the report is the request's."""
    return _candidates(store, crash) == [crash.report.fingerprint]


def _candidates(store: CrashReportStore, crash: KnownReport) -> list[str]:
    """Return the callers' requests that may be the cause of the crash that a report is about."""
    incarnation = crash.report.incarnation
    return [
        fingerprint
        for fingerprint in store.fingerprints_of(incarnation)
        if store.reports_of(fingerprint)[incarnation].report.crash_limit <= CRASH_LIMIT
    ]
