"""Suspends the loading of weight versions that crash the replicas that load them.

The crash guard, which quarantines requests that crash replicas, treats all orders to load the same version as
the same request.  While any listed replica holds the version, or a newer one, loads are not suspended, as
crashes are then taken to have another cause.
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, VersionLoadsSuspended
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.quarantine.guard import CrashGuard, ReplicaEndpoint
from passgate.quarantine.identity import RequestIdentity

LOAD_CRASH_LIMIT = 3
"""Number of crashes that suspends the loads of a version; two may be a coincidence, and a suspension may
delay a whole training step."""
LOAD_REQUEST_METHOD = "load-weights"
"""Method in the identity of a load order; it keeps the order distinct from callers' requests."""


class LoadCrashGuard:
    """Applies the crash guard to load orders; all daemons share its crash reports."""

    def __init__(self, crash_guard: CrashGuard, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._crash_guard = crash_guard
        self._replicas = replicas
        self._decisions = decisions
        self._logged_suspensions: set[tuple[str, int]] = set()
        """Models and versions that are suspended according to the last lines in the decision log."""

    def update_suspension(self, model: str, version: int) -> bool:
        """Return whether loads of a version are suspended; write a decision line if this has changed."""
        is_suspended = self._crash_guard.is_quarantined(
            _load_identity(model, version)
        ) and not self._is_loaded_anywhere(model, version)
        if is_suspended != ((model, version) in self._logged_suspensions):
            self._logged_suspensions ^= {(model, version)}
            self._decisions.write(VersionLoadsSuspended(model=model, version=version, held=is_suspended))
        return is_suspended

    def must_load_alone(self, model: str, version: int) -> bool:
        """Return whether only one replica at a time may load a version, as loading it may crash replicas."""
        return self._crash_guard.is_suspect(_load_identity(model, version)) and not self._is_loaded_anywhere(
            model, version
        )

    def check_for_crash(self, state: ReplicaState, model: str, version: int) -> None:
        """Start a check whether a replica crashed while it loaded a version, unless it was draining."""
        if not state.info.draining:
            self._crash_guard.start_probe(_load_identity(model, version), _replica_endpoint(state))

    def report_if_replaced(self, state: ReplicaState, model: str, version: int) -> bool:
        """Return whether discovery lists another replica, or a new incarnation, at a replica's address.

        If so, the replica is reported as crashed while it loaded a version, unless it was draining.
        """
        address = state.info.address
        if not any(other.info.address == address for other in self._replicas.all() if other is not state):
            return False
        if not state.info.draining:
            self._crash_guard.record_crash(_load_identity(model, version), _replica_endpoint(state))
        return True

    def record_loaded(self, state: ReplicaState, model: str, version: int) -> None:
        """Clear a version's crash reports for the service of a replica that has loaded the version."""
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
