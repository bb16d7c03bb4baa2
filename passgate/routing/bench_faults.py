"""Faults of the routing bench: what happens to the emulated world during a run.

>>> FAULTS["calm"].__name__
'no_fault'
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

from passgate.clock import monotonic_s
from passgate.errors import PassgateError
from passgate.schema import GenerateRequest

if TYPE_CHECKING:
    from passgate.routing.bench import BenchRun

HOG_CALLER = "hog"

Fault = Callable[["BenchRun"], Awaitable[None]]


async def no_fault(run: BenchRun) -> None:
    """Nothing fails."""


async def slow(run: BenchRun) -> None:
    """One engine becomes four times slower for most of the run."""
    await asyncio.sleep(run.duration_s * 0.2)
    next(iter(run.world.engines.values())).set_slow_factor(4.0)


async def crash(run: BenchRun) -> None:
    """Engines crash one after the other and restart."""
    for engine in list(run.world.engines.values()) * 10:
        await asyncio.sleep(25.0)
        engine.crash()


async def slow_app(run: BenchRun) -> None:
    """One application replica becomes five times slower."""
    await asyncio.sleep(run.duration_s * 0.2)
    next(iter(run.world.apps.values())).set_slow_factor(5.0)


async def crash_app(run: BenchRun) -> None:
    """Application replicas crash one after the other and restart."""
    for app in list(run.world.apps.values()) * 10:
        await asyncio.sleep(20.0)
        app.crash()


async def cut(run: BenchRun) -> None:
    """One zone is cut off from the others several times."""
    zone = run.parameters.zones[-1]
    while True:
        await asyncio.sleep(40.0)
        run.world.network.isolate(zone)
        await asyncio.sleep(15.0)
        run.world.network.rejoin(zone)


async def hog(run: BenchRun) -> None:
    """One interactive caller floods a model with long prompts and long outputs."""
    random = Random(f"{run.result.seed}/hog")
    model = run.parameters.engines.models[0].name
    dispatcher = run.dispatchers[0]

    async def flood() -> None:
        request = GenerateRequest(
            request_id=f"hog-{run.number()}",
            caller=HOG_CALLER,
            pool=model,
            model=model,
            prompt=tuple(random.randrange(50_000) for _ in range(3_000)),
            max_tokens=1_000,
            seed=random.getrandbits(31),
            priority_class="interactive",
            deadline_s=monotonic_s() + 60.0,
        )
        with contextlib.suppress(PassgateError):
            await dispatcher.generate(request)

    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(random.expovariate(4.0))
            group.create_task(flood())


async def leave(run: BenchRun) -> None:
    """One replica leaves, first by its own word only."""
    await asyncio.sleep(run.duration_s * 0.3)
    engine_id = next(iter(run.world.engines))
    run.world.machine_list.mark_leaving(engine_id)


FAULTS: dict[str, Fault] = {
    "calm": no_fault,
    "surge": no_fault,
    "slow": slow,
    "crash": crash,
    "slow_app": slow_app,
    "crash_app": crash_app,
    "cut": cut,
    "hog": hog,
    "leave": leave,
}
"""Faults by name; ``surge`` multiplies the arrivals by their season's factor."""
