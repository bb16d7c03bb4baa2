"""Background task that periodically requests hedges for running attempts."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Mapping

from passgate.clock import monotonic_s
from passgate.errors import PassgateError
from passgate.routing.context import RoutingContext
from passgate.routing.generate_call import GenerateCall
from passgate.routing.hedging import AttemptProgress, HedgePlanner


class HedgeScanner:
    """Passes the progress of running calls to the hedge planner, and its orders back to the calls."""

    def __init__(self, context: RoutingContext, call_by_key: Mapping[int, GenerateCall]) -> None:
        self._context = context
        self._call_by_key = call_by_key
        self._planner = HedgePlanner(context.policy)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start scanning if the policy allows hedges; needs a running loop."""
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
            await asyncio.sleep(self._context.policy.hedge_scan_interval_s)
            self.scan()

    def scan(self) -> None:
        """Request the hedges that the planner chooses now, pool by pool."""
        candidates_by_pool: dict[str, list[AttemptProgress]] = defaultdict(list)
        hedged_by_pool: dict[str, int] = defaultdict(int)
        for call in self._call_by_key.values():
            candidate = call.hedge_candidate()
            if candidate is not None:
                candidates_by_pool[call.request.pool].append(candidate)
            hedged_by_pool[call.request.pool] += call.is_hedged
        for pool, candidates in candidates_by_pool.items():
            self._request_hedges(pool, candidates, hedged_by_pool[pool])

    def _request_hedges(self, pool: str, candidates: list[AttemptProgress], running_hedges: int) -> None:
        scheduler = self._context.slots.scheduler
        now_s = monotonic_s()
        try:
            time_per_token_by_replica_s = scheduler.chooser.time_per_token_by_replica_s(
                self._context.pool(pool), now_s
            )
        except PassgateError:
            return  # the pool was deleted
        orders = self._planner.plan(
            candidates,
            time_per_token_by_replica_s,
            has_queued_requests=scheduler.queued_count > 0,
            now_s=now_s,
            running_hedges=running_hedges,
        )
        for order in orders:
            self._call_by_key[order.key].request_hedge(order)
