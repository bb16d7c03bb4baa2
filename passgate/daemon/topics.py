"""Names of the log's topics and groups that a daemon uses; a platform adapter supplies them."""

from __future__ import annotations

import msgspec

from passgate.discovery.service import ReplicaTopics


class LogTopics(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the topics that a daemon reads and writes, and prefix of the groups' names."""

    operator: str
    """Keyed topic to which the operator writes configurations, evacuations and target versions."""
    replicas: ReplicaTopics
    """Topics of replica discovery."""
    jobs: str
    """Topic of batch jobs; a job's host selects its partition."""
    control: str
    """Topic of leader election, of what new jobs require of the weights, and of singleton duties."""
    crashes: str
    """Keyed topic of crash reports and of announced isolated runs (see :mod:`passgate.quarantine.guard`)."""
    watch_group: str
    """Prefix of the names of the groups, one for each zone, that assign the partitions of :attr:`jobs`."""
