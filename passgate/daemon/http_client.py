"""Creates the HTTP client for a daemon's calls to the log and the replicas."""

from __future__ import annotations

from passgate.clients.curl import HttpClient
from passgate.clients.http_call import HttpLimits

CONNECT_TIMEOUT_S = 0.7
"""Default limit of the time to open a connection; below the 1 s after which the kernel resends a lost SYN."""
UNACKNOWLEDGED_TIMEOUT_S = 2.0
"""Time after which a connection with unacknowledged sent bytes is closed; allows for two lost packets."""
MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024
"""Limit of all bodies that are collected at a time; a third of the memory of the smallest machines."""
MAX_BUFFERED_BYTES = 32 * 1024
"""Unread bytes of one response after which reading from its connection pauses."""


def make_http_client() -> HttpClient:
    """Return a client that does not resolve host names, so URLs must contain IP addresses."""
    return HttpClient(
        HttpLimits(
            resolve_names=False,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
            max_total_body_bytes=MAX_TOTAL_BODY_BYTES,
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )
    )
