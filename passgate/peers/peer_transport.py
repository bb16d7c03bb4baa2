"""Peer transport over TCP, with a bounded number of connections.

A connection is used in both directions: an answer is sent on the connection of its call, a message or call
on an open connection to the peer, whichever side opened it.  Above ``max_connections``, the least recently
used connections without calls in progress are closed.
"""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections import OrderedDict

import msgspec
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from passgate.clock import monotonic_s
from passgate.errors import Overloaded, PeerConnectionLost, PeerTimeout, PeerUnreachable
from passgate.peers.calls import CallTable, OpenCall, answer_call, check_payload
from passgate.peers.frames import (
    MAXIMUM_FRAME_BYTES,
    PROTOCOL_VERSION,
    CallFailure,
    CallReply,
    CallRequest,
    Frame,
    Hello,
    OneWay,
)
from passgate.peers.peer_connection import ACCEPTING, CONNECTING, PeerConnection
from passgate.peers.transport import CallHandler, MessageHandler, TrafficCounters

MAX_CONNECTIONS = 128

MAX_INCOMING_CALLS = 256
"""Number of calls of peers in progress from which on further calls fail with ``overloaded``."""

BUFFER_BYTES = 4 * MAXIMUM_FRAME_BYTES
"""Maximum number of unread and of unsent bytes of a connection; further frames to a slow peer are dropped."""

NONCE_BYTES = 16
"""Number of random bytes of the nonce in a Hello."""
SILENCE_TIMEOUT_S = 1.0
"""A connection on which nothing was received for longer is closed when a call on it times out."""


class TcpPeerTransport(TCPServer):
    """Sends and receives one-way messages and calls between daemons over TCP.

    The constructor binds the port, so that ``address`` is known; :meth:`start` accepts connections.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        advertised_host: str | None = None,
        credential: str = "",
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Bind the peer port.

        Args:
            host: IP address to listen on.
            port: port to listen on; 0 picks a free one.
            advertised_host: IP address under which peers reach this daemon; ``host`` by default.
            credential: secret that all daemons share; empty if none of them has a credential.
            max_connections: limit of open connections; may be exceeded while connections have calls in
                progress.

        Raises:
            OSError: the port can not be bound.
        """
        super().__init__(max_buffer_size=BUFFER_BYTES)
        self._listening_sockets = bind_sockets(port, host)
        self.address = format_address(advertised_host or host, self._listening_sockets[0].getsockname()[1])
        self.counters = TrafficCounters()
        self._credential = credential
        self._max_connections = max_connections
        self._connections: OrderedDict[PeerConnection, None] = OrderedDict()
        """Open connections, the least recently used first."""
        self._connection_by_address: dict[str, PeerConnection] = {}
        self._calls = CallTable()
        self._open_calls_by_connection: dict[PeerConnection, list[OpenCall]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._incoming_calls = 0
        self._closing = False
        self._on_message: MessageHandler | None = None
        self._on_call: CallHandler | None = None

    # --- interface ------------------------------------------------------------------------

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Start to accept connections; received messages and calls go to the handlers."""
        self._on_message = on_message
        self._on_call = on_call
        self.add_sockets(self._listening_sockets)

    def send(self, address: str, payload: bytes) -> None:
        """Send a one-way JSON message, best effort; never blocks and never raises."""
        connection = self._connection_to(address)
        if connection is None or not connection.send(OneWay(msgspec.Raw(payload))):
            self.counters.frames_dropped += 1

    async def call(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the peer's answer; raises PeerError, whose ``execution`` tells if the call may have run."""
        check_payload(payload)
        connection = self._connection_to(address)
        if connection is None:
            raise PeerUnreachable("no connection can be opened", address=address)
        call = self._calls.open()
        open_calls = self._open_calls_by_connection.setdefault(connection, [])
        open_calls.append(call)
        connection.calls_in_progress += 1
        if not connection.send(CallRequest(call.call_id, method, payload)):
            self._calls.fail(
                call, PeerUnreachable("connection closed or its send queue full", address=address)
            )
        try:
            return await self._calls.wait(call, timeout_s)
        except PeerTimeout:
            if monotonic_s() - connection.last_received_s > SILENCE_TIMEOUT_S:
                connection.close()  # the peer is probably unreachable; the next call opens a new one
            raise
        finally:
            connection.calls_in_progress -= 1
            open_calls.remove(call)

    async def close(self) -> None:
        """Close the port and all connections; calls in progress fail with PeerError."""
        self._closing = True
        self.stop()
        for listening_socket in self._listening_sockets:
            listening_socket.close()
        for connection in list(self._connections):
            connection.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._calls.fail_all(PeerConnectionLost("transport closed"))

    # --- connections --------------------------------------------------------------------------

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a connection that a peer opened, until it is closed."""
        stream.max_write_buffer_size = BUFFER_BYTES
        connection = self._new_connection(stream, ACCEPTING)
        await self._run(connection)

    def _connection_to(self, address: str) -> PeerConnection | None:
        """Return an open connection to a peer, or start to open one; None if that is impossible."""
        connection = self._connection_by_address.get(address)
        if connection is not None and not connection.closed:
            self._connections.move_to_end(connection)
            return connection
        if self._closing:
            return None
        return self._connect(address)

    def _connect(self, address: str) -> PeerConnection | None:
        try:
            host, port = parse_address(address)
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            stream = IOStream(
                socket.socket(family),
                max_buffer_size=BUFFER_BYTES,
                max_write_buffer_size=BUFFER_BYTES,
            )
        except (OSError, ValueError):
            return None
        connection = self._new_connection(stream, CONNECTING, (host, port))
        self._connection_by_address[address] = connection
        self._start_task(self._run(connection))
        return connection

    def _new_connection(
        self, stream: IOStream, role: str, connect_to: tuple[str, int] | None = None
    ) -> PeerConnection:
        stream.set_nodelay(True)
        nonce = secrets.token_hex(NONCE_BYTES) if self._credential else ""
        connection = PeerConnection(
            stream,
            role,
            Hello(PROTOCOL_VERSION, self.address, nonce),
            self._credential,
            self.counters,
            self._on_ready,
            self._on_frame,
            connect_to,
        )
        self.counters.connections_opened += 1
        self._connections[connection] = None
        self._close_surplus_connections()
        return connection

    async def _run(self, connection: PeerConnection) -> None:
        try:
            await connection.run()
        finally:
            self._remove(connection)

    def _remove(self, connection: PeerConnection) -> None:
        """Remove a closed connection and fail the open calls that were sent on it."""
        self._connections.pop(connection, None)
        for address, other in list(self._connection_by_address.items()):
            if other is connection:
                del self._connection_by_address[address]
        error = connection.error or PeerConnectionLost("connection closed on this side")
        for call in self._open_calls_by_connection.pop(connection, []):
            self._calls.fail(call, error)

    def _close_surplus_connections(self) -> None:
        surplus = len(self._connections) - self._max_connections
        for connection in list(self._connections):
            if surplus <= 0:
                return
            if connection.calls_in_progress == 0:
                connection.close()
                self._connections.pop(connection)
                surplus -= 1

    # --- frames -------------------------------------------------------------------------------------

    def _on_ready(self, connection: PeerConnection) -> None:
        known = self._connection_by_address.get(connection.peer_address)
        if known is None or known.closed:
            self._connection_by_address[connection.peer_address] = connection

    def _on_frame(self, connection: PeerConnection, frame: Frame) -> None:
        if connection in self._connections:
            self._connections.move_to_end(connection)
        if isinstance(frame, OneWay):
            assert self._on_message is not None, "start() was not called"
            self._on_message(connection.peer_address, bytes(frame.body))
        elif isinstance(frame, CallRequest):
            self._start_incoming_call(connection, frame)
        elif isinstance(frame, CallReply | CallFailure):
            self._calls.resolve(frame)

    def _start_incoming_call(self, connection: PeerConnection, request: CallRequest) -> None:
        """Start to handle a peer's call, or answer at once that this daemon is overloaded."""
        if self._incoming_calls >= MAX_INCOMING_CALLS:
            failure = CallFailure(request.call_id, Overloaded.code, "too many calls in progress")
            connection.send(failure)
            return
        self._start_task(self._answer(connection, request))

    async def _answer(self, connection: PeerConnection, request: CallRequest) -> None:
        assert self._on_call is not None, "start() was not called"
        self._incoming_calls += 1
        connection.calls_in_progress += 1
        try:
            connection.send(await answer_call(self._on_call, connection.peer_address, request))
        finally:
            connection.calls_in_progress -= 1
            self._incoming_calls -= 1

    def _start_task(self, coroutine) -> None:
        """Start a task and keep a reference to it: asyncio keeps none, and :meth:`close` cancels the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``; raises ValueError.

    >>> parse_address("[::1]:7000")
    ('::1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def format_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
