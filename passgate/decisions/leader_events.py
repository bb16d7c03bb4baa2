"""Events of leadership and of the work that only the leader does: load orders, usage reports, scaling."""

from __future__ import annotations

from passgate.decisions.base import Event


class LeadershipTaken(Event, tag="leadership_taken"):
    """This daemon leads from now on and may send orders to replicas."""

    fence: int
    """Fencing token of its leadership."""
    previous: str
    """Not in use; always empty."""


class LeadershipLost(Event, tag="leadership_lost"):
    """This daemon does not lead any more and sends no orders."""

    fence: int
    """Fencing token of its lost leadership."""
    reason: str


class TargetVersionChanged(Event, tag="version_wanted"):
    """The operator has named a newer target version of a model's weights."""

    model: str
    version: int


class LoadOrderSent(Event, tag="order_sent"):
    """An order to load weights was sent to a replica, and was answered or has failed."""

    replica_id: str
    model: str
    version: int
    fence: int
    """Fencing token of the leadership under which it was sent."""
    expected: int
    """Number of orders that the replica must have taken before, so that no order is applied twice."""
    outcome: str
    """HTTP status of the answer, or ``unanswered``."""


class VersionLoadsSuspended(Event, tag="load_held"):
    """Load orders for a version were suspended or resumed, as replicas crashed while they loaded it."""

    model: str
    version: int
    held: bool
    """Whether no replica gets an order to load the version."""


class UsageWindowCommitted(Event, tag="usage_window_committed"):
    """The usage counts of a window were put to the log; the report of the window is sent from this record."""

    window: int
    """Number of the window."""
    requests: int
    """Requests counted in the window."""
    tenants: int
    """Tenants with requests in the window."""


class UsageReportSent(Event, tag="usage_report_sent"):
    """A usage report was sent to the platform, or has failed."""

    window: int
    """Number of the window."""
    fence: int
    """Fencing token of the leadership under which it was sent."""
    outcome: str
    """``accepted``, ``refused``, or ``unknown`` when the report may still be counted."""


class ReplicaCountOrderSent(Event, tag="replicas_ordered"):
    """An order for a number of replicas was sent to the platform, or has failed."""

    service: str
    zone: str
    spot: bool
    """Whether it is for spot replicas."""
    count: int
    """Number of replicas that the order asks for."""
    present: int
    """Replicas of the service and kind that are listed in the zone and not draining."""
    fence: int
    """Fencing token of the order; a later decision about the same replicas has a higher one."""
    outcome: str
    """``accepted``, ``refused``, or ``unknown`` when the order may still be carried out."""
