"""Carries out the rollouts of one pool while this daemon holds the pool's role.

Every daemon runs one manager per pool; the one whose lease service says that it
should takes the role and leads.  Its loop asks the :class:`Reconciler` what to do,
sends the orders under the lease's epoch as fence, and feeds the outcomes back.  An
engine that has seen a newer fence ends the leadership at once.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from passgate.clock import monotonic_s
from passgate.errors import PassgateError, SupersededEpoch
from passgate.rollout.order_sender import OrderEngine, OrderPacer, OrderSender, OrderTimes
from passgate.rollout.reconciler import Reconciler
from passgate.rollout.swap_modes import settings_for_mode, swap_mode
from passgate.rollout.types import (
    PlannedOrder,
    ReplicaView,
    RolloutProgress,
    RolloutSettings,
    RolloutTarget,
)
from passgate.schema import LoadReport
from passgate.statecharts import Machine

LEASE_TIMEOUT_S = 5.0
LEASE_CHECK_S = 0.5
"""A standby manager looks this often whether it should take the role."""
REFRESH_S = 1.0
"""A leading manager reads replicas and targets again after this time, also without news."""
REFUSED_RELEASE_S = 3.0
"""An epoch that an engine refused, and that the log still calls ours, is given up after this."""
SHORTEST_SLEEP_S = 0.001
"""A shorter sleep may fall below the loop's resolution, and then time would stand still."""
FAILED_STEP_S = 1.0
"""Pause after a step that failed in an unforeseen way."""
CONCURRENT_REPORTS = 64
"""Most load reports read at the same time."""

log = logging.getLogger(__name__)


class RolloutEngine(OrderEngine, Protocol):
    """The part of ``interfaces.EngineClient`` that rollouts need."""

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        ...


class Leases(Protocol):
    """The part of ``state.leases.LeaseService`` that rollouts need."""

    async def take(self, role: str, timeout_s: float) -> int:
        """Take a role and return its epoch; raises SupersededEpoch."""
        ...

    async def release(self, role: str) -> None:
        """Give a role up."""
        ...

    def held_epoch(self, role: str) -> int | None:
        """Return the epoch under which this daemon holds the role."""
        ...

    def should_take(self, role: str) -> bool:
        """Return whether this daemon is the one to take the role now."""
        ...


class RolloutSource(Protocol):
    """Where a manager reads what is and what should be."""

    def replicas(self) -> Iterable[ReplicaView]:
        """Return the pool's replicas that are not leaving."""
        ...

    def targets(self) -> Iterable[RolloutTarget]:
        """Return the target of each model of the pool."""
        ...


class RolloutManager:
    """The rollouts of one pool in one daemon."""

    def __init__(
        self,
        role: str,
        engine: RolloutEngine,
        leases: Leases,
        source: RolloutSource,
        settings: RolloutSettings,
        random: Random,
        *,
        times: OrderTimes | None = None,
        other_zones: Callable[[], Iterable[ReplicaView]] | None = None,
        on_progress: Callable[[list[RolloutProgress]], None] | None = None,
    ) -> None:
        """Make a manager of ``role``; nothing runs before :meth:`start`.

        ``other_zones`` gives the pool's replicas that other zones' managers lead, when
        each zone has a role of its own.
        """
        self.role = role
        self.fence = 0
        """Epoch under which this manager leads or led last."""
        self.messages = 0
        """Calls to engines so far, over all leaderships."""
        self._engine = engine
        self._leases = leases
        self._source = source
        self._settings = settings_for_mode(settings)
        self._random = random
        self._times = times or OrderTimes()
        self._pacer = OrderPacer(self._times)
        self._other_zones = other_zones
        self._on_progress = on_progress
        self._machine = Machine("rollout")
        self._wake = asyncio.Event()
        self._stopping = False
        self._refused_fence = 0
        self._reconciler: Reconciler | None = None
        self._sender: OrderSender | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._reports = asyncio.Semaphore(CONCURRENT_REPORTS)
        self._main: asyncio.Task[None] | None = None
        self._refresh_due_s = 0.0

    @property
    def state(self) -> str:
        """State in the chart ``rollout``."""
        return self._machine.state

    def start(self) -> None:
        """Begin to stand by for the role."""
        self._main = asyncio.get_running_loop().create_task(self._run(), name=f"rollout {self.role}")

    def notify(self) -> None:
        """Tell the manager that replicas or targets may have changed."""
        self._refresh_due_s = 0.0
        self._wake.set()

    def progress(self) -> list[RolloutProgress]:
        """Return the counts of each model; empty while another daemon leads."""
        return self._reconciler.progress() if self._reconciler is not None else []

    async def stop(self, timeout_s: float) -> None:
        """Hand the role over: let orders in flight end, then release; takes up to ``timeout_s``."""
        self._stopping = True
        self._wake.set()
        leading = self._machine.within("leading")
        if self._machine.can("stop"):
            self._send("stop")
        await self._end_main()
        if leading:
            await self._finish_tasks(timeout_s)
        await self._end_tasks()
        if leading and self._machine.can("released"):
            await self._release(timeout_s)
            self._send("released")

    async def close(self) -> None:
        """Stop at once without releasing the role, as after a failure."""
        await self._end_main()
        await self._end_tasks()

    # --- leadership --------------------------------------------------------------------

    async def _run(self) -> None:
        while not self._stopping:
            try:
                await self._step()
            except Exception:  # Whatever goes wrong in one step, the manager goes on.
                log.exception("rollout step failed", extra={"role": self.role})
                await asyncio.sleep(FAILED_STEP_S)

    async def _step(self) -> None:
        if self._machine.state == "standby":
            await self._stand_by()
        else:
            await self._lead()

    async def _stand_by(self) -> None:
        epoch = self._leases.held_epoch(self.role)
        if epoch is None and self._leases.should_take(self.role):
            epoch = await self._take()
        if epoch is not None and epoch > self._refused_fence:
            self._begin_to_lead(epoch)
            return
        if epoch is not None:
            await self._give_up_refused_epoch(epoch)
            return
        await self._sleep(LEASE_CHECK_S)

    async def _take(self) -> int | None:
        try:
            return await self._leases.take(self.role, LEASE_TIMEOUT_S)
        except PassgateError:
            return None

    async def _give_up_refused_epoch(self, epoch: int) -> None:
        """The log should soon name the newer holder; if it never does, take a newer epoch."""
        await self._sleep(REFUSED_RELEASE_S)
        if self._leases.held_epoch(self.role) == epoch:
            await self._release(LEASE_TIMEOUT_S)

    def _begin_to_lead(self, epoch: int) -> None:
        self.fence = epoch
        self._reconciler = Reconciler(self._settings, self._random)
        mode = swap_mode(self._settings.swap_mode)
        self._sender = OrderSender(self._engine, self.role, epoch, mode, self._times, self._pacer)
        self._refresh_due_s = 0.0
        self._send("lease_granted")

    def _step_down(self, fence: int) -> None:
        """An order under this fence was refused, or the log names another holder."""
        if not self._machine.can("superseded"):
            return
        self._refused_fence = max(self._refused_fence, fence)
        self._drop_leadership()
        self._send("superseded")
        self._wake.set()

    def _drop_leadership(self) -> None:
        self._reconciler = None
        self._sender = None
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()

    # --- one step ----------------------------------------------------------------------

    async def _lead(self) -> None:
        if self._leases.held_epoch(self.role) != self.fence:
            self._step_down(0)
            return
        reconciler, sender = self._reconciler, self._sender
        assert reconciler is not None and sender is not None
        now_s = monotonic_s()
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = now_s + REFRESH_S
            if self._other_zones is not None:
                reconciler.observe_other_zones(self._other_zones())
            reconciler.observe_replicas(self._source.replicas(), now_s)
            reconciler.set_targets(self._source.targets(), now_s)
            self._follow_progress(reconciler.progress())
        for replica_id in reconciler.due_reports(now_s):
            self._spawn(self._read_report(reconciler, replica_id))
        for order in reconciler.next_orders(now_s):
            self._spawn(self._carry_out(reconciler, sender, order))
        await self._sleep(self._next_wakeup_s(reconciler) - now_s)

    def _next_wakeup_s(self, reconciler: Reconciler) -> float:
        wakeup_s = reconciler.next_wakeup_s()
        return self._refresh_due_s if wakeup_s is None else min(wakeup_s, self._refresh_due_s)

    def _follow_progress(self, progress: list[RolloutProgress]) -> None:
        active = sum(item.staging + item.swapping + item.waiting for item in progress)
        failing = sum(item.failing for item in progress)
        event = "differs" if active else "only_failed_left" if failing else "equal"
        if self._machine.can(event):
            self._send(event)
        if self._on_progress is not None:
            self._on_progress(progress)

    async def _carry_out(self, reconciler: Reconciler, sender: OrderSender, order: PlannedOrder) -> None:
        try:
            outcome = await sender.carry_out(order, lambda accepted: self._accepted(reconciler, accepted))
        except SupersededEpoch as error:
            self._step_down(int(error.details["fence"]))
            return
        reconciler.finish(order, outcome, monotonic_s())
        self._wake.set()

    def _accepted(self, reconciler: Reconciler, order: PlannedOrder) -> None:
        if reconciler.accepted(order):
            self._wake.set()

    async def _read_report(self, reconciler: Reconciler, replica_id: str) -> None:
        async with self._reports:
            view = reconciler.view(replica_id)
            if view is None:
                return
            self.messages += 1
            try:
                report = await self._engine.load_report(view.address)
            except PassgateError:
                reconciler.observe_silence(replica_id, monotonic_s())
            else:
                reconciler.observe_report(
                    replica_id, _loaded_versions(report), report.outstanding_tokens, monotonic_s()
                )
        self._wake.set()

    # --- tasks and waiting -----------------------------------------------------------------

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("rollout task failed", exc_info=task.exception())

    async def _sleep(self, duration_s: float) -> None:
        """Wait for news or until the time has passed; news of one loop turn are taken together."""
        try:
            await asyncio.wait_for(self._wake.wait(), max(duration_s, SHORTEST_SLEEP_S))
        except TimeoutError:
            return
        await asyncio.sleep(0)
        self._wake.clear()

    async def _finish_tasks(self, timeout_s: float) -> None:
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def _end_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _end_main(self) -> None:
        if self._main is not None:
            self._main.cancel()
            await asyncio.gather(self._main, return_exceptions=True)
            self._main = None

    async def _release(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._leases.release(self.role)
        except (PassgateError, TimeoutError):
            log.warning("rollout role not released", extra={"role": self.role})

    def _send(self, event: str) -> None:
        before = self._machine.state
        after = self._machine.send(event)
        if after != before:
            log.info("rollout state", extra={"role": self.role, "state": after, "fence": self.fence})


def _loaded_versions(report: LoadReport) -> dict[str, int]:
    """Return the versions of a report; text that is no number counts as none."""
    return {model: int(text) for model, text in report.versions.items() if text.isdecimal()}
