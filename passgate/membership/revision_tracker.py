"""Tracks the revisions that this daemon has applied, and the peers that have applied higher ones.

>>> tracker = RevisionTracker()
>>> tracker.record_peer("h:1", {"configuration": 5})
>>> tracker.peers_ahead("configuration")
{'h:1': 5}
>>> tracker.set_own("configuration", 5)
True
>>> tracker.peers_ahead("configuration")
{}
"""

from __future__ import annotations

from passgate.membership.messages import RevisionByKey


class RevisionTracker:
    """Own revisions by key, and for each key the peers that are ahead of this daemon.

    Own revisions never decrease.
    """

    def __init__(self) -> None:
        self.own_revisions: RevisionByKey = {}
        """Replaced, never changed in place, since queued messages hold references to it."""
        self._peers_ahead_by_key: dict[str, dict[str, int]] = {}
        self._changed_keys: set[str] = set()

    def set_own(self, key: str, revision: int) -> bool:
        """Set this daemon's revision of ``key``; False, without effect, when it is not higher."""
        if revision <= self.own_revisions.get(key, -1):
            return False
        self.own_revisions = {**self.own_revisions, key: revision}
        peers = self._peers_ahead_by_key.get(key, {})
        self._peers_ahead_by_key[key] = {
            address: peer_revision for address, peer_revision in peers.items() if peer_revision > revision
        }
        return True

    def record_peer(self, address: str, revisions: RevisionByKey) -> None:
        """Record the revisions that the peer at ``address`` reports; ignores those not ahead."""
        for key, revision in revisions.items():
            if revision <= self.own_revisions.get(key, -1):
                continue
            self._peers_ahead_by_key.setdefault(key, {})[address] = revision
            self._changed_keys.add(key)

    def peers_ahead(self, key: str) -> dict[str, int]:
        """Return the revisions of the peers that are ahead of this daemon, by address."""
        return dict(self._peers_ahead_by_key.get(key, {}))

    def forget_revision(self, key: str, address: str) -> None:
        """Discard the revision of ``key`` that one peer reported."""
        self._peers_ahead_by_key.get(key, {}).pop(address, None)

    def forget_peer(self, address: str) -> None:
        """Discard all revisions that a peer reported."""
        for peers in self._peers_ahead_by_key.values():
            peers.pop(address, None)

    def take_changed_keys(self) -> set[str]:
        """Return the keys for which a peer reported a higher revision since the last call."""
        keys, self._changed_keys = self._changed_keys, set()
        return keys
