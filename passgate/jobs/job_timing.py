"""Reports how a job spent its time, once as many item groups as its caller waits for are complete.

The item whose result completed the last of these groups determines how long the job took, so the report
contains the phases of that item.

>>> item = ItemSpec(id="i", path="/p", group="g")
>>> timing = JobTiming(JobSpec(job_id="j", host="h", path="/p", items=(item,), desired=1), started_s=1.0)
>>> times = timing.item_times("i")
>>> times.record_send(1.5); times.record_events(2.0, 1); times.record_events(4.0, 50)
>>> report = timing.record_result(item, now_s=4.1, items_with_result=())
>>> report.waited_ms, report.first_event_ms, report.events, report.stalled_ms, report.whole_ms
(500.0, 500.0, 51, 0.0, 3100.0)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

import msgspec

from passgate.decisions import JobGroupsCompleted
from passgate.jobs.group_progress import GroupProgress
from passgate.jobs.records import ItemSpec, JobSpec


class ItemTimes(msgspec.Struct):
    """Times of one item at this daemon, over all its attempts, as loop times in seconds."""

    first_sent_s: float | None = None
    """Time at which the first attempt was sent."""
    first_event_s: float | None = None
    last_event_s: float | None = None
    attempts: int = 0
    event_count: int = 0
    stalled_s: float = 0.0
    """Sum of the times from the last event of one attempt to the first event of the next."""
    _interrupted: bool = False

    def record_send(self, now_s: float) -> None:
        """Record that an attempt was sent."""
        self.attempts += 1
        if self.first_sent_s is None:
            self.first_sent_s = now_s
        self._interrupted = self.last_event_s is not None

    def record_events(self, now_s: float, count: int) -> None:
        """Record complete events that were just received."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self._interrupted and self.last_event_s is not None:
            self.stalled_s += now_s - self.last_event_s
        self._interrupted = False
        self.last_event_s = now_s
        self.event_count += count


class JobTiming:
    """Times of one job at the daemon that runs it."""

    def __init__(self, spec: JobSpec, started_s: float) -> None:
        """Create the times of a job that this daemon knows since loop time ``started_s``."""
        self._spec = spec
        self._started_s = started_s
        self._times_by_item: dict[str, ItemTimes] = {}
        self._progress = GroupProgress(spec.items, spec.desired)
        self._reported = False
        self.failure_count_by_code: Counter[str] = Counter()
        """Number of failed attempts by error code."""

    def item_times(self, item_id: str) -> ItemTimes:
        """Return the times of an item, for the caller to update."""
        return self._times_by_item.setdefault(item_id, ItemTimes())

    def record_result(
        self, item: ItemSpec, now_s: float, items_with_result: Collection[str]
    ) -> JobGroupsCompleted | None:
        """Record a result; return the report for the result that completes enough groups, else None.

        Args:
            item: the item that got a result.
            now_s: loop time.
            items_with_result: items with a result on the log, from this daemon or earlier owners.
        """
        for item_id in (*items_with_result, item.id):
            self._progress.record_result(item_id)
        if self._reported or not self._progress.has_enough_groups:
            return None
        self._reported = True
        return self._build_report(item, now_s)

    def _build_report(self, item: ItemSpec, now_s: float) -> JobGroupsCompleted:
        times = self.item_times(item.id)
        sent_s = times.first_sent_s if times.first_sent_s is not None else now_s
        first_event_s = times.first_event_s if times.first_event_s is not None else now_s
        all_sent_s = max((other.first_sent_s or 0.0 for other in self._times_by_item.values()), default=now_s)
        return JobGroupsCompleted(
            job_id=self._spec.job_id,
            model=self._spec.model,
            step=self._spec.step,
            items=len(self._spec.items),
            whole_ms=_ms(now_s - self._started_s),
            all_sent_ms=_ms(max(all_sent_s - self._started_s, 0.0)),
            failures=dict(self.failure_count_by_code),
            last_item=item.id,
            waited_ms=_ms(sent_s - self._started_s),
            first_event_ms=_ms(first_event_s - sent_s),
            events=times.event_count,
            events_ms=_ms((times.last_event_s or first_event_s) - first_event_s - times.stalled_s),
            stalled_ms=_ms(times.stalled_s),
            attempts=times.attempts,
        )


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
