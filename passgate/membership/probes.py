"""Tracks the deadlines of this daemon's probes and of the probes that it relays for other members."""

from __future__ import annotations

from random import Random

import msgspec

from passgate.membership.config import MembershipConfig
from passgate.membership.messages import MemberInfo
from passgate.membership.suspicion import LocalHealth

MAXIMUM_RELAYED_PROBES = 256
"""Maximum number of relayed probes in flight; the answers of further ones are not passed on."""


class Probe(msgspec.Struct):
    """A probe that this daemon started."""

    sequence: int
    target: MemberInfo
    direct_deadline_s: float
    """When helpers are asked to probe the target."""
    deadline_s: float
    """When the target becomes suspected."""
    helper_count: int = -1
    """Number of helpers asked; -1 before the direct deadline."""
    nack_count: int = 0
    """Number of helpers that are reachable but got no answer from the target."""


class ProbeRequester(msgspec.Struct, frozen=True):
    """Member that requested a relayed probe, and its sequence number of the probe."""

    address: str
    sequence: int


class _RelayedProbe(msgspec.Struct):
    requester: ProbeRequester
    deadline_s: float


class DueProbes(msgspec.Struct):
    """Result of :meth:`ProbeTracker.take_due`."""

    without_direct_ack: list[Probe]
    failed: list[Probe]
    requesters_to_nack: list[ProbeRequester]
    """Requesters of relayed probes that were not answered in time."""


class ProbeTracker:
    """Own and relayed probes in flight, by sequence number."""

    def __init__(self, config: MembershipConfig, health: LocalHealth, random: Random) -> None:
        self._config = config
        self._health = health
        self._sequence = random.randrange(1000)
        self._probe_by_sequence: dict[int, Probe] = {}
        self._relayed_by_sequence: dict[int, _RelayedProbe] = {}

    def start(self, target: MemberInfo, now_s: float) -> int:
        """Start a probe and return its sequence number."""
        self._sequence += 1
        multiplier = self._health.multiplier
        self._probe_by_sequence[self._sequence] = Probe(
            sequence=self._sequence,
            target=target,
            direct_deadline_s=now_s + self._config.probe_timeout_s * multiplier,
            deadline_s=now_s + self._config.probe_period_s * multiplier,
        )
        return self._sequence

    def start_relay(self, requester_address: str, requester_sequence: int, now_s: float) -> int:
        """Start a probe on behalf of another member and return its own sequence number.

        With ``MAXIMUM_RELAYED_PROBES`` in flight the probe is not tracked, so its answer is ignored.
        """
        self._sequence += 1
        if len(self._relayed_by_sequence) < MAXIMUM_RELAYED_PROBES:
            deadline_s = now_s + self._config.probe_timeout_s
            self._relayed_by_sequence[self._sequence] = _RelayedProbe(
                ProbeRequester(requester_address, requester_sequence), deadline_s
            )
        return self._sequence

    def record_ack(self, sequence: int) -> ProbeRequester | None:
        """End the probe that was answered; return its requester when it was a relayed one."""
        if self._probe_by_sequence.pop(sequence, None) is not None:
            self._health.improve()
            return None
        relayed_probe = self._relayed_by_sequence.pop(sequence, None)
        return None if relayed_probe is None else relayed_probe.requester

    def record_nack(self, sequence: int) -> None:
        """Count a helper that is reachable but got no answer from the target."""
        probe = self._probe_by_sequence.get(sequence)
        if probe is not None:
            probe.nack_count += 1

    def next_deadline_s(self) -> float:
        """Return the earliest deadline, infinity when there is none."""
        deadlines = [relayed_probe.deadline_s for relayed_probe in self._relayed_by_sequence.values()]
        deadlines += [
            probe.direct_deadline_s if probe.helper_count < 0 else probe.deadline_s
            for probe in self._probe_by_sequence.values()
        ]
        return min(deadlines, default=float("inf"))

    def take_due(self, now_s: float) -> DueProbes:
        """Return the probes whose deadline has passed at ``now_s``, and update their state."""
        due = DueProbes([], [], [])
        for probe in list(self._probe_by_sequence.values()):
            if now_s >= probe.deadline_s:
                del self._probe_by_sequence[probe.sequence]
                self._adjust_local_health(probe)
                due.failed.append(probe)
            elif now_s >= probe.direct_deadline_s and probe.helper_count < 0:
                probe.helper_count = 0
                due.without_direct_ack.append(probe)
        for sequence, relayed_probe in list(self._relayed_by_sequence.items()):
            if now_s >= relayed_probe.deadline_s:
                del self._relayed_by_sequence[sequence]
                due.requesters_to_nack.append(relayed_probe.requester)
        return due

    def _adjust_local_health(self, probe: Probe) -> None:
        # If the helpers did not answer either, this daemon itself may be slow or cut off.
        if probe.nack_count < max(1, probe.helper_count):
            self._health.degrade()

    def postpone_deadlines(self, pause_s: float) -> None:
        """Postpone all deadlines by the length of a pause of this process."""
        for probe in self._probe_by_sequence.values():
            probe.direct_deadline_s += pause_s
            probe.deadline_s += pause_s
        for relayed_probe in self._relayed_by_sequence.values():
            relayed_probe.deadline_s += pause_s
