"""Fenced control orders of an emulated engine: what is remembered and refused.

>>> from passgate.schema import OrderKind
>>> book = OrderBook(FenceScope.ENGINE)
>>> book.admit(EngineOrder(order_id="o1", kind=OrderKind.DRAIN, fence=4))
>>> book.finish("o1")
>>> book.admit(EngineOrder(order_id="o1", kind=OrderKind.DRAIN, fence=4)).done
True
>>> book.admit(EngineOrder(order_id="o0", kind=OrderKind.DRAIN, fence=3))
Traceback (most recent call last):
passgate.errors.OrderRefused: fence 3 is older than 4
"""

from __future__ import annotations

import enum

from passgate.emulator.parameters import FenceScope
from passgate.errors import ExecutionStatus, OrderRefused
from passgate.schema import EngineOrder, OrderResult

_KEPT_RESULTS = 4_096


class RefusalReason(enum.Enum):
    """Value of ``details["reason"]`` of an OrderRefused."""

    OLD_FENCE = "old_fence"
    UNKNOWN_MODEL = "unknown_model"
    NOT_STAGED = "not_staged"
    """The version to activate has not been fetched."""
    BUSY = "busy"
    """Another activation is being carried out."""
    SUPERSEDED = "superseded"
    """A later order for the same model replaced this one."""
    TRANSFER_FAILED = "transfer_failed"
    """The weights could not be fetched."""
    SWAP_FAILED = "swap_failed"
    """The activation failed partway; the load report tells what is loaded now."""


def refused(reason: RefusalReason, message: str, fence: int = 0) -> OrderRefused:
    """Return the typed refusal of an order."""
    return OrderRefused(message, execution=ExecutionStatus.NOT_RUN, reason=reason.value, fence=fence)


class OrderBook:
    """Highest fence seen and the outcome of every recent order."""

    def __init__(self, scope: FenceScope) -> None:
        self._scope = scope
        self._fences: dict[str, int] = {}
        self._outcomes: dict[str, OrderResult | OrderRefused] = {}

    def fence(self, order: EngineOrder) -> int:
        """Return the highest fence seen for what the order touches."""
        return self._fences.get(self._scope_of(order), 0)

    def admit(self, order: EngineOrder) -> OrderResult | None:
        """Return the outcome of a repeated order, or None for a new one.

        Raises:
            OrderRefused: the fence is older than one seen, or the order failed before.
        """
        seen = self.fence(order)
        if order.fence < seen:
            raise refused(RefusalReason.OLD_FENCE, f"fence {order.fence} is older than {seen}", seen)
        self._fences[self._scope_of(order)] = order.fence
        outcome = self._outcomes.get(order.order_id)
        if isinstance(outcome, OrderRefused):
            raise outcome
        if outcome is None:
            self._remember(order.order_id, OrderResult(order_id=order.order_id, done=False))
        return outcome

    def finish(self, order_id: str, detail: str = "") -> None:
        """Note that an order has been carried out."""
        self._remember(order_id, OrderResult(order_id=order_id, done=True, detail=detail))

    def fail(self, order_id: str, error: OrderRefused) -> None:
        """Note that an order failed; its repetition raises ``error``."""
        self._remember(order_id, error)

    def result(self, order_id: str) -> OrderResult:
        """Return the outcome so far; raises OrderRefused when the order failed."""
        outcome = self._outcomes[order_id]
        if isinstance(outcome, OrderRefused):
            raise outcome
        return outcome

    def restart(self, keep_fences: bool) -> None:
        """Forget what the engine process forgets when it restarts."""
        self._outcomes.clear()
        if not keep_fences:
            self._fences.clear()

    def _remember(self, order_id: str, outcome: OrderResult | OrderRefused) -> None:
        self._outcomes.pop(order_id, None)
        self._outcomes[order_id] = outcome
        while len(self._outcomes) > _KEPT_RESULTS:
            del self._outcomes[next(iter(self._outcomes))]

    def _scope_of(self, order: EngineOrder) -> str:
        return order.model if self._scope is FenceScope.MODEL else ""
