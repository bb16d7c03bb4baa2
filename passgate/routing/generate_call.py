"""One request for generated tokens: queue, attempts, resume, hedges, one answer.

Invariants: pieces handed to ``on_chunk`` are contiguous and belong to the final
answer; a not-repeatable request has at most one attempt that may have reached a
replica; when the call ends, no attempt of it is left running.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import ExecutionStatus, IncompleteAnswer, PassgateError
from passgate.routing.attempt import Attempt
from passgate.routing.attempt_failure import Verdict, judge_failure
from passgate.routing.context import RoutingContext
from passgate.routing.execution import ExecutionLedger
from passgate.routing.hedging import AttemptProgress, HedgeOrder, HedgeReason
from passgate.routing.output_length import remaining_tokens
from passgate.routing.prefix import BLOCK_TOKENS, block_hashes
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.resume import attempt_request_id, resumed_request
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
    """One request with its attempts."""

    def __init__(
        self,
        context: RoutingContext,
        request: GenerateRequest,
        on_chunk: ChunkCallback | None,
        ledger: ExecutionLedger,
    ) -> None:
        self.key = context.next_key()
        self.request = request
        self._context = context
        self._on_chunk = on_chunk
        self._ledger = ledger
        self._class = context.priority_class(request.priority_class)
        self._events: asyncio.Queue[_Event] = asyncio.Queue()
        self._running: dict[Attempt, asyncio.Task[None]] = {}
        self._stopping: set[asyncio.Task[None]] = set()
        self._hedges: set[Attempt] = set()
        self._avoid: set[str] = set()
        self._prefix = self._prefix_hashes()
        self._tokens: list[int] = list(request.resume_tokens)
        self._spans: list[VersionSpan] = list(request.resume_spans)
        self._emitted = len(self._tokens)

    async def run(self) -> GenerateResult:
        """Return the whole answer.

        Raises:
            PassgateError: of the last attempt; the ledger knows what may have run.
        """
        try:
            await self._launch()
            while True:
                event = await self._events.get()
                if isinstance(event, HedgeOrder):
                    await self._hedge(event)
                elif isinstance(event, _CallbackFailed):
                    raise event.error
                elif event.error is None:
                    return self._finish(event.attempt)
                else:
                    await self._recover(event.attempt, event.error)
        finally:
            await self._stop_attempts()

    # --- hedging, called by the dispatcher's scan ------------------------------------------

    def progress(self) -> AttemptProgress | None:
        """Return the only running attempt when it may be hedged."""
        if len(self._running) != 1 or not self.request.repeatable:
            return None
        if self._ledger.attempts >= self._context.policy.max_attempts:
            return None
        (attempt,) = self._running
        tracker = self._context.gate.scheduler.tracker
        replica_id = attempt.replica.replica_id
        tokens = len(attempt.assembler.tokens)
        return AttemptProgress(
            key=self.key,
            replica_id=replica_id,
            last_piece_s=attempt.last_piece_s,
            received=tokens,
            left=remaining_tokens(self._expected_tokens(), tokens, self.request.max_tokens),
            token_s=tracker.token_s(replica_id),
            prompt_tokens=len(self.request.prompt),
            interactive=self._class.interactive,
            started=attempt.first_piece_s is not None,
            replica_waiting=tracker.load(replica_id).reported_waiting > 0,
        )

    @property
    def is_hedged(self) -> bool:
        """Whether two attempts are running."""
        return len(self._running) > 1

    def order_hedge(self, order: HedgeOrder) -> None:
        """Ask for the running attempt to be re-issued."""
        self._events.put_nowait(order)

    # --- attempts ----------------------------------------------------------------------------

    async def _launch(self) -> None:
        item = self._item()
        replica = await self._context.gate.acquire(item, self._class, again=self._ledger.attempts > 0)
        self._start(item, replica)

    def _start(self, item: WorkItem, replica: ReplicaInfo) -> Attempt:
        if self._ledger.status is ExecutionStatus.NOT_RUN:
            request_id = self.request.request_id
        else:
            request_id = attempt_request_id(self.request.request_id, self._ledger.attempts + 1)
        request = resumed_request(self.request, request_id, self._tokens, self._spans)
        attempt = Attempt(replica, request, self._ledger)
        counters = self._context.counters
        counters.attempts += 1
        counters.resumed_tokens += len(request.resume_tokens) - len(self.request.resume_tokens)
        self._running[attempt] = asyncio.create_task(self._run_attempt(attempt, item))
        return attempt

    async def _run_attempt(self, attempt: Attempt, item: WorkItem) -> None:
        scheduler = self._context.gate.scheduler
        replica_id = attempt.replica.replica_id

        def on_piece(_: Attempt, chunk: GenerateChunk) -> None:
            if attempt.received == len(chunk.tokens):
                scheduler.health.record_success(replica_id)
            scheduler.progress(item, replica_id, chunk, monotonic_s())
            self._emit(attempt, chunk)
            self._stop_overtaken(attempt)

        error: PassgateError | None = None
        try:
            await attempt.run(self._context.engine, on_piece)
        except PassgateError as failure:
            error = failure
        finally:
            self._running.pop(attempt, None)
            self._context.gate.release(item, replica_id, attempt.received)
        self._events.put_nowait(_AttemptEnded(attempt, error))

    def _stop_overtaken(self, hedge: Attempt) -> None:
        """Cancel the attempt that a hedge has overtaken; it would only waste its replica's time."""
        if hedge not in self._hedges:
            return
        for attempt in list(self._running):
            if len(attempt.assembler.tokens) < len(hedge.assembler.tokens):
                self._context.counters.hedges_won += 1
                self._stop(attempt)

    async def _recover(self, attempt: Attempt, error: PassgateError) -> None:
        """Start the next attempt, unless another one runs; raises ``error`` when none may follow."""
        context = self._context
        context.counters.attempt_failures += 1
        replica_id = attempt.replica.replica_id
        self._avoid.add(replica_id)
        scheduler = context.gate.scheduler
        verdict = judge_failure(error, replica_id, self.request.model, scheduler, monotonic_s())
        if verdict is Verdict.RETRY:
            self._keep_progress(attempt)
        if self._running:
            return
        if verdict is Verdict.FINAL or not self._may_retry():
            raise error
        context.counters.retries += 1
        await self._launch()

    def _may_retry(self) -> bool:
        context = self._context
        if self._ledger.attempts >= context.policy.max_attempts:
            return False
        if not self.request.repeatable and self._ledger.status is not ExecutionStatus.NOT_RUN:
            return False
        if len(self._tokens) < self._emitted:
            return False
        if not context.retry_budget.take():
            context.counters.retries_denied += 1
            return False
        return True

    def _keep_progress(self, attempt: Attempt) -> None:
        """Remember the longest output received, to resume from it."""
        assembler = attempt.assembler
        if self._context.policy.resume and len(assembler.tokens) > len(self._tokens):
            self._tokens = assembler.tokens
            self._spans = assembler.spans

    async def _hedge(self, order: HedgeOrder) -> None:
        if len(self._running) != 1:
            return
        (attempt,) = self._running
        scheduler = self._context.gate.scheduler
        current = attempt.replica.replica_id
        if order.reason is HedgeReason.STALLED:
            scheduler.health.record_failure(current, monotonic_s())
        self._keep_progress(attempt)
        item = self._item()
        replica = scheduler.place_directly(item, frozenset({current}), monotonic_s())
        if replica is None:
            return
        if self._on_chunk is not None:
            await self._stop_attempts()
            self._keep_progress(attempt)
            self._context.counters.hedges_won += 1
        self._tokens = list(self._tokens)
        self._spans = list(self._spans)
        self._count_hedge(order)
        self._hedges = {self._start(item, replica)}

    def _count_hedge(self, order: HedgeOrder) -> None:
        if order.reason is HedgeReason.STALLED:
            self._context.counters.hedges_stalled += 1
        else:
            self._context.counters.hedges_slow += 1

    def _stop(self, attempt: Attempt) -> None:
        """Cancel an attempt; from now on it counts as ended and brings no event."""
        task = self._running.pop(attempt)
        self._context.counters.wasted_tokens += attempt.received
        task.cancel()
        self._stopping.add(task)
        task.add_done_callback(self._stopping.discard)

    async def _stop_attempts(self) -> None:
        """Cancel what is running; its places are free when this returns."""
        for attempt in list(self._running):
            self._stop(attempt)
        if self._stopping:
            await asyncio.gather(*self._stopping, return_exceptions=True)

    # --- output ---------------------------------------------------------------------------------

    def _emit(self, attempt: Attempt, chunk: GenerateChunk) -> None:
        """Hand a piece on, without what was handed on before."""
        if self._on_chunk is None:
            return
        known = self._emitted - chunk.start
        if known > 0 and tuple(self._tokens[chunk.start : self._emitted]) != chunk.tokens[:known]:
            raise IncompleteAnswer("a repeated token differs from the one handed on before")
        self._emitted = max(self._emitted, chunk.start + len(chunk.tokens))
        kept = msgspec.structs.replace(
            chunk,
            request_id=self.request.request_id,
            start=chunk.start + max(known, 0),
            tokens=chunk.tokens[max(known, 0) :],
        )
        try:
            self._on_chunk(kept)
        except Exception as error:  # noqa: BLE001  the caller's own callback; its failure ends the call
            self._on_chunk = None
            self._events.put_nowait(_CallbackFailed(error))

    def _finish(self, attempt: Attempt) -> GenerateResult:
        context = self._context
        result = attempt.assembler.result(attempt.replica.replica_id, self._ledger.attempts)
        context.gate.scheduler.lengths.observe(
            self.request.caller, self.request.priority_class, len(result.tokens)
        )
        context.retry_budget.deposit()
        context.counters.generated_tokens += len(result.tokens)
        return msgspec.structs.replace(result, request_id=self.request.request_id)

    # --- estimates ----------------------------------------------------------------------------------

    def _expected_tokens(self) -> int:
        request = self.request
        lengths = self._context.gate.scheduler.lengths
        return lengths.expected(request.caller, request.priority_class, request.max_tokens)

    def _item(self) -> WorkItem:
        request = self.request
        received = len(self._tokens)
        prompt_tokens = len(request.prompt) + received
        expected = max(1, remaining_tokens(self._expected_tokens(), received, request.max_tokens))
        return WorkItem(
            key=self._context.next_key(),
            caller=request.caller,
            pool=request.pool,
            priority_class=request.priority_class,
            interactive=self._class.interactive,
            prompt_tokens=prompt_tokens,
            expected_tokens=expected,
            cost=prompt_tokens * self._context.policy.prefill_weight + expected,
            enqueued_s=monotonic_s(),
            deadline_s=request.deadline_s,
            model=request.model,
            minimum_version=request.minimum_version,
            prefix=self._prefix,
            avoid=frozenset(self._avoid),
        )

    def _prefix_hashes(self) -> list[int]:
        if not self._context.policy.prefix_affinity:
            return []
        return block_hashes(self.request.prompt, BLOCK_TOKENS)
