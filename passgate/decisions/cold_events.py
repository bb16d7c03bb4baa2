"""Events about cold replicas, and about permits, each of which allows one request to a cold replica."""

from __future__ import annotations

from passgate.decisions.base import Event


class ColdReplicasChanged(Event, tag="cold_replicas_changed"):
    """This daemon's set of cold and possibly cold replicas has changed; reported at most once a second."""

    cold: int
    """Number of cold and possibly cold replicas."""
    replicas: tuple[str, ...]
    """Sorted identifiers of the cold and possibly cold replicas; the first few if there are many."""
    log_age_ms: float
    """Age of this daemon's view of the log."""


class PermitIssuingStarted(Event, tag="permits_began"):
    """This daemon may issue permits from now on: it has led for long enough that earlier permits expired."""

    fence: int
    """Fencing token of this daemon's leadership."""


class PermitCountsReported(Event, tag="permits_counted"):
    """Increases of the permit counters since the last event of this kind; reported at most once a second.

    The counters carry the names of the fields of :class:`passgate.eligibility.permits.PermitCounters`.
    """

    given: int
    """Number of permits that this daemon issued, including those that it issued to itself."""
    refused: int
    """Number of permit requests that this daemon answered as leader without issuing a permit."""
    got: int
    """Number of permits that this daemon received, including those that had expired on arrival."""
    used: int
    """Number of permits that this daemon used, each for one request."""
    expired: int
    """Number of permits that expired before this daemon used them."""
    wanting: int
    """Number of this daemon's permit requests that the leader answered without a permit."""
    unanswered: int
    """Number of this daemon's requests, for permits or the list of cold replicas, that no leader answered."""
    leader: str
    """Address of the daemon that answered this daemon's last request as leader; empty if none did."""
