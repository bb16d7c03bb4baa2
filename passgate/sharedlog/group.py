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
from passgate.sharedlog.candidacy import AMPLE_CORES, Candidacy
from passgate.sharedlog.hedge import hedged
from passgate.sharedlog.log import GroupPartition, GroupShare, SharedLog

logger = logging.getLogger("passgate.sharedlog")

JOIN_S = 0.35
"""Time between two joins; the shortest lifetime covers two that are lost."""
JOIN_SOON_S = 0.1
"""The same while the group settles: partitions pass on only once their members have heard of a change."""
SETTLE_S = 0.6
"""Time after a change within which all members have joined again."""
ANSWERED_S = 0.5
"""Age of an answer of the log that shows that it serves; longer than the time between two joins."""
LEAST_LIFETIME_S = 1.2
"""Silence after which the log takes a member out."""
LEAVE_TIMEOUT_S = 1.0
"""Time for the log to take note that a member leaves; it lapses by itself otherwise."""
DIRECTORY_LIFE_S = 2.0
"""Age after which the list of members is read anew when it is needed."""
REFRESH_S = 5.0
"""Time between reads of the list, so that it is known when the log falls silent."""
RETRY_S = 1.0
"""Time after a failed read of the list before the next."""
KEEP_KNOWN_S = 10.0
"""Time between reads of the lists of other zones, which are needed only when the own zone is cut off."""
PATIENCE_S = 0.3
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
        self._candidacy = candidacy
        self._topic = topic
        self._decisions = decisions
        self._lifetime_s = max(LEAST_LIFETIME_S, least_lifetime_s)
        self._generation = 0
        self._joined_s = float("-inf")
        self._changed_s = float("-inf")
        """When a change of the group was heard of last."""
        self._held: frozenset[int] = frozenset()
        self._left = False

    def held(self) -> frozenset[int]:
        """Return the partitions that this member holds; none once its lifetime is over."""
        if self._left or monotonic_s() - self._joined_s > self._lifetime_s:
            return frozenset()
        return self._held

    def answered(self) -> bool:
        """Whether the log has just answered this member, so that it is known to serve."""
        return monotonic_s() - self._joined_s < ANSWERED_S

    async def run(self) -> None:
        """Join again and again, while the daemon shall be a member, until cancelled or left."""
        while not self._left:
            if self._candidacy.wanted:
                await self._stay()
            elif self._held or self._generation:
                await self._withdraw()
            settling = monotonic_s() - self._changed_s < SETTLE_S
            await asyncio.sleep(JOIN_SOON_S if settling else JOIN_S)

    async def _stay(self) -> None:
        try:
            await self._join()
        except LogError as error:
            logger.info("join_failed", extra={"group": self._group, "error": str(error)})

    async def _withdraw(self) -> None:
        """Hold nothing, as larger machines do; jobs that run here stay."""
        self._held = frozenset()
        self._generation = 0
        self._decisions.write(PartitionsHeld(generation=0, parts=()))
        await self._tell_left()

    async def _join(self) -> None:
        sent_s = monotonic_s()
        share = await hedged(self._call_join)
        self._joined_s = sent_s
        held = frozenset(partition.part for partition in share.partitions)
        if held != self._held:
            self._decisions.write(PartitionsHeld(generation=share.generation, parts=tuple(sorted(held))))
        if share.generation != self._generation:
            self._changed_s = monotonic_s()
        self._generation = share.generation
        self._held = held

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
        self._left = True
        await self._tell_left()

    async def _tell_left(self) -> None:
        with contextlib.suppress(LogError, TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._log.leave(self._group, self._member)


class GroupDirectory:
    """Who holds which partition, read when it is asked for and kept for a short time."""

    def __init__(self, log: SharedLog, group: str, topic: str, candidacy: Candidacy) -> None:
        self._log = log
        self._group = group
        self._topic = topic
        self._candidacy = candidacy
        self._members: dict[GroupPartition, str] = {}
        self._earlier: dict[GroupPartition, str] = {}
        """Partition to the member that held it before."""
        self._read_s = float("-inf")
        self._reading: asyncio.Task[None] | None = None

    async def member_of(self, part: int) -> str | None:
        """Return the member that holds a partition; while the log fails, the last one known."""
        reading = self._reading is not None and not self._reading.done()
        if not reading and monotonic_s() - self._read_s > DIRECTORY_LIFE_S:
            self._reading = asyncio.get_running_loop().create_task(self._read())
            reading = True
        if self._reading is not None and reading:
            await asyncio.wait([self._reading], timeout=PATIENCE_S)
        return self._members.get(GroupPartition(self._topic, part))

    def earlier_member_of(self, part: int) -> str | None:
        """Return the member that held a partition before, as far as it is known."""
        return self._earlier.get(GroupPartition(self._topic, part))

    def others(self, member: str) -> list[str]:
        """Return the other members, as known last, in any order."""
        others = sorted({other for other in self._members.values() if other != member})
        return random.sample(others, len(others))

    async def keep_known(self) -> None:
        """Keep the list known, until cancelled."""
        while True:
            if monotonic_s() - self._read_s > DIRECTORY_LIFE_S:
                await self._read()
            await asyncio.sleep(DIRECTORY_LIFE_S / 2 if self._candidacy.waiting else REFRESH_S)

    def forget(self) -> None:
        """Read the list anew when it is needed next; a member did not answer."""
        self._read_s = float("-inf")

    async def _read(self) -> None:
        self._read_s = monotonic_s() + RETRY_S - DIRECTORY_LIFE_S
        try:
            self._take(await self._log.members(self._group))
            self._read_s = monotonic_s()
            self._candidacy.take_list(set(self._members.values()), self._read_s)
        except LogError as error:
            logger.info("members_unknown", extra={"group": self._group, "error": str(error)})

    def _take(self, members: dict[GroupPartition, str]) -> None:
        for partition, member in self._members.items():
            if members.get(partition) != member:
                self._earlier[partition] = member
        self._members = members


class OtherZones:
    """Members of the groups of other zones, each read when it is asked for."""

    def __init__(
        self,
        log: SharedLog,
        watch_group: str,
        topic: str,
        nearest_first: Callable[[], list[str]],
        kept_known: Callable[[], list[str]] = list,
    ) -> None:
        """Begin without any.

        Args:
            log: the log.
            watch_group: name of the groups; that of a zone has the zone's name after a dot.
            topic: topic whose partitions they deal.
            nearest_first: returns the other zones, the nearest first.
            kept_known: returns the zones whose members are known also once the log falls silent.
        """
        self._kept_known = kept_known
        self._log = log
        self._watch_group = watch_group
        self._topic = topic
        self._nearest_first = nearest_first
        self._directories: dict[str, GroupDirectory] = {}

    def nearest_first(self) -> list[tuple[str, GroupDirectory]]:
        """Return the other zones and who their members are, the nearest first."""
        return [(zone, self._directory(zone)) for zone in self._nearest_first()]

    def known_members(self) -> list[tuple[str, str]]:
        """Return zones and members that are known without asking the log, nearest zones first.

        Which zones are the nearest may have changed since their members were read.
        """
        zones = [
            (zone, self._directories[zone]) for zone in self._nearest_first() if zone in self._directories
        ]
        return [(zone, member) for zone, directory in zones for member in directory.others("")]

    async def keep_known(self) -> None:
        """Keep the members of some zones known, until cancelled; there may be no such zone."""
        while zones := self._kept_known():
            for zone in zones:
                await self._directory(zone).member_of(0)
            all_known = all(self._directory(zone).others("") for zone in zones)
            await asyncio.sleep(KEEP_KNOWN_S if all_known else RETRY_S)

    def _directory(self, zone: str) -> GroupDirectory:
        known = self._directories.get(zone)
        if known is None:
            group = group_of_zone(self._watch_group, zone)
            known = GroupDirectory(self._log, group, self._topic, Candidacy(AMPLE_CORES))
            self._directories[zone] = known
        return known


def group_of_zone(watch_group: str, zone: str) -> str:
    """Return the group whose members watch partitions for a zone."""
    return f"{watch_group}.{zone}"
