"""Connects coroutines to the plain work scheduler: wait for a place, free it, expire.

Every change that may make room calls :meth:`Gate.pump`; one timer serves all
expiries.
"""

from __future__ import annotations

import asyncio

from passgate.clock import monotonic_s
from passgate.errors import Draining
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.work import WorkItem
from passgate.routing.work_scheduler import Expiry, WorkScheduler
from passgate.schema import LoadReport
from passgate.state.specs import PriorityClassSpec

PUMP_AGAIN_S = 0.1
"""With requests queued, placing is tried again after this time even without an event."""


class Gate:
    """Asynchronous face of one :class:`WorkScheduler`."""

    def __init__(self, scheduler: WorkScheduler) -> None:
        self.scheduler = scheduler
        self._waiters: dict[int, asyncio.Future[ReplicaInfo]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, item: WorkItem, spec: PriorityClassSpec, *, again: bool = False) -> ReplicaInfo:
        """Wait until the request is placed and return its replica.

        ``again`` queues a later attempt at the front, past admission.  When the
        caller is cancelled, the place or the queue entry is given back.

        Raises:
            Overloaded, NoReplicaAvailable, DeadlineExceeded: it did not run (by this call).
        """
        now_s = monotonic_s()
        if again:
            self.scheduler.resubmit(item, spec, now_s)
        else:
            self.scheduler.submit(item, spec, now_s)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[item.key] = waiter
        self.pump()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._give_back(item, waiter)
            raise
        finally:
            self._waiters.pop(item.key, None)

    def release(self, item: WorkItem, replica_id: str, tokens: int) -> None:
        """Give the request's place back after ``tokens`` output tokens."""
        self.scheduler.end(item, replica_id, tokens, monotonic_s())
        self.pump()

    def apply_report(self, report: LoadReport) -> None:
        """Take a load report; it may show new room."""
        self.scheduler.apply_report(report, monotonic_s())
        self.pump()

    def pump(self) -> None:
        """Expire and place whatever is due."""
        now_s = monotonic_s()
        for expiry in self.scheduler.expire(now_s):
            self._settle(expiry.item, error=expiry.error)
        for result in self.scheduler.place(now_s):
            if isinstance(result, Expiry):
                self._settle(result.item, error=result.error)
            else:
                self._settle(result.item, replica=result.replica)
        self._arm(now_s)

    def close(self) -> None:
        """Refuse everything that is queued."""
        for waiter in self._waiters.values():
            if not waiter.done():
                waiter.set_exception(Draining(retry_after_s=1.0))
        if self._timer is not None:
            self._timer.cancel()

    def _settle(self, item: WorkItem, replica: ReplicaInfo | None = None, error=None) -> None:
        waiter = self._waiters.get(item.key)
        if waiter is None or waiter.done():
            if replica is not None:
                self.scheduler.end(item, replica.replica_id, 0, monotonic_s())
        elif replica is not None:
            waiter.set_result(replica)
        else:
            waiter.set_exception(error)

    def _give_back(self, item: WorkItem, waiter: asyncio.Future[ReplicaInfo]) -> None:
        self.scheduler.withdraw(item)
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.release(item, waiter.result().replica_id, 0)

    def _arm(self, now_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = self.scheduler.next_expiry_s()
        if due_s is not None:
            at_s = min(due_s, now_s + PUMP_AGAIN_S)
            self._timer = asyncio.get_running_loop().call_at(at_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.pump()
