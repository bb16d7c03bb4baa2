"""Where the time of a job's run goes: one line when the groups that its caller waits for are whole.

The item listed last of these groups decides how long the job takes, so the line tells
that item's time by part.

>>> item = ItemSpec(id="i", path="/p", group="g")
>>> timing = JobTiming(JobSpec(job_id="j", host="h", path="/p", items=(item,), desired=1), began_s=1.0)
>>> times = timing.item("i")
>>> times.sent(1.5); times.events(2.0, 1); times.events(4.0, 50)
>>> line = timing.listed(item, now_s=4.1, present=())
>>> line.waited_ms, line.first_event_ms, line.events, line.stalled_ms, line.whole_ms
(500.0, 500.0, 51, 0.0, 3100.0)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

import msgspec

from passgate.decisions import JobWhole
from passgate.jobs.groups import GroupProgress
from passgate.jobs.records import ItemSpec, JobSpec


class ItemTimes(msgspec.Struct):
    """Times of one item at this daemon, over all its attempts; in seconds of the loop."""

    sent_s: float | None = None
    """When the first attempt was sent."""
    first_event_s: float | None = None
    last_event_s: float | None = None
    attempts: int = 0
    events_made: int = 0
    stalled_s: float = 0.0
    """Time from the last event of one attempt to the first of the next, over all attempts."""
    _interrupted: bool = False

    def sent(self, now_s: float) -> None:
        """Count an attempt."""
        self.attempts += 1
        if self.sent_s is None:
            self.sent_s = now_s
        self._interrupted = self.last_event_s is not None

    def events(self, now_s: float, count: int) -> None:
        """Count whole events that have just come."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self._interrupted and self.last_event_s is not None:
            self.stalled_s += now_s - self.last_event_s
        self._interrupted = False
        self.last_event_s = now_s
        self.events_made += count


class JobTiming:
    """Times of one job at the daemon that runs it."""

    def __init__(self, spec: JobSpec, began_s: float) -> None:
        self._spec = spec
        self._began_s = began_s
        self._items: dict[str, ItemTimes] = {}
        self._progress = GroupProgress(spec.items, spec.desired)
        self._told = False
        self.failures: Counter[str] = Counter()
        """Attempts that ended without the whole output, by code."""

    def item(self, item_id: str) -> ItemTimes:
        """Return the times of an item, to be filled."""
        return self._items.setdefault(item_id, ItemTimes())

    def listed(self, item: ItemSpec, now_s: float, present: Collection[str]) -> JobWhole | None:
        """Note a result; return the line when it makes the last group whole that the caller waits for.

        Args:
            item: the item that has a result now.
            now_s: loop time.
            present: items listed by this daemon or earlier owners.
        """
        for item_id in (*present, item.id):
            self._progress.listed(item_id)
        if self._told or not self._progress.enough:
            return None
        self._told = True
        return self._line(item, now_s)

    def _line(self, item: ItemSpec, now_s: float) -> JobWhole:
        times = self.item(item.id)
        sent_s = times.sent_s if times.sent_s is not None else now_s
        first_s = times.first_event_s if times.first_event_s is not None else now_s
        all_sent_s = max((other.sent_s or 0.0 for other in self._items.values()), default=now_s)
        return JobWhole(
            job_id=self._spec.job_id,
            model=self._spec.model,
            step=self._spec.step,
            items=len(self._spec.items),
            whole_ms=_ms(now_s - self._began_s),
            all_sent_ms=_ms(max(all_sent_s - self._began_s, 0.0)),
            failures=dict(self.failures),
            last_item=item.id,
            waited_ms=_ms(sent_s - self._began_s),
            first_event_ms=_ms(first_s - sent_s),
            events=times.events_made,
            events_ms=_ms((times.last_event_s or first_s) - first_s - times.stalled_s),
            stalled_ms=_ms(times.stalled_s),
            attempts=times.attempts,
        )


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
