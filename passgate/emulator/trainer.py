"""Emulated trainer: in each step, it collects the samples of a lot, trains, and may publish new weights.

Scoring and training only take time.  The trainer checks each sample and counts what is lost, duplicated or
incorrect.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import msgspec

from passgate.check.events import AnyEvent, LotPrompt, LotSubmitted, PageReceived, ReceivedSample
from passgate.clock import monotonic_s
from passgate.emulator.caller_outcomes import TrainerOutcomes
from passgate.emulator.expected_output import Verdict, expected_length, verify_output
from passgate.emulator.parameters import ModelParameters, TrainerParameters
from passgate.emulator.passgate_client import PassgateClient
from passgate.emulator.prompts import PromptSource
from passgate.emulator.scoring import ScoringService
from passgate.errors import PassgateError
from passgate.records import PromptSpec
from passgate.schema import GenerateRequest
from passgate.state.lot_types import DeliveredSample, LotRequest, SamplesPage, index_of

Result = TypeVar("Result")

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class _OpenLot(msgspec.Struct, kw_only=True):
    """A lot and what the trainer has received of it, by the index of the prompt in the request."""

    lot_id: str
    request: LotRequest
    opened_s: float
    asked_version: int = 0
    """The trainer's version when it last requested a page."""
    scored_s: float = 0.0
    """Time at which all samples received so far are scored."""
    received: dict[int, DeliveredSample] = {}
    failed: set[int] = set()


class Trainer:
    """One trainer, which starts at its model's boot version.

    ``store_weights`` puts a version of a model into the weight store; ``record_event`` receives each
    submitted lot and each page of samples for later checks.
    """

    def __init__(
        self,
        parameters: TrainerParameters,
        model: ModelParameters,
        pool: str,
        client: PassgateClient,
        store_weights: Callable[[str, int], None],
        random: Random,
        record_event: Callable[[AnyEvent], None] | None = None,
    ) -> None:
        self.parameters = parameters
        self.version = model.boot_version
        self.outcomes = TrainerOutcomes(name=parameters.name, version=self.version)
        self._model = model
        self._pool = pool
        self._client = client
        self._store_weights = store_weights
        self._random = random
        self._record_event = record_event or _discard_event
        self._prompts = PromptSource(model, random)
        self._scoring = ScoringService(parameters.scoring, random)
        self._opened_lots = 0
        self._announcement: asyncio.Task[None] | None = None
        self._lot_collections: deque[asyncio.Task[float]] = deque()

    async def run(self, steps: int | None = None) -> None:
        """Run a number of steps, or until cancelled; lots open at the end stay open on the daemons."""
        try:
            while steps is None or self.outcomes.steps < steps:
                await self._run_step()
        finally:
            for task in (*self._lot_collections, self._announcement):
                if task is not None:
                    task.cancel()

    async def _run_step(self) -> None:
        while len(self._lot_collections) <= self.parameters.lots_ahead:
            self._lot_collections.append(asyncio.ensure_future(self._collect_lot()))
        scored_s = await self._wait_for_lot(self._lot_collections[0])
        self._lot_collections.popleft()
        await self._wait_for_scores(scored_s)
        await self._train()
        self.outcomes.steps += 1
        if self.outcomes.steps % self.parameters.publish_every_steps == 0:
            self._publish()

    async def _wait_for_lot(self, collection: asyncio.Task[float]) -> float:
        started_s = monotonic_s()
        try:
            return await collection
        finally:
            self.outcomes.idle_s += monotonic_s() - started_s

    async def _wait_for_scores(self, scored_s: float) -> None:
        wait_s = scored_s - monotonic_s()
        if wait_s > 0:
            self.outcomes.scoring_s += wait_s
            await asyncio.sleep(wait_s)

    async def _train(self) -> None:
        started_s = monotonic_s()
        try:
            await asyncio.sleep(self.parameters.train_s)
        finally:
            self.outcomes.train_s += monotonic_s() - started_s

    # --- lots ------------------------------------------------------------------------

    async def _collect_lot(self) -> float:
        """Open a lot, read all its samples and return the time at which the last one is scored."""
        lot = self._new_lot()
        await self._retry_until_success(lambda: self._client.open_lot(lot.request, lot.lot_id))
        self._record_lot_submitted(lot)
        cursor = 0
        while True:
            page = await self._retry_until_success(lambda: self._read_page(lot, cursor))  # noqa: B023 - awaited at once
            self._record_page(lot, cursor, page)
            cursor = page.next_cursor
            await self._acknowledge_page(lot, page)
            if page.finished:
                break
        self._record_lot_outcome(lot)
        return lot.scored_s

    def _new_lot(self) -> _OpenLot:
        parameters = self.parameters
        self._opened_lots += 1
        prompts: list[PromptSpec] = []
        for _ in range(parameters.prompts_per_step):
            prompt = self._prompts.next_prompt()
            for _ in range(parameters.samples_per_prompt):
                seed = self._prompts.next_seed()
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
        return _OpenLot(
            lot_id=f"{parameters.name}-{self._opened_lots}", request=request, opened_s=monotonic_s()
        )

    async def _read_page(self, lot: _OpenLot, cursor: int) -> SamplesPage:
        parameters = self.parameters
        lot.asked_version = self.version
        return await self._client.read_lot(
            lot.lot_id, cursor, parameters.read_limit, parameters.read_wait_s, lot.asked_version
        )

    def _record_page(self, lot: _OpenLot, cursor: int, page: SamplesPage) -> None:
        self._record_page_received(lot, cursor, page)
        lot.failed.update(failure.index for failure in page.failed)
        for sample in page.samples:
            if sample.index in lot.received:
                self.outcomes.doubled += 1
                continue
            lot.received[sample.index] = sample
            self.outcomes.delivered += 1
            lot.scored_s = max(lot.scored_s, self._scoring.submit(monotonic_s()))
            self._check_sample(lot, sample)

    def _check_sample(self, lot: _OpenLot, sample: DeliveredSample) -> None:
        staleness = max(0, lot.asked_version - min(span.version for span in sample.spans))
        self.outcomes.staleness[staleness] = self.outcomes.staleness.get(staleness, 0) + 1
        if staleness > self.parameters.staleness_bound:
            self.outcomes.over_staleness += 1
        spec = lot.request.prompts[sample.index]
        request = to_generate_request(lot.request, spec)
        verdict = verify_output(
            request, sample.tokens, sample.spans, sample.finish_reason, self._model.lengths
        )
        if verdict is not Verdict.CORRECT:
            self.outcomes.wrong += 1
            self.outcomes.count_error(f"verdict_{verdict.value}")

    async def _acknowledge_page(self, lot: _OpenLot, page: SamplesPage) -> None:
        """Acknowledge a page's samples, and request those again that were withdrawn before they arrived."""
        received = [sample.sample_id for sample in page.samples]
        if received:
            await self._retry_until_success(lambda: self._client.acknowledge(lot.lot_id, received))
        missing = [name for name in page.withdrawn if index_of(lot.lot_id, name) not in lot.received]
        if missing:
            self.outcomes.replaced += len(missing)
            await self._retry_until_success(lambda: self._client.replace(lot.lot_id, missing, self.version))

    def _record_lot_outcome(self, lot: _OpenLot) -> None:
        failed = lot.failed - set(lot.received)
        self.outcomes.failed += len(failed)
        self.outcomes.lost += len(lot.request.prompts) - len(lot.received) - len(failed)
        self.outcomes.lot_times_s.append(monotonic_s() - lot.opened_s)

    # --- weights ----------------------------------------------------------------------

    def _publish(self) -> None:
        self.version += 1
        self.outcomes.version = self.version
        self._store_weights(self.parameters.model, self.version)
        if self._announcement is None or self._announcement.done():
            self._announcement = asyncio.ensure_future(self._announce_versions())

    async def _announce_versions(self) -> None:
        """Announce the newest version, and again if a newer one was stored meanwhile."""
        announced = 0
        while announced < self.version:
            announced = self.version
            await self._retry_until_success(
                lambda: self._client.publish_version(self.parameters.model, self.version)
            )

    # --- retries ------------------------------------------------------------------------

    async def _retry_until_success(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Repeat a call after each PassgateError, since a trainer can not go on without its samples."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                return await call()
            except PassgateError as error:
                self.outcomes.count_error(error.code)
                wait_s = error.retry_after_s
            await asyncio.sleep(wait_s if wait_s is not None else backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    # --- events ---------------------------------------------------------------------------

    def _record_lot_submitted(self, lot: _OpenLot) -> None:
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
        self._record_event(event)

    def _record_page_received(self, lot: _OpenLot, cursor: int, page: SamplesPage) -> None:
        event = PageReceived(
            time_s=monotonic_s(),
            lot_id=lot.lot_id,
            cursor=cursor,
            next_cursor=page.next_cursor,
            trainer_version=lot.asked_version,
            samples=tuple(_to_received_sample(sample) for sample in page.samples),
            finished=page.finished,
            withdrawn=page.withdrawn,
            failed=tuple(failure.index for failure in page.failed),
        )
        self._record_event(event)


def _to_received_sample(sample: DeliveredSample) -> ReceivedSample:
    return ReceivedSample(
        sample_id=sample.sample_id,
        index=sample.index,
        attempt=sample.attempt,
        tokens=sample.tokens,
        spans=sample.spans,
        finish_reason=sample.finish_reason,
    )


def to_generate_request(lot: LotRequest, spec: PromptSpec) -> GenerateRequest:
    """Return the generate request whose output is the correct sample for a prompt of a lot."""
    return GenerateRequest(
        request_id="",
        caller=lot.caller,
        pool=lot.pool,
        model=lot.model,
        prompt=spec.prompt,
        max_tokens=spec.max_tokens,
        seed=spec.seed,
    )


def _discard_event(event: AnyEvent) -> None:
    pass
