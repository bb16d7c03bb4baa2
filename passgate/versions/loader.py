"""Gives replicas the orders that bring them to the wanted versions of the weights.

The replica's report is read before each order, so that an order that was answered
late or not at all can not be carried out after a newer one: it names the number of
orders that the replica has taken, and the replica compares.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, OrderSent, VersionWanted
from passgate.errors import PassgateError
from passgate.gateway.replicas import ReplicaState, ReplicaTable
from passgate.versions.leadership import Leadership

TICK_S = 0.05
LOADS_AT_ONCE = 2
"""Replicas of one service that load at the same time; more would make each slower."""
LOAD_TIMEOUT_S = 6.0
"""Time after which an order that shows no effect is looked into again."""
TAKEN = frozenset({200, 202})
"""Statuses of an order that is being carried out or already holds."""
POLL_S = 0.25
RETRY_S = 0.5


class ReplicaReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica says of itself."""

    orders_taken: int
    busy: bool
    model_versions: dict[str, int]


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


class LoadChoice(msgspec.Struct, frozen=True, kw_only=True):
    """A load that is wanted."""

    state: ReplicaState
    model: str
    needed: bool
    """Whether the replica can serve no new job of the model without it."""


def choose_loads(
    model: str, version: int, lag: int, holders: list[ReplicaState], now_s: float
) -> list[LoadChoice]:
    """Return the loads of one model that are wanted.

    Replicas more than ``lag`` versions behind must load.  Beyond these, enough load so
    that the model's share of the replicas holds the newest version: all of them when
    the model has them alone, half of them when two models share them.  So each named
    version costs about one model's share of loads, and the others load with the next.
    """
    needed = [state for state in holders if state.version_of(model) < version - lag]
    newest = [state for state in holders if state.version_of(model) >= version]
    wanted = sum(1.0 / max(len(state.info.model_versions), 1) for state in holders)
    spare = int(wanted) - len(newest) - len(needed)
    others = [state for state in holders if version - lag <= state.version_of(model) < version]
    others.sort(key=lambda state: (state.version_of(model), state.load(now_s)))
    needed.sort(key=lambda state: (state.version_of(model), state.load(now_s)))
    return [LoadChoice(state=state, model=model, needed=True) for state in needed] + [
        LoadChoice(state=state, model=model, needed=False) for state in others[: max(spare, 0)]
    ]


class WantedVersions:
    """The newest version that was named for each model."""

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions
        self.versions: dict[str, int] = {}

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
        decisions: DecisionLog,
    ) -> None:
        self._wanted = wanted
        self._replicas = replicas
        self._leadership = leadership
        self._control = control
        self._holder = holder
        self._decisions = decisions
        self.lag: dict[str, int] = {}
        """Model to how many versions behind the newest its last job allowed."""
        self._loading: dict[str, asyncio.Task[None]] = {}
        self._retry_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Order until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._loading.values():
                task.cancel()

    def tick(self) -> None:
        """Start loads where versions are missing and there is room for a load."""
        self._loading = {key: task for key, task in self._loading.items() if not task.done()}
        if not self._leadership.may_order():
            return
        now_s = monotonic_s()
        for choice in self._choices(now_s):
            state = choice.state
            if self._loads_in(state.info.service) >= LOADS_AT_ONCE or state.info.replica_id in self._loading:
                continue
            task = asyncio.get_running_loop().create_task(self._load(state, choice.model))
            self._loading[state.info.replica_id] = task

    def _choices(self, now_s: float) -> list[LoadChoice]:
        """Return the loads that are wanted now, the most urgent first."""
        choices: list[LoadChoice] = []
        for model, version in self._wanted.versions.items():
            holders = [
                state
                for state in self._replicas.all()
                if model in state.info.model_versions and not state.info.draining
            ]
            choices += choose_loads(model, version, self.lag.get(model, 0), holders, now_s)
        choices.sort(key=lambda choice: not choice.needed)
        return [choice for choice in choices if self._may_load(choice.state, now_s)]

    def _loads_in(self, service: str) -> int:
        states = (self._replicas.get(replica_id) for replica_id in self._loading)
        return sum(1 for state in states if state is not None and state.info.service == service)

    def _may_load(self, state: ReplicaState, now_s: float) -> bool:
        return now_s >= self._retry_at_s.get(state.info.replica_id, 0.0)

    async def _load(self, state: ReplicaState, model: str) -> None:
        replica_id = state.info.replica_id
        try:
            report = await self._report(state)
            missing = report.model_versions.get(model, 0) < self._wanted.versions[model]
            if report.busy or not missing or not self._leadership.may_order():
                self._retry_at_s[replica_id] = monotonic_s() + POLL_S
                return
            if await self._order(state, model, report):
                await self._wait_until_loaded(state, model)
            else:
                self._retry_at_s[replica_id] = monotonic_s() + RETRY_S
        except PassgateError:
            self._retry_at_s[replica_id] = monotonic_s() + RETRY_S

    async def _report(self, state: ReplicaState) -> ReplicaReport:
        report = await self._control.report(state.info.replica_id, state.info.address)
        state.observed_versions.update(report.model_versions)
        return report

    async def _order(self, state: ReplicaState, model: str, report: ReplicaReport) -> bool:
        """Send an order; return whether the replica took it or already has the version."""
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
        until_s = monotonic_s() + LOAD_TIMEOUT_S
        target = self._wanted.versions[model]
        while monotonic_s() < until_s and state.version_of(model) < target:
            await asyncio.sleep(POLL_S)
            if self._replicas.get(state.info.replica_id) is not state:
                return
