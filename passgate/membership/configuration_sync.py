"""Configuration between daemons: who holds which revision, and pulling what is missing.

Each daemon tells direct peers the first offset of the configuration stream that it has
not applied yet.  A daemon behind a peer waits a moment for the log itself, then pulls
the missing entries from that peer.  So an accepted change is in force everywhere also
while only one daemon can read the log.  The entries are the log's own, applied in offset
order without gaps: a pull can only move a daemon forward.

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

HELD_KEY = "configuration"
RECORDS_METHOD = "configuration.records"
SNAPSHOT_METHOD = "configuration.snapshot"
REVISION_METHOD = "configuration.revision"

LOG_GRACE_S = 0.5
"""How long the log itself may take to bring a change that a peer already has."""
RETRY_S = 0.5
"""Wait after a failed pull."""
CALL_TIMEOUT_S = 2.0
REFRESH_S = 1.0
"""How often the own revision is looked at, beside the service's notices."""
PAGE_BYTES = 256_000
"""Most payload bytes of one page of entries."""
ASKED_AT_START = 5
"""Peers asked for their revision by a starting daemon."""
ASKED_AT_ONCE = 16
"""Open calls while all members are asked for their revision."""


class Follower(Protocol):
    """What is used of the log follower."""

    @property
    def next_offset(self) -> int:
        """First offset not yet applied."""
        ...


class ConfigurationSource(Protocol):
    """What is used of :class:`passgate.state.configuration.ConfigurationService`."""

    follower: Follower

    def records_since(self, offset: int) -> Sequence[LogEntry]:
        """Return retained entries from ``offset``; empty when they do not reach back so far."""
        ...

    def adopt(self, entries: Sequence[LogEntry]) -> int:
        """Apply entries that follow without a gap; return how many."""
        ...

    def snapshot(self) -> SnapshotTaken | None:
        """Return the whole state for a peer; None when this daemon can not give one."""
        ...

    def adopt_snapshot(self, snapshot: SnapshotTaken) -> bool:
        """Replace an older state; False when it is not newer or not readable."""
        ...

    def ready_at(self, minimum_revision: int) -> bool:
        """Return whether all records before ``minimum_revision`` are in force."""
        ...

    def subscribe(self, callback) -> None:
        """Call ``callback`` after each accepted change."""
        ...


class RecordsRequest(msgspec.Struct, frozen=True):
    """Ask for the entries from ``offset``."""

    offset: int


class RecordsPage(msgspec.Struct, frozen=True):
    """Entries without gaps; empty when the peer does not retain them."""

    entries: tuple[LogEntry, ...]


class RevisionReport(msgspec.Struct, frozen=True):
    """First offset that the answering daemon has not applied."""

    next_offset: int


class MemberRevision(msgspec.Struct, frozen=True):
    """Revision in force on one member, for operators."""

    member_id: str
    zone: str
    state: MemberState
    next_offset: int | None
    """None when the member did not answer."""


class SyncCounters(msgspec.Struct):
    """Counts since the start, for metrics."""

    pulls: int = 0
    pull_failures: int = 0
    entries_adopted: int = 0
    snapshots_adopted: int = 0


class ConfigurationSync:
    """Keeps this daemon's configuration level with its peers'."""

    def __init__(self, agent: MembershipAgent, source: ConfigurationSource, random: Random) -> None:
        self.counters = SyncCounters()
        self._agent = agent
        self._source = source
        self._random = random
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    # --- life -----------------------------------------------------------------------------

    def start(self) -> None:
        """Answer peers and keep level with them."""
        self._agent.handle(RECORDS_METHOD, self._answer_records)
        self._agent.handle(SNAPSHOT_METHOD, self._answer_snapshot)
        self._agent.handle(REVISION_METHOD, self._answer_revision)
        self._agent.subscribe_ahead(HELD_KEY, self._wake.set)
        self._source.subscribe(lambda _state: self._tell())
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop pulling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until all that any asked peer has in force is in force here.

        Raises:
            DeadlineExceeded: that did not happen in time.
        """
        deadline_s = monotonic_s() + timeout_s
        minimum = 0
        while True:
            minimum = max(minimum, await self.highest_known())
            if self._source.ready_at(minimum):
                return
            if monotonic_s() >= deadline_s:
                raise DeadlineExceeded(
                    "configuration did not arrive", execution=ExecutionStatus.NOT_RUN, minimum=minimum
                )
            await asyncio.sleep(RETRY_S)

    # --- views ------------------------------------------------------------------------------

    async def highest_known(self) -> int:
        """Return the highest revision that this daemon or some asked peers hold."""
        peers = self._living_peers()
        asked = self._random.sample(peers, min(ASKED_AT_START, len(peers)))
        reports = await self._ask(asked)
        told = [report.next_offset for report in reports if report.next_offset is not None]
        heard = self._agent.ahead(HELD_KEY).values()
        return max(self._next_offset, *told, *heard, 0)

    async def revisions(self) -> list[MemberRevision]:
        """Ask every living member for its revision; shows who lags."""
        own = self._agent.self_info
        mine = MemberRevision(own.member_id, own.zone, own.state, self._next_offset)
        return [mine, *await self._ask(self._living_peers())]

    async def _ask(self, members: Iterable[MemberInfo]) -> list[MemberRevision]:
        limit = asyncio.Semaphore(ASKED_AT_ONCE)
        return list(await asyncio.gather(*(self._ask_one(member, limit) for member in members)))

    async def _ask_one(self, member: MemberInfo, limit: asyncio.Semaphore) -> MemberRevision:
        async with limit:
            try:
                answer = await self._agent.call(member.member_id, REVISION_METHOD, b"", CALL_TIMEOUT_S)
                next_offset = msgspec.json.decode(answer, type=RevisionReport).next_offset
            except (PeerError, msgspec.MsgspecError):
                next_offset = None
        return MemberRevision(member.member_id, member.zone, member.state, next_offset)

    def _living_peers(self) -> list[MemberInfo]:
        own_id = self._agent.self_info.member_id
        return [
            member
            for member in self._agent.members()
            if member.member_id != own_id and self._agent.is_alive(member.member_id)
        ]

    # --- answering ----------------------------------------------------------------------------

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

    def _tell(self) -> None:
        self._agent.set_held(HELD_KEY, self._next_offset)

    async def _run(self) -> None:
        while True:
            await self._wait_for_news()
            if not self._peers_ahead():
                continue
            await asyncio.sleep(LOG_GRACE_S)
            while self._peers_ahead():
                if not await self._pull():
                    await asyncio.sleep(RETRY_S)

    async def _wait_for_news(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), REFRESH_S)
        self._wake.clear()

    def _peers_ahead(self) -> list[str]:
        self._tell()
        return sorted(self._agent.ahead(HELD_KEY))

    async def _pull(self) -> bool:
        """Pull once from a peer that is ahead; return whether it brought anything."""
        address = self._random.choice(self._peers_ahead())
        self.counters.pulls += 1
        try:
            brought = await self._pull_records(address) or await self._pull_snapshot(address)
        except (PeerError, msgspec.MsgspecError):
            brought = False
        if brought:
            self._tell()
        else:
            self.counters.pull_failures += 1
            self._agent.forget_ahead(HELD_KEY, address)
        return brought

    async def _pull_records(self, address: str) -> bool:
        request = msgspec.json.encode(RecordsRequest(self._next_offset))
        answer = await self._agent.call_address(address, RECORDS_METHOD, request, CALL_TIMEOUT_S)
        page = msgspec.json.decode(answer, type=RecordsPage)
        before = self._next_offset
        self.counters.entries_adopted += self._source.adopt(page.entries)
        return self._next_offset > before

    async def _pull_snapshot(self, address: str) -> bool:
        before = self._next_offset
        answer = await self._agent.call_address(address, SNAPSHOT_METHOD, b"", CALL_TIMEOUT_S)
        if not answer:
            return False
        # The log may have brought more meanwhile; an older snapshot is then refused.
        snapshot = msgspec.json.decode(answer, type=SnapshotTaken)
        if self._source.adopt_snapshot(snapshot):
            self.counters.snapshots_adopted += 1
        return self._next_offset > before
