"""Table of members, and the rule that merges two views of a member.

The view with the higher incarnation is newer; between equal incarnations it is the one
whose state ranks higher (alive, suspect, dead, left).  A view is only replaced by a newer
one, so the order in which updates arrive does not matter.  Metadata has a version of its
own: at an equal incarnation, a higher one replaces the metadata alone.

Dead and departed members are kept for a while, so that an old "alive" update can not
revive them, and are then replaced by a tombstone with their incarnation.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec
import xxhash

from passgate.membership.messages import (
    AliveUpdate,
    DeadUpdate,
    LeftUpdate,
    MemberInfo,
    MemberState,
    MemberUpdate,
    SuspectUpdate,
)

BUCKETS = 32
"""Number of parts of the table that anti-entropy compares and sends separately."""

MAXIMUM_TOMBSTONES = 4096
"""Maximum number of tombstones; the oldest are dropped first."""

_GONE = (MemberState.DEAD, MemberState.LEFT)


class MemberTable:
    """Views of members by id, with digests for anti-entropy; reads no clock."""

    def __init__(self) -> None:
        self._view_by_id: dict[str, MemberInfo] = {}
        self._gone_since_s_by_id: dict[str, float] = {}
        self._gone_id_by_address: dict[str, str] = {}
        self._tombstone_incarnation_by_id: OrderedDict[str, int] = OrderedDict()
        self._bucket_digests = [0] * BUCKETS
        self._digest: int | None = None
        self._ids_by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]

    def __len__(self) -> int:
        return len(self._view_by_id)

    @property
    def living_count(self) -> int:
        """Number of members that are neither dead nor departed, this daemon included."""
        return len(self._view_by_id) - len(self._gone_since_s_by_id)

    def get(self, member_id: str) -> MemberInfo | None:
        """Return the view of a member, None when it is unknown or reaped."""
        return self._view_by_id.get(member_id)

    def views(self) -> list[MemberInfo]:
        """Return every view, dead and departed ones included."""
        return list(self._view_by_id.values())

    def tombstone_incarnation(self, member_id: str) -> int | None:
        """Return the last incarnation of a reaped member, None without a tombstone."""
        return self._tombstone_incarnation_by_id.get(member_id)

    # --- merging ------------------------------------------------------------------

    def merge(self, update: MemberUpdate, now_s: float) -> MemberInfo | None:
        """Apply an update; return the new view, or None when the update changes nothing."""
        current = self._view_by_id.get(update.member_id)
        changed = self._merge_unknown(update) if current is None else _newer_view(current, update)
        if changed is not None:
            self.put(changed, now_s)
        return changed

    def _merge_unknown(self, update: MemberUpdate) -> MemberInfo | None:
        if not isinstance(update, AliveUpdate):
            return None
        tombstone_incarnation = self._tombstone_incarnation_by_id.get(update.member_id)
        if tombstone_incarnation is not None and update.incarnation <= tombstone_incarnation:
            return None
        return _view_of_alive(update)

    def put(self, view: MemberInfo, now_s: float) -> None:
        """Store a view, replacing the present one even if that is newer."""
        self._remove_from_digest(view.member_id)
        self._view_by_id[view.member_id] = view
        self._tombstone_incarnation_by_id.pop(view.member_id, None)
        bucket = bucket_of(view.member_id)
        self._ids_by_bucket[bucket].add(view.member_id)
        self._bucket_digests[bucket] ^= _digest(view)
        if view.state in _GONE:
            self._gone_since_s_by_id.setdefault(view.member_id, now_s)
            self._gone_id_by_address[view.address] = view.member_id
        else:
            self._gone_since_s_by_id.pop(view.member_id, None)
            self._gone_id_by_address.pop(view.address, None)

    def dead_update_at(self, address: str) -> tuple[DeadUpdate, ...]:
        """Return the update that the last member at ``address`` is dead; empty if it is not dead."""
        view = self._view_by_id.get(self._gone_id_by_address.get(address, ""))
        if view is None or view.state is not MemberState.DEAD:
            return ()
        return (DeadUpdate(view.member_id, view.incarnation),)

    def reap(self, now_s: float, retention_s: float) -> list[str]:
        """Replace members that have been gone for ``retention_s`` by tombstones; return their ids."""
        due = [
            member_id
            for member_id, since_s in self._gone_since_s_by_id.items()
            if now_s - since_s >= retention_s
        ]
        for member_id in due:
            self._replace_by_tombstone(member_id)
        return due

    def _replace_by_tombstone(self, member_id: str) -> None:
        self._remove_from_digest(member_id)
        view = self._view_by_id.pop(member_id)
        del self._gone_since_s_by_id[member_id]
        if self._gone_id_by_address.get(view.address) == member_id:
            del self._gone_id_by_address[view.address]
        self._ids_by_bucket[bucket_of(member_id)].discard(member_id)
        self._tombstone_incarnation_by_id[member_id] = view.incarnation
        while len(self._tombstone_incarnation_by_id) > MAXIMUM_TOMBSTONES:
            self._tombstone_incarnation_by_id.popitem(last=False)

    # --- anti-entropy ------------------------------------------------------------------

    def digest(self) -> int:
        """Return the hash of the table's living members."""
        if self._digest is None:
            parts = b"".join(part.to_bytes(4, "big") for part in self._bucket_digests)
            self._digest = xxhash.xxh32_intdigest(parts)
        return self._digest

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the hash of the living members of each bucket."""
        return tuple(self._bucket_digests)

    def rows(
        self, buckets: tuple[int, ...]
    ) -> tuple[tuple[AliveUpdate, ...], tuple[DeadUpdate | LeftUpdate, ...]]:
        """Return living and gone members of the buckets, or of all buckets when none is given."""
        alive: list[AliveUpdate] = []
        gone: list[DeadUpdate | LeftUpdate] = []
        for bucket in buckets or range(BUCKETS):
            for member_id in sorted(self._ids_by_bucket[bucket]):
                view = self._view_by_id[member_id]
                if view.state in _GONE:
                    gone.append(gone_update(view))
                else:
                    alive.append(alive_update(view))
        return tuple(alive), tuple(gone)

    def _remove_from_digest(self, member_id: str) -> None:
        self._digest = None
        view = self._view_by_id.get(member_id)
        if view is not None:
            self._bucket_digests[bucket_of(member_id)] ^= _digest(view)


def bucket_of(member_id: str) -> int:
    """Return the number of the bucket that holds a member."""
    return xxhash.xxh32_intdigest(member_id.encode()) % BUCKETS


def alive_update(view: MemberInfo) -> AliveUpdate:
    """Return the update that a member is alive."""
    return AliveUpdate(
        view.member_id, view.incarnation, view.address, view.zone, view.metadata_version, view.metadata
    )


def gone_update(view: MemberInfo) -> DeadUpdate | LeftUpdate:
    """Return the update that a dead or departed member is gone."""
    kind = LeftUpdate if view.state is MemberState.LEFT else DeadUpdate
    return kind(view.member_id, view.incarnation)


def _view_of_alive(update: AliveUpdate) -> MemberInfo:
    return MemberInfo(
        member_id=update.member_id,
        address=update.address,
        zone=update.zone,
        incarnation=update.incarnation,
        metadata=update.metadata,
        metadata_version=update.metadata_version,
    )


def _newer_view(current: MemberInfo, update: MemberUpdate) -> MemberInfo | None:
    if isinstance(update, AliveUpdate):
        return _merge_alive(current, update)
    if isinstance(update, SuspectUpdate):
        state = MemberState.SUSPECT
    else:
        state = MemberState.LEFT if isinstance(update, LeftUpdate) else MemberState.DEAD
    changed = msgspec.structs.replace(current, incarnation=update.incarnation, state=state)
    return changed if changed.precedence() > current.precedence() else None


def _merge_alive(current: MemberInfo, update: AliveUpdate) -> MemberInfo | None:
    if update.incarnation > current.incarnation:
        return _view_of_alive(update)
    if update.incarnation == current.incarnation and update.metadata_version > current.metadata_version:
        return msgspec.structs.replace(
            current, metadata=update.metadata, metadata_version=update.metadata_version
        )
    return None


def _digest(view: MemberInfo) -> int:
    # Gone members are excluded, since each daemon reaps them at a different time.  Suspects
    # count as alive: suspicions are short, and digests would rarely agree otherwise.
    if view.state in _GONE:
        return 0
    identity = f"{view.member_id}|{view.incarnation}|{view.metadata_version}"
    return xxhash.xxh32_intdigest(identity.encode())
