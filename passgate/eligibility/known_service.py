"""Keeps requests and orders from replicas of services that no configuration names.

>>> replica = ReplicaInfo(replica_id="r", service="unheard-of", address="h:1", zone="z", slots=4)
>>> KnownServiceRule({"app"}.__contains__).allows(replica, SendTerms(), now_s=0.0)
False
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import SendTerms


class KnownServiceRule:
    """An entry of discovery may come from another writer and name a service that does not exist."""

    name = "unknown_service"

    def __init__(self, is_known: Callable[[str], bool]) -> None:
        self._is_known = is_known

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether the configuration in force names the replica's service."""
        return self._is_known(replica.service)

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Keep nothing."""
