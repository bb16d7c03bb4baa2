"""Membership of a group of the log: who watches which partition.

The group only spreads work.  Two members that both hold a partition for a moment do
no harm, as whatever they append is decided in the log's order.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, PartitionsHeld
from passgate.errors import LogError
from passgate.sharedlog.candidacy import ALWAYS_MEMBER_CORES, Candidacy
from passgate.sharedlog.hedge import hedged
from passgate.sharedlog.log import GroupPartition, GroupShare, SharedLog

logger = logging.getLogger("passgate.sharedlog")

JOIN_INTERVAL_S = 0.35
"""Time between two joins; the shortest lifetime covers two that are lost."""
SETTLING_JOIN_INTERVAL_S = 0.1
"""The same while the group settles: partitions pass on only once their members have heard of a change."""
SETTLING_S = 0.6
"""Time after a change within which all members have joined again."""
RECENT_ANSWER_S = 0.5
"""Age of an answer of the log that shows that it serves; longer than the time between two joins."""
MIN_LIFETIME_S = 1.2
"""Silence after which the log takes a member out."""
LEAVE_TIMEOUT_S = 1.0
"""Time for the log to take note that a member leaves; it lapses by itself otherwise."""
DIRECTORY_MAX_AGE_S = 2.0
"""Age after which the list of members is read anew when it is needed."""
REFRESH_S = 5.0
"""Time between reads of the list, so that it is known when the log falls silent."""
DIRECTORY_RETRY_S = 1.0
"""Time after a failed read of the list before the next."""
OTHER_ZONE_REFRESH_S = 10.0
"""Time between reads of the lists of other zones, which are needed only when the own zone is cut off."""
DIRECTORY_WAIT_S = 0.3
"""Longest time that a caller waits for the list; then the one known before must do."""


class GroupMember:
    """This daemon's membership; keeps joining while it runs."""

    def __init__(
        self,
        log: SharedLog,
        group: str,
        member: str,
        topic: str,
        decisions: DecisionLog,
        *,
        candidacy: Candidacy,
        least_lifetime_s: float = 0.0,
    ) -> None:
        self._log = log
        self._group = group
        self._member = member
        self._membership_policy = candidacy
        self._topic = topic
        self._decisions = decisions
        self._lifetime_s = max(MIN_LIFETIME_S, least_lifetime_s)
        self._generation = 0
        self._last_joined_s = float("-inf")
        self._last_changed_s = float("-inf")
        """When a change of the group was heard of last."""
        self._assigned_partitions: frozenset[int] = frozenset()
        self._has_left = False

    def held(self) -> frozenset[int]:
        """Return the partitions that this member holds; none once its lifetime is over."""
        if self._has_left or monotonic_s() - self._last_joined_s > self._lifetime_s:
            return frozenset()
        return self._assigned_partitions

    def answered(self) -> bool:
        """Whether the log has just answered this member, so that it is known to serve."""
        return monotonic_s() - self._last_joined_s < RECENT_ANSWER_S

    async def run(self) -> None:
        """Join again and again, while the daemon shall be a member, until cancelled or left."""
        while not self._has_left:
            if self._membership_policy.wanted:
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
        """Hold nothing, as larger machines do; jobs that run here stay."""
        self._assigned_partitions = frozenset()
        self._generation = 0
        self._decisions.write(PartitionsHeld(generation=0, parts=()))
        await self._send_leave()

    async def _join(self) -> None:
        sent_s = monotonic_s()
        share = await hedged(self._call_join)
        self._last_joined_s = sent_s
        held = frozenset(partition.part for partition in share.partitions)
        if held != self._assigned_partitions:
            self._decisions.write(PartitionsHeld(generation=share.generation, parts=tuple(sorted(held))))
        if share.generation != self._generation:
            self._last_changed_s = monotonic_s()
        self._generation = share.generation
        self._assigned_partitions = held

    async def _call_join(self) -> GroupShare:
        return await self._log.join(
            self._group,
            self._member,
            [self._topic],
            lifetime_s=self._lifetime_s,
            generation=self._generation,
        )

    async def leave(self) -> None:
        """Hold nothing from now on and tell the log, best effort."""
        self._has_left = True
        await self._send_leave()

    async def _send_leave(self) -> None:
        with contextlib.suppress(LogError, TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._log.leave(self._group, self._member)


class GroupDirectory:
    """Who holds which partition, read when it is asked for and kept for a short time."""

    def __init__(self, log: SharedLog, group: str, topic: str, candidacy: Candidacy) -> None:
        self._log = log
        self._group = group
        self._topic = topic
        self._membership_policy = candidacy
        self._member_by_partition: dict[GroupPartition, str] = {}
        self._previous_member_by_partition: dict[GroupPartition, str] = {}
        """Partition to the member that held it before."""
        self._last_read_s = float("-inf")
        self._read_task: asyncio.Task[None] | None = None

    async def member_of(self, part: int) -> str | None:
        """Return the member that holds a partition; while the log fails, the last one known."""
        reading = self._read_task is not None and not self._read_task.done()
        if not reading and monotonic_s() - self._last_read_s > DIRECTORY_MAX_AGE_S:
            self._read_task = asyncio.get_running_loop().create_task(self._read())
            reading = True
        if self._read_task is not None and reading:
            await asyncio.wait([self._read_task], timeout=DIRECTORY_WAIT_S)
        return self._member_by_partition.get(GroupPartition(self._topic, part))

    def earlier_member_of(self, part: int) -> str | None:
        """Return the member that held a partition before, as far as it is known."""
        return self._previous_member_by_partition.get(GroupPartition(self._topic, part))

    def others(self, member: str) -> list[str]:
        """Return the other members, as known last, in any order."""
        others = sorted({other for other in self._member_by_partition.values() if other != member})
        return random.sample(others, len(others))

    async def keep_known(self) -> None:
        """Keep the list known, until cancelled."""
        while True:
            if monotonic_s() - self._last_read_s > DIRECTORY_MAX_AGE_S:
                await self._read()
            await asyncio.sleep(
                DIRECTORY_MAX_AGE_S / 2 if self._membership_policy.is_undecided else REFRESH_S
            )

    def forget(self) -> None:
        """Read the list anew when it is needed next; a member did not answer."""
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


class OtherZones:
    """Members of the groups of other zones, each read when it is asked for."""

    def __init__(
        self,
        log: SharedLog,
        watch_group: str,
        topic: str,
        zones_by_distance: Callable[[], list[str]],
        prefetched_zones: Callable[[], list[str]] = list,
    ) -> None:
        """Begin without any.

        Args:
            log: the log.
            watch_group: name of the groups; that of a zone has the zone's name after a dot.
            topic: topic whose partitions they deal.
            nearest_first: returns the other zones, the nearest first.
            kept_known: returns the zones whose members are known also once the log falls silent.
        """
        self._prefetched_zones = prefetched_zones
        self._log = log
        self._watch_group = watch_group
        self._topic = topic
        self._zones_by_distance = zones_by_distance
        self._directory_by_zone: dict[str, GroupDirectory] = {}

    def nearest_first(self) -> list[tuple[str, GroupDirectory]]:
        """Return the other zones and who their members are, the nearest first."""
        return [(zone, self._directory(zone)) for zone in self._zones_by_distance()]

    def known_members(self) -> list[tuple[str, str]]:
        """Return zones and members that are known without asking the log, nearest zones first.

        Which zones are the nearest may have changed since their members were read.
        """
        zones = [
            (zone, self._directory_by_zone[zone])
            for zone in self._zones_by_distance()
            if zone in self._directory_by_zone
        ]
        return [(zone, member) for zone, directory in zones for member in directory.others("")]

    async def keep_known(self) -> None:
        """Keep the members of some zones known, until cancelled; there may be no such zone."""
        while zones := self._prefetched_zones():
            for zone in zones:
                await self._directory(zone).member_of(0)
            all_known = all(self._directory(zone).others("") for zone in zones)
            await asyncio.sleep(OTHER_ZONE_REFRESH_S if all_known else DIRECTORY_RETRY_S)

    def _directory(self, zone: str) -> GroupDirectory:
        known = self._directory_by_zone.get(zone)
        if known is None:
            group = group_of_zone(self._watch_group, zone)
            known = GroupDirectory(self._log, group, self._topic, Candidacy(ALWAYS_MEMBER_CORES))
            self._directory_by_zone[zone] = known
        return known


def group_of_zone(watch_group: str, zone: str) -> str:
    """Return the group whose members watch partitions for a zone."""
    return f"{watch_group}.{zone}"
