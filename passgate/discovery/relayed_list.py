"""Reads a long list of replicas from the log, where relays keep it: its parts first, then the changes.

A relay is a daemon that reads discovery for the others.  The parts are read again from time to time.
"""

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
from passgate.sharedlog.tail import OnDemandTail, RecordTail, TailSettings

logger = logging.getLogger("passgate.discovery")

CHANGES_READ_PAUSE_S = 0.6
"""Pause between reads of the changes, so that they arrive in batches.  While weights are loaded, changes
come all the time, and 300 daemons make 500 calls a second."""
RELOAD_INTERVAL_S = 0.5
"""Interval of attempts to read the list until it is complete on the log; also the delay of a new read after
changes were missed."""
RESYNC_INTERVAL_RANGE_S = (45.0, 75.0)
"""Bounds of the time after which the list is read again; random, so that daemons don't all read together: a
list of 0.15 MB and as much again of changes make 1.5 MB a second for 300 daemons."""
RELAY_CHANGE_RESYNC_RANGE_S = (1.0, 4.0)
"""Bounds of the random time until the list is read again after records begin to come from another relay: the
previous one may have lost a change when it stopped."""
MAX_SLOW_READ_AGE_S = 5.5
"""Age up to which a view may be read without an outage of the log: each read may take until its timeout."""
NEVER_S = float("-inf")
"""Loop time before any other."""


class RelayedList:
    """Applies the relays' records to a view while it follows them."""

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
            view: receives what is read.
            on_changes: called with each record of changes and whether it was appended just now.
            decisions: decision log.
            rng: draws the times at which the list is read again.
        """
        self._log = log
        self._list_topic = list_topic
        self._view = view
        self._on_changes = on_changes
        self._decisions = decisions
        self._rng = rng
        settings = TailSettings(topic=changes_topic, gap_s=CHANGES_READ_PAUSE_S)
        self._tail = OnDemandTail(RecordTail(log, settings, self._apply_page))
        self.is_complete = False
        """Whether the list was read and no change has been missed since."""
        self._next_load_s = NEVER_S
        """Loop time at which the list is read next."""
        self._unapplied_parts: list[ListPart] = []
        """Parts that were read, but not yet the changes since they were written."""
        self._last_relay = ""
        """The relay that appended the last record."""
        self._next_offset = 0
        """Offset at which the next page has to start; if it starts later, changes were removed unread."""
        self._last_contact_s = NEVER_S
        """Loop time at which the last record was read after the end of the changes had been reached once."""

    @property
    def next_change_offset(self) -> int:
        """Offset of the next record of changes to read."""
        return self._tail.tail.next_offset

    @property
    def first_kept_change_offset(self) -> int:
        """Offset of the oldest record of changes that the log kept at the last read."""
        return self._tail.tail.first_kept_offset

    @property
    def loaded(self) -> bool:
        """Whether the list was read, no change has been missed since, and a relay has appended a record."""
        return self.is_complete and self._last_contact_s > NEVER_S

    def silence_s(self) -> float:
        """Return the time since the last record of a relay, or since the log became readable if that is less.

        0 until the changes were first read to their end.
        """
        freshness = self._tail.tail.freshness
        if freshness.recovered_at_s == NEVER_S:
            return 0.0
        return freshness.silence_s(self._last_contact_s, monotonic_s())

    def view_age_s(self) -> float:
        """Return the age of the list, which grows while no relay appends records."""
        age_s = self._tail.tail.freshness.age_s(monotonic_s())
        return max(age_s, monotonic_s() - self._last_contact_s)

    async def follow(self) -> None:
        """Follow the changes, and read the list if that is due; must be called repeatedly."""
        now_s = monotonic_s()
        if now_s >= self._next_load_s:
            self._next_load_s = now_s + RELOAD_INTERVAL_S
            await self._load_parts()
        self._tail.set_following(True)
        if self._is_reading_live():
            self._apply_parts()

    def stop(self) -> None:
        """Stop following; the list is read again when following resumes."""
        self._tail.set_following(False)
        self._unapplied_parts.clear()
        self.is_complete = False
        self._next_load_s = self._last_contact_s = NEVER_S

    async def exists_on_log(self) -> bool:
        """Return whether the log has any part of the list; raises LogError."""
        return bool((await self._log.newest(self._list_topic, 0)).records)

    async def _load_parts(self) -> None:
        try:
            snapshot = await self._log.newest(self._list_topic, 0)
        except LogError as error:
            logger.info("replica_list_not_read", extra={"error": str(error)})
            return
        parts = [part for record in snapshot.records if (part := self._decode_part(record)) is not None]
        self._unapplied_parts = parts
        if {part.part for part in parts} != set(range(LIST_PARTS)):
            return  # the next attempt is made after RELOAD_INTERVAL_S
        self._next_load_s = monotonic_s() + self._rng.uniform(*RESYNC_INTERVAL_RANGE_S)
        # A part may list a replica that a later change has removed, so the changes are applied again.
        self._tail.set_following(False)
        self._next_offset = self._tail.tail.next_offset = min(part.changes_from for part in parts)
        self.is_complete = True

    def _decode_part(self, record: KeyedRecord) -> ListPart | None:
        """Return the part in a record; None, after recording it as unusable, if the record is malformed."""
        try:
            part = decode_part(record)
        except MalformedRecord as error:
            self._view.unusable_entries.record(f"list part {record.key}", str(error), monotonic_s())
            return None
        self._record_unreadable(f"list part {record.key}", part.unreadable)
        return part

    def _record_unreadable(self, key: str, count: int) -> None:
        for _ in range(count):
            self._view.unusable_entries.record(key, "a replica in it could not be decoded", monotonic_s())

    def _apply_parts(self) -> None:
        """Apply the parts that were read; called once all changes since they were written are applied.

        Otherwise replicas that are draining or gone by a change would be in use until it is read.
        """
        for part in self._unapplied_parts:
            self._apply_part(part)
        self._unapplied_parts.clear()

    def _apply_part(self, part: ListPart) -> None:
        listed = {update.replica_id for update in part.replicas}
        for replica_id in self._view.replica_ids():
            if part_of(replica_id) == part.part and replica_id not in listed:
                self._view.apply_relayed(ReplicaUpdate(replica_id=replica_id, at=part.at))
        for update in part.replicas:
            self._view.apply(update)

    def _apply_page(self, page: LogPage) -> None:
        if page.start != self._next_offset:
            self.is_complete = False
            self._unapplied_parts.clear()
            self._next_load_s = monotonic_s() + RELOAD_INTERVAL_S
        self._next_offset = page.next_offset
        is_new = self._is_reading_live()
        for index, record in enumerate(page.records):
            try:
                changes = decode_changes(record)
            except MalformedRecord as error:
                self._decisions.write(RecordUnreadable(offset=page.start + index, reason=str(error)))
                continue
            self._record_unreadable(f"changes of {changes.relay}", changes.unreadable)
            for update in changes.changes:
                self._view.apply_relayed(update)
            self._on_changes(changes, is_new)
            if self._tail.current:
                self._record_relay_alive(changes.relay)
        if page.next_offset >= page.end:
            self._apply_parts()

    def _is_reading_live(self) -> bool:
        """Whether records that are read now were appended just now, not during an outage of the log."""
        age_s = self._tail.tail.freshness.age_s(monotonic_s())
        return self._tail.current and age_s <= MAX_SLOW_READ_AGE_S

    def _record_relay_alive(self, relay: str) -> None:
        """Record a contact with a relay, which keeps this daemon from reading discovery itself.

        Records that are read late count as well: on a slow log, daemons must not add to its load.  If the
        relay isn't the one of the last record, the list is read again soon.
        """
        self._last_contact_s = monotonic_s()
        if relay != self._last_relay:
            self._last_relay = relay
            self._next_load_s = min(
                self._next_load_s, monotonic_s() + self._rng.uniform(*RELAY_CHANGE_RESYNC_RANGE_S)
            )
