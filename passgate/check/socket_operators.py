"""Operators that make concurrent changes over HTTP, and the recording of daemons' configurations."""

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
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.5
CALL_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.1
UNCONDITIONAL_SHARE = 0.3
DELETE_SHARE = 0.15

RecordEvent = Callable[[AnyEvent], None]


def make_configuration_event(daemon: str, config: ConfigList) -> ConfigurationInForce:
    """Return the event for the active configuration that a daemon returned."""
    objects = sorted(
        (_make_configuration_object(item) for item in config.objects), key=lambda item: item.name
    )
    return ConfigurationInForce(
        time_s=monotonic_s(), daemon=daemon, revision=config.revision, objects=tuple(objects)
    )


def _make_configuration_object(item: ConfigObjectView) -> ConfigurationObject:
    spec = msgspec.json.decode(item.spec, type=SPEC_TYPES[item.kind])
    value = value_digest(item.labels, spec)
    return ConfigurationObject(name=f"{item.kind}/{item.name}", revision=item.revision, value=value)


async def record_revisions(daemon: str, client: OperatorClient, record: RecordEvent) -> None:
    """Poll a daemon and record each new revision of its active configuration, until cancelled."""
    recorded_revision = None
    while True:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                config = await client.list_objects()
        except (PassgateError, TimeoutError):
            config = None
        if config is not None and config.revision != recorded_revision:
            recorded_revision = config.revision
            record(make_configuration_event(daemon, config))
        await asyncio.sleep(POLL_INTERVAL_S)


class SocketOperator:
    """Changes, creates and deletes objects through the operator ports of daemons."""

    def __init__(
        self, name: str, list_clients: Callable[[], list[OperatorClient]], random: Random, record: RecordEvent
    ) -> None:
        """Prepare an operator; ``list_clients`` returns clients of the daemons that serve now."""
        self._name = name
        self._list_clients = list_clients
        self._random = random
        self._record = record

    async def run(self) -> None:
        """Make changes one after the other until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            await self.change_object(f"class-{self._random.randrange(OBJECTS)}")

    async def change_object(self, name: str) -> None:
        """Read one object and replace, create or delete it through a random daemon; errors are ignored."""
        clients = self._list_clients()
        if not clients:
            return
        client = self._random.choice(clients)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                current = await self.read_revision(client, name)
                expected = None if self._random.random() < UNCONDITIONAL_SHARE else current
                is_deletion = current > 0 and self._random.random() < DELETE_SHARE
                await self.send_change(client, name, expected, is_deletion)
        except (PassgateError, TimeoutError):
            return  # the history has no outcome: the change may have taken effect or not

    async def create_object(self, client: OperatorClient, name: str) -> None:
        """Create one object through one daemon if it does not exist; errors are ignored."""
        with contextlib.suppress(PassgateError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self.send_change(client, name, 0)

    async def read_revision(self, client: OperatorClient, name: str) -> int:
        """Return the revision of an object on one daemon, or 0 if it does not exist."""
        config = await client.list_objects(KIND)
        return next((item.revision for item in config.objects if item.name == name), 0)

    async def send_change(
        self, client: OperatorClient, name: str, expected: int | None, is_deletion: bool = False
    ) -> None:
        """Send one change and record it with its outcome; raises PassgateError except for conflicts."""
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
            self._record_conflict(full_name, expected, error)
            return
        accepted = ConfigurationAccepted(
            time_s=monotonic_s(), name=full_name, expected_revision=expected, revision=revision, value=value
        )
        self._record(accepted)

    def _record_conflict(self, name: str, expected: int | None, error: RevisionConflict) -> None:
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
