"""Replicas as discovery tells them, and what this daemon has seen of each.

>>> replicas = ReplicaTable(Places(zone="z1"))
>>> replicas.put(ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z1", slots=4))
True
>>> replicas.choose(ChoiceRequest(services=frozenset({"s"})), now_s=0.0).info.replica_id
'r'
"""

from __future__ import annotations

import math
import random
from collections.abc import Hashable

import msgspec

from passgate.eligibility.cold_replicas import ColdReplicas
from passgate.eligibility.cold_rule import ColdRule
from passgate.eligibility.permits import PermitStock
from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo, ReplicaLife
from passgate.eligibility.rules import ANY_REQUEST, DrainingRule, SendRules, SendTerms
from passgate.gateway.distance import Distances
from passgate.gateway.spill import HomeFull, share_spilled
from passgate.routing.replica_health import ReplicaHealth

SMOOTHING = 0.2
"""Weight of a new observation in a replica's latency."""
ASSUMED_LATENCY_S = 0.05
"""Latency of a replica of which nothing has been seen: about that of a plain request or one event."""
REPORT_LIFE_S = 1.5
"""Age after which what a replica told of its load counts no longer."""
CHOICES_AWAY = 2
"""Replicas of other regions that are compared; all daemons of a region would else pick the same one."""
MAX_LATENCY_STEP = 6.0
"""One observation counts for at most this many times the present latency."""
MUCH_FASTER = 0.5
"""Share of a replica's latency below which another one is much faster."""
LATENCY_FORGET_S = 4.0
"""Time after which an old latency counts half."""
LOADING_S = 1.0
"""Time for which a replica that refused with room is taken to load weights; a load takes about 0.9 s."""
LOADING_COST = 3.0
"""Added to the score of a replica that loads, so that it comes after all others with room."""


FULL_LOAD = 1.0
"""Load of a replica all of whose slots are taken."""


class ChoiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks of a replica."""

    services: frozenset[str]
    excluded: frozenset[ReplicaLife] = frozenset()
    """Replicas that were tried already."""
    model: str = ""
    min_version: int = 0
    preferred: ReplicaLife | None = None
    """Replica that holds the prompt's shared part, if any."""
    load_below: float = math.inf
    """Only replicas with a smaller load, in shares of their slots, will do."""
    terms: SendTerms = ANY_REQUEST
    """What the rules for sending need to know of the request."""


class ReplicaState:
    """What this daemon knows of one life of a replica beyond discovery."""

    def __init__(self, info: ReplicaInfo) -> None:
        self.info = info
        self.life = info.life
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

    def expected_s(self, now_s: float) -> float:
        """Return the time until a request sent now is answered; it waits only once all slots are taken."""
        waits = max(self.load(now_s) + 1.0 / max(self.info.slots, 1) - FULL_LOAD, 0.0)
        loading_s = LOADING_S if self.seems_loading(now_s) else 0.0
        return (1.0 + waits) * self.recent_latency_s(now_s) + loading_s

    def version_of(self, model: str) -> int:
        """Return the version of a model's weights that the replica is known to hold."""
        return max(self.info.model_versions.get(model, 0), self.observed_versions.get(model, 0))


class ReplicaTable:
    """All known replicas and the choice among them."""

    def __init__(self, places: Places, seed: int | None = None) -> None:
        self.places = places
        self.distances = Distances(places)
        self._home_full = HomeFull()
        self.cold = ColdReplicas()
        """Which replicas are cold; none until it is told what services limit."""
        self.permits = PermitStock()
        """Permits to send to cold replicas."""
        self._cold_rule = ColdRule(self.cold, self.permits)
        self.rules = SendRules([DrainingRule(), self._cold_rule])
        """What keeps requests from replicas; see :mod:`passgate.eligibility.rules`."""
        self._states: dict[ReplicaLife, ReplicaState] = {}
        self._listed: dict[str, ReplicaLife] = {}
        """Identifier to the newest life that discovery lists under it."""
        self._in_use: dict[ReplicaLife, ReplicaState] = {}
        """Replicas that are not listed any more, while they still work on requests of this daemon."""
        self._random = random.Random(seed)
        self.health: ReplicaHealth[ReplicaLife] = ReplicaHealth()

    def entry_read(self, info: ReplicaInfo, now_s: float, *, listed: bool = False) -> None:
        """Take an entry of discovery that was just read, by itself or in a whole list."""
        self.cold.entry_read(info, now_s, listed=listed)
        self.put(info)

    def put(self, info: ReplicaInfo) -> bool:
        """Add or change a replica; return False for news of a life that a newer one has replaced.

        A replica that has started again begins with nothing of what was learnt before.
        """
        listed = self._listed.get(info.replica_id)
        if listed is not None and listed.born_unix_ms > info.born_unix_ms:
            return False
        if listed != info.life:
            self.remove(info.replica_id)
            self._listed[info.replica_id] = info.life
            self._states[info.life] = self._in_use.pop(info.life, None) or ReplicaState(info)
        self._states[info.life].info = info
        return True

    def remove(self, replica_id: str) -> None:
        """Forget a replica that discovery no longer lists."""
        life = self._listed.pop(replica_id, None)
        if life is not None:
            self._in_use[life] = self._states.pop(life)
        self._in_use = {life: state for life, state in self._in_use.items() if state.in_flight > 0}
        self.health.retain(self._states)

    def set_aside(self, life: ReplicaLife, now_s: float) -> None:
        """Send nothing to a replica for a while at whose address nobody listens."""
        if life in self._states:
            self.unreachable(life, now_s)

    def unreachable(self, life: ReplicaLife, now_s: float) -> None:
        """Count a replica that could not be reached; it may be cold when it is back."""
        self.health.failed(life, now_s, unreachable=True)
        state = self._states.get(life)
        if state is not None:
            self.cold.unreachable(state.info, now_s)

    def turned_cold(self, zone: str, now_s: float) -> None:
        """Take all replicas of a zone to be cold from now on, until later entries tell otherwise."""
        infos = [state.info for state in self._states.values() if state.info.zone == zone]
        self.cold.turned_cold(infos, now_s)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the newest life that is listed under an identifier, or None."""
        life = self._listed.get(replica_id)
        return self.of(life) if life is not None else None

    def of(self, life: ReplicaLife) -> ReplicaState | None:
        """Return a life of a replica; None if it is not listed, or another one is by now."""
        return self._states.get(life)

    def newest_of(self, life: ReplicaLife) -> ReplicaState | None:
        """Return the newest listed life of the replica that a life belongs to, or None."""
        return self.get(life.replica_id)

    def all(self) -> list[ReplicaState]:
        """Return all replicas."""
        return list(self._states.values())

    def choose(self, request: ChoiceRequest, now_s: float) -> ReplicaState | None:
        """Return the best replica for a request, or None when none fits.

        A cold replica counts as one with room for as many requests as there are permits.
        """
        best = self._best(request, now_s)
        if not self.cold.any:
            return best
        if best is None or best.load(now_s) >= FULL_LOAD:
            self._want_permits(request, now_s)
        if best is not None:
            self._cold_rule.chosen(best.info, request.terms, now_s)
        return best

    def _want_permits(self, request: ChoiceRequest, now_s: float) -> None:
        """Want permits for the cold replicas that would take a request for which there is no room."""
        states = self._states.values()
        cold = [state for state in states if self.cold.is_cold(state.info, now_s)]
        wanted = [state.info for state in cold if self._suits(state, request, now_s)]
        usable = self.health.usable([info.life for info in wanted], now_s)
        for info in wanted:
            if info.life in usable:
                self.permits.want(info.replica_id, info.service)

    def _best(self, request: ChoiceRequest, now_s: float) -> ReplicaState | None:
        candidates = [state for state in self._states.values() if self._fits(state, request, now_s)]
        usable = set(self.health.usable([state.life for state in candidates], now_s))
        healthy = [state for state in candidates if state.life in usable]
        if not healthy:
            return None
        self._random.shuffle(healthy)
        if not self.distances.several_regions:
            return min(healthy, key=lambda state: self._score(state, request, now_s))
        return self._choose_region(healthy, request, now_s)

    def _choose_region(
        self, healthy: list[ReplicaState], request: ChoiceRequest, now_s: float
    ) -> ReplicaState | None:
        """Return the best replica at home unless another region is worth the way."""
        home = [state for state in healthy if self.distances.is_home(state.info.zone)]
        away = [state for state in healthy if not self.distances.is_home(state.info.zone)][:CHOICES_AWAY]
        kind = (request.services, request.model, request.terms.regions)
        here = min(home, key=lambda state: self._score(state, request, now_s), default=None)
        there = min(away, key=lambda state: self._score(state, request, now_s), default=None)
        if here is not None:
            self._home_full.note_room(kind)
        if here is None or there is None:
            return here or self._spilled(there, kind, request, now_s)
        way_s = self.distances.cost_s(there.info.zone)
        share = share_spilled(here.expected_s(now_s) - there.expected_s(now_s) - way_s, way_s)
        return there if self._random.random() < share else here

    def _spilled(
        self, there: ReplicaState | None, kind: Hashable, request: ChoiceRequest, now_s: float
    ) -> ReplicaState | None:
        """Return a replica of another region for what has found none at home, unless it soon may.

        What only waits for room at home waits there for as long as the way takes.
        """
        if there is None or not self._is_served_at_home(request, now_s):
            return there
        way_s = self.distances.cost_s(there.info.zone)
        return there if self._home_full.may_spill(kind, way_s, now_s) else None

    def _is_served_at_home(self, request: ChoiceRequest, now_s: float) -> bool:
        """Whether a replica at home would serve a request if it had room."""
        if request.load_below == math.inf:
            return False
        anyhow = msgspec.structs.replace(request, load_below=math.inf)
        home = [state for state in self._states.values() if self.distances.is_home(state.info.zone)]
        fitting = [state.life for state in home if self._fits(state, anyhow, now_s)]
        return bool(self.health.usable(fitting, now_s)) if fitting else False

    def _fits(self, state: ReplicaState, request: ChoiceRequest, now_s: float) -> bool:
        if not self._suits(state, request, now_s):
            return False
        if not self.rules.allows(state.info, request.terms, now_s):
            return False
        return not self.cold.any or self._cold_rule.has_room(state.info, request.terms, now_s)

    def _suits(self, state: ReplicaState, request: ChoiceRequest, now_s: float) -> bool:
        """Whether a replica will do, but for the rules for sending."""
        info = state.info
        if info.service not in request.services or state.life in request.excluded:
            return False
        if state.load(now_s) >= request.load_below:
            return False
        return not request.model or state.version_of(request.model) >= request.min_version

    def _score(self, state: ReplicaState, request: ChoiceRequest, now_s: float) -> float:
        load = state.load(now_s)
        score = (1.0 + load) * state.recent_latency_s(now_s) / ASSUMED_LATENCY_S + load
        if state.info.zone != self.places.zone:
            score += self.distances.cost_s(state.info.zone) / ASSUMED_LATENCY_S
        if state.seems_loading(now_s):
            score += LOADING_COST
        if request.preferred == state.life:
            score -= 0.15
        return score

    def has_faster(
        self, life: ReplicaLife, request: ChoiceRequest, now_s: float, share: float = MUCH_FASTER
    ) -> bool:
        """Whether a replica that fits takes at most ``share`` of the time of the one a request is at."""
        state = self._states.get(life)
        other = self._best(request, now_s)
        if state is None or other is None:
            return False
        return other.recent_latency_s(now_s) < share * state.recent_latency_s(now_s)

    def observe_latency(self, life: ReplicaLife, latency_s: float, now_s: float) -> None:
        """Count how long a replica took for a request, or has already taken at least."""
        state = self._states.get(life)
        if state is None:
            return
        current = state.recent_latency_s(now_s)
        observed_s = min(latency_s, MAX_LATENCY_STEP * current)
        state.latency_s = current + SMOOTHING * (observed_s - current)
        state.latency_at_s = now_s

    def observe_load(self, life: ReplicaLife, occupied: int, now_s: float) -> None:
        """Count what a replica told of its running and waiting requests."""
        state = self._states.get(life)
        if state is not None:
            state.others = max(occupied - state.in_flight, 0)
            state.reported_s = now_s
