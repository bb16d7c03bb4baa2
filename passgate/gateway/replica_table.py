"""The replicas that discovery lists, and the choice of one for each request.

The best replica has the lowest score of load, latency and network cost; between regions, the expected time
of an answer counts as well.

>>> replicas = ReplicaTable(Topology(zone="z1"))
>>> replicas.put(ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z1", slots=4))
True
>>> replicas.choose(ReplicaQuery(services=frozenset({"s"})), now_s=0.0).info.replica_id
'r'
"""

from __future__ import annotations

import math
import random
from collections.abc import Hashable

import msgspec

from passgate.eligibility.cold_replicas import ColdReplicas
from passgate.eligibility.cold_rule import ColdRule
from passgate.eligibility.isolation import NO_ISOLATION
from passgate.eligibility.permits import PermitPool
from passgate.eligibility.replica_info import ReplicaIncarnation, ReplicaInfo
from passgate.eligibility.rules import DrainingRule, SendRules
from passgate.eligibility.topology import Topology
from passgate.gateway.replica_state import DEFAULT_LATENCY_S, FULL_LOAD, ReplicaQuery, ReplicaState
from passgate.gateway.spillover import LocalCapacityWaits, spillover_share
from passgate.gateway.zone_distances import ZoneDistances
from passgate.routing.replica_health import ReplicaHealth

LATENCY_SMOOTHING = 0.2
"""Weight of a new observation in a replica's smoothed latency."""
MAX_REMOTE_CANDIDATES = 2
"""Maximum number of replicas in other regions that a choice compares; they are picked at random, so that
daemons don't all choose the same replica."""
MAX_LATENCY_INCREASE_FACTOR = 6.0
"""An observation is capped at this many times the current smoothed latency."""
FASTER_LATENCY_SHARE = 0.5
"""A replica is much faster than another one if its latency is below this share of the other's."""
LOADING_SCORE_PENALTY = 3.0
"""Added to the score of a replica that is probably loading weights."""
NEVER_S = float("-inf")
"""Loop time before any other."""
MAX_ISOLATED_SHARE = 0.5
"""Share of the usable replicas, rounded up, that isolated runs may have for themselves at a time."""


class ReplicaTable:
    """The replicas that discovery lists, and the choice of one for each request."""

    def __init__(self, topology: Topology, seed: int | None = None) -> None:
        self.topology = topology
        self.distances = ZoneDistances(topology)
        self._local_capacity_waits = LocalCapacityWaits()
        self.cold_replicas = ColdReplicas()
        """Cold replicas, which take only a limited rate of requests; none until ``limit_of`` is set."""
        self.permit_pool = PermitPool()
        """Permits of this daemon, each for one request to a cold replica."""
        self._cold_rule = ColdRule(self.cold_replicas, self.permit_pool)
        self.send_rules = SendRules([DrainingRule(), self._cold_rule])
        """Rules that exclude replicas from choices and sends; the daemon adds further ones."""
        self._state_by_incarnation: dict[ReplicaIncarnation, ReplicaState] = {}
        self._listed_incarnation_by_id: dict[str, ReplicaIncarnation] = {}
        """Newest incarnation that discovery lists, by replica identifier."""
        self._delisted_in_use: dict[ReplicaIncarnation, ReplicaState] = {}
        """Delisted replicas that had requests of this daemon in flight at the last call of :meth:`remove`."""
        self._random = random.Random(seed)
        self.health: ReplicaHealth[ReplicaIncarnation] = ReplicaHealth()

    def apply_entry(self, info: ReplicaInfo, now_s: float, *, from_full_list: bool = False) -> None:
        """Apply a discovery entry that was just read.

        ``from_full_list`` tells that the entry came in a list of all replicas, hence may be older.
        """
        self.cold_replicas.apply_entry(info, now_s, from_full_list=from_full_list)
        self.put(info)

    def put(self, info: ReplicaInfo) -> bool:
        """Add or update a replica; return False if a newer incarnation of the replica is already listed.

        A new incarnation replaces the old one, whose observations don't apply to the new one.
        """
        listed = self._listed_incarnation_by_id.get(info.replica_id)
        if listed is not None and listed.started_unix_ms > info.started_unix_ms:
            return False
        if listed != info.incarnation:
            self.remove(info.replica_id)
            self._listed_incarnation_by_id[info.replica_id] = info.incarnation
            self._state_by_incarnation[info.incarnation] = self._delisted_in_use.pop(
                info.incarnation, None
            ) or ReplicaState(info)
        self._state_by_incarnation[info.incarnation].info = info
        return True

    def remove(self, replica_id: str) -> None:
        """Remove a replica that discovery no longer lists; does nothing for an unknown replica."""
        incarnation = self._listed_incarnation_by_id.pop(replica_id, None)
        if incarnation is not None:
            self._delisted_in_use[incarnation] = self._state_by_incarnation.pop(incarnation)
        self._delisted_in_use = {
            delisted: state for delisted, state in self._delisted_in_use.items() if state.in_flight > 0
        }
        self.health.retain(self._state_by_incarnation)

    def eject(self, incarnation: ReplicaIncarnation, now_s: float, until_s: float = NEVER_S) -> None:
        """Record an incarnation that has exited as unreachable, and exclude it at least until a loop time.

        Ignored if the incarnation is not listed.
        """
        if incarnation in self._state_by_incarnation:
            self.record_unreachable(incarnation, now_s)
            self.health.hold_off(incarnation, until_s)

    def record_unreachable(self, incarnation: ReplicaIncarnation, now_s: float) -> None:
        """Record that a replica could not be reached: it is ejected unless it is excluded already.

        If it is listed and its service limits requests to cold replicas, it counts as cold for now, as it may
        restart cold.
        """
        self.health.record_failure(incarnation, now_s, unreachable=True)
        state = self._state_by_incarnation.get(incarnation)
        if state is not None:
            self.cold_replicas.mark_unreachable(state.info, now_s)

    def mark_zone_possibly_cold(self, zone: str, now_s: float) -> None:
        """Count a zone's replicas as cold, as they may be, if their services limit requests to cold replicas.

        This ends with a discovery entry that was certainly written later, or after the service's longest
        cold period.
        """
        infos = [state.info for state in self._state_by_incarnation.values() if state.info.zone == zone]
        self.cold_replicas.mark_possibly_cold(infos, now_s)

    def get(self, replica_id: str) -> ReplicaState | None:
        """Return the state of the newest listed incarnation of a replica, or None if there is none."""
        incarnation = self._listed_incarnation_by_id.get(replica_id)
        return self.find_incarnation(incarnation) if incarnation is not None else None

    def find_incarnation(self, incarnation: ReplicaIncarnation) -> ReplicaState | None:
        """Return the state of an incarnation, or None if the incarnation is not listed."""
        return self._state_by_incarnation.get(incarnation)

    def find_latest_incarnation(self, incarnation: ReplicaIncarnation) -> ReplicaState | None:
        """Return the state of the newest listed incarnation of the same replica, or None if there is none."""
        return self.get(incarnation.replica_id)

    def all(self) -> list[ReplicaState]:
        """Return the states of all listed replicas."""
        return list(self._state_by_incarnation.values())

    def choose(self, query: ReplicaQuery, now_s: float) -> ReplicaState | None:
        """Return the best usable replica that matches a query, or None.

        A cold replica is usable only with an unclaimed permit; choosing the replica claims the permit.  If no
        replica or only one without a free slot is found, permits for matching cold replicas are requested.
        """
        query = self._apply_isolation(query, now_s)
        best = self._choose_best(query, now_s)
        if not self.cold_replicas.any_may_be_cold:
            return best
        if best is None or best.load(now_s) >= FULL_LOAD:
            self._request_permits(query, now_s)
        if best is not None:
            self._cold_rule.claim_permit(best.info, query.send_context, now_s)
        return best

    def may_become_usable(self, query: ReplicaQuery, now_s: float, until_s: float) -> bool:
        """Whether a listed replica that matches a query may become usable before a loop time.

        A replica may, if it only lacks a permit or if its exclusion for failures or refusals ends in time.
        """
        candidates = [
            state.incarnation
            for state in self._state_by_incarnation.values()
            if self._matches(state, query, now_s)
            and self.send_rules.allows_apart_from(self._cold_rule, state.info, query.send_context, now_s)
        ]
        return bool(self.health.filter_usable(candidates, until_s))

    def _apply_isolation(self, query: ReplicaQuery, now_s: float) -> ReplicaQuery:
        """Return a query that excludes those replicas which isolated runs keep from the request now.

        An isolated run gets no replica if the share of replicas with isolated runs would become too large.
        Other requests may use the avoided replicas if they have no other usable one.
        """
        isolation = query.isolation
        if isolation is NO_ISOLATION:
            return query
        excluded = query.excluded | isolation.avoided
        if isolation.is_isolated:
            excluded |= isolation.crashed
        usable = self._usable_at_any_load(query, now_s)
        if isolation.is_isolated:
            isolated_count = len(usable & isolation.avoided) + 1
            if isolated_count > math.ceil(MAX_ISOLATED_SHARE * len(usable)):
                excluded |= usable
        elif usable <= isolation.avoided:
            return query
        return msgspec.structs.replace(query, excluded=excluded)

    def _usable_at_any_load(self, query: ReplicaQuery, now_s: float) -> frozenset[ReplicaIncarnation]:
        """Return the usable replicas that match a query but for its limit of the load."""
        any_load_query = msgspec.structs.replace(query, load_below=math.inf)
        states = self._state_by_incarnation.values()
        eligible = [state.incarnation for state in states if self._is_eligible(state, any_load_query, now_s)]
        return frozenset(self.health.filter_usable(eligible, now_s))

    def _request_permits(self, query: ReplicaQuery, now_s: float) -> None:
        """Request permits for the cold replicas that match a query and are not ejected."""
        states = self._state_by_incarnation.values()
        cold = [state for state in states if self.cold_replicas.is_cold(state.info, now_s)]
        matching = [state.info for state in cold if self._matches(state, query, now_s)]
        usable = self.health.filter_usable([info.incarnation for info in matching], now_s)
        for info in matching:
            if info.incarnation in usable:
                self.permit_pool.request_permit(info.replica_id, info.service)

    def _choose_best(self, query: ReplicaQuery, now_s: float) -> ReplicaState | None:
        candidates = [
            state for state in self._state_by_incarnation.values() if self._is_eligible(state, query, now_s)
        ]
        usable = set(self.health.filter_usable([state.incarnation for state in candidates], now_s))
        healthy = [state for state in candidates if state.incarnation in usable]
        if not healthy:
            return None
        self._random.shuffle(healthy)
        if not self.distances.has_multiple_regions:
            return min(healthy, key=lambda state: self._score(state, query, now_s))
        return self._choose_between_regions(healthy, query, now_s)

    def _choose_between_regions(
        self, candidates: list[ReplicaState], query: ReplicaQuery, now_s: float
    ) -> ReplicaState | None:
        """Return the best replica of the local region, or one of another region.

        The other region gets a share of the requests for which it is expected to answer earlier, and may
        get those without a usable local replica.  None means to wait for a local replica.
        """
        local = [state for state in candidates if self.distances.is_local_region(state.info.zone)]
        remote = [state for state in candidates if not self.distances.is_local_region(state.info.zone)][
            :MAX_REMOTE_CANDIDATES
        ]
        request_class = (query.services, query.model, query.send_context.allowed_regions)
        best_local = min(local, key=lambda state: self._score(state, query, now_s), default=None)
        best_remote = min(remote, key=lambda state: self._score(state, query, now_s), default=None)
        if best_local is not None:
            self._local_capacity_waits.record_capacity(request_class)
        if best_local is None or best_remote is None:
            return best_local or self._choose_remote(best_remote, request_class, query, now_s)
        cost_s = self.distances.network_cost_s(best_remote.info.zone)
        share = spillover_share(
            best_local.expected_answer_time_s(now_s) - best_remote.expected_answer_time_s(now_s) - cost_s,
            cost_s,
        )
        return best_remote if self._random.random() < share else best_local

    def _choose_remote(
        self, remote: ReplicaState | None, request_class: Hashable, query: ReplicaQuery, now_s: float
    ) -> ReplicaState | None:
        """Return the remote replica for a request without a usable local one, or None to wait.

        A request waits if local replicas are only too loaded for it, until requests of its class have
        waited for the time of the network cost.
        """
        if remote is None or not self._has_local_replica(query, now_s):
            return remote
        cost_s = self.distances.network_cost_s(remote.info.zone)
        return remote if self._local_capacity_waits.record_no_capacity(request_class, cost_s, now_s) else None

    def _has_local_replica(self, query: ReplicaQuery, now_s: float) -> bool:
        """Whether only the query's limit of the load excludes a local replica; False without such a limit."""
        if query.load_below == math.inf:
            return False
        any_load_query = msgspec.structs.replace(query, load_below=math.inf)
        local = [
            state
            for state in self._state_by_incarnation.values()
            if self.distances.is_local_region(state.info.zone)
        ]
        eligible = [state.incarnation for state in local if self._is_eligible(state, any_load_query, now_s)]
        return bool(self.health.filter_usable(eligible, now_s)) if eligible else False

    def _is_eligible(self, state: ReplicaState, query: ReplicaQuery, now_s: float) -> bool:
        """Whether a replica matches a query, all send rules allow it, and any permit needed is free."""
        if not self._matches(state, query, now_s):
            return False
        if not self.send_rules.allows(state.info, query.send_context, now_s):
            return False
        return not self.cold_replicas.any_may_be_cold or self._cold_rule.may_claim_permit(
            state.info, query.send_context, now_s
        )

    def _matches(self, state: ReplicaState, query: ReplicaQuery, now_s: float) -> bool:
        """Whether a replica meets the criteria of a query; send rules and health are not checked."""
        info = state.info
        if info.service not in query.services or state.incarnation in query.excluded:
            return False
        if state.load(now_s) >= query.load_below:
            return False
        if not query.model:
            return True
        version = state.weight_version(query.model)
        return version >= query.min_version and query.exact_version in (None, version)

    def _score(self, state: ReplicaState, query: ReplicaQuery, now_s: float) -> float:
        """Return a score, which is lower for a better replica; 1 stands for a time of DEFAULT_LATENCY_S."""
        load = state.load(now_s)
        score = (1.0 + load) * state.expected_latency_s(now_s) / DEFAULT_LATENCY_S + load
        if state.info.zone != self.topology.zone:
            score += self.distances.network_cost_s(state.info.zone) / DEFAULT_LATENCY_S
        if state.is_probably_loading(now_s):
            score += LOADING_SCORE_PENALTY
        if query.preferred == state.incarnation:
            score -= 0.15
        return score

    def has_faster(
        self,
        incarnation: ReplicaIncarnation,
        query: ReplicaQuery,
        now_s: float,
        latency_share: float = FASTER_LATENCY_SHARE,
    ) -> bool:
        """Whether the best replica for a query has less than ``latency_share`` of an incarnation's latency.

        False if there is no usable replica for the query or the incarnation is not listed.
        """
        state = self._state_by_incarnation.get(incarnation)
        if query.isolation.avoided:
            query = msgspec.structs.replace(query, excluded=query.excluded | query.isolation.avoided)
        best = self._choose_best(query, now_s)
        if state is None or best is None:
            return False
        return best.expected_latency_s(now_s) < latency_share * state.expected_latency_s(now_s)

    def record_latency(self, incarnation: ReplicaIncarnation, latency_s: float, now_s: float) -> None:
        """Record a latency, or the time waited without an answer; ignored for an unlisted incarnation."""
        state = self._state_by_incarnation.get(incarnation)
        if state is None:
            return
        current_s = state.expected_latency_s(now_s)
        capped_s = min(latency_s, MAX_LATENCY_INCREASE_FACTOR * current_s)
        state.latency_s = current_s + LATENCY_SMOOTHING * (capped_s - current_s)
        state.latency_recorded_at_s = now_s

    def record_load(self, incarnation: ReplicaIncarnation, reported_requests: int, now_s: float) -> None:
        """Record the number of running and waiting requests, of all daemons, that a replica reported.

        Ignored for an incarnation that is not listed.
        """
        state = self._state_by_incarnation.get(incarnation)
        if state is not None:
            state.other_requests = max(reported_requests - state.in_flight, 0)
            state.load_reported_at_s = now_s
