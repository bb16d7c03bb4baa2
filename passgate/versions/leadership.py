"""The lease of the one daemon that gives orders to replicas.

A claim on the log counts when it names the last claim that counted and the last
record of that leader; its offset is the fence of all orders.  The leader renews by
any batch it appends and gives orders only for a short time after it sent a batch
that it has read back from the log while it still led.  Others claim only after a
longer silence, and a renewal that reaches the log before a claim voids the claim.
So two leaders' orders lie apart, whatever calls are lost, late or slow.
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, LeadershipLost, LeadershipTaken
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import Sign
from passgate.jobs.records import Batch, LeaderClaimed, daemon_of
from passgate.sharedlog.tail import FRESH_S, Freshness
from passgate.versions.lead_fold import LeadFold

TAKEOVER_MARGIN_S = 0.5
"""Silence beyond the lease after which others claim."""
USABLE_SHARE = 0.6
"""Share of the lease for which a renewal on the log allows orders, from its sending."""
CLAIM_PAUSE_S = 0.7
"""Time after a claim within which it must have been read back."""
ASK_S = 0.55
"""Silence after which the leader is asked whether it lives; it appends each 0.4 s."""
NEVER_S = float("-inf")


class Leadership:
    """This daemon's part in the lease."""

    def __init__(
        self,
        fold: LeadFold,
        journal: Journal,
        freshness: Freshness,
        decisions: DecisionLog,
        *,
        lease_s: float,
        sign_of: Callable[[str, float], Sign | None] = lambda writer, heard_s: None,
    ) -> None:
        """Begin without the lead.

        Args:
            fold: who leads, by the log.
            journal: this daemon's writer of the control topic.
            freshness: how fresh this daemon's view of that topic is.
            decisions: where decisions are noted.
            lease_s: orders of two holders lie further apart than this.
            sign_of: returns what a writer's address has told since it was heard last, if anything.
        """
        self._sign_of = sign_of
        self._fold = fold
        self._journal = journal
        self._freshness = freshness
        self._decisions = decisions
        self.lease_s = lease_s
        self.stopping = False
        self._next_claim_s = 0.0
        self._led_fence: int | None = None
        self._confirmed_s = float("-inf")
        """When the last batch was sent that stands on the log within this daemon's lead."""

    @property
    def leads(self) -> bool:
        """Whether the log names this daemon's present life as leader."""
        return self._fold.leader == self._journal.writer

    @property
    def fence(self) -> int:
        """Fence of this leader's orders."""
        return self._fold.leader_fence

    def may_order(self) -> bool:
        """Whether an order may be sent now."""
        age_s = monotonic_s() - self._confirmed_s
        return self.leads and age_s < self.lease_s * USABLE_SHARE and not self.stopping

    def read_back(self, batch: Batch) -> None:
        """Take a batch of this daemon that the fold has just applied."""
        sent_s = self._journal.read_back(batch)
        if sent_s is not None and self.leads:
            self._confirmed_s = max(self._confirmed_s, sent_s)

    def tick(self) -> None:
        """Renew the lease, or claim it when it is free."""
        now_s = monotonic_s()
        self._note_change()
        if self.leads:
            self._journal.renew(self.fence)
        elif not self.stopping and now_s >= self._next_claim_s and self._is_free(now_s):
            self._next_claim_s = now_s + CLAIM_PAUSE_S
            claim = LeaderClaimed(
                holder=self._journal.writer, after=self._fold.leader_fence, seen=self._fold.leader_heard
            )
            self._journal.put(claim)

    def _is_free(self, now_s: float) -> bool:
        if self._freshness.age_s(now_s) >= FRESH_S:
            return False
        leader = self._fold.leader
        if not leader or daemon_of(leader) == daemon_of(self._journal.writer):
            return True
        silent_s = self._freshness.silence_s(self._fold.heard_s.get(leader), now_s)
        if silent_s > self.lease_s + TAKEOVER_MARGIN_S:
            return True
        return silent_s > ASK_S and self._has_ended(leader)

    def _has_ended(self, leader: str) -> bool:
        """Whether the leader's process has surely ended, as a later life of its daemon answers.

        Without this, daemons that all start at once wait for the whole lease of a leader that
        is gone, since each has only just read its last record.
        """
        heard_s = self._fold.heard_s.get(leader, NEVER_S)
        return self._sign_of(leader, heard_s) is Sign.REPLACED

    def _note_change(self) -> None:
        fence = self.fence if self.leads else None
        if fence == self._led_fence:
            return
        if fence is None:
            self._decisions.write(
                LeadershipLost(fence=self._led_fence or 0, reason=f"held by {self._fold.leader}")
            )
        else:
            self._decisions.write(LeadershipTaken(fence=fence, previous=""))
        self._led_fence = fence
