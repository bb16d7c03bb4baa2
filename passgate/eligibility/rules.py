"""Send rules, each of which may forbid sending to a replica.

The rules are checked when a replica is chosen for a request, and again just before the request is sent, so
that no request bypasses a rule that changed its verdict after the choice.  They are also checked before load
orders.

>>> replica = ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, draining=True)
>>> SendRules([DrainingRule()]).allows(replica, SendContext(), now_s=0.0)
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
    """Kind of message that is sent to a replica."""

    REQUEST = "request"
    """Work for a caller: a plain or streamed request, an item of a job, a reward call."""
    CONTROL = "control"
    """Control message of a daemon: reading a replica's report, or an order."""


class SendContext(msgspec.Struct, frozen=True, kw_only=True):
    """What a rule needs to know about a send besides the replica."""

    kind: SendKind = SendKind.REQUEST
    allowed_regions: frozenset[str] | None = None
    """Regions that may serve the request; None if any may, empty if none may."""


ANY_REGION_REQUEST = SendContext()
"""Context of a request that any region may serve."""
CONTROL_MESSAGE = SendContext(kind=SendKind.CONTROL)
"""Context of a control message, which may be sent to any region."""


class SendRule(Protocol):
    """One condition under which sending to a replica is forbidden."""

    name: str
    """Name of the rule in errors and metrics."""

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether sending to a replica is allowed now; may be called any number of times before a send."""
        ...

    def record_send(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> float | None:
        """Record a send that all rules have just allowed.

        Returns:
            Loop time until which the message may leave this daemon; None without a limit.
        """
        ...


class CheckStage(enum.Enum):
    """Stage at which a rule excluded a replica."""

    CHOICE = "choice"
    """The replica was excluded from a choice."""
    SEND = "send"
    """A send to the replica was refused just before it happened."""


class Exclusion(msgspec.Struct, frozen=True, kw_only=True):
    """Labels under which the exclusion of a replica by a rule is counted."""

    rule: str
    kind: SendKind
    stage: CheckStage


class SendRules:
    """The send rules of a daemon, and counts of the exclusions that they caused."""

    def __init__(self, rules: Sequence[SendRule] = ()) -> None:
        self._rules = list(rules)
        self.exclusion_counts: Counter[Exclusion] = Counter()
        """Number of exclusions by rule, kind of message and stage; counts the first rule that forbids."""

    def add(self, rule: SendRule) -> None:
        """Add a rule; rules are checked in the order in which they were added."""
        self._rules.append(rule)

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether all rules allow a send, checked when choosing a replica; counts an exclusion if not."""
        rule = self._first_forbidding_rule(replica, context, now_s)
        if rule is None:
            return True
        self._count_exclusion(rule, context, CheckStage.CHOICE)
        return False

    def allows_apart_from(
        self, ignored: SendRule, replica: ReplicaInfo, context: SendContext, now_s: float
    ) -> bool:
        """Whether all rules but ``ignored`` allow a send; counts no exclusion."""
        return all(rule is ignored or rule.allows(replica, context, now_s) for rule in self._rules)

    def admit(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> float | None:
        """Check a send just before it happens, and record it with each rule if all allow it.

        Returns:
            Loop time until which the message may leave this daemon; None without a limit.

        Raises:
            SendForbidden: a rule forbids the send; the error's execution status is NOT_RUN.
        """
        forbidding = self._first_forbidding_rule(replica, context, now_s)
        if forbidding is not None:
            self._count_exclusion(forbidding, context, CheckStage.SEND)
            raise SendForbidden(
                f"{forbidding.name} rule forbids sending to the replica", execution=ExecutionStatus.NOT_RUN
            )
        deadlines_s = [rule.record_send(replica, context, now_s) for rule in self._rules]
        return min((deadline_s for deadline_s in deadlines_s if deadline_s is not None), default=None)

    def _first_forbidding_rule(
        self, replica: ReplicaInfo, context: SendContext, now_s: float
    ) -> SendRule | None:
        """Return the first rule that forbids a send, or None."""
        return next((rule for rule in self._rules if not rule.allows(replica, context, now_s)), None)

    def _count_exclusion(self, rule: SendRule, context: SendContext, stage: CheckStage) -> None:
        self.exclusion_counts[Exclusion(rule=rule.name, kind=context.kind, stage=stage)] += 1


class DrainingRule:
    """Forbids requests and control messages, such as load orders, to draining replicas."""

    name = "draining"

    def allows(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> bool:
        """Whether the replica is not draining."""
        return not replica.draining

    def record_send(self, replica: ReplicaInfo, context: SendContext, now_s: float) -> None:
        """Do nothing; the rule counts no sends."""
