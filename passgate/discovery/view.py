"""The replicas as a daemon knows them from discovery; older news never replaces newer.

Discovery has one entry for each identifier, so news is ordered by identifier and offset.  A replica may
start again under its identifier; what an older life of it wrote and what arrives late is passed over.

>>> ReplicaUpdate(replica_id="r", at=4).gone
True
"""

from __future__ import annotations

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ReplicaChanged
from passgate.discovery.unusable_entries import UnusableEntries
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.gateway.replicas import ReplicaState, ReplicaTable
from passgate.sharedlog.tail import BEHIND_AFTER_S, Freshness

GONE_RETENTION_S = 120.0
"""Time for which a replica that is gone is remembered; twice the longest outage of the log seen."""
COME_BACK_S = 2.0
"""Time after the log's return within which entries that lapsed meanwhile are written again."""


class ReplicaUpdate(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What discovery said of one replica at an offset."""

    replica_id: str
    at: int
    info: ReplicaInfo | None = None
    overwritten: bool = False
    """Whether an entry is there, but names no replica to use: it may come from another writer."""
    listed: bool = False
    """Whether it came in a whole list, so that it may have been written long before ``at``."""

    @property
    def gone(self) -> bool:
        """Whether the replica is not listed any more."""
        return self.info is None


class _LapsedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that went, and may come back."""

    gone_offset: int
    """Offset that says that it went."""
    listed_offset: int
    """Offset at which the replica was last known to be listed."""


class DiscoveryView:
    """The replicas as known so far; news older than what is known is ignored."""

    def __init__(self, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._replicas = replicas
        self._decisions = decisions
        self._known_offset_by_replica_id: dict[str, int] = {}
        """Identifier to the offset of the newest news."""
        self._newest_start_ms_by_replica_id: dict[str, int] = {}
        """Identifier to the start of the newest life known."""
        self._gone_since_s_by_replica_id: dict[str, float] = {}
        self._log_returned_s = float("-inf")
        self._overwritten_replica_ids: set[str] = set()
        """Identifiers whose entries name no replica to use now, after one that did."""
        self.unusable_entries = UnusableEntries(decisions)
        """Entries that name no replica to use."""
        self._lapsed_by_replica_id: dict[str, _LapsedEntry] = {}
        """Replicas whose entries went while the log was away."""

    def update_freshness(self, freshness: Freshness) -> None:
        """Note how fresh the list is that the next news come from."""
        now_s = monotonic_s()
        if freshness.age_s(now_s) > BEHIND_AFTER_S:
            self._log_returned_s = now_s
        else:
            self._log_returned_s = max(self._log_returned_s, freshness.recovered_at_s)

    def __len__(self) -> int:
        return len(self._replicas.all())

    def apply(self, news: ReplicaUpdate) -> bool:
        """Take news of one replica; return whether others may know it otherwise."""
        if news.at <= self._known_offset_by_replica_id.get(news.replica_id, -1):
            return False
        listed_at = self._listed_offset(news.replica_id)
        self._known_offset_by_replica_id[news.replica_id] = news.at
        if news.info is not None and self._is_outdated(news.info):
            self.unusable_entries.record(news.replica_id, "written by an older life", monotonic_s())
            return False
        known = self._replicas.get(news.replica_id)
        came_back = self._lapsed_by_replica_id.pop(news.replica_id, None) is not None
        if news.overwritten:
            return self._mark_overwritten(news.replica_id)
        if news.info is None and known is not None and self._may_have_lapsed(known.info):
            self._lapsed_by_replica_id[news.replica_id] = _LapsedEntry(
                gone_offset=news.at, listed_offset=listed_at
            )
            self._log_change(news.replica_id, known.info.service, "lapsed", True)
            return False
        if news.info is None:
            return self._remove(news.replica_id)
        changed = came_back or known is None or known.info != news.info
        self._newest_start_ms_by_replica_id[news.replica_id] = news.info.born_unix_ms
        self._log_listed(news.info, known)
        self._replicas.entry_read(news.info, monotonic_s(), listed=news.listed)
        return changed

    def _log_listed(self, info: ReplicaInfo, known: ReplicaState | None) -> None:
        """Tell of a replica that is new, has started again, or changed its state."""
        was_overwritten = info.replica_id in self._overwritten_replica_ids
        self._overwritten_replica_ids.discard(info.replica_id)
        restarted = known is not None and known.life != info.life
        self._log_change(info.replica_id, info.service, "restarted", restarted)
        if known is None and was_overwritten:
            return  # told of as an entry that could not be used; it may be overwritten each second
        if known is None or restarted or known.info.draining != info.draining:
            self._log_change(info.replica_id, info.service, "draining" if info.draining else "ready", True)

    def _is_outdated(self, info: ReplicaInfo) -> bool:
        """Whether an older life wrote an entry, which arrived late."""
        return info.born_unix_ms < self._newest_start_ms_by_replica_id.get(info.replica_id, 0)

    def _mark_overwritten(self, replica_id: str) -> bool:
        """Use a replica no more whose entry was overwritten; return whether it was in use."""
        was_in_use = self._remove_from_table(replica_id) is not None
        if was_in_use:
            self._overwritten_replica_ids.add(replica_id)
        return was_in_use

    def _remove(self, replica_id: str) -> bool:
        """Forget a replica that is not listed any more; return whether it was known."""
        known = self._remove_from_table(replica_id)
        self._log_change(replica_id, known.info.service if known else "", "gone", known is not None)
        return known is not None

    def _remove_from_table(self, replica_id: str) -> ReplicaState | None:
        known = self._replicas.get(replica_id)
        self._gone_since_s_by_replica_id[replica_id] = monotonic_s()
        self._replicas.remove(replica_id)
        return known

    def apply_relayed(self, news: ReplicaUpdate) -> None:
        """Take news from a relay, which has waited itself for an entry that may come back."""
        if not news.gone:
            self.apply(news)
        elif news.at > self._listed_offset(news.replica_id):
            self._lapsed_by_replica_id.pop(news.replica_id, None)
            self._known_offset_by_replica_id[news.replica_id] = max(
                news.at, self._known_offset_by_replica_id.get(news.replica_id, -1)
            )
            if news.overwritten:
                self._mark_overwritten(news.replica_id)
            else:
                self._remove(news.replica_id)

    def apply_list(
        self, infos: list[ReplicaInfo], at: int, overwritten: frozenset[str] = frozenset()
    ) -> list[ReplicaUpdate]:
        """Take the whole list; return what changed.

        Args:
            infos: the replicas that are listed.
            at: the last offset that the list holds.
            overwritten: identifiers whose entries name no replica to use.
        """
        listed = {info.replica_id for info in infos}
        gone = [replica_id for replica_id in self.replica_ids() if replica_id not in listed]
        news = [
            ReplicaUpdate(replica_id=replica_id, at=at, overwritten=replica_id in overwritten)
            for replica_id in gone
        ]
        news += [ReplicaUpdate(replica_id=info.replica_id, at=at, info=info, listed=True) for info in infos]
        return [each for each in news if self.apply(each)]

    def replica_ids(self) -> list[str]:
        """Return the identifiers of all known replicas."""
        return [state.info.replica_id for state in self._replicas.all()]

    def updates(self) -> list[ReplicaUpdate]:
        """Return each known replica, with the offset at which it was last known to be listed."""
        infos = [state.info for state in self._replicas.all()]
        return [
            ReplicaUpdate(
                replica_id=info.replica_id, at=self._listed_offset(info.replica_id), info=info, listed=True
            )
            for info in infos
        ]

    def _listed_offset(self, replica_id: str) -> int:
        """Return the offset at which a replica was last known to be listed; -1 if it never was."""
        lapse = self._lapsed_by_replica_id.get(replica_id)
        return self._known_offset_by_replica_id.get(replica_id, -1) if lapse is None else lapse.listed_offset

    def _may_have_lapsed(self, info: ReplicaInfo) -> bool:
        """Whether an entry may have gone only because its replica could not reach the log."""
        return not info.draining and monotonic_s() - self._log_returned_s < COME_BACK_S

    def remove_lapsed(self) -> list[ReplicaUpdate]:
        """Drop replicas whose entries did not come back; return what is known now."""
        if not self._lapsed_by_replica_id or monotonic_s() - self._log_returned_s < COME_BACK_S:
            return []
        gone = [
            ReplicaUpdate(replica_id=key, at=lapse.gone_offset)
            for key, lapse in self._lapsed_by_replica_id.items()
        ]
        self._lapsed_by_replica_id.clear()
        for news in gone:
            self._remove(news.replica_id)
        return gone

    def drop_gone(self) -> None:
        """Drop what is kept of replicas that are gone for long."""
        old_s = monotonic_s() - GONE_RETENTION_S
        for replica_id in [key for key, gone_s in self._gone_since_s_by_replica_id.items() if gone_s < old_s]:
            del self._gone_since_s_by_replica_id[replica_id]
            if self._replicas.get(replica_id) is None:
                self._known_offset_by_replica_id.pop(replica_id, None)
                self._newest_start_ms_by_replica_id.pop(replica_id, None)
                self._overwritten_replica_ids.discard(replica_id)

    def _log_change(self, replica_id: str, service: str, state: str, condition: bool) -> None:
        if condition:
            self._decisions.write(ReplicaChanged(replica_id=replica_id, service=service, state=state))
