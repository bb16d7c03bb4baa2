"""Operators who race one another over HTTP, and the watch on each daemon's configuration."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

import msgspec

from passgate.check.events import (
    AnyEvent,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationInvoked,
    ConfigurationObject,
    ConfigurationRefused,
)
from passgate.check.simulation.operators import value_digest
from passgate.clock import monotonic_s
from passgate.errors import PassgateError, RevisionConflict
from passgate.operator_client import OperatorClient, rebuild_error
from passgate.server.wire import ApplyObject, ConfigList, ConfigObjectView
from passgate.state.specs import SPEC_TYPES, PriorityClassSpec

KIND = "PriorityClass"
OBJECTS = 2
SHORTEST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 1.5
CALL_TIMEOUT_S = 6.0
WATCH_PERIOD_S = 0.1
UNCONDITIONAL_SHARE = 0.3
DELETE_SHARE = 0.15

Record = Callable[[AnyEvent], None]


def in_force(daemon: str, config: ConfigList) -> ConfigurationInForce:
    """Return the event of a daemon's answer to "what is in force"."""
    objects = sorted((_held(item) for item in config.objects), key=lambda item: item.name)
    return ConfigurationInForce(
        time_s=monotonic_s(), daemon=daemon, revision=config.revision, objects=tuple(objects)
    )


def _held(item: ConfigObjectView) -> ConfigurationObject:
    spec = msgspec.json.decode(item.spec, type=SPEC_TYPES[item.kind])
    value = value_digest(item.labels, spec)
    return ConfigurationObject(name=f"{item.kind}/{item.name}", revision=item.revision, value=value)


async def watch_daemon(daemon: str, client: OperatorClient, record: Record) -> None:
    """Record each new revision that a daemon has in force, until cancelled."""
    known = None
    while True:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                config = await client.list_objects()
        except (PassgateError, TimeoutError):
            config = None
        if config is not None and config.revision != known:
            known = config.revision
            record(in_force(daemon, config))
        await asyncio.sleep(WATCH_PERIOD_S)


class SocketOperator:
    """Changes, creates and deletes objects through daemons' operators' ports."""

    def __init__(
        self, name: str, clients: Callable[[], list[OperatorClient]], random: Random, record: Record
    ) -> None:
        """Prepare an operator; ``clients`` returns the daemons that serve at the moment."""
        self._name = name
        self._clients = clients
        self._random = random
        self._record = record

    async def run(self) -> None:
        """Make one change after the other until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))
            await self.change(f"class-{self._random.randrange(OBJECTS)}")

    async def change(self, name: str) -> None:
        """Read one object and replace, create or delete it, through any daemon."""
        clients = self._clients()
        if not clients:
            return
        client = self._random.choice(clients)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                current = await self.revision(client, name)
                expected = None if self._random.random() < UNCONDITIONAL_SHARE else current
                is_deletion = current > 0 and self._random.random() < DELETE_SHARE
                await self.attempt(client, name, expected, is_deletion)
        except (PassgateError, TimeoutError):
            return  # without an outcome the change may be in force or not

    async def create(self, client: OperatorClient, name: str) -> None:
        """Create one object through one daemon, unless another operator was first."""
        with contextlib.suppress(PassgateError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self.attempt(client, name, 0)

    async def revision(self, client: OperatorClient, name: str) -> int:
        """Return an object's revision on one daemon, 0 when there is none."""
        config = await client.list_objects(KIND)
        return next((item.revision for item in config.objects if item.name == name), 0)

    async def attempt(
        self, client: OperatorClient, name: str, expected: int | None, is_deletion: bool = False
    ) -> None:
        """Send one change and record what came of it; raises PassgateError."""
        spec = PriorityClassSpec(weight=round(self._random.uniform(1, 9), 6))
        labels = {"by": self._name}
        value = "" if is_deletion else value_digest(labels, spec)
        full_name = f"{KIND}/{name}"
        invoked = ConfigurationInvoked(
            time_s=monotonic_s(), name=full_name, expected_revision=expected, value=value
        )
        self._record(invoked)
        try:
            if is_deletion:
                revision = (await client.delete(KIND, name, expected)).revision
            else:
                revision = await _put(client, name, labels, spec, expected)
        except RevisionConflict as error:
            self._refused(full_name, expected, error)
            return
        accepted = ConfigurationAccepted(
            time_s=monotonic_s(), name=full_name, expected_revision=expected, revision=revision, value=value
        )
        self._record(accepted)

    def _refused(self, name: str, expected: int | None, error: RevisionConflict) -> None:
        if expected is None:
            return
        winning = int(error.details["revision"])
        refused = ConfigurationRefused(
            time_s=monotonic_s(), name=name, expected_revision=expected, winning_revision=winning
        )
        self._record(refused)


async def _put(
    client: OperatorClient, name: str, labels: dict[str, str], spec: PriorityClassSpec, expected: int | None
) -> int:
    item = ApplyObject(
        kind=KIND,
        name=name,
        labels=labels,
        spec=msgspec.Raw(msgspec.json.encode(spec)),
        expected_revision=expected,
    )
    result = (await client.apply((item,))).results[0]
    if result.error is not None:
        raise rebuild_error(result.error)
    assert result.revision is not None
    return result.revision
