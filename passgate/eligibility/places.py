"""Zones and the regions that they lie in, as the settings tell them.

>>> places = Places(zone="a1", regions={"a1": "a", "a2": "a", "b1": "b"})
>>> places.region, places.region_of("b1"), places.region_of("unknown")
('a', 'b', '')
"""

from __future__ import annotations

import msgspec

UNKNOWN_REGION = ""
"""Region of a zone that the settings don't name; it is in no list of allowed regions."""


class Places(msgspec.Struct, frozen=True, kw_only=True):
    """Where this daemon is, and the layout around it."""

    zone: str
    regions: dict[str, str] = {}
    """Zone to its region."""

    @property
    def region(self) -> str:
        """Region of this daemon."""
        return self.region_of(self.zone)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self.regions.get(zone, UNKNOWN_REGION)
