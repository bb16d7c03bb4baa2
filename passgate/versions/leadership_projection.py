"""Projection of the control topic that decides which daemon is the leader.

A projection is state built by applying the log's records in order, so all daemons that have read up to the
same offset agree on the leader.  It also holds what the newest job of each model requires of the weights.

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
"""Used as the offset of the last accepted claim while there is none."""


class LeadershipProjection:
    """The current leader, the last contact with each writer, and the newest job of each model."""

    def __init__(self) -> None:
        self.last_contact_s_by_writer: dict[str, float] = {}
        """Loop time at which a writer's last batch was applied here, by writer."""
        self.leader = ""
        """Writer that leads; empty if none has claimed leadership or the last leader has released it."""
        self.leader_fence = NO_CLAIM
        """Offset of the last accepted claim; rises with each accepted claim."""
        self.last_leader_offset = NO_CLAIM
        """Offset of the leader's last record, or of the claim if there is none since."""
        self.newest_demand_by_model: dict[str, WeightDemand] = {}
        """What the newest job of each model requires, by model."""

    def apply(self, offset: int, batch: Batch, now_s: float) -> None:
        """Apply the batch of the next record, which was read at a loop time."""
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
                # The claim of this leader was removed from the log before this daemon could read it.
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
