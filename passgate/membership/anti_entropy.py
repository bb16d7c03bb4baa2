"""Anti-entropy: compares member tables by digest, then bucket digests, then differing rows.

A comparison of equal tables costs one small message.  Comparisons deliver updates that
gossip lost, and merge clusters after a network partition.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from passgate.membership.config import MembershipConfig
from passgate.membership.messages import (
    MemberState,
    MemberUpdate,
    Outgoing,
    RevisionByKey,
    SyncBuckets,
    SyncDigest,
    SyncRows,
)
from passgate.membership.peer_selector import PeerSelector
from passgate.membership.table import MemberTable

SyncMessage = SyncDigest | SyncBuckets | SyncRows


class AntiEntropy:
    """Starts table comparisons and answers those of peers.

    Comparisons are frequent after a difference and become less frequent while tables agree.
    """

    def __init__(
        self, table: MemberTable, peer_selector: PeerSelector, config: MembershipConfig, random: Random
    ) -> None:
        self._table = table
        self._peer_selector = peer_selector
        self._config = config
        self._random = random
        self._period_s = config.sync_period_minimum_s
        self._next_compare_s = 0.0
        self._next_reconnect_s = 0.0

    def randomize_timers(self, now_s: float) -> None:
        """Set random first times, so that daemons started together do not act at the same time."""
        self._next_compare_s = now_s + self._random.random() * self._config.sync_period_minimum_s
        self._next_reconnect_s = now_s + self._random.random() * self._config.reconnect_period_s

    def next_due_s(self) -> float:
        """Return when the next comparison is due."""
        return min(self._next_compare_s, self._next_reconnect_s)

    def start_due(self, now_s: float, revisions: RevisionByKey) -> list[Outgoing]:
        """Return the messages that start the comparisons due at ``now_s``."""
        addresses: list[str] = []
        if now_s >= self._next_compare_s:
            addresses += self._compare(now_s)
        if now_s >= self._next_reconnect_s:
            addresses += self._reconnect(now_s)
        digest_message = SyncDigest(self._table.digest(), revisions)
        return [Outgoing(address, digest_message) for address in addresses]

    def _compare(self, now_s: float) -> list[str]:
        self._next_compare_s = now_s + self._period_s * self._random.uniform(0.9, 1.1)
        self._period_s = min(self._config.sync_period_s, self._period_s * 2)
        peer = self._peer_selector.sync_peer()
        return [] if peer is None else [peer.address]

    def _reconnect(self, now_s: float) -> list[str]:
        """Return the address of one dead member, which may live on in a partitioned cluster."""
        self._next_reconnect_s = now_s + self._config.reconnect_period_s * self._random.uniform(0.9, 1.1)
        dead = [view for view in self._table.views() if view.state is MemberState.DEAD]
        return [self._random.choice(dead).address] if dead else []

    def receive(
        self, sender: str, message: SyncMessage, now_s: float, revisions: RevisionByKey
    ) -> tuple[list[Outgoing], Sequence[MemberUpdate]]:
        """Return the replies to a message and the updates in it, which the caller must apply."""
        if isinstance(message, SyncDigest):
            if message.digest == self._table.digest():
                return [], ()
            return [Outgoing(sender, SyncBuckets(self._table.bucket_digests()))], ()
        self._compare_soon(now_s)
        if isinstance(message, SyncBuckets):
            return self._differing_rows(sender, message.digests, revisions), ()
        reply = []
        if message.reply:
            reply.append(Outgoing(sender, self._rows(message.buckets, reply=False, revisions=revisions)))
        return reply, (*message.alive, *message.gone)

    def full_table(self, revisions: RevisionByKey) -> SyncRows:
        """Return the rows of all buckets, for a joining daemon."""
        return self._rows((), reply=False, revisions=revisions)

    def _compare_soon(self, now_s: float) -> None:
        # Further differences are likely after the first one.
        self._period_s = self._config.sync_period_minimum_s
        self._next_compare_s = min(self._next_compare_s, now_s + self._period_s)

    def _differing_rows(
        self, sender: str, digests: Sequence[int], revisions: RevisionByKey
    ) -> list[Outgoing]:
        own_digests = self._table.bucket_digests()
        differing = tuple(
            bucket
            for bucket, digest in enumerate(digests[: len(own_digests)])
            if digest != own_digests[bucket]
        )
        if not differing:
            return []
        return [Outgoing(sender, self._rows(differing, reply=True, revisions=revisions))]

    def _rows(self, buckets: tuple[int, ...], reply: bool, revisions: RevisionByKey) -> SyncRows:
        alive, gone = self._table.rows(buckets)
        return SyncRows(buckets, alive, gone, reply, revisions)
