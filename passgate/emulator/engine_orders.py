"""Fencing and deduplication of an emulated engine's control orders.

>>> from passgate.schema import OrderKind
>>> history = OrderHistory(FenceScope.ENGINE)
>>> history.admit(EngineOrder(order_id="o1", kind=OrderKind.DRAIN, fence=4))
>>> history.record_done("o1")
>>> history.admit(EngineOrder(order_id="o1", kind=OrderKind.DRAIN, fence=4)).done
True
>>> history.admit(EngineOrder(order_id="o0", kind=OrderKind.DRAIN, fence=3))
Traceback (most recent call last):
passgate.errors.OrderRefused: fence 3 is older than 4
"""

from __future__ import annotations

import enum

from passgate.emulator.parameters import FenceScope
from passgate.errors import ExecutionStatus, OrderRefused
from passgate.schema import EngineOrder, OrderResult

_MAX_REMEMBERED_OUTCOMES = 4_096


class RefusalReason(enum.Enum):
    """Value of ``details["reason"]`` of an OrderRefused."""

    OLD_FENCE = "old_fence"
    """The order's fence is below the highest one seen."""
    UNKNOWN_MODEL = "unknown_model"
    """The engine does not serve the order's model."""
    NOT_STAGED = "not_staged"
    """The version to activate has not been staged."""
    BUSY = "busy"
    """Another activation of the model is in progress."""
    SUPERSEDED = "superseded"
    """A later order replaced this one before it was done."""
    TRANSFER_FAILED = "transfer_failed"
    """The weights could not be fetched."""
    SWAP_FAILED = "swap_failed"
    """The activation failed; load reports name the versions that are loaded now."""


def order_refusal(reason: RefusalReason, message: str, fence: int = 0) -> OrderRefused:
    """Return the exception for a refused order; ``fence`` is the highest fence seen, 0 for none."""
    return OrderRefused(message, execution=ExecutionStatus.NOT_RUN, reason=reason.value, fence=fence)


class OrderHistory:
    """Highest fence seen in each scope, and the results of the most recent orders."""

    def __init__(self, scope: FenceScope) -> None:
        self._fence_scope = scope
        self._highest_fence_by_scope: dict[str, int] = {}
        self._outcome_by_order_id: dict[str, OrderResult | OrderRefused] = {}

    def highest_fence(self, order: EngineOrder) -> int:
        """Return the highest fence seen in the order's scope, 0 if none was seen."""
        return self._highest_fence_by_scope.get(self._scope_key(order), 0)

    def admit(self, order: EngineOrder) -> OrderResult | None:
        """Return the result of a repeated order; register a new one and return None.

        Raises:
            OrderRefused: the order's fence is below the highest one seen, or the order failed before.
        """
        highest = self.highest_fence(order)
        if order.fence < highest:
            raise order_refusal(
                RefusalReason.OLD_FENCE, f"fence {order.fence} is older than {highest}", highest
            )
        self._highest_fence_by_scope[self._scope_key(order)] = order.fence
        outcome = self._outcome_by_order_id.get(order.order_id)
        if isinstance(outcome, OrderRefused):
            raise outcome
        if outcome is None:
            self._remember(order.order_id, OrderResult(order_id=order.order_id, done=False))
        return outcome

    def record_done(self, order_id: str, detail: str = "") -> None:
        """Record that an order is done."""
        self._remember(order_id, OrderResult(order_id=order_id, done=True, detail=detail))

    def record_failure(self, order_id: str, error: OrderRefused) -> None:
        """Record that an order failed; :meth:`admit` and :meth:`result` raise ``error`` from now on."""
        self._remember(order_id, error)

    def result(self, order_id: str) -> OrderResult:
        """Return the result so far of an admitted order; raises OrderRefused if it failed."""
        outcome = self._outcome_by_order_id[order_id]
        if isinstance(outcome, OrderRefused):
            raise outcome
        return outcome

    def reset(self, keep_fences: bool) -> None:
        """Forget all results, and all fences unless ``keep_fences``."""
        self._outcome_by_order_id.clear()
        if not keep_fences:
            self._highest_fence_by_scope.clear()

    def _remember(self, order_id: str, outcome: OrderResult | OrderRefused) -> None:
        self._outcome_by_order_id.pop(order_id, None)
        self._outcome_by_order_id[order_id] = outcome
        while len(self._outcome_by_order_id) > _MAX_REMEMBERED_OUTCOMES:
            del self._outcome_by_order_id[next(iter(self._outcome_by_order_id))]

    def _scope_key(self, order: EngineOrder) -> str:
        return order.model if self._fence_scope is FenceScope.MODEL else ""
