"""Selects the peers to probe, to gossip with and to compare tables with.

Most traffic stays in the daemon's own zone.  In each other zone a daemon has
``contacts_per_zone`` contacts, chosen by rendezvous hashing.  This bounds the number of
connections independently of the cluster's size, and makes each member a contact of about
the same number of daemons.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

import xxhash

from passgate.membership.messages import MemberInfo, MemberState

_LIVING = (MemberState.ALIVE, MemberState.SUSPECT)


SUSPECT_ZONE_SHARE = 0.5
"""Share of probes that goes to zones with several suspects, while there are such zones."""


MAXIMUM_CACHED_SCORES = 4096
"""Cached hash scores above which the cache is cleared, since members come and go."""


class PeerSelector:
    """Selects among the living members other than this daemon."""

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
        self._own_zone_members: list[MemberInfo] = []
        self._other_zone_contacts: list[MemberInfo] = []
        self._other_zone_members: list[MemberInfo] = []
        self._own_zone_round: list[str] = []
        self._contact_round: list[str] = []
        self._score_by_member: dict[str, int] = {}
        self._stale = True

    def invalidate(self) -> None:
        """Make the next selection read the members again; call it after each changed view."""
        self._stale = True

    def peers(self) -> list[MemberInfo]:
        """Return all living members except this daemon."""
        self._refresh()
        return self._own_zone_members + self._other_zone_members

    def next_probe_target(self, suspect_zones: frozenset[str] = frozenset()) -> MemberInfo | None:
        """Return the next member to probe, None when there is none.

        Members of the own zone, and contacts in other zones, are each probed in shuffled
        rounds.  Half of the probes go to contacts in ``suspect_zones`` that are not suspected
        yet, if there are any, so that the loss of a whole zone is detected sooner.
        """
        self._refresh()
        if suspect_zones and self._random.random() < SUSPECT_ZONE_SHARE:
            contacts = [member for member in self._other_zone_contacts if _is_alive_in(member, suspect_zones)]
            if contacts:
                return self._random.choice(contacts)
        use_own_zone = bool(self._own_zone_members) and (
            not self._other_zone_contacts or self._random.random() < self._own_zone_share
        )
        if use_own_zone:
            return self._next_in_round(self._own_zone_round, self._own_zone_members)
        return self._next_in_round(self._contact_round, self._other_zone_contacts)

    def _next_in_round(self, round_ids: list[str], members: list[MemberInfo]) -> MemberInfo | None:
        if not members:
            return None
        by_id = {member.member_id: member for member in members}
        while round_ids:
            member = by_id.get(round_ids.pop())
            if member is not None:
                return member
        round_ids.extend(by_id)
        self._random.shuffle(round_ids)
        return by_id[round_ids.pop()]

    def gossip_targets(self, count: int) -> list[MemberInfo]:
        """Return up to ``count`` distinct members, mostly of the own zone, else contacts."""
        self._refresh()
        chosen: dict[str, MemberInfo] = {}
        for _ in range(count):
            member = self._random_peer(self._other_zone_contacts)
            if member is not None:
                chosen[member.member_id] = member
        return list(chosen.values())

    def sync_peer(self) -> MemberInfo | None:
        """Return a member to compare tables with, not only a contact; None when there is none."""
        self._refresh()
        return self._random_peer(self._other_zone_members)

    def probe_helpers(self, target: MemberInfo, count: int) -> list[MemberInfo]:
        """Return up to ``count`` members to probe ``target`` from: of its zone, the own zone and contacts."""
        self._refresh()
        groups = (
            [member for member in self._other_zone_members if member.zone == target.zone],
            self._own_zone_members,
            self._other_zone_contacts,
        )
        chosen: dict[str, MemberInfo] = {}
        for position in range(count):
            group = groups[position % len(groups)] or self._own_zone_members or self._other_zone_members
            candidates = [member for member in group if member.member_id != target.member_id]
            if candidates:
                member = self._random.choice(candidates)
                chosen[member.member_id] = member
        return list(chosen.values())

    def _random_peer(self, other_zone_members: list[MemberInfo]) -> MemberInfo | None:
        use_own_zone = bool(self._own_zone_members) and (
            not other_zone_members or self._random.random() < self._own_zone_share
        )
        group = self._own_zone_members if use_own_zone else other_zone_members
        return self._random.choice(group) if group else None

    def _refresh(self) -> None:
        if not self._stale:
            return
        self._stale = False
        if len(self._score_by_member) > MAXIMUM_CACHED_SCORES:
            self._score_by_member.clear()
        living = [
            member
            for member in self._members()
            if member.state in _LIVING and member.member_id != self._self_id
        ]
        self._own_zone_members = [member for member in living if member.zone == self._zone]
        self._other_zone_members = [member for member in living if member.zone != self._zone]
        by_zone: dict[str, list[MemberInfo]] = {}
        for member in self._other_zone_members:
            by_zone.setdefault(member.zone, []).append(member)
        self._other_zone_contacts = [
            member
            for members in by_zone.values()
            for member in heapq.nlargest(self._contacts_per_zone, members, key=self._rendezvous_score)
        ]

    def _rendezvous_score(self, member: MemberInfo) -> int:
        score = self._score_by_member.get(member.member_id)
        if score is None:
            score = xxhash.xxh32_intdigest(f"{self._self_id}|{member.member_id}".encode())
            self._score_by_member[member.member_id] = score
        return score


def _is_alive_in(member: MemberInfo, zones: frozenset[str]) -> bool:
    return member.zone in zones and member.state is MemberState.ALIVE
