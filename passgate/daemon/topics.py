"""Names of the topics and groups on the log that a daemon uses; an adapter fills them in."""

from __future__ import annotations

import msgspec

from passgate.discovery.service import ReplicaTopics


class LogTopics(msgspec.Struct, frozen=True, kw_only=True):
    """Topics that a daemon follows, by the names of the log."""

    operator: str
    replicas: ReplicaTopics
    jobs: str
    control: str
    crashes: str
    watch_group: str
    """Each zone has a group of this name whose members watch the partitions of the jobs' topic."""
