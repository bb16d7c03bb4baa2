"""One gateway daemon: creates and runs its HTTP servers, log followers, jobs and load orders.

All durable state is on the shared log.  A daemon starts without any state and is not ready until it has
read the configuration, the replicas and the crash reports.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from functools import partial

from passgate.clients.curl import HttpClient
from passgate.clock import monotonic_s
from passgate.daemon.cold_permits import ColdPermitService
from passgate.daemon.control_topic import make_control_topic
from passgate.daemon.graceful_shutdown import RELEASE_TIMEOUT_S, GracefulShutdown
from passgate.daemon.job_partitions import make_job_partitions
from passgate.daemon.job_runner_factory import JobRunnerFactory
from passgate.daemon.replica_table import make_replica_table
from passgate.daemon.topics import LogTopics
from passgate.decisions import (
    ConfigurationApplied,
    ConfigurationRejected,
    DaemonStarted,
    DecisionLog,
    DependencyLost,
    DependencyRegained,
    SettingsReloaded,
)
from passgate.discovery.service import Discovery, ReplicaDecoder
from passgate.discovery.view import DiscoveryView
from passgate.duties.calls import DutyClient
from passgate.duties.projections import DutyProjections
from passgate.duties.service import Duties
from passgate.eligibility.evacuation import EvacuatedZones
from passgate.errors import InvalidConfiguration
from passgate.gateway.forwarder import Forwarder
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.ingress import Ingress, RequestHandler, make_probe_handler
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.peer_configuration import CONFIGURATION_METHOD, PeerConfigurationPoller
from passgate.gateway.replica_client import ReplicaClient
from passgate.gateway.routes import ConfigHolder, GatewayConfig
from passgate.gateway.settings import GatewaySettings
from passgate.gateway.shutdown_deadline import ShutdownDeadline
from passgate.gateway.stream_forwarder import StreamForwarder
from passgate.jobs.peers import JobPeerClient
from passgate.jobs.records import writer_name
from passgate.jobs.service import JobService
from passgate.peers.transport import PeerTransport
from passgate.quarantine.crash_quarantine import CrashQuarantine
from passgate.quarantine.crash_report_exchange import CRASH_REPORTS_METHOD, CrashReportExchange
from passgate.sharedlog.freshness import Freshness
from passgate.sharedlog.group import GroupDirectory, GroupMember, OtherZoneDirectories, group_of_zone
from passgate.sharedlog.group_membership_policy import GroupMembershipPolicy
from passgate.sharedlog.instrumented_log import InstrumentedLog
from passgate.sharedlog.log import SharedLog
from passgate.sharedlog.member_names import member_name
from passgate.sharedlog.tail import KeyedTail, TailSettings
from passgate.statecharts import Machine
from passgate.versions.loader import Loader, ReplicaControl, TargetVersions, read_incarnation

WATCH_INTERVAL_S = 0.1
"""Time between checks of the initial state and of the age of the log's view."""
DECISION_FLUSH_INTERVAL_S = 0.2
"""Minimum time between two periodic flushes of the decision log."""
LOG_LOST_AFTER_S = 2.5
"""Age of this daemon's view of the log from which the log counts as lost: two and a half long polls."""
RELAY_PARTITION = 0
"""Partition that selects a zone's relay: while discovery's list of replicas is long, the daemon to which the
partition is assigned copies the list to the log."""
CONFIGURATION_POLL_S = 0.05
"""Time between checks whether a first configuration has been applied."""
DUTY_METHOD_PREFIX = "duties."
"""Prefix of the methods of peer calls about singleton duties."""


class GatewayDaemon:
    """One daemon; a platform adapter supplies the log, the decoders and the handler of callers' requests."""

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        topics: LogTopics,
        http: HttpClient,
        log: SharedLog,
        replica_control: ReplicaControl,
        replica_decoder: ReplicaDecoder,
        peer_transport: PeerTransport,
        duty_client: DutyClient | None = None,
    ) -> None:
        """Create the daemon's components; nothing runs until :meth:`run`.

        Args:
            settings: the daemon's settings.
            header_names: names of the platform's HTTP headers.
            topics: names of the log's topics and groups.
            http: client for the calls to replicas.
            log: the shared log.
            replica_control: sends orders and queries to replicas.
            replica_decoder: decodes entries of discovery.
            peer_transport: carries calls between daemons.
            duty_client: makes the calls of the singleton duties; None where the platform has no duties.
        """
        self.settings = settings
        self.http = http
        self.start_id = secrets.token_hex(4)
        writer = writer_name(settings.daemon_id, self.start_id, peer_transport.address)
        self.metrics = GatewayMetrics()
        self.decisions = DecisionLog(settings.daemon_id, observe=self.metrics.observe)
        log = InstrumentedLog(log, self.metrics.count_log_call)
        self.config_holder = ConfigHolder(settings.topology)
        self.config_holder.is_expired = lambda: self.configuration_expired
        self.evacuated_zones = EvacuatedZones(self.decisions)
        self.replicas = make_replica_table(settings, self.config_holder, self.evacuated_zones, self.metrics)
        self.target_versions = TargetVersions(self.decisions)
        self._discovery = Discovery(
            log,
            topics.replicas,
            replica_decoder,
            DiscoveryView(self.replicas, self.decisions),
            settings.daemon_id,
            lambda: RELAY_PARTITION in self._group_member.assigned_partitions(),
            self.decisions,
        )
        self._log = log
        self._crash_quarantine = CrashQuarantine(
            log,
            topics.crashes,
            self.replicas.eject,
            self.decisions,
            partial(read_incarnation, replica_control),
        )
        replica_client = ReplicaClient(http, self.replicas, header_names, self._crash_quarantine.guard)
        runner_factory = JobRunnerFactory(
            replica_client,
            self.replicas,
            header_names,
            self.config_holder,
            self.decisions,
            self.evacuated_zones,
        )
        self._peer_transport = peer_transport
        member = member_name(settings.daemon_id, peer_transport.address, settings.cores)
        membership_policy = GroupMembershipPolicy(settings.cores)
        group = group_of_zone(topics.watch_group, settings.zone)
        self._group_member = GroupMember(
            log,
            group,
            member,
            topics.jobs,
            self.decisions,
            membership_policy=membership_policy,
            min_lifetime_s=settings.group_lifetime_s,
        )
        self._group_directory = GroupDirectory(log, group, topics.jobs, membership_policy)
        distances = self.replicas.distances
        self._other_zones = OtherZoneDirectories(
            log,
            topics.watch_group,
            topics.jobs,
            distances.other_zones_nearest_first,
            distances.fallback_zones,
        )
        job_peers = JobPeerClient(
            peer_transport, self._group_directory, member, self.decisions, distances, self._other_zones
        )
        self._duty_projections = duty_projections = DutyProjections()
        self._control_topic = make_control_topic(
            log,
            settings,
            topics,
            writer,
            member=self._group_member,
            peers=job_peers,
            duty_projections=duty_projections,
            decisions=self.decisions,
        )
        self._duties: Duties | None = None
        if settings.duties is not None and duty_client is not None:
            self._duties = Duties(
                settings.duties,
                duty_client,
                self._control_topic,
                duty_projections,
                peer_transport,
                self._group_directory,
                self.decisions,
                config_holder=self.config_holder,
                replicas=self.replicas,
                evacuated_zones=self.evacuated_zones,
                member=member,
                daemon_id=settings.daemon_id,
            )
        self._configuration_poller = PeerConfigurationPoller(
            peer_transport,
            lambda: self._group_directory.other_members(member),
            self.config_holder,
            self.evacuated_zones,
            self._log_age_s,
            self.apply_configuration,
            self.decisions,
        )
        self.cold_permits = ColdPermitService(
            lambda: self.settings,
            self.config_holder,
            self.replicas,
            control=self._control_topic,
            transport=peer_transport,
            directory=self._group_directory,
            log_age_s=self._log_age_s,
            list_age_s=self._discovery.view_age_s,
            decisions=self.decisions,
        )
        self._crash_report_exchange = CrashReportExchange(
            peer_transport,
            lambda: self._group_directory.other_members(member),
            self._crash_quarantine.report_log,
        )
        reports_usage = settings.duties is not None and settings.duties.usage
        usage_meter = self._duties.meter if self._duties is not None and reports_usage else None
        self.shutdown_deadline = ShutdownDeadline()
        forwarder_parts = (
            replica_client,
            self.replicas,
            header_names,
            self.decisions,
            self.config_holder,
            usage_meter,
            self.shutdown_deadline,
        )
        self.forwarder = Forwarder(*forwarder_parts)
        self.stream_forwarder = StreamForwarder(*forwarder_parts)
        self.job_partitions = make_job_partitions(
            log,
            settings,
            topics,
            writer,
            config_holder=self.config_holder,
            member=self._group_member,
            membership_policy=membership_policy,
            runner_factory=runner_factory,
            peers=job_peers,
            decisions=self.decisions,
        )
        self.jobs = JobService(
            self.job_partitions,
            job_peers,
            self._control_topic.journal,
            self.target_versions.newest,
            self._log_age_s,
            self.decisions,
        )
        self._version_loader = Loader(
            self.target_versions,
            self.replicas,
            self._control_topic.leadership,
            replica_control,
            settings.daemon_id,
            self._control_topic.leadership_projection.newest_demand_by_model,
            self._crash_quarantine.guard,
            self.decisions,
            self.config_holder.requires_single_version,
        )
        self._keyed_tails: list[KeyedTail] = []
        self._last_flush_s = 0.0
        self._stop_requested = asyncio.Event()
        self.lifecycle = Machine("daemon")
        """State of this daemon, by the chart ``daemon``."""

    # --- state read from the log ---------------------------------------------------

    def apply_configuration(self, config: GatewayConfig) -> None:
        """Apply a configuration if its version is higher than that of the active one.

        An inconsistent configuration is rejected with a decision event and changes nothing.  Must not be
        called before :meth:`run`, which creates the server on which the new limits are set.
        """
        try:
            newer = self.config_holder.apply_if_newer(config)
        except InvalidConfiguration as error:
            self.decisions.write(ConfigurationRejected(version=config.version, reason=str(error)))
            return
        if newer:
            self.decisions.write(ConfigurationApplied(version=config.version, routes=len(config.routes)))
            limits = config.limits
            self._ingress.set_limits(
                max_body_bytes=limits.max_body_bytes, idle_timeout_s=limits.idle_timeout_s
            )

    def follow_keyed_topic(
        self, topic: str, gap_s: float, on_snapshot: Callable, on_records: Callable
    ) -> None:
        """Register a keyed topic to follow; its reading begins with :meth:`run`.

        The first topic that is registered must be the operator's: the age of its view counts as that of the
        whole log.

        Args:
            topic: the topic.
            gap_s: pause between two reads.
            on_snapshot: takes the newest record of each key, and the offset of the next record.
            on_records: takes records that were read after the snapshot, and the offset of the first of them.
        """
        settings = TailSettings(topic=topic, gap_s=gap_s, urgent=True)
        self._keyed_tails.append(
            KeyedTail(self._log, settings, on_snapshot=on_snapshot, on_records=on_records)
        )

    # --- lifecycle -----------------------------------------------------------------

    def ready(self) -> bool:
        """Whether the readiness probe succeeds: the initial state is read and no shutdown has begun."""
        return self.lifecycle.within("serving")

    def _has_initial_state(self) -> bool:
        """Whether the configuration, the replicas and the crash reports have been read once."""
        return (
            self.config_holder.table is not None and self._discovery.loaded and self._crash_quarantine.loaded
        )

    @property
    def _operator_topic_freshness(self) -> Freshness:
        """Freshness of this daemon's view of the operator's topic."""
        return self._keyed_tails[0].freshness

    def _log_age_s(self) -> float:
        """Return the age of this daemon's view of the operator's topic."""
        return self._operator_topic_freshness.age_s(monotonic_s())

    @property
    def configuration_may_be_stale(self) -> bool:
        """Whether the active configuration may have been superseded.

        True once neither the log nor a peer has confirmed it as the newest for LOG_LOST_AFTER_S.
        """
        return self._configuration_poller.configuration_age_s() >= LOG_LOST_AFTER_S

    @property
    def configuration_expired(self) -> bool:
        """Whether requests must be refused, as ``fail_closed`` is set and the configuration is too old."""
        settings = self.settings
        return (
            settings.fail_closed
            and self._configuration_poller.configuration_age_s() > settings.configuration_age_s
        )

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.lifecycle.within("stopping")

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Replace the settings.

        Takes effect for settings that are read while the daemon runs, for example ``lease_s`` and
        ``fail_closed``, but not for those that are read at its start, such as addresses.
        """
        changed = settings != self.settings
        self.settings = settings
        self._control_topic.leadership.lease_s = settings.lease_s
        self.decisions.write(SettingsReloaded(changed=changed))

    def stop(self) -> None:
        """Begin a graceful shutdown; :meth:`run` returns when it has ended.  Further calls have no effect."""
        if self.lifecycle.can("stop"):
            self.lifecycle.send("stop")
        self._stop_requested.set()

    async def run(self, handler: RequestHandler) -> None:
        """Serve callers' requests with a handler until a graceful shutdown has ended."""
        self._ingress = Ingress(handler)
        self._probe_ingress = Ingress(make_probe_handler(self.ready, self._collect_metrics))
        self._ingress.listen(self.settings.front_address)
        self._probe_ingress.listen(self.settings.ready_address)
        self.decisions.write(self._started_event())
        self._peer_transport.start(_ignore_message, self._handle_peer_request)
        background = [
            self._discovery.run(),
            self._crash_quarantine.run(),
            *(tail.run() for tail in self._keyed_tails),
            self._run_when_configured(),
            self._check_state_periodically(),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(coroutine) for coroutine in background]
                await self._stop_requested.wait()
                await GracefulShutdown(
                    self._ingress,
                    self.lifecycle,
                    self._release_ownership,
                    self._flush_usage,
                    self.decisions,
                    grace_s=self.settings.stop_grace_s,
                    deadline=self.shutdown_deadline,
                ).run()
                for task in tasks:
                    task.cancel()
        finally:
            await self._peer_transport.close()
        self.decisions.flush()

    def _started_event(self) -> DaemonStarted:
        duties = self.settings.duties
        return DaemonStarted(
            start_id=self.start_id,
            zone=self.settings.zone,
            scaling_policy=duties.scaling.value if duties is not None else "",
        )

    def _collect_metrics(self) -> bytes:
        """Set the gauges to the current values and return all metrics in the text format of Prometheus."""
        self.metrics.log_age_seconds.set(self._log_age_s())
        self.metrics.evacuated_zones.set(len(self.evacuated_zones))
        self.metrics.evacuation_age_seconds.set(self._configuration_poller.evacuations_age_s())
        self.metrics.in_flight.set(self._ingress.in_flight)
        self.metrics.jobs_owned.set(self.job_partitions.running_jobs)
        self.metrics.job_view_age_seconds.set(self.job_partitions.oldest_running_view_age_s())
        self.metrics.is_leader.set(self._control_topic.leadership.leads)
        self.metrics.late_usage_requests.set(self._duty_projections.usage.late_requests)
        return self.metrics.exposition()

    async def _run_when_configured(self) -> None:
        """Wait for the first configuration, then run everything that depends on one, until cancelled."""
        while self.config_holder.table is None:
            await asyncio.sleep(CONFIGURATION_POLL_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._group_member.run())
            group.create_task(self.job_partitions.run())
            group.create_task(self._load_when_crash_reports_are_read())
            group.create_task(self._control_topic.run())
            group.create_task(self._group_directory.keep_fresh())
            group.create_task(self._other_zones.keep_fresh())
            group.create_task(self._configuration_poller.run())
            group.create_task(self._crash_report_exchange.run())
            group.create_task(self.cold_permits.run())
            if self._duties is not None:
                group.create_task(self._duties.run())

    async def _load_when_crash_reports_are_read(self) -> None:
        """Wait for the crash reports, then order loads, until cancelled.

        Otherwise a daemon that was restarted would not pause between loads that crash replicas.
        """
        while not self._crash_quarantine.loaded:
            await asyncio.sleep(CONFIGURATION_POLL_S)
        await self._version_loader.run()

    async def _handle_peer_request(self, sender: str, method: str, payload: bytes) -> bytes:
        """Return the answer to a call of another daemon; any other method goes to :attr:`jobs`."""
        if self._duties is not None and method.startswith(DUTY_METHOD_PREFIX):
            return await self._duties.handle_peer_request(sender, method, payload)
        if method == CONFIGURATION_METHOD:
            return self._configuration_poller.handle_request(payload)
        if method == self.cold_permits.peer_method:
            return self.cold_permits.handle_peer_request(sender, payload)
        if method == CRASH_REPORTS_METHOD:
            return self._crash_report_exchange.handle_request(payload)
        return await self.jobs.handle_peer_request(sender, method, payload)

    async def _check_state_periodically(self) -> None:
        """Update the lifecycle chart and flush the decision log, until cancelled."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if self.lifecycle.within("starting") and self._has_initial_state():
                self.lifecycle.send("caught_up")
                self.lifecycle.send("joined")
            self._update_log_state(self._log_age_s())
            now_s = monotonic_s()
            if now_s - self._last_flush_s >= DECISION_FLUSH_INTERVAL_S:
                self._last_flush_s = now_s
                self.decisions.flush()

    def _update_log_state(self, age_s: float) -> None:
        """Update the lifecycle, and write a decision line, when the log is lost or available again."""
        if age_s >= LOG_LOST_AFTER_S and self.lifecycle.can("log_lost"):
            self.lifecycle.send("log_lost")
            self.decisions.write(DependencyLost(dependency="log", age_s=round(age_s, 3)))
        elif age_s < LOG_LOST_AFTER_S and self.lifecycle.can("log_back"):
            self.lifecycle.send("log_back")
            self.decisions.write(DependencyRegained(dependency="log"))

    async def _release_ownership(self) -> None:
        """Release jobs and leadership on the log, and leave the group that watches partitions.

        Leaves the group once the release of the jobs is on the log, or after RELEASE_TIMEOUT_S; that of the
        leadership may take longer, as orders that are under way end first.
        """
        leadership_released = self._control_topic.release_leadership()
        jobs_released = self.job_partitions.stop()
        if jobs_released:
            await asyncio.wait(jobs_released, timeout=RELEASE_TIMEOUT_S)
        await self._group_member.leave()
        await asyncio.wait([leadership_released], timeout=RELEASE_TIMEOUT_S)

    async def _flush_usage(self) -> None:
        if self._duties is not None:
            await self._duties.meter.flush()


def _ignore_message(sender: str, payload: bytes) -> None:
    """Ignore a one-way message, as daemons of this platform send calls only."""
