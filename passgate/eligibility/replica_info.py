"""One replica as discovery tells it, and the life of a replica: what everything learnt of it belongs to.

>>> life = ReplicaLife("r1", 1_700_000_000_000)
>>> life.text()
'r1@1700000000000'
>>> ReplicaLife.from_text(life.text()) == life
True
"""

from __future__ import annotations

import msgspec

BORN_MARK = "@"
"""Stands between the identifier and the moment of the start where a life is written as text."""


class ReplicaLife(msgspec.Struct, frozen=True, cache_hash=True):
    """One run of a replica's process, from its start to its end.

    A replica that starts again may keep its identifier, but it holds and knows nothing of before, so
    whatever a daemon learns of a replica is kept by its life.
    """

    replica_id: str
    born_unix_ms: int = 0
    """Moment of its start; 0 where it tells none, and identifiers are not used again."""

    def text(self) -> str:
        """Return the form for records; the identifier alone where no start is told."""
        if not self.born_unix_ms and BORN_MARK not in self.replica_id:
            return self.replica_id
        return f"{self.replica_id}{BORN_MARK}{self.born_unix_ms}"

    @classmethod
    def from_text(cls, text: str) -> ReplicaLife:
        """Return the life of a text."""
        replica_id, mark, born = text.rpartition(BORN_MARK)
        if mark and born.isdecimal():
            return cls(replica_id, int(born))
        return cls(text)


class ReplicaInfo(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One replica as discovery tells it."""

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    spot: bool = False
    """Whether the platform may take it away at short notice."""
    model_versions: dict[str, int] = {}
    """Version of the weights of each model it holds."""
    born_unix_ms: int = 0
    """Moment of its start; 0 where it tells none.  A replica that starts again may keep its identifier."""
    cold_ms: int = 0
    """Time for which it stays cold, counted from when it wrote this; 0 when it is warm."""

    @property
    def life(self) -> ReplicaLife:
        """The life that this tells of."""
        return ReplicaLife(self.replica_id, self.born_unix_ms)
