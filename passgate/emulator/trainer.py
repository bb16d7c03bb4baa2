"""A trainer in a closed loop: waits for its lot, trains for a time, publishes new weights."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import msgspec

from passgate.check.events import AnyEvent, LotPrompt, LotSubmitted, PageReceived, ReceivedSample
from passgate.clock import monotonic_s
from passgate.emulator.expected_output import Verdict, expected_length, verify_output
from passgate.emulator.parameters import ModelParameters, TrainerParameters
from passgate.emulator.prompts import PromptSource
from passgate.emulator.scoring import ScoringService
from passgate.emulator.service import Service
from passgate.emulator.tally import TrainerTally
from passgate.errors import PassgateError
from passgate.records import PromptSpec
from passgate.schema import GenerateRequest
from passgate.state.lot_types import DeliveredSample, LotRequest, SamplesPage, index_of

Result = TypeVar("Result")

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 5.0


class _Lot(msgspec.Struct, kw_only=True):
    lot_id: str
    request: LotRequest
    opened_s: float
    asked_version: int = 0
    """Trainer's version when it last asked for a page."""
    scored_s: float = 0.0
    """When the last score of the samples so far is there."""
    received: dict[int, DeliveredSample] = {}
    failed: set[int] = set()


class Trainer:
    """One trainer; :meth:`run` goes on until it is cancelled."""

    def __init__(
        self,
        parameters: TrainerParameters,
        model: ModelParameters,
        pool: str,
        service: Service,
        store_weights: Callable[[str, int], None],
        random: Random,
        record: Callable[[AnyEvent], None] | None = None,
    ) -> None:
        self.parameters = parameters
        self.version = model.boot_version
        self.tally = TrainerTally(name=parameters.name, version=self.version)
        self._model = model
        self._pool = pool
        self._service = service
        self._store_weights = store_weights
        self._random = random
        self._record = record or _ignore
        self._prompts = PromptSource(model, random)
        self._scoring = ScoringService(parameters.scoring, random)
        self._opened = 0
        self._publishing: asyncio.Task[None] | None = None
        self._collecting: deque[asyncio.Task[float]] = deque()

    async def run(self, steps: int | None = None) -> None:
        """Train for a number of steps, or until cancelled."""
        try:
            while steps is None or self.tally.steps < steps:
                await self._step()
        finally:
            for task in (*self._collecting, self._publishing):
                if task is not None:
                    task.cancel()

    async def _step(self) -> None:
        while len(self._collecting) <= self.parameters.lots_ahead:
            self._collecting.append(asyncio.ensure_future(self._whole_lot()))
        scored_s = await self._wait_idle(self._collecting[0])
        self._collecting.popleft()
        await self._wait_scores(scored_s)
        await self._train()
        self.tally.steps += 1
        if self.tally.steps % self.parameters.publish_every_steps == 0:
            self._publish()

    async def _wait_idle(self, lot: asyncio.Task[float]) -> float:
        started_s = monotonic_s()
        try:
            return await lot
        finally:
            self.tally.idle_s += monotonic_s() - started_s

    async def _wait_scores(self, scored_s: float) -> None:
        wait_s = scored_s - monotonic_s()
        if wait_s > 0:
            self.tally.scoring_s += wait_s
            await asyncio.sleep(wait_s)

    async def _train(self) -> None:
        started_s = monotonic_s()
        try:
            await asyncio.sleep(self.parameters.train_s)
        finally:
            self.tally.train_s += monotonic_s() - started_s

    # --- lots ------------------------------------------------------------------------

    async def _whole_lot(self) -> float:
        """Collect one lot and return when its last score is there."""
        lot = self._new_lot()
        await self._persist(lambda: self._service.open_lot(lot.request, lot.lot_id))
        self._record_opening(lot)
        cursor = 0
        while True:
            page = await self._persist(lambda: self._read(lot, cursor))  # noqa: B023 - awaited at once
            self._take(lot, cursor, page)
            cursor = page.next_cursor
            await self._answer(lot, page)
            if page.finished:
                break
        self._close(lot)
        return lot.scored_s

    def _new_lot(self) -> _Lot:
        parameters = self.parameters
        self._opened += 1
        prompts: list[PromptSpec] = []
        for _ in range(parameters.prompts_per_step):
            prompt = self._prompts.prompt()
            for _ in range(parameters.samples_per_prompt):
                seed = self._prompts.seed()
                prompts.append(PromptSpec(prompt=prompt, max_tokens=parameters.max_tokens, seed=seed))
        request = LotRequest(
            caller=parameters.name,
            pool=self._pool,
            model=parameters.model,
            staleness_bound=parameters.staleness_bound,
            trainer_version=self.version,
            deadline_s=parameters.deadline_s,
            prompts=tuple(prompts),
        )
        return _Lot(lot_id=f"{parameters.name}-{self._opened}", request=request, opened_s=monotonic_s())

    async def _read(self, lot: _Lot, cursor: int) -> SamplesPage:
        parameters = self.parameters
        lot.asked_version = self.version
        return await self._service.read_lot(
            lot.lot_id, cursor, parameters.read_limit, parameters.read_wait_s, lot.asked_version
        )

    def _take(self, lot: _Lot, cursor: int, page: SamplesPage) -> None:
        self._record_page(lot, cursor, page)
        lot.failed.update(failure.index for failure in page.failed)
        for sample in page.samples:
            if sample.index in lot.received:
                self.tally.doubled += 1
                continue
            lot.received[sample.index] = sample
            self.tally.delivered += 1
            lot.scored_s = max(lot.scored_s, self._scoring.submit(monotonic_s()))
            self._judge(lot, sample)

    def _judge(self, lot: _Lot, sample: DeliveredSample) -> None:
        behind = max(0, lot.asked_version - min(span.version for span in sample.spans))
        self.tally.staleness[behind] = self.tally.staleness.get(behind, 0) + 1
        if behind > self.parameters.staleness_bound:
            self.tally.over_staleness += 1
        spec = lot.request.prompts[sample.index]
        request = as_generate(lot.request, spec)
        verdict = verify_output(
            request, sample.tokens, sample.spans, sample.finish_reason, self._model.lengths
        )
        if verdict is not Verdict.RIGHT:
            self.tally.wrong += 1
            self.tally.note_error(f"verdict_{verdict.value}")

    async def _answer(self, lot: _Lot, page: SamplesPage) -> None:
        arrived = [sample.sample_id for sample in page.samples]
        if arrived:
            await self._persist(lambda: self._service.acknowledge(lot.lot_id, arrived))
        lacking = [name for name in page.withdrawn if index_of(lot.lot_id, name) not in lot.received]
        if lacking:
            self.tally.replaced += len(lacking)
            await self._persist(lambda: self._service.replace(lot.lot_id, lacking, self.version))

    def _close(self, lot: _Lot) -> None:
        failed = lot.failed - set(lot.received)
        self.tally.failed += len(failed)
        self.tally.lost += len(lot.request.prompts) - len(lot.received) - len(failed)
        self.tally.lot_times_s.append(monotonic_s() - lot.opened_s)

    # --- weights ----------------------------------------------------------------------

    def _publish(self) -> None:
        self.version += 1
        self.tally.version = self.version
        self._store_weights(self.parameters.model, self.version)
        if self._publishing is None or self._publishing.done():
            self._publishing = asyncio.ensure_future(self._announce())

    async def _announce(self) -> None:
        announced = 0
        while announced < self.version:
            announced = self.version
            await self._persist(lambda: self._service.publish_version(self.parameters.model, self.version))

    # --- persistence --------------------------------------------------------------------

    async def _persist(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Repeat a call until it succeeds, as a trainer without its lot can do nothing else."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                return await call()
            except PassgateError as error:
                self.tally.note_error(error.code)
                wait_s = error.retry_after_s
            await asyncio.sleep(wait_s if wait_s is not None else backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, LONGEST_BACKOFF_S)

    # --- history --------------------------------------------------------------------------

    def _record_opening(self, lot: _Lot) -> None:
        prompts = tuple(
            LotPrompt(
                prompt=spec.prompt,
                max_tokens=spec.max_tokens,
                seed=spec.seed,
                expected_length=expected_length(spec.prompt, spec.seed, spec.max_tokens, self._model.lengths)[
                    0
                ],
            )
            for spec in lot.request.prompts
        )
        event = LotSubmitted(
            time_s=monotonic_s(),
            lot_id=lot.lot_id,
            trainer=self.parameters.name,
            model=lot.request.model,
            staleness_bound=lot.request.staleness_bound,
            prompts=prompts,
        )
        self._record(event)

    def _record_page(self, lot: _Lot, cursor: int, page: SamplesPage) -> None:
        event = PageReceived(
            time_s=monotonic_s(),
            lot_id=lot.lot_id,
            cursor=cursor,
            next_cursor=page.next_cursor,
            trainer_version=lot.asked_version,
            samples=tuple(_received(sample) for sample in page.samples),
            finished=page.finished,
            withdrawn=page.withdrawn,
            failed=tuple(failure.index for failure in page.failed),
        )
        self._record(event)


def _received(sample: DeliveredSample) -> ReceivedSample:
    return ReceivedSample(
        sample_id=sample.sample_id,
        index=sample.index,
        attempt=sample.attempt,
        tokens=sample.tokens,
        spans=sample.spans,
        finish_reason=sample.finish_reason,
    )


def as_generate(lot: LotRequest, spec: PromptSpec) -> GenerateRequest:
    """Return the request whose output a slot of a lot must hold."""
    return GenerateRequest(
        request_id="",
        caller=lot.caller,
        pool=lot.pool,
        model=lot.model,
        prompt=spec.prompt,
        max_tokens=spec.max_tokens,
        seed=spec.seed,
    )


def _ignore(event: AnyEvent) -> None:
    pass
