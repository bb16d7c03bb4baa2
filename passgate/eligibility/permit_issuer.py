"""The permit issuer: grants permits for requests to cold replicas while its daemon leads the control topic.

One daemon at a time leads the control topic; it holds a lease, which it renews by records on the topic.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, PermitIssuingStarted
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permits import PermitAllocator, PermitCounters


class PermitRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Requests permits for any of the named replicas, or the list of cold replicas, or both."""

    count: int = 0
    """Number of permits requested, over all named replicas; 0 if only the list of cold replicas is wanted."""
    service_by_replica_id: dict[str, str] = msgspec.field(name="replicas", default={})
    include_cold: bool = msgspec.field(name="tell_cold", default=False)
    """Whether the response is to list the cold replicas."""


class PermitResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a permit request."""

    granted: dict[str, int] | None = None
    """Number of granted permits by replica ID; None if the responding daemon does not lead."""
    leader: str = ""
    """Name of the leader if the responding daemon does not lead but knows the leader; else empty."""
    remaining_cold_ms_by_id: dict[str, int] = msgspec.field(name="cold_ms", default={})
    """Milliseconds for which a replica stays cold, by replica ID; empty unless requested from the leader."""


class LeaderLease(Protocol):
    """The leader's lease as this daemon sees it; only the leader may grant permits."""

    @property
    def fence(self) -> int:
        """Fencing token of the current lease; it increases with each change of the leader."""
        ...

    def may_order(self) -> bool:
        """Whether this daemon leads and has confirmed its lease recently."""
        ...


class PermitIssuer:
    """Responds to permit requests: grants permits while this daemon leads, else names the leader."""

    def __init__(
        self,
        lease: LeaderLease,
        find_leader: Callable[[], str],
        limit_of: Callable[[str], ColdLimit | None],
        list_cold_ms: Callable[[], dict[str, int]],
        counters: PermitCounters,
        decisions: DecisionLog,
    ) -> None:
        """Create the issuer.

        Args:
            lease: the leader's lease.
            find_leader: returns the name of the leader; empty if none is known by a recent view.
            limit_of: returns the limit of a service, None if it has none.
            list_cold_ms: returns the milliseconds for which each cold replica stays cold, by replica ID.
            counters: counters of permits.
            decisions: decision log.
        """
        self._lease = lease
        self._find_leader = find_leader
        self._limit_of = limit_of
        self._list_cold_ms = list_cold_ms
        self._counters = counters
        self._decisions = decisions
        self._allocator = PermitAllocator()
        self._announced_fence: int | None = None
        """Fence for which a `PermitIssuingStarted` line was written last."""

    def update(self) -> None:
        """Check the leadership, drop expired grants, and write a decision line once grants may begin.

        Must be called often: a new leader may grant only GRANT_WINDOW_S after the first call of this method,
        or of :meth:`handle_request`, that finds it leading.
        """
        now_s = monotonic_s()
        self._allocator.drop_expired(now_s)
        if (
            self._update_leadership(now_s)
            and self._allocator.may_grant(now_s)
            and self._announced_fence != self._lease.fence
        ):
            self._announced_fence = self._lease.fence
            self._decisions.write(PermitIssuingStarted(fence=self._lease.fence))

    def _update_leadership(self, now_s: float) -> bool:
        """Return whether this daemon leads, and report it to the allocator."""
        may_order = self._lease.may_order()
        self._allocator.set_leadership(self._lease.fence if may_order else None, now_s)
        return may_order

    def handle_request(self, requester: str, request: PermitRequest) -> PermitResponse:
        """Return the response to a permit request; ``requester`` is the address of the requesting daemon.

        Replicas of services without a limit get no permits, as they need none.
        """
        if not self._update_leadership(monotonic_s()):
            return PermitResponse(leader=self._find_leader())
        limit_by_replica_id = {}
        for replica_id, service in request.service_by_replica_id.items():
            limit = self._limit_of(service)
            if limit is not None:
                limit_by_replica_id[replica_id] = limit.max_requests_per_s
        granted = self._allocator.grant(requester, limit_by_replica_id, request.count, monotonic_s())
        self._counters.given += sum(granted.values())
        self._counters.refused += request.count > 0 and not granted
        remaining_cold_ms_by_id = self._list_cold_ms() if request.include_cold else {}
        return PermitResponse(granted=granted, remaining_cold_ms_by_id=remaining_cold_ms_by_id)
