"""Lots: exactly once, staleness, races of daemons, and death at every step."""

import asyncio
from random import Random

import pytest

from passgate.clock import monotonic_s, new_virtual_loop
from passgate.errors import DurabilityUnavailable, InvalidRequest, KeyReused, NotFound, Overloaded
from passgate.records import PromptSpec
from passgate.schema import FinishReason, GenerateResult, VersionSpan
from passgate.state.lots import LotRequest, LotService
from passgate.state.memory_log import MemoryLog, MemoryLogClient


class World:
    """Daemons that share a log, a model version and a membership view."""

    def __init__(self):
        self.log = MemoryLog()
        self.version = 5
        self.alive = set()
        self.requests = []
        self.failures = {}
        self.production_s = 1.0

    def daemon(self, name):
        self.alive.add(name)
        daemon = LotService(
            client := MemoryLogClient(self.log),
            self.produce,
            lambda model: self.version,
            name,
            self.alive.__contains__,
            Random(name),
        )
        daemon.client = client
        daemon.name = name
        return daemon

    async def kill(self, daemon):
        """Cut a daemon off and let the others know."""
        daemon.client.down = True
        self.alive.discard(daemon.name)
        await daemon.close()

    async def produce(self, request):
        self.requests.append(request)
        version = self.version
        await asyncio.sleep(self.production_s)
        failure = self.failures.pop(request.request_id, None)
        if failure is not None:
            raise failure
        tokens = (request.prompt[0], len(self.requests))
        return GenerateResult(
            request_id=request.request_id,
            tokens=tokens,
            spans=(VersionSpan(0, 2, version),),
            finish_reason=FinishReason.STOP,
            replica_id="e1",
        )


class Trainer:
    """Reads a lot to its end through any daemon and keeps what it got."""

    def __init__(self, lot_id):
        self.lot_id = lot_id
        self.cursor = 0
        self.samples = {}
        self.failed = {}
        self.finished = False

    async def step(self, daemon, limit=3, wait_s=2.0):
        page = await daemon.read(self.lot_id, self.cursor, limit, wait_s, None)
        for sample in page.samples:
            known = self.samples.setdefault(sample.sample_id, sample)
            assert known == sample, "the same sample came with other bytes"
        self.failed.update((failure.index, failure.code) for failure in page.failed)
        lacking = [identifier for identifier in page.withdrawn if identifier not in self.samples]
        if lacking:
            await daemon.replace(self.lot_id, lacking)
        await daemon.acknowledge(self.lot_id, [sample.sample_id for sample in page.samples])
        self.cursor = page.next_cursor
        self.finished = page.finished
        return page

    async def read_all(self, daemon):
        async with asyncio.timeout(3600):
            while not self.finished:
                await self.step(daemon)


def request(prompts=5, **options):
    options.setdefault("staleness_bound", 1)
    return LotRequest(
        caller="trainer",
        pool="modelos",
        model="m",
        prompts=tuple(PromptSpec(prompt=(number,), max_tokens=2) for number in range(prompts)),
        **options,
    )


def run(test):
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(test)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left))
        loop.close()


def test_trainer_gets_each_sample_once():
    async def scenario():
        world = World()
        daemon = world.daemon("d1")
        await daemon.open(request(7), "lot")
        trainer = Trainer("lot")
        await trainer.read_all(daemon)
        assert sorted(trainer.samples) == [f"lot/{index}" for index in range(7)]
        assert len(world.requests) == 7
        info = await daemon.info("lot")
        assert (info.acknowledged, info.finished) == (7, True)

    run(scenario())
