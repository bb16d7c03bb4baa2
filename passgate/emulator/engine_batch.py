"""Continuous batching of an emulated engine: admission, steps, KV blocks and preemption.

Waiting sequences enter the batch in order of priority, then arrival, while there are
KV blocks for their context besides a reserve (the watermark) that lets running
sequences grow.  If the first one does not fit or the batch is full, running sequences
of lower priority are preempted: they keep their output, lose their KV entries and are
prefilled again.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable, Iterable

from passgate.emulator.engine_events import ChunkProduced, EndReason, EngineCounters, EngineEvent, StreamEnded
from passgate.emulator.engine_reports import CacheEventLog
from passgate.emulator.engine_sequence import Sequence, StepRun
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.kv_cache import BlockKey, KvCache
from passgate.emulator.parameters import EngineParameters
from passgate.emulator.run_recorder import RunRecorder
from passgate.schema import CacheEventKind, GenerateRequest


def _scheduling_key(sequence: Sequence) -> tuple[int, int]:
    return sequence.scheduling_key


class EngineBatch:
    """Waiting and running sequences of one engine, and the KV blocks of the running ones.

    Running sequences change only between step runs: an arrival or a cancellation
    shortens the step run in progress to the end of its current step.
    """

    def __init__(
        self,
        replica_id: str,
        parameters: EngineParameters,
        weights: EngineWeights,
        cache_events: CacheEventLog,
        counters: EngineCounters,
        emit: Callable[[EngineEvent], None],
        run_recorder: RunRecorder,
    ) -> None:
        self._replica_id = replica_id
        self._parameters = parameters
        self._weights = weights
        self._cache_events = cache_events
        self._counters = counters
        self._emit = emit
        self._run_recorder = run_recorder
        self.cache = KvCache(parameters.kv_blocks)
        self.waiting: list[Sequence] = []
        """Ordered by scheduling key, as is ``running``."""
        self.running: list[Sequence] = []
        self.step_run: StepRun | None = None
        """Steps in progress."""
        self.slow_factor = 1.0
        self._sequence_by_request_id: dict[str, Sequence] = {}

    # --- requests -----------------------------------------------------------------

    def get(self, request_id: str) -> Sequence | None:
        """Return the sequence of a request; None unless it is waiting or running and not cancelled."""
        return self._sequence_by_request_id.get(request_id)

    def fits_in_memory(self, request: GenerateRequest) -> bool:
        """Return whether the KV cache, less the watermark, can hold the request's longest context."""
        tokens = len(request.prompt) + max(request.max_tokens, len(request.resume_tokens))
        return self._blocks_for(tokens + 1) <= self._parameters.kv_blocks - self._watermark_blocks()

    def enqueue(self, sequence: Sequence, now_s: float) -> None:
        """Queue a sequence and end the step run in progress at the next step boundary."""
        self._sequence_by_request_id[sequence.request.request_id] = sequence
        insort(self.waiting, sequence, key=_scheduling_key)
        self.truncate_step_run(now_s)

    def cancel(self, request_id: str, reason: EndReason, now_s: float) -> None:
        """End a request's stream; a running sequence leaves the batch at the next step boundary.

        Unknown identifiers are ignored.
        """
        sequence = self._sequence_by_request_id.pop(request_id, None)
        if sequence is None:
            return
        self._counters.cancelled += 1
        self._emit(StreamEnded(request_id, reason))
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        elif self.step_run is None:
            self._remove_from_batch(sequence)
        else:
            sequence.cancelled = True
            self.truncate_step_run(now_s)

    def fail(self, sequences: Iterable[Sequence], reason: EndReason) -> None:
        """Remove sequences and end their streams without a finish reason; no step run may be in progress."""
        for sequence in list(sequences):
            self._counters.failed += 1
            del self._sequence_by_request_id[sequence.request.request_id]
            self._emit(StreamEnded(sequence.request.request_id, reason))
            if sequence in self.waiting:
                self.waiting.remove(sequence)
            else:
                self._remove_from_batch(sequence)

    def crash(self, now_s: float) -> None:
        """Drop the step run in progress, fail all sequences and clear the cache."""
        self.abandon_step_run(now_s)
        for sequence in [running for running in self.running if running.cancelled]:
            self._remove_from_batch(sequence)
        self.fail([*self.running, *self.waiting], EndReason.CRASHED)
        self.cache.clear()

    def sequences_of(self, model: str) -> list[Sequence]:
        """Return the waiting and running sequences of one model."""
        return [sequence for sequence in (*self.running, *self.waiting) if sequence.request.model == model]

    # --- steps -------------------------------------------------------------------------

    def begin_step_run(self, now_s: float) -> None:
        """Admit the waiting sequences that fit, and start a step run if any sequence is running."""
        self._admit(now_s)
        if self.running:
            self.step_run = self._plan_step_run(now_s)

    def truncate_step_run(self, now_s: float) -> None:
        """Shorten the step run in progress, if any, to the next step boundary."""
        if self.step_run is not None:
            self.step_run.truncate(now_s)

    def abandon_step_run(self, now_s: float) -> None:
        """Drop the step run in progress, if any, without its output."""
        if self.step_run is not None:
            self._counters.total_busy_s += max(0.0, now_s - self.step_run.start_s)
            self.step_run = None

    def finish_step_run(self) -> None:
        """Apply the results of the step run in progress and stream its output."""
        step_run = self.step_run
        assert step_run is not None
        self.step_run = None
        end_s = step_run.end_s
        self._counters.total_busy_s += end_s - step_run.start_s
        for sequence, tokens in step_run.prefilling:
            self._finish_prefill(sequence, tokens, end_s)
        for sequence in step_run.decoding:
            self._finish_decode(sequence, step_run.step_count)

    def preempt(self, sequence: Sequence) -> None:
        """Move a running sequence back to the queue and release its KV blocks."""
        self._counters.preempted += 1
        self._remove_from_batch(sequence)
        insort(self.waiting, sequence, key=_scheduling_key)

    def _finish_prefill(self, sequence: Sequence, tokens: int, now_s: float) -> None:
        sequence.computed_tokens += tokens
        self._counters.prefilled_tokens += tokens
        if sequence.cancelled:
            self._remove_from_batch(sequence)
        elif not sequence.is_prefilling:
            self._cache_prefix(sequence, now_s)
            self._decode(sequence, 1)

    def _finish_decode(self, sequence: Sequence, step_count: int) -> None:
        if sequence.cancelled:
            self._remove_from_batch(sequence)
        else:
            self._decode(sequence, step_count)

    def _decode(self, sequence: Sequence, token_count: int) -> None:
        version = self._weights.active[sequence.request.model]
        assert version is not None
        self._counters.decoded_tokens += sequence.decode(token_count, version)
        if sequence.remaining_tokens == 0:
            self._counters.finished += 1
            del self._sequence_by_request_id[sequence.request.request_id]
            self._stream_chunk(sequence, version)
            self._remove_from_batch(sequence)
        elif sequence.sent_chunks == 0 or sequence.unsent_tokens >= self._parameters.stream_interval_tokens:
            self._stream_chunk(sequence, version)

    def _stream_chunk(self, sequence: Sequence, version: int) -> None:
        self._emit(ChunkProduced(sequence.take_chunk(version)))

    def stream_unsent_tokens(self, model: str) -> None:
        """Stream the unsent tokens of a model's sequences.

        The caller does so before it changes the version, as a chunk names only one.
        """
        version = self._weights.active[model]
        for sequence in self.sequences_of(model):
            if sequence.unsent_tokens and version is not None:
                self._stream_chunk(sequence, version)

    def _plan_step_run(self, now_s: float) -> StepRun:
        prefilling, decoding = self._split_by_phase()
        step_count = self._plan_step_count(prefilling, decoding)
        if not self._reserve_growth(decoding, step_count, now_s):
            step_count = 1
            while not self._reserve_growth(decoding, step_count, now_s):
                self.preempt(self.running[-1])
                prefilling, decoding = self._split_by_phase()
        return self._new_step_run(now_s, step_count, prefilling, decoding)

    def _split_by_phase(self) -> tuple[list[tuple[Sequence, int]], list[Sequence]]:
        """Return sequences to prefill with their tokens of the next step, and sequences to decode."""
        prefilling: list[tuple[Sequence, int]] = []
        decoding: list[Sequence] = []
        prefill_budget_tokens = self._parameters.prefill_chunk_tokens
        for sequence in self.running:
            if not sequence.is_prefilling:
                decoding.append(sequence)
            elif prefill_budget_tokens > 0:
                tokens = min(prefill_budget_tokens, sequence.context_tokens - sequence.computed_tokens)
                prefill_budget_tokens -= tokens
                prefilling.append((sequence, tokens))
        return prefilling, decoding

    def _plan_step_count(self, prefilling: list[tuple[Sequence, int]], decoding: list[Sequence]) -> int:
        if prefilling:
            return 1
        fewest_remaining_tokens = min(sequence.remaining_tokens for sequence in decoding)
        return min(fewest_remaining_tokens, self._parameters.stream_interval_tokens)

    def _new_step_run(
        self, now_s: float, step_count: int, prefilling: list[tuple[Sequence, int]], decoding: list[Sequence]
    ) -> StepRun:
        parameters = self._parameters
        models = {sequence.request.model for sequence in decoding}
        models.update(sequence.request.model for sequence, _ in prefilling)
        kv_tokens = sum(sequence.context_tokens for sequence in decoding)
        prefill_tokens = sum(tokens for _, tokens in prefilling)
        first_step_s = (
            parameters.step_base_s * len(models)
            + parameters.step_per_sequence_s * len(decoding)
            + parameters.step_per_kv_token_s * kv_tokens
            + parameters.step_per_prefill_token_s * prefill_tokens
        )
        growth_per_step_s = parameters.step_per_kv_token_s * len(decoding)
        return StepRun(
            now_s,
            step_count,
            first_step_s * self.slow_factor,
            growth_per_step_s * self.slow_factor,
            decoding,
            prefilling,
        )

    # --- memory ---------------------------------------------------------------------------

    def _admit(self, now_s: float) -> None:
        while self.waiting:
            sequence = self.waiting[0]
            if len(self.running) < self._parameters.max_running and self._allocate_context(sequence, now_s):
                del self.waiting[0]
                self._start_running(sequence, now_s)
            elif self.running and self.running[-1].priority > sequence.priority:
                self.preempt(self.running[-1])
            else:
                return

    def _start_running(self, sequence: Sequence, now_s: float) -> None:
        insort(self.running, sequence, key=_scheduling_key)
        self._counters.started += 1
        if sequence.started_s is None:
            sequence.started_s = now_s
            request = sequence.request
            self._run_recorder.record_run(request.request_id, self._replica_id, now_s, request)

    def _allocate_context(self, sequence: Sequence, now_s: float) -> bool:
        """Allocate blocks for a sequence's context and next token; change nothing if they do not fit."""
        version = self._weights.active[sequence.request.model]
        assert version is not None
        keys = sequence.block_keys(version)
        cached_keys = keys[: self.cache.cached_prefix_length(keys)]
        needed_blocks = self._blocks_for(sequence.context_tokens + 1) - len(cached_keys)
        reserved_blocks = self._watermark_blocks() if self.running else 0
        # Idle blocks that the sequence is about to reference can not be evicted for it.
        if needed_blocks + reserved_blocks > self.cache.available_blocks - self.cache.count_idle(cached_keys):
            return False
        self.cache.add_references(cached_keys)
        self._take_private_blocks(needed_blocks, now_s)
        sequence.held_keys = cached_keys
        sequence.cache_version = version
        sequence.private_blocks = needed_blocks
        # At least one token is computed again: its result is the first new token.
        sequence.computed_tokens = min(
            len(cached_keys) * self._parameters.block_tokens, sequence.context_tokens - 1
        )
        self._counters.cache_hit_tokens += sequence.computed_tokens
        return True

    def _reserve_growth(self, decoding: list[Sequence], step_count: int, now_s: float) -> bool:
        """Allocate blocks for the tokens of the next steps; change nothing if they do not fit."""
        needed_blocks = [
            max(0, self._blocks_for(sequence.context_tokens + step_count) - sequence.held_blocks)
            for sequence in decoding
        ]
        total_blocks = sum(needed_blocks)
        if total_blocks > self.cache.available_blocks:
            return False
        if total_blocks:
            self._take_private_blocks(total_blocks, now_s)
            for sequence, blocks in zip(decoding, needed_blocks, strict=True):
                sequence.private_blocks += blocks
        return True

    def _take_private_blocks(self, blocks: int, now_s: float) -> None:
        is_taken = self.cache.take_private(blocks)
        assert is_taken
        for key in self.cache.pop_evicted():
            self._cache_events.append(CacheEventKind.EVICTED, key.block_hash, now_s)

    def _cache_prefix(self, sequence: Sequence, now_s: float) -> None:
        version = self._weights.active[sequence.request.model]
        if version != sequence.cache_version:  # the prefix mixes KV entries of two versions
            return
        keys = sequence.block_keys(sequence.cache_version)
        computed_keys = keys[len(sequence.held_keys) :]
        sequence.private_blocks -= len(computed_keys)
        sequence.held_keys = keys
        self.publish_stored(self.cache.store_private(computed_keys), now_s)

    def publish_stored(self, keys: Iterable[BlockKey], now_s: float) -> None:
        """Append a cache event for each newly cached block."""
        for key in keys:
            self._cache_events.append(CacheEventKind.STORED, key.block_hash, now_s)

    def invalidate_cache(self, model: str, now_s: float) -> None:
        """Invalidate the cached blocks of a model whose weights change, and append cache events.

        An engine with one model reports CLEARED once; other engines report each block as EVICTED.
        """
        keys = self.cache.keys_of_model(model)
        self.cache.invalidate(keys)
        if len(self._weights.active) == 1:
            self._cache_events.append(CacheEventKind.CLEARED, 0, now_s)
            return
        for key in keys:
            self._cache_events.append(CacheEventKind.EVICTED, key.block_hash, now_s)

    def _remove_from_batch(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.cache.release(sequence.held_keys, sequence.private_blocks)
        sequence.held_keys = []
        sequence.private_blocks = 0
        sequence.computed_tokens = 0

    def _blocks_for(self, tokens: int) -> int:
        return -(-tokens // self._parameters.block_tokens)

    def _watermark_blocks(self) -> int:
        return int(self._parameters.kv_blocks * self._parameters.kv_watermark)
