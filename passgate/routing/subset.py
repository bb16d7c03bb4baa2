"""Deterministic choice of the replicas that one daemon uses.

With hundreds of daemons and replicas, polling every replica from every daemon would be too
expensive.  Rendezvous hashing gives each daemon a stable subset: when a replica is added or
removed, only the subsets that include it change.

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


class ZonedReplica(Protocol):
    """A replica with an identifier and a zone."""

    replica_id: str
    zone: str


class ReplicaKey(msgspec.Struct, frozen=True):
    """Identifier and zone of a replica."""

    replica_id: str
    zone: str


Replica = TypeVar("Replica", bound=ZonedReplica)


def rendezvous_score(daemon_id: str, replica_id: str) -> int:
    """Return the pseudo-random score of a replica for a daemon; the highest scores are chosen."""
    return xxhash.xxh64_intdigest(f"{daemon_id}\0{replica_id}".encode())


def choose_subset(
    daemon_id: str, zone: str, replicas: Sequence[Replica], size: int, local_share: float
) -> list[Replica]:
    """Return at most ``size`` replicas, ordered by identifier.

    ``local_share`` of them are taken from ``zone`` first, as far as it has enough.  The rest
    are those with the highest scores, whatever their zone.
    """
    if len(replicas) <= size:
        return sorted(replicas, key=lambda replica: replica.replica_id)
    ranked = sorted(
        replicas,
        key=lambda replica: (rendezvous_score(daemon_id, replica.replica_id), replica.replica_id),
        reverse=True,
    )
    local_size = round(size * local_share)
    local = [replica for replica in ranked if replica.zone == zone][:local_size]
    local_ids = {replica.replica_id for replica in local}
    rest = [replica for replica in ranked if replica.replica_id not in local_ids]
    return sorted(local + rest[: size - len(local)], key=lambda replica: replica.replica_id)
