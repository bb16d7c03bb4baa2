"""Quarantines requests that crash replicas; every attempt is checked here before it is sent.

A failed attempt that may be due to a crash makes its request a suspect, and its replica is probed.  If the
replica has crashed, a crash report is published to all daemons.  A request with as many reports as its
crash limit is quarantined.  A complete answer clears its request's reports, a response its replica's.
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
"""Shortest time between two queries of a replica's incarnation, however many responses it sends."""
MAX_DISCOVERY_DELAY_S = 5.0
"""Longest time after a crash until discovery lists the replica's next incarnation or drops the replica."""
RELEASE_CHECK_INTERVAL_S = 0.5
"""Interval of the checks whether a request is still quarantined."""
ISOLATED_RUN_DELAY_RANGE_S = (0.5, 1.5)
"""Bounds of the random delay before an isolated run.  It keeps isolated runs that start after the same
crash from starting together."""
ANNOUNCEMENT_TIMEOUT_S = 0.3
"""Longest wait until an announcement is read back from the log; after that the run starts without it."""
ANNOUNCEMENT_CHECK_INTERVAL_S = 0.005
"""Interval of the checks whether an announcement was read back."""


class ReplicaEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's incarnation, service and address at the time of an attempt."""

    incarnation: ReplicaIncarnation
    service: str
    address: str
    """``IP:PORT`` at which it listened."""
    has_newer_incarnation: bool = False
    """Whether a newer incarnation of the replica is known, so that this one has exited."""


class CrashGuardHooks(msgspec.Struct, frozen=True, kw_only=True):
    """What a guard needs from the rest of the daemon."""

    has_exited: Callable[[str], Awaitable[bool]]
    """Returns whether nothing listens on an address any more."""
    publish: Callable[[CrashReport | IsolatedRun], None]
    """Publishes a crash report, or the announcement of an isolated run, to all daemons."""
    withdraw: Callable[[CrashReport | IsolatedRun], None]
    """Withdraws such a record at all daemons."""
    eject: Callable[[ReplicaIncarnation, float], None]
    """Ejects a crashed incarnation from the choice of replicas, as of a loop time."""
    read_incarnation: Callable[[ReplicaIncarnation, str], Awaitable[ReplicaIncarnation | None]]
    """Queries the replica at an address, known as the given incarnation, for its current one; returns None
    if it does not state it."""
    is_log_current: Callable[[], bool]
    """Returns whether the log is available, so that this daemon's view of discovery is current."""


class CrashGuard:
    """Decides for one daemon which requests may be sent, and reports the crashes of replicas."""

    def __init__(self, reports: CrashReportStore, hooks: CrashGuardHooks, decisions: DecisionLog) -> None:
        self._reports = reports
        self._hooks = hooks
        self._decisions = decisions
        self._probes_by_fingerprint: dict[str, set[asyncio.Task[None]]] = {}
        """Fingerprint of a request to the probes in progress of replicas at which its attempts failed."""
        self._isolated_runs = reports.isolated_runs
        self._queried_s_by_incarnation: dict[ReplicaIncarnation, float] = {}
        """Incarnation to the loop time of the last query for it; only recent ones are kept."""
        self._queries: set[asyncio.Task[None]] = set()

    def raise_if_quarantined(self, identity: RequestIdentity) -> None:
        """Return if a request may be sent.

        Raises:
            RequestQuarantined: it is quarantined, as it has crashed too many replicas; it was not run.
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
        """Wait until a request is not quarantined; returns at once if it is not."""
        while self.is_quarantined(identity):
            await asyncio.sleep(RELEASE_CHECK_INTERVAL_S)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether a request has a crash report or a probe in progress.

        Such a request must be sent to only one replica at a time.
        """
        if not len(self._reports) and not self._probes_by_fingerprint:
            return False
        fingerprint = identity.fingerprint()
        return (
            fingerprint in self._probes_by_fingerprint
            or self._reports.count_crashes(fingerprint, unix_s()) > 0
        )

    async def wait_for_probes(self, identity: RequestIdentity) -> None:
        """Wait for the probes in progress if their outcome may quarantine a request.

        With fewer probes it returns at once: most failed attempts are not crashes.
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
        """Whether one more crash would quarantine a request, so that it needs an isolated run."""
        if not len(self._reports):
            return False
        return self._reports.count_crashes(identity.fingerprint(), unix_s()) >= identity.crash_limit - 1

    async def delay_isolated_run(self, identity: RequestIdentity) -> None:
        """Wait for probes that may quarantine a request, then for a random delay before an isolated run."""
        await self.wait_for_probes(identity)
        if self.needs_isolated_run(identity):
            await asyncio.sleep(random.uniform(*ISOLATED_RUN_DELAY_RANGE_S))

    def excluded_replicas(self, identity: RequestIdentity) -> frozenset[ReplicaIncarnation]:
        """Return the replicas that a request must not use, as isolated runs of other requests are there.

        Empty unless the request itself needs an isolated run.  Requests interrupted by the same crash are
        retried at the same time; if they shared replicas again, the cause's next crash would count against
        its concurrent requests too.
        """
        if not self.needs_isolated_run(identity):
            return frozenset()
        return self._isolated_runs.replicas(monotonic_s(), excluding=identity.fingerprint())

    def replicas_to_avoid(self) -> frozenset[ReplicaIncarnation]:
        """Return the replicas that any request should avoid while others have free slots.

        They have isolated runs, where a crash interrupts all concurrent requests, and where a second
        cause would make it unclear which request caused the crash.
        """
        return self._isolated_runs.replicas(monotonic_s()) if len(self._reports) else frozenset()

    def announce_run(self, identity: RequestIdentity, incarnation: ReplicaIncarnation) -> None:
        """Announce to all daemons where a request is about to run, if it needs an isolated run."""
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

        It may start if no other isolated run was announced at its replica before.  A request without an
        announcement may start at once.
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
                fingerprint=run.fingerprint,
                announced=self._isolated_runs.is_announced(run.fingerprint, run.incarnation),
                is_first=is_first,
            )
        )
        return is_first

    def withdraw_run(self, identity: RequestIdentity) -> None:
        """Withdraw the announcement of a request's run, which is over or was not started."""
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
        """Start a probe of a replica that was sent a request; report a crash if it has exited."""
        fingerprint = identity.fingerprint()
        probe = asyncio.get_running_loop().create_task(self._probe(identity, endpoint))
        probes = self._probes_by_fingerprint.setdefault(fingerprint, set())
        probes.add(probe)
        probe.add_done_callback(lambda done: self._remove_probe(fingerprint, done))

    def record_response(self, endpoint: ReplicaEndpoint, attempt_started_s: float) -> None:
        """Record a response head, which proves that the replica lives and clears its earlier reports.

        A restarted replica may respond under the same replica ID before discovery lists its new
        incarnation.  One with a start time is therefore queried for its incarnation first.  If it does
        not state it, only reports older than MAX_DISCOVERY_DELAY_S are cleared, and only while the log
        is available: discovery would list a newer incarnation by now.

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
        """Record a complete answer: it proves that the request does not crash replicas of a service."""
        if len(self._reports):
            cleared = self._reports.clear_request(identity.fingerprint(), service)
            self._withdraw(cleared, "the request was answered")

    def _start_query_interval(self, incarnation: ReplicaIncarnation, now_s: float) -> bool:
        """Return whether an incarnation may be queried now, and record the query if so."""
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
        """Eject and report a replica that has certainly crashed while it ran a request."""
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
    """Whether an attempt may have failed by a crash: its connection broke after the request was sent."""
    connection_broken = isinstance(error, (BackendUnreachable, IncompleteAnswer))
    return connection_broken and error.execution is ExecutionStatus.UNKNOWN
