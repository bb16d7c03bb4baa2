"""Base class of all events of the decision log."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """Base class of all events; the tag of a subclass is the event's name in the log."""

    @property
    def is_routine(self) -> bool:
        """Whether the event is part of normal operation; routine events are dropped first."""
        return False

    @property
    def name(self) -> str:
        """Name of the event in the log."""
        return str(self.__struct_config__.tag)


class LinesDropped(Event, tag="lines_dropped"):
    """Events were dropped since the last event of this kind, as the budget or the buffer was exhausted."""

    ordinary: int
    """Number of dropped routine events."""
    important: int
    """Number of all other dropped events."""
