"""What isolated runs require of the choice of a replica.

An isolated run is an attempt of a request that may crash the replica.  It has the replica for itself, so that
a crash interrupts no other request and can be attributed to this one.
"""

from __future__ import annotations

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation


class Isolation(msgspec.Struct, frozen=True, kw_only=True):
    """How isolated runs restrict the choice of a replica for one request."""

    avoided: frozenset[ReplicaIncarnation] = frozenset()
    """Replicas with isolated runs of other requests; chosen only if no other one, loaded or not, can be."""
    is_isolated: bool = False
    """Whether the choice is for an isolated run, which never gets an avoided replica."""
    crashed: frozenset[ReplicaIncarnation] = frozenset()
    """Incarnations that were reported as crashed, which an isolated run does not get either: if a new process
    has taken over the replica ID, a crash there can't be attributed."""


NO_ISOLATION = Isolation()
"""Restricts nothing; for all requests while no crash is reported."""
