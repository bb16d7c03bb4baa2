"""Decides whether a daemon joins its zone's group, by the size of its machine.

Members of the group watch partitions and run jobs, which takes processor time.  Machines with at least one
core always join.  A smaller machine joins once the group has had too few larger members for a while, and
leaves when there are enough again.

>>> small = GroupMembershipPolicy(cores=0.5)
>>> small.update_members(["a~2.15@10.0.0.1:7720"] * 3, now_s=0.2)
>>> small.should_join
False
>>> small.update_members(["a~2.15@10.0.0.1:7720"], now_s=10.0)
>>> small.should_join, small.is_undecided
(False, True)
>>> small.update_members(["a~2.15@10.0.0.1:7720"], now_s=10.0 + SHORTAGE_CONFIRMATION_S)
>>> small.should_join, small.is_undecided
(True, False)
"""

from __future__ import annotations

from collections.abc import Iterable

from passgate.sharedlog.member_names import cores_of

ALWAYS_MEMBER_CORES = 1.0
"""Machines with at least this many cores always join."""
SUFFICIENT_LARGER_MEMBERS = 3
"""Number of larger members that makes a smaller one unnecessary, as any two of them may fail together."""
LARGER_MACHINE_FACTOR = 1.25
"""A machine counts as larger if it has at least this many times the cores of this machine."""
SHORTAGE_CONFIRMATION_S = 3.0
"""Time for which every list of members must show too few larger ones before a smaller machine joins."""


class GroupMembershipPolicy:
    """Decides, from the lists of members read so far, whether one daemon should be a member."""

    def __init__(self, cores: float) -> None:
        self._cores = cores
        self._shortage_since_s: float | None = None
        """Loop time since which every list has shown too few larger members; None if the last one has not."""
        self._shortage_last_seen_s = 0.0
        """Loop time of the last list that showed too few larger members."""

    def update_members(self, members: Iterable[str], now_s: float) -> None:
        """Update the policy with a list of member names that was read at a loop time."""
        larger = sum(1 for member in members if cores_of(member) >= LARGER_MACHINE_FACTOR * self._cores)
        if larger >= SUFFICIENT_LARGER_MEMBERS:
            self._shortage_since_s = None
            return
        self._shortage_last_seen_s = now_s
        if self._shortage_since_s is None:
            self._shortage_since_s = now_s

    @property
    def should_join(self) -> bool:
        """Whether this daemon should be a member, by the lists read so far."""
        if self._cores >= ALWAYS_MEMBER_CORES:
            return True
        return (
            self._shortage_since_s is not None
            and self._shortage_last_seen_s - self._shortage_since_s >= SHORTAGE_CONFIRMATION_S
        )

    @property
    def is_undecided(self) -> bool:
        """Whether a shortage of larger members was seen but has not lasted long enough to join."""
        return not self.should_join and self._shortage_since_s is not None
