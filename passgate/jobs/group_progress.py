"""Counts the item groups of a job that have all their results, as its caller waits for a number of them.

>>> items = [ItemSpec(id="a1", path="/p", group="a"), ItemSpec(id="b1", path="/p", group="b")]
>>> progress = GroupProgress(items, desired=1)
>>> progress.has_enough_groups, progress.record_result("b1"), progress.has_enough_groups
(False, None, True)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from passgate.jobs.records import ItemSpec


class GroupProgress:
    """Number of items without a result in each group of a job, and number of complete groups."""

    def __init__(self, items: Sequence[ItemSpec], desired: int) -> None:
        """Create the counts of a job without results.

        Args:
            items: all items of the job.
            desired: number of groups that the caller waits for; 0, or more than there are, means all.
        """
        self._group_by_item = {item.id: item.group for item in items}
        self._missing_results_by_group = Counter(self._group_by_item.values())
        self._required_groups = min(
            desired or len(self._missing_results_by_group), len(self._missing_results_by_group)
        )
        self._complete_groups = 0

    @property
    def has_enough_groups(self) -> bool:
        """Whether as many groups are complete as the caller waits for."""
        return self._complete_groups >= self._required_groups

    def record_result(self, item_id: str) -> None:
        """Record that an item has a result; unknown items and repeated calls are ignored."""
        group = self._group_by_item.pop(item_id, None)
        if group is None:
            return
        self._missing_results_by_group[group] -= 1
        if not self._missing_results_by_group[group]:
            self._complete_groups += 1
