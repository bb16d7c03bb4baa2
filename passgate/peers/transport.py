"""The interface of peer transports: one-way messages and calls between daemons.

Implementations: :class:`~passgate.peers.peer_transport.TcpPeerTransport`
over sockets and :class:`~passgate.peers.memory_transport.MemoryTransport`
in virtual time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

MessageHandler = Callable[[str, bytes], None]
"""Called with the sender's address and the JSON payload of a one-way message."""

CallHandler = Callable[[str, str, bytes], Awaitable[bytes]]
"""Called with the caller's address, the method and the payload; returns the answer."""


class TrafficCounters(msgspec.Struct):
    """Frames and bytes as they cross the transport, framing included, TCP/IP headers not."""

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    connections_opened: int = 0
    frames_dropped: int = 0
    """One-way messages given up because the peer could not be reached or was too slow."""
    malformed: int = 0
    """Connections closed over a frame that broke the protocol."""
    refused: int = 0
    """Connections closed over a missing or wrong credential."""


class PeerTransport(Protocol):
    """Carries one-way messages and calls between peer ports."""

    address: str
    """``host:port`` under which other daemons reach this one."""
    counters: TrafficCounters

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Begin to deliver messages and calls."""
        ...

    def send(self, address: str, payload: bytes) -> None:
        """Send a one-way JSON message, best effort; never blocks and never raises."""
        ...

    async def call(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the peer's answer; raises PeerError."""
        ...

    async def close(self) -> None:
        """Close all connections; calls in flight fail with PeerError."""
        ...
