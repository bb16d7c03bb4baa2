"""State shared by the calls of one dispatcher."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from passgate.errors import NoMatchingPool
from passgate.interfaces import AppClient, EngineClient
from passgate.routing.counters import RoutingCounters
from passgate.routing.policies import RoutingPolicy
from passgate.routing.replica_slots import ReplicaSlots
from passgate.routing.retry_budget import RetryBudget
from passgate.state.specs import PoolSpec, PriorityClassSpec

if TYPE_CHECKING:
    from passgate.state.configuration import ConfigurationState


class RoutingContext:
    """Back-end clients, pool configuration, replica slots, retry budget and counters of one dispatcher.

    The dispatcher sets ``slots`` after it has created the context.
    """

    def __init__(
        self,
        engine_client: EngineClient,
        app_client: AppClient,
        configuration: ConfigurationState,
        policy: RoutingPolicy,
        counters: RoutingCounters,
    ) -> None:
        self.engine_client = engine_client
        self.app_client = app_client
        self.policy = policy
        self.counters = counters
        self.retry_budget = RetryBudget(policy.retry_ratio, policy.retry_burst)
        self.slots: ReplicaSlots
        self._configuration = configuration
        self._key_counter = itertools.count(1)

    def next_key(self) -> int:
        """Return a key that is unique within this daemon's process."""
        return next(self._key_counter)

    def pool(self, name: str) -> PoolSpec:
        """Return a pool's specification; raises NoMatchingPool when no pool has that name."""
        stored_pool = self._configuration.get("Pool", name)
        if stored_pool is None:
            raise NoMatchingPool(f"no pool {name!r}", pool=name)
        return stored_pool.spec

    def pools(self) -> list[PoolSpec]:
        """Return the specifications of all pools."""
        return [stored_pool.spec for stored_pool in self._configuration.objects("Pool")]

    def models_sharing_replicas(self, pool: PoolSpec) -> list[str]:
        """Return the models of all pools whose selector and role are those of ``pool``."""
        return [
            other.model
            for other in self.pools()
            if (other.selector, other.role) == (pool.selector, pool.role)
        ]

    def priority_class(self, name: str) -> PriorityClassSpec:
        """Return a priority class; raises NotFound when there is none of that name."""
        return self._configuration.priority_class(name)
