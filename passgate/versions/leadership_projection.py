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

from passgate.jobs.records import Batch, LeaderClaimed, WeightDemand, WriterAlive, WriterStopped, daemon_of

NO_CLAIM = -1
"""Used as the offset of the last accepted claim while there is none."""
NEVER_S = float("-inf")
"""Loop time before any other."""


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
        self._last_leading_daemon = ""
        """Daemon that leads, or that led last; empty if none has led."""
        self._replaced_s_by_daemon: dict[str, float] = {}
        """Loop time at which another daemon's leadership was read, by the daemon that led before it."""
        self._unread_history_until_s = NEVER_S
        """Loop time at which the first record was read, if older ones had been removed."""

    def begin(self, first_offset: int, now_s: float) -> None:
        """Record the offset of the first record that is read, and the loop time of that read."""
        if first_offset > 0:
            self._unread_history_until_s = now_s

    def replaced_s(self, daemon_id: str) -> float:
        """Return a loop time after which a daemon's former incarnations certainly sent no order as leader.

        Minus infinity if the daemon leads or led last, or if it never led.  Removed records may have told of
        a leadership of the daemon, so for others it is at least the time of the first read then.
        """
        if daemon_id == self._last_leading_daemon:
            return NEVER_S
        return max(self._replaced_s_by_daemon.get(daemon_id, NEVER_S), self._unread_history_until_s)

    def apply(self, offset: int, batch: Batch, now_s: float) -> None:
        """Apply the batch of the next record, which was read at a loop time."""
        writer = batch.writer
        self.last_contact_s_by_writer[writer] = now_s
        if writer == self.leader:
            self.last_leader_offset = offset
        for entry in batch.entries:
            self._apply_entry(offset, writer, entry, now_s)

    def _apply_entry(self, offset: int, writer: str, entry: object, now_s: float) -> None:
        match entry:
            case LeaderClaimed():
                self._claim(offset, entry, now_s)
            case WriterStopped():
                self._remove_writer(writer)
            case WriterAlive(fence=fence) if fence > self.leader_fence:
                # The claim of this leader was removed from the log before this daemon could read it.
                self._set_leader(writer, fence, offset, now_s)
            case WeightDemand():
                self.newest_demand_by_model[entry.model] = entry

    def _claim(self, offset: int, entry: LeaderClaimed, now_s: float) -> None:
        leader_not_renewed = not self.leader or entry.seen == self.last_leader_offset
        if entry.after == self.leader_fence and leader_not_renewed:
            self._set_leader(entry.leader, offset, offset, now_s)

    def _set_leader(self, writer: str, fence: int, offset: int, now_s: float) -> None:
        """Make a writer the leader by the record at an offset, which was read at a loop time."""
        self.leader = writer
        self.leader_fence = fence
        self.last_leader_offset = offset
        daemon_id = daemon_of(writer)
        if self._last_leading_daemon and self._last_leading_daemon != daemon_id:
            self._replaced_s_by_daemon[self._last_leading_daemon] = now_s
        self._last_leading_daemon = daemon_id

    def _remove_writer(self, writer: str) -> None:
        self.last_contact_s_by_writer.pop(writer, None)
        if self.leader == writer:
            self.leader = ""
