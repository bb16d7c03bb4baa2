"""Suspends weight versions that crash the replicas loading them.

The order to load a version is handed to the crash guard as one request, whichever replica gets it.  If any
replica holds the version, it can be loaded, and crashes during its loads are attributed to other causes.
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, VersionLoadsSuspended
from passgate.gateway.replica_table import ReplicaState, ReplicaTable
from passgate.quarantine.guard import CrashGuard, ReplicaEndpoint
from passgate.quarantine.identity import RequestIdentity

LOAD_CRASH_LIMIT = 3
"""Crashed replicas after which loads are suspended; two may crash by coincidence, and a suspension may
delay a whole training step."""
LOAD_REQUEST_METHOD = "load-weights"
"""Method in the identity of a load order; it keeps the order distinct from callers' requests."""


class LoadCrashGuard:
    """Crash guard for load orders; its reports are shared by all daemons."""

    def __init__(self, crash_guard: CrashGuard, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._crash_guard = crash_guard
        self._replicas = replicas
        self._decisions = decisions
        self._logged_suspensions: set[tuple[str, int]] = set()
        """Models and versions whose suspension is in the decision log."""

    def update_suspension(self, model: str, version: int) -> bool:
        """Return whether loads of a version are suspended, and log a change of that."""
        is_suspended = self._crash_guard.is_quarantined(
            _load_identity(model, version)
        ) and not self._is_loaded_anywhere(model, version)
        if is_suspended != ((model, version) in self._logged_suspensions):
            self._logged_suspensions ^= {(model, version)}
            self._decisions.write(VersionLoadsSuspended(model=model, version=version, held=is_suspended))
        return is_suspended

    def must_load_alone(self, model: str, version: int) -> bool:
        """Return whether only one replica at a time may load a version, as it may have crashed replicas."""
        return self._crash_guard.is_suspect(_load_identity(model, version)) and not self._is_loaded_anywhere(
            model, version
        )

    def check_for_crash(self, state: ReplicaState, model: str, version: int) -> None:
        """Start a check whether a replica crashed under a load order, unless it was draining and may exit."""
        if not state.info.draining:
            self._crash_guard.start_probe(_load_identity(model, version), _replica_endpoint(state))

    def report_if_replaced(self, state: ReplicaState, model: str, version: int) -> bool:
        """Return whether another replica uses a replica's address; report a crash unless it was draining."""
        address = state.info.address
        if not any(other.info.address == address for other in self._replicas.all() if other is not state):
            return False
        if not state.info.draining:
            self._crash_guard.record_crash(_load_identity(model, version), _replica_endpoint(state))
        return True

    def record_loaded(self, state: ReplicaState, model: str, version: int) -> None:
        """Record that a replica has loaded a version, which clears the version's crash reports."""
        self._crash_guard.record_success(_load_identity(model, version), state.info.service)

    def _is_loaded_anywhere(self, model: str, version: int) -> bool:
        return any(state.weight_version(model) >= version for state in self._replicas.all())


def _replica_endpoint(state: ReplicaState) -> ReplicaEndpoint:
    info = state.info
    return ReplicaEndpoint(incarnation=info.incarnation, service=info.service, address=info.address)


def _load_identity(model: str, version: int) -> RequestIdentity:
    return RequestIdentity(
        host="",
        method=LOAD_REQUEST_METHOD,
        path=model,
        tenant=None,
        body=str(version).encode(),
        crash_limit=LOAD_CRASH_LIMIT,
    )
