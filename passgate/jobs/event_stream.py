"""Reads the event stream of one item and keeps what a result needs.

>>> stream = EventStream("x-weight-versions")
>>> stream.feed(b"id: 1\\nx-weight-versions: 7\\ndata: a\\n\\nid: 2\\ndata: b\\n\\nid: 3")
>>> stream.text(), stream.versions, stream.last_id
('a\\nb', (7,), '2')
"""

from __future__ import annotations

import msgspec

from passgate.errors import IncompleteAnswer


class KeptEvents(msgspec.Struct, kw_only=True):
    """Events of an unfinished item as they stand on the log."""

    run: str
    data: list[str] = []
    versions: list[int] = []
    last_id: str = ""
    replaced: frozenset[str] = frozenset()
    """Earlier runs whose events were dropped; late copies of their records count for nothing."""
    whole: bool = False
    """Whether the output has no further events and waits for its reward call."""

    def text(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return "\n".join(self.data)

    def distinct_versions(self) -> tuple[int, ...]:
        """Return the versions of the weights that made the events, each once, in order."""
        return tuple(dict.fromkeys(self.versions))


class EventStream:
    """Events received so far, over all attempts of an item."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field.lower()
        self._pending = b""
        self._version: int | None = None
        self._data: list[str] = []
        self._versions: list[int] = []
        self.last_id = ""
        """Identifier of the last whole event; a further attempt goes on after it."""

    @property
    def count(self) -> int:
        """Number of whole events."""
        return len(self._data)

    @property
    def versions(self) -> tuple[int, ...]:
        """Versions of the weights that made the events, each once, in order."""
        return tuple(dict.fromkeys(self._versions))

    @property
    def mid_event(self) -> bool:
        """Whether bytes of an unfinished event are waiting."""
        return bool(self._pending.strip())

    def text(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return "\n".join(self._data)

    def resume(self, kept: KeptEvents) -> None:
        """Take over the events of an earlier run."""
        self._data = list(kept.data)
        self._versions = list(kept.versions)
        self.last_id = kept.last_id

    def events_after(self, count: int) -> tuple[tuple[str, ...], tuple[int, ...]]:
        """Return data and versions of the events after the first ``count``."""
        return tuple(self._data[count:]), tuple(self._versions[count:])

    def begin_attempt(self, version: int | None) -> None:
        """Start reading another attempt's stream; ``version`` is what its head names."""
        self._pending = b""
        self._version = version

    def restart(self) -> None:
        """Drop all events."""
        self._pending = b""
        self._data.clear()
        self._versions.clear()
        self.last_id = ""

    def feed(self, data: bytes) -> None:
        """Take bytes of the stream; raises IncompleteAnswer for what is no next event."""
        self._pending += data.replace(b"\r\n", b"\n")
        *whole, self._pending = self._pending.split(b"\n\n")
        for block in whole:
            if block.strip():
                self._take(block)

    def _take(self, block: bytes) -> None:
        event_id = ""
        lines: list[str] = []
        for line in block.decode("utf-8").split("\n"):
            field, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if field == "id":
                event_id = value
            elif field == "data":
                lines.append(value)
            elif field.lower() == self._version_field:
                self._version = int(value)
        self._check_order(event_id)
        if self._version is None:
            raise IncompleteAnswer("event without a version of the weights")
        self.last_id = event_id
        self._data.append("\n".join(lines))
        self._versions.append(self._version)

    def _check_order(self, event_id: str) -> None:
        if not event_id.isdigit():
            raise IncompleteAnswer("event without a number")
        if self.last_id and int(event_id) != int(self.last_id) + 1:
            raise IncompleteAnswer("event out of order", got=event_id, after=self.last_id)
