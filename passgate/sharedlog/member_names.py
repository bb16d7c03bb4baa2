"""Names of daemons on the log, which contain their peer address and their number of cores.

A name does not depend on the run of the daemon's process, so a daemon that restarts before its membership
expires, with the same address and cores, keeps its partitions.

>>> member_name("front-1", "10.1.0.10:7720", cores=2.1512)
'front-1~2.15@10.1.0.10:7720'
>>> cores_of("front-1~2.15@10.1.0.10:7720"), cores_of("front-1@10.1.0.10:7720")
(2.15, 0.0)
>>> address_of("front-1~2.15@10.1.0.10:7720"), address_of("front-1")
('10.1.0.10:7720', '')
"""

from __future__ import annotations

ADDRESS_SEPARATOR = "@"
"""Separates the peer address from the rest of a name."""
CORES_SEPARATOR = "~"
"""Separates the number of cores from the daemon's identifier."""


def member_name(daemon_id: str, peer_address: str, cores: float) -> str:
    """Return the name of a daemon in the log's groups; the cores are rounded to two decimals."""
    return f"{daemon_id}{CORES_SEPARATOR}{cores:.2f}{ADDRESS_SEPARATOR}{peer_address}"


def address_of(name: str) -> str:
    """Return the peer address in a name; empty if there is none."""
    return name.partition(ADDRESS_SEPARATOR)[2]


def cores_of(member: str) -> float:
    """Return the number of cores in a member's name; 0 if there is no valid number."""
    cores_text = member.partition(ADDRESS_SEPARATOR)[0].rpartition(CORES_SEPARATOR)[2]
    try:
        return float(cores_text)
    except ValueError:
        return 0.0
