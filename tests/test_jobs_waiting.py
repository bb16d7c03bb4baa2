"""In which order the items of several jobs get replicas."""

from passgate.jobs.durations import OutputDurations
from passgate.jobs.fold import JobState
from passgate.jobs.records import ItemSpec, JobSpec
from passgate.jobs.runner import JobRunner

MODEL = "m"


class Tools:
    """What a runner asks of its tools for the order of its items."""

    def __init__(self):
        self.durations = OutputDurations()
        self.durations.observe(MODEL, tokens=1000.0, duration_s=6.0)

    def expected_tokens(self, item):
        return float(item.headers["hint"])


class NothingKept:
    recorded_events_by_item = newest_result_by_item = {}


def ranks(tools, job_id, folded_s, hints):
    items = tuple(ItemSpec(id=f"{job_id}{hint}", path="/p/x", headers={"hint": str(hint)}) for hint in hints)
    spec = JobSpec(job_id=job_id, host="h", path="/p/", items=items, model=MODEL)
    runner = JobRunner(JobState(spec, "d.a", folded_s), NothingKept(), None, tools)
    return [(rank, item.id) for rank, item in runner._ranked_items()]


def test_long_items_of_a_newer_job_come_before_short_ones_of_an_older_job():
    tools = Tools()
    waiting = ranks(tools, "old", 0.0, [1000, 50, 900]) + ranks(tools, "new", 4.0, [1000, 50])
    assert [item for _, item in sorted(waiting)] == ["old1000", "old900", "new1000", "old50", "new50"]


def test_without_experience_the_older_job_comes_first_and_each_begins_with_its_longest():
    tools = Tools()
    tools.durations = OutputDurations()
    order = ranks(tools, "old", 0.0, [50, 1000])
    assert [item for _, item in order] == ["old1000", "old50"]
    assert max(order)[0].latest_start_s < min(ranks(tools, "new", 4.0, [1000]))[0].latest_start_s
