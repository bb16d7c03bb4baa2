"""All emulated callers of one deployment: its trainers and its streams of interactive calls.

::

    callers = Callers(world.parameters, make_client, world.publish, seed=1)
    tally = await callers.run(duration_s=600.0)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from passgate.check.events import AnyEvent
from passgate.emulator.arrivals import ArrivalStream
from passgate.emulator.caller_outcomes import CallerOutcomes
from passgate.emulator.parameters import ArrivalParameters, DeploymentParameters, TrainerParameters
from passgate.emulator.passgate_client import PassgateClient
from passgate.emulator.trainer import Trainer

ClientFactory = Callable[[str], PassgateClient]
"""Returns a client of passgate for the named caller."""


class Callers:
    """The callers of a deployment and their outcomes so far.

    Trainers start at their models' boot versions.  ``store_weights`` puts a version of a model into the
    weight store.  ``pool_of`` returns the pool of a model, or of the application service for ``""``; by
    default the pool has the name of the model or service.
    """

    def __init__(
        self,
        parameters: DeploymentParameters,
        make_client: ClientFactory,
        store_weights: Callable[[str, int], None],
        seed: int,
        record_event: Callable[[AnyEvent], None] | None = None,
        pool_of: Callable[[str], str] | None = None,
    ) -> None:
        self.parameters = parameters
        self._make_client = make_client
        self._store_weights = store_weights
        self._seed = seed
        self._record_event = record_event
        self._pool_of = pool_of or self._default_pool
        self.trainers = [self._make_trainer(trainer) for trainer in parameters.trainers]
        self.arrival_streams = [self._make_stream(arrivals) for arrivals in parameters.arrivals]

    @property
    def outcomes(self) -> CallerOutcomes:
        """Outcomes so far; the lists are new, but their items go on counting."""
        return CallerOutcomes(
            trainers=[trainer.outcomes for trainer in self.trainers],
            arrivals=[stream.outcomes for stream in self.arrival_streams],
        )

    async def run(self, duration_s: float, drain_timeout_s: float = 60.0) -> CallerOutcomes:
        """Run all callers for ``duration_s``, then wait up to ``drain_timeout_s`` for interactive calls.

        Raises the exception of a trainer or stream that failed unexpectedly, though not before
        ``duration_s`` is over.
        """
        trainers = [asyncio.ensure_future(trainer.run()) for trainer in self.trainers]
        streams = [
            asyncio.ensure_future(stream.run(duration_s, drain_timeout_s)) for stream in self.arrival_streams
        ]
        try:
            await asyncio.wait(trainers, timeout=duration_s) if trainers else await asyncio.sleep(duration_s)
            await _cancel_all(trainers)
            await asyncio.gather(*streams)
        finally:
            await _cancel_all([*trainers, *streams])
        return self.outcomes

    def _make_trainer(self, parameters: TrainerParameters) -> Trainer:
        return Trainer(
            parameters,
            self.parameters.model(parameters.model),
            self._pool_of(parameters.model),
            self._make_client(parameters.name),
            self._store_weights,
            Random(f"{self._seed}/{parameters.name}"),
            self._record_event,
        )

    def _make_stream(self, parameters: ArrivalParameters) -> ArrivalStream:
        return ArrivalStream(
            parameters,
            self.parameters.model(parameters.model) if parameters.model else None,
            self._pool_of(parameters.model),
            self._make_client(parameters.name),
            Random(f"{self._seed}/{parameters.name}"),
            self._record_event,
        )

    def _default_pool(self, model: str) -> str:
        return model or self.parameters.apps.name


async def _cancel_all(tasks: list[asyncio.Future]) -> None:
    """Cancel tasks and wait for them; raises the first exception of one that failed by itself."""
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
