"""Permits to send one request to a cold replica: how they are given out, and how they are kept.

A permit ends PERMIT_LIFE_S after its question was sent, by the asker's clock.  The question reached
the grantor later, so whatever it grants is used within that time after the grant.  Sends within
one second therefore used permits of a span of a second and a permit's life, and grants in each such
span stay within what the replica may get in a second.

>>> grants = PermitGrants()
>>> grants.lead(1, now_s=0.0)
>>> wish = {"r": 3}
>>> grants.grant("a", wish, count=2, now_s=1.0), grants.grant("a", wish, count=2, now_s=2.0)
({}, {'r': 2})
>>> grants.grant("b", wish, count=2, now_s=2.1), grants.grant("b", wish, count=2, now_s=2.2)
({'r': 1}, {})
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping

import msgspec

PERMIT_LIFE_S = 0.3
"""Time from a question for which its permits are valid: several round trips between regions.  A longer
one costs rate, as a grantor counts a permit for a second and this."""
SEND_MARGIN_S = 0.1
"""Longest time from the check of a permit until its request leaves; a busy daemon takes some 50 ms."""
RATE_WINDOW_S = 1.0
"""Window of a cold replica's limit."""
SPAN_S = RATE_WINDOW_S + PERMIT_LIFE_S + SEND_MARGIN_S
"""Span in which no more is granted than a replica may get in one window."""
DEMAND_LIFE_S = 0.5
"""Time for which an asker counts as one that wants permits; longer than the pause between questions."""
CLAIM_S = 0.05
"""Time for which a choice keeps its permit for itself until it is sent; usually the loop's next round."""


class _Grant(msgspec.Struct, frozen=True):
    at_s: float
    asker: str
    count: int


class _Demand(msgspec.Struct, frozen=True):
    at_s: float
    count: int


class _ReplicaGrants:
    """What was lately granted for one replica, and who wants more."""

    def __init__(self) -> None:
        self.grants: deque[_Grant] = deque()
        self.demands: dict[str, _Demand] = {}

    def forget_old_grants(self, now_s: float, span_s: float) -> None:
        while self.grants and now_s - self.grants[0].at_s > span_s:
            self.grants.popleft()

    def forget_old_demands(self, now_s: float) -> None:
        old = [asker for asker, demand in self.demands.items() if now_s - demand.at_s > DEMAND_LIFE_S]
        for asker in old:
            del self.demands[asker]

    def room(self, asker: str, limit: int, now_s: float) -> int:
        """Return what one asker may get now: its share, and what the others don't lack of theirs."""
        left = limit - sum(grant.count for grant in self.grants)
        if left <= 0:
            return 0  # most questions of many askers end here, before all of them are looked at
        self.forget_old_demands(now_s)
        granted: Counter[str] = Counter()
        for grant in self.grants:
            granted[grant.asker] += grant.count
        wants = {other: granted[other] + demand.count for other, demand in self.demands.items()}
        share = fair_share(limit, wants.values())
        others_lack = sum(
            max(min(want, share) - granted[other], 0) for other, want in wants.items() if other != asker
        )
        return max(min(left, share - granted[asker]), left - others_lack, 0)


class PermitGrants:
    """The grantor's books; only the daemon that leads grants."""

    def __init__(self, span_s: float = SPAN_S) -> None:
        self._span_s = span_s
        self._fence: int | None = None
        self._led_s = math.inf
        """Since when this daemon has led without another in between."""
        self._replicas: dict[str, _ReplicaGrants] = {}

    def lead(self, fence: int | None, now_s: float) -> None:
        """Note under which fence this daemon leads now; None if it does not."""
        if fence is not None and fence != self._fence:
            self._fence = fence
            self._led_s = now_s

    def ready(self, now_s: float) -> bool:
        """Whether a leader may grant: all that its predecessor may have granted has run out."""
        return now_s - self._led_s > self._span_s

    def grant(self, asker: str, limits: Mapping[str, int], count: int, now_s: float) -> dict[str, int]:
        """Grant up to ``count`` permits, spread over replicas.

        Args:
            asker: who gets them.
            limits: replica to what it may get in a second.
            count: permits wanted, at any of the replicas.
            now_s: loop time.

        Returns:
            Replica to permits; replicas without any are left out.
        """
        if not self.ready(now_s) or count <= 0:
            return {}
        rooms = {
            replica: self._room(asker, replica, limit, count, now_s) for replica, limit in limits.items()
        }
        return self._spread(asker, rooms, count, now_s)

    def _room(self, asker: str, replica_id: str, limit: int, count: int, now_s: float) -> int:
        replica = self._replicas.setdefault(replica_id, _ReplicaGrants())
        replica.forget_old_grants(now_s, self._span_s)
        replica.demands[asker] = _Demand(now_s, count)
        return replica.room(asker, limit, now_s)

    def _spread(self, asker: str, rooms: dict[str, int], count: int, now_s: float) -> dict[str, int]:
        granted: dict[str, int] = {}
        widest_first = sorted(rooms, key=lambda replica: -rooms[replica])
        for place, replica_id in enumerate(widest_first):
            even_share = math.ceil(count / (len(widest_first) - place))
            given = min(rooms[replica_id], even_share)
            if given > 0:
                granted[replica_id] = given
                count -= given
                self._replicas[replica_id].grants.append(_Grant(now_s, asker, given))
        return granted

    def forget_old(self, now_s: float) -> None:
        """Drop replicas of which nothing is left to know."""
        for replica_id, replica in list(self._replicas.items()):
            replica.forget_old_grants(now_s, self._span_s)
            replica.forget_old_demands(now_s)
            if not replica.grants and not replica.demands:
                del self._replicas[replica_id]


def fair_share(limit: int, demands: Iterable[int]) -> int:
    """Return the most that one of several askers may get so that small demands are met in full.

    It is rounded down; the rest goes to whoever asks next.

    >>> fair_share(29, [40, 40]), fair_share(29, [1, 1, 40]), fair_share(2, [1] * 84)
    (14, 27, 1)
    """
    left = limit
    waiting = sorted(demands)
    for place, demand in enumerate(waiting):
        share = max(left // (len(waiting) - place), 1)
        left -= min(demand, share)
        if demand > share or left <= 0:
            return share
    return limit


class PermitTally(msgspec.Struct):
    """Permits of one asker, counted; each counter only rises."""

    got: int = 0
    used: int = 0
    expired: int = 0
    wanting: int = 0
    """Questions that brought no permit."""
    unanswered: int = 0
    """Questions that no leader answered."""
    given: int = 0
    """Permits granted, where this daemon is the grantor."""
    refused: int = 0
    """Questions that the grantor answered without any."""


class PermitStock:
    """The permits that a daemon holds, and the replicas that it wants more for."""

    def __init__(self) -> None:
        self._ends_s: dict[str, deque[float]] = {}
        """Replica to the end of each of its permits, the earliest first."""
        self._claims_s: dict[str, deque[float]] = {}
        """Replica to the times at which it was chosen for a request that is not sent yet."""
        self.wanted: dict[str, str] = {}
        """Replica that had too few permits since the last question, to its service."""
        self.wish = asyncio.Event()
        """Set while replicas are wanted."""
        self.tally = PermitTally()

    def add(self, granted: Mapping[str, int], asked_s: float, now_s: float) -> None:
        """Take the permits that a question sent at ``asked_s`` brought."""
        end_s = asked_s + PERMIT_LIFE_S
        for replica_id, count in granted.items():
            self.tally.got += count
            if now_s >= end_s:
                self.tally.expired += count
                continue
            self._ends_s.setdefault(replica_id, deque()).extend([end_s] * count)

    def want(self, replica_id: str, service: str) -> None:
        """Note that a request would go to a replica of a service if there were a permit."""
        self.wanted[replica_id] = service
        self.wish.set()

    def take_wanted(self) -> dict[str, str]:
        """Return the replicas that are wanted, to be asked for now."""
        wanted, self.wanted = self.wanted, {}
        self.wish.clear()
        return wanted

    def holds(self, replica_id: str, now_s: float) -> bool:
        """Whether a request may be sent now."""
        return self._valid(replica_id, now_s) > 0

    def holds_unclaimed(self, replica_id: str, now_s: float) -> bool:
        """Whether a permit is there that no choice of this moment relies on."""
        valid = self._valid(replica_id, now_s)
        return valid > 0 and valid > self._claims(replica_id, now_s)

    def claim(self, replica_id: str, now_s: float) -> None:
        """Keep a permit for a request that is about to be sent."""
        self._claims_s.setdefault(replica_id, deque()).append(now_s)

    def use(self, replica_id: str, now_s: float) -> float:
        """Use up a permit, of which there must be one; return its end."""
        self._valid(replica_id, now_s)
        end_s = self._ends_s[replica_id].popleft()
        self.tally.used += 1
        if self._claims(replica_id, now_s):
            self._claims_s[replica_id].popleft()
        return end_s

    def forget_old(self, now_s: float) -> None:
        """Drop permits that have run out."""
        for replica_id in list(self._ends_s):
            if not self._valid(replica_id, now_s):
                del self._ends_s[replica_id]
        for replica_id in list(self._claims_s):
            if not self._claims(replica_id, now_s):
                del self._claims_s[replica_id]

    def _valid(self, replica_id: str, now_s: float) -> int:
        ends_s = self._ends_s.get(replica_id)
        if ends_s is None:
            return 0
        while ends_s and ends_s[0] <= now_s:
            ends_s.popleft()
            self.tally.expired += 1
        return len(ends_s)

    def _claims(self, replica_id: str, now_s: float) -> int:
        claims_s = self._claims_s.get(replica_id)
        if claims_s is None:
            return 0
        while claims_s and now_s - claims_s[0] > CLAIM_S:
            claims_s.popleft()
        return len(claims_s)
