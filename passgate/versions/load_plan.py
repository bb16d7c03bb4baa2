"""Chooses which replica loads which version next; pure functions, used by the leader.

Each published version is loaded by its model's share of the replicas: a third of them if they serve three
models.  If the trainer also accepts the previous version, two shares serve the model and load in turn, and
the other replicas keep what they have.

>>> limit = LoadLimit()
>>> limit.max_loads(5), limit.max_loads(23)
(2, 9)
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Mapping, Sequence

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.gateway.replica_table import ReplicaState

MAX_LOADING_SHARE = 0.4
"""Largest share of a service's replicas that load at the same time."""
SLOW_LOAD_FACTOR = 1.6
"""A load this many times as long as the shortest one shows that too many run at the same time."""
SHARE_DECREASE_FACTOR, SHARE_INCREASE = 0.7, 0.02
"""Factor applied to the share after a slow load, and amount added after any other."""
SLOW_REPLICA_FACTOR = 2.0
"""A replica with this many times the median latency loads last."""


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What the jobs of one model require of its weights."""

    model: str
    version: int
    """Newest published version."""
    lag: int = 0
    """Number of versions behind the newest that the trainer's jobs accept."""
    items: int = 0
    """Items of the newest job, all of which should run at the same time."""


class PlannedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load that should be started."""

    state: ReplicaState
    model: str


class LoadLimit:
    """Adaptive limit of the concurrent loads in one service, based on the duration of past loads."""

    def __init__(self) -> None:
        self._share = MAX_LOADING_SHARE
        self._shortest_s = math.inf

    def max_loads(self, replica_count: int) -> int:
        """Return the number of concurrent loads allowed in a service of this many replicas; at least 1."""
        return max(int(self._share * replica_count), 1)

    def record_load_time(self, load_s: float) -> None:
        """Adapt the limit to the duration of a finished load."""
        self._shortest_s = min(self._shortest_s, load_s)
        if load_s > SLOW_LOAD_FACTOR * self._shortest_s:
            self._share *= SHARE_DECREASE_FACTOR
        else:
            self._share = min(self._share + SHARE_INCREASE, MAX_LOADING_SHARE)


def plan_loads(
    demands: Sequence[ModelDemand],
    replicas: Sequence[ReplicaState],
    *,
    model_by_loading_replica: Mapping[ReplicaIncarnation, str],
    excluded: Collection[ReplicaIncarnation] = frozenset(),
    now_s: float,
) -> list[PlannedLoad]:
    """Return the loads that should be started, the most urgent first.

    Models take turns: next is the one with the smallest share of its required serving replicas.

    Args:
        demands: the required versions.
        replicas: the replicas that are not about to leave.
        model_by_loading_replica: replicas that are loading, with the model.
        excluded: replicas that get no order now.
        now_s: loop time.
    """
    plans = [_ModelPlan(demand, replicas, model_by_loading_replica, now_s) for demand in demands]
    for plan in plans:
        plan.sort_candidates(plans)
    unavailable = {*model_by_loading_replica, *excluded}
    planned: list[PlannedLoad] = []
    while unsatisfied := [plan for plan in plans if plan.needs_load]:
        plan = min(unsatisfied, key=lambda plan: (plan.served_share, plan.newest_count))
        state = plan.candidates.pop()
        if state.incarnation in unavailable:
            continue
        unavailable.add(state.incarnation)
        plan.add_load(state)
        planned.append(PlannedLoad(state=state, model=plan.demand.model))
    return planned


class _ModelPlan:
    """One model's replicas and targets during planning; ``add_load`` updates its counts."""

    def __init__(
        self,
        demand: ModelDemand,
        replicas: Sequence[ReplicaState],
        model_by_loading_replica: Mapping[ReplicaIncarnation, str],
        now_s: float,
    ) -> None:
        self.demand = demand
        self.oldest_servable_version = demand.version - demand.lag
        """Oldest version that may serve new jobs."""
        self._now_s = now_s
        holders = [state for state in replicas if demand.model in state.info.model_versions]
        loading = [
            state for state in holders if model_by_loading_replica.get(state.incarnation) == demand.model
        ]
        settled = [
            state for state in holders if model_by_loading_replica.get(state.incarnation) != demand.model
        ]
        self.candidates = [state for state in settled if state.weight_version(demand.model) < demand.version]
        """Replicas that lack the newest version; the last one loads first."""
        self.newest_count = len(holders) - len(self.candidates)
        self.serving_count = len(loading) + sum(1 for state in settled if self.serves(state))
        self._set_targets(holders)

    def _set_targets(self, holders: Sequence[ReplicaState]) -> None:
        share = sum(1.0 / len(state.info.model_versions) for state in holders)
        serving_shares = 2 if self.demand.lag else 1
        slots = max((state.info.slots for state in holders), default=1)
        replicas_for_items = math.ceil(self.demand.items / max(slots, 1))
        self._target_newest_count = max(int(share), 1)
        self._target_serving_count = min(
            max(math.ceil(share * serving_shares), replicas_for_items), len(holders)
        )

    def serves(self, state: ReplicaState) -> bool:
        """Return whether a replica may serve new jobs of the model."""
        return state.weight_version(self.demand.model) >= self.oldest_servable_version

    @property
    def served_share(self) -> float:
        """Serving replicas divided by the required number."""
        return self.serving_count / max(self._target_serving_count, 1)

    @property
    def needs_load(self) -> bool:
        """Whether the model is below a target and has a replica to load."""
        below_target = (
            self.newest_count < self._target_newest_count or self.serving_count < self._target_serving_count
        )
        return below_target and bool(self.candidates)

    def add_load(self, state: ReplicaState) -> None:
        """Count a replica as loading the newest version."""
        self.serving_count += not self.serves(state)
        self.newest_count += 1

    def sort_candidates(self, plans: Sequence[_ModelPlan]) -> None:
        """Sort the candidates so that the last one should load first.

        Slow replicas load last.  Replicas that can't serve new jobs load before those that can.  Among the
        former the most recently current load first, so that the same replicas take turns; among the latter
        those with the oldest version.  Then come those that serve few models, then the least loaded.
        """
        if not self.needs_load:
            return
        median_s = statistics.median(state.expected_latency_s(self._now_s) for state in self.candidates)

        def sort_key(state: ReplicaState) -> tuple[bool, bool, int, int, float]:
            slow = state.expected_latency_s(self._now_s) > SLOW_REPLICA_FACTOR * median_s
            version = state.weight_version(self.demand.model)
            serves = self.serves(state)
            models_served = sum(1 for plan in plans if plan.serves(state))
            return slow, serves, version if serves else -version, models_served, state.load(self._now_s)

        self.candidates.sort(key=sort_key, reverse=True)
