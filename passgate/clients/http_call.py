"""Types of an HTTP call: the request, the limits, how often it may be sent, and the answer.

>>> HttpCall(method="GET", url="http://127.0.0.1:1/load", headers={"Authorization": "Bearer s"})
HttpCall(GET http://127.0.0.1:1/load)
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec
from tornado.httputil import HTTPHeaders

from passgate.clock import monotonic_s
from passgate.errors import DeadlineExceeded, ExecutionStatus

CONTROL_TIMEOUT_S = 5.0
"""Timeout of a short call that controls or observes a back end."""


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one :class:`~passgate.clients.curl.HttpClient`."""

    max_transfers: int = 8192
    """Limit of concurrent requests to back ends; further ones are refused as not run, never queued."""
    max_control_transfers: int = 8192
    """Limit of concurrent control calls (log, platform, control of back ends); further ones are refused."""
    resolve_names: bool = True
    """Whether a URL's host may be a name; libcurl starts a thread to resolve a name."""
    connect_timeout_s: float = 2.0
    unacknowledged_timeout_s: float | None = None
    """Time without acknowledgement of sent bytes after which a connection fails; None: kernel's default."""
    max_body_bytes: int = 64 * 1024 * 1024
    """Largest body that :meth:`Transfer.read_all` buffers."""
    max_total_body_bytes: int = 256 * 1024 * 1024
    """Limit of the bodies that all :meth:`Transfer.read_all` buffer together; the largest one is rejected."""
    max_buffered_bytes: int = 64 * 1024
    """Number of unread bytes of one answer from which on the transfer is paused."""
    max_idle_connections: int = 256
    max_connection_idle_s: int = 30
    """A connection that was idle for longer is not used again."""


class SendPolicy(enum.Enum):
    """How often a request may be sent, and on which connections."""

    REPEAT = "repeat"
    """For idempotent calls: libcurl may send again if a reused connection turns out to be closed."""
    ONCE = "once"
    """Sent at most once; may reuse a connection."""
    ONCE_ON_FRESH_CONNECTION = "once_on_fresh_connection"
    """Sent at most once, on a new connection, so that the server does not close it as idle meanwhile."""


class HttpCall(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request and how it is sent."""

    method: str
    url: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}
    send: SendPolicy = SendPolicy.ONCE_ON_FRESH_CONNECTION
    timeout_s: float | None = None
    """Timeout of the whole transfer; None means no limit."""
    control: bool = False
    """Whether the call counts against ``max_control_transfers`` instead of ``max_transfers``."""
    connect_timeout_s: float | None = None
    """Timeout of a new connection; None means the client's ``connect_timeout_s``."""
    not_sent_after_s: float | None = None
    """Loop time after which the request is no longer sent but fails with SendTooLate; None: no limit."""
    length_required: bool = True
    """Whether :meth:`Transfer.read_all` fails if a body has neither Content-Length nor chunked encoding."""
    stall_timeout_s: int | None = None
    """Seconds for which the average speed, upload included, has to stay below 1 byte/s before the transfer
    fails; libcurl averages over some 5 s, so a stall is noticed up to that much later.  None: no limit."""

    def __repr__(self) -> str:
        """Show neither headers, which may hold a credential, nor the body."""
        return f"HttpCall({self.method} {self.url})"


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer that has passed the checks of :meth:`Transfer.read_all`."""

    status: int
    headers: HTTPHeaders
    body: bytes


def send_policy(repeatable: bool) -> SendPolicy:
    """Return the policy for a request to a back end: sent once, on a new connection unless repeatable."""
    return SendPolicy.ONCE if repeatable else SendPolicy.ONCE_ON_FRESH_CONNECTION


def control_get(address: str, path: str) -> HttpCall:
    """Return the control call that reads ``path`` at the address of a back end."""
    return HttpCall(
        method="GET",
        url=f"http://{address}{path}",
        send=SendPolicy.REPEAT,
        control=True,
        timeout_s=CONTROL_TIMEOUT_S,
    )


def remaining_s(deadline_s: float | None) -> float | None:
    """Return the time left until a deadline in loop time, or None without a deadline.

    Raises DeadlineExceeded (not run) if the deadline has passed.
    """
    if deadline_s is None:
        return None
    left_s = deadline_s - monotonic_s()
    if left_s <= 0.0:
        raise DeadlineExceeded("deadline passed before sending", execution=ExecutionStatus.NOT_RUN)
    return left_s
