"""The projection of one partition of jobs when several daemons append at the same time."""

import pytest

from passgate.jobs.projection import JobProjection
from passgate.jobs.records import (
    Batch,
    ItemProgressed,
    ItemsDone,
    ItemSpec,
    JobCancelled,
    JobClaimed,
    JobSpec,
    Result,
    ResultState,
    WriterStopped,
    decode_batch,
    encode_batch,
    job_pieces,
)


def job_spec(job_id="j", items=("a", "b"), **fields):
    return JobSpec(
        job_id=job_id,
        host="h",
        path="/p/",
        items=tuple(ItemSpec(id=item, path=f"/p/{item}", body=item.encode()) for item in items),
        **fields,
    )


def events_entry(item, run, after, *data, complete=False, parent="", version=1):
    return ItemProgressed(
        job_id="j",
        item_id=item,
        run=run,
        after=after,
        data=data,
        versions=(version,) * len(data),
        last_id=str(after + len(data)),
        parent=parent,
        complete=complete,
    )


def done_entry(item, text="t", job_id="j", versions=(1,)):
    result = Result(item_id=item, state=ResultState.SUCCEEDED, text=text, versions=versions)
    return ItemsDone(job_id=job_id, results=(result,))


class ProjectedLog:
    """Applies batches to a projection at increasing offsets."""

    def __init__(self):
        self.projection = JobProjection()
        self.offset = 0

    def add(self, writer, *entries, now_s=0.0):
        batch = decode_batch(encode_batch(Batch(writer=writer, entries=entries)))
        self.projection.apply(self.offset, batch, now_s)
        self.offset += 1
        return self.offset - 1


@pytest.fixture
def log():
    log = ProjectedLog()
    log.add("d1.x", *job_pieces(job_spec(), "n", 10_000, "d1.x"))
    return log


def test_a_second_submission_is_ignored(log):
    log.add("d1.x", done_entry("a"))
    log.add("d2.x", *job_pieces(job_spec(items=("c",)), "m", 10_000, "d2.x"))
    job = log.projection.jobs["j"]
    assert (job.owner, job.item_count, len(job.results)) == ("d1.x", 2, 1)


def test_a_job_exists_only_once_all_pieces_of_one_submission_were_applied():
    log = ProjectedLog()
    pieces = job_pieces(job_spec(), "n", 40, "d1.x")
    other = job_pieces(job_spec(), "m", 40, "d2.x")
    assert len(pieces) > 2
    log.add("d1.x", *pieces[:-1])
    log.add("d2.x", other[-1])
    assert not log.projection.jobs
    log.add("d1.x", pieces[-1])
    assert log.projection.jobs["j"].spec() == job_spec()


def test_the_first_result_of_an_item_keeps_its_position_and_bytes(log):
    log.add("d1.x", done_entry("b", "first"))
    log.add("d2.x", done_entry("b", "second"), done_entry("a", "other"))
    texts = [result.text for result in log.projection.jobs["j"].results]
    assert texts == ["first", "other"]


def test_a_result_of_an_unknown_item_is_ignored(log):
    log.add("d1.x", done_entry("z"))
    assert log.projection.jobs["j"].results == []


def test_only_the_first_claim_with_the_next_epoch_is_accepted(log):
    log.add("d2.x", JobClaimed(job_id="j", owner="d2.x", epoch=2))
    log.add("d3.x", JobClaimed(job_id="j", owner="d3.x", epoch=2))
    assert log.projection.jobs["j"].owner == "d2.x"


def test_a_graceful_shutdown_leaves_jobs_without_owner(log):
    log.add("d1.x", WriterStopped(), now_s=7.0)
    job = log.projection.jobs["j"]
    assert (job.owner, job.owner_since_s) == ("", 7.0)


def test_a_job_submitted_for_a_stopped_writer_has_no_owner():
    """The daemon that accepted the job had not yet read that the writer stopped."""
    log = ProjectedLog()
    log.add("d1.x", WriterStopped(), now_s=7.0)
    log.add("d2.x", *job_pieces(job_spec(), "n", 10_000, "d1.x"), now_s=8.0)
    job = log.projection.jobs["j"]
    assert (job.owner, job.owner_since_s) == ("", 8.0)


def test_a_claim_by_a_stopped_writer_leaves_the_job_without_owner(log):
    log.add("d2.x", WriterStopped(), now_s=7.0)
    log.add("d2.x", JobClaimed(job_id="j", owner="d2.x", epoch=2), now_s=8.0)
    job = log.projection.jobs["j"]
    assert (job.owner, job.owner_since_s, job.epoch) == ("", 8.0, 2)


def test_a_cancelled_job_is_not_open_and_keeps_its_results(log):
    log.add("d1.x", done_entry("a"))
    log.add("d2.x", JobCancelled(job_id="j"))
    job = log.projection.jobs["j"]
    assert not job.is_open
    assert [result.item_id for result in job.results] == ["a"]


def test_a_job_whose_cancellation_was_read_first_is_cancelled():
    """Guards against runs of a job whose record takes effect late, after its end was acknowledged."""
    late_log = ProjectedLog()
    late_log.add("d1.a", JobCancelled(job_id="j"))
    late_log.add("d1.a", *job_pieces(job_spec(), "n", 1000, "d1.a"))
    assert late_log.projection.jobs["j"].cancelled


def progress_entry(run, after, data, parent="", item="a"):
    return events_entry(item, run, after, *data, parent=parent)


def test_events_of_one_run_are_recorded_in_sequence(log):
    log.add("d1.x", progress_entry("r1", 0, ("1", "2")))
    log.add("d1.x", progress_entry("r1", 2, ("3",)))
    recorded = log.projection.recorded_events_by_item["a"]
    assert (recorded.data, recorded.last_event_id) == (["1", "2", "3"], "3")


def test_events_of_unrelated_runs_are_not_mixed(log):
    log.add("d1.x", progress_entry("r1", 0, ("1", "2")))
    log.add("d2.x", progress_entry("r2", 2, ("x",), parent="r0"))
    log.add("d2.x", progress_entry("r2", 2, ("y",)))
    assert log.projection.recorded_events_by_item["a"].data == ["1", "2"]


def test_a_run_that_resumes_after_the_recorded_events_continues_them(log):
    log.add("d1.x", progress_entry("r1", 0, ("1", "2")))
    log.add("d2.x", progress_entry("r2", 2, ("3",), parent="r1"))
    log.add("d1.x", progress_entry("r1", 2, ("late",)))
    log.add("d2.x", progress_entry("r2", 3, ("4",)))
    assert log.projection.recorded_events_by_item["a"].data == ["1", "2", "3", "4"]


def test_a_run_that_resumed_from_outdated_events_is_ignored(log):
    log.add("d1.x", progress_entry("r1", 0, ("1",)))
    log.add("d1.x", progress_entry("r1", 1, ("2",)))
    log.add("d2.x", progress_entry("r2", 1, ("other",), parent="r1"))
    log.add("d2.x", progress_entry("r2", 2, ("other",)))
    assert log.projection.recorded_events_by_item["a"].data == ["1", "2"]


def test_only_the_owner_may_replace_the_recorded_events_by_a_new_run(log):
    log.add("d1.x", progress_entry("r1", 0, ("1",)))
    log.add("d1.x", progress_entry("r2", 0, ("a", "b")))
    log.add("d2.x", progress_entry("r3", 0, ("z",)))
    assert log.projection.recorded_events_by_item["a"].data == ["a", "b"]


def test_an_item_with_a_result_has_no_recorded_events(log):
    log.add("d1.x", progress_entry("r1", 0, ("1",)))
    log.add("d1.x", done_entry("a"))
    log.add("d1.x", progress_entry("r1", 1, ("2",)))
    assert "a" not in log.projection.recorded_events_by_item
    assert log.projection.newest_result_by_item["a"].text == "t"


def test_events_after_a_complete_output_are_ignored(log):
    log.add("d1.x", events_entry("a", "r1", 0, "x", "y"))
    log.add("d1.x", events_entry("a", "r1", 2, "z", complete=True))
    log.add("d1.x", events_entry("a", "r1", 3, "late"))
    recorded = log.projection.recorded_events_by_item["a"]
    assert (recorded.text(), recorded.complete, recorded.distinct_versions()) == ("x\ny\nz", True, (1,))


def test_an_entry_without_events_can_mark_the_output_as_complete(log):
    log.add("d1.x", events_entry("a", "r1", 0, "x"))
    log.add("d1.x", events_entry("a", "r1", 1, complete=True))
    assert (
        log.projection.recorded_events_by_item["a"].text(),
        log.projection.recorded_events_by_item["a"].complete,
    ) == (
        "x",
        True,
    )


def test_a_late_copy_of_the_first_events_does_not_restart_the_run(log):
    first = events_entry("a", "r1", 0, "x")
    log.add("d1.x", first)
    log.add("d1.x", events_entry("a", "r1", 1, "y", complete=True))
    log.add("d1.x", first)
    assert (
        log.projection.recorded_events_by_item["a"].text(),
        log.projection.recorded_events_by_item["a"].complete,
    ) == (
        "x\ny",
        True,
    )


def test_the_complete_output_of_an_item_whose_scoring_failed_stays_for_a_later_job(log):
    log.add("d1.x", events_entry("a", "r1", 0, "x", complete=True), events_entry("b", "r2", 0, "x"))
    dead = [Result(item_id=item, state=ResultState.DEAD) for item in ("a", "b")]
    log.add("d1.x", ItemsDone(job_id="j", results=tuple(dead)))
    assert set(log.projection.recorded_events_by_item) == {"a"}


def test_a_late_copy_of_a_replaced_run_is_ignored(log):
    dropped = events_entry("a", "r1", 0, "x")
    log.add("d1.x", dropped)
    log.add("d1.x", events_entry("a", "r2", 0, "y"))
    log.add("d1.x", dropped)
    log.add("d1.x", events_entry("a", "r2", 1, "z", complete=True))
    assert (
        log.projection.recorded_events_by_item["a"].text(),
        log.projection.recorded_events_by_item["a"].complete,
    ) == (
        "y\nz",
        True,
    )
