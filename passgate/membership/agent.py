"""Runs the membership protocol of a daemon on a transport and an event loop.

The agent also carries calls between daemons: components register methods with
:meth:`MembershipAgent.register_handler` and call those of other members with
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

MINIMUM_TICK_DELAY_S = 0.005
"""Shortest delay until a tick, so that a due time in the past does not make the loop spin."""

Handler = Callable[[bytes], Awaitable[bytes]]
ChangeListener = Callable[[MemberInfo], None]


class _Timer(Protocol):
    def cancel(self) -> None: ...


CallLater = Callable[[float, Callable[[], None]], _Timer]


class MembershipAgent:
    """Maintains this daemon's view of the cluster and carries calls between daemons."""

    def __init__(
        self,
        self_info: MemberInfo,
        transport: PeerTransport,
        random: Random,
        config: MembershipConfig | None = None,
        call_later: CallLater | None = None,
    ) -> None:
        """Create an agent; it does nothing before :meth:`start`.

        Args:
            self_info: this daemon's entry; its address is the transport's.  A daemon restarted
                with the same id learns when it joins which incarnation it must exceed.
            transport: carries messages and calls.
            random: source of all random choices.
            config: protocol settings.
            call_later: replaces the event loop's ``call_later``, for tests that pause a daemon.
        """
        self._config = config or MembershipConfig()
        self._swim = Swim(self_info, self._config, random)
        self._transport = transport
        self._call_later = call_later
        self._timer: _Timer | None = None
        self._timer_due_s = 0.0
        self._handler_by_method: dict[str, Handler] = {}
        self._change_listeners: list[ChangeListener] = []
        self._peers_ahead_listeners_by_key: dict[str, list[Callable[[], None]]] = {}
        self._running = False

    # --- lifecycle ---------------------------------------------------------------------------

    def start(self) -> None:
        """Start the protocol; must be called on the event loop that the transport uses."""
        self._running = True
        self._transport.start(self._on_message, self._on_call)
        self._tick()

    def join(self, addresses: Iterable[str]) -> None:
        """Contact daemons at ``addresses``; to be called again when the machine list changes."""
        self._send(self._swim.join(addresses, monotonic_s()))
        self._schedule_tick()

    def add_members(self, members: Iterable[MemberInfo]) -> None:
        """Add members that another source, such as a peer's list, reports as alive."""
        self._swim.add_members(members, monotonic_s())
        self._notify_and_schedule()

    async def leave(self, timeout_s: float) -> None:
        """Announce that this daemon leaves, and wait while the update spreads.

        Takes up to ``timeout_s``; the agent keeps answering until :meth:`close`.
        """
        self._send(self._swim.leave(monotonic_s()))
        self._schedule_tick()
        await asyncio.sleep(min(timeout_s, self._config.leave_linger_s))

    async def close(self) -> None:
        """Stop at once without notifying other members."""
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
        """Return the protocol's counters."""
        return self._swim.counters

    def members(self) -> list[MemberInfo]:
        """Return every known member, including this daemon and dead or departed members."""
        return self._swim.members()

    def get(self, member_id: str) -> MemberInfo | None:
        """Return the view of one member, None when it is unknown."""
        return self._swim.get(member_id)

    def is_alive(self, member_id: str) -> bool:
        """Return whether a member counts as alive, which includes a suspected one."""
        view = self._swim.get(member_id)
        return view is not None and view.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def digest(self) -> int:
        """Return the hash of the living members; it is equal on daemons that agree."""
        return self._swim.digest()

    def subscribe(self, listener: ChangeListener) -> None:
        """Register ``listener``, which is called with each changed view of another member."""
        self._change_listeners.append(listener)

    # --- published values ------------------------------------------------------------------------

    def set_metadata(self, key: str, value: str) -> None:
        """Publish a small, rarely changing value with this daemon's entry, which reaches all members."""
        self._swim.set_metadata(key, value)
        self._schedule_tick()

    def set_revision(self, key: str, revision: int) -> None:
        """Publish that this daemon has applied ``revision`` of ``key``; ignores a lower one.

        Cheaper than metadata: revisions travel only on messages to direct peers, which publish
        their own revision once they have pulled the data.
        """
        self._swim.set_revision(key, revision)
        self._schedule_tick()

    def peers_ahead(self, key: str) -> dict[str, int]:
        """Return the revisions of ``key`` of peers that are ahead of this daemon, by address."""
        return self._swim.revision_tracker.peers_ahead(key)

    def subscribe_peers_ahead(self, key: str, listener: Callable[[], None]) -> None:
        """Register ``listener``, which is called when a peer reports a higher revision of ``key``."""
        self._peers_ahead_listeners_by_key.setdefault(key, []).append(listener)

    def forget_peer_revision(self, key: str, address: str) -> None:
        """Discard the revision of ``key`` of the peer at ``address`` until the peer reports it again."""
        self._swim.revision_tracker.forget_revision(key, address)

    # --- calls -------------------------------------------------------------------------------------

    def register_handler(self, method: str, handler: Handler) -> None:
        """Register ``handler`` for calls of ``method``, replacing an earlier one."""
        self._handler_by_method[method] = handler

    async def call(self, member_id: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Call a method of a member and return its reply; raises PeerError."""
        view = self._swim.get(member_id)
        if view is None:
            raise PeerUnreachable("the called daemon is not a known member", member_id=member_id)
        return await self.call_address(view.address, method, payload, timeout_s)

    async def call_address(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Call a method of the daemon at ``address`` and return its reply; raises PeerError."""
        return await self._transport.call(address, method, payload, timeout_s)

    async def _on_call(self, sender: str, method: str, payload: bytes) -> bytes:
        handler = self._handler_by_method.get(method)
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
        self._send(self._swim.receive(sender, message, monotonic_s()))
        self._notify_and_schedule()

    def _tick(self) -> None:
        self._timer = None
        if not self._running:
            return
        self._send(self._swim.tick(monotonic_s()))
        self._notify_and_schedule()

    def _notify_and_schedule(self) -> None:
        for change in self._swim.take_changes():
            for listener in self._change_listeners:
                listener(change)
        for key in self._swim.revision_tracker.take_changed_keys():
            for notify in self._peers_ahead_listeners_by_key.get(key, ()):
                notify()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self._running:
            return
        due_s = self._swim.next_wakeup_s()
        if self._timer is not None:
            if self._timer_due_s <= due_s:
                return
            self._timer.cancel()
        self._timer_due_s = due_s
        delay_s = max(MINIMUM_TICK_DELAY_S, due_s - monotonic_s())
        call_later = self._call_later or asyncio.get_running_loop().call_later
        self._timer = call_later(delay_s, self._tick)

    def _send(self, outgoing: Sequence[Outgoing]) -> None:
        for item in outgoing:
            self._transport.send(item.address, encode_message(item.message))
