"""Named revisions that this daemon holds, and the peers that hold higher ones.

>>> held = HeldRevisions()
>>> held.note("h:1", {"configuration": 5})
>>> held.ahead("configuration")
{'h:1': 5}
>>> held.set("configuration", 5)
True
>>> held.ahead("configuration")
{}
"""

from __future__ import annotations

from passgate.membership.messages import Held


class HeldRevisions:
    """Own revisions only grow; of peers only those ahead of this daemon are kept."""

    def __init__(self) -> None:
        self.own: Held = {}
        """Replaced, never changed in place, since messages refer to it."""
        self._ahead: dict[str, dict[str, int]] = {}
        self._news: set[str] = set()

    def set(self, key: str, revision: int) -> bool:
        """Hold ``revision`` of ``key``; False when it is not higher than before."""
        if revision <= self.own.get(key, -1):
            return False
        self.own = {**self.own, key: revision}
        peers = self._ahead.get(key, {})
        self._ahead[key] = {address: told for address, told in peers.items() if told > revision}
        return True

    def note(self, address: str, held: Held) -> None:
        """Note what the peer at ``address`` tells that it holds."""
        for key, revision in held.items():
            if revision <= self.own.get(key, -1):
                continue
            self._ahead.setdefault(key, {})[address] = revision
            self._news.add(key)

    def ahead(self, key: str) -> dict[str, int]:
        """Return addresses of peers ahead of this daemon and the revisions they told."""
        return dict(self._ahead.get(key, {}))

    def forget(self, key: str, address: str) -> None:
        """Forget what one peer told of ``key``."""
        self._ahead.get(key, {}).pop(address, None)

    def drop_peer(self, address: str) -> None:
        """Forget all that a peer told."""
        for peers in self._ahead.values():
            peers.pop(address, None)

    def take_news(self) -> set[str]:
        """Return the keys of which a peer told a higher revision since the last call."""
        keys, self._news = self._news, set()
        return keys
