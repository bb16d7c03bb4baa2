"""Chooses the replica for a request among the daemon's subset of the pool's replicas."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from random import Random

import msgspec

from passgate.routing.load_tracker import LoadTracker, ReplicaLoad
from passgate.routing.policies import RoutingPolicy
from passgate.routing.preferred_models import PreferredModels
from passgate.routing.prefix import BLOCK_TOKENS
from passgate.routing.prefix_index import PrefixIndex
from passgate.routing.replica_directory import ReplicaDirectory, ReplicaInfo
from passgate.routing.replica_health import ReplicaHealth
from passgate.routing.replica_scheduler import ReplicaView, make_scheduler
from passgate.routing.subset import choose_subset
from passgate.routing.work import WorkItem
from passgate.schema import MachineRole, MachineState
from passgate.state.specs import PoolSpec


class NoReplicaReason(enum.Enum):
    """Why no replica was chosen."""

    NO_CAPACITY = "no_capacity"
    """Every eligible replica is full, ejected or excluded, or runs other models' requests."""
    NOT_ELIGIBLE = "not_eligible"
    """Every replica has reported a weight version below the request's minimum."""
    NO_REPLICA = "no_replica"
    """The pool has no live replica."""


class ReplicaChoice(msgspec.Struct, frozen=True, eq=False):
    """The chosen replica, and the number of leading prompt tokens that it probably caches."""

    replica: ReplicaInfo
    cached_tokens: int


class ReplicaChooser:
    """Chooses replicas by directory, health, load, weight version, prefix index and scheduler."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        load_tracker: LoadTracker,
        health: ReplicaHealth,
        prefix_index: PrefixIndex,
        policy: RoutingPolicy,
        zone: str,
        daemon_id: str,
        random: Random,
        find_models: Callable[[PoolSpec], Sequence[str]],
    ) -> None:
        """``find_models`` returns the models of all pools that share a pool's replicas."""
        self._directory = directory
        self._load_tracker = load_tracker
        self._health = health
        self._prefix_index = prefix_index
        self._policy = policy
        self._zone = zone
        self._daemon_id = daemon_id
        self._find_models = find_models
        self._scheduler_by_role = {role: make_scheduler(policy, random, role) for role in MachineRole}
        self.preferred_models = PreferredModels()
        self._subset_by_pool: dict[tuple[str, MachineRole], list[ReplicaInfo]] = {}
        self._revocably_leaving_by_pool: dict[tuple[str, MachineRole], list[ReplicaInfo]] = {}
        self._directory_version = -1

    def subset(self, pool: PoolSpec) -> list[ReplicaInfo]:
        """Return the live replicas of a pool that this daemon uses; cached until the directory changes."""
        self._invalidate_old_subsets()
        key = (pool.selector, pool.role)
        chosen = self._subset_by_pool.get(key)
        if chosen is None:
            chosen = self._choose_subset(pool)
            self._subset_by_pool[key] = chosen
            self.preferred_models.assign([replica.replica_id for replica in chosen], self._find_models(pool))
        return chosen

    def revocably_leaving(self, pool: PoolSpec) -> list[ReplicaInfo]:
        """Return the replicas of a pool that leave only by their own reports, which may be revoked."""
        self._invalidate_old_subsets()
        key = (pool.selector, pool.role)
        if key not in self._revocably_leaving_by_pool:
            replicas = self._directory.replicas(pool)
            self._revocably_leaving_by_pool[key] = [
                info for info in replicas if self._directory.is_leaving_revocable(info.replica_id)
            ]
        return self._revocably_leaving_by_pool[key]

    def choose(
        self, item: WorkItem, pool: PoolSpec, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> ReplicaChoice | NoReplicaReason:
        """Return a usable replica with capacity for ``item``, or why there is none.

        ``excluded`` replicas are not chosen; those of ``item.replicas_to_avoid`` only without another.
        """
        replicas = self.subset(pool)
        if not replicas:
            return NoReplicaReason.NO_REPLICA
        eligible = [replica for replica in replicas if self._has_accepted_version(replica, item)]
        if not eligible:
            return NoReplicaReason.NOT_ELIGIBLE
        usable = set(self._health.filter_usable([replica.replica_id for replica in eligible], now_s))
        with_capacity = {
            replica.replica_id: replica
            for replica in eligible
            if replica.replica_id in usable
            and replica.replica_id not in excluded
            and self.has_capacity(replica.replica_id, item, pool)
            and self._may_join_batch(replica.replica_id, item)
        }
        candidates = {
            replica_id: replica
            for replica_id, replica in with_capacity.items()
            if replica_id not in item.replicas_to_avoid
        } or with_capacity
        if not candidates:
            return NoReplicaReason.NO_CAPACITY
        views = self._make_views(candidates.values(), item, now_s)
        view = self._scheduler_by_role[pool.role].choose(views, item)
        return ReplicaChoice(candidates[view.replica_id], view.cached_tokens)

    def has_capacity(self, replica_id: str, item: WorkItem, pool: PoolSpec) -> bool:
        """Whether a replica has capacity for the request, by concurrency limits, batch size and KV memory."""
        load = self._load_tracker.load(replica_id)
        if load.own_requests >= pool.maximum_in_flight:
            return False
        if pool.role is MachineRole.APP:
            return load.own_requests < self._policy.app_concurrency
        if not load.kv_capacity_tokens:
            return load.own_requests < self._policy.initial_concurrency
        return self._batch_has_capacity(load, item) and self._memory_has_capacity(load, item)

    def time_per_token_by_replica_s(self, pool: PoolSpec, now_s: float) -> dict[str, float]:
        """Return the expected time per output token on each usable replica of a pool."""
        replica_ids = [replica.replica_id for replica in self.subset(pool)]
        return {
            replica_id: self._load_tracker.time_per_token_s(replica_id)
            for replica_id in self._health.filter_usable(replica_ids, now_s)
        }

    def _may_join_batch(self, replica_id: str, item: WorkItem) -> bool:
        """Whether the request's model may join the replica's batch.

        A batch request of a model that the replica does not prefer may join only while few
        requests of other models are there.
        """
        if (
            item.interactive
            or not self._policy.prefer_models
            or self.preferred_models.is_preferred(replica_id, item.model)
        ):
            return True
        return (
            self._other_model_requests(self._load_tracker.load(replica_id), item)
            <= self._policy.max_other_model_requests
        )

    def _other_model_requests(self, load: ReplicaLoad, item: WorkItem) -> int:
        return load.request_count - load.own_requests_by_model.get(item.model, 0)

    def _batch_has_capacity(self, load: ReplicaLoad, item: WorkItem) -> bool:
        if not item.interactive and load.reported_waiting > self._policy.batch_waiting_slack:
            return False
        if not load.running_limit:
            return True
        slack = (
            self._policy.interactive_waiting_slack if item.interactive else self._policy.batch_waiting_slack
        )
        return load.request_count < load.running_limit + slack

    def _memory_has_capacity(self, load: ReplicaLoad, item: WorkItem) -> bool:
        policy = self._policy
        watermark = policy.kv_watermark_interactive if item.interactive else policy.kv_watermark
        free_tokens = load.kv_capacity_tokens * watermark - load.kv_tokens
        return item.kv_tokens <= free_tokens or not load.request_count

    def _has_accepted_version(self, replica: ReplicaInfo, item: WorkItem) -> bool:
        if not item.minimum_version:
            return True
        version = self._load_tracker.load(replica.replica_id).version_by_model.get(item.model)
        return version is None or version >= item.minimum_version

    def _make_views(self, replicas: Iterable[ReplicaInfo], item: WorkItem, now_s: float) -> list[ReplicaView]:
        cached_blocks_by_replica: dict[str, int] = {}
        if self._policy.prefix_affinity and item.prompt_block_hashes:
            cached_blocks_by_replica = self._prefix_index.matched_blocks(item.prompt_block_hashes)
        return [
            self._make_view(replica, item, cached_blocks_by_replica.get(replica.replica_id, 0), now_s)
            for replica in replicas
        ]

    def _make_view(
        self, replica: ReplicaInfo, item: WorkItem, cached_blocks: int, now_s: float
    ) -> ReplicaView:
        load = self._load_tracker.load(replica.replica_id)
        return ReplicaView(
            replica_id=replica.replica_id,
            same_zone=replica.zone == self._zone,
            request_count=load.request_count,
            outstanding_tokens=load.outstanding_tokens,
            kv_tokens=load.kv_tokens,
            kv_capacity_tokens=load.kv_capacity_tokens,
            running_limit=load.running_limit,
            time_per_token_s=self._load_tracker.time_per_token_s(replica.replica_id),
            others_calls=max(0.0, load.others_calls),
            call_latency_s=self._load_tracker.call_latencies.latency_s(replica.replica_id, now_s),
            cached_tokens=cached_blocks * BLOCK_TOKENS,
            prefill_tokens=load.own_prefill_tokens,
            is_preferred=not self._policy.prefer_models
            or self.preferred_models.is_preferred(replica.replica_id, item.model),
            other_model_requests=self._other_model_requests(load, item),
        )

    def _invalidate_old_subsets(self) -> None:
        if self._directory.version != self._directory_version:
            self._subset_by_pool.clear()
            self._revocably_leaving_by_pool.clear()
            self._directory_version = self._directory.version

    def _choose_subset(self, pool: PoolSpec) -> list[ReplicaInfo]:
        live = [replica for replica in self._directory.replicas(pool) if replica.state is MachineState.LIVE]
        return choose_subset(
            self._daemon_id, self._zone, live, self._policy.subset_size, self._policy.subset_local_share
        )
