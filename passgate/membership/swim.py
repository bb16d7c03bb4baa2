"""Membership protocol as a state machine without I/O: messages and time in, messages out.

Implements SWIM (Das, Gupta and Motivala, 2002) with the extensions of Lifeguard: probes,
indirect probes, suspicions, refutation under a higher incarnation, updates carried on
other messages, and anti-entropy by table digests.  Views are eventually consistent: no
guarantee of passgate may depend on two daemons having the same view.

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
from passgate.membership.messages import (
    Ack,
    AliveUpdate,
    DeadUpdate,
    Gossip,
    Join,
    LeftUpdate,
    MemberInfo,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Outgoing,
    Ping,
    PingRequest,
    SuspectUpdate,
    SyncBuckets,
    SyncDigest,
    SyncRows,
)
from passgate.membership.peer_selector import PeerSelector
from passgate.membership.probes import ProbeTracker
from passgate.membership.revision_tracker import RevisionTracker
from passgate.membership.suspicion import LocalHealth, Suspicions
from passgate.membership.table import MemberTable, alive_update
from passgate.membership.update_queue import UpdateQueue

REAP_INTERVAL_S = 10.0

_LIVING = (MemberState.ALIVE, MemberState.SUSPECT)


class Swim:
    """One daemon's instance of the membership protocol; does no I/O and reads no clock."""

    def __init__(self, self_info: MemberInfo, config: MembershipConfig, random: Random) -> None:
        self._config = config
        self._random = random
        self._id = self_info.member_id
        self._table = MemberTable()
        self._table.put(self_info, 0.0)
        self._update_queue = UpdateQueue(config.retransmit_multiplier)
        self._update_queue.add(alive_update(self_info))
        self._local_health = LocalHealth(config.maximum_health_score)
        self._peer_selector = PeerSelector(
            self._id,
            self_info.zone,
            self._table.views,
            random,
            config.own_zone_share,
            config.contacts_per_zone,
        )
        self._probe_tracker = ProbeTracker(config, self._local_health, random)
        self._anti_entropy = AntiEntropy(self._table, self._peer_selector, config, random)
        self._suspicions = Suspicions(config.suspicion_multiplier, config.probe_period_s)
        self._changes: list[MemberInfo] = []
        self._seeds: set[str] = set()
        self._revision_tracker = RevisionTracker()
        self._revision_gossip_rounds = 0
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
    def revision_tracker(self) -> RevisionTracker:
        """Return the revisions of this daemon and of peers that are ahead."""
        return self._revision_tracker

    @property
    def health_multiplier(self) -> int:
        """Return the factor by which this daemon waits longer before it suspects a member."""
        return self._local_health.multiplier

    def members(self) -> list[MemberInfo]:
        """Return every known member, dead and departed ones included."""
        return self._table.views()

    def get(self, member_id: str) -> MemberInfo | None:
        """Return the view of one member, None when it is unknown."""
        return self._table.get(member_id)

    def digest(self) -> int:
        """Return the hash of the table of living members."""
        return self._table.digest()

    def take_changes(self) -> list[MemberInfo]:
        """Return the views that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # --- published values and membership changes ------------------------------------------

    def set_metadata(self, key: str, value: str) -> None:
        """Publish a small value with this daemon's own entry."""
        view = self.self_info
        if view.metadata.get(key) == value:
            return
        metadata = {**view.metadata, key: value}
        self._publish_own_entry(
            msgspec.structs.replace(view, metadata=metadata, metadata_version=view.metadata_version + 1)
        )

    def set_revision(self, key: str, revision: int) -> None:
        """Publish to peers that this daemon has applied ``revision`` of ``key``; ignores a lower one."""
        if self._revision_tracker.set_own(key, revision):
            transmissions = self._update_queue.transmission_limit(len(self._table))
            self._revision_gossip_rounds = math.ceil(transmissions / self._config.gossip_fanout)

    def join(self, addresses: Iterable[str], now_s: float) -> list[Outgoing]:
        """Contact daemons at ``addresses``, again and again until one has sent its table."""
        known = {view.address for view in self._table.views() if view.state in _LIVING}
        unknown = [address for address in addresses if address not in known]
        self._seeds.update(unknown)
        self._next_join_s = now_s
        return self._send_joins(now_s)

    def add_members(self, members: Iterable[MemberInfo], now_s: float) -> None:
        """Add members from a list as alive, without spreading them."""
        for member in members:
            self._apply(alive_update(member), now_s, spread=False)

    def leave(self, now_s: float) -> list[Outgoing]:
        """Announce that this daemon leaves; later ticks keep spreading it."""
        view = self.self_info
        if view.state is MemberState.LEFT:
            return []
        self._table.put(msgspec.structs.replace(view, state=MemberState.LEFT), now_s)
        self._update_queue.add(LeftUpdate(self._id, view.incarnation))
        return self._gossip(now_s)

    # --- time ---------------------------------------------------------------------------------

    def next_wakeup_s(self) -> float:
        """Return when :meth:`tick` is due next."""
        due = [self._next_probe_s, self._next_reap_s, self._anti_entropy.next_due_s()]
        if self._update_queue or self._revision_gossip_rounds:
            due.append(self._next_gossip_s)
        if self._seeds:
            due.append(self._next_join_s)
        due += [self._suspicions.next_deadline_s(), self._probe_tracker.next_deadline_s()]
        return min(due)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Do what is due at ``now_s`` and return the messages to send."""
        self._compensate_pause(now_s)
        out: list[Outgoing] = []
        out += self._handle_due_probes(now_s)
        self._declare_dead(now_s)
        if now_s >= self._next_probe_s:
            out += self._probe(now_s)
        if now_s >= self._next_gossip_s and (self._update_queue or self._revision_gossip_rounds):
            out += self._gossip(now_s)
        if now_s >= self._next_reap_s:
            self._reap(now_s)
        out += self._anti_entropy.start_due(now_s, self._revision_tracker.own_revisions)
        if self._seeds and now_s >= self._next_join_s:
            out += self._send_joins(now_s)
        self._expected_tick_s = self.next_wakeup_s()
        return out

    def _compensate_pause(self, now_s: float) -> None:
        """Postpone deadlines after a pause of this process, since answers may be unread."""
        expected_s = self._expected_tick_s
        if expected_s is None:
            self._randomize_timers(now_s)
            return
        delay_s = now_s - expected_s
        if delay_s <= self._config.pause_threshold_s:
            return
        self.counters.pauses += 1
        self._local_health.degrade()
        # The due timer may itself be a deadline; allow time to read the pending answers.
        delay_s += self._config.probe_timeout_s
        self._probe_tracker.postpone_deadlines(delay_s)
        self._suspicions.postpone_deadlines(delay_s)

    def _randomize_timers(self, now_s: float) -> None:
        self._next_probe_s = now_s + self._random.random() * self._config.probe_period_s
        self._anti_entropy.randomize_timers(now_s)

    def _jittered_s(self, now_s: float, period_s: float) -> float:
        return now_s + period_s * self._random.uniform(0.9, 1.1)

    # --- failure detection ----------------------------------------------------------------------

    def _probe(self, now_s: float) -> list[Outgoing]:
        period_s = self._config.probe_period_s * self._local_health.multiplier
        self._next_probe_s = self._jittered_s(now_s, period_s)
        target = self._peer_selector.next_probe_target(self._suspicions.suspect_zones())
        if target is None:
            return []
        sequence = self._probe_tracker.start(target, now_s)
        return [Outgoing(target.address, self._ping(sequence, target.member_id))]

    def _ping(self, sequence: int, target_id: str) -> Ping:
        # The suspicion of the target comes first in the message, so that it can refute at once.
        suspicion = self._suspicions.get(target_id)
        updates = self._take_updates()
        if suspicion is not None:
            accusation = SuspectUpdate(target_id, suspicion.incarnation, self._id)
            updates = (accusation, *(update for update in updates if update.member_id != target_id))
        return Ping(sequence, target_id, updates, self._revision_tracker.own_revisions)

    def _handle_due_probes(self, now_s: float) -> list[Outgoing]:
        due = self._probe_tracker.take_due(now_s)
        out = [Outgoing(requester.address, Nack(requester.sequence)) for requester in due.requesters_to_nack]
        for probe in due.without_direct_ack:
            for helper in self._peer_selector.probe_helpers(probe.target, self._config.indirect_probes):
                probe.helper_count += 1
                request = PingRequest(
                    probe.sequence,
                    probe.target.member_id,
                    probe.target.address,
                    self._take_updates(),
                    self._revision_tracker.own_revisions,
                )
                out.append(Outgoing(helper.address, request))
        for probe in due.failed:
            self._suspect(probe.target.member_id, now_s)
        return out

    def _suspect(self, member_id: str, now_s: float) -> None:
        view = self._table.get(member_id)
        if view is None or view.state not in _LIVING:
            return
        if view.state is MemberState.ALIVE:
            self.counters.suspicions += 1
        self._apply(SuspectUpdate(member_id, view.incarnation, self._id), now_s)

    def _declare_dead(self, now_s: float) -> None:
        for suspicion in self._suspicions.expired(now_s):
            self.counters.deaths += 1
            self._apply(DeadUpdate(suspicion.member_id, suspicion.incarnation), now_s)

    # --- receiving ----------------------------------------------------------------------------------

    def receive(self, sender: str, message: Message, now_s: float) -> list[Outgoing]:
        """Handle a message from the peer port at ``sender``."""
        for update in getattr(message, "updates", ()):
            self._apply(update, now_s)
        self._revision_tracker.record_peer(sender, getattr(message, "revisions", {}))
        match message:
            case Ping():
                return self._answer_ping(sender, message)
            case Ack():
                requester = self._probe_tracker.record_ack(message.sequence)
                if requester is None:
                    return []
                answer = Ack(requester.sequence, self._take_updates(), self._revision_tracker.own_revisions)
                return [Outgoing(requester.address, answer)]
            case Nack():
                self._probe_tracker.record_nack(message.sequence)
                return []
            case PingRequest():
                sequence = self._probe_tracker.start_relay(sender, message.sequence, now_s)
                return [Outgoing(message.target_address, self._ping(sequence, message.target))]
            case Join():
                return [Outgoing(sender, self._anti_entropy.full_table(self._revision_tracker.own_revisions))]
            case SyncDigest() | SyncBuckets() | SyncRows():
                return self._receive_sync(sender, message, now_s)
            case _:
                return []

    def _answer_ping(self, sender: str, ping: Ping) -> list[Outgoing]:
        if ping.target != self._id:
            return []
        # A sender that is dead in this daemon's view learns so from the Ack, and can refute.
        updates = (*self._table.dead_update_at(sender), *self._take_updates())
        return [Outgoing(sender, Ack(ping.sequence, updates, self._revision_tracker.own_revisions))]

    # --- updates --------------------------------------------------------------------------------------

    def _apply(self, update: MemberUpdate, now_s: float, spread: bool = True) -> None:
        if update.member_id == self._id:
            self._apply_update_about_self(update)
            return
        changed = self._table.merge(update, now_s)
        if changed is None:
            self._handle_known_update(update)
            return
        self._changes.append(changed)
        self._peer_selector.invalidate()
        if isinstance(update, SuspectUpdate):
            self._suspicions.start(update, changed.zone, self._table.living_count, now_s)
        else:
            self._suspicions.end(update.member_id)
        if changed.state not in _LIVING:
            self._revision_tracker.forget_peer(changed.address)
        if spread:
            self._update_queue.add(update)

    def _handle_known_update(self, update: MemberUpdate) -> None:
        """Handle an update that changes no view.

        Counts a further accuser of a suspect, and answers an outdated "alive" of a reaped
        member with its death.
        """
        self._update_queue.record_received(update)
        if isinstance(update, SuspectUpdate):
            if self._suspicions.confirm(update):
                self._update_queue.add(update)
        elif isinstance(update, AliveUpdate) and self._table.get(update.member_id) is None:
            tombstone_incarnation = self._table.tombstone_incarnation(update.member_id)
            if tombstone_incarnation is not None:
                self._update_queue.add(DeadUpdate(update.member_id, tombstone_incarnation))

    def _apply_update_about_self(self, update: MemberUpdate) -> None:
        view = self.self_info
        if view.state is MemberState.LEFT or update.incarnation < view.incarnation:
            return
        if isinstance(update, AliveUpdate):
            if update.address != view.address:
                self.counters.identity_conflicts += 1
            if update.incarnation == view.incarnation:
                return
        else:
            self.counters.refutations += 1
        if isinstance(update, SuspectUpdate):
            self._local_health.degrade()
        self._publish_own_entry(msgspec.structs.replace(view, incarnation=update.incarnation + 1))

    def _publish_own_entry(self, view: MemberInfo) -> None:
        self._table.put(view, 0.0)
        if view.state in _LIVING:
            self._update_queue.add(alive_update(view))

    def _take_updates(self) -> tuple[MemberUpdate, ...]:
        return self._update_queue.take(len(self._table), self._config.maximum_update_bytes)

    # --- dissemination -----------------------------------------------------------------------------------

    def _gossip(self, now_s: float) -> list[Outgoing]:
        self._next_gossip_s = now_s + self._config.gossip_period_s
        announces_revisions = self._revision_gossip_rounds > 0
        self._revision_gossip_rounds = max(0, self._revision_gossip_rounds - 1)
        out = []
        for peer in self._peer_selector.gossip_targets(self._config.gossip_fanout):
            updates = self._take_updates()
            if updates or announces_revisions:
                out.append(Outgoing(peer.address, Gossip(updates, self._revision_tracker.own_revisions)))
        return out

    def _send_joins(self, now_s: float) -> list[Outgoing]:
        self._next_join_s = self._jittered_s(now_s, self._config.join_retry_s)
        self._seeds.discard(self.self_info.address)
        seeds = sorted(self._seeds)
        chosen = self._random.sample(seeds, min(self._config.join_fanout, len(seeds)))
        join = Join((alive_update(self.self_info),), self._revision_tracker.own_revisions)
        return [Outgoing(address, join) for address in chosen]

    def _receive_sync(self, sender: str, message: SyncMessage, now_s: float) -> list[Outgoing]:
        answers, updates = self._anti_entropy.receive(
            sender, message, now_s, self._revision_tracker.own_revisions
        )
        # A full table is the reply to a join; other daemons already know its rows.
        is_join_reply = isinstance(message, SyncRows) and not message.buckets
        for update in updates:
            self._apply(update, now_s, spread=not is_join_reply)
        if is_join_reply:
            self._seeds.clear()
        return answers

    def _reap(self, now_s: float) -> None:
        self._next_reap_s = now_s + REAP_INTERVAL_S
        for member_id in self._table.reap(now_s, self._config.gone_retention_s):
            self._update_queue.discard(member_id)
