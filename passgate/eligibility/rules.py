"""The check before every send: each rule may keep a request from a replica.

A replica is chosen only among those that all rules allow, and the attempt asks once more when it
is sent, so that no way of sending a request can go round a rule, however long it waited.

>>> replica = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, draining=True)
>>> SendRules([DrainingRule()]).allows(replica, SendTerms(), now_s=0.0)
False
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Protocol

import msgspec

from passgate.eligibility.replica_info import ReplicaInfo
from passgate.errors import ExecutionStatus, SendForbidden


class SendKind(enum.Enum):
    """What is sent to a replica."""

    REQUEST = "request"
    """Work of a caller: plain, streamed, an item of a job, a reward call."""
    CONTROL = "control"
    """A report that is read, or an order."""


class SendTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What decides, beside the replica itself, whether something may be sent."""

    kind: SendKind = SendKind.REQUEST
    regions: frozenset[str] | None = None
    """Regions that may serve the request; None where any may, empty where none may."""


ANY_REQUEST = SendTerms()
"""A request that any region may serve."""
CONTROL = SendTerms(kind=SendKind.CONTROL)


class SendRule(Protocol):
    """One reason not to send."""

    name: str
    """Word for log lines and metrics."""

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether something may be sent to a replica now; changes nothing."""
        ...

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Note that it is sent now, after all rules have allowed it."""
        ...


class SendRules:
    """All rules in force."""

    def __init__(self, rules: Sequence[SendRule] = ()) -> None:
        self._rules = list(rules)

    def add(self, rule: SendRule) -> None:
        """Put a further rule in force."""
        self._rules.append(rule)

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether all rules allow a send."""
        return all(rule.allows(replica, terms, now_s) for rule in self._rules)

    def admit(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Let a send pass and note it with each rule; raises SendForbidden, not run."""
        for rule in self._rules:
            if not rule.allows(replica, terms, now_s):
                raise SendForbidden(
                    f"{rule.name} keeps requests from the replica", execution=ExecutionStatus.NOT_RUN
                )
        for rule in self._rules:
            rule.sent(replica, terms, now_s)


class DrainingRule:
    """A replica that is leaving gets no new request; its loads need not end either."""

    name = "draining"

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether the replica stays."""
        return not replica.draining

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Keep nothing."""
