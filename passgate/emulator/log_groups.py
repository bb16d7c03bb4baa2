"""Emulation of the shared log's consumer groups, which assign partitions evenly to their members.

A member stays in a group by joining again within its lifetime.  A partition moves to another member only
after its holder has left, has expired, or has joined with the group's current generation, which confirms
that it knows of the new assignment.

>>> now = [0.0]
>>> groups = LogGroups(lambda: now[0])
>>> groups.join("g", "a", [("t", 0), ("t", 1)], lifetime_s=1.0, generation=0).partitions
(('t', 0), ('t', 1))
>>> groups.join("g", "b", [("t", 0), ("t", 1)], lifetime_s=1.0, generation=0).partitions
()
>>> groups.join("g", "a", [("t", 0), ("t", 1)], lifetime_s=1.0, generation=2).partitions
(('t', 0),)
>>> groups.join("g", "b", [("t", 0), ("t", 1)], lifetime_s=1.0, generation=2).partitions
(('t', 1),)
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

Partition = tuple[str, int]


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a join."""

    generation: int
    """Generation of the group: increases whenever its members or partitions change."""
    partitions: tuple[Partition, ...]
    """Partitions that the member holds now."""


class _Member(msgspec.Struct):
    joined_s: float
    """Time of the last join."""
    lifetime_s: float
    known_generation: int = 0
    """Generation that the member passed in its last join."""


class _Group(msgspec.Struct):
    generation: int = 0
    members: dict[str, _Member] = {}
    partitions: tuple[Partition, ...] = ()
    target_by_partition: dict[Partition, str] = {}
    """Member that each partition is assigned to in the current generation."""
    holder_by_partition: dict[Partition, str] = {}
    """Member that holds each partition now; it may still have to learn of a new assignment."""


class LogGroups:
    """The consumer groups of one log, by name; ``now`` returns the time in seconds.

    All state changes in the calling thread; nothing waits.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._groups: dict[str, _Group] = {}
        self.assignment_offset = 0
        """Rotates the order in which partitions are assigned to members."""

    def join(
        self,
        name: str,
        member: str,
        partitions: Sequence[Partition],
        *,
        lifetime_s: float,
        generation: int,
    ) -> Assignment:
        """Add a member to a group, or renew its membership for ``lifetime_s``, and return what it holds.

        The group's partitions are those of all joins so far.  ``generation`` is the one of the last
        assignment that the member received, 0 at first.
        """
        group = self._groups.setdefault(name, _Group())
        self._expire(group)
        all_partitions = tuple(sorted({*group.partitions, *partitions}))
        has_changed = member not in group.members or all_partitions != group.partitions
        group.partitions = all_partitions
        group.members[member] = _Member(self._now(), lifetime_s, generation)
        if has_changed:
            self._compute_targets(group)
        self._move_released_partitions(group)
        held = tuple(part for part in group.partitions if group.holder_by_partition.get(part) == member)
        return Assignment(generation=group.generation, partitions=held)

    def leave(self, name: str, member: str) -> None:
        """Remove a member at once and move its partitions to the others."""
        group = self._groups.get(name)
        if group is not None and group.members.pop(member, None) is not None:
            self._compute_targets(group)
            self._move_released_partitions(group)

    def holders(self, name: str) -> dict[Partition, str]:
        """Return the holder of each partition that has one."""
        group = self._groups.get(name, _Group())
        self._expire(group)
        return dict(group.holder_by_partition)

    def reassign_all(self) -> None:
        """Assign all partitions of all groups to other members; each moves once its holder confirms that."""
        self.assignment_offset += 1
        for group in self._groups.values():
            self._compute_targets(group)

    def expire_all_members(self) -> None:
        """Expire all members of all groups; they get their partitions back by joining."""
        for group in self._groups.values():
            group.members.clear()
            group.holder_by_partition.clear()
            self._compute_targets(group)

    def _expire(self, group: _Group) -> None:
        now_s = self._now()
        expired = [
            name for name, member in group.members.items() if now_s - member.joined_s > member.lifetime_s
        ]
        for name in expired:
            del group.members[name]
        if expired:
            self._compute_targets(group)
            self._move_released_partitions(group)

    def _compute_targets(self, group: _Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        group.target_by_partition = {
            part: members[(index + self.assignment_offset) % len(members)]
            for index, part in enumerate(group.partitions)
            if members
        }

    def _move_released_partitions(self, group: _Group) -> None:
        for part in group.partitions:
            holder = group.holder_by_partition.get(part)
            target = group.target_by_partition.get(part)
            if holder == target:
                continue
            holding_member = group.members.get(holder) if holder else None
            if holding_member is None or holding_member.known_generation >= group.generation:
                if target is None:
                    group.holder_by_partition.pop(part, None)
                else:
                    group.holder_by_partition[part] = target
