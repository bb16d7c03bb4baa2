"""Tracks which replicas are cold, or possibly cold, and until when.

A cold replica, for example one that has just started, may get only a limited rate of requests; its
discovery entry states for how long.  A replica is possibly cold if it may have become cold without an entry
that says so: after the evacuation of its zone, or by a restart while it was unreachable.  A possibly cold
replica is treated as cold.  Replicas of services without a limit are never cold.

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
"""Assumed upper bound of the time from the writing of an entry to its reading by a daemon."""
NEVER_S = float("-inf")
"""Loop time before any other; used as the end of a period that was never recorded."""


class ColdLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit on the requests that a cold replica of a service may get."""

    max_duration_s: float
    """Longest time for which a replica stays cold."""
    max_requests_per_s: int
    """Maximum number of requests that one replica may get in any second, from all daemons together."""


class _PossiblyCold(msgspec.Struct, kw_only=True):
    """Period in which a replica may be cold though no discovery entry says so."""

    since_s: float
    until_s: float
    """Infinite means that the replica could not be reached and has not responded since."""


def no_limit(service: str) -> ColdLimit | None:
    """Return None: the service has no limit."""
    return None


class ColdReplicas:
    """Cold and possibly cold replicas as one daemon knows them; all times are loop times."""

    def __init__(self, limit_of: Callable[[str], ColdLimit | None] = no_limit) -> None:
        """Start without cold replicas; ``limit_of`` returns the limit of a service, None if it has none."""
        self.limit_of = limit_of
        self._cold_until_s_by_id: dict[str, float] = {}
        """End of the reported cold period, by replica ID."""
        self._possibly_cold_by_id: dict[str, _PossiblyCold] = {}
        """Period in which a replica is possibly cold, by replica ID."""

    def apply_entry(self, info: ReplicaInfo, now_s: float, *, from_full_list: bool = False) -> None:
        """Apply a discovery entry that was just read: it sets or ends the reported cold period.

        It also ends the period in which the replica is possibly cold, if that began MAX_ENTRY_DELAY_S ago or
        earlier and the entry is not part of a full list.

        Args:
            info: the entry.
            now_s: loop time.
            from_full_list: whether the entry is part of a full list and so may have been written long ago.
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
        """Record for how long a replica stays cold according to another daemon; a later known end is kept."""
        self._cold_until_s_by_id[replica_id] = max(
            self._cold_until_s_by_id.get(replica_id, NEVER_S), now_s + remaining_s
        )

    def mark_unreachable(self, info: ReplicaInfo, now_s: float) -> None:
        """Mark an unreachable replica as possibly cold, if its service has a limit.

        The replica may restart cold at any time, so the period has no end yet.
        """
        if self.limit_of(info.service) is not None:
            self._possibly_cold_by_id[info.replica_id] = _PossiblyCold(since_s=now_s, until_s=math.inf)

    def record_response(self, info: ReplicaInfo, now_s: float) -> None:
        """Record a response: a possibly cold replica stays so for at most the longest cold period from now.

        If it has restarted while it was unreachable, it did so before it responded.
        """
        possibly_cold = self._possibly_cold_by_id.get(info.replica_id)
        limit = self.limit_of(info.service)
        if possibly_cold is not None and limit is not None:
            possibly_cold.until_s = min(possibly_cold.until_s, now_s + limit.max_duration_s)

    def mark_possibly_cold(self, infos: Iterable[ReplicaInfo], now_s: float) -> None:
        """Mark replicas whose services have limits as possibly cold, for the longest cold period from now."""
        for info in infos:
            limit = self.limit_of(info.service)
            if limit is not None:
                self._possibly_cold_by_id[info.replica_id] = _PossiblyCold(
                    since_s=now_s, until_s=now_s + limit.max_duration_s
                )

    @property
    def any_may_be_cold(self) -> bool:
        """Whether any cold or possibly cold period is recorded, though it may be over; a cheap check."""
        return bool(self._cold_until_s_by_id or self._possibly_cold_by_id)

    def is_cold(self, info: ReplicaInfo, now_s: float) -> bool:
        """Whether a replica is cold or possibly cold."""
        return self.any_may_be_cold and self.remaining_cold_s(info, now_s) > 0.0

    def remaining_cold_s(self, info: ReplicaInfo, now_s: float) -> float:
        """Return for how long a replica still counts as cold.

        0 if the replica is warm or its service has no limit; infinite if the replica could not be reached and
        the end is therefore unknown.
        """
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
        """Drop periods that are over, and the periods of replicas that are not in ``listed_ids``."""
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
