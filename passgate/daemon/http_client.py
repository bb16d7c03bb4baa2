"""The HTTP client that a daemon uses towards the log and the replicas."""

from __future__ import annotations

from passgate.clients.calls import HttpLimits
from passgate.clients.curl import HttpClient

CONNECT_TIMEOUT_S = 0.7
"""Time for a new connection; a lost opening packet is sent again only after a second."""
UNACKNOWLEDGED_TIMEOUT_S = 2.0
"""Time after which a connection whose bytes are not acknowledged is dead; two lost packets are borne."""
MAX_BUFFERED_BYTES = 32 * 1024
"""Unread bytes of one answer after which its connection is paused."""


def make_http_client() -> HttpClient:
    """Return the client that a daemon uses towards the log and the replicas."""
    return HttpClient(
        HttpLimits(
            resolve_names=False,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )
    )
