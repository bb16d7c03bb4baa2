"""Versions of weights whose load ends replicas: recognized as crashing requests are, and held back.

The order to load a version counts as one request, whichever replica gets it.  A version that some
replica holds can be loaded, so replicas that end while they load it end for a reason of their own.
"""

from __future__ import annotations

from passgate.decisions import DecisionLog, LoadHeld
from passgate.gateway.replicas import ReplicaState, ReplicaTable
from passgate.quarantine.guard import CrashGuard, ReplicaPlace
from passgate.quarantine.identity import RequestIdentity

LOAD_CRASH_LIMIT = 3
"""Replicas that may end under an order before no further one gets it.  As with items, holding it back may
cost a whole step, and two replicas may end by chance while a release or a power cut is under way."""
LOAD_METHOD = "load-weights"
"""Stands where a request has its method, so that an order is never taken for a caller's request."""


class LoadCrashes:
    """What is known at all daemons of replicas that ended while they loaded weights."""

    def __init__(self, guard: CrashGuard, replicas: ReplicaTable, decisions: DecisionLog) -> None:
        self._guard = guard
        self._replicas = replicas
        self._decisions = decisions
        self._held: set[tuple[str, int]] = set()
        """Models and versions that are held back, as far as a line says so."""

    def is_held(self, model: str, version: int) -> bool:
        """Whether no replica gets an order for a version now."""
        held = self._guard.is_held(_identity(model, version)) and not self._is_loaded(model, version)
        if held != ((model, version) in self._held):
            self._held ^= {(model, version)}
            self._decisions.write(LoadHeld(model=model, version=version, held=held))
        return held

    def is_suspect(self, model: str, version: int) -> bool:
        """Whether a version is loaded by one replica at a time, as replicas may have ended under it."""
        return self._guard.is_suspect(_identity(model, version)) and not self._is_loaded(model, version)

    def look_at(self, state: ReplicaState, model: str, version: int) -> None:
        """Have it looked at whether a replica ended under an order; one that was leaving may end."""
        if not state.info.draining:
            self._guard.look_at(_identity(model, version), _place(state))

    def was_replaced(self, state: ReplicaState, model: str, version: int) -> bool:
        """Return whether another replica is at a lost one's address, which then has ended under an order."""
        address = state.info.address
        if not any(other.info.address == address for other in self._replicas.all() if other is not state):
            return False
        if not state.info.draining:
            self._guard.ended(_identity(model, version), _place(state))
        return True

    def loaded(self, state: ReplicaState, model: str, version: int) -> None:
        """Note that a replica has loaded a version."""
        self._guard.succeeded(_identity(model, version), state.info.service)

    def _is_loaded(self, model: str, version: int) -> bool:
        return any(state.version_of(model) >= version for state in self._replicas.all())


def _place(state: ReplicaState) -> ReplicaPlace:
    info = state.info
    return ReplicaPlace(life=info.life, service=info.service, address=info.address)


def _identity(model: str, version: int) -> RequestIdentity:
    return RequestIdentity(
        host="",
        method=LOAD_METHOD,
        path=model,
        tenant=None,
        body=str(version).encode(),
        crash_limit=LOAD_CRASH_LIMIT,
    )
