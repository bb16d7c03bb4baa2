"""Runs the job services of several daemons over one in-memory log in virtual time, without replicas."""

import asyncio
import random
import weakref

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.eligibility.topology import Topology
from passgate.errors import NotReady
from passgate.gateway.zone_distances import ZoneDistances
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import LivenessProber
from passgate.jobs.partition import JobPartitionSettings
from passgate.jobs.partitions import JobPartitions
from passgate.jobs.peers import JobPeerClient
from passgate.jobs.reader import find_job
from passgate.jobs.records import (
    ItemsDone,
    ItemSpec,
    JobSpec,
    Result,
    ResultState,
    writer_name,
)
from passgate.jobs.restricted_bodies import RestrictedBodies
from passgate.jobs.service import JobService
from passgate.peers.memory_transport import MemoryNetwork
from passgate.sharedlog.group import GroupDirectory, GroupMember, OtherZoneDirectories
from passgate.sharedlog.group_membership_policy import GroupMembershipPolicy
from passgate.sharedlog.member_names import member_name
from passgate.sharedlog.tail import KeyedTail, TailSettings
from passgate.versions.control_topic import ControlTopic

LEASE_S = 3.0
FAULTS = [
    "kill",
    "cut_off",
    "silent",
    "refuse",
    "lose_answers",
    "slow",
    "reassign",
    "expire_members",
    "split_zone",
    "none",
]
HOST = "h"
ITEM_S = 0.4
TAKEOVER_LIMIT_S = 0.8
"""Limit from the start of all daemons until an open job runs: joining the group, reading, claiming."""
RELEASE_LIMIT_S = 1.3
"""Limit from the cut until another daemon runs the job: the owner's next append, its timeout, one probe."""
RUN_START_LIMIT_S = 0.05
"""Limit from a job's acceptance until its owner has read it from the log and runs it."""
network_by_log = weakref.WeakKeyDictionary()
"""Maps each log to the network between its daemons."""


class FakeRunner:
    """Replaces the runner of a job: each item takes some time, and its text names the daemon."""

    def __init__(self, daemon, journal, job, send_permission):
        self.send_permission = send_permission
        self.daemon = daemon
        self.journal = journal
        self.job = job

    async def run(self):
        for item in self.job.spec().items:
            if item.id not in self.job.position_by_item:
                await self.send_permission.wait_until_granted()
                self.daemon.sends.append((monotonic_s(), item.id))
                await asyncio.sleep(ITEM_S)
                text = f"{item.id} by {self.daemon.name}"
                result = Result(item_id=item.id, state=ResultState.SUCCEEDED, text=text, versions=(1,))
                self.journal.put(ItemsDone(job_id=self.job.job_id, results=(result,)))

    def record_progress(self):
        pass


def ignore_records(records, start):
    pass


class Daemon:
    """The job service of a daemon with its log followers and group membership; only runners are fake."""

    def __init__(
        self, log, name, incarnation=0, zone="a", cores=2.0, config_holder=None, region_by_zone=None
    ):
        """Create a daemon; ``config_holder`` restricts the regions of jobs, if given."""
        self.zone = zone
        self.client = log.client(name)
        self.network = network_by_log.setdefault(log, MemoryNetwork(random.Random(1)))
        self.transport = self.network.transport(f"{name}:7720", name)
        self.name = writer_name(name, str(incarnation), self.transport.address)
        self.events = []
        decisions = DecisionLog(name, write=len, observe=self.events.append)
        member = member_name(name, self.transport.address, cores)
        membership_policy = GroupMembershipPolicy(cores)
        self.member = GroupMember(
            self.client, f"watch.{zone}", member, "jobs", decisions, membership_policy=membership_policy
        )
        sizes = {"record_bytes": 262_144, "append_bytes": 2_000_000}
        self.directory = directory = GroupDirectory(self.client, f"watch.{zone}", "jobs", membership_policy)
        topology = Topology(zone=zone, region_by_zone=region_by_zone or {})
        distances = ZoneDistances(topology)
        self.other_zones = other_zones = OtherZoneDirectories(
            self.client, "watch", "jobs", distances.other_zones_nearest_first, distances.fallback_zones
        )
        self.peers = peers = JobPeerClient(
            self.transport, directory, member, decisions, distances, other_zones
        )
        self.journal = Journal(self.client, "control", 0, self.name, **sizes)
        self.control = ControlTopic(
            self.client,
            "control",
            self.journal,
            lambda: bool(self.member.assigned_partitions()),
            decisions,
            lease_s=LEASE_S,
            status_of=LivenessProber(lambda writer: peers.probe(writer, 0)).status_of,
        )
        self.leadership = self.control.leadership
        settings = JobPartitionSettings(
            topic="jobs",
            partition_count=log.partition_count,
            writer=self.name,
            retention_s=150.0,
            **sizes,
        )
        self.job_partitions = JobPartitions(
            self.client,
            settings,
            self.member.assigned_partitions,
            self.make_runner,
            peers,
            decisions,
            may_own_new=lambda: membership_policy.should_join,
            log_answers=self.member.is_log_responding,
            restricted_bodies=RestrictedBodies(
                self.client,
                config_holder.send_context_for,
                topology,
                settings,
                decisions,
                config_holder.item_time_to_live_s,
            )
            if config_holder
            else None,
        )
        settings = TailSettings(topic="keyed.op", gap_s=0.05)
        self.operator_tail = KeyedTail(
            self.client, settings, on_snapshot=ignore_records, on_records=ignore_records
        )
        self.service = JobService(
            self.job_partitions,
            peers,
            self.journal,
            lambda model: 0,
            lambda: self.operator_tail.freshness.age_s(monotonic_s()),
            decisions,
        )
        self.tasks = []
        self.sends = []
        """Loop time and item of each send by this daemon's runners."""

    def make_runner(self, projection, journal, job, send_permission):
        return FakeRunner(self, journal, job, send_permission)

    def start(self):
        loop = asyncio.get_running_loop()
        self.transport.start(lambda sender, payload: None, self.service.handle_peer_request)
        parts = (
            self.member.run(),
            self.control.run(),
            self.job_partitions.run(),
            self.directory.keep_fresh(),
            self.other_zones.keep_fresh(),
            self.operator_tail.run(),
        )
        self.tasks = [loop.create_task(part) for part in parts]
        return self

    async def stop(self):
        """Shut down gracefully: release the jobs and leave the group."""
        await asyncio.wait([*self.job_partitions.stop(), self.control.release_leadership()])
        await self.member.leave()

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.transport.close()

    async def read_owner(self, job_id, host=HOST):
        """Return the owner of a job, as this daemon reads it from the log."""
        return (await find_job(self.job_partitions.of_host(host), job_id)).owner

    async def read_all(self, job_id, host=HOST):
        """Return whether a job is complete and its results, as read here; None when it can't be read."""
        try:
            page = await self.service.read_results(host, job_id, 0, 0.0)
        except NotReady:
            return None
        assert page.next_position == len(page.results)
        complete = page.next_position == page.total
        return complete, [(result.item_id, result.text) for result in page.results]


def job_spec(job_id, count=4, host=HOST):
    items = tuple(ItemSpec(id=f"{job_id}-{number}", path="/p/x") for number in range(count))
    return JobSpec(job_id=job_id, host=host, path="/p/", items=items)


class LeaderSampler:
    """Checks periodically that at most one daemon leads, and records each change of the leader."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.leaderships = []

    async def sample(self):
        while True:
            allowed = [
                daemon.name for daemon in self.daemons if daemon.tasks and daemon.leadership.may_order()
            ]
            assert len(allowed) <= 1, f"{allowed} may order at once"
            if allowed and (not self.leaderships or self.leaderships[-1][1] != allowed[0]):
                self.leaderships.append((monotonic_s(), allowed[0]))
            await asyncio.sleep(0.05)


async def wait_until_complete(daemons, jobs, timeout_s=60.0, host=HOST):
    """Wait until all jobs are complete at every daemon; return each daemon's results of each job."""
    until_s = monotonic_s() + timeout_s
    while monotonic_s() < until_s:
        seen = [[await daemon.read_all(job_id, host) for job_id in jobs] for daemon in daemons]
        if all(page is not None and page[0] for pages in seen for page in pages):
            return [[rows for _, rows in pages] for pages in seen]
        await asyncio.sleep(0.2)
    raise AssertionError(f"jobs are not complete at every daemon: {seen}")


async def start_daemons(log, count, zones=1):
    """Start daemons in some zones; return them once the partitions are assigned."""
    daemons = [Daemon(log, f"d{number}", zone=f"z{number % zones}").start() for number in range(count)]
    await asyncio.sleep(2.5)
    return daemons


def daemon_of_writer(daemons, writer):
    return next(daemon for daemon in daemons if daemon.name == writer)
