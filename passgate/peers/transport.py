"""Interface of peer transports, which send one-way messages and calls between daemons.

Implementations: :class:`~passgate.peers.peer_transport.TcpPeerTransport` over sockets, and
:class:`~passgate.peers.memory_transport.MemoryTransport` in memory and virtual time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

MessageHandler = Callable[[str, bytes], None]
"""Called with the sender's address and the JSON payload of a one-way message."""

CallHandler = Callable[[str, str, bytes], Awaitable[bytes]]
"""Called with the caller's address, the method and the payload; returns the answer's payload.

Any exception is sent to the caller as a failure of the call.
"""


class TrafficCounters(msgspec.Struct):
    """Frames and bytes of one transport, including framing but not TCP/IP headers."""

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    connections_opened: int = 0
    frames_dropped: int = 0
    """Frames not sent because the peer could not be reached or read too slowly."""
    malformed: int = 0
    """Connections closed because of a frame that violates the protocol."""
    refused: int = 0
    """Connections closed because of a missing or wrong credential."""


class PeerTransport(Protocol):
    """Sends and receives one-way messages and calls between peers."""

    address: str
    """``host:port`` under which other daemons reach this one."""
    counters: TrafficCounters

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Start to receive; received messages and calls go to the handlers."""
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
        """Stop receiving and close all connections; calls in progress fail with PeerError."""
        ...
