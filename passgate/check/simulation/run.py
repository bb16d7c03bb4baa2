"""One simulated run: three real daemons and emulated external systems, callers, operators and faults.

>>> outcome = simulate(Schedule(seed=1), RunLimits(calls_s=3.0, trainer_steps=1))
>>> outcome.verdict.holds(), outcome.unhandled
(True, ())
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

from passgate.check import events as history_events
from passgate.check.events import AnyEvent
from passgate.check.history import HistoryRecorder
from passgate.check.history_verdict import HistoryVerdict, check_history
from passgate.check.output_oracle import emulated_token
from passgate.check.simulation import slow_trainer
from passgate.check.simulation.faults import SimulatedFaults
from passgate.check.simulation.operators import RacingOperator, make_configuration_event
from passgate.check.simulation.parameters import small_deployment
from passgate.check.simulation.process import SimulatedProcess, peer_address
from passgate.check.simulation.schedule import DAEMONS, Schedule
from passgate.check.simulation.service import ClientLink, SimulatedService
from passgate.check.simulation.slow_trainer import SlowTrainer
from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.callers import Callers
from passgate.emulator.run_recorder import RunRecord, RunRecorder
from passgate.emulator.trainer import Trainer
from passgate.emulator.world import SERVICE_LABEL, EmulatedWorld
from passgate.errors import PassgateError
from passgate.peers.memory_transport import LinkDelays, MemoryNetwork
from passgate.schema import MachineInfo, MachineRole, MachineState
from passgate.state.configuration import ConfigurationService
from passgate.state.specs import ModelVersionSpec, PoolSpec

OPERATORS = 2
SETUP_TIMEOUT_S = 5.0
READY_POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 30.0
DRAIN_S = 21.0
"""Time for open calls after the last arrival, and again for open work after the trainers' last lots."""
ATTEMPT_SEPARATOR = "~"
"""Separates a caller's request identifier from the number of a further attempt on a back end."""


class RunLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a run; times are in virtual seconds."""

    calls_s: float = 28.0
    """Time for which callers and operators work."""
    trainer_steps: int = 4
    settle_s: float = 240.0
    """Longest wait for the trainers' last lots after that."""


class RunOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run."""

    schedule: Schedule
    verdict: HistoryVerdict
    unhandled: tuple[str, ...]
    """Descriptions of unhandled exceptions."""
    virtual_s: float
    events: tuple[AnyEvent, ...]

    def holds(self) -> bool:
        """Return whether every guarantee held and no exception was unhandled."""
        return self.verdict.holds() and not self.unhandled

    def failure_names(self) -> list[str]:
        """Return the violated guarantees and the unhandled exceptions."""
        return [*self.verdict.violation_counts(), *sorted(set(self.unhandled))]


def simulate(schedule: Schedule, limits: RunLimits | None = None) -> RunOutcome:
    """Run a schedule in virtual time and check its history; the same schedule gives the same history."""
    return run_virtual(SimulatedRun(schedule, limits or RunLimits()).run())


class SimulatedRun:
    """Builds, runs and records one schedule; needs a running virtual-time event loop."""

    def __init__(self, schedule: Schedule, limits: RunLimits) -> None:
        self.schedule = schedule
        self.limits = limits
        self.recorder = HistoryRecorder()
        self.processes: dict[str, SimulatedProcess] = {}
        self.link = ClientLink()
        self.unhandled: list[str] = []
        self._incarnation_by_daemon: dict[str, int] = dict.fromkeys(DAEMONS, 0)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._reported_leaving: set[str] = set()

    async def run(self) -> RunOutcome:
        """Run to the end and check the history."""
        asyncio.get_running_loop().set_exception_handler(self._record_unhandled)
        await self._build()
        await self._run_workload()
        self.record(history_events.HistoryClosed(time_s=monotonic_s()))
        await self._close()
        events = self.recorder.events
        return RunOutcome(
            schedule=self.schedule,
            verdict=check_history(events, emulated_token),
            unhandled=tuple(self.unhandled),
            virtual_s=round(monotonic_s(), 3),
            events=tuple(events),
        )

    def record(self, event: AnyEvent) -> None:
        """Add an event to the history."""
        self.recorder.record(event)

    # --- building ---------------------------------------------------------------------

    async def _build(self) -> None:
        parameters = small_deployment()
        self.world = EmulatedWorld(parameters, self.schedule.seed, RunRecorder(self._record_run))
        delays = LinkDelays(between_zones_s=parameters.network.between_zones_s)
        self.peers = MemoryNetwork(self.world.random("peers"), delays)
        await self._configure()
        for name in DAEMONS:
            machine = MachineInfo(
                machine_id=name, role=MachineRole.DAEMON, address=peer_address(name), zone=name[0]
            )
            self.world.machine_list.put_immediately(machine)
            self.start_daemon(name)
        await self._wait_until_ready()

    async def _configure(self) -> None:
        """Create the pools and the first model versions, which the daemons find at their start."""
        parameters = self.world.parameters
        engines, apps = parameters.engines, parameters.apps
        log = self.world.log_client(parameters.zones[0], "setup")
        service = ConfigurationService(log, "setup", Random(0))
        service.start()
        for model in engines.models:
            pool = PoolSpec(
                selector=f"{SERVICE_LABEL}={engines.name}", role=MachineRole.ENGINE, model=model.name
            )
            first = ModelVersionSpec(model=model.name, version=model.boot_version)
            await service.put("Pool", model.name, {}, pool, 0, SETUP_TIMEOUT_S)
            name = f"{model.name}-{model.boot_version}"
            await service.put("ModelVersion", name, {"model": model.name}, first, 0, SETUP_TIMEOUT_S)
        pool = PoolSpec(selector=f"{SERVICE_LABEL}={apps.name}", role=MachineRole.APP)
        await service.put("Pool", apps.name, {}, pool, 0, SETUP_TIMEOUT_S)
        await service.close()

    def start_daemon(self, name: str) -> None:
        """Start a new incarnation of a daemon, which replaces the previous one."""
        self._incarnation_by_daemon[name] += 1
        seeds = tuple(peer_address(other) for other in DAEMONS if other != name)
        process = SimulatedProcess(
            name,
            name[0],
            self._incarnation_by_daemon[name],
            self.world,
            self.peers,
            seeds,
            self._record_leaving_machines,
        )
        self.processes[name] = process
        process.start()
        self.spawn(self._record_start(process))

    async def _record_start(self, process: SimulatedProcess) -> None:
        """Record a daemon's start and its configuration changes from when it is ready."""
        while not process.is_ready:
            if process.ended.done() or process.stopping:
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        state = process.components.configuration.state
        self.record(history_events.DaemonStarted(time_s=monotonic_s(), daemon=process.name))
        self.faults.record_if_disconnected(process.name)
        self.record(make_configuration_event(process.name, state))
        process.components.configuration.subscribe(lambda state: self._record_configuration(process))

    async def _wait_until_ready(self) -> None:
        self.faults = SimulatedFaults(self)
        deadline_s = monotonic_s() + READY_TIMEOUT_S
        while not all(process.is_ready for process in self.processes.values()):
            if monotonic_s() > deadline_s:
                self.unhandled.append("daemons did not become ready")
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    # --- running ------------------------------------------------------------------------

    async def _run_workload(self) -> None:
        seed = self.schedule.seed
        callers = Callers(self.world.parameters, self._make_service, self.world.publish, seed, self.record)
        steps = self.limits.trainer_steps
        trainers = [asyncio.ensure_future(self._train(trainer, steps)) for trainer in callers.trainers]
        operators = [
            self.spawn(RacingOperator(name, self.processes, self.world.random(name), self.record).run())
            for name in (f"operator-{number}" for number in range(OPERATORS))
        ]
        late_reader = self._make_slow_trainer(callers)
        late_reader_task = asyncio.ensure_future(late_reader.run())
        self.faults.start(self.schedule.faults)
        await asyncio.gather(
            *(stream.run(self.limits.calls_s, DRAIN_S) for stream in callers.arrival_streams)
        )
        for operator in operators:
            operator.cancel()
        late_reader.stopping = True
        trainers.append(late_reader_task)
        await asyncio.wait(trainers, timeout=self.limits.settle_s)
        await asyncio.sleep(DRAIN_S)
        for trainer in trainers:
            trainer.cancel()
        await asyncio.gather(*trainers, return_exceptions=True)
        self._abandon_lots_ahead()

    async def _train(self, trainer: Trainer, steps: int) -> None:
        """Run a trainer's steps, then publish its last version until a daemon accepts it."""
        await trainer.run(steps)
        service = self._make_service(trainer.parameters.name)
        while True:
            try:
                await service.publish_version(trainer.parameters.model, trainer.version)
            except PassgateError as error:
                await asyncio.sleep(error.retry_after_s or READY_POLL_INTERVAL_S)
            else:
                return

    def _make_slow_trainer(self, callers: Callers) -> SlowTrainer:
        return SlowTrainer(
            self._make_service(slow_trainer.TRAINER_NAME),
            self.world.parameters.engines.models[0],
            lambda: callers.trainers[0].version,
            self.world.random(slow_trainer.TRAINER_NAME),
            self.record,
        )

    def _abandon_lots_ahead(self) -> None:
        """Record as abandoned the lots that trainers opened ahead for steps that they do not take."""
        for event in list(self.recorder.events):
            if (
                not isinstance(event, history_events.LotSubmitted)
                or event.trainer == slow_trainer.TRAINER_NAME
            ):
                continue
            number = int(event.lot_id.rpartition("-")[2])
            if number > self.limits.trainer_steps:
                self.record(history_events.LotAbandoned(time_s=monotonic_s(), lot_id=event.lot_id))

    def _make_service(self, caller: str) -> SimulatedService:
        random = self.world.random(f"service/{caller}")
        return SimulatedService(self.processes, self.world.network, self.link, random, self.record)

    async def _close(self) -> None:
        self.faults.close()
        for process in self.processes.values():
            await process.kill()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.world.close()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run work in the background; it is cancelled at the end of the run, and its errors are recorded."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.unhandled.append(repr(task.exception()))

    # --- recording ----------------------------------------------------------------------

    def _record_run(self, record: RunRecord) -> None:
        started = history_events.BackendRunStarted(
            time_s=record.at_s,
            request_id=record.request_id.split(ATTEMPT_SEPARATOR)[0],
            replica_id=record.replica_id,
        )
        self.record(started)

    def _record_leaving_machines(self, machines: Sequence[MachineInfo]) -> None:
        for machine in machines:
            is_leaving = machine.state is not MachineState.LIVE
            if is_leaving and machine.machine_id not in self._reported_leaving:
                self._reported_leaving.add(machine.machine_id)
                self.record(
                    history_events.BackendLeaving(time_s=monotonic_s(), replica_id=machine.machine_id)
                )

    def _record_configuration(self, process: SimulatedProcess) -> None:
        if not process.ended.done():
            self.record(make_configuration_event(process.name, process.components.configuration.state))

    def _record_unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        task = context.get("task")
        where = f" in {task.get_coro().__qualname__}" if task is not None else ""
        self.unhandled.append((repr(error) if error is not None else str(context.get("message"))) + where)
