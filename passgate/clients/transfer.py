"""One HTTP request on the wire, driven by libcurl's callbacks.

A :class:`Transfer` reads its body piece by piece with back-pressure, can be
aborted while it runs, and knows whether libcurl ever came to send the request,
which alone decides between ``not_run`` and ``unknown``.
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

from passgate.clients.calls import HttpAnswer, HttpCall, HttpLimits, SendPolicy
from passgate.clients.connections import ConnectionEnds, KeptConnections, set_unacknowledged_timeout
from passgate.clients.idle_connections import IdleConnections
from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
)

SIGNALS_OFF = 1
UPLOAD_BUFFER_BYTES = 16 * 1024
"""Least that libcurl takes; its default of 64 KiB stays allocated for the life of a stream."""
FINISH_UNREAD_S = 2.0
"""Time that a server has to end a body after its end mark."""
TCP_KEEPALIVE_IDLE_S = 10
TCP_KEEPALIVE_INTERVAL_S = 2
"""With the kernel's nine probes, a machine that vanished is known after 28 s of silence."""
STALLED_BYTES_PER_S = 1
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})
REJECT_DATA = -1
"""Returned from a callback; libcurl then fails the transfer."""
STATUS_LINE_PREFIX = b"HTTP/"
KEPT_FOR = re.compile(r"timeout=(\d+)")
"""What a server tells of the time for which it keeps an idle connection, in whole seconds."""
TRUNCATED_ERRNOS = frozenset({pycurl.E_PARTIAL_FILE, pycurl.E_BAD_CONTENT_ENCODING})
"""The server ended a body before its declared end."""


class HandleControl(Protocol):
    """What a transfer asks of the client that runs it."""

    def resume(self, handle: pycurl.Curl) -> None:
        """Go on with a paused transfer."""
        ...

    def abort(self, handle: pycurl.Curl) -> None:
        """End a transfer and close its connection."""
        ...


class Transfer:
    """One running request.  Made by :meth:`HttpClient.start`.

    Read the head with :meth:`head`, then pieces of the body with :meth:`read`
    until it returns ``b""``.  Every failure is raised typed, with its
    ``execution``.  Call :meth:`abort` when the rest is not wanted.
    """

    def __init__(
        self,
        client: HandleControl,
        connections: KeptConnections,
        idle: IdleConnections,
        limits: HttpLimits,
        call: HttpCall,
    ) -> None:
        self.call = call
        self.sends = 0
        """Times that libcurl came to send the request."""
        self.status = 0
        self.headers = HTTPHeaders()
        self.received_bytes = 0
        self._client = client
        self._connections = connections
        self._idle = idle
        self._ends: ConnectionEnds | None = None
        self._new_descriptor: int | None = None
        self._found_closed = False
        self._restarted = False
        self._aborted = False
        self._limits = limits
        self._handle: pycurl.Curl | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._paused = False
        self._head_done = False
        self._ended = False
        self._error: PassgateError | None = None
        self._waiter: asyncio.Future[None] | None = None

    # --- reading -----------------------------------------------------------------

    async def head(self) -> int:
        """Wait for the answer's head; return its status."""
        while not self._head_done and not self._ended:
            await self._changed()
        if not self._head_done:
            raise self._failure()
        return self.status

    async def read(self) -> bytes:
        """Return the bytes received since the last call; ``b""`` at the verified end."""
        while not self._pieces and not self._ended:
            await self._changed()
        if self._pieces:
            return self._take()
        if self._error is not None:
            raise self._error
        return b""

    async def read_all(self) -> HttpAnswer:
        """Return the whole answer; raises IncompleteAnswer when its length is not proven."""
        await self.head()
        parts = []
        size = 0
        while piece := await self.read():
            parts.append(piece)
            size += len(piece)
            if size > self._limits.max_body_bytes:
                self.abort()
                raise IncompleteAnswer(
                    "answer is larger than the limit", limit_bytes=self._limits.max_body_bytes
                )
        self._check_length(size)
        return HttpAnswer(status=self.status, headers=self.headers, body=b"".join(parts))

    def abort(self) -> None:
        """End the transfer now; its connection is closed.  Harmless after the end."""
        if self._handle is not None and not self._ended:
            self._aborted = True
            self._client.abort(self._handle)

    def finish_unread(self) -> None:
        """Let the transfer end by itself, so that its connection is kept; abort it if it does not."""
        if not self._ended:
            asyncio.get_running_loop().call_later(FINISH_UNREAD_S, self.abort)

    @property
    def on_new_connection(self) -> bool:
        """Whether the request went out on a connection that was opened for it."""
        return self.sends > 0 and self._new_descriptor is not None

    @property
    def ended(self) -> bool:
        """Whether nothing more will arrive."""
        return self._ended

    def execution(self) -> ExecutionStatus:
        """Return what is known of the request when the transfer failed."""
        return ExecutionStatus.UNKNOWN if self.sends else ExecutionStatus.NOT_RUN

    def _check_length(self, size: int) -> None:
        if self.status in BODILESS_STATUSES or self.call.method == "HEAD":
            return
        declared = self.headers.get("Content-Length")
        if declared is not None and declared != str(size):
            raise IncompleteAnswer("answer's length differs from Content-Length", declared=declared, got=size)
        chunked = self.headers.get("Transfer-Encoding", "").lower() == "chunked"
        if declared is None and not chunked and self.call.length_required:
            raise IncompleteAnswer("answer declares no length")

    def _take(self) -> bytes:
        data = b"".join(self._pieces) if len(self._pieces) > 1 else self._pieces[0]
        self._pieces.clear()
        self._buffered_bytes = 0
        if self._paused and self._handle is not None and not self._ended:
            self._paused = False
            self._client.resume(self._handle)
        return data

    async def _changed(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _failure(self) -> PassgateError:
        return self._error or BackendUnreachable("no answer", execution=self.execution())

    # --- called by libcurl ---------------------------------------------------------

    def prepare(self, handle: pycurl.Curl) -> None:
        """Set this transfer's options and callbacks on a handle."""
        self._handle = handle
        handle.setopt(pycurl.NOPROXY, "*")
        handle.setopt(pycurl.NOSIGNAL, SIGNALS_OFF)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.TCP_KEEPALIVE, 1)
        handle.setopt(pycurl.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
        handle.setopt(pycurl.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
        handle.setopt(pycurl.MAXAGE_CONN, self._limits.max_connection_idle_s)
        handle.setopt(pycurl.PATH_AS_IS, 1)
        handle.setopt(pycurl.VERBOSE, 0)  # tornado's debug log would show credentials
        if self.call.stall_timeout_s is not None:
            handle.setopt(pycurl.LOW_SPEED_LIMIT, STALLED_BYTES_PER_S)
            handle.setopt(pycurl.LOW_SPEED_TIME, self.call.stall_timeout_s)
        own_connection = self.call.send is SendPolicy.ONCE_ON_FRESH_CONNECTION
        handle.setopt(pycurl.FRESH_CONNECT, int(own_connection or self._found_closed))
        handle.setopt(pycurl.FORBID_REUSE, int(own_connection))
        handle.setopt(pycurl.UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES)
        handle.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        handle.setopt(pycurl.PREREQFUNCTION, self._on_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.WRITEFUNCTION, self._on_data)

    def _on_socket(self, descriptor: int, purpose: int) -> int:
        self._new_descriptor = descriptor
        if self._limits.unacknowledged_timeout_s is not None:
            set_unacknowledged_timeout(descriptor, self._limits.unacknowledged_timeout_s)
        return pycurl.SOCKOPT_OK

    def _on_send(self, remote_ip: str, local_ip: str, remote_port: int, local_port: int) -> int:
        # libcurl comes here each time that it is about to send the request, also the second time.
        if self.sends and self.call.send is not SendPolicy.REPEAT:
            return pycurl.PREREQFUNC_ABORT
        ends = ConnectionEnds(remote_ip, local_ip, remote_port, local_port)
        self._idle.take(ends)
        if self._new_descriptor is not None:
            self._connections.remember(ends, self._new_descriptor)
        elif self._connections.is_closed(ends):
            self._found_closed = True
            return pycurl.PREREQFUNC_ABORT
        self.sends += 1
        self._ends = ends
        return pycurl.PREREQFUNC_OK

    def take_restart(self) -> bool:
        """Return, once, whether the transfer ended unsent on a dead connection and shall start anew."""
        restart = self._found_closed and not self._restarted and not self.sends and not self._aborted
        self._restarted = self._restarted or restart
        return restart

    def _on_header(self, line: bytes) -> int:
        try:
            self._add_header(line)
        except (HTTPInputError, ValueError) as error:
            self._error = IncompleteAnswer(f"unreadable header: {error}")
            return REJECT_DATA
        return len(line)

    def _add_header(self, line: bytes) -> None:
        if line.startswith(STATUS_LINE_PREFIX):
            self.status = int(line.split(None, 2)[1])
            self.headers.clear()
            return
        text = line.decode("latin1").rstrip("\r\n")
        if text:
            self.headers.parse_line(text)
            return
        if self.status >= FIRST_FINAL_STATUS:
            self._head_done = True
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

    def on_end(self, response: HTTPResponse) -> None:
        """Record the transfer's end; called by the client once."""
        self._handle = None
        self._ended = True
        if self._error is None:
            self._error = self._failure_of(response)
        if self._error is None and not self._aborted:
            self._note_idle()
        self._wake()

    def _note_idle(self) -> None:
        """Note the connection as idle, unless one of both ends closes it."""
        own_connection = self.call.send is SendPolicy.ONCE_ON_FRESH_CONNECTION
        closes = self.headers.get("Connection", "").lower() == "close"
        if self._ends is None or own_connection or closes:
            return
        told = KEPT_FOR.search(self.headers.get("Keep-Alive", ""))
        kept_s = int(told[1]) if told is not None else self._limits.max_connection_idle_s
        self._idle.put(self._ends, monotonic_s() + kept_s)

    def _failure_of(self, response: HTTPResponse) -> PassgateError | None:
        error = response.error
        if isinstance(error, CurlError):
            timeout_s = self.call.timeout_s
            in_time = timeout_s is None or response.request_time < timeout_s
            return classify_failure(error.errno, self.sends > 0, in_time, str(error))
        if error is None or isinstance(error, HTTPError):
            return None  # also a whole answer with a status such as 404 is an error to tornado
        # The text may hold a header's value, so only the kind is told.
        message = f"request can not be sent: {type(error).__name__}"
        return BackendUnreachable(message, execution=ExecutionStatus.NOT_RUN)


def classify_failure(errno: int, sent: bool, in_time: bool, message: str) -> PassgateError:
    """Return the typed error of a failed transfer.

    ``not_run`` is claimed only when libcurl never came to send the request:
    refused, no route, name not resolved, connect timeout.
    """
    if not sent:
        return BackendUnreachable(message, execution=ExecutionStatus.NOT_RUN, curl_errno=errno)
    if errno in TRUNCATED_ERRNOS:
        return IncompleteAnswer(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
    if errno == pycurl.E_OPERATION_TIMEDOUT and not in_time:
        return DeadlineExceeded(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
    return BackendUnreachable(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
