"""Peer transport in virtual time, with delays, cuts, loss and paused processes.

Frames are encoded and decoded as on a socket, so that byte counts and processor
time are real; only the sockets are missing.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from random import Random

import msgspec

from passgate.errors import PeerConnectionLost
from passgate.peers.calls import CallTable, answer_call, check_payload
from passgate.peers.frames import (
    PROTOCOL_VERSION,
    CallFailure,
    CallReply,
    CallRequest,
    Frame,
    FrameDecoder,
    Hello,
    OneWay,
    encode_frame,
)
from passgate.peers.transport import CallHandler, MessageHandler, TrafficCounters

CONNECTIONS_MAXIMUM = 128
"""Connections that a hollow peer is taken to keep open, as the TCP transport does."""


class LinkDelays(msgspec.Struct, frozen=True, kw_only=True):
    """One-way delays in seconds."""

    within_zone_s: float = 0.0002
    between_zones_s: float = 0.001
    jitter_share: float = 0.2


class MemoryNetwork:
    """Connects memory transports; faults are set on it by zone, address or share of loss."""

    def __init__(self, random: Random, delays: LinkDelays | None = None) -> None:
        self._random = random
        self._delays = delays or LinkDelays()
        self._nodes: dict[str, MemoryTransport] = {}
        self._group_of: Callable[[str, str], object] | None = None
        self.loss = 0.0
        """Share of frames lost; worse than TCP, which would send them again."""

    def transport(self, address: str, zone: str) -> MemoryTransport:
        """Return a transport at ``address``; it replaces an earlier one there."""
        node = MemoryTransport(self, address, zone)
        self._nodes[address] = node
        return node

    def cut(self, group_of: Callable[[str, str], object]) -> None:
        """Let frames pass only where ``group_of(address, zone)`` is equal on both ends."""
        self._group_of = group_of

    def heal(self) -> None:
        """End a cut."""
        self._group_of = None

    def carry(self, source: MemoryTransport, destination: str, data: bytes) -> bool:
        """Deliver ``data`` after the link's delay; False when nothing listens or a cut stands."""
        target = self._nodes.get(destination)
        if target is None or target.closed or self._is_cut(source, target):
            return False
        if self.loss and self._random.random() < self.loss:
            return True
        delay_s = self._delay_s(source, target)
        asyncio.get_running_loop().call_later(delay_s, self._arrive, source, target, data)
        return True

    def _arrive(self, source: MemoryTransport, target: MemoryTransport, data: bytes) -> None:
        if not self._is_cut(source, target):
            target.arrive(source.address, data)

    def _is_cut(self, one: MemoryTransport, other: MemoryTransport) -> bool:
        group_of = self._group_of
        if group_of is None:
            return False
        return group_of(one.address, one.zone) != group_of(other.address, other.zone)

    def _delay_s(self, one: MemoryTransport, other: MemoryTransport) -> float:
        delays = self._delays
        base_s = delays.within_zone_s if one.zone == other.zone else delays.between_zones_s
        return base_s * (1.0 + self._random.random() * delays.jitter_share)


class MemoryTransport:
    """One daemon's end of a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.closed = False
        self.counters = TrafficCounters()
        self._network = network
        self._decoder = FrameDecoder()
        self._calls = CallTable()
        self._on_message: MessageHandler | None = None
        self._on_call: CallHandler | None = None
        self._tasks: set[asyncio.Task] = set()
        self._connected: OrderedDict[str, None] = OrderedDict()
        self._paused = False
        self._held_back: list[Callable[[], None]] = []

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Begin to deliver messages and calls."""
        self._on_message = on_message
        self._on_call = on_call

    def send(self, address: str, payload: bytes) -> None:
        """Send a one-way JSON message, best effort."""
        if not self._transmit(address, OneWay(msgspec.Raw(payload))):
            self.counters.frames_dropped += 1

    async def call(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the peer's answer; raises PeerError."""
        check_payload(payload)
        call = self._calls.open()
        # A refused or cut-off peer is noticed by the timeout, as with packets lost on the way.
        self._transmit(address, CallRequest(call.call_id, method, payload))
        return await self._calls.wait(call, timeout_s)

    async def close(self) -> None:
        """Stop; calls in flight fail with PeerError."""
        self.closed = True
        self._calls.fail_all(PeerConnectionLost("transport closed"))
        for task in list(self._tasks):
            task.cancel()

    # --- pauses of the whole process ------------------------------------------------------

    def pause(self) -> None:
        """Freeze this daemon: frames wait, and so do timers set through :meth:`call_later`."""
        self._paused = True

    def resume(self) -> None:
        """End a pause; due timers run first, then waiting frames, as after a stopped process."""
        self._paused = False
        held_back, self._held_back = self._held_back, []
        for action in held_back:
            action()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Run ``callback`` later, or at the end of the pause when paused by then."""
        return asyncio.get_running_loop().call_later(delay_s, self._unless_paused, callback)

    def _unless_paused(self, callback: Callable[[], None]) -> None:
        if self.closed:
            return
        if self._paused:
            self._held_back.insert(0, callback)
        else:
            callback()

    # --- frames --------------------------------------------------------------------------------

    def _transmit(self, address: str, frame: Frame) -> bool:
        if self.closed:
            return False
        data = encode_frame(frame)
        self._connect(address)
        self.counters.frames_sent += 1
        self.counters.bytes_sent += len(data)
        return self._network.carry(self, address, data)

    def _connect(self, address: str) -> None:
        """Count the hello of a new connection, as the cache of the TCP transport would."""
        if address in self._connected:
            self._connected.move_to_end(address)
            return
        hello = encode_frame(Hello(PROTOCOL_VERSION, self.address))
        self.counters.bytes_sent += len(hello)
        self.counters.frames_sent += 1
        self.counters.connections_opened += 1
        self._connected[address] = None
        if len(self._connected) > CONNECTIONS_MAXIMUM:
            self._connected.popitem(last=False)

    def arrive(self, sender: str, data: bytes) -> None:
        """Take in one frame from the network."""
        if self.closed:
            return
        if self._paused:
            self._held_back.append(lambda: self.arrive(sender, data))
            return
        self.counters.frames_received += 1
        self.counters.bytes_received += len(data)
        for frame in self._decoder.feed(data):
            self._dispatch(sender, frame)

    def _dispatch(self, sender: str, frame: Frame) -> None:
        if isinstance(frame, OneWay):
            assert self._on_message is not None, "started before frames arrive"
            self._on_message(sender, bytes(frame.body))
        elif isinstance(frame, CallRequest):
            task = asyncio.get_running_loop().create_task(self._answer(sender, frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(frame, CallReply | CallFailure):
            self._calls.resolve(frame)

    async def _answer(self, sender: str, request: CallRequest) -> None:
        assert self._on_call is not None, "started before frames arrive"
        answer = await answer_call(self._on_call, sender, request)
        self._transmit(sender, answer)
