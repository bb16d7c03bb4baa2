"""``passgate check sockets``: separate daemons under faults, with a recorded and judged history.

It starts the stand-ins' process and one daemon process in each of three zones
on loopback, lets trainers, callers and operators work, injects faults one after
the other, and judges the history as :mod:`passgate.check.simulation.run` judges
the same deployment in virtual time.

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
from passgate.check.history import HistoryRecorder
from passgate.check.simulation import slow_trainer
from passgate.check.simulation.parameters import small_deployment
from passgate.check.simulation.slow_trainer import SlowTrainer
from passgate.check.socket_attribution import attribute_runs
from passgate.check.socket_client import RecordingClient
from passgate.check.socket_faults import FAULTS, SocketFaults, expected_s, parts_of
from passgate.check.socket_mistake import MistakenProcesses, select_mistake
from passgate.check.socket_observation import observations
from passgate.check.socket_operators import SocketOperator, watch_daemon
from passgate.check.socket_report import SocketReport, find_violations, make_cells
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.clock import monotonic_s
from passgate.demo_deployment import DeploymentProcesses, pool_of_model
from passgate.emulator.admin_client import StandInAdmin
from passgate.emulator.callers import Callers
from passgate.emulator.parameters import DeploymentParameters
from passgate.errors import NotFound, PlatformError
from passgate.operator_client import OperatorClient

BEFORE_FAULTS_S = 2.0
"""Callers work this long before the first fault."""
BETWEEN_FAULTS_S = 1.0
SECONDS_PER_STEP = 4.0
LONGEST_LATE_READ_S = 4.0
"""Longest time between two reads of the late reader."""
REST_S = 8.0
"""Open calls get this long after the last arrival."""
SETTLE_LIMIT_S = 90.0
"""Longest wait for the trainers' last lots after that."""
STORE_CALL_TIMEOUT_S = 5.0
DAEMON_NUMBER = 1
DIRECTORIES = re.compile(r"/(?:[^/\s\"]+/)+(?=[^/\s\"]+\.py)")
"""Directories of source files in tracebacks: reports are kept, and paths differ between machines."""
UNHANDLED_MARKS = ("Traceback", '"level": "ERROR"', '"level": "CRITICAL"')


class RunNotStarted(PlatformError):
    """The processes of a run, or one started again, did not become ready in time."""

    code = "run_not_started"


class SocketScenario(msgspec.Struct, frozen=True, kw_only=True):
    """What a run does."""

    seed: int = 1
    seconds: float = 10.0
    """Least time in which callers and operators work; faults may need longer."""
    faults: tuple[str, ...] = tuple(FAULTS)
    """Names of faults, one after the other; joined by ``+``, at once."""
    load: float = 6.0
    """Interactive calls as a multiple of those of the run in virtual time."""

    late_reader: bool = True
    """Whether a second trainer reads late and twice; it makes the run some ten seconds longer."""
    mistake: str = ""
    """Name of a mistake that the daemons are given on purpose."""

    def check(self) -> None:
        """Raise NotFound when a fault or mistake has no such name."""
        if self.mistake:
            select_mistake(self.mistake)
        for fault in (part for name in self.faults for part in parts_of(name)):
            if fault not in FAULTS:
                raise NotFound(f"no fault is named {fault!r}", fault=fault, known=", ".join(FAULTS))

    def length_s(self) -> float:
        """Return how long callers work."""
        faults_s = sum(expected_s(fault) + BETWEEN_FAULTS_S for fault in self.faults)
        return max(self.seconds, BEFORE_FAULTS_S + faults_s)


async def run_sockets(scenario: SocketScenario) -> tuple[SocketReport, list[AnyEvent]]:
    """Run a scenario and judge it; raises PassgateError when it could not be carried out."""
    scenario.check()
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
        self.parameters = _loaded(small_deployment(), scenario.load)
        kind = MistakenProcesses if scenario.mistake else DeploymentProcesses
        self.processes = kind(self.parameters, http, directory, scenario.seed)
        if isinstance(self.processes, MistakenProcesses):
            self.processes.mistake = scenario.mistake
        self.serving: set[str] = set()
        """Zones whose daemon takes operators' changes."""
        self.exit_codes: list[int | None] = []
        self.started_s = 0.0
        self.faults = SocketFaults(self)
        self._http = http
        self._directory = directory
        self._recorder = HistoryRecorder()
        self._answered: dict[str, str] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}
        self._storing: set[asyncio.Task[None]] = set()

    async def run(self) -> tuple[SocketReport, list[AnyEvent]]:
        """Start all processes, work, end all processes, and judge."""
        try:
            await self._start()
            assert self.processes.stand_ins is not None
            self.admin = StandInAdmin(self._http, self.processes.stand_ins.admin)
            for zone in self.parameters.zones:
                self._note_serving(zone)
            self.started_s = monotonic_s()
            callers = await self._work()
            events = await self._whole_history()
            return self._judge(events, callers), events
        finally:
            for zone in list(self._watches):
                self.end_watch(zone)
            await _cancel(self._storing)
            await self.processes.stop_all()

    async def _start(self) -> None:
        try:
            await self.processes.start()
        except TimeoutError:
            raise RunNotStarted(self._last_words()) from None

    def _last_words(self) -> str:
        daemons = self.processes.daemons.items()
        return "not ready in time: " + "; ".join(f"{zone}: {daemon.output()}" for zone, daemon in daemons)

    def record(self, event: AnyEvent) -> None:
        """Add an event to the history."""
        self._recorder.record(event)

    # --- daemons -------------------------------------------------------------------------

    def daemon(self, zone: str) -> str:
        """Return the name of a zone's daemon."""
        return f"{zone}-{DAEMON_NUMBER}"

    def operator_client(self, zone: str) -> OperatorClient:
        """Return a client of the operators' port of a zone's daemon."""
        return OperatorClient(self._http, self.processes.operators[zone])

    def serving_clients(self) -> list[OperatorClient]:
        """Return clients of all daemons that serve."""
        return [self.operator_client(zone) for zone in sorted(self.serving)]

    def operator(self, name: str) -> SocketOperator:
        """Return an operator who changes objects."""
        random = Random(f"{self.seed}/{name}")
        return SocketOperator(name, self.serving_clients, random, self.record)

    async def start_daemon(self, zone: str) -> None:
        """Start a daemon that ended and wait until it is ready."""
        await self.processes.daemons[zone].start()
        try:
            await self.processes.wait_ready(zone)
        except TimeoutError:
            raise RunNotStarted(self._last_words()) from None
        self._note_serving(zone)

    def _note_serving(self, zone: str) -> None:
        name = self.daemon(zone)
        self.record(history_events.DaemonStarted(time_s=monotonic_s(), daemon=name))
        self.faults.note_started(zone)
        self.serving.add(zone)
        watch = watch_daemon(name, self.operator_client(zone), self.record)
        self._watches[zone] = asyncio.ensure_future(watch)

    def end_watch(self, zone: str) -> None:
        """Ask a daemon no longer: it ends."""
        self.serving.discard(zone)
        self._watches.pop(zone).cancel()

    # --- work ----------------------------------------------------------------------------

    async def _work(self) -> Callers:
        callers = Callers(
            self.parameters,
            self._client,
            self._store_weights,
            self.seed,
            self.record,
            lambda model: pool_of_model(self.parameters, model),
        )
        length_s = self.scenario.length_s()
        steps = max(1, int(length_s / SECONDS_PER_STEP))
        trainers = [asyncio.ensure_future(trainer.run(steps)) for trainer in callers.trainers]
        late = self._late_reader(callers)
        if self.scenario.late_reader:
            trainers.append(asyncio.ensure_future(late.run()))
        operator = asyncio.ensure_future(self.operator("operator").run())
        injecting = asyncio.ensure_future(self._inject())
        streams = [asyncio.ensure_future(stream.run(length_s, REST_S)) for stream in callers.streams]
        tasks = {*trainers, operator, injecting, *streams}
        try:
            await asyncio.gather(injecting, *streams)
            await _cancel({operator})
            late.stopping = True
            done, _ = await asyncio.wait(trainers, timeout=SETTLE_LIMIT_S)
            for trainer in done:
                trainer.result()
        finally:
            await _cancel(tasks)
        self._abandon_lots_ahead(steps)
        self.record(history_events.HistoryClosed(time_s=monotonic_s()))
        return callers

    def _late_reader(self, callers: Callers) -> SlowTrainer:
        return SlowTrainer(
            self._client(slow_trainer.NAME),
            self.parameters.engines.models[0],
            lambda: callers.trainers[0].version,
            Random(f"{self.seed}/{slow_trainer.NAME}"),
            self.record,
            LONGEST_LATE_READ_S,
        )

    async def _inject(self) -> None:
        await asyncio.sleep(BEFORE_FAULTS_S)
        for fault in self.scenario.faults:
            await self.faults.apply(fault)
            await asyncio.sleep(BETWEEN_FAULTS_S)

    def _abandon_lots_ahead(self, steps: int) -> None:
        """Record that trainers opened lots ahead of the last step and do not want them any more."""
        for event in list(self._recorder.events):
            if isinstance(event, history_events.LotSubmitted) and event.trainer != slow_trainer.NAME:
                number = int(event.lot_id.rpartition("-")[2])
                if number > steps:
                    self.record(history_events.LotAbandoned(time_s=monotonic_s(), lot_id=event.lot_id))

    def _client(self, caller: str) -> RecordingClient:
        daemons = {self.daemon(zone): address for zone, address in self.processes.callers.items()}
        return RecordingClient(self._http, daemons, caller, self.record, self._answered)

    def _store_weights(self, model: str, version: int) -> None:
        task = asyncio.ensure_future(self._put_weights(model, version))
        self._storing.add(task)
        task.add_done_callback(self._storing.discard)

    async def _put_weights(self, model: str, version: int) -> None:
        assert self.processes.stand_ins is not None
        size_bytes = self.parameters.model(model).weight_bytes
        call = HttpCall(
            method="PUT",
            url=f"http://{self.processes.stand_ins.platform}/v1/weights/{model}/{version}",
            body=msgspec.json.encode({"size_bytes": size_bytes}),
            send=SendPolicy.REPEAT,
            timeout_s=STORE_CALL_TIMEOUT_S,
        )
        await self._http.fetch(call)

    # --- verdict ---------------------------------------------------------------------------

    async def _whole_history(self) -> list[AnyEvent]:
        """Return all events in the order of the clock that all processes of a machine share."""
        runs = await self.admin.runs()
        seen = self._recorder.events
        started = attribute_runs(runs, seen, self._answered)
        return sorted([*seen, *started], key=lambda event: event.time_s)

    def _judge(self, events: list[AnyEvent], callers: Callers) -> SocketReport:
        found = find_violations(events)
        tally = callers.tally
        errors: Counter[str] = Counter()
        for caller in [*tally.trainers, *tally.arrivals]:
            errors.update(caller.errors)
        return SocketReport(
            seed=self.seed,
            mistake=self.scenario.mistake,
            seconds=round(monotonic_s() - self.started_s, 1),
            events=len(events),
            faults=tuple(self.faults.notes),
            observed={promise: len(times) for promise, times in observations(events).items()},
            violations={promise: len(broken) for promise, broken in found.items() if broken},
            cells=make_cells(events, found, self.faults.notes, self.started_s),
            exit_codes=tuple(self.exit_codes),
            unhandled=unhandled_errors(self._directory / self.parameters.name),
            in_force_max_s=longest_adoption_s(events),
            trainer_steps=sum(trainer.steps for trainer in tally.trainers),
            calls_answered=sum(stream.answered for stream in tally.arrivals),
            calls_given_up=sum(stream.given_up + stream.pending for stream in tally.arrivals),
            errors=dict(sorted(errors.items())),
        )


def _loaded(parameters: DeploymentParameters, load: float) -> DeploymentParameters:
    arrivals = [
        msgspec.structs.replace(stream, rate_per_s=load * stream.rate_per_s) for stream in parameters.arrivals
    ]
    return msgspec.structs.replace(parameters, arrivals=tuple(arrivals))


def longest_adoption_s(events: list[AnyEvent]) -> float | None:
    """Return the longest time from acceptance of a change until each daemon reported it.

    Only reports within the history count; None when no change was reported by all daemons.
    """
    reports = [event for event in events if isinstance(event, ConfigurationInForce)]
    daemons = {report.daemon for report in reports}
    longest_s = None
    for change in events:
        if not isinstance(change, ConfigurationAccepted):
            continue
        first = {
            daemon: next((r for r in reports if r.daemon == daemon and r.revision >= change.revision), None)
            for daemon in daemons
        }
        if first and all(first.values()):
            last_s = max(report.time_s for report in first.values() if report is not None)
            longest_s = max(longest_s or 0.0, round(last_s - change.time_s, 3))
    return longest_s


def unhandled_errors(directory: Path) -> tuple[str, ...]:
    """Return the lines of daemons' logs that tell of exceptions which nothing handled."""
    lines: set[str] = set()
    for file in sorted(directory.glob("*.log")):
        for line in file.read_text(errors="replace").splitlines():
            if any(mark in line for mark in UNHANDLED_MARKS):
                lines.add(f"{file.stem}: {DIRECTORIES.sub('', line)}")
    return tuple(sorted(lines))


async def _cancel(tasks: set[asyncio.Future[Any]]) -> None:
    for task in list(tasks):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
