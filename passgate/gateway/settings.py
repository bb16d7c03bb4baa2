"""Settings of one gateway daemon; :mod:`passgate.platform.settings` reads them from a file."""

from __future__ import annotations

import enum

import msgspec

from passgate.eligibility.topology import Topology


class ScalingPolicy(enum.Enum):
    """Rule for the number of replicas of services that the gateway scales."""

    NEVER = "never"
    """The number of replicas is not changed."""
    WHOLE_STEPS = "whole_steps"
    """As many slots as the newest step of each model has items; see :mod:`passgate.duties.scaling_policy`."""


class DutySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the duties that one daemon at a time does for all: usage reports and scaling."""

    address: str
    """``IP:PORT`` of the platform's service that receives usage reports and orders of replicas."""
    calls_per_s: float = 50.0
    """Maximum rate of calls to that service."""
    usage: bool = False
    """Whether usage reports are sent."""
    scaling: ScalingPolicy = ScalingPolicy.NEVER
    """Policy for ordering replicas; any other than ``NEVER`` is experimental."""
    usage_window_s: float = 5.0
    """Length of the window that one usage report covers."""
    usage_due_s: float = 10.0
    """Time after the end of a window within which the window's report is due."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a gateway daemon."""

    daemon_id: str
    """Identifier of the daemon; unique among the daemons, and the same after a restart."""
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
    """Lease of the daemon that leads: another daemon takes over after the leader was silent for longer, or
    earlier if the leader's process was replaced."""
    job_retention_s: float = 150.0
    """Time after its submission for which a job stays readable once it is over."""
    log_parts: int = 4
    """Number of partitions of the jobs topic."""
    group_lifetime_s: float = 1.0
    """Shortest lifetime of a membership in a group that the log accepts."""
    max_record_bytes: int = 262_144
    """Maximum size of one record of the log."""
    max_append_bytes: int = 2_097_152
    """Maximum size of one append to the log."""
    max_connections: int = 8_000
    """Number of connections for which the daemon's limit of file descriptors suffices; not enforced."""
    fail_closed: bool = False
    """Whether requests are refused once the configuration is unconfirmed for ``configuration_age_s``."""
    configuration_age_s: float = 5.0
    """Longest time without a confirmation that the configuration is the newest, if ``fail_closed``."""
    duties: DutySettings | None = None
    """None if the platform has no duties for its daemons."""
    cores: float = 1.0
    """Processor time that the daemon may use, in cores of reference speed."""
    regions: dict[str, str] = {}
    """Region by zone."""
    cold_overshoot: float = 1.0
    """A cold replica may get its service's ``ColdStart.requests_per_s`` times this factor in a second."""
    cold_slack: float = 0.0
    """Number of requests that a cold replica may get in a second in addition."""

    @property
    def topology(self) -> Topology:
        """Zone of the daemon, and the regions of all zones."""
        return Topology(zone=self.zone, region_by_zone=self.regions)
