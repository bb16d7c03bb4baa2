"""What an HTTP call is: its limits, how often it may be sent, its whole answer.

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
"""Time limit of short calls that control or observe a back end."""


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one daemon's HTTP client."""

    max_transfers: int = 8192
    """Requests to back ends at once; one more is refused as not run, never queued."""
    max_control_transfers: int = 8192
    """Calls to the log, the platform and engines' control at once; never short because of requests."""
    resolve_names: bool = True
    """Whether hosts may be names; libcurl starts threads to resolve them, so daemons say no."""
    connect_timeout_s: float = 2.0
    unacknowledged_timeout_s: float | None = None
    """Time after which a connection whose bytes are not acknowledged is dead; None leaves the kernel's."""
    max_body_bytes: int = 64 * 1024 * 1024
    """Largest body of one buffered answer."""
    max_buffered_bytes: int = 64 * 1024
    """Unread bytes of one stream after which the transfer is paused."""
    max_idle_connections: int = 256
    max_connection_idle_s: int = 30
    """An idle connection older than this is not used again."""


class SendPolicy(enum.Enum):
    """How often a request may be sent, and on which connections."""

    REPEAT = "repeat"
    """For reads: libcurl may send again when a kept connection turns out dead."""
    ONCE = "once"
    """Sent at most once, on a kept connection if there is one."""
    ONCE_ON_FRESH_CONNECTION = "once_on_fresh_connection"
    """Sent at most once on a connection of its own, so that no idle close can hit it."""


class HttpCall(msgspec.Struct, frozen=True, kw_only=True):
    """One request to be sent."""

    method: str
    url: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}
    send: SendPolicy = SendPolicy.ONCE_ON_FRESH_CONNECTION
    timeout_s: float | None = None
    """Time for the whole transfer; None means no limit."""
    control: bool = False
    """Whether it counts against the control calls instead of the requests to back ends."""
    connect_timeout_s: float | None = None
    """Time for a new connection; None means the client's limit."""
    not_sent_after_s: float | None = None
    """Loop time after which the request must not leave any more; None means no limit."""
    length_required: bool = True
    """Whether a whole answer must declare its length; else the end of its connection may end it."""
    stall_timeout_s: int | None = None
    """Whole seconds without a byte after which the transfer fails; None means no limit."""

    def __repr__(self) -> str:
        """Leave out headers, which may hold a credential, and the body."""
        return f"HttpCall({self.method} {self.url})"


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole, length-checked answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


def send_policy(repeatable: bool) -> SendPolicy:
    """Return how a request for a back end is sent."""
    return SendPolicy.ONCE if repeatable else SendPolicy.ONCE_ON_FRESH_CONNECTION


def control_read(address: str, path: str) -> HttpCall:
    """Return the call that reads a back end's report at ``path``."""
    return HttpCall(
        method="GET",
        url=f"http://{address}{path}",
        send=SendPolicy.REPEAT,
        control=True,
        timeout_s=CONTROL_TIMEOUT_S,
    )


def remaining_s(deadline_s: float | None) -> float | None:
    """Return the time left until a loop time; raises DeadlineExceeded (not run) when it is over."""
    if deadline_s is None:
        return None
    left_s = deadline_s - monotonic_s()
    if left_s <= 0.0:
        raise DeadlineExceeded("deadline is over", execution=ExecutionStatus.NOT_RUN)
    return left_s
