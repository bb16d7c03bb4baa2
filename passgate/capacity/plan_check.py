"""Checks the capacity plan against a saturated emulated engine at three points.

    python -m passgate.capacity.plan_check

A closed group of callers keeps one engine full in virtual time; one JSON line per
point compares its rate with the planned one.
"""

from __future__ import annotations

import asyncio
from random import Random

import fire
import msgspec

from passgate.capacity.plan import CapacityDemand, plan_capacity
from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.expected_output import LengthDistribution
from passgate.emulator.parameters import DeploymentParameters, load_deployment
from passgate.emulator.world import EmulatedWorld
from passgate.schema import GenerateRequest

WARM_UP_S = 20.0
MEASURED_S = 240.0
SHARED_PROMPT_TOKENS = 256
"""A multiple of the cache's block, so that all of it is found in the cache."""
OWN_PROMPT_TOKENS = 192
SIGMA = 0.5
MEDIANS = (40.0, 200.0, 800.0)
MAX_TOKENS = 16_000
_VOCABULARY = 50_000


class PlanPoint(msgspec.Struct, frozen=True, kw_only=True):
    """One comparison."""

    median_tokens: float
    output_tokens: float
    """Mean length seen."""
    planned_tokens_per_s: float
    measured_tokens_per_s: float
    ratio: float
    """Planned over measured."""


def check_point(median_tokens: float, seed: int = 1, measured_s: float = MEASURED_S) -> PlanPoint:
    """Measure one point in virtual time."""
    return run_virtual(_Saturation(median_tokens, seed, measured_s).measure())


class _Saturation:
    def __init__(self, median_tokens: float, seed: int, measured_s: float) -> None:
        self._measured_s = measured_s
        self._median = median_tokens
        self._random = Random(seed)
        self._parameters = _one_engine(median_tokens)
        self._seed = seed
        self._sent = 0
        self._tokens = 0
        self._finished_tokens: list[int] = []

    async def measure(self) -> PlanPoint:
        world = EmulatedWorld(self._parameters, self._seed)
        engine = next(iter(world.engines.values()))
        clients = self._parameters.engines.engine.max_running
        tasks = [asyncio.ensure_future(self._call_again(world, engine.address)) for _ in range(clients)]
        await asyncio.sleep(WARM_UP_S)
        self._tokens = 0
        started_s = monotonic_s()
        await asyncio.sleep(self._measured_s)
        rate = self._tokens / (monotonic_s() - started_s)
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
        world.close()
        return self._point(rate)

    async def _call_again(self, world: EmulatedWorld, address: str) -> None:
        client = world.engine_client(self._parameters.zones[0])
        while True:
            whole = 0
            async for chunk in client.generate(address, self._request()):
                self._tokens += len(chunk.tokens)
                whole += len(chunk.tokens)
            self._finished_tokens.append(whole)

    def _request(self) -> GenerateRequest:
        self._sent += 1
        own = tuple(self._random.randrange(_VOCABULARY) for _ in range(OWN_PROMPT_TOKENS))
        model = self._parameters.engines.models[0].name
        return GenerateRequest(
            request_id=f"r{self._sent}",
            caller="check",
            pool=model,
            model=model,
            prompt=tuple(range(SHARED_PROMPT_TOKENS)) + own,
            max_tokens=MAX_TOKENS,
            seed=self._sent,
        )

    def _point(self, rate: float) -> PlanPoint:
        mean = sum(self._finished_tokens) / len(self._finished_tokens)
        prompt = SHARED_PROMPT_TOKENS + OWN_PROMPT_TOKENS
        demand = CapacityDemand(
            requests_per_s=1.0,
            output_tokens=mean,
            prompt_tokens=prompt,
            cached_share=SHARED_PROMPT_TOKENS / prompt,
        )
        planned = plan_capacity(self._parameters.engines.engine, demand).tokens_per_replica_s
        return PlanPoint(
            median_tokens=self._median,
            output_tokens=round(mean, 1),
            planned_tokens_per_s=planned,
            measured_tokens_per_s=round(rate, 1),
            ratio=round(planned / rate, 3),
        )


def _one_engine(median_tokens: float) -> DeploymentParameters:
    parameters = load_deployment("huon")
    model = msgspec.structs.replace(
        parameters.engines.models[0], lengths=LengthDistribution(median_tokens=median_tokens, sigma=SIGMA)
    )
    engines = msgspec.structs.replace(parameters.engines, replicas=1, models=(model,))
    return msgspec.structs.replace(parameters, engines=engines)


def main() -> None:
    """Print all points."""
    for median in MEDIANS:
        print(msgspec.json.encode(check_point(median)).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
