"""Projection of the control topic that holds usage counts and committed usage reports.

A projection is state built by applying the log's records in order.  Counts add up until the leader commits
their window.  The first commit of a window is final, so every later leader sends the same report.

>>> from passgate.jobs.records import UsageCommitted, UsageCounted
>>> projection = UsageProjection()
>>> count = UsageCounted(meter="d1.a", number=0, window=7, counts={"orchard": 2})
>>> for offset, writer in enumerate(("d1.a", "d2.a")):
...     projection.apply(offset, writer, count, by_leader=False)
>>> projection.counts_of(7)
{'orchard': 2}
>>> projection.apply(2, "d2.a", UsageCommitted(window=7, counts={"orchard": 2}), by_leader=True)
>>> projection.unreported_counts_by_window, projection.last_committed_window
({7: {'orchard': 2}}, 7)
"""

from __future__ import annotations

from collections import Counter

import msgspec

from passgate.jobs.records import CountByTenant, UsageCommitted, UsageCounted, UsageReported

MAX_OPEN_WINDOWS = 720
"""Maximum number of uncommitted windows with counts; beyond it, the oldest are dropped."""


class _OpenWindow(msgspec.Struct):
    counts: Counter[str]
    count_ids: set[tuple[str, int]]
    """Meter and number of each entry that was added, to ignore repetitions."""


class UsageProjection:
    """Counts of open windows, and committed reports."""

    def __init__(self) -> None:
        self.last_committed_window: int | None = None
        """Newest committed window; older windows can no longer be committed."""
        self.unreported_counts_by_window: dict[int, CountByTenant] = {}
        """Committed counts by window; a window is removed once its report is known to be accepted."""
        self.late_requests = 0
        """Number of runs in counts that were read after the commit of their window, including repetitions."""
        self.is_history_truncated = False
        """Whether records of the topic had been removed before this daemon began to read."""
        self._open_windows: dict[int, _OpenWindow] = {}

    def set_first_offset(self, first_offset: int) -> None:
        """Record the offset of the first record that is read."""
        self.is_history_truncated = first_offset > 0

    def apply(self, offset: int, writer: str, entry: object, *, by_leader: bool) -> None:
        """Apply an entry of the record at an offset; ``by_leader`` is whether its writer was leader then."""
        match entry:
            case UsageCounted():
                self._add_counts(entry)
            case UsageCommitted() if by_leader:
                self._commit(entry)
            case UsageReported():
                self.unreported_counts_by_window.pop(entry.window, None)

    def _add_counts(self, entry: UsageCounted) -> None:
        if self.last_committed_window is not None and entry.window <= self.last_committed_window:
            self.late_requests += sum(entry.counts.values())
            return
        window = self._open_windows.setdefault(entry.window, _OpenWindow(Counter(), set()))
        count_id = (entry.meter, entry.number)
        if count_id not in window.count_ids:
            window.count_ids.add(count_id)
            window.counts.update(entry.counts)
        while len(self._open_windows) > MAX_OPEN_WINDOWS:
            del self._open_windows[min(self._open_windows)]

    def _commit(self, entry: UsageCommitted) -> None:
        if self.last_committed_window is not None and entry.window <= self.last_committed_window:
            return
        self.last_committed_window = entry.window
        self.unreported_counts_by_window[entry.window] = entry.counts
        for window in [window for window in self._open_windows if window <= entry.window]:
            del self._open_windows[window]

    def counts_of(self, window: int) -> CountByTenant:
        """Return the counts of an uncommitted window by tenant; empty if it has none or is committed."""
        open_window = self._open_windows.get(window)
        return dict(open_window.counts) if open_window is not None else {}

    def first_uncommitted_window(self) -> int | None:
        """Return the oldest uncommitted window with counts, or None.

        Also None if the oldest records were removed: the commit of such a window may be among them.
        """
        return None if self.is_history_truncated else min(self._open_windows, default=None)
