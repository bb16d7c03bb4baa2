"""Chooses the source of a zone's first copy when each zone has its own rollout manager.

The managers do not communicate.  Each computes the same order of zones and the same
seed replica of each zone from model, version and replicas.  The first zone's seed
fetches from the weight store, every later seed from the seed of the zone before it.

>>> views = [ReplicaView(replica_id=f"r{n}", address=f"10.0.0.{n}:1", zone=f"z{n % 3}") for n in range(6)]
>>> chain = seed_chain("m", 2, views)
>>> sorted(seed.zone for seed in chain)
['z0', 'z1', 'z2']
>>> seed_plan("m", 2, chain[0].zone, views).source
'store'
>>> seed_plan("m", 2, chain[1].zone, views).source == chain[0].address
True
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

from passgate.rollout.types import STORE_SOURCE, ReplicaView


class SeedPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Which replica fetches a zone's first copy of a version, and from where."""

    replica_id: str = ""
    """Replica that fetches first; empty when any replica may."""
    address: str = ""
    source: str = STORE_SOURCE
    serves_next_zone: bool = False
    """Whether one upload of this seed is reserved for the next zone's seed."""


def seed_chain(model: str, version: int, views: Iterable[ReplicaView]) -> list[ReplicaView]:
    """Return the seed replica of each zone, in the order in which they fetch."""
    seeds: dict[str, ReplicaView] = {}
    for view in views:
        current = seeds.get(view.zone)
        if current is None or _rank(model, version, view.replica_id) < _rank(
            model, version, current.replica_id
        ):
            seeds[view.zone] = view
    return sorted(seeds.values(), key=lambda seed: _rank(model, version, seed.zone))


def seed_plan(model: str, version: int, zone: str, views: Iterable[ReplicaView]) -> SeedPlan:
    """Return how ``zone`` gets its first copy, given the replicas of all zones.

    A zone without replicas gets a plan in which any replica may fetch from the store.
    """
    chain = seed_chain(model, version, views)
    position = next((index for index, seed in enumerate(chain) if seed.zone == zone), None)
    if position is None:
        return SeedPlan()
    return SeedPlan(
        replica_id=chain[position].replica_id,
        address=chain[position].address,
        source=chain[position - 1].address if position else STORE_SOURCE,
        serves_next_zone=position + 1 < len(chain),
    )


def _rank(model: str, version: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{model}\0{version}\0{name}".encode())
