"""Settings of one gateway daemon, after an adapter has read them."""

from __future__ import annotations

import enum

import msgspec

from passgate.eligibility.places import Places


class ScalingPolicy(enum.Enum):
    """How many replicas are ordered where the platform lets the system decide."""

    NEVER = "never"
    """What is there stays as it is."""
    WHOLE_STEPS = "whole_steps"
    """As many slots as the newest step of each model has items; see :mod:`passgate.duties.scaling_policy`."""


class DutySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Singleton duties towards the platform; times in seconds."""

    address: str
    """``IP:PORT`` that takes the calls of duties."""
    calls_per_s: float = 50.0
    """Calls that all daemons together may make."""
    usage: bool = False
    """Whether usage is to be reported."""
    scaling: ScalingPolicy = ScalingPolicy.NEVER
    """Experiment; ordering for whole steps has not been shown to earn more than it costs."""
    usage_window_s: float = 5.0
    usage_due_s: float = 10.0
    """Time after the end of a window within which its report is due."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon knows at its start; times in seconds."""

    daemon_id: str
    """Name of the machine's daemon; stays the same over restarts."""
    zone: str
    front_address: str
    """``IP:PORT`` for callers."""
    ready_address: str
    """``IP:PORT`` for readiness checks."""
    log_address: str
    """``IP:PORT`` of the log service."""
    peer_address: str
    """``IP:PORT`` for other daemons; port 0 takes any."""
    stop_grace_s: float = 8.0
    """Time from SIGTERM to SIGKILL."""
    lease_s: float = 3.0
    """Orders of two holders must lie further apart than this."""
    job_retention_s: float = 150.0
    """Time for which a job that is not open stays readable."""
    log_parts: int = 4
    """Partitions of each topic of the log."""
    group_lifetime_s: float = 1.0
    """Shortest silence after which the log takes a member out of a group."""
    max_record_bytes: int = 262_144
    max_append_bytes: int = 2_097_152
    max_connections: int = 8_000
    fail_closed: bool = False
    """Whether requests are refused once the configuration may be older than ``configuration_age_s``."""
    configuration_age_s: float = 5.0
    duties: DutySettings | None = None
    """None where the platform asks for none."""
    cores: float = 1.0
    """Processor time that the daemon may use, in cores of ordinary speed."""
    regions: dict[str, str] = {}
    """Zone to its region."""
    cold_overshoot: float = 1.0
    """Times the rate of a cold replica that may reach it in a second."""
    cold_slack: float = 0.0
    """Requests beyond that rate that may reach it in a second."""

    @property
    def places(self) -> Places:
        """Where the daemon is, and the regions of all zones."""
        return Places(zone=self.zone, regions=self.regions)
