"""Base classes of the request handlers: limits, credentials, identifiers and error answers.

Bodies are received in chunks, so that a body over its size or time limit is answered with a typed error
as soon as the limit is exceeded.  Each exception that a handler raises becomes a typed error answer.
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
REQUEST_ID_PATTERN = re.compile(r"^[\x21-\x7e]{1,128}$")
CALLER_PATTERN = re.compile(IDENTIFIER_PATTERN)
ANONYMOUS_CALLER = "anonymous"
METHOD_NOT_ALLOWED_STATUS = 405

T = TypeVar("T")


@stream_request_body
class ApiHandler(RequestHandler):
    """Base of all handlers.

    Subclasses may override ``port_name``, the value of the metrics' label ``port``; ``route_name`` comes
    from the route table.
    """

    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD")
    port_name = "caller"
    uses_admission = True
    """Whether admission control applies; False for health, metrics and unknown paths."""

    def initialize(self, context: ServerContext, route_name: str = "unknown") -> None:
        """Set up the state of one request; called by tornado for each request."""
        self.context = context
        self.route_name = route_name
        self.request_id = context.new_request_id()
        """Unique identifier of this request, sent to replicas."""
        self.echoed_request_id = self.request_id
        """The caller's own X-Request-Id when it sent one; not unique."""
        self.started_s = clock.monotonic_s()
        """-1 once the end of the request is recorded."""
        self.body = bytearray()
        self.cancellable_task: asyncio.Task[Any] | None = None
        self.caller_disconnected = False
        self._is_admitted = False
        self._body_timer: asyncio.TimerHandle | None = None

    # --- before the body -----------------------------------------------------------

    def prepare(self) -> None:
        """Check headers, credential, admission and Content-Length before the body is read.

        Raises:
            InvalidRequest, HeadersTooLarge, Unauthorized, PayloadTooLarge: the request is not acceptable.
            NotReady, Draining, Overloaded: admission control refuses it.
        """
        self._read_request_id()
        self._check_headers()
        self.check_credential()
        if self.uses_admission:
            self.context.admission.admit()
            self._is_admitted = True
            self.context.metrics.in_flight.set(self.context.admission.in_flight)
        self._check_content_length()
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(self.context.settings.limits.body_timeout_s, self._on_body_timeout)

    def _read_request_id(self) -> None:
        caller_request_id = self.request.headers.get("X-Request-Id", "")
        if caller_request_id and not REQUEST_ID_PATTERN.match(caller_request_id):
            raise InvalidRequest(
                "X-Request-Id must be 1 to 128 visible ASCII characters",
                header="X-Request-Id",
            )
        self.echoed_request_id = caller_request_id or self.request_id

    def _check_headers(self) -> None:
        limits = self.context.settings.limits
        pairs = list(self.request.headers.get_all())
        size_bytes = sum(len(name) + len(value) for name, value in pairs)
        if len(pairs) > limits.max_headers or size_bytes > limits.max_header_bytes:
            raise HeadersTooLarge(
                "the headers are too many or too large",
                max_headers=limits.max_headers,
                max_header_bytes=limits.max_header_bytes,
            )

    def check_credential(self) -> None:
        """Check the credential of this port; raises Unauthorized.  Accepts everything unless overridden."""

    def _check_content_length(self) -> None:
        content_length = self.request.headers.get("Content-Length", "0")
        if content_length.isascii() and content_length.isdigit():
            self._check_body_size(int(content_length))

    def _check_body_size(self, size_bytes: int) -> None:
        limit = self.context.settings.limits.max_body_bytes
        if size_bytes > limit:
            raise PayloadTooLarge("the body exceeds the size limit", max_body_bytes=limit)

    # --- the body ------------------------------------------------------------------

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body; answers PayloadTooLarge when the body exceeds its limit."""
        if self._finished:
            return
        try:
            self._check_body_size(len(self.body) + len(chunk))
        except PayloadTooLarge as error:
            self._abort_body(error)
            return
        self.body += chunk

    def _on_body_timeout(self) -> None:
        if not self._finished and not self.request._body_future.done():
            self._abort_body(BodyTimeout("the body was not received before its timeout"))

    def _abort_body(self, error: PassgateError) -> None:
        """Answer with an error and end the reading of the body."""
        self.answer_error(error)
        if not self.request._body_future.done():
            self.request._body_future.set_exception(iostream.StreamClosedError())

    def decode_body(self, body_type: type[T]) -> T:
        """Return the body, decoded from JSON as ``body_type``; raises MalformedBody that names the field."""
        try:
            return msgspec.json.decode(bytes(self.body), type=body_type)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            problem, _, path = str(error).partition(" - at `")
            field = path.rstrip("`") or "$"
            raise MalformedBody(f"the body is invalid at {field}: {problem}", field=field) from None

    # --- cancellation and the end of the request -----------------------------------

    async def run_cancellable(self, work: Awaitable[T]) -> T:
        """Await work that is cancelled when the caller disconnects; then raises Cancelled."""
        self.cancellable_task = asyncio.ensure_future(work)
        try:
            return await self.cancellable_task
        except asyncio.CancelledError:
            if self.caller_disconnected:
                raise Cancelled("the caller closed its connection") from None
            raise

    def on_connection_close(self) -> None:
        """Cancel work that :meth:`run_cancellable` awaits; called by tornado when the caller disconnects."""
        super().on_connection_close()
        self.caller_disconnected = True
        self.context.metrics.disconnects.labels(route=self.route_name).inc()
        if self.cancellable_task is not None:
            self.cancellable_task.cancel()
        self._record_end(status="disconnected")

    def close_connection(self) -> None:
        """Close the connection of a caller that does not read its answer; unsent bytes are lost."""
        self.caller_disconnected = True
        self.request.connection.stream.close()

    def on_finish(self) -> None:
        """Record the end of the request; called by tornado once the answer is written."""
        self._record_end(status=str(self.get_status()))

    def _record_end(self, status: str) -> None:
        """Count the request in the metrics and release its admission; further calls do nothing."""
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
        if self._is_admitted:
            self._is_admitted = False
            self.context.admission.release(getattr(self.request.connection, "stream", None))
            metrics.in_flight.set(self.context.admission.in_flight)

    # --- answers -------------------------------------------------------------------

    def set_default_headers(self) -> None:
        """Remove tornado's ``Server`` header."""
        self.clear_header("Server")

    def write_common_headers(self, content_type: str) -> None:
        """Set the headers of every answer."""
        self.set_header("Content-Type", content_type)
        self.set_header("X-Request-Id", self.echoed_request_id)
        self.set_header("X-Passgate-Request-Id", self.request_id)
        self.set_header("X-Passgate-Daemon", self.context.settings.daemon_id)
        if self.context.admission.is_closing_connections:
            self.set_header("Connection", "close")

    def answer_json(self, value: Any, status: int = 200) -> None:
        """Finish the answer with ``value`` encoded as JSON."""
        self.set_status(status)
        self.write_common_headers(JSON_CONTENT_TYPE)
        self.finish(msgspec.json.encode(value))

    def answer_error(self, error: PassgateError) -> None:
        """Finish the answer with a typed error, and count it.

        Only counts it when headers are already sent or the caller has disconnected.
        """
        self.count_error(error)
        if self._finished or self._headers_written or self.caller_disconnected:
            return
        self.clear()
        if error.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(error.retry_after_s))))
        self.set_header("X-Passgate-Error", error.code)
        self.answer_json(ErrorAnswer(error.body(), self.echoed_request_id), error.http_status)

    def count_error(self, error: PassgateError) -> None:
        """Count an error in the metrics."""
        self.context.metrics.errors.labels(
            route=self.route_name, code=error.code, execution=error.execution.value
        ).inc()

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Answer an exception of a handler with a typed error; called by tornado."""
        exception = kwargs.get("exc_info", (None, None, None))[1]
        self.answer_error(self._to_passgate_error(exception, status_code))
        if not self._finished and not self.caller_disconnected:
            self.finish()

    def _to_passgate_error(self, exception: BaseException | None, status_code: int) -> PassgateError:
        if isinstance(exception, PassgateError):
            return exception
        if isinstance(exception, HTTPError):
            status_code = exception.status_code
        if 400 <= status_code < 500:
            error: PassgateError = InvalidRequest(f"the request was rejected with status {status_code}")
            if status_code == METHOD_NOT_ALLOWED_STATUS:
                error = InvalidRequest("the path does not support this method", method=self.request.method)
            error.http_status = status_code
            return error
        return PassgateError("an unexpected internal error occurred")

    def log_exception(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Log exceptions that are neither typed errors nor HTTP errors: they are faults of passgate."""
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
    """Return whether an Authorization header holds the credential; compares in constant time."""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer":
        return False
    return hmac.compare_digest(token.strip().encode(), credential.reveal().encode())


class CallerHandler(ApiHandler):
    """Base of the handlers on the callers' port."""

    caller = ANONYMOUS_CALLER

    def check_credential(self) -> None:
        """Set ``caller`` from the credential or, when none are configured, from X-Passgate-Caller."""
        credentials = self.context.settings.credentials.callers
        header = self.request.headers.get("Authorization", "")
        if credentials:
            matches = [name for name, secret in credentials.items() if bearer_matches(header, secret)]
            if not matches:
                raise Unauthorized("the Authorization header holds no valid caller credential")
            self.caller = matches[0]
            return
        name = self.request.headers.get("X-Passgate-Caller", ANONYMOUS_CALLER)
        if not CALLER_PATTERN.match(name):
            raise InvalidRequest("X-Passgate-Caller is not a valid caller name", header="X-Passgate-Caller")
        self.caller = name


class OperatorHandler(ApiHandler):
    """Base of the handlers on the operators' port."""

    port_name = "operator"

    def check_credential(self) -> None:
        """Check the operators' credential when one is configured."""
        credential = self.context.settings.credentials.operators
        if not credential:
            return
        if not bearer_matches(self.request.headers.get("Authorization", ""), credential):
            raise Unauthorized("the Authorization header does not hold the operators' credential")
