"""Sends load orders that bring replicas to the target versions of the weights, while this daemon leads.

An order names the number of orders that the replica has accepted, as read from its report just before, and
the replica rejects any other number.  A delayed order is therefore not executed after a newer one.  As a
restart resets the number, :mod:`passgate.versions.unconfirmed_orders` guards against delays beyond a restart.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, LoadOrderSent, TargetVersionChanged
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.eligibility.rules import CONTROL_MESSAGE
from passgate.errors import ExecutionStatus, PassgateError
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.jobs.records import WeightDemand
from passgate.quarantine.guard import CrashGuard
from passgate.versions.leadership import Leadership
from passgate.versions.load_crashes import LoadCrashGuard
from passgate.versions.load_plan import LoadLimit, ModelDemand, PlannedLoad, plan_loads
from passgate.versions.unconfirmed_orders import UnconfirmedOrders

logger = logging.getLogger("passgate.versions")

PLAN_INTERVAL_S = 0.05
"""Pause between two plans; short compared with the duration of a load, 0.9 s."""
LOAD_TIMEOUT_S = 6.0
"""Time after which a load that is not seen to finish is given up, so that it may be planned again."""
ACCEPTED_STATUSES = frozenset({200, 202})
"""Statuses that say that the load has started or the version is already present."""
LOAD_POLL_INTERVAL_S = 0.1
"""Pause between checks whether a load has finished; also the pause of a replica for which no order is due."""
CRASH_CHECK_INTERVAL_S = 1.2
"""Interval of crash checks during a load; a shorter load is not checked."""
REPLACEMENT_TIMEOUT_S = 0.5
"""Time to wait for a new replica at the address of a removed one; it proves that the old one has exited."""
ORDER_RETRY_PAUSE_S = 0.5
"""Pause before a replica gets another order after a refused or failed one."""


class ReplicaReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that a replica reports about itself."""

    orders_taken: int
    """Number of load orders that the replica has accepted since its start."""
    busy: bool
    """Whether the replica is loading weights."""
    model_versions: dict[str, int]
    """Version of the loaded weights, by model name."""
    started_unix_ms: int = 0
    """Start time of the replica's process in Unix milliseconds; 0 if the replica does not report it."""

    def is_from(self, incarnation: ReplicaIncarnation) -> bool:
        """Return whether this report may be from an incarnation: start times are equal or one is unknown."""
        return self.started_unix_ms == incarnation.started_unix_ms or not (
            self.started_unix_ms and incarnation.started_unix_ms
        )


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load a version of a model's weights."""

    replica_id: str
    address: str
    model: str
    version: int
    holder: str
    """Name of the daemon that sends the order."""
    fence: int
    """Fencing token of the sender's leadership."""
    expected: int
    """Number of orders that the replica has accepted before; it rejects the order if the number differs."""
    not_sent_after_s: float
    """Loop time after which the order must not leave this daemon, as another may lead."""
    waits_for_runs: bool = False
    """Whether the replica ends its runs under the present version first, rather than under the new one."""


class ReplicaControl(Protocol):
    """Client for the control endpoints of replicas."""

    async def report(self, replica_id: str, address: str) -> ReplicaReport:
        """Read a replica's report; raises PassgateError if there is no valid one."""
        ...

    async def order(self, order: LoadOrder) -> int:
        """Send an order and return the HTTP status; raises PassgateError if there was no answer.

        Raises SendTooLate if the order could not leave in time.
        """
        ...


async def read_incarnation(
    control: ReplicaControl, last_known: ReplicaIncarnation, address: str
) -> ReplicaIncarnation | None:
    """Return the incarnation that runs at a replica's address; None if the call fails or it does not say.

    The send rules are not checked.
    """
    try:
        report = await control.report(last_known.replica_id, address)
    except PassgateError as error:
        logger.info("incarnation_not_read", extra={"replica": last_known.to_text(), "error": str(error)})
        return None
    return (
        ReplicaIncarnation(last_known.replica_id, report.started_unix_ms) if report.started_unix_ms else None
    )


class RunningLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load in progress, from the reading of the replica's report to the end of the load."""

    model: str
    service: str
    task: asyncio.Task[None]


class TargetVersions:
    """The target version of each model: the highest version published so far."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self.version_by_model: dict[str, int] = {}

    def newest(self, model: str) -> int:
        """Return a model's target version; 0 if none was published."""
        return self.version_by_model.get(model, 0)

    def offer(self, model: str, version: int) -> None:
        """Set a model's target version if the given version is higher than the known one."""
        if version > self.version_by_model.get(model, 0):
            self.version_by_model[model] = version
            self._decisions.write(TargetVersionChanged(model=model, version=version))


class Loader:
    """Sends load orders while this daemon is the leader."""

    def __init__(
        self,
        targets: TargetVersions,
        replicas: ReplicaTable,
        leadership: Leadership,
        control: ReplicaControl,
        daemon_id: str,
        newest_demand_by_model: Mapping[str, WeightDemand],
        crash_guard: CrashGuard,
        decisions: DecisionLog,
        requires_single_version: Callable[[str], bool] = lambda service: False,
    ) -> None:
        """Create the loader; nothing is sent until :meth:`run`.

        Args:
            targets: the versions to be loaded.
            replicas: the replicas that discovery lists.
            leadership: states whether this daemon may send orders.
            control: client for the control endpoints of replicas.
            daemon_id: this daemon's name in orders.
            newest_demand_by_model: what the newest job of each model requires, by model.
            crash_guard: knows the crashes of replicas that loaded a version.
            decisions: decision log.
            requires_single_version: returns whether one version must make the whole output of some items of a
                service.  Its replicas end their runs before a load: otherwise each load would discard the
                output of all running items, and a long one might never end.
        """
        self._requires_single_version = requires_single_version
        self._targets = targets
        self._replicas = replicas
        self._leadership = leadership
        self._control = control
        self._daemon_id = daemon_id
        self._decisions = decisions
        self._crash_guard = LoadCrashGuard(crash_guard, replicas, decisions)
        self._newest_demand_by_model = newest_demand_by_model
        self._load_by_replica: dict[ReplicaIncarnation, RunningLoad] = {}
        """Loads in progress by replica."""
        self._limit_by_service: dict[str, LoadLimit] = {}
        self._retry_at_s_by_replica: dict[ReplicaIncarnation, float] = {}
        self._unconfirmed_orders = UnconfirmedOrders()

    async def run(self) -> None:
        """Plan and start loads until cancelled; loads in progress are then cancelled too."""
        try:
            while True:
                self.start_due_loads()
                await asyncio.sleep(PLAN_INTERVAL_S)
        finally:
            for load in self._load_by_replica.values():
                load.task.cancel()

    def start_due_loads(self) -> None:
        """As leader, start the planned loads that the concurrency limits of their services allow."""
        self._load_by_replica = {
            incarnation: load for incarnation, load in self._load_by_replica.items() if not load.task.done()
        }
        if not self._leadership.may_order():
            return
        now_s = monotonic_s()
        self._retry_at_s_by_replica = {
            incarnation: at_s for incarnation, at_s in self._retry_at_s_by_replica.items() if now_s < at_s
        }
        for planned in self._plan(now_s):
            service = planned.state.info.service
            limit = self._limit_of(service).max_loads(self._count_replicas(service))
            if self._count_loads(service) < limit and not self._must_wait_for_running_load(planned.model):
                self._start(planned)

    def _must_wait_for_running_load(self, model: str) -> bool:
        """Whether the target version may crash replicas and a load of the model is already in progress."""
        if not any(load.model == model for load in self._load_by_replica.values()):
            return False
        return self._crash_guard.must_load_alone(model, self._targets.newest(model))

    def _start(self, planned: PlannedLoad) -> None:
        task = asyncio.get_running_loop().create_task(self._load(planned.state, planned.model))
        self._load_by_replica[planned.state.incarnation] = RunningLoad(
            model=planned.model, service=planned.state.info.service, task=task
        )

    def _plan(self, now_s: float) -> list[PlannedLoad]:
        """Return the loads that should be started now, the most urgent first.

        Versions whose orders are paused and replicas that the send rules exclude are left out.
        """
        rules = self._replicas.send_rules
        return plan_loads(
            [
                self._demand(model, version)
                for model, version in self._targets.version_by_model.items()
                if not self._crash_guard.update_pause(model, version, now_s)
            ],
            [state for state in self._replicas.all() if rules.allows(state.info, CONTROL_MESSAGE, now_s)],
            model_by_loading_replica={
                incarnation: load.model for incarnation, load in self._load_by_replica.items()
            },
            excluded=set(self._retry_at_s_by_replica),
            now_s=now_s,
        )

    def _demand(self, model: str, version: int) -> ModelDemand:
        newest = self._newest_demand_by_model.get(model)
        if newest is None:
            return ModelDemand(model=model, version=version)
        return ModelDemand(model=model, version=version, lag=newest.lag, items=newest.items)

    def _limit_of(self, service: str) -> LoadLimit:
        return self._limit_by_service.setdefault(service, LoadLimit())

    def _count_loads(self, service: str) -> int:
        return sum(1 for load in self._load_by_replica.values() if load.service == service)

    def _count_replicas(self, service: str) -> int:
        return sum(1 for state in self._replicas.all() if state.info.service == service)

    async def _load(self, state: ReplicaState, model: str) -> None:
        incarnation = state.incarnation
        try:
            report = await self._read_report(state)
            if not self._is_order_due(state, model, report):
                self._retry_at_s_by_replica[incarnation] = monotonic_s() + LOAD_POLL_INTERVAL_S
                return
            if await self._send_order(state, model, report):
                await self._wait_until_loaded(state, model)
            else:
                self._retry_at_s_by_replica[incarnation] = monotonic_s() + ORDER_RETRY_PAUSE_S
        except PassgateError:
            if self._unconfirmed_orders.may_run_at(incarnation, monotonic_s()):
                self._crash_guard.check_for_crash(state, model, self._targets.version_by_model[model])
            self._retry_at_s_by_replica[incarnation] = monotonic_s() + ORDER_RETRY_PAUSE_S

    def _is_order_due(self, state: ReplicaState, model: str, report: ReplicaReport) -> bool:
        """Return whether a replica needs an order and may get one, according to its report."""
        if (
            not report.is_from(state.incarnation)
            or self._replicas.find_incarnation(state.incarnation) is not state
        ):
            return False
        if not self._unconfirmed_orders.allows_next_order(
            state.incarnation, report.orders_taken, monotonic_s()
        ):
            return False
        missing = report.model_versions.get(model, 0) < self._targets.version_by_model[model]
        return missing and not report.busy and self._leadership.may_order()

    async def _read_report(self, state: ReplicaState) -> ReplicaReport:
        self._replicas.send_rules.admit(state.info, CONTROL_MESSAGE, monotonic_s())
        report = await self._control.report(state.info.replica_id, state.info.address)
        if report.is_from(state.incarnation):
            state.reported_versions.update(report.model_versions)
        return report

    async def _send_order(self, state: ReplicaState, model: str, report: ReplicaReport) -> bool:
        """Send an order and return whether the replica accepted it or already has the version.

        Raises PassgateError if there is no answer.  The order then counts as unconfirmed, unless it certainly
        did not run.
        """
        self._replicas.send_rules.admit(state.info, CONTROL_MESSAGE, monotonic_s())
        with self._leadership.sending_order() as terms:
            order = LoadOrder(
                replica_id=state.info.replica_id,
                address=state.info.address,
                model=model,
                version=self._targets.version_by_model[model],
                holder=self._daemon_id,
                fence=terms.fence,
                expected=report.orders_taken,
                not_sent_after_s=terms.not_sent_after_s,
                waits_for_runs=self._requires_single_version(state.info.service),
            )
            return await self._send(order, state)

    async def _send(self, order: LoadOrder, state: ReplicaState) -> bool:
        """Send an order to a replica and write a decision line with its outcome; see :meth:`_send_order`."""
        outcome = "unanswered"
        try:
            status = await self._control.order(order)
            outcome = str(status)
            return status in ACCEPTED_STATUSES
        except PassgateError as error:
            if error.execution is ExecutionStatus.NOT_RUN:
                outcome = "not_sent"
            else:
                self._unconfirmed_orders.record(state.incarnation, order.expected, monotonic_s())
            raise
        finally:
            self._decisions.write(
                LoadOrderSent(
                    replica_id=order.replica_id,
                    model=order.model,
                    version=order.version,
                    fence=order.fence,
                    expected=order.expected,
                    outcome=outcome,
                )
            )

    async def _wait_until_loaded(self, state: ReplicaState, model: str) -> None:
        started_at_s = monotonic_s()
        target_version = self._targets.version_by_model[model]
        next_crash_check_s = started_at_s + CRASH_CHECK_INTERVAL_S
        while (now_s := monotonic_s()) < started_at_s + LOAD_TIMEOUT_S:
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
            if state.weight_version(model) >= target_version:
                self._limit_of(state.info.service).record_load_time(monotonic_s() - started_at_s)
                self._crash_guard.record_loaded(state, model, target_version)
                return
            if self._replicas.find_incarnation(state.incarnation) is not state:
                await self._await_replacement(state, model, target_version)
                return
            if now_s >= next_crash_check_s:
                self._crash_guard.check_for_crash(state, model, target_version)
                next_crash_check_s = now_s + CRASH_CHECK_INTERVAL_S

    async def _await_replacement(self, state: ReplicaState, model: str, version: int) -> None:
        """Check for a crash of a replica that discovery has removed or replaced by a new incarnation.

        If another replica is listed at the address within REPLACEMENT_TIMEOUT_S, the crash is reported.
        """
        self._crash_guard.check_for_crash(state, model, version)
        deadline_s = monotonic_s() + REPLACEMENT_TIMEOUT_S
        while not self._crash_guard.report_if_replaced(state, model, version) and monotonic_s() < deadline_s:
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
