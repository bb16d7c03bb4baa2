"""What is folded from the control topic for all duties."""

from __future__ import annotations

from passgate.duties.scaling_fold import ScalingFold
from passgate.duties.usage_fold import UsageFold


class DutyFolds:
    """The folds of one daemon; its control topic applies records to each of them."""

    def __init__(self) -> None:
        self.usage = UsageFold()
        self.scaling = ScalingFold()

    def begin(self, first_offset: int) -> None:
        """Note the offset of the first record that is read."""
        self.usage.begin(first_offset)
        self.scaling.begin(first_offset)

    def apply(self, offset: int, writer: str, entry: object, *, leads: bool) -> None:
        """Take an entry of the record at an offset; ``leads`` tells whether its writer led there."""
        self.usage.apply(offset, writer, entry, leads=leads)
        self.scaling.apply(offset, writer, entry, leads=leads)
