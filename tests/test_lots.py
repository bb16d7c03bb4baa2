"""Lots: exactly once, staleness, races of daemons, and death at every step."""

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


class MortalClient(MemoryLogClient):
    """Dies at its n-th append, before or after the records land."""

    def __init__(self, log):
        super().__init__(log)
        self.dies_at = 0
        self.lands = False
        self.died = asyncio.Event()
        self._appends = 0

    async def append(self, stream, payloads, timeout_s):
        self._appends += 1
        if self._appends == self.dies_at:
            if self.lands:
                self.log.put(stream, payloads)
            self.down = True
            self.died.set()
            self.on_death()
        if self.down:
            raise LogUnavailable("dead")
        return await super().append(stream, payloads, timeout_s)


class World:
    """Daemons that share a log, a model version and a membership view."""

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
        client = MortalClient(self.log)
        daemon = LotService(
            client, self.produce, lambda model: self.version, name, self.alive.__contains__, Random(name)
        )
        daemon.client = client
        daemon.name = name
        client.on_death = lambda: self.alive.discard(name)
        return daemon

    async def kill(self, daemon):
        daemon.client.down = True
        self.alive.discard(daemon.name)
        await daemon.close()

    async def produce(self, request):
        self.requests.append(request)
        number, version = len(self.requests), self.version
        await asyncio.sleep(self.production_s + self.stagger_s * request.prompt[0])
        failure = self.failures.get(request.request_id)
        if failure is not None:
            raise failure
        return GenerateResult(
            request_id=request.request_id,
            tokens=(request.prompt[0], number),
            spans=(VersionSpan(0, 2, version),),
            finish_reason=FinishReason.STOP,
            replica_id="e1",
        )


class Trainer:
    """Reads a lot to its end and judges the promises on the way."""

    def __init__(self, world, lot_id="lot"):
        self.world = world
        self.lot_id = lot_id
        self.cursor = 0
        self.samples = {}
        self.failed = {}
        self.finished = False

    async def step(self, daemon, limit=3, wait_s=2.0):
        page = await daemon.read(self.lot_id, self.cursor, limit, wait_s, None)
        self.judge(page)
        lacking = [identifier for identifier in page.withdrawn if identifier not in self.samples]
        if lacking:
            await daemon.replace(self.lot_id, lacking)
        self.cursor = page.next_cursor
        self.finished = page.finished and not lacking
        await daemon.acknowledge(self.lot_id, [sample.sample_id for sample in page.samples])

    def judge(self, page):
        for sample in page.samples:
            known = self.samples.setdefault(sample.sample_id, sample)
            assert known == sample, "one sample came with two contents"
            oldest = min(span.version for span in sample.spans)
            assert self.world.version - oldest <= BOUND, "a sample over the bound was given"
        self.failed.update((failure.index, failure.code) for failure in page.failed)

    async def read_all(self, *daemons):
        """Read through each daemon in turn, until it dies or refuses, then through the next."""
        for turn in range(500):
            if self.finished:
                return
            daemon = daemons[turn % len(daemons)]
            if daemon.client.down:
                await asyncio.sleep(0.1)
                continue
            await self.step_or_death(daemon)
        raise AssertionError("the lot does not end")

    async def step_or_death(self, daemon):
        step = asyncio.ensure_future(self.step(daemon))
        died = asyncio.ensure_future(daemon.client.died.wait())
        await asyncio.wait({step, died}, return_when=asyncio.FIRST_COMPLETED)
        died.cancel()
        if daemon.client.died.is_set():
            step.cancel()
            await self.world.kill(daemon)
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


def whole(prompts):
    return [f"lot/{index}" for index in range(prompts)]


def test_trainer_gets_each_sample_once():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(7), "lot")
        trainer = Trainer(world)
        await trainer.read_all(daemon)
        assert sorted(trainer.samples) == whole(7)
        assert len(world.requests) == 7
        assert {made.minimum_version for made in world.requests} == {4}
        info = await daemon.info("lot")
        assert (info.acknowledged, info.finished) == (7, True)

    run_virtual(scenario())


@pytest.mark.parametrize("lands", [False, True])
@pytest.mark.parametrize("append", range(1, 10))
def test_daemon_killed_at_each_of_its_appends_loses_and_doubles_nothing(append, lands):
    async def scenario():
        world = World()
        world.stagger_s = 0.5
        first, second = world.daemon("d1"), world.daemon("d2")
        first.client.dies_at, first.client.lands = append, lands
        try:
            await first.open(request(5), "lot")
        except DurabilityUnavailable:
            await world.kill(first)
            await second.open(request(5), "lot")
        trainer = Trainer(world)
        await trainer.read_all(first, first, first, second)
        assert sorted(trainer.samples) == whole(5)
        assert first.client.died.is_set()

    run_virtual(scenario())


async def random_faults(seed):
    """Two readers, four daemons of which three die, lost answers, and new versions."""
    world, random = World(), Random(seed)
    daemons = [world.daemon(f"d{number}") for number in range(4)]
    await daemons[0].open(request(8), "lot")
    for daemon in daemons[:3]:
        daemon.client.dies_at, daemon.client.lands = random.randint(2, 30), random.random() < 0.5
    for daemon in daemons:
        daemon.client.script(*random.choices(list(AppendFault), k=6))

    async def publish():
        for _ in range(4):
            await asyncio.sleep(random.expovariate(0.5))
            world.version += 1
            world.log.land_late()

    publishing = asyncio.ensure_future(publish())
    trainers = [Trainer(world), Trainer(world)]
    trainers[1].samples = trainers[0].samples
    await asyncio.gather(*(trainer.read_all(*daemons) for trainer in trainers))
    publishing.cancel()
    assert sorted(trainers[0].samples) == whole(8)


@given(seed=st.integers(0, 2**32))
@settings(max_examples=60, deadline=None)
def test_random_deaths_lost_answers_and_new_versions_keep_the_promises(seed):
    run_virtual(random_faults(seed))


def test_repeated_read_gives_the_same_through_any_daemon():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        await first.open(request(6), "lot")
        await asyncio.sleep(2)
        first.client.script(AppendFault.ANSWER_LOST)
        pages = await asyncio.gather(
            first.read("lot", 0, 4, 1.0), second.read("lot", 0, 3, 1.0), second.read("lot", 0, 4, 1.0)
        )
        assert pages[0].samples == pages[2].samples
        assert pages[1].samples == pages[0].samples[:3]
        assert await second.read("lot", 0, 4, 1.0) == pages[0]
        rest = await second.read("lot", 4, 4, 1.0)
        assert len({sample.index for sample in pages[0].samples + rest.samples}) == 6

    run_virtual(scenario())


def test_sample_that_went_stale_while_it_waited_is_produced_again():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(3), "lot")
        await asyncio.sleep(1.5)
        assert (await daemon.info("lot")).committed == 3
        world.version = 7
        trainer = Trainer(world)
        await trainer.read_all(daemon)
        assert {sample.attempt for sample in trainer.samples.values()} == {1}
        assert len(world.requests) == 6

    run_virtual(scenario())


def test_version_told_by_the_trainer_counts_too():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(1), "lot")
        await asyncio.sleep(1.5)
        page = await daemon.read("lot", 0, 1, 0.0, trainer_version=7)
        assert page.samples == ()
        assert (await daemon.info("lot")).open == 1

    run_virtual(scenario())


def test_version_published_during_the_hand_over_withholds_the_sample():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(1), "lot")
        await asyncio.sleep(1.5)
        daemon.client.latency_s = 0.2
        reading = asyncio.ensure_future(daemon.read("lot", 0, 1, 1.0))
        await asyncio.sleep(0.1)
        world.version = 7
        page = await reading
        assert (page.samples, page.withdrawn, page.finished) == ((), ("lot/0",), False)

    run_virtual(scenario())


def test_withdrawn_sample_is_replaced_once_however_often_that_is_asked():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        await first.open(request(2), "lot")
        given_page = await first.read("lot", 0, 2, 5.0)
        assert len(given_page.samples) == 2
        world.version = 7
        again = await second.read("lot", 0, 2, 1.0)
        assert (again.samples, again.withdrawn) == ((), ("lot/0", "lot/1"))
        answers = await asyncio.gather(first.replace("lot", ["lot/1"]), second.replace("lot", ["lot/1"]))
        assert sorted(answers) == [(), ("lot/1",)]
        page = await second.read("lot", again.next_cursor, 2, 5.0)
        assert [(sample.index, sample.attempt) for sample in page.samples] == [(1, 1)]
        assert await first.replace("lot", ["lot/1"]) == ()
        assert len(world.requests) == 3
        again = await first.read("lot", 0, 1 + again.next_cursor, 0.0)
        assert [(sample.index, sample.attempt) for sample in again.samples] == [(1, 1)]
        assert again.withdrawn == ("lot/0",)

    run_virtual(scenario())


def test_keeper_wrongly_believed_dead_does_no_harm():
    async def scenario():
        world = World()
        paused, other = world.daemon("d1"), world.daemon("d2")
        await paused.open(request(4), "lot")
        world.alive.discard("d1")
        trainer = Trainer(world)
        await trainer.read_all(other, paused)
        assert sorted(trainer.samples) == whole(4)
        assert (await other.info("lot")).keeper == "d2"
        assert b'"epoch":1,"body":{"type":"sample_committed"' not in b"".join(world.log.streams["lot.lot"])

    run_virtual(scenario())


def test_daemons_that_believe_each_other_dead_still_finish_the_lot():
    async def scenario():
        world = World()
        world.production_s = 20.0
        first, second = world.daemon("d1"), world.daemon("d2")
        world.alive.clear()
        await first.open(request(4), "lot")
        trainer = Trainer(world)
        await trainer.read_all(first, second)
        assert sorted(trainer.samples) == whole(4)
        assert (await first.info("lot")).epoch < 12

    run_virtual(scenario())


def test_samples_of_a_silent_trainer_are_not_renewed_for_ever():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(2), "lot")
        for _ in range(20):
            await asyncio.sleep(360)
            world.version += 2
        assert len(world.requests) == 2
        await Trainer(world).read_all(daemon)
        assert len(world.requests) == 4

    run_virtual(scenario())


def test_planned_stop_commits_what_is_under_way_and_another_takes_over():
    async def scenario():
        world = World()
        leaving, other = world.daemon("d1"), world.daemon("d2")
        await leaving.open(request(4), "lot")
        await asyncio.sleep(0.5)
        await leaving.drain(timeout_s=30.0)
        info = await other.info("lot")
        assert (info.committed, info.open, info.keeper) == (4, 0, "")
        trainer = Trainer(world)
        world.version = 7
        await trainer.step(leaving)
        await trainer.read_all(other)
        assert sorted(trainer.samples) == whole(4)
        assert (await other.info("lot")).keeper == "d2"

    run_virtual(scenario())


def test_production_goes_on_in_an_outage_and_reads_are_refused():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(4), "lot")
        await asyncio.sleep(1.5)
        daemon.client.down = True
        with pytest.raises(DurabilityUnavailable):
            await daemon.read("lot", 0, 2, 1.0)
        await asyncio.sleep(300)
        daemon.client.down = False
        trainer = Trainer(world)
        await trainer.read_all(daemon)
        assert sorted(trainer.samples) == whole(4)
        assert len(world.requests) == 4

    run_virtual(scenario())


def test_pinned_samples_are_given_also_in_an_outage():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(4), "lot")
        page = await daemon.read("lot", 0, 2, 5.0)
        daemon.client.down = True
        assert (await daemon.read("lot", 0, 4, 0.0)).samples == page.samples

    run_virtual(scenario())


def test_slot_that_can_not_be_produced_fails_with_its_type():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        world.failures = {f"lot/0/0/1/{tries}": Overloaded("full", retry_after_s=3.0) for tries in range(9)}
        world.failures["lot/1/0/1/1"] = InvalidRequest("bad prompt")
        world.failures["lot/2/0/1/1"] = Overloaded("full", retry_after_s=3.0)
        world.failures["lot/2/0/1/2"] = ValueError("a bug")
        await daemon.open(request(3, deadline_s=20.0), "lot")
        trainer = Trainer(world)
        await trainer.read_all(daemon)
        assert trainer.failed == {0: "deadline_exceeded", 1: "invalid_request"}
        assert sorted(trainer.samples) == ["lot/2"]
        assert monotonic_s() < 22.0
        assert len(world.requests) < 20

    run_virtual(scenario())


def test_open_is_idempotent_and_a_reused_identifier_is_refused():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        infos = await asyncio.gather(
            first.open(request(3, deadline_s=9.0), "lot"), second.open(request(3, deadline_s=8.0), "lot")
        )
        assert infos[0].lot_id == infos[1].lot_id
        with pytest.raises(KeyReused):
            await second.open(request(4), "lot")
        trainer = Trainer(world)
        await trainer.read_all(first, second)
        assert len(world.requests) == 3

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("wrong", "field"),
    [
        (request(0), "prompts"),
        (request(1, staleness_bound=-1), "staleness_bound"),
        (request(LOT_LIMIT_PROMPTS + 1), "prompts"),
        (replace(request(1), prompts=(PromptSpec(prompt=(-1,), max_tokens=1),)), "prompts.prompt"),
        (replace(request(1), prompts=(PromptSpec(prompt=(1,), max_tokens=0),)), "prompts.max_tokens"),
    ],
)
def test_wrong_lot_is_refused_before_anything_is_written(wrong, field):
    async def scenario():
        world = World()
        with pytest.raises(InvalidRequest) as caught:
            await world.daemon("d1").open(wrong, "lot")
        assert caught.value.details["field"] == field
        assert not world.log.streams

    run_virtual(scenario())


def test_cancelled_lot_ends_for_all():
    async def scenario():
        world = World()
        first, second = world.daemon("d1"), world.daemon("d2")
        await first.open(request(3), "lot")
        await second.cancel("lot")
        page = await first.read("lot", 0, 3, 5.0)
        assert (page.samples, page.finished) == ((), True)
        await asyncio.sleep(10)
        assert (await first.info("lot")).committed == 0

    run_virtual(scenario())


def test_close_ends_at_once_while_samples_are_under_way():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(4), "lot")
        async with asyncio.timeout(0.5):
            await daemon.close()

    run_virtual(scenario())


def test_unknown_and_idle_lots_are_not_followed_for_ever():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        for number in range(50):
            with pytest.raises(NotFound):
                await daemon.info(f"none-{number}")
        await daemon.open(request(1), "lot")
        await Trainer(world).read_all(daemon)
        await asyncio.sleep(lots_module.IDLE_LOT_S + 1)
        with pytest.raises(NotFound):
            await daemon.info("none")
        assert set(daemon._handles) == {"none"}

    run_virtual(scenario())
