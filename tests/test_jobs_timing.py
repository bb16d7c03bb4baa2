"""The line that tells where the time of a job's run went."""

from passgate.jobs.records import ItemSpec, JobSpec
from passgate.jobs.timing import JobTiming


def item(item_id, group):
    return ItemSpec(id=item_id, path="/p/x", group=group)


def test_the_line_comes_once_with_the_last_group_that_is_waited_for():
    items = (item("a1", "a"), item("a2", "a"), item("b1", "b"), item("c1", "c"))
    timing = JobTiming(JobSpec(job_id="j", host="h", path="/p/", items=items, desired=2), began_s=10.0)
    for entry in items:
        timing.item(entry.id).sent(10.5)
    assert timing.listed(items[0], 11.0, present=()) is None
    assert timing.listed(items[2], 12.0, present=()) is None
    line = timing.listed(items[1], 13.0, present=())
    assert (line.last_item, line.whole_ms, line.waited_ms) == ("a2", 3000.0, 500.0)
    assert timing.listed(items[3], 14.0, present=()) is None


def test_items_listed_by_an_earlier_owner_count():
    items = (item("a1", "a"), item("a2", "a"))
    timing = JobTiming(JobSpec(job_id="j", host="h", path="/p/", items=items, desired=1), began_s=0.0)
    assert timing.listed(items[1], 2.0, present={"a1"}).whole_ms == 2000.0


def test_time_between_attempts_is_told_apart_from_time_for_events():
    items = (item("a1", "a"),)
    timing = JobTiming(JobSpec(job_id="j", host="h", path="/p/", items=items, desired=1), began_s=0.0)
    times = timing.item("a1")
    times.sent(0.25)
    times.events(0.5, 1)
    times.events(1.0, 10)
    times.sent(2.0)
    times.events(2.5, 1)
    times.events(3.0, 10)
    timing.failures["incomplete_answer"] += 1
    line = timing.listed(items[0], 3.25, present=())
    assert (line.waited_ms, line.first_event_ms, line.stalled_ms, line.events_ms) == (
        250.0,
        250.0,
        1500.0,
        1000.0,
    )
    assert (line.attempts, line.events, line.failures) == (2, 22, {"incomplete_answer": 1})
