"""Follows the list of replicas: directly if it is short, through relays if it is long.

A relay is a daemon that reads discovery and appends the changes for the daemons that do not read it.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from enum import Enum

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, DiscoveryLoaded, RelayRoleChanged
from passgate.discovery.relay import ReadProgress, Relay
from passgate.discovery.relayed_list import MAX_SLOW_READ_AGE_S, RelayedList
from passgate.discovery.view import DiscoveryView, ReplicaUpdate
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.errors import LogError, MalformedRecord
from passgate.sharedlog.log import KeyedRecord, SharedLog
from passgate.sharedlog.tail import KeyedTail, TailSettings

logger = logging.getLogger("passgate.discovery")

DIRECT_LIMIT = 200
"""Number of replicas up to which a list is short, so that each daemon reads discovery itself."""
DIRECT_RETURN_SHARE = 0.75
"""Share of the limit up to which a list that was long counts as short again."""
UPDATE_INTERVAL_S = 0.25
"""Pause between updates of a daemon that does not relay."""
RELAY_UPDATE_INTERVAL_S = 0.1
"""Pause between updates of a relay; shorter, as other daemons wait for the changes that a relay appends."""
DIRECT_READ_PAUSE_S = 0.25
"""Pause between direct reads of discovery, so that entries arrive in batches."""
FALLBACK_SILENCE_RANGE_S = (4.0, 10.0)
"""Bounds of the random time without a record of any relay after which a daemon reads discovery itself;
leaves time for the selection of a new relay.  Random, as 300 daemons that read 1.6 MB each at once would
keep the log busy for 6 s."""


class ReplicaDecoder:
    """Decodes discovery entries; implemented for the format that the replicas write."""

    def decode(self, record: KeyedRecord) -> ReplicaInfo:
        """Decode an entry; raises MalformedRecord if it names no usable replica."""
        raise NotImplementedError


class ReplicaTopics(msgspec.Struct, frozen=True, kw_only=True):
    """Topics of the log that hold replicas."""

    entries: str
    """Keyed topic to which the replicas write their entries: discovery."""
    changes: str
    """Topic to which relays append changes of the entries."""
    parts: str
    """Keyed topic in which relays keep the whole list, divided into parts."""


class Source(Enum):
    """Where a daemon reads the list of replicas."""

    UNKNOWN = "unknown"
    DIRECT = "direct"
    RELAYED = "relayed"


class Discovery:
    """Keeps a view of the replicas up to date, and relays a long list if this daemon is selected for that."""

    def __init__(
        self,
        log: SharedLog,
        topics: ReplicaTopics,
        decoder: ReplicaDecoder,
        view: DiscoveryView,
        daemon_id: str,
        may_relay: Callable[[], bool],
        decisions: DecisionLog,
        *,
        direct_limit: int = DIRECT_LIMIT,
        seed: int | None = None,
    ) -> None:
        """Connect the parts.

        Args:
            log: carries entries, changes and the list.
            topics: names of the topics.
            decoder: decodes entries.
            view: the replicas as this daemon knows them; kept up to date.
            daemon_id: identifies this daemon to other relays.
            may_relay: returns whether this daemon is selected to relay a long list.
            decisions: decision log.
            direct_limit: number of replicas up to which a list is short.
            seed: seeds the random times of the fallback and of reading the list again; None for a random
                seed.
        """
        self._log = log
        self._topics = topics
        self._decoder = decoder
        self._view = view
        self._may_relay = may_relay
        self._decisions = decisions
        self._direct_limit = direct_limit
        rng = random.Random(seed)
        self._fallback_silence_s = rng.uniform(*FALLBACK_SILENCE_RANGE_S)
        self._source = Source.UNKNOWN
        self._direct_tail: tuple[KeyedTail, asyncio.Task[None]] | None = None
        self._relay = Relay(log, topics.changes, topics.parts, view, daemon_id)
        self._relayed_list = RelayedList(
            log,
            topics.changes,
            topics.parts,
            view,
            self._relay.record_appended,
            decisions,
            rng,
        )
        self._started_at_s: float | None = None
        self.loaded = False
        """Whether the whole list has been read once since the start."""
        self.is_relaying = False
        """Whether this daemon is a relay now."""

    async def run(self) -> None:
        """Follow the list until cancelled."""
        self._started_at_s = monotonic_s()
        try:
            while True:
                await self._update()
                await asyncio.sleep(RELAY_UPDATE_INTERVAL_S if self.is_relaying else UPDATE_INTERVAL_S)
        finally:
            self._stop_direct()
            self._relayed_list.stop()

    @property
    def reads_directly(self) -> bool:
        """Whether this daemon reads discovery itself."""
        return self._direct_tail is not None

    def view_age_s(self) -> float:
        """Return the age of the list of replicas: all that was written longer ago has been read."""
        if self._direct_tail is not None and self._direct_tail[0].loaded:
            return self._direct_tail[0].freshness.age_s(monotonic_s())
        return self._relayed_list.view_age_s()

    async def _update(self) -> None:
        try:
            await self._choose_source()
        except LogError as error:
            logger.info("discovery_not_read", extra={"error": str(error)})
            return
        if self._source is Source.RELAYED:
            await self._follow_relays()
        self._record_loaded()
        self._remove_lapsed()
        self._view.drop_gone()

    # --- choice of the source ------------------------------------------------------

    async def _choose_source(self) -> None:
        """Choose between reading discovery directly and through relays; raises LogError."""
        if self._source is Source.UNKNOWN:
            await self._find_source()
        elif self._source is Source.DIRECT and len(self._view) > self._direct_limit:
            self._source = Source.RELAYED
        elif self._source is Source.RELAYED and self._is_short_again():
            await self._return_to_direct()

    async def _return_to_direct(self) -> None:
        if self.is_relaying:
            await self._relay.drop_list()
        self._source = Source.DIRECT
        self._set_relaying(False)
        self._relayed_list.stop()
        self._follow_directly()

    def _is_short_again(self) -> bool:
        all_appended = not (self.is_relaying and self._relay.has_pending_changes)
        return self.loaded and all_appended and len(self._view) <= self._direct_limit * DIRECT_RETURN_SHARE

    async def _find_source(self) -> None:
        """Use relays if the log has a list of theirs, or if the entries of discovery fill more than one page.

        Raises LogError.
        """
        if await self._relayed_list.exists_on_log():
            self._source = Source.RELAYED
            return
        started_at_s = monotonic_s()
        snapshot = await self._log.newest(self._topics.entries, 0, most_pages=1)
        if snapshot.more:
            self._source = Source.RELAYED
            return
        self._source = Source.DIRECT
        self._follow_directly().start_from(snapshot, started_at_s)

    # --- reading through relays ----------------------------------------------------

    async def _follow_relays(self) -> None:
        await self._relayed_list.follow()
        self._set_relaying(self._should_relay())
        if self.is_relaying or self._must_fall_back():
            self._follow_directly()
        elif self._relayed_list.loaded:
            self._stop_direct()
        if self.is_relaying and self._direct_tail is not None and self._direct_tail[0].loaded:
            entries = self._direct_tail[0]
            await self._relay.append_due(
                ReadProgress(
                    is_current=entries.freshness.age_s(monotonic_s()) <= MAX_SLOW_READ_AGE_S,
                    last_entry_offset=entries.next_offset - 1,
                    next_change_offset=self._relayed_list.next_change_offset,
                    first_kept_change_offset=self._relayed_list.first_kept_change_offset,
                )
            )

    def _should_relay(self) -> bool:
        """Whether to relay; a relay that is no longer selected continues until another one is alive."""
        return self._may_relay() or (self.is_relaying and not self._relay.are_others_alive())

    def _must_fall_back(self) -> bool:
        """Whether no relay has appended a record for so long that this daemon reads discovery itself."""
        return self._relayed_list.silence_s() > self._fallback_silence_s

    def _set_relaying(self, relaying: bool) -> None:
        if relaying == self.is_relaying:
            return
        self.is_relaying = relaying
        if relaying:
            self._relay.start()
        self._decisions.write(RelayRoleChanged(relaying=relaying, replicas=len(self._view)))

    # --- direct reading ------------------------------------------------------------

    def _follow_directly(self) -> KeyedTail:
        if self._direct_tail is None:
            settings = TailSettings(topic=self._topics.entries, gap_s=DIRECT_READ_PAUSE_S)
            tail = KeyedTail(
                self._log, settings, on_snapshot=self._apply_list, on_records=self._apply_entries
            )
            self._direct_tail = (tail, asyncio.get_running_loop().create_task(tail.run()))
        return self._direct_tail[0]

    def _stop_direct(self) -> None:
        if self._direct_tail is not None:
            self._direct_tail[1].cancel()
            self._direct_tail = None

    def _apply_list(self, records: tuple[KeyedRecord, ...], next_offset: int) -> None:
        self._update_freshness()
        listed = [record for record in records if record.value]
        infos = {record.key: self._decode(record) for record in listed}
        overwritten = frozenset(key for key, info in infos.items() if info is None)
        usable = [info for info in infos.values() if info is not None]
        changes = self._view.apply_list(usable, next_offset - 1, overwritten)
        if self.is_relaying and self._relayed_list.is_complete:
            # Until the log has a complete list no daemon depends on the changes; the parts will contain them.
            self._relay.add_changes(changes)

    def _apply_entries(self, records: tuple[KeyedRecord, ...], start: int) -> None:
        self._update_freshness()
        for index, record in enumerate(records):
            info = self._decode(record) if record.value else None
            update = ReplicaUpdate(
                replica_id=record.key,
                at=start + index,
                info=info,
                overwritten=bool(record.value) and info is None,
            )
            if self._view.apply(update) and self.is_relaying:
                self._relay.add_changes([update])

    def _decode(self, record: KeyedRecord) -> ReplicaInfo | None:
        """Return the replica of an entry; None, after recording it, if the entry is unusable."""
        try:
            return self._decoder.decode(record)
        except MalformedRecord as error:
            self._view.unusable_entries.record(record.key, str(error), monotonic_s())
            return None

    def _update_freshness(self) -> None:
        if self._direct_tail is not None:
            self._view.update_freshness(self._direct_tail[0].freshness)

    def _remove_lapsed(self) -> None:
        removals = self._view.remove_lapsed()
        if removals and self.is_relaying:
            self._relay.add_changes(removals)

    # --- progress ------------------------------------------------------------------

    def _record_loaded(self) -> None:
        directly = self._direct_tail is not None and self._direct_tail[0].loaded
        if self.loaded or not (directly or self._relayed_list.loaded):
            return
        self.loaded = True
        self._decisions.write(
            DiscoveryLoaded(
                source=self._source.value,
                replicas=len(self._view),
                elapsed_ms=round((monotonic_s() - (self._started_at_s or 0.0)) * 1000, 1),
            )
        )
