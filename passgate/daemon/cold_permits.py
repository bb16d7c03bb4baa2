"""Limits the request rate of cold replicas: computes the limits, and issues and obtains permits.

A cold replica can not serve its full rate yet, for example just after its start.  If its service has a limit,
each request to the replica uses up a permit.  The daemon that leads the control topic issues the permits to
all daemons.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import ColdReplicasChanged, DecisionLog, PermitCountsReported
from passgate.duties.usage_forwarder import CONTROL_PARTITION
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permit_client import CHECK_INTERVAL_S, PERMITS_METHOD, PermitClient
from passgate.eligibility.permit_issuer import PermitIssuer
from passgate.eligibility.permits import PermitCounters
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import NO_VERSION, ConfigHolder
from passgate.gateway.settings import GatewaySettings
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory
from passgate.versions.control_topic import ControlTopic

REPORT_INTERVAL_S = 1.0
"""Minimum time between two decision lines about permits, and between two about cold replicas."""
MAX_REQUESTS_PER_S = 1_000_000.0
"""Upper bound of a limit, so that an infinite configured rate becomes a whole number."""
STALE_LOG_AGE_S = 1.3
"""Age from which this daemon's view of the operator's topic counts as stale; while the log responds, a long
poll confirms the view about once a second even without new records."""
STALE_LIST_AGE_S = 2.5
"""Age from which this daemon's list of replicas counts as stale; a relayed list is confirmed within 2 s."""
MAX_LISTED_REPLICAS = 8
"""Maximum number of replicas that one decision line names; the line also gives the total."""


class ColdRateLimits:
    """Rate limits of cold replicas, one for each service, computed from the active configuration.

    >>> from passgate.gateway.routes import ColdStart, GatewayConfig, Service
    >>> config_holder = ConfigHolder()
    >>> service = Service(name="s", cold_start=ColdStart(lasts_s=3.0, requests_per_s=16.0))
    >>> _ = config_holder.apply_if_newer(GatewayConfig(version=1, services=(service,)))
    >>> ColdRateLimits(config_holder, lambda: (1.5, 5.0)).limit_for("s").max_requests_per_s
    29
    """

    def __init__(
        self, config_holder: ConfigHolder, overshoot_and_slack: Callable[[], tuple[float, float]]
    ) -> None:
        """Create the limits.

        Args:
            config_holder: the active configuration.
            overshoot_and_slack: returns the factor by which a configured rate is multiplied, and the requests
                a second that are added to the product.
        """
        self._config_holder = config_holder
        self._overshoot_and_slack = overshoot_and_slack
        self._computed_from: tuple[int, float, float] = (NO_VERSION, 0.0, 0.0)
        """Configuration version, overshoot and slack that the cached limits were computed from."""
        self._limits: dict[str, ColdLimit] = {}

    def limit_for(self, service: str) -> ColdLimit | None:
        """Return the limit of a service; None if it has none or no configuration is known."""
        table = self._config_holder.table
        if table is None:
            return None
        overshoot, slack = self._overshoot_and_slack()
        inputs = (table.config.version, overshoot, slack)
        if inputs != self._computed_from:
            self._computed_from = inputs
            self._limits = {
                entry.name: ColdLimit(
                    max_duration_s=entry.cold_start.lasts_s,
                    max_requests_per_s=_whole_requests_per_s(
                        entry.cold_start.requests_per_s * overshoot + slack
                    ),
                )
                for entry in table.config.services
                if entry.cold_start is not None
            }
        return self._limits.get(service)

    @property
    def has_limits(self) -> bool:
        """Whether any service of the active configuration has a limit."""
        self.limit_for("")
        return bool(self._limits)


def _whole_requests_per_s(rate: float) -> int:
    """Return a rate, rounded down, as a whole number from 0 to MAX_REQUESTS_PER_S; not-a-number gives 0.

    >>> [_whole_requests_per_s(rate) for rate in (29.5, -1.0, math.nan, math.inf)]
    [29, 0, 0, 1000000]
    """
    return math.floor(min(max(0.0, rate), MAX_REQUESTS_PER_S))


class ColdPermitService:
    """Requests permits to send to cold replicas, and issues them to all daemons while this daemon leads.

    Writes the permit counts and the set of cold replicas to the decision log.
    """

    def __init__(
        self,
        settings: Callable[[], GatewaySettings],
        config_holder: ConfigHolder,
        replicas: ReplicaTable,
        control: ControlTopic,
        transport: PeerTransport,
        directory: GroupDirectory,
        log_age_s: Callable[[], float],
        list_age_s: Callable[[], float],
        decisions: DecisionLog,
    ) -> None:
        """Set the limits of ``replicas``, and create the permit issuer and the client that requests permits.

        Args:
            settings: returns the current settings, which may be reloaded.
            config_holder: the active configuration.
            replicas: the known replicas, and this daemon's permits for cold ones.
            control: the control topic, whose leader issues permits.
            transport: sends permit requests to other daemons.
            directory: the group members of this daemon's zone.
            log_age_s: returns the age of this daemon's view of the operator's topic.
            list_age_s: returns the age of this daemon's list of replicas.
            decisions: the decision log.
        """
        self._replicas = replicas
        self._log_age_s = log_age_s
        self._list_age_s = list_age_s
        self._decisions = decisions
        self._limits = ColdRateLimits(
            config_holder, lambda: (settings().cold_overshoot, settings().cold_slack)
        )
        replicas.cold_replicas.limit_of = self._limits.limit_for
        self._issuer = PermitIssuer(
            control.leadership,
            find_leader=control.leadership.known_leader,
            limit_of=self._limits.limit_for,
            list_cold_ms=self._remaining_cold_ms,
            counters=replicas.permit_pool.counters,
            decisions=decisions,
        )
        self._permit_client = PermitClient(
            transport,
            self._issuer,
            permit_pool=replicas.permit_pool,
            cold_replicas=replicas.cold_replicas,
            find_watcher=lambda: directory.holder_of(CONTROL_PARTITION),
            list_other_members=lambda: directory.other_members(""),
            is_view_stale=self._is_view_stale,
        )
        self._last_reported_cold: list[str] = []
        """Cold replicas when they were last reported."""
        self._last_reported_counts = PermitCounters()
        """Permit counters when they were last reported."""
        self._last_report_s = 0.0
        self.peer_method = PERMITS_METHOD
        """Method name of the peer calls that :attr:`handle_peer_request` handles."""
        self.handle_peer_request = self._permit_client.handle_request
        """Takes the sender's address and an encoded permit request; returns the encoded response.

        Raises msgspec.DecodeError for a payload that is no permit request.
        """

    def _is_view_stale(self) -> bool:
        """Whether replicas with a limit may be cold of which this daemon has not read it."""
        if not self._limits.has_limits:
            return False
        return self._log_age_s() >= STALE_LOG_AGE_S or self._list_age_s() >= STALE_LIST_AGE_S

    def _remaining_cold_ms(self) -> dict[str, int]:
        """Return the milliseconds until each cold replica counts as warm, by replica ID."""
        now_s = monotonic_s()
        infos = [state.info for state in self._replicas.all()]
        remaining_s = {
            info.replica_id: self._replicas.cold_replicas.remaining_cold_s(info, now_s) for info in infos
        }
        # An infinite time, for a replica that is possibly cold without a known end, is left out.
        return {key: round(left_s * 1000) for key, left_s in remaining_s.items() if 0.0 < left_s < math.inf}

    async def run(self) -> None:
        """Request and issue permits and write reports, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._permit_client.run())
            group.create_task(self._run_periodic_tasks())

    async def _run_periodic_tasks(self) -> None:
        """Update the issuer, and drop expired state and report changes at longer intervals."""
        while True:
            self._issuer.update()
            now_s = monotonic_s()
            if now_s - self._last_report_s >= REPORT_INTERVAL_S:
                self._last_report_s = now_s
                self._drop_expired(now_s)
                self._report_changes(now_s)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired permits, and what is known of cold replicas that are warm now or no longer listed."""
        replica_ids = {state.info.replica_id for state in self._replicas.all()}
        self._replicas.cold_replicas.drop_expired(replica_ids, now_s)
        self._replicas.permit_pool.drop_expired(now_s)

    def _report_changes(self, now_s: float) -> None:
        """Write the set of cold replicas and the permit counters, each if changed since its last report."""
        infos = [state.info for state in self._replicas.all()]
        cold = sorted(info.replica_id for info in infos if self._replicas.cold_replicas.is_cold(info, now_s))
        if cold != self._last_reported_cold:
            self._last_reported_cold = cold
            age_ms = round(self._log_age_s() * 1000, 1)
            listed = tuple(cold[:MAX_LISTED_REPLICAS])
            self._decisions.write(ColdReplicasChanged(cold=len(cold), replicas=listed, log_age_ms=age_ms))
        counts = self._replicas.permit_pool.counters
        if counts != self._last_reported_counts:
            current = msgspec.structs.asdict(counts)
            previous = msgspec.structs.asdict(self._last_reported_counts)
            self._last_reported_counts = msgspec.structs.replace(counts)
            increases = {name: count - previous[name] for name, count in current.items()}
            self._decisions.write(
                PermitCountsReported(leader=self._permit_client.leader_address, **increases)
            )
