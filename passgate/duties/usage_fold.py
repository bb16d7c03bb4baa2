"""State of usage reports, folded from the control topic in offset order.

Counts add up until the leader commits their window.  Windows are committed in order,
and the first commit counts, so every later holder of the duty sends the same report.

>>> from passgate.jobs.records import UsageCommitted, UsageCounted
>>> fold = UsageFold()
>>> count = UsageCounted(meter="d1.a", number=0, window=7, counts={"orchard": 2})
>>> fold.apply(0, "d1.a", count, leads=False); fold.apply(1, "d2.a", count, leads=False)
>>> fold.counts_of(7)
{'orchard': 2}
>>> fold.apply(2, "d2.a", UsageCommitted(window=7, counts={"orchard": 2}), leads=True)
>>> fold.unreported, fold.through
({7: {'orchard': 2}}, 7)
"""

from __future__ import annotations

from collections import Counter

import msgspec

from passgate.jobs.records import Counts, UsageCommitted, UsageCounted, UsageReported

MOST_OPEN = 720
"""Windows with counts that are kept while nobody commits them: an hour of 5 s."""


class _OpenWindow(msgspec.Struct):
    counts: Counter[str]
    seen: set[tuple[str, int]]
    """Meter and number of each count that was added."""


class UsageFold:
    """Counts of open windows and reports that are committed."""

    def __init__(self) -> None:
        self.through: int | None = None
        """Newest window whose report is committed; all before it are too, or are given up."""
        self.unreported: dict[int, Counts] = {}
        """Committed reports of which the platform's acceptance is not known."""
        self.late = 0
        """Requests that were counted after their window had been committed."""
        self.history_lost = False
        """Whether older records of the topic were removed before this daemon read them."""
        self._open: dict[int, _OpenWindow] = {}

    def begin(self, first_offset: int) -> None:
        """Note the offset of the first record that is read."""
        self.history_lost = first_offset > 0

    def apply(self, offset: int, writer: str, entry: object, *, leads: bool) -> None:
        """Take an entry of the record at an offset; ``leads`` tells whether its writer led there."""
        match entry:
            case UsageCounted():
                self._count(entry)
            case UsageCommitted() if leads:
                self._commit(entry)
            case UsageReported():
                self.unreported.pop(entry.window, None)

    def _count(self, entry: UsageCounted) -> None:
        if self.through is not None and entry.window <= self.through:
            self.late += sum(entry.counts.values())
            return
        window = self._open.setdefault(entry.window, _OpenWindow(Counter(), set()))
        name = (entry.meter, entry.number)
        if name not in window.seen:
            window.seen.add(name)
            window.counts.update(entry.counts)
        while len(self._open) > MOST_OPEN:
            del self._open[min(self._open)]

    def _commit(self, entry: UsageCommitted) -> None:
        if self.through is not None and entry.window <= self.through:
            return
        self.through = entry.window
        self.unreported[entry.window] = entry.counts
        for window in [window for window in self._open if window <= entry.window]:
            del self._open[window]

    def counts_of(self, window: int) -> Counts:
        """Return what was counted in a window that is not committed."""
        found = self._open.get(window)
        return dict(found.counts) if found is not None else {}

    def first_open(self) -> int | None:
        """Return the oldest window with counts that is surely not committed; None when there is none.

        Without the oldest records a commit may have been missed, and a late count of its window not.
        """
        return None if self.history_lost else min(self._open, default=None)
