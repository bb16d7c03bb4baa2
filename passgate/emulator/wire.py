"""What the stand-in servers share: a listener that can crash, faults, typed JSON handlers.

A stand-in server wraps any implementation of :mod:`passgate.interfaces` and
serves it over loopback in the form that the clients of
:mod:`passgate.clients` speak, so one model is used in virtual time and over sockets.
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
ABORT_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER value that makes close() send a reset, as a crashed process's peer sees it."""
MAX_BODY_BYTES = 256 * 1024 * 1024

_Body = TypeVar("_Body")


class ServerFaults(msgspec.Struct, kw_only=True):
    """Faults of one server's connections; all off by default, changed at any time."""

    delay_s: float = 0.0
    """Added before each request is looked at."""
    unavailable: bool = False
    """Refuse every request with 503, marked as not run."""
    lose_answers: int = 0
    """Carry out this many next requests and close the connection instead of answering."""
    drop_requests: int = 0
    """Close the connection of this many next requests before looking at them."""
    cut_streams: int = 0
    """Close the connection of this many next streams after their first event."""
    cross_answers: int = 0
    """Answer this many next requests under another request's identifier."""


class ServerCounters(msgspec.Struct, kw_only=True):
    """What one server did since it was made; survives crashes."""

    requests: int = 0
    received: dict[str, int] = {}
    """Requests for work by request identifier, refused ones too; more than one was sent again."""
    tokens: int = 0
    gone: int = 0
    """Requests whose client went away before their answer."""


class _Listener(HTTPServer):
    """An HTTP server that remembers its connections, so that it can reset them."""

    def initialize(self, *args, **kwargs) -> None:
        super().initialize(*args, **kwargs)
        self.streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self.streams.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.streams = {stream for stream in self.streams if not stream.closed()}

    def reset_connections(self) -> None:
        for stream in self.streams:
            if stream.socket is not None:
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE)
            stream.close()
        self.streams.clear()


class StandInServer:
    """One HTTP server on loopback; port 0 takes a free one, kept over a crash."""

    compresses = False
    """Whether answers are compressed for clients that say they take gzip."""

    def __init__(self, name: str, credential: str | None = None) -> None:
        self.name = name
        self.faults = ServerFaults()
        self.counters = ServerCounters()
        self.credential = credential
        self._port = 0
        self._reservation: socket.socket | None = None
        """Holds the port without listening, so that no other process takes it during a crash."""
        self._listener: _Listener | None = None

    def routes(self) -> list[tuple]:
        """Return the tornado routes; each handler is given this server."""
        raise NotImplementedError

    def start(self, port: int = 0) -> str:
        """Listen and return ``host:port``; after a crash, on the same port again."""
        self._reserve(port)
        sockets = bind_sockets(self._port, LOOPBACK)
        application = Application(
            self.routes(), log_function=lambda handler: None, compress_response=self.compresses
        )
        self._listener = _Listener(application, max_body_size=MAX_BODY_BYTES, max_buffer_size=MAX_BODY_BYTES)
        self._listener.add_sockets(sockets)
        return self.address

    @property
    def address(self) -> str:
        """Return ``host:port``; valid from the first start on."""
        return f"{LOOPBACK}:{self._port}"

    @property
    def running(self) -> bool:
        """Whether the server listens."""
        return self._listener is not None

    def share(self, other: StandInServer) -> None:
        """Take the faults and counters of another port of the same service."""
        self.faults = other.faults
        self.counters = other.counters

    def crash(self) -> None:
        """Close the port and reset every connection at once."""
        if self._listener is None:
            return
        self._listener.stop()
        self._listener.reset_connections()
        self._listener = None

    def close(self) -> None:
        """Crash for good and give the port up."""
        self.crash()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    def _reserve(self, port: int) -> None:
        if self._reservation is not None:
            return
        self._reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((LOOPBACK, self._port or port))
        self._port = self._reservation.getsockname()[1]

    def count_received(self, request_id: str) -> None:
        """Note that a request for work arrived."""
        received = self.counters.received
        received[request_id] = received.get(request_id, 0) + 1


class StandInHandler(RequestHandler):
    """Base of all handlers: faults first, then the work, every failure as a typed answer."""

    server: StandInServer

    def initialize(self, server: StandInServer) -> None:
        """Take the server that the handler belongs to."""
        self.server = server
        self._work: asyncio.Task[None] | None = None
        self._gone = False

    def set_default_headers(self) -> None:
        """Echo the request identifier on every answer, also on errors."""
        self.set_header("Server", "passgate-stand-in")
        request_id = self.request.headers.get(wire.REQUEST_ID_HEADER)
        if request_id is not None:
            self.set_header(wire.REQUEST_ID_HEADER, request_id)

    def on_connection_close(self) -> None:
        """Cancel the work of a client that went away."""
        self._gone = True
        self.server.counters.gone += 1
        if self._work is not None:
            self._work.cancel()

    async def while_connected(self, work: Coroutine[None, None, None]) -> None:
        """Do the work, cancelling it when the client goes away."""
        self._work = asyncio.get_running_loop().create_task(work)
        try:
            await self._work
        except (asyncio.CancelledError, StreamClosedError):
            if not self._gone:
                raise

    async def prepare(self) -> None:
        """Apply the faults that come before the work."""
        faults = self.server.faults
        self.server.counters.requests += 1
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.drop_requests > 0:
            faults.drop_requests -= 1
            self.drop_connection()
        elif faults.unavailable:
            self.send_error_body(503, _unavailable(self.server.name))
        elif not self._is_authorized():
            self.send_error_body(401, Unauthorized("credential required").body())

    def body_as(self, kind: type[_Body]) -> _Body:
        """Return the typed body; raises MalformedBody."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.MsgspecError as error:
            raise MalformedBody(str(error)) from error

    def reply(self, body: msgspec.Struct) -> None:
        """Answer with JSON, unless the fault of a lost answer is on."""
        if self.takes_lost_answer():
            self.drop_connection()
            return
        self.set_header("Content-Type", wire.JSON_TYPE)
        self.finish(msgspec.json.encode(body))

    def takes_lost_answer(self) -> bool:
        """Return whether this answer is to be lost, and count it."""
        if self.server.faults.lose_answers <= 0:
            return False
        self.server.faults.lose_answers -= 1
        return True

    def takes_crossed_answer(self) -> bool:
        """Return whether this answer is to carry another identifier, and count it."""
        if self.server.faults.cross_answers <= 0:
            return False
        self.server.faults.cross_answers -= 1
        return True

    def send_unreachable(self, error: BackendUnreachable) -> None:
        """Show the client what the emulated network does: nothing ran, or the connection broke."""
        if error.execution is ExecutionStatus.NOT_RUN:
            self.send_error_body(503, error.body())
        else:
            self.drop_connection()

    def drop_connection(self) -> None:
        """Close the connection without any further byte."""
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def send_error_body(self, status: int, error: ErrorBody) -> None:
        """Answer with a typed error."""
        self.clear()
        self.set_status(status)
        if error.retry_after_s is not None:
            self.set_header("Retry-After", f"{error.retry_after_s:g}")
        self.set_header("Content-Type", wire.JSON_TYPE)
        self.set_header(wire.EXECUTION_HEADER, error.execution.value)
        self.finish(msgspec.json.encode(wire.ErrorAnswer(error=error)))

    def write_error(self, status_code: int, **kwargs) -> None:
        """Render an exception of a handler as a typed answer (called by tornado)."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, PassgateError):
            self.send_error_body(error.http_status, error.body())
            return
        self.send_error_body(status_code, PassgateError(f"status {status_code}").body())

    def log_exception(self, typ, value, tb) -> None:
        """Keep typed errors and vanished clients out of the log."""
        if not isinstance(value, PassgateError | StreamClosedError):
            super().log_exception(typ, value, tb)

    def _is_authorized(self) -> bool:
        expected = wire.authorization_headers(self.server.credential).get("Authorization")
        return expected is None or self.request.headers.get("Authorization") == expected


def _unavailable(name: str) -> ErrorBody:
    return ErrorBody(
        type="StandInUnavailable",
        code="unavailable",
        message=f"{name} is switched off",
        execution=ExecutionStatus.NOT_RUN,
    )
