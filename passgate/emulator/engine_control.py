"""Control orders of an emulated engine: weight swaps, adapters, roles and draining.

The result of an order that takes time has ``done`` False.  Sending the same order
again returns whether it is done, or raises its failure.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable

import msgspec

from passgate.emulator.engine_batch import EngineBatch
from passgate.emulator.engine_events import EndReason, EngineCounters, EngineEvent, SwapFailure
from passgate.emulator.engine_orders import OrderHistory, RefusalReason, order_refusal
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.parameters import EngineParameters
from passgate.schema import EngineOrder, OrderKind, OrderResult


class _AdapterLoad(msgspec.Struct, order=True):
    due_s: float
    order_id: str
    adapter: str


class EngineControl:
    """Executes the control orders of one engine."""

    def __init__(
        self,
        parameters: EngineParameters,
        weights: EngineWeights,
        batch: EngineBatch,
        counters: EngineCounters,
        emit: Callable[[EngineEvent], None],
    ) -> None:
        self._parameters = parameters
        self._weights = weights
        self._batch = batch
        self._counters = counters
        self._emit = emit
        self._order_history = OrderHistory(parameters.fence_scope)
        self.draining = False
        self.role = ""
        self.adapters: set[str] = set()
        self._pending_activations: deque[EngineOrder] = deque()
        self._pause_end_s: float | None = None
        """End of the pause for the first pending activation; None while none has begun."""
        self._adapter_loads: list[_AdapterLoad] = []
        """Heap by due time."""
        self._open_drain_order_ids: list[str] = []
        self._armed_swap_failures: deque[SwapFailure] = deque()

    # --- time ------------------------------------------------------------------------

    def next_event_s(self) -> float | None:
        """Return the time of the next end of a pause or adapter load; None when there is none."""
        due_times_s = [self._pause_end_s, self._adapter_loads[0].due_s if self._adapter_loads else None]
        return min((due_s for due_s in due_times_s if due_s is not None), default=None)

    def process(self, now_s: float) -> None:
        """Finish the activation and the adapter loads that are due."""
        if self._pause_end_s is not None and self._pause_end_s <= now_s:
            self._finish_activation(now_s)
        while self._adapter_loads and self._adapter_loads[0].due_s <= now_s:
            self._finish_adapter_load(heapq.heappop(self._adapter_loads))

    def pause_for_swap(self, now_s: float) -> bool:
        """Begin the pause of a pending activation, if there is one; return whether a pause is on.

        No step may run during a pause.
        """
        if self._pause_end_s is None and self._pending_activations:
            self._begin_pause(now_s)
        return self._pause_end_s is not None

    def arm_swap_failure(self, failure: SwapFailure) -> None:
        """Make the next stage or activation, whichever the failure applies to, fail.

        Armed failures occur in the order in which they were armed.
        """
        self._armed_swap_failures.append(failure)

    def reset(self) -> None:
        """Drop the state of a crashed process; fences survive if so configured, armed failures always."""
        self._order_history.reset(self._parameters.fence_survives_restart)
        self.draining = False
        self.role = ""
        self.adapters.clear()
        self._pending_activations.clear()
        self._pause_end_s = None
        self._adapter_loads.clear()
        self._open_drain_order_ids.clear()

    # --- orders -------------------------------------------------------------------------

    def order(self, order: EngineOrder, now_s: float) -> OrderResult:
        """Execute or start a control order; a repeated order only returns its progress.

        Raises:
            OrderRefused: ``details["reason"]`` is a value of ``engine_orders.RefusalReason``.
        """
        earlier_result = self._order_history.admit(order)
        if earlier_result is not None:
            return earlier_result
        self._execute(order, now_s)
        return self._order_history.result(order.order_id)

    def _execute(self, order: EngineOrder, now_s: float) -> None:
        match order.kind:
            case OrderKind.STAGE_VERSION:
                self._stage_version(order)
            case OrderKind.ACTIVATE_VERSION:
                self._begin_activation(order, now_s)
            case OrderKind.LOAD_ADAPTER:
                due_s = now_s + self._parameters.adapter_load_s
                heapq.heappush(self._adapter_loads, _AdapterLoad(due_s, order.order_id, order.argument))
            case OrderKind.SET_ROLE:
                self.role = order.argument
                self._order_history.record_done(order.order_id)
            case OrderKind.DRAIN:
                self.draining = True
                self._open_drain_order_ids.append(order.order_id)
                self.finish_drain_if_idle()
            case OrderKind.RESUME:
                self._resume_requests(order)

    def _fail_order(self, order: EngineOrder, reason: RefusalReason, message: str) -> None:
        self._order_history.record_failure(
            order.order_id, order_refusal(reason, message, self._order_history.highest_fence(order))
        )

    def _stage_version(self, order: EngineOrder) -> None:
        if not self._weights.serves(order.model):
            self._fail_order(
                order, RefusalReason.UNKNOWN_MODEL, f"model {order.model} is not served by this engine"
            )
            return
        if self._weights.holds(order.model, order.version):
            self._order_history.record_done(order.order_id)
            return
        for superseded_id in self._weights.orders_superseded_by(order.model, order.version):
            error = order_refusal(RefusalReason.SUPERSEDED, f"superseded by version {order.version}")
            self._order_history.record_failure(superseded_id, error)
        transfer = self._weights.stage(order.model, order.version, order.source or "store", order.order_id)
        if transfer is not None:
            self._emit(transfer)

    def record_transfer_end(self, model: str, version: int, failed: bool) -> None:
        """Finish or fail the stage orders of a transfer that was requested with ``TransferRequested``.

        A transfer that a later stage order superseded is ignored.
        """
        if failed or self._consume_swap_failure(SwapFailure.STAGE_FAILS):
            error = order_refusal(RefusalReason.TRANSFER_FAILED, f"version {version} could not be fetched")
            for order_id in self._weights.remove_fetch(model, version):
                self._order_history.record_failure(order_id, error)
            return
        for order_id in self._weights.complete_fetch(model, version):
            self._order_history.record_done(order_id)

    def _begin_activation(self, order: EngineOrder, now_s: float) -> None:
        if not self._weights.serves(order.model):
            self._fail_order(
                order, RefusalReason.UNKNOWN_MODEL, f"model {order.model} is not served by this engine"
            )
        elif any(pending.model == order.model for pending in self._pending_activations):
            self._fail_order(order, RefusalReason.BUSY, "another activation of the model is in progress")
        elif self._weights.active[order.model] == order.version:
            self._order_history.record_done(order.order_id)
        elif self._weights.staged.get(order.model) != order.version:
            self._fail_order(order, RefusalReason.NOT_STAGED, f"version {order.version} is not staged")
        else:
            self._pending_activations.append(order)
            self._batch.truncate_step_run(now_s)

    def _begin_pause(self, now_s: float) -> None:
        pause_s = self._parameters.swap_pause_s * self._batch.slow_factor
        self._pause_end_s = now_s + pause_s
        self._counters.total_paused_s += pause_s

    def _finish_activation(self, now_s: float) -> None:
        self._pause_end_s = None
        order = self._pending_activations.popleft()
        if self._consume_swap_failure(SwapFailure.KEEPS_OLD):
            self._fail_order(order, RefusalReason.SWAP_FAILED, "the old version is still active")
        elif self._consume_swap_failure(SwapFailure.LOSES_WEIGHTS):
            self._batch.stream_unsent_tokens(order.model)
            self._weights.mark_unusable(order.model)
            self._batch.fail(self._batch.sequences_of(order.model), EndReason.WEIGHTS_LOST)
            self._batch.invalidate_cache(order.model, now_s)
            self._fail_order(order, RefusalReason.SWAP_FAILED, "the model has no usable weights")
        else:
            self._activate_staged(order, now_s)

    def _activate_staged(self, order: EngineOrder, now_s: float) -> None:
        self._batch.invalidate_cache(order.model, now_s)
        self._batch.stream_unsent_tokens(order.model)
        self._weights.activate(order.model, order.version)
        if self._parameters.recompute_kv_on_swap:
            for sequence in [
                running for running in self._batch.running if running.request.model == order.model
            ]:
                self._batch.preempt(sequence)
        self._order_history.record_done(order.order_id)

    def _finish_adapter_load(self, adapter_load: _AdapterLoad) -> None:
        self.adapters.add(adapter_load.adapter)
        self._order_history.record_done(adapter_load.order_id)

    def finish_drain_if_idle(self) -> None:
        """Finish the open drain orders if no sequence is waiting or running."""
        if self._open_drain_order_ids and not self._batch.running and not self._batch.waiting:
            for order_id in self._open_drain_order_ids:
                self._order_history.record_done(order_id)
            self._open_drain_order_ids.clear()

    def _resume_requests(self, order: EngineOrder) -> None:
        self.draining = False
        for order_id in self._open_drain_order_ids:
            self._order_history.record_failure(
                order_id, order_refusal(RefusalReason.SUPERSEDED, "resumed while draining")
            )
        self._open_drain_order_ids.clear()
        self._order_history.record_done(order.order_id)

    def _consume_swap_failure(self, failure: SwapFailure) -> bool:
        if self._armed_swap_failures and self._armed_swap_failures[0] is failure:
            self._armed_swap_failures.popleft()
            return True
        return False
