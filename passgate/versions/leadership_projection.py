"""Projection of the control topic that decides which daemon is the leader.

All followers of the topic apply its records in offset order and therefore agree on the leader.  The
projection also holds what the newest job of each model requires of its weights.

>>> projection = LeadershipProjection()
>>> for offset, writer in enumerate(("d1.a", "d2.a")):
...     claim = LeaderClaimed(leader=writer, after=NO_CLAIM)
...     projection.apply(offset, Batch(writer=writer, entries=(claim,)), now_s=0.0)
>>> projection.leader, projection.leader_fence
('d1.a', 0)
"""

from __future__ import annotations

from passgate.jobs.records import Batch, LeaderClaimed, WeightDemand, WriterAlive, WriterStopped

NO_CLAIM = -1


class LeadershipProjection:
    """The current leader, the last contact with each writer, and the newest job of each model."""

    def __init__(self) -> None:
        self.last_contact_s_by_writer: dict[str, float] = {}
        """Writer to the loop time at which its last batch was applied here."""
        self.leader = ""
        self.leader_fence = NO_CLAIM
        """Offset of the last accepted claim; rises with each change of leader."""
        self.last_leader_offset = NO_CLAIM
        """Offset of the leader's last record."""
        self.newest_demand_by_model: dict[str, WeightDemand] = {}
        """Model to what its newest job requires."""

    def apply(self, offset: int, batch: Batch, now_s: float) -> None:
        """Apply the next record of the log, read at a loop time."""
        writer = batch.writer
        self.last_contact_s_by_writer[writer] = now_s
        if writer == self.leader:
            self.last_leader_offset = offset
        for entry in batch.entries:
            self._apply_entry(offset, writer, entry)

    def _apply_entry(self, offset: int, writer: str, entry: object) -> None:
        match entry:
            case LeaderClaimed():
                self._claim(offset, entry)
            case WriterStopped():
                self._remove_writer(writer)
            case WriterAlive(fence=fence) if fence > self.leader_fence:
                # The accepted claim was removed from the log before this daemon read it.
                self.leader = writer
                self.leader_fence = fence
                self.last_leader_offset = offset
            case WeightDemand():
                self.newest_demand_by_model[entry.model] = entry

    def _claim(self, offset: int, entry: LeaderClaimed) -> None:
        leader_not_renewed = not self.leader or entry.seen == self.last_leader_offset
        if entry.after == self.leader_fence and leader_not_renewed:
            self.leader = entry.leader
            self.leader_fence = offset
            self.last_leader_offset = offset

    def _remove_writer(self, writer: str) -> None:
        self.last_contact_s_by_writer.pop(writer, None)
        if self.leader == writer:
            self.leader = ""
