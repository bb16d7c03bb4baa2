"""Limits how many replicas a rollout takes out of service at the same time.

>>> allowed_outages(healthy=8, out_of_service=1, floor=0.75)
1
>>> allowed_outages(healthy=1, out_of_service=0, floor=0.75)
1
"""

from __future__ import annotations

import math

from passgate.rollout.types import ReplicaView


def replicas_to_keep(healthy: int, floor: float) -> int:
    """Return how many of ``healthy`` replicas must keep serving.

    At least one replica may always be out of service, since a floor of 1.0 would
    otherwise block every rollout; a pool of one replica therefore has no floor.
    """
    return min(math.ceil(floor * healthy - 1e-9), max(healthy - 1, 0))


def allowed_outages(healthy: int, out_of_service: int, floor: float) -> int:
    """Return how many more replicas may be taken out of service.

    Negative when more are out than the floor allows, for example because lost replicas
    became reachable again without usable weights.
    """
    return healthy - out_of_service - replicas_to_keep(healthy, floor)


class ServingCapacity:
    """Counts healthy and out-of-service replicas, per zone and over all zones.

    Lost replicas (unreachable from this daemon) count neither as healthy nor as out
    of service, since the rollout has no influence on whether they serve.  The caller
    must take a replica out of service only when both floors still hold afterwards.
    """

    def __init__(self, floor: float, zone_floor: float) -> None:
        self._floor = floor
        self._zone_floor = zone_floor
        self._zone_by_replica: dict[str, str] = {}
        self._replicas_by_zone: dict[str, set[str]] = {}
        self._out_of_service: set[str] = set()
        self._lost: set[str] = set()
        self._out_count_by_zone: dict[str, int] = {}
        self._lost_count_by_zone: dict[str, int] = {}

    def add(self, view: ReplicaView) -> None:
        """Count a replica as healthy; adding it again has no effect."""
        self._zone_by_replica[view.replica_id] = view.zone
        self._replicas_by_zone.setdefault(view.zone, set()).add(view.replica_id)

    def remove(self, replica_id: str) -> None:
        """Stop counting a replica."""
        self.set_out_of_service(replica_id, False)
        self.set_lost(replica_id, False)
        self._replicas_by_zone[self._zone_by_replica.pop(replica_id)].discard(replica_id)

    def set_out_of_service(self, replica_id: str, out_of_service: bool) -> None:
        """Set whether a replica is out of service because of its swap."""
        self._set_flag(self._out_of_service, self._out_count_by_zone, replica_id, out_of_service)

    def set_lost(self, replica_id: str, lost: bool) -> None:
        """Set whether a replica is lost; a lost one no longer counts as out of service."""
        if lost:
            self.set_out_of_service(replica_id, False)
        self._set_flag(self._lost, self._lost_count_by_zone, replica_id, lost)

    def is_out_of_service(self, replica_id: str) -> bool:
        """Return whether the replica is counted as out of service."""
        return replica_id in self._out_of_service

    def is_lost(self, replica_id: str) -> bool:
        """Return whether the replica is counted as lost."""
        return replica_id in self._lost

    def allowed_outages(self) -> int:
        """Return how many more replicas the pool's floor allows out of service."""
        return allowed_outages(
            len(self._zone_by_replica) - len(self._lost), len(self._out_of_service), self._floor
        )

    def allowed_outages_in(self, zone: str) -> int:
        """Return how many more replicas of a zone the zone's floor allows out of service."""
        healthy = len(self._replicas_by_zone.get(zone, ())) - self._lost_count_by_zone.get(zone, 0)
        return allowed_outages(healthy, self._out_count_by_zone.get(zone, 0), self._zone_floor)

    def _set_flag(
        self, flagged: set[str], count_by_zone: dict[str, int], replica_id: str, flag: bool
    ) -> None:
        if (replica_id in flagged) == flag:
            return
        zone = self._zone_by_replica[replica_id]
        count_by_zone[zone] = count_by_zone.get(zone, 0) + (1 if flag else -1)
        if flag:
            flagged.add(replica_id)
        else:
            flagged.discard(replica_id)
