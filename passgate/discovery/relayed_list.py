"""Reads a long list of replicas as the relays keep it: its parts once, then each change."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, RecordUnreadable
from passgate.discovery.records import (
    LIST_PARTS,
    ListPart,
    RelayedChanges,
    decode_changes,
    decode_part,
    part_of,
)
from passgate.discovery.view import DiscoveryView, ReplicaUpdate
from passgate.errors import LogError, MalformedRecord
from passgate.sharedlog.log import KeyedRecord, LogPage, SharedLog
from passgate.sharedlog.tail import FollowedTail, RecordTail, TailSettings

logger = logging.getLogger("passgate.discovery")

CHANGES_READ_PAUSE_S = 0.6
"""Pause between reads of the changes, which arrive in batches.  While weights are loaded there are new
ones all the time, so 300 daemons make 500 calls a second, of which the log grants 2,000 or more; a
replica that leaves is known to all after 1.1 s at most, and has 2 s."""
RELOAD_INTERVAL_S = 0.5
"""Time between tries to read the list while no relay has written it."""
RESYNC_INTERVAL_RANGE_S = (45.0, 75.0)
"""Time after which the list is read again, drawn; 300 daemons with a list of 0.15 MB, and as much again
of changes of half a minute, take 1.5 MB a second."""
RELAY_CHANGE_RESYNC_RANGE_S = (1.0, 4.0)
"""The same once another relay has begun, as the one before it may have left out a change as it ended."""
NEVER_S = float("-inf")


class RelayedList:
    """Keeps the view as the relays tell it, while it follows."""

    def __init__(
        self,
        log: SharedLog,
        changes_topic: str,
        list_topic: str,
        view: DiscoveryView,
        on_changes: Callable[[RelayedChanges, bool], None],
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        """Connect the parts.

        Args:
            log: carries changes and the list.
            changes_topic: topic of the changes.
            list_topic: keyed topic of the list's parts.
            view: takes what is read.
            take_changes: is told of each record of a relay, and whether it was appended just now.
            decisions: where decisions are noted.
            rng: draws when the list is read again.
        """
        self._log = log
        self._list_topic = list_topic
        self._view = view
        self._on_changes = on_changes
        self._decisions = decisions
        self._rng = rng
        settings = TailSettings(topic=changes_topic, gap_s=CHANGES_READ_PAUSE_S)
        self._tail = FollowedTail(RecordTail(log, settings, self._apply_page))
        self.is_complete = False
        """Whether the list was read, and no change since was missed."""
        self._next_load_s = NEVER_S
        """When the list is to be read next."""
        self._last_relay = ""
        """The relay that was heard last."""
        self._next_offset = 0
        """Where the next page has to begin; history that is lost makes it begin later."""
        self._last_contact_s = NEVER_S
        """When a relay was last known to live, by a record appended after the end was reached."""

    @property
    def next_change_offset(self) -> int:
        """Offset up to which the changes were read."""
        return self._tail.tail.next_offset

    @property
    def first_kept_change_offset(self) -> int:
        """Offset from which on the log still keeps the changes."""
        return self._tail.tail.first_kept_offset

    @property
    def loaded(self) -> bool:
        """Whether the view is whole, and a relay keeps it so."""
        return self.is_complete and self._last_contact_s > NEVER_S

    def silence_s(self) -> float:
        """Return for how long all relays have surely been silent while the log could be read."""
        freshness = self._tail.tail.freshness
        if freshness.recovered_at_s == NEVER_S:
            return 0.0
        return freshness.silence_s(self._last_contact_s, monotonic_s())

    async def follow(self) -> None:
        """Follow; called again and again.  Reads the list if that has to be done."""
        now_s = monotonic_s()
        if now_s >= self._next_load_s:
            self._next_load_s = now_s + RELOAD_INTERVAL_S
            await self._load_parts()
        self._tail.set(True)

    def stop(self) -> None:
        """Follow no more; the list is read anew if it is followed again."""
        self._tail.set(False)
        self.is_complete = False
        self._next_load_s = self._last_contact_s = NEVER_S

    async def exists_on_log(self) -> bool:
        """Whether relays have written a list, whole or not; raises LogError."""
        return bool((await self._log.newest(self._list_topic, 0)).records)

    async def _load_parts(self) -> None:
        try:
            snapshot = await self._log.newest(self._list_topic, 0)
        except LogError as error:
            logger.info("replica_list_not_read", extra={"error": str(error)})
            return
        parts = [part for record in snapshot.records if (part := self._decode_part(record)) is not None]
        for part in parts:
            self._apply_part(part)
        if {part.part for part in parts} != set(range(LIST_PARTS)):
            return  # the missing parts are read with a further try, once relays have written them again
        self._next_load_s = monotonic_s() + self._rng.uniform(*RESYNC_INTERVAL_RANGE_S)
        # A part may list what a change since has taken away, so the changes are read again as well.
        self._tail.set(False)
        self._next_offset = self._tail.tail.next_offset = min(part.changes_from for part in parts)
        self.is_complete = True

    def _decode_part(self, record: KeyedRecord) -> ListPart | None:
        """Return the part of a record, or None when it can't be read."""
        try:
            part = decode_part(record)
        except MalformedRecord as error:
            self._view.unusable_entries.record(f"list part {record.key}", str(error), monotonic_s())
            return None
        self._record_unreadable(f"list part {record.key}", part.unreadable)
        return part

    def _record_unreadable(self, key: str, count: int) -> None:
        for _ in range(count):
            self._view.unusable_entries.record(key, "a replica in it can't be read", monotonic_s())

    def _apply_part(self, part: ListPart) -> None:
        listed = {news.replica_id for news in part.replicas}
        for replica_id in self._view.replica_ids():
            if part_of(replica_id) == part.part and replica_id not in listed:
                self._view.apply_relayed(ReplicaUpdate(replica_id=replica_id, at=part.at))
        for news in part.replicas:
            self._view.apply(news)

    def _apply_page(self, page: LogPage) -> None:
        if page.start != self._next_offset:
            self.is_complete = False
            self._next_load_s = monotonic_s() + RELOAD_INTERVAL_S
        self._next_offset = page.next_offset
        fresh = self._tail.current
        for index, record in enumerate(page.records):
            try:
                changes = decode_changes(record)
            except MalformedRecord as error:
                self._decisions.write(RecordUnreadable(offset=page.start + index, reason=str(error)))
                continue
            self._record_unreadable(f"changes of {changes.relay}", changes.unreadable)
            for news in changes.changes:
                self._view.apply_relayed(news)
            self._on_changes(changes, fresh)
            if fresh:
                self._record_relay_alive(changes.relay)

    def _record_relay_alive(self, relay: str) -> None:
        """Note that a relay lives; read the list again soon if it is another one."""
        self._last_contact_s = monotonic_s()
        if relay != self._last_relay:
            self._last_relay = relay
            self._next_load_s = min(
                self._next_load_s, monotonic_s() + self._rng.uniform(*RELAY_CHANGE_RESYNC_RANGE_S)
            )
