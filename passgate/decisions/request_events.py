"""Events of callers' requests, and of those under which replicas crash."""

from __future__ import annotations

from passgate.decisions.base import Event
from passgate.errors import ExecutionStatus


class ForwardSent(Event, tag="forward_sent"):
    """A request was sent to a replica."""

    request_id: str
    route: str
    replica_id: str
    attempt: int
    in_flight: int

    @property
    def ordinary(self) -> bool:
        """Only further attempts are told of first."""
        return self.attempt == 1


class AttemptFailed(Event, tag="attempt_failed"):
    """A replica did not give the whole answer of a request that was sent to it."""

    request_id: str
    route: str
    replica_id: str
    fingerprint: str
    """Digest of the request's content; the same for each try of one request."""
    reason: str
    """Code of the failure."""
    execution: str
    """Whether the replica may have begun the request."""
    elapsed_ms: float

    @property
    def ordinary(self) -> bool:
        """A refusal is ordinary, as the request certainly did not run."""
        return self.execution == ExecutionStatus.NOT_RUN.value


class ForwardEnded(Event, tag="forward_ended"):
    """A request got its final answer."""

    request_id: str
    route: str
    status: int
    reason: str
    replicas: tuple[str, ...]
    elapsed_ms: float

    @property
    def ordinary(self) -> bool:
        """A success at the first attempt is ordinary."""
        return self.status < 300 and len(self.replicas) == 1


class RequestRefused(Event, tag="request_refused"):
    """A request was answered without a replica."""

    request_id: str
    path: str
    status: int
    reason: str
    configuration_version: int


class ReplicaCrashed(Event, tag="replica_crashed"):
    """A replica ended while it ran a request of this daemon."""

    replica_id: str
    fingerprint: str
    """Digest of the request's content."""
    crashes: int
    """Replicas that have ended under the request, as far as this daemon knows."""


class CrashReported(Event, tag="crash_reported"):
    """Another daemon has reported that a replica ended under a request."""

    replica_id: str
    fingerprint: str
    source: str
    """``log``, or ``peer`` while the log does not answer this daemon."""
    crashes: int
    age_ms: float
    """Time since the report was made, by the time of day of both daemons."""


class CrashReportsCleared(Event, tag="crash_reports_cleared"):
    """A report does not stand any more."""

    replica_id: str
    fingerprint: str
    reason: str


class LastChanceBegun(Event, tag="last_chance_begun"):
    """A request that one more crash would hold is about to run at a replica, or gives way to another one."""

    replica_id: str
    fingerprint: str
    announced: bool
    """Whether all daemons know of it; if not, the log is slow or away."""
    is_first: bool
    """Whether it runs there; if not, the other one was announced first."""


class ItemHeld(Event, tag="item_held"):
    """An item is sent to no replica for a while, as replicas have ended under it."""

    job_id: str
    item_id: str
    fingerprint: str
