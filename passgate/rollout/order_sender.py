"""Sends fenced orders to engines and follows each until its end.

An engine answers an order at once and works on; the same order, sent again, tells
how far it is.  The time between such questions follows the time that earlier
orders of the kind took, so that a rollout costs few messages.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import BackendUnreachable, ExecutionStatus, OrderRefused, SupersededEpoch
from passgate.rollout.swap_modes import SwapMode
from passgate.rollout.types import Outcome, PlannedOrder
from passgate.schema import EngineOrder, OrderKind, OrderResult

OLD_FENCE_REASON = "old_fence"
"""Value of ``details["reason"]`` when an engine has seen a newer fence."""
FAILED_REASONS = frozenset({"swap_failed"})
"""Reasons that mean the engine changed something before it failed."""

_DURATION_WEIGHT = 0.3
"""Weight of the newest duration in the running mean."""


class OrderTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits of orders, in seconds."""

    first_poll_s: float = 0.1
    """Wait before the first question, while no duration is known."""
    growth: float = 0.4
    """Later questions then follow after this share of the time since the order."""
    poll_share: float = 0.08
    """With a known mean duration, questions follow after this share of it once it is over."""
    shortest_poll_s: float = 0.05
    timeout_s: float = 60.0
    """An order that takes longer counts as in doubt."""
    drain_timeout_s: float = 600.0


class OrderEngine(Protocol):
    """The part of ``interfaces.EngineClient`` that orders need."""

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order; raises OrderRefused or BackendUnreachable."""
        ...


class OrderPacer:
    """Running mean of how long orders of each kind take."""

    def __init__(self, times: OrderTimes) -> None:
        self._times = times
        self._mean_s: dict[OrderKind, float] = {}

    def observe(self, kind: OrderKind, duration_s: float) -> None:
        """Take the duration of one finished order."""
        mean_s = self._mean_s.get(kind, duration_s)
        self._mean_s[kind] = mean_s + _DURATION_WEIGHT * (duration_s - mean_s)

    def wait_s(self, kind: OrderKind, elapsed_s: float, may_fail_early: bool = False) -> float:
        """Return the time until the next question about an order sent ``elapsed_s`` ago."""
        if may_fail_early:
            return max(self._times.shortest_poll_s, self._times.growth * elapsed_s)
        mean_s = self._mean_s.get(kind)
        if mean_s is None:
            return max(self._times.first_poll_s, self._times.growth * elapsed_s)
        return max(mean_s - elapsed_s, mean_s * self._times.poll_share, self._times.shortest_poll_s)


class OrderSender:
    """Sends the orders of one holding of a role, all under its fence."""

    def __init__(
        self,
        engine: OrderEngine,
        role: str,
        fence: int,
        mode: SwapMode,
        times: OrderTimes | None = None,
        pacer: OrderPacer | None = None,
    ) -> None:
        self.messages = 0
        """Calls to engines so far, questions included."""
        self._engine = engine
        self._role = role
        self._fence = fence
        self._mode = mode
        self._times = times or OrderTimes()
        self._pacer = pacer or OrderPacer(self._times)

    async def carry_out(
        self, planned: PlannedOrder, on_accepted: Callable[[PlannedOrder], None] | None = None
    ) -> Outcome:
        """Send an order, follow it to its end and return what became of it.

        ``on_accepted`` is called when the engine has begun to carry it out.

        Raises:
            SupersededEpoch: the engine has seen a newer fence; details give ``fence``.
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
            if self._drains(planned):
                return await self._drained(planned.address, order)
            accepted = None if on_accepted is None else lambda: on_accepted(planned)
            await self._follow(planned.address, order, self._times.timeout_s, accepted, planned.foreign)
        except OrderRefused as error:
            return self._refused(error)
        except BackendUnreachable as error:
            return Outcome.UNREACHABLE if error.execution is ExecutionStatus.NOT_RUN else Outcome.IN_DOUBT
        except TimeoutError:
            return Outcome.IN_DOUBT
        return Outcome.DONE

    def _drains(self, planned: PlannedOrder) -> bool:
        activates = planned.kind is OrderKind.ACTIVATE_VERSION
        return self._mode.drains and activates and not planned.confirms

    async def _drained(self, address: str, order: EngineOrder) -> Outcome:
        """Carry out ``order`` on an idle engine; it takes work again whatever comes of it."""
        drain = self._side_order(order, OrderKind.DRAIN)
        outcome = Outcome.DONE
        try:
            await self._follow(address, drain, self._times.drain_timeout_s)
            await self._follow(address, order, self._times.timeout_s)
        except OrderRefused as error:
            outcome = self._refused(error)
        await self._follow(address, self._side_order(order, OrderKind.RESUME), self._times.timeout_s)
        return outcome

    def _side_order(self, order: EngineOrder, kind: OrderKind) -> EngineOrder:
        return EngineOrder(
            order_id=f"{order.order_id}/{kind.value}", kind=kind, fence=order.fence, model=order.model
        )

    async def _follow(
        self,
        address: str,
        order: EngineOrder,
        timeout_s: float,
        accepted: Callable[[], None] | None = None,
        may_fail_early: bool = False,
    ) -> None:
        sent_s = monotonic_s()
        while not await self._is_done(address, order):
            if accepted is not None and not may_fail_early:
                accepted()
                accepted = None
            may_fail_early = False
            elapsed_s = monotonic_s() - sent_s
            if elapsed_s > timeout_s:
                raise TimeoutError(order.order_id)
            await asyncio.sleep(self._pacer.wait_s(order.kind, elapsed_s, accepted is not None))
        self._pacer.observe(order.kind, monotonic_s() - sent_s)

    async def _is_done(self, address: str, order: EngineOrder) -> bool:
        self.messages += 1
        return (await self._engine.order(address, order)).done

    def _refused(self, error: OrderRefused) -> Outcome:
        seen = int(error.details.get("fence", "0") or 0)
        if error.details.get("reason") == OLD_FENCE_REASON or seen > self._fence:
            raise SupersededEpoch("an engine has seen a newer fence", fence=seen, ours=self._fence)
        return Outcome.FAILED if error.details.get("reason") in FAILED_REASONS else Outcome.REFUSED
