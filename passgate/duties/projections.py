"""Combines the projections of the control topic that singleton duties use.

A projection is state built by applying the log's records in order.
"""

from __future__ import annotations

from passgate.duties.scaling_projection import ScalingProjection
from passgate.duties.usage_projection import UsageProjection


class DutyProjections:
    """All duty projections of one daemon, to which the reader of its control topic applies the records."""

    def __init__(self) -> None:
        self.usage = UsageProjection()
        self.scaling = ScalingProjection()

    def set_first_offset(self, first_offset: int) -> None:
        """Record the offset of the first record that is read."""
        self.usage.set_first_offset(first_offset)
        self.scaling.set_first_offset(first_offset)

    def apply(self, offset: int, writer: str, entry: object, *, by_leader: bool) -> None:
        """Apply an entry of the record at an offset; ``by_leader`` is whether its writer was leader then."""
        self.usage.apply(offset, writer, entry, by_leader=by_leader)
        self.scaling.apply(offset, writer, entry, by_leader=by_leader)
