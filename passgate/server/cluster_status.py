"""Status of all daemons, requested from each of them when an operator asks for it.

Daemons do not gossip their revisions, as that would take one message per daemon and change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.errors import PeerError
from passgate.membership.agent import MembershipAgent
from passgate.membership.messages import MemberInfo, MemberState
from passgate.schema import Labels
from passgate.server.wire import DaemonView

STATUS_METHOD = "daemon.status"
CALL_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 64


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon reports about itself to other daemons."""

    life: str
    """State of the daemon's lifecycle, see the state chart ``daemon``."""
    revision: int
    """Configuration revision that is active on the daemon."""
    labels: Labels = {}


class ClusterStatus:
    """Answers status requests of other daemons, and collects the status of all."""

    def __init__(self, membership: MembershipAgent, get_own_status: Callable[[], DaemonStatus]) -> None:
        self._membership = membership
        self._get_own_status = get_own_status
        membership.register_handler(STATUS_METHOD, self._handle_request)

    async def _handle_request(self, payload: bytes) -> bytes:
        return msgspec.json.encode(self._get_own_status())

    async def collect(self) -> list[DaemonView]:
        """Return a view of every known daemon; ``reached`` is False for those that did not answer."""
        call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        return list(
            await asyncio.gather(
                *(self._view_member(member, call_slots) for member in self._membership.members())
            )
        )

    async def _view_member(self, member: MemberInfo, call_slots: asyncio.Semaphore) -> DaemonView:
        if member.member_id == self._membership.self_info.member_id:
            return _make_view(member, self._get_own_status())
        if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return _make_view(member, None)
        async with call_slots:
            try:
                answer = await self._membership.call(member.member_id, STATUS_METHOD, b"{}", CALL_TIMEOUT_S)
                return _make_view(member, msgspec.json.decode(answer, type=DaemonStatus))
            except (PeerError, msgspec.MsgspecError):
                return _make_view(member, None)


def _make_view(member: MemberInfo, status: DaemonStatus | None) -> DaemonView:
    view = DaemonView(
        daemon_id=member.member_id,
        zone=member.zone,
        member_state=member.state.value,
        reached=status is not None,
    )
    if status is None:
        return view
    return msgspec.structs.replace(view, life=status.life, revision=status.revision, labels=status.labels)
