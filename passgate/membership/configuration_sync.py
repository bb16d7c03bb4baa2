"""Pulls missing configuration entries from peers that have applied more of the log.

Each daemon publishes to its direct peers the first offset of the configuration stream that
it has not applied.  A daemon that is behind waits ``LOG_GRACE_PERIOD_S`` for the log, then
pulls the missing entries from a peer, so an accepted change becomes active everywhere even
while only one daemon can read the log.  Pulled entries are log entries, applied in offset
order without gaps, so a pull never moves a daemon backwards.

::

    sync = ConfigurationSync(agent, configuration_service, random)
    sync.start()
    await sync.wait_ready(timeout_s=30.0)
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Sequence
from random import Random
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import DeadlineExceeded, ExecutionStatus, PeerError
from passgate.interfaces import LogEntry
from passgate.membership.agent import MembershipAgent
from passgate.membership.messages import MemberInfo, MemberState
from passgate.records import SnapshotTaken

REVISION_KEY = "configuration"
RECORDS_METHOD = "configuration.records"
SNAPSHOT_METHOD = "configuration.snapshot"
REVISION_METHOD = "configuration.revision"

LOG_GRACE_PERIOD_S = 0.5
"""Time allowed for the log to deliver a change that a peer has already applied."""
RETRY_DELAY_S = 0.5
"""Delay after a failed pull, and between the queries of ``wait_ready``."""
CALL_TIMEOUT_S = 2.0
REFRESH_INTERVAL_S = 1.0
"""Interval at which the own revision is checked without a notification."""
PAGE_BYTES = 256_000
"""Maximum payload size of a page of entries; a single larger entry is still sent."""
PEERS_QUERIED_AT_START = 5
"""Number of peers that a starting daemon queries for their revision."""
CONCURRENT_QUERIES = 16
"""Maximum number of concurrent revision queries."""


class Follower(Protocol):
    """The attribute of the log follower that is used here."""

    @property
    def next_offset(self) -> int:
        """First offset not yet applied."""
        ...


class ConfigurationSource(Protocol):
    """The members of :class:`passgate.state.configuration.ConfigurationService` that are used here."""

    follower: Follower

    def records_since(self, offset: int) -> Sequence[LogEntry]:
        """Return the retained entries from ``offset`` on; empty when that entry is not retained."""
        ...

    def adopt(self, entries: Sequence[LogEntry]) -> int:
        """Apply the entries that follow the own state without a gap; return how many."""
        ...

    def snapshot(self) -> SnapshotTaken | None:
        """Return the complete state for a peer; None when this daemon has none to give."""
        ...

    def adopt_snapshot(self, snapshot: SnapshotTaken) -> bool:
        """Replace the state by a newer snapshot; False when it is not newer or not readable."""
        ...

    def ready_at(self, minimum_revision: int) -> bool:
        """Return whether all records before ``minimum_revision`` are applied."""
        ...

    def subscribe(self, callback) -> None:
        """Register ``callback``, which is called with the state after each accepted change."""
        ...


class RecordsRequest(msgspec.Struct, frozen=True):
    """Request for the entries from ``offset`` on."""

    offset: int


class RecordsPage(msgspec.Struct, frozen=True):
    """Consecutive entries; empty when the peer does not retain the requested one."""

    entries: tuple[LogEntry, ...]


class RevisionReport(msgspec.Struct, frozen=True):
    """First offset that the replying daemon has not applied."""

    next_offset: int


class MemberRevision(msgspec.Struct, frozen=True):
    """Revision that one member has applied, for operators."""

    member_id: str
    zone: str
    state: MemberState
    next_offset: int | None
    """First offset that the member has not applied; None when it did not answer."""


class SyncCounters(msgspec.Struct):
    """Counts since the start."""

    pulls: int = 0
    pull_failures: int = 0
    entries_adopted: int = 0
    snapshots_adopted: int = 0


class ConfigurationSync:
    """Brings this daemon's configuration up to the highest revision of its peers."""

    def __init__(self, agent: MembershipAgent, source: ConfigurationSource, random: Random) -> None:
        self.counters = SyncCounters()
        self._agent = agent
        self._source = source
        self._random = random
        self._peers_ahead_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    # --- lifecycle ------------------------------------------------------------------------

    def start(self) -> None:
        """Start answering peers and pulling from them; needs a running event loop."""
        self._agent.register_handler(RECORDS_METHOD, self._answer_records)
        self._agent.register_handler(SNAPSHOT_METHOD, self._answer_snapshot)
        self._agent.register_handler(REVISION_METHOD, self._answer_revision)
        self._agent.subscribe_peers_ahead(REVISION_KEY, self._peers_ahead_changed.set)
        self._source.subscribe(lambda _state: self._publish_revision())
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop pulling; peers are still answered."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until this daemon has applied everything that any queried peer has applied.

        Raises:
            DeadlineExceeded: not reached within ``timeout_s``.
        """
        deadline_s = monotonic_s() + timeout_s
        minimum = 0
        while True:
            minimum = max(minimum, await self.highest_known_revision())
            if self._source.ready_at(minimum):
                return
            if monotonic_s() >= deadline_s:
                raise DeadlineExceeded(
                    "configuration did not reach the minimum revision",
                    execution=ExecutionStatus.NOT_RUN,
                    minimum=minimum,
                )
            await asyncio.sleep(RETRY_DELAY_S)

    # --- views ------------------------------------------------------------------------------

    async def highest_known_revision(self) -> int:
        """Return the highest revision of this daemon, some queried peers and the peers known to be ahead."""
        peers = self._live_peers()
        queried_peers = self._random.sample(peers, min(PEERS_QUERIED_AT_START, len(peers)))
        reports = await self._query_revisions(queried_peers)
        reported_offsets = [report.next_offset for report in reports if report.next_offset is not None]
        announced_offsets = self._agent.peers_ahead(REVISION_KEY).values()
        return max(self._next_offset, *reported_offsets, *announced_offsets, 0)

    async def member_revisions(self) -> list[MemberRevision]:
        """Return the revision of this daemon and of every live member, which are queried for it."""
        self_info = self._agent.self_info
        own_revision = MemberRevision(self_info.member_id, self_info.zone, self_info.state, self._next_offset)
        return [own_revision, *await self._query_revisions(self._live_peers())]

    async def _query_revisions(self, members: Iterable[MemberInfo]) -> list[MemberRevision]:
        limit = asyncio.Semaphore(CONCURRENT_QUERIES)
        return list(await asyncio.gather(*(self._query_revision(member, limit) for member in members)))

    async def _query_revision(self, member: MemberInfo, limit: asyncio.Semaphore) -> MemberRevision:
        async with limit:
            try:
                answer = await self._agent.call(member.member_id, REVISION_METHOD, b"", CALL_TIMEOUT_S)
                next_offset = msgspec.json.decode(answer, type=RevisionReport).next_offset
            except (PeerError, msgspec.MsgspecError):
                next_offset = None
        return MemberRevision(member.member_id, member.zone, member.state, next_offset)

    def _live_peers(self) -> list[MemberInfo]:
        own_id = self._agent.self_info.member_id
        return [
            member
            for member in self._agent.members()
            if member.member_id != own_id and self._agent.is_alive(member.member_id)
        ]

    # --- requests from peers ------------------------------------------------------------------

    async def _answer_records(self, payload: bytes) -> bytes:
        request = msgspec.json.decode(payload, type=RecordsRequest)
        chosen: list[LogEntry] = []
        size_bytes = 0
        for entry in self._source.records_since(request.offset):
            size_bytes += len(entry.payload)
            if chosen and size_bytes > PAGE_BYTES:
                break
            chosen.append(entry)
        return msgspec.json.encode(RecordsPage(tuple(chosen)))

    async def _answer_snapshot(self, payload: bytes) -> bytes:
        snapshot = self._source.snapshot()
        return b"" if snapshot is None else msgspec.json.encode(snapshot)

    async def _answer_revision(self, payload: bytes) -> bytes:
        return msgspec.json.encode(RevisionReport(self._next_offset))

    # --- pulling --------------------------------------------------------------------------------

    @property
    def _next_offset(self) -> int:
        return self._source.follower.next_offset

    def _publish_revision(self) -> None:
        self._agent.set_revision(REVISION_KEY, self._next_offset)

    async def _run(self) -> None:
        while True:
            await self._wait_for_change()
            if not self._refresh_peers_ahead():
                continue
            await asyncio.sleep(LOG_GRACE_PERIOD_S)
            while self._refresh_peers_ahead():
                if not await self._pull():
                    await asyncio.sleep(RETRY_DELAY_S)

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._peers_ahead_changed.wait(), REFRESH_INTERVAL_S)
        self._peers_ahead_changed.clear()

    def _refresh_peers_ahead(self) -> list[str]:
        self._publish_revision()
        return sorted(self._agent.peers_ahead(REVISION_KEY))

    async def _pull(self) -> bool:
        """Pull once from a random peer that is ahead; return whether the own revision has increased."""
        address = self._random.choice(self._refresh_peers_ahead())
        self.counters.pulls += 1
        try:
            advanced = await self._pull_entries(address) or await self._pull_snapshot(address)
        except (PeerError, msgspec.MsgspecError):
            advanced = False
        if advanced:
            self._publish_revision()
        else:
            self.counters.pull_failures += 1
            self._agent.forget_peer_revision(REVISION_KEY, address)
        return advanced

    async def _pull_entries(self, address: str) -> bool:
        request = msgspec.json.encode(RecordsRequest(self._next_offset))
        answer = await self._agent.call_address(address, RECORDS_METHOD, request, CALL_TIMEOUT_S)
        page = msgspec.json.decode(answer, type=RecordsPage)
        offset_before = self._next_offset
        self.counters.entries_adopted += self._source.adopt(page.entries)
        return self._next_offset > offset_before

    async def _pull_snapshot(self, address: str) -> bool:
        offset_before = self._next_offset
        answer = await self._agent.call_address(address, SNAPSHOT_METHOD, b"", CALL_TIMEOUT_S)
        if not answer:
            return False
        # The log may have delivered newer records meanwhile; an older snapshot is then refused.
        snapshot = msgspec.json.decode(answer, type=SnapshotTaken)
        if self._source.adopt_snapshot(snapshot):
            self.counters.snapshots_adopted += 1
        return self._next_offset > offset_before
