"""Creates a daemon's partitions of batch jobs, and the storage of region-restricted bodies."""

from __future__ import annotations

from passgate.daemon.job_runner_factory import JobRunnerFactory
from passgate.daemon.topics import LogTopics
from passgate.decisions import DecisionLog
from passgate.gateway.routes import ConfigHolder
from passgate.gateway.settings import GatewaySettings
from passgate.jobs.partition import JobPartitionSettings
from passgate.jobs.partitions import JobPartitions
from passgate.jobs.peers import JobPeerClient
from passgate.jobs.restricted_bodies import RestrictedBodies
from passgate.sharedlog.group import GroupMember
from passgate.sharedlog.group_membership_policy import GroupMembershipPolicy
from passgate.sharedlog.log import SharedLog


def make_job_partitions(
    log: SharedLog,
    settings: GatewaySettings,
    topics: LogTopics,
    writer: str,
    config_holder: ConfigHolder,
    member: GroupMember,
    membership_policy: GroupMembershipPolicy,
    runner_factory: JobRunnerFactory,
    peers: JobPeerClient,
    decisions: DecisionLog,
) -> JobPartitions:
    """Return a daemon's partitions of batch jobs; none is followed before :meth:`JobPartitions.run`.

    Args:
        log: the log that stores the jobs.
        settings: the daemon's settings.
        topics: names of the topics.
        writer: name under which this incarnation of the daemon writes to the log.
        config_holder: the active configuration.
        member: the daemon's membership in the group that watches partitions.
        membership_policy: decides whether this daemon may own new jobs that no watcher takes.
        runner_factory: creates the runners of jobs.
        peers: asks other daemons about jobs.
        decisions: receives the decision events.
    """
    partition_settings = JobPartitionSettings(
        topic=topics.jobs,
        partition_count=settings.log_parts,
        writer=writer,
        record_bytes=settings.max_record_bytes,
        append_bytes=settings.max_append_bytes,
        retention_s=settings.job_retention_s,
    )
    bodies = RestrictedBodies(
        log,
        config_holder.send_context_for,
        settings.topology,
        partition_settings,
        decisions,
        config_holder.item_time_to_live_s,
    )
    return JobPartitions(
        log,
        partition_settings,
        member.assigned_partitions,
        runner_factory.make,
        peers,
        decisions,
        may_own_new=lambda: membership_policy.should_join,
        log_answers=member.is_log_responding,
        restricted_bodies=bodies,
    )
