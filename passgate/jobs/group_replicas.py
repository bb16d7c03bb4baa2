"""Which replica holds the shared prompt of each group of a job's items.

A group whose replica lies in an evacuated zone is given another one as soon as one of its items
looks for room, and its next items go there too: the prompt is read once more, not at each of them.
"""

from __future__ import annotations

from collections.abc import Container

import msgspec

from passgate.eligibility.replica_info import ReplicaLife
from passgate.gateway.replicas import ChoiceRequest, ReplicaTable


class GroupReplicas:
    """Replica of each group of one job."""

    def __init__(self, replicas: ReplicaTable, evacuated: Container[str]) -> None:
        self._replicas = replicas
        self._evacuated = evacuated
        self._replica_of: dict[str, ReplicaLife] = {}
        """Group to the replica that read its shared prompt last, or is to read it next."""

    def of(self, group: str) -> ReplicaLife | None:
        """Return the replica of a group, or None."""
        return self._replica_of.get(group)

    def sent(self, group: str, life: ReplicaLife) -> None:
        """Note that a replica reads the prompt of a group now."""
        self._replica_of[group] = life

    def refused(self, group: str, life: ReplicaLife) -> None:
        """Forget the replica of a group if it is this one, which has no room."""
        if self.of(group) == life:
            del self._replica_of[group]

    def preferred(self, group: str, wish: ChoiceRequest, now_s: float) -> ReplicaLife | None:
        """Return the replica that an item of a group should go to, or None.

        Args:
            group: the item's group.
            wish: what the item asks of any replica.
            now_s: loop time.
        """
        life = self.of(group)
        state = self._replicas.of(life) if life is not None else None
        if state is not None and state.info.zone in self._evacuated:
            self._plan(group, wish, now_s)
        return self.of(group)

    def _plan(self, group: str, wish: ChoiceRequest, now_s: float) -> None:
        """Give a group another replica, if possible one that no group has yet."""
        apart = msgspec.structs.replace(wish, excluded=wish.excluded | set(self._replica_of.values()))
        state = self._replicas.choose(apart, now_s) or self._replicas.choose(wish, now_s)
        if state is not None:
            self._replica_of[group] = state.life
