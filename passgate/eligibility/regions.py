"""Send rule: a region-restricted request may be sent only to replicas in its allowed regions.

A route and a tenant may each name allowed regions.  A request may be served only in regions that both
allow, and nowhere if they have none in common.

>>> intersect_regions(frozenset({"a", "b"}), frozenset({"b", "c"})) == {"b"}
True
>>> intersect_regions(frozenset(), frozenset()) is None, intersect_regions(frozenset({"a"}), frozenset())
(True, frozenset({'a'}))
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendContext, SendKind
from passgate.eligibility.topology import Topology

SendCounter = Callable[[str, bool], None]
"""Called with the region to which a request is sent, and whether it differs from this daemon's region."""


def intersect_regions(*restrictions: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all restrictions allow.

    An empty restriction allows any region.  Returns None if any region is allowed, and an empty set if the
    restrictions have no region in common.
    """
    allowed: frozenset[str] | None = None
    for restriction in restrictions:
        if restriction:
            allowed = restriction if allowed is None else allowed & restriction
    return allowed


def is_region_allowed(allowed_regions: frozenset[str] | None, region: str) -> bool:
    """Whether a region is among the allowed ones; None allows any region.

    >>> is_region_allowed(None, "a"), is_region_allowed(frozenset({"b"}), "a")
    (True, False)
    """
    return allowed_regions is None or region in allowed_regions


class RegionRule:
    """Allows sends only to replicas in the allowed regions of the send's context."""

    name = "regions"

    def __init__(self, topology: Topology, count_send: SendCounter) -> None:
        """Create the rule; ``count_send`` is called when the rules have admitted a request to a replica."""
        self._topology = topology
        self._count_send = count_send

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether the replica's region is allowed; an unknown region is allowed only without restriction."""
        return context.allowed_regions is None or is_region_allowed(
            context.allowed_regions, self._topology.region_of(replica.zone)
        )

    def record_send(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> None:
        """Count a request by the region of its replica; control messages are not counted."""
        if context.kind is SendKind.REQUEST:
            region = self._topology.region_of(replica.zone)
            self._count_send(region, region != self._topology.region)
