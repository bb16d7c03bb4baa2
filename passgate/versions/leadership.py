"""Lease-based leadership: at most one daemon at a time sends orders to replicas.

A claim on the log is accepted if it names the last accepted claim and that leader's last record; its offset
is the fencing token.  Each batch that the leader appends renews the lease.  It sends orders only for a
short time after a batch that it has read back; others claim only after a longer silence.
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, LeadershipLost, LeadershipTaken
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import WriterStatus
from passgate.jobs.records import Batch, LeaderClaimed, daemon_of
from passgate.sharedlog.tail import MAX_CURRENT_AGE_S, Freshness
from passgate.versions.leadership_projection import LeadershipProjection

TAKEOVER_MARGIN_S = 0.5
"""Silence beyond the lease after which other daemons claim leadership."""
ORDER_LEASE_SHARE = 0.6
"""Share of the lease, counted from the sending of a confirmed renewal, in which orders may be sent."""
CLAIM_RETRY_S = 0.7
"""Pause after a claim before the next one; the claim has normally been read back by then."""
PROBE_AFTER_S = 0.55
"""Silence after which the leader's address is probed; a live leader appends every 0.4 s."""
NEVER_S = float("-inf")


class Leadership:
    """One daemon's view of the lease: renews it as leader and claims it when it is free."""

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
            projection: the projection that decides who leads.
            journal: this daemon's writer of the control topic.
            freshness: how current this daemon's view of that topic is.
            decisions: decision log.
            lease_s: lease duration; a leader stops sending orders before it ends, others claim after it.
            status_of: returns the status of a writer as probed at its address since its last contact, or None
                if no answer is known yet.
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
        self._confirmed_sent_s = float("-inf")
        """When the newest batch was sent that was read back while this daemon was the leader."""

    @property
    def leads(self) -> bool:
        """Whether the log names this incarnation of the daemon as leader."""
        return self._projection.leader == self._journal.writer

    @property
    def fence(self) -> int:
        """Fencing token of the current leader's orders."""
        return self._projection.leader_fence

    def may_order(self) -> bool:
        """Return whether this daemon may send an order now."""
        age_s = monotonic_s() - self._confirmed_sent_s
        return self.leads and age_s < self.lease_s * ORDER_LEASE_SHARE and not self.stopping

    def confirm_batch(self, batch: Batch) -> None:
        """Extend the order period by a batch of this daemon that was read back while it is the leader."""
        sent_s = self._journal.take_send_time_s(batch)
        if sent_s is not None and self.leads:
            self._confirmed_sent_s = max(self._confirmed_sent_s, sent_s)

    def renew_or_claim(self) -> None:
        """Renew the lease as leader, or claim it when it is free."""
        now_s = monotonic_s()
        self._log_change()
        if self.leads:
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
        if self._freshness.age_s(now_s) >= MAX_CURRENT_AGE_S:
            return False
        leader = self._projection.leader
        if not leader or daemon_of(leader) == daemon_of(self._journal.writer):
            return True
        silent_s = self._freshness.silence_s(self._projection.last_contact_s_by_writer.get(leader), now_s)
        if silent_s > self.lease_s + TAKEOVER_MARGIN_S:
            return True
        return silent_s > PROBE_AFTER_S and self._was_replaced(leader)

    def _was_replaced(self, leader: str) -> bool:
        """Whether the leader's process has exited, as a later incarnation of its daemon answers.

        Without this check, daemons that all restart at once wait for a whole lease, since each has only
        just read the last record of the leader that has gone.
        """
        last_contact_s = self._projection.last_contact_s_by_writer.get(leader, NEVER_S)
        return self._status_of(leader, last_contact_s) is WriterStatus.REPLACED

    def _log_change(self) -> None:
        fence = self.fence if self.leads else None
        if fence == self._logged_fence:
            return
        if fence is None:
            self._decisions.write(
                LeadershipLost(fence=self._logged_fence or 0, reason=f"held by {self._projection.leader}")
            )
        else:
            self._decisions.write(LeadershipTaken(fence=fence, previous=""))
        self._logged_fence = fence
