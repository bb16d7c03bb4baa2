"""A trainer that reads late and repeats calls while newer versions are published.

Samples become stale before they are read, or after, which exercises their delivery,
withdrawal and replacement.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from passgate.check.events import AnyEvent, LotPrompt, LotSubmitted, PageReceived, ReceivedSample
from passgate.clock import monotonic_s
from passgate.emulator.expected_output import expected_length
from passgate.emulator.parameters import ModelParameters
from passgate.emulator.passgate_client import PassgateClient
from passgate.emulator.prompts import PromptSource
from passgate.errors import PassgateError
from passgate.records import PromptSpec
from passgate.state.lot_types import LotRequest, SamplesPage, index_of

TRAINER_NAME = "slow-trainer"
PROMPTS_PER_LOT = 4
MAX_TOKENS = 32
STALENESS_BOUND = 1
MAX_READ_PAUSE_S = 9.0
READ_WAIT_S = 1.0
REPEATED_READ_SHARE = 0.3
"""Share of the pages that are read twice."""
REPEATED_REPLACE_SHARE = 0.3
"""Share of pages that are not acknowledged, and of replacement calls that are repeated."""
BACKOFF_S = 0.5


class SlowTrainer:
    """Collects one lot after the other until ``stopping`` is set; the last lot is completed."""

    def __init__(
        self,
        service: PassgateClient,
        model: ModelParameters,
        current_version: Callable[[], int],
        random: Random,
        record: Callable[[AnyEvent], None],
        max_read_pause_s: float = MAX_READ_PAUSE_S,
    ) -> None:
        self._service = service
        self._model = model
        self._current_version = current_version
        self._random = random
        self._record = record
        self._max_read_pause_s = max_read_pause_s
        self._prompts = PromptSource(model, random)
        self._delayed_calls: set[asyncio.Task[None]] = set()
        self.stopping = False
        """Set it to let no further lot be opened."""

    async def run(self) -> None:
        """Collect lots one after the other."""
        number = 0
        while not self.stopping:
            number += 1
            await self._collect_lot(f"{TRAINER_NAME}-{number}")

    async def _collect_lot(self, lot_id: str) -> None:
        request = self._make_lot_request()
        await self._retry(lambda: self._service.open_lot(request, lot_id))
        self._record(self._make_lot_event(lot_id, request))
        received_indexes: set[int] = set()
        cursor = 0
        while True:
            await asyncio.sleep(self._random.uniform(0.0, self._max_read_pause_s))
            page = await self._read(lot_id, cursor)
            received_indexes.update(sample.index for sample in page.samples)
            if self._random.random() < REPEATED_READ_SHARE:
                repeated_page = await self._read(lot_id, cursor)
                received_indexes.update(sample.index for sample in repeated_page.samples)
            await self._acknowledge_and_replace(lot_id, page, received_indexes)
            if page.finished and not self._find_missing_samples(lot_id, page, received_indexes):
                return
            cursor = page.next_cursor

    async def _read(self, lot_id: str, cursor: int) -> SamplesPage:
        limit = self._random.randint(1, PROMPTS_PER_LOT)

        async def read() -> SamplesPage:
            version = self._current_version()
            page = await self._service.read_lot(lot_id, cursor, limit, READ_WAIT_S, version)
            self._record(_make_page_event(lot_id, cursor, version, page))
            return page

        return await self._retry(read)

    async def _acknowledge_and_replace(
        self, lot_id: str, page: SamplesPage, received_indexes: set[int]
    ) -> None:
        received_ids = [sample.sample_id for sample in page.samples]
        if received_ids and self._random.random() < 1 - REPEATED_REPLACE_SHARE:
            await self._retry(lambda: self._service.acknowledge(lot_id, received_ids))
        missing_ids = self._find_missing_samples(lot_id, page, received_indexes)
        if not missing_ids:
            return
        await self._retry(lambda: self._service.replace(lot_id, missing_ids, self._current_version()))
        if self._random.random() < REPEATED_REPLACE_SHARE:
            # Simulates a copy of the call that the network delivers late.
            self._delayed_calls.add(asyncio.ensure_future(self._replace_later(lot_id, missing_ids)))

    async def _replace_later(self, lot_id: str, sample_ids: list[str]) -> None:
        version = self._current_version()
        await asyncio.sleep(self._random.uniform(0.0, self._max_read_pause_s))
        try:
            await self._service.replace(lot_id, sample_ids, version)
        except PassgateError:
            return

    def _find_missing_samples(self, lot_id: str, page: SamplesPage, received_indexes: set[int]) -> list[str]:
        return [
            sample_id for sample_id in page.withdrawn if index_of(lot_id, sample_id) not in received_indexes
        ]

    async def _retry(self, call: Callable[[], Awaitable]):
        while True:
            try:
                return await call()
            except PassgateError as error:
                await asyncio.sleep(error.retry_after_s or BACKOFF_S)

    def _make_lot_request(self) -> LotRequest:
        prompts = tuple(
            PromptSpec(
                prompt=self._prompts.next_prompt(), max_tokens=MAX_TOKENS, seed=self._prompts.next_seed()
            )
            for _ in range(PROMPTS_PER_LOT)
        )
        return LotRequest(
            caller=TRAINER_NAME,
            pool=self._model.name,
            model=self._model.name,
            staleness_bound=STALENESS_BOUND,
            trainer_version=self._current_version(),
            prompts=prompts,
        )

    def _make_lot_event(self, lot_id: str, request: LotRequest) -> LotSubmitted:
        return LotSubmitted(
            time_s=monotonic_s(),
            lot_id=lot_id,
            trainer=TRAINER_NAME,
            model=request.model,
            staleness_bound=request.staleness_bound,
            prompts=tuple(self._make_lot_prompt(spec) for spec in request.prompts),
        )

    def _make_lot_prompt(self, spec: PromptSpec) -> LotPrompt:
        length, _ = expected_length(spec.prompt, spec.seed, spec.max_tokens, self._model.lengths)
        return LotPrompt(
            prompt=spec.prompt, max_tokens=spec.max_tokens, seed=spec.seed, expected_length=length
        )


def _make_page_event(lot_id: str, cursor: int, version: int, page: SamplesPage) -> PageReceived:
    samples = tuple(
        ReceivedSample(
            sample_id=sample.sample_id,
            index=sample.index,
            attempt=sample.attempt,
            tokens=sample.tokens,
            spans=sample.spans,
            finish_reason=sample.finish_reason,
        )
        for sample in page.samples
    )
    return PageReceived(
        time_s=monotonic_s(),
        lot_id=lot_id,
        cursor=cursor,
        next_cursor=page.next_cursor,
        trainer_version=version,
        samples=samples,
        finished=page.finished,
        withdrawn=page.withdrawn,
        failed=tuple(failure.index for failure in page.failed),
    )
