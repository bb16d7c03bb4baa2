"""Detects, before a request is sent, that the server has closed a reused connection.

libcurl checks idle connections at most once a second.  A request sent meanwhile on a closed connection would
fail with an unknown outcome, although the server can not have read the request.
"""

from __future__ import annotations

import collections
import socket

import msgspec

MAX_RECORDED_SOCKETS = 8192


def set_unacknowledged_timeout(descriptor: int, timeout_s: float) -> None:
    """Have the kernel close a connection when sent bytes stay unacknowledged for ``timeout_s``."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=descriptor)
    try:
        borrowed.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
    finally:
        borrowed.detach()


class ConnectionEndpoints(msgspec.Struct, frozen=True):
    """Local and remote endpoint of one TCP connection."""

    remote_ip: str
    local_ip: str
    remote_port: int
    local_port: int


class ConnectionSockets:
    """Descriptors of libcurl's sockets by the endpoints of their connections.

    libcurl owns the descriptors and may close and reuse them at any time.  So a descriptor is used only while
    libcurl is about to send on the connection and after the ports were compared; it is never closed here.
    """

    def __init__(self) -> None:
        self._descriptor_by_endpoints: collections.OrderedDict[ConnectionEndpoints, int] = (
            collections.OrderedDict()
        )

    def record(self, endpoints: ConnectionEndpoints, descriptor: int) -> None:
        """Record the socket of a new connection; beyond MAX_RECORDED_SOCKETS the oldest record is dropped."""
        self._descriptor_by_endpoints[endpoints] = descriptor
        self._descriptor_by_endpoints.move_to_end(endpoints)
        if len(self._descriptor_by_endpoints) > MAX_RECORDED_SOCKETS:
            self._descriptor_by_endpoints.popitem(last=False)

    def is_closed_by_server(self, endpoints: ConnectionEndpoints) -> bool:
        """Return whether an idle connection is unusable; False if its socket is not known.

        The server has closed or reset the connection, or has sent bytes that belong to no answer.
        """
        descriptor = self._descriptor_by_endpoints.get(endpoints)
        if descriptor is None:
            return False
        try:
            borrowed = socket.socket(
                socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=descriptor
            )
        except OSError:
            return False
        try:
            return _has_ports(borrowed, endpoints) and _is_readable(borrowed)
        finally:
            borrowed.detach()


def _has_ports(borrowed: socket.socket, endpoints: ConnectionEndpoints) -> bool:
    try:
        return (
            borrowed.getsockname()[1] == endpoints.local_port
            and borrowed.getpeername()[1] == endpoints.remote_port
        )
    except OSError:
        return False


def _is_readable(borrowed: socket.socket) -> bool:
    # An idle connection has nothing to read unless it was closed, was reset or got unexpected bytes.
    try:
        borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
