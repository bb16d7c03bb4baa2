"""One HTTP transfer, driven by libcurl's callbacks.

The body of a :class:`Transfer` is read incrementally with back-pressure, and the transfer can be aborted.
Whether libcurl ever started to send the request decides whether a failed transfer has the execution status
``not_run`` or ``unknown``.
"""

from __future__ import annotations

import asyncio
import collections
import re
from typing import Protocol

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPError, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError

from passgate.clients.body_budget import BodyBudget
from passgate.clients.connection_sockets import (
    ConnectionEndpoints,
    ConnectionSockets,
    set_unacknowledged_timeout,
)
from passgate.clients.http_call import HttpAnswer, HttpCall, HttpLimits, SendPolicy
from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
    SendInterrupted,
    SendTooLate,
)

SIGNALS_OFF = 1
UPLOAD_BUFFER_BYTES = 16 * 1024
"""Minimum that libcurl accepts; the default of 64 KiB would stay allocated as long as a stream runs."""
FINISH_UNREAD_TIMEOUT_S = 2.0
"""Time after which a transfer whose body is not read to the end is aborted."""
TCP_KEEPALIVE_IDLE_S = 10
TCP_KEEPALIVE_INTERVAL_S = 2
"""With the kernel's default of nine probes, a peer that vanished is detected after 28 s of silence."""
STALLED_BYTES_PER_S = 1
"""Average speed below which a transfer counts as stalled; see :attr:`HttpCall.stall_timeout_s`."""
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})
REJECT_DATA = -1
"""Result of a data callback that makes libcurl fail the transfer."""
STATUS_LINE_PREFIX = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: |\r|\n|$)")
FIRST_STATUS, LAST_STATUS = 100, 599
SWITCHING_PROTOCOLS = 101
MAX_LOGGED_BYTES = 40
MAX_UNFRAMED_BYTES = 8 * 1024 * 1024
"""Bytes that are no part of an answer after which a transfer fails; more than a receive buffer holds."""
TRUNCATED_ERRNOS = frozenset({pycurl.E_PARTIAL_FILE, pycurl.E_BAD_CONTENT_ENCODING})
"""libcurl's errors for a body that ends before its declared length or is badly encoded."""


class HandleControl(Protocol):
    """Operations on a running transfer that the HTTP client provides."""

    def resume(self, handle: pycurl.Curl) -> None:
        """Resume a paused transfer."""
        ...

    def abort(self, handle: pycurl.Curl) -> None:
        """End a running transfer and close its connection."""
        ...


class Transfer:
    """One HTTP transfer, started by :meth:`HttpClient.start`.

    Await :meth:`wait_for_head` for the status and headers, then :meth:`read` repeatedly until it returns
    ``b""``.  Both raise a failure of the transfer as a PassgateError with an execution status.  Call
    :meth:`abort` or :meth:`finish_unread` if the body is not read to its end.
    """

    def __init__(
        self,
        client: HandleControl,
        connections: ConnectionSockets,
        limits: HttpLimits,
        call: HttpCall,
        body_budget: BodyBudget,
    ) -> None:
        self.call = call
        self._body_budget = body_budget
        self._endpoints: ConnectionEndpoints | None = None
        self._header_bytes = 0
        self._unframed_base_bytes: int | None = None
        """Bytes on the connection at the first check that were no part of this answer."""
        self.send_count = 0
        """Number of times that libcurl has started to send the request."""
        self.status = 0
        self.headers = HTTPHeaders()
        self.received_bytes = 0
        self.connect_duration_s: float | None = None
        """Time that opening a new connection took; None until then, and if a connection is reused."""
        self._socket_created_s = 0.0
        self._client = client
        self._connections = connections
        self._new_descriptor: int | None = None
        self._reused_connection_closed = False
        self._restarted = False
        self._aborted = False
        self._limits = limits
        self._handle: pycurl.Curl | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._paused = False
        self._head_complete = False
        self._ended = False
        self._error: PassgateError | None = None
        self._waiter: asyncio.Future[None] | None = None

    # --- reading -----------------------------------------------------------------

    async def wait_for_head(self) -> int:
        """Wait for the status line and headers and return the status; raises PassgateError."""
        while not self._head_complete and not self._ended:
            await self._wait_for_change()
        if not self._head_complete:
            raise self._failure()
        return self.status

    async def read(self) -> bytes:
        """Wait for data and return all buffered bytes, or ``b""`` at the end of the body.

        Raises PassgateError if the transfer failed; bytes received before the failure are returned first.
        """
        while not self._pieces and not self._ended:
            await self._wait_for_change()
        if self._pieces:
            return self._take_buffered()
        if self._error is not None:
            raise self._error
        return b""

    async def read_all(self) -> HttpAnswer:
        """Return the complete answer.

        Raises PassgateError; IncompleteAnswer if the body is too large, differs in length from the declared
        length, or lacks a length that ``length_required`` demands.
        """
        await self.wait_for_head()
        parts = []
        size = 0
        try:
            while part := await self.read():
                parts.append(part)
                size += len(part)
                if size > self._limits.max_body_bytes:
                    self.abort()
                    raise IncompleteAnswer(
                        "answer is larger than the limit", limit_bytes=self._limits.max_body_bytes
                    )
                self._body_budget.add(self, len(part))
            self._check_length(size)
            return HttpAnswer(status=self.status, headers=self.headers, body=b"".join(parts))
        finally:
            self._body_budget.remove(self)

    def reject_body(self) -> None:
        """Fail the transfer, as the bodies of all transfers together take too much memory."""
        self._fail(IncompleteAnswer("answers of all transfers are larger than the limit"))

    def check_framing(self) -> None:
        """Fail the transfer if endless bytes arrive that belong neither to a head nor to a body.

        libcurl reads some of them, such as the extension of a chunk, without telling.  Must be called
        periodically; the first call only notes how many other bytes the connection has received before.
        """
        if self._endpoints is None or self._ended or self._paused:
            return
        received_bytes = self._connections.received_bytes(self._endpoints)
        if received_bytes is None:
            return
        unframed_bytes = received_bytes - self.received_bytes - self._header_bytes
        if self._unframed_base_bytes is None:
            self._unframed_base_bytes = unframed_bytes
        elif unframed_bytes - self._unframed_base_bytes > MAX_UNFRAMED_BYTES:
            self._fail(IncompleteAnswer("bytes arrive without end that are no part of an answer"))

    def _fail(self, error: PassgateError) -> None:
        if self._handle is not None and not self._ended:
            self._error = error
            self.abort()

    def abort(self) -> None:
        """Stop the transfer and close its connection; does nothing after the transfer's end."""
        if self._handle is not None and not self._ended:
            self._aborted = True
            self._client.abort(self._handle)

    def finish_unread(self) -> None:
        """Let the transfer end by itself, so that its connection can be reused, or abort it after a timeout.

        A rest of the body above ``max_buffered_bytes`` pauses the transfer, which is then aborted.
        """
        if not self._ended:
            asyncio.get_running_loop().call_later(FINISH_UNREAD_TIMEOUT_S, self.abort)

    @property
    def ended(self) -> bool:
        """Whether the transfer has ended, successfully or not; buffered bytes may still be unread."""
        return self._ended

    def execution(self) -> ExecutionStatus:
        """Return the request's execution status in case the transfer fails now."""
        return ExecutionStatus.UNKNOWN if self.send_count else ExecutionStatus.NOT_RUN

    def _check_length(self, size: int) -> None:
        if self.status in BODILESS_STATUSES or self.call.method == "HEAD":
            return
        declared = self.headers.get("Content-Length")
        if declared is not None and declared != str(size):
            raise IncompleteAnswer("body length differs from Content-Length", declared=declared, got=size)
        chunked = self.headers.get("Transfer-Encoding", "").lower() == "chunked"
        if declared is None and not chunked and self.call.length_required:
            raise IncompleteAnswer("answer has neither Content-Length nor chunked encoding")

    def _take_buffered(self) -> bytes:
        """Remove and return the buffered bytes, and resume the transfer if a full buffer has paused it."""
        data = b"".join(self._pieces) if len(self._pieces) > 1 else self._pieces[0]
        self._pieces.clear()
        self._buffered_bytes = 0
        if self._paused and self._handle is not None and not self._ended:
            self._paused = False
            self._client.resume(self._handle)
        return data

    async def _wait_for_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _failure(self) -> PassgateError:
        return self._error or BackendUnreachable(
            "the transfer ended without an answer", execution=self.execution()
        )

    # --- called by libcurl ---------------------------------------------------------

    def prepare(self, handle: pycurl.Curl) -> None:
        """Set this transfer's options and callbacks on a libcurl handle."""
        self._handle = handle
        handle.setopt(pycurl.NOPROXY, "*")
        handle.setopt(pycurl.NOSIGNAL, SIGNALS_OFF)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.TCP_KEEPALIVE, 1)
        handle.setopt(pycurl.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
        handle.setopt(pycurl.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
        handle.setopt(pycurl.MAXAGE_CONN, self._limits.max_connection_idle_s)
        handle.setopt(pycurl.PATH_AS_IS, 1)
        handle.setopt(pycurl.VERBOSE, 0)  # Tornado's debug log would contain credentials
        if self.call.stall_timeout_s is not None:
            handle.setopt(pycurl.LOW_SPEED_LIMIT, STALLED_BYTES_PER_S)
            handle.setopt(pycurl.LOW_SPEED_TIME, self.call.stall_timeout_s)
        own_connection = self.call.send is SendPolicy.ONCE_ON_FRESH_CONNECTION
        handle.setopt(pycurl.FRESH_CONNECT, int(own_connection or self._reused_connection_closed))
        handle.setopt(pycurl.FORBID_REUSE, int(own_connection))
        handle.setopt(pycurl.UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES)
        handle.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        handle.setopt(pycurl.PREREQFUNCTION, self._on_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.WRITEFUNCTION, self._on_data)

    def _on_socket(self, descriptor: int, purpose: int) -> int:
        self._new_descriptor = descriptor
        self._socket_created_s = monotonic_s()
        if self._limits.unacknowledged_timeout_s is not None:
            set_unacknowledged_timeout(descriptor, self._limits.unacknowledged_timeout_s)
        return pycurl.SOCKOPT_OK

    def _on_send(self, remote_ip: str, local_ip: str, remote_port: int, local_port: int) -> int:
        # libcurl calls this each time just before it sends the request, also when it repeats the request.
        if self.send_count and self.call.send is not SendPolicy.REPEAT:
            return pycurl.PREREQFUNC_ABORT
        latest_send_s = self.call.not_sent_after_s
        if latest_send_s is not None and monotonic_s() > latest_send_s:
            self._error = SendTooLate("the latest time to send has passed", execution=ExecutionStatus.NOT_RUN)
            return pycurl.PREREQFUNC_ABORT
        endpoints = ConnectionEndpoints(remote_ip, local_ip, remote_port, local_port)
        if self._new_descriptor is not None:
            self._connections.record(endpoints, self._new_descriptor)
            self.connect_duration_s = monotonic_s() - self._socket_created_s
        elif self._connections.is_closed_by_server(endpoints):
            self._reused_connection_closed = True
            return pycurl.PREREQFUNC_ABORT
        self._endpoints = endpoints
        self.send_count += 1
        return pycurl.PREREQFUNC_OK

    def claim_restart(self) -> bool:
        """Return whether to start the transfer again on a new connection, and record that if so.

        True, at most once, if nothing was sent because the server had closed the reused connection.
        """
        restart = (
            self._reused_connection_closed
            and not self._restarted
            and not self.send_count
            and not self._aborted
        )
        self._restarted = self._restarted or restart
        return restart

    def _on_header(self, line: bytes) -> int:
        try:
            self._add_header(line)
        except (HTTPInputError, ValueError) as error:
            self._error = IncompleteAnswer(f"answer's header can not be parsed: {error}")
            return REJECT_DATA
        except IncompleteAnswer as error:
            self._error = error
            return REJECT_DATA
        self._header_bytes += len(line)
        return len(line)

    def _add_header(self, line: bytes) -> None:
        if self._head_complete:
            return  # a trailer, which changes neither the status nor the headers
        if line.startswith(STATUS_LINE_PREFIX):
            self.status = parse_status(line)
            self.headers.clear()
            return
        text = line.decode("latin1").rstrip("\r\n")
        if text:
            self.headers.parse_line(text)
            return
        if self.status >= FIRST_FINAL_STATUS:
            self._head_complete = True
            self._wake()

    def _on_data(self, data: bytes) -> int:
        if self._buffered_bytes >= self._limits.max_buffered_bytes:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._pieces.append(data)
        self._buffered_bytes += len(data)
        self.received_bytes += len(data)
        self._wake()
        return len(data)

    def record_end(self, response: HTTPResponse) -> None:
        """Record the end of the transfer and the failure, if any; called once, by the client."""
        self._handle = None
        self._ended = True
        if self._error is None:
            self._error = self._failure_of(response)
        self._wake()

    def _failure_of(self, response: HTTPResponse) -> PassgateError | None:
        error = response.error
        if isinstance(error, CurlError):
            timeout_s = self.call.timeout_s
            in_time = timeout_s is None or response.request_time < timeout_s
            return classify_failure(error.errno, self.send_count > 0, in_time, str(error))
        if error is None or isinstance(error, HTTPError):
            return None  # Tornado reports a complete answer with an error status as HTTPError
        # The error's text may contain a header's value, such as a credential, so only its type is shown.
        message = f"request can not be sent: {type(error).__name__}"
        return BackendUnreachable(message, execution=ExecutionStatus.NOT_RUN)


def parse_status(line: bytes) -> int:
    """Return the status of a status line.

    Raises IncompleteAnswer if the line can't begin an HTTP/1 answer: libcurl accepts other versions and any
    three digits from 100 on, and a protocol switch that was not requested.

    >>> parse_status(b"HTTP/1.1 200 OK")
    200
    >>> parse_status(b"HTTP/1.1 999 Strange")
    Traceback (most recent call last):
    ...
    passgate.errors.IncompleteAnswer: status line is no HTTP/1 answer
    """
    match = STATUS_LINE.match(line)
    status = int(match[1]) if match is not None else 0
    if not FIRST_STATUS <= status <= LAST_STATUS or status == SWITCHING_PROTOCOLS:
        raise IncompleteAnswer("status line is no HTTP/1 answer", line=line[:MAX_LOGGED_BYTES])
    return status


def classify_failure(errno: int, sent: bool, in_time: bool, message: str) -> PassgateError:
    """Return the error of a failed transfer.

    The execution status is NOT_RUN if libcurl never started to send the request, for example because the
    connection was refused or timed out; otherwise UNKNOWN.

    Args:
        errno: libcurl's error code.
        sent: whether libcurl started to send the request.
        in_time: whether the transfer ended before its total timeout.
        message: text of the returned error.
    """
    if not sent:
        return BackendUnreachable(message, execution=ExecutionStatus.NOT_RUN, curl_errno=errno)
    if errno in TRUNCATED_ERRNOS:
        return IncompleteAnswer(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
    if errno == pycurl.E_OPERATION_TIMEDOUT and not in_time:
        return DeadlineExceeded(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
    error_type = SendInterrupted if errno == pycurl.E_SEND_ERROR else BackendUnreachable
    return error_type(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
