"""What the fold of the control topic decides when several daemons claim the lead at once."""

import pytest

from passgate.jobs.records import (
    Batch,
    JobNoted,
    LeaderClaimed,
    WriterAlive,
    WriterStopped,
    decode_batch,
    encode_batch,
)
from passgate.versions.lead_fold import LeadFold


class Log:
    """Feeds a fold and counts offsets."""

    def __init__(self):
        self.fold = LeadFold()
        self.offset = 0

    def add(self, writer, *entries, now_s=0.0):
        batch = decode_batch(encode_batch(Batch(writer=writer, entries=entries)))
        self.fold.apply(self.offset, batch, now_s)
        self.offset += 1
        return self.offset - 1


@pytest.fixture
def log():
    return Log()


def test_racing_claims_have_one_winner_and_a_rising_fence(log):
    first = log.add("d1.x", LeaderClaimed(holder="d1.x", after=-1))
    log.add("d2.x", LeaderClaimed(holder="d2.x", after=-1))
    assert (log.fold.leader, log.fold.leader_fence) == ("d1.x", first)
    log.add("d1.x", WriterStopped())
    assert log.fold.leader == ""
    second = log.add("d2.x", LeaderClaimed(holder="d2.x", after=first))
    assert (log.fold.leader, log.fold.leader_fence) == ("d2.x", second)
    assert second > first


def test_a_renewal_that_reaches_the_log_first_voids_a_claim(log):
    first = log.add("d1.x", LeaderClaimed(holder="d1.x", after=-1))
    log.add("d1.x", WriterAlive(fence=first))
    log.add("d2.x", LeaderClaimed(holder="d2.x", after=first, seen=first))
    assert log.fold.leader == "d1.x"


def test_a_claim_that_arrives_late_does_not_take_the_lead(log):
    first = log.add("d1.x", LeaderClaimed(holder="d1.x", after=-1))
    second = log.add("d2.x", LeaderClaimed(holder="d2.x", after=first, seen=first))
    log.add("d3.x", LeaderClaimed(holder="d3.x", after=first, seen=first))
    assert (log.fold.leader, log.fold.leader_fence) == ("d2.x", second)


def test_a_reader_whose_history_begins_later_learns_the_leader_from_renewals(log):
    log.offset = 500
    log.add("d1.x", WriterAlive(fence=120))
    assert (log.fold.leader, log.fold.leader_fence) == ("d1.x", 120)
    log.add("d2.x", LeaderClaimed(holder="d2.x", after=-1))
    assert log.fold.leader == "d1.x"


def test_the_newest_job_of_a_model_counts(log):
    log.add("d1.a", JobNoted(model="m", lag=1, items=8))
    log.add("d2.a", JobNoted(model="m", lag=0, items=16))
    assert log.fold.newest_jobs["m"] == JobNoted(model="m", lag=0, items=16)
