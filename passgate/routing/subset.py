"""Deterministic choice of the replicas that one daemon works with.

With 420 daemons and 1,100 replicas, each daemon asking each replica for its
load would cost far more than the control budget.  Rendezvous hashing gives each
daemon a stable subset: when a replica comes or goes, only the daemons that had
or get it change.

>>> replicas = [ReplicaKey(replica_id=f"e{index}", zone="ab"[index % 2]) for index in range(10)]
>>> chosen = choose_subset("daemon-1", "a", replicas, size=4, local_share=0.5)
>>> len(chosen), chosen == choose_subset("daemon-1", "a", replicas[::-1], size=4, local_share=0.5)
(4, True)
>>> sum(replica.zone == "a" for replica in chosen) >= 2
True
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
import xxhash


class HasZone(Protocol):
    """What the subset needs of a replica."""

    replica_id: str
    zone: str


class ReplicaKey(msgspec.Struct, frozen=True):
    """Identifier and zone of a replica."""

    replica_id: str
    zone: str


Replica = TypeVar("Replica", bound=HasZone)


def rendezvous_score(owner: str, replica_id: str) -> int:
    """Return the pseudo-random rank of a replica for an owner; the highest are taken."""
    return xxhash.xxh64_intdigest(f"{owner}\0{replica_id}".encode())


def choose_subset(
    owner: str, zone: str, replicas: Sequence[Replica], size: int, local_share: float
) -> list[Replica]:
    """Return at most ``size`` replicas, a share of them from ``zone``, in order of identifier."""
    if len(replicas) <= size:
        return sorted(replicas, key=lambda replica: replica.replica_id)
    ranked = sorted(
        replicas,
        key=lambda replica: (rendezvous_score(owner, replica.replica_id), replica.replica_id),
        reverse=True,
    )
    local_size = round(size * local_share)
    local = [replica for replica in ranked if replica.zone == zone][:local_size]
    taken = {replica.replica_id for replica in local}
    rest = [replica for replica in ranked if replica.replica_id not in taken]
    return sorted(local + rest[: size - len(local)], key=lambda replica: replica.replica_id)
