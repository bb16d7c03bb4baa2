"""Zones and the regions that they belong to, from the settings.

>>> topology = Topology(zone="a1", region_by_zone={"a1": "a", "a2": "a", "b1": "b"})
>>> topology.region, topology.region_of("b1"), topology.region_of("unknown")
('a', 'b', '')
"""

from __future__ import annotations

import msgspec

UNKNOWN_REGION = ""
"""Region of a zone that the settings do not name; no list of allowed regions contains it."""


class Topology(msgspec.Struct, frozen=True, kw_only=True):
    """The zone of this daemon and the region of each zone."""

    zone: str
    """Zone of this daemon."""
    region_by_zone: dict[str, str] = {}
    """Region of each zone that the settings name."""

    @property
    def region(self) -> str:
        """Region of this daemon; `UNKNOWN_REGION` if the settings don't name its zone."""
        return self.region_of(self.zone)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; `UNKNOWN_REGION` if the settings don't name the zone."""
        return self.region_by_zone.get(zone, UNKNOWN_REGION)
