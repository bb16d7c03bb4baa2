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

    A replica that restarts may keep its replica ID but loses its state, so its health and its crash reports
    are kept by incarnation.
    """

    replica_id: str
    started_unix_ms: int = 0
    """Start time in Unix milliseconds; 0 if not reported, in which case replica IDs must never be reused."""

    def to_text(self) -> str:
        """Return the text form ``ID@START`` for records.

        Without a reported start time it is the ID alone, unless the ID contains START_TIME_SEPARATOR.
        """
        if not self.started_unix_ms and START_TIME_SEPARATOR not in self.replica_id:
            return self.replica_id
        return f"{self.replica_id}{START_TIME_SEPARATOR}{self.started_unix_ms}"

    @classmethod
    def from_text(cls, text: str) -> ReplicaIncarnation:
        """Parse the text form; a text without a start time is taken as the replica ID."""
        replica_id, separator, started = text.rpartition(START_TIME_SEPARATOR)
        if separator and started.isdecimal():
            return cls(replica_id, int(started))
        return cls(text)


class ReplicaInfo(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Discovery's entry for one replica."""

    replica_id: str
    service: str
    address: str
    """``HOST:PORT`` at which the replica listens."""
    zone: str
    slots: int
    """Number of requests that the replica can run at the same time."""
    draining: bool = False
    """Whether the replica is shutting down and takes no new requests."""
    spot: bool = False
    """Whether the platform may preempt the replica at short notice."""
    model_versions: dict[str, int] = {}
    """Version of the loaded weights, by model name."""
    started_unix_ms: int = msgspec.field(name="born_unix_ms", default=0)
    """Start time of the process in Unix milliseconds; 0 if not reported."""
    cold_ms: int = 0
    """Milliseconds for which the replica stays cold, as of the writing of this entry; 0 if it is warm."""

    @property
    def incarnation(self) -> ReplicaIncarnation:
        """The incarnation that this entry is about."""
        return ReplicaIncarnation(self.replica_id, self.started_unix_ms)
