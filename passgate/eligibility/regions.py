"""Bounds on regions: where a request may be served.

A route and a tenant may each name allowed regions.  Both bind, so a request may go only to
regions that both name; it can go nowhere when they have none in common.

>>> common_regions(frozenset({"a", "b"}), frozenset({"b", "c"})) == {"b"}
True
>>> common_regions(frozenset(), frozenset()) is None, common_regions(frozenset({"a"}), frozenset())
(True, frozenset({'a'}))
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendKind, SendTerms

CountSend = Callable[[str, bool], None]
"""Takes the region to which work was sent, and whether that is another one than this daemon's."""


def common_regions(*bounds: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all bounds allow; an empty bound allows any, None stands for any."""
    allowed: frozenset[str] | None = None
    for bound in bounds:
        if bound:
            allowed = bound if allowed is None else allowed & bound
    return allowed


def may_be_in(regions: frozenset[str] | None, region: str) -> bool:
    """Whether what is bound to some regions may be in one of them.

    >>> may_be_in(None, "a"), may_be_in(frozenset({"b"}), "a")
    (True, False)
    """
    return regions is None or region in regions


class RegionRule:
    """A request reaches replicas only in regions that its route and its tenant allow."""

    name = "regions"

    def __init__(self, places: Places, count: CountSend) -> None:
        """Make the rule; ``count`` hears of each request that is sent, bound or not."""
        self._places = places
        self._count = count

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether the replica's region may serve the request; a zone of no known region may not."""
        return terms.regions is None or may_be_in(terms.regions, self._places.region_of(replica.zone))

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Count where the request went."""
        if terms.kind is SendKind.REQUEST:
            region = self._places.region_of(replica.zone)
            self._count(region, region != self._places.region)
