"""Peer transport in memory and virtual time, with delays, network partitions, loss and paused processes.

Frames are encoded and decoded as by the TCP transport, so byte counts and the processor time of encoding
are close to those of real connections.
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

MAX_CONNECTIONS = 128
"""Number of connections that a transport is assumed to keep open; as for the TCP transport."""


class LinkDelays(msgspec.Struct, frozen=True, kw_only=True):
    """One-way delays between two transports."""

    within_zone_s: float = 0.0002
    between_zones_s: float = 0.001
    jitter_share: float = 0.2
    """Largest random addition, as a fraction of the delay."""


class MemoryNetwork:
    """Delivers frames between memory transports; simulates delays, network partitions and loss."""

    def __init__(self, random: Random, delays: LinkDelays | None = None) -> None:
        self._random = random
        self._delays = delays or LinkDelays()
        self._transport_by_address: dict[str, MemoryTransport] = {}
        self._group_of: Callable[[str, str], object] | None = None
        self.loss = 0.0
        """Fraction of frames lost; they are not retransmitted, unlike with TCP."""

    def transport(self, address: str, zone: str) -> MemoryTransport:
        """Create a transport, which replaces an earlier one at the same address."""
        transport = MemoryTransport(self, address, zone)
        self._transport_by_address[address] = transport
        return transport

    def cut(self, group_of: Callable[[str, str], object]) -> None:
        """Partition the network: deliver only between transports with equal ``group_of(address, zone)``."""
        self._group_of = group_of

    def heal(self) -> None:
        """End the partition of the network."""
        self._group_of = None

    def deliver(self, source: MemoryTransport, destination: str, data: bytes) -> bool:
        """Deliver ``data`` after the link's delay, unless it is lost or a partition begins meanwhile.

        Returns False if no transport is open at ``destination`` or a partition separates the ends already.
        """
        target = self._transport_by_address.get(destination)
        if target is None or target.closed or self._is_cut(source, target):
            return False
        if self.loss and self._random.random() < self.loss:
            return True
        delay_s = self._delay_s(source, target)
        asyncio.get_running_loop().call_later(delay_s, self._arrive, source, target, data)
        return True

    def _arrive(self, source: MemoryTransport, target: MemoryTransport, data: bytes) -> None:
        if not self._is_cut(source, target):
            target.receive(source.address, data)

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
    """Transport of one daemon on a :class:`MemoryNetwork`."""

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
        self._connected_addresses: OrderedDict[str, None] = OrderedDict()
        self._paused = False
        self._deferred_actions: list[Callable[[], None]] = []

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Set the handlers of received messages and calls; must be called before any frame arrives."""
        self._on_message = on_message
        self._on_call = on_call

    def send(self, address: str, payload: bytes) -> None:
        """Send a one-way JSON message, best effort."""
        if not self._transmit(address, OneWay(msgspec.Raw(payload))):
            self.counters.frames_dropped += 1

    async def call(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the peer's answer; raises PeerError.

        If the peer can't be reached, PeerTimeout is raised after the timeout, as if packets were lost.
        """
        check_payload(payload)
        call = self._calls.open()
        self._transmit(address, CallRequest(call.call_id, method, payload))
        return await self._calls.wait(call, timeout_s)

    async def close(self) -> None:
        """Stop; calls in progress fail with PeerConnectionLost."""
        self.closed = True
        self._calls.fail_all(PeerConnectionLost("transport closed"))
        for task in list(self._tasks):
            task.cancel()

    # --- pauses of the process --------------------------------------------------------------

    def pause(self) -> None:
        """Simulate a stopped process: defer received frames and timers set through :meth:`call_later`."""
        self._paused = True

    def resume(self) -> None:
        """End a pause: run the timers that became due, the last first, then deliver the received frames."""
        self._paused = False
        actions, self._deferred_actions = self._deferred_actions, []
        for action in actions:
            action()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call ``callback`` after a delay, or when a pause ends if it is due during the pause."""
        return asyncio.get_running_loop().call_later(delay_s, self._run_or_defer, callback)

    def _run_or_defer(self, callback: Callable[[], None]) -> None:
        if self.closed:
            return
        if self._paused:
            self._deferred_actions.insert(0, callback)  # before received frames
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
        return self._network.deliver(self, address, data)

    def _connect(self, address: str) -> None:
        """Count a new connection and its Hello, unless a connection to the address counts as open.

        The MAX_CONNECTIONS most recently used connections count as open.
        """
        if address in self._connected_addresses:
            self._connected_addresses.move_to_end(address)
            return
        hello = encode_frame(Hello(PROTOCOL_VERSION, self.address))
        self.counters.bytes_sent += len(hello)
        self.counters.frames_sent += 1
        self.counters.connections_opened += 1
        self._connected_addresses[address] = None
        if len(self._connected_addresses) > MAX_CONNECTIONS:
            self._connected_addresses.popitem(last=False)

    def receive(self, sender: str, data: bytes) -> None:
        """Handle encoded frames that the network delivers; ignores them after :meth:`close`."""
        if self.closed:
            return
        if self._paused:
            self._deferred_actions.append(lambda: self.receive(sender, data))
            return
        self.counters.frames_received += 1
        self.counters.bytes_received += len(data)
        for frame in self._decoder.feed(data):
            self._dispatch(sender, frame)

    def _dispatch(self, sender: str, frame: Frame) -> None:
        if isinstance(frame, OneWay):
            assert self._on_message is not None, "start() was not called"
            self._on_message(sender, bytes(frame.body))
        elif isinstance(frame, CallRequest):
            task = asyncio.get_running_loop().create_task(self._answer(sender, frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(frame, CallReply | CallFailure):
            self._calls.resolve(frame)

    async def _answer(self, sender: str, request: CallRequest) -> None:
        assert self._on_call is not None, "start() was not called"
        answer = await answer_call(self._on_call, sender, request)
        self._transmit(sender, answer)
