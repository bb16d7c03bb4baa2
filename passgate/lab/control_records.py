"""Results of the control-plane scale run, one JSON object per line."""

from __future__ import annotations

import msgspec


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of times in seconds."""

    count: int
    p50_s: float
    p99_s: float
    maximum_s: float

    @classmethod
    def of(cls, times_s: list[float]) -> Percentiles:
        """Return percentiles, the upper of the two nearest ranks; zeros without any times."""
        ranked = sorted(times_s)
        if not ranked:
            return cls(count=0, p50_s=0.0, p99_s=0.0, maximum_s=0.0)
        return cls(
            count=len(ranked),
            p50_s=round(ranked[(len(ranked) - 1) * 50 // 100], 3),
            p99_s=round(ranked[-(-(len(ranked) - 1) * 99 // 100)], 3),
            maximum_s=round(ranked[-1], 3),
        )


class ControlCost(msgspec.Struct, frozen=True, kw_only=True, tag="control_cost"):
    """What control costs each daemon; bytes are frames without TCP/IP headers."""

    load: str
    """``calm`` or ``busy`` (ten times the letter's rate of changes and restarts)."""
    transport: str
    """``memory`` (hollow) or ``tcp`` (loopback sockets)."""
    daemons: int
    zones: int
    seconds: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    wire_bytes_per_s: float
    """Sent plus received with an estimate of TCP/IP headers, acknowledgements, connections."""
    busiest_bytes_per_s: float
    """Sent plus received by the daemon with most of it."""
    messages_per_s: float
    """Sent plus received."""
    connections_per_s: float
    cpu_share: float
    """Processor seconds per second and daemon; hollow ones include the simulation."""
    memory_mb: float
    """Growth of the process per daemon; whole process for ``tcp``."""
    false_deaths: int


class FittedSlope(msgspec.Struct, frozen=True, kw_only=True, tag="fitted_slope"):
    """Least-squares line over the number of daemons."""

    measure: str
    load: str
    intercept: float
    per_daemon: float
    sizes: tuple[int, ...]


class FailureKnown(msgspec.Struct, frozen=True, kw_only=True, tag="failure_known"):
    """Time from a failure until each survivor counts the failed daemons as dead."""

    failure: str
    daemons: int
    failed: int
    trials: int
    known: Percentiles
    everywhere: Percentiles
    """Per trial, when the last survivor knew."""
    unnoticed: int
    """Pairs of survivor and failed daemon that were still not known at the end."""


class FalsePositives(msgspec.Struct, frozen=True, kw_only=True, tag="false_positives"):
    """Living daemons declared dead while some are paused and frames are lost."""

    daemons: int
    seconds: float
    loss: float
    pauses: int
    pause_s: float
    suspicions: int
    refutations: int
    declared_dead: int
    """Deaths declared, summed over the daemons that declared them."""


class ConfigurationInForce(msgspec.Struct, frozen=True, kw_only=True, tag="configuration_in_force"):
    """Time until an accepted change is in force on all daemons."""

    fault: str
    daemons: int
    trials: int
    since: str
    """What the time counts from: ``accepted`` or ``cut_end``."""
    in_force: Percentiles
    """Per daemon."""
    everywhere: Percentiles
    """Per trial, when the last daemon had it."""
    missing: int
    """Daemons without it at the end of the trial."""
    went_back: int
    """Times a daemon's revision decreased."""
    pulls: int
    """Pulls from peers over all daemons."""


class Merge(msgspec.Struct, frozen=True, kw_only=True, tag="merge"):
    """Parted clusters that meet again, or a cluster that starts at once."""

    event: str
    daemons: int
    parts: int
    parted_s: float
    agreed_s: float
    """From the end of the part until all tables agree and hold every daemon as alive."""
    peak_bytes_per_s: float
    """Largest mean over the daemons, sent plus received, in one second."""
    total_bytes: float
    """Sent plus received per daemon until they agreed."""
    stale_values: int
    """Daemons that hold an older published value than its owner's after they agreed."""


Result = ControlCost | FittedSlope | FailureKnown | FalsePositives | ConfigurationInForce | Merge
