"""Interface of peer transports, which send one-way messages and calls between daemons.

Implementations: :class:`~passgate.peers.peer_transport.TcpPeerTransport` over sockets, and
:class:`~passgate.peers.memory_transport.MemoryTransport` in memory and virtual time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

MessageHandler = Callable[[str, bytes], None]
"""Called with the sender's address and the JSON payload of a message."""

CallHandler = Callable[[str, str, bytes], Awaitable[bytes]]
"""Called with the calling daemon's address, the method and the payload; returns the answer's payload.

An exception is sent to the calling daemon as the call's failure.
"""


class TrafficCounters(msgspec.Struct):
    """Frames, bytes and connections of one transport; bytes include framing but not TCP/IP headers."""

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    connections_opened: int = 0
    """Connections that this transport opened, tried to open or, over TCP, accepted."""
    frames_dropped: int = 0
    """One-way messages that could not be sent or queued, and frames queued for a handshake that failed."""
    malformed: int = 0
    """Connections closed because either side received a frame that violates the protocol."""
    refused: int = 0
    """Connections closed by either side because of a missing or wrong credential."""


class PeerTransport(Protocol):
    """Sends and receives one-way messages and calls between daemons."""

    address: str
    """``host:port`` under which other daemons reach this one."""
    counters: TrafficCounters

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Start to receive; the handlers are called for received messages and calls."""
        ...

    def send(self, address: str, payload: bytes) -> None:
        """Send a one-way JSON message, best effort; never blocks and never raises."""
        ...

    async def call(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the payload of the peer's answer.

        Raises PeerError; its ``execution`` says whether the call may have run.
        """
        ...

    async def close(self) -> None:
        """Stop receiving and close all connections; this daemon's calls in progress fail with PeerError."""
        ...
