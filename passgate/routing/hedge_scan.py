"""Looks at all running attempts now and then and orders hedges."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Mapping

from passgate.clock import monotonic_s
from passgate.errors import PassgateError
from passgate.routing.context import RoutingContext
from passgate.routing.generate_call import GenerateCall
from passgate.routing.hedging import AttemptProgress, HedgePlanner


class HedgeScan:
    """Background task that connects running calls to the hedge planner."""

    def __init__(self, context: RoutingContext, calls: Mapping[int, GenerateCall]) -> None:
        self._context = context
        self._calls = calls
        self._planner = HedgePlanner(context.policy)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start scanning when the policy hedges; needs a running loop."""
        if self._task is None and self._context.policy.hedge:
            self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop scanning."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._context.policy.hedge_scan_s)
            self.scan()

    def scan(self) -> None:
        """Order the hedges that are worth it now."""
        by_pool: dict[str, list[AttemptProgress]] = defaultdict(list)
        hedged: dict[str, int] = defaultdict(int)
        for call in self._calls.values():
            progress = call.progress()
            if progress is not None:
                by_pool[call.request.pool].append(progress)
            hedged[call.request.pool] += call.is_hedged
        for pool, attempts in by_pool.items():
            self._order(pool, attempts, hedged[pool])

    def _order(self, pool: str, attempts: list[AttemptProgress], running_hedges: int) -> None:
        scheduler = self._context.gate.scheduler
        now_s = monotonic_s()
        try:
            token_s = scheduler.chooser.token_s(self._context.pool(pool), now_s)
        except PassgateError:
            return
        orders = self._planner.plan(
            attempts, token_s, queued=scheduler.queued > 0, now_s=now_s, running_hedges=running_hedges
        )
        for order in orders:
            self._calls[order.key].order_hedge(order)
