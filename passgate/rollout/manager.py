"""Runs the rollouts of one role's engines while this daemon holds the role's lease.

Every daemon runs a manager for each role, and at most one of them holds the lease and
leads.  The leader's loop takes orders from the :class:`Reconciler`, sends them with the
lease's epoch as fencing token, and returns their outcomes to it.  It steps down at once
when an engine has seen a newer fence.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from passgate.clock import monotonic_s
from passgate.errors import PassgateError, SupersededEpoch
from passgate.rollout.order_sender import OrderEngine, OrderSender, OrderTiming, PollScheduler
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
STANDBY_CHECK_INTERVAL_S = 0.5
"""Interval at which a standby manager checks whether it should take the role."""
REFRESH_INTERVAL_S = 1.0
"""Interval at which a leading manager reads replicas and targets without a notification."""
REFUSED_EPOCH_RELEASE_DELAY_S = 3.0
"""Time after which an epoch that engines refuse is released if the log still assigns it here."""
MINIMUM_SLEEP_S = 0.001
"""Shortest sleep of the loop; a shorter one may round to zero, and the loop would spin."""
FAILED_STEP_DELAY_S = 1.0
"""Pause after a step that raised an unexpected exception."""
CONCURRENT_REPORT_READS = 64
"""Maximum number of load reports that are read at the same time."""

log = logging.getLogger(__name__)


class RolloutEngine(OrderEngine, Protocol):
    """The methods of ``interfaces.EngineClient`` that rollouts call."""

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        ...


class RolloutLeases(Protocol):
    """The methods of ``state.leases.LeaseService`` that rollouts call."""

    async def take(self, role: str, timeout_s: float) -> int:
        """Acquire the lease of a role and return its epoch; raises SupersededEpoch."""
        ...

    async def release(self, role: str) -> None:
        """Release the lease of a role."""
        ...

    def held_epoch(self, role: str) -> int | None:
        """Return the epoch under which this daemon holds the role, None when it does not."""
        ...

    def should_take(self, role: str) -> bool:
        """Return whether this daemon should acquire the role now."""
        ...


class RolloutInputs(Protocol):
    """Replicas and targets that a manager reads."""

    def replicas(self) -> Iterable[ReplicaView]:
        """Return the replicas under the role that are not leaving."""
        ...

    def targets(self) -> Iterable[RolloutTarget]:
        """Return the target of each model."""
        ...


class RolloutManager:
    """Takes the lease of one role and rolls out its targets, in one daemon."""

    def __init__(
        self,
        role: str,
        engine: RolloutEngine,
        leases: RolloutLeases,
        inputs: RolloutInputs,
        settings: RolloutSettings,
        random: Random,
        *,
        timing: OrderTiming | None = None,
        other_zones: Callable[[], Iterable[ReplicaView]] | None = None,
        on_progress: Callable[[list[RolloutProgress]], None] | None = None,
    ) -> None:
        """Create a manager; nothing runs before :meth:`start`.

        Args:
            role: name of the lease that the leading manager holds.
            engine: sends orders and reads load reports.
            leases: acquires and releases the role.
            inputs: replicas and targets.
            settings: capacity floors, retries and swap mode.
            random: source of jitter.
            timing: poll intervals and timeouts of orders.
            other_zones: returns the replicas that other zones' managers order; None when one
                manager orders all zones.
            on_progress: called with the progress of each model at each refresh.

        Raises:
            InvalidRequest: ``settings`` names an unknown swap mode.
        """
        self.role = role
        self.fence = 0
        """Epoch under which this manager leads or last led; zero before that."""
        self.report_reads = 0
        """Load reports requested so far, also in earlier terms as leader."""
        self._engine = engine
        self._leases = leases
        self._inputs = inputs
        self._settings = settings_for_mode(settings)
        self._random = random
        self._timing = timing or OrderTiming()
        self._poll_scheduler = PollScheduler(self._timing)
        self._other_zones = other_zones
        self._on_progress = on_progress
        self._chart = Machine("rollout")
        self._changed = asyncio.Event()
        self._stopping = False
        self._highest_seen_fence = 0
        """Highest newer fence reported by an engine that refused an order; epochs up to it are not used."""
        self._reconciler: Reconciler | None = None
        self._sender: OrderSender | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._report_slots = asyncio.Semaphore(CONCURRENT_REPORT_READS)
        self._main_task: asyncio.Task[None] | None = None
        self._refresh_due_s = 0.0

    @property
    def state(self) -> str:
        """State in the state chart ``rollout``."""
        return self._chart.state

    def start(self) -> None:
        """Start the manager in standby; needs a running event loop."""
        self._main_task = asyncio.get_running_loop().create_task(self._run(), name=f"rollout {self.role}")

    def notify(self) -> None:
        """Make a leading manager read replicas and targets again at once."""
        self._refresh_due_s = 0.0
        self._changed.set()

    def progress(self) -> list[RolloutProgress]:
        """Return the progress of each model; empty while this daemon does not lead."""
        return self._reconciler.progress() if self._reconciler is not None else []

    async def stop(self, timeout_s: float) -> None:
        """Stop, wait for orders in flight and release the role.

        Waiting and releasing take up to ``timeout_s`` each; orders still in flight are then
        cancelled.  A role that could not be released is logged.
        """
        self._stopping = True
        self._changed.set()
        leading = self._chart.within("leading")
        if self._chart.can("stop"):
            self._send_event("stop")
        await self._cancel_main_task()
        if leading:
            await self._wait_for_tasks(timeout_s)
        await self._cancel_tasks()
        if leading and self._chart.can("released"):
            await self._release_role(timeout_s)
            self._send_event("released")

    async def close(self) -> None:
        """Cancel all tasks at once without releasing the role."""
        await self._cancel_main_task()
        await self._cancel_tasks()

    # --- leadership --------------------------------------------------------------------

    async def _run(self) -> None:
        while not self._stopping:
            try:
                await self._step()
            except Exception:  # One failed step must not end the loop.
                log.exception("rollout step failed", extra={"role": self.role})
                await asyncio.sleep(FAILED_STEP_DELAY_S)

    async def _step(self) -> None:
        if self._chart.state == "standby":
            await self._standby_step()
        else:
            await self._leading_step()

    async def _standby_step(self) -> None:
        epoch = self._leases.held_epoch(self.role)
        if epoch is None and self._leases.should_take(self.role):
            epoch = await self._try_take_role()
        if epoch is not None and epoch > self._highest_seen_fence:
            self._start_leading(epoch)
            return
        if epoch is not None:
            await self._release_refused_epoch(epoch)
            return
        await self._sleep(STANDBY_CHECK_INTERVAL_S)

    async def _try_take_role(self) -> int | None:
        try:
            return await self._leases.take(self.role, LEASE_TIMEOUT_S)
        except PassgateError:
            return None

    async def _release_refused_epoch(self, epoch: int) -> None:
        """Release an epoch that engines refuse, if it is still held after a delay.

        The log should name the newer holder soon; otherwise the role is acquired again under
        a newer epoch.
        """
        await self._sleep(REFUSED_EPOCH_RELEASE_DELAY_S)
        if self._leases.held_epoch(self.role) == epoch:
            await self._release_role(LEASE_TIMEOUT_S)

    def _start_leading(self, epoch: int) -> None:
        self.fence = epoch
        self._reconciler = Reconciler(self._settings, self._random)
        mode = swap_mode(self._settings.swap_mode)
        self._sender = OrderSender(self._engine, self.role, epoch, mode, self._timing, self._poll_scheduler)
        self._refresh_due_s = 0.0
        self._send_event("lease_granted")

    def _step_down(self, seen_fence: int) -> None:
        """Stop leading; ``seen_fence`` is the newer fence of an engine, 0 when the lease was lost."""
        if not self._chart.can("superseded"):
            return
        self._highest_seen_fence = max(self._highest_seen_fence, seen_fence)
        self._drop_leadership()
        self._send_event("superseded")
        self._changed.set()

    def _drop_leadership(self) -> None:
        self._reconciler = None
        self._sender = None
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()

    # --- one step as leader ------------------------------------------------------------

    async def _leading_step(self) -> None:
        if self._leases.held_epoch(self.role) != self.fence:
            self._step_down(0)
            return
        reconciler, sender = self._reconciler, self._sender
        assert reconciler is not None and sender is not None
        now_s = monotonic_s()
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = now_s + REFRESH_INTERVAL_S
            if self._other_zones is not None:
                reconciler.set_other_zones(self._other_zones())
            reconciler.set_replicas(self._inputs.replicas(), now_s)
            reconciler.set_targets(self._inputs.targets(), now_s)
            self._report_progress(reconciler.progress())
        for replica_id in reconciler.take_due_reports(now_s):
            self._spawn(self._read_report(reconciler, replica_id))
        for order in reconciler.start_orders(now_s):
            self._spawn(self._execute(reconciler, sender, order))
        await self._sleep(self._next_wakeup_s(reconciler) - now_s)

    def _next_wakeup_s(self, reconciler: Reconciler) -> float:
        wakeup_s = reconciler.next_wakeup_s()
        return self._refresh_due_s if wakeup_s is None else min(wakeup_s, self._refresh_due_s)

    def _report_progress(self, progress: list[RolloutProgress]) -> None:
        active = sum(item.staging + item.swapping + item.waiting for item in progress)
        failing = sum(item.failing for item in progress)
        event = "differs" if active else "only_failed_left" if failing else "equal"
        if self._chart.can(event):
            self._send_event(event)
        if self._on_progress is not None:
            self._on_progress(progress)

    async def _execute(self, reconciler: Reconciler, sender: OrderSender, order: PlannedOrder) -> None:
        try:
            outcome = await sender.execute(order, lambda accepted: self._on_accepted(reconciler, accepted))
        except SupersededEpoch as error:
            self._step_down(int(error.details["fence"]))
            return
        reconciler.record_outcome(order, outcome, monotonic_s())
        self._changed.set()

    def _on_accepted(self, reconciler: Reconciler, order: PlannedOrder) -> None:
        if reconciler.record_accepted(order):
            self._changed.set()

    async def _read_report(self, reconciler: Reconciler, replica_id: str) -> None:
        async with self._report_slots:
            view = reconciler.view(replica_id)
            if view is None:
                return
            self.report_reads += 1
            try:
                report = await self._engine.load_report(view.address)
            except PassgateError:
                reconciler.record_unreadable_report(replica_id, monotonic_s())
            else:
                reconciler.record_report(
                    replica_id, _version_by_model(report), report.outstanding_tokens, monotonic_s()
                )
        self._changed.set()

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
        """Wait for a change or ``duration_s``; changes of one loop iteration cause one wake-up."""
        try:
            await asyncio.wait_for(self._changed.wait(), max(duration_s, MINIMUM_SLEEP_S))
        except TimeoutError:
            return
        await asyncio.sleep(0)
        self._changed.clear()

    async def _wait_for_tasks(self, timeout_s: float) -> None:
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cancel_main_task(self) -> None:
        if self._main_task is not None:
            self._main_task.cancel()
            await asyncio.gather(self._main_task, return_exceptions=True)
            self._main_task = None

    async def _release_role(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._leases.release(self.role)
        except (PassgateError, TimeoutError):
            log.warning("rollout role not released", extra={"role": self.role})

    def _send_event(self, event: str) -> None:
        before = self._chart.state
        after = self._chart.send(event)
        if after != before:
            log.info("rollout state", extra={"role": self.role, "state": after, "fence": self.fence})


def _version_by_model(report: LoadReport) -> dict[str, int]:
    """Return the version of each model in a report; versions that are not decimal are left out."""
    return {model: int(text) for model, text in report.versions.items() if text.isdecimal()}
