"""Quarantines requests that crash replicas; every attempt is checked here before it is sent.

After a failed attempt that may be due to a crash, the replica is probed.  If its process has exited, a crash
report of the request is published to all daemons.  From the reports,
:mod:`passgate.quarantine.crash_attribution` decides which requests are quarantined, that is, sent to no
replica.  A complete answer, other than a server error, clears the request's reports for that service.  A
response clears the earlier reports of its replica, unless the replica may have restarted since.

An isolated run is an attempt of a request that has crashed replicas or only ran beside the cause.  It has its
replica for itself: all daemons send other requests elsewhere while they have another usable replica.

Items of jobs and their reward calls are owed: they are never taken for the cause, get no reports, and are
sent again after any number of crashes, with growing pauses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s, unix_s
from passgate.decisions import CrashReportCleared, DecisionLog, ReplicaCrashed
from passgate.eligibility.isolation import NO_ISOLATION, Isolation
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.errors import (
    BackendUnreachable,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
    RequestQuarantined,
    SendInterrupted,
)
from passgate.quarantine.crash_attribution import ISOLATION_CRASHES, Judgement, Verdict, judge
from passgate.quarantine.crash_pauses import CrashPauses
from passgate.quarantine.crash_reports import CrashReport, CrashReportStore
from passgate.quarantine.identity import RequestIdentity
from passgate.quarantine.isolated_runs import IsolatedRun
from passgate.quarantine.run_isolation import RunIsolation

QUERY_INTERVAL_S = 1.0
"""Shortest time between two queries of the same replica for its incarnation."""
MAX_DISCOVERY_DELAY_S = 5.0
"""Assumed upper bound of the time from a crash until this daemon learns from discovery that the replica has
a new incarnation or is gone."""


class ReplicaEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """The replica to which an attempt was sent."""

    incarnation: ReplicaIncarnation
    service: str
    address: str
    """``IP:PORT`` at which the replica listened."""
    has_newer_incarnation: bool = False
    """Whether a newer incarnation of the replica is known, so that this one has exited."""


class CrashGuardHooks(msgspec.Struct, frozen=True, kw_only=True):
    """What a guard needs from the rest of the daemon."""

    has_exited: Callable[[str], Awaitable[bool]]
    """Returns whether the machine at an address refuses connections, so that the process has exited; false
    if nothing answers."""
    publish: Callable[[CrashReport | IsolatedRun], None]
    """Publishes a crash report, or the announcement of an isolated run, to all daemons."""
    withdraw: Callable[[CrashReport | IsolatedRun], None]
    """Withdraws a published report or announcement at all daemons."""
    eject: Callable[[ReplicaIncarnation, float], None]
    """Keeps an incarnation that has crashed from being chosen, from a loop time on."""
    read_incarnation: Callable[[ReplicaIncarnation, str], Awaitable[ReplicaIncarnation | None]]
    """Asks the replica at an address which incarnation it is now; the first argument is the incarnation last
    known there.  Returns None if the call fails or the response does not say."""
    is_log_current: Callable[[], bool]
    """Returns whether the log was read recently, so that the view of discovery should be current as well."""


class CrashGuard:
    """Decides for one daemon which requests are quarantined, and reports crashes of replicas."""

    def __init__(self, reports: CrashReportStore, hooks: CrashGuardHooks, decisions: DecisionLog) -> None:
        self._reports = reports
        self._hooks = hooks
        self._decisions = decisions
        self._probes_by_fingerprint: dict[str, set[asyncio.Task[None]]] = {}
        """Probes in progress, by the fingerprint of the request whose attempts failed."""
        self._isolation = RunIsolation(reports.isolated_runs, hooks.publish, hooks.withdraw, decisions)
        self._withdrawn_after_probes: set[str] = set()
        """Requests whose isolated run is over, but not yet the probes of its replica."""
        self._queried_s_by_incarnation: dict[ReplicaIncarnation, float] = {}
        """Loop time of the last query, by incarnation; only recent queries are kept."""
        self._queries: set[asyncio.Task[None]] = set()
        self._pauses = CrashPauses()

    def raise_if_quarantined(self, identity: RequestIdentity) -> None:
        """Raise an error if a request must not be sent now; otherwise do nothing.

        Raises:
            RequestQuarantined: replicas crashed while they ran the request, so this attempt must not be sent.
        """
        judgement = self.judge(identity)
        if judgement.forbids_sending:
            raise RequestQuarantined(
                "the request has crashed replicas",
                execution=ExecutionStatus.NOT_RUN,
                retry_after_s=judgement.for_s,
            )

    def is_quarantined(self, identity: RequestIdentity) -> bool:
        """Whether a request must not be sent now, as it is quarantined or that is still to be decided."""
        return self.judge(identity).forbids_sending

    async def wait_until_decided(self, identity: RequestIdentity) -> None:
        """Wait while reports on their way may decide whether a request is quarantined."""
        while (judgement := self.judge(identity)).verdict is Verdict.UNDECIDED:
            await asyncio.sleep(judgement.for_s)

    async def wait_out_pause(self, identity: RequestIdentity) -> None:
        """Wait for the pause of owed work after crashes; returns at once for other requests."""
        if not len(self._pauses):
            return
        fingerprint = identity.fingerprint()
        while (remaining_s := self._pauses.remaining_s(fingerprint, monotonic_s())) > 0.0:
            await asyncio.sleep(remaining_s)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether a request has an unexpired crash report or a probe in progress.

        Callers must send such a request to only one replica at a time.
        """
        if identity.is_owed:
            return False
        if not len(self._reports) and not self._probes_by_fingerprint:
            return False
        fingerprint = identity.fingerprint()
        return (
            fingerprint in self._probes_by_fingerprint
            or self._reports.count_crashes(fingerprint, unix_s()) > 0
        )

    async def wait_for_probes(self, identity: RequestIdentity) -> None:
        """Wait for the probes in progress for a request, if their results may restrict its next run.

        If the request had fewer than ISOLATION_CRASHES even if all probes found crashes, returns at once.
        """
        if not self._probes_by_fingerprint:
            return
        fingerprint = identity.fingerprint()
        probes = self._probes_by_fingerprint.get(fingerprint, set())
        if probes and len(probes) + self._reports.count_crashes(fingerprint, unix_s()) >= ISOLATION_CRASHES:
            await asyncio.wait(list(probes))

    def needs_isolated_run(self, identity: RequestIdentity) -> bool:
        """Whether a request may be sent, but only to a replica that runs nothing else."""
        return self.judge(identity).verdict is Verdict.ISOLATED

    def isolation_of(self, identity: RequestIdentity) -> Isolation:
        """Return how isolated runs restrict the choice of a replica for a request."""
        if not len(self._reports):
            return NO_ISOLATION
        avoided = self._isolation.replicas_of_others(identity.fingerprint())
        if self.needs_isolated_run(identity):
            return Isolation(avoided=avoided, is_isolated=True, crashed=self._reports.crashed_incarnations())
        return Isolation(avoided=avoided) if avoided else NO_ISOLATION

    def announce_run(self, identity: RequestIdentity, incarnation: ReplicaIncarnation) -> None:
        """Announce to all daemons at which replica a request is about to run, if it needs an isolated run."""
        if self.needs_isolated_run(identity):
            fingerprint = identity.fingerprint()
            self._withdrawn_after_probes.discard(fingerprint)
            self._isolation.announce(fingerprint, incarnation)

    async def confirm_run(self, identity: RequestIdentity, is_idle: Callable[[], bool]) -> bool:
        """Wait until a request may start at the replica of its announced run; return whether it may.

        A request without an announcement may start at once; see :meth:`RunIsolation.confirm` for the others.

        Args:
            identity: the request.
            is_idle: returns whether this daemon has no other request at the replica.
        """
        if not len(self._reports) or not self._isolation.has_runs:
            return True
        return await self._isolation.confirm(identity.fingerprint(), is_idle)

    def withdraw_run(self, identity: RequestIdentity) -> None:
        """Withdraw the announcement, if any, of a request's run, which is over or was not started.

        While the replica is probed, the announcement stays: other requests sent to a replica that may have
        crashed would count as possible causes.
        """
        if not self._isolation.has_runs:
            return
        fingerprint = identity.fingerprint()
        if fingerprint in self._probes_by_fingerprint:
            self._withdrawn_after_probes.add(fingerprint)
        else:
            self._isolation.withdraw(fingerprint)

    def record_failed_attempt(
        self,
        identity: RequestIdentity,
        endpoint: ReplicaEndpoint,
        error: PassgateError,
        attempt_started_s: float,
    ) -> None:
        """Probe the replica of a failed attempt, if the error may be due to a crash."""
        if _may_be_crash(error):
            self.start_probe(identity, endpoint, monotonic_s() - attempt_started_s)

    def start_probe(
        self, identity: RequestIdentity, endpoint: ReplicaEndpoint, ran_s: float | None = None
    ) -> None:
        """Start a task that probes a replica, and reports a crash under a request if it has exited.

        Args:
            identity: the request.
            endpoint: the replica.
            ran_s: time for which the request's attempt ran; None if unknown.
        """
        fingerprint = identity.fingerprint()
        probe = asyncio.get_running_loop().create_task(self._probe(identity, endpoint, ran_s))
        probes = self._probes_by_fingerprint.setdefault(fingerprint, set())
        probes.add(probe)
        probe.add_done_callback(lambda done: self._remove_probe(fingerprint, done))

    def record_response(self, endpoint: ReplicaEndpoint, attempt_started_s: float) -> None:
        """Clear the earlier reports of a replica that has sent a response head, as it has not exited.

        A replica with a start time may have restarted before discovery lists its new incarnation.  It is
        first asked for its incarnation, at most once in QUERY_INTERVAL_S.  If it does not state it, only
        reports known MAX_DISCOVERY_DELAY_S before the attempt are cleared, and only while the view of the log
        is current.  Nothing is cleared if a newer incarnation is known.

        Args:
            endpoint: the replica that responded.
            attempt_started_s: loop time of the attempt's start; only earlier reports are cleared.
        """
        incarnation = endpoint.incarnation
        if not len(self._reports) or not self._reports.has_report_before(incarnation, attempt_started_s):
            return
        if not incarnation.started_unix_ms:
            self._clear_incarnation(incarnation, attempt_started_s)
        elif not endpoint.has_newer_incarnation and self._start_query_interval(incarnation, monotonic_s()):
            query = asyncio.get_running_loop().create_task(
                self._query_incarnation(endpoint, attempt_started_s)
            )
            self._queries.add(query)
            query.add_done_callback(self._queries.discard)

    def record_success(self, identity: RequestIdentity, service: str) -> None:
        """Clear a request's reports for a service whose replica has answered the request completely."""
        if identity.is_owed and len(self._pauses):
            self._pauses.clear(identity.fingerprint())
        if len(self._reports):
            cleared = self._reports.clear_request(identity.fingerprint(), service)
            self._withdraw(cleared, "the request was answered")

    def _start_query_interval(self, incarnation: ReplicaIncarnation, now_s: float) -> bool:
        """Return whether QUERY_INTERVAL_S has passed since the last query; record a new one if so."""
        self._queried_s_by_incarnation = {
            queried: queried_s
            for queried, queried_s in self._queried_s_by_incarnation.items()
            if now_s - queried_s < QUERY_INTERVAL_S
        }
        if incarnation in self._queried_s_by_incarnation:
            return False
        self._queried_s_by_incarnation[incarnation] = now_s
        return True

    async def _query_incarnation(self, endpoint: ReplicaEndpoint, attempt_started_s: float) -> None:
        current = await self._hooks.read_incarnation(endpoint.incarnation, endpoint.address)
        if current == endpoint.incarnation:
            self._clear_incarnation(endpoint.incarnation, attempt_started_s)
        elif current is None and self._hooks.is_log_current():
            self._clear_incarnation(endpoint.incarnation, attempt_started_s - MAX_DISCOVERY_DELAY_S)

    def _clear_incarnation(self, incarnation: ReplicaIncarnation, attempt_started_s: float) -> None:
        self._withdraw(self._reports.clear_incarnation(incarnation, attempt_started_s), "the replica lives")

    def judge(self, identity: RequestIdentity) -> Judgement:
        """Return what may be done with a request now."""
        if identity.is_owed or not len(self._reports):
            return Judgement(Verdict.UNRESTRICTED)
        return judge(self._reports, identity.fingerprint(), unix_s(), monotonic_s())

    async def _probe(self, identity: RequestIdentity, endpoint: ReplicaEndpoint, ran_s: float | None) -> None:
        if endpoint.has_newer_incarnation or await self._hooks.has_exited(endpoint.address):
            self.record_crash(identity, endpoint, ran_s)

    def record_crash(
        self, identity: RequestIdentity, endpoint: ReplicaEndpoint, ran_s: float | None = None
    ) -> None:
        """Eject a replica that has exited while it ran a request, and report it unless already reported.

        For owed work, which is not to blame, only its pause grows.
        """
        fingerprint = identity.fingerprint()
        self._hooks.eject(endpoint.incarnation, monotonic_s())
        if identity.is_owed:
            self._pauses.record(fingerprint, monotonic_s())
            return
        report = CrashReport(
            fingerprint=fingerprint,
            replica_id=endpoint.incarnation.replica_id,
            started_unix_ms=endpoint.incarnation.started_unix_ms,
            service=endpoint.service,
            crash_limit=identity.crash_limit,
            reported_unix_s=unix_s(),
            ran_s=None if ran_s is None else round(ran_s, 3),
        )
        if not self._reports.add(report, monotonic_s()):
            return
        self._hooks.publish(report)
        self._decisions.write(
            ReplicaCrashed(
                replica_id=endpoint.incarnation.replica_id,
                started_unix_ms=endpoint.incarnation.started_unix_ms,
                fingerprint=fingerprint,
                crashes=self._reports.count_crashes(fingerprint, unix_s()),
            )
        )

    def _remove_probe(self, fingerprint: str, probe: asyncio.Task[None]) -> None:
        probes = self._probes_by_fingerprint[fingerprint]
        probes.discard(probe)
        if not probes:
            del self._probes_by_fingerprint[fingerprint]
            if fingerprint in self._withdrawn_after_probes:
                self._withdrawn_after_probes.discard(fingerprint)
                self._isolation.withdraw(fingerprint)

    def crash_times_s(self, identity: RequestIdentity) -> list[float]:
        """Return the loop times at which this daemon learned of a request's crashes, the earliest first."""
        known = self._reports.reports_of(identity.fingerprint()).values()
        return sorted(each.since_s for each in known if each.remaining_s(unix_s()) > 0.0)

    def _withdraw(self, reports: list[CrashReport], reason: str) -> None:
        for report in reports:
            self._hooks.withdraw(report)
            self._decisions.write(
                CrashReportCleared(
                    replica_id=report.replica_id, fingerprint=report.fingerprint, reason=reason
                )
            )


def _may_be_crash(error: PassgateError) -> bool:
    """Whether an error may be due to a crash: there is no complete answer, and the request may have run.

    A replica that runs a request has read it whole, so one that could not be sent whole did not crash it.
    """
    if isinstance(error, SendInterrupted) or error.execution is not ExecutionStatus.UNKNOWN:
        return False
    return isinstance(error, (BackendUnreachable, IncompleteAnswer))
