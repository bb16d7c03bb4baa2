"""Request handling that all routes share: limits, credentials, errors, identifiers.

Bodies are read piece by piece, so that an oversized or slow one is answered by
a typed error as soon as its limit is passed.  No input raises past this module.
"""

from __future__ import annotations

import asyncio
import hmac
import math
import re
from collections.abc import Awaitable
from types import TracebackType
from typing import Any, TypeVar

import msgspec
from tornado import iostream
from tornado.web import HTTPError, RequestHandler, stream_request_body

from passgate import clock
from passgate.errors import (
    BodyTimeout,
    Cancelled,
    HeadersTooLarge,
    InvalidRequest,
    MalformedBody,
    PassgateError,
    PayloadTooLarge,
    Unauthorized,
)
from passgate.logging_setup import log_state_change
from passgate.server.context import ServerContext
from passgate.server.wire import ErrorAnswer
from passgate.settings import IDENTIFIER_PATTERN, Credential

JSON_CONTENT_TYPE = "application/json"
REQUEST_ID_FORM = re.compile(r"^[\x21-\x7e]{1,128}$")
CALLER_FORM = re.compile(IDENTIFIER_PATTERN)
ANONYMOUS_CALLER = "anonymous"
UNHANDLED_METHOD_STATUS = 405

T = TypeVar("T")


@stream_request_body
class ApiHandler(RequestHandler):
    """Base of all handlers; sub-classes set ``route_name`` and ``port_name``."""

    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD")
    port_name = "caller"
    counted = True
    """Whether the request passes the gate (health and metrics do not)."""

    def initialize(self, context: ServerContext, route_name: str = "unknown") -> None:
        """Take the daemon's shared parts; called by tornado for each request."""
        self.context = context
        self.route_name = route_name
        self.request_id = context.new_request_id()
        """Unique identifier used towards back ends."""
        self.shown_request_id = self.request_id
        """The caller's own X-Request-Id when it sent one."""
        self.started_s = clock.monotonic_s()
        self.body = bytearray()
        self.work: asyncio.Task[Any] | None = None
        self.caller_left = False
        self._entered = False
        self._body_timer: asyncio.TimerHandle | None = None

    # --- before the body -----------------------------------------------------------

    def prepare(self) -> None:
        """Check headers, credential and admission before any byte of the body is read."""
        self._take_request_id()
        self._check_headers()
        self.check_credential()
        if self.counted:
            self.context.gate.enter()
            self._entered = True
            self.context.metrics.in_flight.set(self.context.gate.in_flight)
        self._check_announced_length()
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(self.context.settings.limits.body_timeout_s, self._body_late)

    def _take_request_id(self) -> None:
        given = self.request.headers.get("X-Request-Id", "")
        if given and not REQUEST_ID_FORM.match(given):
            raise InvalidRequest("X-Request-Id has a wrong form", header="X-Request-Id")
        self.shown_request_id = given or self.request_id

    def _check_headers(self) -> None:
        limits = self.context.settings.limits
        pairs = list(self.request.headers.get_all())
        size_bytes = sum(len(name) + len(value) for name, value in pairs)
        if len(pairs) > limits.max_headers or size_bytes > limits.max_header_bytes:
            raise HeadersTooLarge(
                "headers are over the limit",
                max_headers=limits.max_headers,
                max_header_bytes=limits.max_header_bytes,
            )

    def check_credential(self) -> None:
        """Check the credential of this port; raises Unauthorized."""

    def _check_announced_length(self) -> None:
        announced = self.request.headers.get("Content-Length", "0")
        if announced.isascii() and announced.isdigit():
            self._check_size(int(announced))

    def _check_size(self, size_bytes: int) -> None:
        limit = self.context.settings.limits.max_body_bytes
        if size_bytes > limit:
            raise PayloadTooLarge("the body is over the limit", max_body_bytes=limit)

    # --- the body ------------------------------------------------------------------

    def data_received(self, chunk: bytes) -> None:
        """Collect a piece of the body, up to the limit."""
        if self._finished:
            return
        try:
            self._check_size(len(self.body) + len(chunk))
        except PayloadTooLarge as error:
            self._fail_early(error)
            return
        self.body += chunk

    def _body_late(self) -> None:
        if not self._finished and not self.request._body_future.done():
            self._fail_early(BodyTimeout("the body took too long to arrive"))

    def _fail_early(self, error: PassgateError) -> None:
        self.answer_error(error)
        if not self.request._body_future.done():
            self.request._body_future.set_exception(iostream.StreamClosedError())

    def decode_body(self, kind: type[T]) -> T:
        """Return the body as a typed value; raises MalformedBody naming the field."""
        try:
            return msgspec.json.decode(bytes(self.body), type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            head, _, path = str(error).partition(" - at `")
            field = path.rstrip("`") or "$"
            raise MalformedBody(f"the body is wrong at {field}: {head}", field=field) from None

    # --- work and its end ----------------------------------------------------------

    async def run_cancellable(self, work: Awaitable[T]) -> T:
        """Await work that is cancelled when the caller leaves."""
        self.work = asyncio.ensure_future(work)
        try:
            return await self.work
        except asyncio.CancelledError:
            if self.caller_left:
                raise Cancelled("the caller left") from None
            raise

    def on_connection_close(self) -> None:
        """Cancel the repeatable work of a caller that left."""
        super().on_connection_close()
        self.caller_left = True
        self.context.metrics.disconnects.labels(route=self.route_name).inc()
        if self.work is not None:
            self.work.cancel()
        self._leave(status="disconnected")

    def cut_off(self) -> None:
        """Close the connection of a caller that does not read its answer."""
        self.caller_left = True
        self.request.connection.stream.close()

    def on_finish(self) -> None:
        """Count the answer and leave the gate."""
        self._leave(status=str(self.get_status()))

    def _leave(self, status: str) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None
        if self.started_s < 0:
            return
        metrics = self.context.metrics
        metrics.requests.labels(port=self.port_name, route=self.route_name, status=status).inc()
        elapsed_s = clock.monotonic_s() - self.started_s
        metrics.request_seconds.labels(route=self.route_name).observe(elapsed_s)
        self.started_s = -1.0
        if self._entered:
            self._entered = False
            self.context.gate.leave(getattr(self.request.connection, "stream", None))
            metrics.in_flight.set(self.context.gate.in_flight)

    # --- answers -------------------------------------------------------------------

    def set_default_headers(self) -> None:
        """Leave tornado's own default headers out."""
        self.clear_header("Server")

    def write_common_headers(self, content_type: str) -> None:
        """Set the headers that every answer carries."""
        self.set_header("Content-Type", content_type)
        self.set_header("X-Request-Id", self.shown_request_id)
        self.set_header("X-Passgate-Request-Id", self.request_id)
        self.set_header("X-Passgate-Daemon", self.context.settings.daemon_id)
        if self.context.gate.leaving:
            self.set_header("Connection", "close")

    def answer_json(self, value: Any, status: int = 200) -> None:
        """Finish with a JSON body."""
        self.set_status(status)
        self.write_common_headers(JSON_CONTENT_TYPE)
        self.finish(msgspec.json.encode(value))

    def answer_error(self, error: PassgateError) -> None:
        """Finish with a typed error, unless the answer has begun or its caller left."""
        self.count_error(error)
        if self._finished or self._headers_written or self.caller_left:
            return
        self.clear()
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(error.retry_after_s))))
        self.set_header("X-Passgate-Error", error.code)
        self.answer_json(ErrorAnswer(error.body(), self.shown_request_id), error.http_status)

    def count_error(self, error: PassgateError) -> None:
        """Count an error answer."""
        self.context.metrics.errors.labels(
            route=self.route_name, code=error.code, execution=error.execution.value
        ).inc()

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Answer any exception of a handler with its typed error."""
        exception = kwargs.get("exc_info", (None, None, None))[1]
        self.answer_error(self._typed(exception, status_code))
        if not self._finished and not self.caller_left:
            self.finish()

    def _typed(self, exception: BaseException | None, status_code: int) -> PassgateError:
        if isinstance(exception, PassgateError):
            return exception
        if isinstance(exception, HTTPError):
            status_code = exception.status_code
        if 400 <= status_code < 500:
            error: PassgateError = InvalidRequest(f"the request was refused with status {status_code}")
            if status_code == UNHANDLED_METHOD_STATUS:
                error = InvalidRequest("this path does not know the method", method=self.request.method)
            error.http_status = status_code
            return error
        return PassgateError("an unexpected failure inside passgate")

    def log_exception(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Log only failures that have no type: they are faults of passgate itself."""
        if isinstance(value, (PassgateError, HTTPError)):
            return
        log_state_change(
            self.context.logger,
            "unexpected_failure",
            level=40,
            route=self.route_name,
            request_id=self.request_id,
            failure=repr(value),
            exc_info_text="".join(_format_trace(kind, value, trace)),
        )


def _format_trace(
    kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
) -> list[str]:
    import traceback

    return traceback.format_exception(kind, value, trace)


def bearer_matches(header: str, credential: Credential) -> bool:
    """Return whether an Authorization header carries the credential, in constant time."""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer":
        return False
    return hmac.compare_digest(token.strip().encode(), credential.reveal().encode())


class CallerHandler(ApiHandler):
    """Base of the handlers on the callers' port."""

    caller = ANONYMOUS_CALLER

    def check_credential(self) -> None:
        """Name the caller by its credential when credentials are set, else by its header."""
        credentials = self.context.settings.credentials.callers
        header = self.request.headers.get("Authorization", "")
        if credentials:
            matches = [name for name, secret in credentials.items() if bearer_matches(header, secret)]
            if not matches:
                raise Unauthorized("a caller's credential is needed")
            self.caller = matches[0]
            return
        name = self.request.headers.get("X-Passgate-Caller", ANONYMOUS_CALLER)
        if not CALLER_FORM.match(name):
            raise InvalidRequest("X-Passgate-Caller has a wrong form", header="X-Passgate-Caller")
        self.caller = name


class OperatorHandler(ApiHandler):
    """Base of the handlers on the operators' port."""

    port_name = "operator"

    def check_credential(self) -> None:
        """Check the operators' credential when one is set."""
        credential = self.context.settings.credentials.operators
        if not credential:
            return
        if not bearer_matches(self.request.headers.get("Authorization", ""), credential):
            raise Unauthorized("the operators' credential is needed")
