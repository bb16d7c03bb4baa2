"""How many replicas may be out of service at once.

>>> allowed_out(healthy=8, out=1, floor=0.75)
1
>>> allowed_out(healthy=1, out=0, floor=0.75)
1
"""

from __future__ import annotations

import math

from passgate.rollout.types import ReplicaView


def replicas_to_keep(healthy: int, floor: float) -> int:
    """Return how many of ``healthy`` replicas must go on serving.

    A floor that leaves no room at all would stop every rollout, so at least one
    replica may always be out; a pool of one replica has no floor.
    """
    return min(math.ceil(floor * healthy - 1e-9), max(healthy - 1, 0))


def allowed_out(healthy: int, out: int, floor: float) -> int:
    """Return how many more replicas may be taken out of service now.

    Negative when lost replicas came back broken and more are out than the floor allows.
    """
    return healthy - out - replicas_to_keep(healthy, floor)


class CapacityLedger:
    """Counts healthy and out-of-service replicas, per zone and in all.

    Lost replicas (unreachable, or broken beyond a roll-back) count neither as
    healthy nor as out: they serve nobody from here whatever the rollout does.
    Invariant: a replica is taken out only while both floors hold afterwards.
    """

    def __init__(self, floor: float, zone_floor: float) -> None:
        self._floor = floor
        self._zone_floor = zone_floor
        self._zones: dict[str, str] = {}
        self._members: dict[str, set[str]] = {}
        self._out: set[str] = set()
        self._lost: set[str] = set()
        self._zone_out: dict[str, int] = {}
        self._zone_lost: dict[str, int] = {}

    def add(self, view: ReplicaView) -> None:
        """Count a replica; a second call changes nothing."""
        self._zones[view.replica_id] = view.zone
        self._members.setdefault(view.zone, set()).add(view.replica_id)

    def remove(self, replica_id: str) -> None:
        """Stop counting a replica."""
        self.set_out(replica_id, False)
        self.set_lost(replica_id, False)
        self._members[self._zones.pop(replica_id)].discard(replica_id)

    def set_out(self, replica_id: str, out: bool) -> None:
        """Note whether a replica is out of service for its swap."""
        self._set(self._out, self._zone_out, replica_id, out)

    def set_lost(self, replica_id: str, lost: bool) -> None:
        """Note whether a replica is lost to this rollout."""
        if lost:
            self.set_out(replica_id, False)
        self._set(self._lost, self._zone_lost, replica_id, lost)

    def is_out(self, replica_id: str) -> bool:
        """Return whether the replica is counted as out of service."""
        return replica_id in self._out

    def is_lost(self, replica_id: str) -> bool:
        """Return whether the replica is counted as lost."""
        return replica_id in self._lost

    def allowed(self) -> int:
        """Return how many more replicas may be taken out, over all zones."""
        return allowed_out(len(self._zones) - len(self._lost), len(self._out), self._floor)

    def allowed_in(self, zone: str) -> int:
        """Return how many more replicas of a zone its own floor lets out."""
        healthy = len(self._members.get(zone, ())) - self._zone_lost.get(zone, 0)
        return allowed_out(healthy, self._zone_out.get(zone, 0), self._zone_floor)

    def _set(self, members: set[str], per_zone: dict[str, int], replica_id: str, wanted: bool) -> None:
        if (replica_id in members) == wanted:
            return
        zone = self._zones[replica_id]
        per_zone[zone] = per_zone.get(zone, 0) + (1 if wanted else -1)
        if wanted:
            members.add(replica_id)
        else:
            members.discard(replica_id)
