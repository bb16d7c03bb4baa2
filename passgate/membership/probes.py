"""Probes in flight: own ones with their deadlines, and those relayed for others."""

from __future__ import annotations

from random import Random

import msgspec

from passgate.membership.config import MembershipConfig
from passgate.membership.messages import MemberInfo
from passgate.membership.suspicion import LocalHealth

MAXIMUM_RELAYS = 256
"""Relayed probes in flight; further requests are not relayed."""


class Probe(msgspec.Struct):
    """A probe that this daemon started."""

    sequence: int
    target: MemberInfo
    direct_deadline_s: float
    """When helpers are asked."""
    deadline_s: float
    """When the target is suspected."""
    helpers: int = -1
    """Helpers asked; -1 before any was."""
    helper_answers: int = 0


class Origin(msgspec.Struct, frozen=True):
    """Who asked for a relayed probe, and under which sequence."""

    address: str
    sequence: int


class _Relay(msgspec.Struct):
    origin: Origin
    deadline_s: float


class DueProbes(msgspec.Struct):
    """What :meth:`Prober.take_due` found."""

    unanswered_directly: list[Probe]
    failed: list[Probe]
    nacks: list[Origin]
    """Requesters whose target did not answer us."""


class Prober:
    """Keeps the deadlines of probes and relays."""

    def __init__(self, config: MembershipConfig, health: LocalHealth, random: Random) -> None:
        self._config = config
        self._health = health
        self._sequence = random.randrange(1000)
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, _Relay] = {}

    def start(self, target: MemberInfo, now_s: float) -> int:
        """Note a new probe and return its sequence."""
        self._sequence += 1
        multiplier = self._health.multiplier
        self._probes[self._sequence] = Probe(
            sequence=self._sequence,
            target=target,
            direct_deadline_s=now_s + self._config.probe_timeout_s * multiplier,
            deadline_s=now_s + self._config.probe_period_s * multiplier,
        )
        return self._sequence

    def start_relay(self, origin_address: str, origin_sequence: int, now_s: float) -> int:
        """Note a probe made for another member and return its own sequence."""
        self._sequence += 1
        if len(self._relays) < MAXIMUM_RELAYS:
            deadline_s = now_s + self._config.probe_timeout_s
            self._relays[self._sequence] = _Relay(Origin(origin_address, origin_sequence), deadline_s)
        return self._sequence

    def answered(self, sequence: int) -> Origin | None:
        """Note an answer; return the requester when the probe was relayed."""
        if self._probes.pop(sequence, None) is not None:
            self._health.better()
            return None
        relay = self._relays.pop(sequence, None)
        return None if relay is None else relay.origin

    def helper_answered(self, sequence: int) -> None:
        """Note that a helper is healthy although the target did not answer it."""
        probe = self._probes.get(sequence)
        if probe is not None:
            probe.helper_answers += 1

    def next_deadline_s(self) -> float:
        """Return the nearest deadline, infinity when there is none."""
        deadlines = [relay.deadline_s for relay in self._relays.values()]
        deadlines += [
            probe.direct_deadline_s if probe.helpers < 0 else probe.deadline_s
            for probe in self._probes.values()
        ]
        return min(deadlines, default=float("inf"))

    def take_due(self, now_s: float) -> DueProbes:
        """Return and remove what ran out at ``now_s``."""
        due = DueProbes([], [], [])
        for probe in list(self._probes.values()):
            if now_s >= probe.deadline_s:
                del self._probes[probe.sequence]
                self._judge_self(probe)
                due.failed.append(probe)
            elif now_s >= probe.direct_deadline_s and probe.helpers < 0:
                probe.helpers = 0
                due.unanswered_directly.append(probe)
        for sequence, relay in list(self._relays.items()):
            if now_s >= relay.deadline_s:
                del self._relays[sequence]
                due.nacks.append(relay.origin)
        return due

    def _judge_self(self, probe: Probe) -> None:
        # When not even the helpers answered, the fault may be this daemon's own.
        if probe.helper_answers < max(1, probe.helpers):
            self._health.worse()

    def shift(self, by_s: float) -> None:
        """Move all deadlines after a pause of this process."""
        for probe in self._probes.values():
            probe.direct_deadline_s += by_s
            probe.deadline_s += by_s
        for relay in self._relays.values():
            relay.deadline_s += by_s
