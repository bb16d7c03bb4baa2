"""State of the lead, folded from the control topic in offset order.

Every daemon that follows the topic decides by this code who leads.  The topic also
tells what the newest job of each model asks of its weights.

>>> fold = LeadFold()
>>> fold.apply(0, Batch(writer="d1.a", entries=(LeaderClaimed(holder="d1.a", after=NO_CLAIM),)), now_s=0.0)
>>> fold.apply(1, Batch(writer="d2.a", entries=(LeaderClaimed(holder="d2.a", after=NO_CLAIM),)), now_s=0.0)
>>> fold.leader, fold.leader_fence
('d1.a', 0)
"""

from __future__ import annotations

from passgate.jobs.records import Batch, JobNoted, LeaderClaimed, WriterAlive, WriterStopped

NO_CLAIM = -1


class LeadFold:
    """Who leads, and who was heard."""

    def __init__(self) -> None:
        self.heard_s: dict[str, float] = {}
        """Writer to the loop time at which its last batch was folded."""
        self.leader = ""
        self.leader_fence = NO_CLAIM
        """Offset of the last claim that counted; rises with each leader."""
        self.leader_heard = NO_CLAIM
        """Offset of the leader's last record."""
        self.newest_jobs: dict[str, JobNoted] = {}
        """Model to what its newest job asks for."""

    def apply(self, offset: int, batch: Batch, now_s: float) -> None:
        """Take the next record of the log."""
        writer = batch.writer
        self.heard_s[writer] = now_s
        if writer == self.leader:
            self.leader_heard = offset
        for entry in batch.entries:
            self._apply_entry(offset, writer, entry)

    def _apply_entry(self, offset: int, writer: str, entry: object) -> None:
        match entry:
            case LeaderClaimed():
                self._claim(offset, entry)
            case WriterStopped():
                self._release(writer)
            case WriterAlive(fence=fence) if fence > self.leader_fence:
                # The claim itself was removed with old history.
                self.leader = writer
                self.leader_fence = fence
                self.leader_heard = offset
            case JobNoted():
                self.newest_jobs[entry.model] = entry

    def _claim(self, offset: int, entry: LeaderClaimed) -> None:
        silent = not self.leader or entry.seen == self.leader_heard
        if entry.after == self.leader_fence and silent:
            self.leader = entry.holder
            self.leader_fence = offset
            self.leader_heard = offset

    def _release(self, writer: str) -> None:
        self.heard_s.pop(writer, None)
        if self.leader == writer:
            self.leader = ""
