"""Counts of the membership protocol."""

from __future__ import annotations

import msgspec


class SwimCounters(msgspec.Struct):
    """Counts since the start, for metrics."""

    suspicions: int = 0
    """Suspicions that this daemon raised itself."""
    refutations: int = 0
    """Times this daemon had to contradict news about itself."""
    deaths: int = 0
    """Suspicions that ran out here."""
    pauses: int = 0
    """Times this process noticed that it had been paused."""
    identity_conflicts: int = 0
    """Another process announced itself under this daemon's id."""
