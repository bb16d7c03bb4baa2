"""Lease-based leadership: one daemon at a time, the leader, starts orders to replicas.

A claim on the log is accepted if it names the last accepted claim and the leader's last record; its offset
is the fencing token.  Each batch that the leader appends renews the lease.  The leader's orders leave only
within a part of the lease after the sending of a batch that it has read back.  Each order carries this limit,
which is checked once its connection is ready.

Other daemons claim if the leadership was released, after a longer silence, or once the leader's process is
known to have been replaced.  A daemon that led before the last leader waits for a whole lease since then,
also in a new process: two holders must not alternate in sending orders within a lease.  A leader that has not
been able to read the log for a whole lease falls silent, so that its lease expires.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, LeadershipLost, LeadershipTaken
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import WriterStatus
from passgate.jobs.records import Batch, LeaderClaimed, daemon_of
from passgate.sharedlog.freshness import MAX_CURRENT_AGE_S, Freshness
from passgate.versions.leadership_projection import LeadershipProjection

TAKEOVER_MARGIN_S = 0.5
"""Silence beyond the lease after which other daemons claim leadership."""
ORDER_LEASE_SHARE = 0.6
"""Share of the lease, counted from the sending of a batch that was read back, in which orders may leave."""
CLAIM_RETRY_S = 0.7
"""Shortest time between two claims; the first has normally been read back by then."""
PROBE_AFTER_S = 0.55
"""Silence after which the leader's address is probed; longer than the leader's renewal interval of 0.4 s."""
HANDOVER_RESERVE_S = 2.0
"""Time of silence for appends that are still under way and for another daemon's claim, in addition to the
silence after which other daemons claim leadership."""
NEVER_S = float("-inf")


class OrderTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What an order carries of the leadership under which it was decided."""

    fence: int
    """Fencing token of the leadership."""
    not_sent_after_s: float
    """Loop time after which the order must not leave this daemon any more, as another may lead."""


class Leadership:
    """One daemon's part in the leadership: renews the lease as leader, and claims it once it has expired."""

    def __init__(
        self,
        projection: LeadershipProjection,
        journal: Journal,
        freshness: Freshness,
        decisions: DecisionLog,
        *,
        lease_s: float,
        status_of: Callable[[str, float], WriterStatus | None] = lambda writer, last_contact_s: None,
    ) -> None:
        """Start without leadership.

        Args:
            projection: the projection of the control topic that decides which daemon leads.
            journal: this daemon's writer of the control topic.
            freshness: freshness of this daemon's view of that topic.
            decisions: decision log.
            lease_s: duration of the lease.
            status_of: returns the status of a writer, given the loop time of its last record, as probed since
                then; None if no probe has finished yet.
        """
        self._status_of = status_of
        self._projection = projection
        self._journal = journal
        self._freshness = freshness
        self._decisions = decisions
        self.lease_s = lease_s
        self.stopping = False
        self._next_claim_s = 0.0
        self._logged_fence: int | None = None
        self._orders_under_way = 0
        self._no_order_under_way = asyncio.Event()
        self._no_order_under_way.set()
        self._confirmed_sent_s = float("-inf")
        """Loop time at which this daemon sent the newest batch that it read back as leader."""
        self._view_lost_s: float | None = None
        """Loop time since which this daemon leads by a view that is older than the lease; None if not."""

    @property
    def leads(self) -> bool:
        """Whether this incarnation of the daemon is the leader by the records read so far."""
        return self._projection.leader == self._journal.writer

    @property
    def fence(self) -> int:
        """Fencing token of the last accepted claim; the leader sends it with its orders."""
        return self._projection.leader_fence

    def known_leader(self) -> str:
        """Return the writer that leads; empty if none does, or if this daemon's view is too old to tell.

        A view is too old once another daemon may have taken over since.
        """
        if self._view_age_s(monotonic_s()) > self.lease_s + TAKEOVER_MARGIN_S:
            return ""
        return self._projection.leader

    def may_order(self) -> bool:
        """Return whether this daemon may start an order now: it leads and confirmed its lease recently."""
        return self.leads and monotonic_s() < self._orders_until_s() and not self.stopping

    def _orders_until_s(self) -> float:
        """Return the loop time until which orders of this leadership may leave, by what is confirmed now."""
        return self._confirmed_sent_s + self.lease_s * ORDER_LEASE_SHARE

    @contextlib.contextmanager
    def sending_order(self) -> Iterator[OrderTerms]:
        """Send an order in this context, with the terms that it yields.

        Must be entered without an await after :meth:`may_order` returned true.  The leadership is not
        released before the context ends.
        """
        self._orders_under_way += 1
        self._no_order_under_way.clear()
        try:
            yield OrderTerms(fence=self.fence, not_sent_after_s=self._orders_until_s())
        finally:
            self._orders_under_way -= 1
            if not self._orders_under_way:
                self._no_order_under_way.set()

    async def stop(self) -> None:
        """Start no more orders and never claim again; return once no order is under way."""
        self.stopping = True
        await self._no_order_under_way.wait()

    def must_be_silent(self) -> bool:
        """Return whether this daemon must append nothing now, so that the lease that it holds expires.

        That is so if it leads by a view of the log that is older than the lease.  Every batch of it would
        renew the lease, also one with other entries, and nobody could start orders.  It ends once others have
        had time to take over, as the other entries must not be withheld longer; the batches renew nothing
        then.

        Must be called at intervals much shorter than the lease.
        """
        now_s = monotonic_s()
        if not self.leads or self.stopping or self._view_age_s(now_s) < self.lease_s:
            self._view_lost_s = None
            return False
        if self._view_lost_s is None:
            self._view_lost_s = now_s
        return now_s - self._view_lost_s < self.lease_s + TAKEOVER_MARGIN_S + HANDOVER_RESERVE_S

    def _view_age_s(self, now_s: float) -> float:
        """Return an upper bound of the age of this daemon's view of the leadership.

        It grows while this daemon does not follow the topic.
        """
        return min(self._freshness.age_s(now_s), now_s - self._confirmed_sent_s)

    def confirm_batch(self, batch: Batch) -> None:
        """Extend the time for orders after a batch of this daemon was read back, if this daemon leads."""
        sent_s = self._journal.take_send_time_s(batch)
        if sent_s is not None and self.leads:
            self._confirmed_sent_s = max(self._confirmed_sent_s, sent_s)

    def renew_or_claim(self) -> None:
        """Renew the lease as leader; otherwise claim it if it is free or has expired.

        A leader whose view is older than the lease renews nothing, as it may have been replaced.  Must be
        called at intervals much shorter than the lease.
        """
        now_s = monotonic_s()
        self._log_change(now_s)
        if self.leads:
            if self._view_age_s(now_s) < self.lease_s:
                self._journal.renew_lease(self.fence)
        elif not self.stopping and now_s >= self._next_claim_s and self._may_claim(now_s):
            self._next_claim_s = now_s + CLAIM_RETRY_S
            claim = LeaderClaimed(
                leader=self._journal.writer,
                after=self._projection.leader_fence,
                seen=self._projection.last_leader_offset,
            )
            self._journal.put(claim)

    def _may_claim(self, now_s: float) -> bool:
        if self._freshness.age_s(now_s) >= MAX_CURRENT_AGE_S or self._would_alternate(now_s):
            return False
        leader = self._projection.leader
        if not leader or daemon_of(leader) == daemon_of(self._journal.writer):
            return True
        silent_s = self._freshness.silence_s(self._projection.last_contact_s_by_writer.get(leader), now_s)
        if silent_s > self.lease_s + TAKEOVER_MARGIN_S:
            return True
        return silent_s > PROBE_AFTER_S and self._was_replaced(leader)

    def _would_alternate(self, now_s: float) -> bool:
        """Whether an order of this daemon could come within a lease of its last, with another's in between.

        That the last leader has stopped or exited does not tell how long ago this daemon led before it.
        """
        replaced_s = self._projection.replaced_s(daemon_of(self._journal.writer))
        return now_s - replaced_s <= self.lease_s

    def _was_replaced(self, leader: str) -> bool:
        """Whether another incarnation of the leader's daemon answers, so the leader's process has exited.

        Without this check, daemons that all restart together would wait for a whole lease after they read the
        last record of the former leader.
        """
        last_contact_s = self._projection.last_contact_s_by_writer.get(leader, NEVER_S)
        return self._status_of(leader, last_contact_s) is WriterStatus.REPLACED

    def _log_change(self, now_s: float) -> None:
        """Write a decision line if this daemon began to lead, or lost the lead or its view of it."""
        view_age_s = self._view_age_s(now_s)
        fence = self.fence if self.leads and view_age_s < self.lease_s else None
        if fence == self._logged_fence:
            return
        if fence is None:
            reason = (
                f"log not read for {view_age_s:.1f} s" if self.leads else f"held by {self._projection.leader}"
            )
            self._decisions.write(LeadershipLost(fence=self._logged_fence or 0, reason=reason))
        else:
            self._decisions.write(LeadershipTaken(fence=fence, previous=""))
        self._logged_fence = fence
