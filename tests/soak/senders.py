"""Finds the daemon that opened a connection; requests to replicas do not name their sender.

The kernel is asked for the client's socket by the connection's addresses, as the list of all
connections takes 0.1 s to read when many soaks run.
"""

import contextlib
import os
import socket
import struct

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY_STATE = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
NETLINK_HEADER = struct.Struct("=IHHII")
"""Length, type, flags, sequence number and sender of a netlink message."""
REQUEST_HEADER = struct.Struct("=BBBxI")
"""Family, protocol, extensions and states of a request for a socket."""
SOCKET_ADDRESSES = struct.Struct("!HH4s12x4s12x4x")
"""Ports and addresses of the socket's own end and of the other one, on any interface."""
COOKIE = struct.Struct("=II")
INODE = struct.Struct("=I")
INODE_OFFSET = NETLINK_HEADER.size + 4 + SOCKET_ADDRESSES.size + COOKIE.size + 16
"""Place of the inode in an answer, after the socket's state, addresses, cookie, timer, queues and user."""


def find_client(daemons, stream):
    """Return the name of the daemon at the other end of an IOStream; empty if none of them has it open."""
    inode = _find_client_inode(stream.socket)
    if not inode:
        return ""
    return next((daemon.name for daemon in daemons if _has_socket(daemon.incarnation.pid, inode)), "")


def _find_client_inode(sock):
    """Return the inode of the client's socket of a loopback connection; 0 if it is closed."""
    with contextlib.suppress(AttributeError, OSError):
        return _find_inode(sock.getpeername(), sock.getsockname())
    return 0


def _find_inode(own_address, other_address):
    """Return the inode of the TCP socket with these addresses; 0 if there is none."""
    (own_host, own_port), (other_host, other_port) = own_address, other_address
    request = (
        REQUEST_HEADER.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, ANY_STATE)
        + SOCKET_ADDRESSES.pack(
            own_port, other_port, socket.inet_aton(own_host), socket.inet_aton(other_host)
        )
        + COOKIE.pack(NO_COOKIE, NO_COOKIE)
    )
    size = NETLINK_HEADER.size + len(request)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(NETLINK_HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0) + request)
        answer = netlink.recv(4096)
    _, kind, *_ = NETLINK_HEADER.unpack_from(answer)
    return INODE.unpack_from(answer, INODE_OFFSET)[0] if kind == SOCK_DIAG_BY_FAMILY else 0


def _has_socket(pid, inode):
    """Return whether a process has a socket open; False if it has ended."""
    with contextlib.suppress(OSError):
        for descriptor in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if os.readlink(descriptor.path) == f"socket:[{inode}]":
                    return True
    return False
