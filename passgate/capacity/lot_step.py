"""Measures one step of a trainer: a whole lot through the real lot service.

    python -m passgate.capacity.lot_step --samples 512,2048,8192

The producer is hollow: it answers after a heavy-tailed time without any engine, so
that the processor time is that of opening, committing, handing over and
acknowledging.  Time is virtual; processor time and memory are real.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from random import Random

import fire
import msgspec

from passgate.capacity.target import ASSUMPTIONS
from passgate.clock import monotonic_s, run_virtual
from passgate.records import PromptSpec
from passgate.schema import FinishReason, GenerateRequest, GenerateResult, VersionSpan
from passgate.state.lot_types import LotRequest
from passgate.state.lots import LotService
from passgate.state.memory_log import MemoryLog, MemoryLogClient

PAGE_SAMPLES = 256
MEDIAN_PRODUCTION_S = 8.0
SIGMA = 0.8
READ_WAIT_S = 5.0
_VOCABULARY = 50_000
_US_PER_S = 1e6


class LotStepCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one lot of one size."""

    name: str = "lot_step"
    samples: int
    sample_tokens: int
    virtual_s: float
    """Opening until the last sample was acknowledged."""
    cpu_us_per_sample: float
    """Keeper and reader together, with the simulation's own loop."""
    memory_bytes_per_slot: float
    """State of the lot service when all samples are in, log excluded."""
    log_bytes_per_sample: float


def measure(samples: int, sample_tokens: int = ASSUMPTIONS.sample_tokens) -> LotStepCost:
    """Measure one lot: processor time in one run, memory in a second, traced one."""
    timed = run_virtual(_Step(samples, sample_tokens).run(traced=False))
    traced = run_virtual(_Step(samples, sample_tokens).run(traced=True))
    return msgspec.structs.replace(timed, memory_bytes_per_slot=traced.memory_bytes_per_slot)


class _Step:
    def __init__(self, samples: int, sample_tokens: int) -> None:
        self._samples = samples
        self._random = Random(samples)
        self._tokens = tuple(self._random.randrange(_VOCABULARY) for _ in range(sample_tokens))
        self._log = MemoryLog()

    async def run(self, *, traced: bool) -> LotStepCost:
        request = self._request()
        gc.collect()
        if traced:
            tracemalloc.start()
        service = LotService(
            MemoryLogClient(self._log), self._produce, lambda model: 1, "a/1", lambda daemon: True, Random(1)
        )
        cpu_before_s = time.process_time()
        await service.open(request, "step")
        await self._read_all(service)
        cpu_s = time.process_time() - cpu_before_s
        memory = self._memory_of(service) if traced else 0.0
        await service.close()
        return LotStepCost(
            samples=self._samples,
            sample_tokens=len(self._tokens),
            virtual_s=round(monotonic_s(), 1),
            cpu_us_per_sample=round(cpu_s * _US_PER_S / self._samples, 1),
            memory_bytes_per_slot=memory,
            log_bytes_per_sample=round(self._log_bytes() / self._samples, 1),
        )

    async def _produce(self, request: GenerateRequest) -> GenerateResult:
        await asyncio.sleep(MEDIAN_PRODUCTION_S * self._random.lognormvariate(0.0, SIGMA))
        return GenerateResult(
            request_id=request.request_id,
            tokens=self._tokens,
            spans=(VersionSpan(0, len(self._tokens), 1),),
            finish_reason=FinishReason.STOP,
            replica_id="engine-0",
        )

    async def _read_all(self, service: LotService) -> None:
        cursor, is_finished = 0, False
        while not is_finished:
            page = await service.read("step", cursor, PAGE_SAMPLES, READ_WAIT_S, 1)
            if page.samples:
                await service.acknowledge("step", [sample.sample_id for sample in page.samples])
            cursor, is_finished = page.next_cursor, page.finished

    def _request(self) -> LotRequest:
        prompts = tuple(
            PromptSpec(
                prompt=tuple(self._random.randrange(_VOCABULARY) for _ in range(ASSUMPTIONS.prompt_tokens)),
                max_tokens=len(self._tokens),
                seed=index,
            )
            for index in range(self._samples)
        )
        return LotRequest(
            caller="trainer",
            pool="m",
            model="m",
            staleness_bound=1,
            trainer_version=1,
            deadline_s=3600.0,
            prompts=prompts,
        )

    def _memory_of(self, service: LotService) -> float:
        """Return the traced memory per slot without what the log itself holds."""
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del service
        return round((held - self._log_bytes()) / self._samples, 1)

    def _log_bytes(self) -> int:
        return sum(len(payload) for stream in self._log.streams.values() for payload in stream)


def main(samples: str | tuple[int, ...] | int = (512, 2048, 8192)) -> None:
    """Print one JSON line per size."""
    sizes = samples if isinstance(samples, tuple | list) else [int(size) for size in str(samples).split(",")]
    for size in sizes:
        print(msgspec.json.encode(measure(int(size))).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
