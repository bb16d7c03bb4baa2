"""Relays: daemons that read a long list of replicas and append what changes in it for all others.

Every replica writes to discovery about once a second, changed or not, so a list of 3,000 replicas is
read by a few daemons only.  Which daemons relay is decided by the groups of the log
(:class:`passgate.sharedlog.group.GroupMember`): one in each zone.  The first of them appends each
change at once; the others only what it has left out, so the loss of one loses no change.  What
two append twice does no harm, as each change names its offset in discovery.
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
"""Time between records of the first relay; a third of the silence after which it counts as gone."""
RELAY_TIMEOUT_S = 1.5
"""A relay that has appended nothing for this long counts as gone."""
BACKUP_DELAY_S = 0.7
"""Time that the other relays leave to the first for a change: a pause of its reads, an append, and most
of a pause of theirs.  A change that the first one's end has left out is known everywhere after 1.8 s."""
MAX_CHANGES_PER_RECORD = 1000
"""Changes in one record; compressed they take some 21 of the 256 KB that a record may hold."""
PART_REWRITE_INTERVAL_S = 2.0
"""Time between two rewritten parts of the list.  All are rewritten within 32 s, so a daemon that starts
reads the changes of half a minute, and parts outlive the 300 s for which the log keeps changes."""


class ReadProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a relay has read."""

    last_entry_offset: int
    """Offset of the last entry of discovery that the view holds."""
    next_change_offset: int
    """Offset up to which the view holds the changes of all relays."""
    first_kept_change_offset: int
    """Offset from which on the log still keeps these changes."""


class Relay:
    """What one daemon does for the others while it relays."""

    def __init__(
        self, log: SharedLog, changes_topic: str, list_topic: str, view: DiscoveryView, daemon_id: str
    ) -> None:
        """Connect the parts.

        Args:
            log: carries changes and the list.
            changes_topic: topic of the changes.
            list_topic: keyed topic of the list's parts.
            view: the replicas as this daemon knows them.
            daemon_id: names this daemon to other relays.
        """
        self._log = log
        self._changes_topic = changes_topic
        self._list_topic = list_topic
        self._view = view
        self._daemon_id = daemon_id
        self._last_contact_s_by_relay: dict[str, float] = {}
        """Other relays, and when each appended last."""
        self._appended_offset_by_replica_id: dict[str, int] = {}
        """Replica to the newest offset in discovery that stands in the topic of changes."""
        self._pending_by_replica_id: dict[str, tuple[ReplicaUpdate, float]] = {}
        """Changes that are to be appended, with the loop time since when."""
        self._last_record_s = float("-inf")
        self._last_part_rewrite_s = float("-inf")
        self._next_part = 0
        self._changes_offset_by_part: dict[int, int] = {}
        """Part of the list to the offset of the changes that it lacks, as this relay wrote it last."""

    def start(self) -> None:
        """Relay from now on; all parts are written anew, as nobody may have done so for long."""
        self._pending_by_replica_id.clear()
        self._changes_offset_by_part.clear()

    async def drop_list(self) -> None:
        """Drop the list from the log, as it is short now and each daemon reads it itself."""
        drops = [KeyedRecord(key=str(number), value=b"") for number in range(LIST_PARTS)]
        try:
            await self._log.append(self._list_topic, 0, [self._log.encode_keyed(drop) for drop in drops])
        except LogError as error:
            logger.info("replica_list_not_dropped", extra={"error": str(error)})

    def add_changes(self, changes: list[ReplicaUpdate]) -> None:
        """Note what has changed in discovery."""
        now_s = monotonic_s()
        for news in changes:
            self._pending_by_replica_id[news.replica_id] = (news, now_s)

    def record_appended(self, changes: RelayedChanges, fresh: bool) -> None:
        """Note what stands in the topic of changes, from this or another relay.

        Args:
            changes: one record.
            fresh: whether it was appended just now, so that its relay lives.
        """
        for news in changes.changes:
            self._appended_offset_by_replica_id[news.replica_id] = max(
                news.at, self._appended_offset_by_replica_id.get(news.replica_id, -1)
            )
        if not fresh:
            return
        self._last_record_s = monotonic_s()
        if changes.relay != self._daemon_id:
            self._last_contact_s_by_relay[changes.relay] = self._last_record_s

    @property
    def has_pending_changes(self) -> bool:
        """Whether the others don't know yet all that this daemon does."""
        return bool(self._pending_by_replica_id)

    def are_others_alive(self) -> bool:
        """Whether another relay lives."""
        return bool(self._live_relays(monotonic_s()))

    async def append_due(self, read_progress: ReadProgress) -> None:
        """Append what is due."""
        now_s = monotonic_s()
        is_first = self._is_first(now_s)
        due = self._due_changes(now_s if is_first else now_s - BACKUP_DELAY_S)
        try:
            if due or now_s - self._last_record_s >= (HEARTBEAT_INTERVAL_S if is_first else RELAY_TIMEOUT_S):
                await self._append_changes(due)
            if is_first:
                await self._write_due_parts(now_s, read_progress)
        except LogError as error:
            logger.info("relay_failed", extra={"error": str(error)})
        self._drop_stale_state(now_s)

    def _live_relays(self, now_s: float) -> list[str]:
        return [
            name
            for name, heard_s in self._last_contact_s_by_relay.items()
            if now_s - heard_s < RELAY_TIMEOUT_S
        ]

    def _is_first(self, now_s: float) -> bool:
        names = [*self._live_relays(now_s), self._daemon_id]
        return min(names, key=lambda name: zlib.crc32(name.encode())) == self._daemon_id

    async def _append_changes(self, due: list[ReplicaUpdate]) -> None:
        """Append changes, or that there are none."""
        self._last_record_s = monotonic_s()
        for first in range(0, max(len(due), 1), MAX_CHANGES_PER_RECORD):
            batch = tuple(due[first : first + MAX_CHANGES_PER_RECORD])
            record = encode_changes(RelayedChanges(relay=self._daemon_id, changes=batch))
            await self._log.append(self._changes_topic, 0, [record])
            for news in batch:
                self._remove_pending(news)

    def _due_changes(self, until_s: float) -> list[ReplicaUpdate]:
        """Return the changes known until a loop time that no relay has appended."""
        for news, _ in list(self._pending_by_replica_id.values()):
            if self._appended_offset_by_replica_id.get(news.replica_id, -1) >= news.at:
                self._remove_pending(news)
        return [news for news, since_s in self._pending_by_replica_id.values() if since_s <= until_s]

    def _remove_pending(self, news: ReplicaUpdate) -> None:
        waiting = self._pending_by_replica_id.get(news.replica_id)
        if waiting is not None and waiting[0].at <= news.at:
            del self._pending_by_replica_id[news.replica_id]

    async def _write_due_parts(self, now_s: float, progress: ReadProgress) -> None:
        numbers = self._due_parts(now_s, progress.first_kept_change_offset)
        if not numbers:
            return
        replicas: dict[int, list[ReplicaUpdate]] = {number: [] for number in numbers}
        for news in self._view.updates():
            if (number := part_of(news.replica_id)) in replicas:
                replicas[number].append(news)
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

    def _due_parts(self, now_s: float, changes_kept: int) -> list[int]:
        """Return the parts that nobody can follow any more, and now and then one more."""
        numbers = {
            number
            for number in range(LIST_PARTS)
            if self._changes_offset_by_part.get(number, -1) < changes_kept
        }
        if now_s - self._last_part_rewrite_s >= PART_REWRITE_INTERVAL_S:
            self._last_part_rewrite_s = now_s
            numbers.add(self._next_part)
            self._next_part = (self._next_part + 1) % LIST_PARTS
        return sorted(numbers)

    def _drop_stale_state(self, now_s: float) -> None:
        """Drop relays that are gone, and offsets of replicas that are."""
        self._last_contact_s_by_relay = {
            name: heard_s
            for name, heard_s in self._last_contact_s_by_relay.items()
            if now_s - heard_s < RELAY_TIMEOUT_S
        }
        if len(self._appended_offset_by_replica_id) > 2 * len(self._view) + MAX_CHANGES_PER_RECORD:
            known = set(self._view.replica_ids())
            self._appended_offset_by_replica_id = {
                name: at for name, at in self._appended_offset_by_replica_id.items() if name in known
            }
