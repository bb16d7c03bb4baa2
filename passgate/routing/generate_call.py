"""One generation request: queues it, runs, resumes and hedges attempts, and returns one output.

Invariants: the chunks passed to ``on_chunk`` are contiguous and are part of the final
output; a request that is not repeatable has at most one attempt that may have run; no
attempt is running when :meth:`GenerateCall.run` returns or raises.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import ExecutionStatus, IncompleteAnswer, PassgateError
from passgate.routing.attempt import Attempt
from passgate.routing.attempt_failure import RetryDecision, handle_failure
from passgate.routing.context import RoutingContext
from passgate.routing.execution import ExecutionHistory
from passgate.routing.hedging import AttemptProgress, HedgeOrder, HedgeReason
from passgate.routing.output_length import remaining_tokens
from passgate.routing.prefix import BLOCK_TOKENS, block_hashes
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.resume import make_attempt_request_id, make_resumed_request
from passgate.routing.work import WorkItem
from passgate.schema import GenerateChunk, GenerateRequest, GenerateResult, VersionSpan

ChunkCallback = Callable[[GenerateChunk], None]


class _AttemptEnded(msgspec.Struct, frozen=True, eq=False):
    attempt: Attempt
    error: PassgateError | None


class _CallbackFailed(msgspec.Struct, frozen=True, eq=False):
    error: Exception


_Event = _AttemptEnded | _CallbackFailed | HedgeOrder


class GenerateCall:
    """One generation request and its attempts.

    :meth:`run` handles one event at a time: the end of an attempt, a requested hedge, or a
    failure of the caller's callback.
    """

    def __init__(
        self,
        context: RoutingContext,
        request: GenerateRequest,
        on_chunk: ChunkCallback | None,
        execution: ExecutionHistory,
    ) -> None:
        self.key = context.next_key()
        self.request = request
        self._context = context
        self._on_chunk = on_chunk
        self._execution = execution
        self._priority_class = context.priority_class(request.priority_class)
        self._events: asyncio.Queue[_Event] = asyncio.Queue()
        self._task_by_attempt: dict[Attempt, asyncio.Task[None]] = {}
        self._cancelled_tasks: set[asyncio.Task[None]] = set()
        self._hedges: set[Attempt] = set()
        self._replicas_to_avoid: set[str] = set()
        self._prompt_block_hashes = self._hash_prompt_blocks()
        self._resume_tokens: list[int] = list(request.resume_tokens)
        self._resume_spans: list[VersionSpan] = list(request.resume_spans)
        self._emitted_tokens = len(self._resume_tokens)

    async def run(self) -> GenerateResult:
        """Run attempts until one succeeds, and return the complete output.

        Raises:
            PassgateError: error of the last attempt or of queueing it; ``execution`` covers only it.
            Exception: whatever ``on_chunk`` raised.
        """
        try:
            await self._queue_attempt()
            while True:
                event = await self._events.get()
                if isinstance(event, HedgeOrder):
                    await self._start_hedge(event)
                elif isinstance(event, _CallbackFailed):
                    raise event.error
                elif event.error is None:
                    return self._make_result(event.attempt)
                else:
                    await self._handle_failed_attempt(event.attempt, event.error)
        finally:
            await self._cancel_attempts()

    # --- hedging, called by the hedge scanner ------------------------------------------

    def hedge_candidate(self) -> AttemptProgress | None:
        """Return the progress of the running attempt, or None when it must not be hedged.

        Only a repeatable request with exactly one running attempt and an attempt left may be hedged.
        """
        if len(self._task_by_attempt) != 1 or not self.request.repeatable:
            return None
        if self._execution.attempt_count >= self._context.policy.max_attempts:
            return None
        (attempt,) = self._task_by_attempt
        tracker = self._context.slots.scheduler.load_tracker
        replica_id = attempt.replica.replica_id
        tokens = len(attempt.assembler.tokens)
        return AttemptProgress(
            key=self.key,
            replica_id=replica_id,
            last_chunk_s=attempt.last_chunk_s,
            received_tokens=tokens,
            remaining_tokens=remaining_tokens(self._expected_tokens(), tokens, self.request.max_tokens),
            time_per_token_s=tracker.time_per_token_s(replica_id),
            prompt_tokens=len(self.request.prompt),
            interactive=self._priority_class.interactive,
            has_output=attempt.first_chunk_s is not None,
            replica_has_waiting=tracker.load(replica_id).reported_waiting > 0,
        )

    @property
    def is_hedged(self) -> bool:
        """Whether two attempts are running."""
        return len(self._task_by_attempt) > 1

    def request_hedge(self, order: HedgeOrder) -> None:
        """Have :meth:`run` start a second attempt; ignored unless exactly one runs by then."""
        self._events.put_nowait(order)

    # --- attempts ----------------------------------------------------------------------------

    async def _queue_attempt(self) -> None:
        item = self._make_work_item()
        replica = await self._context.slots.acquire(
            item, self._priority_class, is_retry=self._execution.attempt_count > 0
        )
        self._start_attempt(item, replica)

    def _start_attempt(self, item: WorkItem, replica: ReplicaInfo) -> Attempt:
        if self._execution.status is ExecutionStatus.NOT_RUN:
            request_id = self.request.request_id
        else:
            request_id = make_attempt_request_id(self.request.request_id, self._execution.attempt_count + 1)
        request = make_resumed_request(self.request, request_id, self._resume_tokens, self._resume_spans)
        attempt = Attempt(replica, request, self._execution)
        counters = self._context.counters
        counters.attempts += 1
        counters.resumed_tokens += len(request.resume_tokens) - len(self.request.resume_tokens)
        self._task_by_attempt[attempt] = asyncio.create_task(self._run_attempt(attempt, item))
        return attempt

    async def _run_attempt(self, attempt: Attempt, item: WorkItem) -> None:
        scheduler = self._context.slots.scheduler
        replica_id = attempt.replica.replica_id

        def on_chunk(_: Attempt, chunk: GenerateChunk) -> None:
            if attempt.received_tokens == len(chunk.tokens):
                scheduler.health.record_success(replica_id)
            scheduler.record_chunk(item, replica_id, chunk, monotonic_s())
            self._emit(attempt, chunk)
            self._cancel_overtaken(attempt)

        error: PassgateError | None = None
        try:
            await attempt.run(self._context.engine_client, on_chunk)
        except PassgateError as failure:
            error = failure
        finally:
            self._task_by_attempt.pop(attempt, None)
            self._context.slots.release(item, replica_id, attempt.received_tokens)
        self._events.put_nowait(_AttemptEnded(attempt, error))

    def _cancel_overtaken(self, hedge: Attempt) -> None:
        """Cancel the attempts that have fewer tokens than the hedge, to free their replicas."""
        if hedge not in self._hedges:
            return
        for attempt in list(self._task_by_attempt):
            if len(attempt.assembler.tokens) < len(hedge.assembler.tokens):
                self._context.counters.hedges_won += 1
                self._cancel_attempt(attempt)

    async def _handle_failed_attempt(self, attempt: Attempt, error: PassgateError) -> None:
        """Start the next attempt unless one is running; raises ``error`` when no retry is allowed."""
        context = self._context
        context.counters.attempt_failures += 1
        replica_id = attempt.replica.replica_id
        self._replicas_to_avoid.add(replica_id)
        scheduler = context.slots.scheduler
        decision = handle_failure(error, replica_id, self.request.model, scheduler, monotonic_s())
        if decision is RetryDecision.RETRY:
            self._save_progress(attempt)
        if self._task_by_attempt:
            return
        if decision is RetryDecision.GIVE_UP or not self._may_retry():
            raise error
        context.counters.retries += 1
        await self._queue_attempt()

    def _may_retry(self) -> bool:
        context = self._context
        if self._execution.attempt_count >= context.policy.max_attempts:
            return False
        if not self.request.repeatable and self._execution.status is not ExecutionStatus.NOT_RUN:
            return False
        if len(self._resume_tokens) < self._emitted_tokens:
            return False
        if not context.retry_budget.take():
            context.counters.retries_denied += 1
            return False
        return True

    def _save_progress(self, attempt: Attempt) -> None:
        """Keep an attempt's tokens to resume from, if they are the longest output so far."""
        assembler = attempt.assembler
        if self._context.policy.resume and len(assembler.tokens) > len(self._resume_tokens):
            self._resume_tokens = assembler.tokens
            self._resume_spans = assembler.spans

    async def _start_hedge(self, order: HedgeOrder) -> None:
        if len(self._task_by_attempt) != 1:
            return
        (attempt,) = self._task_by_attempt
        scheduler = self._context.slots.scheduler
        current_id = attempt.replica.replica_id
        if order.reason is HedgeReason.STALLED:
            scheduler.health.record_failure(current_id, monotonic_s())
        self._save_progress(attempt)
        item = self._make_work_item()
        replica = scheduler.place_hedge(item, frozenset({current_id}), monotonic_s())
        if replica is None:
            return
        if self._on_chunk is not None:
            await self._cancel_attempts()
            self._save_progress(attempt)
            self._context.counters.hedges_won += 1
        # The lists may be those of the running attempt, which would change them later.
        self._resume_tokens = list(self._resume_tokens)
        self._resume_spans = list(self._resume_spans)
        self._count_hedge(order)
        self._hedges = {self._start_attempt(item, replica)}

    def _count_hedge(self, order: HedgeOrder) -> None:
        if order.reason is HedgeReason.STALLED:
            self._context.counters.hedges_stalled += 1
        else:
            self._context.counters.hedges_slow += 1

    def _cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt; it counts as ended at once and sends no event."""
        task = self._task_by_attempt.pop(attempt)
        self._context.counters.wasted_tokens += attempt.received_tokens
        task.cancel()
        self._cancelled_tasks.add(task)
        task.add_done_callback(self._cancelled_tasks.discard)

    async def _cancel_attempts(self) -> None:
        """Cancel all running attempts, and wait until their slots have been released."""
        for attempt in list(self._task_by_attempt):
            self._cancel_attempt(attempt)
        if self._cancelled_tasks:
            await asyncio.gather(*self._cancelled_tasks, return_exceptions=True)

    # --- output ---------------------------------------------------------------------------------

    def _emit(self, attempt: Attempt, chunk: GenerateChunk) -> None:
        """Pass a chunk to the caller's callback, without the tokens that it has received already.

        Raises:
            IncompleteAnswer: a token differs from the one that the caller received at its position.
        """
        if self._on_chunk is None:
            return
        repeated = self._emitted_tokens - chunk.start
        if (
            repeated > 0
            and tuple(self._resume_tokens[chunk.start : self._emitted_tokens]) != chunk.tokens[:repeated]
        ):
            raise IncompleteAnswer("a repeated token differs from the one that the caller received")
        self._emitted_tokens = max(self._emitted_tokens, chunk.start + len(chunk.tokens))
        new_chunk = msgspec.structs.replace(
            chunk,
            request_id=self.request.request_id,
            start=chunk.start + max(repeated, 0),
            tokens=chunk.tokens[max(repeated, 0) :],
        )
        try:
            self._on_chunk(new_chunk)
        except Exception as error:  # noqa: BLE001  the caller's callback; run() raises its error
            self._on_chunk = None
            self._events.put_nowait(_CallbackFailed(error))

    def _make_result(self, attempt: Attempt) -> GenerateResult:
        context = self._context
        result = attempt.assembler.make_result(attempt.replica.replica_id, self._execution.attempt_count)
        context.slots.scheduler.output_lengths.record_length(
            self.request.caller, self.request.priority_class, len(result.tokens)
        )
        context.retry_budget.record_success()
        context.counters.generated_tokens += len(result.tokens)
        return msgspec.structs.replace(result, request_id=self.request.request_id)

    # --- estimates ----------------------------------------------------------------------------------

    def _expected_tokens(self) -> int:
        request = self.request
        lengths = self._context.slots.scheduler.output_lengths
        return lengths.expected_tokens(request.caller, request.priority_class, request.max_tokens)

    def _make_work_item(self) -> WorkItem:
        request = self.request
        received_tokens = len(self._resume_tokens)
        prompt_tokens = len(request.prompt) + received_tokens
        expected_tokens = max(
            1, remaining_tokens(self._expected_tokens(), received_tokens, request.max_tokens)
        )
        return WorkItem(
            key=self._context.next_key(),
            caller=request.caller,
            pool=request.pool,
            priority_class=request.priority_class,
            interactive=self._priority_class.interactive,
            prompt_tokens=prompt_tokens,
            expected_tokens=expected_tokens,
            cost=prompt_tokens * self._context.policy.prefill_weight + expected_tokens,
            enqueued_s=monotonic_s(),
            deadline_s=request.deadline_s,
            model=request.model,
            minimum_version=request.minimum_version,
            prompt_block_hashes=self._prompt_block_hashes,
            replicas_to_avoid=frozenset(self._replicas_to_avoid),
        )

    def _hash_prompt_blocks(self) -> list[int]:
        if not self._context.policy.prefix_affinity:
            return []
        return block_hashes(self.request.prompt, BLOCK_TOKENS)
