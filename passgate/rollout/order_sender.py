"""Sends fenced orders to engines and polls each until it is done.

An engine answers an order at once and carries it out in the background.  Sending the
same order again returns whether it is done.  The poll interval follows the mean duration
of earlier orders of the kind, which keeps the number of calls low.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import BackendUnreachable, ExecutionStatus, OrderRefused, SupersededEpoch
from passgate.rollout.swap_modes import SwapMode
from passgate.rollout.types import OrderOutcome, PlannedOrder
from passgate.schema import EngineOrder, OrderKind, OrderResult

OLD_FENCE_REASON = "old_fence"
"""Value of ``details["reason"]`` when an engine has seen a newer fence."""
PARTIAL_FAILURE_REASONS = frozenset({"swap_failed"})
"""Refusal reasons after which the engine may have changed something before it failed."""

_NEWEST_DURATION_WEIGHT = 0.3
"""Weight of the newest duration in the exponential moving average."""


class OrderTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Poll intervals and timeouts of orders; times in seconds."""

    initial_poll_s: float = 0.1
    """Shortest poll interval while no duration of the order's kind is known."""
    poll_share_of_elapsed: float = 0.4
    """Poll interval without a known duration, as a share of the time since the order was sent."""
    poll_share_of_mean: float = 0.08
    """Poll interval after the known mean duration has passed, as a share of that mean."""
    minimum_poll_s: float = 0.05
    timeout_s: float = 60.0
    """Time after which the outcome of an order that is not done counts as unknown."""
    drain_timeout_s: float = 600.0


class OrderEngine(Protocol):
    """The method of ``interfaces.EngineClient`` that sends orders."""

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order and return whether it is done.

        Raises:
            OrderRefused: the engine refused the order, or failed to carry it out.
            BackendUnreachable: no answer; ``execution`` says whether the order may have arrived.
        """
        ...


class PollScheduler:
    """Chooses poll intervals from the mean duration of earlier orders of the same kind."""

    def __init__(self, timing: OrderTiming) -> None:
        self._timing = timing
        self._mean_s_by_kind: dict[OrderKind, float] = {}

    def record_duration(self, kind: OrderKind, duration_s: float) -> None:
        """Add the duration of one completed order to the mean of its kind."""
        mean_s = self._mean_s_by_kind.get(kind, duration_s)
        self._mean_s_by_kind[kind] = mean_s + _NEWEST_DURATION_WEIGHT * (duration_s - mean_s)

    def delay_s(self, kind: OrderKind, elapsed_s: float, may_fail_early: bool = False) -> float:
        """Return the time until the next poll of an order sent ``elapsed_s`` ago.

        With ``may_fail_early`` the mean duration is ignored and polls begin early, since the
        engine is likely to report a failure soon.
        """
        if may_fail_early:
            return max(self._timing.minimum_poll_s, self._timing.poll_share_of_elapsed * elapsed_s)
        mean_s = self._mean_s_by_kind.get(kind)
        if mean_s is None:
            return max(self._timing.initial_poll_s, self._timing.poll_share_of_elapsed * elapsed_s)
        return max(mean_s - elapsed_s, mean_s * self._timing.poll_share_of_mean, self._timing.minimum_poll_s)


class OrderSender:
    """Sends orders under the fence of one period in which this daemon holds a role."""

    def __init__(
        self,
        engine: OrderEngine,
        role: str,
        fence: int,
        mode: SwapMode,
        timing: OrderTiming | None = None,
        poll_scheduler: PollScheduler | None = None,
    ) -> None:
        self.engine_calls = 0
        """Calls to engines so far, polls included."""
        self._engine = engine
        self._role = role
        self._fence = fence
        self._mode = mode
        self._timing = timing or OrderTiming()
        self._poll_scheduler = poll_scheduler or PollScheduler(self._timing)

    async def execute(
        self, planned: PlannedOrder, on_accepted: Callable[[PlannedOrder], None] | None = None
    ) -> OrderOutcome:
        """Send an order, poll it until it ends and return its outcome.

        ``on_accepted`` is called once the engine has accepted the order without being done; for
        an order from another zone's seed only when the first poll finds it still running.

        Raises:
            SupersededEpoch: the engine has seen a newer fence, given in ``details["fence"]``.
        """
        order = EngineOrder(
            order_id=planned.order_id(self._role, self._fence),
            kind=planned.kind,
            fence=self._fence,
            model=planned.model,
            version=planned.version,
            source=planned.source,
            argument=planned.argument,
        )
        try:
            if self._needs_drain(planned):
                return await self._execute_drained(planned.address, order)
            accepted = None if on_accepted is None else lambda: on_accepted(planned)
            await self._send_until_done(
                planned.address, order, self._timing.timeout_s, accepted, planned.from_other_zone
            )
        except OrderRefused as error:
            return self._outcome_of_refusal(error)
        except BackendUnreachable as error:
            return (
                OrderOutcome.UNREACHABLE
                if error.execution is ExecutionStatus.NOT_RUN
                else OrderOutcome.UNKNOWN
            )
        except TimeoutError:
            return OrderOutcome.UNKNOWN
        return OrderOutcome.DONE

    def _needs_drain(self, planned: PlannedOrder) -> bool:
        activates = planned.kind is OrderKind.ACTIVATE_VERSION
        return self._mode.drains and activates and not planned.is_confirmation

    async def _execute_drained(self, address: str, order: EngineOrder) -> OrderOutcome:
        """Drain the engine, send ``order`` and resume the engine, also when the order is refused.

        The engine is not resumed when a call times out or is not answered.
        """
        drain = self._derive_order(order, OrderKind.DRAIN)
        outcome = OrderOutcome.DONE
        try:
            await self._send_until_done(address, drain, self._timing.drain_timeout_s)
            await self._send_until_done(address, order, self._timing.timeout_s)
        except OrderRefused as error:
            outcome = self._outcome_of_refusal(error)
        await self._send_until_done(
            address, self._derive_order(order, OrderKind.RESUME), self._timing.timeout_s
        )
        return outcome

    def _derive_order(self, order: EngineOrder, kind: OrderKind) -> EngineOrder:
        return EngineOrder(
            order_id=f"{order.order_id}/{kind.value}", kind=kind, fence=order.fence, model=order.model
        )

    async def _send_until_done(
        self,
        address: str,
        order: EngineOrder,
        timeout_s: float,
        on_accepted: Callable[[], None] | None = None,
        may_fail_early: bool = False,
    ) -> None:
        sent_s = monotonic_s()
        while not await self._send(address, order):
            if on_accepted is not None and not may_fail_early:
                on_accepted()
                on_accepted = None
            may_fail_early = False
            elapsed_s = monotonic_s() - sent_s
            if elapsed_s > timeout_s:
                raise TimeoutError(order.order_id)
            await asyncio.sleep(self._poll_scheduler.delay_s(order.kind, elapsed_s, on_accepted is not None))
        self._poll_scheduler.record_duration(order.kind, monotonic_s() - sent_s)

    async def _send(self, address: str, order: EngineOrder) -> bool:
        self.engine_calls += 1
        return (await self._engine.order(address, order)).done

    def _outcome_of_refusal(self, error: OrderRefused) -> OrderOutcome:
        seen = int(error.details.get("fence", "0") or 0)
        if error.details.get("reason") == OLD_FENCE_REASON or seen > self._fence:
            raise SupersededEpoch("an engine has seen a newer fence", fence=seen, ours=self._fence)
        return (
            OrderOutcome.FAILED
            if error.details.get("reason") in PARTIAL_FAILURE_REASONS
            else OrderOutcome.REFUSED
        )
