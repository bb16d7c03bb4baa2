"""Computes how many replicas of which kind a service needs for the newest jobs of its models.

Trainers wait for the last item of a job, so a service needs as many slots as the newest jobs of its models
have items, up to the operator's maximum of replicas per zone.  Present on-demand replicas stay.  Further
replicas are spread evenly over the zones, the cheapest zone first, as spot replicas if these are cheaper.

>>> rule = ScalingRule(least=1, most=4, boot_s=4.0, spot_price=0.2, zone_prices={"a": 1.0, "b": 0.8})
>>> present = {"a": ZoneReplicas(on_demand=2), "b": ZoneReplicas(on_demand=2)}
>>> spread_replicas(rule, present, total=7)
{'a': ZoneReplicas(on_demand=2, spot=1), 'b': ZoneReplicas(on_demand=2, spot=2)}
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from passgate.gateway.routes import ScalingRule


class ZoneReplicas(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of a service's replicas in one zone, by kind."""

    on_demand: int = 0
    spot: int = 0

    @property
    def total(self) -> int:
        """Number of replicas of both kinds."""
        return self.on_demand + self.spot


def replicas_needed(items: Iterable[int], slots_per_replica: int) -> int:
    """Return the number of replicas that can run all items at the same time.

    Args:
        items: number of items of the newest job of each model.
        slots_per_replica: number of requests that one replica runs at the same time.

    >>> replicas_needed([112, 120, 112], slots_per_replica=8)
    43
    """
    return math.ceil(sum(items) / max(slots_per_replica, 1))


def spread_replicas(
    rule: ScalingRule, present: Mapping[str, ZoneReplicas], total: int
) -> dict[str, ZoneReplicas]:
    """Return the number of replicas of each kind that each zone should have.

    Args:
        rule: maximum per zone, and prices.
        present: replicas that are present, by zone; their numbers of spot replicas are ignored.
        total: replicas needed in all zones together.  The result has fewer if all zones reach the maximum,
            and more if more on-demand replicas are present.
    """
    zones = sorted(present, key=lambda zone: (rule.zone_prices.get(zone, 1.0), zone))
    spot_by_zone = dict.fromkeys(zones, 0)
    missing = total - sum(replicas.on_demand for replicas in present.values())
    while missing > 0:
        zones_below_maximum = [
            zone for zone in zones if present[zone].on_demand + spot_by_zone[zone] < rule.most
        ]
        if not zones_below_maximum:
            break
        # Spread evenly, as the platform may reclaim all spot replicas of a zone at once.
        zone = min(
            zones_below_maximum, key=lambda candidate: (spot_by_zone[candidate], zones.index(candidate))
        )
        spot_by_zone[zone] += 1
        missing -= 1
    if rule.spot_price < 1.0:
        return {
            zone: ZoneReplicas(on_demand=present[zone].on_demand, spot=spot_by_zone[zone])
            for zone in sorted(zones)
        }
    return {
        zone: ZoneReplicas(on_demand=present[zone].on_demand + spot_by_zone[zone]) for zone in sorted(zones)
    }
