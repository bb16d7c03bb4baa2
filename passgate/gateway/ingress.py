"""HTTP servers of the gateway, built on tornado's connection delegates.

``tornado.web`` is not used, as it would add and change headers.  Answers are written with the handler's
status and headers, to which only headers for the length and the connection are added.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from passgate.clock import monotonic_s
from passgate.errors import ExecutionStatus, NotReady, PassgateError
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, error_answer
from passgate.gateway.shutdown_deadline import draining

logger = logging.getLogger("passgate.gateway")

RequestHandler = Callable[[IncomingRequest], Awaitable[GatewayAnswer | StreamAnswer]]

METRICS_PATH = "/metrics"
METRICS_HEADERS = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
BODILESS_STATUSES = frozenset({204, 304})
LISTEN_BACKLOG = 512
IDLE_TIMEOUT_MARGIN_S = 3.0
"""Added to the configured idle timeout; without effect for the reason given at :meth:`Ingress.set_limits`."""
MAX_HEADER_BYTES = 65_536
"""Maximum size of a request's start line and headers; the configuration does not change it."""
MAX_BODY_BYTES = 1 << 26
"""Maximum size of a request's body until :meth:`Ingress.set_limits` sets another one."""


class Ingress(HTTPServerConnectionDelegate):
    """HTTP server on one address.

    Each complete request is handled in a task of its own, which is cancelled when the connection closes.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._refusing_new_requests = False
        self._server = HTTPServer(self, max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES)

    def listen(self, address: str) -> None:
        """Listen on ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host, backlog=LISTEN_BACKLOG, reuse_port=False)

    def set_limits(self, *, max_body_bytes: int, idle_timeout_s: float) -> None:
        """Set the maximum size of a body, from the next request of each connection on.

        ``idle_timeout_s`` has no effect: tornado reads ``idle_connection_timeout`` only as an argument of
        ``HTTPServer``.
        """
        parameters = self._server.conn_params
        parameters.max_body_size = max_body_bytes
        parameters.idle_connection_timeout = idle_timeout_s + IDLE_TIMEOUT_MARGIN_S

    @property
    def in_flight(self) -> int:
        """Number of requests that are being handled or answered."""
        return len(self._tasks)

    def disable_keep_alive(self) -> None:
        """Disable keep-alive: answers carry ``Connection: close``.

        A connection is closed after the answer to the next request that it receives.
        """
        self._server.conn_params.no_keep_alive = True

    def _answer_headers(self, headers: tuple[tuple[str, str], ...]) -> HTTPHeaders:
        """Return an answer's headers, with ``Connection: close`` once keep-alive is disabled.

        tornado adds it by itself, but not for requests that it had read before.
        """
        answer_headers = HTTPHeaders()
        for name, value in headers:
            answer_headers.add(name, value)
        if self._server.conn_params.no_keep_alive:
            answer_headers["Connection"] = "close"
        return answer_headers

    def refuse_new_requests(self) -> None:
        """Refuse every further request with Draining, so that the shutdown interrupts no request."""
        self._refusing_new_requests = True

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        self._server.stop()

    async def close(self) -> None:
        """Close all connections and wait until they are closed."""
        await self._server.close_all_connections()

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Return the reader of a new request; called by tornado."""
        return _RequestReader(self, request_conn)

    def start_handling(self, request: IncomingRequest, connection: HTTPConnection) -> None:
        """Start the task that handles a complete request; closing the connection cancels the task."""
        task = asyncio.get_running_loop().create_task(self._handle(request, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.set_close_callback(task.cancel)

    async def _handle(self, request: IncomingRequest, connection: HTTPConnection) -> None:
        try:
            if self._refusing_new_requests:
                raise draining("the daemon is shutting down")
            answer = await self._handler(request)
        except PassgateError as error:
            answer = error_answer(error)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("handler_failed", extra={"path": request.path[:200]})
            answer = GatewayAnswer(status=502)
        if isinstance(answer, StreamAnswer):
            await self._write_stream(answer, connection)
        else:
            self._write_answer(answer, request.method, connection)

    async def _write_stream(self, answer: StreamAnswer, connection: HTTPConnection) -> None:
        headers = self._answer_headers(answer.headers)
        line = ResponseStartLine("HTTP/1.1", answer.status, responses.get(answer.status, "Unknown"))
        try:
            await connection.write_headers(line, headers)
            async with contextlib.aclosing(answer.chunks) as chunks:
                async for chunk in chunks:
                    await connection.write(chunk)
            connection.finish()
        except StreamClosedError:
            logger.debug("caller_left")
        except PassgateError as error:
            logger.info("stream_incomplete", extra={"error": str(error)})
            connection.close()

    def _write_answer(self, answer: GatewayAnswer, method: str, connection: HTTPConnection) -> None:
        headers = self._answer_headers(answer.headers)
        bodiless = answer.status in BODILESS_STATUSES or method == "HEAD"
        if not bodiless:
            headers["Content-Length"] = str(len(answer.body))
        line = ResponseStartLine("HTTP/1.1", answer.status, responses.get(answer.status, "Unknown"))
        try:
            connection.write_headers(line, headers, b"" if bodiless else answer.body)
            connection.finish()
        except StreamClosedError:
            logger.debug("caller_left")


class _RequestReader(HTTPMessageDelegate):
    """Collects head and body of one request from tornado, and starts its handling once it is complete."""

    def __init__(self, ingress: Ingress, connection: HTTPConnection) -> None:
        self._ingress = ingress
        self._connection = connection
        self._body_chunks: list[bytes] = []
        self._start_line = RequestStartLine("", "", "")
        self._headers = HTTPHeaders()

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._body_chunks.append(chunk)

    def finish(self) -> None:
        request = IncomingRequest(
            method=self._start_line.method,
            path=self._start_line.path,
            host=self._headers.get("Host", ""),
            headers=tuple(self._headers.get_all()),
            body=b"".join(self._body_chunks),
            received_s=monotonic_s(),
            is_caller_connected=partial(_is_connected, self._connection),
        )
        self._ingress.start_handling(request, self._connection)

    def on_connection_close(self) -> None:
        self._body_chunks.clear()


def _is_connected(connection: HTTPConnection) -> bool:
    """Whether the client has not closed its connection, also if the event loop has not seen the close yet.

    The loop sees it late if it was blocked or suspended.
    """
    stream = connection.stream if isinstance(connection, HTTP1Connection) else None
    if not isinstance(stream, IOStream):
        return True
    if stream.closed():
        return False
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except OSError:
        return False


def make_probe_handler(is_ready: Callable[[], bool], render_metrics: Callable[[], bytes]) -> RequestHandler:
    """Return a handler that serves METRICS_PATH, and answers any other path by the daemon's readiness.

    The answer is 200 if the daemon is ready; otherwise the handler raises NotReady (503).
    """

    async def handle(request: IncomingRequest) -> GatewayAnswer:
        if request.path == METRICS_PATH:
            return GatewayAnswer(status=200, headers=METRICS_HEADERS, body=render_metrics())
        if not is_ready():
            raise NotReady("the daemon is not ready", execution=ExecutionStatus.NOT_RUN)
        return GatewayAnswer(status=200, body=b"ready")

    return handle
