"""Creates a daemon's writer and follower of the control topic."""

from __future__ import annotations

from passgate.daemon.topics import LogTopics
from passgate.decisions import DecisionLog
from passgate.duties.projections import DutyProjections
from passgate.duties.usage_forwarder import CONTROL_PARTITION
from passgate.gateway.settings import GatewaySettings
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import LivenessProber
from passgate.jobs.peers import JobPeerClient
from passgate.sharedlog.group import GroupMember
from passgate.sharedlog.log import SharedLog
from passgate.versions.control_topic import ControlTopic

ELECTABLE_PARTITIONS = 3
"""The watchers of this many partitions, from number 0 on, may lead; others don't follow the control topic."""


def make_control_topic(
    log: SharedLog,
    settings: GatewaySettings,
    topics: LogTopics,
    writer: str,
    member: GroupMember,
    peers: JobPeerClient,
    duty_projections: DutyProjections,
    decisions: DecisionLog,
) -> ControlTopic:
    """Return the daemon's writer and follower of the control topic; neither runs yet.

    Args:
        log: the log that stores the topic.
        settings: the daemon's settings.
        topics: names of the topics.
        writer: name under which this incarnation of the daemon writes to the log.
        member: the daemon's membership in the group that watches partitions; a member to which a partition
            below ELECTABLE_PARTITIONS is assigned may lead.
        peers: asks the daemon at the leader's address whether the leader still runs.
        duty_projections: state of the singleton duties, updated with each record that the daemon reads.
        decisions: receives the decision events.
    """
    journal = Journal(
        log,
        topics.control,
        0,
        writer,
        record_bytes=settings.max_record_bytes,
        append_bytes=settings.max_append_bytes,
    )
    return ControlTopic(
        log,
        topics.control,
        journal,
        lambda: any(partition < ELECTABLE_PARTITIONS for partition in member.assigned_partitions()),
        decisions,
        lease_s=settings.lease_s,
        projections=(duty_projections,),
        status_of=LivenessProber(lambda owner: peers.probe(owner, CONTROL_PARTITION)).status_of,
    )
