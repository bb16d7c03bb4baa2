"""The size that passgate is built towards and the limits of control there.

>>> TARGET.requests_per_daemon_s()
12.4
"""

from __future__ import annotations

import msgspec

SECONDS_PER_DAY = 86_400.0


class TargetSize(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and rates of the whole system."""

    daemons: int = 420
    replicas: int = 1_100
    zones: int = 11
    requests_per_s: float = 5_200.0
    tokens_per_s: float = 2.1e6
    trainers: int = 5
    samples_per_step: int = 8_192
    step_s: float = 360.0
    version_interval_s: float = 360.0
    rollout_limit_s: float = 11.0
    configuration_changes_per_day: float = 670.0
    configuration_limit_s: float = 19.0
    restarts_per_day: float = 355.0
    """340 restarted or replaced and 15 that fail."""

    def requests_per_daemon_s(self) -> float:
        """Return the requests of one daemon per second, rounded."""
        return round(self.requests_per_s / self.daemons, 1)

    def tokens_per_daemon_s(self) -> float:
        """Return the streamed tokens of one daemon per second."""
        return self.tokens_per_s / self.daemons

    def versions_per_s(self) -> float:
        """Return the published weight versions per second, all trainers."""
        return self.trainers / self.version_interval_s

    def samples_per_lot_s(self) -> float:
        """Return the samples per second of one lot."""
        return self.samples_per_step / self.step_s


class ControlLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Most that control may cost one daemon."""

    core_share: float = 0.011
    memory_bytes: float = 128e6
    bytes_per_s: float = 5_000.0


class Assumptions(msgspec.Struct, frozen=True, kw_only=True):
    """Quantities that the target does not name; each is stated on the page."""

    not_repeatable_share: float = 0.05
    """Share of requests that need a claim."""
    configuration_objects: int = 4_096
    """Pools, classes and versions kept; old versions are deleted by operators."""
    sample_tokens: int = 512
    prompt_tokens: int = 448
    tokens_per_piece: int = 8
    claims_held_s: float = 600.0
    """Time for which a daemon keeps a claim's stream after its answer."""
    mean_request_s: float = 10.0
    """Mean time that a stream is open."""


TARGET = TargetSize()
LIMITS = ControlLimits()
ASSUMPTIONS = Assumptions()
