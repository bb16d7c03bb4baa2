"""Puts the events of long-running items on the log, so that no run is lost with its daemon.

>>> entries = []
>>> stream = EventStream("v")
>>> checkpoint = ItemCheckpoint("j", "i", stream, KeptEvents(run="old"))
>>> stream.begin_attempt(3)
>>> stream.feed(b"id: 1\\ndata: a\\n\\n")
>>> entry = checkpoint.entry()
>>> entry.after, entry.data, entry.parent, checkpoint.entry()
(0, ('a',), 'old', None)
"""

from __future__ import annotations

import secrets

from passgate.jobs.event_stream import EventStream, KeptEvents
from passgate.jobs.records import ItemProgressed


class ItemCheckpoint:
    """What of one item's run is already on its way to the log."""

    def __init__(self, job_id: str, item_id: str, stream: EventStream, resumed: KeptEvents | None) -> None:
        self._job_id = job_id
        self._item_id = item_id
        self._stream = stream
        self._run = secrets.token_hex(4)
        self._parent = resumed.run if resumed is not None else ""
        self._saved = stream.count

    def restart(self) -> None:
        """The run's events were dropped; the next ones belong to a new run."""
        self._run = secrets.token_hex(4)
        self._parent = ""
        self._saved = 0

    def entry(self) -> ItemProgressed | None:
        """Return the entry for the events since the last call, or None when there are none."""
        return self._entry(whole=False) if self._stream.count > self._saved else None

    def last_entry(self) -> ItemProgressed:
        """Return the entry that ends the output, with the events since the last call."""
        return self._entry(whole=True)

    def _entry(self, *, whole: bool) -> ItemProgressed:
        data, versions = self._stream.events_after(self._saved)
        entry = ItemProgressed(
            job_id=self._job_id,
            item_id=self._item_id,
            run=self._run,
            after=self._saved,
            data=data,
            versions=versions,
            last_id=self._stream.last_id,
            parent=self._parent,
            whole=whole,
        )
        self._saved = self._stream.count
        self._parent = ""
        return entry
