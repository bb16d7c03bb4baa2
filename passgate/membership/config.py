"""Settings of the membership protocol."""

from __future__ import annotations

import msgspec


class MembershipConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Periods, limits and fan-outs; the defaults are meant for 3 to 420 daemons."""

    probe_period_s: float = 1.0
    """One member is probed per period."""
    probe_timeout_s: float = 0.3
    """Without an answer for this long, helpers are asked to probe too."""
    indirect_probes: int = 3
    suspicion_multiplier: float = 3.0
    """Shortest suspicion, in probe periods times log10 of the members."""
    retransmit_multiplier: float = 3.0
    """Transmissions of one piece of news, times log2 of the members."""
    gossip_period_s: float = 0.25
    """While there is news, it is also sent on its own this often."""
    gossip_fanout: int = 3
    news_bytes: int = 1024
    """Most bytes of news on one message."""
    own_zone_share: float = 0.75
    """Share of probes, gossip and table comparisons that stays in the own zone."""
    contacts_per_zone: int = 2
    """Members of each other zone that this daemon probes and gossips with."""
    sync_period_s: float = 16.0
    """Tables are compared with one peer this often while they agree."""
    sync_period_minimum_s: float = 1.0
    """First period after a start or a difference; it doubles with each comparison."""
    reconnect_period_s: float = 10.0
    """One dead member is greeted this often, so that parted clusters find each other."""
    join_retry_s: float = 2.0
    join_fanout: int = 2
    """Seeds asked at once."""
    gone_retention_s: float = 1800.0
    """Dead and departed members stay in the table for this long."""
    health_maximum: int = 8
    pause_threshold_s: float = 0.5
    """A timer that fires later than this shows that this process itself was paused."""
    leave_linger_s: float = 1.0
    """How long a leaving daemon spreads the news before it closes."""
