"""HTTP servers of the gateway, on tornado's connection delegates.

The handlers of tornado's web framework would change headers and status lines;
here a request is taken byte for byte and an answer is written as it is given.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from http.client import responses

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from passgate.clock import monotonic_s
from passgate.errors import Draining, ExecutionStatus, NotReady, PassgateError
from passgate.gateway.messages import GatewayAnswer, IncomingRequest, StreamAnswer, error_answer

logger = logging.getLogger("passgate.gateway")

Handler = Callable[[IncomingRequest], Awaitable[GatewayAnswer | StreamAnswer]]

METRICS_PATH = "/metrics"
METRICS_HEADERS = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
BODILESS = frozenset({204, 304})
BACKLOG = 512
IDLE_TIMEOUT_MARGIN_S = 3.0
"""Idle connections are closed this much later than callers may use them."""
MAX_HEADER_BYTES = 65_536
"""Bound before a configuration names its own; tornado refuses longer heads."""
MAX_BODY_BYTES = 1 << 26
"""Bound before a configuration names its own."""


class Ingress(HTTPServerConnectionDelegate):
    """One listening address; each request runs in a task that ends when its caller leaves."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._refusing = False
        self._server = HTTPServer(self, max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES)

    def listen(self, address: str) -> None:
        """Listen on ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        self._server.listen(int(port), host, backlog=BACKLOG, reuse_port=False)

    def set_limits(self, *, max_body_bytes: int, idle_timeout_s: float) -> None:
        """Put limits in force for the requests that come from now on."""
        parameters = self._server.conn_params
        parameters.max_body_size = max_body_bytes
        parameters.idle_connection_timeout = idle_timeout_s + IDLE_TIMEOUT_MARGIN_S

    @property
    def in_flight(self) -> int:
        """Requests that are being handled."""
        return len(self._tasks)

    def close_after_answers(self) -> None:
        """Let each connection end with its next answer."""
        self._server.conn_params.no_keep_alive = True

    def refuse_new(self) -> None:
        """Answer every further request as not run, so that none is begun that would be cut off."""
        self._refusing = True

    def stop_listening(self) -> None:
        """Take no further connections."""
        self._server.stop()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close_all_connections()

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Take a request on a connection; called by tornado."""
        return _Exchange(self, request_conn)

    def run(self, request: IncomingRequest, connection: HTTPConnection) -> None:
        """Start handling a whole request."""
        task = asyncio.get_running_loop().create_task(self._answer(request, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.set_close_callback(task.cancel)

    async def _answer(self, request: IncomingRequest, connection: HTTPConnection) -> None:
        try:
            if self._refusing:
                raise Draining("the daemon ends", execution=ExecutionStatus.NOT_RUN)
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
            self._write(answer, request.method, connection)

    async def _write_stream(self, answer: StreamAnswer, connection: HTTPConnection) -> None:
        headers = HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        line = ResponseStartLine("HTTP/1.1", answer.status, responses.get(answer.status, "Unknown"))
        try:
            await connection.write_headers(line, headers)
            async with contextlib.aclosing(answer.pieces) as pieces:
                async for piece in pieces:
                    await connection.write(piece)
            connection.finish()
        except StreamClosedError:
            logger.debug("caller_left")
        except PassgateError as error:
            logger.info("stream_incomplete", extra={"error": str(error)})
            connection.close()

    def _write(self, answer: GatewayAnswer, method: str, connection: HTTPConnection) -> None:
        headers = HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        bodiless = answer.status in BODILESS or method == "HEAD"
        if not bodiless:
            headers["Content-Length"] = str(len(answer.body))
        line = ResponseStartLine("HTTP/1.1", answer.status, responses.get(answer.status, "Unknown"))
        try:
            connection.write_headers(line, headers, b"" if bodiless else answer.body)
            connection.finish()
        except StreamClosedError:
            logger.debug("caller_left")


class _Exchange(HTTPMessageDelegate):
    """Collects one request."""

    def __init__(self, ingress: Ingress, connection: HTTPConnection) -> None:
        self._ingress = ingress
        self._connection = connection
        self._parts: list[bytes] = []
        self._line = RequestStartLine("", "", "")
        self._headers = HTTPHeaders()

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        request = IncomingRequest(
            method=self._line.method,
            path=self._line.path,
            host=self._headers.get("Host", ""),
            headers=tuple(self._headers.get_all()),
            body=b"".join(self._parts),
            arrived_s=monotonic_s(),
        )
        self._ingress.run(request, self._connection)

    def on_connection_close(self) -> None:
        self._parts.clear()


def probe_handler(ready: Callable[[], bool], exposition: Callable[[], bytes]) -> Handler:
    """Return a handler that tells the metrics, and elsewhere answers 200 while ``ready`` holds."""

    async def handle(request: IncomingRequest) -> GatewayAnswer:
        if request.path == METRICS_PATH:
            return GatewayAnswer(status=200, headers=METRICS_HEADERS, body=exposition())
        if not ready():
            raise NotReady("not ready", execution=ExecutionStatus.NOT_RUN)
        return GatewayAnswer(status=200, body=b"ready")

    return handle
