"""Relays: daemons that read a long list of replicas and append its changes for all other daemons.

Replicas write to discovery so often that normally only one daemon per zone reads a long list; the log's
groups select this daemon.  One of the relays, the primary, appends each change as soon as it has read the
change.  The others append, after a delay, changes that no relay has appended yet.  Duplicates are harmless,
as each change names its offset in discovery.
"""

from __future__ import annotations

import logging
import zlib

import msgspec

from passgate.clock import monotonic_s
from passgate.discovery.records import (
    LIST_PARTS,
    ListPart,
    RelayedChanges,
    encode_changes,
    encode_part,
    part_of,
)
from passgate.discovery.view import DiscoveryView, ReplicaUpdate
from passgate.errors import LogError
from passgate.sharedlog.log import KeyedRecord, SharedLog

logger = logging.getLogger("passgate.discovery")

HEARTBEAT_INTERVAL_S = 0.5
"""Time without a record of any relay after which the primary relay appends one without changes."""
RELAY_TIMEOUT_S = 1.5
"""Time without a record after which a relay counts as gone."""
BACKUP_DELAY_S = 0.7
"""Time after which a relay that is not the primary appends a change that no relay has appended yet; leaves
the primary time for a pause of its reads, an append, and most of a pause of the other's reads."""
MAX_CHANGES_PER_RECORD = 1000
"""Maximum number of changes in one record."""
PART_REWRITE_INTERVAL_S = 2.0
"""Interval at which the primary relay rewrites one of the parts, in turn.  All are rewritten within 32 s, so
a daemon that starts reads the changes of half a minute, which the log still has."""


class ReadProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a relay has read discovery and the topic of changes."""

    is_current: bool
    """Whether the relay has read discovery to its end recently."""

    last_entry_offset: int
    """Offset of the last entry of discovery that the relay's view contains."""
    next_change_offset: int
    """Offset of the next record to read in the topic of changes."""
    first_kept_change_offset: int
    """Offset of the oldest record that the topic of changes still keeps."""


class Relay:
    """Appends changes and parts of the list while this daemon relays, and tracks what other relays append."""

    def __init__(
        self, log: SharedLog, changes_topic: str, list_topic: str, view: DiscoveryView, daemon_id: str
    ) -> None:
        """Connect the parts.

        Args:
            log: carries changes and the list.
            changes_topic: topic of the changes.
            list_topic: keyed topic of the list's parts.
            view: the replicas as this daemon knows them.
            daemon_id: identifies this daemon to other relays.
        """
        self._log = log
        self._changes_topic = changes_topic
        self._list_topic = list_topic
        self._view = view
        self._daemon_id = daemon_id
        self._last_contact_s_by_relay: dict[str, float] = {}
        """Loop time of the last record of each other relay."""
        self._appended_offset_by_replica_id: dict[str, int] = {}
        """Offset in discovery of the newest change in the topic of changes, by replica ID."""
        self._pending_by_replica_id: dict[str, tuple[ReplicaUpdate, float]] = {}
        """Change that is to be appended, and the loop time since which it is known, by replica ID."""
        self._last_record_s = float("-inf")
        self._last_part_rewrite_s = float("-inf")
        self._next_part = 0
        self._changes_offset_by_part: dict[int, int] = {}
        """``changes_from`` of each part of the list, as last written by this relay."""

    def start(self) -> None:
        """Prepare for relaying: drop pending changes, and write all parts anew once this relay is primary."""
        self._pending_by_replica_id.clear()
        self._changes_offset_by_part.clear()

    async def drop_list(self) -> None:
        """Delete all parts of the list from the log; a failure is only logged."""
        deletions = [KeyedRecord(key=str(number), value=b"") for number in range(LIST_PARTS)]
        try:
            await self._log.append(
                self._list_topic, 0, [self._log.encode_keyed(deletion) for deletion in deletions]
            )
        except LogError as error:
            logger.info("replica_list_not_dropped", extra={"error": str(error)})

    def add_changes(self, changes: list[ReplicaUpdate]) -> None:
        """Add changes read from discovery to those that are to be appended."""
        now_s = monotonic_s()
        for update in changes:
            self._pending_by_replica_id[update.replica_id] = (update, now_s)

    def record_appended(self, changes: RelayedChanges, is_new: bool) -> None:
        """Record what a relay, this one or another, has appended to the topic of changes.

        Args:
            changes: the record that was read.
            is_new: whether the record was appended just now, so that its relay is alive.
        """
        for update in changes.changes:
            self._appended_offset_by_replica_id[update.replica_id] = max(
                update.at, self._appended_offset_by_replica_id.get(update.replica_id, -1)
            )
        if not is_new:
            return
        self._last_record_s = monotonic_s()
        if changes.relay != self._daemon_id:
            self._last_contact_s_by_relay[changes.relay] = self._last_record_s

    @property
    def has_pending_changes(self) -> bool:
        """Whether any changes are known here that no relay has appended, as far as this daemon knows."""
        return bool(self._pending_by_replica_id)

    def are_others_alive(self) -> bool:
        """Return whether another relay has appended a record within RELAY_TIMEOUT_S."""
        return bool(self._live_relays(monotonic_s()))

    async def append_due(self, progress: ReadProgress) -> None:
        """Append due changes or a heartbeat, and as primary relay due parts; a failure is only logged.

        Without a current view, only changes are appended: a heartbeat would keep other daemons from reading
        discovery themselves, and parts would overwrite newer ones of other relays.
        """
        now_s = monotonic_s()
        is_primary = self._is_primary(now_s)
        due = self._due_changes(now_s if is_primary else now_s - BACKUP_DELAY_S)
        try:
            heartbeat_interval_s = HEARTBEAT_INTERVAL_S if is_primary else RELAY_TIMEOUT_S
            needs_heartbeat = now_s - self._last_record_s >= heartbeat_interval_s
            if due or (progress.is_current and needs_heartbeat):
                await self._append_changes(due)
            if progress.is_current and is_primary:
                await self._write_due_parts(now_s, progress)
        except LogError as error:
            logger.info("relay_failed", extra={"error": str(error)})
        self._drop_stale_state(now_s)

    def _live_relays(self, now_s: float) -> list[str]:
        return [
            name
            for name, last_contact_s in self._last_contact_s_by_relay.items()
            if now_s - last_contact_s < RELAY_TIMEOUT_S
        ]

    def _is_primary(self, now_s: float) -> bool:
        names = [*self._live_relays(now_s), self._daemon_id]
        return min(names, key=lambda name: zlib.crc32(name.encode())) == self._daemon_id

    async def _append_changes(self, due: list[ReplicaUpdate]) -> None:
        """Append changes in as many records as needed, or one record without changes as a heartbeat."""
        self._last_record_s = monotonic_s()
        for start in range(0, max(len(due), 1), MAX_CHANGES_PER_RECORD):
            batch = tuple(due[start : start + MAX_CHANGES_PER_RECORD])
            record = encode_changes(RelayedChanges(relay=self._daemon_id, changes=batch))
            await self._log.append(self._changes_topic, 0, [record])
            for update in batch:
                self._remove_pending(update)

    def _due_changes(self, known_before_s: float) -> list[ReplicaUpdate]:
        """Return the pending changes known since a loop time or earlier; drop those that a relay appended."""
        for update, _ in list(self._pending_by_replica_id.values()):
            if self._appended_offset_by_replica_id.get(update.replica_id, -1) >= update.at:
                self._remove_pending(update)
        return [
            update for update, since_s in self._pending_by_replica_id.values() if since_s <= known_before_s
        ]

    def _remove_pending(self, update: ReplicaUpdate) -> None:
        pending = self._pending_by_replica_id.get(update.replica_id)
        if pending is not None and pending[0].at <= update.at:
            del self._pending_by_replica_id[update.replica_id]

    async def _write_due_parts(self, now_s: float, progress: ReadProgress) -> None:
        numbers = self._due_parts(now_s, progress.first_kept_change_offset)
        if not numbers:
            return
        replicas: dict[int, list[ReplicaUpdate]] = {number: [] for number in numbers}
        for update in self._view.updates():
            if (number := part_of(update.replica_id)) in replicas:
                replicas[number].append(update)
        parts = [
            ListPart(
                part=number,
                at=progress.last_entry_offset,
                changes_from=max(progress.next_change_offset, progress.first_kept_change_offset),
                replicas=tuple(replicas[number]),
            )
            for number in numbers
        ]
        records = [self._log.encode_keyed(encode_part(part)) for part in parts]
        await self._log.append(self._list_topic, 0, records)
        for part in parts:
            self._changes_offset_by_part[part.part] = part.changes_from

    def _due_parts(self, now_s: float, first_kept_change_offset: int) -> list[int]:
        """Return the parts that this relay has not written, or that need changes that the log has removed.

        At intervals of PART_REWRITE_INTERVAL_S, one more part is added.
        """
        numbers = {
            number
            for number in range(LIST_PARTS)
            if self._changes_offset_by_part.get(number, -1) < first_kept_change_offset
        }
        if now_s - self._last_part_rewrite_s >= PART_REWRITE_INTERVAL_S:
            self._last_part_rewrite_s = now_s
            numbers.add(self._next_part)
            self._next_part = (self._next_part + 1) % LIST_PARTS
        return sorted(numbers)

    def _drop_stale_state(self, now_s: float) -> None:
        """Drop relays that timed out, and the offsets of replicas that are gone if there are many."""
        self._last_contact_s_by_relay = {
            relay: last_contact_s
            for relay, last_contact_s in self._last_contact_s_by_relay.items()
            if now_s - last_contact_s < RELAY_TIMEOUT_S
        }
        if len(self._appended_offset_by_replica_id) > 2 * len(self._view) + MAX_CHANGES_PER_RECORD:
            known = set(self._view.replica_ids())
            self._appended_offset_by_replica_id = {
                replica_id: offset
                for replica_id, offset in self._appended_offset_by_replica_id.items()
                if replica_id in known
            }
