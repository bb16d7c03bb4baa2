"""A request to a replica, its complete answer, and the headers that are forwarded.

>>> end_to_end_headers([("Connection", "close, X-Hop"), ("X-Hop", "1"), ("X-End", "2")])
[('X-End', '2')]
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.eligibility.rules import ANY_REGION_REQUEST, SendContext
from passgate.gateway.messages import always_wanted
from passgate.quarantine.identity import RequestIdentity

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
    }
)
"""Headers that are not forwarded: they apply to one connection, or the sender sets them anew."""


class ReplicaRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to forward to a replica: a caller's request, an item of a batch job, or a reward call."""

    request_id: str
    method: str
    path: str
    """Path and query as the caller sent them."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """The caller's headers; headers that the gateway sets are added or replaced when the request is sent."""
    body: bytes
    deadline_s: float
    """Loop time at which the attempt times out; the time left is sent to the replica."""
    send_before_s: float = math.inf
    """Loop time from which on the request is not sent any more; ``deadline_s`` also limits this."""
    is_wanted: Callable[[], bool] = always_wanted
    """Returns whether somebody still waits for the answer; asked at the moment of the send."""
    priority: int | None = None
    """Value of the priority header; None leaves out the header."""
    repeatable: bool = True
    """Whether the request may run more than once; if not, it is sent on a new connection of its own."""
    tenant: str | None = None
    """Tenant sent to the replica; see :func:`passgate.gateway.access.replica_headers`."""
    is_owed: bool = False
    """Whether the request belongs to an accepted job, so that it is sent whatever crashes it has met."""
    send_context: SendContext = ANY_REGION_REQUEST
    """What the send rules need to know of the request."""

    @property
    def latest_send_s(self) -> float:
        """Loop time from which on the request must not be sent."""
        return min(self.deadline_s, self.send_before_s)

    @property
    def identity(self) -> RequestIdentity:
        """Content of the request, by which crashes of replicas are attributed to it."""
        return RequestIdentity(
            host=self.host,
            method=self.method,
            path=self.path,
            tenant=self.tenant,
            body=self.body,
            is_owed=self.is_owed,
        )


class ReplicaAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer of a replica."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    incarnation: ReplicaIncarnation

    def header(self, name: str) -> str:
        """Return the value of the first header with a name, ignoring case, or ""."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), "")


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without HOP_BY_HOP_HEADERS and without headers that ``Connection`` names."""
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return [(name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP_HEADERS | named]
