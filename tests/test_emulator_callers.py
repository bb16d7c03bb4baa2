"""Emulated callers get correct answers without violations, and count incorrect ones."""

import asyncio
import itertools

import msgspec
import pytest

from passgate.check.history import HistoryRecorder
from passgate.check.history_verdict import check_history
from passgate.check.output_oracle import emulated_token
from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.arrivals import ArrivalStream
from passgate.emulator.callers import Callers
from passgate.emulator.expected_output import expected_length, expected_tokens
from passgate.emulator.parameters import ArrivalParameters, CallKind, load_deployment
from passgate.emulator.trainer import Trainer, to_generate_request
from passgate.emulator.world import EmulatedWorld
from passgate.errors import Overloaded
from passgate.schema import (
    AppResponse,
    EngineOrder,
    FinishReason,
    GenerateResult,
    OrderKind,
    VersionSpan,
)
from passgate.state.lot_types import DeliveredSample, SampleFailure, SamplesPage, sample_id

HUON = load_deployment("huon")
MODEL = HUON.engines.models[0]


class DirectClient:
    """Sends callers' requests straight to the emulated back ends, without faults and without passgate."""

    daemon = "direct"

    def __init__(self, world):
        self._world = world
        self._engines = itertools.cycle(world.engines.values())
        self._apps = itertools.cycle(world.apps.values())
        self._lot_by_id = {}

    async def generate(self, request, idempotency_key=None):
        chunks = self._world.engine_client("").generate(next(self._engines).address, request)
        tokens, spans, finish = [], [], None
        async for chunk in chunks:
            spans.append(VersionSpan(chunk.start, chunk.start + len(chunk.tokens), chunk.version))
            tokens += chunk.tokens
            finish = chunk.finish_reason
        return GenerateResult(
            request_id=request.request_id,
            tokens=tuple(tokens),
            spans=tuple(spans),
            finish_reason=finish,
            replica_id="e",
        )

    async def call_app(self, request, idempotency_key=None):
        return await self._world.app_client("").call(next(self._apps).address, request)

    async def open_lot(self, request, lot_id):
        produced = asyncio.Queue()
        for index, spec in enumerate(request.prompts):
            generate_request = msgspec.structs.replace(
                to_generate_request(request, spec), request_id=f"{lot_id}/{index}"
            )
            asyncio.ensure_future(self.generate(generate_request)).add_done_callback(produced.put_nowait)
        self._lot_by_id[lot_id] = (len(request.prompts), produced)

    async def read_lot(self, lot_id, cursor, limit, wait_s, trainer_version):
        count, produced = self._lot_by_id[lot_id]
        result = (await produced.get()).result()
        sample = DeliveredSample(
            sample_id=result.request_id,
            index=int(result.request_id.split("/")[1]),
            attempt=1,
            tokens=result.tokens,
            spans=result.spans,
            finish_reason=result.finish_reason,
            replica_id=result.replica_id,
        )
        return SamplesPage(samples=(sample,), next_cursor=cursor + 1, finished=cursor + 1 == count)

    async def acknowledge(self, lot_id, sample_ids):
        pass

    async def publish_version(self, model, version):
        client = self._world.engine_client("")
        for engine in self._world.engines.values():
            for kind in (OrderKind.STAGE_VERSION, OrderKind.ACTIVATE_VERSION):
                order = EngineOrder(
                    order_id=f"{kind}/{model}/{version}", kind=kind, fence=1, model=model, version=version
                )
                while not (await client.order(engine.address, order)).done:
                    await asyncio.sleep(0.05)


def make_small_deployment(name: str, lots_ahead: int):
    parameters = load_deployment(name)
    changes = {"prompts_per_step": 4, "samples_per_prompt": 2, "max_tokens": 400, "train_s": 4.0}
    changes |= {"publish_every_steps": 1, "lots_ahead": lots_ahead, "staleness_bound": 9}
    trainers = [msgspec.structs.replace(trainer, **changes) for trainer in parameters.trainers]
    arrivals = [
        msgspec.structs.replace(item, rate_per_s=2.0, not_repeatable_share=0.0)
        for item in parameters.arrivals
    ]
    return msgspec.structs.replace(parameters, trainers=tuple(trainers), arrivals=tuple(arrivals))


async def run_callers(name: str, seed: int, lots_ahead: int = 0, duration_s: float = 60.0):
    world = EmulatedWorld(make_small_deployment(name, lots_ahead), seed)
    client, history = DirectClient(world), HistoryRecorder()
    callers = Callers(world.parameters, lambda caller: client, world.publish, seed, history.record)
    outcomes = await callers.run(duration_s)
    world.close()
    return outcomes, outcomes.violations(world.run_recorder), history.events


@pytest.mark.parametrize(("name", "lots_ahead"), [("olhar", 0), ("huon", 0), ("huon", 1)])
def test_callers_find_no_violation_in_correct_answers(name, lots_ahead):
    outcomes, violations, history = run_virtual(run_callers(name, 1, lots_ahead))
    assert violations == 0
    assert check_history(history, emulated_token).holds()
    for trainer in outcomes.trainers:
        assert trainer.steps >= 3
        assert trainer.delivered >= 8 * trainer.steps
        assert sum(trainer.staleness.values()) == trainer.delivered
        assert max(trainer.staleness) <= 1 or lots_ahead
        assert 0 < trainer.idle_share() < 1
        busy_s = trainer.idle_s + trainer.scoring_s + trainer.train_s
        assert busy_s == pytest.approx(60.0, abs=0.1)
    for arrivals in outcomes.arrivals:
        assert arrivals.arrived == arrivals.answered + arrivals.given_up + arrivals.pending
        assert arrivals.answered > 80
        assert min(arrivals.latencies_s) > 0


def test_same_seed_gives_the_same_events():
    first = run_virtual(run_callers("huon", 3, duration_s=10.0))
    assert run_virtual(run_callers("huon", 3, duration_s=10.0)) == first


# --- incorrect answers ------------------------------------------------------------------------


class LotClientStub:
    """A client that returns pages made by ``make_page``; it lacks the methods that no test uses."""

    daemon = "stub"

    def __init__(self, make_page):
        self._make_page = make_page
        self.request = None

    async def open_lot(self, request, lot_id):
        self.request = request
        self.lot_id = lot_id

    async def read_lot(self, lot_id, cursor, limit, wait_s, trainer_version):
        return self._make_page(self)

    async def acknowledge(self, lot_id, sample_ids):
        pass

    async def publish_version(self, model, version):
        pass


def make_correct_sample(stub: LotClientStub, index: int, version: int) -> DeliveredSample:
    spec = stub.request.prompts[index]
    length, finish = expected_length(spec.prompt, spec.seed, spec.max_tokens, MODEL.lengths)
    spans = (VersionSpan(0, length, version),)
    tokens = expected_tokens(to_generate_request(stub.request, spec), spans)
    return DeliveredSample(
        sample_id=sample_id(stub.lot_id, index),
        index=index,
        attempt=1,
        tokens=tokens,
        spans=spans,
        finish_reason=finish,
        replica_id="e",
    )


def make_complete_page(stub, change=lambda samples: samples, **fields) -> SamplesPage:
    samples = change([make_correct_sample(stub, index, version=5) for index in range(4)])
    return SamplesPage(samples=tuple(samples), next_cursor=4, finished=True, **fields)


def replace_first(samples, **changes):
    return [msgspec.structs.replace(samples[0], **changes), *samples[1:]]


@pytest.mark.parametrize(
    ("change", "count"),
    [
        (lambda samples: samples, {}),
        (lambda samples: samples[1:], {"lost": 1}),
        (lambda samples: [*samples, samples[0]], {"doubled": 1}),
        (lambda samples: replace_first(samples, tokens=samples[1].tokens), {"wrong": 1}),
        (lambda samples: replace_first(samples, tokens=samples[0].tokens[:-1]), {"wrong": 1}),
        (
            lambda samples: replace_first(samples, spans=(VersionSpan(0, len(samples[0].tokens), 6),)),
            {"wrong": 1},
        ),
        (lambda samples: replace_first(samples, finish_reason=FinishReason.LENGTH), {"wrong": 1}),
    ],
)
def test_trainer_counts_lost_duplicate_and_incorrect_samples(change, count):
    outcomes = train_one_step(LotClientStub(lambda stub: make_complete_page(stub, change)))
    found = {name: getattr(outcomes, name) for name in ("lost", "doubled", "wrong", "over_staleness")}
    assert found == {"lost": 0, "doubled": 0, "wrong": 0, "over_staleness": 0} | count


def test_trainer_counts_stale_samples_and_reported_failures():
    def page(stub):
        failed = SampleFailure(sample_id=sample_id(stub.lot_id, 3), index=3, code="deadline_exceeded")
        samples = tuple(make_correct_sample(stub, index, version=2) for index in range(3))
        return SamplesPage(samples=samples, next_cursor=4, finished=True, failed=(failed,))

    outcomes = train_one_step(LotClientStub(page))
    assert (outcomes.over_staleness, outcomes.failed, outcomes.lost) == (3, 1, 0)
    assert outcomes.staleness == {3: 3}


def train_one_step(stub: LotClientStub):
    parameters = msgspec.structs.replace(
        HUON.trainers[0], prompts_per_step=2, samples_per_prompt=2, staleness_bound=2, train_s=1.0
    )
    model = msgspec.structs.replace(MODEL, boot_version=5)

    async def run():
        world = EmulatedWorld(HUON, 1)
        trainer = Trainer(parameters, model, "p", stub, lambda model, version: None, world.random("t"))
        await trainer.run(steps=1)
        world.close()
        return trainer.outcomes

    return run_virtual(run())


class RefusingClientStub:
    """Refuses the first attempts, then returns an incorrect answer."""

    daemon = "stub"

    def __init__(self, refusals: int):
        self.refusal_count = refusals
        self.attempt_times_s = []

    async def call_app(self, request, idempotency_key=None):
        self.attempt_times_s.append(monotonic_s())
        if len(self.attempt_times_s) <= self.refusal_count:
            raise Overloaded("full", retry_after_s=2.5)
        return AppResponse(request_id=request.request_id, status=200, body=b"another answer")


def run_one_call(stub: RefusingClientStub):
    parameters = ArrivalParameters(
        name="c", kind=CallKind.APP, rate_per_s=1.0, daily_amplitude=0.0, attempts=3
    )

    async def run():
        world = EmulatedWorld(HUON, 1)
        stream = ArrivalStream(parameters, None, "p", stub, world.random("a"))
        await stream._run_call(stream._new_call())
        world.close()
        return stream.outcomes, stream.outcomes.not_run_that_ran(world.run_recorder)

    return run_virtual(run())


def test_caller_retries_after_the_named_time_and_detects_an_incorrect_answer():
    stub = RefusingClientStub(refusals=2)
    outcomes, ran = run_one_call(stub)
    assert [
        later - earlier
        for earlier, later in zip(stub.attempt_times_s, stub.attempt_times_s[1:], strict=False)
    ] == [2.5, 2.5]
    assert (outcomes.refused, outcomes.wrong, outcomes.answered) == (2, 1, 0)
    assert ran == []


def test_caller_gives_up_after_its_last_attempt():
    outcomes, _ = run_one_call(RefusingClientStub(refusals=9))
    assert (outcomes.attempts, outcomes.given_up) == (3, 1)
