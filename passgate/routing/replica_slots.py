"""Lets coroutines wait for a free slot on a replica and release it; drives the work scheduler.

Every change that may free a slot calls :meth:`ReplicaSlots.expire_and_place`.  One timer
serves all deadlines of queued requests.
"""

from __future__ import annotations

import asyncio

from passgate.clock import monotonic_s
from passgate.errors import Draining
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.work import WorkItem
from passgate.routing.work_scheduler import Rejection, WorkScheduler
from passgate.schema import LoadReport
from passgate.state.specs import PriorityClassSpec

PLACEMENT_RETRY_INTERVAL_S = 0.1
"""Longest time between two attempts to place requests while some are queued."""


class ReplicaSlots:
    """Asynchronous interface to one :class:`WorkScheduler`; needs a running loop."""

    def __init__(self, scheduler: WorkScheduler) -> None:
        self.scheduler = scheduler
        self._waiter_by_key: dict[int, asyncio.Future[ReplicaInfo]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, item: WorkItem, spec: PriorityClassSpec, *, is_retry: bool = False
    ) -> ReplicaInfo:
        """Queue the request, wait until it has a slot on a replica, and return the replica.

        Each acquired slot must be released.  ``is_retry`` queues the request before the
        caller's others and without admission control.  When the waiting task is cancelled,
        the slot or queue entry is released.

        Raises:
            Overloaded, NoReplicaAvailable, DeadlineExceeded, NoMatchingPool, Draining: no
                slot was acquired.
        """
        now_s = monotonic_s()
        if is_retry:
            self.scheduler.resubmit(item, spec, now_s)
        else:
            self.scheduler.submit(item, spec, now_s)
        waiter = asyncio.get_running_loop().create_future()
        self._waiter_by_key[item.key] = waiter
        self.expire_and_place()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._cancel_acquire(item, waiter)
            raise
        finally:
            self._waiter_by_key.pop(item.key, None)

    def release(self, item: WorkItem, replica_id: str, tokens: int) -> None:
        """Release the request's slot after an attempt that brought ``tokens`` output tokens."""
        self.scheduler.record_end(item, replica_id, tokens, monotonic_s())
        self.expire_and_place()

    def apply_report(self, report: LoadReport) -> None:
        """Apply a load report, which may show free slots."""
        self.scheduler.apply_report(report, monotonic_s())
        self.expire_and_place()

    def expire_and_place(self) -> None:
        """Reject queued requests whose time is over, and place those for which a slot is free."""
        now_s = monotonic_s()
        for rejection in self.scheduler.expire(now_s):
            self._resolve_waiter(rejection.item, error=rejection.error)
        for result in self.scheduler.place_queued(now_s):
            if isinstance(result, Rejection):
                self._resolve_waiter(result.item, error=result.error)
            else:
                self._resolve_waiter(result.item, replica=result.replica)
        self._set_timer(now_s)

    def close(self) -> None:
        """Fail all waiting requests with Draining and stop the timer."""
        for waiter in self._waiter_by_key.values():
            if not waiter.done():
                waiter.set_exception(Draining(retry_after_s=1.0))
        if self._timer is not None:
            self._timer.cancel()

    def _resolve_waiter(self, item: WorkItem, replica: ReplicaInfo | None = None, error=None) -> None:
        """Pass the replica or the error to the waiting task; release the slot if none waits any more."""
        waiter = self._waiter_by_key.get(item.key)
        if waiter is None or waiter.done():
            if replica is not None:
                self.scheduler.record_end(item, replica.replica_id, 0, monotonic_s())
        elif replica is not None:
            waiter.set_result(replica)
        else:
            waiter.set_exception(error)

    def _cancel_acquire(self, item: WorkItem, waiter: asyncio.Future[ReplicaInfo]) -> None:
        self.scheduler.withdraw(item)
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(item, waiter.result().replica_id, 0)

    def _set_timer(self, now_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_expiry_s = self.scheduler.next_expiry_s()
        if next_expiry_s is not None:
            timer_s = min(next_expiry_s, now_s + PLACEMENT_RETRY_INTERVAL_S)
            self._timer = asyncio.get_running_loop().call_at(timer_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.expire_and_place()
