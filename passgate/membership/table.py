"""The table of members and the rule by which two views of a member merge.

A view is newer when its incarnation is higher or, at one incarnation, its state
ranks higher (alive, suspect, dead, left).  Views therefore only move forward and
merging is commutative: the order in which news arrives does not matter.

A dead or departed member is kept for a while, so that an old "alive" cannot
bring it back, and then reduced to a tombstone that holds its incarnation.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec
import xxhash

from passgate.membership.messages import (
    AliveNews,
    DeadNews,
    LeftNews,
    MemberInfo,
    MemberState,
    News,
    SuspectNews,
)

BUCKETS = 32
"""Parts of the table that anti-entropy compares and sends one by one."""

TOMBSTONES_MAXIMUM = 4096
"""Reaped members remembered by incarnation alone; the oldest go first."""

_GONE = (MemberState.DEAD, MemberState.LEFT)


class MemberTable:
    """Members by id, with digests for anti-entropy; holds no timers."""

    def __init__(self) -> None:
        self._members: dict[str, MemberInfo] = {}
        self._gone_since_s: dict[str, float] = {}
        self._gone_at: dict[str, str] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._bucket_digests = [0] * BUCKETS
        self._digest: int | None = None
        self._bucket_ids: list[set[str]] = [set() for _ in range(BUCKETS)]

    def __len__(self) -> int:
        return len(self._members)

    @property
    def living(self) -> int:
        """Number of members that are not gone, this daemon included."""
        return len(self._members) - len(self._gone_since_s)

    def get(self, member_id: str) -> MemberInfo | None:
        """Return the present view of a member."""
        return self._members.get(member_id)

    def all(self) -> list[MemberInfo]:
        """Return every view, dead and departed ones included."""
        return list(self._members.values())

    def tombstone(self, member_id: str) -> int | None:
        """Return the incarnation under which a reaped member ended."""
        return self._tombstones.get(member_id)

    # --- merging ------------------------------------------------------------------

    def merge(self, news: News, now_s: float) -> MemberInfo | None:
        """Apply news; return the new view when it changed anything, else None."""
        current = self._members.get(news.member_id)
        changed = self._merge_unknown(news) if current is None else _newer_view(current, news)
        if changed is not None:
            self.put(changed, now_s)
        return changed

    def _merge_unknown(self, news: News) -> MemberInfo | None:
        if not isinstance(news, AliveNews):
            return None
        buried = self._tombstones.get(news.member_id)
        if buried is not None and news.incarnation <= buried:
            return None
        return _from_alive(news)

    def put(self, view: MemberInfo, now_s: float) -> None:
        """Store a view without comparing it to the present one."""
        self._forget_digest(view.member_id)
        self._members[view.member_id] = view
        self._tombstones.pop(view.member_id, None)
        bucket = bucket_of(view.member_id)
        self._bucket_ids[bucket].add(view.member_id)
        self._bucket_digests[bucket] ^= _digest(view)
        if view.state in _GONE:
            self._gone_since_s.setdefault(view.member_id, now_s)
            self._gone_at[view.address] = view.member_id
        else:
            self._gone_since_s.pop(view.member_id, None)
            self._gone_at.pop(view.address, None)

    def dead_at(self, address: str) -> tuple[DeadNews, ...]:
        """Return the news that the last member at ``address`` is dead, if it is."""
        view = self._members.get(self._gone_at.get(address, ""))
        if view is None or view.state is not MemberState.DEAD:
            return ()
        return (DeadNews(view.member_id, view.incarnation),)

    def reap(self, now_s: float, retention_s: float) -> list[str]:
        """Reduce members that have been gone for ``retention_s`` to tombstones."""
        due = [name for name, since_s in self._gone_since_s.items() if now_s - since_s >= retention_s]
        for member_id in due:
            self._bury(member_id)
        return due

    def _bury(self, member_id: str) -> None:
        self._forget_digest(member_id)
        view = self._members.pop(member_id)
        del self._gone_since_s[member_id]
        if self._gone_at.get(view.address) == member_id:
            del self._gone_at[view.address]
        self._bucket_ids[bucket_of(member_id)].discard(member_id)
        self._tombstones[member_id] = view.incarnation
        while len(self._tombstones) > TOMBSTONES_MAXIMUM:
            self._tombstones.popitem(last=False)

    # --- anti-entropy ------------------------------------------------------------------

    def digest(self) -> int:
        """Return the hash of the whole table."""
        if self._digest is None:
            parts = b"".join(part.to_bytes(4, "big") for part in self._bucket_digests)
            self._digest = xxhash.xxh32_intdigest(parts)
        return self._digest

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the hash of each bucket."""
        return tuple(self._bucket_digests)

    def rows(self, buckets: tuple[int, ...]) -> tuple[tuple[AliveNews, ...], tuple[DeadNews | LeftNews, ...]]:
        """Return living and gone members of the buckets; of all buckets when none is named."""
        alive: list[AliveNews] = []
        gone: list[DeadNews | LeftNews] = []
        for bucket in buckets or range(BUCKETS):
            for member_id in sorted(self._bucket_ids[bucket]):
                view = self._members[member_id]
                if view.state in _GONE:
                    gone.append(gone_news(view))
                else:
                    alive.append(alive_news(view))
        return tuple(alive), tuple(gone)

    def _forget_digest(self, member_id: str) -> None:
        self._digest = None
        view = self._members.get(member_id)
        if view is not None:
            self._bucket_digests[bucket_of(member_id)] ^= _digest(view)


def bucket_of(member_id: str) -> int:
    """Return the bucket of a member."""
    return xxhash.xxh32_intdigest(member_id.encode()) % BUCKETS


def alive_news(view: MemberInfo) -> AliveNews:
    """Return the news that a member is alive."""
    return AliveNews(
        view.member_id, view.incarnation, view.address, view.zone, view.metadata_version, view.metadata
    )


def gone_news(view: MemberInfo) -> DeadNews | LeftNews:
    """Return the news that ended a member."""
    kind = LeftNews if view.state is MemberState.LEFT else DeadNews
    return kind(view.member_id, view.incarnation)


def _from_alive(news: AliveNews) -> MemberInfo:
    return MemberInfo(
        member_id=news.member_id,
        address=news.address,
        zone=news.zone,
        incarnation=news.incarnation,
        metadata=news.metadata,
        metadata_version=news.metadata_version,
    )


def _newer_view(current: MemberInfo, news: News) -> MemberInfo | None:
    if isinstance(news, AliveNews):
        return _merge_alive(current, news)
    if isinstance(news, SuspectNews):
        state = MemberState.SUSPECT
    else:
        state = MemberState.LEFT if isinstance(news, LeftNews) else MemberState.DEAD
    changed = msgspec.structs.replace(current, incarnation=news.incarnation, state=state)
    return changed if changed.order() > current.order() else None


def _merge_alive(current: MemberInfo, news: AliveNews) -> MemberInfo | None:
    if news.incarnation > current.incarnation:
        return _from_alive(news)
    if news.incarnation == current.incarnation and news.metadata_version > current.metadata_version:
        return msgspec.structs.replace(
            current, metadata=news.metadata, metadata_version=news.metadata_version
        )
    return None


def _digest(view: MemberInfo) -> int:
    # Gone members do not count, since each daemon reaps them at its own time.  A suspicion
    # passes quickly, so it counts as alive; otherwise digests would rarely agree.
    if view.state in _GONE:
        return 0
    identity = f"{view.member_id}|{view.incarnation}|{view.metadata_version}"
    return xxhash.xxh32_intdigest(identity.encode())
