"""The control topic: who leads, what new jobs need, and the records of duties.

Only a few daemons follow it, as only they may lead.
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
from passgate.jobs.liveness import Sign
from passgate.jobs.records import Batch, WriterStopped, decode_batch
from passgate.sharedlog.log import LogPage, SharedLog
from passgate.sharedlog.tail import FollowedTail, RecordTail, TailSettings
from passgate.versions.lead_fold import LeadFold
from passgate.versions.leadership import Leadership

TICK_S = 0.1
"""Time between looks at the lease; a quarter of the time between renewals."""
GAP_S = 0.1
"""Pause between reads."""


class ControlFold(Protocol):
    """Further state that is folded from the control topic."""

    def begin(self, first_offset: int) -> None:
        """Note the offset of the first record that is read."""
        ...

    def apply(self, offset: int, writer: str, entry: object, *, leads: bool) -> None:
        """Take an entry of the record at an offset; ``leads`` tells whether its writer led there."""
        ...


class ControlTopic:
    """This daemon's part in the control topic."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        journal: Journal,
        may_lead: Callable[[], bool],
        decisions: DecisionLog,
        *,
        lease_s: float,
        folds: Sequence[ControlFold] = (),
        sign_of: Callable[[str, float], Sign | None] = lambda writer, heard_s: None,
    ) -> None:
        self._folds = folds
        self._began = False
        self.fold = LeadFold()
        self.journal = journal
        self._may_lead = may_lead
        self._decisions = decisions
        self._followed = FollowedTail(RecordTail(log, TailSettings(topic=topic, gap_s=GAP_S), self._apply))
        freshness = self._followed.tail.freshness
        self.leadership = Leadership(
            self.fold, journal, freshness, decisions, lease_s=lease_s, sign_of=sign_of
        )

    async def run(self) -> None:
        """Write, follow and lead as needed, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.journal.run())
            try:
                while True:
                    self._tick()
                    await asyncio.sleep(TICK_S)
            finally:
                self._followed.set(False)

    def _tick(self) -> None:
        self._followed.set(self._may_lead() or self.leadership.leads)
        if self._followed.current:
            self.leadership.tick()

    def stop(self) -> asyncio.Future[int]:
        """Give up the lead; the result is there once that stands on the log."""
        self.leadership.stopping = True
        return self.journal.put(WriterStopped())

    def _apply(self, page: LogPage) -> None:
        now_s = monotonic_s()
        if not self._began:
            self._began = True
            for fold in self._folds:
                fold.begin(page.start)
        for index, record in enumerate(page.records):
            offset = page.start + index
            try:
                batch = decode_batch(record)
            except (msgspec.DecodeError, zlib.error) as error:
                self._decisions.write(RecordUnreadable(offset=offset, reason=str(error)))
                continue
            self.fold.apply(offset, batch, now_s)
            self._apply_to_folds(offset, batch)
            if batch.writer == self.journal.writer:
                self.leadership.read_back(batch)

    def _apply_to_folds(self, offset: int, batch: Batch) -> None:
        leads = batch.writer == self.fold.leader
        for entry in batch.entries:
            for fold in self._folds:
                fold.apply(offset, batch.writer, entry, leads=leads)
