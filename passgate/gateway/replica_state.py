"""What a daemon knows of one replica, and what a request needs of the replica that is chosen for it.

>>> info = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z1", slots=4)
>>> state = ReplicaState(info)
>>> state.in_flight = 2
>>> state.load(now_s=0.0)
0.5
"""

from __future__ import annotations

import math

import msgspec

from passgate.eligibility.isolation import NO_ISOLATION, Isolation
from passgate.eligibility.replica_info import ReplicaIncarnation, ReplicaInfo
from passgate.eligibility.rules import ANY_REGION_REQUEST, SendContext

DEFAULT_LATENCY_S = 0.05
"""Latency assumed without observations, for a plain request as well as for one event of a stream."""
LOAD_REPORT_MAX_AGE_S = 1.5
"""Age after which a replica's load report is ignored."""
LATENCY_HALF_LIFE_S = 4.0
"""Time without an observation after which the latency has moved halfway back to DEFAULT_LATENCY_S."""
ASSUMED_LOADING_S = 1.0
"""Time for which a replica that refused despite free slots is assumed to be loading weights; ends early
when an answer of the replica arrives."""
FULL_LOAD = 1.0
"""Load of a replica whose slots are all occupied."""


class ReplicaQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Criteria by which a replica is chosen."""

    services: frozenset[str]
    """The replica must belong to one of these services."""
    excluded: frozenset[ReplicaIncarnation] = frozenset()
    """Replicas that must not be chosen, such as those that were tried already."""
    isolation: Isolation = NO_ISOLATION
    """Restrictions by isolated runs, of this or of other requests."""
    model: str = ""
    """The replica must hold weights of this model, of ``min_version`` or newer; empty: no condition."""
    min_version: int = 0
    exact_version: int | None = None
    """The replica must hold weights of exactly this version of ``model``; None: no condition."""
    preferred: ReplicaIncarnation | None = None
    """Replica with a small bonus in the score, such as one that has the prompt's prefix cached."""
    load_below: float = math.inf
    """The replica's load, in requests per slot, must be below this limit."""
    send_context: SendContext = ANY_REGION_REQUEST
    """What the send rules need to know of the request."""


class ReplicaState:
    """State of one incarnation of a replica: its discovery entry and this daemon's observations."""

    def __init__(self, info: ReplicaInfo) -> None:
        self.info = info
        self.incarnation = info.incarnation
        self.in_flight = 0
        """Number of this daemon's requests at the replica."""
        self.latency_s = DEFAULT_LATENCY_S
        self.latency_recorded_at_s = 0.0
        self.other_requests = 0
        """Number of requests at the replica that are not this daemon's, by the last load report."""
        self.load_reported_at_s = float("-inf")
        self.reported_versions: dict[str, int] = {}
        """Weight version that the replica itself last reported, by model."""
        self._refused_with_free_slots_at_s = float("-inf")

    def is_idle(self) -> bool:
        """Whether this daemon has no other request at the replica than the one that asks."""
        return self.in_flight <= 1

    def record_refusal(self, now_s: float) -> None:
        """Record that the replica refused as busy; if it has free slots, it is probably loading weights."""
        if self.load(now_s) < FULL_LOAD:
            self._refused_with_free_slots_at_s = now_s

    def record_answer_start(self) -> None:
        """Record that the replica sent the head of an answer, and so is not loading weights."""
        self._refused_with_free_slots_at_s = float("-inf")

    def is_probably_loading(self, now_s: float) -> bool:
        """Whether the replica is probably loading weights, during which it refuses requests."""
        return now_s - self._refused_with_free_slots_at_s < ASSUMED_LOADING_S

    def load(self, now_s: float) -> float:
        """Return the number of requests at the replica divided by its slots.

        Other daemons' requests count only if the replica's load report is not older than
        LOAD_REPORT_MAX_AGE_S.
        """
        other_requests = self.other_requests if now_s - self.load_reported_at_s < LOAD_REPORT_MAX_AGE_S else 0
        return (self.in_flight + other_requests) / max(self.info.slots, 1)

    def expected_latency_s(self, now_s: float) -> float:
        """Return the smoothed latency, which moves towards DEFAULT_LATENCY_S while nothing is observed."""
        half_lives = (now_s - self.latency_recorded_at_s) / LATENCY_HALF_LIFE_S
        return DEFAULT_LATENCY_S + (self.latency_s - DEFAULT_LATENCY_S) * 0.5 ** max(half_lives, 0.0)

    def expected_answer_time_s(self, now_s: float) -> float:
        """Return the expected time until the answer to a request sent now.

        Time in the replica's queue and the rest of a probable load of weights are included.
        """
        overload = max(self.load(now_s) + 1.0 / max(self.info.slots, 1) - FULL_LOAD, 0.0)
        loading_s = ASSUMED_LOADING_S if self.is_probably_loading(now_s) else 0.0
        return (1.0 + overload) * self.expected_latency_s(now_s) + loading_s

    def weight_version(self, model: str) -> int:
        """Return the newest weight version that discovery or the replica itself reported; 0 if none."""
        return max(self.info.model_versions.get(model, 0), self.reported_versions.get(model, 0))
