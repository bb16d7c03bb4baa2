"""``passgate demo``: both deployments of the examples on this machine, over real sockets.

For each deployment it starts the stand-ins of the outside systems and three
daemons, configures them, lets trainers and applications work, kills one daemon
and stops another as planned, and then judges what the callers were given.  The
last lines of its output are one JSON object for each deployment.
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskID, TextColumn, TimeElapsedColumn
from rich.table import Table

from passgate.caller_client import CallerClient
from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.demo_deployment import DeploymentProcesses, pool_of_model
from passgate.emulator.admin_client import StandInAdmin
from passgate.emulator.callers import Callers
from passgate.emulator.parameters import DeploymentParameters, TrainerParameters, load_deployment
from passgate.emulator.tally import Tally
from passgate.errors import PassgateError
from passgate.lab.measures import LatencySummary

DEPLOYMENTS = ("olhar", "huon")
DURATION_S = 32.0
REST_S = 10.0
"""Open interactive calls get this long to end after the last arrival."""
SHORTEST_DURATION_S = 10.0
KILL_AT_SHARE = 0.25
KILLED_FOR_S = 1.5
STOP_AT_SHARE = 0.55
DEMO_TRAIN_S = 4.0
DEMO_MAX_TOKENS = 160
DEMO_READ_WAIT_S = 2.0
PROGRESS_S = 0.25
P99_SHARE = 0.99
STORE_CALL_TIMEOUT_S = 5.0
EXIT_VIOLATIONS = 1
DIGITS = 3


class DeploymentResult(msgspec.Struct, frozen=True, kw_only=True):
    """Last line of the demonstration for one deployment."""

    deployment: str
    duration_s: float
    steps: int
    samples_delivered: int
    samples_lost: int
    samples_doubled: int
    samples_over_staleness: int
    samples_failed: int
    """Slots that passgate itself declared as failed."""
    calls_answered: int
    calls_given_up: int
    calls_late: int
    outcomes_lost: int
    """Not-repeatable calls whose only run's outcome was lost with its daemon."""
    answers_wrong: int
    interactive_p50_ms: float
    interactive_p99_ms: float
    p99_ms_by_callers: dict[str, float]
    """The same for each kind of caller; generated answers take longer than calls of applications."""
    trainer_idle_share: float
    staleness_p99: int
    refused_not_run: int
    not_run_that_ran: int
    run_more_than_once: int
    """Not-repeatable calls with more than one effect."""
    planned_stop_exit_code: int | None
    violations: int
    errors: dict[str, int]
    """Typed errors that callers saw before their retries, by code."""


def demo_parameters(name: str) -> DeploymentParameters:
    """Return a deployment at its size of today, with training steps short enough to show several."""
    parameters = load_deployment(name)
    trainers = tuple(_short_steps(trainer) for trainer in parameters.trainers)
    return msgspec.structs.replace(parameters, trainers=trainers)


def _short_steps(trainer: TrainerParameters) -> TrainerParameters:
    return msgspec.structs.replace(
        trainer,
        train_s=DEMO_TRAIN_S,
        max_tokens=min(trainer.max_tokens, DEMO_MAX_TOKENS),
        read_wait_s=DEMO_READ_WAIT_S,
        publish_every_steps=1,
    )


class DeploymentRun:
    """One deployment from start to verdict."""

    def __init__(self, name: str, directory: Path, http: HttpClient, seed: int, duration_s: float) -> None:
        self.parameters = demo_parameters(name)
        self._http = http
        self._duration_s = duration_s
        self._processes = DeploymentProcesses(self.parameters, http, directory, seed)
        self._storing: set[asyncio.Task[None]] = set()
        self._not_run_ids: list[str] = []
        self._planned_stop_exit_code: int | None = None
        self._callers = Callers(
            self.parameters,
            self._client,
            self._store_weights,
            seed,
            pool_of=lambda model: pool_of_model(self.parameters, model),
        )
        self.phase = "starting"

    @property
    def tally(self) -> Tally:
        """Outcomes so far."""
        return self._callers.tally

    async def run(self) -> DeploymentResult:
        """Start everything, run callers and faults, and judge."""
        try:
            await self._processes.start()
            self.phase = "running"
            faults = asyncio.ensure_future(self._faults())
            await self._callers.run(self._duration_s, REST_S)
            self.phase = "judging"
            await faults
            return await self._judge()
        finally:
            await self._processes.stop_all()
            self.phase = "done"

    def _client(self, caller: str) -> CallerClient:
        return _LateAddresses(self._http, self._processes, caller, self._not_run_ids.append)

    # --- weights -------------------------------------------------------------------------

    def _store_weights(self, model: str, version: int) -> None:
        task = asyncio.ensure_future(self._put_weights(model, version))
        self._storing.add(task)
        task.add_done_callback(self._storing.discard)

    async def _put_weights(self, model: str, version: int) -> None:
        assert self._processes.stand_ins is not None
        size_bytes = self.parameters.model(model).weight_bytes
        call = HttpCall(
            method="PUT",
            url=f"http://{self._processes.stand_ins.platform}/v1/weights/{model}/{version}",
            body=msgspec.json.encode({"size_bytes": size_bytes}),
            send=SendPolicy.REPEAT,
            timeout_s=STORE_CALL_TIMEOUT_S,
        )
        await self._http.fetch(call)

    # --- faults --------------------------------------------------------------------------

    async def _faults(self) -> None:
        """Kill the second zone's daemon and restart it; later stop the third's as planned."""
        _, killed, stopped = self.parameters.zones
        processes = self._processes
        await asyncio.sleep(self._duration_s * KILL_AT_SHARE)
        self.phase = f"{killed} killed"
        await processes.daemons[killed].kill()
        await asyncio.sleep(KILLED_FOR_S)
        await processes.daemons[killed].start()
        await processes.wait_ready(killed)
        self.phase = f"{killed} back"
        await asyncio.sleep(self._duration_s * (STOP_AT_SHARE - KILL_AT_SHARE) - KILLED_FOR_S)
        self.phase = f"{stopped} stopping"
        self._planned_stop_exit_code = await processes.daemons[stopped].stop()
        await processes.daemons[stopped].start()
        await processes.wait_ready(stopped)
        self.phase = "running"

    # --- verdict -------------------------------------------------------------------------

    async def _judge(self) -> DeploymentResult:
        assert self._processes.stand_ins is not None
        state = await StandInAdmin(self._http, self._processes.stand_ins.admin).state()
        trainers, arrivals = self.tally.trainers, self.tally.arrivals
        not_run_that_ran = sum(1 for request_id in self._not_run_ids if state.runs.get(request_id, 0))
        latencies = LatencySummary.of([item for stream in arrivals for item in stream.latencies_s])
        lost = sum(trainer.lost for trainer in trainers)
        doubled = sum(trainer.doubled for trainer in trainers)
        over_staleness = sum(trainer.over_staleness for trainer in trainers)
        wrong = sum(item.wrong for item in [*trainers, *arrivals])
        cut_off = self._planned_stop_exit_code != 0
        repeated = len(state.repeated_effects)
        return DeploymentResult(
            deployment=self.parameters.name,
            duration_s=self._duration_s,
            steps=sum(trainer.steps for trainer in trainers),
            samples_delivered=sum(trainer.delivered for trainer in trainers),
            samples_lost=lost,
            samples_doubled=doubled,
            samples_over_staleness=over_staleness,
            samples_failed=sum(trainer.failed for trainer in trainers),
            calls_answered=sum(stream.answered for stream in arrivals),
            calls_given_up=sum(stream.given_up + stream.pending for stream in arrivals),
            calls_late=sum(stream.late for stream in arrivals),
            outcomes_lost=sum(stream.outcome_lost for stream in arrivals),
            answers_wrong=wrong,
            interactive_p50_ms=round(latencies.p50_ms, DIGITS),
            interactive_p99_ms=round(latencies.p99_ms, DIGITS),
            p99_ms_by_callers={
                stream.name: round(LatencySummary.of(stream.latencies_s).p99_ms, DIGITS)
                for stream in arrivals
            },
            trainer_idle_share=round(_mean([trainer.idle_share() for trainer in trainers]), DIGITS),
            staleness_p99=_staleness_p99(self.tally),
            refused_not_run=len(self._not_run_ids),
            not_run_that_ran=not_run_that_ran,
            run_more_than_once=repeated,
            planned_stop_exit_code=self._planned_stop_exit_code,
            errors=_errors(self.tally),
            violations=lost + doubled + over_staleness + wrong + not_run_that_ran + repeated + cut_off,
        )


class _LateAddresses(CallerClient):
    """A client made before the daemons' addresses are known."""

    def __init__(
        self, http: HttpClient, processes: DeploymentProcesses, caller: str, on_not_run: Callable[[str], None]
    ) -> None:
        super().__init__(http, [], caller, on_not_run=on_not_run)
        self._processes = processes

    @property
    def daemon(self) -> str:
        """Address of the daemon that the next call goes to."""
        if not self._addresses:
            self._addresses = list(self._processes.callers.values())
        return super().daemon


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _errors(tally: Tally) -> dict[str, int]:
    total: Counter[str] = Counter()
    for caller in [*tally.trainers, *tally.arrivals]:
        total.update(caller.errors)
    return dict(sorted(total.items()))


def _staleness_p99(tally: Tally) -> int:
    counts: dict[int, int] = {}
    for trainer in tally.trainers:
        for behind, count in trainer.staleness.items():
            counts[behind] = counts.get(behind, 0) + count
    wanted = P99_SHARE * sum(counts.values())
    seen = 0
    for behind in sorted(counts):
        seen += counts[behind]
        if seen >= wanted:
            return behind
    return 0


def _show_progress(progress: Progress, task: TaskID, run: DeploymentRun, elapsed_s: float) -> None:
    tally = run.tally
    samples = sum(trainer.delivered for trainer in tally.trainers)
    answers = sum(stream.answered for stream in tally.arrivals)
    status = f"{run.phase}: {samples} samples, {answers} answers"
    progress.update(task, completed=elapsed_s, status=status)


async def _run_all(
    names: tuple[str, ...], seed: int, duration_s: float, directory: Path, console: Console
) -> list[DeploymentResult]:
    http = HttpClient()
    runs = [DeploymentRun(name, directory, http, seed, duration_s) for name in names]
    columns = (
        TextColumn("{task.description:<6}"),
        BarColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.fields[status]}"),
    )
    with Progress(*columns, console=console) as progress:
        tasks = [progress.add_task(name, total=duration_s, status="") for name in names]
        pairs = zip(tasks, runs, strict=True)
        watching = [asyncio.ensure_future(_watch(progress, task, run)) for task, run in pairs]
        try:
            async with asyncio.TaskGroup() as group:
                results = [group.create_task(run.run()) for run in runs]
        except* PassgateError as failed:
            raise _first_failure(failed) from None
        finally:
            for watcher in watching:
                watcher.cancel()
            http.close()
    return [result.result() for result in results]


async def _watch(progress: Progress, task: TaskID, run: DeploymentRun) -> None:
    elapsed_s = 0.0
    while True:
        _show_progress(progress, task, run, elapsed_s)
        await asyncio.sleep(PROGRESS_S)
        if run.phase != "starting":
            elapsed_s += PROGRESS_S


def _first_failure(failed: BaseExceptionGroup) -> PassgateError:
    """Return the first typed error of a group."""
    first = failed.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return _first_failure(first)
    assert isinstance(first, PassgateError)
    return first


def _table(results: list[DeploymentResult]) -> Table:
    table = Table("measure", *(result.deployment for result in results), title="passgate demo")
    for name in DeploymentResult.__struct_fields__[1:]:
        table.add_row(name, *(str(getattr(result, name)) for result in results))
    return table


def demo(seed: int = 1, duration_s: float = DURATION_S, deployment: str = "", keep_logs: str = "") -> None:
    """Run both example deployments on this machine; exit code 1 when a promise was broken.

    Args:
        seed: seed of the emulated outside systems and callers.
        duration_s: seconds in which callers work.
        deployment: run only this one, olhar or huon.
        keep_logs: new directory that keeps the logs of all processes.
    """
    names = (deployment,) if deployment else DEPLOYMENTS
    console = Console(stderr=True)
    with contextlib.ExitStack() as stack:
        if keep_logs:
            directory = Path(keep_logs)
            directory.mkdir(parents=True)
        else:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="passgate-demo-")))
        work: Coroutine[Any, Any, list[DeploymentResult]]
        work = _run_all(names, seed, max(SHORTEST_DURATION_S, duration_s), directory, console)
        results = asyncio.run(work)
    Console().print(_table(results))
    for result in results:
        print(msgspec.json.encode(result).decode())
    if any(result.violations for result in results):
        raise SystemExit(EXIT_VIOLATIONS)
