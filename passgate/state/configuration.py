"""Configuration service: applies the replicated configuration here and changes it for all daemons.

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
from passgate.state.log_follower import LogFollower
from passgate.state.projection import Accepted, Decision, Rejected
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
READY_POLL_INTERVAL_S = 0.01
CONFIRM_ATTEMPT_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 5.0
"""Time after which a starting daemon whose appends fail may serve with the records that it has."""
RETAINED_ENTRIES = 512
"""Latest entries kept for peers that can not reach the log."""
Subscriber = Callable[[ConfigurationState], None]


class ConfigurationService:
    """Follows the configuration stream and appends changes to it."""

    def __init__(self, log: LogClient, writer: str, random: Random | None = None) -> None:
        self.state = ConfigurationState()
        self._subscribers: list[Subscriber] = []
        self._confirm_task: asyncio.Task[None] | None = None
        self.follower = LogFollower(
            log,
            STREAM,
            self.state,
            writer,
            use_snapshots=True,
            retained_entries=RETAINED_ENTRIES,
            on_applied=self._notify_if_accepted,
            random=random,
        )
        self.follower.on_restored = self._notify

    def start(self) -> None:
        """Start to follow the configuration stream."""
        self.follower.start()

    async def close(self) -> None:
        """Stop following; changes in progress fail with DurabilityUnavailable or DurabilityUnknown."""
        if self._confirm_task is not None:
            self._confirm_task.cancel()
        await self.follower.close()

    def ready_at(self, minimum_revision: int) -> bool:
        """Return whether this daemon's configuration is recent enough to serve.

        The first call starts a check: the daemon appends a record and reads it back,
        which proves that it has applied every change accepted before its start.
        Reading alone does not, because the log replica that answers may lag.

        When the append does not succeed within :data:`CONFIRM_TIMEOUT_S`, the daemon
        may serve with the configuration that it has read or got from a peer.
        ``minimum_revision`` is the lowest revision that it must have in any case, such
        as the highest one that a peer has applied.
        """
        if self._confirm_task is None:
            self._confirm_task = asyncio.ensure_future(self._confirm_up_to_date())
        has_read = self.follower.is_synchronised or self.follower.next_offset > 0
        return self.follower.next_offset >= minimum_revision and has_read and self._confirm_task.done()

    async def wait_ready(self, minimum_revision: int, timeout_s: float) -> None:
        """Wait until :meth:`ready_at` returns True.

        Raises:
            DeadlineExceeded: ``timeout_s`` passed first.
        """
        deadline_s = monotonic_s() + timeout_s
        while not self.ready_at(minimum_revision):
            if monotonic_s() >= deadline_s:
                raise DeadlineExceeded(
                    "the configuration was not up to date in time", execution=ExecutionStatus.NOT_RUN
                )
            await asyncio.sleep(min(READY_POLL_INTERVAL_S, timeout_s))

    async def _confirm_up_to_date(self) -> None:
        """Append an empty record and wait until it is applied here.

        Gives up after :data:`CONFIRM_TIMEOUT_S`, but not while the log is known to hold
        records that are not applied yet.
        """
        deadline_s = monotonic_s() + CONFIRM_TIMEOUT_S
        while monotonic_s() < deadline_s or self.follower.is_behind:
            try:
                await self.follower.propose(ProposalWithdrawn(), timeout_s=CONFIRM_ATTEMPT_TIMEOUT_S)
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

        ``spec`` is the typed specification or its JSON.  ``expected_revision`` is the
        revision of the object that the change replaces: 0 when it must not exist, None
        for any.  Returns when the change is on the log and applied here.

        Raises:
            MalformedBody: name, labels or specification are not valid; details name ``field``.
            RevisionConflict: the object has another revision; details name that
                ``revision`` and the writer of it as ``winner``.
            DurabilityUnavailable: the change is not on the log and never will be.
            DurabilityUnknown: ``timeout_s`` passed and the change may be on the log.
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
        return _revision_or_raise(await self.follower.propose(body, timeout_s=timeout_s))

    async def delete(self, kind: str, name: str, expected_revision: int | None, timeout_s: float) -> int:
        """Delete an object and return the new revision of the configuration.

        Raises:
            NotFound: the object does not exist.
            RevisionConflict, DurabilityUnavailable, DurabilityUnknown: as :meth:`put`.
        """
        body = ObjectDeleted(object_kind=kind, name=name, expected_revision=expected_revision)
        return _revision_or_raise(await self.follower.propose(body, timeout_s=timeout_s))

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` after each accepted change of any daemon and after each restored snapshot."""
        self._subscribers.append(callback)

    def records_since(self, offset: int) -> tuple[LogEntry, ...]:
        """Return the retained log entries from ``offset`` on; empty when that offset is not retained."""
        return self.follower.entries_since(offset)

    def adopt(self, entries: Sequence[LogEntry]) -> int:
        """Apply log entries from a peer up to the first gap; return how many were applied."""
        return self.follower.apply_entries(entries)

    def snapshot(self) -> SnapshotTaken | None:
        """Return the applied configuration for a peer that can not read the log.

        Returns None when nothing is applied, or when records of unknown kinds were skipped.
        """
        return self.follower.snapshot()

    def adopt_snapshot(self, snapshot: SnapshotTaken) -> bool:
        """Replace the configuration by a peer's snapshot; return whether that was done.

        Refused when the snapshot is not newer or not readable, and while an own change
        may be on the log undecided.
        """
        return self.follower.restore(snapshot)

    def _notify_if_accepted(self, offset: int, record: Record, decision: Decision) -> None:
        if isinstance(decision, Accepted):
            self._notify()

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber(self.state)


def _revision_or_raise(decision: Decision) -> int:
    """Return the revision of an accepted change; raise the error of a rejected one."""
    if isinstance(decision, Rejected):
        raise decision.error
    assert isinstance(decision.value, int)
    return decision.value
