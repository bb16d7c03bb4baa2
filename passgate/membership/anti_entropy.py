"""Comparison of tables: a digest first, then the digests of parts, then differing rows.

In agreement a comparison is one small message.  It catches whatever news was lost
and merges clusters that were parted.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from passgate.membership.config import MembershipConfig
from passgate.membership.messages import (
    Held,
    MemberState,
    News,
    Outgoing,
    SyncBuckets,
    SyncDigest,
    SyncRows,
)
from passgate.membership.table import MemberTable
from passgate.membership.targets import Targets

SyncMessage = SyncDigest | SyncBuckets | SyncRows


class AntiEntropy:
    """Starts comparisons, soon after a difference and seldom in agreement, and answers them."""

    def __init__(
        self, table: MemberTable, targets: Targets, config: MembershipConfig, random: Random
    ) -> None:
        self._table = table
        self._targets = targets
        self._config = config
        self._random = random
        self._period_s = config.sync_period_minimum_s
        self._next_compare_s = 0.0
        self._next_reconnect_s = 0.0

    def spread(self, now_s: float) -> None:
        """Choose random first times, so that daemons started together do not act together."""
        self._next_compare_s = now_s + self._random.random() * self._config.sync_period_minimum_s
        self._next_reconnect_s = now_s + self._random.random() * self._config.reconnect_period_s

    def next_due_s(self) -> float:
        """Return when :meth:`take_due` has something to do next."""
        return min(self._next_compare_s, self._next_reconnect_s)

    def take_due(self, now_s: float, held: Held) -> list[Outgoing]:
        """Start the comparisons due at ``now_s``."""
        addresses: list[str] = []
        if now_s >= self._next_compare_s:
            addresses += self._compare(now_s)
        if now_s >= self._next_reconnect_s:
            addresses += self._reconnect(now_s)
        greeting = SyncDigest(self._table.digest(), held)
        return [Outgoing(address, greeting) for address in addresses]

    def _compare(self, now_s: float) -> list[str]:
        self._next_compare_s = now_s + self._period_s * self._random.uniform(0.9, 1.1)
        self._period_s = min(self._config.sync_period_s, self._period_s * 2)
        peer = self._targets.sync_peer()
        return [] if peer is None else [peer.address]

    def _reconnect(self, now_s: float) -> list[str]:
        """Greet one dead member, so that parted clusters find each other again."""
        self._next_reconnect_s = now_s + self._config.reconnect_period_s * self._random.uniform(0.9, 1.1)
        dead = [view for view in self._table.all() if view.state is MemberState.DEAD]
        return [self._random.choice(dead).address] if dead else []

    def receive(
        self, sender: str, message: SyncMessage, now_s: float, held: Held
    ) -> tuple[list[Outgoing], Sequence[News]]:
        """Return the answers to a message and the news in it, still to be applied."""
        if isinstance(message, SyncDigest):
            if message.digest == self._table.digest():
                return [], ()
            return [Outgoing(sender, SyncBuckets(self._table.bucket_digests()))], ()
        self._compare_soon(now_s)
        if isinstance(message, SyncBuckets):
            return self._send_differing(sender, message.digests, held), ()
        answer = []
        if message.reply:
            answer.append(Outgoing(sender, self._rows(message.buckets, reply=False, held=held)))
        return answer, (*message.alive, *message.gone)

    def whole_table(self, held: Held) -> SyncRows:
        """Return the whole table, for a joining daemon."""
        return self._rows((), reply=False, held=held)

    def _compare_soon(self, now_s: float) -> None:
        # A difference seldom comes alone.
        self._period_s = self._config.sync_period_minimum_s
        self._next_compare_s = min(self._next_compare_s, now_s + self._period_s)

    def _send_differing(self, sender: str, digests: Sequence[int], held: Held) -> list[Outgoing]:
        own = self._table.bucket_digests()
        differing = tuple(
            bucket for bucket, digest in enumerate(digests[: len(own)]) if digest != own[bucket]
        )
        if not differing:
            return []
        return [Outgoing(sender, self._rows(differing, reply=True, held=held))]

    def _rows(self, buckets: tuple[int, ...], reply: bool, held: Held) -> SyncRows:
        alive, gone = self._table.rows(buckets)
        return SyncRows(buckets, alive, gone, reply, held)
