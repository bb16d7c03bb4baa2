"""What plain and streamed forwarding share: the state of one request, its sends, its end."""

from __future__ import annotations

from typing import Protocol

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import AttemptFailed, DecisionLog, ForwardEnded, ForwardSent
from passgate.eligibility.replica_info import ReplicaLife
from passgate.eligibility.rules import SendTerms
from passgate.errors import (
    BackendUnreachable,
    NoRegionAllowed,
    NoReplicaAvailable,
    NoReplicaInRegions,
    ReplicaReplaced,
    Unauthorized,
)
from passgate.errors.base import ExecutionStatus, PassgateError
from passgate.gateway.access import Caller
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.messages import IncomingRequest
from passgate.gateway.replica_call import ReplicaCaller, ReplicaRequest
from passgate.gateway.replicas import ChoiceRequest, ReplicaState, ReplicaTable
from passgate.gateway.routes import ConfigHolder, Route, RouteKind, WeightedChoice
from passgate.quarantine.identity import RequestIdentity

RETRY_AFTER_S = 0.15
"""When a refused caller is asked to come back."""


NEVER_REACHED = (BackendUnreachable, ReplicaReplaced)
"""Failures of attempts that show, if they did not run, that the replica is not at its address any more."""


class Forwarding(msgspec.Struct, kw_only=True):
    """One request while it is forwarded."""

    request: IncomingRequest
    caller: Caller
    configuration_version: int
    """Configuration under which the caller was last known to be allowed."""
    route: Route
    service: str
    request_id: str
    limit_s: float
    """Loop time at which the request is answered in any case."""
    deadline_s: float
    """Loop time at which the caller leaves."""
    tried: list[ReplicaLife] = []
    never_reached: int = 0
    """Replicas among those tried that were not there any more; see NEVER_REACHED."""
    may_have_run: bool = False
    counted: bool = False
    """Whether usage counts the request already."""
    last_event_id: str = ""
    """Identifier of the last event that the caller has."""

    @property
    def identity(self) -> RequestIdentity:
        """What makes a further try the same request."""
        request = self.request
        return RequestIdentity(
            host=request.host,
            method=request.method,
            path=request.path,
            tenant=self.caller.tenant,
            body=request.body,
        )

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is RouteKind.SAFE or self.route.resumable

    @property
    def attempts_left(self) -> bool:
        """Whether it may be sent once more, to judge by the route's bound.

        A replica that could not be reached costs no attempt: with two of three replicas just ended,
        a request with two attempts would else be refused although the third has room.
        """
        return len(self.tried) - self.never_reached < self.route.max_attempts

    @property
    def may_go_on(self) -> bool:
        """Whether it may be sent to a further replica."""
        return self.attempts_left and (self.repeatable or not self.may_have_run)


class RunCounter(Protocol):
    """Counts the runs of tenants' requests."""

    def now_s(self) -> float:
        """Return the time of day, to be given to :meth:`began` later."""
        ...

    def began(self, tenant: str | None, at_s: float) -> None:
        """Count a request that a replica began at a time of day."""
        ...


class ForwarderBase:
    """Begins, sends and ends forwarded requests."""

    def __init__(
        self,
        caller: ReplicaCaller,
        replicas: ReplicaTable,
        names: HeaderNames,
        decisions: DecisionLog,
        config: ConfigHolder,
        usage: RunCounter | None = None,
    ) -> None:
        self._usage = usage
        self._config = config
        self._caller = caller
        self._replicas = replicas
        self._names = names
        self._decisions = decisions
        self._weights = WeightedChoice()

    def _begin(self, request: IncomingRequest, route: Route, caller: Caller) -> Forwarding:
        deadline_s = request.deadline_s(self._names.deadline_ms)
        return Forwarding(
            request=request,
            caller=caller,
            configuration_version=self._config.version,
            route=route,
            service=self._weights.pick(route),
            request_id=request.header(self._names.request_id),
            limit_s=min(deadline_s, request.arrived_s + route.timeout_s),
            deadline_s=deadline_s,
            last_event_id=request.header(self._names.last_event_id),
        )

    def _check_access(self, forwarding: Forwarding) -> None:
        """Check again, before a further send, that the caller's key is in force; raises Unauthorized.

        A key that is taken away while its request waits must not start a run.
        """
        table = self._config.table
        if table is None or table.config.version == forwarding.configuration_version:
            return
        table.keys.caller_of(forwarding.request.headers, public=forwarding.route.public)
        forwarding.configuration_version = table.config.version

    async def _spares_replicas(self, forwarding: Forwarding) -> bool:
        """Return whether a request may be sent that replicas may have ended under.

        Raises RequestQuarantined if it may not and has not run in this try.
        """
        crashes = self._caller.crashes
        await crashes.settled(forwarding.identity)
        if forwarding.may_have_run:
            return not crashes.is_held(forwarding.identity)
        crashes.check(forwarding.identity)
        return True

    def _may_send(self, forwarding: Forwarding) -> bool:
        """Return whether the caller's key is still in force."""
        try:
            self._check_access(forwarding)
        except Unauthorized:
            return False
        return True

    def _terms(self, forwarding: Forwarding) -> SendTerms:
        """Return what binds a request now; a changed configuration binds its further sends."""
        request, tenant = forwarding.request, forwarding.caller.tenant
        begun = forwarding.route.allowed_regions
        return self._config.terms_for(request.host, request.path, tenant, begun)

    def _check_regions(self, forwarding: Forwarding) -> None:
        """Check that some region may serve a request that has not run; raises NoRegionAllowed."""
        if self._terms(forwarding).regions == frozenset() and not forwarding.may_have_run:
            raise NoRegionAllowed("route and tenant allow no region in common")

    def _choose(self, forwarding: Forwarding) -> ReplicaState | None:
        choice = ChoiceRequest(
            services=frozenset({forwarding.service}),
            excluded=frozenset(forwarding.tried),
            terms=self._terms(forwarding),
        )
        return self._replicas.choose(choice, monotonic_s())

    def _replica_request(self, forwarding: Forwarding) -> ReplicaRequest:
        request = forwarding.request
        resumed = self._names.last_event_id.lower()
        headers = [pair for pair in request.headers if pair[0].lower() != resumed]
        if forwarding.last_event_id:
            headers.append((self._names.last_event_id, forwarding.last_event_id))
        return ReplicaRequest(
            request_id=forwarding.request_id,
            method=request.method,
            path=request.path,
            host=request.host,
            headers=tuple(headers),
            body=request.body,
            deadline_s=forwarding.deadline_s,
            priority=forwarding.route.priority if forwarding.route.kind is RouteKind.STREAMING else None,
            repeatable=forwarding.repeatable,
            tenant=forwarding.caller.tenant,
            terms=self._terms(forwarding),
        )

    def _refusal(self, forwarding: Forwarding, reason: str) -> PassgateError:
        """Return the answer for a request that did not run; tells of bounds that left no replica."""
        if forwarding.tried or self._terms(forwarding).regions is None:
            return refusal(reason)
        return NoReplicaInRegions(reason, execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S)

    def _note_sent(self, forwarding: Forwarding, state: ReplicaState) -> None:
        forwarding.tried.append(state.life)
        self._decisions.write(
            ForwardSent(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                replica_id=state.info.replica_id,
                attempt=len(forwarding.tried),
                in_flight=state.in_flight,
            )
        )

    def _note_failed_attempt(
        self, forwarding: Forwarding, replica: ReplicaLife, error: PassgateError, began_s: float
    ) -> None:
        not_run = error.execution is ExecutionStatus.NOT_RUN
        forwarding.may_have_run |= not not_run
        forwarding.never_reached += not_run and isinstance(error, NEVER_REACHED)
        self._decisions.write(
            AttemptFailed(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                replica_id=replica.replica_id,
                fingerprint=forwarding.identity.fingerprint(),
                reason=error.code,
                execution=error.execution.value,
                elapsed_ms=round((monotonic_s() - began_s) * 1000, 1),
            )
        )

    def _usage_now_s(self) -> float:
        return self._usage.now_s() if self._usage is not None else 0.0

    def _count_run(self, forwarding: Forwarding, sent_at_s: float) -> None:
        """Count a request that a replica has begun."""
        if self._usage is not None:
            self._usage.began(forwarding.caller.tenant, sent_at_s)

    def _note_end(self, forwarding: Forwarding, status: int, reason: str) -> None:
        self._decisions.write(
            ForwardEnded(
                request_id=forwarding.request_id,
                route=forwarding.route.name,
                status=status,
                reason=reason,
                replicas=tuple(life.replica_id for life in forwarding.tried),
                elapsed_ms=round((monotonic_s() - forwarding.request.arrived_s) * 1000, 1),
            )
        )


def refusal(reason: str) -> PassgateError:
    """Return the answer for a request that did not run."""
    return NoReplicaAvailable(reason, execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S)
