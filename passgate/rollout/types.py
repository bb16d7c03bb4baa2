"""Typed views, targets, orders and progress of a weight rollout.

>>> RolloutTarget(model="grade", version=7).wants_version(7)
True
"""

from __future__ import annotations

import enum

import msgspec

from passgate.schema import OrderKind

STORE_SOURCE = "store"
"""Value of ``EngineOrder.source`` that names the platform's weight store."""


class ReplicaView(msgspec.Struct, frozen=True, kw_only=True):
    """One replica of the pool as the directory shows it."""

    replica_id: str
    address: str
    zone: str
    generation: int = 0
    outstanding_tokens: int = 0
    """Load at the last report; the least loaded replicas swap first."""


class RolloutTarget(msgspec.Struct, frozen=True, kw_only=True):
    """What each replica of the pool shall run of one model."""

    model: str
    version: int
    """Zero when no usable version is published; then nothing is ordered."""
    withdrawn: frozenset[int] = frozenset()
    """Versions known bad: never a source, never the goal of a roll-back."""
    adapters: tuple[str, ...] = ()
    engine_role: str = ""
    """Role that the engine shall take, such as ``prefill``; empty leaves it as it is."""

    def wants_version(self, version: int) -> bool:
        """Return whether a replica that runs ``version`` needs no other weights."""
        return self.version in (0, version)


class DistributionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How weights spread from the store over the engines."""

    fan_out: int = 2
    """Most engines that fetch from one engine at the same time."""
    cut_through: bool = True
    """An engine passes on pieces while it still fetches; given up when engines refuse it."""
    cut_through_refusals: int = 3
    """Failed fetches from engines that still fetched, after which only whole copies are used."""
    max_crossings: int = 2
    """Most fetches of one version into one zone from other zones."""
    store_streams: int = 1
    """Most fetches from the store at the same time."""
    max_store_copies: int = 1
    """Most fetches of one version from the store, apart from retries."""


class RolloutSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Knobs of a rollout; times in seconds."""

    capacity_floor: float = 0.75
    """Share of the pool's healthy replicas that keep serving at any time."""
    zone_capacity_floor: float = 0.5
    """The same within each zone."""
    distribution: DistributionSettings = DistributionSettings()
    swap_mode: str = "swap_running"
    """Name in :data:`passgate.rollout.swap_modes.SWAP_MODES`."""
    wait_for_all_staged: bool = False
    """Start no activation before every healthy replica has staged; for baselines only."""
    retry_base_s: float = 0.25
    retry_max_s: float = 15.0
    seed_retry_s: float = 0.1
    seed_patience_s: float = 2.0
    """Time to wait for another zone's seed before the store is asked."""
    swap_attempts: int = 2
    """Failed activations after which the previous version is put back."""
    keeps_previous: bool = False
    """Engines keep the version before a swap in spare memory, ready to activate."""
    source_attempts: int = 2
    """Failed fetches from engines after which a replica fetches from the store."""
    report_lag_s: float = 2.0
    """Reports read sooner than this after a swap may be older than the swap."""
    swap_doubt_s: float = 10.0
    """A swap whose answer was lost counts as interrupting service for so long, unless proved over."""
    verify_interval_s: float = 60.0
    """A replica thought to be on its target is read again after this time."""


class PlannedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One order that the reconciler wants sent now."""

    replica_id: str
    address: str
    kind: OrderKind
    model: str
    version: int = 0
    source: str = ""
    argument: str = ""
    attempt: int = 0
    roll_back: bool = False
    foreign: bool = False
    """Fetches from an engine of another zone's manager, which may not be ready yet."""
    confirms: bool = False
    """The engine reported this version already; the order proves it under the fence."""

    def order_id(self, scope: str, fence: int) -> str:
        """Return an identifier that is the same for a repeated send of this order."""
        parts = [scope, fence, self.replica_id, self.kind.value, self.model, self.version, self.argument]
        return "/".join(str(part) for part in [*parts, self.attempt])


class Outcome(enum.Enum):
    """What became of one order."""

    DONE = "done"
    FAILED = "failed"
    """The engine tried and failed; it may serve nothing until it is rolled back."""
    REFUSED = "refused"
    """The engine refused before it changed anything."""
    UNREACHABLE = "unreachable"
    """The order certainly did not arrive."""
    IN_DOUBT = "in_doubt"
    """The order may have taken effect."""


class RolloutProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one model's replicas, for metrics and ``passgate watch``."""

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
        """Whether every replica runs the target."""
        return self.on_target == self.replicas
