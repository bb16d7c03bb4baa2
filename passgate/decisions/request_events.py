"""Events of callers' requests, and of requests during which replicas crash."""

from __future__ import annotations

from passgate.decisions.base import Event
from passgate.errors import ExecutionStatus


class ForwardSent(Event, tag="forward_sent"):
    """An attempt of a request was sent to a replica."""

    request_id: str
    route: str
    replica_id: str
    attempt: int
    """Number of the attempt, beginning with 1."""
    in_flight: int
    """Requests of this daemon in flight at the replica."""

    @property
    def is_routine(self) -> bool:
        """Whether it is the first attempt."""
        return self.attempt == 1


class AttemptFailed(Event, tag="attempt_failed"):
    """A replica did not completely answer a request that was sent to it."""

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
        """Whether the request certainly did not run, as after a refusal."""
        return self.execution == ExecutionStatus.NOT_RUN.value


class ForwardEnded(Event, tag="forward_ended"):
    """A request got its final answer."""

    request_id: str
    route: str
    status: int
    """HTTP status of the answer."""
    reason: str
    """Code of the error; empty for an answer of a replica."""
    replicas: tuple[str, ...]
    """Identifiers of the replicas to which it was sent, in order."""
    elapsed_ms: float

    @property
    def is_routine(self) -> bool:
        """Whether the request succeeded at the first attempt."""
        return self.status < 300 and len(self.replicas) == 1


class RequestRefused(Event, tag="request_refused"):
    """A request was answered with an error before any replica was chosen."""

    request_id: str
    path: str
    """Path of the request, possibly cut short."""
    status: int
    """HTTP status of the answer."""
    reason: str
    configuration_version: int
    """Version of the active configuration."""


class ReplicaCrashed(Event, tag="replica_crashed"):
    """A replica crashed while it ran a request of this daemon."""

    replica_id: str
    fingerprint: str
    """Digest of the request's content."""
    crashes: int
    """Number of replicas that crashed while they ran such a request, as far as this daemon knows."""


class CrashReportReceived(Event, tag="crash_reported"):
    """Another daemon has reported that a replica crashed while it ran a request."""

    replica_id: str
    fingerprint: str
    """Digest of the request's content."""
    source: str
    """``log``, or ``peer`` while the log does not answer this daemon."""
    crashes: int
    """Number of replicas that crashed while they ran such a request, as far as this daemon knows."""
    age_ms: float
    """Age of the report by the wall clocks of both daemons; clock skew falsifies it."""


class CrashReportCleared(Event, tag="crash_reports_cleared"):
    """A crash report was cleared: it is no longer in effect."""

    replica_id: str
    fingerprint: str
    """Digest of the request's content."""
    reason: str


class IsolatedRunStarted(Event, tag="last_chance_begun"):
    """A request that one more crash would quarantine begins an isolated run at a replica, or yields there.

    At most one such request runs at a replica at a time, so that a crash is attributed to the right one.
    """

    replica_id: str
    fingerprint: str
    """Digest of the request's content."""
    announced: bool
    """Whether its announcement to all daemons was read back from the log; if not, the log is slow or lost."""
    is_first: bool
    """Whether the request runs there; if not, another one was announced earlier."""


class ItemQuarantined(Event, tag="item_held"):
    """An item is quarantined: it is sent to no replica for a while, as replicas crashed while they ran it."""

    job_id: str
    item_id: str
    fingerprint: str
    """Digest of the request's content."""
