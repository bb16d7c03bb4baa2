"""This daemon's part in the control topic, put together from its settings."""

from __future__ import annotations

from passgate.daemon.topics import LogTopics
from passgate.decisions import DecisionLog
from passgate.duties.folds import DutyFolds
from passgate.duties.usage_channel import CONTROL_PART
from passgate.gateway.settings import GatewaySettings
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import Liveness
from passgate.jobs.peers import JobPeers
from passgate.sharedlog.group import GroupMember
from passgate.sharedlog.log import SharedLog
from passgate.versions.control import ControlTopic

LEADING_PARTS = 3
"""Daemons that watch one of the first partitions may lead: so many in each zone."""


def make_control_topic(
    log: SharedLog,
    settings: GatewaySettings,
    topics: LogTopics,
    writer: str,
    member: GroupMember,
    peers: JobPeers,
    duty_folds: DutyFolds,
    decisions: DecisionLog,
) -> ControlTopic:
    """Return the daemon's writer and follower of the control topic.

    The daemon may lead while it watches one of the first partitions.

    Args:
        log: keeps the topic.
        settings: the daemon's settings.
        topics: names of the topics.
        writer: name of the daemon's present life on the log.
        member: the daemon's membership in the group that watches partitions.
        peers: asks other daemons whether the leader lives.
        duty_folds: what the duties read from the topic.
        decisions: where decisions are noted.
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
        lambda: any(part < LEADING_PARTS for part in member.held()),
        decisions,
        lease_s=settings.lease_s,
        folds=(duty_folds,),
        sign_of=Liveness(lambda owner: peers.life_at(owner, CONTROL_PART)).sign_of,
    )
