"""Configuration service: changes by operators, and what is in force on this daemon.

::

    service = ConfigurationService(log, writer="caruaru-1/7f3a", random=random)
    service.start()
    await service.wait_ready(minimum_revision, timeout_s=30.0)
    revision = await service.put("Pool", "modelos", {"tier": "gold"}, spec, 0, timeout_s=2.0)
    pool = service.state.select_pool(Selector.parse("tier=gold"), MachineRole.ENGINE)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import DeadlineExceeded, DurabilityUnavailable, DurabilityUnknown, ExecutionStatus
from passgate.interfaces import LogClient, LogEntry
from passgate.records import ObjectDeleted, ObjectPut, ProposalWithdrawn, Record, SnapshotTaken
from passgate.schema import Labels
from passgate.state.configuration_state import ConfigObject, ConfigurationState
from passgate.state.fold import Accepted, Decision, Rejected
from passgate.state.log_follower import LogFollower
from passgate.state.specs import (
    ModelVersionSpec,
    PoolSpec,
    PriorityClassSpec,
    Spec,
    check_labels,
    check_name,
    decode_spec,
)

__all__ = [
    "ConfigObject",
    "ConfigurationService",
    "ConfigurationState",
    "ModelVersionSpec",
    "PoolSpec",
    "PriorityClassSpec",
    "Spec",
]

STREAM = "config"
READY_POLL_S = 0.01
CONFIRM_ATTEMPT_S = 1.0
CONFIRM_PATIENCE_S = 5.0
"""After so long without an append to the log a starting daemon goes by what it could read."""
RETAINED_ENTRIES = 512
"""Latest entries kept for peers that can not reach the log."""
Subscriber = Callable[[ConfigurationState], None]


class ConfigurationService:
    """Follows and changes the configuration stream."""

    def __init__(self, log: LogClient, writer: str, random: Random | None = None) -> None:
        self.state = ConfigurationState()
        self._subscribers: list[Subscriber] = []
        self._confirming: asyncio.Task[None] | None = None
        self.follower = LogFollower(
            log,
            STREAM,
            self.state,
            writer,
            use_snapshots=True,
            retained_entries=RETAINED_ENTRIES,
            on_applied=self._applied,
            random=random,
        )
        self.follower.on_restored = self._notify

    def start(self) -> None:
        """Begin to follow the configuration."""
        self.follower.start()

    async def close(self) -> None:
        """Stop following."""
        if self._confirming is not None:
            self._confirming.cancel()
        await self.follower.close()

    def ready_at(self, minimum_revision: int) -> bool:
        """Return whether this daemon may serve.

        It may once a record of its own came back to it: then it has all that was
        accepted before it started, which no replica of the log that lags behind can
        show.  While the log takes no record, it may after a while with what it has
        read or was given, if that is all that a peer is known to have in force.
        """
        if self._confirming is None:
            self._confirming = asyncio.ensure_future(self._confirm())
        has_read = self.follower.synchronised or self.follower.next_offset > 0
        return self.follower.next_offset >= minimum_revision and has_read and self._confirming.done()

    async def wait_ready(self, minimum_revision: int, timeout_s: float) -> None:
        """Wait until :meth:`ready_at` holds.

        Raises:
            DeadlineExceeded: it did not get there in time.
        """
        deadline_s = monotonic_s() + timeout_s
        while not self.ready_at(minimum_revision):
            if monotonic_s() >= deadline_s:
                raise DeadlineExceeded(
                    "the configuration is not known yet", execution=ExecutionStatus.NOT_RUN
                )
            await asyncio.sleep(min(READY_POLL_S, timeout_s))

    async def _confirm(self) -> None:
        """Pass a record of our own, or run out of patience."""
        deadline_s = monotonic_s() + CONFIRM_PATIENCE_S
        while monotonic_s() < deadline_s or self.follower.is_behind:
            try:
                await self.follower.propose(ProposalWithdrawn(), timeout_s=CONFIRM_ATTEMPT_S)
            except (DurabilityUnavailable, DurabilityUnknown):
                continue
            return

    async def put(
        self,
        kind: str,
        name: str,
        labels: Labels,
        spec: Spec | bytes,
        expected_revision: int | None,
        timeout_s: float,
    ) -> int:
        """Create or replace an object and return its new revision.

        ``spec`` is the typed specification or its JSON.  Returns only when the
        record is on the log and in force here.

        Raises:
            MalformedBody: details name ``field``.
            RevisionConflict: details name the winning ``revision`` and its ``winner``.
            DurabilityUnavailable: it is not on the log and never will be.
            DurabilityUnknown: it may be on the log.
        """
        spec_json = spec if isinstance(spec, bytes) else msgspec.json.encode(spec)
        check_name(name)
        check_labels(labels)
        decode_spec(kind, spec_json, strict=True)
        body = ObjectPut(
            object_kind=kind,
            name=name,
            expected_revision=expected_revision,
            labels=labels,
            spec=msgspec.Raw(spec_json),
        )
        return _revision(await self.follower.propose(body, timeout_s=timeout_s))

    async def delete(self, kind: str, name: str, expected_revision: int | None, timeout_s: float) -> int:
        """Delete an object and return the revision of the whole; raises as :meth:`put` and NotFound."""
        body = ObjectDeleted(object_kind=kind, name=name, expected_revision=expected_revision)
        return _revision(await self.follower.propose(body, timeout_s=timeout_s))

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` after each accepted change, also of other daemons."""
        self._subscribers.append(callback)

    def records_since(self, offset: int) -> tuple[LogEntry, ...]:
        """Return retained log entries from ``offset`` for a peer; empty when not retained."""
        return self.follower.entries_since(offset)

    def adopt(self, entries: Sequence[LogEntry]) -> int:
        """Apply a peer's entries that follow ours without a gap; return how many."""
        return self.follower.adopt(entries)

    def snapshot(self) -> SnapshotTaken | None:
        """Return all that is in force here, for a peer that starts while the log is down."""
        return self.follower.snapshot()

    def adopt_snapshot(self, snapshot: SnapshotTaken) -> bool:
        """Start from a peer's snapshot; return False when this daemon already has as much."""
        return self.follower.restore(snapshot)

    def _applied(self, offset: int, record: Record, decision: Decision) -> None:
        if isinstance(decision, Accepted):
            self._notify()

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber(self.state)


def _revision(decision: Decision) -> int:
    if isinstance(decision, Rejected):
        raise decision.error
    assert isinstance(decision.value, int)
    return decision.value
