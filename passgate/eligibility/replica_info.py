"""One replica as discovery tells it."""

from __future__ import annotations

import msgspec


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
