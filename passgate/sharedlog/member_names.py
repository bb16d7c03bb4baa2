"""Names of daemons on the log: they tell where other daemons reach one, and how large its machine is.

A member of a group keeps its name over all its lives, so that one that comes back within
its lifetime in the group keeps what it held.

>>> member_name("front-1", "10.1.0.10:7720", cores=2.1512)
'front-1~2.15@10.1.0.10:7720'
>>> cores_of("front-1~2.15@10.1.0.10:7720"), cores_of("front-1@10.1.0.10:7720")
(2.15, 0.0)
>>> address_of("front-1~2.15@10.1.0.10:7720"), address_of("front-1")
('10.1.0.10:7720', '')
"""

from __future__ import annotations

ADDRESS_MARK = "@"
"""Stands before the address."""
CORES_SEPARATOR = "~"
"""Stands before the cores."""


def member_name(daemon_id: str, peer_address: str, cores: float) -> str:
    """Return the name of a daemon in the log's groups."""
    return f"{daemon_id}{CORES_SEPARATOR}{cores:.2f}{ADDRESS_MARK}{peer_address}"


def address_of(name: str) -> str:
    """Return the peer address in a name; empty when it has none."""
    return name.partition(ADDRESS_MARK)[2]


def cores_of(member: str) -> float:
    """Return the cores in a member's name; 0 when it tells none."""
    told = member.partition(ADDRESS_MARK)[0].rpartition(CORES_SEPARATOR)[2]
    try:
        return float(told)
    except ValueError:
        return 0.0
