"""Gives replicas the orders that bring them to the wanted versions of the weights.

The replica's report is read before each order, so that an order that was answered
late or not at all can not be carried out after a newer one: it names the number of
orders that the replica has taken, and the replica compares.  A replica that starts again
counts from 0, so a number is only named to the life whose report told it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, OrderSent, VersionWanted
from passgate.eligibility.replica_info import ReplicaLife
from passgate.eligibility.rules import CONTROL
from passgate.errors import ExecutionStatus, PassgateError
from passgate.gateway.replicas import ReplicaState, ReplicaTable
from passgate.jobs.records import JobNoted
from passgate.quarantine.guard import CrashGuard
from passgate.versions.doubtful_orders import DoubtfulOrders
from passgate.versions.leadership import Leadership
from passgate.versions.load_crashes import LoadCrashes
from passgate.versions.load_plan import LoadChoice, LoadLimit, ModelNeed, plan_loads

logger = logging.getLogger("passgate.versions")

TICK_S = 0.05
"""Time between looks for loads to begin; a load takes 0.9 s."""
LOAD_TIMEOUT_S = 6.0
"""Time after which an order that shows no effect is looked into again."""
TAKEN = frozenset({200, 202})
"""Statuses of an order that is being carried out or already holds."""
POLL_S = 0.1
"""Time between looks whether a load is done."""
LOOK_GAP_S = 1.2
"""Time between looks whether a replica that loads has ended; longer than most loads, which need none."""
REPLACED_S = 0.5
"""Time in which a replica that starts again after its end is listed, once its entry before has gone."""
RETRY_S = 0.5
"""Pause before a replica that did not take an order gets another."""


class ReplicaReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica says of itself."""

    orders_taken: int
    busy: bool
    model_versions: dict[str, int]
    born_unix_ms: int = 0
    """Moment of its start; 0 where it tells none."""

    def is_of(self, life: ReplicaLife) -> bool:
        """Whether a life made this report, as far as both tell."""
        return self.born_unix_ms == life.born_unix_ms or not (self.born_unix_ms and life.born_unix_ms)


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load a version of a model's weights."""

    replica_id: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    expected: int


class ReplicaControl(Protocol):
    """Calls to replicas that an adapter makes."""

    async def report(self, replica_id: str, address: str) -> ReplicaReport:
        """Read a replica's report; raises PassgateError."""
        ...

    async def order(self, order: LoadOrder) -> int:
        """Send an order and return the status; raises PassgateError when nothing came back."""
        ...


async def read_life(control: ReplicaControl, life: ReplicaLife, address: str) -> ReplicaLife | None:
    """Return the life in which the replica at an address is; None when it does not tell."""
    try:
        report = await control.report(life.replica_id, address)
    except PassgateError as error:
        logger.info("life_not_read", extra={"replica": life.text(), "error": str(error)})
        return None
    return ReplicaLife(life.replica_id, report.born_unix_ms) if report.born_unix_ms else None


class RunningLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load under way."""

    model: str
    service: str
    task: asyncio.Task[None]


class WantedVersions:
    """The newest version that was named for each model."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self.versions: dict[str, int] = {}

    def newest(self, model: str) -> int:
        """Return the newest version named for a model, 0 when there is none."""
        return self.versions.get(model, 0)

    def offer(self, model: str, version: int) -> None:
        """Take a named version unless a newer one is known."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version
            self._decisions.write(VersionWanted(model=model, version=version))


class Loader:
    """Loads what is wanted, while this daemon leads."""

    def __init__(
        self,
        wanted: WantedVersions,
        replicas: ReplicaTable,
        leadership: Leadership,
        control: ReplicaControl,
        holder: str,
        jobs: Mapping[str, JobNoted],
        crashes: CrashGuard,
        decisions: DecisionLog,
    ) -> None:
        self._wanted = wanted
        self._replicas = replicas
        self._leadership = leadership
        self._control = control
        self._holder = holder
        self._decisions = decisions
        self._crashes = LoadCrashes(crashes, replicas, decisions)
        self._jobs = jobs
        """Model to what its newest job asks for."""
        self._loading: dict[ReplicaLife, RunningLoad] = {}
        """Replica to its load."""
        self._limits: dict[str, LoadLimit] = {}
        self._retry_at_s: dict[ReplicaLife, float] = {}
        self._doubtful = DoubtfulOrders()

    async def run(self) -> None:
        """Order until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_S)
        finally:
            for load in self._loading.values():
                load.task.cancel()

    def tick(self) -> None:
        """Start loads where versions are missing and there is room for a load."""
        self._loading = {key: load for key, load in self._loading.items() if not load.task.done()}
        if not self._leadership.may_order():
            return
        now_s = monotonic_s()
        self._retry_at_s = {life: at_s for life, at_s in self._retry_at_s.items() if now_s < at_s}
        for choice in self._choices(now_s):
            service = choice.state.info.service
            limit = self._limit(service).allowed(self._replicas_of(service))
            if self._loads_in(service) < limit and not self._waits_for_another(choice.model):
                self._start(choice)

    def _waits_for_another(self, model: str) -> bool:
        """Whether a version that may end replicas is being loaded already."""
        if not any(load.model == model for load in self._loading.values()):
            return False
        return self._crashes.is_suspect(model, self._wanted.newest(model))

    def _start(self, choice: LoadChoice) -> None:
        task = asyncio.get_running_loop().create_task(self._load(choice.state, choice.model))
        self._loading[choice.state.life] = RunningLoad(
            model=choice.model, service=choice.state.info.service, task=task
        )

    def _choices(self, now_s: float) -> list[LoadChoice]:
        """Return the loads that are wanted now, the most urgent first."""
        rules = self._replicas.rules
        return plan_loads(
            [
                self._need(model, version)
                for model, version in self._wanted.versions.items()
                if not self._crashes.is_held(model, version)
            ],
            [state for state in self._replicas.all() if rules.allows(state.info, CONTROL, now_s)],
            loading={life: load.model for life, load in self._loading.items()},
            waiting=set(self._retry_at_s),
            now_s=now_s,
        )

    def _need(self, model: str, version: int) -> ModelNeed:
        job = self._jobs.get(model)
        if job is None:
            return ModelNeed(model=model, version=version)
        return ModelNeed(model=model, version=version, lag=job.lag, items=job.items)

    def _limit(self, service: str) -> LoadLimit:
        return self._limits.setdefault(service, LoadLimit())

    def _loads_in(self, service: str) -> int:
        return sum(1 for load in self._loading.values() if load.service == service)

    def _replicas_of(self, service: str) -> int:
        return sum(1 for state in self._replicas.all() if state.info.service == service)

    async def _load(self, state: ReplicaState, model: str) -> None:
        life = state.life
        try:
            report = await self._report(state)
            if not self._may_order(state, model, report):
                self._retry_at_s[life] = monotonic_s() + POLL_S
                return
            if await self._order(state, model, report):
                await self._wait_until_loaded(state, model)
            else:
                self._retry_at_s[life] = monotonic_s() + RETRY_S
        except PassgateError:
            self._crashes.look_at(state, model, self._wanted.versions[model])
            self._retry_at_s[life] = monotonic_s() + RETRY_S

    def _may_order(self, state: ReplicaState, model: str, report: ReplicaReport) -> bool:
        """Whether a report calls for an order to the life of a replica that was chosen."""
        if not report.is_of(state.life) or self._replicas.of(state.life) is not state:
            return False
        if not self._doubtful.may_follow(state.life, report.orders_taken, monotonic_s()):
            return False
        missing = report.model_versions.get(model, 0) < self._wanted.versions[model]
        return missing and not report.busy and self._leadership.may_order()

    async def _report(self, state: ReplicaState) -> ReplicaReport:
        self._replicas.rules.admit(state.info, CONTROL, monotonic_s())
        report = await self._control.report(state.info.replica_id, state.info.address)
        if report.is_of(state.life):
            state.observed_versions.update(report.model_versions)
        return report

    async def _order(self, state: ReplicaState, model: str, report: ReplicaReport) -> bool:
        """Send an order; return whether the replica took it or already has the version."""
        self._replicas.rules.admit(state.info, CONTROL, monotonic_s())
        order = LoadOrder(
            replica_id=state.info.replica_id,
            address=state.info.address,
            model=model,
            version=self._wanted.versions[model],
            holder=self._holder,
            fence=self._leadership.fence,
            expected=report.orders_taken,
        )
        outcome = "unanswered"
        try:
            status = await self._control.order(order)
            outcome = str(status)
            return status in TAKEN
        except PassgateError as error:
            if error.execution is not ExecutionStatus.NOT_RUN:
                self._doubtful.note(state.life, order.expected, monotonic_s())
            raise
        finally:
            self._decisions.write(
                OrderSent(
                    replica_id=order.replica_id,
                    model=model,
                    version=order.version,
                    fence=order.fence,
                    expected=order.expected,
                    outcome=outcome,
                )
            )

    async def _wait_until_loaded(self, state: ReplicaState, model: str) -> None:
        began_s = monotonic_s()
        target = self._wanted.versions[model]
        look_at_s = began_s + LOOK_GAP_S
        while (now_s := monotonic_s()) < began_s + LOAD_TIMEOUT_S:
            await asyncio.sleep(POLL_S)
            if state.version_of(model) >= target:
                self._limit(state.info.service).observe(monotonic_s() - began_s)
                self._crashes.loaded(state, model, target)
                return
            if self._replicas.of(state.life) is not state:
                await self._see_whether_replaced(state, model, target)
                return
            if now_s >= look_at_s:
                self._crashes.look_at(state, model, target)
                look_at_s = now_s + LOOK_GAP_S

    async def _see_whether_replaced(self, state: ReplicaState, model: str, version: int) -> None:
        """Find out whether a replica that is listed no more ended under its order."""
        self._crashes.look_at(state, model, version)
        until_s = monotonic_s() + REPLACED_S
        while not self._crashes.was_replaced(state, model, version) and monotonic_s() < until_s:
            await asyncio.sleep(POLL_S)
