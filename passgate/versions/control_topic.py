"""Follows and writes the control topic, whose records decide which daemon is the leader.

The topic also carries what new jobs require of the weights, and the records of singleton duties, which the
leader performs for all daemons.  Only the leader and daemons that may become leader follow the topic.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, RecordUnreadable
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import WriterStatus
from passgate.jobs.records import Batch, WriterAlive, WriterStopped, decode_batch
from passgate.sharedlog.log import LogPage, SharedLog
from passgate.sharedlog.tail import OnDemandTail, RecordTail, TailSettings
from passgate.versions.leadership import Leadership
from passgate.versions.leadership_projection import LeadershipProjection

LEASE_CHECK_INTERVAL_S = 0.1
"""Pause between lease checks; much shorter than the interval at which the leader renews its lease."""
READ_PAUSE_S = 0.1
"""Pause between reads of the topic."""


class ControlProjection(Protocol):
    """State that is built by applying the entries of the control topic in order."""

    def set_first_offset(self, first_offset: int) -> None:
        """Record the offset of the first record that is read; greater than 0 if older ones were removed."""
        ...

    def apply(self, offset: int, writer: str, entry: object, *, by_leader: bool) -> None:
        """Apply an entry of the record at an offset; ``by_leader`` is whether its writer was leader then."""
        ...


class ControlTopic:
    """Follows the control topic, writes to it and takes part in the election of the leader."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        journal: Journal,
        may_lead: Callable[[], bool],
        decisions: DecisionLog,
        *,
        lease_s: float,
        projections: Sequence[ControlProjection] = (),
        status_of: Callable[[str, float], WriterStatus | None] = lambda writer, last_contact_s: None,
    ) -> None:
        self._projections = projections
        self._has_started = False
        self.leadership_projection = LeadershipProjection()
        self.journal = journal
        self._append_task: asyncio.Task[None] | None = None
        """Appends the journal's entries; None before the start and while this daemon must be silent."""
        self._may_lead = may_lead
        self._decisions = decisions
        self._tail = OnDemandTail(
            RecordTail(log, TailSettings(topic=topic, gap_s=READ_PAUSE_S), self._apply_page)
        )
        freshness = self._tail.tail.freshness
        self.leadership = Leadership(
            self.leadership_projection, journal, freshness, decisions, lease_s=lease_s, status_of=status_of
        )

    async def run(self) -> None:
        """Append this daemon's entries, follow the topic and claim leadership as needed, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            try:
                while True:
                    self._update_leadership()
                    self._set_appending(tasks, should_append=not self.leadership.must_be_silent())
                    await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            finally:
                self._tail.set_following(False)

    def _set_appending(self, tasks: asyncio.TaskGroup, *, should_append: bool) -> None:
        """Start or stop the appends; entries stay queued while they are stopped."""
        if should_append and self._append_task is None:
            self._append_task = tasks.create_task(self.journal.run())
            if not self.journal.has_no_pending_entries:
                self.journal.put(WriterAlive())  # the journal appends what is queued once an entry is put
        elif not should_append and self._append_task is not None:
            self._append_task.cancel()
            self._append_task = None

    def _update_leadership(self) -> None:
        self._tail.set_following(self._may_lead() or self.leadership.leads)
        if self._tail.current:
            self._begin(self._tail.tail.next_offset)
            self.leadership.renew_or_claim()

    def release_leadership(self) -> asyncio.Future[int]:
        """Release leadership and never claim it again; the future is done once the log has the release.

        Orders that are under way end first, as the next leader may send orders as soon as it has claimed.
        """
        self.leadership.stopping = True
        return asyncio.get_running_loop().create_task(self._release())

    async def _release(self) -> int:
        await self.leadership.stop()
        return await self.journal.put(WriterStopped())

    def _begin(self, first_offset: int) -> None:
        """Tell the projections at which offset reading has begun; does nothing when called again."""
        if self._has_started:
            return
        self._has_started = True
        self.leadership_projection.begin(first_offset, monotonic_s())
        for projection in self._projections:
            projection.set_first_offset(first_offset)

    def _apply_page(self, page: LogPage) -> None:
        now_s = monotonic_s()
        self._begin(page.start)
        for index, record in enumerate(page.records):
            offset = page.start + index
            try:
                batch = decode_batch(record)
            except (msgspec.DecodeError, zlib.error) as error:
                self._decisions.write(RecordUnreadable(offset=offset, reason=str(error)))
                continue
            self.leadership_projection.apply(offset, batch, now_s)
            self._apply_to_projections(offset, batch)
            if batch.writer == self.journal.writer:
                self.leadership.confirm_batch(batch)

    def _apply_to_projections(self, offset: int, batch: Batch) -> None:
        by_leader = batch.writer == self.leadership_projection.leader
        for entry in batch.entries:
            for projection in self._projections:
                projection.apply(offset, batch.writer, entry, by_leader=by_leader)
