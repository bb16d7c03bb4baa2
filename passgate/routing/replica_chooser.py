"""Replicas of each pool that this daemon uses, and which of them have room for a request."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from random import Random

import msgspec

from passgate.routing.home_models import HomeModels
from passgate.routing.load_tracker import LoadTracker, ReplicaLoad
from passgate.routing.policies import RoutingPolicy
from passgate.routing.prefix import BLOCK_TOKENS
from passgate.routing.prefix_index import PrefixIndex
from passgate.routing.replica_directory import ReplicaDirectory, ReplicaInfo
from passgate.routing.replica_health import ReplicaHealth
from passgate.routing.replica_scheduler import ReplicaView, new_scheduler
from passgate.routing.subset import choose_subset
from passgate.routing.work import WorkItem
from passgate.schema import MachineRole, MachineState
from passgate.state.specs import PoolSpec


class NoPlace(enum.Enum):
    """Why no replica was chosen."""

    NO_ROOM = "no_room"
    """Every replica that could take the request is full or set aside for now."""
    NOT_ELIGIBLE = "not_eligible"
    """No replica reports a weight version that the request accepts."""
    NO_REPLICA = "no_replica"
    """The pool has no live replica."""


class Choice(msgspec.Struct, frozen=True, eq=False):
    """A replica and how many leading prompt tokens it probably caches."""

    replica: ReplicaInfo
    cached_tokens: int


class ReplicaChooser:
    """Joins directory, health, load, prefix index and scheduler into one choice."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        tracker: LoadTracker,
        health: ReplicaHealth,
        prefixes: PrefixIndex,
        policy: RoutingPolicy,
        zone: str,
        owner: str,
        random: Random,
        models: Callable[[PoolSpec], Sequence[str]],
    ) -> None:
        """``models`` returns the models of all pools with the same replicas."""
        self._directory = directory
        self._tracker = tracker
        self._health = health
        self._prefixes = prefixes
        self._policy = policy
        self._zone = zone
        self._owner = owner
        self._models = models
        self._schedulers = {role: new_scheduler(policy, random, role) for role in MachineRole}
        self.homes = HomeModels()
        self._subsets: dict[tuple[str, MachineRole], list[ReplicaInfo]] = {}
        self._returning: dict[tuple[str, MachineRole], list[ReplicaInfo]] = {}
        self._directory_version = -1

    def subset(self, pool: PoolSpec) -> list[ReplicaInfo]:
        """Return the live replicas of a pool that this daemon uses."""
        self._forget_old_subsets()
        key = (pool.selector, pool.role)
        chosen = self._subsets.get(key)
        if chosen is None:
            chosen = self._choose_subset(pool)
            self._subsets[key] = chosen
            self.homes.assign([replica.replica_id for replica in chosen], self._models(pool))
        return chosen

    def returning(self, pool: PoolSpec) -> list[ReplicaInfo]:
        """Return the replicas of a pool that leave by their own word alone, which a report may take back."""
        self._forget_old_subsets()
        key = (pool.selector, pool.role)
        if key not in self._returning:
            replicas = self._directory.replicas(pool)
            self._returning[key] = [info for info in replicas if self._directory.may_return(info.replica_id)]
        return self._returning[key]

    def choose(
        self, item: WorkItem, pool: PoolSpec, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> Choice | NoPlace:
        """Return a replica with room for ``item``, or why there is none."""
        replicas = self.subset(pool)
        if not replicas:
            return NoPlace.NO_REPLICA
        eligible = [replica for replica in replicas if self._has_version(replica, item)]
        if not eligible:
            return NoPlace.NOT_ELIGIBLE
        usable = set(self._health.filter_usable([replica.replica_id for replica in eligible], now_s))
        roomy = {
            replica.replica_id: replica
            for replica in eligible
            if replica.replica_id in usable
            and replica.replica_id not in excluded
            and self.has_room(replica.replica_id, item, pool)
            and self._may_mix(replica.replica_id, item)
        }
        fresh = {name: replica for name, replica in roomy.items() if name not in item.avoid} or roomy
        if not fresh:
            return NoPlace.NO_ROOM
        views = self._views(fresh.values(), item, now_s)
        view = self._schedulers[pool.role].choose(views, item)
        return Choice(fresh[view.replica_id], view.cached_tokens)

    def has_room(self, replica_id: str, item: WorkItem, pool: PoolSpec) -> bool:
        """Whether a replica can take the request now, by batch size and KV memory."""
        load = self._tracker.load(replica_id)
        if load.own_requests >= pool.maximum_in_flight:
            return False
        if pool.role is MachineRole.APP:
            return load.own_requests < self._policy.app_concurrency
        if not load.kv_capacity_tokens:
            return load.own_requests < self._policy.initial_concurrency
        return self._batch_has_room(load, item) and self._memory_has_room(load, item)

    def token_s(self, pool: PoolSpec, now_s: float) -> dict[str, float]:
        """Return the time per token on each usable replica of a pool."""
        names = [replica.replica_id for replica in self.subset(pool)]
        return {name: self._tracker.token_s(name) for name in self._health.filter_usable(names, now_s)}

    def _may_mix(self, replica_id: str, item: WorkItem) -> bool:
        """Whether the request may join the replica's batch without slowing another model's."""
        if item.interactive or not self._policy.model_homes or self.homes.is_home(replica_id, item.model):
            return True
        return self._foreign(self._tracker.load(replica_id), item) <= self._policy.mix_tolerance

    def _foreign(self, load: ReplicaLoad, item: WorkItem) -> int:
        return load.request_count - load.models.get(item.model, 0)

    def _batch_has_room(self, load: ReplicaLoad, item: WorkItem) -> bool:
        if not item.interactive and load.reported_waiting > self._policy.waiting_slack:
            return False
        if not load.running_limit:
            return True
        slack = self._policy.interactive_slack if item.interactive else self._policy.waiting_slack
        return load.request_count < load.running_limit + slack

    def _memory_has_room(self, load: ReplicaLoad, item: WorkItem) -> bool:
        policy = self._policy
        watermark = policy.kv_watermark_interactive if item.interactive else policy.kv_watermark
        free = load.kv_capacity_tokens * watermark - load.kv_tokens
        return item.kv_tokens <= free or not load.request_count

    def _has_version(self, replica: ReplicaInfo, item: WorkItem) -> bool:
        if not item.minimum_version:
            return True
        version = self._tracker.load(replica.replica_id).versions.get(item.model)
        return version is None or version >= item.minimum_version

    def _views(self, replicas: Iterable[ReplicaInfo], item: WorkItem, now_s: float) -> list[ReplicaView]:
        cached: dict[str, int] = {}
        if self._policy.prefix_affinity and item.prefix:
            cached = self._prefixes.matches(item.prefix)
        return [self._view(replica, item, cached.get(replica.replica_id, 0), now_s) for replica in replicas]

    def _view(self, replica: ReplicaInfo, item: WorkItem, cached_blocks: int, now_s: float) -> ReplicaView:
        load = self._tracker.load(replica.replica_id)
        return ReplicaView(
            replica_id=replica.replica_id,
            same_zone=replica.zone == self._zone,
            request_count=load.request_count,
            outstanding_tokens=load.outstanding_tokens,
            kv_tokens=load.kv_tokens,
            kv_capacity_tokens=load.kv_capacity_tokens,
            running_limit=load.running_limit,
            token_s=self._tracker.token_s(replica.replica_id),
            others_calls=max(0.0, load.others_calls),
            call_s=self._tracker.calls.latency_s(replica.replica_id, now_s),
            cached_tokens=cached_blocks * BLOCK_TOKENS,
            prefill_tokens=load.own_prefill_tokens,
            home=not self._policy.model_homes or self.homes.is_home(replica.replica_id, item.model),
            foreign_requests=self._foreign(load, item),
        )

    def _forget_old_subsets(self) -> None:
        if self._directory.version != self._directory_version:
            self._subsets.clear()
            self._returning.clear()
            self._directory_version = self._directory.version

    def _choose_subset(self, pool: PoolSpec) -> list[ReplicaInfo]:
        live = [replica for replica in self._directory.replicas(pool) if replica.state is MachineState.LIVE]
        return choose_subset(
            self._owner, self._zone, live, self._policy.subset_size, self._policy.subset_local_share
        )
