"""Limits the loads of weight versions under which replicas crash.

A published version is owed to its trainer, so its loads go on however many replicas crashed under them.
After a crash, one replica at a time loads the version, and pauses between the orders grow with each further
crash, so that loads which do crash replicas do not end a whole service.  While any listed replica holds the
version, or a newer one, loads are not limited, as crashes are then taken to have another cause.

The crash guard treats all orders to load the same version as the same request; all daemons share its reports.
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, VersionLoadsPaused
from passgate.gateway.replica_state import ReplicaState
from passgate.gateway.replica_table import ReplicaTable
from passgate.quarantine.guard import CrashGuard, ReplicaEndpoint
from passgate.quarantine.identity import RequestIdentity

LOAD_CRASH_LIMIT = 3
"""Crash limit in the reports of loads, by which daemons of earlier builds suspend a version."""
SECOND_CRASH_PAUSE_S = 1.0
"""Pause of a version's orders after its second crash; doubles with each further one."""
MAX_PAUSE_S = 4.0
"""Longest pause; a training step waits for the version meanwhile."""
LOAD_REQUEST_METHOD = "load-weights"
"""Method in the identity of a load order; it keeps the order distinct from callers' requests."""


class LoadCrashGuard:
    """Decides when replicas may be ordered to load a version under which others have crashed."""

    def __init__(self, crash_guard: CrashGuard, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._crash_guard = crash_guard
        self._replicas = replicas
        self._decisions = decisions
        self._logged_pauses: set[tuple[str, int]] = set()
        """Models and versions whose orders wait according to the last lines in the decision log."""

    def update_pause(self, model: str, version: int, now_s: float) -> bool:
        """Return whether orders for a version must wait now; write a decision line if this has changed."""
        is_paused = now_s < self._paused_until_s(model, version) and not self._is_loaded_anywhere(
            model, version
        )
        if is_paused != ((model, version) in self._logged_pauses):
            self._logged_pauses ^= {(model, version)}
            self._decisions.write(VersionLoadsPaused(model=model, version=version, held=is_paused))
        return is_paused

    def _paused_until_s(self, model: str, version: int) -> float:
        """Return the loop time until which orders for a version must wait; past if they need not."""
        crash_times_s = self._crash_guard.crash_times_s(_load_identity(model, version))
        if len(crash_times_s) < 2:
            return float("-inf")
        return crash_times_s[-1] + min(SECOND_CRASH_PAUSE_S * 2.0 ** (len(crash_times_s) - 2), MAX_PAUSE_S)

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
