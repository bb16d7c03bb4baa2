"""Estimates the round trip time (RTT) to each zone, and the network cost of sending a request there.

RTT samples come from new connections to replicas and from calls to other daemons.  A zone without samples
has a default that depends on whether the zone is in the local region.

>>> topology = Topology(zone="a1", region_by_zone={"a1": "a", "a2": "a", "b1": "b"})
>>> distances = ZoneDistances(topology)
>>> [round(distances.network_cost_s(zone) * 1000, 1) for zone in ("a1", "a2", "b1")]
[0.0, 2.5, 24.5]
>>> distances.record_round_trip("b1", 0.012, now_s=1.0)
>>> round(distances.network_cost_s("b1") * 1000, 1), distances.other_zones_nearest_first()
(11.5, ['a2', 'b1'])

With a single region, all other zones have the same cost, whatever RTT was recorded.

>>> ZoneDistances(Topology(zone="a1", region_by_zone={"a1": "a", "a2": "a"})).network_cost_s("a2")
0.0025
"""

from __future__ import annotations

import msgspec

from passgate.eligibility.topology import Topology

OTHER_ZONE_COST_S = 0.0025
"""Network cost of another zone of the local region, and minimum for zones of other regions.  Traffic between
zones is billed, so the cost is not just the RTT."""
DEFAULT_SAME_ZONE_RTT_S, DEFAULT_SAME_REGION_RTT_S, DEFAULT_OTHER_REGION_RTT_S = 0.0005, 0.002, 0.025
"""RTT without samples: within this daemon's zone, to another zone of its region, to another region."""
RTT_WINDOW_S = 4.0
"""Length of the window whose shortest sample counts; longer samples include time on a busy machine."""
RTT_RISE_SHARE = 0.5
"""Share of the difference by which the estimate rises to a longer minimum of a window."""
RESPONSE_MARGIN_S = 0.05
"""Time beyond the RTT that a daemon has for a response: a few iterations of a busy event loop."""


class _RoundTripEstimate(msgspec.Struct):
    """Estimated RTT to one zone."""

    estimate_s: float
    window_minimum_s: float
    """Shortest sample of the current window."""
    window_start_s: float
    """Loop time at which the current window started."""


class ZoneDistances:
    """Estimated RTT and network cost from this daemon to each zone."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.has_multiple_regions = len(set(topology.region_by_zone.values())) > 1
        """Whether the zones are in more than one region."""
        self._estimates_by_zone: dict[str, _RoundTripEstimate] = {}
        self._cost_s_by_zone: dict[str, float] = {}
        """Cache of the costs; cleared by each new sample."""

    def record_round_trip(self, zone: str, round_trip_s: float, now_s: float) -> None:
        """Record an RTT sample.

        A sample below the estimate lowers it at once.  The estimate rises only at the end of a window,
        towards the window's shortest sample.
        """
        estimate = self._estimates_by_zone.get(zone)
        if estimate is None:
            estimate = _RoundTripEstimate(self._default_round_trip_s(zone), round_trip_s, now_s)
            self._estimates_by_zone[zone] = estimate
        estimate.estimate_s = min(estimate.estimate_s, round_trip_s)
        estimate.window_minimum_s = min(estimate.window_minimum_s, round_trip_s)
        if now_s - estimate.window_start_s >= RTT_WINDOW_S:
            estimate.estimate_s += RTT_RISE_SHARE * (estimate.window_minimum_s - estimate.estimate_s)
            estimate.window_minimum_s, estimate.window_start_s = round_trip_s, now_s
        self._cost_s_by_zone.clear()

    def round_trip_s(self, zone: str) -> float:
        """Return the estimated RTT to a zone, or the default without samples."""
        estimate = self._estimates_by_zone.get(zone)
        return estimate.estimate_s if estimate is not None else self._default_round_trip_s(zone)

    def _default_round_trip_s(self, zone: str) -> float:
        if zone == self.topology.zone:
            return DEFAULT_SAME_ZONE_RTT_S
        return DEFAULT_SAME_REGION_RTT_S if self.is_local_region(zone) else DEFAULT_OTHER_REGION_RTT_S

    def is_local_region(self, zone: str) -> bool:
        """Whether a zone is in this daemon's region; always true with a single region."""
        return not self.has_multiple_regions or self.topology.region_of(zone) == self.topology.region

    def network_cost_s(self, zone: str) -> float:
        """Return the extra cost of sending to a zone instead of this daemon's zone, as a time."""
        cost_s = self._cost_s_by_zone.get(zone)
        if cost_s is None:
            cost_s = self._cost_s_by_zone[zone] = self._compute_network_cost_s(zone)
        return cost_s

    def _compute_network_cost_s(self, zone: str) -> float:
        if zone == self.topology.zone:
            return 0.0
        if self.is_local_region(zone):
            return OTHER_ZONE_COST_S
        return max(self.round_trip_s(zone) - self.round_trip_s(self.topology.zone), OTHER_ZONE_COST_S)

    def other_zones_nearest_first(self) -> list[str]:
        """Return all zones but this daemon's: those of the local region first, then the rest, by RTT."""
        zones = [zone for zone in self.topology.region_by_zone if zone != self.topology.zone]
        return sorted(zones, key=lambda zone: (not self.is_local_region(zone), self.round_trip_s(zone), zone))

    def fallback_zones(self) -> list[str]:
        """Return the other zones of the local region and the nearest zone of another region.

        Their daemons may be called while the log is unavailable.
        """
        zones = self.other_zones_nearest_first()
        local = [zone for zone in zones if self.is_local_region(zone)]
        remote = [zone for zone in zones if not self.is_local_region(zone)]
        return local + remote[:1]

    def response_timeout_s(self, minimum_s: float, zone: str | None = None) -> float:
        """Return the timeout for the response of another daemon to a request that needs no waiting.

        Args:
            minimum_s: shortest timeout; always returned with a single region.
            zone: zone of the other daemon; None if the daemon may be in any zone, so the longest RTT counts.
        """
        if not self.has_multiple_regions:
            return minimum_s
        zones = [zone] if zone is not None else [self.topology.zone, *self.topology.region_by_zone]
        return max(minimum_s, max(map(self.round_trip_s, zones)) + RESPONSE_MARGIN_S)
