"""Operators that make concurrent changes to a few objects and record the outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
import xxhash

from passgate.check.events import (
    AnyEvent,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationInvoked,
    ConfigurationObject,
    ConfigurationRefused,
)
from passgate.check.simulation.process import SimulatedProcess
from passgate.clock import monotonic_s
from passgate.errors import PassgateError, RevisionConflict
from passgate.schema import Labels
from passgate.state.configuration import ConfigurationState
from passgate.state.specs import SPEC_TYPES, PriorityClassSpec, Spec

KIND = "PriorityClass"
OBJECTS = 2
"""Number of objects that all operators share."""
PUT_TIMEOUT_S = 3.0
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
UNCONDITIONAL_SHARE = 0.3
"""Share of the changes that expect no revision."""
DELETE_SHARE = 0.15


def value_digest(labels: Labels, spec: Spec) -> str:
    """Return the digest that stands for an object's value in histories."""
    return xxhash.xxh64_hexdigest(msgspec.json.encode((sorted(labels.items()), spec)))


def make_configuration_event(daemon: str, state: ConfigurationState) -> ConfigurationInForce:
    """Return the event for a daemon's active configuration."""
    objects = [entry for kind in SPEC_TYPES for entry in state.objects(kind)]
    applied = tuple(
        ConfigurationObject(
            name=f"{entry.kind}/{entry.name}",
            revision=entry.revision,
            value=value_digest(entry.labels, entry.spec),
        )
        for entry in objects
    )
    return ConfigurationInForce(time_s=monotonic_s(), daemon=daemon, revision=state.revision, objects=applied)


class RacingOperator:
    """Changes, creates and deletes objects through random daemons that are ready."""

    def __init__(
        self,
        name: str,
        processes: dict[str, SimulatedProcess],
        random: Random,
        record: Callable[[AnyEvent], None],
    ) -> None:
        self._name = name
        self._processes = processes
        self._random = random
        self._record = record

    async def run(self) -> None:
        """Make changes one after the other until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            ready = [process for name, process in sorted(self._processes.items()) if process.is_ready]
            if ready:
                await self._change_object(self._random.choice(ready))

    async def _change_object(self, process: SimulatedProcess) -> None:
        name = f"class-{self._random.randrange(OBJECTS)}"
        current = process.components.configuration.state.get(KIND, name)
        expected = current.revision if current is not None else 0
        is_unconditional = self._random.random() < UNCONDITIONAL_SHARE
        is_deletion = current is not None and self._random.random() < DELETE_SHARE
        await self._send_change(process, name, None if is_unconditional else expected, is_deletion)

    async def _send_change(
        self, process: SimulatedProcess, name: str, expected: int | None, is_deletion: bool
    ) -> None:
        spec = PriorityClassSpec(weight=round(self._random.uniform(1, 9), 6))
        labels = {"by": self._name}
        value = "" if is_deletion else value_digest(labels, spec)
        full_name = f"{KIND}/{name}"
        self._record(
            ConfigurationInvoked(
                time_s=monotonic_s(), name=full_name, expected_revision=expected, value=value
            )
        )
        service = process.components.configuration
        try:
            if is_deletion:
                revision = await service.delete(KIND, name, expected, PUT_TIMEOUT_S)
            else:
                revision = await service.put(KIND, name, labels, spec, expected, PUT_TIMEOUT_S)
        except PassgateError as error:
            if isinstance(error, RevisionConflict) and expected is not None and not process.ended.done():
                self._record_conflict(full_name, expected, error)
            return
        if not process.ended.done():
            accepted = ConfigurationAccepted(
                time_s=monotonic_s(),
                name=full_name,
                expected_revision=expected,
                revision=revision,
                value=value,
            )
            self._record(accepted)

    def _record_conflict(self, name: str, expected: int, error: RevisionConflict) -> None:
        refused = ConfigurationRefused(
            time_s=monotonic_s(),
            name=name,
            expected_revision=expected,
            winning_revision=int(error.details["revision"]),
        )
        self._record(refused)
