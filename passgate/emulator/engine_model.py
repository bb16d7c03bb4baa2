"""Plain model of a model engine: time in, events out, no I/O and no clock.

The engine batches continuously.  A step takes a fixed time per model in the
batch plus shares per sequence, per KV token and per prefilled token.  Several
decode steps of an unchanged batch are computed at once; an arrival cuts them at
the next single step, so the result is the same as step by step.

Every mutating method takes the present time, which never goes back, and first
processes what was due before.  The driver then collects the events:

>>> from passgate.emulator.parameters import EngineParameters, ModelParameters
>>> engine = EngineModel("e0", EngineParameters(), [ModelParameters(name="m")], Random(1), now_s=0.0)
>>> engine.submit(GenerateRequest(request_id="r", caller="c", pool="p", model="m",
...                               prompt=(1, 2, 3), max_tokens=4), now_s=0.0)
>>> pieces = []
>>> while (due_s := engine.next_event_s()) is not None:
...     pieces += engine.advance(due_s)
>>> sum(len(piece.chunk.tokens) for piece in pieces), pieces[-1].chunk.finish_reason.value
(4, 'length')
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence as SequenceOf
from random import Random

import msgspec

from passgate.emulator.engine_batch import EngineBatch
from passgate.emulator.engine_control import EngineControl
from passgate.emulator.engine_events import EndReason, EngineCounters, EngineEvent, KvExport, SwapFailure
from passgate.emulator.engine_reports import CacheEventLog, LoadReporter, LoadSnapshot
from passgate.emulator.engine_sequence import Sequence
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.kv_cache import BlockKey
from passgate.emulator.ledger import RunLedger
from passgate.emulator.parameters import EngineParameters, ModelParameters
from passgate.errors import BackendRefused
from passgate.routing.prefix import block_hashes
from passgate.schema import (
    CacheEvent,
    CacheEventKind,
    EngineOrder,
    GenerateRequest,
    LoadReport,
    OrderResult,
)

QUEUE_FULL_RETRY_S = 1.0
"""``retry_after_s`` of a refusal because the engine's queue is full."""


class _KvArrival(msgspec.Struct, order=True):
    due_s: float
    number: int
    export: KvExport


class EngineModel:
    """One engine replica."""

    def __init__(
        self,
        replica_id: str,
        parameters: EngineParameters,
        models: SequenceOf[ModelParameters],
        random: Random,
        now_s: float,
        ledger: RunLedger | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.parameters = parameters
        self.models = {model.name: model for model in models}
        self.up = True
        self.generation = 0
        self.counters = EngineCounters()
        self.weights = EngineWeights({model.name: model.boot_version for model in models})
        self._outbox: list[EngineEvent] = []
        self._cache_events = CacheEventLog(
            replica_id,
            parameters.cache_event_delay_s,
            parameters.cache_event_loss,
            parameters.cache_events_kept,
            random,
        )
        self.batch = EngineBatch(
            replica_id,
            parameters,
            self.weights,
            self._cache_events,
            self.counters,
            self._outbox.append,
            ledger if ledger is not None else RunLedger(),
        )
        self.control = EngineControl(parameters, self.weights, self.batch, self.counters, self._outbox.append)
        self._reporter = self._new_reporter(now_s)
        self._now_s = now_s
        self._arrivals = 0
        self._restart_s: float | None = None
        self._kv_arrivals: list[_KvArrival] = []
        self._reporter.catch_up(now_s, self._snapshot)

    # --- time ---------------------------------------------------------------------------

    def next_event_s(self) -> float | None:
        """Return when :meth:`advance` has something to do next; None when idle."""
        due = [self.control.next_event_s(), self._restart_s]
        due.append(self.batch.step.end_s if self.batch.step is not None else None)
        due.append(self._kv_arrivals[0].due_s if self._kv_arrivals else None)
        return min((at_s for at_s in due if at_s is not None), default=None)

    def advance(self, now_s: float) -> list[EngineEvent]:
        """Process everything due up to ``now_s`` and return the events since the last call."""
        self._catch_up(now_s)
        events = list(self._outbox)
        self._outbox.clear()
        return events

    def _catch_up(self, now_s: float) -> None:
        while (due_s := self.next_event_s()) is not None and due_s <= now_s:
            self._reporter.catch_up(due_s, self._snapshot)
            self._process(due_s)
        self._reporter.catch_up(now_s, self._snapshot)
        self._now_s = max(self._now_s, now_s)

    def _process(self, now_s: float) -> None:
        if self._restart_s is not None and self._restart_s <= now_s:
            self._finish_restart(now_s)
        self.control.process(now_s)
        while self._kv_arrivals and self._kv_arrivals[0].due_s <= now_s:
            self._finish_import(heapq.heappop(self._kv_arrivals).export, now_s)
        if self.batch.step is not None and self.batch.step.end_s <= now_s:
            self.batch.finish_step()
        self._begin_work(now_s)

    def _begin_work(self, now_s: float) -> None:
        if not self.up or self.batch.step is not None or self.control.holds_steps(now_s):
            return
        self.batch.begin_step(now_s)
        self.control.finish_drain()

    # --- requests --------------------------------------------------------------------------

    def submit(self, request: GenerateRequest, now_s: float) -> None:
        """Take a request; raises BackendRefused, and then the request never runs.

        A request identifier that is still waiting or running is replaced.
        """
        self._catch_up(now_s)
        self.counters.submitted += 1
        self._check(request)
        if self.batch.get(request.request_id) is not None:
            self.batch.cancel(request.request_id, EndReason.REPLACED, now_s)
        self._arrivals += 1
        sequence = Sequence(
            request,
            self.parameters.priorities.get(request.priority_class, self.parameters.default_priority),
            self._arrivals,
            now_s,
            self.models[request.model].lengths,
            self.parameters.block_tokens,
        )
        self.batch.add(sequence, now_s)
        self._begin_work(now_s)

    def cancel(self, request_id: str, now_s: float) -> None:
        """Stop working on a request; unknown identifiers are ignored."""
        self._catch_up(now_s)
        self.batch.cancel(request_id, EndReason.CANCELLED, now_s)
        self.control.finish_drain()

    def _check(self, request: GenerateRequest) -> None:
        if not self.up:
            self._refuse("down", "the engine is not running")
        if self.control.draining:
            self._refuse("draining", "the engine is draining")
        if self.weights.active.get(request.model) is None:
            self._refuse("model_not_loaded", f"model {request.model} is not loaded")
        if not self.batch.fits(request):
            self._refuse("too_long", "the request exceeds the KV cache")
        if len(self.batch.waiting) >= self.parameters.max_waiting:
            self._refuse("queue_full", "the engine's queue is full", QUEUE_FULL_RETRY_S)

    def _refuse(self, reason: str, message: str, retry_after_s: float | None = None) -> None:
        self.counters.refused += 1
        raise BackendRefused(message, retry_after_s=retry_after_s, reason=reason)

    # --- reports ------------------------------------------------------------------------------

    def load_report(self, now_s: float) -> LoadReport:
        """Return the newest report that is old enough to be readable."""
        self._catch_up(now_s)
        return self._reporter.read(now_s)

    def cache_events(self, after_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the cache events published after ``after_sequence``."""
        return self._cache_events.read(after_sequence, now_s)

    def _new_reporter(self, now_s: float) -> LoadReporter:
        parameters = self.parameters
        return LoadReporter(
            self.replica_id, parameters.report_interval_s, parameters.report_lag_s, start_s=now_s
        )

    def _snapshot(self) -> LoadSnapshot:
        batch = self.batch
        return LoadSnapshot(
            running=len(batch.running),
            waiting=len(batch.waiting),
            outstanding_tokens=sum(map(self._outstanding, (*batch.running, *batch.waiting))),
            kv_used_tokens=batch.cache.used_blocks * self.parameters.block_tokens,
            kv_capacity_tokens=batch.cache.capacity_blocks * self.parameters.block_tokens,
            decoded_tokens=self.counters.decoded_tokens,
            versions=self.weights.loaded(),
            leaving=self.control.draining,
        )

    def _outstanding(self, sequence: Sequence) -> int:
        expected = min(sequence.request.max_tokens, self.parameters.expected_output_tokens)
        decode = max(1, expected - len(sequence.output))
        return sequence.context - sequence.computed + decode

    # --- orders ----------------------------------------------------------------------------------

    def order(self, order: EngineOrder, now_s: float) -> OrderResult:
        """Carry out a control order, or begin to; raises OrderRefused."""
        self._catch_up(now_s)
        result = self.control.order(order, now_s)
        self._begin_work(now_s)
        return result

    def transferred(self, model: str, version: int, now_s: float, *, failed: bool = False) -> None:
        """Tell the engine that a wanted transfer has ended."""
        self._catch_up(now_s)
        self.control.transferred(model, version, failed)

    def arm_swap_failure(self, failure: SwapFailure, count: int = 1) -> None:
        """Let the next ``count`` fitting stages or activations fail."""
        for _ in range(count):
            self.control.arm_swap_failure(failure)

    # --- faults ------------------------------------------------------------------------------------

    def crash(self, now_s: float, restart_after_s: float | None = None) -> None:
        """Lose every sequence, the cache and the weights; restart after a while.

        A crash while down only moves the restart.
        """
        self._catch_up(now_s)
        restart_s = self.parameters.restart_s if restart_after_s is None else restart_after_s
        self._restart_s = now_s + restart_s
        if not self.up:
            return
        self.up = False
        self.batch.crash(now_s)
        self.control.restart()
        self.weights.restart()
        self._kv_arrivals.clear()

    def _finish_restart(self, now_s: float) -> None:
        self._restart_s = None
        self.up = True
        self.generation += 1
        self._cache_events.restart(self.generation)
        self._cache_events.append(CacheEventKind.CLEARED, 0, now_s)
        self._reporter = self._new_reporter(now_s)
        self._reporter.catch_up(now_s, self._snapshot)

    def set_slow_factor(self, factor: float, now_s: float) -> None:
        """Make later steps and pauses ``factor`` times as long as normal."""
        self._catch_up(now_s)
        self.batch.cut_step(now_s)
        self.batch.slow_factor = factor

    # --- KV transfer -----------------------------------------------------------------------------------

    def export_kv(self, request_id: str, now_s: float) -> KvExport | None:
        """Return a copy of a running sequence's KV cache; None when there is none."""
        self._catch_up(now_s)
        sequence = self.batch.get(request_id)
        if sequence is None or sequence.prefilling or sequence not in self.batch.running:
            return None
        block_tokens = self.parameters.block_tokens
        hashes = block_hashes((*sequence.request.prompt, *sequence.output), block_tokens)
        size_bytes = len(hashes) * block_tokens * self.parameters.kv_bytes_per_token
        return KvExport(
            request=msgspec.structs.replace(sequence.request, resume_tokens=tuple(sequence.output)),
            version=self.weights.active[sequence.request.model] or 0,
            block_hashes=tuple(hashes),
            size_bytes=size_bytes,
            transfer_s=size_bytes / self.parameters.transfer_bytes_per_s,
        )

    def import_kv(self, export: KvExport, now_s: float) -> None:
        """Take an exported cache in; its blocks are prefix hits once transferred.

        Raises BackendRefused when the model runs another version here.
        """
        self._catch_up(now_s)
        self._check_import(export)
        self._arrivals += 1
        arrival = _KvArrival(now_s + export.transfer_s, self._arrivals, export)
        heapq.heappush(self._kv_arrivals, arrival)

    def _check_import(self, export: KvExport) -> None:
        if not self.up or self.weights.active.get(export.request.model) != export.version:
            raise BackendRefused("the KV cache is of another version", reason="kv_version")

    def _finish_import(self, export: KvExport, now_s: float) -> None:
        model = export.request.model
        if self.weights.active.get(model) != export.version:
            return
        keys = [BlockKey(model, export.version, block_hash) for block_hash in export.block_hashes]
        self.batch.note_stored(self.batch.cache.insert_idle(keys), now_s)
