"""Finds the daemon that opened a connection; requests to replicas do not name their sender."""

import contextlib
import os
import pathlib
import socket

TCP_CONNECTIONS = pathlib.Path("/proc/net/tcp")
LOCAL_ADDRESS, REMOTE_ADDRESS, INODE = 1, 2, 9
"""Fields of a line of ``TCP_CONNECTIONS``."""


def find_client(daemons, stream):
    """Return the name of the daemon at the other end of an IOStream; empty if none of them has it open."""
    inode = _find_client_inode(stream.socket)
    if not inode:
        return ""
    return next((daemon.name for daemon in daemons if _has_socket(daemon.incarnation.pid, inode)), "")


def _find_client_inode(sock):
    """Return the inode of the client's socket of a loopback connection; empty if it is closed."""
    try:
        client, server = _encode_address(sock.getpeername()), _encode_address(sock.getsockname())
    except (AttributeError, OSError):
        return ""
    for line in TCP_CONNECTIONS.read_text().splitlines():
        fields = line.split()
        if (fields[LOCAL_ADDRESS], fields[REMOTE_ADDRESS]) == (client, server):
            return fields[INODE]
    return ""


def _encode_address(address):
    """Return an address as ``TCP_CONNECTIONS`` shows it on a little-endian machine.

    >>> _encode_address(("127.0.0.1", 80))
    '0100007F:0050'
    """
    host, port = address
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{port:04X}"


def _has_socket(pid, inode):
    """Return whether a process has a socket open; False if it has ended."""
    with contextlib.suppress(OSError):
        for descriptor in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if os.readlink(descriptor.path) == f"socket:[{inode}]":
                    return True
    return False
