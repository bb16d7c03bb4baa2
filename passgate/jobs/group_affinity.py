"""Replica affinity of a job's item groups, so that the items of a group share one prefill of their prompt.

If the preferred replica of a group is in an evacuated zone, the next item of the group that looks for a free
slot chooses another one, which later items of the group prefer too.  So the prompt is prefilled once more for
the whole group, not once for each item.
"""

from __future__ import annotations

from collections.abc import Container

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.gateway.replica_state import ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable


class GroupAffinity:
    """Preferred replica of each item group of one job."""

    def __init__(self, replicas: ReplicaTable, evacuated_zones: Container[str]) -> None:
        self._replicas = replicas
        self._evacuated_zones = evacuated_zones
        self._replica_by_group: dict[str, ReplicaIncarnation] = {}
        """Preferred replica by group: that of the last item sent, or the one chosen for the next item."""

    def replica_of(self, group: str) -> ReplicaIncarnation | None:
        """Return the preferred replica of a group, or None if there is none."""
        return self._replica_by_group.get(group)

    def record_send(self, group: str, incarnation: ReplicaIncarnation) -> None:
        """Make the replica to which an item of the group was sent the preferred one."""
        self._replica_by_group[group] = incarnation

    def record_refusal(self, group: str, incarnation: ReplicaIncarnation) -> None:
        """Drop the preference for a replica that refused an item of the group."""
        if self.replica_of(group) == incarnation:
            del self._replica_by_group[group]

    def choose_preferred(self, group: str, query: ReplicaQuery, now_s: float) -> ReplicaIncarnation | None:
        """Return the preferred replica of a group, or None; first choose another if its zone is evacuated.

        Args:
            group: the item's group.
            query: the criteria for the item's replica.
            now_s: loop time.
        """
        replica = self.replica_of(group)
        state = self._replicas.find_incarnation(replica) if replica is not None else None
        if state is not None and state.info.zone in self._evacuated_zones:
            self._reassign(group, query, now_s)
        return self.replica_of(group)

    def _reassign(self, group: str, query: ReplicaQuery, now_s: float) -> None:
        """Choose another preferred replica for a group, if possible one that no other group prefers.

        The preference stays as it is if no replica matches the query.
        """
        unshared_query = msgspec.structs.replace(
            query, excluded=query.excluded | set(self._replica_by_group.values())
        )
        state = self._replicas.choose(unshared_query, now_s) or self._replicas.choose(query, now_s)
        if state is not None:
            self._replica_by_group[group] = state.incarnation
