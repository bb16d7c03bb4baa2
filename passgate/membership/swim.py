"""Membership protocol as a pure state machine: messages and time in, messages out.

SWIM (Das, Gupta and Motivala, 2002) with the changes of Lifeguard: probe, indirect
probe, suspicion, refutation under a higher incarnation, news carried on other
messages, and anti-entropy by table digests.  It serves liveness only: no promise of
passgate depends on two daemons having the same view.

>>> from random import Random
>>> one = Swim(MemberInfo(member_id="a", address="h:1", zone="z"), MembershipConfig(), Random(1))
>>> two = Swim(MemberInfo(member_id="b", address="h:2", zone="z"), MembershipConfig(), Random(2))
>>> [joining] = two.join(["h:1"], now_s=0.0)
>>> [reply] = one.receive("h:2", joining.message, now_s=0.0)
>>> _ = two.receive("h:1", reply.message, now_s=0.0)
>>> sorted(member.member_id for member in two.members())
['a', 'b']
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

import msgspec

from passgate.membership.anti_entropy import AntiEntropy, SyncMessage
from passgate.membership.config import MembershipConfig
from passgate.membership.counters import SwimCounters
from passgate.membership.held_revisions import HeldRevisions
from passgate.membership.messages import (
    Ack,
    AliveNews,
    DeadNews,
    Gossip,
    Join,
    LeftNews,
    MemberInfo,
    MemberState,
    Message,
    Nack,
    News,
    Outgoing,
    Ping,
    PingRequest,
    SuspectNews,
    SyncBuckets,
    SyncDigest,
    SyncRows,
)
from passgate.membership.news_queue import NewsQueue
from passgate.membership.probes import Prober
from passgate.membership.suspicion import LocalHealth, Suspicions
from passgate.membership.table import MemberTable, alive_news
from passgate.membership.targets import Targets

REAP_PERIOD_S = 10.0

_LIVING = (MemberState.ALIVE, MemberState.SUSPECT)


class Swim:
    """One daemon's part of the membership protocol; does no I/O and reads no clock."""

    def __init__(self, self_info: MemberInfo, config: MembershipConfig, random: Random) -> None:
        self._config = config
        self._random = random
        self._id = self_info.member_id
        self._table = MemberTable()
        self._table.put(self_info, 0.0)
        self._queue = NewsQueue(config.retransmit_multiplier)
        self._queue.add(alive_news(self_info))
        self._health = LocalHealth(config.health_maximum)
        self._targets = Targets(
            self._id,
            self_info.zone,
            self._table.all,
            random,
            config.own_zone_share,
            config.contacts_per_zone,
        )
        self._prober = Prober(config, self._health, random)
        self._anti_entropy = AntiEntropy(self._table, self._targets, config, random)
        self._suspicions = Suspicions(config.suspicion_multiplier, config.probe_period_s)
        self._changes: list[MemberInfo] = []
        self._seeds: set[str] = set()
        self._held = HeldRevisions()
        self._held_rounds = 0
        self._expected_tick_s: float | None = None
        self._next_probe_s = 0.0
        self._next_gossip_s = 0.0
        self._next_reap_s = 0.0
        self._next_join_s = 0.0
        self.counters = SwimCounters()

    # --- views ------------------------------------------------------------------------

    @property
    def self_info(self) -> MemberInfo:
        """Return this daemon's own entry."""
        view = self._table.get(self._id)
        assert view is not None, "the own entry is never reaped"
        return view

    @property
    def held(self) -> HeldRevisions:
        """Return the revisions held here and by peers that are ahead."""
        return self._held

    @property
    def health_multiplier(self) -> int:
        """Return how much longer than usual this daemon waits before it accuses."""
        return self._health.multiplier

    def members(self) -> list[MemberInfo]:
        """Return every known member, dead and departed ones included."""
        return self._table.all()

    def get(self, member_id: str) -> MemberInfo | None:
        """Return the view of one member."""
        return self._table.get(member_id)

    def digest(self) -> int:
        """Return the hash of the table of living members."""
        return self._table.digest()

    def take_changes(self) -> list[MemberInfo]:
        """Return the views that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # --- what the daemon tells ------------------------------------------------------------

    def set_metadata(self, key: str, value: str) -> None:
        """Publish a small value with the own entry."""
        view = self.self_info
        if view.metadata.get(key) == value:
            return
        metadata = {**view.metadata, key: value}
        self._announce(
            msgspec.structs.replace(view, metadata=metadata, metadata_version=view.metadata_version + 1)
        )

    def set_held(self, key: str, revision: int) -> None:
        """Tell peers that this daemon holds ``revision`` of ``key``; it never goes back."""
        if self._held.set(key, revision):
            transmissions = self._queue.limit(len(self._table))
            self._held_rounds = math.ceil(transmissions / self._config.gossip_fanout)

    def join(self, addresses: Iterable[str], now_s: float) -> list[Outgoing]:
        """Contact daemons at ``addresses``; asked again until one has answered."""
        known = {view.address for view in self._table.all() if view.state in _LIVING}
        fresh = [address for address in addresses if address not in known]
        self._seeds.update(fresh)
        self._next_join_s = now_s
        return self._ask_seeds(now_s)

    def learn(self, members: Iterable[MemberInfo], now_s: float) -> None:
        """Take over members from a list, without spreading them."""
        for member in members:
            self._apply(alive_news(member), now_s, spread=False)

    def leave(self, now_s: float) -> list[Outgoing]:
        """Announce a planned leave; ticks go on spreading it until the daemon closes."""
        view = self.self_info
        if view.state is MemberState.LEFT:
            return []
        self._table.put(msgspec.structs.replace(view, state=MemberState.LEFT), now_s)
        self._queue.add(LeftNews(self._id, view.incarnation))
        return self._gossip(now_s)

    # --- time ---------------------------------------------------------------------------------

    def next_wakeup_s(self) -> float:
        """Return when :meth:`tick` is due next."""
        due = [self._next_probe_s, self._next_reap_s, self._anti_entropy.next_due_s()]
        if self._queue or self._held_rounds:
            due.append(self._next_gossip_s)
        if self._seeds:
            due.append(self._next_join_s)
        due += [self._suspicions.next_deadline_s(), self._prober.next_deadline_s()]
        return min(due)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Do all that is due at ``now_s``."""
        self._notice_pause(now_s)
        out: list[Outgoing] = []
        out += self._finish_probes(now_s)
        self._end_suspicions(now_s)
        if now_s >= self._next_probe_s:
            out += self._probe(now_s)
        if now_s >= self._next_gossip_s and (self._queue or self._held_rounds):
            out += self._gossip(now_s)
        if now_s >= self._next_reap_s:
            self._reap(now_s)
        out += self._anti_entropy.take_due(now_s, self._held.own)
        if self._seeds and now_s >= self._next_join_s:
            out += self._ask_seeds(now_s)
        self._expected_tick_s = self.next_wakeup_s()
        return out

    def _notice_pause(self, now_s: float) -> None:
        """Shift deadlines by the length of a pause: answers may wait unread meanwhile."""
        expected_s = self._expected_tick_s
        if expected_s is None:
            self._spread_timers(now_s)
            return
        late_s = now_s - expected_s
        if late_s <= self._config.pause_threshold_s:
            return
        self.counters.pauses += 1
        self._health.worse()
        # The timer that woke us may be a deadline itself; leave time to read what waits.
        late_s += self._config.probe_timeout_s
        self._prober.shift(late_s)
        self._suspicions.shift(late_s)

    def _spread_timers(self, now_s: float) -> None:
        self._next_probe_s = now_s + self._random.random() * self._config.probe_period_s
        self._anti_entropy.spread(now_s)

    def _later(self, now_s: float, period_s: float) -> float:
        return now_s + period_s * self._random.uniform(0.9, 1.1)

    # --- failure detection ----------------------------------------------------------------------

    def _probe(self, now_s: float) -> list[Outgoing]:
        period_s = self._config.probe_period_s * self._health.multiplier
        self._next_probe_s = self._later(now_s, period_s)
        target = self._targets.next_probe(self._suspicions.doubtful_zones())
        if target is None:
            return []
        sequence = self._prober.start(target, now_s)
        return [Outgoing(target.address, self._ping(sequence, target.member_id))]

    def _ping(self, sequence: int, target_id: str) -> Ping:
        # A suspect is told first of all that it is suspected, so that it can refute at once.
        suspicion = self._suspicions.get(target_id)
        news = self._take_news()
        if suspicion is not None:
            accusation = SuspectNews(target_id, suspicion.incarnation, self._id)
            news = (accusation, *(item for item in news if item.member_id != target_id))
        return Ping(sequence, target_id, news, self._held.own)

    def _finish_probes(self, now_s: float) -> list[Outgoing]:
        due = self._prober.take_due(now_s)
        out = [Outgoing(origin.address, Nack(origin.sequence)) for origin in due.nacks]
        for probe in due.unanswered_directly:
            for helper in self._targets.helpers(probe.target, self._config.indirect_probes):
                probe.helpers += 1
                request = PingRequest(
                    probe.sequence,
                    probe.target.member_id,
                    probe.target.address,
                    self._take_news(),
                    self._held.own,
                )
                out.append(Outgoing(helper.address, request))
        for probe in due.failed:
            self._accuse(probe.target.member_id, now_s)
        return out

    def _accuse(self, member_id: str, now_s: float) -> None:
        view = self._table.get(member_id)
        if view is None or view.state not in _LIVING:
            return
        if view.state is MemberState.ALIVE:
            self.counters.suspicions += 1
        self._apply(SuspectNews(member_id, view.incarnation, self._id), now_s)

    def _end_suspicions(self, now_s: float) -> None:
        for suspicion in self._suspicions.run_out(now_s):
            self.counters.deaths += 1
            self._apply(DeadNews(suspicion.member_id, suspicion.incarnation), now_s)

    # --- receiving ----------------------------------------------------------------------------------

    def receive(self, sender: str, message: Message, now_s: float) -> list[Outgoing]:
        """Handle a message from the peer port at ``sender``."""
        for news in getattr(message, "news", ()):
            self._apply(news, now_s)
        self._held.note(sender, getattr(message, "held", {}))
        match message:
            case Ping():
                return self._answer_ping(sender, message)
            case Ack():
                origin = self._prober.answered(message.sequence)
                if origin is None:
                    return []
                answer = Ack(origin.sequence, self._take_news(), self._held.own)
                return [Outgoing(origin.address, answer)]
            case Nack():
                self._prober.helper_answered(message.sequence)
                return []
            case PingRequest():
                sequence = self._prober.start_relay(sender, message.sequence, now_s)
                return [Outgoing(message.target_address, self._ping(sequence, message.target))]
            case Join():
                return [Outgoing(sender, self._anti_entropy.whole_table(self._held.own))]
            case SyncDigest() | SyncBuckets() | SyncRows():
                return self._receive_sync(sender, message, now_s)
            case _:
                return []

    def _answer_ping(self, sender: str, ping: Ping) -> list[Outgoing]:
        if ping.target != self._id:
            return []
        # Who counts as dead here and pings us learns it at once, and refutes.
        news = (*self._table.dead_at(sender), *self._take_news())
        return [Outgoing(sender, Ack(ping.sequence, news, self._held.own))]

    # --- news -----------------------------------------------------------------------------------------

    def _apply(self, news: News, now_s: float, spread: bool = True) -> None:
        if news.member_id == self._id:
            self._hear_of_self(news)
            return
        changed = self._table.merge(news, now_s)
        if changed is None:
            self._hear_again(news)
            return
        self._changes.append(changed)
        self._targets.invalidate()
        if isinstance(news, SuspectNews):
            self._suspicions.start(news, changed.zone, self._table.living, now_s)
        else:
            self._suspicions.end(news.member_id)
        if changed.state not in _LIVING:
            self._held.drop_peer(changed.address)
        if spread:
            self._queue.add(news)

    def _hear_again(self, news: News) -> None:
        """Count a further accuser; contradict news about a member that is buried here."""
        self._queue.heard(news)
        if isinstance(news, SuspectNews):
            if self._suspicions.confirm(news):
                self._queue.add(news)
        elif isinstance(news, AliveNews) and self._table.get(news.member_id) is None:
            buried = self._table.tombstone(news.member_id)
            if buried is not None:
                self._queue.add(DeadNews(news.member_id, buried))

    def _hear_of_self(self, news: News) -> None:
        view = self.self_info
        if view.state is MemberState.LEFT or news.incarnation < view.incarnation:
            return
        if isinstance(news, AliveNews):
            if news.address != view.address:
                self.counters.identity_conflicts += 1
            if news.incarnation == view.incarnation:
                return
        else:
            self.counters.refutations += 1
        if isinstance(news, SuspectNews):
            self._health.worse()
        self._announce(msgspec.structs.replace(view, incarnation=news.incarnation + 1))

    def _announce(self, view: MemberInfo) -> None:
        self._table.put(view, 0.0)
        if view.state in _LIVING:
            self._queue.add(alive_news(view))

    def _take_news(self) -> tuple[News, ...]:
        return self._queue.take(len(self._table), self._config.news_bytes)

    # --- dissemination -----------------------------------------------------------------------------------

    def _gossip(self, now_s: float) -> list[Outgoing]:
        self._next_gossip_s = now_s + self._config.gossip_period_s
        telling_held = self._held_rounds > 0
        self._held_rounds = max(0, self._held_rounds - 1)
        out = []
        for peer in self._targets.gossip(self._config.gossip_fanout):
            news = self._take_news()
            if news or telling_held:
                out.append(Outgoing(peer.address, Gossip(news, self._held.own)))
        return out

    def _ask_seeds(self, now_s: float) -> list[Outgoing]:
        self._next_join_s = self._later(now_s, self._config.join_retry_s)
        self._seeds.discard(self.self_info.address)
        seeds = sorted(self._seeds)
        chosen = self._random.sample(seeds, min(self._config.join_fanout, len(seeds)))
        joining = Join((alive_news(self.self_info),), self._held.own)
        return [Outgoing(address, joining) for address in chosen]

    def _receive_sync(self, sender: str, message: SyncMessage, now_s: float) -> list[Outgoing]:
        answers, news = self._anti_entropy.receive(sender, message, now_s, self._held.own)
        # A whole table answers a join; its rows are news to the joining daemon alone.
        joining = isinstance(message, SyncRows) and not message.buckets
        for item in news:
            self._apply(item, now_s, spread=not joining)
        if joining:
            self._seeds.clear()
        return answers

    def _reap(self, now_s: float) -> None:
        self._next_reap_s = now_s + REAP_PERIOD_S
        for member_id in self._table.reap(now_s, self._config.gone_retention_s):
            self._queue.discard(member_id)
