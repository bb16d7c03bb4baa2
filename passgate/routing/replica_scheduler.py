"""Schedulers that choose one of the replicas that have capacity for a request.

>>> scheduler = RoundRobinScheduler()
>>> views = [ReplicaView(replica_id=name) for name in ("e1", "e2")]
>>> [scheduler.choose(views, None).replica_id for _ in range(3)]
['e1', 'e2', 'e1']
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

import msgspec

from passgate.routing.policies import RoutingPolicy, SchedulerKind
from passgate.routing.work import WorkItem
from passgate.schema import MachineRole

OTHERS_CALLS_NOISE = 1.0
"""Number of others' calls on an application replica that is ignored as noise."""
PREEMPTION_PENALTY_S = 5.0
"""Time added to the projection when the request would need twice the KV memory; else in proportion."""


class ReplicaView(msgspec.Struct, kw_only=True):
    """State of one replica with capacity for the request, as input to the schedulers."""

    replica_id: str
    same_zone: bool = True
    request_count: int = 0
    outstanding_tokens: int = 0
    kv_tokens: int = 0
    kv_capacity_tokens: int = 0
    running_limit: int = 0
    """Estimated largest batch of the engine; 0 while unknown."""
    time_per_token_s: float = 0.03
    """Expected time per output token of one stream."""
    call_latency_s: float = 0.0
    """Expected latency of a call to an application replica."""
    others_calls: float = 0.0
    """Smoothed number of others' calls on an application replica."""
    cached_tokens: int = 0
    """Leading prompt tokens that the replica probably caches."""
    prefill_tokens: int = 0
    """Uncached prompt tokens of this daemon's requests there that have no output yet."""
    is_preferred: bool = True
    """Whether the replica prefers the request's model."""
    other_model_requests: int = 0
    """Requests there that are, or may be, for other models than the request's."""


class ReplicaScheduler(Protocol):
    """Chooses one of the replicas with capacity for a request."""

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return the chosen view; ``views`` must not be empty."""


class RoundRobinScheduler:
    """Baseline: chooses the replicas of a pool in turn."""

    def __init__(self) -> None:
        self._last_replica_by_pool: dict[str, str] = {}

    def choose(self, views: Sequence[ReplicaView], item: WorkItem | None) -> ReplicaView:
        """Return the replica that follows the last chosen one by identifier, or the first one."""
        pool = item.pool if item is not None else ""
        last = self._last_replica_by_pool.get(pool, "")
        ordered = sorted(views, key=lambda view: view.replica_id)
        chosen = next((view for view in ordered if view.replica_id > last), ordered[0])
        self._last_replica_by_pool[pool] = chosen.replica_id
        return chosen


class FewestRequestsScheduler:
    """Baseline: chooses a replica with the fewest requests; ties are broken at random."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return a replica with the fewest requests."""
        return min(views, key=lambda view: (view.request_count, self._random.random()))


class ProjectedFinishScheduler:
    """Chooses the replica on which the request is projected to finish first.

    The projection is the sum of the wait for a slot in the batch, the prefill of uncached
    prompt tokens, the decoding at the replica's time per token, and penalties for another
    zone and for exceeding the KV memory.
    """

    def __init__(self, policy: RoutingPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return the replica with the earliest projected finish; ties are broken at random."""
        compared = self._sample(views)
        return min(compared, key=lambda view: (self.projected_s(view, item), self._random.random()))

    def projected_s(self, view: ReplicaView, item: WorkItem) -> float:
        """Return the projected time from now until the replica has finished ``item``."""
        policy = self._policy
        prefill_tokens = view.prefill_tokens + max(0, item.prompt_tokens - view.cached_tokens)
        time_per_token_s = view.time_per_token_s
        if not view.is_preferred:
            time_per_token_s *= 1.0 + policy.other_model_slowdown * (
                2.0 if view.other_model_requests else 1.0
            )
        projected_s = prefill_tokens / policy.prefill_tokens_per_s
        projected_s += item.expected_tokens * time_per_token_s
        projected_s += self._wait_s(view, time_per_token_s)
        projected_s += 0.0 if view.same_zone else policy.cross_zone_cost_s
        return projected_s + self._memory_penalty_s(view, item)

    def _wait_s(self, view: ReplicaView, time_per_token_s: float) -> float:
        """Return the expected time until a slot in the batch is free; 0 while it is not known to be full."""
        excess = view.request_count + 1 - view.running_limit
        if not view.running_limit or excess <= 0:
            return 0.0
        mean_remaining_tokens = view.outstanding_tokens / max(view.request_count, 1)
        return mean_remaining_tokens * time_per_token_s * excess / view.running_limit

    def _memory_penalty_s(self, view: ReplicaView, item: WorkItem) -> float:
        if not view.kv_capacity_tokens:
            return 0.0
        kv_share = (view.kv_tokens + item.kv_tokens) / view.kv_capacity_tokens
        return PREEMPTION_PENALTY_S * max(0.0, kv_share - 1.0)

    def _sample(self, views: Sequence[ReplicaView]) -> Sequence[ReplicaView]:
        if 0 < self._policy.sampled_replicas < len(views):
            return self._random.sample(views, self._policy.sampled_replicas)
        return views


class CallLatencyScheduler:
    """Chooses the application replica with the smallest projected latency.

    The projection is the replica's latency times the number of this daemon's calls there,
    including the new one.  Others' calls are known only as a mean of old reports, so they
    count only as far as they clearly exceed those of the least busy replica.
    """

    def __init__(self, policy: RoutingPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return the replica with the smallest projected latency; ties are broken at random."""
        least_s = min(view.others_calls * view.call_latency_s for view in views)
        return min(views, key=lambda view: (self._projected_s(view, least_s), self._random.random()))

    def _projected_s(self, view: ReplicaView, least_others_s: float) -> float:
        zone_s = 0.0 if view.same_zone else self._policy.cross_zone_cost_s
        own_s = (view.call_latency_s + zone_s) * (view.request_count + 1)
        surplus_s = (view.others_calls - OTHERS_CALLS_NOISE) * view.call_latency_s - least_others_s
        return own_s + max(0.0, surplus_s)


def make_scheduler(
    policy: RoutingPolicy, random: Random, role: MachineRole = MachineRole.ENGINE
) -> ReplicaScheduler:
    """Return the scheduler that a policy selects for replicas of a role."""
    if policy.scheduler is SchedulerKind.ROUND_ROBIN:
        return RoundRobinScheduler()
    if policy.scheduler is SchedulerKind.FEWEST_REQUESTS:
        return FewestRequestsScheduler(random)
    if role is MachineRole.APP:
        return CallLatencyScheduler(policy, random)
    return ProjectedFinishScheduler(policy, random)
