"""Run of separate daemon processes under faults, whose history is recorded and checked.

It starts a process with the emulated external systems and a daemon process for each of
three zones on loopback.  Trainers, callers and operators use the daemons while faults are
injected one after the other.  The history is checked like that of the same deployment
in virtual time, see :mod:`passgate.check.simulation.run`.

::

    report, events = asyncio.run(run_sockets(SocketScenario(seed=1, faults=("daemon_kill",))))
"""

from __future__ import annotations

import asyncio
import re
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from passgate.check import events as history_events
from passgate.check.events import AnyEvent, ConfigurationAccepted, ConfigurationInForce
from passgate.check.guarantee_coverage import observations
from passgate.check.history import HistoryRecorder
from passgate.check.simulation import slow_trainer
from passgate.check.simulation.parameters import small_deployment
from passgate.check.simulation.slow_trainer import SlowTrainer
from passgate.check.socket_attribution import attribute_runs
from passgate.check.socket_client import RecordingClient
from passgate.check.socket_faults import FAULTS, SocketFaults, expected_duration_s, split_simultaneous
from passgate.check.socket_mistake import ProcessesWithMistake, find_mistake
from passgate.check.socket_operators import SocketOperator, record_revisions
from passgate.check.socket_report import SocketReport, find_violations, make_cells
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.clock import monotonic_s
from passgate.demo_deployment import DeploymentProcesses, pool_name_of_model
from passgate.emulator.admin_client import EmulatorAdminClient
from passgate.emulator.callers import Callers
from passgate.emulator.parameters import DeploymentParameters
from passgate.errors import NotFound, PlatformError
from passgate.operator_client import OperatorClient

WARM_UP_S = 2.0
"""Time for which callers work before the first fault."""
BETWEEN_FAULTS_S = 1.0
TRAINER_STEP_S = 4.0
"""Duration of the workload per step that each trainer has to do."""
MAX_READ_PAUSE_S = 4.0
"""Longest pause between two reads of the late reader."""
DRAIN_S = 8.0
"""Time that open calls get after the last arrival."""
LOT_TIMEOUT_S = 90.0
"""Longest wait for the trainers' last lots after that."""
STORE_CALL_TIMEOUT_S = 5.0
DAEMON_NUMBER = 1
SOURCE_DIRECTORIES = re.compile(r"/(?:[^/\s\"]+/)+(?=[^/\s\"]+\.py)")
"""Directories of source files in tracebacks; reports leave them out, as they differ between machines."""
UNHANDLED_ERROR_MARKERS = ("Traceback", '"level": "ERROR"', '"level": "CRITICAL"')


class RunNotStarted(PlatformError):
    """A process did not become ready in time, at the start of a run or when it was started again."""

    code = "run_not_started"


class SocketScenario(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a run."""

    seed: int = 1
    seconds: float = 10.0
    """Minimum time in which callers and operators work; faults may need longer."""
    faults: tuple[str, ...] = tuple(FAULTS)
    """Names of faults, injected one after the other; names joined by ``+`` are injected together."""
    load: float = 6.0
    """Rate of interactive calls, as a multiple of that of a simulated run."""

    late_reader: bool = True
    """Whether a further trainer reads pages late and repeatedly, so that samples become stale."""
    mistake: str = ""
    """Name of a mistake to seed in the daemons; empty for the unchanged code."""

    def validate(self) -> None:
        """Raise NotFound if a fault or the mistake does not exist."""
        if self.mistake:
            find_mistake(self.mistake)
        for fault in (name for joined in self.faults for name in split_simultaneous(joined)):
            if fault not in FAULTS:
                raise NotFound(f"no fault is named {fault!r}", fault=fault, known=", ".join(FAULTS))

    def workload_duration_s(self) -> float:
        """Return the time in seconds for which callers work."""
        faults_s = sum(expected_duration_s(fault) + BETWEEN_FAULTS_S for fault in self.faults)
        return max(self.seconds, WARM_UP_S + faults_s)


async def run_sockets(scenario: SocketScenario) -> tuple[SocketReport, list[AnyEvent]]:
    """Run a scenario and check its history; raises PassgateError if the run itself failed."""
    scenario.validate()
    http = HttpClient()
    try:
        with tempfile.TemporaryDirectory(prefix="passgate-check-") as directory:
            return await SocketRun(scenario, http, Path(directory)).run()
    finally:
        http.close()


class SocketRun:
    """Processes, callers, operators and history of one run."""

    def __init__(self, scenario: SocketScenario, http: HttpClient, directory: Path) -> None:
        self.scenario = scenario
        self.seed = scenario.seed
        self.parameters = _scale_arrivals(small_deployment(), scenario.load)
        processes_class = ProcessesWithMistake if scenario.mistake else DeploymentProcesses
        self.processes = processes_class(self.parameters, http, directory, scenario.seed)
        if isinstance(self.processes, ProcessesWithMistake):
            self.processes.mistake = scenario.mistake
        self.serving_zones: set[str] = set()
        """Zones whose daemon serves and is not about to be ended."""
        self.exit_codes: list[int | None] = []
        self.started_s = 0.0
        self.faults = SocketFaults(self)
        self._http = http
        self._directory = directory
        self._recorder = HistoryRecorder()
        self._caller_id_by_passgate_id: dict[str, str] = {}
        self._watch_by_zone: dict[str, asyncio.Task[None]] = {}
        self._weight_uploads: set[asyncio.Task[None]] = set()

    async def run(self) -> tuple[SocketReport, list[AnyEvent]]:
        """Run the workload on new processes, end them and return the report and the history."""
        try:
            await self._start()
            assert self.processes.stand_in_addresses is not None
            self.admin = EmulatorAdminClient(self._http, self.processes.stand_in_addresses.admin)
            for zone in self.parameters.zones:
                self._record_serving(zone)
            self.started_s = monotonic_s()
            callers = await self._run_workload()
            events = await self._merge_history()
            return self._make_report(events, callers), events
        finally:
            for zone in list(self._watch_by_zone):
                self.stop_watching(zone)
            await _cancel_all(self._weight_uploads)
            await self.processes.stop_all()

    async def _start(self) -> None:
        try:
            await self.processes.start()
        except TimeoutError:
            raise RunNotStarted(self._describe_daemon_outputs()) from None

    def _describe_daemon_outputs(self) -> str:
        daemons = self.processes.daemon_by_zone.items()
        return "not ready in time: " + "; ".join(
            f"{zone}: {daemon.read_last_lines()}" for zone, daemon in daemons
        )

    def record(self, event: AnyEvent) -> None:
        """Add an event to the history."""
        self._recorder.record(event)

    # --- daemons -------------------------------------------------------------------------

    def daemon_name(self, zone: str) -> str:
        """Return the name of a zone's daemon."""
        return f"{zone}-{DAEMON_NUMBER}"

    def operator_client(self, zone: str) -> OperatorClient:
        """Return a client of the operator port of a zone's daemon."""
        return OperatorClient(self._http, self.processes.operator_address_by_zone[zone])

    def serving_clients(self) -> list[OperatorClient]:
        """Return operator clients of all daemons that serve."""
        return [self.operator_client(zone) for zone in sorted(self.serving_zones)]

    def make_operator(self, name: str) -> SocketOperator:
        """Return an operator; its choices depend on the run's seed and its name."""
        random = Random(f"{self.seed}/{name}")
        return SocketOperator(name, self.serving_clients, random, self.record)

    async def start_daemon(self, zone: str) -> None:
        """Start a daemon that has ended and wait until it is ready; raises RunNotStarted."""
        await self.processes.daemon_by_zone[zone].start()
        try:
            await self.processes.wait_until_ready(zone)
        except TimeoutError:
            raise RunNotStarted(self._describe_daemon_outputs()) from None
        self._record_serving(zone)

    def _record_serving(self, zone: str) -> None:
        name = self.daemon_name(zone)
        self.record(history_events.DaemonStarted(time_s=monotonic_s(), daemon=name))
        self.faults.record_if_disconnected(zone)
        self.serving_zones.add(zone)
        watch = record_revisions(name, self.operator_client(zone), self.record)
        self._watch_by_zone[zone] = asyncio.ensure_future(watch)

    def stop_watching(self, zone: str) -> None:
        """Stop using and polling a daemon that is about to end."""
        self.serving_zones.discard(zone)
        self._watch_by_zone.pop(zone).cancel()

    # --- work ----------------------------------------------------------------------------

    async def _run_workload(self) -> Callers:
        callers = Callers(
            self.parameters,
            self._make_client,
            self._store_weights,
            self.seed,
            self.record,
            lambda model: pool_name_of_model(self.parameters, model),
        )
        duration_s = self.scenario.workload_duration_s()
        steps = max(1, int(duration_s / TRAINER_STEP_S))
        trainers = [asyncio.ensure_future(trainer.run(steps)) for trainer in callers.trainers]
        late_reader = self._make_late_reader(callers)
        if self.scenario.late_reader:
            trainers.append(asyncio.ensure_future(late_reader.run()))
        operator = asyncio.ensure_future(self.make_operator("operator").run())
        injection = asyncio.ensure_future(self._inject())
        streams = [
            asyncio.ensure_future(stream.run(duration_s, DRAIN_S)) for stream in callers.arrival_streams
        ]
        tasks = {*trainers, operator, injection, *streams}
        try:
            await asyncio.gather(injection, *streams)
            await _cancel_all({operator})
            late_reader.stopping = True
            done, _ = await asyncio.wait(trainers, timeout=LOT_TIMEOUT_S)
            for trainer in done:
                trainer.result()
        finally:
            await _cancel_all(tasks)
        self._abandon_lots_ahead(steps)
        self.record(history_events.HistoryClosed(time_s=monotonic_s()))
        return callers

    def _make_late_reader(self, callers: Callers) -> SlowTrainer:
        return SlowTrainer(
            self._make_client(slow_trainer.TRAINER_NAME),
            self.parameters.engines.models[0],
            lambda: callers.trainers[0].version,
            Random(f"{self.seed}/{slow_trainer.TRAINER_NAME}"),
            self.record,
            MAX_READ_PAUSE_S,
        )

    async def _inject(self) -> None:
        await asyncio.sleep(WARM_UP_S)
        for fault in self.scenario.faults:
            await self.faults.apply(fault)
            await asyncio.sleep(BETWEEN_FAULTS_S)

    def _abandon_lots_ahead(self, steps: int) -> None:
        """Record as abandoned the lots that trainers opened ahead for steps that they do not take."""
        for event in list(self._recorder.events):
            if isinstance(event, history_events.LotSubmitted) and event.trainer != slow_trainer.TRAINER_NAME:
                number = int(event.lot_id.rpartition("-")[2])
                if number > steps:
                    self.record(history_events.LotAbandoned(time_s=monotonic_s(), lot_id=event.lot_id))

    def _make_client(self, caller: str) -> RecordingClient:
        addresses = {
            self.daemon_name(zone): address for zone, address in self.processes.caller_address_by_zone.items()
        }
        return RecordingClient(self._http, addresses, caller, self.record, self._caller_id_by_passgate_id)

    def _store_weights(self, model: str, version: int) -> None:
        task = asyncio.ensure_future(self._put_weights(model, version))
        self._weight_uploads.add(task)
        task.add_done_callback(self._weight_uploads.discard)

    async def _put_weights(self, model: str, version: int) -> None:
        assert self.processes.stand_in_addresses is not None
        size_bytes = self.parameters.model(model).weight_bytes
        call = HttpCall(
            method="PUT",
            url=f"http://{self.processes.stand_in_addresses.platform}/v1/weights/{model}/{version}",
            body=msgspec.json.encode({"size_bytes": size_bytes}),
            send=SendPolicy.REPEAT,
            timeout_s=STORE_CALL_TIMEOUT_S,
        )
        await self._http.fetch(call)

    # --- verdict ---------------------------------------------------------------------------

    async def _merge_history(self) -> list[AnyEvent]:
        """Return the recorded events and the runs on back ends in the order of their times.

        All processes use the same monotonic clock of the machine.
        """
        run_starts = await self.admin.runs()
        recorded = self._recorder.events
        started = attribute_runs(run_starts, recorded, self._caller_id_by_passgate_id)
        return sorted([*recorded, *started], key=lambda event: event.time_s)

    def _make_report(self, events: list[AnyEvent], callers: Callers) -> SocketReport:
        violations_by_guarantee = find_violations(events)
        outcomes = callers.outcomes
        errors: Counter[str] = Counter()
        for caller in [*outcomes.trainers, *outcomes.arrivals]:
            errors.update(caller.errors)
        return SocketReport(
            seed=self.seed,
            mistake=self.scenario.mistake,
            seconds=round(monotonic_s() - self.started_s, 1),
            events=len(events),
            faults=tuple(self.faults.records),
            observed={guarantee: len(times) for guarantee, times in observations(events).items()},
            violations={
                guarantee: len(found) for guarantee, found in violations_by_guarantee.items() if found
            },
            cells=make_cells(events, violations_by_guarantee, self.faults.records, self.started_s),
            exit_codes=tuple(self.exit_codes),
            unhandled=find_unhandled_errors(self._directory / self.parameters.name),
            in_force_max_s=max_adoption_s(events),
            trainer_steps=sum(trainer.steps for trainer in outcomes.trainers),
            calls_answered=sum(stream.answered for stream in outcomes.arrivals),
            calls_given_up=sum(stream.given_up + stream.pending for stream in outcomes.arrivals),
            errors=dict(sorted(errors.items())),
        )


def _scale_arrivals(parameters: DeploymentParameters, load: float) -> DeploymentParameters:
    arrivals = [
        msgspec.structs.replace(stream, rate_per_s=load * stream.rate_per_s) for stream in parameters.arrivals
    ]
    return msgspec.structs.replace(parameters, arrivals=tuple(arrivals))


def max_adoption_s(events: list[AnyEvent]) -> float | None:
    """Return the longest time in seconds from a change's acceptance until every daemon reported it.

    Changes that some daemon never reported are left out; None if no change is left.
    """
    reports = [event for event in events if isinstance(event, ConfigurationInForce)]
    daemons = {report.daemon for report in reports}
    longest_s = None
    for change in events:
        if not isinstance(change, ConfigurationAccepted):
            continue
        first_by_daemon = {
            daemon: next((r for r in reports if r.daemon == daemon and r.revision >= change.revision), None)
            for daemon in daemons
        }
        if first_by_daemon and all(first_by_daemon.values()):
            last_s = max(report.time_s for report in first_by_daemon.values() if report is not None)
            longest_s = max(longest_s or 0.0, round(last_s - change.time_s, 3))
    return longest_s


def find_unhandled_errors(directory: Path) -> tuple[str, ...]:
    """Return the log lines of unhandled exceptions, each after the name of its log file."""
    lines: set[str] = set()
    for file in sorted(directory.glob("*.log")):
        for line in file.read_text(errors="replace").splitlines():
            if any(marker in line for marker in UNHANDLED_ERROR_MARKERS):
                lines.add(f"{file.stem}: {SOURCE_DIRECTORIES.sub('', line)}")
    return tuple(sorted(lines))


async def _cancel_all(tasks: set[asyncio.Future[Any]]) -> None:
    for task in list(tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
