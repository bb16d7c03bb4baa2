"""Keeper of a lot: produces the samples of its open slots and commits them to the log.

A keeper works under one epoch, with bounded concurrency, and retries failed requests
until the lot's deadline.  It stops when the projection shows another epoch; readers
reject the records that it appends after that.
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

ProduceSample = Callable[[GenerateRequest], Awaitable[GenerateResult]]

PRODUCTION_LIMIT_SAMPLES = 512
"""Largest number of samples of a lot that one keeper produces at a time."""
IN_PROGRESS_LIMIT_SAMPLES = 1024
"""Largest number of samples that are being produced or wait for the log; production pauses at it."""
COMMIT_TIMEOUT_S = 60.0
EXPIRE_TIMEOUT_S = 5.0
RELEASE_TIMEOUT_S = 5.0
TRAINER_IDLE_TIMEOUT_S = 120.0
"""Stale samples are not produced again for a trainer that has made no call for longer."""
RETRY_INITIAL_S = 0.1
RETRY_MAX_S = 5.0
STALENESS_CHECK_INTERVAL_S = 1.0
"""Longest interval between two checks of committed samples against the staleness bound."""


class LotKeeper:
    """Produces the samples of one lot under one epoch.

    ``produce_sample`` runs one request; its errors never end the keeper.
    """

    def __init__(self, handle: LotHandle, epoch: int, produce_sample: ProduceSample, random: Random) -> None:
        self.epoch = epoch
        self._handle = handle
        self._produce_sample = produce_sample
        self._random = random
        self._task_by_index: dict[int, asyncio.Task[None]] = {}
        self._producing_indexes: set[int] = set()
        self._start_queue: list[tuple[int, int, int]] = []
        """Heap of slots to produce; may contain slots that are no longer open or already in progress."""
        self._queued_reopen_count = -1
        """Value of the projection's ``reopen_count`` for which the heap was built."""
        self._is_draining = False
        self.unexpected_failures = 0
        """Requests that raised something other than PassgateError, or whose tokens could not be packed."""
        self._loop_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to produce open slots in the background."""
        self._loop_task = asyncio.get_running_loop().create_task(self._run())

    @property
    def is_running(self) -> bool:
        """Whether the production loop runs, also when no slot is open."""
        return self._loop_task is not None and not self._loop_task.done()

    async def drain(self, timeout_s: float) -> None:
        """Start no further sample, wait ``timeout_s`` for those in progress, release the lot and close."""
        self._is_draining = True
        if self._task_by_index:
            await asyncio.wait(set(self._task_by_index.values()), timeout=timeout_s)
        if self._is_current():
            await self._release_lot()
        await self.close()

    async def close(self) -> None:
        """Cancel all production without releasing the lot; samples that are not committed are lost."""
        tasks = [*self._task_by_index.values(), *([self._loop_task] if self._loop_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while self._is_current() and not self._handle.projection.is_settled():
                self._start_open_slots()
                await self._expire_stale_samples()
                await self._handle.wait_for_change(STALENESS_CHECK_INTERVAL_S)
        finally:
            for task in self._task_by_index.values():
                task.cancel()

    def _is_current(self) -> bool:
        header = self._handle.projection.header
        return header.epoch == self.epoch and bool(header.keeper) and not header.cancelled

    def _start_open_slots(self) -> None:
        if self._is_draining:
            return
        if self._queued_reopen_count != self._handle.projection.reopen_count:
            self._queued_reopen_count = self._handle.projection.reopen_count
            self._start_queue = [
                self._start_priority(index) for index in range(len(self._handle.projection.slots))
            ]
            heapq.heapify(self._start_queue)
        while self._start_queue and self._can_start():
            index = heapq.heappop(self._start_queue)[-1]
            if self._is_open(index) and index not in self._task_by_index:
                self._start(index)

    def _can_start(self) -> bool:
        return (
            len(self._producing_indexes) < PRODUCTION_LIMIT_SAMPLES
            and len(self._task_by_index) < IN_PROGRESS_LIMIT_SAMPLES
        )

    def _is_open(self, index: int) -> bool:
        return self._handle.projection.slots[index].status is SlotStatus.OPEN

    def _start_priority(self, index: int) -> tuple[int, int, int]:
        """Return the heap entry of a slot: slots opened again first, then those with most ``max_tokens``."""
        prompts = self._handle.opened.packed_prompts
        return (-self._handle.projection.slots[index].attempt, -prompts[index].max_tokens, index)

    def _start(self, index: int) -> None:
        task = asyncio.get_running_loop().create_task(self._produce_and_commit(index))
        self._task_by_index[index] = task
        self._producing_indexes.add(index)
        task.add_done_callback(lambda _: self._handle_task_done(index))

    def _handle_task_done(self, index: int) -> None:
        del self._task_by_index[index]
        self._producing_indexes.discard(index)
        if self._is_open(index):
            heapq.heappush(self._start_queue, self._start_priority(index))
        self._handle.wake_waiters()

    async def _produce_and_commit(self, index: int) -> None:
        """Produce a slot's sample and commit it, or record that the slot has failed."""
        attempt = self._handle.projection.slots[index].attempt
        try:
            commit_record = await self._produce_until_fresh(index, attempt)
        except PassgateError as error:
            await self._append_until_decided(SampleFailed(index=index, code=error.code))
            return
        finally:
            self._producing_indexes.discard(index)
        await self._append_until_decided(commit_record)

    def _commit_record(self, index: int, attempt: int, result: GenerateResult) -> SampleCommitted:
        """Return the record that commits ``result``; raises OverflowError for a token over 32 bits."""
        return SampleCommitted(
            index=index,
            attempt=attempt,
            packed_tokens=pack_tokens(result.tokens),
            spans=result.spans,
            finish_reason=result.finish_reason,
            replica_id=result.replica_id,
        )

    async def _produce_until_fresh(self, index: int, attempt: int) -> SampleCommitted:
        """Send requests until one returns a sample within the staleness bound; return its commit record.

        Raises:
            DeadlineExceeded: the lot's deadline passed.
            InvalidRequest: the request can not succeed; its subclass NotFound is retried.
        """
        backoff_s = RETRY_INITIAL_S
        for request_number in itertools.count(1):
            self._check_deadline()
            retry_after_s = None
            try:
                result = await self._produce_sample(self._make_request(index, attempt, request_number))
                if result.spans and not self._is_stale(result):
                    return self._commit_record(index, attempt, result)
            except PassgateError as error:
                if isinstance(error, InvalidRequest) and not isinstance(error, NotFound):
                    raise
                retry_after_s = error.retry_after_s
            except Exception:  # noqa: BLE001  An unexpected error or an unusable result is retried.
                self.unexpected_failures += 1
            await self._wait_before_retry(retry_after_s or backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, RETRY_MAX_S)
        raise AssertionError("the loop over request numbers does not end")

    async def _wait_before_retry(self, delay_s: float) -> None:
        """Sleep for the delay, or until the lot's deadline if that is sooner."""
        deadline_s = self._deadline_s()
        if deadline_s is not None:
            delay_s = min(delay_s, max(0.0, deadline_s - monotonic_s()))
        await asyncio.sleep(delay_s)

    def _make_request(self, index: int, attempt: int, request_number: int) -> GenerateRequest:
        opened = self._handle.opened
        prompt = opened.packed_prompts[index]
        identifier = sample_id(self._handle.lot_id, index)
        return GenerateRequest(
            request_id=f"{identifier}/{attempt}/{self.epoch}/{request_number}",
            caller=opened.caller,
            pool=opened.pool,
            model=opened.model,
            prompt=unpack_tokens(prompt.tokens),
            max_tokens=prompt.max_tokens,
            seed=prompt.seed,
            priority_class=opened.priority_class,
            deadline_s=self._deadline_s(),
            minimum_version=max(0, self._handle.newest_known_version() - opened.staleness_bound),
        )

    def _deadline_s(self) -> float | None:
        """Return the lot's deadline in the time of ``monotonic_s``; None when it has none."""
        deadline_unix_s = self._handle.opened.deadline_unix_s
        return None if deadline_unix_s is None else monotonic_s() + deadline_unix_s - unix_s()

    def _check_deadline(self) -> None:
        deadline_s = self._deadline_s()
        if deadline_s is not None and deadline_s <= monotonic_s():
            raise DeadlineExceeded("the deadline of the lot has passed")

    def _is_stale(self, result: GenerateResult) -> bool:
        """Return whether a result exceeds the staleness bound already before its commit."""
        return (
            self._handle.newest_known_version() - result.oldest_version()
            > self._handle.opened.staleness_bound
        )

    async def _append_until_decided(self, body: SampleCommitted | SampleFailed) -> None:
        """Append a record until it is decided; give up when this keeper's epoch ends or the lot is cancelled.

        A record whose outcome was unknown is appended again.  That is safe: the
        projection rejects a second commit or failure of the same slot.
        """
        while self._is_current():
            try:
                await self._handle.propose(body, epoch=self.epoch, timeout_s=COMMIT_TIMEOUT_S)
            except (DurabilityUnavailable, DurabilityUnknown):
                continue
            return

    async def _expire_stale_samples(self) -> None:
        """Expire stale committed samples, so that they are produced again before the trainer reads them.

        Does nothing for an inactive trainer, for which each new version would
        otherwise produce the whole lot again.
        """
        if monotonic_s() - self._handle.last_trainer_action_s > TRAINER_IDLE_TIMEOUT_S:
            return
        version = self._handle.newest_known_version()
        await expire_samples(
            self._handle, self._handle.stale_committed_indexes(version), version, EXPIRE_TIMEOUT_S
        )

    async def _release_lot(self) -> None:
        try:
            await self._handle.propose(KeeperReleased(), epoch=self.epoch, timeout_s=RELEASE_TIMEOUT_S)
        except (DurabilityUnavailable, DurabilityUnknown):
            return  # Another daemon takes the lot over once membership reports that this one has left.


async def expire_samples(handle: LotHandle, indexes: list[int], version: int, timeout_s: float) -> None:
    """Append records that open the slots of stale samples again; failed appends are ignored.

    The projection rejects the record of a slot that has changed in the meantime.
    """
    slots = handle.projection.slots
    epoch = handle.projection.header.epoch
    bodies = [
        SampleExpired(index=index, attempt=slots[index].attempt, trainer_version=version) for index in indexes
    ]
    proposals = [handle.propose(body, epoch=epoch, timeout_s=timeout_s) for body in bodies]
    await asyncio.gather(*proposals, return_exceptions=True)
