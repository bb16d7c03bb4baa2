"""Chooses which replicas load the newest weights next; used by the leader, without side effects.

A replica may hold weights of several models.  The newest version of a model is loaded by the model's share
of the replicas that hold the model: a third if each of them holds three models.  If the newest job accepts
older versions too, twice the share should hold an accepted version.  More replicas load if the job has more
items than these replicas have slots.  The others keep the versions that they have.

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
from passgate.gateway.replica_state import ReplicaState

MAX_LOADING_SHARE = 0.4
"""Largest share of a service's replicas that may load at the same time."""
SLOW_LOAD_FACTOR = 1.6
"""A load that takes more than this many times the shortest one counts as slow, as too many run at once."""
SHARE_DECREASE_FACTOR, SHARE_INCREASE = 0.7, 0.02
"""Factor applied to the share after a slow load, and amount added after any other."""
SLOW_REPLICA_FACTOR = 2.0
"""Replicas with more than this many times the median latency load last."""


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """The newest version of a model's weights, and what the newest job requires of the replicas."""

    model: str
    version: int
    """Newest published version."""
    lag: int = 0
    """How many versions behind the newest one the job accepts."""
    items: int = 0
    """Number of items of the job, all of which should run at the same time."""


class PlannedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load of the newest version of a model that should be started."""

    state: ReplicaState
    model: str


class LoadLimit:
    """Adaptive limit on the concurrent loads in one service: slow loads lower it, others raise it again."""

    def __init__(self) -> None:
        self._share = MAX_LOADING_SHARE
        self._shortest_s = math.inf

    def max_loads(self, replica_count: int) -> int:
        """Return the number of concurrent loads allowed in a service with this many replicas, at least 1."""
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

    Each load goes to the model that has the smallest share of its required serving replicas at that point.

    Args:
        demands: the required versions.
        replicas: the replicas that may get orders.
        model_by_loading_replica: model that is being loaded, by the replica that loads it.
        excluded: further replicas that get no order now.
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
    """One model's replicas and targets during planning."""

    def __init__(
        self,
        demand: ModelDemand,
        replicas: Sequence[ReplicaState],
        model_by_loading_replica: Mapping[ReplicaIncarnation, str],
        now_s: float,
    ) -> None:
        self.demand = demand
        self.oldest_servable_version = demand.version - demand.lag
        """Oldest version that the newest job accepts."""
        self._now_s = now_s
        holders = [state for state in replicas if demand.model in state.info.model_versions]
        loading = [
            state for state in holders if model_by_loading_replica.get(state.incarnation) == demand.model
        ]
        settled = [
            state for state in holders if model_by_loading_replica.get(state.incarnation) != demand.model
        ]
        self.candidates = [state for state in settled if state.weight_version(demand.model) < demand.version]
        """Replicas that lack the newest version and don't load it; the last one should load first."""
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
        """Return whether a replica's version may serve the newest job of the model."""
        return state.weight_version(self.demand.model) >= self.oldest_servable_version

    @property
    def served_share(self) -> float:
        """Number of replicas that serve the model or load it, divided by the required number."""
        return self.serving_count / max(self._target_serving_count, 1)

    @property
    def needs_load(self) -> bool:
        """Whether the model is below a target and a replica is left that could load the newest version."""
        below_target = (
            self.newest_count < self._target_newest_count or self.serving_count < self._target_serving_count
        )
        return below_target and bool(self.candidates)

    def add_load(self, state: ReplicaState) -> None:
        """Count a replica as if it had already loaded the newest version."""
        self.serving_count += not self.serves(state)
        self.newest_count += 1

    def sort_candidates(self, plans: Sequence[_ModelPlan]) -> None:
        """Sort the candidates by the order in which they should load, the first to load at the end.

        Slow replicas load last.  Otherwise, replicas that can't serve the newest job load first: those with
        the newest version before others, so that the same replicas take turns.  Replicas that can serve it
        follow, those with the oldest version first.  Ties are broken by the number of models served, then by
        load, fewest or least first.
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
