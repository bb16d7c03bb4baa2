"""``passgate demo``: runs both example deployments on this machine, over real sockets.

For each deployment it starts the emulated external systems (stand-ins) and one daemon per zone, configures
them, runs emulated trainers and applications, kills one daemon and shuts another one down gracefully.  Then
it checks the results that the callers received.  The last lines of its output are one JSON object for each
deployment.
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
from passgate.demo_deployment import DeploymentProcesses, pool_name_of_model
from passgate.emulator.admin_client import EmulatorAdminClient
from passgate.emulator.caller_outcomes import CallerOutcomes
from passgate.emulator.callers import Callers
from passgate.emulator.parameters import DeploymentParameters, TrainerParameters, load_deployment
from passgate.errors import PassgateError
from passgate.lab.measures import LatencySummary

DEPLOYMENTS = ("olhar", "huon")
DURATION_S = 32.0
DRAIN_S = 10.0
"""Time for open interactive calls to end after the last arrival."""
MIN_DURATION_S = 10.0
KILL_AT_SHARE = 0.25
"""Share of the duration after which one daemon is killed."""
DOWNTIME_S = 1.5
"""Time until the killed daemon is started again."""
STOP_AT_SHARE = 0.55
"""Share of the duration after which another daemon is shut down."""
TRAIN_S = 4.0
MAX_TOKENS = 160
READ_WAIT_S = 2.0
PROGRESS_INTERVAL_S = 0.25
P99_SHARE = 0.99
STORE_WEIGHTS_TIMEOUT_S = 5.0
VIOLATIONS_EXIT_CODE = 1
FRACTION_DIGITS = 3


class DeploymentResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one deployment, printed as the last line of output."""

    deployment: str
    duration_s: float
    steps: int
    samples_delivered: int
    samples_lost: int
    """Samples missing from lots that passgate reported as finished."""
    samples_doubled: int
    """Samples received again for the same slot."""
    samples_over_staleness: int
    """Samples that exceeded the staleness bound."""
    samples_failed: int
    """Slots that passgate itself reported as failed."""
    calls_answered: int
    calls_given_up: int
    """Calls without an answer after their last attempt or at the end of the run."""
    calls_late: int
    """Calls answered correctly, but after their deadline."""
    outcomes_lost: int
    """Not-repeatable calls for which passgate reported that the outcome of their only run is lost."""
    answers_wrong: int
    """Samples and answers with wrong content."""
    interactive_p50_ms: float
    interactive_p99_ms: float
    p99_ms_by_callers: dict[str, float]
    """The same for each stream of callers; generated answers take longer than calls of applications."""
    trainer_idle_share: float
    staleness_p99: int
    """Versions that samples were behind their trainer when delivered."""
    refused_not_run: int
    """Attempts that passgate reported as not run."""
    not_run_that_ran: int
    """Attempts reported as not run that a replica started nevertheless."""
    run_more_than_once: int
    """Not-repeatable calls with more than one effect."""
    planned_stop_exit_code: int | None
    """Exit code of the daemon that was shut down; None when it had to be killed."""
    violations: int
    """Number of violated guarantees; the command fails when there is any."""
    errors: dict[str, int]
    """Typed errors that callers received, retried attempts included, by code."""


def demo_parameters(name: str) -> DeploymentParameters:
    """Return an example deployment with shorter training steps, so that a run has several of them."""
    parameters = load_deployment(name)
    trainers = tuple(_shorten_steps(trainer) for trainer in parameters.trainers)
    return msgspec.structs.replace(parameters, trainers=trainers)


def _shorten_steps(trainer: TrainerParameters) -> TrainerParameters:
    return msgspec.structs.replace(
        trainer,
        train_s=TRAIN_S,
        max_tokens=min(trainer.max_tokens, MAX_TOKENS),
        read_wait_s=READ_WAIT_S,
        publish_every_steps=1,
    )


class DeploymentRun:
    """One run of a deployment, from the start of its processes to the results."""

    def __init__(self, name: str, directory: Path, http: HttpClient, seed: int, duration_s: float) -> None:
        self.parameters = demo_parameters(name)
        self._http = http
        self._duration_s = duration_s
        self._processes = DeploymentProcesses(self.parameters, http, directory, seed)
        self._store_tasks: set[asyncio.Task[None]] = set()
        self._not_run_ids: list[str] = []
        self._shutdown_exit_code: int | None = None
        self._callers = Callers(
            self.parameters,
            self._make_client,
            self._store_weights,
            seed,
            pool_of=lambda model: pool_name_of_model(self.parameters, model),
        )
        self.status = "starting"
        """What the run does now, for the progress display."""

    @property
    def tally(self) -> CallerOutcomes:
        """Outcomes that the callers have recorded so far."""
        return self._callers.outcomes

    async def run(self) -> DeploymentResult:
        """Start all processes, run callers and faults, and return the results; stops all processes."""
        try:
            await self._processes.start()
            self.status = "running"
            faults = asyncio.ensure_future(self._inject_faults())
            await self._callers.run(self._duration_s, DRAIN_S)
            self.status = "checking results"
            await faults
            return await self._make_result()
        finally:
            await self._processes.stop_all()
            self.status = "done"

    def _make_client(self, caller: str) -> CallerClient:
        return _LazyAddressClient(self._http, self._processes, caller, self._not_run_ids.append)

    # --- weights -------------------------------------------------------------------------

    def _store_weights(self, model: str, version: int) -> None:
        task = asyncio.ensure_future(self._put_weights(model, version))
        self._store_tasks.add(task)
        task.add_done_callback(self._store_tasks.discard)

    async def _put_weights(self, model: str, version: int) -> None:
        assert self._processes.stand_in_addresses is not None
        size_bytes = self.parameters.model(model).weight_bytes
        call = HttpCall(
            method="PUT",
            url=f"http://{self._processes.stand_in_addresses.platform}/v1/weights/{model}/{version}",
            body=msgspec.json.encode({"size_bytes": size_bytes}),
            send=SendPolicy.REPEAT,
            timeout_s=STORE_WEIGHTS_TIMEOUT_S,
        )
        await self._http.fetch(call)

    # --- faults --------------------------------------------------------------------------

    async def _inject_faults(self) -> None:
        """Kill and restart the daemon of the second zone, then shut down and restart that of the third.

        The deployment must have three zones.
        """
        _, killed_zone, stopped_zone = self.parameters.zones
        processes = self._processes
        await asyncio.sleep(self._duration_s * KILL_AT_SHARE)
        self.status = f"{killed_zone} killed"
        await processes.daemon_by_zone[killed_zone].kill()
        await asyncio.sleep(DOWNTIME_S)
        await processes.daemon_by_zone[killed_zone].start()
        await processes.wait_until_ready(killed_zone)
        self.status = f"{killed_zone} restarted"
        await asyncio.sleep(self._duration_s * (STOP_AT_SHARE - KILL_AT_SHARE) - DOWNTIME_S)
        self.status = f"{stopped_zone} shutting down"
        self._shutdown_exit_code = await processes.daemon_by_zone[stopped_zone].stop()
        await processes.daemon_by_zone[stopped_zone].start()
        await processes.wait_until_ready(stopped_zone)
        self.status = "running"

    # --- results -------------------------------------------------------------------------

    async def _make_result(self) -> DeploymentResult:
        assert self._processes.stand_in_addresses is not None
        state = await EmulatorAdminClient(self._http, self._processes.stand_in_addresses.admin).state()
        trainers, arrivals = self.tally.trainers, self.tally.arrivals
        not_run_that_ran = sum(1 for request_id in self._not_run_ids if state.runs.get(request_id, 0))
        latencies = LatencySummary.from_durations(
            [item for stream in arrivals for item in stream.latencies_s]
        )
        lost = sum(trainer.lost for trainer in trainers)
        doubled = sum(trainer.doubled for trainer in trainers)
        over_staleness = sum(trainer.over_staleness for trainer in trainers)
        wrong = sum(item.wrong for item in [*trainers, *arrivals])
        unclean_stop = self._shutdown_exit_code != 0
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
            interactive_p50_ms=round(latencies.p50_ms, FRACTION_DIGITS),
            interactive_p99_ms=round(latencies.p99_ms, FRACTION_DIGITS),
            p99_ms_by_callers={
                stream.name: round(LatencySummary.from_durations(stream.latencies_s).p99_ms, FRACTION_DIGITS)
                for stream in arrivals
            },
            trainer_idle_share=round(_mean([trainer.idle_share() for trainer in trainers]), FRACTION_DIGITS),
            staleness_p99=_staleness_p99(self.tally),
            refused_not_run=len(self._not_run_ids),
            not_run_that_ran=not_run_that_ran,
            run_more_than_once=repeated,
            planned_stop_exit_code=self._shutdown_exit_code,
            errors=_sum_errors(self.tally),
            violations=lost + doubled + over_staleness + wrong + not_run_that_ran + repeated + unclean_stop,
        )


class _LazyAddressClient(CallerClient):
    """A client that is created before the daemons' addresses are known, and reads them at its first call."""

    def __init__(
        self, http: HttpClient, processes: DeploymentProcesses, caller: str, on_not_run: Callable[[str], None]
    ) -> None:
        super().__init__(http, [], caller, on_not_run=on_not_run)
        self._processes = processes

    @property
    def daemon(self) -> str:
        """Address of the daemon that receives the next call."""
        if not self._addresses:
            self._addresses = list(self._processes.caller_address_by_zone.values())
        return super().daemon


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _sum_errors(tally: CallerOutcomes) -> dict[str, int]:
    total: Counter[str] = Counter()
    for caller in [*tally.trainers, *tally.arrivals]:
        total.update(caller.errors)
    return dict(sorted(total.items()))


def _staleness_p99(tally: CallerOutcomes) -> int:
    count_by_staleness: dict[int, int] = {}
    for trainer in tally.trainers:
        for behind, count in trainer.staleness.items():
            count_by_staleness[behind] = count_by_staleness.get(behind, 0) + count
    target_count = P99_SHARE * sum(count_by_staleness.values())
    cumulative_count = 0
    for behind in sorted(count_by_staleness):
        cumulative_count += count_by_staleness[behind]
        if cumulative_count >= target_count:
            return behind
    return 0


def _update_progress(progress: Progress, task: TaskID, run: DeploymentRun, elapsed_s: float) -> None:
    tally = run.tally
    samples = sum(trainer.delivered for trainer in tally.trainers)
    answers = sum(stream.answered for stream in tally.arrivals)
    status = f"{run.status}: {samples} samples, {answers} answers"
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
        task_ids = [progress.add_task(name, total=duration_s, status="") for name in names]
        pairs = zip(task_ids, runs, strict=True)
        progress_tasks = [
            asyncio.ensure_future(_update_progress_periodically(progress, task, run)) for task, run in pairs
        ]
        try:
            async with asyncio.TaskGroup() as group:
                run_tasks = [group.create_task(run.run()) for run in runs]
        except* PassgateError as failures:
            raise _first_failure(failures) from None
        finally:
            for progress_task in progress_tasks:
                progress_task.cancel()
            http.close()
    return [run_task.result() for run_task in run_tasks]


async def _update_progress_periodically(progress: Progress, task: TaskID, run: DeploymentRun) -> None:
    elapsed_s = 0.0
    while True:
        _update_progress(progress, task, run, elapsed_s)
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        if run.status != "starting":
            elapsed_s += PROGRESS_INTERVAL_S


def _first_failure(failures: BaseExceptionGroup) -> PassgateError:
    """Return the first typed error of a group."""
    first = failures.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return _first_failure(first)
    assert isinstance(first, PassgateError)
    return first


def _make_table(results: list[DeploymentResult]) -> Table:
    table = Table("measure", *(result.deployment for result in results), title="passgate demo")
    for name in DeploymentResult.__struct_fields__[1:]:
        table.add_row(name, *(str(getattr(result, name)) for result in results))
    return table


def demo(seed: int = 1, duration_s: float = DURATION_S, deployment: str = "", keep_logs: str = "") -> None:
    """Run both example deployments on this machine; exits with code 1 when a guarantee was violated.

    Args:
        seed: seed of the emulated external systems and callers.
        duration_s: seconds for which the callers send requests, at least 10.
        deployment: run only this one, olhar or huon.
        keep_logs: directory to create for the logs of all processes; they are deleted by default.
    """
    names = (deployment,) if deployment else DEPLOYMENTS
    console = Console(stderr=True)
    with contextlib.ExitStack() as stack:
        if keep_logs:
            directory = Path(keep_logs)
            directory.mkdir(parents=True)
        else:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="passgate-demo-")))
        all_runs: Coroutine[Any, Any, list[DeploymentResult]]
        all_runs = _run_all(names, seed, max(MIN_DURATION_S, duration_s), directory, console)
        results = asyncio.run(all_runs)
    Console().print(_make_table(results))
    for result in results:
        print(msgspec.json.encode(result).decode())
    if any(result.violations for result in results):
        raise SystemExit(VIOLATIONS_EXIT_CODE)
