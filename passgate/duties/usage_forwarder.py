"""Puts a daemon's usage counts on the control topic, preferably through the leader.

The leader batches the counts of many daemons into few appends, which saves calls to the log.  A daemon that
does not know the leader, or gets no confirmation from it, sends its counts to the watcher of the control
partition in its zone.  Without a confirmation from there, it appends them itself.  A daemon whose appends the
log does not acknowledge, even if it leads, first sends its counts to another one.
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

RECORD_COUNTS_METHOD = "duties.count"
REQUEST_TIMEOUT_S = 1.0
"""Timeout of a request that another daemon append counts; leaves time for a slow append."""
FORWARD_TIMEOUT_S = 0.8
"""Timeout of a forwarded request; shorter, so that the original sender can still get its response."""
MAX_UNACKNOWLEDGED_S = 1.0
"""Time without an acknowledgement of an append after which the log counts as unreachable from this daemon."""
APPEND_TIMEOUT_S = 2.0
"""Time after which an append by this daemon counts as failed, so that the counts are sent again."""
MAX_MEMBERS_ASKED = 1
"""Number of daemons asked besides the leader and the watcher; few, as the log may be unreachable for all."""
CONTROL_PARTITION = 0
"""Partition of the jobs topic whose watchers follow the control topic, and so normally know the leader."""


class RecordCountsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to another daemon to append counts."""

    entries: tuple[UsageCounted, ...]
    forwarded: bool = False
    """Whether the request was already forwarded once; it is then not forwarded again."""


class CountsRecorded(msgspec.Struct, frozen=True, kw_only=True):
    """Response that confirms that the counts are on the log."""

    leader: str
    """Name of the leader as known to the responding daemon; empty if unknown."""


class UsageForwarder:
    """Sends this daemon's counts, and handles other daemons' requests to append theirs."""

    def __init__(
        self,
        transport: PeerTransport,
        journal: Journal,
        find_leader: Callable[[], str],
        find_watcher: Callable[[int], Awaitable[str | None]],
        list_other_members: Callable[[], Sequence[str]],
    ) -> None:
        """Connect the forwarder.

        Args:
            transport: carries requests to other daemons.
            journal: this daemon's writer of the control topic.
            find_leader: returns the name of the leader; empty if none is known by a recent view.
            find_watcher: returns the watcher of a partition in this zone, None if unknown.
            list_other_members: returns the names of other daemons that watch partitions, in any order.
        """
        self._transport = transport
        self._journal = journal
        self._find_leader = find_leader
        self._find_watcher = find_watcher
        self._list_other_members = list_other_members
        self._reported_leader = ""
        """Name of the leader as of the last response; empty once a request to the leader has failed."""

    async def send(self, entries: Sequence[UsageCounted]) -> bool:
        """Put counts on the log in the cheapest way that works; return whether that is confirmed."""
        request = RecordCountsRequest(entries=tuple(entries))
        leader = self._find_leader() or self._reported_leader
        log_is_unreachable = self._is_log_unreachable()
        if leader == self._journal.writer and not log_is_unreachable:
            return await self._append(entries)
        if await self._request_append(leader, request, REQUEST_TIMEOUT_S):
            return True
        self._reported_leader = ""
        others = [await self._find_watcher(CONTROL_PARTITION) or ""]
        if log_is_unreachable:
            others += self._list_other_members()[:MAX_MEMBERS_ASKED]
        for other in others:
            if await self._request_append(other, request, REQUEST_TIMEOUT_S):
                return True
        return await self._append(entries)

    def _is_log_unreachable(self) -> bool:
        """Whether the log has not acknowledged an append of this daemon for MAX_UNACKNOWLEDGED_S."""
        return self._journal.unacknowledged_for_s >= MAX_UNACKNOWLEDGED_S

    async def _request_append(self, daemon: str, request: RecordCountsRequest, timeout_s: float) -> bool:
        """Ask another daemon, by name, to append counts; return False at once for this one and for none."""
        address = address_of(daemon)
        if not address or address == self._transport.address:
            return False
        payload = msgspec.json.encode(request)
        try:
            response = await self._transport.call(address, RECORD_COUNTS_METHOD, payload, timeout_s)
            self._reported_leader = msgspec.json.decode(response, type=CountsRecorded).leader
        except (PeerError, msgspec.DecodeError):
            return False  # the caller then tries the next daemon, or appends the counts itself
        return True

    async def _append(self, entries: Sequence[UsageCounted]) -> bool:
        """Append counts from here; return whether all were acknowledged within APPEND_TIMEOUT_S.

        Those that were not may be appended again elsewhere: readers add a count with the same number once.
        """
        appends = [self._journal.put(entry) for entry in entries]
        done, pending = await asyncio.wait(appends, timeout=APPEND_TIMEOUT_S)
        return not pending and all(future.exception() is None for future in done)

    async def handle_request(self, payload: bytes) -> bytes:
        """Append another daemon's counts, if possible through the leader; return the encoded confirmation.

        Raises PeerCallFailed if the counts may not be on the log, and msgspec.DecodeError for a malformed
        request.  If the log is unreachable from here, the call fails at once.
        """
        request = msgspec.json.decode(payload, type=RecordCountsRequest)
        if self._is_log_unreachable():
            raise PeerCallFailed("the log is unreachable from this daemon", peer_code="not_ready")
        leader = self._find_leader()
        should_forward = leader and leader != self._journal.writer and not request.forwarded
        if should_forward:
            forwarded = msgspec.structs.replace(request, forwarded=True)
            if await self._request_append(leader, forwarded, FORWARD_TIMEOUT_S):
                return msgspec.json.encode(CountsRecorded(leader=leader))
        if not await self._append(request.entries):
            raise PeerCallFailed("the usage counts could not be appended to the log", peer_code="not_ready")
        return msgspec.json.encode(CountsRecorded(leader=leader))
