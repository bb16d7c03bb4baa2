"""Choice of the peers to probe, to gossip with and to compare tables with.

Most traffic stays in the daemon's own zone.  In each other zone a daemon knows
``contacts_per_zone`` contacts, chosen by rendezvous hashing, so that the number
of its connections is bounded whatever the size of the cluster and every member
has contacts of about as many daemons.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

import xxhash

from passgate.membership.messages import MemberInfo, MemberState

_LIVING = (MemberState.ALIVE, MemberState.SUSPECT)


DOUBTFUL_SHARE = 0.5
"""Share of probes that goes to zones with several suspects."""


AFFINITIES_MAXIMUM = 4096
"""Remembered hashes; members come and go for as long as the daemon runs."""


class Targets:
    """Chooses among the living members other than this daemon."""

    def __init__(
        self,
        self_id: str,
        zone: str,
        members: Callable[[], list[MemberInfo]],
        random: Random,
        own_zone_share: float,
        contacts_per_zone: int,
    ) -> None:
        self._self_id = self_id
        self._zone = zone
        self._members = members
        self._random = random
        self._own_zone_share = own_zone_share
        self._contacts_per_zone = contacts_per_zone
        self._own: list[MemberInfo] = []
        self._contacts: list[MemberInfo] = []
        self._others: list[MemberInfo] = []
        self._own_ring: list[str] = []
        self._contact_ring: list[str] = []
        self._affinities: dict[str, int] = {}
        self._stale = True

    def invalidate(self) -> None:
        """Note that a member came, went or changed its address."""
        self._stale = True

    def peers(self) -> list[MemberInfo]:
        """Return all living members but this daemon."""
        self._refresh()
        return self._own + self._others

    def next_probe(self, doubtful: frozenset[str] = frozenset()) -> MemberInfo | None:
        """Return the next member to probe: each ring is walked in shuffled rounds.

        Half of the probes go to contacts in ``doubtful`` zones, if there are any, so that
        the loss of a whole zone is not found member by member.
        """
        self._refresh()
        if doubtful and self._random.random() < DOUBTFUL_SHARE:
            contacts = [member for member in self._contacts if _may_be_lost(member, doubtful)]
            if contacts:
                return self._random.choice(contacts)
        use_own = bool(self._own) and (not self._contacts or self._random.random() < self._own_zone_share)
        if use_own:
            return self._from_ring(self._own_ring, self._own)
        return self._from_ring(self._contact_ring, self._contacts)

    def _from_ring(self, ring: list[str], members: list[MemberInfo]) -> MemberInfo | None:
        if not members:
            return None
        by_id = {member.member_id: member for member in members}
        while ring:
            member = by_id.get(ring.pop())
            if member is not None:
                return member
        ring.extend(by_id)
        self._random.shuffle(ring)
        return by_id[ring.pop()]

    def gossip(self, count: int) -> list[MemberInfo]:
        """Return up to ``count`` distinct members, mostly of the own zone."""
        self._refresh()
        chosen: dict[str, MemberInfo] = {}
        for _ in range(count):
            member = self._any_by_share(self._contacts)
            if member is not None:
                chosen[member.member_id] = member
        return list(chosen.values())

    def sync_peer(self) -> MemberInfo | None:
        """Return a member to compare tables with: any, not only contacts."""
        self._refresh()
        return self._any_by_share(self._others)

    def helpers(self, target: MemberInfo, count: int) -> list[MemberInfo]:
        """Return members that may reach ``target``: of its zone, of ours, then any other."""
        self._refresh()
        groups = (
            [member for member in self._others if member.zone == target.zone],
            self._own,
            self._contacts,
        )
        chosen: dict[str, MemberInfo] = {}
        for position in range(count):
            group = groups[position % len(groups)] or self._own or self._others
            candidates = [member for member in group if member.member_id != target.member_id]
            if candidates:
                member = self._random.choice(candidates)
                chosen[member.member_id] = member
        return list(chosen.values())

    def _any_by_share(self, others: list[MemberInfo]) -> MemberInfo | None:
        use_own = bool(self._own) and (not others or self._random.random() < self._own_zone_share)
        group = self._own if use_own else others
        return self._random.choice(group) if group else None

    def _refresh(self) -> None:
        if not self._stale:
            return
        self._stale = False
        if len(self._affinities) > AFFINITIES_MAXIMUM:
            self._affinities.clear()
        living = [
            member
            for member in self._members()
            if member.state in _LIVING and member.member_id != self._self_id
        ]
        self._own = [member for member in living if member.zone == self._zone]
        self._others = [member for member in living if member.zone != self._zone]
        by_zone: dict[str, list[MemberInfo]] = {}
        for member in self._others:
            by_zone.setdefault(member.zone, []).append(member)
        self._contacts = [
            member
            for members in by_zone.values()
            for member in heapq.nlargest(self._contacts_per_zone, members, key=self._affinity)
        ]

    def _affinity(self, member: MemberInfo) -> int:
        affinity = self._affinities.get(member.member_id)
        if affinity is None:
            affinity = xxhash.xxh32_intdigest(f"{self._self_id}|{member.member_id}".encode())
            self._affinities[member.member_id] = affinity
        return affinity


def _may_be_lost(member: MemberInfo, doubtful: frozenset[str]) -> bool:
    return member.zone in doubtful and member.state is MemberState.ALIVE
