"""Peer transport over TCP: netstrings of JSON on a bounded set of connections.

A connection serves both directions: answers and later messages to a peer go out on
whatever connection to it is open.  The least recently used idle ones are closed when
there are more than ``connections_maximum``.
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

CONNECTIONS_MAXIMUM = 128

ANSWERS_MAXIMUM = 256
"""Calls of peers answered at once; further ones fail with ``overloaded``."""

BUFFER_BYTES = 4 * MAXIMUM_FRAME_BYTES
"""A peer that reads slower than this loses messages instead of our memory."""

NONCE_BYTES = 16
"""Random bytes by which a peer proves that it knows the credential."""
SILENT_S = 1.0
"""A connection on which a call timed out and nothing came for this long is closed."""


class TcpPeerTransport(TCPServer):
    """Carries one-way messages and calls between daemons over TCP.

    The port is bound at once, so that ``address`` is known; connections are accepted
    after :meth:`start`.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        advertised_host: str | None = None,
        credential: str = "",
        connections_maximum: int = CONNECTIONS_MAXIMUM,
    ) -> None:
        """Bind the peer port.

        Args:
            host: IP number to listen on.
            port: 0 picks a free one.
            advertised_host: IP number under which peers reach this daemon; ``host`` by default.
            credential: shared secret that peers must know; empty means none is asked for.
            connections_maximum: connections kept open in all.

        Raises:
            OSError: the port can not be bound.
        """
        super().__init__(max_buffer_size=BUFFER_BYTES)
        self._bound = bind_sockets(port, host)
        self.address = format_address(advertised_host or host, self._bound[0].getsockname()[1])
        self.counters = TrafficCounters()
        self._credential = credential
        self._connections_maximum = connections_maximum
        self._connections: OrderedDict[PeerConnection, None] = OrderedDict()
        self._by_address: dict[str, PeerConnection] = {}
        self._calls = CallTable()
        self._calls_on: dict[PeerConnection, list[OpenCall]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._answering = 0
        self._closing = False
        self._on_message: MessageHandler | None = None
        self._on_call: CallHandler | None = None

    # --- interface ------------------------------------------------------------------------

    def start(self, on_message: MessageHandler, on_call: CallHandler) -> None:
        """Begin to accept connections and to deliver messages and calls."""
        self._on_message = on_message
        self._on_call = on_call
        self.add_sockets(self._bound)

    def send(self, address: str, payload: bytes) -> None:
        """Send a one-way JSON message, best effort; never blocks and never raises."""
        connection = self._connection_to(address)
        if connection is None or not connection.send(OneWay(msgspec.Raw(payload))):
            self.counters.frames_dropped += 1

    async def call(self, address: str, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the peer's answer; raises PeerError."""
        check_payload(payload)
        connection = self._connection_to(address)
        if connection is None:
            raise PeerUnreachable("no connection", address=address)
        call = self._calls.open()
        open_calls = self._calls_on.setdefault(connection, [])
        open_calls.append(call)
        connection.busy += 1
        if not connection.send(CallRequest(call.call_id, method, payload)):
            self._calls.fail(call, PeerUnreachable("too much is queued", address=address))
        try:
            return await self._calls.wait(call, timeout_s)
        except PeerTimeout:
            if monotonic_s() - connection.heard_s > SILENT_S:
                connection.close()  # the machine is gone or cut off; the next call connects anew
            raise
        finally:
            connection.busy -= 1
            open_calls.remove(call)

    async def close(self) -> None:
        """Close the port and all connections; calls in flight fail with PeerError."""
        self._closing = True
        self.stop()
        for bound in self._bound:
            bound.close()
        for connection in list(self._connections):
            connection.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._calls.fail_all(PeerConnectionLost("transport closed"))

    # --- connections --------------------------------------------------------------------------

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Take in a connection that a peer opened."""
        stream.max_write_buffer_size = BUFFER_BYTES
        connection = self._new_connection(stream, ACCEPTING)
        await self._run(connection)

    def _connection_to(self, address: str) -> PeerConnection | None:
        connection = self._by_address.get(address)
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
        self._by_address[address] = connection
        self._spawn(self._run(connection))
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
        self._close_least_used()
        return connection

    async def _run(self, connection: PeerConnection) -> None:
        try:
            await connection.run()
        finally:
            self._forget(connection)

    def _forget(self, connection: PeerConnection) -> None:
        self._connections.pop(connection, None)
        for address, other in list(self._by_address.items()):
            if other is connection:
                del self._by_address[address]
        error = connection.error or PeerConnectionLost("connection closed")
        for call in self._calls_on.pop(connection, []):
            self._calls.fail(call, error)

    def _close_least_used(self) -> None:
        surplus = len(self._connections) - self._connections_maximum
        for connection in list(self._connections):
            if surplus <= 0:
                return
            if connection.busy == 0:
                connection.close()
                self._connections.pop(connection)
                surplus -= 1

    # --- frames -------------------------------------------------------------------------------------

    def _on_ready(self, connection: PeerConnection) -> None:
        present = self._by_address.get(connection.peer_address)
        if present is None or present.closed:
            self._by_address[connection.peer_address] = connection

    def _on_frame(self, connection: PeerConnection, frame: Frame) -> None:
        if connection in self._connections:
            self._connections.move_to_end(connection)
        if isinstance(frame, OneWay):
            assert self._on_message is not None, "started before frames arrive"
            self._on_message(connection.peer_address, bytes(frame.body))
        elif isinstance(frame, CallRequest):
            self._start_answer(connection, frame)
        elif isinstance(frame, CallReply | CallFailure):
            self._calls.resolve(frame)

    def _start_answer(self, connection: PeerConnection, request: CallRequest) -> None:
        if self._answering >= ANSWERS_MAXIMUM:
            failure = CallFailure(request.call_id, Overloaded.code, "too many calls at once")
            connection.send(failure)
            return
        self._spawn(self._answer(connection, request))

    async def _answer(self, connection: PeerConnection, request: CallRequest) -> None:
        assert self._on_call is not None, "started before frames arrive"
        self._answering += 1
        connection.busy += 1
        try:
            connection.send(await answer_call(self._on_call, connection.peer_address, request))
        finally:
            connection.busy -= 1
            self._answering -= 1

    def _spawn(self, coroutine) -> None:
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
    """Return ``host:port``, with brackets round an IPv6 number."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
