"""Makes the log entries that record an unfinished item's events, so that another daemon can resume the item.

>>> entries = []
>>> stream = EventStream("v")
>>> checkpoint = ItemCheckpointer("j", "i", stream, RecordedEvents(run_id="old"))
>>> stream.begin_attempt(3)
>>> stream.feed(b"id: 1\\ndata: a\\n\\n")
>>> take_entry = checkpoint.take_entry()
>>> take_entry.after, take_entry.data, take_entry.parent, checkpoint.take_entry()
(0, ('a',), 'old', None)
"""

from __future__ import annotations

import secrets

from passgate.jobs.event_stream import EventStream, RecordedEvents
from passgate.jobs.records import ItemProgressed


class ItemCheckpointer:
    """Tracks which events of one item's run were returned in entries already."""

    def __init__(
        self, job_id: str, item_id: str, stream: EventStream, resumed: RecordedEvents | None
    ) -> None:
        self._job_id = job_id
        self._item_id = item_id
        self._stream = stream
        self._run_id = secrets.token_hex(4)
        self._parent_run_id = resumed.run_id if resumed is not None else ""
        self._recorded_count = stream.event_count

    def start_new_run(self) -> None:
        """Start a new run, after the stream's events were discarded."""
        self._run_id = secrets.token_hex(4)
        self._parent_run_id = ""
        self._recorded_count = 0

    def take_entry(self) -> ItemProgressed | None:
        """Return an entry with the events since the last entry, or None when there are none."""
        return self._take_entry(complete=False) if self._stream.event_count > self._recorded_count else None

    def take_final_entry(self) -> ItemProgressed:
        """Return an entry that marks the output as complete, with the events since the last entry, if any."""
        return self._take_entry(complete=True)

    def _take_entry(self, *, complete: bool) -> ItemProgressed:
        data, versions = self._stream.events_after(self._recorded_count)
        entry = ItemProgressed(
            job_id=self._job_id,
            item_id=self._item_id,
            run=self._run_id,
            after=self._recorded_count,
            data=data,
            versions=versions,
            last_id=self._stream.last_event_id,
            parent=self._parent_run_id,
            complete=complete,
        )
        self._recorded_count = self._stream.event_count
        self._parent_run_id = ""
        return entry
