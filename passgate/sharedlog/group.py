"""Membership in a log group, which assigns the partitions of a topic to its members.

The group only distributes work.  If two members briefly hold the same partition, no harm is done, as the
order of the log's records decides between what both append.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, PartitionsAssigned
from passgate.errors import LogError, LogUnavailable
from passgate.sharedlog.group_membership_policy import ALWAYS_MEMBER_CORES, GroupMembershipPolicy
from passgate.sharedlog.hedge import call_hedged
from passgate.sharedlog.log import GroupAssignment, GroupPartition, SharedLog

logger = logging.getLogger("passgate.sharedlog")

JOIN_INTERVAL_S = 0.35
"""Pause between joins; less than a third of the shortest lifetime of a membership."""
SETTLING_JOIN_INTERVAL_S = 0.1
"""Pause between joins after a change of the group; short, as a partition moves only once both members have
joined again."""
SETTLING_S = 0.6
"""Time for which a member joins more often after a change of the group."""
RECENT_ANSWER_S = 0.5
"""Age below which the last join shows that the log responds; longer than the pause between joins."""
MIN_LIFETIME_S = 1.2
"""Shortest lifetime of a membership that is not renewed."""
LEAVE_TIMEOUT_S = 1.0
"""Timeout of a leave call; if the call fails, the membership expires instead."""
DIRECTORY_MAX_AGE_S = 2.0
"""Age after which the list of members is read again before use."""
DIRECTORY_REFRESH_S = 5.0
"""Pause between background reads, which keep the list known in case the log becomes unavailable."""
DIRECTORY_RETRY_S = 1.0
"""Time after a failed read of the list before the next."""
OTHER_ZONE_REFRESH_S = 10.0
"""Pause between reads of other zones' lists, which are needed if this daemon is cut off from the log."""
DIRECTORY_WAIT_S = 0.3
"""Longest time that a caller waits for a fresh list; after it, the last known one is used."""


class GroupMember:
    """Keeps this daemon a member of a group by repeated joins, while its membership policy allows it."""

    def __init__(
        self,
        log: SharedLog,
        group: str,
        member: str,
        topic: str,
        decisions: DecisionLog,
        *,
        membership_policy: GroupMembershipPolicy,
        min_lifetime_s: float = 0.0,
    ) -> None:
        self._log = log
        self._group = group
        self._member = member
        self._membership_policy = membership_policy
        self._topic = topic
        self._decisions = decisions
        self._lifetime_s = max(MIN_LIFETIME_S, min_lifetime_s)
        self._generation = 0
        self._last_joined_s = float("-inf")
        self._last_changed_s = float("-inf")
        """Loop time at which this member last learned of a change of the group."""
        self._assigned_partitions: frozenset[int] = frozenset()
        self._has_left = False

    def assigned_partitions(self) -> frozenset[int]:
        """Return the partitions assigned to this member; none once the membership has ended or expired."""
        if self._has_left or monotonic_s() - self._last_joined_s > self._lifetime_s:
            return frozenset()
        return self._assigned_partitions

    def is_log_responding(self) -> bool:
        """Return whether a recent join of this member has succeeded; False if the daemon does not join."""
        return monotonic_s() - self._last_joined_s < RECENT_ANSWER_S

    async def run(self) -> None:
        """Join at regular intervals while the policy allows it, until cancelled or :meth:`leave` is used."""
        while not self._has_left:
            if self._membership_policy.should_join:
                await self._try_join()
            elif self._assigned_partitions or self._generation:
                await self._withdraw()
            settling = monotonic_s() - self._last_changed_s < SETTLING_S
            await asyncio.sleep(SETTLING_JOIN_INTERVAL_S if settling else JOIN_INTERVAL_S)

    async def _try_join(self) -> None:
        try:
            await self._join()
        except LogError as error:
            logger.info("join_failed", extra={"group": self._group, "error": str(error)})

    async def _withdraw(self) -> None:
        """Leave the group, as it has enough members on larger machines; running jobs continue."""
        self._assigned_partitions = frozenset()
        self._generation = 0
        self._decisions.write(PartitionsAssigned(generation=0, parts=()))
        await self._send_leave()

    async def _join(self) -> None:
        sent_s = monotonic_s()
        assignment = await call_hedged(self._send_join)
        self._last_joined_s = sent_s
        assigned = frozenset(partition.part for partition in assignment.partitions)
        if assigned != self._assigned_partitions:
            self._decisions.write(
                PartitionsAssigned(generation=assignment.generation, parts=tuple(sorted(assigned)))
            )
        if assignment.generation != self._generation:
            self._last_changed_s = monotonic_s()
        self._generation = assignment.generation
        self._assigned_partitions = assigned

    async def _send_join(self) -> GroupAssignment:
        """Send one join; raises LogUnavailable once this member has left, as a join may be repeated later."""
        if self._has_left:
            raise LogUnavailable("the member has left the group")
        return await self._log.join(
            self._group,
            self._member,
            [self._topic],
            lifetime_s=self._lifetime_s,
            generation=self._generation,
        )

    async def leave(self) -> None:
        """Give up all partitions and leave the group for good; a failure to reach the log is ignored."""
        self._has_left = True
        await self._send_leave()

    async def _send_leave(self) -> None:
        with contextlib.suppress(LogError, TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._log.leave(self._group, self._member)


class GroupDirectory:
    """Cached list of the partitions of a group and the members that hold them."""

    def __init__(
        self, log: SharedLog, group: str, topic: str, membership_policy: GroupMembershipPolicy
    ) -> None:
        self._log = log
        self._group = group
        self._topic = topic
        self._membership_policy = membership_policy
        self._member_by_partition: dict[GroupPartition, str] = {}
        self._previous_member_by_partition: dict[GroupPartition, str] = {}
        """Member that last lost a partition, by partition."""
        self._last_read_s = float("-inf")
        self._read_task: asyncio.Task[None] | None = None

    async def holder_of(self, partition: int) -> str | None:
        """Return the member that holds a partition, None if none is known.

        An outdated list is read again first; if that fails or takes more than DIRECTORY_WAIT_S, the old list
        is used.
        """
        is_reading = self._read_task is not None and not self._read_task.done()
        if not is_reading and monotonic_s() - self._last_read_s > DIRECTORY_MAX_AGE_S:
            self._read_task = asyncio.get_running_loop().create_task(self._read())
            is_reading = True
        if self._read_task is not None and is_reading:
            await asyncio.wait([self._read_task], timeout=DIRECTORY_WAIT_S)
        return self.known_holder_of(partition)

    def known_holder_of(self, partition: int) -> str | None:
        """Return the member that holds a partition by the last known list; None if none is known."""
        return self._member_by_partition.get(GroupPartition(self._topic, partition))

    def previous_holder_of(self, partition: int) -> str | None:
        """Return the member that last lost a partition, None if unknown."""
        return self._previous_member_by_partition.get(GroupPartition(self._topic, partition))

    def other_members(self, member: str) -> list[str]:
        """Return the members that hold partitions by the last known list, except one, in random order."""
        others = sorted({other for other in self._member_by_partition.values() if other != member})
        return random.sample(others, len(others))

    async def keep_fresh(self) -> None:
        """Refresh the list at regular intervals until cancelled; more often while the policy is undecided."""
        while True:
            if monotonic_s() - self._last_read_s > DIRECTORY_MAX_AGE_S:
                await self._read()
            await asyncio.sleep(
                DIRECTORY_MAX_AGE_S / 2 if self._membership_policy.is_undecided else DIRECTORY_REFRESH_S
            )

    def invalidate(self) -> None:
        """Mark the list as outdated, for example after a member did not respond."""
        self._last_read_s = float("-inf")

    async def _read(self) -> None:
        self._last_read_s = monotonic_s() + DIRECTORY_RETRY_S - DIRECTORY_MAX_AGE_S
        try:
            self._replace_members(await self._log.members(self._group))
            self._last_read_s = monotonic_s()
            self._membership_policy.update_members(set(self._member_by_partition.values()), self._last_read_s)
        except LogError as error:
            logger.info("members_unknown", extra={"group": self._group, "error": str(error)})

    def _replace_members(self, members: dict[GroupPartition, str]) -> None:
        for partition, member in self._member_by_partition.items():
            if members.get(partition) != member:
                self._previous_member_by_partition[partition] = member
        self._member_by_partition = members


class OtherZoneDirectories:
    """Directories of the groups of other zones, each created at its first use."""

    def __init__(
        self,
        log: SharedLog,
        watch_group: str,
        topic: str,
        zones_by_distance: Callable[[], list[str]],
        prefetched_zones: Callable[[], list[str]] = list,
    ) -> None:
        """Start without any directory.

        Args:
            log: the log.
            watch_group: prefix of the group names; see :func:`group_of_zone`.
            topic: topic whose partitions the groups assign.
            zones_by_distance: returns the other zones, the nearest first.
            prefetched_zones: returns the zones whose members :meth:`keep_fresh` reads in advance, in case the
                log becomes unavailable.
        """
        self._prefetched_zones = prefetched_zones
        self._log = log
        self._watch_group = watch_group
        self._topic = topic
        self._zones_by_distance = zones_by_distance
        self._directory_by_zone: dict[str, GroupDirectory] = {}

    def directories_by_distance(self) -> list[tuple[str, GroupDirectory]]:
        """Return the other zones and their directories, the nearest first."""
        return [(zone, self._directory(zone)) for zone in self._zones_by_distance()]

    def known_members(self) -> list[tuple[str, str]]:
        """Return pairs of a zone and a member known without a call to the log, the nearest zones first."""
        zones = [
            (zone, self._directory_by_zone[zone])
            for zone in self._zones_by_distance()
            if zone in self._directory_by_zone
        ]
        return [(zone, member) for zone, directory in zones for member in directory.other_members("")]

    def known_holders_of(self, partition: int) -> list[str]:
        """Return the members that hold a partition by the last known lists, the nearest zones first."""
        directories = [self._directory_by_zone.get(zone) for zone in self._zones_by_distance()]
        holders = [directory.known_holder_of(partition) for directory in directories if directory is not None]
        return [holder for holder in holders if holder is not None]

    async def keep_fresh(self) -> None:
        """Refresh the prefetched zones' directories until cancelled or there are no such zones."""
        while zones := self._prefetched_zones():
            for zone in zones:
                await self._directory(zone).holder_of(0)
            all_known = all(self._directory(zone).other_members("") for zone in zones)
            await asyncio.sleep(OTHER_ZONE_REFRESH_S if all_known else DIRECTORY_RETRY_S)

    def _directory(self, zone: str) -> GroupDirectory:
        directory = self._directory_by_zone.get(zone)
        if directory is None:
            group = group_of_zone(self._watch_group, zone)
            directory = GroupDirectory(
                self._log, group, self._topic, GroupMembershipPolicy(ALWAYS_MEMBER_CORES)
            )
            self._directory_by_zone[zone] = directory
        return directory


def group_of_zone(watch_group: str, zone: str) -> str:
    """Return the name of the group whose members watch partitions for a zone."""
    return f"{watch_group}.{zone}"
