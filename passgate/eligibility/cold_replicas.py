"""Tracks which replicas are cold, or possibly cold, and until when.

A cold replica serves only a limited rate of requests; its discovery entry states for how long.  Between
entries it may become cold unnoticed, after its zone's evacuation or a restart while it was unreachable.
It then counts as cold until an entry that was certainly written later is read.  Replicas of services
without a limit are never cold.

>>> limits = {"s": ColdLimit(max_duration_s=3.0, max_requests_per_s=29)}
>>> cold = ColdReplicas(limits.get)
>>> info = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, cold_ms=2000)
>>> cold.apply_entry(info, now_s=10.0)
>>> cold.is_cold(info, now_s=11.9), cold.is_cold(info, now_s=12.1)
(True, False)
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from passgate.eligibility.replica_info import ReplicaInfo

MAX_ENTRY_DELAY_S = 1.0
"""Longest time between writing an entry and reading it here while the log is available."""
NEVER_S = float("-inf")
"""Loop time before any other; the end of a period that was never recorded."""


class ColdLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit on the requests that a cold replica of a service may get."""

    max_duration_s: float
    """Longest time for which a replica stays cold."""
    max_requests_per_s: int
    """Most requests that one replica may get in any second, from all daemons together."""


class _PossiblyCold(msgspec.Struct, kw_only=True):
    """Period in which a replica may be cold without having reported it."""

    since_s: float
    until_s: float
    """Infinite while the replica is unreachable."""


def no_limit(service: str) -> ColdLimit | None:
    """Return None: the service has no limit."""
    return None


class ColdReplicas:
    """Cold and possibly cold replicas as one daemon knows them; all times are loop times."""

    def __init__(self, limit_of: Callable[[str], ColdLimit | None] = no_limit) -> None:
        """Start without cold replicas; ``limit_of`` returns the limit of a service, or None."""
        self.limit_of = limit_of
        self._cold_until_s_by_id: dict[str, float] = {}
        """Replica ID to the end of the cold period that was last reported for it."""
        self._possibly_cold_by_id: dict[str, _PossiblyCold] = {}
        """Replica ID to the period in which the replica is possibly cold."""

    def apply_entry(self, info: ReplicaInfo, now_s: float, *, from_full_list: bool = False) -> None:
        """Apply a discovery entry that was just read.

        Args:
            info: the entry.
            now_s: loop time.
            from_full_list: whether the entry is part of a full list.  It may then have been written before
                the replica became possibly cold, so it does not end that period.
        """
        replica_id = info.replica_id
        possibly_cold = self._possibly_cold_by_id.get(replica_id)
        if (
            possibly_cold is not None
            and not from_full_list
            and now_s - possibly_cold.since_s >= MAX_ENTRY_DELAY_S
        ):
            del self._possibly_cold_by_id[replica_id]
        if info.cold_ms > 0:
            self._cold_until_s_by_id[replica_id] = now_s + info.cold_ms / 1000
        else:
            self._cold_until_s_by_id.pop(replica_id, None)

    def record_reported_cold(self, replica_id: str, remaining_s: float, now_s: float) -> None:
        """Record that another daemon reported a replica to stay cold; a later known end is kept."""
        self._cold_until_s_by_id[replica_id] = max(
            self._cold_until_s_by_id.get(replica_id, NEVER_S), now_s + remaining_s
        )

    def mark_unreachable(self, info: ReplicaInfo, now_s: float) -> None:
        """Mark a replica that could not be reached as possibly cold; it may restart cold at any time."""
        if self.limit_of(info.service) is not None:
            self._possibly_cold_by_id[info.replica_id] = _PossiblyCold(since_s=now_s, until_s=math.inf)

    def record_response(self, info: ReplicaInfo, now_s: float) -> None:
        """Record a response: a replica that was unreachable has restarted by now if it has at all.

        It is possibly cold for at most the service's longest cold period from now on.
        """
        possibly_cold = self._possibly_cold_by_id.get(info.replica_id)
        limit = self.limit_of(info.service)
        if possibly_cold is not None and limit is not None:
            possibly_cold.until_s = min(possibly_cold.until_s, now_s + limit.max_duration_s)

    def mark_possibly_cold(self, infos: Iterable[ReplicaInfo], now_s: float) -> None:
        """Mark replicas as possibly cold from now on, for the longest cold period or until a later entry."""
        for info in infos:
            limit = self.limit_of(info.service)
            if limit is not None:
                self._possibly_cold_by_id[info.replica_id] = _PossiblyCold(
                    since_s=now_s, until_s=now_s + limit.max_duration_s
                )

    @property
    def any_may_be_cold(self) -> bool:
        """Whether any replica is recorded as cold or possibly cold."""
        return bool(self._cold_until_s_by_id or self._possibly_cold_by_id)

    def is_cold(self, info: ReplicaInfo, now_s: float) -> bool:
        """Whether a replica is cold or possibly cold."""
        return self.any_may_be_cold and self.remaining_cold_s(info, now_s) > 0.0

    def remaining_cold_s(self, info: ReplicaInfo, now_s: float) -> float:
        """Return for how long a replica still counts as cold; 0 if it is warm, infinite if unreachable."""
        if self.limit_of(info.service) is None:
            return 0.0
        possibly_cold = self._possibly_cold_by_id.get(info.replica_id)
        possibly_until_s = possibly_cold.until_s if possibly_cold is not None else NEVER_S
        return max(
            self._cold_until_s_by_id.get(info.replica_id, NEVER_S) - now_s,
            possibly_until_s - now_s,
            0.0,
        )

    def drop_expired(self, listed_ids: set[str], now_s: float) -> None:
        """Drop periods that are over and those of replicas that discovery no longer lists."""
        for replica_id in [
            key
            for key, until_s in self._cold_until_s_by_id.items()
            if until_s <= now_s or key not in listed_ids
        ]:
            del self._cold_until_s_by_id[replica_id]
        ended = [
            key
            for key, period in self._possibly_cold_by_id.items()
            if period.until_s <= now_s or key not in listed_ids
        ]
        for replica_id in ended:
            del self._possibly_cold_by_id[replica_id]
