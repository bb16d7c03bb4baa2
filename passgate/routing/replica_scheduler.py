"""Choice of one replica among those that have room: small interchangeable schedulers.

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
"""A replica's surplus of others' calls counts only beyond this."""
PREEMPTION_PENALTY_S = 5.0
"""Added in proportion to how far the request would push KV memory over its capacity."""


class ReplicaView(msgspec.Struct, kw_only=True):
    """One replica that may take the request, as the schedulers see it."""

    replica_id: str
    same_zone: bool = True
    request_count: int = 0
    outstanding_tokens: int = 0
    kv_tokens: int = 0
    kv_capacity_tokens: int = 0
    running_limit: int = 0
    """Largest batch of the engine as far as known; 0 when not known."""
    token_s: float = 0.03
    """Time per output token of one stream."""
    call_s: float = 0.0
    """Time per call of an application replica."""
    others_calls: float = 0.0
    """Mean of others' calls on an application replica."""
    cached_tokens: int = 0
    """Leading prompt tokens believed to be cached there."""
    prefill_tokens: int = 0
    """Uncached prompt tokens that wait there already."""
    home: bool = True
    """Whether the request's model is the one that is preferred there."""
    foreign_requests: int = 0
    """Requests there that are, or may be, for other models."""


class ReplicaScheduler(Protocol):
    """Chooses one of the replicas, all of which have room."""

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return the chosen view; ``views`` is not empty."""


class RoundRobinScheduler:
    """Baseline: each replica in its turn."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(self, views: Sequence[ReplicaView], item: WorkItem | None) -> ReplicaView:
        """Return the first replica after the last chosen one, by identifier."""
        pool = item.pool if item is not None else ""
        last = self._last.get(pool, "")
        ordered = sorted(views, key=lambda view: view.replica_id)
        chosen = next((view for view in ordered if view.replica_id > last), ordered[0])
        self._last[pool] = chosen.replica_id
        return chosen


class FewestRequestsScheduler:
    """Baseline: the replica with the fewest requests; ties are broken at random."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return a replica with the fewest requests."""
        return min(views, key=lambda view: (view.request_count, self._random.random()))


class ProjectedFinishScheduler:
    """The replica on which the request is projected to finish first.

    The projection adds the wait for a place in the batch, the prefill of what is
    not cached, and the decoding at the replica's observed time per token.
    """

    def __init__(self, policy: RoutingPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return the replica with the smallest projection; ties are broken at random."""
        compared = self._sample(views)
        return min(compared, key=lambda view: (self.projected_s(view, item), self._random.random()))

    def projected_s(self, view: ReplicaView, item: WorkItem) -> float:
        """Return the projected time to finish ``item`` on a replica, in seconds."""
        policy = self._policy
        prefill_tokens = view.prefill_tokens + max(0, item.prompt_tokens - view.cached_tokens)
        token_s = view.token_s
        if not view.home:
            token_s *= 1.0 + policy.mix_factor * (2.0 if view.foreign_requests else 1.0)
        projected_s = prefill_tokens / policy.prefill_tokens_per_s
        projected_s += item.expected_tokens * token_s
        projected_s += self._wait_s(view, token_s)
        projected_s += 0.0 if view.same_zone else policy.zone_cost_s
        return projected_s + self._memory_penalty_s(view, item)

    def _wait_s(self, view: ReplicaView, token_s: float) -> float:
        """Time until a place in the batch is free: 0 while the batch is not full."""
        excess = view.request_count + 1 - view.running_limit
        if not view.running_limit or excess <= 0:
            return 0.0
        mean_left = view.outstanding_tokens / max(view.request_count, 1)
        return mean_left * token_s * excess / view.running_limit

    def _memory_penalty_s(self, view: ReplicaView, item: WorkItem) -> float:
        if not view.kv_capacity_tokens:
            return 0.0
        share = (view.kv_tokens + item.kv_tokens) / view.kv_capacity_tokens
        return PREEMPTION_PENALTY_S * max(0.0, share - 1.0)

    def _sample(self, views: Sequence[ReplicaView]) -> Sequence[ReplicaView]:
        if 0 < self._policy.choices < len(views):
            return self._random.sample(views, self._policy.choices)
        return views


class CallLatencyScheduler:
    """For application calls: the replica with the least latency times calls in flight.

    Latency is the replica's observed time per call; one more call there is
    expected to wait for those of this daemon that are in flight.  Of others' calls
    only what the replica has more than the least busy one counts, and only when
    that is clear: they are known as a mean of old reports.
    """

    def __init__(self, policy: RoutingPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random

    def choose(self, views: Sequence[ReplicaView], item: WorkItem) -> ReplicaView:
        """Return the replica with the smallest product; ties are broken at random."""
        least_s = min(view.others_calls * view.call_s for view in views)
        return min(views, key=lambda view: (self._projected_s(view, least_s), self._random.random()))

    def _projected_s(self, view: ReplicaView, least_s: float) -> float:
        zone_s = 0.0 if view.same_zone else self._policy.zone_cost_s
        own_s = (view.call_s + zone_s) * (view.request_count + 1)
        surplus_s = (view.others_calls - OTHERS_CALLS_NOISE) * view.call_s - least_s
        return own_s + max(0.0, surplus_s)


def new_scheduler(
    policy: RoutingPolicy, random: Random, role: MachineRole = MachineRole.ENGINE
) -> ReplicaScheduler:
    """Return the scheduler that a policy names, for one kind of back end."""
    if policy.scheduler is SchedulerKind.ROUND_ROBIN:
        return RoundRobinScheduler()
    if policy.scheduler is SchedulerKind.FEWEST_REQUESTS:
        return FewestRequestsScheduler(random)
    if role is MachineRole.APP:
        return CallLatencyScheduler(policy, random)
    return ProjectedFinishScheduler(policy, random)
