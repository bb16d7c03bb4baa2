"""Whether a daemon takes part in its zone's group, by the size of its machine.

Members of the group watch partitions and run jobs, whose streams take processor time.
Machines with a whole core join at once.  A smaller one joins only while the list of
members shows too few larger ones; it leaves when there are enough of them.

>>> small = Candidacy(cores=0.5)
>>> small.update_members(["a~2.15@10.0.0.1:7720"] * 3, now_s=0.2)
>>> small.wanted
False
>>> small.update_members(["a~2.15@10.0.0.1:7720"], now_s=10.0)
>>> small.wanted, small.is_undecided
(False, True)
>>> small.update_members(["a~2.15@10.0.0.1:7720"], now_s=10.0 + SHORTAGE_CONFIRMATION_S)
>>> small.wanted, small.is_undecided
(True, False)
"""

from __future__ import annotations

from collections.abc import Iterable

from passgate.sharedlog.member_names import cores_of

ALWAYS_MEMBER_CORES = 1.0
"""A machine with as much joins without looking; the streams of two jobs of 160 items take about half."""
SUFFICIENT_LARGER_MEMBERS = 3
"""Larger members with which a daemon is not needed; any two of them may be lost at once."""
LARGER_MACHINE_FACTOR = 1.25
"""Another machine counts as larger from this many times the own cores on."""
SHORTAGE_CONFIRMATION_S = 3.0
"""Time for which too few larger members must have been seen: a restart, and two reads of the list."""


class Candidacy:
    """One daemon's wish to be a member."""

    def __init__(self, cores: float) -> None:
        self._cores = cores
        self._shortage_since_s: float | None = None
        """Since when each list that was read showed too few larger members; None if the last did not."""
        self._shortage_last_seen_s = 0.0
        """When the last such list was read."""

    def update_members(self, members: Iterable[str], now_s: float) -> None:
        """Take the list of members as it has just been read."""
        larger = sum(1 for member in members if cores_of(member) >= LARGER_MACHINE_FACTOR * self._cores)
        if larger >= SUFFICIENT_LARGER_MEMBERS:
            self._shortage_since_s = None
            return
        self._shortage_last_seen_s = now_s
        if self._shortage_since_s is None:
            self._shortage_since_s = now_s

    @property
    def wanted(self) -> bool:
        """Whether this daemon shall be a member."""
        if self._cores >= ALWAYS_MEMBER_CORES:
            return True
        return (
            self._shortage_since_s is not None
            and self._shortage_last_seen_s - self._shortage_since_s >= SHORTAGE_CONFIRMATION_S
        )

    @property
    def is_undecided(self) -> bool:
        """Whether further lists decide soon whether it shall."""
        return not self.wanted and self._shortage_since_s is not None
