"""Events of callers' requests, and of requests during which replicas crash."""

from __future__ import annotations

from passgate.decisions.base import Event
from passgate.errors import ExecutionStatus

MAX_LOGGED_FINGERPRINTS = 16
"""Maximum number of fingerprints in one event; a replica runs about as many requests at a time."""


class ForwardSent(Event, tag="forward_sent"):
    """An attempt of a request is about to be sent to a replica; the send may still fail or be refused."""

    request_id: str
    route: str
    replica_id: str
    attempt: int
    """Number of the attempt, beginning with 1."""
    in_flight: int
    """Number of other requests of this daemon in flight at the replica."""

    @property
    def is_routine(self) -> bool:
        """Whether it is the first attempt."""
        return self.attempt == 1


class AttemptFailed(Event, tag="attempt_failed"):
    """An attempt of a request failed: it was not sent, or the replica did not answer it completely."""

    request_id: str
    route: str
    replica_id: str
    fingerprint: str
    """Digest of the request's content, the same for each request with this content."""
    reason: str
    """Code of the error."""
    execution: str
    """Whether the replica may have run the request; a value of :class:`passgate.errors.ExecutionStatus`."""
    elapsed_ms: float

    @property
    def is_routine(self) -> bool:
        """Whether the attempt certainly did not run, for example as the replica refused it."""
        return self.execution == ExecutionStatus.NOT_RUN.value


class ForwardEnded(Event, tag="forward_ended"):
    """A request ended, with an answer or an error."""

    request_id: str
    route: str
    status: int
    """HTTP status of the answer, or of the error that ended a stream after its head was sent."""
    reason: str
    """Code or text of the error; empty for an answer of a replica."""
    replicas: tuple[str, ...]
    """Identifiers of the replicas of all attempts, in order; some attempts may not have been sent."""
    elapsed_ms: float

    @property
    def is_routine(self) -> bool:
        """Whether the request succeeded at the first attempt."""
        return self.status < 300 and len(self.replicas) == 1


class RequestRefused(Event, tag="request_refused"):
    """A request matched no route or had no valid API key, so it was not sent to a replica."""

    request_id: str
    path: str
    """Path of the request, possibly cut short."""
    status: int
    """HTTP status of the answer; but while the configuration may be stale, the answer has 503 instead."""
    reason: str
    """Code of the error."""
    configuration_version: int
    """Version of the active configuration."""


class ReplicaCrashed(Event, tag="replica_crashed"):
    """A replica has exited after this daemon sent it a request or a load order; it counts as crashed."""

    replica_id: str
    started_unix_ms: int
    """Start time of the replica's process in Unix milliseconds; 0 if not reported."""
    fingerprint: str
    """Digest of the request's content."""
    crashes: int
    """Number of crash reports in effect for the fingerprint at this daemon, one per replica incarnation."""


class CrashReportsReceived(Event, tag="crash_reported"):
    """This daemon received crash reports of one replica incarnation that it did not know.

    One line tells of all the reports that were read together, as a crash may interrupt many requests.
    """

    replica_id: str
    started_unix_ms: int
    """Start time of the replica's process in Unix milliseconds; 0 if not reported."""
    fingerprints: tuple[str, ...]
    """Digests of the contents of the reported requests, at most MAX_LOGGED_FINGERPRINTS of them."""
    reports: int
    """Number of new reports."""
    source: str
    """``log``, or ``peer`` when another daemon sent the reports directly."""
    crashes: int
    """Largest number of crash reports in effect for one of the requests, one per replica incarnation."""
    age_ms: float
    """Age of the oldest report by the wall clocks of both daemons, so clock skew makes it wrong."""


class CrashReportCleared(Event, tag="crash_reports_cleared"):
    """This daemon cleared a crash report, because the request was answered or the replica lives."""

    replica_id: str
    fingerprint: str
    """Digest of the request's content."""
    reason: str


class IsolatedRunStarted(Event, tag="last_chance_begun"):
    """Whether a request that one more crash would quarantine may begin its isolated run at a replica.

    It gives way to another isolated run that was announced earlier at the replica, so that a crash is
    attributed to the right request.  Ordinary requests may run beside an isolated run.
    """

    replica_id: str
    started_unix_ms: int
    """Start time of the replica's process in Unix milliseconds; 0 if not reported."""
    fingerprint: str
    """Digest of the request's content."""
    announced: bool
    """Whether the run's announcement was read back from the log in time; if not, the run begins anyway."""
    is_first: bool
    """Whether the run may begin; if not, another isolated run was announced earlier at the replica."""
    is_idle: bool
    """Whether this daemon has no other request at the replica."""
