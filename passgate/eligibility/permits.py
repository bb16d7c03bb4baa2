"""Permits, each for one request to a cold replica: their allocation, and the pool of one daemon.

A permit expires PERMIT_LIFETIME_S after the permit request was sent, hence within that time after its
grant.  A request leaves the daemon at most MAX_SEND_DELAY_S after its permit's expiry.  All requests that
leave in one second therefore use permits granted within GRANT_WINDOW_S, of which there are no more than the
replica's limit.

>>> allocator = PermitAllocator()
>>> allocator.set_leadership(1, now_s=0.0)
>>> limits = {"r": 3}
>>> allocator.grant("a", limits, count=2, now_s=1.0), allocator.grant("a", limits, count=2, now_s=2.0)
({}, {'r': 2})
>>> allocator.grant("b", limits, count=2, now_s=2.1), allocator.grant("b", limits, count=2, now_s=2.2)
({'r': 1}, {})
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping

import msgspec

PERMIT_LIFETIME_S = 0.3
"""Time for which permits are valid after the permit request was sent: several round trips between regions.  A
longer time widens GRANT_WINDOW_S and so lowers the usable rate."""
MAX_SEND_DELAY_S = 0.1
"""Longest time after a permit's expiry at which a request that used it may still leave the daemon; a busy
daemon takes some 50 ms from the check to the send."""
RATE_WINDOW_S = 1.0
"""Window to which a cold replica's limit applies."""
GRANT_WINDOW_S = RATE_WINDOW_S + PERMIT_LIFETIME_S + MAX_SEND_DELAY_S
"""Window in which the number of permits granted for a replica is at most its limit for RATE_WINDOW_S."""
DEMAND_LIFETIME_S = 0.5
"""Time for which a permit request counts as demand; longer than a requester's pause between two requests."""
CLAIM_LIFETIME_S = 0.05
"""Lifetime of a claim, by which the choice of a replica for a request keeps a permit from other choices."""


class _Grant(msgspec.Struct, frozen=True):
    """Permits granted to a requester for one replica by one response."""

    granted_s: float
    requester: str
    count: int


class _Demand(msgspec.Struct, frozen=True):
    """Number of permits in a requester's last request."""

    requested_s: float
    count: int


class _ReplicaGrants:
    """Recent grants of permits for one replica, and the current demand for more."""

    def __init__(self) -> None:
        self.grants: deque[_Grant] = deque()
        self.demand_by_requester: dict[str, _Demand] = {}

    def drop_expired_grants(self, now_s: float, window_s: float) -> None:
        while self.grants and now_s - self.grants[0].granted_s > window_s:
            self.grants.popleft()

    def drop_expired_demands(self, now_s: float) -> None:
        expired = [
            requester
            for requester, demand in self.demand_by_requester.items()
            if now_s - demand.requested_s > DEMAND_LIFETIME_S
        ]
        for requester in expired:
            del self.demand_by_requester[requester]

    def grantable(self, requester: str, limit: int, now_s: float) -> int:
        """Return how many permits one requester may get now within the replica's limit.

        That is the rest of the requester's fair share, or what the unmet fair shares of the other requesters
        leave if that is more.
        """
        available = limit - sum(grant.count for grant in self.grants)
        if available <= 0:
            return 0  # the usual case with many requesters; skips the loops below
        self.drop_expired_demands(now_s)
        granted: Counter[str] = Counter()
        for grant in self.grants:
            granted[grant.requester] += grant.count
        demands = {other: granted[other] + demand.count for other, demand in self.demand_by_requester.items()}
        share = fair_share(limit, demands.values())
        reserved_for_others = sum(
            max(min(demand, share) - granted[other], 0)
            for other, demand in demands.items()
            if other != requester
        )
        return max(min(available, share - granted[requester]), available - reserved_for_others, 0)


class PermitAllocator:
    """Decides how many permits each requester gets, within the limit of each replica.

    Grants nothing in the first GRANT_WINDOW_S as leader.  The caller must check the leader's lease before
    each call of :meth:`grant`.
    """

    def __init__(self, window_s: float = GRANT_WINDOW_S) -> None:
        self._window_s = window_s
        self._fence: int | None = None
        self._leading_since_s = math.inf
        """Loop time at which this daemon first led under ``_fence``; infinite if it never led."""
        self._grants_by_replica_id: dict[str, _ReplicaGrants] = {}

    def set_leadership(self, fence: int | None, now_s: float) -> None:
        """Record the fence under which this daemon leads; None, if it does not lead, changes nothing."""
        if fence is not None and fence != self._fence:
            self._fence = fence
            self._leading_since_s = now_s

    def may_grant(self, now_s: float) -> bool:
        """Whether the grant window has passed since this daemon became leader.

        No grant of the previous leader counts any more then.
        """
        return now_s - self._leading_since_s > self._window_s

    def grant(
        self, requester: str, limit_by_replica_id: Mapping[str, int], count: int, now_s: float
    ) -> dict[str, int]:
        """Grant up to ``count`` permits, distributed over replicas.

        Args:
            requester: address of the daemon that gets the permits.
            limit_by_replica_id: maximum number of requests a second, by replica ID.
            count: permits requested in total, for any of the replicas.
            now_s: loop time.

        Returns:
            Number of permits by replica ID; replicas without any are left out.
        """
        if not self.may_grant(now_s) or count <= 0:
            return {}
        grantable_by_id = {
            replica_id: self._grantable(requester, replica_id, limit, count, now_s)
            for replica_id, limit in limit_by_replica_id.items()
        }
        return self._distribute(requester, grantable_by_id, count, now_s)

    def _grantable(self, requester: str, replica_id: str, limit: int, count: int, now_s: float) -> int:
        replica = self._grants_by_replica_id.setdefault(replica_id, _ReplicaGrants())
        replica.drop_expired_grants(now_s, self._window_s)
        replica.demand_by_requester[requester] = _Demand(now_s, count)
        return replica.grantable(requester, limit, now_s)

    def _distribute(
        self, requester: str, grantable_by_id: dict[str, int], count: int, now_s: float
    ) -> dict[str, int]:
        granted: dict[str, int] = {}
        most_grantable_first = sorted(grantable_by_id, key=lambda replica_id: -grantable_by_id[replica_id])
        for index, replica_id in enumerate(most_grantable_first):
            even_share = math.ceil(count / (len(most_grantable_first) - index))
            permits = min(grantable_by_id[replica_id], even_share)
            if permits > 0:
                granted[replica_id] = permits
                count -= permits
                self._grants_by_replica_id[replica_id].grants.append(_Grant(now_s, requester, permits))
        return granted

    def drop_expired(self, now_s: float) -> None:
        """Drop expired grants and demands."""
        for replica_id, replica in list(self._grants_by_replica_id.items()):
            replica.drop_expired_grants(now_s, self._window_s)
            replica.drop_expired_demands(now_s)
            if not replica.grants and not replica.demand_by_requester:
                del self._grants_by_replica_id[replica_id]


def fair_share(limit: int, demands: Iterable[int]) -> int:
    """Return the max-min fair share of a limit among requesters with the given demands.

    Demands below the share are met in full.  The share is rounded down, but is at least 1.  If the demands
    together are below the limit, the share is the limit itself.

    >>> fair_share(29, [40, 40]), fair_share(29, [1, 1, 40]), fair_share(2, [1] * 84)
    (14, 27, 1)
    """
    remaining = limit
    smallest_first = sorted(demands)
    for index, demand in enumerate(smallest_first):
        share = max(remaining // (len(smallest_first) - index), 1)
        remaining -= min(demand, share)
        if demand > share or remaining <= 0:
            return share
    return limit


class PermitCounters(msgspec.Struct):
    """Counters of one daemon's permits and permit requests; each only increases."""

    got: int = 0
    """Permits received, including those that had expired on receipt."""
    used: int = 0
    expired: int = 0
    """Permits that expired unused."""
    wanting: int = 0
    """This daemon's requests for permits to which the leader responded without granting any."""
    unanswered: int = 0
    """This daemon's requests, for permits or the list of cold replicas, to which no leader responded."""
    given: int = 0
    """Permits that this daemon granted as permit issuer."""
    refused: int = 0
    """Requests for permits to which this daemon responded as permit issuer without granting any."""


class PermitPool:
    """The permits that a daemon holds, and the replicas for which it needs more."""

    def __init__(self) -> None:
        self._expiry_times_s_by_id: dict[str, deque[float]] = {}
        """Expiry times of the permits by replica ID, in the order of their receipt."""
        self._claim_times_s_by_id: dict[str, deque[float]] = {}
        """Times of the claims by replica ID, earliest first."""
        self.requested_services_by_id: dict[str, str] = {}
        """Service, by replica ID, of each replica for which permits are to be requested next."""
        self.permits_requested = asyncio.Event()
        """Set while ``requested_services_by_id`` is not empty."""
        self.counters = PermitCounters()

    def add(self, granted: Mapping[str, int], requested_s: float, now_s: float) -> None:
        """Add granted permits; those that have already expired are only counted.

        Args:
            granted: number of permits by replica ID.
            requested_s: loop time at which the permit request was sent, from which the lifetime counts.
            now_s: loop time.
        """
        expires_s = requested_s + PERMIT_LIFETIME_S
        for replica_id, count in granted.items():
            self.counters.got += count
            if now_s >= expires_s:
                self.counters.expired += count
                continue
            self._expiry_times_s_by_id.setdefault(replica_id, deque()).extend([expires_s] * count)

    def request_permit(self, replica_id: str, service: str) -> None:
        """Add a replica, to which a request could be sent with a permit, to the next permit request."""
        self.requested_services_by_id[replica_id] = service
        self.permits_requested.set()

    def take_requested(self) -> dict[str, str]:
        """Return the replicas for which permits are to be requested, and clear them.

        Returns:
            Service by replica ID.
        """
        requested, self.requested_services_by_id = self.requested_services_by_id, {}
        self.permits_requested.clear()
        return requested

    def has_permit(self, replica_id: str, now_s: float) -> bool:
        """Whether an unexpired permit for a replica is held."""
        return self._count_valid(replica_id, now_s) > 0

    def has_unclaimed_permit(self, replica_id: str, now_s: float) -> bool:
        """Whether more unexpired permits for a replica are held than there are unexpired claims."""
        valid = self._count_valid(replica_id, now_s)
        return valid > 0 and valid > self._count_claims(replica_id, now_s)

    def claim_permit(self, replica_id: str, now_s: float) -> None:
        """Claim a permit, for CLAIM_LIFETIME_S, for a request that is about to be sent to a replica."""
        self._claim_times_s_by_id.setdefault(replica_id, deque()).append(now_s)

    def use_permit(self, replica_id: str, now_s: float) -> float:
        """Use up the oldest unexpired permit for a replica, and its oldest claim if there is one.

        Returns the permit's expiry time.  The caller must have checked :meth:`has_permit`.
        """
        self._count_valid(replica_id, now_s)  # drops expired permits
        expires_s = self._expiry_times_s_by_id[replica_id].popleft()
        self.counters.used += 1
        if self._count_claims(replica_id, now_s):
            self._claim_times_s_by_id[replica_id].popleft()
        return expires_s

    def drop_expired(self, now_s: float) -> None:
        """Drop expired permits and claims."""
        for replica_id in list(self._expiry_times_s_by_id):
            if not self._count_valid(replica_id, now_s):
                del self._expiry_times_s_by_id[replica_id]
        for replica_id in list(self._claim_times_s_by_id):
            if not self._count_claims(replica_id, now_s):
                del self._claim_times_s_by_id[replica_id]

    def _count_valid(self, replica_id: str, now_s: float) -> int:
        """Return the number of unexpired permits, after dropping and counting the expired ones."""
        expiry_times_s = self._expiry_times_s_by_id.get(replica_id)
        if expiry_times_s is None:
            return 0
        while expiry_times_s and expiry_times_s[0] <= now_s:
            expiry_times_s.popleft()
            self.counters.expired += 1
        return len(expiry_times_s)

    def _count_claims(self, replica_id: str, now_s: float) -> int:
        """Return the number of claims, after dropping the expired ones."""
        claim_times_s = self._claim_times_s_by_id.get(replica_id)
        if claim_times_s is None:
            return 0
        while claim_times_s and now_s - claim_times_s[0] > CLAIM_LIFETIME_S:
            claim_times_s.popleft()
        return len(claim_times_s)
