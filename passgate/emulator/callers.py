"""All callers of one deployment: its trainers and its interactive streams.

::

    callers = Callers(world.parameters, service_for, world.publish, seed=1)
    tally = await callers.run(duration_s=600.0)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from passgate.check.events import AnyEvent
from passgate.emulator.arrivals import ArrivalStream
from passgate.emulator.parameters import ArrivalParameters, DeploymentParameters, TrainerParameters
from passgate.emulator.service import Service
from passgate.emulator.tally import Tally
from passgate.emulator.trainer import Trainer

ServiceFor = Callable[[str], Service]
"""Returns the service as the named caller reaches it."""


class Callers:
    """Callers of a deployment; trainers begin with the models' boot versions.

    ``pool_of`` maps a model name, or ``""`` for the application service, to the
    name of its pool; by default the pool has the name of the model or service.
    """

    def __init__(
        self,
        parameters: DeploymentParameters,
        service_for: ServiceFor,
        store_weights: Callable[[str, int], None],
        seed: int,
        record: Callable[[AnyEvent], None] | None = None,
        pool_of: Callable[[str], str] | None = None,
    ) -> None:
        self.parameters = parameters
        self._service_for = service_for
        self._store_weights = store_weights
        self._seed = seed
        self._record = record
        self._pool_of = pool_of or self._default_pool
        self.trainers = [self._trainer(trainer) for trainer in parameters.trainers]
        self.streams = [self._stream(arrivals) for arrivals in parameters.arrivals]

    @property
    def tally(self) -> Tally:
        """Outcomes so far."""
        return Tally(
            trainers=[trainer.tally for trainer in self.trainers],
            arrivals=[stream.tally for stream in self.streams],
        )

    async def run(self, duration_s: float, rest_s: float = 60.0) -> Tally:
        """Let all callers work for ``duration_s``; open interactive calls get ``rest_s`` more."""
        trainers = [asyncio.ensure_future(trainer.run()) for trainer in self.trainers]
        streams = [asyncio.ensure_future(stream.run(duration_s, rest_s)) for stream in self.streams]
        try:
            await asyncio.wait(trainers, timeout=duration_s) if trainers else await asyncio.sleep(duration_s)
            await _stop(trainers)
            await asyncio.gather(*streams)
        finally:
            await _stop([*trainers, *streams])
        return self.tally

    def _trainer(self, parameters: TrainerParameters) -> Trainer:
        return Trainer(
            parameters,
            self.parameters.model(parameters.model),
            self._pool_of(parameters.model),
            self._service_for(parameters.name),
            self._store_weights,
            Random(f"{self._seed}/{parameters.name}"),
            self._record,
        )

    def _stream(self, parameters: ArrivalParameters) -> ArrivalStream:
        return ArrivalStream(
            parameters,
            self.parameters.model(parameters.model) if parameters.model else None,
            self._pool_of(parameters.model),
            self._service_for(parameters.name),
            Random(f"{self._seed}/{parameters.name}"),
            self._record,
        )

    def _default_pool(self, model: str) -> str:
        return model or self.parameters.apps.name


async def _stop(tasks: list[asyncio.Future]) -> None:
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
