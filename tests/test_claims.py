"""Claims: at most one run per key, and truthful answers to every repeat."""

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
from passgate.state.claims import OUTCOME_TIMEOUT_S, ClaimOutcome, ClaimService, stream_of
from passgate.state.fold import Accepted
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient

OUTCOME = ClaimOutcome(200, "application/json", b'{"cartons": 1}\xff')


class World:
    """Daemons that share a log and one back end that counts its runs."""

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


def test_repeats_through_any_daemon_get_the_stored_outcome():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        assert await world.call(first) == OUTCOME
        assert [await world.call(daemon) for daemon in (first, second)] == [OUTCOME] * 2
        with pytest.raises(KeyReused):
            await world.call(second, digest="other")
        assert world.runs == 1

    run_virtual(scenario())


@pytest.mark.parametrize("first", list(AppendFault))
@pytest.mark.parametrize("second", list(AppendFault))
def test_racing_calls_run_once_whatever_the_appends_do(first, second):
    async def scenario():
        world = World()
        daemons = [world.daemon("d1"), world.daemon("d2"), world.daemon("d3")]
        daemons[0].client.script(first, second)
        daemons[1].client.script(second, first)
        answers = await asyncio.gather(*(world.call(daemon) for daemon in daemons), return_exceptions=True)
        world.log.land_late()
        assert world.runs == 1
        assert answers.count(OUTCOME) == 1
        refused = [answer for answer in answers if answer != OUTCOME]
        assert all(isinstance(answer, RequestInProgress) for answer in refused)
        assert all(answer.retry_after_s for answer in refused)
        assert await world.call(daemons[1]) == OUTCOME

    run_virtual(scenario())


def test_claim_that_is_not_durable_does_not_run():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        daemon.client.down = True
        with pytest.raises(DurabilityUnavailable) as caught:
            await world.call(daemon)
        assert caught.value.execution is ExecutionStatus.NOT_RUN
        daemon.client.down = False
        assert await world.call(daemon) == OUTCOME
        assert world.runs == 1

    run_virtual(scenario())


@pytest.mark.parametrize("fault", [AppendFault.ANSWER_LOST, AppendFault.LATE, AppendFault.HANGS])
def test_claim_that_lands_after_its_caller_was_refused_is_given_back(fault):
    async def scenario():
        world = World()
        daemon, other = world.daemon("d1"), world.daemon("d2")
        daemon.client.script(fault, *[AppendFault.REQUEST_LOST] * 9)
        daemon.client.reads_down = True
        with pytest.raises(DurabilityUnavailable):
            await world.call(daemon, timeout_s=0.5)
        world.log.land_late()
        daemon.client.reads_down = False
        await asyncio.sleep(30)
        assert await world.call(other) == OUTCOME
        assert world.runs == 1

    run_virtual(scenario())


def test_run_that_surely_did_not_happen_may_be_repeated():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        world.failure = BackendRefused("full")
        with pytest.raises(BackendRefused):
            await world.call(first)
        world.failure = None
        assert await world.call(second) == OUTCOME
        assert world.runs == 1

    run_virtual(scenario())


@pytest.mark.parametrize("failure", [IncompleteAnswer("cut off"), ValueError("a bug")])
def test_run_that_may_have_happened_is_never_repeated(failure):
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        if isinstance(failure, PassgateError):
            world.failure = failure
        else:
            world.run = raise_after_running(world, failure)
        with pytest.raises(type(failure)):
            await world.call(first)
        for daemon in (first, second):
            with pytest.raises(OutcomeUnknown):
                await world.call(daemon)
        assert world.runs == 1

    run_virtual(scenario())


def raise_after_running(world, failure):
    async def run():
        world.runs += 1
        raise failure

    return run


@pytest.mark.parametrize("killed_at_s", [0.0, 0.0005, 0.0015, 0.0025, 0.5, 1.0005, 1.0015, 1.0045, 1.5])
def test_holder_killed_at_any_time_never_causes_a_second_run(killed_at_s):
    async def scenario():
        world = World()
        holder, other = world.daemon("d1"), world.daemon("d2")
        call = asyncio.ensure_future(world.call(holder))
        await asyncio.sleep(killed_at_s)
        await world.kill(holder)
        call.cancel()
        outcomes = []
        for _ in range(3):
            try:
                outcomes.append(await world.call(other))
            except OutcomeUnknown as error:
                outcomes.append(type(error))
        assert world.runs <= 1
        assert len(set(outcomes)) == 1

    run_virtual(scenario())


def test_holder_that_is_alive_is_asked_again_later():
    async def scenario():
        world = World()
        holder, other = world.daemon("d1"), world.daemon("d2")
        world.duration_s = 60.0
        call = asyncio.ensure_future(world.call(holder))
        await asyncio.sleep(30)
        with pytest.raises(RequestInProgress) as caught:
            await world.call(other)
        assert caught.value.retry_after_s > 0
        assert await call == OUTCOME

    run_virtual(scenario())


def test_caller_that_goes_away_finds_the_outcome_later():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        call = asyncio.ensure_future(world.call(daemon))
        await asyncio.sleep(0.5)
        call.cancel()
        assert await daemon.drain(10.0)
        assert await world.call(daemon) == OUTCOME
        assert world.runs == 1

    run_virtual(scenario())


def test_outcome_is_given_in_an_outage_and_recorded_after_it():
    async def scenario():
        world = World()
        holder, other = world.daemon("d1"), world.daemon("d2")
        call = asyncio.ensure_future(world.call(holder))
        await asyncio.sleep(0.5)
        holder.client.down = True
        assert await call == OUTCOME
        with pytest.raises(RequestInProgress):
            await world.call(other)
        await asyncio.sleep(OUTCOME_TIMEOUT_S / 2)
        holder.client.down = False
        await asyncio.sleep(10)
        assert await world.call(other) == OUTCOME
        assert world.runs == 1

    run_virtual(scenario())


def test_stored_outcome_is_given_while_the_log_takes_no_records():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        await world.call(first)
        second.client.appends_down = True
        assert await world.call(second) == OUTCOME

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
def test_only_the_writer_of_a_claim_ends_it(body):
    claim = ClaimMade(key="key", request_digest="digest", holder="d1")
    state, _ = transition(ClaimState(), 0, record("d1/claim-1", claim))
    for writer in ("d1/claim-2", "d2/claim-1"):
        assert transition(state, 1, record(writer, body))[0] == state
    ended, decision = transition(state, 1, record("d1/claim-1", body))
    assert isinstance(decision, Accepted)
    assert transition(ended, 2, record("d1/claim-1", body))[0] == ended
    other = ClaimMade(key="key", request_digest="other", holder="d2")
    assert isinstance(transition(ended, 2, record("d2/claim-1", other))[1].error, KeyReused)


def test_finished_attempts_leave_no_reader_behind():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await world.call(daemon)
        assert await daemon.drain(10.0)
        assert len(world.log.streams[stream_of("key")]) == 2
        assert daemon.client.read_calls == 0
        assert len(asyncio.all_tasks()) == 1

    run_virtual(scenario())
