"""Names of the log's topics and groups that a daemon uses; a platform adapter supplies them."""

from __future__ import annotations

import msgspec

from passgate.discovery.service import ReplicaTopics


class LogTopics(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the topics that a daemon reads and writes, and of its group."""

    operator: str
    """Keyed topic to which the operator writes configurations, evacuations and target versions."""
    replicas: ReplicaTopics
    """Topics of replica discovery."""
    jobs: str
    """Topic of batch jobs; a job's host selects its partition."""
    control: str
    """Topic of leadership, new jobs and singleton duties."""
    crashes: str
    """Keyed topic of the reports that a replica crashed while it ran a request."""
    watch_group: str
    """Prefix of the name of each zone's group, whose members watch the partitions of the topic of jobs."""
