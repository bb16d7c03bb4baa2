"""Settings of one gateway daemon; the platform adapter fills them in from its settings file."""

from __future__ import annotations

import enum

import msgspec

from passgate.eligibility.topology import Topology


class ScalingPolicy(enum.Enum):
    """How many replicas are ordered for services that the gateway scales."""

    NEVER = "never"
    """The number of replicas is not changed."""
    WHOLE_STEPS = "whole_steps"
    """As many slots as the newest step of each model has items; see :mod:`passgate.duties.scaling_policy`."""


class DutySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the singleton duties: usage reports and scaling; times in seconds."""

    address: str
    """``IP:PORT`` of the platform's service that receives reports and orders."""
    calls_per_s: float = 50.0
    """Maximum rate of calls to that service from all daemons together."""
    usage: bool = False
    """Whether usage reports are sent."""
    scaling: ScalingPolicy = ScalingPolicy.NEVER
    """Policy for ordering replicas; anything but ``NEVER`` is experimental."""
    usage_window_s: float = 5.0
    """Length of the window that one usage report covers."""
    usage_due_s: float = 10.0
    """Time after the end of a window within which its report is due."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a daemon; times in seconds."""

    daemon_id: str
    """Name of the daemon; unique, and the same after a restart."""
    zone: str
    """Zone in which the daemon runs."""
    front_address: str
    """``IP:PORT`` on which callers' requests are received."""
    ready_address: str
    """``IP:PORT`` on which readiness checks and metrics are served."""
    log_address: str
    """``IP:PORT`` of the log service."""
    peer_address: str
    """``IP:PORT`` on which other daemons connect; port 0 picks a free one."""
    stop_grace_s: float = 8.0
    """Time from SIGTERM to SIGKILL."""
    lease_s: float = 3.0
    """Minimum time between the last order of one leader and the first order of the next."""
    job_retention_s: float = 150.0
    """Time after its submission for which a job that is not open any more stays readable."""
    log_parts: int = 4
    """Number of partitions of each topic of the log."""
    group_lifetime_s: float = 1.0
    """Minimum time without contact after which the log removes a member from a group."""
    max_record_bytes: int = 262_144
    """Maximum size of one record of the log."""
    max_append_bytes: int = 2_097_152
    """Maximum size of one append to the log."""
    max_connections: int = 8_000
    """Number of connections that the daemon's limit of file descriptors leaves room for."""
    fail_closed: bool = False
    """Whether requests are refused once the configuration may be older than ``configuration_age_s``."""
    configuration_age_s: float = 5.0
    """Age of the configuration that ``fail_closed`` tolerates."""
    duties: DutySettings | None = None
    """None if the platform has no duties for its daemons."""
    cores: float = 1.0
    """Processor time that the daemon may use, in cores of reference speed."""
    regions: dict[str, str] = {}
    """Zone to its region."""
    cold_overshoot: float = 1.0
    """Factor on a cold replica's rate that yields the requests it may get in a second."""
    cold_slack: float = 0.0
    """Requests in a second that a cold replica may get in addition."""

    @property
    def topology(self) -> Topology:
        """Zone of the daemon, and the regions of all zones."""
        return Topology(zone=self.zone, region_by_zone=self.regions)
