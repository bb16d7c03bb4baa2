"""Queue of membership updates that other messages carry, each a bounded number of times.

>>> queue = UpdateQueue(retransmit_multiplier=0.2)
>>> queue.add(DeadUpdate("a", 1))
>>> queue.take(members=9, maximum_bytes=100)
(DeadUpdate(member_id='a', incarnation=1),)
>>> queue.take(members=9, maximum_bytes=100)
()
"""

from __future__ import annotations

import math

import msgspec

from passgate.membership.messages import DeadUpdate as DeadUpdate  # used by the example
from passgate.membership.messages import MemberUpdate, encoded_size_bytes

MINIMUM_CLUSTER_SIZE = 15
"""Smallest cluster size assumed for the number of transmissions; a starting daemon knows few members."""


CROWDED_QUEUE_LENGTH = 64
"""Queue length above which each update is transmitted less often.  After a cold start or a
merge of clusters, anti-entropy spreads many updates with less traffic."""


CROWDED_RETRANSMIT_MULTIPLIER = 0.5


class _Entry(msgspec.Struct):
    update: MemberUpdate
    size_bytes: int
    transmissions: int = 0


class UpdateQueue:
    """Latest update of each member, sent in order of the fewest transmissions so far.

    An update is sent at most about ``retransmit_multiplier * log2(members + 1)`` times, which
    reaches every member with high probability; anti-entropy covers the remaining cases.
    """

    def __init__(self, retransmit_multiplier: float) -> None:
        self._multiplier = retransmit_multiplier
        self._entry_by_member: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entry_by_member)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces a queued one about the same member."""
        self._entry_by_member.pop(update.member_id, None)
        self._entry_by_member[update.member_id] = _Entry(update, encoded_size_bytes(update))

    def discard(self, member_id: str) -> None:
        """Remove the update about a member, if there is one."""
        self._entry_by_member.pop(member_id, None)

    def transmission_limit(self, members: int) -> int:
        """Return how often an update is sent in a cluster of ``members`` members."""
        multiplier = (
            CROWDED_RETRANSMIT_MULTIPLIER
            if len(self._entry_by_member) > CROWDED_QUEUE_LENGTH
            else self._multiplier
        )
        return max(1, math.ceil(multiplier * math.log2(max(members, MINIMUM_CLUSTER_SIZE) + 1)))

    def record_received(self, update: MemberUpdate) -> None:
        """Count an update received from a peer as a transmission: known updates need fewer."""
        entry = self._entry_by_member.get(update.member_id)
        if entry is not None and entry.update == update:
            entry.transmissions += 1

    def take(self, members: int, maximum_bytes: int) -> tuple[MemberUpdate, ...]:
        """Return the least-sent updates that fit into ``maximum_bytes``, and count them as sent.

        The least-sent update is returned even if it is larger, so that none is blocked for ever.
        """
        if not self._entry_by_member:
            return ()
        chosen: list[MemberUpdate] = []
        left_bytes = maximum_bytes
        limit = self.transmission_limit(members)
        for member_id, entry in sorted(self._entry_by_member.items(), key=_transmissions):
            if chosen and entry.size_bytes > left_bytes:
                continue
            left_bytes -= entry.size_bytes
            chosen.append(entry.update)
            entry.transmissions += 1
            if entry.transmissions >= limit:
                del self._entry_by_member[member_id]
        return tuple(chosen)


def _transmissions(item: tuple[str, _Entry]) -> int:
    return item[1].transmissions
