"""Typed knobs of routing and the named policies that are kept for comparison.

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
    """In which order queued requests are served."""

    FIFO = "fifo"
    FAIR = "fair"


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All knobs of routing; the defaults are the current policy."""

    name: str = "current"
    scheduler: SchedulerKind = SchedulerKind.PROJECTED_FINISH
    queue: QueueKind = QueueKind.FAIR
    hedge: bool = True
    max_attempts: int = 4
    """Attempts per request, hedges included."""


POLICIES: dict[str, RoutingPolicy] = {
    "current": RoutingPolicy(),
    "round_robin": RoutingPolicy(name="round_robin", scheduler=SchedulerKind.ROUND_ROBIN),
    "fewest_requests": RoutingPolicy(name="fewest_requests", scheduler=SchedulerKind.FEWEST_REQUESTS),
    "fifo": RoutingPolicy(name="fifo", queue=QueueKind.FIFO),
    "no_hedge": RoutingPolicy(name="no_hedge", hedge=False),
}
"""Named policies; baselines stay here for good."""
