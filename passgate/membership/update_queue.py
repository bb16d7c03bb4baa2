"""News waiting to be carried on other messages, each a bounded number of times.

>>> queue = NewsQueue(retransmit_multiplier=0.2)
>>> queue.add(DeadNews("a", 1))
>>> queue.take(members=9, maximum_bytes=100)
(DeadNews(member_id='a', incarnation=1),)
>>> queue.take(members=9, maximum_bytes=100)
()
"""

from __future__ import annotations

import math

import msgspec

from passgate.membership.messages import DeadNews as DeadNews  # used by the example
from passgate.membership.messages import News, encoded_size_bytes

MEMBERS_MINIMUM = 15
"""Smaller clusters send as often as one of this size: a starting one does not know its size."""


CROWDED_ENTRIES = 64
"""With more news than this each is sent less often; after a cold start or a merge
anti-entropy is the cheaper way."""


CROWDED_MULTIPLIER = 0.5


class _Entry(msgspec.Struct):
    news: News
    size_bytes: int
    sent: int = 0


class NewsQueue:
    """Latest news per member; fresh news goes first.

    One piece of news goes out ``retransmit_multiplier * log2(members + 1)`` times
    at most, which reaches every member with high probability; anti-entropy covers
    the rest.
    """

    def __init__(self, retransmit_multiplier: float) -> None:
        self._multiplier = retransmit_multiplier
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, news: News) -> None:
        """Queue news; it replaces older news about the same member."""
        self._entries.pop(news.member_id, None)
        self._entries[news.member_id] = _Entry(news, encoded_size_bytes(news))

    def discard(self, member_id: str) -> None:
        """Forget the news about a member."""
        self._entries.pop(member_id, None)

    def limit(self, members: int) -> int:
        """Return how often one piece of news is sent in a cluster of ``members``."""
        multiplier = CROWDED_MULTIPLIER if len(self._entries) > CROWDED_ENTRIES else self._multiplier
        return max(1, math.ceil(multiplier * math.log2(max(members, MEMBERS_MINIMUM) + 1)))

    def heard(self, news: News) -> None:
        """Count news that a peer told us too: what many know needs fewer transmissions."""
        entry = self._entries.get(news.member_id)
        if entry is not None and entry.news == news:
            entry.sent += 1

    def take(self, members: int, maximum_bytes: int) -> tuple[News, ...]:
        """Return the least-sent news that fit into ``maximum_bytes`` and count them as sent.

        A single larger piece goes alone, so that none waits for ever.
        """
        if not self._entries:
            return ()
        chosen: list[News] = []
        left_bytes = maximum_bytes
        limit = self.limit(members)
        for member_id, entry in sorted(self._entries.items(), key=_sent):
            if chosen and entry.size_bytes > left_bytes:
                continue
            left_bytes -= entry.size_bytes
            chosen.append(entry.news)
            entry.sent += 1
            if entry.sent >= limit:
                del self._entries[member_id]
        return tuple(chosen)


def _sent(item: tuple[str, _Entry]) -> int:
    return item[1].sent
