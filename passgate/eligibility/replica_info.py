"""A replica as discovery lists it, and the incarnation of a replica: one run of its process.

>>> incarnation = ReplicaIncarnation("r1", 1_700_000_000_000)
>>> incarnation.to_text()
'r1@1700000000000'
>>> ReplicaIncarnation.from_text(incarnation.to_text()) == incarnation
True
"""

from __future__ import annotations

import msgspec

START_TIME_SEPARATOR = "@"
"""Separates the replica ID from the start time in the text form of an incarnation."""


class ReplicaIncarnation(msgspec.Struct, frozen=True, cache_hash=True):
    """One run of a replica's process.

    A replica that restarts may keep its replica ID but loses its state, so daemons key what they observe
    of a replica by its incarnation.
    """

    replica_id: str
    started_unix_ms: int = 0
    """Start time in Unix milliseconds; 0 if not reported, in which case replica IDs are never reused."""

    def to_text(self) -> str:
        """Return the text form for records; the replica ID alone if no start time is reported."""
        if not self.started_unix_ms and START_TIME_SEPARATOR not in self.replica_id:
            return self.replica_id
        return f"{self.replica_id}{START_TIME_SEPARATOR}{self.started_unix_ms}"

    @classmethod
    def from_text(cls, text: str) -> ReplicaIncarnation:
        """Return the incarnation of a text form."""
        replica_id, separator, started = text.rpartition(START_TIME_SEPARATOR)
        if separator and started.isdecimal():
            return cls(replica_id, int(started))
        return cls(text)


class ReplicaInfo(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Discovery's entry for one replica."""

    replica_id: str
    service: str
    address: str
    """``HOST:PORT`` at which it listens."""
    zone: str
    slots: int
    """Requests that it runs at the same time."""
    draining: bool = False
    """Whether it is shutting down and takes no new requests."""
    spot: bool = False
    """Whether the platform may preempt it at short notice."""
    model_versions: dict[str, int] = {}
    """Model name to the version of the weights that it holds."""
    started_unix_ms: int = msgspec.field(name="born_unix_ms", default=0)
    """Start time in Unix milliseconds; 0 if not reported."""
    cold_ms: int = 0
    """Time for which it stays cold, from the writing of this entry; 0 if it is warm."""

    @property
    def incarnation(self) -> ReplicaIncarnation:
        """The incarnation that wrote this entry."""
        return ReplicaIncarnation(self.replica_id, self.started_unix_ms)
