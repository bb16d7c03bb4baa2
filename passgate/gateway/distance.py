"""How far away each zone is: the measured round trip, and one cost for all choices.

Round trips are measured by calls that are made anyway: new connections to replicas and questions
to other daemons.  Until something was measured, the layout tells a first guess.

>>> places = Places(zone="a1", regions={"a1": "a", "a2": "a", "b1": "b"})
>>> distances = Distances(places)
>>> [round(distances.cost_s(zone) * 1000, 1) for zone in ("a1", "a2", "b1")]
[0.0, 2.5, 24.5]
>>> distances.observe("b1", 0.012, now_s=1.0)
>>> round(distances.cost_s("b1") * 1000, 1), distances.nearest_first()
(11.5, ['a2', 'b1'])

Where there is one region, all other zones cost the same, whatever was measured.

>>> Distances(Places(zone="a1", regions={"a1": "a", "a2": "a"})).cost_s("a2")
0.0025
"""

from __future__ import annotations

import msgspec

from passgate.eligibility.places import Places

OTHER_ZONE_S = 0.0025
"""Cost of another zone of the own region, and the least cost of any other zone: bytes there cost money."""
OWN_ZONE_GUESS_S, OWN_REGION_GUESS_S, OTHER_REGION_GUESS_S = 0.0005, 0.002, 0.025
"""Round trips until one was measured: within a building, within a city, between cities."""
WINDOW_S = 4.0
"""Time over which the shortest round trip counts; the others waited for a busy machine."""
RISE_SHARE = 0.5
"""Share of the way to a longer shortest round trip that is taken after each window."""
MARGIN_S = 0.05
"""Time beyond the round trip for a daemon to answer: a few turns of a busy event loop."""


class _RoundTrip(msgspec.Struct):
    """The round trip to one zone."""

    value_s: float
    lowest_s: float
    """Shortest one of the present window."""
    began_s: float
    """Begin of the window."""


class Distances:
    """Round trips from this daemon to all zones."""

    def __init__(self, places: Places) -> None:
        self.places = places
        self.several_regions = len(set(places.regions.values())) > 1
        """Whether there is any other region than this daemon's."""
        self._measured: dict[str, _RoundTrip] = {}
        self._costs: dict[str, float] = {}
        """Cost by zone, as it is asked for each replica of each choice; emptied by each measurement."""

    def observe(self, zone: str, round_trip_s: float, now_s: float) -> None:
        """Count a measured round trip: a shorter one holds at once, longer ones when none was shorter."""
        known = self._measured.get(zone)
        if known is None:
            known = _RoundTrip(self._guess_s(zone), round_trip_s, now_s)
            self._measured[zone] = known
        known.value_s = min(known.value_s, round_trip_s)
        known.lowest_s = min(known.lowest_s, round_trip_s)
        if now_s - known.began_s >= WINDOW_S:
            known.value_s += RISE_SHARE * (known.lowest_s - known.value_s)
            known.lowest_s, known.began_s = round_trip_s, now_s
        self._costs.clear()

    def round_trip_s(self, zone: str) -> float:
        """Return the round trip to a zone as measured lately, or as the layout lets expect."""
        known = self._measured.get(zone)
        return known.value_s if known is not None else self._guess_s(zone)

    def _guess_s(self, zone: str) -> float:
        if zone == self.places.zone:
            return OWN_ZONE_GUESS_S
        return OWN_REGION_GUESS_S if self.is_home(zone) else OTHER_REGION_GUESS_S

    def is_home(self, zone: str) -> bool:
        """Whether a zone lies in this daemon's region; all do where there is one region."""
        return not self.several_regions or self.places.region_of(zone) == self.places.region

    def cost_s(self, zone: str) -> float:
        """Return what using a zone costs beyond using the own one, as time."""
        cost_s = self._costs.get(zone)
        if cost_s is None:
            cost_s = self._costs[zone] = self._computed_cost_s(zone)
        return cost_s

    def _computed_cost_s(self, zone: str) -> float:
        if zone == self.places.zone:
            return 0.0
        if self.is_home(zone):
            return OTHER_ZONE_S
        return max(self.round_trip_s(zone) - self.round_trip_s(self.places.zone), OTHER_ZONE_S)

    def nearest_first(self) -> list[str]:
        """Return all other zones: those of the own region, then those of others, the nearest first."""
        zones = [zone for zone in self.places.regions if zone != self.places.zone]
        return sorted(zones, key=lambda zone: (not self.is_home(zone), self.round_trip_s(zone), zone))

    def fallback_zones(self) -> list[str]:
        """Return zones whose daemons are asked when the own zone is cut off; none in one region."""
        near = self.nearest_first() if self.several_regions else []
        home = [zone for zone in near if self.is_home(zone)]
        others = [zone for zone in near if not self.is_home(zone)]
        return home[:1] + others[:1]

    def patience_s(self, floor_s: float, zone: str | None = None) -> float:
        """Return how long to wait for a short answer of a daemon.

        Args:
            floor_s: shortest wait, right where the way takes almost no time.
            zone: zone of the daemon; without it, the farthest zone counts.
        """
        if not self.several_regions:
            return floor_s
        zones = [zone] if zone is not None else [self.places.zone, *self.places.regions]
        return max(floor_s, max(map(self.round_trip_s, zones)) + MARGIN_S)
