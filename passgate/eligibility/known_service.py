"""Send rule: replicas of services that the active configuration does not name get no requests or orders.

The discovery topic may list a replica of a service that does not exist.

>>> replica = ReplicaInfo(replica_id="r", service="unlisted", address="h:1", zone="z", slots=4)
>>> KnownServiceRule({"app"}.__contains__).allows(replica, SendContext(), now_s=0.0)
False
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendContext


class KnownServiceRule:
    """Forbids requests and control messages to replicas of services that the configuration does not name."""

    name = "unknown_service"

    def __init__(self, is_known: Callable[[str], bool]) -> None:
        """Create the rule; ``is_known`` returns whether the active configuration names a service."""
        self._is_known = is_known

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether the active configuration names the replica's service."""
        return self._is_known(replica.service)

    def record_send(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> None:
        """Do nothing; the rule counts no sends."""
