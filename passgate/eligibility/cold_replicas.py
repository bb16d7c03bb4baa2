"""Which replicas are cold, or may be, and until when.

A replica tells in its entry how long it stays cold.  Between its entries it may turn cold
unnoticed: its zone's evacuation ends, or it was out of reach and may have started again.  Then it
counts as cold until an entry that was surely written later tells otherwise.  A replica whose
service limits nothing while cold never counts as cold.

>>> limits = {"s": ColdLimit(lasts_s=3.0, most_per_s=29)}
>>> cold = ColdReplicas(limits.get)
>>> info = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, cold_ms=2000)
>>> cold.entry_read(info, now_s=10.0)
>>> cold.is_cold(info, now_s=11.9), cold.is_cold(info, now_s=12.1)
(True, False)
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from passgate.eligibility.replica_info import ReplicaInfo

ENTRY_LAG_S = 1.0
"""Longest time from the writing of an entry until it is read here, on a log that answers; a replica
writes about each second and a list is read four times a second."""
NEVER_S = float("-inf")


class ColdLimit(msgspec.Struct, frozen=True, kw_only=True):
    """What may reach a cold replica of a service."""

    lasts_s: float
    """Longest time for which a replica is cold."""
    most_per_s: int
    """Requests that may reach one replica in any second, from all daemons together."""


class _Doubt(msgspec.Struct, kw_only=True):
    """A replica that may have turned cold unnoticed."""

    since_s: float
    until_s: float


def no_limit(service: str) -> ColdLimit | None:
    """Limit no service."""
    return None


class ColdReplicas:
    """Cold replicas as one daemon knows them; times are loop times."""

    def __init__(self, limit_of: Callable[[str], ColdLimit | None] = no_limit) -> None:
        """Begin with no cold replica; ``limit_of`` returns the limit of a service, if it has one."""
        self.limit_of = limit_of
        self._until_s: dict[str, float] = {}
        """Replica to the end of the cold spell that its last entry told of."""
        self._doubts: dict[str, _Doubt] = {}

    def entry_read(self, info: ReplicaInfo, now_s: float, *, listed: bool = False) -> None:
        """Take an entry of discovery that was just read.

        Args:
            info: the entry.
            now_s: loop time.
            listed: whether it came in a whole list; it may then be older than a doubt, and ends none.
        """
        replica_id = info.replica_id
        doubt = self._doubts.get(replica_id)
        if doubt is not None and not listed and now_s - doubt.since_s >= ENTRY_LAG_S:
            del self._doubts[replica_id]
        if info.cold_ms > 0:
            self._until_s[replica_id] = now_s + info.cold_ms / 1000
        else:
            self._until_s.pop(replica_id, None)

    def told_cold(self, replica_id: str, left_s: float, now_s: float) -> None:
        """Take from another daemon that a replica stays cold for some time."""
        self._until_s[replica_id] = max(self._until_s.get(replica_id, NEVER_S), now_s + left_s)

    def unreachable(self, info: ReplicaInfo, now_s: float) -> None:
        """Doubt a replica that could not be reached: it may come back cold at any later moment."""
        if self.limit_of(info.service) is not None:
            self._doubts[info.replica_id] = _Doubt(since_s=now_s, until_s=math.inf)

    def reached(self, info: ReplicaInfo, now_s: float) -> None:
        """Note an answer: a replica that was out of reach is back now at the latest."""
        doubt = self._doubts.get(info.replica_id)
        limit = self.limit_of(info.service)
        if doubt is not None and limit is not None:
            doubt.until_s = min(doubt.until_s, now_s + limit.lasts_s)

    def turned_cold(self, infos: Iterable[ReplicaInfo], now_s: float) -> None:
        """Take replicas to have just turned cold, until a later entry tells otherwise."""
        for info in infos:
            limit = self.limit_of(info.service)
            if limit is not None:
                self._doubts[info.replica_id] = _Doubt(since_s=now_s, until_s=now_s + limit.lasts_s)

    @property
    def any(self) -> bool:
        """Whether any replica may count as cold."""
        return bool(self._until_s or self._doubts)

    def is_cold(self, info: ReplicaInfo, now_s: float) -> bool:
        """Whether a replica is cold or may be."""
        return self.any and self.left_s(info, now_s) > 0.0

    def left_s(self, info: ReplicaInfo, now_s: float) -> float:
        """Return for how long a replica still counts as cold; 0 if it is warm."""
        if self.limit_of(info.service) is None:
            return 0.0
        doubt = self._doubts.get(info.replica_id)
        doubted_s = doubt.until_s if doubt is not None else NEVER_S
        return max(self._until_s.get(info.replica_id, NEVER_S) - now_s, doubted_s - now_s, 0.0)

    def forget(self, listed: set[str], now_s: float) -> None:
        """Drop what is over, and what concerns replicas that are not listed any more."""
        for replica_id in [key for key, end in self._until_s.items() if end <= now_s or key not in listed]:
            del self._until_s[replica_id]
        ended = [key for key, doubt in self._doubts.items() if doubt.until_s <= now_s or key not in listed]
        for replica_id in ended:
            del self._doubts[replica_id]
