"""What the fold of one partition of jobs decides when several daemons write at once."""

import pytest

from passgate.jobs.fold import JobFold
from passgate.jobs.records import (
    Batch,
    ItemProgressed,
    ItemsDone,
    ItemSpec,
    JobClaimed,
    JobEnded,
    JobSpec,
    Result,
    ResultState,
    WriterStopped,
    decode_batch,
    encode_batch,
    job_pieces,
)


def spec(job_id="j", items=("a", "b"), **fields):
    return JobSpec(
        job_id=job_id,
        host="h",
        path="/p/",
        items=tuple(ItemSpec(id=item, path=f"/p/{item}", body=item.encode()) for item in items),
        **fields,
    )


def events(item, run, after, *data, whole=False, parent="", version=1):
    return ItemProgressed(
        job_id="j",
        item_id=item,
        run=run,
        after=after,
        data=data,
        versions=(version,) * len(data),
        last_id=str(after + len(data)),
        parent=parent,
        whole=whole,
    )


def done(item, text="t", job_id="j", versions=(1,)):
    result = Result(item_id=item, state=ResultState.SUCCEEDED, text=text, versions=versions)
    return ItemsDone(job_id=job_id, results=(result,))


class Log:
    """Feeds a fold and counts offsets."""

    def __init__(self):
        self.fold = JobFold()
        self.offset = 0

    def add(self, writer, *entries, now_s=0.0):
        batch = decode_batch(encode_batch(Batch(writer=writer, entries=entries)))
        self.fold.apply(self.offset, batch, now_s)
        self.offset += 1
        return self.offset - 1


@pytest.fixture
def log():
    log = Log()
    log.add("d1.x", *job_pieces(spec(), "n", 10_000, "d1.x"))
    return log


def test_a_second_submission_changes_nothing(log):
    log.add("d1.x", done("a"))
    log.add("d2.x", *job_pieces(spec(items=("c",)), "m", 10_000, "d2.x"))
    job = log.fold.jobs["j"]
    assert (job.owner, job.item_count, len(job.results)) == ("d1.x", 2, 1)


def test_a_job_in_pieces_exists_only_once_all_of_one_submission_are_there():
    log = Log()
    whole = job_pieces(spec(), "n", 40, "d1.x")
    other = job_pieces(spec(), "m", 40, "d2.x")
    assert len(whole) > 2
    log.add("d1.x", *whole[:-1])
    log.add("d2.x", other[-1])
    assert not log.fold.jobs
    log.add("d1.x", whole[-1])
    assert log.fold.jobs["j"].spec() == spec()


def test_the_first_result_of_an_item_keeps_its_position_and_bytes(log):
    log.add("d1.x", done("b", "first"))
    log.add("d2.x", done("b", "second"), done("a", "other"))
    texts = [result.text for result in log.fold.jobs["j"].results]
    assert texts == ["first", "other"]


def test_a_result_of_an_item_of_another_job_is_not_listed(log):
    log.add("d1.x", done("z"))
    assert log.fold.jobs["j"].results == []


def test_only_the_claim_with_the_next_epoch_counts(log):
    log.add("d2.x", JobClaimed(job_id="j", owner="d2.x", epoch=2))
    log.add("d3.x", JobClaimed(job_id="j", owner="d3.x", epoch=2))
    assert log.fold.jobs["j"].owner == "d2.x"


def test_a_planned_stop_frees_jobs(log):
    log.add("d1.x", WriterStopped(), now_s=7.0)
    job = log.fold.jobs["j"]
    assert (job.owner, job.owner_since_s) == ("", 7.0)


def test_a_job_given_to_a_writer_that_has_stopped_is_free():
    """Accepted by a daemon that had not read of the stop yet."""
    log = Log()
    log.add("d1.x", WriterStopped(), now_s=7.0)
    log.add("d2.x", *job_pieces(spec(), "n", 10_000, "d1.x"), now_s=8.0)
    job = log.fold.jobs["j"]
    assert (job.owner, job.owner_since_s) == ("", 8.0)


def test_a_claim_by_a_writer_that_has_stopped_leaves_the_job_free(log):
    log.add("d2.x", WriterStopped(), now_s=7.0)
    log.add("d2.x", JobClaimed(job_id="j", owner="d2.x", epoch=2), now_s=8.0)
    job = log.fold.jobs["j"]
    assert (job.owner, job.owner_since_s, job.epoch) == ("", 8.0, 2)


def test_an_ended_job_is_not_open_and_keeps_its_results(log):
    log.add("d1.x", done("a"))
    log.add("d2.x", JobEnded(job_id="j"))
    job = log.fold.jobs["j"]
    assert not job.open
    assert [result.item_id for result in job.results] == ["a"]


def progressed(run, after, data, parent="", item="a"):
    return events(item, run, after, *data, parent=parent)


def test_kept_events_grow_along_one_run(log):
    log.add("d1.x", progressed("r1", 0, ("1", "2")))
    log.add("d1.x", progressed("r1", 2, ("3",)))
    kept = log.fold.recorded_events_by_item["a"]
    assert (kept.data, kept.last_event_id) == (["1", "2", "3"], "3")


def test_kept_events_never_join_pieces_of_two_runs(log):
    log.add("d1.x", progressed("r1", 0, ("1", "2")))
    log.add("d2.x", progressed("r2", 2, ("x",), parent="r0"))
    log.add("d2.x", progressed("r2", 2, ("y",)))
    assert log.fold.recorded_events_by_item["a"].data == ["1", "2"]


def test_a_run_that_goes_on_after_the_kept_events_takes_over(log):
    log.add("d1.x", progressed("r1", 0, ("1", "2")))
    log.add("d2.x", progressed("r2", 2, ("3",), parent="r1"))
    log.add("d1.x", progressed("r1", 2, ("late",)))
    log.add("d2.x", progressed("r2", 3, ("4",)))
    assert log.fold.recorded_events_by_item["a"].data == ["1", "2", "3", "4"]


def test_a_run_that_goes_on_after_events_that_have_grown_since_is_not_kept(log):
    log.add("d1.x", progressed("r1", 0, ("1",)))
    log.add("d1.x", progressed("r1", 1, ("2",)))
    log.add("d2.x", progressed("r2", 1, ("other",), parent="r1"))
    log.add("d2.x", progressed("r2", 2, ("other",)))
    assert log.fold.recorded_events_by_item["a"].data == ["1", "2"]


def test_the_owner_may_begin_a_run_anew(log):
    log.add("d1.x", progressed("r1", 0, ("1",)))
    log.add("d1.x", progressed("r2", 0, ("a", "b")))
    log.add("d2.x", progressed("r3", 0, ("z",)))
    assert log.fold.recorded_events_by_item["a"].data == ["a", "b"]


def test_a_listed_item_keeps_no_events(log):
    log.add("d1.x", progressed("r1", 0, ("1",)))
    log.add("d1.x", done("a"))
    log.add("d1.x", progressed("r1", 1, ("2",)))
    assert "a" not in log.fold.recorded_events_by_item
    assert log.fold.newest_result_by_item["a"].text == "t"


def test_a_whole_text_that_waits_for_its_score_stays_as_it_is(log):
    log.add("d1.x", events("a", "r1", 0, "x", "y"))
    log.add("d1.x", events("a", "r1", 2, "z", whole=True))
    log.add("d1.x", events("a", "r1", 3, "late"))
    kept = log.fold.recorded_events_by_item["a"]
    assert (kept.text(), kept.complete, kept.distinct_versions()) == ("x\ny\nz", True, (1,))


def test_an_end_without_events_marks_the_kept_ones_as_whole(log):
    log.add("d1.x", events("a", "r1", 0, "x"))
    log.add("d1.x", events("a", "r1", 1, whole=True))
    assert (log.fold.recorded_events_by_item["a"].text(), log.fold.recorded_events_by_item["a"].complete) == (
        "x",
        True,
    )


def test_a_late_copy_of_the_first_events_does_not_begin_the_run_anew(log):
    first = events("a", "r1", 0, "x")
    log.add("d1.x", first)
    log.add("d1.x", events("a", "r1", 1, "y", whole=True))
    log.add("d1.x", first)
    assert (log.fold.recorded_events_by_item["a"].text(), log.fold.recorded_events_by_item["a"].complete) == (
        "x\ny",
        True,
    )


def test_the_whole_text_of_an_item_whose_scoring_failed_is_kept_for_a_later_job(log):
    log.add("d1.x", events("a", "r1", 0, "x", whole=True), events("b", "r2", 0, "x"))
    dead = [Result(item_id=item, state=ResultState.DEAD) for item in ("a", "b")]
    log.add("d1.x", ItemsDone(job_id="j", results=tuple(dead)))
    assert set(log.fold.recorded_events_by_item) == {"a"}


def test_a_late_copy_of_a_run_that_was_dropped_does_not_bring_it_back(log):
    dropped = events("a", "r1", 0, "x")
    log.add("d1.x", dropped)
    log.add("d1.x", events("a", "r2", 0, "y"))
    log.add("d1.x", dropped)
    log.add("d1.x", events("a", "r2", 1, "z", whole=True))
    assert (log.fold.recorded_events_by_item["a"].text(), log.fold.recorded_events_by_item["a"].complete) == (
        "y\nz",
        True,
    )
