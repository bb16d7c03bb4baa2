"""The report that breaks down the time of a job."""

from passgate.jobs.job_timing import JobTiming
from passgate.jobs.records import ItemSpec, JobSpec


def item(item_id, group):
    return ItemSpec(id=item_id, path="/p/x", group=group)


def test_the_report_is_made_once_when_the_last_required_group_is_complete():
    items = (item("a1", "a"), item("a2", "a"), item("b1", "b"), item("c1", "c"))
    timing = JobTiming(JobSpec(job_id="j", host="h", path="/p/", items=items, desired=2), started_s=10.0)
    for entry in items:
        timing.item_times(entry.id).record_send(10.5)
    assert timing.record_result(items[0], 11.0, items_with_result=()) is None
    assert timing.record_result(items[2], 12.0, items_with_result=()) is None
    report = timing.record_result(items[1], 13.0, items_with_result=())
    assert (report.last_item, report.whole_ms, report.waited_ms) == ("a2", 3000.0, 500.0)
    assert timing.record_result(items[3], 14.0, items_with_result=()) is None


def test_results_of_an_earlier_owner_count():
    items = (item("a1", "a"), item("a2", "a"))
    timing = JobTiming(JobSpec(job_id="j", host="h", path="/p/", items=items, desired=1), started_s=0.0)
    assert timing.record_result(items[1], 2.0, items_with_result={"a1"}).whole_ms == 2000.0


def test_time_between_attempts_is_reported_apart_from_time_for_events():
    items = (item("a1", "a"),)
    timing = JobTiming(JobSpec(job_id="j", host="h", path="/p/", items=items, desired=1), started_s=0.0)
    times = timing.item_times("a1")
    times.record_send(0.25)
    times.record_events(0.5, 1)
    times.record_events(1.0, 10)
    times.record_send(2.0)
    times.record_events(2.5, 1)
    times.record_events(3.0, 10)
    timing.failure_count_by_code["incomplete_answer"] += 1
    report = timing.record_result(items[0], 3.25, items_with_result=())
    assert (report.waited_ms, report.first_event_ms, report.stalled_ms, report.events_ms) == (
        250.0,
        250.0,
        1500.0,
        1000.0,
    )
    assert (report.attempts, report.events, report.failures) == (2, 22, {"incomplete_answer": 1})
