"""Model of an inference engine with continuous batching, without I/O or clock.

A step takes a fixed time per model in the batch plus times per sequence, KV token and
prefilled token.  Decode steps of an unchanged batch are computed together as one step
run; an arrival ends the run at the next step boundary, so the outcome is the same as
with single steps.

Methods take the current time ``now_s``, which must never go back.  All but
``cache_events`` first process what was due before it.  :meth:`EngineModel.advance`
returns the output:

>>> from passgate.emulator.parameters import EngineParameters, ModelParameters
>>> engine = EngineModel("e0", EngineParameters(), [ModelParameters(name="m")], Random(1), now_s=0.0)
>>> engine.submit(GenerateRequest(request_id="r", caller="c", pool="p", model="m",
...                               prompt=(1, 2, 3), max_tokens=4), now_s=0.0)
>>> events = []
>>> while (due_s := engine.next_event_s()) is not None:
...     events += engine.advance(due_s)
>>> sum(len(event.chunk.tokens) for event in events), events[-1].chunk.finish_reason.value
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
from passgate.emulator.parameters import EngineParameters, ModelParameters
from passgate.emulator.run_recorder import RunRecorder
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
"""``retry_after_s`` of a refusal for a full queue."""


class _IncomingKvCache(msgspec.Struct, order=True):
    due_s: float
    arrival_number: int
    export: KvExport


class EngineModel:
    """One engine replica: its batch, weights, control orders, reports and crashes."""

    def __init__(
        self,
        replica_id: str,
        parameters: EngineParameters,
        models: SequenceOf[ModelParameters],
        random: Random,
        now_s: float,
        run_recorder: RunRecorder | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.parameters = parameters
        self.models = {model.name: model for model in models}
        self.up = True
        self.generation = 0
        """Number of restarts."""
        self.counters = EngineCounters()
        self.weights = EngineWeights({model.name: model.boot_version for model in models})
        self._undelivered_events: list[EngineEvent] = []
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
            self._undelivered_events.append,
            run_recorder if run_recorder is not None else RunRecorder(),
        )
        self.control = EngineControl(
            parameters, self.weights, self.batch, self.counters, self._undelivered_events.append
        )
        self._reporter = self._new_reporter(now_s)
        self._now_s = now_s
        self._last_arrival_number = 0
        self._restart_at_s: float | None = None
        self._incoming_kv_caches: list[_IncomingKvCache] = []
        self._reporter.take_due_snapshots(now_s, self._load_snapshot)

    # --- time ---------------------------------------------------------------------------

    def next_event_s(self) -> float | None:
        """Return the time at which :meth:`advance` has something to process next; None when idle."""
        due_times_s = [self.control.next_event_s(), self._restart_at_s]
        due_times_s.append(self.batch.step_run.end_s if self.batch.step_run is not None else None)
        due_times_s.append(self._incoming_kv_caches[0].due_s if self._incoming_kv_caches else None)
        return min((due_s for due_s in due_times_s if due_s is not None), default=None)

    def advance(self, now_s: float) -> list[EngineEvent]:
        """Process what is due up to ``now_s`` and return the events since the last call."""
        self._process_due_events(now_s)
        events = list(self._undelivered_events)
        self._undelivered_events.clear()
        return events

    def _process_due_events(self, now_s: float) -> None:
        while (due_s := self.next_event_s()) is not None and due_s <= now_s:
            self._reporter.take_due_snapshots(due_s, self._load_snapshot)
            self._process_at(due_s)
        self._reporter.take_due_snapshots(now_s, self._load_snapshot)
        self._now_s = max(self._now_s, now_s)

    def _process_at(self, now_s: float) -> None:
        if self._restart_at_s is not None and self._restart_at_s <= now_s:
            self._finish_restart(now_s)
        self.control.process(now_s)
        while self._incoming_kv_caches and self._incoming_kv_caches[0].due_s <= now_s:
            self._finish_import(heapq.heappop(self._incoming_kv_caches).export, now_s)
        if self.batch.step_run is not None and self.batch.step_run.end_s <= now_s:
            self.batch.finish_step_run()
        self._begin_step_run_if_idle(now_s)

    def _begin_step_run_if_idle(self, now_s: float) -> None:
        if not self.up or self.batch.step_run is not None or self.control.pause_for_swap(now_s):
            return
        self.batch.begin_step_run(now_s)
        self.control.finish_drain_if_idle()

    # --- requests --------------------------------------------------------------------------

    def submit(self, request: GenerateRequest, now_s: float) -> None:
        """Queue a request; one with the same identifier that is waiting or running is cancelled.

        Raises:
            BackendRefused: the engine is down, draining or full, the model is not loaded, or the request
                exceeds the KV cache; the request never runs.
        """
        self._process_due_events(now_s)
        self.counters.submitted += 1
        self._check_acceptance(request)
        if self.batch.get(request.request_id) is not None:
            self.batch.cancel(request.request_id, EndReason.REPLACED, now_s)
        self._last_arrival_number += 1
        sequence = Sequence(
            request,
            self.parameters.priorities.get(request.priority_class, self.parameters.default_priority),
            self._last_arrival_number,
            now_s,
            self.models[request.model].lengths,
            self.parameters.block_tokens,
        )
        self.batch.enqueue(sequence, now_s)
        self._begin_step_run_if_idle(now_s)

    def cancel(self, request_id: str, now_s: float) -> None:
        """Cancel a request; unknown identifiers are ignored."""
        self._process_due_events(now_s)
        self.batch.cancel(request_id, EndReason.CANCELLED, now_s)
        self.control.finish_drain_if_idle()

    def _check_acceptance(self, request: GenerateRequest) -> None:
        if not self.up:
            self._refuse("down", "the engine is not running")
        if self.control.draining:
            self._refuse("draining", "the engine is draining")
        if self.weights.active.get(request.model) is None:
            self._refuse("model_not_loaded", f"model {request.model} is not loaded")
        if not self.batch.fits_in_memory(request):
            self._refuse("too_long", "the request's longest context does not fit in the KV cache")
        if len(self.batch.waiting) >= self.parameters.max_waiting:
            self._refuse("queue_full", "the engine's queue is full", QUEUE_FULL_RETRY_S)

    def _refuse(self, reason: str, message: str, retry_after_s: float | None = None) -> None:
        self.counters.refused += 1
        raise BackendRefused(message, retry_after_s=retry_after_s, reason=reason)

    # --- reports ------------------------------------------------------------------------------

    def load_report(self, now_s: float) -> LoadReport:
        """Return the newest report that is at least ``report_lag_s`` old, or the oldest available one."""
        self._process_due_events(now_s)
        return self._reporter.read_report(now_s)

    def cache_events(self, after_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the published cache events whose sequence number is above ``after_sequence``."""
        return self._cache_events.read(after_sequence, now_s)

    def _new_reporter(self, now_s: float) -> LoadReporter:
        parameters = self.parameters
        return LoadReporter(
            self.replica_id, parameters.report_interval_s, parameters.report_lag_s, start_s=now_s
        )

    def _load_snapshot(self) -> LoadSnapshot:
        batch = self.batch
        return LoadSnapshot(
            running=len(batch.running),
            waiting=len(batch.waiting),
            outstanding_tokens=sum(map(self._outstanding_tokens, (*batch.running, *batch.waiting))),
            kv_used_tokens=batch.cache.used_blocks * self.parameters.block_tokens,
            kv_capacity_tokens=batch.cache.capacity_blocks * self.parameters.block_tokens,
            decoded_tokens=self.counters.decoded_tokens,
            versions=self.weights.loaded(),
            leaving=self.control.draining,
        )

    def _outstanding_tokens(self, sequence: Sequence) -> int:
        expected_tokens = min(sequence.request.max_tokens, self.parameters.expected_output_tokens)
        tokens_to_decode = max(1, expected_tokens - len(sequence.output))
        return sequence.context_tokens - sequence.computed_tokens + tokens_to_decode

    # --- orders ----------------------------------------------------------------------------------

    def order(self, order: EngineOrder, now_s: float) -> OrderResult:
        """Execute or start a control order; a repeated order returns its progress.

        Raises:
            OrderRefused: ``details["reason"]`` is a value of ``engine_orders.RefusalReason``.
        """
        self._process_due_events(now_s)
        result = self.control.order(order, now_s)
        self._begin_step_run_if_idle(now_s)
        return result

    def record_transfer_end(self, model: str, version: int, now_s: float, *, failed: bool = False) -> None:
        """Finish or fail the stage orders of a transfer that was requested with ``TransferRequested``."""
        self._process_due_events(now_s)
        self.control.record_transfer_end(model, version, failed)

    def arm_swap_failure(self, failure: SwapFailure, count: int = 1) -> None:
        """Make the next ``count`` stages or activations, whichever the failure applies to, fail."""
        for _ in range(count):
            self.control.arm_swap_failure(failure)

    # --- faults ------------------------------------------------------------------------------------

    def crash(self, now_s: float, restart_after_s: float | None = None) -> None:
        """Lose all sequences, the cache and the weights, and restart later with the boot versions.

        A crash while down only moves the restart.
        """
        self._process_due_events(now_s)
        delay_s = self.parameters.restart_s if restart_after_s is None else restart_after_s
        self._restart_at_s = now_s + delay_s
        if not self.up:
            return
        self.up = False
        self.batch.crash(now_s)
        self.control.reset()
        self.weights.reset()
        self._incoming_kv_caches.clear()

    def _finish_restart(self, now_s: float) -> None:
        self._restart_at_s = None
        self.up = True
        self.generation += 1
        self._cache_events.restart(self.generation)
        self._cache_events.append(CacheEventKind.CLEARED, 0, now_s)
        self._reporter = self._new_reporter(now_s)
        self._reporter.take_due_snapshots(now_s, self._load_snapshot)

    def set_slow_factor(self, factor: float, now_s: float) -> None:
        """Multiply the normal time of later steps and swap pauses by ``factor``."""
        self._process_due_events(now_s)
        self.batch.truncate_step_run(now_s)
        self.batch.slow_factor = factor

    # --- KV transfer -----------------------------------------------------------------------------------

    def export_kv(self, request_id: str, now_s: float) -> KvExport | None:
        """Return a copy of a running sequence's KV cache; None while it waits, prefills or is unknown."""
        self._process_due_events(now_s)
        sequence = self.batch.get(request_id)
        if sequence is None or sequence.is_prefilling or sequence not in self.batch.running:
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
        """Start to import a KV cache; after its transfer time, its blocks are in the prefix cache.

        Raises:
            BackendRefused: the engine is down or the model's active version is not that of the export.
        """
        self._process_due_events(now_s)
        self._check_import(export)
        self._last_arrival_number += 1
        incoming = _IncomingKvCache(now_s + export.transfer_s, self._last_arrival_number, export)
        heapq.heappush(self._incoming_kv_caches, incoming)

    def _check_import(self, export: KvExport) -> None:
        if not self.up or self.weights.active.get(export.request.model) != export.version:
            raise BackendRefused(
                "the engine is down or runs another version than the KV cache's", reason="kv_version"
            )

    def _finish_import(self, export: KvExport, now_s: float) -> None:
        model = export.request.model
        if self.weights.active.get(model) != export.version:  # changed during the transfer
            return
        keys = [BlockKey(model, export.version, block_hash) for block_hash in export.block_hashes]
        self.batch.publish_stored(self.batch.cache.insert_idle(keys), now_s)
