"""Replicas as discovery tells them, and what this daemon has seen of each.

>>> replicas = ReplicaTable(Places(zone="z1"))
>>> replicas.put(ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z1", slots=4))
>>> replicas.choose(ChoiceRequest(services=frozenset({"s"})), now_s=0.0).info.replica_id
'r'
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import ANY_REQUEST, DrainingRule, SendRules, SendTerms
from passgate.routing.replica_health import ReplicaHealth

SMOOTHING = 0.2
"""Weight of a new observation in a replica's latency."""
ASSUMED_LATENCY_S = 0.05
"""Latency of a replica of which nothing has been seen: about that of a plain request or one event."""
REPORT_LIFE_S = 1.5
"""Age after which what a replica told of its load counts no longer."""
OTHER_ZONE_COST = 0.05
"""Added to the score of a replica in another zone, in shares of its slots."""
MAX_LATENCY_STEP = 6.0
"""One observation counts for at most this many times the present latency."""
MUCH_FASTER = 0.5
"""Share of a replica's latency below which another one is much faster."""
LATENCY_FORGET_S = 4.0
"""Time after which an old latency counts half."""
LOADING_S = 1.0
"""Time for which a replica that refused with room is taken to load weights; a load takes about 0.9 s."""
NEW_CONNECTION_COST = 1.0
"""Added to the score of a replica to which no connection lies idle: as if half of its slots were taken
beyond what is, or its latency were twice the usual one, which single slow requests make it seem."""
LOADING_COST = 3.0
"""Added to the score of a replica that loads, so that it comes after all others with room."""


FULL_LOAD = 1.0
"""Load of a replica all of whose slots are taken."""


class ChoiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks of a replica."""

    services: frozenset[str]
    excluded: frozenset[str] = frozenset()
    """Replicas that were tried already."""
    model: str = ""
    min_version: int = 0
    preferred: str = ""
    """Replica that holds the prompt's shared part, if any."""
    load_below: float = math.inf
    """Only replicas with a smaller load, in shares of their slots, will do."""
    terms: SendTerms = ANY_REQUEST
    """What the rules for sending need to know of the request."""


class ReplicaState:
    """What this daemon knows of one replica beyond discovery."""

    def __init__(self, info: ReplicaInfo) -> None:
        self.info = info
        self.in_flight = 0
        """Requests of this daemon at the replica."""
        self.latency_s = ASSUMED_LATENCY_S
        self.latency_at_s = 0.0
        self.others = 0
        """Requests of other daemons there, from its last report."""
        self.reported_s = float("-inf")
        self.observed_versions: dict[str, int] = {}
        """Newest version that its own answers have named, by model."""
        self._refused_s = float("-inf")

    def refused(self, now_s: float) -> None:
        """Count a refusal: a replica that refuses although it has room loads weights."""
        if self.load(now_s) < FULL_LOAD:
            self._refused_s = now_s

    def accepted(self) -> None:
        """Count an answer that began to come."""
        self._refused_s = float("-inf")

    def seems_loading(self, now_s: float) -> bool:
        """Whether the replica probably loads weights, and so begins no request."""
        return now_s - self._refused_s < LOADING_S

    def load(self, now_s: float) -> float:
        """Return the requests there in shares of its slots."""
        others = self.others if now_s - self.reported_s < REPORT_LIFE_S else 0
        return (self.in_flight + others) / max(self.info.slots, 1)

    def recent_latency_s(self, now_s: float) -> float:
        """Return the smoothed latency; it returns to the assumption while nothing is observed."""
        age = (now_s - self.latency_at_s) / LATENCY_FORGET_S
        return ASSUMED_LATENCY_S + (self.latency_s - ASSUMED_LATENCY_S) * 0.5 ** max(age, 0.0)

    def version_of(self, model: str) -> int:
        """Return the version of a model's weights that the replica is known to hold."""
        return max(self.info.model_versions.get(model, 0), self.observed_versions.get(model, 0))


class ReplicaTable:
    """All known replicas and the choice among them."""

    def __init__(
        self,
        places: Places,
        seed: int | None = None,
        *,
        has_idle_connection: Callable[[str], bool] = lambda address: True,
    ) -> None:
        """Begin without replicas.

        Args:
            places: where this daemon is.
            seed: seeds the choice among equals; drawn if None.
            has_idle_connection: whether a request to an address would open no connection.
        """
        self.places = places
        self._has_idle_connection = has_idle_connection
        self.rules = SendRules([DrainingRule()])
        """What keeps requests from replicas; see :mod:`passgate.eligibility.rules`."""
        self._states: dict[str, ReplicaState] = {}
        self._random = random.Random(seed)
        self.health = ReplicaHealth()

    def put(self, info: ReplicaInfo) -> None:
        """Add or change a replica."""
        state = self._states.get(info.replica_id)
        if state is None:
            self._states[info.replica_id] = ReplicaState(info)
            return
        state.info = info

    def remove(self, replica_id: str) -> None:
        """Forget a replica that discovery no longer lists."""
        self._states.pop(replica_id, None)
        self.health.succeeded(replica_id)

    def set_aside(self, replica_id: str, now_s: float) -> None:
        """Send nothing to a replica for a while at whose address nobody listens."""
        if replica_id in self._states:
            self.health.failed(replica_id, now_s, unreachable=True)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return a replica, or None."""
        return self._states.get(replica_id)

    def all(self) -> list[ReplicaState]:
        """Return all replicas."""
        return list(self._states.values())

    def choose(self, request: ChoiceRequest, now_s: float) -> ReplicaState | None:
        """Return the best replica for a request, or None when none fits."""
        candidates = [state for state in self._states.values() if self._fits(state, request, now_s)]
        usable = set(self.health.usable([state.info.replica_id for state in candidates], now_s))
        healthy = [state for state in candidates if state.info.replica_id in usable]
        if not healthy:
            return None
        self._random.shuffle(healthy)
        return min(healthy, key=lambda state: self._score(state, request, now_s))

    def _fits(self, state: ReplicaState, request: ChoiceRequest, now_s: float) -> bool:
        info = state.info
        if info.service not in request.services or info.replica_id in request.excluded:
            return False
        if not self.rules.allows(info, request.terms, now_s):
            return False
        if state.load(now_s) >= request.load_below:
            return False
        return not request.model or state.version_of(request.model) >= request.min_version

    def _score(self, state: ReplicaState, request: ChoiceRequest, now_s: float) -> float:
        load = state.load(now_s)
        score = (1.0 + load) * state.recent_latency_s(now_s) / ASSUMED_LATENCY_S + load
        if state.info.zone != self.places.zone:
            score += OTHER_ZONE_COST
        if not self._has_idle_connection(state.info.address):
            score += NEW_CONNECTION_COST
        if state.seems_loading(now_s):
            score += LOADING_COST
        if request.preferred == state.info.replica_id:
            score -= 0.15
        return score

    def has_faster(
        self, replica_id: str, request: ChoiceRequest, now_s: float, share: float = MUCH_FASTER
    ) -> bool:
        """Whether a replica that fits takes at most ``share`` of the time of the one a request is at."""
        state = self._states.get(replica_id)
        other = self.choose(request, now_s)
        if state is None or other is None:
            return False
        return other.recent_latency_s(now_s) < share * state.recent_latency_s(now_s)

    def observe_latency(self, replica_id: str, latency_s: float, now_s: float) -> None:
        """Count how long a replica took for a request, or has already taken at least."""
        state = self._states.get(replica_id)
        if state is None:
            return
        current = state.recent_latency_s(now_s)
        observed_s = min(latency_s, MAX_LATENCY_STEP * current)
        state.latency_s = current + SMOOTHING * (observed_s - current)
        state.latency_at_s = now_s

    def observe_load(self, replica_id: str, occupied: int, now_s: float) -> None:
        """Count what a replica told of its running and waiting requests."""
        state = self._states.get(replica_id)
        if state is not None:
            state.others = max(occupied - state.in_flight, 0)
            state.reported_s = now_s
