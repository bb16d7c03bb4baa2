"""The one place that makes HTTP transfers: tornado's curl client with passgate's limits.

libcurl's and tornado's own defaults (10 transfers at once, 20 s in all,
redirects, ``Expect``, proxies from the environment, a silent second send) are
all set explicitly, here and in :mod:`passgate.clients.transfer`.

>>> HttpLimits().connect_timeout_s
2.0
"""

from __future__ import annotations

import contextlib
import functools
import ipaddress
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from passgate.clients.calls import HttpAnswer, HttpCall, HttpLimits
from passgate.clients.connections import KeptConnections
from passgate.clients.idle_connections import IdleConnections
from passgate.clients.transfer import Transfer
from passgate.clock import monotonic_s
from passgate.errors import BackendUnreachable, ExecutionStatus

NO_TIMEOUT_S = 0.0
"""libcurl reads a total timeout of zero as "none"."""
MIN_TIMEOUT_S = 0.001
"""Least total timeout; libcurl would round a smaller one to "none"."""
MAX_TIMEOUT_S = 24 * 3600.0
"""Most total timeout; beyond 64 bits of milliseconds the option can not be set."""
LOCALHOST = "localhost"
MAX_CACHED_HOSTS = 4096
USER_AGENT = "passgate"


class _Client(CurlAsyncHTTPClient):
    """Tornado's client with handles made on demand and transfers that can be aborted."""

    def initialize(self, limits: HttpLimits) -> None:  # type: ignore[override]
        super().initialize(max_clients=0, max_body_size=limits.max_body_bytes)

    def keep_connections(self, count: int) -> None:
        # libcurl counts connections in use too, and closes idle ones beyond the limit.
        self._multi.setopt(pycurl.M_MAXCONNECTS, count)

    def fetch_impl(self, request, callback) -> None:
        if not self._free_list:
            handle = self._curl_create()
            self._curls.append(handle)
            self._free_list.append(handle)
        super().fetch_impl(request, callback)

    def resume(self, handle: pycurl.Curl) -> None:
        # A failed transfer raises here; its end is reported in the usual way.
        with contextlib.suppress(pycurl.error):
            handle.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def abort(self, handle: pycurl.Curl) -> None:
        # Removing a running handle from the multi makes libcurl close its connection.
        self._finish(handle, pycurl.E_ABORTED_BY_CALLBACK, "aborted by its reader")


@functools.lru_cache(maxsize=MAX_CACHED_HOSTS)
def _is_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return host == LOCALHOST
    return True


def needs_no_resolver(url: str) -> bool:
    """Return whether the URL's host is an IP number, or ``localhost``, which libcurl knows itself."""
    return _is_number(urlsplit(url).hostname or "")


class HttpClient:
    """Starts transfers on the running loop; share one among all adapters of a daemon."""

    def __init__(self, limits: HttpLimits | None = None) -> None:
        self.limits = limits or HttpLimits()
        self._client = _Client(force_instance=True, limits=self.limits)
        self._connections = KeptConnections()
        self._idle = IdleConnections()
        self._requests: set[Transfer] = set()
        self._control: set[Transfer] = set()

    @property
    def running(self) -> int:
        """Number of transfers in progress."""
        return len(self._requests) + len(self._control)

    def start(self, call: HttpCall) -> Transfer:
        """Start a request; raises BackendUnreachable (not run) when too many are in progress."""
        if not self.limits.resolve_names and not needs_no_resolver(call.url):
            raise BackendUnreachable(
                "host is not an IP number", execution=ExecutionStatus.NOT_RUN, url=call.url
            )
        group = self._group_with_room(call)
        transfer = Transfer(self._client, self._connections, self._idle, self.limits, call)
        group.add(transfer)
        self._client.keep_connections(self.running + self.limits.max_idle_connections)

        def end(response: HTTPResponse) -> None:
            if transfer.take_restart():
                self._client.fetch_impl(self._request(call, transfer), end)
                return
            group.discard(transfer)
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

    def has_idle_connection(self, address: str) -> bool:
        """Whether a request to an ``IP:PORT`` would find a connection that lies idle."""
        return self._idle.has(address, monotonic_s())

    def close(self) -> None:
        """Abort all transfers and free the handles."""
        for transfer in [*self._requests, *self._control]:
            transfer.abort()
        self._client.close()

    def _group_with_room(self, call: HttpCall) -> set[Transfer]:
        group = self._control if call.control else self._requests
        limit = self.limits.max_control_transfers if call.control else self.limits.max_transfers
        if len(group) >= limit:
            raise BackendUnreachable("too many transfers", execution=ExecutionStatus.NOT_RUN, limit=limit)
        return group

    def _request(self, call: HttpCall, transfer: Transfer) -> HTTPRequest:
        return HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(call.headers),
            body=call.body,
            connect_timeout=call.connect_timeout_s or self.limits.connect_timeout_s,
            request_timeout=_total_timeout_s(call),
            follow_redirects=False,
            max_redirects=0,
            validate_cert=True,
            decompress_response=False,
            user_agent=USER_AGENT,
            prepare_curl_callback=transfer.prepare,
        )


def _total_timeout_s(call: HttpCall) -> float:
    if call.timeout_s is None:
        return NO_TIMEOUT_S
    return min(max(call.timeout_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
