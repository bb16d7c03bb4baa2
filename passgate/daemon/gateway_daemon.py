"""One gateway daemon: connects servers, log followers, jobs and weight orders.

Everything that lasts stands on the shared log; a daemon that starts knows nothing
and answers "not ready" until it has read the configuration and the replicas.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from functools import partial

from passgate.clients.curl import HttpClient
from passgate.clock import monotonic_s
from passgate.daemon.cold_sending import ColdSending
from passgate.daemon.control_topic import make_control_topic
from passgate.daemon.job_partitions import make_shards
from passgate.daemon.planned_stop import RELEASE_WAIT_S, PlannedStop
from passgate.daemon.replica_rules import make_replicas
from passgate.daemon.runners import RunnerMaker
from passgate.daemon.topics import LogTopics
from passgate.decisions import (
    ConfigurationInForce,
    ConfigurationRejected,
    DaemonStarted,
    DecisionLog,
    DependencyLost,
    DependencyRegained,
    SettingsReloaded,
)
from passgate.discovery.service import Discovery, ReplicaDecoder
from passgate.discovery.view import DiscoveryView
from passgate.duties.calls import DutyCalls
from passgate.duties.folds import DutyFolds
from passgate.duties.service import Duties
from passgate.eligibility.evacuation import EvacuatedZones
from passgate.errors import InvalidConfiguration
from passgate.gateway.configuration_peers import CONFIGURATION_METHOD, ConfigurationPeers
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.forwarder import Forwarder
from passgate.gateway.ingress import Handler, Ingress, probe_handler
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.replica_call import ReplicaCaller
from passgate.gateway.routes import ConfigHolder, GatewayConfig
from passgate.gateway.settings import GatewaySettings
from passgate.gateway.stream_forwarder import StreamForwarder
from passgate.jobs.peers import JobPeers
from passgate.jobs.records import writer_name
from passgate.jobs.service import JobService
from passgate.peers.transport import PeerTransport
from passgate.quarantine.peers import CRASH_REPORTS_METHOD, CrashPeers
from passgate.quarantine.service import Crashes
from passgate.sharedlog.candidacy import Candidacy
from passgate.sharedlog.counted import CountedLog
from passgate.sharedlog.group import GroupDirectory, GroupMember, OtherZones, group_of_zone
from passgate.sharedlog.log import SharedLog
from passgate.sharedlog.member_names import member_name
from passgate.sharedlog.tail import Freshness, KeyedTail, TailSettings
from passgate.statecharts import Machine
from passgate.versions.loader import Loader, ReplicaControl, WantedVersions, read_life

WATCH_S = 0.1
"""Time between looks at the log's freshness and the daemon's life."""
FLUSH_S = 0.2
"""Time between writes of decision lines."""
LOG_LOST_S = 2.5
"""Age of the view of the log from which it counts as lost: two long polls and a half."""
RELAYING_PART = 0
"""The daemon of a zone that watches this partition relays a long list of replicas."""
CONFIGURED_STEP_S = 0.05
"""Time between looks for the first configuration."""
DUTY_METHODS = "duties."
"""Questions between daemons whose method begins so are about duties."""


class GatewayDaemon:
    """One daemon.  An adapter gives it the log, the topics' meaning and the callers' handler."""

    def __init__(
        self,
        settings: GatewaySettings,
        names: HeaderNames,
        topics: LogTopics,
        http: HttpClient,
        log: SharedLog,
        control: ReplicaControl,
        decoder: ReplicaDecoder,
        peers: PeerTransport,
        duty_calls: DutyCalls | None = None,
    ) -> None:
        self.settings = settings
        self.http = http
        self.start_id = secrets.token_hex(4)
        writer = writer_name(settings.daemon_id, self.start_id, peers.address)
        self.metrics = GatewayMetrics()
        self.decisions = DecisionLog(settings.daemon_id, observe=self.metrics.observe)
        log = CountedLog(log, self.metrics.count_log_call)
        self.config = ConfigHolder(settings.places)
        self.evacuated = EvacuatedZones(self.decisions)
        self.replicas = make_replicas(settings, self.config, self.evacuated, self.metrics)
        self.wanted = WantedVersions(self.decisions)
        self._discovery = Discovery(
            log,
            topics.replicas,
            decoder,
            DiscoveryView(self.replicas, self.decisions),
            settings.daemon_id,
            lambda: RELAYING_PART in self._member.held(),
            self.decisions,
        )
        self._log = log
        self._crashes = Crashes(
            log, topics.crashes, self.replicas.set_aside, self.decisions, partial(read_life, control)
        )
        caller = ReplicaCaller(http, self.replicas, names, self._crashes.guard)
        runners = RunnerMaker(caller, self.replicas, names, self.config, self.decisions, self.evacuated)
        self._peers = peers
        member = member_name(settings.daemon_id, peers.address, settings.cores)
        candidacy = Candidacy(settings.cores)
        group = group_of_zone(topics.watch_group, settings.zone)
        self._member = GroupMember(
            log,
            group,
            member,
            topics.jobs,
            self.decisions,
            candidacy=candidacy,
            least_lifetime_s=settings.group_lifetime_s,
        )
        self._directory = GroupDirectory(log, group, topics.jobs, candidacy)
        distances = self.replicas.distances
        self._elsewhere = OtherZones(
            log, topics.watch_group, topics.jobs, distances.nearest_first, distances.fallback_zones
        )
        job_peers = JobPeers(peers, self._directory, member, self.decisions, distances, self._elsewhere)
        self._duty_folds = duty_folds = DutyFolds()
        self._control = make_control_topic(
            log,
            settings,
            topics,
            writer,
            member=self._member,
            peers=job_peers,
            duty_folds=duty_folds,
            decisions=self.decisions,
        )
        self._duties: Duties | None = None
        if settings.duties is not None and duty_calls is not None:
            self._duties = Duties(
                settings.duties,
                duty_calls,
                self._control,
                duty_folds,
                peers,
                self._directory,
                self.decisions,
                config=self.config,
                replicas=self.replicas,
                evacuated=self.evacuated,
                member=member,
                holder=settings.daemon_id,
            )
        self._configuration_peers = ConfigurationPeers(
            peers,
            lambda: self._directory.others(member),
            self.config,
            self.evacuated,
            self._log_age_s,
            self.put_config,
            self.decisions,
        )
        self.cold = ColdSending(
            lambda: self.settings,
            self.config,
            self.replicas,
            control=self._control,
            transport=peers,
            directory=self._directory,
            log_age_s=self._log_age_s,
            decisions=self.decisions,
        )
        self._crash_peers = CrashPeers(peers, lambda: self._directory.others(member), self._crashes.channel)
        counts_usage = settings.duties is not None and settings.duties.usage
        meter = self._duties.meter if self._duties is not None and counts_usage else None
        self.forwarder = Forwarder(caller, self.replicas, names, self.decisions, self.config, meter)
        self.stream_forwarder = StreamForwarder(
            caller, self.replicas, names, self.decisions, self.config, meter
        )
        self.shards = make_shards(
            log,
            settings,
            topics,
            writer,
            config=self.config,
            member=self._member,
            candidacy=candidacy,
            runners=runners,
            peers=job_peers,
            decisions=self.decisions,
        )
        self.jobs = JobService(
            self.shards, job_peers, self._control.journal, self.wanted.newest, self._log_age_s, self.decisions
        )
        self._loader = Loader(
            self.wanted,
            self.replicas,
            self._control.leadership,
            control,
            settings.daemon_id,
            self._control.fold.newest_jobs,
            self._crashes.guard,
            self.decisions,
        )
        self._keyed_tails: list[KeyedTail] = []
        self._flushed_s = 0.0
        self._stop = asyncio.Event()
        self.life = Machine("daemon")
        """Life of this daemon, by the chart of that name."""

    # --- beliefs -----------------------------------------------------------------

    def put_config(self, config: GatewayConfig) -> None:
        """Take a configuration; one that contradicts itself changes nothing."""
        try:
            newer = self.config.offer(config)
        except InvalidConfiguration as error:
            self.decisions.write(ConfigurationRejected(version=config.version, reason=str(error)))
            return
        if newer:
            self.decisions.write(ConfigurationInForce(version=config.version, routes=len(config.routes)))
            limits = config.limits
            self._front.set_limits(max_body_bytes=limits.max_body_bytes, idle_timeout_s=limits.idle_timeout_s)

    def follow(self, topic: str, gap_s: float, replace: Callable, update: Callable) -> None:
        """Follow a keyed topic with an adapter's translation."""
        settings = TailSettings(topic=topic, gap_s=gap_s, urgent=True)
        self._keyed_tails.append(KeyedTail(self._log, settings, replace=replace, update=update))

    # --- life --------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.life.within("serving")

    def _knows_all(self) -> bool:
        return self.config.table is not None and self._discovery.loaded and self._crashes.loaded

    @property
    def _log_freshness(self) -> Freshness:
        """How fresh this daemon's view of what the operator writes is."""
        return self._keyed_tails[0].freshness

    def _log_age_s(self) -> float:
        return self._log_freshness.age_s(monotonic_s())

    @property
    def configuration_may_be_stale(self) -> bool:
        """Whether a newer configuration may be in force, as neither the log nor a daemon tells."""
        return self._configuration_peers.age_s() >= LOG_LOST_S

    @property
    def configuration_expired(self) -> bool:
        """Whether the operator wants requests refused, as the configuration may be too old."""
        settings = self.settings
        return settings.fail_closed and self._configuration_peers.age_s() > settings.configuration_age_s

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.life.within("stopping")

    def reload(self, settings: GatewaySettings) -> None:
        """Put changed settings in force; addresses that it listens on stay as they are."""
        changed = settings != self.settings
        self.settings = settings
        self._control.leadership.lease_s = settings.lease_s
        self.decisions.write(SettingsReloaded(changed=changed))

    def stop(self) -> None:
        """Begin a planned stop."""
        if self.life.can("stop"):
            self.life.send("stop")
        self._stop.set()

    async def run(self, handler: Handler) -> None:
        """Serve until a planned stop has ended."""
        self._front = Ingress(handler)
        self._ready_server = Ingress(probe_handler(self.ready, self._exposition))
        self._front.listen(self.settings.front_address)
        self._ready_server.listen(self.settings.ready_address)
        self.decisions.write(self._started_event())
        self._peers.start(_ignore_message, self._answer_peer)
        background = [
            self._discovery.run(),
            self._crashes.run(),
            *(tail.run() for tail in self._keyed_tails),
            self._run_when_configured(),
            self._watch_log(),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(part) for part in background]
                await self._stop.wait()
                await PlannedStop(
                    self._front,
                    self.life,
                    self._hand_over,
                    self._flush_counts,
                    self.decisions,
                    grace_s=self.settings.stop_grace_s,
                ).run()
                for task in tasks:
                    task.cancel()
        finally:
            await self._peers.close()
        self.decisions.flush()

    def _started_event(self) -> DaemonStarted:
        duties = self.settings.duties
        return DaemonStarted(
            start_id=self.start_id,
            zone=self.settings.zone,
            scaling_policy=duties.scaling.value if duties is not None else "",
        )

    def _exposition(self) -> bytes:
        self.metrics.log_age.set(self._log_age_s())
        self.metrics.evacuated_zones.set(len(self.evacuated))
        self.metrics.evacuation_age.set(self._configuration_peers.evacuations_age_s())
        self.metrics.in_flight.set(self._front.in_flight)
        self.metrics.jobs_owned.set(self.shards.running)
        self.metrics.leads.set(self._control.leadership.leads)
        self.metrics.usage_late.set(self._duty_folds.usage.late)
        return self.metrics.exposition()

    async def _run_when_configured(self) -> None:
        while self.config.table is None:
            await asyncio.sleep(CONFIGURED_STEP_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._member.run())
            group.create_task(self._control.run())
            group.create_task(self.shards.run())
            group.create_task(self._directory.keep_known())
            group.create_task(self._elsewhere.keep_known())
            group.create_task(self._loader.run())
            group.create_task(self._configuration_peers.run())
            group.create_task(self._crash_peers.run())
            group.create_task(self.cold.run())
            if self._duties is not None:
                group.create_task(self._duties.run())

    async def _answer_peer(self, sender: str, method: str, payload: bytes) -> bytes:
        if self._duties is not None and method.startswith(DUTY_METHODS):
            return await self._duties.answer_peer(sender, method, payload)
        if method == CONFIGURATION_METHOD:
            return self._configuration_peers.answer(payload)
        if method == self.cold.method:
            return self.cold.answer(sender, payload)
        if method == CRASH_REPORTS_METHOD:
            return self._crash_peers.answer(payload)
        return await self.jobs.answer_peer(sender, method, payload)

    async def _watch_log(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            if self.life.within("starting") and self._knows_all():
                self.life.send("caught_up")
                self.life.send("joined")
            self._note_log_state(self._log_age_s())
            now_s = monotonic_s()
            if now_s - self._flushed_s >= FLUSH_S:
                self._flushed_s = now_s
                self.decisions.flush()

    def _note_log_state(self, age_s: float) -> None:
        if age_s >= LOG_LOST_S and self.life.can("log_lost"):
            self.life.send("log_lost")
            self.decisions.write(DependencyLost(dependency="log", age_s=round(age_s, 3)))
        elif age_s < LOG_LOST_S and self.life.can("log_back"):
            self.life.send("log_back")
            self.decisions.write(DependencyRegained(dependency="log"))

    async def _hand_over(self) -> None:
        """Free all that is owned, then leave the group."""
        stands = [*self.shards.stop(), self._control.stop()]
        await asyncio.wait(stands, timeout=RELEASE_WAIT_S)
        await self._member.leave()

    async def _flush_counts(self) -> None:
        if self._duties is not None:
            await self._duties.meter.flush()


def _ignore_message(sender: str, payload: bytes) -> None:
    """Daemons of the platform ask questions only."""
