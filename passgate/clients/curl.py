"""HTTP client on Tornado's curl client, with explicit limits and send policies.

Defaults of libcurl and Tornado that could delay, cut or repeat a request (10 concurrent transfers, a timeout
of 20 s, redirects, ``Expect``, proxies from the environment, a silent second send) are overridden here and
in :mod:`passgate.clients.transfer`.

>>> HttpLimits().connect_timeout_s
2.0
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import ipaddress
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from passgate.clients.body_budget import BodyBudget
from passgate.clients.connection_sockets import ConnectionSockets
from passgate.clients.http_call import HttpAnswer, HttpCall, HttpLimits
from passgate.clients.transfer import Transfer
from passgate.errors import BackendUnreachable, ExecutionStatus

NO_TIMEOUT_S = 0.0
"""Value of the total timeout that means "no limit" to libcurl."""
MIN_TIMEOUT_S = 0.001
"""Shortest total timeout; libcurl would round a shorter one to 0, which means "no limit"."""
MAX_TIMEOUT_S = 24 * 3600.0
"""Longest total timeout; keeps the milliseconds within the range of libcurl's option."""
FRAMING_CHECK_INTERVAL_S = 0.5
"""Interval of the checks for bytes that belong neither to a head nor to a body."""
LOCALHOST = "localhost"
MAX_CACHED_HOSTS = 4096
USER_AGENT = "passgate"


class _CurlClient(CurlAsyncHTTPClient):
    """Tornado's client, with handles created on demand and transfers that can be resumed and aborted."""

    def initialize(self, limits: HttpLimits) -> None:  # type: ignore[override]
        super().initialize(max_clients=0, max_body_size=limits.max_body_bytes)

    def set_max_connections(self, count: int) -> None:
        # libcurl's limit counts the connections in use as well; above the limit, idle ones are closed.
        self._multi.setopt(pycurl.M_MAXCONNECTS, count)

    def fetch_impl(self, request, callback) -> None:
        if not self._free_list:
            handle = self._curl_create()
            self._curls.append(handle)
            self._free_list.append(handle)
        super().fetch_impl(request, callback)

    def resume(self, handle: pycurl.Curl) -> None:
        # pause() raises if the transfer has failed; libcurl reports the failure to the callback as well.
        with contextlib.suppress(pycurl.error):
            handle.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def abort(self, handle: pycurl.Curl) -> None:
        # Removing a running handle from the multi handle makes libcurl close its connection.
        self._finish(handle, pycurl.E_ABORTED_BY_CALLBACK, "transfer aborted by its reader")


@functools.lru_cache(maxsize=MAX_CACHED_HOSTS)
def _is_ip_or_localhost(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return host == LOCALHOST
    return True


def needs_no_resolver(url: str) -> bool:
    """Return whether the URL's host is an IP address or ``localhost``, which libcurl resolves itself."""
    return _is_ip_or_localhost(urlsplit(url).hostname or "")


class HttpClient:
    """Starts transfers on the running loop, within limits for all transfers of this client."""

    def __init__(self, limits: HttpLimits | None = None) -> None:
        self.limits = limits or HttpLimits()
        self._client = _CurlClient(force_instance=True, limits=self.limits)
        self._connections = ConnectionSockets()
        self._request_transfers: set[Transfer] = set()
        self._control_transfers: set[Transfer] = set()
        self._body_budget = BodyBudget(self.limits.max_total_body_bytes)
        self._framing_check: asyncio.TimerHandle | None = None

    @property
    def transfer_count(self) -> int:
        """Number of transfers in progress."""
        return len(self._request_transfers) + len(self._control_transfers)

    def start(self, call: HttpCall) -> Transfer:
        """Start a transfer.

        Raises BackendUnreachable (not run) if the limit of transfers is reached, or if the host is a name
        and ``resolve_names`` is off.
        """
        if not self.limits.resolve_names and not needs_no_resolver(call.url):
            raise BackendUnreachable(
                "host is not an IP address", execution=ExecutionStatus.NOT_RUN, url=call.url
            )
        transfers = self._transfers_below_limit(call)
        transfer = Transfer(self._client, self._connections, self.limits, call, self._body_budget)
        transfers.add(transfer)
        if self._framing_check is None:
            self._schedule_framing_check()
        self._client.set_max_connections(self.transfer_count + self.limits.max_idle_connections)

        def handle_end(response: HTTPResponse) -> None:
            if transfer.claim_restart():
                self._client.fetch_impl(self._build_request(call, transfer), handle_end)
                return
            transfers.discard(transfer)
            transfer.record_end(response)

        self._client.fetch_impl(self._build_request(call, transfer), handle_end)
        return transfer

    def _schedule_framing_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._framing_check = loop.call_later(FRAMING_CHECK_INTERVAL_S, self._check_framing)

    def _check_framing(self) -> None:
        """Abort transfers with endless bytes that are no answer; called periodically while any is running."""
        self._framing_check = None
        for transfer in [*self._request_transfers, *self._control_transfers]:
            transfer.check_framing()
        if self.transfer_count:
            self._schedule_framing_check()

    async def fetch(self, call: HttpCall) -> HttpAnswer:
        """Send a request and return the complete answer, of any status; raises PassgateError."""
        transfer = self.start(call)
        try:
            return await transfer.read_all()
        finally:
            transfer.abort()

    def close(self) -> None:
        """Abort all transfers and free the handles."""
        if self._framing_check is not None:
            self._framing_check.cancel()
        for transfer in [*self._request_transfers, *self._control_transfers]:
            transfer.abort()
        self._client.close()

    def _transfers_below_limit(self, call: HttpCall) -> set[Transfer]:
        """Return the transfers of the call's kind; raises BackendUnreachable if their limit is reached."""
        transfers = self._control_transfers if call.control else self._request_transfers
        limit = self.limits.max_control_transfers if call.control else self.limits.max_transfers
        if len(transfers) >= limit:
            raise BackendUnreachable(
                "too many transfers in progress", execution=ExecutionStatus.NOT_RUN, limit=limit
            )
        return transfers

    def _build_request(self, call: HttpCall, transfer: Transfer) -> HTTPRequest:
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
