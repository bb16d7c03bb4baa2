"""Events of sends to cold replicas, each at most once a second: which are known, what became of permits."""

from __future__ import annotations

from passgate.decisions.base import Event


class ColdReplicasChanged(Event, tag="cold_replicas_changed"):
    """Other replicas than before count as cold here."""

    cold: int
    replicas: tuple[str, ...]
    """The first few by name."""
    log_age_ms: float
    """Age of this daemon's view of the log."""


class PermitsBegan(Event, tag="permits_began"):
    """This daemon gives out permits from now on, after it has led for long enough."""

    fence: int


class PermitsCounted(Event, tag="permits_counted"):
    """What became of permits since the last such line."""

    given: int
    """Permits that this daemon granted to others and itself."""
    refused: int
    """Questions that it answered without any."""
    got: int
    """Permits that this daemon was granted."""
    used: int
    expired: int
    """Permits that ran out before a request was sent."""
    wanting: int
    """Its questions that brought none."""
    unanswered: int
    """Its questions that no leader answered."""
    leader: str
    """Address that granted last."""
