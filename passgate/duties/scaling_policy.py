"""How many replicas of which kind a service shall have, by the work of the open steps.

Trainers ask for whole steps at once and wait for the last of their items, so the service is
given as many slots as the newest step of each model has items, within the operator's bounds.
What is there already stays; what is added is ordered as spot replicas where these are
cheaper, first in the zones with the lowest price.

>>> rule = ScalingRule(least=1, most=4, boot_s=4.0, spot_price=0.2, zone_prices={"a": 1.0, "b": 0.8})
>>> present = {"a": ZoneReplicas(ordinary=2), "b": ZoneReplicas(ordinary=2)}
>>> spread_replicas(rule, present, wanted=7)
{'a': ZoneReplicas(ordinary=2, spot=1), 'b': ZoneReplicas(ordinary=2, spot=2)}
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from passgate.gateway.routes import ScalingRule


class ZoneReplicas(msgspec.Struct, frozen=True, kw_only=True):
    """Replicas of a service in one zone, by kind."""

    ordinary: int = 0
    spot: int = 0

    @property
    def total(self) -> int:
        """Number of both kinds."""
        return self.ordinary + self.spot


def replicas_for(items: Iterable[int], slots: int) -> int:
    """Return the replicas that run all items at once.

    Args:
        items: items of the newest step of each model.
        slots: requests that one replica runs at once.

    >>> replicas_for([112, 120, 112], slots=8)
    43
    """
    return math.ceil(sum(items) / max(slots, 1))


def spread_replicas(
    rule: ScalingRule, present: Mapping[str, ZoneReplicas], wanted: int
) -> dict[str, ZoneReplicas]:
    """Return the replicas that each zone shall have.

    Args:
        rule: bounds and prices.
        present: ordinary replicas that are there, by zone; spot replicas are decided anew.
        wanted: replicas of all zones together.
    """
    zones = sorted(present, key=lambda zone: (rule.zone_prices.get(zone, 1.0), zone))
    spot = dict.fromkeys(zones, 0)
    missing = wanted - sum(replicas.ordinary for replicas in present.values())
    while missing > 0:
        open_zones = [zone for zone in zones if present[zone].ordinary + spot[zone] < rule.most]
        if not open_zones:
            break
        # Even shares, as the platform takes the spot replicas of a whole zone away at once.
        zone = min(open_zones, key=lambda name: (spot[name], zones.index(name)))
        spot[zone] += 1
        missing -= 1
    if rule.spot_price < 1.0:
        return {
            zone: ZoneReplicas(ordinary=present[zone].ordinary, spot=spot[zone]) for zone in sorted(zones)
        }
    return {zone: ZoneReplicas(ordinary=present[zone].ordinary + spot[zone]) for zone in sorted(zones)}
