"""Parses the server-sent events of one item's output and collects what its result needs.

>>> stream = EventStream("x-weight-versions")
>>> stream.feed(b"id: 1\\nx-weight-versions: 7\\ndata: a\\n\\nid: 2\\ndata: b\\n\\nid: 3")
>>> stream.text(), stream.versions, stream.last_event_id
('a\\nb', (7,), '2')
"""

from __future__ import annotations

import msgspec

from passgate.clients.event_splitter import EventSplitter
from passgate.decimal_numbers import parse_decimal
from passgate.errors import IncompleteAnswer


class RecordedEvents(msgspec.Struct, kw_only=True):
    """Events of an unfinished item that are on the log."""

    run_id: str
    """Run that produced the latest events; see :class:`passgate.jobs.records.ItemProgressed`."""
    data: list[str] = []
    versions: list[int] = []
    last_event_id: str = ""
    replaced_run_ids: frozenset[str] = frozenset()
    """Earlier runs whose events were dropped; late copies of their records are ignored."""
    complete: bool = False
    """Whether these are all events of the output; recorded before its reward call is sent."""

    def text(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return "\n".join(self.data)

    def distinct_versions(self) -> tuple[int, ...]:
        """Return the versions of the weights that made the events, each once, in order of first use."""
        return tuple(dict.fromkeys(self.versions))


class EventStream:
    """Complete events of an item so far: recorded ones that it resumes after, and those of all attempts."""

    def __init__(self, version_field: str) -> None:
        """Create an empty stream; ``version_field`` is the event field that names the weight version."""
        self._version_field = version_field.lower()
        self._splitter = EventSplitter()
        self._current_version: int | None = None
        self._data: list[str] = []
        self._versions: list[int] = []
        self._distinct_versions: dict[int, None] = {}
        """Versions of the events, each once, in order of first use."""
        self.last_event_id = ""
        """Identifier of the last complete event, after which the next attempt resumes; empty when none."""

    @property
    def event_count(self) -> int:
        """Number of complete events."""
        return len(self._data)

    @property
    def versions(self) -> tuple[int, ...]:
        """Versions of the weights that made the events, each once, in order of first use."""
        return tuple(self._distinct_versions)

    @property
    def has_partial_event(self) -> bool:
        """Whether the attempt's last event has not been completely received."""
        return self._splitter.has_partial_event

    def text(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return "\n".join(self._data)

    def resume_after(self, recorded_events: RecordedEvents) -> None:
        """Start with the recorded events of an earlier run; the next event must have the next number."""
        self._data = list(recorded_events.data)
        self._versions = list(recorded_events.versions)
        self._distinct_versions = dict.fromkeys(self._versions)
        self.last_event_id = recorded_events.last_event_id

    def events_after(self, count: int) -> tuple[tuple[str, ...], tuple[int, ...]]:
        """Return the data and the versions of all events after the first ``count``."""
        return tuple(self._data[count:]), tuple(self._versions[count:])

    def begin_attempt(self, version: int | None) -> None:
        """Start to parse an attempt's stream; ``version`` is the weight version in its headers, if any."""
        self._splitter = EventSplitter()
        self._current_version = version

    def discard_events(self) -> None:
        """Discard all events, so that the item starts over."""
        self._splitter = EventSplitter()
        self._data.clear()
        self._versions.clear()
        self._distinct_versions.clear()
        self.last_event_id = ""

    def feed(self, chunk: bytes) -> None:
        """Parse bytes of the stream and add the events that they complete.

        Raises IncompleteAnswer for bytes that are no event: too large or not UTF-8, without a number, out of
        order, or without a weight version.
        """
        for event in self._splitter.feed(chunk):
            if event.strip():
                self._add_event(event)

    def _add_event(self, event: bytes) -> None:
        event_id = ""
        lines: list[str] = []
        for line in _decode(event).split("\n"):
            field, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if field == "id":
                event_id = value
            elif field == "data":
                lines.append(value)
            elif field.lower() == self._version_field:
                self._current_version = _parse_number(value)
        self._check_order(event_id)
        if self._current_version is None:
            raise IncompleteAnswer("event without a version of the weights")
        self.last_event_id = event_id
        self._data.append("\n".join(lines))
        self._versions.append(self._current_version)
        self._distinct_versions[self._current_version] = None

    def _check_order(self, event_id: str) -> None:
        number = _parse_number(event_id)
        if self.last_event_id and number != int(self.last_event_id) + 1:
            raise IncompleteAnswer("event out of order", got=event_id, after=self.last_event_id)


def _decode(event: bytes) -> str:
    """Return an event's text; raises IncompleteAnswer for bytes that are not UTF-8."""
    try:
        return event.decode("utf-8")
    except UnicodeDecodeError as error:
        raise IncompleteAnswer("an event is not UTF-8") from error


def _parse_number(text: str) -> int:
    """Return a decimal number; raises IncompleteAnswer for any other text."""
    number = parse_decimal(text)
    if number is None:
        raise IncompleteAnswer("an event has no number where one is due")
    return number
