"""Compares routing policies in virtual time over the emulator, on the same seeds.

Trainers run in a closed loop: a step waits for its whole lot, then trains.
People's calls arrive at random times.  Everything outside of routing (log,
membership, rollouts) is left out, so differences are the policy's alone.

    python -m passgate.routing.bench --deployment olhar --fault slow --policy current --seeds 3
"""

from __future__ import annotations

import asyncio
import math
import statistics
from collections.abc import Awaitable
from concurrent.futures import ProcessPoolExecutor
from random import Random

import fire
import msgspec

from passgate.clock import monotonic_s, new_virtual_loop
from passgate.emulator.parameters import (
    ArrivalParameters,
    DeploymentParameters,
    TrainerParameters,
    load_deployment,
)
from passgate.emulator.world import EmulatedWorld
from passgate.errors import PassgateError, Refused
from passgate.records import ObjectPut, Record
from passgate.routing.bench_faults import FAULTS, Fault
from passgate.routing.dispatcher import Dispatcher
from passgate.routing.policies import POLICIES
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.schema import AppRequest, GenerateRequest, MachineRole
from passgate.state.configuration_state import ConfigurationState
from passgate.state.specs import PoolSpec

LIST_INTERVAL_S = 1.0
RESEND_S = 0.5
"""A trainer asks again for a sample that failed, after this or what the refusal says."""
TRAINING_CLASS = "training"
PROCESSES = 4


class BenchResult(msgspec.Struct, kw_only=True):
    """Measures of one run."""

    policy: str
    deployment: str
    fault: str
    seed: int
    lots: int = 0
    lot_mean_s: float = 0.0
    lot_p90_s: float = 0.0
    lot_means_s: dict[str, float] = {}
    """Per trainer."""
    idle_share: float = 0.0
    """Share of the trainers' time that is spent waiting for lots, mean over trainers."""
    interactive_p50_s: float = 0.0
    interactive_p99_s: float = 0.0
    """Of generate calls; a failed or late one counts with its deadline."""
    app_p50_s: float = 0.0
    app_p99_s: float = 0.0
    goodput: float = 0.0
    """Share of people's calls answered before their deadline."""
    refused: int = 0
    failed: int = 0
    sample_failures: int = 0
    hedges: int = 0
    hedges_won: int = 0
    retries: int = 0
    resumed_tokens: int = 0
    wasted_tokens: int = 0
    cache_hit_share: float = 0.0


class BenchRun:
    """One emulated world with one dispatcher per zone."""

    def __init__(
        self, parameters: DeploymentParameters, policy: str, fault: str, seed: int, duration_s: float
    ) -> None:
        self.parameters = parameters
        self.result = BenchResult(policy=policy, deployment=parameters.name, fault=fault, seed=seed)
        self.duration_s = duration_s
        self.random = Random(f"{seed}/bench")
        self.world = EmulatedWorld(parameters, seed)
        self.configuration = _configuration(parameters)
        self.directories = [ReplicaDirectory() for _ in parameters.zones]
        self.dispatchers = [
            Dispatcher(
                self.world.engine_client(zone),
                self.world.app_client(zone),
                directory,
                self.configuration,
                zone,
                POLICIES[policy],
                Random(f"{seed}/{zone}"),
                owner=f"daemon-{zone}",
            )
            for zone, directory in zip(parameters.zones, self.directories, strict=True)
        ]
        self._latencies: dict[str, list[float]] = {"generate": [], "app": []}
        self._good = 0
        self._calls = 0
        self._lots: list[float] = []
        self._trainer_lots: dict[str, list[float]] = {}
        self._idle: dict[str, float] = {}
        self._numbers = 0

    async def run(self, fault: Fault) -> BenchResult:
        """Run for ``duration_s`` of virtual time and return the measures."""
        await self._read_list()
        for dispatcher in self.dispatchers:
            dispatcher.start()
        work = [self._keep_list(), fault(self)]
        work += [self._train(index, trainer) for index, trainer in enumerate(self.parameters.trainers)]
        work += [self._arrive(arrivals) for arrivals in self.parameters.arrivals]
        tasks = [asyncio.create_task(coroutine) for coroutine in work]
        await asyncio.sleep(self.duration_s)
        for task in tasks:
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome
        for dispatcher in self.dispatchers:
            await dispatcher.close()
        self.world.close()
        return self._measure()

    def number(self) -> int:
        """Return a number not used before in this run."""
        self._numbers += 1
        return self._numbers

    # --- callers ----------------------------------------------------------------------

    async def _train(self, index: int, trainer: TrainerParameters) -> None:
        dispatcher = self.dispatchers[index % len(self.dispatchers)]
        random = Random(f"{self.result.seed}/{trainer.name}")
        self._idle[trainer.name] = 0.0
        await asyncio.sleep(random.uniform(0.0, 5.0))
        while True:
            began_s = monotonic_s()
            requests = self._lot(trainer, random)
            await asyncio.gather(*(self._sample(dispatcher, request) for request in requests))
            waited_s = monotonic_s() - began_s
            self._lots.append(waited_s)
            self._trainer_lots.setdefault(trainer.name, []).append(waited_s)
            self._idle[trainer.name] += waited_s
            await asyncio.sleep(trainer.train_s)

    async def _sample(self, dispatcher: Dispatcher, request: GenerateRequest) -> None:
        while True:
            try:
                await dispatcher.generate(request)
                return
            except PassgateError as error:
                self.result.sample_failures += 1
                await asyncio.sleep(error.retry_after_s or RESEND_S)

    def _lot(self, trainer: TrainerParameters, random: Random) -> list[GenerateRequest]:
        model = self.parameters.model(trainer.model)
        shared = tuple(range(model.system_prompt_tokens))
        requests = []
        for _ in range(trainer.prompts_per_step):
            prompt = shared + tuple(random.randrange(50_000) for _ in range(model.prompt_tokens))
            for _ in range(trainer.samples_per_prompt):
                requests.append(
                    GenerateRequest(
                        request_id=f"{trainer.name}-{self.number()}",
                        caller=trainer.name,
                        pool=trainer.model,
                        model=trainer.model,
                        prompt=prompt,
                        max_tokens=trainer.max_tokens,
                        seed=random.getrandbits(31),
                        priority_class=TRAINING_CLASS,
                    )
                )
        return requests

    async def _arrive(self, arrivals: ArrivalParameters) -> None:
        random = Random(f"{self.result.seed}/{arrivals.name}")
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(random.expovariate(arrivals.rate_per_s))
                dispatcher = self.dispatchers[random.randrange(len(self.dispatchers))]
                if arrivals.kind == "app":
                    group.create_task(self._app(dispatcher, arrivals))
                else:
                    group.create_task(self._interactive(dispatcher, arrivals, random))

    async def _app(self, dispatcher: Dispatcher, arrivals: ArrivalParameters) -> None:
        number = self.number()
        request = AppRequest(
            request_id=f"{arrivals.name}-{number}",
            caller=arrivals.name,
            pool=self.parameters.apps.name,
            method="POST",
            path="/verdict",
            body=str(number).encode(),
            deadline_s=monotonic_s() + arrivals.deadline_s,
        )
        await self._timed("app", arrivals.deadline_s, dispatcher.call_app(request))

    async def _interactive(self, dispatcher: Dispatcher, arrivals: ArrivalParameters, random: Random) -> None:
        model = self.parameters.model(arrivals.model)
        prompt = tuple(range(model.system_prompt_tokens))
        prompt += tuple(random.randrange(50_000) for _ in range(model.prompt_tokens))
        request = GenerateRequest(
            request_id=f"{arrivals.name}-{self.number()}",
            caller=arrivals.name,
            pool=arrivals.model,
            model=arrivals.model,
            prompt=prompt,
            max_tokens=arrivals.max_tokens,
            seed=random.getrandbits(31),
            priority_class=arrivals.priority_class,
            deadline_s=monotonic_s() + arrivals.deadline_s,
        )
        await self._timed("generate", arrivals.deadline_s, dispatcher.generate(request))

    async def _timed(self, kind: str, deadline_s: float, call: Awaitable[object]) -> None:
        began_s = monotonic_s()
        try:
            await call
        except PassgateError as error:
            self._calls += 1
            self.result.refused += isinstance(error, Refused)
            self.result.failed += not isinstance(error, Refused)
            self._latencies[kind].append(deadline_s)
            return
        self._calls += 1
        self._good += 1
        self._latencies[kind].append(monotonic_s() - began_s)

    # --- platform -------------------------------------------------------------------------

    async def _keep_list(self) -> None:
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            await self._read_list()

    async def _read_list(self) -> None:
        machines = await self.world.machine_list.machines()
        for directory in self.directories:
            directory.apply_machines(machines, monotonic_s())

    # --- measures --------------------------------------------------------------------------

    def _measure(self) -> BenchResult:
        result = self.result
        result.lots = len(self._lots)
        result.lot_mean_s = statistics.fmean(self._lots) if self._lots else self.duration_s
        result.lot_means_s = {name: statistics.fmean(lots) for name, lots in self._trainer_lots.items()}
        result.lot_p90_s = _quantile(self._lots, 0.9)
        result.idle_share = statistics.fmean(self._idle.values()) / self.duration_s if self._idle else 0.0
        result.interactive_p50_s = _quantile(self._latencies["generate"], 0.5)
        result.interactive_p99_s = _quantile(self._latencies["generate"], 0.99)
        result.app_p50_s = _quantile(self._latencies["app"], 0.5)
        result.app_p99_s = _quantile(self._latencies["app"], 0.99)
        result.goodput = self._good / self._calls if self._calls else 1.0
        for dispatcher in self.dispatchers:
            counters = dispatcher.counters
            result.hedges += counters.hedges_slow + counters.hedges_stalled
            result.hedges_won += counters.hedges_won
            result.retries += counters.retries
            result.resumed_tokens += counters.resumed_tokens
            result.wasted_tokens += counters.wasted_tokens
        engines = [engine.model.counters for engine in self.world.engines.values()]
        hits = sum(counters.cache_hit_tokens for counters in engines)
        prefilled = sum(counters.prefilled_tokens for counters in engines)
        result.cache_hit_share = hits / (hits + prefilled) if hits else 0.0
        return result


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, math.ceil(share * len(values)) - 1)]


def _configuration(parameters: DeploymentParameters) -> ConfigurationState:
    """Return a state with one pool per model and one for the application service."""
    state = ConfigurationState()
    engines, apps = parameters.engines, parameters.apps
    pools = {
        model.name: PoolSpec(selector=f"service={engines.name}", role=MachineRole.ENGINE, model=model.name)
        for model in engines.models
    }
    pools[apps.name] = PoolSpec(selector=f"service={apps.name}", role=MachineRole.APP)
    for offset, (name, spec) in enumerate(pools.items()):
        body = ObjectPut(
            object_kind="Pool",
            name=name,
            expected_revision=0,
            labels={},
            spec=msgspec.Raw(msgspec.json.encode(spec)),
        )
        state.apply(offset, Record(writer="bench", sequence=offset, epoch=0, body=body))
    return state


# --- command --------------------------------------------------------------------------------


def run_once(
    deployment: str, policy: str, fault: str, seed: int, duration_s: float, only: str = "all"
) -> BenchResult:
    """Run one policy in virtual time; the same arguments give the same result."""
    parameters = load_deployment(deployment)
    if only != "all":
        kind = "app" if only == "apps" else "generate"
        kept = tuple(arrival for arrival in parameters.arrivals if arrival.kind == kind)
        trainers = () if only == "apps" else parameters.trainers
        parameters = msgspec.structs.replace(parameters, arrivals=kept, trainers=trainers)
    if fault == "surge":
        arrivals = tuple(
            msgspec.structs.replace(arrival, rate_per_s=arrival.rate_per_s * arrival.surge_factor)
            for arrival in parameters.arrivals
        )
        parameters = msgspec.structs.replace(parameters, arrivals=arrivals)
    loop = new_virtual_loop()
    try:

        async def main() -> BenchResult:
            run = BenchRun(parameters, policy, fault, seed, duration_s)
            return await run.run(FAULTS[fault])

        return loop.run_until_complete(main())
    finally:
        loop.close()


def _run_task(task: tuple[str, str, str, int, float, str]) -> BenchResult:
    return run_once(*task)


def main(
    policy: str = "current,round_robin,fewest_requests,fifo,no_hedge",
    deployment: str = "olhar",
    fault: str = "calm",
    seeds: int = 3,
    duration_s: float = 300.0,
    details: bool = False,
    only: str = "all",
    processes: int = PROCESSES,
) -> None:
    """Print the measures of policies for faults (both comma-separated).

    ``only`` may be ``apps`` or ``engines``: the two kinds of back end do not
    touch each other, and half a run takes half the time.
    """
    names = policy if isinstance(policy, tuple) else policy.split(",")
    faults = fault if isinstance(fault, tuple) else fault.split(",")
    tasks = [
        (deployment, name, fault_name, seed, duration_s, only)
        for fault_name in faults
        for name in names
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(processes) as executor:
        results = list(executor.map(_run_task, tasks))
    if details:
        for result in results:
            print(msgspec.json.encode(result).decode())
    _print_table(results)


def _print_table(results: list[BenchResult]) -> None:
    fields = [
        "lot_mean_s", "lot_p90_s", "idle_share", "interactive_p50_s", "interactive_p99_s", "app_p50_s",
        "app_p99_s", "goodput", "refused", "failed", "sample_failures", "hedges", "hedges_won", "retries",
        "resumed_tokens", "wasted_tokens", "cache_hit_share",
    ]  # fmt: skip
    short = [name.removesuffix("_s").replace("interactive", "inter").replace("_share", "") for name in fields]
    print(f"{'fault':10s}{'policy':22s}" + "".join(f"{name[:10]:>11s}" for name in short))
    groups: dict[tuple[str, str], list[BenchResult]] = {}
    for result in results:
        groups.setdefault((result.fault, result.policy), []).append(result)
    for (fault_name, name), members in groups.items():
        means = [statistics.fmean(getattr(member, field) for member in members) for field in fields]
        print(f"{fault_name:10s}{name:22s}" + "".join(f"{value:11.4g}" for value in means))


if __name__ == "__main__":
    fire.Fire(main)
