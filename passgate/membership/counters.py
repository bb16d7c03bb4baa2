"""Counts of the membership protocol."""

from __future__ import annotations

import msgspec


class SwimCounters(msgspec.Struct):
    """Counts since the start, for metrics."""

    suspicions: int = 0
    """Suspicions that this daemon raised."""
    refutations: int = 0
    """Updates that declared this daemon suspect, dead or left, and that it refuted."""
    deaths: int = 0
    """Suspicions that expired on this daemon, which then declared the member dead."""
    pauses: int = 0
    """Pauses of this process that it detected."""
    identity_conflicts: int = 0
    """Updates with this daemon's id and the address of another process."""
