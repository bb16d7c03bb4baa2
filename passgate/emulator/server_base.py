"""Base classes of the emulator's HTTP servers and request handlers, with their faults.

An emulator server serves an implementation of a protocol in :mod:`passgate.interfaces` on the loopback
interface, in the wire format that the clients in :mod:`passgate.clients` use.  So tests can use the same
emulation in-process in virtual time and over sockets.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from typing import TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from passgate.clients import wire
from passgate.errors import (
    BackendUnreachable,
    ErrorBody,
    ExecutionStatus,
    MalformedBody,
    PassgateError,
    Unauthorized,
)

LOOPBACK = "127.0.0.1"
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER value with which close() sends a reset, as when the process has crashed."""
MAX_BODY_BYTES = 256 * 1024 * 1024

_Body = TypeVar("_Body")


class ServerFaults(msgspec.Struct, kw_only=True):
    """Faults of one server's connections; all off by default.  They may be changed at any time.

    Each field that is an int is the number of requests still to be affected.
    """

    delay_s: float = 0.0
    """Delay before each request is handled."""
    unavailable: bool = False
    """Answer every request with 503, as not run."""
    lose_answers: int = 0
    """Execute a request (an engine only starts it), but close the connection instead of answering."""
    drop_requests: int = 0
    """Close the connection of a request without executing it."""
    cut_streams: int = 0
    """Close the connection of an engine's stream after its next event."""
    cross_answers: int = 0
    """Answer an app call with the identifier of another request."""


class ServerCounters(msgspec.Struct, kw_only=True):
    """Counters of one server since it was created; a crash does not reset them."""

    requests: int = 0
    received: dict[str, int] = {}
    """Request identifier to the number of generate requests or app calls with it, refused ones included."""
    tokens: int = 0
    """Tokens sent by an engine."""
    gone: int = 0
    """Requests whose client disconnected before the answer."""


class _ResettableHTTPServer(HTTPServer):
    """An HTTP server that can reset all its connections."""

    def initialize(self, *args, **kwargs) -> None:
        super().initialize(*args, **kwargs)
        self.open_streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self.open_streams.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.open_streams = {stream for stream in self.open_streams if not stream.closed()}

    def reset_connections(self) -> None:
        for stream in self.open_streams:
            if stream.socket is not None:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.close()
        self.open_streams.clear()


class EmulatorServer:
    """One HTTP server on the loopback interface, whose port stays the same after a crash."""

    compress_responses = False
    """Whether responses are compressed for clients that accept gzip."""

    def __init__(self, name: str, credential: str | None = None) -> None:
        self.name = name
        self.faults = ServerFaults()
        self.counters = ServerCounters()
        self.credential = credential
        self._port = 0
        self._port_reservation: socket.socket | None = None
        """Bound to the port but not listening, so that no other process takes the port during a crash."""
        self._http_server: _ResettableHTTPServer | None = None

    def routes(self) -> list[tuple]:
        """Return the Tornado routes; each handler has the argument ``server`` with this server."""
        raise NotImplementedError

    def start(self, port: int = 0) -> str:
        """Listen and return ``host:port``.

        The first start takes ``port``, or a free one for 0; later ones take the same port again.
        """
        self._reserve_port(port)
        sockets = bind_sockets(self._port, LOOPBACK)
        application = Application(
            self.routes(), log_function=lambda handler: None, compress_response=self.compress_responses
        )
        self._http_server = _ResettableHTTPServer(
            application, max_body_size=MAX_BODY_BYTES, max_buffer_size=MAX_BODY_BYTES
        )
        self._http_server.add_sockets(sockets)
        return self.address

    @property
    def address(self) -> str:
        """Address as ``host:port``; valid from the first start on."""
        return f"{LOOPBACK}:{self._port}"

    @property
    def is_listening(self) -> bool:
        """Whether the server listens."""
        return self._http_server is not None

    def share_state_of(self, owner: EmulatorServer) -> None:
        """Use the faults and counters of another server, which serves the same back end on another port."""
        self.faults = owner.faults
        self.counters = owner.counters

    def crash(self) -> None:
        """Stop listening and reset every connection; no effect while the server does not listen."""
        if self._http_server is None:
            return
        self._http_server.stop()
        self._http_server.reset_connections()
        self._http_server = None

    def close(self) -> None:
        """Stop listening, reset every connection and release the port."""
        self.crash()
        if self._port_reservation is not None:
            self._port_reservation.close()
            self._port_reservation = None

    def _reserve_port(self, port: int) -> None:
        if self._port_reservation is not None:
            return
        self._port_reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_reservation.bind((LOOPBACK, self._port or port))
        self._port = self._port_reservation.getsockname()[1]

    def count_received(self, request_id: str) -> None:
        """Count a generate request or app call."""
        received = self.counters.received
        received[request_id] = received.get(request_id, 0) + 1


class EmulatorRequestHandler(RequestHandler):
    """Base class of all handlers: applies the server's faults and answers errors in passgate's JSON form."""

    server: EmulatorServer

    def initialize(self, server: EmulatorServer) -> None:
        """Set the server to which the handler belongs (called by Tornado)."""
        self.server = server
        self._request_task: asyncio.Task[None] | None = None
        self._client_disconnected = False

    def set_default_headers(self) -> None:
        """Set the headers of every answer, also of errors: the server's name and the request's identifier."""
        self.set_header("Server", "passgate-stand-in")
        request_id = self.request.headers.get(wire.REQUEST_ID_HEADER)
        if request_id is not None:
            self.set_header(wire.REQUEST_ID_HEADER, request_id)

    def on_connection_close(self) -> None:
        """Cancel the request of a client that disconnected before the answer (called by Tornado)."""
        self._client_disconnected = True
        self.server.counters.gone += 1
        if self._request_task is not None:
            self._request_task.cancel()

    async def run_while_connected(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine until it ends, or cancel it when the client disconnects; that is no error."""
        self._request_task = asyncio.get_running_loop().create_task(coroutine)
        try:
            await self._request_task
        except (asyncio.CancelledError, StreamClosedError):
            if not self._client_disconnected:
                raise

    async def prepare(self) -> None:
        """Apply faults that precede execution and check the credential (called by Tornado)."""
        faults = self.server.faults
        self.server.counters.requests += 1
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.drop_requests > 0:
            faults.drop_requests -= 1
            self.drop_connection()
        elif faults.unavailable:
            self.send_error_body(503, _unavailable_error(self.server.name))
        elif not self._is_authorized():
            self.send_error_body(401, Unauthorized("credential required").body())

    def decode_body(self, kind: type[_Body]) -> _Body:
        """Return the body decoded as JSON of a type; raises MalformedBody."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.MsgspecError as error:
            raise MalformedBody(str(error)) from error

    def send_json(self, body: msgspec.Struct) -> None:
        """Answer with a JSON body, unless ``lose_answers`` applies."""
        if self.consume_lost_answer():
            self.drop_connection()
            return
        self.set_header("Content-Type", wire.JSON_TYPE)
        self.finish(msgspec.json.encode(body))

    def consume_lost_answer(self) -> bool:
        """Return whether ``lose_answers`` applies to this request; if so, decrement it."""
        if self.server.faults.lose_answers <= 0:
            return False
        self.server.faults.lose_answers -= 1
        return True

    def consume_crossed_answer(self) -> bool:
        """Return whether ``cross_answers`` applies to this request; if so, decrement it."""
        if self.server.faults.cross_answers <= 0:
            return False
        self.server.faults.cross_answers -= 1
        return True

    def send_backend_unreachable(self, error: BackendUnreachable) -> None:
        """Answer with 503 if the emulated network failed before the request ran, else disconnect."""
        if error.execution is ExecutionStatus.NOT_RUN:
            self.send_error_body(503, error.body())
        else:
            self.drop_connection()

    def drop_connection(self) -> None:
        """Close the connection without sending anything more."""
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def send_error_body(self, status: int, error: ErrorBody) -> None:
        """Answer with an error in passgate's JSON form."""
        self.clear()
        self.set_status(status)
        if error.retry_after_s is not None:
            self.set_header("Retry-After", f"{error.retry_after_s:g}")
        self.set_header("Content-Type", wire.JSON_TYPE)
        self.set_header(wire.EXECUTION_HEADER, error.execution.value)
        self.finish(msgspec.json.encode(wire.ErrorAnswer(error=error)))

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer an exception of a handler with an error in passgate's JSON form (called by Tornado)."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, PassgateError):
            self.send_error_body(error.http_status, error.body())
            return
        self.send_error_body(status_code, PassgateError(f"status {status_code}").body())

    def log_exception(self, typ, value, tb) -> None:
        """Log only unexpected exceptions: no PassgateError, no disconnected client (called by Tornado)."""
        if not isinstance(value, PassgateError | StreamClosedError):
            super().log_exception(typ, value, tb)

    def _is_authorized(self) -> bool:
        expected = wire.authorization_headers(self.server.credential).get("Authorization")
        return expected is None or self.request.headers.get("Authorization") == expected


def _unavailable_error(name: str) -> ErrorBody:
    return ErrorBody(
        type="StandInUnavailable",
        code="unavailable",
        message=f"{name} is unavailable",
        execution=ExecutionStatus.NOT_RUN,
    )
