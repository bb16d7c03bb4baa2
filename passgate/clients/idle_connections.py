"""Which connections lie idle, by the address that they lead to.

A request to an address with an idle connection opens no new one.

>>> idle = IdleConnections()
>>> ends = ConnectionEnds("10.1.0.2", "10.1.0.1", 8080, 40000)
>>> idle.put(ends, until_s=15.0)
>>> idle.has("10.1.0.2:8080", now_s=14.0), idle.has("10.1.0.2:8080", now_s=15.0)
(True, False)
>>> idle.take(ends)
>>> idle.has("10.1.0.2:8080", now_s=14.0)
False
"""

from __future__ import annotations

from passgate.clients.connections import ConnectionEnds


class IdleConnections:
    """Idle connections of one client, with the time at which their server closes them."""

    def __init__(self) -> None:
        self._until_s: dict[str, dict[ConnectionEnds, float]] = {}

    def put(self, ends: ConnectionEnds, until_s: float) -> None:
        """Note that a connection lies idle, and until when its server keeps it."""
        self._until_s.setdefault(_address_of(ends), {})[ends] = until_s

    def take(self, ends: ConnectionEnds) -> None:
        """Note that a connection is in use, or closed."""
        address = _address_of(ends)
        known = self._until_s.get(address)
        if known is None:
            return
        known.pop(ends, None)
        if not known:
            del self._until_s[address]

    def has(self, address: str, now_s: float) -> bool:
        """Whether a connection to an address lies idle that its server still keeps."""
        known = self._until_s.get(address)
        return known is not None and any(now_s < until_s for until_s in known.values())


def _address_of(ends: ConnectionEnds) -> str:
    return f"{ends.remote_ip}:{ends.remote_port}"
