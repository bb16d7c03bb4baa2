"""Who has which configuration: asked of the daemons themselves when an operator looks.

Asking on demand costs nothing while nobody looks; spreading every daemon's
revision by gossip would cost daemons x changes pieces of news.
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

METHOD = "daemon.status"
CALL_TIMEOUT_S = 1.0
CALLS_AT_ONCE = 64


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's own word about itself."""

    life: str
    revision: int
    labels: Labels = {}


class ClusterStatus:
    """Answers peers about this daemon, and asks them about themselves."""

    def __init__(self, membership: MembershipAgent, own_status: Callable[[], DaemonStatus]) -> None:
        self._membership = membership
        self._own_status = own_status
        membership.handle(METHOD, self._answer)

    async def _answer(self, payload: bytes) -> bytes:
        return msgspec.json.encode(self._own_status())

    async def collect(self) -> list[DaemonView]:
        """Return a view of every known daemon; those that do not answer are marked."""
        limit = asyncio.Semaphore(CALLS_AT_ONCE)
        return list(
            await asyncio.gather(*(self._ask(member, limit) for member in self._membership.members()))
        )

    async def _ask(self, member: MemberInfo, limit: asyncio.Semaphore) -> DaemonView:
        if member.member_id == self._membership.self_info.member_id:
            return _view(member, self._own_status())
        if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return _view(member, None)
        async with limit:
            try:
                answer = await self._membership.call(member.member_id, METHOD, b"{}", CALL_TIMEOUT_S)
                return _view(member, msgspec.json.decode(answer, type=DaemonStatus))
            except (PeerError, msgspec.MsgspecError):
                return _view(member, None)


def _view(member: MemberInfo, status: DaemonStatus | None) -> DaemonView:
    view = DaemonView(
        daemon_id=member.member_id,
        zone=member.zone,
        member_state=member.state.value,
        reached=status is not None,
    )
    if status is None:
        return view
    return msgspec.structs.replace(view, life=status.life, revision=status.revision, labels=status.labels)
