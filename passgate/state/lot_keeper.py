"""Keeper of a lot: produces its samples under one epoch and commits them to the log.

A keeper produces open slots with bounded concurrency, longest answers first, and
retries what fails until the lot's deadline.  It stops by itself when the fold
shows a newer epoch: whatever it still commits is ignored by all readers.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable
from random import Random

from passgate.clock import monotonic_s, unix_s
from passgate.errors import (
    DeadlineExceeded,
    DurabilityUnavailable,
    DurabilityUnknown,
    InvalidRequest,
    NotFound,
    PassgateError,
)
from passgate.records import (
    KeeperReleased,
    SampleCommitted,
    SampleExpired,
    SampleFailed,
    pack_tokens,
    unpack_tokens,
)
from passgate.schema import GenerateRequest, GenerateResult
from passgate.state.lot_handle import LotHandle
from passgate.state.lot_state import SlotStatus
from passgate.state.lot_types import sample_id

Producer = Callable[[GenerateRequest], Awaitable[GenerateResult]]

IN_PRODUCTION_LIMIT = 512
"""Most samples of a lot that one keeper has under way."""
UNCOMMITTED_LIMIT = 1024
"""Most produced samples that wait for the log; production pauses beyond it."""
COMMIT_TIMEOUT_S = 60.0
EXPIRE_TIMEOUT_S = 5.0
RELEASE_TIMEOUT_S = 5.0
TRAINER_GONE_S = 120.0
"""Samples of a trainer silent for so long are not renewed at each new version."""
RETRY_INITIAL_S = 0.1
RETRY_CAP_S = 5.0
STALENESS_CHECK_S = 1.0
"""How often committed samples that nobody reads are compared with the bound."""


class LotKeeper:
    """Produces one lot under one epoch."""

    def __init__(self, handle: LotHandle, epoch: int, producer: Producer, random: Random) -> None:
        self.epoch = epoch
        self._handle = handle
        self._producer = producer
        self._random = random
        self._under_way: dict[int, asyncio.Task[None]] = {}
        self._producing: set[int] = set()
        self._ready: list[tuple[int, int, int]] = []
        """Heap of slots to produce, by urgency; entries may be out of date."""
        self._reopenings_seen = -1
        self._stopping = False
        self.faults = 0
        """Answers of the producer that could not be used and were no typed failure."""
        self._loop_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to produce."""
        self._loop_task = asyncio.get_running_loop().create_task(self._run())

    @property
    def running(self) -> bool:
        """Whether this keeper still produces or may do so again."""
        return self._loop_task is not None and not self._loop_task.done()

    async def drain(self, timeout_s: float) -> None:
        """Start no further sample, let those under way be committed, and release the lot."""
        self._stopping = True
        if self._under_way:
            await asyncio.wait(set(self._under_way.values()), timeout=timeout_s)
        if self._is_current():
            await self._release()
        await self.close()

    async def close(self) -> None:
        """Stop at once; what is not committed is lost and produced by the next keeper."""
        tasks = [*self._under_way.values(), *([self._loop_task] if self._loop_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while self._is_current() and not self._handle.fold.is_settled():
                self._start_open_slots()
                await self._expire_stale()
                await self._handle.wait_for_change(STALENESS_CHECK_S)
        finally:
            for task in self._under_way.values():
                task.cancel()

    def _is_current(self) -> bool:
        header = self._handle.fold.header
        return header.epoch == self.epoch and bool(header.keeper) and not header.cancelled

    def _start_open_slots(self) -> None:
        if self._stopping:
            return
        if self._reopenings_seen != self._handle.fold.reopenings:
            self._reopenings_seen = self._handle.fold.reopenings
            self._ready = [self._urgency(index) for index in range(len(self._handle.fold.slots))]
            heapq.heapify(self._ready)
        while self._ready and self._has_room():
            index = heapq.heappop(self._ready)[-1]
            if self._is_open(index) and index not in self._under_way:
                self._start(index)

    def _has_room(self) -> bool:
        return len(self._producing) < IN_PRODUCTION_LIMIT and len(self._under_way) < UNCOMMITTED_LIMIT

    def _is_open(self, index: int) -> bool:
        return self._handle.fold.slots[index].status is SlotStatus.OPEN

    def _urgency(self, index: int) -> tuple[int, int, int]:
        """Order slots: those opened again first, then the longest answers."""
        prompts = self._handle.opened.packed_prompts
        return (-self._handle.fold.slots[index].attempt, -prompts[index].max_tokens, index)

    def _start(self, index: int) -> None:
        task = asyncio.get_running_loop().create_task(self._fill(index))
        self._under_way[index] = task
        self._producing.add(index)
        task.add_done_callback(lambda _: self._ended(index))

    def _ended(self, index: int) -> None:
        del self._under_way[index]
        self._producing.discard(index)
        if self._is_open(index):
            heapq.heappush(self._ready, self._urgency(index))
        self._handle.notify()

    async def _fill(self, index: int) -> None:
        """Produce and commit one slot, or record that it can not be produced."""
        attempt = self._handle.fold.slots[index].attempt
        try:
            commitment = await self._produce(index, attempt)
        except PassgateError as error:
            await self._commit(SampleFailed(index=index, code=error.code))
            return
        finally:
            self._producing.discard(index)
        await self._commit(commitment)

    def _commitment(self, index: int, attempt: int, result: GenerateResult) -> SampleCommitted:
        """Return the record that commits ``result``; raises OverflowError on odd tokens."""
        return SampleCommitted(
            index=index,
            attempt=attempt,
            packed_tokens=pack_tokens(result.tokens),
            spans=result.spans,
            finish_reason=result.finish_reason,
            replica_id=result.replica_id,
        )

    async def _produce(self, index: int, attempt: int) -> SampleCommitted:
        """Return a sample within the bound; raises the error that ends the slot."""
        backoff_s = RETRY_INITIAL_S
        for tries in itertools.count(1):
            self._check_deadline()
            retry_after_s = None
            try:
                result = await self._producer(self._request(index, attempt, tries))
                if result.spans and not self._is_stale(result):
                    return self._commitment(index, attempt, result)
            except PassgateError as error:
                if isinstance(error, InvalidRequest) and not isinstance(error, NotFound):
                    raise
                retry_after_s = error.retry_after_s
            except Exception:  # noqa: BLE001  A fault of the producer or of its answer must not end the lot.
                self.faults += 1
            await self._pause(retry_after_s or backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, RETRY_CAP_S)
        raise AssertionError("unreachable")

    async def _pause(self, delay_s: float) -> None:
        """Sleep, but not beyond the lot's deadline."""
        deadline_s = self._deadline_s()
        if deadline_s is not None:
            delay_s = min(delay_s, max(0.0, deadline_s - monotonic_s()))
        await asyncio.sleep(delay_s)

    def _request(self, index: int, attempt: int, tries: int) -> GenerateRequest:
        opened = self._handle.opened
        prompt = opened.packed_prompts[index]
        identifier = sample_id(self._handle.lot_id, index)
        return GenerateRequest(
            request_id=f"{identifier}/{attempt}/{self.epoch}/{tries}",
            caller=opened.caller,
            pool=opened.pool,
            model=opened.model,
            prompt=unpack_tokens(prompt.tokens),
            max_tokens=prompt.max_tokens,
            seed=prompt.seed,
            priority_class=opened.priority_class,
            deadline_s=self._deadline_s(),
            minimum_version=max(0, self._handle.version() - opened.staleness_bound),
        )

    def _deadline_s(self) -> float | None:
        """Return the lot's deadline on this loop's clock."""
        deadline_unix_s = self._handle.opened.deadline_unix_s
        return None if deadline_unix_s is None else monotonic_s() + deadline_unix_s - unix_s()

    def _check_deadline(self) -> None:
        deadline_s = self._deadline_s()
        if deadline_s is not None and deadline_s <= monotonic_s():
            raise DeadlineExceeded("the lot's deadline passed")

    def _is_stale(self, result: GenerateResult) -> bool:
        """Return whether a fresh result is already over the bound, so that committing it is useless."""
        return self._handle.version() - result.oldest_version() > self._handle.opened.staleness_bound

    async def _commit(self, body: SampleCommitted | SampleFailed) -> None:
        """Offer a record until the log has it or this keeper's epoch is over."""
        while self._is_current():
            try:
                await self._handle.propose(body, epoch=self.epoch, timeout_s=COMMIT_TIMEOUT_S)
            except (DurabilityUnavailable, DurabilityUnknown):
                continue
            return

    async def _expire_stale(self) -> None:
        """Have stale samples produced again before the trainer asks, unless it seems to be gone."""
        if monotonic_s() - self._handle.last_trainer_action_s > TRAINER_GONE_S:
            return
        version = self._handle.version()
        await expire(self._handle, self._handle.stale_committed(version), version, EXPIRE_TIMEOUT_S)

    async def _release(self) -> None:
        try:
            await self._handle.propose(KeeperReleased(), epoch=self.epoch, timeout_s=RELEASE_TIMEOUT_S)
        except (DurabilityUnavailable, DurabilityUnknown):
            return  # Membership will declare this process run as left.


async def expire(handle: LotHandle, indexes: list[int], version: int, timeout_s: float) -> None:
    """Open stale committed slots again; a slot that meanwhile moved on is left alone."""
    slots = handle.fold.slots
    epoch = handle.fold.header.epoch
    bodies = [
        SampleExpired(index=index, attempt=slots[index].attempt, trainer_version=version) for index in indexes
    ]
    proposals = [handle.propose(body, epoch=epoch, timeout_s=timeout_s) for body in bodies]
    await asyncio.gather(*proposals, return_exceptions=True)
