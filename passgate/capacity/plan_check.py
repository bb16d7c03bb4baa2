"""Compares the capacity plan with a saturated emulated engine at three lengths of output.

::

    python -m passgate.capacity.plan_check

In virtual time, as many callers as the engine runs sequences each send a next request when the previous
one is complete.  One JSON line for each length compares the engine's rate with the planned one.
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
"""Virtual time before the rate is measured."""
MEASURED_S = 240.0
"""Virtual time over which the rate is measured."""
SHARED_PROMPT_TOKENS = 256
"""Prefix of all prompts; a multiple of the engine's KV block, so that all of it is found in the cache."""
UNIQUE_PROMPT_TOKENS = 192
OUTPUT_LENGTH_SIGMA = 0.5
"""Standard deviation of the logarithm of output lengths."""
MEDIAN_OUTPUT_TOKENS = (40.0, 200.0, 800.0)
"""Median of the output lengths at each point."""
MAX_TOKENS = 16_000
"""Limit of an output; at 20 times the largest median, it cuts off hardly any."""
_VOCABULARY_SIZE = 50_000


class PlanComparison(msgspec.Struct, frozen=True, kw_only=True):
    """Planned and measured rate of an engine at one length of output."""

    median_tokens: float
    output_tokens: float
    """Mean length of the complete outputs."""
    planned_tokens_per_s: float
    measured_tokens_per_s: float
    ratio: float
    """Planned rate divided by the measured one."""


def compare_with_engine(
    median_tokens: float, seed: int = 1, measured_s: float = MEASURED_S
) -> PlanComparison:
    """Saturate an engine in virtual time and compare its rate with the plan.

    Args:
        median_tokens: median of the output lengths.
        seed: seed of all random draws.
        measured_s: virtual time over which the rate is measured.
    """
    return run_virtual(_SaturatedEngine(median_tokens, seed, measured_s).measure())


class _SaturatedEngine:
    """One emulated engine with as many callers as sequences that it runs at once."""

    def __init__(self, median_tokens: float, seed: int, measured_s: float) -> None:
        self._measured_s = measured_s
        self._median_tokens = median_tokens
        self._random = Random(seed)
        self._parameters = _one_engine_deployment(median_tokens)
        self._seed = seed
        self._request_count = 0
        self._received_tokens = 0
        self._output_lengths: list[int] = []

    async def measure(self) -> PlanComparison:
        """Return the comparison; raises the first error of a caller."""
        world = EmulatedWorld(self._parameters, self._seed)
        engine = next(iter(world.engines.values()))
        caller_count = self._parameters.engines.engine.max_running
        tasks = [
            asyncio.ensure_future(self._call_repeatedly(world, engine.address)) for _ in range(caller_count)
        ]
        await asyncio.sleep(WARM_UP_S)
        self._received_tokens = 0
        started_s = monotonic_s()
        await asyncio.sleep(self._measured_s)
        tokens_per_s = self._received_tokens / (monotonic_s() - started_s)
        for task in tasks:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
        world.close()
        return self._compare(tokens_per_s)

    async def _call_repeatedly(self, world: EmulatedWorld, address: str) -> None:
        client = world.engine_client(self._parameters.zones[0])
        while True:
            output_tokens = 0
            async for chunk in client.generate(address, self._next_request()):
                self._received_tokens += len(chunk.tokens)
                output_tokens += len(chunk.tokens)
            self._output_lengths.append(output_tokens)

    def _next_request(self) -> GenerateRequest:
        self._request_count += 1
        unique_tokens = tuple(self._random.randrange(_VOCABULARY_SIZE) for _ in range(UNIQUE_PROMPT_TOKENS))
        model = self._parameters.engines.models[0].name
        return GenerateRequest(
            request_id=f"r{self._request_count}",
            caller="check",
            pool=model,
            model=model,
            prompt=tuple(range(SHARED_PROMPT_TOKENS)) + unique_tokens,
            max_tokens=MAX_TOKENS,
            seed=self._request_count,
        )

    def _compare(self, measured_tokens_per_s: float) -> PlanComparison:
        mean_output_tokens = sum(self._output_lengths) / len(self._output_lengths)
        prompt_tokens = SHARED_PROMPT_TOKENS + UNIQUE_PROMPT_TOKENS
        demand = CapacityDemand(
            requests_per_s=1.0,
            output_tokens=mean_output_tokens,
            prompt_tokens=prompt_tokens,
            cached_share=SHARED_PROMPT_TOKENS / prompt_tokens,
        )
        planned_tokens_per_s = plan_capacity(self._parameters.engines.engine, demand).tokens_per_replica_s
        return PlanComparison(
            median_tokens=self._median_tokens,
            output_tokens=round(mean_output_tokens, 1),
            planned_tokens_per_s=planned_tokens_per_s,
            measured_tokens_per_s=round(measured_tokens_per_s, 1),
            ratio=round(planned_tokens_per_s / measured_tokens_per_s, 3),
        )


def _one_engine_deployment(median_tokens: float) -> DeploymentParameters:
    """Return the deployment ``huon`` with one engine, one model and the given lengths of outputs."""
    parameters = load_deployment("huon")
    model = msgspec.structs.replace(
        parameters.engines.models[0],
        lengths=LengthDistribution(median_tokens=median_tokens, sigma=OUTPUT_LENGTH_SIGMA),
    )
    engines = msgspec.structs.replace(parameters.engines, replicas=1, models=(model,))
    return msgspec.structs.replace(parameters, engines=engines)


def main() -> None:
    """Print the comparisons as JSON lines."""
    for median_tokens in MEDIAN_OUTPUT_TOKENS:
        print(msgspec.json.encode(compare_with_engine(median_tokens)).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
