"""Which groups of a job's items are whole, and whether these are enough for its caller.

>>> items = [ItemSpec(id="a1", path="/p", group="a"), ItemSpec(id="b1", path="/p", group="b")]
>>> progress = GroupProgress(items, desired=1)
>>> progress.enough, progress.listed("b1"), progress.enough
(False, None, True)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from passgate.jobs.records import ItemSpec


class GroupProgress:
    """Counts the items without a result, by group."""

    def __init__(self, items: Sequence[ItemSpec], desired: int) -> None:
        """Begin with no result.

        Args:
            items: all items of the job.
            desired: groups that the caller waits for; all of them when 0.
        """
        self._group_of = {item.id: item.group for item in items}
        self._missing = Counter(self._group_of.values())
        self._wanted = min(desired or len(self._missing), len(self._missing))
        self._whole = 0

    @property
    def enough(self) -> bool:
        """Whether the caller waits for nothing more."""
        return self._whole >= self._wanted

    def listed(self, item_id: str) -> None:
        """Count an item's result; each item is counted once."""
        group = self._group_of.pop(item_id, None)
        if group is None:
            return
        self._missing[group] -= 1
        if not self._missing[group]:
            self._whole += 1
