"""Follows the list of replicas: directly when it is short, through a few relays when it is long.

Every replica writes to discovery about once a second, changed or not.  While the
list is short each daemon reads all of that.  With a long list a few daemons, the
relays, read it and append only the changes to a topic of passgate's own, which all
others follow.  Relays need no lease: what they append is the same, names the offset
in discovery that it stands for, and older news than what is known is ignored.

>>> DiscoveryNews(replica_id="r", at=4).gone
True
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import zlib

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, RelayChanged, ReplicaChanged
from passgate.errors import LogAppendUnknown, LogError
from passgate.gateway.replicas import ReplicaInfo, ReplicaTable
from passgate.sharedlog.log import KeyedRecord, SharedLog
from passgate.sharedlog.tail import BEHIND_S, Freshness, KeyedTail, TailSettings

logger = logging.getLogger("passgate.gateway")

DIRECT_LIMIT = 200
"""Replicas up to which each daemon reads discovery itself."""
RELAYS = 3
"""Daemons that read a long list for all; any two may be lost at once."""
TICK_S = 0.25
"""Time between looks at what has to change; a quarter of the shortest silence that is judged."""
HEARTBEAT_S = 0.5
"""Time between signs of life of a relay; a third of the silence after which it counts as gone."""
RELAY_SILENT_S = 1.5
"""A relay silent for this long counts no more."""
JOIN_CHANCE_FEW, JOIN_CHANCE_NONE = 0.08, 0.2
"""Chance a tick that a daemon becomes a relay when some, or all, are missing."""
RANK_DELAY_S = 0.15
"""Each further relay waits this much longer, and appends only what nobody appended."""
DIRECT_GAP_S = 0.25
"""Pause between reads of the list by a daemon that reads it itself; entries change each second."""
RELAYED_GAP_S = 0.4
"""Pause between reads of the relayed changes, which arrive in batches."""
RELAY_KEY_PREFIX = "relay/"
FORGET_GONE_S = 120.0
"""Time for which a replica that is gone is remembered; twice the longest outage of the log seen."""
COME_BACK_S = 2.0
"""Time after the log's return within which entries that lapsed meanwhile are written again."""


class DiscoveryNews(msgspec.Struct, frozen=True, kw_only=True):
    """What discovery said of one replica at an offset."""

    replica_id: str
    at: int
    info: ReplicaInfo | None = None

    @property
    def gone(self) -> bool:
        """Whether the replica is not listed any more."""
        return self.info is None


class DiscoveryView:
    """The replicas as known so far; news older than what is known is ignored."""

    def __init__(self, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._replicas = replicas
        self._decisions = decisions
        self._known_at: dict[str, int] = {}
        self._gone_s: dict[str, float] = {}
        self._returned_s = float("-inf")
        self._lapsed: dict[str, int] = {}
        """Replicas whose entries went while the log was away, with the offset that says so."""

    def note_log(self, freshness: Freshness) -> None:
        """Note how fresh the list is that the next news come from."""
        now_s = monotonic_s()
        if freshness.age_s(now_s) > BEHIND_S:
            self._returned_s = now_s
        else:
            self._returned_s = max(self._returned_s, freshness.recovered_s)

    def __len__(self) -> int:
        return len(self._replicas.all())

    def take(self, news: DiscoveryNews) -> bool:
        """Take news of one replica; return whether something but the offset changed."""
        if news.at <= self._known_at.get(news.replica_id, -1):
            return False
        self._known_at[news.replica_id] = news.at
        known = self._replicas.get(news.replica_id)
        self._lapsed.pop(news.replica_id, None)
        if news.info is None and known is not None and self._may_have_lapsed(known.info):
            self._lapsed[news.replica_id] = news.at
            self._note(news.replica_id, known.info.service, "lapsed", True)
            return False
        if news.info is None:
            self._gone_s[news.replica_id] = monotonic_s()
            self._replicas.remove(news.replica_id)
            self._note(news.replica_id, known.info.service if known else "", "gone", known is not None)
            return known is not None
        changed = known is None or known.info != news.info
        if known is None or known.info.draining != news.info.draining:
            state = "draining" if news.info.draining else "ready"
            self._note(news.replica_id, news.info.service, state, True)
        self._replicas.put(news.info)
        return changed

    def take_all(self, infos: list[ReplicaInfo], at: int) -> None:
        """Take the whole list; `at` is the last offset that it holds."""
        listed = {info.replica_id for info in infos}
        for state in self._replicas.all():
            if state.info.replica_id not in listed:
                self.take(DiscoveryNews(replica_id=state.info.replica_id, at=at))
        for info in infos:
            self.take(DiscoveryNews(replica_id=info.replica_id, at=at, info=info))

    def _may_have_lapsed(self, info: ReplicaInfo) -> bool:
        """Whether an entry may have gone only because its replica could not reach the log."""
        return not info.draining and monotonic_s() - self._returned_s < COME_BACK_S

    def drop_lapsed(self) -> list[DiscoveryNews]:
        """Drop replicas whose entries did not come back; return what is known now."""
        if not self._lapsed or monotonic_s() - self._returned_s < COME_BACK_S:
            return []
        gone = [DiscoveryNews(replica_id=key, at=at) for key, at in self._lapsed.items()]
        for news in gone:
            del self._known_at[news.replica_id]
            self.take(news)
        return gone

    def forget_gone(self) -> None:
        """Drop what is kept of replicas that are gone for long."""
        old_s = monotonic_s() - FORGET_GONE_S
        for replica_id in [key for key, gone_s in self._gone_s.items() if gone_s < old_s]:
            del self._gone_s[replica_id]
            if self._replicas.get(replica_id) is None:
                self._known_at.pop(replica_id, None)

    def _note(self, replica_id: str, service: str, state: str, wanted: bool) -> None:
        if wanted:
            self._decisions.write(ReplicaChanged(replica_id=replica_id, service=service, state=state))


class ReplicaDecoder:
    """How an adapter reads an entry of discovery; returns None for an unreadable one."""

    def decode(self, record: KeyedRecord) -> ReplicaInfo | None:
        """Return the replica of an entry."""
        raise NotImplementedError


class Discovery:
    """Keeps a view up to date, directly or through relays, and relays when it is needed."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        relay_topic: str,
        decoder: ReplicaDecoder,
        view: DiscoveryView,
        daemon_id: str,
        decisions: DecisionLog,
        *,
        direct_limit: int = DIRECT_LIMIT,
        seed: int | None = None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._relay_topic = relay_topic
        self._decoder = decoder
        self._view = view
        self._daemon_id = daemon_id
        self._decisions = decisions
        self._direct_limit = direct_limit
        self._random = random.Random(seed)
        self._direct: tuple[KeyedTail, asyncio.Task[None]] | None = None
        self._relayed: tuple[KeyedTail, asyncio.Task[None]] | None = None
        self._relays_heard: dict[str, float] = {}
        self._relayed_at: dict[str, int] = {}
        """Replica to the newest offset that stands on the relay topic."""
        self._unrelayed: dict[str, tuple[DiscoveryNews, float]] = {}
        """Changes that are to be relayed, with the time since when."""
        self._beat_s = 0.0
        self._loaded = False
        self.relaying = False
        """Whether this daemon reads the list for others."""

    @property
    def loaded(self) -> bool:
        """Whether the whole list was read once."""
        return self._loaded

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            while True:
                await self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for part in (self._direct, self._relayed):
                if part is not None:
                    part[1].cancel()

    async def _tick(self) -> None:
        long_list = len(self._view) > self._direct_limit
        if not long_list:
            self._set_relaying(False)
        self._follow_relays(long_list)
        if long_list and self._relayed is not None and self._relayed[0].loaded:
            self._set_relaying(self._should_relay())
        self._follow_directly(not long_list or self.relaying or self._relayed is None or not self._loaded)
        if self.relaying:
            await self._relay()
        for news in self._view.drop_lapsed():
            if self.relaying:
                self._unrelayed[news.replica_id] = (news, monotonic_s())
        self._view.forget_gone()

    def _set_relaying(self, relaying: bool) -> None:
        if relaying != self.relaying:
            self.relaying = relaying
            self._unrelayed.clear()
            self._decisions.write(RelayChanged(relaying=relaying, replicas=len(self._view)))

    def _should_relay(self) -> bool:
        now_s = monotonic_s()
        fresh = {name for name, heard_s in self._relays_heard.items() if now_s - heard_s < RELAY_SILENT_S}
        if self.relaying:
            return self._daemon_id in self._first(fresh | {self._daemon_id})
        others = fresh - {self._daemon_id}
        if len(others) >= RELAYS:
            return False
        return self._random.random() < (JOIN_CHANCE_FEW if others else JOIN_CHANCE_NONE)

    def _first(self, names: set[str]) -> list[str]:
        return sorted(names, key=lambda name: zlib.crc32(name.encode()))[:RELAYS]

    # --- reading -----------------------------------------------------------------

    def _follow_directly(self, wanted: bool) -> None:
        if wanted and self._direct is None:
            settings = TailSettings(topic=self._topic, gap_s=DIRECT_GAP_S)
            tail = KeyedTail(self._log, settings, replace=self._take_list, update=self._take_entries)
            self._direct = (tail, asyncio.get_running_loop().create_task(tail.run()))
        elif not wanted and self._direct is not None:
            self._direct[1].cancel()
            self._direct = None

    def _follow_relays(self, wanted: bool) -> None:
        if wanted and self._relayed is None:
            settings = TailSettings(topic=self._relay_topic, gap_s=RELAYED_GAP_S)
            tail = KeyedTail(self._log, settings, replace=self._take_relayed, update=self._take_relayed)
            self._relayed = (tail, asyncio.get_running_loop().create_task(tail.run()))
        elif not wanted and self._relayed is not None:
            self._relayed[1].cancel()
            self._relayed = None
            self._relays_heard.clear()

    def _take_list(self, records: tuple[KeyedRecord, ...], at: int) -> None:
        self._note_log()
        infos = [info for record in records if record.value and (info := self._decoder.decode(record))]
        self._view.take_all(infos, at - 1)
        self._loaded = True

    def _note_log(self) -> None:
        if self._direct is not None:
            self._view.note_log(self._direct[0].freshness)

    def _take_entries(self, records: tuple[KeyedRecord, ...], start: int) -> None:
        self._note_log()
        for index, record in enumerate(records):
            info = self._decoder.decode(record) if record.value else None
            if record.value and info is None:
                continue
            news = DiscoveryNews(replica_id=record.key, at=start + index, info=info)
            if self._view.take(news) and self.relaying:
                self._unrelayed[record.key] = (news, monotonic_s())

    def _take_relayed(self, records: tuple[KeyedRecord, ...], start: int) -> None:
        now_s = monotonic_s()
        for record in records:
            if record.key.startswith(RELAY_KEY_PREFIX):
                self._relays_heard[record.key.removeprefix(RELAY_KEY_PREFIX)] = now_s
                continue
            with contextlib.suppress(msgspec.DecodeError):
                news = msgspec.json.decode(record.value, type=DiscoveryNews)
                self._relayed_at[news.replica_id] = max(news.at, self._relayed_at.get(news.replica_id, -1))
                self._view.take(news)

    # --- relaying ----------------------------------------------------------------

    async def _relay(self) -> None:
        now_s = monotonic_s()
        records = [self._record_of(news) for news in self._due(now_s)]
        if records or now_s - self._beat_s >= HEARTBEAT_S:
            self._beat_s = now_s
            records.append(KeyedRecord(key=RELAY_KEY_PREFIX + self._daemon_id, value=b"1"))
            encoded = [self._log.encode_keyed(record) for record in records]
            try:
                await self._log.append(self._relay_topic, 0, encoded)
            except (LogError, LogAppendUnknown) as error:
                logger.info("relay_failed", extra={"error": str(error)})
                return
        for record in records:
            self._unrelayed.pop(record.key, None)

    def _due(self, now_s: float) -> list[DiscoveryNews]:
        """Return the changes that no relay before this one has appended in its time."""
        fresh = {name for name, heard_s in self._relays_heard.items() if now_s - heard_s < RELAY_SILENT_S}
        order = self._first(fresh | {self._daemon_id})
        delay_s = order.index(self._daemon_id) * RANK_DELAY_S if self._daemon_id in order else 0.0
        due = []
        for replica_id, (news, since_s) in list(self._unrelayed.items()):
            if self._relayed_at.get(replica_id, -1) >= news.at:
                del self._unrelayed[replica_id]
            elif now_s - since_s >= delay_s:
                due.append(news)
        return due

    def _record_of(self, news: DiscoveryNews) -> KeyedRecord:
        return KeyedRecord(key=news.replica_id, value=msgspec.json.encode(news))
