"""Brings a daemon's counts onto the control topic, if possible with the leader's own appends.

The leader appends some times a second in any case, so counts that reach it cost the log no
call.  A daemon asks the leader it knows, else the watcher of the control partition in its
zone, which knows the leader.  When neither answers, the daemon appends the counts itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from passgate.errors import PeerCallFailed, PeerError
from passgate.jobs.journal import Journal
from passgate.jobs.records import UsageCounted
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

COUNT_METHOD = "duties.count"
ASK_S = 1.0
"""Time for another daemon to put counts on the log; a calm log takes 0.03 s, a slow one 0.3 s."""
FORWARD_S = 0.8
"""The same for the leader that the asked daemon asks; less, so that the first still gets an answer."""
APPEND_S = 2.0
"""Time for an append of one's own before the counts are handed on another way as well."""
CONTROL_PART = 0
"""Partition whose watchers follow the control topic, and so know who leads."""


class CountUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Asks another daemon to put counts on the log."""

    entries: tuple[UsageCounted, ...]
    forwarded: bool = False
    """Whether the sender asks for a third daemon, and so is not to be sent elsewhere."""


class UsageTaken(msgspec.Struct, frozen=True, kw_only=True):
    """The counts stand on the log."""

    leader: str
    """Writer that leads, as far as the answering daemon knows."""


class UsageChannel:
    """Hands counts on, and takes those of others."""

    def __init__(
        self,
        transport: PeerTransport,
        journal: Journal,
        leader: Callable[[], str],
        member_of: Callable[[int], Awaitable[str | None]],
    ) -> None:
        """Connect the channel.

        Args:
            transport: carries questions to other daemons.
            journal: this daemon's writer of the control topic.
            leader: returns the writer that leads; empty when this daemon does not know.
            member_of: returns the watcher of a partition in this zone, if one is known.
        """
        self._transport = transport
        self._journal = journal
        self._leader = leader
        self._member_of = member_of
        self._told_leader = ""
        """Leader that another daemon told of."""

    async def send(self, entries: Sequence[UsageCounted]) -> bool:
        """Put counts on the log by the cheapest way that works; return whether they stand there."""
        question = CountUsage(entries=tuple(entries))
        leader = self._leader() or self._told_leader
        if leader == self._journal.writer:
            return await self._append(entries)
        if leader and await self._ask(address_of(leader), question, ASK_S):
            return True
        self._told_leader = ""
        watcher = await self._member_of(CONTROL_PART)
        if watcher is not None and await self._ask(address_of(watcher), question, ASK_S):
            return True
        return await self._append(entries)

    async def _ask(self, address: str, question: CountUsage, timeout_s: float) -> bool:
        if not address or address == self._transport.address:
            return False
        payload = msgspec.json.encode(question)
        try:
            answer = await self._transport.call(address, COUNT_METHOD, payload, timeout_s)
            self._told_leader = msgspec.json.decode(answer, type=UsageTaken).leader
        except (PeerError, msgspec.DecodeError):
            return False  # the next way is tried; the last one, the own append, tells of its failures
        return True

    async def _append(self, entries: Sequence[UsageCounted]) -> bool:
        """Append counts here; an append in doubt stays in the journal and counts once in any case."""
        stands = [self._journal.put(entry) for entry in entries]
        done, waiting = await asyncio.wait(stands, timeout=APPEND_S)
        return not waiting and all(future.exception() is None for future in done)

    async def answer(self, payload: bytes) -> bytes:
        """Answer another daemon; raises PeerCallFailed when the counts may not stand on the log."""
        question = msgspec.json.decode(payload, type=CountUsage)
        leader = self._leader()
        elsewhere = leader and leader != self._journal.writer and not question.forwarded
        if elsewhere:
            forwarded = msgspec.structs.replace(question, forwarded=True)
            if await self._ask(address_of(leader), forwarded, FORWARD_S):
                return msgspec.json.encode(UsageTaken(leader=leader))
        if not await self._append(question.entries):
            raise PeerCallFailed("the log does not take the counts", peer_code="not_ready")
        return msgspec.json.encode(UsageTaken(leader=leader))
