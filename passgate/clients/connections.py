"""Tells whether the server has closed a kept connection, before a request goes out on it.

libcurl looks for dead connections at most once a second; a request sent on one
in between fails with an unknown outcome although nobody could have read it.
"""

from __future__ import annotations

import collections
import socket

import msgspec

MAX_REMEMBERED = 8192


def set_unacknowledged_timeout(descriptor: int, timeout_s: float) -> None:
    """Let the kernel end a connection whose sent bytes stay unacknowledged for ``timeout_s``."""
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=descriptor)
    try:
        view.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
    finally:
        view.detach()


class ConnectionEnds(msgspec.Struct, frozen=True):
    """Both ends of one TCP connection."""

    remote_ip: str
    local_ip: str
    remote_port: int
    local_port: int


class KeptConnections:
    """Descriptors of libcurl's sockets by the connections' ends.

    Descriptors stay libcurl's own; they are looked at only while libcurl is
    about to use them, and only when they still have the expected ends.
    """

    def __init__(self) -> None:
        self._descriptors: collections.OrderedDict[ConnectionEnds, int] = collections.OrderedDict()

    def remember(self, ends: ConnectionEnds, descriptor: int) -> None:
        """Note the socket of a new connection; the oldest notes are dropped beyond a limit."""
        self._descriptors[ends] = descriptor
        self._descriptors.move_to_end(ends)
        if len(self._descriptors) > MAX_REMEMBERED:
            self._descriptors.popitem(last=False)

    def is_closed(self, ends: ConnectionEnds) -> bool:
        """Return whether the server is known to have closed a connection that lies idle."""
        descriptor = self._descriptors.get(ends)
        if descriptor is None:
            return False
        try:
            view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=descriptor)
        except OSError:
            return False
        try:
            return _has_ends(view, ends) and _is_readable(view)
        finally:
            view.detach()


def _has_ends(view: socket.socket, ends: ConnectionEnds) -> bool:
    try:
        return view.getsockname()[1] == ends.local_port and view.getpeername()[1] == ends.remote_port
    except OSError:
        return False


def _is_readable(view: socket.socket) -> bool:
    # Before a request nothing is to be read: an end, a reset or stray bytes, all make it unfit.
    try:
        view.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
