"""Claims: a key runs at most once, and repeated calls get the stored outcome or the right error."""

import asyncio
from random import Random

import pytest

from passgate.clock import run_virtual
from passgate.errors import (
    BackendRefused,
    DurabilityUnavailable,
    ExecutionStatus,
    IncompleteAnswer,
    KeyReused,
    OutcomeUnknown,
    PassgateError,
    RequestInProgress,
)
from passgate.records import ClaimCompleted, ClaimMade, ClaimReleased, ClaimUnresolved, Record
from passgate.state.claim_state import ClaimState, transition
from passgate.state.claims import OUTCOME_APPEND_TIMEOUT_S, ClaimOutcome, ClaimService, claim_stream
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient
from passgate.state.projection import Accepted

OUTCOME = ClaimOutcome(200, "application/json", b'{"cartons": 1}\xff')


class Cluster:
    """Daemons that share a log and one backend that counts its runs."""

    def __init__(self):
        self.log = MemoryLog()
        self.alive = set()
        self.runs = 0
        self.failure = None
        self.duration_s = 1.0

    def daemon(self, name):
        self.alive.add(name)
        client = MemoryLogClient(self.log)
        daemon = ClaimService(client, name, self.alive.__contains__, Random(name))
        daemon.client = client
        daemon.name = name
        return daemon

    async def kill(self, daemon):
        daemon.client.down = True
        self.alive.discard(daemon.name)
        await daemon.close()

    async def run(self):
        if self.failure is not None and self.failure.execution is ExecutionStatus.NOT_RUN:
            raise self.failure
        self.runs += 1
        await asyncio.sleep(self.duration_s)
        if self.failure is not None:
            raise self.failure
        return OUTCOME

    def call(self, daemon, digest="digest", timeout_s=5.0):
        return daemon.run_once("key", digest, self.run, timeout_s)


def test_repeated_call_on_any_daemon_returns_the_stored_outcome():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        assert await cluster.call(first) == OUTCOME
        assert [await cluster.call(daemon) for daemon in (first, second)] == [OUTCOME] * 2
        with pytest.raises(KeyReused):
            await cluster.call(second, digest="other")
        assert cluster.runs == 1

    run_virtual(scenario())


@pytest.mark.parametrize("first", list(AppendFault))
@pytest.mark.parametrize("second", list(AppendFault))
def test_concurrent_calls_run_once_for_any_append_faults(first, second):
    async def scenario():
        cluster = Cluster()
        daemons = [cluster.daemon("d1"), cluster.daemon("d2"), cluster.daemon("d3")]
        daemons[0].client.script_faults(first, second)
        daemons[1].client.script_faults(second, first)
        results = await asyncio.gather(*(cluster.call(daemon) for daemon in daemons), return_exceptions=True)
        cluster.log.append_delayed()
        assert cluster.runs == 1
        assert results.count(OUTCOME) == 1
        errors = [result for result in results if result != OUTCOME]
        assert all(isinstance(error, RequestInProgress) for error in errors)
        assert all(error.retry_after_s for error in errors)
        assert await cluster.call(daemons[1]) == OUTCOME

    run_virtual(scenario())


def test_request_does_not_run_without_a_durable_claim():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        daemon.client.down = True
        with pytest.raises(DurabilityUnavailable) as caught:
            await cluster.call(daemon)
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        daemon.client.down = False
        assert await cluster.call(daemon) == OUTCOME
        assert cluster.runs == 1

    run_virtual(scenario())


@pytest.mark.parametrize("fault", [AppendFault.RESPONSE_LOST, AppendFault.DELAYED, AppendFault.HANGING])
def test_claim_accepted_after_its_caller_was_refused_is_released(fault):
    async def scenario():
        cluster = Cluster()
        daemon, other = cluster.daemon("d1"), cluster.daemon("d2")
        daemon.client.script_faults(fault, *[AppendFault.REQUEST_LOST] * 9)
        daemon.client.reads_down = True
        with pytest.raises(DurabilityUnavailable):
            await cluster.call(daemon, timeout_s=0.5)
        cluster.log.append_delayed()
        daemon.client.reads_down = False
        await asyncio.sleep(30)
        assert await cluster.call(other) == OUTCOME
        assert cluster.runs == 1

    run_virtual(scenario())


def test_request_that_certainly_did_not_run_may_run_again():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        cluster.failure = BackendRefused("full")
        with pytest.raises(BackendRefused):
            await cluster.call(first)
        cluster.failure = None
        assert await cluster.call(second) == OUTCOME
        assert cluster.runs == 1

    run_virtual(scenario())


@pytest.mark.parametrize("failure", [IncompleteAnswer("cut off"), ValueError("a bug")])
def test_request_that_may_have_run_never_runs_again(failure):
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        if isinstance(failure, PassgateError):
            cluster.failure = failure
        else:
            cluster.run = raise_after_running(cluster, failure)
        with pytest.raises(type(failure)):
            await cluster.call(first)
        for daemon in (first, second):
            with pytest.raises(OutcomeUnknown):
                await cluster.call(daemon)
        assert cluster.runs == 1

    run_virtual(scenario())


def raise_after_running(cluster, failure):
    async def run():
        cluster.runs += 1
        raise failure

    return run


@pytest.mark.parametrize("killed_at_s", [0.0, 0.0005, 0.0015, 0.0025, 0.5, 1.0005, 1.0015, 1.0045, 1.5])
def test_crash_of_the_holder_at_any_time_never_causes_a_second_run(killed_at_s):
    async def scenario():
        cluster = Cluster()
        holder, other = cluster.daemon("d1"), cluster.daemon("d2")
        call = asyncio.ensure_future(cluster.call(holder))
        await asyncio.sleep(killed_at_s)
        await cluster.kill(holder)
        call.cancel()
        outcomes = []
        for _ in range(3):
            try:
                outcomes.append(await cluster.call(other))
            except OutcomeUnknown as error:
                outcomes.append(type(error))
        assert cluster.runs <= 1
        assert len(set(outcomes)) == 1

    run_virtual(scenario())


def test_call_while_the_holder_runs_raises_request_in_progress():
    async def scenario():
        cluster = Cluster()
        holder, other = cluster.daemon("d1"), cluster.daemon("d2")
        cluster.duration_s = 60.0
        call = asyncio.ensure_future(cluster.call(holder))
        await asyncio.sleep(30)
        with pytest.raises(RequestInProgress) as caught:
            await cluster.call(other)
        assert caught.value.retry_after_s > 0
        assert await call == OUTCOME

    run_virtual(scenario())


def test_cancelled_caller_gets_the_outcome_by_a_repeated_call():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        call = asyncio.ensure_future(cluster.call(daemon))
        await asyncio.sleep(0.5)
        call.cancel()
        assert await daemon.drain(10.0)
        assert await cluster.call(daemon) == OUTCOME
        assert cluster.runs == 1

    run_virtual(scenario())


def test_outcome_is_returned_during_a_log_outage_and_recorded_after_it():
    async def scenario():
        cluster = Cluster()
        holder, other = cluster.daemon("d1"), cluster.daemon("d2")
        call = asyncio.ensure_future(cluster.call(holder))
        await asyncio.sleep(0.5)
        holder.client.down = True
        assert await call == OUTCOME
        with pytest.raises(RequestInProgress):
            await cluster.call(other)
        await asyncio.sleep(OUTCOME_APPEND_TIMEOUT_S / 2)
        holder.client.down = False
        await asyncio.sleep(10)
        assert await cluster.call(other) == OUTCOME
        assert cluster.runs == 1

    run_virtual(scenario())


def test_stored_outcome_is_returned_while_appends_fail():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        await cluster.call(first)
        second.client.appends_down = True
        assert await cluster.call(second) == OUTCOME

    run_virtual(scenario())


def record(writer, body):
    return Record(writer=writer, sequence=1, epoch=0, body=body)


@pytest.mark.parametrize(
    "body",
    [
        ClaimReleased(key="key"),
        ClaimUnresolved(key="key", code="x"),
        ClaimCompleted(key="key", status=200, content_type="", body=""),
    ],
)
def test_only_the_writer_of_a_claim_can_end_it(body):
    claim = ClaimMade(key="key", request_digest="digest", holder="d1")
    state, _ = transition(ClaimState(), 0, record("d1/claim-1", claim))
    for writer in ("d1/claim-2", "d2/claim-1"):
        assert transition(state, 1, record(writer, body))[0] == state
    ended, decision = transition(state, 1, record("d1/claim-1", body))
    assert isinstance(decision, Accepted)
    assert transition(ended, 2, record("d1/claim-1", body))[0] == ended
    other = ClaimMade(key="key", request_digest="other", holder="d2")
    assert isinstance(transition(ended, 2, record("d2/claim-1", other))[1].error, KeyReused)


def test_finished_call_leaves_no_follower_running():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await cluster.call(daemon)
        assert await daemon.drain(10.0)
        assert len(cluster.log.streams[claim_stream("key")]) == 2
        assert daemon.client.read_calls == 0
        assert len(asyncio.all_tasks()) == 1

    run_virtual(scenario())
