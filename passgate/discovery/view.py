"""The replicas as a daemon knows them from discovery, whose updates may arrive late or more than once.

Discovery has one entry for each replica ID; of two updates of the same ID, the one with the higher offset is
newer.  A replica may restart under its ID; late entries of an older incarnation, or run of its process, are
ignored.

>>> ReplicaUpdate(replica_id="r", at=4).gone
True
"""

from __future__ import annotations

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, ReplicaChanged
from passgate.discovery.unusable_entries import UnusableEntries
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.sharedlog.freshness import BEHIND_AFTER_S, Freshness

GONE_RETENTION_S = 120.0
"""Time for which the offset and the start time of a replica that is gone are remembered."""
RETURN_GRACE_S = 2.0
"""Time that replicas have after an outage of the log to write entries again that expired meanwhile."""


MAX_LAPSE_S = 4.0
"""Longest time for which a replica stays in use after the removal of its entry was read; limits the grace
while a reader does not reach the end of discovery, so that the log does not count as returned."""


class ReplicaUpdate(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The entry of one replica in discovery as of an offset."""

    replica_id: str
    at: int
    """Offset of the entry, or the last offset that the list with the entry contains."""
    info: ReplicaInfo | None = None
    """The replica; None if discovery has no usable entry of it."""
    overwritten: bool = False
    """Whether the entry exists but names no usable replica; another writer may have written it."""
    listed: bool = False
    """Whether the entry was read in a whole list, so that it may have been written long before ``at``."""

    @property
    def gone(self) -> bool:
        """Whether discovery has no usable entry of the replica."""
        return self.info is None


class _LapsedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that was removed during or shortly after an outage of the log, and may return."""

    gone_offset: int
    """Offset of the removal."""
    listed_offset: int
    """Offset at which the replica was last known to be listed."""
    since_s: float
    """Loop time at which the removal was read."""


class DiscoveryView:
    """Applies updates from discovery to the replica table, except those that are older than known ones."""

    def __init__(self, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._replicas = replicas
        self._decisions = decisions
        self._known_offset_by_replica_id: dict[str, int] = {}
        """Offset of the newest update, by replica ID."""
        self._newest_start_ms_by_replica_id: dict[str, int] = {}
        """Start time of the newest known incarnation in Unix milliseconds, by replica ID."""
        self._gone_since_s_by_replica_id: dict[str, float] = {}
        self._log_returned_s = float("-inf")
        """Loop time at which the log was last known to have returned from an outage."""
        self._overwritten_replica_ids: set[str] = set()
        """IDs of replicas whose entries became unusable while the replicas were in use."""
        self.unusable_entries = UnusableEntries(decisions)
        """Counter of entries that name no usable replica."""
        self._lapsed_by_replica_id: dict[str, _LapsedEntry] = {}
        """Entries that were removed during or shortly after an outage of the log, by replica ID."""

    def update_freshness(self, freshness: Freshness) -> None:
        """Record when the log returned from an outage, given the freshness of the reader that was used."""
        now_s = monotonic_s()
        if freshness.age_s(now_s) > BEHIND_AFTER_S:
            self._log_returned_s = now_s
        else:
            self._log_returned_s = max(self._log_returned_s, freshness.recovered_at_s)

    def __len__(self) -> int:
        return len(self._replicas.all())

    def apply(self, update: ReplicaUpdate) -> bool:
        """Apply an update of one replica; return whether a relay has to append it as a change."""
        if update.at <= self._known_offset_by_replica_id.get(update.replica_id, -1):
            return False
        listed_offset = self._listed_offset(update.replica_id)
        self._known_offset_by_replica_id[update.replica_id] = update.at
        if update.info is not None and self._is_outdated(update.info):
            self.unusable_entries.record(update.replica_id, "written by an older incarnation", monotonic_s())
            return False
        known = self._replicas.get(update.replica_id)
        had_lapsed = self._lapsed_by_replica_id.pop(update.replica_id, None) is not None
        if update.overwritten:
            return self._mark_overwritten(update.replica_id)
        if update.info is None and known is not None and self._may_have_lapsed(known.info):
            self._lapsed_by_replica_id[update.replica_id] = _LapsedEntry(
                gone_offset=update.at, listed_offset=listed_offset, since_s=monotonic_s()
            )
            self._log_change(update.replica_id, known.info.service, "lapsed", True)
            return False
        if update.info is None:
            return self._remove(update.replica_id)
        changed = had_lapsed or known is None or known.info != update.info
        self._newest_start_ms_by_replica_id[update.replica_id] = update.info.started_unix_ms
        self._log_listed(update.info, known)
        self._replicas.apply_entry(update.info, monotonic_s(), from_full_list=update.listed)
        return changed

    def _log_listed(self, info: ReplicaInfo, known: ReplicaState | None) -> None:
        """Log a replica that is new, was restarted, or started or stopped draining."""
        was_overwritten = info.replica_id in self._overwritten_replica_ids
        self._overwritten_replica_ids.discard(info.replica_id)
        restarted = known is not None and known.incarnation != info.incarnation
        self._log_change(info.replica_id, info.service, "restarted", restarted)
        if known is None and was_overwritten:
            return  # the unusable entry was logged already, and the entry may be overwritten again and again
        if known is None or restarted or known.info.draining != info.draining:
            self._log_change(info.replica_id, info.service, "draining" if info.draining else "ready", True)

    def _is_outdated(self, info: ReplicaInfo) -> bool:
        """Whether an entry is a late one of an incarnation older than the newest known one."""
        return info.started_unix_ms < self._newest_start_ms_by_replica_id.get(info.replica_id, 0)

    def _mark_overwritten(self, replica_id: str) -> bool:
        """Remove a replica whose entry was overwritten; return whether it was in the table."""
        was_in_use = self._remove_from_table(replica_id) is not None
        if was_in_use:
            self._overwritten_replica_ids.add(replica_id)
        return was_in_use

    def _remove(self, replica_id: str) -> bool:
        """Remove a replica that is no longer listed; return whether it was in the table."""
        known = self._remove_from_table(replica_id)
        self._log_change(replica_id, known.info.service if known else "", "gone", known is not None)
        return known is not None

    def _remove_from_table(self, replica_id: str) -> ReplicaState | None:
        known = self._replicas.get(replica_id)
        self._gone_since_s_by_replica_id[replica_id] = monotonic_s()
        self._replicas.remove(replica_id)
        return known

    def apply_relayed(self, update: ReplicaUpdate) -> None:
        """Apply an update that a relay has appended.

        A removal takes effect at once, as the relay has already waited for the replica to renew its entry.
        """
        if not update.gone:
            self.apply(update)
        elif update.at > self._listed_offset(update.replica_id):
            self._lapsed_by_replica_id.pop(update.replica_id, None)
            self._known_offset_by_replica_id[update.replica_id] = max(
                update.at, self._known_offset_by_replica_id.get(update.replica_id, -1)
            )
            if update.overwritten:
                self._mark_overwritten(update.replica_id)
            else:
                self._remove(update.replica_id)

    def apply_list(
        self, infos: list[ReplicaInfo], at: int, overwritten: frozenset[str] = frozenset()
    ) -> list[ReplicaUpdate]:
        """Apply the whole list; return the updates that a relay has to append as changes.

        Args:
            infos: the replicas that are listed.
            at: the last offset that the list contains.
            overwritten: replica IDs whose entries name no usable replica.
        """
        listed = {info.replica_id for info in infos}
        gone = [replica_id for replica_id in self.replica_ids() if replica_id not in listed]
        updates = [
            ReplicaUpdate(replica_id=replica_id, at=at, overwritten=replica_id in overwritten)
            for replica_id in gone
        ]
        updates += [
            ReplicaUpdate(replica_id=info.replica_id, at=at, info=info, listed=True) for info in infos
        ]
        return [update for update in updates if self.apply(update)]

    def replica_ids(self) -> list[str]:
        """Return the IDs of all replicas in the table."""
        return [state.info.replica_id for state in self._replicas.all()]

    def updates(self) -> list[ReplicaUpdate]:
        """Return an update for each replica in the table, with the offset at which it was last listed."""
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
        """Whether an entry may have been removed only because an outage kept its replica from renewing it."""
        return not info.draining and monotonic_s() - self._log_returned_s < RETURN_GRACE_S

    def remove_lapsed(self) -> list[ReplicaUpdate]:
        """Remove replicas whose entries did not return in time.

        That is RETURN_GRACE_S after an outage of the log, but at most MAX_LAPSE_S after the removal was read.
        Returns the removals as updates, which a relay has to append as changes.
        """
        now_s = monotonic_s()
        grace_is_over = now_s - self._log_returned_s >= RETURN_GRACE_S
        removals = [
            ReplicaUpdate(replica_id=replica_id, at=lapse.gone_offset)
            for replica_id, lapse in self._lapsed_by_replica_id.items()
            if grace_is_over or now_s - lapse.since_s >= MAX_LAPSE_S
        ]
        for update in removals:
            del self._lapsed_by_replica_id[update.replica_id]
            self._remove(update.replica_id)
        return removals

    def drop_gone(self) -> None:
        """Forget replicas that have been gone for GONE_RETENTION_S."""
        cutoff_s = monotonic_s() - GONE_RETENTION_S
        for replica_id in [
            expired_id
            for expired_id, gone_since_s in self._gone_since_s_by_replica_id.items()
            if gone_since_s < cutoff_s
        ]:
            del self._gone_since_s_by_replica_id[replica_id]
            if self._replicas.get(replica_id) is None:
                self._known_offset_by_replica_id.pop(replica_id, None)
                self._newest_start_ms_by_replica_id.pop(replica_id, None)
                self._overwritten_replica_ids.discard(replica_id)

    def _log_change(self, replica_id: str, service: str, state: str, condition: bool) -> None:
        if condition:
            self._decisions.write(ReplicaChanged(replica_id=replica_id, service=service, state=state))
