"""Events of the leadership of the control topic, and of work that only the leader does."""

from __future__ import annotations

from passgate.decisions.base import Event


class LeadershipTaken(Event, tag="leadership_taken"):
    """This daemon leads the control topic from now on and may send orders to replicas."""

    fence: int
    """Fencing token of this daemon's leadership; later leaders have higher ones."""
    previous: str
    """Not in use; always empty."""


class LeadershipLost(Event, tag="leadership_lost"):
    """This daemon does not lead any more and starts no further orders."""

    fence: int
    """Fencing token of the lost leadership."""
    reason: str


class TargetVersionChanged(Event, tag="version_wanted"):
    """This daemon has read a newer target version of a model's weights, as the operator named it."""

    model: str
    version: int


class LoadOrderSent(Event, tag="order_sent"):
    """An order to load weights, sent to a replica, was answered or has failed."""

    replica_id: str
    model: str
    version: int
    fence: int
    """Fencing token of the leadership under which the order was sent."""
    expected: int
    """Number of orders that the replica must have taken so far; prevents that it applies an order twice."""
    outcome: str
    """HTTP status of the answer, ``unanswered``, or ``not_sent`` if the order certainly did not arrive."""


class VersionLoadsPaused(Event, tag="load_held"):
    """Load orders for a version were paused, as replicas crashed while they loaded it, or resumed."""

    model: str
    version: int
    held: bool
    """Whether load orders for the version wait now."""


class UsageWindowCommitted(Event, tag="usage_window_committed"):
    """The usage counts of a window were queued for the log, where they determine the window's report."""

    window: int
    """Number of the window."""
    requests: int
    """Number of requests counted in the window."""
    tenants: int
    """Number of tenants with requests in the window."""


class UsageReportSent(Event, tag="usage_report_sent"):
    """A usage report was sent to the platform; its ``outcome`` may be a failure."""

    window: int
    """Number of the window."""
    fence: int
    """Fencing token of the leadership under which the report was sent."""
    outcome: str
    """``accepted``, ``refused``, or ``unknown`` when the report may still be counted."""


class ReplicaCountOrderSent(Event, tag="replicas_ordered"):
    """An order for a number of replicas was sent to the platform; its ``outcome`` may be a failure."""

    service: str
    zone: str
    spot: bool
    """Whether the order is for spot replicas, rather than on-demand ones."""
    count: int
    """Total number of replicas that the order asks for."""
    present: int
    """Number of the service's replicas of this kind in the zone that are listed and not draining."""
    fence: int
    """Fencing token of the order; a later decision about the same replicas has a higher one."""
    outcome: str
    """``accepted``, ``refused``, or ``unknown`` when the order may still be carried out."""
