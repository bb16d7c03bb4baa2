"""Guards against two leaders when several daemons claim leadership concurrently."""

import pytest

from passgate.jobs.records import (
    Batch,
    LeaderClaimed,
    WeightDemand,
    WriterAlive,
    WriterStopped,
    decode_batch,
    encode_batch,
)
from passgate.versions.leadership_projection import LeadershipProjection


class LogFeeder:
    """Appends batches to a projection at rising offsets."""

    def __init__(self):
        self.projection = LeadershipProjection()
        self.offset = 0

    def append(self, writer, *entries, now_s=0.0):
        batch = decode_batch(encode_batch(Batch(writer=writer, entries=entries)))
        self.projection.apply(self.offset, batch, now_s)
        self.offset += 1
        return self.offset - 1


@pytest.fixture
def log():
    return LogFeeder()


def test_concurrent_claims_have_one_winner_and_a_rising_fence(log):
    first = log.append("d1.x", LeaderClaimed(leader="d1.x", after=-1))
    log.append("d2.x", LeaderClaimed(leader="d2.x", after=-1))
    assert (log.projection.leader, log.projection.leader_fence) == ("d1.x", first)
    log.append("d1.x", WriterStopped())
    assert log.projection.leader == ""
    second = log.append("d2.x", LeaderClaimed(leader="d2.x", after=first))
    assert (log.projection.leader, log.projection.leader_fence) == ("d2.x", second)
    assert second > first


def test_a_renewal_that_reaches_the_log_first_invalidates_a_claim(log):
    first = log.append("d1.x", LeaderClaimed(leader="d1.x", after=-1))
    log.append("d1.x", WriterAlive(fence=first))
    log.append("d2.x", LeaderClaimed(leader="d2.x", after=first, seen=first))
    assert log.projection.leader == "d1.x"


def test_a_late_claim_is_rejected(log):
    first = log.append("d1.x", LeaderClaimed(leader="d1.x", after=-1))
    second = log.append("d2.x", LeaderClaimed(leader="d2.x", after=first, seen=first))
    log.append("d3.x", LeaderClaimed(leader="d3.x", after=first, seen=first))
    assert (log.projection.leader, log.projection.leader_fence) == ("d2.x", second)


def test_a_reader_of_truncated_history_learns_the_leader_from_renewals(log):
    log.offset = 500
    log.append("d1.x", WriterAlive(fence=120))
    assert (log.projection.leader, log.projection.leader_fence) == ("d1.x", 120)
    log.append("d2.x", LeaderClaimed(leader="d2.x", after=-1))
    assert log.projection.leader == "d1.x"


def test_the_newest_job_of_a_model_replaces_older_ones(log):
    log.append("d1.a", WeightDemand(model="m", lag=1, items=8))
    log.append("d2.a", WeightDemand(model="m", lag=0, items=16))
    assert log.projection.newest_demand_by_model["m"] == WeightDemand(model="m", lag=0, items=16)
