"""What the running calls of one dispatcher share."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from passgate.errors import NoMatchingPool
from passgate.interfaces import AppClient, EngineClient
from passgate.routing.counters import RoutingCounters
from passgate.routing.gate import Gate
from passgate.routing.policies import RoutingPolicy
from passgate.routing.retry_budget import RetryBudget
from passgate.state.specs import PoolSpec, PriorityClassSpec

if TYPE_CHECKING:
    from passgate.state.configuration import ConfigurationState


class RoutingContext:
    """Clients, configuration, gate, budget and counters."""

    def __init__(
        self,
        engine: EngineClient,
        app: AppClient,
        configuration: ConfigurationState,
        policy: RoutingPolicy,
        counters: RoutingCounters,
    ) -> None:
        self.engine = engine
        self.app = app
        self.policy = policy
        self.counters = counters
        self.retry_budget = RetryBudget(policy.retry_ratio, policy.retry_burst)
        self.gate: Gate
        self._configuration = configuration
        self._keys = itertools.count(1)

    def next_key(self) -> int:
        """Return a number that no other queued or running request has."""
        return next(self._keys)

    def pool(self, name: str) -> PoolSpec:
        """Return a pool's specification; raises NoMatchingPool."""
        found = self._configuration.get("Pool", name)
        if found is None:
            raise NoMatchingPool(f"no pool {name!r}", pool=name)
        return found.spec

    def pools(self) -> list[PoolSpec]:
        """Return the specifications of all pools."""
        return [found.spec for found in self._configuration.objects("Pool")]

    def sharing_models(self, pool: PoolSpec) -> list[str]:
        """Return the models of all pools with the same replicas."""
        return [
            other.model
            for other in self.pools()
            if (other.selector, other.role) == (pool.selector, pool.role)
        ]

    def priority_class(self, name: str) -> PriorityClassSpec:
        """Return a priority class; raises NotFound."""
        return self._configuration.priority_class(name)
