"""Which replica loads which version next; pure decisions of the leader.

Each version that a trainer names is loaded by its model's share of the replicas:
all of them when it has them alone, a third of them when three models share them.
With trainers that allow the version before, two shares are current at a time and
take turns, so replicas that hold neither stay as they are.

>>> limit = LoadLimit()
>>> limit.allowed(5), limit.allowed(23)
(2, 9)
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Mapping, Sequence

import msgspec

from passgate.eligibility.replica_info import ReplicaLife
from passgate.gateway.replicas import ReplicaState

MOST_SHARE = 0.4
"""Share of a service's replicas that load at once, while that makes each load no longer."""
SLOWED_DOWN = 1.6
"""A load that takes this many times the shortest one shows that too many load at once."""
LOWER, RAISE = 0.7, 0.02
"""What a load that took too long, and one that did not, do to the share."""
SLOW_REPLICA = 2.0
"""A replica that takes this many times the middle one's time loads last."""


class ModelNeed(msgspec.Struct, frozen=True, kw_only=True):
    """What is wanted of one model's weights."""

    model: str
    version: int
    """Newest version named."""
    lag: int = 0
    """How many versions behind it the trainer's jobs allow."""
    items: int = 0
    """Items of the newest job; all shall run at once."""


class LoadChoice(msgspec.Struct, frozen=True, kw_only=True):
    """A load that is wanted."""

    state: ReplicaState
    model: str


class LoadLimit:
    """How many replicas of one service load at once; learnt from the time that loads take."""

    def __init__(self) -> None:
        self._share = MOST_SHARE
        self._shortest_s = math.inf

    def allowed(self, replicas: int) -> int:
        """Return the number for a service of this many replicas."""
        return max(int(self._share * replicas), 1)

    def observe(self, load_s: float) -> None:
        """Count the time that a load took."""
        self._shortest_s = min(self._shortest_s, load_s)
        if load_s > SLOWED_DOWN * self._shortest_s:
            self._share *= LOWER
        else:
            self._share = min(self._share + RAISE, MOST_SHARE)


def plan_loads(
    needs: Sequence[ModelNeed],
    replicas: Sequence[ReplicaState],
    *,
    loading: Mapping[ReplicaLife, str],
    waiting: Collection[ReplicaLife] = frozenset(),
    now_s: float,
) -> list[LoadChoice]:
    """Return the loads that are wanted, the most urgent first.

    Models take turns: the one with the smallest share of its current replicas is next.

    Args:
        needs: the wanted versions.
        replicas: the replicas that stay.
        loading: replicas that are loading, with the model.
        waiting: replicas that get no order now.
        now_s: loop time.
    """
    plans = [_ModelPlan(need, replicas, loading, now_s) for need in needs]
    for plan in plans:
        plan.sort_candidates(plans)
    taken = {*loading, *waiting}
    choices: list[LoadChoice] = []
    while wanting := [plan for plan in plans if plan.wants_more]:
        plan = min(wanting, key=lambda plan: (plan.served, plan.newest))
        state = plan.candidates.pop()
        if state.life in taken:
            continue
        taken.add(state.life)
        plan.count_load(state)
        choices.append(LoadChoice(state=state, model=plan.need.model))
    return choices


class _ModelPlan:
    """One model's replicas while a plan is made."""

    def __init__(
        self,
        need: ModelNeed,
        replicas: Sequence[ReplicaState],
        loading: Mapping[ReplicaLife, str],
        now_s: float,
    ) -> None:
        self.need = need
        self.oldest = need.version - need.lag
        """Oldest version that may run new jobs."""
        self._now_s = now_s
        holders = [state for state in replicas if need.model in state.info.model_versions]
        loaded = [state for state in holders if loading.get(state.life) == need.model]
        settled = [state for state in holders if loading.get(state.life) != need.model]
        self.candidates = [state for state in settled if state.version_of(need.model) < need.version]
        """Replicas behind the newest version, the first to load at the end."""
        self.newest = len(holders) - len(self.candidates)
        self.current = len(loaded) + sum(1 for state in settled if self.serves(state))
        self._set_targets(holders)

    def _set_targets(self, holders: Sequence[ReplicaState]) -> None:
        share = sum(1.0 / len(state.info.model_versions) for state in holders)
        turns = 2 if self.need.lag else 1
        slots = max((state.info.slots for state in holders), default=1)
        at_once = math.ceil(self.need.items / max(slots, 1))
        self._target_newest = max(int(share), 1)
        self._target_current = min(max(math.ceil(share * turns), at_once), len(holders))

    def serves(self, state: ReplicaState) -> bool:
        """Whether a replica may run new jobs of the model."""
        return state.version_of(self.need.model) >= self.oldest

    @property
    def served(self) -> float:
        """Current replicas as a share of those wanted."""
        return self.current / max(self._target_current, 1)

    @property
    def wants_more(self) -> bool:
        """Whether a further load is wanted."""
        few = self.newest < self._target_newest or self.current < self._target_current
        return few and bool(self.candidates)

    def count_load(self, state: ReplicaState) -> None:
        """Count a replica as loading."""
        self.current += not self.serves(state)
        self.newest += 1

    def sort_candidates(self, plans: Sequence[_ModelPlan]) -> None:
        """Put the replicas that load first at the end.

        Replicas that serve no new job come first, of these the ones that were current
        last, so that the same ones take turns; among equals those that serve few models.
        """
        if not self.wants_more:
            return
        middle_s = statistics.median(state.recent_latency_s(self._now_s) for state in self.candidates)

        def place(state: ReplicaState) -> tuple[bool, bool, int, int, float]:
            slow = state.recent_latency_s(self._now_s) > SLOW_REPLICA * middle_s
            version = state.version_of(self.need.model)
            serves = self.serves(state)
            serving = sum(1 for plan in plans if plan.serves(state))
            return slow, serves, version if serves else -version, serving, state.load(self._now_s)

        self.candidates.sort(key=place, reverse=True)
