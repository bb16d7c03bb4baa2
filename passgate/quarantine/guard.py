"""Quarantines requests that crash replicas; every attempt is checked here before it is sent.

After a failed attempt that may be due to a crash, the replica is probed.  If its process has exited, a crash
report of the request is published to all daemons.  A request with as many unexpired reports as its crash
limit is quarantined, that is, sent to no replica, unless other requests explain its crashes.  A complete
answer, other than a server error, clears the request's reports for that service.  A response clears the
earlier reports of its replica, unless the replica may have restarted since.

An isolated run is an attempt of a job's item, or of a reward call, whose next crash would quarantine it.
Isolated runs are kept at different replicas if possible; other requests may run beside them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s, unix_s
from passgate.decisions import CrashReportCleared, DecisionLog, IsolatedRunStarted, ReplicaCrashed
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.errors import (
    BackendUnreachable,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
    RequestQuarantined,
)
from passgate.quarantine.crash_reports import CrashReport, CrashReportStore
from passgate.quarantine.identity import RequestIdentity
from passgate.quarantine.isolated_runs import IsolatedRun

QUERY_INTERVAL_S = 1.0
"""Shortest time between two queries of the same replica for its incarnation."""
MAX_DISCOVERY_DELAY_S = 5.0
"""Assumed upper bound of the time from a crash until this daemon learns from discovery that the replica has
a new incarnation or is gone."""
RELEASE_CHECK_INTERVAL_S = 0.5
"""Interval of the checks whether a request is still quarantined."""
ISOLATED_RUN_DELAY_RANGE_S = (0.5, 1.5)
"""Bounds of the random delay before an isolated run, which spreads the runs that follow the same crash."""
ANNOUNCEMENT_TIMEOUT_S = 0.3
"""Longest wait until an announcement is read back from the log; the run then starts without it."""
ANNOUNCEMENT_CHECK_INTERVAL_S = 0.005
"""Interval of the checks whether an announcement was read back."""


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
        self._isolated_runs = reports.isolated_runs
        self._queried_s_by_incarnation: dict[ReplicaIncarnation, float] = {}
        """Loop time of the last query, by incarnation; only recent queries are kept."""
        self._queries: set[asyncio.Task[None]] = set()

    def raise_if_quarantined(self, identity: RequestIdentity) -> None:
        """Raise an error if a request is quarantined; otherwise do nothing.

        Raises:
            RequestQuarantined: the request is quarantined, so this attempt must not be sent.
        """
        quarantined_for_s = self._quarantined_for_s(identity)
        if quarantined_for_s > 0.0:
            raise RequestQuarantined(
                "the request has crashed replicas",
                execution=ExecutionStatus.NOT_RUN,
                retry_after_s=quarantined_for_s,
            )

    def is_quarantined(self, identity: RequestIdentity) -> bool:
        """Whether a request is quarantined, so that it must not be sent now."""
        return self._quarantined_for_s(identity) > 0.0

    async def wait_until_released(self, identity: RequestIdentity) -> None:
        """Wait while a request is quarantined."""
        while self.is_quarantined(identity):
            await asyncio.sleep(RELEASE_CHECK_INTERVAL_S)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether a request has an unexpired crash report or a probe in progress.

        Callers must send such a request to only one replica at a time.
        """
        if not len(self._reports) and not self._probes_by_fingerprint:
            return False
        fingerprint = identity.fingerprint()
        return (
            fingerprint in self._probes_by_fingerprint
            or self._reports.count_crashes(fingerprint, unix_s()) > 0
        )

    async def wait_for_probes(self, identity: RequestIdentity) -> None:
        """Wait for the probes in progress for a request, if their results may quarantine it.

        If the request would stay below its crash limit even if all probes found crashes, returns at once.
        """
        if not self._probes_by_fingerprint:
            return
        fingerprint = identity.fingerprint()
        probes = self._probes_by_fingerprint.get(fingerprint, set())
        if (
            probes
            and len(probes) + self._reports.count_crashes(fingerprint, unix_s()) >= identity.crash_limit
        ):
            await asyncio.wait(list(probes))

    def needs_isolated_run(self, identity: RequestIdentity) -> bool:
        """Whether one more crash, or none, would quarantine a request, so that its next run is isolated."""
        if not len(self._reports):
            return False
        return self._reports.count_crashes(identity.fingerprint(), unix_s()) >= identity.crash_limit - 1

    async def delay_isolated_run(self, identity: RequestIdentity) -> None:
        """Wait for probes that may quarantine a request, then for a random time before an isolated run.

        The random time is left out for a request that needs no isolated run.
        """
        await self.wait_for_probes(identity)
        if self.needs_isolated_run(identity):
            await asyncio.sleep(random.uniform(*ISOLATED_RUN_DELAY_RANGE_S))

    def excluded_replicas(self, identity: RequestIdentity) -> frozenset[ReplicaIncarnation]:
        """Return the replicas with isolated runs of other requests, if this request needs an isolated run.

        The request must not use them.  Requests interrupted by the same crash are retried at about the same
        time; if they ran together again, the next crash would count against all of them again.
        """
        if not self.needs_isolated_run(identity):
            return frozenset()
        return self._isolated_runs.replicas(monotonic_s(), excluding=identity.fingerprint())

    def replicas_to_avoid(self) -> frozenset[ReplicaIncarnation]:
        """Return the replicas with isolated runs, which any item or reward call should avoid if it can.

        A crash there is likely; it would interrupt all concurrent requests and be reported for each of them.
        """
        return self._isolated_runs.replicas(monotonic_s()) if len(self._reports) else frozenset()

    def announce_run(self, identity: RequestIdentity, incarnation: ReplicaIncarnation) -> None:
        """Announce to all daemons at which replica a request is about to run, if it needs an isolated run."""
        if not self.needs_isolated_run(identity):
            return
        run = IsolatedRun(
            fingerprint=identity.fingerprint(),
            replica_id=incarnation.replica_id,
            started_unix_ms=incarnation.started_unix_ms,
        )
        self._isolated_runs.add_local(run)
        self._hooks.publish(run)

    async def confirm_run(self, identity: RequestIdentity) -> bool:
        """Wait until the announcement of a request's run is read back; return whether the run may start.

        The run may not start if an earlier announcement of another isolated run at its replica is in effect.
        After ANNOUNCEMENT_TIMEOUT_S it may start unannounced.  A request without an announcement may start at
        once.
        """
        if not len(self._reports) or (run := self._isolated_runs.local_run(identity.fingerprint())) is None:
            return True
        deadline_s = monotonic_s() + ANNOUNCEMENT_TIMEOUT_S
        while not self._isolated_runs.is_announced(run.fingerprint, run.incarnation):
            if monotonic_s() >= deadline_s:
                break
            await asyncio.sleep(ANNOUNCEMENT_CHECK_INTERVAL_S)
        is_first = self._isolated_runs.is_first(run.fingerprint, run.incarnation, monotonic_s())
        self._decisions.write(
            IsolatedRunStarted(
                replica_id=run.replica_id,
                started_unix_ms=run.started_unix_ms,
                fingerprint=run.fingerprint,
                announced=self._isolated_runs.is_announced(run.fingerprint, run.incarnation),
                is_first=is_first,
            )
        )
        return is_first

    def withdraw_run(self, identity: RequestIdentity) -> None:
        """Withdraw the announcement, if any, of a request's run, which is over or was not started."""
        if not self._isolated_runs.has_local:
            return
        run = self._isolated_runs.remove_local(identity.fingerprint())
        if run is not None:
            self._hooks.withdraw(run)

    def record_failed_attempt(
        self, identity: RequestIdentity, endpoint: ReplicaEndpoint, error: PassgateError
    ) -> None:
        """Probe the replica of a failed attempt, if the error may be due to a crash."""
        if _may_be_crash(error):
            self.start_probe(identity, endpoint)

    def start_probe(self, identity: RequestIdentity, endpoint: ReplicaEndpoint) -> None:
        """Start a task that probes a replica, and reports a crash under a request if it has exited."""
        fingerprint = identity.fingerprint()
        probe = asyncio.get_running_loop().create_task(self._probe(identity, endpoint))
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

    def _quarantined_for_s(self, identity: RequestIdentity) -> float:
        if not len(self._reports):
            return 0.0
        return self._reports.quarantined_for_s(identity.fingerprint(), unix_s())

    async def _probe(self, identity: RequestIdentity, endpoint: ReplicaEndpoint) -> None:
        if endpoint.has_newer_incarnation or await self._hooks.has_exited(endpoint.address):
            self.record_crash(identity, endpoint)

    def record_crash(self, identity: RequestIdentity, endpoint: ReplicaEndpoint) -> None:
        """Eject a replica that has exited while it ran a request, and report it unless already reported."""
        fingerprint = identity.fingerprint()
        self._hooks.eject(endpoint.incarnation, monotonic_s())
        report = CrashReport(
            fingerprint=fingerprint,
            replica_id=endpoint.incarnation.replica_id,
            started_unix_ms=endpoint.incarnation.started_unix_ms,
            service=endpoint.service,
            crash_limit=identity.crash_limit,
            reported_unix_s=unix_s(),
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

    def _withdraw(self, reports: list[CrashReport], reason: str) -> None:
        for report in reports:
            self._hooks.withdraw(report)
            self._decisions.write(
                CrashReportCleared(
                    replica_id=report.replica_id, fingerprint=report.fingerprint, reason=reason
                )
            )


def _may_be_crash(error: PassgateError) -> bool:
    """Whether an error may be due to a crash: there is no complete answer, and the request may have run."""
    connection_broken = isinstance(error, (BackendUnreachable, IncompleteAnswer))
    return connection_broken and error.execution is ExecutionStatus.UNKNOWN
