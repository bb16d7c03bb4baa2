"""Events about cold replicas and the permits to send to them."""

from __future__ import annotations

from passgate.decisions.base import Event


class ColdReplicasChanged(Event, tag="cold_replicas_changed"):
    """The set of replicas that this daemon takes to be cold has changed; reported at most once a second."""

    cold: int
    """Number of cold replicas."""
    replicas: tuple[str, ...]
    """Identifiers of the first few cold replicas, sorted."""
    log_age_ms: float
    """Age of this daemon's view of the log."""


class PermitIssuingStarted(Event, tag="permits_began"):
    """This daemon has led for long enough that it may issue permits from now on."""

    fence: int
    """Fencing token of its leadership."""


class PermitCountsReported(Event, tag="permits_counted"):
    """Increases of the permit counters since the last event of this kind; reported at most once a second.

    The counters carry the names of the fields of :class:`passgate.eligibility.permits.PermitCounters`.
    """

    given: int
    """Permits that this daemon issued, to itself included."""
    refused: int
    """Permit requests that this daemon answered without issuing any."""
    got: int
    """Permits that this daemon received."""
    used: int
    """Permits that this daemon used for a request."""
    expired: int
    """Permits that expired before this daemon used them."""
    wanting: int
    """Permit requests of this daemon that were answered without any permit."""
    unanswered: int
    """Permit requests of this daemon that no leader answered."""
    leader: str
    """Address of the daemon that answered the last permit request as leader; empty if none did."""
