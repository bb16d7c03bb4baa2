"""Stand-in of the log's groups: partitions dealt evenly to the members that keep joining.

A plain object; the memory log and the stand-in over sockets both use it.  A partition
that a member had passes on only once that member has joined again, left, or been silent
for its lifetime.

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


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to one join."""

    generation: int
    partitions: tuple[Partition, ...]


class _Member(msgspec.Struct):
    joined_s: float
    lifetime_s: float
    known_generation: int = 0


class _Group(msgspec.Struct):
    generation: int = 0
    members: dict[str, _Member] = {}
    partitions: tuple[Partition, ...] = ()
    dealt: dict[Partition, str] = {}
    """Member to which each partition shall belong."""
    held: dict[Partition, str] = {}
    """Member to which it belongs now."""


class LogGroups:
    """All groups of one log."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._groups: dict[str, _Group] = {}
        self.shift = 0
        """Grows when all partitions are dealt anew."""

    def join(
        self,
        name: str,
        member: str,
        partitions: Sequence[Partition],
        *,
        lifetime_s: float,
        generation: int,
    ) -> Share:
        """Let a member join or stay; return what belongs to it."""
        group = self._groups.setdefault(name, _Group())
        self._expire(group)
        wanted = tuple(sorted({*group.partitions, *partitions}))
        is_new = member not in group.members or wanted != group.partitions
        group.partitions = wanted
        group.members[member] = _Member(self._now(), lifetime_s, generation)
        if is_new:
            self._deal(group)
        self._hand_over(group)
        mine = tuple(part for part in group.partitions if group.held.get(part) == member)
        return Share(generation=group.generation, partitions=mine)

    def leave(self, name: str, member: str) -> None:
        """Take a member out at once."""
        group = self._groups.get(name)
        if group is not None and group.members.pop(member, None) is not None:
            self._deal(group)
            self._hand_over(group)

    def owners(self, name: str) -> dict[Partition, str]:
        """Return the member of each partition that has one."""
        group = self._groups.get(name, _Group())
        self._expire(group)
        return dict(group.held)

    def deal_anew(self) -> None:
        """Deal all partitions of all groups to other members."""
        self.shift += 1
        for group in self._groups.values():
            self._deal(group)

    def drop_members(self) -> None:
        """Let the times of all members run out."""
        for group in self._groups.values():
            group.members.clear()
            group.held.clear()
            self._deal(group)

    def _expire(self, group: _Group) -> None:
        now_s = self._now()
        silent = [
            name for name, member in group.members.items() if now_s - member.joined_s > member.lifetime_s
        ]
        for name in silent:
            del group.members[name]
        if silent:
            self._deal(group)
            self._hand_over(group)

    def _deal(self, group: _Group) -> None:
        group.generation += 1
        members = sorted(group.members)
        group.dealt = {
            part: members[(index + self.shift) % len(members)]
            for index, part in enumerate(group.partitions)
            if members
        }

    def _hand_over(self, group: _Group) -> None:
        for part in group.partitions:
            owner = group.held.get(part)
            wanted = group.dealt.get(part)
            if owner == wanted:
                continue
            present = group.members.get(owner) if owner else None
            if present is None or present.known_generation >= group.generation:
                if wanted is None:
                    group.held.pop(part, None)
                else:
                    group.held[part] = wanted
