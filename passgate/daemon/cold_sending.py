"""Sends to cold replicas: connects what is known of them, their permits and the questions for these."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import ColdReplicasChanged, DecisionLog, PermitsCounted
from passgate.duties.usage_channel import CONTROL_PART
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permit_grantor import PermitGrantor
from passgate.eligibility.permit_peers import PERMITS_METHOD, TICK_S, PermitPeers
from passgate.eligibility.permits import PermitTally
from passgate.gateway.replicas import ReplicaTable
from passgate.gateway.routes import NO_VERSION, ConfigHolder
from passgate.gateway.settings import GatewaySettings
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory
from passgate.versions.control import ControlTopic

REPORT_S = 1.0
"""Time between lines about permits and cold replicas."""
UNBOUNDED_PER_S = 1_000_000.0
"""Rate that no replica reaches."""
NAMED_REPLICAS = 8
"""Replicas that a line names; the others are counted."""


class ColdLimits:
    """What may reach a cold replica of each service, by the configuration in force.

    >>> from passgate.gateway.routes import ColdStart, GatewayConfig, Service
    >>> holder = ConfigHolder()
    >>> service = Service(name="s", cold_start=ColdStart(lasts_s=3.0, requests_per_s=16.0))
    >>> _ = holder.offer(GatewayConfig(version=1, services=(service,)))
    >>> ColdLimits(holder, lambda: (1.5, 5.0)).of("s").most_per_s
    29
    """

    def __init__(self, config: ConfigHolder, overshoot_and_slack: Callable[[], tuple[float, float]]) -> None:
        self._config = config
        self._overshoot_and_slack = overshoot_and_slack
        self._made_of: tuple[int, float, float] = (NO_VERSION, 0.0, 0.0)
        """Version of the configuration, overshoot and slack that the limits come from."""
        self._limits: dict[str, ColdLimit] = {}

    def of(self, service: str) -> ColdLimit | None:
        """Return the limit of a service, or None."""
        table = self._config.table
        if table is None:
            return None
        overshoot, slack = self._overshoot_and_slack()
        made_of = (table.config.version, overshoot, slack)
        if made_of != self._made_of:
            self._made_of = made_of
            self._limits = {
                each.name: ColdLimit(
                    lasts_s=each.cold_start.lasts_s,
                    most_per_s=_most_per_s(each.cold_start.requests_per_s * overshoot + slack),
                )
                for each in table.config.services
                if each.cold_start is not None
            }
        return self._limits.get(service)

    @property
    def any(self) -> bool:
        """Whether any service has a limit."""
        self.of("")
        return bool(self._limits)


def _most_per_s(bound: float) -> int:
    """Return the whole requests within a bound, which an operator may have written in any way.

    >>> _most_per_s(29.5), _most_per_s(-1.0), _most_per_s(math.nan), _most_per_s(math.inf)
    (29, 0, 0, 1000000)
    """
    return math.floor(min(max(0.0, bound), UNBOUNDED_PER_S))


class ColdSending:
    """One daemon's part in keeping cold replicas within what they bear."""

    def __init__(
        self,
        settings: Callable[[], GatewaySettings],
        config: ConfigHolder,
        replicas: ReplicaTable,
        control: ControlTopic,
        transport: PeerTransport,
        directory: GroupDirectory,
        log_age_s: Callable[[], float],
        decisions: DecisionLog,
    ) -> None:
        """Connect the parts.

        Args:
            settings: returns the daemon's settings, which may be reloaded.
            config: the configuration in force.
            replicas: the replicas that are known, with their permits.
            control: tells who leads.
            transport: carries questions to other daemons.
            directory: the members of this daemon's zone.
            log_age_s: returns the age of this daemon's view of the log.
            decisions: where decisions are noted.
        """
        self._replicas = replicas
        self._log_age_s = log_age_s
        self._decisions = decisions
        self._limits = ColdLimits(config, lambda: (settings().cold_overshoot, settings().cold_slack))
        replicas.cold.limit_of = self._limits.of
        self._grantor = PermitGrantor(
            control.leadership,
            leader=lambda: control.fold.leader,
            limit_of=self._limits.of,
            cold_ms=self._cold_ms,
            tally=replicas.permits.tally,
            decisions=decisions,
        )
        self._peers = PermitPeers(
            transport,
            self._grantor,
            stock=replicas.permits,
            cold=replicas.cold,
            watcher=lambda: directory.member_of(CONTROL_PART),
            others=lambda: directory.others(""),
            log_age_s=lambda: log_age_s() if self._limits.any else 0.0,
        )
        self._reported_cold: list[str] = []
        """Cold replicas of the last line about them."""
        self._reported_tally = PermitTally()
        """Counts of permits up to the last line about them."""
        self._reported_s = 0.0
        self.method = PERMITS_METHOD
        """Name of the questions that :attr:`answer` takes."""
        self.answer = self._peers.answer
        """Answers another daemon's question, by its address."""

    def _cold_ms(self) -> dict[str, int]:
        """Return the cold replicas, with the time for which they stay so."""
        now_s = monotonic_s()
        infos = [state.info for state in self._replicas.all()]
        left_s = {info.replica_id: self._replicas.cold.left_s(info, now_s) for info in infos}
        # A replica in doubt has no known end; what this daemon can not tell, it does not tell others.
        return {key: round(left * 1000) for key, left in left_s.items() if 0.0 < left < math.inf}

    async def run(self) -> None:
        """Ask for permits and keep the books, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._peers.run())
            group.create_task(self._keep_books())

    async def _keep_books(self) -> None:
        while True:
            self._grantor.tick()
            now_s = monotonic_s()
            if now_s - self._reported_s >= REPORT_S:
                self._reported_s = now_s
                self._forget_old(now_s)
                self._report(now_s)
            await asyncio.sleep(TICK_S)

    def _forget_old(self, now_s: float) -> None:
        listed = {state.info.replica_id for state in self._replicas.all()}
        self._replicas.cold.forget(listed, now_s)
        self._replicas.permits.forget_old(now_s)

    def _report(self, now_s: float) -> None:
        """Write what has changed since the last look."""
        infos = [state.info for state in self._replicas.all()]
        cold = sorted(info.replica_id for info in infos if self._replicas.cold.is_cold(info, now_s))
        if cold != self._reported_cold:
            self._reported_cold = cold
            age_ms = round(self._log_age_s() * 1000, 1)
            names = tuple(cold[:NAMED_REPLICAS])
            self._decisions.write(ColdReplicasChanged(cold=len(cold), replicas=names, log_age_ms=age_ms))
        tally = self._replicas.permits.tally
        if tally != self._reported_tally:
            fields = msgspec.structs.asdict(tally)
            before = msgspec.structs.asdict(self._reported_tally)
            self._reported_tally = msgspec.structs.replace(tally)
            risen = {name: count - before[name] for name, count in fields.items()}
            self._decisions.write(PermitsCounted(leader=self._peers.leader, **risen))
