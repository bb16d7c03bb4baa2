"""The membership agent of a daemon: the protocol connected to a transport and a loop.

The agent also carries all other internal traffic: parts of the daemon register
methods with :meth:`MembershipAgent.handle` and call them on other members with
:meth:`MembershipAgent.call`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random
from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.errors import NotFound, PeerUnreachable
from passgate.membership.config import MembershipConfig
from passgate.membership.counters import SwimCounters
from passgate.membership.messages import (
    MemberInfo,
    MemberState,
    Outgoing,
    decode_message,
    encode_message,
)
from passgate.membership.swim import Swim
from passgate.peers.transport import PeerTransport

MINIMUM_WAIT_S = 0.005
"""Shortest wait between two ticks, so that a due time in the past can not spin."""

Handler = Callable[[bytes], Awaitable[bytes]]
ChangeListener = Callable[[MemberInfo], None]


class _Timer(Protocol):
    def cancel(self) -> None: ...


CallLater = Callable[[float, Callable[[], None]], _Timer]


class MembershipAgent:
    """Keeps the view of the cluster and carries calls between daemons."""

    def __init__(
        self,
        self_info: MemberInfo,
        transport: PeerTransport,
        random: Random,
        config: MembershipConfig | None = None,
        call_later: CallLater | None = None,
    ) -> None:
        """Prepare an agent.

        Args:
            self_info: own entry; its address is the transport's.  A restarted daemon with
                the same id finds the incarnation it must exceed when it joins.
            transport: carries messages and calls.
            random: source of all choices.
            config: protocol settings.
            call_later: replaces the loop's timer, for tests that pause single daemons.
        """
        self._config = config or MembershipConfig()
        self._swim = Swim(self_info, self._config, random)
        self._transport = transport
        self._call_later = call_later
        self._timer: _Timer | None = None
        self._due_s = 0.0
        self._handlers: dict[str, Handler] = {}
        self._listeners: list[ChangeListener] = []
        self._ahead_listeners: dict[str, list[Callable[[], None]]] = {}
        self._running = False

    # --- life --------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin to take part; must run on the loop that the transport uses."""
        self._running = True
        self._transport.start(self._on_message, self._on_call)
        self._tick()

    def join(self, addresses: Iterable[str]) -> None:
        """Contact daemons at ``addresses``; call it again whenever the machine list changes."""
        self._send_all(self._swim.join(addresses, monotonic_s()))
        self._schedule()

    def learn(self, members: Iterable[MemberInfo]) -> None:
        """Take over members that another source, such as a peer's list, says are alive."""
        self._swim.learn(members, monotonic_s())
        self._after_step()

    async def leave(self, timeout_s: float) -> None:
        """Announce a planned leave and spread the news; the agent goes on answering."""
        self._send_all(self._swim.leave(monotonic_s()))
        self._schedule()
        await asyncio.sleep(min(timeout_s, self._config.leave_linger_s))

    async def close(self) -> None:
        """Stop at once, without a word to the others."""
        self._running = False
        if self._timer is not None:
            self._timer.cancel()
        await self._transport.close()

    # --- views ---------------------------------------------------------------------------------

    @property
    def self_info(self) -> MemberInfo:
        """Return this daemon's own entry."""
        return self._swim.self_info

    @property
    def counters(self) -> SwimCounters:
        """Return the protocol's counts, for metrics."""
        return self._swim.counters

    def members(self) -> list[MemberInfo]:
        """Return every known member, this daemon included; see ``state`` for the dead ones."""
        return self._swim.members()

    def get(self, member_id: str) -> MemberInfo | None:
        """Return the view of one member."""
        return self._swim.get(member_id)

    def is_alive(self, member_id: str) -> bool:
        """Return whether a member counts as alive; a suspected one still does."""
        view = self._swim.get(member_id)
        return view is not None and view.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def digest(self) -> int:
        """Return the hash of the table of living members; equal on daemons that agree."""
        return self._swim.digest()

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with each changed view of another member."""
        self._listeners.append(listener)

    # --- published values ------------------------------------------------------------------------

    def set_metadata(self, key: str, value: str) -> None:
        """Publish a small, rarely changing value with the own entry, gossiped to all."""
        self._swim.set_metadata(key, value)
        self._schedule()

    def set_held(self, key: str, revision: int) -> None:
        """Tell peers that this daemon holds ``revision`` of ``key``; it never goes back.

        Cheaper than metadata: it rides on messages to direct peers, who take the data
        over and tell it further.
        """
        self._swim.set_held(key, revision)
        self._schedule()

    def ahead(self, key: str) -> dict[str, int]:
        """Return addresses of peers that hold a higher revision of ``key`` than this daemon."""
        return self._swim.held.ahead(key)

    def subscribe_ahead(self, key: str, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a peer tells a higher revision of ``key`` than held here."""
        self._ahead_listeners.setdefault(key, []).append(listener)

    def forget_ahead(self, key: str, address: str) -> None:
        """Forget what the peer at ``address`` told of ``key`` until it tells it again."""
        self._swim.held.forget(key, address)

    # --- calls -------------------------------------------------------------------------------------

    def handle(self, method: str, handler: Handler) -> None:
        """Answer calls of ``method`` with ``handler``."""
        self._handlers[method] = handler

    async def call(self, member_id: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Call a method of a member; raises PeerError."""
        view = self._swim.get(member_id)
        if view is None:
            raise PeerUnreachable("not a known member", member_id=member_id)
        return await self.call_address(view.address, method, payload, timeout_s)

    async def call_address(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Call a method of the daemon at ``address``; raises PeerError."""
        return await self._transport.call(address, method, payload, timeout_s)

    async def _on_call(self, sender: str, method: str, payload: bytes) -> bytes:
        handler = self._handlers.get(method)
        if handler is None:
            raise NotFound(f"no method {method!r}", method=method)
        return await handler(payload)

    # --- protocol ------------------------------------------------------------------------------------

    def _on_message(self, sender: str, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except msgspec.MsgspecError:
            self._transport.counters.malformed += 1
            return
        self._send_all(self._swim.receive(sender, message, monotonic_s()))
        self._after_step()

    def _tick(self) -> None:
        self._timer = None
        if not self._running:
            return
        self._send_all(self._swim.tick(monotonic_s()))
        self._after_step()

    def _after_step(self) -> None:
        for change in self._swim.take_changes():
            for listener in self._listeners:
                listener(change)
        for key in self._swim.held.take_news():
            for notify in self._ahead_listeners.get(key, ()):
                notify()
        self._schedule()

    def _schedule(self) -> None:
        if not self._running:
            return
        due_s = self._swim.next_wakeup_s()
        if self._timer is not None:
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        delay_s = max(MINIMUM_WAIT_S, due_s - monotonic_s())
        call_later = self._call_later or asyncio.get_running_loop().call_later
        self._timer = call_later(delay_s, self._tick)

    def _send_all(self, outgoing: Sequence[Outgoing]) -> None:
        for item in outgoing:
            self._transport.send(item.address, encode_message(item.message))
