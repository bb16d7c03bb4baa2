"""Values of a weight rollout: replicas, targets, settings, orders, outcomes and progress.

>>> RolloutTarget(model="grade", version=7).accepts_version(7)
True
"""

from __future__ import annotations

import enum

import msgspec

from passgate.schema import OrderKind

STORE_SOURCE = "store"
"""Value of ``EngineOrder.source`` that names the platform's weight store."""


class ReplicaView(msgspec.Struct, frozen=True, kw_only=True):
    """One replica of the pool, as the replica directory lists it."""

    replica_id: str
    address: str
    zone: str
    generation: int = 0
    outstanding_tokens: int = 0
    """Load in the last report; the least loaded replicas swap first."""


class RolloutTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Version, adapters and engine role of one model that each replica of the pool should have."""

    model: str
    version: int
    """Zero when no usable version is published; no orders are sent then."""
    withdrawn: frozenset[int] = frozenset()
    """Versions that a roll-back never activates."""
    adapters: tuple[str, ...] = ()
    engine_role: str = ""
    """Engine role to set, such as ``prefill``; empty leaves the role unchanged."""

    def accepts_version(self, version: int) -> bool:
        """Return whether a replica that runs ``version`` needs no other version."""
        return self.version in (0, version)


class DistributionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on how weights are copied from the store and between engines."""

    fan_out: int = 2
    """Maximum number of engines that fetch from one engine at the same time."""
    cut_through: bool = True
    """Engines serve as sources while they are still fetching, until such fetches keep failing."""
    cut_through_refusals: int = 3
    """Failed fetches from still-fetching engines after which only complete copies are sources."""
    max_crossings: int = 2
    """Maximum number of fetches of one version into a zone from other zones, once the zone has a copy."""
    store_streams: int = 1
    """Maximum number of concurrent fetches from the store."""
    max_store_copies: int = 1
    """Store fetches of one version after which the store is used only if no engine can be the source."""


class RolloutSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a rollout; times in seconds."""

    capacity_floor: float = 0.75
    """Minimum share of the pool's healthy replicas that keep serving."""
    zone_capacity_floor: float = 0.5
    """Minimum share of each zone's healthy replicas that keep serving."""
    distribution: DistributionSettings = DistributionSettings()
    swap_mode: str = "swap_running"
    """Name in :data:`passgate.rollout.swap_modes.SWAP_MODES`."""
    wait_for_all_staged: bool = False
    """Activate nothing before every reachable replica has staged; for baselines only."""
    retry_base_s: float = 0.25
    retry_max_s: float = 15.0
    seed_retry_s: float = 0.1
    seed_timeout_s: float = 2.0
    """Time spent on retries of another zone's seed before the store is used instead."""
    swap_attempts: int = 2
    """Failed activations after which the previous version is activated again."""
    engines_keep_previous: bool = False
    """Whether engines keep the previous version in spare memory after a swap."""
    source_attempts: int = 2
    """Failed fetches from engines after which a replica fetches from the store only."""
    report_lag_s: float = 2.0
    """Longest delay of a report: one read sooner than this after a swap may be older than it."""
    unconfirmed_swap_s: float = 10.0
    """Time for which a swap of unknown outcome counts as interrupting service."""
    verify_interval_s: float = 60.0
    """Interval at which the report of a replica is read again."""


class PlannedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One order to an engine, to be sent now."""

    replica_id: str
    address: str
    kind: OrderKind
    model: str
    version: int = 0
    source: str = ""
    argument: str = ""
    attempt: int = 0
    is_rollback: bool = False
    from_other_zone: bool = False
    """Fetches from another zone's seed, which may not have the version yet."""
    is_confirmation: bool = False
    """Activates the version that the engine already reports, to make it accept the current fence."""

    def order_id(self, scope: str, fence: int) -> str:
        """Return the idempotency key of this order: equal whenever the order is sent again."""
        parts = [scope, fence, self.replica_id, self.kind.value, self.model, self.version, self.argument]
        return "/".join(str(part) for part in [*parts, self.attempt])


class OrderOutcome(enum.Enum):
    """Outcome of one order."""

    DONE = "done"
    FAILED = "failed"
    """The engine failed partway and may have no usable weights until another activation."""
    REFUSED = "refused"
    """The engine refused the order and changed nothing."""
    UNREACHABLE = "unreachable"
    """The order did not reach the engine."""
    UNKNOWN = "unknown"
    """No answer: the order may or may not have taken effect."""


class RolloutProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of one model's replicas by their state in the rollout."""

    model: str
    version: int
    replicas: int
    on_target: int
    staging: int
    swapping: int
    waiting: int
    failing: int
    store_copies: int
    """Fetches of this version from the store so far, retries included."""

    @property
    def settled(self) -> bool:
        """Whether every replica has reached the target."""
        return self.on_target == self.replicas
