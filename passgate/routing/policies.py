"""Parameters of routing, and named sets of them.

>>> POLICIES["round_robin"].scheduler
<SchedulerKind.ROUND_ROBIN: 'round_robin'>
"""

from __future__ import annotations

import enum

import msgspec


class SchedulerKind(enum.Enum):
    """How a replica is chosen."""

    ROUND_ROBIN = "round_robin"
    FEWEST_REQUESTS = "fewest_requests"
    PROJECTED_FINISH = "projected_finish"


class QueueKind(enum.Enum):
    """Order in which queued requests are served."""

    FIFO = "fifo"
    FAIR = "fair"


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of routing; the defaults are the current policy."""

    name: str = "current"

    # --- replica choice ---------------------------------------------------------
    scheduler: SchedulerKind = SchedulerKind.PROJECTED_FINISH
    subset_size: int = 16
    """Largest number of replicas of a pool that one daemon uses and polls for load reports."""
    subset_local_share: float = 0.5
    """Share of the subset that is taken from the daemon's zone first."""
    sampled_replicas: int = 0
    """Number of randomly sampled replicas that are compared per request; 0 compares all."""
    cross_zone_cost_s: float = 0.002
    """Time added to the projection for a replica of another zone."""
    prefill_tokens_per_s: float = 16_000.0
    """Assumed prefill rate of every replica."""
    slowdown_per_request: float = 0.005
    """Assumed relative increase of the time per output token with each request on a replica."""
    prefix_affinity: bool = True
    """Whether cached prompt prefixes are considered when a replica is chosen."""
    read_cache_events: bool = False
    """Whether the prefix index is also fed with engines' cache events."""
    prefix_index_entries: int = 32_768
    """Largest number of blocks in the prefix index."""
    prefer_models: bool = True
    """Whether each replica that serves several models prefers one of them."""
    other_model_slowdown: float = 0.8
    """Assumed relative increase of the time per output token with a second model in the batch."""
    max_other_model_requests: int = 0
    """Most requests of other models on a replica that a batch request of a not preferred model may join."""

    # --- concurrency -------------------------------------------------------------
    initial_concurrency: int = 32
    """Most own requests on an engine whose load has not been reported yet."""
    kv_watermark: float = 0.85
    """Share of a replica's KV memory up to which batch requests are sent to it."""
    kv_watermark_interactive: float = 0.95
    """The same for interactive requests."""
    batch_waiting_slack: int = 2
    """Requests beyond an engine's largest batch up to which batch requests are sent to it.

    No batch request is sent to an engine that reports more waiting requests than this.
    """
    interactive_waiting_slack: int = 8
    """Requests beyond an engine's largest batch up to which interactive requests are sent to it."""
    app_concurrency: int = 16
    """Most calls in flight of this daemon per application replica."""

    # --- queues and admission ------------------------------------------------------
    queue: QueueKind = QueueKind.FAIR
    batch_min_share: float = 0.1
    """Smallest share of the tokens that batch classes get while interactive requests are queued."""
    prefill_weight: float = 0.1
    """Cost of a prompt token in the fair queue, relative to an output token."""
    max_queued: int = 16_384
    """Most requests queued in the daemon, over all pools and priority classes."""
    reject_by_projection: bool = True
    """Whether a request is rejected on arrival when its projected wait is too long."""
    minimum_retry_after_s: float = 0.25
    """Smallest retry time of a rejected request."""

    # --- attempts -------------------------------------------------------------------
    max_attempts: int = 5
    """Most attempts per request, including hedges."""
    retry_ratio: float = 0.2
    """Retries that each successful request adds to the retry budget."""
    retry_burst: float = 64.0
    """Largest retry budget; allows for a crashed replica, which fails all its requests at once."""
    resume: bool = True
    """Whether attempts resume from the tokens received by earlier ones."""
    hedge: bool = True
    """Whether stalled and slow attempts are hedged."""
    hedge_scan_interval_s: float = 0.5
    """Time between two scans for attempts to hedge."""
    max_hedge_share: float = 0.3
    """Most concurrent hedges in a pool, as a share of the attempts that may be hedged (at least one)."""
    min_hedge_speedup: float = 1.4
    """Smallest projected speedup for which a slow attempt is hedged."""
    stall_timeout_s: float = 3.0
    """Time without a chunk after which a batch attempt has stalled."""
    interactive_stall_timeout_s: float = 1.0
    """Time without a chunk after which an interactive attempt has stalled, also before the first chunk."""

    # --- load reports --------------------------------------------------------------
    report_interval_s: float = 0.5
    """Time between two rounds over the engines."""
    app_report_interval_s: float = 2.0
    """Shortest time between two rounds over the application replicas."""
    report_lag_s: float = 0.35
    """Assumed mean age of a load report when it is read."""
    max_reports_per_s: float = 8.0
    """Most load reports that one daemon reads per second."""


POLICIES: dict[str, RoutingPolicy] = {
    "current": RoutingPolicy(),
    "round_robin": RoutingPolicy(name="round_robin", scheduler=SchedulerKind.ROUND_ROBIN),
    "fewest_requests": RoutingPolicy(name="fewest_requests", scheduler=SchedulerKind.FEWEST_REQUESTS),
    "fifo": RoutingPolicy(name="fifo", queue=QueueKind.FIFO),
    "no_hedge": RoutingPolicy(name="no_hedge", hedge=False),
    "no_homes": RoutingPolicy(name="no_homes", prefer_models=False),
    "no_resume": RoutingPolicy(name="no_resume", resume=False),
    "no_affinity": RoutingPolicy(name="no_affinity", prefix_affinity=False),
    "version_1": RoutingPolicy(
        name="version_1",
        prefer_models=False,
        slowdown_per_request=0.0,
        min_hedge_speedup=2.0,
        max_hedge_share=0.1,
        interactive_stall_timeout_s=9.0,
    ),
}
"""Policies by the name used in settings: the current one, baselines and earlier versions."""
