"""One gateway daemon: connects servers, log followers, jobs and weight orders.

Everything that lasts stands on the shared log; a daemon that starts knows nothing
and answers "not ready" until it has read the configuration and the replicas.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import zlib
from collections.abc import Callable

import msgspec

from passgate.clients.calls import HttpLimits
from passgate.clients.curl import HttpClient
from passgate.clock import monotonic_s
from passgate.decisions import (
    ConfigurationInForce,
    DaemonStarted,
    DaemonStopped,
    DaemonStopping,
    DecisionLog,
    DependencyLost,
    DependencyRegained,
    RecordUnreadable,
    SettingsReloaded,
)
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.discovery import Discovery, DiscoveryView, ReplicaDecoder
from passgate.gateway.forwarder import Forwarder
from passgate.gateway.ingress import Handler, Ingress, probe_handler
from passgate.gateway.metrics import GatewayMetrics
from passgate.gateway.replica_call import ReplicaCaller
from passgate.gateway.replicas import ReplicaTable
from passgate.gateway.routes import ConfigHolder, GatewayConfig
from passgate.gateway.settings import GatewaySettings
from passgate.gateway.stream_forwarder import StreamForwarder
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.item_run import ItemTools
from passgate.jobs.journal import Journal
from passgate.jobs.ownership import Ownership
from passgate.jobs.records import WriterStopped, decode_batch
from passgate.jobs.runner import JobRunner
from passgate.jobs.service import JobService
from passgate.jobs.waiting import WaitingLine
from passgate.sharedlog.log import LogPage, SharedLog
from passgate.sharedlog.tail import KeyedTail, RecordTail, TailSettings
from passgate.statecharts import Machine
from passgate.versions.leadership import Leadership
from passgate.versions.loader import Loader, ReplicaControl, WantedVersions

UNACKNOWLEDGED_TIMEOUT_S = 2.0
MAX_BUFFERED_BYTES = 32 * 1024
WATCH_S = 0.1
FLUSH_S = 0.2
NOTICE_S = 3.0
"""Time after SIGTERM within which the platform still sends new connections."""
RELEASE_WAIT_S = 5.0
"""Longest time after SIGTERM for which the log is waited for to hand over jobs."""
STOP_RESERVE_S = 1.2
"""Part of the grace that is left for ending."""
STOP_STEP_S = 0.05
LOG_LOST_S = 2.5


class LogTopics(msgspec.Struct, frozen=True, kw_only=True):
    """Topics that a daemon follows, by the names of the log."""

    operator: str
    replicas: str
    relayed_replicas: str
    jobs: str


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
    ) -> None:
        self.settings = settings
        self.http = http
        self.start_id = secrets.token_hex(4)
        writer = f"{settings.daemon_id}.{self.start_id}"
        self.metrics = GatewayMetrics()
        self.decisions = DecisionLog(settings.daemon_id, observe=self.metrics.observe)
        self.config = ConfigHolder()
        self.replicas = ReplicaTable(settings.zone)
        self.wanted = WantedVersions(self.decisions)
        self._discovery = Discovery(
            log,
            topics.replicas,
            topics.relayed_replicas,
            decoder,
            DiscoveryView(self.replicas, self.decisions),
            settings.daemon_id,
            self.decisions,
        )
        self._names = names
        self._topics = topics
        self._log = log
        caller = ReplicaCaller(http, self.replicas, names)
        self._caller = caller
        self.forwarder = Forwarder(caller, self.replicas, names, self.decisions)
        self.stream_forwarder = StreamForwarder(caller, self.replicas, names, self.decisions)
        self._fold = JobFold()
        self._waiting = WaitingLine()
        self._jobs_tail = RecordTail(log, TailSettings(topic=topics.jobs, gap_s=0.03), self._apply_jobs)
        self._journal = Journal(
            log,
            topics.jobs,
            0,
            writer,
            record_bytes=settings.max_record_bytes,
            append_bytes=settings.max_append_bytes,
        )
        self.ownership = Ownership(
            self._fold, self._journal, self._jobs_tail.freshness, self._make_runner, self.decisions
        )
        self._leadership = Leadership(
            self._fold, self._journal, self.ownership, self.decisions, lease_s=settings.lease_s
        )
        self._loader = Loader(
            self.wanted, self.replicas, self._leadership, control, settings.daemon_id, self.decisions
        )
        self.jobs = JobService(self._fold, self._journal, self._jobs_tail, self.decisions)
        self._keyed_tails: list[KeyedTail] = []
        self._flushed_s = 0.0
        self._stop = asyncio.Event()
        self.life = Machine("daemon")
        """Life of this daemon, by the chart of that name."""

    # --- beliefs -----------------------------------------------------------------

    def put_config(self, config: GatewayConfig) -> None:
        """Take a configuration from the log."""
        if self.config.offer(config):
            self.decisions.write(ConfigurationInForce(version=config.version, routes=len(config.routes)))
            limits = config.limits
            self._front.set_limits(max_body_bytes=limits.max_body_bytes, idle_timeout_s=limits.idle_timeout_s)

    def follow(self, topic: str, gap_s: float, replace: Callable, update: Callable) -> None:
        """Follow a keyed topic with an adapter's translation."""
        settings = TailSettings(topic=topic, gap_s=gap_s, urgent=True)
        self._keyed_tails.append(KeyedTail(self._log, settings, replace=replace, update=update))

    def _apply_jobs(self, page: LogPage) -> None:
        now_s = monotonic_s()
        for index, record in enumerate(page.records):
            try:
                batch = decode_batch(record)
            except (msgspec.DecodeError, zlib.error) as error:
                # A newer daemon's record, for example; a daemon that ended here would never get past it.
                self.decisions.write(RecordUnreadable(offset=page.start + index, reason=str(error)))
                continue
            self._fold.apply(page.start + index, batch, now_s)
            if batch.writer == self._journal.writer:
                self._leadership.read_back(batch)
        self._note_lags()

    def _note_lags(self) -> None:
        """Learn from new jobs how far behind the newest version their replicas may be."""
        for job_id in self._fold.changed_jobs:
            job = self._fold.jobs[job_id]
            newest = self.wanted.versions.get(job.model, 0)
            if self._fold.newest_job.get(job.model) == job_id and not job.results and newest:
                self._loader.note_job(job.model, max(newest - job.min_version, 0), job.total)
        self._fold.changed_jobs.clear()

    def _make_runner(self, job: JobState) -> JobRunner | None:
        table = self.config.table
        spec = job.spec()
        route = table.match(spec.host, spec.path) if table is not None else None
        if route is None:
            return None
        tools = ItemTools(
            route=route,
            caller=self._caller,
            replicas=self.replicas,
            names=self._names,
            decisions=self.decisions,
            waiting=self._waiting,
            group_replica={},
        )
        return JobRunner(job, self._fold, self._journal, tools)

    # --- life --------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.life.within("serving")

    def _knows_all(self) -> bool:
        known = self.config.table is not None and self._discovery.loaded
        return known and self._jobs_tail.caught_up

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.life.within("stopping")

    def reload(self, settings: GatewaySettings) -> None:
        """Put changed settings in force; addresses that it listens on stay as they are."""
        changed = settings != self.settings
        self.settings = settings
        self._leadership.lease_s = settings.lease_s
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
        self.decisions.write(DaemonStarted(start_id=self.start_id, zone=self.settings.zone))
        background = [
            self._journal.run(),
            self._jobs_tail.run(),
            self._discovery.run(),
            *(tail.run() for tail in self._keyed_tails),
            self._run_when_caught_up(),
            self._watch_log(),
        ]
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(part) for part in background]
            await self._stop.wait()
            await self._wind_down()
            for task in tasks:
                task.cancel()
        self.decisions.flush()

    def _exposition(self) -> bytes:
        self.metrics.log_age.set(self._jobs_tail.freshness.age_s(monotonic_s()))
        self.metrics.in_flight.set(self._front.in_flight)
        self.metrics.jobs_owned.set(self.ownership.running)
        self.metrics.leads.set(self._leadership.leads)
        return self.metrics.exposition()

    async def _run_when_caught_up(self) -> None:
        while not self._jobs_tail.caught_up or self.config.table is None:
            await asyncio.sleep(0.05)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.ownership.run())
            group.create_task(self._leadership.run())
            group.create_task(self._loader.run())

    async def _watch_log(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            if self.life.within("starting") and self._knows_all():
                self.life.send("caught_up")
                self.life.send("joined")
            self._note_log_state(self._jobs_tail.freshness.age_s(monotonic_s()))
            now_s = monotonic_s()
            if now_s - self._flushed_s >= FLUSH_S:
                self._flushed_s = now_s
                self._fold.prune(now_s, self.settings.job_retention_s)
                self.decisions.flush()

    def _note_log_state(self, age_s: float) -> None:
        if age_s >= LOG_LOST_S and self.life.can("log_lost"):
            self.life.send("log_lost")
            self.decisions.write(DependencyLost(dependency="log", age_s=round(age_s, 3)))
        elif age_s < LOG_LOST_S and self.life.can("log_back"):
            self.life.send("log_back")
            self.decisions.write(DependencyRegained(dependency="log"))

    async def _wind_down(self) -> None:
        began_s = monotonic_s()
        self.decisions.write(DaemonStopping(in_flight=self._front.in_flight))
        self.life.send("announced")
        self.ownership.stopping = True
        self.jobs.stopping = True
        self._front.close_after_answers()
        self.ownership.save_all()
        released = self._journal.put(WriterStopped())
        end_s = began_s + self.settings.stop_grace_s - STOP_RESERVE_S
        while monotonic_s() < end_s:
            await asyncio.sleep(STOP_STEP_S)
            waited_s = monotonic_s() - began_s
            handed_over = released.done() or waited_s >= RELEASE_WAIT_S
            if handed_over and self._front.in_flight == 0 and waited_s >= NOTICE_S:
                break
        # From here on nothing is begun: what arrives while connections are closed is refused.
        self._front.refuse_new()
        self._front.stop_listening()
        self.life.send("finished")
        after_s = round(monotonic_s() - began_s, 3)
        self.decisions.write(DaemonStopped(in_flight=self._front.in_flight, after_s=after_s))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_RESERVE_S / 2):
                await self._front.close()
        self.life.send("handed_over")


def make_http_client() -> HttpClient:
    """Return the client that a daemon uses towards the log and the replicas."""
    return HttpClient(
        HttpLimits(
            resolve_names=False,
            connect_timeout_s=0.7,
            unacknowledged_timeout_s=UNACKNOWLEDGED_TIMEOUT_S,
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )
    )
