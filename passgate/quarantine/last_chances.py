"""Where requests run that one more crash would hold, at all daemons; one of them at a replica.

Such a request announces its replica on the log and runs there if its announcement is the first
one that stands.  All daemons read the announcements in the same order, so they agree on it.

>>> chances = LastChances()
>>> first = LastChance(fingerprint="f1", replica_id="r")
>>> chances.heard(first, offset=7, now_s=0.0)
>>> chances.heard(LastChance(fingerprint="f2", replica_id="r"), offset=8, now_s=0.1)
>>> chances.is_first("f1", first.life, now_s=0.2), chances.is_first("f2", first.life, now_s=0.2)
(True, False)
>>> chances.drop("f1", first.life)
>>> chances.is_first("f2", first.life, now_s=0.3)
True
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from passgate.eligibility.replica_info import ReplicaLife

LIFE_S = 10.0
"""Time after which an announcement counts no more, as its daemon may be lost; some of the longest runs."""
UNKNOWN_OFFSET = -1
"""Stands for the place on the log of what was read as a key's newest value; before all read later."""


class LastChance(msgspec.Struct, frozen=True, kw_only=True):
    """A request that one more crash would hold is about to run at a replica, or runs there."""

    fingerprint: str
    replica_id: str
    born_unix_ms: int = 0
    """Moment of the replica's start; 0 where it tells none."""

    @property
    def life(self) -> ReplicaLife:
        """The life of the replica."""
        return ReplicaLife(self.replica_id, self.born_unix_ms)


class _Heard(msgspec.Struct, frozen=True):
    offset: int
    since_s: float
    """Loop time at which this daemon read the announcement."""


class LastChances:
    """All announcements that stand: those of this daemon, and those read from the log."""

    def __init__(self) -> None:
        self._here: dict[str, LastChance] = {}
        """Last chances of this daemon, by fingerprint."""
        self._heard: dict[ReplicaLife, dict[str, _Heard]] = {}
        """Replica to fingerprint to what was read."""

    def begin(self, chance: LastChance) -> None:
        """Note a last chance of this daemon."""
        self._here[chance.fingerprint] = chance

    def end(self, fingerprint: str) -> LastChance | None:
        """Forget a last chance of this daemon; return it."""
        return self._here.pop(fingerprint, None)

    @property
    def any_here(self) -> bool:
        """Whether a last chance of this daemon runs."""
        return bool(self._here)

    def here(self, fingerprint: str) -> LastChance | None:
        """Return the last chance of a request of this daemon."""
        return self._here.get(fingerprint)

    def heard(self, chance: LastChance, offset: int, now_s: float) -> None:
        """Take an announcement that stands on the log at an offset."""
        self._heard.setdefault(chance.life, {})[chance.fingerprint] = _Heard(offset, now_s)

    def drop(self, fingerprint: str, life: ReplicaLife) -> None:
        """Take an announcement back."""
        heard = self._heard.get(life, {})
        heard.pop(fingerprint, None)
        if not heard:
            self._heard.pop(life, None)

    def keep_only(self, pairs: Iterable[tuple[str, ReplicaLife]]) -> None:
        """Drop all but these pairs of fingerprint and replica."""
        kept = set(pairs)
        for life, heard in list(self._heard.items()):
            for fingerprint in list(heard):
                if (fingerprint, life) not in kept:
                    self.drop(fingerprint, life)

    def clear_expired(self, now_s: float) -> list[LastChance]:
        """Drop what is too old to count; return it."""
        expired = [
            LastChance(fingerprint=fingerprint, replica_id=life.replica_id, born_unix_ms=life.born_unix_ms)
            for life, heard in self._heard.items()
            for fingerprint, each in heard.items()
            if now_s >= each.since_s + LIFE_S
        ]
        for chance in expired:
            self.drop(chance.fingerprint, chance.life)
        return expired

    def is_heard(self, fingerprint: str, life: ReplicaLife) -> bool:
        """Whether an announcement was read from the log."""
        return fingerprint in self._heard.get(life, {})

    def is_first(self, fingerprint: str, life: ReplicaLife, now_s: float) -> bool:
        """Whether no other request was announced at a replica before this one; true if it was not heard."""
        heard = self._heard.get(life, {})
        if fingerprint not in heard:
            return True
        return all(
            heard[fingerprint].offset < each.offset
            for other, each in heard.items()
            if other != fingerprint and now_s < each.since_s + LIFE_S
        )

    def replicas(self, now_s: float, besides: str = "") -> frozenset[ReplicaLife]:
        """Return where last chances run, but for those of one request."""
        here = {each.life for each in self._here.values() if each.fingerprint != besides}
        heard = {
            life
            for life, requests in self._heard.items()
            if any(other != besides and now_s < each.since_s + LIFE_S for other, each in requests.items())
        }
        return frozenset(here | heard)
