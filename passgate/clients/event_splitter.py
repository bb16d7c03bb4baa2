"""Splits a stream of server-sent events, which arrives in arbitrary pieces, into complete events.

>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 1\\r\\ndata: a\\r"), splitter.feed(b"\\n\\r\\nid: 2"), splitter.has_partial_event
([], [b'id: 1\\ndata: a'], True)
"""

from __future__ import annotations

from passgate.errors import IncompleteAnswer

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event; a stream whose next event does not end before is no answer."""
SEPARATOR = b"\n\n"


class EventSplitter:
    """Collects the bytes of one stream until they complete events; line ends become single line feeds."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._held_back = b""
        """A carriage return at the end of a piece, which may belong to the line feed of the next one."""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes other than white space have arrived since the last complete event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that they complete, without their separators.

        Raises IncompleteAnswer for an event that is larger than MAX_EVENT_BYTES.
        """
        data = self._held_back + data
        self._held_back = b"\r" if data.endswith(b"\r") else b""
        searched = max(len(self._pending) - 1, 0)
        self._pending += data.removesuffix(b"\r").replace(b"\r\n", b"\n")
        if self._pending.find(SEPARATOR, searched) < 0:
            if len(self._pending) > MAX_EVENT_BYTES:
                raise IncompleteAnswer("an event is larger than the limit", limit_bytes=MAX_EVENT_BYTES)
            return []
        *events, rest = bytes(self._pending).split(SEPARATOR)
        self._pending = bytearray(rest)
        return events
