"""Control side of an emulated engine: orders, weight swaps, adapters, draining.

Used by ``engine_model``.  An order that takes time is answered with ``done``
False; the same order sent again tells how far it is, or raises its failure.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable

import msgspec

from passgate.emulator.engine_batch import EngineBatch
from passgate.emulator.engine_events import EndReason, EngineCounters, EngineEvent, SwapFailure
from passgate.emulator.engine_orders import OrderBook, RefusalReason, refused
from passgate.emulator.engine_weights import EngineWeights
from passgate.emulator.parameters import EngineParameters
from passgate.schema import EngineOrder, OrderKind, OrderResult


class _AdapterLoad(msgspec.Struct, order=True):
    due_s: float
    order_id: str
    adapter: str


class EngineControl:
    """Orders of one engine and what they change."""

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
        self._orders = OrderBook(parameters.fence_scope)
        self.draining = False
        self.role = ""
        self.adapters: set[str] = set()
        self._pending_activations: deque[EngineOrder] = deque()
        self._pause_end_s: float | None = None
        self._adapter_loads: list[_AdapterLoad] = []
        self._drain_orders: list[str] = []
        self._swap_failures: deque[SwapFailure] = deque()

    # --- time ------------------------------------------------------------------------

    def next_event_s(self) -> float | None:
        """Return when :meth:`process` has something to do next."""
        due = [self._pause_end_s, self._adapter_loads[0].due_s if self._adapter_loads else None]
        return min((at_s for at_s in due if at_s is not None), default=None)

    def process(self, now_s: float) -> None:
        """Carry out what is due."""
        if self._pause_end_s is not None and self._pause_end_s <= now_s:
            self._finish_activation(now_s)
        while self._adapter_loads and self._adapter_loads[0].due_s <= now_s:
            self._finish_adapter(heapq.heappop(self._adapter_loads))

    def holds_steps(self, now_s: float) -> bool:
        """Return whether a swap keeps the batch still; begins a waiting swap's pause."""
        if self._pause_end_s is None and self._pending_activations:
            self._begin_pause(now_s)
        return self._pause_end_s is not None

    def arm_swap_failure(self, failure: SwapFailure) -> None:
        """Let the next fitting stage or activation fail."""
        self._swap_failures.append(failure)

    def restart(self) -> None:
        """Forget what the engine process forgets when it dies."""
        self._orders.restart(self._parameters.fence_survives_restart)
        self.draining = False
        self.role = ""
        self.adapters.clear()
        self._pending_activations.clear()
        self._pause_end_s = None
        self._adapter_loads.clear()
        self._drain_orders.clear()

    # --- orders -------------------------------------------------------------------------

    def order(self, order: EngineOrder, now_s: float) -> OrderResult:
        """Carry out a control order, or begin to; a repetition tells how far it is.

        Raises:
            OrderRefused: see ``engine_orders.RefusalReason`` for ``details["reason"]``.
        """
        known = self._orders.admit(order)
        if known is not None:
            return known
        self._carry_out(order, now_s)
        return self._orders.result(order.order_id)

    def _carry_out(self, order: EngineOrder, now_s: float) -> None:
        match order.kind:
            case OrderKind.STAGE_VERSION:
                self._stage(order)
            case OrderKind.ACTIVATE_VERSION:
                self._activate(order, now_s)
            case OrderKind.LOAD_ADAPTER:
                due_s = now_s + self._parameters.adapter_load_s
                heapq.heappush(self._adapter_loads, _AdapterLoad(due_s, order.order_id, order.argument))
            case OrderKind.SET_ROLE:
                self.role = order.argument
                self._orders.finish(order.order_id)
            case OrderKind.DRAIN:
                self.draining = True
                self._drain_orders.append(order.order_id)
                self.finish_drain()
            case OrderKind.RESUME:
                self._resume(order)

    def _fail(self, order: EngineOrder, reason: RefusalReason, message: str) -> None:
        self._orders.fail(order.order_id, refused(reason, message, self._orders.fence(order)))

    def _stage(self, order: EngineOrder) -> None:
        if not self._weights.knows(order.model):
            self._fail(order, RefusalReason.UNKNOWN_MODEL, f"model {order.model} is not served here")
            return
        if self._weights.holds(order.model, order.version):
            self._orders.finish(order.order_id)
            return
        for replaced in self._weights.abandoned_by(order.model, order.version):
            error = refused(RefusalReason.SUPERSEDED, f"replaced by version {order.version}")
            self._orders.fail(replaced, error)
        transfer = self._weights.stage(order.model, order.version, order.source or "store", order.order_id)
        if transfer is not None:
            self._emit(transfer)

    def transferred(self, model: str, version: int, failed: bool) -> None:
        """Note that a wanted transfer has ended."""
        if failed or self._take_swap_failure(SwapFailure.STAGE_FAILS):
            error = refused(RefusalReason.TRANSFER_FAILED, f"version {version} could not be fetched")
            for order_id in self._weights.end_fetch(model, version):
                self._orders.fail(order_id, error)
            return
        for order_id in self._weights.transferred(model, version):
            self._orders.finish(order_id)

    def _activate(self, order: EngineOrder, now_s: float) -> None:
        if not self._weights.knows(order.model):
            self._fail(order, RefusalReason.UNKNOWN_MODEL, f"model {order.model} is not served here")
        elif any(pending.model == order.model for pending in self._pending_activations):
            self._fail(order, RefusalReason.BUSY, "another activation is in progress")
        elif self._weights.active[order.model] == order.version:
            self._orders.finish(order.order_id)
        elif self._weights.staged.get(order.model) != order.version:
            self._fail(order, RefusalReason.NOT_STAGED, f"version {order.version} is not staged")
        else:
            self._pending_activations.append(order)
            self._batch.cut_step(now_s)

    def _begin_pause(self, now_s: float) -> None:
        pause_s = self._parameters.swap_pause_s * self._batch.slow_factor
        self._pause_end_s = now_s + pause_s
        self._counters.paused_s += pause_s

    def _finish_activation(self, now_s: float) -> None:
        self._pause_end_s = None
        order = self._pending_activations.popleft()
        if self._take_swap_failure(SwapFailure.KEEPS_OLD):
            self._fail(order, RefusalReason.SWAP_FAILED, "the old version is still active")
        elif self._take_swap_failure(SwapFailure.LOSES_WEIGHTS):
            self._batch.flush(order.model)
            self._weights.lose(order.model)
            self._batch.fail(self._batch.sequences_of(order.model), EndReason.WEIGHTS_LOST)
            self._batch.invalidate(order.model, now_s)
            self._fail(order, RefusalReason.SWAP_FAILED, "the model has no usable weights")
        else:
            self._use_staged(order, now_s)

    def _use_staged(self, order: EngineOrder, now_s: float) -> None:
        self._batch.invalidate(order.model, now_s)
        self._batch.flush(order.model)
        self._weights.activate(order.model, order.version)
        if self._parameters.recompute_kv_on_swap:
            for sequence in [item for item in self._batch.running if item.request.model == order.model]:
                self._batch.preempt(sequence)
        self._orders.finish(order.order_id)

    def _finish_adapter(self, load: _AdapterLoad) -> None:
        self.adapters.add(load.adapter)
        self._orders.finish(load.order_id)

    def finish_drain(self) -> None:
        """Finish drain orders once nothing waits or runs."""
        if self._drain_orders and not self._batch.running and not self._batch.waiting:
            for order_id in self._drain_orders:
                self._orders.finish(order_id)
            self._drain_orders.clear()

    def _resume(self, order: EngineOrder) -> None:
        self.draining = False
        for order_id in self._drain_orders:
            self._orders.fail(order_id, refused(RefusalReason.SUPERSEDED, "resumed while draining"))
        self._drain_orders.clear()
        self._orders.finish(order.order_id)

    def _take_swap_failure(self, failure: SwapFailure) -> bool:
        if self._swap_failures and self._swap_failures[0] is failure:
            self._swap_failures.popleft()
            return True
        return False
