"""The one place that makes HTTP transfers: tornado's curl client with passgate's limits.

A :class:`Transfer` is one request on the wire.  Its body is read piece by piece
with back-pressure, it can be aborted while it runs, and it knows whether a byte
of the request could have reached the server.  libcurl's own defaults (10
transfers at once, 20 s in all, redirects, ``Expect``, proxies from the
environment, a silent second send) are all set explicitly here.

>>> HttpLimits().connect_timeout_s
2.0
"""

from __future__ import annotations

import asyncio
import collections

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from passgate.clock import monotonic_s
from passgate.errors import (
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
)

NO_TIMEOUT_S = 0.0
"""libcurl reads a total timeout of zero as "none"."""
SIGNALS_OFF = 1
FINISH_UNREAD_S = 2.0
"""Time that a server has to end a body after its end mark."""
TCP_KEEPALIVE_IDLE_S = 10
TCP_KEEPALIVE_INTERVAL_S = 5
STATUS_LINE_PREFIX = b"HTTP/"
TRUNCATED_ERRNOS = frozenset({pycurl.E_PARTIAL_FILE, pycurl.E_BAD_CONTENT_ENCODING})
"""The server ended a body before its declared end."""


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one daemon's HTTP client."""

    max_transfers: int = 8192
    """Transfers at once; one more is refused as not run, never queued."""
    connect_timeout_s: float = 2.0
    max_body_bytes: int = 64 * 1024 * 1024
    """Largest body of one buffered answer."""
    max_buffered_bytes: int = 64 * 1024
    """Unread bytes of one stream after which the transfer is paused."""
    max_idle_connections: int = 1024
    max_connection_idle_s: int = 30
    """An idle connection older than this is not used again."""


class HttpCall(msgspec.Struct, frozen=True, kw_only=True):
    """One request to be sent."""

    method: str
    url: str
    body: bytes | None = None
    headers: dict[str, str] = {}
    repeatable: bool = False
    """Whether libcurl may use a kept connection and, when that turns out dead, send again."""
    timeout_s: float | None = None
    """Time for the whole transfer; None means no limit."""


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole, length-checked answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


class _Client(CurlAsyncHTTPClient):
    """Tornado's client with handles made on demand and transfers that can be aborted."""

    def initialize(self, limits: HttpLimits) -> None:  # type: ignore[override]
        super().initialize(max_clients=0, max_body_size=limits.max_body_bytes)
        self._max_transfers = limits.max_transfers
        self._multi.setopt(pycurl.M_MAXCONNECTS, limits.max_idle_connections)

    def has_room(self) -> bool:
        return bool(self._free_list) or len(self._curls) < self._max_transfers

    def fetch_impl(self, request, callback) -> None:
        if not self._free_list:
            handle = self._curl_create()
            self._curls.append(handle)
            self._free_list.append(handle)
        super().fetch_impl(request, callback)

    def resume(self, handle: pycurl.Curl) -> None:
        handle.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def abort(self, handle: pycurl.Curl) -> None:
        # Removing a running handle from the multi makes libcurl close its connection.
        self._finish(handle, pycurl.E_ABORTED_BY_CALLBACK, "aborted by its reader")


class Transfer:
    """One running request.  Made by :meth:`HttpClient.start`.

    Read the head with :meth:`head`, then pieces of the body with :meth:`read`
    until it returns ``b""``.  Every failure is raised typed, with its
    ``execution``.  Call :meth:`abort` when the rest is not wanted.
    """

    def __init__(self, client: _Client, limits: HttpLimits, call: HttpCall) -> None:
        self.call = call
        self.sends = 0
        """Times that libcurl came to send the request."""
        self.status = 0
        self.headers = HTTPHeaders()
        self.received_bytes = 0
        self._client = client
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
            self._client.abort(self._handle)

    def finish_unread(self) -> None:
        """Let the transfer end by itself, so that its connection is kept; abort it if it does not."""
        if not self._ended:
            asyncio.get_running_loop().call_later(FINISH_UNREAD_S, self.abort)

    @property
    def ended(self) -> bool:
        """Whether nothing more will arrive."""
        return self._ended

    def execution(self) -> ExecutionStatus:
        """Return what is known of the request when the transfer failed."""
        return ExecutionStatus.UNKNOWN if self.sends else ExecutionStatus.NOT_RUN

    def _check_length(self, size: int) -> None:
        declared = self.headers.get("Content-Length")
        if declared is not None and declared != str(size):
            raise IncompleteAnswer("answer's length differs from Content-Length", declared=declared, got=size)
        chunked = self.headers.get("Transfer-Encoding", "").lower() == "chunked"
        bodiless = self.status in (204, 304) or self.call.method == "HEAD"
        if declared is None and not chunked and not bodiless:
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
        handle.setopt(pycurl.FRESH_CONNECT, 0 if self.call.repeatable else 1)
        handle.setopt(pycurl.PREREQFUNCTION, self._on_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.WRITEFUNCTION, self._on_data)

    def _on_send(self, *addresses: object) -> int:
        # libcurl comes here each time that it is about to send the request, also the second time.
        if self.sends and not self.call.repeatable:
            return pycurl.PREREQFUNC_ABORT
        self.sends += 1
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> None:
        if line.startswith(STATUS_LINE_PREFIX):
            self.status = int(line.split(None, 2)[1])
            self.headers.clear()
            return
        text = line.decode("latin1").rstrip("\r\n")
        if text:
            self.headers.parse_line(text)
            return
        if self.status >= 200:
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
        if _is_transfer_error(response.error) and self._error is None:
            errno = getattr(response.error, "errno", None)
            self._error = classify_failure(errno, self.sends > 0, str(response.error))
        self._wake()

    def fail(self, error: PassgateError) -> None:
        """Abort the transfer and let its reader see ``error``."""
        if not self._ended:
            self._error = error
            self.abort()


def _is_transfer_error(error: BaseException | None) -> bool:
    # Tornado also makes an error of a whole answer with a status such as 404.
    is_status = isinstance(error, HTTPError) and not isinstance(error, CurlError)
    return error is not None and not is_status


def classify_failure(errno: int | None, sent: bool, message: str) -> PassgateError:
    """Return the typed error of a failed transfer.

    ``not_run`` is claimed only when libcurl never came to send the request:
    refused, no route, name not resolved, connect timeout.
    """
    if not sent:
        return BackendUnreachable(message, execution=ExecutionStatus.NOT_RUN, curl_errno=errno)
    if errno in TRUNCATED_ERRNOS:
        return IncompleteAnswer(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return DeadlineExceeded(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)
    return BackendUnreachable(message, execution=ExecutionStatus.UNKNOWN, curl_errno=errno)


def remaining_s(deadline_s: float | None) -> float | None:
    """Return the time left until a loop time; raises DeadlineExceeded (not run) when it is over."""
    if deadline_s is None:
        return None
    left_s = deadline_s - monotonic_s()
    if left_s <= 0.0:
        raise DeadlineExceeded("deadline is over", execution=ExecutionStatus.NOT_RUN)
    return left_s


class HttpClient:
    """Starts transfers on the running loop; share one among all adapters of a daemon."""

    def __init__(self, limits: HttpLimits | None = None) -> None:
        self.limits = limits or HttpLimits()
        self._client = _Client(force_instance=True, limits=self.limits)
        self._running: set[Transfer] = set()

    @property
    def running(self) -> int:
        """Number of transfers in progress."""
        return len(self._running)

    def start(self, call: HttpCall) -> Transfer:
        """Start a request; raises BackendUnreachable (not run) when all handles are in use."""
        if not self._client.has_room():
            raise BackendUnreachable(
                "too many transfers", execution=ExecutionStatus.NOT_RUN, limit=self.limits.max_transfers
            )
        transfer = Transfer(self._client, self.limits, call)
        self._running.add(transfer)

        def end(response: HTTPResponse) -> None:
            self._running.discard(transfer)
            transfer.on_end(response)

        self._client.fetch_impl(self._request(call, transfer), end)
        return transfer

    async def fetch(self, call: HttpCall) -> HttpAnswer:
        """Send a request and return its whole answer, of any status."""
        transfer = self.start(call)
        try:
            return await transfer.read_all()
        finally:
            transfer.abort()

    def close(self) -> None:
        """Abort all transfers and free the handles."""
        for transfer in list(self._running):
            transfer.abort()
        self._client.close()

    def _request(self, call: HttpCall, transfer: Transfer) -> HTTPRequest:
        return HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(call.headers),
            body=call.body,
            connect_timeout=self.limits.connect_timeout_s,
            request_timeout=NO_TIMEOUT_S if call.timeout_s is None else max(call.timeout_s, 0.001),
            follow_redirects=False,
            max_redirects=0,
            validate_cert=True,
            decompress_response=False,
            user_agent="passgate",
            prepare_curl_callback=transfer.prepare,
        )
