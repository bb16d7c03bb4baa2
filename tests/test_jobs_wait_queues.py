"""The order in which the items of several jobs get replicas."""

from passgate.jobs.durations import OutputDurations
from passgate.jobs.projection import JobState
from passgate.jobs.records import ItemSpec, JobSpec
from passgate.jobs.runner import JobRunner

MODEL = "m"


class FakeContext:
    """The part of a run's context that determines the order of a job's items."""

    def __init__(self):
        self.durations = OutputDurations()
        self.durations.record_output(MODEL, tokens=1000.0, duration_s=6.0)

    def expected_tokens(self, item):
        return float(item.headers["hint"])


class EmptyProjection:
    recorded_events_by_item = newest_result_by_item = {}


def ranked_items(context, job_id, known_since_s, hints):
    items = tuple(ItemSpec(id=f"{job_id}{hint}", path="/p/x", headers={"hint": str(hint)}) for hint in hints)
    spec = JobSpec(job_id=job_id, host="h", path="/p/", items=items, model=MODEL)
    runner = JobRunner(JobState(spec, "d.a", known_since_s), EmptyProjection(), None, context)
    return [(rank, item.id) for rank, item in runner._ranked_items()]


def test_long_items_of_a_newer_job_come_before_short_ones_of_an_older_job():
    context = FakeContext()
    waiting = ranked_items(context, "old", 0.0, [1000, 50, 900]) + ranked_items(
        context, "new", 4.0, [1000, 50]
    )
    assert [item for _, item in sorted(waiting)] == ["old1000", "old900", "new1000", "old50", "new50"]


def test_without_known_durations_the_older_job_comes_first_and_starts_with_its_longest_item():
    context = FakeContext()
    context.durations = OutputDurations()
    order = ranked_items(context, "old", 0.0, [50, 1000])
    assert [item for _, item in order] == ["old1000", "old50"]
    assert max(order)[0].latest_start_s < min(ranked_items(context, "new", 4.0, [1000]))[0].latest_start_s
