"""Looks at libcurl's sockets: whether the server has closed one, and how many bytes have arrived.

libcurl checks idle connections at most once a second.  A request sent meanwhile on a closed connection would
fail with an unknown outcome, although the server can not have read the request.
"""

from __future__ import annotations

import collections
import socket
import sys
from collections.abc import Callable
from typing import TypeVar

import msgspec

MAX_RECORDED_SOCKETS = 8192
BYTES_RECEIVED_OFFSET = 128
"""Offset of the 8 bytes of ``tcpi_bytes_received`` in Linux's ``struct tcp_info``."""

Value = TypeVar("Value")


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
    a transfer uses the connection and after the ports were compared; it is never closed here.
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
        return bool(self._read_socket(endpoints, _is_readable))

    def received_bytes(self, endpoints: ConnectionEndpoints) -> int | None:
        """Return the bytes that the kernel has received on a connection; None if it does not tell."""
        return self._read_socket(endpoints, _count_received)

    def _read_socket(
        self, endpoints: ConnectionEndpoints, read: Callable[[socket.socket], Value]
    ) -> Value | None:
        """Return what a function reads of a connection's socket; None if the socket is not known."""
        descriptor = self._descriptor_by_endpoints.get(endpoints)
        if descriptor is None:
            return None
        try:
            borrowed = socket.socket(
                socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=descriptor
            )
        except OSError:
            return None
        try:
            return read(borrowed) if _has_ports(borrowed, endpoints) else None
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


def _count_received(borrowed: socket.socket) -> int | None:
    """Return the field ``tcpi_bytes_received`` of the kernel's TCP_INFO; None if the kernel has none."""
    try:
        info = borrowed.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED_OFFSET + 8)
    except OSError:
        return None
    if len(info) < BYTES_RECEIVED_OFFSET + 8:
        return None
    return int.from_bytes(info[BYTES_RECEIVED_OFFSET : BYTES_RECEIVED_OFFSET + 8], sys.byteorder)


def _is_readable(borrowed: socket.socket) -> bool:
    # An idle connection has nothing to read unless it was closed, was reset or got unexpected bytes.
    try:
        borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
