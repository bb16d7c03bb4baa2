"""The base of all decision events."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """Base of all events."""

    @property
    def ordinary(self) -> bool:
        """Whether the event is of the usual course of things, and may be dropped first."""
        return False

    @property
    def name(self) -> str:
        """Name of the event in a line."""
        return str(self.__struct_config__.tag)


class LinesDropped(Event, tag="lines_dropped"):
    """Lines that did not fit into the budget since the last such line."""

    ordinary: int
    important: int
