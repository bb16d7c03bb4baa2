"""Lots: exactly-once delivery, staleness, concurrent daemons, and crashes at every append."""

import asyncio
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from passgate.clock import monotonic_s, run_virtual
from passgate.errors import (
    DurabilityUnavailable,
    InvalidRequest,
    KeyReused,
    LogUnavailable,
    NotFound,
    Overloaded,
    PassgateError,
)
from passgate.records import PromptSpec
from passgate.schema import FinishReason, GenerateResult, VersionSpan
from passgate.state import lots as lots_module
from passgate.state.lot_opening import LOT_LIMIT_PROMPTS
from passgate.state.lots import LotRequest, LotService
from passgate.state.memory_log import AppendFault, MemoryLog, MemoryLogClient

BOUND = 1


class CrashingClient(MemoryLogClient):
    """Log client of a daemon that crashes at its n-th append, before or after the records are appended."""

    def __init__(self, log):
        super().__init__(log)
        self.crash_at_append = 0
        """Number of the append, from 1; 0 for no crash."""
        self.appends_before_crash = False
        """Whether the records of that append reach the log."""
        self.crashed = asyncio.Event()
        self._append_count = 0

    async def append(self, stream, payloads, timeout_s):
        self._append_count += 1
        if self._append_count == self.crash_at_append:
            if self.appends_before_crash:
                self.log.put(stream, payloads)
            self.down = True
            self.crashed.set()
            self.on_crash()
        if self.down:
            raise LogUnavailable("the daemon has crashed")
        return await super().append(stream, payloads, timeout_s)


class Cluster:
    """Daemons that share a log, a newest model version and a set of live members."""

    def __init__(self):
        self.log = MemoryLog()
        self.version = 5
        self.alive = set()
        self.requests = []
        self.failures = {}
        self.production_s = 1.0
        self.stagger_s = 0.0

    def daemon(self, name):
        self.alive.add(name)
        client = CrashingClient(self.log)
        daemon = LotService(
            client, self.produce, lambda model: self.version, name, self.alive.__contains__, Random(name)
        )
        daemon.client = client
        daemon.name = name
        client.on_crash = lambda: self.alive.discard(name)
        return daemon

    async def kill(self, daemon):
        daemon.client.down = True
        self.alive.discard(daemon.name)
        await daemon.close()

    async def produce(self, request):
        self.requests.append(request)
        request_number, version = len(self.requests), self.version
        await asyncio.sleep(self.production_s + self.stagger_s * request.prompt[0])
        failure = self.failures.get(request.request_id)
        if failure is not None:
            raise failure
        return GenerateResult(
            request_id=request.request_id,
            tokens=(request.prompt[0], request_number),
            spans=(VersionSpan(0, 2, version),),
            finish_reason=FinishReason.STOP,
            replica_id="e1",
        )


class Trainer:
    """Reads a lot to its end, acknowledges and replaces samples, and checks each page."""

    def __init__(self, cluster, lot_id="lot"):
        self.cluster = cluster
        self.lot_id = lot_id
        self.cursor = 0
        self.samples = {}
        self.failed = {}
        self.finished = False

    async def step(self, daemon, limit=3, wait_s=2.0):
        page = await daemon.read(self.lot_id, self.cursor, limit, wait_s, None)
        self.check_page(page)
        not_received = [identifier for identifier in page.withdrawn if identifier not in self.samples]
        if not_received:
            await daemon.replace(self.lot_id, not_received)
        self.cursor = page.next_cursor
        self.finished = page.finished and not not_received
        await daemon.acknowledge(self.lot_id, [sample.sample_id for sample in page.samples])

    def check_page(self, page):
        for sample in page.samples:
            received = self.samples.setdefault(sample.sample_id, sample)
            assert received == sample, "a sample was delivered with two contents"
            oldest = min(span.version for span in sample.spans)
            assert self.cluster.version - oldest <= BOUND, "a sample over the staleness bound was delivered"
        self.failed.update((failure.index, failure.code) for failure in page.failed)

    async def read_all(self, *daemons):
        """Read from the daemons in turn until the lot is finished."""
        for turn in range(500):
            if self.finished:
                return
            daemon = daemons[turn % len(daemons)]
            if daemon.client.down:
                await asyncio.sleep(0.1)
                continue
            await self.step_or_crash(daemon)
        raise AssertionError("the lot is not finished after 500 reads")

    async def step_or_crash(self, daemon):
        """Read once; when the daemon crashes meanwhile, cancel the read and close the daemon."""
        step = asyncio.ensure_future(self.step(daemon))
        crashed = asyncio.ensure_future(daemon.client.crashed.wait())
        await asyncio.wait({step, crashed}, return_when=asyncio.FIRST_COMPLETED)
        crashed.cancel()
        if daemon.client.crashed.is_set():
            step.cancel()
            await self.cluster.kill(daemon)
        try:
            await step
        except (PassgateError, asyncio.CancelledError):
            await asyncio.sleep(0.1)


def request(prompts=5, **options):
    options.setdefault("staleness_bound", BOUND)
    return LotRequest(
        caller="trainer",
        pool="modelos",
        model="m",
        prompts=tuple(PromptSpec(prompt=(number,), max_tokens=2) for number in range(prompts)),
        **options,
    )


def all_sample_ids(prompts):
    return [f"lot/{index}" for index in range(prompts)]


def test_trainer_gets_each_sample_once():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(7), "lot")
        trainer = Trainer(cluster)
        await trainer.read_all(daemon)
        assert sorted(trainer.samples) == all_sample_ids(7)
        assert len(cluster.requests) == 7
        assert {sent.minimum_version for sent in cluster.requests} == {4}
        info = await daemon.info("lot")
        assert (info.acknowledged, info.finished) == (7, True)

    run_virtual(scenario())


@pytest.mark.parametrize("appends_before_crash", [False, True])
@pytest.mark.parametrize("append", range(1, 10))
def test_daemon_that_crashes_at_any_append_loses_and_duplicates_no_sample(append, appends_before_crash):
    async def scenario():
        cluster = Cluster()
        cluster.stagger_s = 0.5
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        first.client.crash_at_append, first.client.appends_before_crash = append, appends_before_crash
        try:
            await first.open(request(5), "lot")
        except DurabilityUnavailable:
            await cluster.kill(first)
            await second.open(request(5), "lot")
        trainer = Trainer(cluster)
        await trainer.read_all(first, first, first, second)
        assert sorted(trainer.samples) == all_sample_ids(5)
        assert first.client.crashed.is_set()

    run_virtual(scenario())


async def run_with_random_faults(seed):
    """Two readers, four daemons of which three crash, random append faults, and new versions."""
    cluster, random = Cluster(), Random(seed)
    daemons = [cluster.daemon(f"d{number}") for number in range(4)]
    await daemons[0].open(request(8), "lot")
    for daemon in daemons[:3]:
        daemon.client.crash_at_append, daemon.client.appends_before_crash = (
            random.randint(2, 30),
            random.random() < 0.5,
        )
    for daemon in daemons:
        daemon.client.script_faults(*random.choices(list(AppendFault), k=6))

    async def publish():
        for _ in range(4):
            await asyncio.sleep(random.expovariate(0.5))
            cluster.version += 1
            cluster.log.append_delayed()

    publish_task = asyncio.ensure_future(publish())
    trainers = [Trainer(cluster), Trainer(cluster)]
    trainers[1].samples = trainers[0].samples
    await asyncio.gather(*(trainer.read_all(*daemons) for trainer in trainers))
    publish_task.cancel()
    assert sorted(trainers[0].samples) == all_sample_ids(8)


@given(seed=st.integers(0, 2**32))
@settings(max_examples=60, deadline=None)
def test_each_sample_is_delivered_once_under_random_faults(seed):
    run_virtual(run_with_random_faults(seed))


def test_repeated_read_returns_the_same_samples_on_any_daemon():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        await first.open(request(6), "lot")
        await asyncio.sleep(2)
        first.client.script_faults(AppendFault.RESPONSE_LOST)
        pages = await asyncio.gather(
            first.read("lot", 0, 4, 1.0), second.read("lot", 0, 3, 1.0), second.read("lot", 0, 4, 1.0)
        )
        assert pages[0].samples == pages[2].samples
        assert pages[1].samples == pages[0].samples[:3]
        assert await second.read("lot", 0, 4, 1.0) == pages[0]
        rest = await second.read("lot", 4, 4, 1.0)
        assert len({sample.index for sample in pages[0].samples + rest.samples}) == 6

    run_virtual(scenario())


def test_sample_that_became_stale_before_the_hand_over_is_produced_again():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(3), "lot")
        await asyncio.sleep(1.5)
        assert (await daemon.info("lot")).committed == 3
        cluster.version = 7
        trainer = Trainer(cluster)
        await trainer.read_all(daemon)
        assert {sample.attempt for sample in trainer.samples.values()} == {1}
        assert len(cluster.requests) == 6

    run_virtual(scenario())


def test_staleness_counts_from_the_version_that_the_trainer_sends():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(1), "lot")
        await asyncio.sleep(1.5)
        page = await daemon.read("lot", 0, 1, 0.0, trainer_version=7)
        assert page.samples == ()
        assert (await daemon.info("lot")).open == 1

    run_virtual(scenario())


def test_sample_that_becomes_stale_during_the_hand_over_is_not_delivered():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(1), "lot")
        await asyncio.sleep(1.5)
        daemon.client.latency_s = 0.2
        read_task = asyncio.ensure_future(daemon.read("lot", 0, 1, 1.0))
        await asyncio.sleep(0.1)
        cluster.version = 7
        page = await read_task
        assert (page.samples, page.withdrawn, page.finished) == ((), ("lot/0",), False)

    run_virtual(scenario())


def test_withdrawn_sample_is_replaced_once_by_repeated_calls():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        await first.open(request(2), "lot")
        first_page = await first.read("lot", 0, 2, 5.0)
        assert len(first_page.samples) == 2
        cluster.version = 7
        again = await second.read("lot", 0, 2, 1.0)
        assert (again.samples, again.withdrawn) == ((), ("lot/0", "lot/1"))
        results = await asyncio.gather(first.replace("lot", ["lot/1"]), second.replace("lot", ["lot/1"]))
        assert sorted(results) == [(), ("lot/1",)]
        page = await second.read("lot", again.next_cursor, 2, 5.0)
        assert [(sample.index, sample.attempt) for sample in page.samples] == [(1, 1)]
        assert await first.replace("lot", ["lot/1"]) == ()
        assert len(cluster.requests) == 3
        again = await first.read("lot", 0, 1 + again.next_cursor, 0.0)
        assert [(sample.index, sample.attempt) for sample in again.samples] == [(1, 1)]
        assert again.withdrawn == ("lot/0",)

    run_virtual(scenario())


def test_keeper_wrongly_considered_dead_commits_nothing():
    async def scenario():
        cluster = Cluster()
        paused, other = cluster.daemon("d1"), cluster.daemon("d2")
        await paused.open(request(4), "lot")
        cluster.alive.discard("d1")
        trainer = Trainer(cluster)
        await trainer.read_all(other, paused)
        assert sorted(trainer.samples) == all_sample_ids(4)
        assert (await other.info("lot")).keeper == "d2"
        assert b'"epoch":1,"body":{"type":"sample_committed"' not in b"".join(cluster.log.streams["lot.lot"])

    run_virtual(scenario())


def test_daemons_that_consider_each_other_dead_still_finish_the_lot():
    async def scenario():
        cluster = Cluster()
        cluster.production_s = 20.0
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        cluster.alive.clear()
        await first.open(request(4), "lot")
        trainer = Trainer(cluster)
        await trainer.read_all(first, second)
        assert sorted(trainer.samples) == all_sample_ids(4)
        assert (await first.info("lot")).epoch < 12

    run_virtual(scenario())


def test_stale_samples_of_an_inactive_trainer_are_not_produced_again():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(2), "lot")
        for _ in range(20):
            await asyncio.sleep(360)
            cluster.version += 2
        assert len(cluster.requests) == 2
        await Trainer(cluster).read_all(daemon)
        assert len(cluster.requests) == 4

    run_virtual(scenario())


def test_drain_commits_samples_in_progress_and_releases_the_lot():
    async def scenario():
        cluster = Cluster()
        draining, other = cluster.daemon("d1"), cluster.daemon("d2")
        await draining.open(request(4), "lot")
        await asyncio.sleep(0.5)
        await draining.drain(timeout_s=30.0)
        info = await other.info("lot")
        assert (info.committed, info.open, info.keeper) == (4, 0, "")
        trainer = Trainer(cluster)
        cluster.version = 7
        await trainer.step(draining)
        await trainer.read_all(other)
        assert sorted(trainer.samples) == all_sample_ids(4)
        assert (await other.info("lot")).keeper == "d2"

    run_virtual(scenario())


def test_production_continues_and_reads_fail_during_a_log_outage():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(4), "lot")
        await asyncio.sleep(1.5)
        daemon.client.down = True
        with pytest.raises(DurabilityUnavailable):
            await daemon.read("lot", 0, 2, 1.0)
        await asyncio.sleep(300)
        daemon.client.down = False
        trainer = Trainer(cluster)
        await trainer.read_all(daemon)
        assert sorted(trainer.samples) == all_sample_ids(4)
        assert len(cluster.requests) == 4

    run_virtual(scenario())


def test_samples_already_handed_over_are_served_during_a_log_outage():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(4), "lot")
        page = await daemon.read("lot", 0, 2, 5.0)
        daemon.client.down = True
        assert (await daemon.read("lot", 0, 4, 0.0)).samples == page.samples

    run_virtual(scenario())


def test_slot_that_can_not_be_produced_fails_with_the_code_of_its_error():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        cluster.failures = {f"lot/0/0/1/{tries}": Overloaded("full", retry_after_s=3.0) for tries in range(9)}
        cluster.failures["lot/1/0/1/1"] = InvalidRequest("bad prompt")
        cluster.failures["lot/2/0/1/1"] = Overloaded("full", retry_after_s=3.0)
        cluster.failures["lot/2/0/1/2"] = ValueError("a bug")
        await daemon.open(request(3, deadline_s=20.0), "lot")
        trainer = Trainer(cluster)
        await trainer.read_all(daemon)
        assert trainer.failed == {0: "deadline_exceeded", 1: "invalid_request"}
        assert sorted(trainer.samples) == ["lot/2"]
        assert monotonic_s() < 22.0
        assert len(cluster.requests) < 20

    run_virtual(scenario())


def test_open_is_idempotent_and_refuses_an_identifier_of_another_request():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        infos = await asyncio.gather(
            first.open(request(3, deadline_s=9.0), "lot"), second.open(request(3, deadline_s=8.0), "lot")
        )
        assert infos[0].lot_id == infos[1].lot_id
        with pytest.raises(KeyReused):
            await second.open(request(4), "lot")
        trainer = Trainer(cluster)
        await trainer.read_all(first, second)
        assert len(cluster.requests) == 3

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("invalid_request", "field"),
    [
        (request(0), "prompts"),
        (request(1, staleness_bound=-1), "staleness_bound"),
        (request(LOT_LIMIT_PROMPTS + 1), "prompts"),
        (replace(request(1), prompts=(PromptSpec(prompt=(-1,), max_tokens=1),)), "prompts.prompt"),
        (replace(request(1), prompts=(PromptSpec(prompt=(1,), max_tokens=0),)), "prompts.max_tokens"),
    ],
)
def test_invalid_request_is_refused_before_anything_is_written(invalid_request, field):
    async def scenario():
        cluster = Cluster()
        with pytest.raises(InvalidRequest) as caught:
            await cluster.daemon("d1").open(invalid_request, "lot")
        assert caught.value.details["field"] == field
        assert not cluster.log.streams

    run_virtual(scenario())


def test_cancelled_lot_is_finished_on_all_daemons():
    async def scenario():
        cluster = Cluster()
        first, second = cluster.daemon("d1"), cluster.daemon("d2")
        await first.open(request(3), "lot")
        await second.cancel("lot")
        page = await first.read("lot", 0, 3, 5.0)
        assert (page.samples, page.finished) == ((), True)
        await asyncio.sleep(10)
        assert (await first.info("lot")).committed == 0

    run_virtual(scenario())


def test_close_returns_at_once_while_samples_are_in_progress():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        await daemon.open(request(4), "lot")
        async with asyncio.timeout(0.5):
            await daemon.close()

    run_virtual(scenario())


def test_unknown_and_idle_lots_are_no_longer_followed():
    async def scenario():
        cluster = Cluster()
        daemon = cluster.daemon("d1")
        for number in range(50):
            with pytest.raises(NotFound):
                await daemon.info(f"none-{number}")
        await daemon.open(request(1), "lot")
        await Trainer(cluster).read_all(daemon)
        await asyncio.sleep(lots_module.IDLE_LOT_TIMEOUT_S + 1)
        with pytest.raises(NotFound):
            await daemon.info("none")
        assert set(daemon._handle_by_lot) == {"none"}

    run_virtual(scenario())
