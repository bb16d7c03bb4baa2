"""Directory of replicas, merged from the platform's machine list, load reports, refusals and marks.

A replica is leaving when any of three sources says so: the machine list, the replica itself
(in load reports or refusals), or an explicit mark.  The list and marks can not be revoked
within a machine's generation, so a list that is read late never makes a replica live again;
a higher generation starts with a new entry.  The replica itself can revoke what it has
reported, because an engine may be drained and then resumed.

>>> from passgate.schema import MachineInfo, MachineRole, MachineState
>>> directory = ReplicaDirectory()
>>> def listed(state):
...     role = MachineRole.ENGINE
...     return MachineInfo(machine_id="e1", role=role, address="127.0.0.1:1", zone="a", state=state)
>>> directory.apply_machines([listed(MachineState.LEAVING)], now_s=1.0)
>>> directory.apply_machines([listed(MachineState.LIVE)], now_s=2.0)
>>> directory.get("e1").state
<MachineState.LEAVING: 'leaving'>
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from passgate.schema import Labels, LoadReport, MachineInfo, MachineRole, MachineState
from passgate.selectors import Selector

GONE_AFTER_ABSENCE_S = 30.0
"""Time after which a machine that no plausible list has included is gone."""
GONE_RETENTION_S = 3600.0
"""Time for which a gone machine is kept, so that a list read late does not revoke what is known of it."""
MAX_ABSENT_SHARE = 0.5
"""Share of the present machines; a list that lacks more is implausible, and absences are ignored."""
REFUSAL_HOLD_S = 5.0
"""Time after a refusal in which reports can not revoke it, because they may be older."""
REFUSAL_EXPIRY_S = 30.0
"""Time after which a refusal by a replica without load reports is revoked."""
SELECTOR_CACHE_SIZE = 256
"""Number of parsed selectors at which the cache is cleared."""

_STATE_ORDER = {MachineState.LIVE: 0, MachineState.LEAVING: 1, MachineState.GONE: 2}


class ReplicaCriteria(Protocol):
    """The part of a pool's specification that selects its replicas."""

    @property
    def selector(self) -> str:
        """Selector over machine labels."""

    @property
    def role(self) -> MachineRole:
        """Role of the pool's machines."""


class ReplicaInfo(msgspec.Struct, frozen=True, kw_only=True):
    """One replica, merged from all sources."""

    replica_id: str
    address: str
    zone: str
    labels: Labels
    role: MachineRole
    state: MachineState
    generation: int


class _Entry(msgspec.Struct, kw_only=True):
    machine: MachineInfo
    listed_state: MachineState
    leaving_mark_reason: str = ""
    """Reason of an explicit mark as leaving; empty without one."""
    reported_leaving: bool = False
    """Whether the replica's own report or refusal says that it leaves."""
    last_refusal_s: float = float("-inf")
    last_report_sequence: int = 0
    lower_report_sequence: int = 0
    """Sequence of the last report if it was below ``last_report_sequence``, else 0.

    Such a report is either an old one or from a restarted process.
    """
    last_listed_s: float = 0.0
    gone_since_s: float | None = None


def later_state(first: MachineState, second: MachineState) -> MachineState:
    """Return the state that comes later in a machine's life: live, leaving, gone."""
    return first if _STATE_ORDER[first] >= _STATE_ORDER[second] else second


class ReplicaDirectory:
    """All known replicas by identifier, with their merged states."""

    def __init__(self) -> None:
        self._entry_by_id: dict[str, _Entry] = {}
        self._selector_by_text: dict[str, Selector] = {}
        self._replica_by_id: dict[str, ReplicaInfo] = {}
        self._replicas_by_criteria: dict[tuple[str, MachineRole], list[ReplicaInfo]] = {}
        self.version = 0
        """Increases whenever the merged entry of a replica changes."""

    # --- sources ---------------------------------------------------------------

    def apply_machines(self, machines: Sequence[MachineInfo], now_s: float) -> None:
        """Merge the platform's machine list, which may be old, incomplete or empty; daemons are skipped."""
        listed = [machine for machine in machines if machine.role is not MachineRole.DAEMON]
        for machine in listed:
            self._apply_machine(machine, now_s)
        self._apply_absences({machine.machine_id for machine in listed}, now_s)
        self._expire_refusals(now_s)
        self._discard_gone(now_s)

    def mark_leaving(self, replica_id: str, reason: str) -> None:
        """Mark a replica as leaving for the rest of its generation; ignored for an unknown replica."""
        entry = self._entry_by_id.get(replica_id)
        if entry is not None and not entry.leaving_mark_reason:
            entry.leaving_mark_reason = reason or "marked"
            self._refresh(replica_id)

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Merge whether the replica leaves according to its load report read at ``now_s``.

        Old reports, and reports of unknown replicas, are ignored.
        """
        entry = self._entry_by_id.get(report.replica_id)
        if entry is None or not _accept_sequence(entry, report.sequence):
            return
        is_held = now_s - entry.last_refusal_s < REFUSAL_HOLD_S
        is_leaving = report.leaving or (is_held and entry.reported_leaving)
        if is_leaving != entry.reported_leaving:
            entry.reported_leaving = is_leaving
            self._refresh(report.replica_id)

    def record_refusal(self, replica_id: str, now_s: float) -> None:
        """Record that the replica refused a request because it leaves; later reports may revoke it."""
        entry = self._entry_by_id.get(replica_id)
        if entry is not None:
            entry.reported_leaving = True
            entry.last_refusal_s = now_s
            self._refresh(replica_id)

    # --- queries -----------------------------------------------------------------

    def is_leaving_revocable(self, replica_id: str) -> bool:
        """Whether a replica is leaving only according to its own reports or refusals."""
        entry = self._entry_by_id.get(replica_id)
        if entry is None or not entry.reported_leaving:
            return False
        is_listed_live = entry.listed_state is MachineState.LIVE and entry.gone_since_s is None
        return is_listed_live and not entry.leaving_mark_reason

    def get(self, replica_id: str) -> ReplicaInfo | None:
        """Return a replica, also a gone one, or None when it is unknown."""
        return self._replica_by_id.get(replica_id)

    def known_ids(self) -> set[str]:
        """Return the identifiers of all replicas that are not gone."""
        return {name for name, info in self._replica_by_id.items() if info.state is not MachineState.GONE}

    def replicas(self, pool: ReplicaCriteria) -> list[ReplicaInfo]:
        """Return the pool's live and leaving replicas, ordered by identifier.

        The list is cached, so callers must not change it.
        """
        key = (pool.selector, pool.role)
        cached = self._replicas_by_criteria.get(key)
        if cached is None:
            cached = self._select(pool)
            self._replicas_by_criteria[key] = cached
        return cached

    def available(self, pool: ReplicaCriteria) -> list[ReplicaInfo]:
        """Return the pool's live replicas, which may receive new requests."""
        return [replica for replica in self.replicas(pool) if replica.state is MachineState.LIVE]

    # --- internals -----------------------------------------------------------------

    def _apply_machine(self, machine: MachineInfo, now_s: float) -> None:
        entry = self._entry_by_id.get(machine.machine_id)
        if entry is not None and entry.machine == machine and entry.gone_since_s is None:
            entry.last_listed_s = now_s
            return
        if entry is None or machine.generation > entry.machine.generation:
            entry = _Entry(machine=machine, listed_state=machine.state, last_listed_s=now_s)
            self._entry_by_id[machine.machine_id] = entry
        elif machine.generation < entry.machine.generation:
            return
        entry.listed_state = later_state(entry.listed_state, machine.state)
        entry.machine = machine
        entry.last_listed_s = now_s
        entry.gone_since_s = now_s if entry.listed_state is MachineState.GONE else None
        self._refresh(machine.machine_id)

    def _apply_absences(self, listed_ids: set[str], now_s: float) -> None:
        present = [entry for entry in self._entry_by_id.values() if entry.gone_since_s is None]
        absent = [entry for entry in present if entry.machine.machine_id not in listed_ids]
        if len(absent) > MAX_ABSENT_SHARE * len(present):
            return
        for entry in absent:
            if now_s - entry.last_listed_s >= GONE_AFTER_ABSENCE_S:
                entry.gone_since_s = now_s
                self._refresh(entry.machine.machine_id)

    def _expire_refusals(self, now_s: float) -> None:
        for replica_id, entry in self._entry_by_id.items():
            has_no_reports = entry.last_report_sequence == 0
            if entry.reported_leaving and has_no_reports and now_s - entry.last_refusal_s >= REFUSAL_EXPIRY_S:
                entry.reported_leaving = False
                self._refresh(replica_id)

    def _discard_gone(self, now_s: float) -> None:
        for replica_id, entry in list(self._entry_by_id.items()):
            if entry.gone_since_s is not None and now_s - entry.gone_since_s >= GONE_RETENTION_S:
                del self._entry_by_id[replica_id]
                self._refresh(replica_id)

    def _refresh(self, replica_id: str) -> None:
        entry = self._entry_by_id.get(replica_id)
        info = None if entry is None else _merge_sources(entry)
        if info == self._replica_by_id.get(replica_id):
            return
        if info is None:
            del self._replica_by_id[replica_id]
        else:
            self._replica_by_id[replica_id] = info
        self._replicas_by_criteria.clear()
        self.version += 1

    def _select(self, pool: ReplicaCriteria) -> list[ReplicaInfo]:
        selector = self._parse_selector(pool.selector)
        chosen = [
            info
            for info in self._replica_by_id.values()
            if info.role is pool.role
            and info.state is not MachineState.GONE
            and selector.matches(info.labels)
        ]
        return sorted(chosen, key=lambda info: info.replica_id)

    def _parse_selector(self, text: str) -> Selector:
        selector = self._selector_by_text.get(text)
        if selector is None:
            if len(self._selector_by_text) >= SELECTOR_CACHE_SIZE:
                self._selector_by_text.clear()
            selector = Selector.parse(text)
            self._selector_by_text[text] = selector
        return selector


def _merge_sources(entry: _Entry) -> ReplicaInfo:
    state = entry.listed_state
    if entry.leaving_mark_reason or entry.reported_leaving:
        state = later_state(state, MachineState.LEAVING)
    if entry.gone_since_s is not None:
        state = MachineState.GONE
    machine = entry.machine
    return ReplicaInfo(
        replica_id=machine.machine_id,
        address=machine.address,
        zone=machine.zone,
        labels=machine.labels,
        role=machine.role,
        state=state,
        generation=machine.generation,
    )


def _accept_sequence(entry: _Entry, sequence: int) -> bool:
    """Return whether a report is new, and record its sequence.

    Two reports with rising sequences below the last one show a restarted process, so the
    second is new.
    """
    if sequence > entry.last_report_sequence:
        entry.last_report_sequence = sequence
        entry.lower_report_sequence = 0
        return True
    if 0 < entry.lower_report_sequence < sequence < entry.last_report_sequence:
        entry.last_report_sequence = sequence
        entry.lower_report_sequence = 0
        return True
    entry.lower_report_sequence = sequence if sequence < entry.last_report_sequence else 0
    return False
