"""The check before every send: each rule may keep a request from a replica.

A replica is chosen only among those that all rules allow, and the attempt asks once more when it
is sent, so that no way of sending a request can go round a rule, however long it waited.

>>> replica = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, draining=True)
>>> SendRules([DrainingRule()]).allows(replica, SendTerms(), now_s=0.0)
False
"""

from __future__ import annotations

import enum
from collections import Counter
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
"""A report that is read, or an order; no region is barred to it."""


class SendRule(Protocol):
    """One reason not to send."""

    name: str
    """Word for log lines and metrics."""

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether something may be sent to a replica now; changes nothing."""
        ...

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> float | None:
        """Note that it is sent now, after all rules have allowed it; return until when it may leave."""
        ...


class CheckedAt(enum.Enum):
    """Where a rule kept something from a replica."""

    CHOICE = "choice"
    """The replica was passed over."""
    SEND = "send"
    """The replica had been chosen before, and nothing was sent."""


class KeptBack(msgspec.Struct, frozen=True, kw_only=True):
    """What kept something from a replica, as it is counted."""

    rule: str
    kind: SendKind
    checked_at: CheckedAt


class SendRules:
    """All rules in force."""

    def __init__(self, rules: Sequence[SendRule] = ()) -> None:
        self._rules = list(rules)
        self.kept_back: Counter[KeptBack] = Counter()
        """How often replicas were passed over, and sends stopped."""

    def add(self, rule: SendRule) -> None:
        """Put a further rule in force."""
        self._rules.append(rule)

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether all rules allow a send."""
        rule = self._forbidding(replica, terms, now_s)
        if rule is None:
            return True
        self._count(rule, terms, CheckedAt.CHOICE)
        return False

    def admit(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> float | None:
        """Let a send pass and note it with each rule; raises SendForbidden, not run.

        Returns:
            Loop time after which it must not leave any more; None without a limit.
        """
        forbidding = self._forbidding(replica, terms, now_s)
        if forbidding is not None:
            self._count(forbidding, terms, CheckedAt.SEND)
            raise SendForbidden(
                f"{forbidding.name} keeps requests from the replica", execution=ExecutionStatus.NOT_RUN
            )
        ends_s = [rule.sent(replica, terms, now_s) for rule in self._rules]
        return min((end_s for end_s in ends_s if end_s is not None), default=None)

    def _forbidding(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> SendRule | None:
        """Return the first rule that forbids a send, or None."""
        return next((rule for rule in self._rules if not rule.allows(replica, terms, now_s)), None)

    def _count(self, rule: SendRule, terms: SendTerms, checked_at: CheckedAt) -> None:
        self.kept_back[KeptBack(rule=rule.name, kind=terms.kind, checked_at=checked_at)] += 1


class DrainingRule:
    """A replica that is leaving gets no new request; its loads need not end either."""

    name = "draining"

    def allows(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> bool:
        """Whether the replica stays."""
        return not replica.draining

    def sent(self, replica: ReplicaInfo, terms: SendTerms, now_s: float) -> None:
        """Keep nothing."""
