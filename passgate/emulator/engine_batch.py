"""Batch of an emulated engine: admission, steps, KV memory and preemption.

Used by ``engine_model``, which adds time, weights, orders and faults.  Sequences
are admitted in order of priority and arrival while their context fits above the
watermark; a more urgent one preempts the least urgent.  Preempted sequences
keep their output and are prefilled again.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable, Iterable

from passgate.emulator.engine_events import ChunkProduced, EndReason, EngineCounters, EngineEvent, StreamEnded
from passgate.emulator.engine_reports import CacheEventLog
from passgate.emulator.engine_sequence import Sequence, Step
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.kv_cache import BlockKey, KvCache
from passgate.emulator.ledger import RunLedger
from passgate.emulator.parameters import EngineParameters
from passgate.schema import CacheEventKind, GenerateRequest


def _order(sequence: Sequence) -> tuple[int, int]:
    return sequence.order


class EngineBatch:
    """Waiting and running sequences of one engine and their KV memory."""

    def __init__(
        self,
        replica_id: str,
        parameters: EngineParameters,
        weights: EngineWeights,
        cache_events: CacheEventLog,
        counters: EngineCounters,
        emit: Callable[[EngineEvent], None],
        ledger: RunLedger,
    ) -> None:
        self._replica_id = replica_id
        self._parameters = parameters
        self._weights = weights
        self._cache_events = cache_events
        self._counters = counters
        self._emit = emit
        self._ledger = ledger
        self.cache = KvCache(parameters.kv_blocks)
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.step: Step | None = None
        self.slow_factor = 1.0
        self._by_id: dict[str, Sequence] = {}

    # --- requests -----------------------------------------------------------------

    def get(self, request_id: str) -> Sequence | None:
        """Return the sequence of a request that is waiting or running."""
        return self._by_id.get(request_id)

    def fits(self, request: GenerateRequest) -> bool:
        """Return whether the request's longest context fits in memory at all."""
        tokens = len(request.prompt) + max(request.max_tokens, len(request.resume_tokens))
        return self._blocks(tokens + 1) <= self._parameters.kv_blocks - self._watermark_blocks()

    def add(self, sequence: Sequence, now_s: float) -> None:
        """Queue a sequence; it enters the batch at the next step boundary."""
        self._by_id[sequence.request.request_id] = sequence
        insort(self.waiting, sequence, key=_order)
        self.cut_step(now_s)

    def cancel(self, request_id: str, reason: EndReason, now_s: float) -> None:
        """Stop a sequence; a running one leaves the batch at the next step boundary."""
        sequence = self._by_id.pop(request_id, None)
        if sequence is None:
            return
        self._counters.cancelled += 1
        self._emit(StreamEnded(request_id, reason))
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        elif self.step is None:
            self._leave(sequence)
        else:
            sequence.cancelled = True
            self.cut_step(now_s)

    def fail(self, sequences: Iterable[Sequence], reason: EndReason) -> None:
        """End streams without a finish mark; no step may be in progress."""
        for sequence in list(sequences):
            self._counters.failed += 1
            del self._by_id[sequence.request.request_id]
            self._emit(StreamEnded(sequence.request.request_id, reason))
            if sequence in self.waiting:
                self.waiting.remove(sequence)
            else:
                self._leave(sequence)

    def crash(self, now_s: float) -> None:
        """Lose the step in progress, all sequences and the cache."""
        self.abandon_step(now_s)
        for sequence in [item for item in self.running if item.cancelled]:
            self._leave(sequence)
        self.fail([*self.running, *self.waiting], EndReason.CRASHED)
        self.cache.clear()

    def sequences_of(self, model: str) -> list[Sequence]:
        """Return the waiting and running sequences of one model."""
        return [item for item in (*self.running, *self.waiting) if item.request.model == model]

    # --- steps -------------------------------------------------------------------------

    def begin_step(self, now_s: float) -> None:
        """Admit what fits and start a step if there is anything to compute."""
        self._admit(now_s)
        if self.running:
            self.step = self._plan(now_s)

    def cut_step(self, now_s: float) -> None:
        """Let the step in progress end at the next single-step boundary."""
        if self.step is not None:
            self.step.truncate(now_s)

    def abandon_step(self, now_s: float) -> None:
        """Drop the step in progress without its output."""
        if self.step is not None:
            self._counters.busy_s += max(0.0, now_s - self.step.start_s)
            self.step = None

    def finish_step(self) -> None:
        """Deliver the output of the step in progress."""
        step = self.step
        assert step is not None
        self.step = None
        end_s = step.end_s
        self._counters.busy_s += end_s - step.start_s
        for sequence, tokens in step.prefilling:
            self._finish_prefill(sequence, tokens, end_s)
        for sequence in step.decoding:
            self._finish_decode(sequence, step.count)

    def preempt(self, sequence: Sequence) -> None:
        """Put a running sequence back in the queue; its KV entries are lost."""
        self._counters.preempted += 1
        self._leave(sequence)
        insort(self.waiting, sequence, key=_order)

    def _finish_prefill(self, sequence: Sequence, tokens: int, now_s: float) -> None:
        sequence.computed += tokens
        self._counters.prefilled_tokens += tokens
        if sequence.cancelled:
            self._leave(sequence)
        elif not sequence.prefilling:
            self._store_prefix(sequence, now_s)
            self._produce(sequence, 1)

    def _finish_decode(self, sequence: Sequence, count: int) -> None:
        if sequence.cancelled:
            self._leave(sequence)
        else:
            self._produce(sequence, count)

    def _produce(self, sequence: Sequence, count: int) -> None:
        version = self._weights.active[sequence.request.model]
        assert version is not None
        self._counters.decoded_tokens += sequence.produce(count, version)
        if sequence.remaining == 0:
            self._counters.finished += 1
            del self._by_id[sequence.request.request_id]
            self._send(sequence, version)
            self._leave(sequence)
        elif sequence.sent_pieces == 0 or sequence.unsent >= self._parameters.stream_interval_tokens:
            self._send(sequence, version)

    def _send(self, sequence: Sequence, version: int) -> None:
        self._emit(ChunkProduced(sequence.take_chunk(version)))

    def flush(self, model: str) -> None:
        """Stream all unsent tokens of a model, before its version changes."""
        version = self._weights.active[model]
        for sequence in self.sequences_of(model):
            if sequence.unsent and version is not None:
                self._send(sequence, version)

    def _plan(self, now_s: float) -> Step:
        prefilling, decoding = self._divide()
        count = self._step_count(prefilling, decoding)
        if not self._reserve(decoding, count, now_s):
            count = 1
            while not self._reserve(decoding, count, now_s):
                self.preempt(self.running[-1])
                prefilling, decoding = self._divide()
        return self._timed_step(now_s, count, prefilling, decoding)

    def _divide(self) -> tuple[list[tuple[Sequence, int]], list[Sequence]]:
        prefilling: list[tuple[Sequence, int]] = []
        decoding: list[Sequence] = []
        budget = self._parameters.prefill_chunk_tokens
        for sequence in self.running:
            if not sequence.prefilling:
                decoding.append(sequence)
            elif budget > 0:
                tokens = min(budget, sequence.context - sequence.computed)
                budget -= tokens
                prefilling.append((sequence, tokens))
        return prefilling, decoding

    def _step_count(self, prefilling: list[tuple[Sequence, int]], decoding: list[Sequence]) -> int:
        if prefilling:
            return 1
        shortest = min(sequence.remaining for sequence in decoding)
        return min(shortest, self._parameters.stream_interval_tokens)

    def _timed_step(
        self, now_s: float, count: int, prefilling: list[tuple[Sequence, int]], decoding: list[Sequence]
    ) -> Step:
        parameters = self._parameters
        models = {sequence.request.model for sequence in decoding}
        models.update(sequence.request.model for sequence, _ in prefilling)
        kv_tokens = sum(sequence.context for sequence in decoding)
        prefill_tokens = sum(tokens for _, tokens in prefilling)
        base_s = (
            parameters.step_base_s * len(models)
            + parameters.step_per_sequence_s * len(decoding)
            + parameters.step_per_kv_token_s * kv_tokens
            + parameters.step_per_prefill_token_s * prefill_tokens
        )
        growth_s = parameters.step_per_kv_token_s * len(decoding)
        return Step(
            now_s, count, base_s * self.slow_factor, growth_s * self.slow_factor, decoding, prefilling
        )

    # --- memory ---------------------------------------------------------------------------

    def _admit(self, now_s: float) -> None:
        while self.waiting:
            sequence = self.waiting[0]
            if len(self.running) < self._parameters.max_running and self._allocate(sequence, now_s):
                del self.waiting[0]
                self._enter(sequence, now_s)
            elif self.running and self.running[-1].priority > sequence.priority:
                self.preempt(self.running[-1])
            else:
                return

    def _enter(self, sequence: Sequence, now_s: float) -> None:
        insort(self.running, sequence, key=_order)
        self._counters.started += 1
        if sequence.started_s is None:
            sequence.started_s = now_s
            request = sequence.request
            self._ledger.record_run(request.request_id, self._replica_id, now_s, request)

    def _allocate(self, sequence: Sequence, now_s: float) -> bool:
        version = self._weights.active[sequence.request.model]
        assert version is not None
        keys = sequence.keys(version)
        hits = keys[: self.cache.match(keys)]
        needed = self._blocks(sequence.context + 1) - len(hits)
        spare = self._watermark_blocks() if self.running else 0
        if needed + spare > self.cache.available_blocks - self.cache.idle_among(hits):
            return False
        self.cache.reference(hits)
        self._take(needed, now_s)
        sequence.held_keys = hits
        sequence.cache_version = version
        sequence.private_blocks = needed
        sequence.computed = min(len(hits) * self._parameters.block_tokens, sequence.context - 1)
        self._counters.cache_hit_tokens += sequence.computed
        return True

    def _reserve(self, decoding: list[Sequence], count: int, now_s: float) -> bool:
        needs = [max(0, self._blocks(item.context + count) - item.blocks) for item in decoding]
        total = sum(needs)
        if total > self.cache.available_blocks:
            return False
        if total:
            self._take(total, now_s)
            for sequence, blocks in zip(decoding, needs, strict=True):
                sequence.private_blocks += blocks
        return True

    def _take(self, blocks: int, now_s: float) -> None:
        taken = self.cache.take(blocks)
        assert taken
        for key in self.cache.drain_evicted():
            self._cache_events.append(CacheEventKind.EVICTED, key.block_hash, now_s)

    def _store_prefix(self, sequence: Sequence, now_s: float) -> None:
        version = self._weights.active[sequence.request.model]
        if version != sequence.cache_version:
            return
        keys = sequence.keys(sequence.cache_version)
        fresh = keys[len(sequence.held_keys) :]
        sequence.private_blocks -= len(fresh)
        sequence.held_keys = keys
        self.note_stored(self.cache.store(fresh), now_s)

    def note_stored(self, keys: Iterable[BlockKey], now_s: float) -> None:
        """Publish that blocks are cached."""
        for key in keys:
            self._cache_events.append(CacheEventKind.STORED, key.block_hash, now_s)

    def invalidate(self, model: str, now_s: float) -> None:
        """Make the cached blocks of a model useless, as its weights have changed."""
        keys = self.cache.keys_of(model)
        self.cache.invalidate(keys)
        if len(self._weights.active) == 1:
            self._cache_events.append(CacheEventKind.CLEARED, 0, now_s)
            return
        for key in keys:
            self._cache_events.append(CacheEventKind.EVICTED, key.block_hash, now_s)

    def _leave(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.cache.release(sequence.held_keys, sequence.private_blocks)
        sequence.held_keys = []
        sequence.private_blocks = 0
        sequence.computed = 0

    def _blocks(self, tokens: int) -> int:
        return -(-tokens // self._parameters.block_tokens)

    def _watermark_blocks(self) -> int:
        return int(self._parameters.kv_blocks * self._parameters.kv_watermark)
