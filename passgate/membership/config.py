"""Settings of the membership protocol."""

from __future__ import annotations

import msgspec


class MembershipConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Periods, limits and fan-outs; the defaults suit clusters of 3 to 420 daemons."""

    probe_period_s: float = 1.0
    """Interval between probes, each of one member."""
    probe_timeout_s: float = 0.3
    """Time without an answer after which helpers are asked to probe the member."""
    indirect_probes: int = 3
    suspicion_multiplier: float = 3.0
    """Shortest duration of a suspicion, in probe periods times log10 of the number of members."""
    retransmit_multiplier: float = 3.0
    """Transmissions of one update, as a multiple of log2 of the number of members."""
    gossip_period_s: float = 0.25
    """Interval of gossip messages while updates are queued."""
    gossip_fanout: int = 3
    maximum_update_bytes: int = 1024
    """Maximum size of the updates in one message; a single larger update is still sent."""
    own_zone_share: float = 0.75
    """Share of probes, gossip and table comparisons that stays in this daemon's zone."""
    contacts_per_zone: int = 2
    """Number of members in each other zone that this daemon probes and gossips with."""
    sync_period_s: float = 16.0
    """Interval of table comparisons with one peer while the tables agree."""
    sync_period_minimum_s: float = 1.0
    """First interval after a start or a difference; it doubles with each comparison."""
    reconnect_period_s: float = 10.0
    """Interval at which a digest is sent to one dead member, which merges clusters after a partition."""
    join_retry_s: float = 2.0
    join_fanout: int = 2
    """Number of seeds contacted at the same time."""
    gone_retention_s: float = 1800.0
    """Time for which dead and departed members stay in the table."""
    maximum_health_score: int = 8
    pause_threshold_s: float = 0.5
    """Lateness of a timer above which this process counts as having been paused."""
    leave_linger_s: float = 1.0
    """Time for which a leaving daemon spreads its leave before it closes."""
